"""Schedules the times at which the requests of a gateway are checked."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Wakeups:
    """Holds the times at which requests have to be checked; a request may have ended by then.

    Times are in ms on this gateway's clock; requests are identified by their handles.
    """

    _heap: list[tuple[float, int]] = field(default_factory=list)

    def schedule(self, at_ms: float, handle: int) -> None:
        """Schedule a check of this request at this time."""
        heapq.heappush(self._heap, (at_ms, handle))

    def pop_due(self, now: float) -> int | None:
        """Remove and return the request with the earliest due check; return None if none is due."""
        if self.next_at_ms() > now:
            return None
        _, handle = heapq.heappop(self._heap)
        return handle

    def next_at_ms(self) -> float:
        """Return the time of the next check; infinity if none is scheduled."""
        if not self._heap:
            return math.inf
        at_ms, _ = self._heap[0]
        return at_ms
