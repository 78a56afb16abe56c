"""The interface of placement policies: the data that they get on each server, and their result."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface.events import Request


@dataclass(frozen=True, slots=True)
class Candidate:
    """The data on one server that a placement policy gets when it chooses."""

    server: int
    zone: int
    cell: int
    kind: int
    build: int
    outstanding: int  # number of this gateway's outstanding attempts at the server
    # Least fraction of its full capacity that the server has at its age, 0 to 1; 1 once it is warmed up.
    slow_start_fraction: float
    # Typical latency of warmed-up servers of its machine kind, or 0 if unknown. It is an exponentially
    # weighted moving average, in which latencies of servers in slow start are scaled down.
    typical_latency_ms: float
    same_zone: bool


# A function that returns indices into the given servers, best first; servers that it leaves out are not used.
# It must be a pure function: the time in ms is an argument, and any randomness is derived from the request's
# number.
Placement: TypeAlias = Callable[[float, Request, Sequence[Candidate]], Sequence[int]]
