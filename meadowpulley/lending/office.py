"""Who allocates: one gateway at a time holds the office, by a record that each grant depends on.

A gateway whose asking stays unanswered for a while takes the office: it replaces the record, so that nothing
the one before had under way can still be written, reads everything anew, and goes on. Taking it too early
costs work and nothing else.
"""

from __future__ import annotations

import math
from enum import Enum
from random import Random
from typing import Any

from meadowpulley.ledger.model import (
    Commit,
    Committed,
    Create,
    How,
    Life,
    Record,
    Replace,
    Scan,
    Scanned,
    Step,
    Suspected,
    Unchanged,
)
from meadowpulley.lending import model as m
from meadowpulley.lending.allocator import Allocator

PATIENCE = 2.0  # turns without an answer, and up to one more by lot, before a gateway takes the office
SILENT = 4.0  # turns without word of what it committed, and it gives up the office


class Stands(Enum):
    OUTSIDE = 0
    CLAIMS = 1  # the record's replacement is under way
    READS = 2  # it holds the office and waits to be told everything
    ALLOCATES = 3


class Office:
    def __init__(self, life: Life, plan: m.Plan, rng: Random) -> None:
        self.life, self.plan, self.rng = life, plan, rng
        self.stands = Stands.OUTSIDE
        self.version = 0  # of the office's record
        self.holder: Life | None = None
        self.plan_version = 0
        self.allocator = Allocator(plan)
        self.ticket, self.since = 0, -math.inf
        self.sent: list[tuple[int, m.Grant]] = []
        self.lot = rng.random()
        self.changed_at = -math.inf  # when the office last changed hands
        self.hint_at = math.inf

    @property
    def needs_all(self) -> bool:
        return self.stands in (Stands.READS, Stands.ALLOCATES)

    def resign(self, now: float) -> None:
        self.stands, self.ticket, self.sent, self.changed_at = Stands.OUTSIDE, 0, [], now
        self.lot, self.hint_at = self.rng.random(), math.inf
        self.allocator = Allocator(self.plan)

    def replan(self, plan: m.Plan, version: int) -> None:
        self.plan, self.plan_version = plan, version
        self.allocator.replan(plan)

    def suspected(self, now: float, event: Suspected) -> None:
        if any(member.life == self.holder for member in event.members):
            self.hint_at = now + self.lot * self.plan.turn_ms

    def saw(self, now: float, record: Record) -> None:
        if record.key == m.ALLOCATOR:
            self._saw_office(now, record)
        elif self.needs_all:
            kind = m.ASK if record.key.startswith(m.ASK) else m.GRANT
            number = record.key[len(kind) :]
            if not record.key.startswith(kind) or not number.isdecimal():
                return
            try:
                if kind == m.ASK:
                    self.allocator.saw_ask(now, int(number), m.unpack_ask(record.value), record.version)
                else:
                    self.allocator.saw_grant(now, int(number), m.unpack_grant(record.value), record.version)
            except ValueError:
                self.resign(now)  # what it can't read it can't count

    def _saw_office(self, now: float, record: Record) -> None:
        if record.version <= self.version:
            return
        self.version = record.version
        self.holder = m.unpack_life(record.value)
        if self.stands is not Stands.CLAIMS or self.holder != self.life:
            self.resign(now)

    def scanned(self, now: float, event: Scanned) -> None:
        """All there is, read after the office was won: nothing can be written behind it any more."""
        if self.stands is not Stands.READS or event.ticket != self.ticket:
            return
        self.ticket = 0
        if event.records is None:
            self.resign(now)
            return
        for record in event.records:
            self.saw(now, record)
        if self.stands is Stands.READS:
            self.stands = Stands.ALLOCATES

    def look(self, now: float, unanswered_since: float, ticket: int) -> list[Any]:
        """What there is to do now; `unanswered_since` is when the first unanswered asking began."""
        turn = self.plan.turn_ms
        if self.ticket and now > self.since + SILENT * turn:
            self.resign(now)
        if self.stands is Stands.OUTSIDE and not self.ticket and self.plan_version:
            waited = max(unanswered_since, self.changed_at) + (PATIENCE + self.lot) * turn
            if now >= min(waited, self.hint_at) or (not self.version and unanswered_since < now):
                self.stands, self.ticket, self.since = Stands.CLAIMS, ticket, now
                return [m.write(ticket, m.ALLOCATOR, m.pack_life(self.life), self.version)]
        if self.stands is Stands.ALLOCATES and not self.ticket:
            return self._allocate(now, ticket)
        return []

    def _allocate(self, now: float, ticket: int) -> list[Any]:
        grants = self.allocator.turn(now)
        if not grants:
            return []
        self.ticket, self.since = ticket, now
        self.sent = [(number, grant) for number, grant, _ in grants]
        fence = (Unchanged(m.ALLOCATOR, self.version), Unchanged(m.PLAN, self.plan_version))
        steps = []
        for number, grant, version in grants:
            key, value = m.key(m.GRANT, number), m.pack_grant(grant)
            last = Replace(key, value, version) if version else Create(key, value)
            steps.append(Step((*fence, last)))
        return [Commit(ticket, tuple(steps), m.OWNER)]

    def committed(self, now: float, event: Committed) -> list[Any]:
        if not self.ticket or event.ticket != self.ticket:
            return []
        self.ticket = 0
        if self.stands is Stands.CLAIMS:
            return self._claimed(now, event)
        if self.stands is Stands.ALLOCATES:
            self._granted(now, event)
        return []

    def _claimed(self, now: float, event: Committed) -> list[Any]:
        done = event.done[0] if event.done else None
        if done is not None and done.how is How.WON:
            self.version, self.holder = max(self.version, done.version), self.life
            self.stands, self.changed_at = Stands.READS, now
            self.allocator = Allocator(self.plan)
            self.ticket, self.since = event.ticket, now
            return [Scan(event.ticket, m.ROOT, m.OWNER)]
        self.resign(now)
        if done is not None and done.found is not None:
            self.saw(now, done.found)
        return []

    def _granted(self, now: float, event: Committed) -> None:
        sent, self.sent = self.sent, []
        for (number, grant), done in zip(sent, event.done, strict=False):
            if done.how is How.WON:
                self.allocator.saw_grant(now, number, grant, done.version)
            elif done.how is not How.LOST or done.at != 1:
                self.resign(now)  # it may yet be written: whoever takes the office next makes sure
                return
        if len(event.done) != len(sent):
            self.resign(now)
