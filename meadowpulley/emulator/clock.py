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

    def at(self, when: float, call: Callable[[], None]) -> None: ...

    def after(self, delay_ms: float, call: Callable[[], None]) -> None: ...


class Clock:
    """Runs calls at their moments, in milliseconds. Nothing waits: a run is as fast as its calls."""

    def __init__(self) -> None:
        self.now = 0.0
        self.ran = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = 0

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Calls it at `when`, or now if that is past."""
        self._numbers += 1
        heapq.heappush(self._heap, (max(when, self.now), self._numbers, call))

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.at(self.now + delay_ms, call)

    @property
    def next_at(self) -> float:
        """When the next call is due; infinity when nothing is left."""
        return self._heap[0][0] if self._heap else math.inf

    def run(self, until: float) -> None:
        """Runs all that is due up to and at `until`, which is then the time."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, call = heapq.heappop(heap)
            self.ran += 1
            call()
        self.now = max(self.now, until)


class Streams:
    """Independent random streams by name, all from one seed: a draw of one party never shifts another's."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def of(self, name: str) -> np.random.Generator:
        number = xxhash.xxh64_intdigest(name.encode())
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, number])))

    def number(self, name: str) -> int:
        """A seed for a party that draws by itself, as a gateway does."""
        return xxhash.xxh64_intdigest(f"{self.seed}:{name}".encode())


def between(rng: np.random.Generator, span: tuple[float, float]) -> float:
    """Evenly spread between the least and the most."""
    return span[0] + (span[1] - span[0]) * float(rng.random())
