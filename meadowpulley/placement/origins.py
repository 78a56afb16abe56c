"""Where a request began and whether another gateway has it now: what takeover knows, and counters use.

`gateway.py` provides a stage with takeover's answers; without takeover no request moves (`LocalOrigins`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol, TypeAlias

# Why the rollout policy has nothing more to do with a request: "gone" with its client; "moved" to another
# incarnation, which ends it; "known" already, so that it never was a request of its own.
Departure: TypeAlias = Literal["gone", "moved", "known"]


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """The incarnation that accepted a request first, its number there, and when (ms, this gateway's clock).

    The numbers of an incarnation start from 0 and rise in the order in which it accepted its requests.
    """

    incarnation: str
    number: int
    accepted_ms: float


class OriginLookup(Protocol):
    """What is known of requests that other incarnations had or will have."""

    def origin_of(self, request: int) -> RequestOrigin | None:
        """Return a request's origin, when the stage is handed it; None if nobody else can ever have it."""

    def departure(self, request: int) -> Departure:
        """Return why a request left, when the stage is handed its `ClientDisconnected`."""


class LocalOrigins:
    """The answers at a gateway whose requests are nobody else's."""

    def origin_of(self, request: int) -> RequestOrigin | None:
        """Return None: nobody else can have it."""
        return None

    def departure(self, request: int) -> Departure:
        """Return that its client left."""
        return "gone"
