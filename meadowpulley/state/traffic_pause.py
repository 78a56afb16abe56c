"""What the policy keeps of pauses of the traffic to the build on trial."""

from __future__ import annotations

import math


class TrafficPause:
    """Pauses of the traffic to the trial build while servers of all builds are slow. Times are ms."""

    def __init__(self) -> None:
        """Begin without a pause."""
        self.active = False
        self.count = 0  # pauses in short succession
        self.changed_at = -math.inf  # when the last pause began or ended
        self.slow_since = math.inf  # slow since then, with no baseline to compare with

    def begin(self, now: float, memory_ms: float) -> None:
        """Begin a pause; it adds to the count of the last ones if the last ended within `memory_ms`."""
        in_succession = now - self.changed_at < memory_ms
        self.count = self.count + 1 if in_succession else 1
        self.active = True
        self.changed_at = now

    def end(self, now: float) -> None:
        """End the pause."""
        self.active = False
        self.changed_at = now
