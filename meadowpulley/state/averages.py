"""Counts that fade with time: decaying rates and sliding windows of events. Times are milliseconds."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from functools import partial

WINDOW_MARGIN_MS = 1000.0  # a window keeps events for so much longer than its length, for conservative counts


class DecayingRate:
    """An amount per millisecond that decays exponentially with the given time constant."""

    def __init__(self, memory_ms: float) -> None:
        """Begin with nothing; `memory_ms` is the time constant."""
        self.memory_ms = memory_ms
        self.total = 0.0
        self.updated_at = 0.0

    def add(self, now: float, amount: float) -> None:
        """Add an amount at a time in ms."""
        decay = math.exp((self.updated_at - now) / self.memory_ms)
        self.total = self.total * decay + amount
        self.updated_at = now

    def value(self, now: float) -> float:
        """Return the rate at a time in ms."""
        self.add(now, 0.0)
        return self.total / self.memory_ms


class EventWindow:
    """The times of recent events, kept for as long as they may be counted."""

    def __init__(self, memory_ms: float) -> None:
        """Begin without events; `memory_ms` is the window's length."""
        self.memory_ms = memory_ms
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Record an event, and forget those beyond the window's length and margin."""
        self.times.append(now)
        self.count(now, WINDOW_MARGIN_MS)

    def count(self, now: float, margin_ms: float = 0.0) -> int:
        """Return the number of events within the window plus the margin; older ones are forgotten."""
        while self.times and self.times[0] < now - self.memory_ms - margin_ms:
            self.times.popleft()
        return len(self.times)


def event_windows(memory_ms: float) -> defaultdict[int, EventWindow]:
    """Return windows of one length, each created when it is first used."""
    return defaultdict(partial(EventWindow, memory_ms))
