"""All deadlines of the gateway, in one heap behind one reactor call, and the clock that they run on."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from typing import Any

LEAST_CLEARED = 64  # called-off deadlines that are worth clearing out of the heap


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Deadline:
    __slots__ = ("call", "number", "when")

    def __init__(self, when: float, number: int, call: Callable[[], None]) -> None:
        self.when, self.number = when, number
        self.call: Callable[[], None] | None = call

    def __lt__(self, other: Deadline) -> bool:
        return (self.when, self.number) < (other.when, other.number)


class Deadlines:
    def __init__(
        self,
        reactor: Any,
        failed: Callable[[str], None],
        clock: Callable[[], float] = now_ms,
    ) -> None:
        self.now = clock
        self._reactor, self._failed = reactor, failed
        self._heap: list[Deadline] = []
        self._called_off = self._numbers = 0
        self._running = False
        self._armed: Any = None
        self._armed_for = 0.0

    def __len__(self) -> int:
        return len(self._heap) - self._called_off

    def at(self, when: float, call: Callable[[], None]) -> Deadline:
        self._numbers += 1
        deadline = Deadline(when, self._numbers, call)
        heapq.heappush(self._heap, deadline)
        if not self._running:
            self._arm()
        return deadline

    def after(self, delay_ms: float, call: Callable[[], None]) -> Deadline:
        return self.at(self.now() + max(delay_ms, 0.0), call)

    def call_off(self, deadline: Deadline | None) -> None:
        if deadline is None or deadline.call is None:
            return
        deadline.call = None
        self._called_off += 1
        if self._called_off > max(LEAST_CLEARED, len(self._heap) // 2):
            self._heap = [d for d in self._heap if d.call is not None]
            heapq.heapify(self._heap)
            self._called_off = 0

    def run_due(self) -> None:
        """Runs what is due now; what a call sets for the same moment waits for the next turn."""
        if self._running:
            return
        now, last = self.now(), self._numbers
        self._running = True
        later: list[Deadline] = []
        try:
            while self._heap and self._heap[0].when <= now:
                deadline = heapq.heappop(self._heap)
                call, deadline.call = deadline.call, None
                if call is None:
                    self._called_off = max(self._called_off - 1, 0)
                elif deadline.number > last:
                    deadline.call = call
                    later.append(deadline)
                else:
                    try:
                        call()
                    except Exception:  # one broken call must not stop the others, nor the process
                        self._failed("deadline")
        finally:
            for deadline in later:
                heapq.heappush(self._heap, deadline)
            self._running = False
            self._arm()

    def _arm(self) -> None:
        if not self._heap:
            return
        when = self._heap[0].when
        delay = max(when - self.now(), 0.0) / 1000.0
        if self._armed is None:
            self._armed = self._reactor.callLater(delay, self._fire)
            self._armed_for = when
        elif when < self._armed_for:
            self._armed.reset(delay)
            self._armed_for = when

    def _fire(self) -> None:
        self._armed = None
        self.run_due()
