"""Exponentially decaying rates and sliding windows of events. Times are in milliseconds."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from functools import partial

# An `EventWindow` keeps events for this many milliseconds beyond its length. A count that must not be too
# low can then include events slightly older than the window.
WINDOW_MARGIN_MS = 1000.0


class DecayingRate:
    """The rate of a quantity per millisecond, which decays exponentially with a given time constant."""

    def __init__(self, memory_ms: float) -> None:
        """Start at a rate of 0; `memory_ms` is the time constant."""
        self.memory_ms = memory_ms
        self.total = 0.0
        self.updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount of the quantity at the time `now`; times are in milliseconds."""
        decay = math.exp((self.updated_at - now) / self.memory_ms)
        self.total = self.total * decay + amount
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the rate per millisecond at the time `now`; times are in milliseconds."""
        self.add(now, 0.0)
        return self.total / self.memory_ms


class EventWindow:
    """A sliding window that holds the times of recent events."""

    def __init__(self, memory_ms: float) -> None:
        """Start without events; `memory_ms` is the window's length."""
        self.memory_ms = memory_ms
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Record an event, and drop events older than the window's length plus `WINDOW_MARGIN_MS`."""
        self.times.append(now)
        self.count(now, WINDOW_MARGIN_MS)

    def count(self, now: float, margin_ms: float = 0.0) -> int:
        """Return the number of events within the window plus `margin_ms`, and drop older events."""
        while self.times and self.times[0] < now - self.memory_ms - margin_ms:
            self.times.popleft()
        return len(self.times)


def event_windows(memory_ms: float) -> defaultdict[int, EventWindow]:
    """Return event windows by exposure class, created at first use; each is `memory_ms` long."""
    return defaultdict(partial(EventWindow, memory_ms))
