"""A process that can be killed, paused and woken at any moment, also in the middle of a turn."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from functools import partial
from typing import Any

from meadowpulley.emulator.clock import Timeline


class Process:
    """One life after the other. While paused nothing is handled and everything queues, as under SIGSTOP."""

    def __init__(self, clock: Timeline) -> None:
        self.clock = clock
        self.alive = self.paused = False
        self.died_at = self.paused_at = -math.inf
        self.lives = 0
        self._unfinished: list[Callable[[], None]] = []  # of the turn that a pause has cut in two
        self._queued: list[Callable[[], None]] = []

    def begin_life(self) -> None:
        self.lives += 1
        self.alive, self.paused = True, False

    def end_life(self) -> None:
        self.alive = self.paused = False
        self.died_at = self.clock.now
        self._unfinished, self._queued = [], []

    def this_life(self, call: Callable[[], None]) -> Callable[[], None]:
        """A call that only the life that set it hears, once it is awake."""
        life = self.lives

        def guarded() -> None:
            if self.alive and self.lives == life and not self.held_up(call):
                call()

        return guarded

    def held_up(self, call: Callable[[], None]) -> bool:
        """Whether this process can't do it now: it never will if it is dead, or will when it wakes."""
        if self.alive and self.paused:
            self._queued.append(call)
        return self.paused or not self.alive

    def in_turn(self, actions: Sequence[Any], act: Callable[[Any], None]) -> None:
        """Does one after the other; a pause or a kill in the middle leaves the rest for later, or undone."""
        life = self.lives
        for n, action in enumerate(actions):
            if not self.alive or self.lives != life:
                return
            if self.paused:
                self._unfinished.append(partial(self.in_turn, actions[n:], act))
                return
            act(action)

    def pause(self) -> None:
        if self.alive and not self.paused:
            self.paused, self.paused_at = True, self.clock.now

    def wake(self) -> None:
        """The turn that was cut goes on, then all that came meanwhile is handled, in its order."""
        if not self.paused:
            return
        self.paused = False
        waiting = [*self._unfinished, *self._queued]
        self._unfinished, self._queued = [], []
        for call in waiting:
            self.this_life(call)()
