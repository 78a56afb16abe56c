"""The emulator's timeline in real time, with one origin for all processes, and how late callbacks ran."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from meadowpulley.emulator.results import new_histogram
from meadowpulley.net.deadlines import Deadlines


class RealClock:
    """Milliseconds since `origin`, a time of the system's monotonic clock in seconds."""

    def __init__(self, reactor: Any, origin: float, on_failure: Callable[[str], None]) -> None:
        self._origin = origin
        self.deadlines = Deadlines(reactor, on_failure, clock=lambda: self.now)
        self.lateness: HdrHistogram = new_histogram()

    @property
    def now(self) -> float:
        """Current time in milliseconds."""
        return (time.monotonic() - self._origin) * 1000.0

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Run a callback at a time."""

        def run() -> None:
            """Run the callback and record how late it is."""
            if when > 0:
                self.lateness.record_value(max(int((self.now - when) * 1000), 1))
            callback()

        self.deadlines.at(when, run)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in milliseconds."""
        self.call_at(self.now + max(delay_ms, 0.0), callback)

    def lateness_ms(self, percentile: float = 99.0) -> float:
        """Return a percentile of how late callbacks ran; 0 where none ran."""
        if not self.lateness.get_total_count():
            return 0.0
        return float(self.lateness.get_value_at_percentile(percentile)) / 1000
