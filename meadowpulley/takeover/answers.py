"""Clients that asked again and wait for work in hand; answers kept for those that may yet."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from meadowpulley.interface import Action, Fail, LogLine, Reject
from meadowpulley.ledger import Done, How, Remove, Step, Unchanged
from meadowpulley.takeover.mirror import Mirror
from meadowpulley.takeover.model import (
    ANSWER,
    CONTENT,
    WORK,
    Answer,
    Pass,
    RecordError,
    State,
    Terms,
    decode_answer,
)
from meadowpulley.takeover.turn import For, Turn, What


def reply(request: int, state: State, answer: Answer | None) -> Action | Pass:
    """The answer of ended work, to one that asked for it."""
    if state is State.SERVED and answer is not None:
        return Pass(request, answer.status, answer.headers, answer.body)
    return Reject(request) if state is State.REFUSED else Fail(request)


class Asks:
    """By name, the asks that wait; each is answered once, at its own deadline at the latest."""

    def __init__(self, terms: Terms, mirror: Mirror) -> None:
        self.terms, self.mirror = terms, mirror
        self.by_name: dict[str, dict[int, float]] = {}  # requests that wait, and until when
        self.names: dict[int, str] = {}
        self.reading: set[str] = set()  # whose answers are being read
        self.again: dict[str, float] = {}  # whose are to be read again, and when

    def add(self, name: str, request: int, deadline_ms: float) -> None:
        self.by_name.setdefault(name, {})[request] = deadline_ms
        self.names[request] = name

    def leave(self, request: int) -> bool:
        """Whether it was one that waits."""
        name = self.names.pop(request, None)
        if name is None:
            return False
        del self.by_name[name][request]
        if not self.by_name[name]:
            del self.by_name[name]
        return True

    def end(self, turn: Turn, name: str, state: State, answer: Answer | None) -> None:
        """All of that name get that answer, in the order they came."""
        for request in self.by_name.pop(name, ()):
            del self.names[request]
            turn.acts.append(reply(request, state, answer))
        self.again.pop(name, None)

    def end_all(self, turn: Turn) -> None:
        for name in list(self.by_name):
            self.end(turn, name, State.FAILED, None)

    def look(self, turn: Turn, name: str, state: State, version: int) -> None:
        """What the ledger says of work that asks may wait for, if the mirror has nothing newer."""
        if name not in self.by_name:
            return
        ended = self.mirror.ended.get(name)
        if ended is not None and ended[0] >= version:
            state = ended[1]
        if state is State.SERVED:
            self._read(turn, name)
        elif state in (State.FAILED, State.REFUSED):
            self.end(turn, name, state, None)

    def changed(self, turn: Turn, name: str) -> None:
        """The record of that name is new, or gone: then what became of it is not known."""
        version = self.mirror.version_of(name)
        self.look(turn, name, State.OPEN if version else State.FAILED, version)

    def _read(self, turn: Turn, name: str) -> None:
        if name not in self.reading:
            self.reading.add(name)
            turn.step(Step((Unchanged(ANSWER + name, 0),)), For(What.ANSWER, name))

    def answered(self, turn: Turn, name: str, done: Done) -> None:
        """An answer was read; one that is not kept any more can't be given."""
        self.reading.discard(name)
        answer = None
        if done.how is How.UNKNOWN:
            self.again[name] = turn.now + self.terms.again_ms
            return
        if done.found is not None:
            try:
                answer = decode_answer(done.found.value)
            except RecordError as error:
                turn.acts.append(LogLine(f"takeover: record {done.found.key!r} left alone: {error}"))
        self.end(turn, name, State.SERVED, answer)

    def due_at(self) -> float:
        return min(self.again.values()) if self.again else math.inf

    def tick(self, turn: Turn) -> None:
        for name in [n for n, at in self.again.items() if at <= turn.now]:
            del self.again[name]
            if name in self.by_name:
                self._read(turn, name)

    def overdue(self, turn: Turn, request: int) -> None:
        """Fails it if its client stops waiting now; the work goes on."""
        name = self.names.get(request)
        if name is not None and self.by_name[name][request] <= turn.now:
            self.leave(request)
            turn.acts.append(Fail(request))


AT_ONCE = 64  # records removed in one turn


@dataclass(slots=True)
class Kept:
    """An ended record, and the versions at which it and what goes with it may be removed; 0: none."""

    name: str
    until_ms: float
    work: int
    answer: int = 0
    content: int = 0
    size: int = 0
    old: bool = False  # left by a dead life: what goes with it is not known


@dataclass(slots=True)
class Keeping:
    """Ended records, oldest first: in number bounded by time, in bytes by the terms.

    A life removes its own. What a dead one left is removed by those that start later and see all there is.
    """

    terms: Terms
    kept: dict[str, Kept] = field(default_factory=dict)
    old: dict[str, Kept] = field(default_factory=dict)  # those being read
    size: int = 0

    def add(self, turn: Turn, kept: Kept) -> None:
        """Past their bound the oldest bodies go first; the records stay, so that nothing is started again."""
        before = self.kept.pop(kept.name, None)
        self.size += kept.size - (before.size if before is not None else 0)
        self.kept[kept.name] = kept
        if self.size <= self.terms.keep_bytes:
            return
        for each in self.kept.values():
            if self.size <= self.terms.keep_bytes:
                break
            if each.answer:
                turn.step(Step((Remove(ANSWER + each.name, each.answer),)), For(What.CLEAN))
                self.size -= each.size
                each.answer = each.size = 0

    def inherit(self, now: float, left: Iterable[tuple[str, int]]) -> None:
        for name, version in left:
            if name not in self.kept:
                self.kept[name] = Kept(name, now + self.terms.keep_ms, version, old=True)

    def due_at(self) -> float:
        return next(iter(self.kept.values())).until_ms if self.kept else math.inf

    def tick(self, turn: Turn) -> None:
        """What was kept long enough is removed, some of it in each turn."""
        due = [k for k in islice(self.kept.values(), AT_ONCE) if k.until_ms <= turn.now]
        for kept in due:
            del self.kept[kept.name]
            self.size -= kept.size
            if kept.old:
                self.old[kept.name] = kept
                for at in (ANSWER, CONTENT):
                    turn.step(Step((Unchanged(at + kept.name, 0),)), For(What.OLD, at + kept.name))
            else:
                self._remove(turn, kept)

    def read(self, turn: Turn, key: str, done: Done) -> None:
        """First the answer, then the content; where that is not to be known it stays for the next start."""
        at = ANSWER if key.startswith(ANSWER) else CONTENT
        kept = self.old.get(key[len(at) :])
        if kept is None or done.how is How.UNKNOWN:
            self.old.pop(key[len(at) :], None)
        elif at is ANSWER:
            kept.answer = done.found.version if done.found is not None else 0
        else:
            kept.content = done.found.version if done.found is not None else 0
            del self.old[kept.name]
            self._remove(turn, kept)

    @staticmethod
    def _remove(turn: Turn, kept: Kept) -> None:
        there = ((WORK, kept.work), (ANSWER, kept.answer), (CONTENT, kept.content))
        turn.step(Step(tuple(Remove(at + kept.name, v) for at, v in there if v)), For(What.CLEAN))
