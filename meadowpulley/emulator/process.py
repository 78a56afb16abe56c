"""A process that can be killed, paused and woken at any moment, also in the middle of a turn."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from meadowpulley.emulator.clock import Timeline


class SimulatedProcess:
    """One life after the other. While paused nothing is handled and everything queues, as under SIGSTOP."""

    def __init__(self, clock: Timeline) -> None:
        self.clock = clock
        self.alive = self.paused = False
        self.crashed_at = self.paused_at = -math.inf
        self.incarnation_count = 0
        self._unfinished: list[Callable[[], None]] = []  # of the turn that a pause has cut in two
        self._deferred: list[Callable[[], None]] = []

    def begin_incarnation(self) -> None:
        self.incarnation_count += 1
        self.alive, self.paused = True, False

    def end_incarnation(self) -> None:
        self.alive = self.paused = False
        self.crashed_at = self.clock.now
        self._unfinished, self._deferred = [], []

    def in_this_incarnation(self, callback: Callable[[], None]) -> Callable[[], None]:
        """A call that only the life that set it hears, once it is awake."""
        incarnation = self.incarnation_count

        def guarded() -> None:
            if self.alive and self.incarnation_count == incarnation and not self.defer_if_suspended(callback):
                callback()

        return guarded

    def defer_if_suspended(self, callback: Callable[[], None]) -> bool:
        """Whether this process can't do it now: it never will if it is dead, or will when it wakes."""
        if self.alive and self.paused:
            self._deferred.append(callback)
        return self.paused or not self.alive

    def run_actions(self, actions: Sequence[Any], execute: Callable[[Any], None]) -> None:
        """Does one after the other; a pause or a kill in the middle leaves the rest for later, or undone."""
        incarnation = self.incarnation_count
        for index, action in enumerate(actions):
            if not self.alive or self.incarnation_count != incarnation:
                return
            if self.paused:
                self._unfinished.append(partial(self.run_actions, actions[index:], execute))
                return
            execute(action)

    def pause(self) -> None:
        if self.alive and not self.paused:
            self.paused, self.paused_at = True, self.clock.now

    def resume(self) -> None:
        """The turn that was cut goes on, then all that came meanwhile is handled, in its order."""
        if not self.paused:
            return
        self.paused = False
        waiting = [*self._unfinished, *self._deferred]
        self._unfinished, self._deferred = [], []
        for callback in waiting:
            self.in_this_incarnation(callback)()
