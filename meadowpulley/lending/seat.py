"""One gateway's own two records: it asks in turns, and takes up what it was granted.

A grant counts from the moment this gateway BEGAN the asking that it answers, on its own clock: whoever counts
the grant as free again saw it later than that, whatever was slow or stopped in between.
"""

from __future__ import annotations

import math
from typing import Any

from meadowpulley.ledger.model import Committed, Done, How, Life, Record
from meadowpulley.lending import model as m
from meadowpulley.lending.holder import Holder

EARLY = 0.25  # of a turn between two askings, at least: for what can't wait
LOWER = 0.99  # of what it went by before: so much less is told at once
REMEMBERED = 32  # askings whose beginnings are known: older ones have no grant that still counts


class Seat:
    def __init__(self, number: int, life: Life, holder: Holder) -> None:
        self.number, self.life, self.holder = number, life, holder
        self.ask_key, self.grant_key = m.key(m.ASK, number), m.key(m.GRANT, number)
        self.turn = self.seen = 0
        self.began: dict[int, float] = {}
        self.version = 0  # of the own asking's record
        self.ticket, self.asked_at = 0, -math.inf  # 0: none under way
        self.should_tell = False  # that it goes by a lesser grant: others wait for it
        self.unanswered_since = math.inf
        self.before = 0.0  # floor that an earlier life may still go by
        self.before_until = -math.inf
        self.taken_by: Life | None = None  # another name that asks under this number
        self.taken_until = -math.inf
        self.told: dict[int, float] = {}  # rates asked for last

    @property
    def keys(self) -> tuple[str, str]:
        return self.ask_key, self.grant_key

    def due(self, now: float, early: bool) -> bool:
        turn = self.holder.plan.turn_ms
        if self.ticket:
            if now < self.asked_at + 4 * turn:
                return False
            self.ticket = 0  # no answer: it may have been carried out or not
        return now >= max(self.asked_at + turn * (EARLY if early else 1.0), self.taken_until)

    def ask(self, now: float, rates: dict[int, float], ticket: int, left: bool = False) -> list[Any]:
        self.turn, self.told = self.turn + 1, rates
        self.ticket, self.asked_at, self.should_tell = ticket, now, False
        self.began[self.turn] = now
        self.began.pop(self.turn - REMEMBERED, None)
        self.unanswered_since = min(self.unanswered_since, now)
        if now >= self.before_until:
            self.before = 0.0
        floor = max(self.before, self.holder.floor)
        told = tuple(sorted(rates.items()))
        ask = m.Ask(
            self.life, self.turn, self.seen, self.holder.plan.version, floor, self.holder.floor, left, told
        )
        return [m.write(ticket, self.ask_key, m.pack_ask(ask), self.version)]

    def leave(self, now: float, ticket: int) -> list[Any]:
        return self.ask(now, {}, ticket, left=True) if self.version else []

    def forget(self) -> None:
        """The ledger is lost: what was under way may be done or not."""
        self.ticket, self.unanswered_since = 0, math.inf

    def committed(self, now: float, event: Committed) -> bool:
        if event.ticket != self.ticket or not self.ticket:
            return False
        self.ticket = 0
        done = event.done[0] if event.done else Done(How.UNKNOWN)
        if done.how is How.WON:
            self.version = max(self.version, done.version)
            if self.holder.floor > 0:
                term = self.holder.plan.floor_term_ms
                self.holder.keep_floor(now, self.holder.floor, self.asked_at + self.holder.plan.own(term))
        elif done.how is How.LOST and done.found is not None:
            self.saw(now, done.found)
        elif done.how is How.LOST:
            self.version = 0
        return True

    def saw(self, now: float, record: Record) -> None:
        try:
            if record.key == self.ask_key:
                self._saw_ask(now, record)
            else:
                self._saw_grant(now, m.unpack_grant(record.value))
        except ValueError:  # of a later format: stays as it is until it is overwritten
            return

    def _saw_ask(self, now: float, record: Record) -> None:
        self.version = max(self.version, record.version)
        ask = m.unpack_ask(record.value)
        if ask.life == self.life:
            return
        if ask.left:
            return
        self._wait(now, ask.floor)
        if ask.life.name != self.life.name:
            self.taken_by = ask.life
            self.taken_until = now + self.holder.plan.others(self.holder.plan.term_ms)

    def _wait(self, now: float, floor: float) -> None:
        """An earlier life may go on with its floor for its term: until then this one has none."""
        if floor > 0:
            plan = self.holder.plan
            self.before = max(self.before, floor)
            self.before_until = now + plan.others(plan.floor_term_ms)

    def _saw_grant(self, now: float, grant: m.Grant) -> None:
        plan = self.holder.plan
        if grant.life != self.life:
            if self.turn == 0 and self.version:
                self._wait(now, grant.floor)
            return
        if grant.turn <= self.seen or grant.turn not in self.began or grant.plan != plan.version:
            return
        began, before = self.began[grant.turn], self.holder.rate
        self.seen = grant.turn
        self.unanswered_since = math.inf if grant.turn == self.turn else self.began[grant.turn + 1]
        self.holder.take(now, grant, began + plan.own(grant.term_ms))
        floor = min(grant.floor, plan.floor_of(self.number))
        if now >= self.before_until and began + plan.own(plan.floor_term_ms) > now:
            self.holder.keep_floor(now, floor, began + plan.own(plan.floor_term_ms))
        self.should_tell = self.should_tell or self.holder.rate < LOWER * before
