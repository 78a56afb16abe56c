"""Virtual time and named random streams. Calls due at the same time run in the order they were set."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Protocol

import numpy as np
import xxhash


class Timeline(Protocol):
    """A clock that runs callbacks, virtual or real. Times are milliseconds since the start of the run."""

    @property
    def now(self) -> float:
        """Current time in milliseconds."""

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Run a callback at a time, or as soon as possible where that is past."""

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in milliseconds."""


class VirtualClock:
    """Runs callbacks at their times, in milliseconds, without waiting."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls_run = 0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._last_number = 0

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Run a callback at `when`, or at the current time where `when` is past."""
        self._last_number += 1
        heapq.heappush(self._heap, (max(when, self.now), self._last_number, callback))

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in milliseconds."""
        self.call_at(self.now + delay_ms, callback)

    @property
    def next_call_at(self) -> float:
        """Time of the next call; infinity where none is set."""
        return self._heap[0][0] if self._heap else math.inf

    def run(self, until: float) -> None:
        """Run all calls that are due up to and at `until`, and set the time to `until`."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(heap)
            self.calls_run += 1
            callback()
        self.now = max(self.now, until)


class RandomStreams:
    """Independent random streams by name, all from one seed. Draws from one never shift another's."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def stream(self, name: str) -> np.random.Generator:
        """Return a new generator for a name; the same name gives the same draws."""
        number = xxhash.xxh64_intdigest(name.encode())
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, number])))

    def seed_for(self, name: str) -> int:
        """Return a seed for a party that has its own generator, such as a gateway."""
        return xxhash.xxh64_intdigest(f"{self.seed}:{name}".encode())


def uniform(rng: np.random.Generator, bounds: tuple[float, float]) -> float:
    """Draw from the uniform distribution between a lower and an upper bound."""
    return bounds[0] + (bounds[1] - bounds[0]) * float(rng.random())
