"""The base class of the errors of the gateway's network layer."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class NetError(MeadowpulleyError):
    """The base class of all errors of the gateway's network layer."""
