"""All deadlines of the gateway, in one heap behind one reactor call, and the clock that they run on."""

from __future__ import annotations

import heapq
import math
import time
from collections.abc import Callable
from typing import Any

LEAST_CLEARED = 64  # called-off deadlines that are worth clearing out of the heap


def now_ms() -> float:
    return time.monotonic() * 1000.0


class Deadline:
    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call


class Deadlines:
    def __init__(
        self,
        reactor: Any,
        failed: Callable[[str], None],
        clock: Callable[[], float] = now_ms,
    ) -> None:
        self.now = clock
        self._reactor, self._failed = reactor, failed
        self._heap: list[tuple[float, int, Deadline]] = []  # tuples, since the heap compares them in C
        self._called_off = self._numbers = 0
        self._running = False
        self.turned_at = math.inf
        self._armed: Any = None
        self._armed_for = 0.0

    def __len__(self) -> int:
        return len(self._heap) - self._called_off

    def turn(self) -> None:
        self.turned_at = self.now()

    def came(self) -> float:
        """When the input of this turn had come at the latest: in a long turn its last part is read well
        after that, and a client's time runs from its sending."""
        return min(self.now(), self.turned_at)

    def at(self, when: float, call: Callable[[], None]) -> Deadline:
        self._numbers += 1
        deadline = Deadline(call)
        heapq.heappush(self._heap, (when, self._numbers, deadline))
        if not self._running and self._heap[0][2] is deadline:
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
            self._heap = [entry for entry in self._heap if entry[2].call is not None]
            heapq.heapify(self._heap)
            self._called_off = 0

    def run_due(self) -> None:
        """Runs what is due now; what a call sets for the same moment waits for the next turn."""
        if self._running or not self._heap:
            return
        now, last = self.now(), self._numbers
        if self._heap[0][0] > now:
            return
        self._running = True
        later: list[tuple[float, int, Deadline]] = []
        try:
            while self._heap and self._heap[0][0] <= now:
                entry = heapq.heappop(self._heap)
                deadline = entry[2]
                if deadline.call is None:
                    self._called_off = max(self._called_off - 1, 0)
                elif entry[1] > last:
                    later.append(entry)
                else:
                    call, deadline.call = deadline.call, None
                    try:
                        call()
                    except Exception:  # one broken call must not stop the others, nor the process
                        self._failed("deadline")
        finally:
            for entry in later:
                heapq.heappush(self._heap, entry)
            self._running = False
            self._arm()

    def _arm(self) -> None:
        if not self._heap:
            return
        when = self._heap[0][0]
        if self._armed is None:
            self._armed = self._reactor.callLater(max(when - self.now(), 0.0) / 1000.0, self._fire)
            self._armed_for = when
        elif when < self._armed_for:
            self._armed.reset(max(when - self.now(), 0.0) / 1000.0)
            self._armed_for = when

    def _fire(self) -> None:
        self._armed = None
        self.run_due()
        if self._armed is None:
            self._arm()


class Limit:
    """The limit of one connection, which moves with every request: its place in the heap moves only when it
    comes due too soon, so that moving it costs no more than a note of the time."""

    __slots__ = ("_call", "_deadlines", "_entry", "_entry_at", "at")

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self.at = math.inf
        self._entry: Deadline | None = None
        self._entry_at = math.inf
        self._call: Callable[[], None] | None = None

    def set(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.at, self._call = self._deadlines.now() + delay_ms, call
        if self._entry is None or self._entry_at > self.at:
            self._deadlines.call_off(self._entry)
            self._place()

    def lift(self) -> None:
        self.at = math.inf

    def clear(self) -> None:
        self.lift()
        self._deadlines.call_off(self._entry)
        self._entry = self._call = None

    def _place(self) -> None:
        self._entry_at = self.at
        self._entry = self._deadlines.at(self.at, self._due)

    def _due(self) -> None:
        self._entry = None
        if self.at <= self._deadlines.now():
            self.at, call = math.inf, self._call
            if call is not None:
                call()
        elif self.at < math.inf:
            self._place()
