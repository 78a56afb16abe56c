"""The root of the errors of the gateway on sockets."""

from __future__ import annotations

from meadowpulley.errors import MeadowpulleyError


class NetError(MeadowpulleyError):
    """The base of all errors of the gateway on sockets."""
