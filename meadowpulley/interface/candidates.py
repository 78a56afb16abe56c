"""Placement policies: what they know of a server, and what they return."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface.events import Request


@dataclass(frozen=True, slots=True)
class Candidate:
    """What a placement policy knows of a server at the moment of its choice."""

    server: int
    zone: int
    cell: int
    kind: int
    build: int
    outstanding: int  # attempts of this gateway at the server
    slow_start_fraction: float  # of its capacity: the least that it has at its age; 1 once warmed up
    typical_latency_ms: float  # of servers of its kind, once warmed up; 0 while unknown
    same_zone: bool


# Returns indices into the given servers, best first; a server that it leaves out is not used. A pure
# function: the time is an argument, and randomness is derived from the request's number.
Placement: TypeAlias = Callable[[float, Request, Sequence[Candidate]], Sequence[int]]
