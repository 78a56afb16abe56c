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
    slow_start_fraction: float  # least fraction of its capacity at its age; 1 once warmed up
    typical_latency_ms: float  # mean for warmed-up servers of its kind; 0 if unknown
    same_zone: bool


# A function that returns indices into the given servers, best first; servers that it leaves out are not used.
# It must be pure: the time in ms is an argument, and randomness is derived from the request's number.
Placement: TypeAlias = Callable[[float, Request, Sequence[Candidate]], Sequence[int]]
