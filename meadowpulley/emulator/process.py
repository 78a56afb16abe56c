"""A process that can be killed, paused and resumed at any time, also in the middle of a turn."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from functools import partial
from typing import TypeVar

from meadowpulley.emulator.clock import Timeline

ActionT = TypeVar("ActionT")


class SimulatedProcess:
    """Incarnations of one process. While paused, as by SIGSTOP, all work queues."""

    def __init__(self, clock: Timeline) -> None:
        self.clock = clock
        self.alive = False
        self.paused = False
        self.crashed_at = -math.inf
        self.paused_at = -math.inf
        self.incarnation_count = 0
        self._unfinished: list[Callable[[], None]] = []  # rest of the turn that a pause interrupted
        self._deferred: list[Callable[[], None]] = []

    def begin_incarnation(self) -> None:
        """Start a new incarnation."""
        self.incarnation_count += 1
        self.alive = True
        self.paused = False

    def end_incarnation(self) -> None:
        """End the incarnation; deferred work is lost."""
        self.alive = False
        self.paused = False
        self.crashed_at = self.clock.now
        self._unfinished = []
        self._deferred = []

    def in_this_incarnation(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Wrap a callback so that it runs only in this incarnation, and not while paused."""
        incarnation = self.incarnation_count

        def guarded() -> None:
            """Run the callback unless the incarnation ended or is paused."""
            if self.alive and self.incarnation_count == incarnation and not self.defer_if_suspended(callback):
                callback()

        return guarded

    def defer_if_suspended(self, callback: Callable[[], None]) -> bool:
        """Return whether the process cannot act now; a paused one runs the callback on resume."""
        if self.alive and self.paused:
            self._deferred.append(callback)
        return self.paused or not self.alive

    def run_actions(self, actions: Sequence[ActionT], execute: Callable[[ActionT], None]) -> None:
        """Carry actions out in order; a pause defers the rest and a crash drops it."""
        incarnation = self.incarnation_count
        for index, action in enumerate(actions):
            if not self.alive or self.incarnation_count != incarnation:
                return
            if self.paused:
                self._unfinished.append(partial(self.run_actions, actions[index:], execute))
                return
            execute(action)

    def pause(self) -> None:
        """Suspend the process."""
        if self.alive and not self.paused:
            self.paused = True
            self.paused_at = self.clock.now

    def resume(self) -> None:
        """Finish the interrupted turn, then handle what came in meanwhile, in order."""
        if not self.paused:
            return
        self.paused = False
        waiting = [*self._unfinished, *self._deferred]
        self._unfinished = []
        self._deferred = []
        for callback in waiting:
            self.in_this_incarnation(callback)()
