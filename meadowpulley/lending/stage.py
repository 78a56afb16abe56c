"""The stage that lends: it lets a request through, or refuses it at once with when to come again.

`handle(now, event) -> actions`, before the next stage. It asks for capacity in turns, goes by what it was
granted, and stands ready to allocate for all when the gateway that does so falls silent. It owns timers of
token 3 and the commits of owner "lending"; everything else passes unchanged.

Whoever carries out its actions tells it what changes under `watches()`, which may change with every event;
first all there is (`Changes.whole`).
"""

from __future__ import annotations

import math
from collections import Counter
from random import Random
from typing import Any, Protocol

from meadowpulley.interface import LogLine, Reject, Request, SetTimer, Settings, Timer
from meadowpulley.ledger.model import (
    LEDGER_EVENTS,
    Changed,
    Committed,
    Ended,
    How,
    LedgerBack,
    LedgerLost,
    Life,
    Record,
    Scanned,
    Suspected,
)
from meadowpulley.lending import model as m
from meadowpulley.lending.demand import Demand
from meadowpulley.lending.holder import Admission, Holder
from meadowpulley.lending.office import Office
from meadowpulley.lending.seat import Seat

TOKEN = 3
TICKS = 4  # looks in a turn: how soon news are answered
MOST_WORK = (
    20.0  # times the usual work: a hint above it counts as so much, as buckets grow with the costliest
)
LOOK_AGAIN = 1.3  # times what was granted: a demand so much greater is told before the turn is over


class Next(Protocol):
    def handle(self, now: float, event: Any) -> list[Any]: ...


