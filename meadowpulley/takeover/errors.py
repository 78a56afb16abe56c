"""The base of the errors that takeover raises."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class TakeoverError(MeadowpulleyError):
    """Something that takeover rests on is not as it has to be."""
