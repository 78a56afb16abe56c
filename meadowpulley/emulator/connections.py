"""A gateway's connections to servers: as many as it has slots for, and kept for a while when idle."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable


class Connections:
    """One life's. `closed` is told of each that this gateway closes, by its server and how many."""

    def __init__(self, slots: int, idle_ms: float, closed: Callable[[int, int], None]) -> None:
        self.slots, self._idle_ms, self._closed = slots, idle_ms, closed
        self.open = 0  # idle or not
        self._idle: dict[int, list[float]] = defaultdict(list)  # by server: since when each is, newest last

    def reuse(self, now: float, server: int) -> bool:
        """Whether one stood idle that a server has surely not closed; it is in use now."""
        times = self._idle[server]
        while times and times[0] < now - self._idle_ms * 0.9:
            times.pop(0)
            self.close(server)
        if times:
            times.pop()
            return True
        return False

    def make_room(self) -> bool:
        """Room for one more, if need be by closing the one that has been idle longest."""
        if self.open < self.slots:
            return True
        resting = [(times[0], server) for server, times in self._idle.items() if times]
        if not resting:
            return False
        _, server = min(resting)
        self._idle[server].pop(0)
        self.close(server)
        return True

    def keep(self, now: float, server: int) -> None:
        """One in use stands idle from now on."""
        self._idle[server].append(now)

    def close(self, server: int, count: int = 1) -> None:
        self.open -= count
        self._closed(server, count)

    def close_idle(self, server: int) -> None:
        self.close(server, len(self._idle.pop(server, [])))

    def close_all_idle(self) -> None:
        for server in list(self._idle):
            self.close_idle(server)
