"""The gateway's clock and deadlines: one heap of deadlines, served by a single delayed reactor call.

Times are milliseconds on that clock. mypyc compiles this module.
"""

from __future__ import annotations

import heapq
import math
import time
from collections.abc import Callable

from meadowpulley.net.reactor_interface import DelayedCall, TimerReactor

MIN_CANCELLED_TO_COMPACT = 64  # with fewer cancelled deadlines, compacting the heap is not worthwhile


def now_ms() -> float:
    """Return the monotonic clock's time in milliseconds."""
    return time.monotonic() * 1000.0


class Deadline:
    """A callback that runs at most once; `callback` is None after it has started or was cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback


class Deadlines:
    """Runs callbacks at their scheduled times.

    If a callback raises, `report_failure` is called with the component's name while the exception is handled.
    """

    def __init__(
        self,
        reactor: TimerReactor,
        report_failure: Callable[[str], None],
        clock: Callable[[], float] = now_ms,
    ) -> None:
        self.now = clock
        self._reactor = reactor
        self._report_failure = report_failure
        self._heap: list[tuple[float, int, Deadline]] = []  # tuples: heapq compares them in C
        self._cancelled = 0  # number of heap entries whose deadline is cancelled
        self._last_sequence = 0  # orders deadlines with equal times by when they were set
        self._running = False
        self.polled_at = (
            math.inf
        )  # when the reactor's last poll for input returned; infinite before the first
        self._reactor_call: DelayedCall | None = None
        self._reactor_call_at = 0.0

    def __len__(self) -> int:
        """Return how many deadlines are pending."""
        return len(self._heap) - self._cancelled

    def record_poll(self) -> None:
        """Record that the reactor's poll returned, after which the reactor reads the arrived input."""
        self.polled_at = self.now()

    def arrival_time(self) -> float:
        """Return the latest time at which the input of the current reactor turn can have arrived.

        In a long turn, input may be read well after its arrival, but a client's deadline counts from when the
        request was sent.
        """
        return min(self.now(), self.polled_at)

    def at(self, when: float, callback: Callable[[], None]) -> Deadline:
        """Run a callback at a time on the gateway's clock."""
        self._last_sequence += 1
        deadline = Deadline(callback)
        heapq.heappush(self._heap, (when, self._last_sequence, deadline))
        if not self._running and self._heap[0][2] is deadline:
            self._arm()
        return deadline

    def after(self, delay_ms: float, callback: Callable[[], None]) -> Deadline:
        """Run a callback after a delay in milliseconds; a negative delay counts as 0."""
        return self.at(self.now() + max(delay_ms, 0.0), callback)

    def cancel(self, deadline: Deadline | None) -> None:
        """Cancel a deadline; do nothing if it is None, has run or was cancelled."""
        if deadline is None or deadline.callback is None:
            return
        deadline.callback = None
        self._cancelled += 1
        if self._cancelled > max(MIN_CANCELLED_TO_COMPACT, len(self._heap) // 2):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
            self._cancelled = 0

    def run_due(self) -> None:
        """Run the callbacks that are due now.

        A deadline that one of them schedules runs in a later turn of the reactor, even if it is due already.
        """
        if self._running or not self._heap:
            return
        now = self.now()
        last_sequence = self._last_sequence
        if self._heap[0][0] > now:
            return
        self._running = True
        postponed: list[tuple[float, int, Deadline]] = []
        try:
            while self._heap and self._heap[0][0] <= now:
                entry = heapq.heappop(self._heap)
                deadline = entry[2]
                if deadline.callback is None:
                    self._cancelled = max(self._cancelled - 1, 0)
                elif entry[1] > last_sequence:
                    postponed.append(entry)
                else:
                    self._run(deadline)
        finally:
            for entry in postponed:
                heapq.heappush(self._heap, entry)
            self._running = False
            self._arm()

    def _run(self, deadline: Deadline) -> None:
        """Run the callback of a deadline unless it has run or was cancelled."""
        callback = deadline.callback
        deadline.callback = None
        if callback is None:
            return
        try:
            callback()
        except Exception:  # noqa: BLE001  # a failing callback must not stop the others or the process
            self._report_failure("deadline")

    def _arm(self) -> None:
        """Schedule the reactor call for when the first deadline is due."""
        if not self._heap:
            return
        when = self._heap[0][0]
        if self._reactor_call is None:
            self._reactor_call = self._reactor.callLater(self._seconds_until(when), self._fire)
            self._reactor_call_at = when
        elif when < self._reactor_call_at:
            self._reactor_call.reset(self._seconds_until(when))
            self._reactor_call_at = when

    def _seconds_until(self, when: float) -> float:
        return max(when - self.now(), 0.0) / 1000.0

    def _fire(self) -> None:
        self._reactor_call = None
        self.run_due()
        self._arm_if_unarmed()

    def _arm_if_unarmed(self) -> None:
        """Schedule the reactor call, unless running the due callbacks has scheduled it.

        `_fire` sets `_reactor_call` to None, and mypyc then assumes that it stays None until `_fire` returns,
        although `run_due` may store a new reactor call in it. If `_fire` read the attribute itself, the
        compiled code would raise a TypeError for that value. This separate function makes no such assumption.
        """
        if self._reactor_call is None:
            self._arm()


class ConnectionTimeout:
    """The time-out of one connection, which is reset with every request.

    When the time-out moves later, its deadline keeps its place in the heap, and is scheduled again if it
    comes due before the time-out. Resetting the time-out then only stores the new time.
    """

    __slots__ = ("_callback", "_deadline", "_deadline_at", "_deadlines", "at")

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self.at = math.inf
        self._deadline: Deadline | None = None
        self._deadline_at = math.inf
        self._callback: Callable[[], None] | None = None

    def set(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in milliseconds, replacing the callback set before."""
        self.at = self._deadlines.now() + delay_ms
        self._callback = callback
        if self._deadline is None or self._deadline_at > self.at:
            self._deadlines.cancel(self._deadline)
            self._schedule()

    def clear(self) -> None:
        """Disable the time-out until it is set again."""
        self.at = math.inf

    def cancel(self) -> None:
        """Disable the time-out and cancel its deadline, because the connection has ended."""
        self.clear()
        self._deadlines.cancel(self._deadline)
        self._deadline = None
        self._callback = None

    def _schedule(self) -> None:
        self._deadline_at = self.at
        self._deadline = self._deadlines.at(self.at, self._expire)

    def _expire(self) -> None:
        self._deadline = None
        if self.at <= self._deadlines.now():
            self.at = math.inf
            if self._callback is not None:
                self._callback()
        elif self.at < math.inf:
            self._schedule()
