"""Pool of a gateway's connections to servers, with idle time-out and eviction."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

IDLE_TIME_USED = 0.9  # share of the idle time-out after which a connection is not reused


class ConnectionPool:
    """Connections of one gateway incarnation. `on_closed(server, count)` reports those that it closes."""

    def __init__(self, capacity: int, idle_ms: float, on_closed: Callable[[int, int], None]) -> None:
        self.capacity = capacity
        self._idle_ms = idle_ms
        self._on_closed = on_closed
        self.open = 0  # idle or in use
        # Start of the idle time of each connection, by server, newest last.
        self._idle_since: dict[int, list[float]] = defaultdict(list)

    def take_idle(self, now: float, server: int) -> bool:
        """Take an idle connection to a server into use; False where none is young enough."""
        idle_since = self._idle_since[server]
        while idle_since and idle_since[0] < now - self._idle_ms * IDLE_TIME_USED:
            idle_since.pop(0)
            self.close(server)
        if idle_since:
            idle_since.pop()
            return True
        return False

    def reserve(self) -> bool:
        """Return whether one more connection fits, closing the longest idle one where needed."""
        if self.open < self.capacity:
            return True
        oldest_idle = [(times[0], server) for server, times in self._idle_since.items() if times]
        if not oldest_idle:
            return False
        _, server = min(oldest_idle)
        self._idle_since[server].pop(0)
        self.close(server)
        return True

    def release(self, now: float, server: int) -> None:
        """Return a connection in use to the idle ones."""
        self._idle_since[server].append(now)

    def close(self, server: int, count: int = 1) -> None:
        """Close connections to a server that are not idle."""
        self.open -= count
        self._on_closed(server, count)

    def close_idle(self, server: int) -> None:
        """Close all idle connections to a server."""
        self.close(server, len(self._idle_since.pop(server, [])))

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        for server in list(self._idle_since):
            self.close_idle(server)
