"""The base class of the errors that takeover raises."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class TakeoverError(MeadowpulleyError):
    """An error in data that takeover depends on."""
