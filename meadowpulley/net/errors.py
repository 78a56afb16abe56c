"""The base of the errors of this package."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class NetError(MeadowpulleyError):
    """The base of all errors that the gateway's network code raises."""
