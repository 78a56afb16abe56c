"""A gateway's connections to servers: as many as it has slots for, and kept for a while when idle."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable


class ConnectionPool:
    """One life's. `closed` is told of each that this gateway closes, by its server and how many."""

    def __init__(self, capacity: int, idle_ms: float, on_closed: Callable[[int, int], None]) -> None:
        self.capacity, self._idle_ms, self._on_closed = capacity, idle_ms, on_closed
        self.open = 0  # idle or not
        self._idle_since: dict[int, list[float]] = defaultdict(
            list
        )  # by server: since when each is, newest last

    def take_idle(self, now: float, server: int) -> bool:
        """Whether one stood idle that a server has surely not closed; it is in use now."""
        idle_since = self._idle_since[server]
        while idle_since and idle_since[0] < now - self._idle_ms * 0.9:
            idle_since.pop(0)
            self.close(server)
        if idle_since:
            idle_since.pop()
            return True
        return False

    def reserve(self) -> bool:
        """Room for one more, if need be by closing the one that has been idle longest."""
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
        """One in use stands idle from now on."""
        self._idle_since[server].append(now)

    def close(self, server: int, count: int = 1) -> None:
        self.open -= count
        self._on_closed(server, count)

    def close_idle(self, server: int) -> None:
        self.close(server, len(self._idle_since.pop(server, [])))

    def close_all_idle(self) -> None:
        for server in list(self._idle_since):
            self.close_idle(server)
