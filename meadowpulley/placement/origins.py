"""Where a request began and whether it goes on elsewhere: what takeover knows, and counts rest on.

`gateway.py` gives a stage takeover's answers; without takeover no request moves, and `Alone` says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal, Protocol, TypeAlias

# Why the decisions have nothing more to do with a request: it is gone with its client; it moved, another life
# ends it; its id was known, it never was a request of its own.
Left: TypeAlias = Literal["gone", "moved", "known"]


@dataclass(frozen=True, slots=True)
class Origin:
    """Who took a request first: that life, its number there, and when, on this gateway's clock. The numbers
    of a life start from 0 and rise in the order in which it took its requests."""

    life: str
    number: int
    taken_ms: float


class Origins(Protocol):
    def origin_of(self, request: int) -> Origin | None:
        """Of a request, as it is told to the stage. None: nobody else will ever have it."""

    def left(self, request: int) -> Left:
        """Asked when the stage is told `RequestGone`."""


class Alone:
    """Of a gateway whose requests are nobody else's."""

    def origin_of(self, request: int) -> Origin | None:
        return None

    def left(self, request: int) -> Left:
        return "gone"
