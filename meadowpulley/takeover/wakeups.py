"""When to check the requests of a gateway next."""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Wakeups:
    """The times at which requests are to be checked. A request may be over by then.

    Times are ms on this gateway's clock; requests are named by their handles.
    """

    _heap: list[tuple[float, int]] = field(default_factory=list)

    def schedule(self, at_ms: float, handle: int) -> None:
        """Have this request checked at this time."""
        heapq.heappush(self._heap, (at_ms, handle))

    def pop_due(self, now: float) -> int | None:
        """Remove and return the request whose check is due longest; None if none is due."""
        if self.next_at_ms() > now:
            return None
        _, handle = heapq.heappop(self._heap)
        return handle

    def next_at_ms(self) -> float:
        """Return when the next check is due; infinity: none is scheduled."""
        if not self._heap:
            return math.inf
        at_ms, _ = self._heap[0]
        return at_ms
