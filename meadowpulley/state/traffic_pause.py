"""State of traffic pauses: times without traffic to the build on trial."""

from __future__ import annotations

import math


class TrafficPause:
    """Pauses of the traffic to the trial build while the servers of all builds are slow. Times are ms."""

    def __init__(self) -> None:
        """Start without a pause."""
        self.active = False
        self.count = 0  # number of pauses in short succession, including the latest pause
        self.changed_at = -math.inf  # time at which the last pause began or ended
        # Start of the current slowdown, recorded only while the newest build gets all traffic and therefore
        # has no baseline to be compared with; infinite if there is no such slowdown.
        self.slow_since = math.inf

    def begin(self, now: float, memory_ms: float) -> None:
        """Begin a pause; `count` restarts at 1 unless the last pause ended less than `memory_ms` ago."""
        in_succession = now - self.changed_at < memory_ms
        self.count = self.count + 1 if in_succession else 1
        self.active = True
        self.changed_at = now

    def end(self, now: float) -> None:
        """End the pause at the time `now`."""
        self.active = False
        self.changed_at = now
