"""Look up which incarnation accepted a request first, and whether another gateway has it now.

The counters need this. `gateway.py` gives a stage the lookup in takeover; without takeover no request moves
to another gateway (`LocalOrigins`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol, TypeAlias

# Why the rollout policy no longer has a request. "gone": its client left. "moved": another incarnation has it
# and completes it. "known": it repeated a request that was already known, and does not count as one.
Departure: TypeAlias = Literal["gone", "moved", "known"]


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """The incarnation that accepted a request first, the request's number there, and the time.

    `accepted_ms` is on this gateway's clock.

    The numbers of an incarnation start from 0 and rise in the order in which it accepted its requests.
    """

    incarnation: str
    number: int
    accepted_ms: float


class OriginLookup(Protocol):
    """Looks up requests that other incarnations had before or may have later."""

    def origin_of(self, request: int) -> RequestOrigin | None:
        """Return the origin of a request that the stage receives.

        None if no other incarnation can ever have the request.
        """

    def departure(self, request: int) -> Departure:
        """Return why a request left, once the stage has received its `ClientDisconnected`."""


class LocalOrigins:
    """The lookup at a gateway without takeover, whose requests no other gateway can have."""

    def origin_of(self, request: int) -> RequestOrigin | None:
        """Return None: no other gateway can have the request."""
        return None

    def departure(self, request: int) -> Departure:
        """Return "gone": a request leaves only with its client."""
        return "gone"
