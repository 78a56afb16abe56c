"""Virtual time: calls in the order of their moments, ties in the order they were set; and random streams."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Protocol

import numpy as np
import xxhash


class Timeline(Protocol):
    """A clock that calls back: virtual or real. Times are milliseconds from the start of the run."""

    @property
    def now(self) -> float: ...

    def call_at(self, when: float, callback: Callable[[], None]) -> None: ...

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None: ...


class VirtualClock:
    """Runs calls at their moments, in milliseconds. Nothing waits: a run is as fast as its calls."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls_run = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Calls it at `when`, or now if that is past."""
        self._last_number += 1
        heapq.heappush(self._heap, (max(when, self.now), self._last_number, callback))

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.call_at(self.now + delay_ms, callback)

    @property
    def next_call_at(self) -> float:
        """When the next call is due; infinity when nothing is left."""
        return self._heap[0][0] if self._heap else math.inf

    def run(self, until: float) -> None:
        """Runs all that is due up to and at `until`, which is then the time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(heap)
            self.calls_run += 1
            callback()
        self.now = max(self.now, until)


class RandomStreams:
    """Independent random streams by name, all from one seed: a draw of one party never shifts another's."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> np.random.Generator:
        number = xxhash.xxh64_intdigest(name.encode())
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, number])))

    def seed_for(self, name: str) -> int:
        """A seed for a party that draws by itself, as a gateway does."""
        return xxhash.xxh64_intdigest(f"{self.seed}:{name}".encode())


def uniform(rng: np.random.Generator, bounds: tuple[float, float]) -> float:
    """Evenly spread between the least and the most."""
    return bounds[0] + (bounds[1] - bounds[0]) * float(rng.random())
