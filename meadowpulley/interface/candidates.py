"""The interface of placement policies: the data that a policy gets on each server, and its result."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface.events import Request


@dataclass(frozen=True, slots=True)
class Candidate:
    """The data that a placement policy gets on one server when it orders servers for a request."""

    server: int
    zone: int
    cell: int
    kind: int
    build: int
    outstanding: int  # number of this gateway's outstanding attempts at the server
    # Lower bound of the server's capacity at its age, as a fraction of its warmed-up capacity, 0 to 1.
    slow_start_fraction: float
    # Typical latency of warmed-up servers of this server's machine kind, or 0 if unknown. The value is an
    # exponentially weighted moving average, in which latencies of servers in slow start are scaled down.
    typical_latency_ms: float
    same_zone: bool


# A function that returns indices into the given servers, best first; servers that are left out are not used.
# The function must be pure: the time in ms is an argument, and any randomness is derived from the request's
# number.
Placement: TypeAlias = Callable[[float, Request, Sequence[Candidate]], Sequence[int]]
