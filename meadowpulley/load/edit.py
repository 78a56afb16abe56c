"""Loads changed: more or fewer arrivals, another pace, one behind another. All of it streams."""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Iterator

import numpy as np
from msgspec.structs import replace

from meadowpulley.load.arrivals import Arrival


def scaled(
    arrivals: Iterable[Arrival], factor: float, seed: int, spread_ms: float = 1000.0
) -> Iterator[Arrival]:
    """So many times the arrivals at the same pace: copies lie up to `spread_ms` later, so that they make no
    bursts; a part below one copy is drawn by chance. Keys of copies are kept, as the same customers' are."""
    rng = np.random.Generator(np.random.PCG64(seed))
    waiting: list[tuple[float, int, Arrival]] = []
    numbers = 0
    for arrival in arrivals:
        while waiting and waiting[0][0] <= arrival.at_ms:
            yield heapq.heappop(waiting)[2]
        copies = int(factor) + (rng.random() < factor - int(factor))
        for copy in range(copies):
            at = arrival.at_ms + (float(rng.random()) * spread_ms if copy else 0.0)
            numbers += 1
            heapq.heappush(waiting, (at, numbers, replace(arrival, at_ms=round(at, 3))))
    while waiting:
        yield heapq.heappop(waiting)[2]


def stretched(arrivals: Iterable[Arrival], factor: float) -> Iterator[Arrival]:
    """The same arrivals over so many times the length."""
    for arrival in arrivals:
        yield replace(arrival, at_ms=round(arrival.at_ms * factor, 3))


def spliced(*parts: Iterable[Arrival], pause_ms: float = 0.0) -> Iterator[Arrival]:
    """One load behind another, each moved to the end of the one before."""
    end = 0.0
    for part in parts:
        start = end
        for arrival in part:
            end = start + arrival.at_ms
            yield replace(arrival, at_ms=round(end, 3))
        end += pause_ms
