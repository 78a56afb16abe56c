"""One written request in this gateway's hands: what its record should say, and what it is known to say."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from msgspec.structs import replace as changed

from meadowpulley.interface import Fail, Reject, Request, RequestClass, Send
from meadowpulley.ledger import Create, Record, Remove, Replace, Step, Unchanged, Write
from meadowpulley.takeover.model import (
    ANSWER,
    CONTENT,
    FORMAT,
    LONG_MS,
    WORK,
    Answer,
    Content,
    First,
    Pass,
    Right,
    State,
    Work,
    decode_work,
    encode,
)


@dataclass(slots=True)
class Wait:
    """An attempt that the decisions chose, held until its right is won."""

    action: Send
    until_ms: float


@dataclass(frozen=True, slots=True)
class Final:
    state: State
    action: Reject | Fail | Pass  # what its own client is told
    answer: Answer | None = None


@dataclass(frozen=True, slots=True)
class Flight:
    """A write that is under way: what is proven once it is won."""

    made_ms: float
    keys: tuple[str, ...] = ()  # what it writes, in order; nothing: it only looks whether the id is known
    covers: frozenset[int] = frozenset()  # attempts whose rights are in it
    final: Final | None = None
    gives: bool = False


@dataclass(slots=True, eq=False)
class Hand:
    request: Request
    name: str
    cls: RequestClass
    tenant: str
    content: Content
    digest: bytes
    mark: int
    first: First
    taken_ms: float  # on this gateway's clock; of an adopted one no later than it was
    lives: int = 1
    version: int = 0  # of its record; 0: none that is known
    content_version: int = 0
    answer_version: int = 0
    unsure: bool = False  # a write may have been carried out
    earlier: tuple[Right, ...] = ()  # attempts of earlier lives that may have run
    rights: dict[int, Right] = field(default_factory=dict)  # this life's, by the decisions' number
    tries: int = 0  # with those of earlier lives
    waiting: dict[int, Wait] = field(default_factory=dict)
    passed: list[int] = field(default_factory=list)  # the decisions' numbers of what went out, in order
    out: set[int] = field(default_factory=set)  # the adapter's numbers of attempts without their outcome
    flight: Flight | None = None
    again_at: float = math.inf  # when a write whose fate is not known is tried again
    final: Final | None = None
    earlier_final: Final | None = None  # what `final` stands in for: it may be recorded all the same
    hold_until: float = math.inf  # the client gets the final answer by then, recorded or not
    told: bool = False  # it has it, or the slot was ended
    client: bool = True
    stale: bool = False  # its last write was carried out long after it was made: the time left in it is late
    giving: bool = False  # to others, as this gateway stops
    gone: bool = False  # no longer this gateway's: only outcomes are still heard of

    @property
    def key(self) -> str:
        return WORK + self.name

    @property
    def behind(self) -> bool:
        """Whether something waits for a write."""
        return bool(self.waiting or self.final or self.giving or self.stale or not self.version)

    def work(self, now: float) -> Work:
        """What the record should say now."""
        r = self.request
        state = self.final.state if self.final is not None else State.FREE if self.giving else State.OPEN
        rights = (*self.earlier, *self.rights.values())
        left, waited = (
            min(max(r.deadline_ms - now, 0.0), LONG_MS),
            min(max(now - self.taken_ms, 0.0), LONG_MS),
        )
        hint = min(max(r.expected_work_ms, 0.0), LONG_MS) if r.expected_work_ms is not None else None
        return Work(
            FORMAT,
            state,
            self.cls.name,
            self.tenant,
            r.key,
            self.digest,
            self.mark,
            self.first,
            left,
            waited,
            hint,
            r.write,
            r.arm,
            self.lives,
            self.tries,
            rights,
        )

    def write(self, now: float) -> Step:
        """The step that makes the record say so; `flight` is what it would prove.

        Where a record of it may yet be created, late, its end is created instead of looked up: then that one
        loses."""
        if self.final is not None and not self.version and not self.unsure:  # nothing of it ever went out
            self.flight = Flight(now, final=self.final)
            return Step((Unchanged(self.key, 0),))
        self.stale, value = False, encode(self.work(now))
        writes: list[tuple[str, Write]] = [
            (WORK, Replace(self.key, value, self.version) if self.version else Create(self.key, value))
        ]
        if self.final is None and not self.content_version:
            writes.append((CONTENT, Create(CONTENT + self.name, encode(self.content))))
        elif self.final is not None and self.content_version:
            writes.append((CONTENT, Remove(CONTENT + self.name, self.content_version)))
        if self.final is not None and self.final.answer is not None and not self.answer_version:
            writes.append((ANSWER, Create(ANSWER + self.name, encode(self.final.answer))))
        keys = tuple(key for key, _ in writes)
        gives = self.giving and self.final is None
        self.flight = Flight(now, keys, frozenset(self.rights), self.final, gives)
        return Step(tuple(write for _, write in writes))

    def won(self, flight: Flight, version: int) -> None:
        """Each write of a step has the ledger's next version, `version` is that of the last."""
        self._at(flight.keys, version - len(flight.keys) + 1, flight.final is not None)

    def had_won(self, found: Record) -> State | None:
        """What a record of this life's says, if it is what a write whose fate was not known has left."""
        work = decode_work(found.value)
        state, ended = work.state, work.ended
        if work.mark != self.mark:
            return None
        content = ended == bool(self.content_version)  # it was removed, or made
        final = self.end_of(state)
        answer = final is not None and final.answer is not None  # a longer one is not kept
        keys = [WORK, *([CONTENT] if content else []), *([ANSWER] if answer else [])]
        self.unsure = False
        self._at(tuple(keys), found.version, ended)
        return state

    def end_of(self, state: State) -> Final | None:
        """The final answer with which the record came to say so; None where it is not ended."""
        finals = [final for final in (self.final, self.earlier_final) if final is not None]
        return next((final for final in finals if final.state is state), None)

    def _at(self, keys: tuple[str, ...], first: int, ended: bool) -> None:
        versions = {key: first + n for n, key in enumerate(keys)}
        self.version = versions.get(WORK, self.version)
        self.content_version = 0 if ended else versions.get(CONTENT, self.content_version)
        self.answer_version = versions.get(ANSWER, self.answer_version)
        for n, right in self.rights.items():  # a later one is put too early at worst
            self.rights[n] = right if right.won else changed(right, won=self.version)