class Lending:
    """One gateway's part. `life` is the one its ledger began for it, `plan` the plan of its own settings."""

    def __init__(self, inner: Next, settings: Settings, plan: m.Plan, life: Life, seed: int) -> None:
        self.inner, self.settings, self.life = inner, settings, life
        self.holder = Holder(plan)
        self.demand = Demand(plan.term_ms / 2)
        self.seat = Seat(settings.gateway_index, life, self.holder)
        self.office = Office(life, plan, Random(seed))
        self.mine: m.Plan | None = plan  # of the settings, until the ledger's is as new
        self.plan_version = 0  # of the ledger's record; 0: none seen
        self.plan_ticket = 0
        self.worth = {n: c.priority_weight for n, c in enumerate(settings.classes)}
        self.places: dict[int, int] = {}
        self.counts: Counter[tuple[int, Admission]] = Counter()  # requests by place, since the start
        self.tickets, self.lost, self.ended, self.left, self.warned = 0, False, False, False, False
        self.timer_at, self.read = -math.inf, False
        self._map()

    @property
    def plan(self) -> m.Plan:
        return self.holder.plan

    def watches(self) -> tuple[str, ...]:
        """Beginnings of the keys this stage must be told of now."""
        if self.office.needs_all:
            return (m.ROOT,)
        return (m.PLAN, m.ALLOCATOR, *self.seat.keys)

    def handle(self, now: float, event: Any) -> list[Any]:
        kind = type(event)
        if kind is Request:
            acts = self._request(now, event)
        elif kind is Timer and event.token == TOKEN:
            return self._tick(now)
        elif kind in (Committed, Scanned) and event.owner == m.OWNER:
            return self._committed(now, event) if kind is Committed else self._scanned(now, event)
        elif kind in LEDGER_EVENTS:
            acts = self._ledger(now, event) + self.inner.handle(now, event)
        else:
            acts = self.inner.handle(now, event)
        return acts if now < self.timer_at else acts + self._set_timer(now)

    def replan(self, now: float, plan: m.Plan) -> list[Any]:
        """Takes shares of new settings to all gateways. Raises `PlanError`, and changes nothing, where they
        can't be or their version is not above the one that is in force."""
        m.checked(plan)
        if plan.version <= self.plan.version and plan != self.plan:
            raise m.PlanError(f"lending: version {plan.version} is not above {self.plan.version}: raise it")
        self.mine = plan
        return self._propose()

    def leave(self, now: float) -> list[Any]:
        """A planned stop: admits nothing more, and gives back what it holds at once."""
        self.left = True
        self.holder.drop(now, floor=True)
        self.office.resign(now)
        return self.seat.leave(now, self._ticket())

    # Requests

    def _request(self, now: float, r: Request) -> list[Any]:
        if r.adopted and (r.prior_attempts or r.prior_attempt_count):
            # Its right was won at a gateway that had admitted it: it counts once, and may have run.
            return self.inner.handle(now, r)
        place, cost = self.places.get(r.tenant, len(self.plan.tenants)), self._cost(r)
        if not r.client_retry:
            self.demand.add(place, r.class_index, cost)
        how = self.holder.admit(now, place, r.class_index, cost)
        self.counts[place, how] += 1
        if how is not Admission.REFUSED:
            return self.inner.handle(now, r)
        wait, limits = self.holder.back_in(now, place, cost), self.settings.limits
        wait = min(wait, limits.max_retry_after_ms or math.inf) if limits.retry_after else 0.0
        return [Reject(r.request, wait), *(self._ask(now, early=True) if self._is_news(place) else [])]

    def _is_news(self, place: int) -> bool:
        """Whether a tenant asks for clearly more than was told: that can't wait for the next turn."""
        usual = self.seat.told.get(place, 0.0) * self.plan.turn_ms / 1000
        return self.demand.noted(place) > LOOK_AGAIN * usual + self.holder.one

    def _cost(self, r: Request) -> float:
        if not self.plan.by_work:
            return 1.0
        usual = self.plan.work_ms
        return usual if r.expected_work_ms is None else min(max(r.expected_work_ms, 0.0), MOST_WORK * usual)

    def _map(self) -> None:
        """Places in the plan by the tenants' numbers here: settings may list them in another order."""
        places = {t.name: place for place, t in enumerate(self.plan.tenants)}
        named = enumerate(self.settings.tenants)
        self.places = {n: places[t.name] for n, t in named if t.name in places}

    # Time

    def _set_timer(self, now: float) -> list[Any]:
        if now < self.timer_at:
            return []
        wait = self.plan.turn_ms / TICKS
        self.timer_at = now + 2 * wait  # one that got lost is set anew
        return [SetTimer(wait, TOKEN)]

    def _tick(self, now: float) -> list[Any]:
        self.timer_at = -math.inf
        self.holder.look(now)
        acts: list[Any] = []
        if self.read and not (self.lost or self.ended or self.left):
            acts += self._propose() + self._ask(now, early=self.seat.should_tell)
            acts += self.office.look(now, self.seat.unanswered_since, self._ticket())
        return acts + self._set_timer(now)

    def _ask(self, now: float, early: bool = False) -> list[Any]:
        if self.lost or self.ended or self.left or not self.read or self.plan_version == 0:
            return []
        if not self.seat.due(now, early):
            return self._warn(now)
        self.demand.turn(now)
        self.holder.weigh(now, self.demand.by_class(), self.worth)
        return self.seat.ask(now, self.demand.asks(), self._ticket())

    def _warn(self, now: float) -> list[Any]:
        if self.warned or now >= self.seat.taken_until:
            return []
        self.warned = True
        said = f"lending: number {self.seat.number} is in use by gateway '{self.seat.taken_by}'"
        return [LogLine(f"{said}: give each gateway a number of its own")]

    def _ticket(self) -> int:
        self.tickets += 1
        return self.tickets

    # The ledger

    def _ledger(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Changed):
            return self._changed(now, event)
        if isinstance(event, Suspected):
            self.office.suspected(now, event)
        elif isinstance(event, LedgerLost):
            self.lost = True
            self.office.resign(now)
            self.seat.forget()
        elif isinstance(event, LedgerBack):
            self.lost = False
        elif isinstance(event, Ended):
            # It can't renew anything; its floor it may use: the next life waits for the end of that.
            self.ended = True
            self.office.resign(now)
            self.holder.drop(now, floor=False)
        return []

    def _changed(self, now: float, event: Changed) -> list[Any]:
        changes, acts = event.changes, []
        self.read = self.read or changes.whole
        records = [r for r in changes.records if r.key.startswith(m.ROOT)]
        for record in records:
            if record.key == m.PLAN:
                acts += self._plan(now, record)
        for record in records:
            self.office.saw(now, record)
            if record.key in self.seat.keys:
                self.seat.saw(now, record)
        if self.seat.should_tell:
            acts += self._ask(now, early=True)
        return acts

    def _plan(self, now: float, record: Record) -> list[Any]:
        if record.version <= self.plan_version:
            return []
        self.plan_version = record.version
        try:
            plan = m.unpack_plan(record.value)
        except m.PlanError as error:
            return [LogLine(f"{error}: the earlier shares stay")]
        if self.mine is not None and self.mine.version <= plan.version:
            said = f"lending: version {plan.version} of the ledger's shares differs from these settings"
            differs, self.mine = self.mine.version == plan.version and self.mine != plan, None
            acts: list[Any] = [LogLine(f"{said}: the ledger's hold; raise the version")] if differs else []
        else:
            acts = []
        if plan != self.plan:
            self.demand.move(self.plan, plan)
            self.holder.replan(now, plan)
            floor = min(self.holder.floor, plan.floor_of(self.seat.number))
            self.holder.keep_floor(now, floor, self.holder.floor_until)
            self._map()
        self.office.replan(plan, record.version)
        return acts

    def _propose(self) -> list[Any]:
        """Writes the plan of these settings where the ledger has none, or an older one."""
        if self.mine is None or self.plan_ticket or not self.read:
            return []
        if self.plan_version and self.mine.version <= self.plan.version:
            return []
        self.plan_ticket = self._ticket()
        return [m.write(self.plan_ticket, m.PLAN, m.pack_plan(self.mine), self.plan_version)]

    def _scanned(self, now: float, event: Scanned) -> list[Any]:
        self.office.scanned(now, event)
        return []

    def _committed(self, now: float, event: Committed) -> list[Any]:
        if event.ticket == self.plan_ticket:
            self.plan_ticket = 0  # what became of it is told as a change
            return []
        if self.seat.committed(now, event):
            lost = self.left and event.done[0].how is How.LOST  # an asking was under way
            return self.seat.leave(now, self._ticket()) if lost else []
        return self.office.committed(now, event)
