"""A fleet of lending stages in virtual time over a ledger in memory, with faults: for benchmarks and tests.

Each gateway is the real stage over one that admits everything it is handed, on a clock of its own that
starts anywhere and runs fast or slow within the plan's drift. Commits take milliseconds, news up to a poll.
Faults are by gateway: `kill`, `restart`, `pause` and `wake`, `cut` and `mend` (from the ledger), and `loses`,
the part of its commits whose answer is lost: carried out, dropped, or carried out late; `slow_ms`, by which
what it reads comes late.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Callable
from copy import copy
from dataclasses import replace
from itertools import count
from random import Random
from typing import Any

from meadowpulley.interface import (
    Effect,
    Limits,
    LogLine,
    Reject,
    Request,
    RequestClass,
    Rollout,
    Rules,
    SetTimer,
    Settings,
    Tenant,
    Timer,
)
from meadowpulley.ledger.memory import MemoryStore
from meadowpulley.ledger.model import (
    Changed,
    Changes,
    Commit,
    Committed,
    Done,
    Ended,
    How,
    LedgerBack,
    LedgerLost,
    Life,
    Scan,
    Scanned,
    Seal,
    Step,
)
from meadowpulley.lending import Admission, Lending, Plan, model as m

Rates = Callable[[float, int], dict[int, float]]  # by second and gateway: requests a second by tenant
SLICE_MS = 250.0  # arrivals are drawn for so long ahead
DELAY_MS = (1.0, 6.0)  # of a commit, an answer and a change
POLL_MS = 50.0  # between two looks of a gateway at the ledger
CHECK_MS = 50.0  # between two looks at the sum of what may be admitted


class Admits:
    """What stands behind the stage here: it notes what was let through."""

    def __init__(self) -> None:
        self.through: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Request):
            self.through.append(event)
        return []


class Gateway:
    def __init__(self, number: int, rng: Random, drift: float) -> None:
        self.number, self.name, self.epoch = number, f"g{number}", 0
        self.speed = 1 + 0.9 * drift * rng.uniform(-1, 1)
        self.offset = rng.uniform(0, 1e6)
        self.stage: Lending | None = None
        self.life = Life(self.name, 0)
        self.inner = Admits()
        self.paused, self.cut, self.loses, self.slow_ms = False, False, 0.0, 0.0
        self.held: list[tuple[Any, int]] = []  # events that came while it stood still
        self.watched: tuple[str, ...] = ()
        self.seen, self.reads_at = 0, math.inf

    def clock(self, now: float) -> float:
        return self.offset + self.speed * now


class Fleet:
    """`rates(second, gateway)` gives what arrives: requests a second by tenant."""

    def __init__(
        self,
        plan: Plan,
        gateways: int,
        seed: int,
        rates: Rates,
        settings: Settings | None = None,
    ) -> None:
        self.plan, self.rates, self.rng, self.now = plan, rates, Random(seed), 0.0
        self.store = MemoryStore()
        self.settings = settings or plain_settings(plan, gateways)
        self.queue: list[tuple[float, int, Callable[..., Any], tuple[Any, ...]]] = []
        self.order, self.requests = count(), count(1)
        self.gateways = [Gateway(n, self.rng, plan.drift) for n in range(gateways)]
        self.ops: Counter[str] = Counter()
        self.values = 0  # bytes written
        self.arrived: dict[int, Counter[int]] = defaultdict(Counter)  # by second and tenant
        self.admitted: dict[int, Counter[int]] = defaultdict(Counter)
        self.borrowed: Counter[int] = Counter()
        self.excess = self.most_excess = 0.0  # admitted beyond the capacity, over the worst window
        self.last_admitted, self.most_rate = 0.0, 0.0
        self.limit = plan.usable
        self.refused: Counter[int] = Counter()
        self.logged: list[str] = []
        for g in self.gateways:
            self.at(self.rng.uniform(0, 100), self._start, g)
        self.at(0.0, self._slice)
        self.at(0.0, self._check)

    # Time

    def at(self, when: float, what: Callable[..., Any], *args: Any) -> None:
        heapq.heappush(self.queue, (when, next(self.order), what, args))

    def run(self, until_ms: float) -> None:
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, what, args = heapq.heappop(self.queue)
            what(*args)
        self.now = until_ms

    def _soon(self) -> float:
        return self.now + self.rng.uniform(*DELAY_MS)

    # Gateways

    def _start(self, g: Gateway) -> None:
        g.life = self.store.begin(g.name, self.plan.term_ms)
        g.epoch, g.inner, g.held = g.life.epoch, Admits(), []
        g.paused, g.cut, g.seen, g.watched = False, False, 0, ()
        own = replace(self.settings, gateway_index=g.number)
        g.stage = Lending(g.inner, own, self.plan, g.life, self.rng.randrange(1 << 30))
        self._watch(g)
        self.tell(g, Timer(3))

    def kill(self, g: Gateway) -> None:
        g.stage = None
        if self.store.lives[g.life.name].life == g.life:
            self.store.dead.add(g.life)

    def restart(self, g: Gateway) -> None:
        """A new life of that name. An earlier one that has not ended is sealed and goes on beside it."""
        if g.stage is not None:
            member = self.store.lives[g.life.name]
            others = (o.life for o in self.gateways if self.lives(o) and o.number != g.number)
            if (
                self.store.commit(next(others, g.life), [Step((Seal(g.life, member.renewal),))])[0].how
                is not How.WON
            ):
                return
            ghost = copy(g)
            g.held, g.reads_at, g.stage = [], math.inf, None
            self.gateways.append(ghost)
            self.at(self.now, self.tell, ghost, Timer(3))
        self._start(g)

    def lives(self, g: Gateway) -> bool:
        return g.stage is not None and not self.store.lives[g.life.name].sealed and not g.cut

    def pause(self, g: Gateway) -> None:
        g.paused = True

    def wake(self, g: Gateway) -> None:
        g.paused = False
        held, g.held = g.held, []
        for event, epoch in held:
            if epoch == g.epoch:
                self.tell(g, event)

    def cut(self, g: Gateway, told: bool) -> None:
        g.cut = True
        if told:
            self.tell(g, LedgerLost("cut off"))

    def mend(self, g: Gateway) -> None:
        g.cut = False
        self.tell(g, LedgerBack())
        self._watch(g, anew=True)

    def tell(self, g: Gateway, event: Any, epoch: int | None = None) -> None:
        if g.stage is None or (epoch is not None and epoch != g.epoch):
            return
        if g.paused:
            g.held.append((event, g.epoch))
            return
        acts = g.stage.handle(g.clock(self.now), event)
        for act in acts:
            if isinstance(act, SetTimer):
                self.at(self.now + act.delay_ms / g.speed, self.tell, g, Timer(act.token), g.epoch)
            elif isinstance(act, Commit):
                self.commit(g, act)
            elif isinstance(act, Scan):
                self.at(self._soon(), self._scan, g, g.epoch, act)
            elif isinstance(act, LogLine):
                self.logged.append(act.text)
            elif isinstance(act, Reject):
                self.refused[g.number] += 1
        if g.stage is not None and g.stage.watches() != g.watched:
            self._watch(g)

    # The ledger

    def commit(self, g: Gateway, act: Commit) -> None:
        if g.cut:  # nothing gets there, and no answer comes back
            return
        if self.rng.random() < g.loses:
            kind = self.rng.randrange(3)
            if kind:  # carried out now, or long after it was given up
                later = self._soon() if kind == 1 else self.now + self.rng.uniform(500, 3000)
                self.at(later, self._apply, g.life, act)
            unknown = Committed(act.ticket, (Done(How.UNKNOWN),) * len(act.steps), act.owner)
            self.at(self._soon() + 20, self.tell, g, unknown, g.epoch)
            return
        self.at(self._soon(), self._carry_out, g, g.life, g.epoch, act)

    def _carry_out(self, g: Gateway, life: Life, epoch: int, act: Commit) -> None:
        done = self._apply(life, act)
        self.at(self._soon(), self.tell, g, Committed(act.ticket, tuple(done), act.owner), epoch)

    def _apply(self, life: Life, act: Commit) -> list[Done]:
        before = self.store.version
        done = self.store.commit(life, act.steps)
        self.ops["commits"] += 1
        self.ops["steps"] += len(act.steps)
        self.ops["lost"] += sum(d.how is How.LOST for d in done)
        for step in act.steps:
            self.values += sum(len(getattr(write, "value", b"")) for write in step.writes)
        if self.store.version > before:
            keys = {getattr(w, "key", "") for s in act.steps for w in s.writes if hasattr(w, "value")}
            self._notify(keys)
        return done

    def _scan(self, g: Gateway, epoch: int, act: Scan) -> None:
        found = None if g.cut else tuple(self.store.scan(act.prefix))
        self.ops["read records"] += len(found or ())
        self.at(self._soon(), self.tell, g, Scanned(act.ticket, found, act.owner), epoch)

    def _notify(self, keys: set[str]) -> None:
        common = bool(keys & {m.PLAN, m.ALLOCATOR})
        numbers = {int(key.rsplit("/", 1)[1]) for key in keys - {m.PLAN, m.ALLOCATOR}}
        for g in self.gateways:
            if (common or g.number in numbers or g.watched == (m.ROOT,)) and g.reads_at == math.inf:
                g.reads_at = self._soon() + POLL_MS * self.rng.random()
                self.at(g.reads_at, self._read, g, g.epoch, False)

    def _watch(self, g: Gateway, anew: bool = False) -> None:
        assert g.stage is not None
        g.watched, g.seen = g.stage.watches(), 0
        self.at(self._soon(), self._read, g, g.epoch, True)

    def _read(self, g: Gateway, epoch: int, whole: bool) -> None:
        if not whole:
            g.reads_at = math.inf
        if g.cut or g.stage is None or epoch != g.epoch:
            return
        self.ops["reads"] += 1
        if g.watched == (m.ROOT,):
            changes = self.store.changes(0 if whole else g.seen, g.watched)
        else:  # the same, without looking at every record
            found = [self.store.records[key] for key in g.watched if key in self.store.records]
            fresh = tuple(sorted((r for r in found if whole or r.version > g.seen), key=lambda r: r.version))
            changes = Changes(self.store.version, whole, fresh)
        self.ops["read records"] += len(changes.records)
        g.seen = changes.version
        if changes.records or whole:
            self.at(self.now + g.slow_ms, self.tell, g, Changed(changes), epoch)
        if self.store.lives[g.life.name].sealed or self.store.lives[g.life.name].life != g.life:
            self.tell(g, Ended(), epoch)

    # Arrivals, and the sum of what is admitted

    def _slice(self) -> None:
        for g in list(self.gateways):
            for tenant, rate in self.rates(self.now / 1000, g.number).items():
                for _ in range(poisson(self.rng, rate * SLICE_MS / 1000)):
                    self.at(self.now + self.rng.random() * SLICE_MS, self._arrive, g, tenant)
        self.at(self.now + SLICE_MS, self._slice)

    def _arrive(self, g: Gateway, tenant: int) -> None:
        second = int(self.now / 1000)
        self.arrived[second][tenant] += 1
        if g.stage is None or g.paused:
            return
        before = len(g.inner.through)
        lent = sum(g.stage.counts[p, Admission.BORROWED] for p in (tenant,))
        self.tell(g, Request(next(self.requests), 0, tenant, 0, 1e12))
        if len(g.inner.through) > before:
            g.inner.through.clear()
            self.admitted[second][tenant] += 1
            self.borrowed[tenant] += g.stage.counts[tenant, Admission.BORROWED] - lent
            self.count(1.0)

    def count(self, cost: float) -> None:
        """Notes one admission: over every window that ends now, what goes beyond the capacity."""
        passed = (self.now - self.last_admitted) / 1000
        self.excess = max(self.excess - self.plan.capacity_per_s * passed, 0.0) + cost
        self.most_excess, self.last_admitted = max(self.most_excess, self.excess), self.now

    @property
    def stated_burst(self) -> float:
        """What a window may hold beyond the capacity by the design note: a burst of all, two a gateway."""
        return self.plan.capacity_per_s * self.plan.burst_ms / 1000 + 2 * len(self.gateways)

    def rate_of(self, g: Gateway) -> float:
        """What a gateway may admit a second, were it to go on right now."""
        if g.stage is None:
            return 0.0
        holder, now = g.stage.holder, g.clock(self.now)
        floor = holder.floor if now < holder.floor_until else 0.0
        return floor + (holder.grant.total if holder.grant is not None and now < holder.until else 0.0)

    def _check(self) -> None:
        rates = [self.rate_of(g) for g in self.gateways]
        self.most_rate = max(self.most_rate, math.fsum(rates) / self.limit)
        self.at(self.now + CHECK_MS, self._check)


def poisson(rng: Random, mean: float) -> int:
    """Knuth's way; means here are small."""
    limit, k, p = math.exp(-mean), 0, rng.random()
    while p > limit:
        k, p = k + 1, p * rng.random()
    return k


def plain_settings(plan: Plan, gateways: int) -> Settings:
    return Settings(
        gateway_index=0,
        gateway_count=gateways,
        zone=0,
        zones=("a",),
        tick_ms=100.0,
        classes=(RequestClass("read", 500.0, 2000.0, Effect.IDEMPOTENT),),
        tenants=tuple(Tenant(t.name, t.part) for t in plan.tenants),
        rules=Rules(),
        limits=Limits(retry_after=True, max_retry_after_ms=10_000.0),
        rollout=Rollout(),
    )
