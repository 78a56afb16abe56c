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
    Changes,
    Commit,
    CommitCompleted,
    Fence,
    Fenced,
    Incarnation,
    LedgerChanged,
    LedgerRecovered,
    LedgerUnavailable,
    Scan,
    ScanCompleted,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.lending import Admission, LendingStage, QuotaPlan
from meadowpulley.lending.records import ALLOCATOR_KEY, KEY_PREFIX, PLAN_KEY

Rates = Callable[[float, int], dict[int, float]]  # by second and gateway: requests a second by tenant
ARRIVAL_SLICE_MS = 250.0  # arrivals are drawn for so long ahead
LEDGER_DELAY_MS = (1.0, 6.0)  # of a commit, an answer and a change
LEDGER_POLL_MS = 50.0  # between two looks of a gateway at the ledger
SUM_CHECK_MS = 50.0  # between two looks at the sum of what may be admitted


class AdmittingStage:
    """What stands behind the stage here: it notes what was let through."""

    def __init__(self) -> None:
        self.admitted: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Request):
            self.admitted.append(event)
        return []


class SimulatedGateway:
    def __init__(self, gateway_index: int, rng: Random, drift: float) -> None:
        self.gateway_index, self.name, self.epoch = gateway_index, f"g{gateway_index}", 0
        self.speed = 1 + 0.9 * drift * rng.uniform(-1, 1)
        self.offset = rng.uniform(0, 1e6)
        self.stage: LendingStage | None = None
        self.incarnation = Incarnation(self.name, 0)
        self.inner = AdmittingStage()
        self.paused, self.disconnected, self.answer_loss_probability, self.read_delay_ms = (
            False,
            False,
            0.0,
            0.0,
        )
        self.deferred_events: list[tuple[Any, int]] = []  # events that came while it stood still
        self.watched_prefixes: tuple[str, ...] = ()
        self.seen_version, self.next_read_at = 0, math.inf

    def clock(self, now: float) -> float:
        return self.offset + self.speed * now


class SimulatedFleet:
    """`rates(second, gateway)` gives what arrives: requests a second by tenant."""

    def __init__(
        self,
        plan: QuotaPlan,
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
        self.gateways = [SimulatedGateway(n, self.rng, plan.drift) for n in range(gateways)]
        self.ledger_operations: Counter[str] = Counter()
        self.bytes_written = 0  # bytes written
        self.arrived: dict[int, Counter[int]] = defaultdict(Counter)  # by second and tenant
        self.admitted: dict[int, Counter[int]] = defaultdict(Counter)
        self.borrowed: Counter[int] = Counter()
        self.excess = self.max_excess = 0.0  # admitted beyond the capacity, over the worst window
        self.last_admitted_at, self.max_rate_fraction = 0.0, 0.0
        self.limit = plan.usable_per_s
        self.rejected: Counter[int] = Counter()
        self.logged: list[str] = []
        for g in self.gateways:
            self.schedule(self.rng.uniform(0, 100), self._start, g)
        self.schedule(0.0, self._schedule_arrivals)
        self.schedule(0.0, self._check_sum)

    # Time

    def schedule(self, at_ms: float, callback: Callable[..., Any], *args: Any) -> None:
        heapq.heappush(self.queue, (at_ms, next(self.order), callback, args))

    def run(self, until_ms: float) -> None:
        while self.queue and self.queue[0][0] <= until_ms:
            self.now, _, callback, args = heapq.heappop(self.queue)
            callback(*args)
        self.now = until_ms

    def _after_delay(self) -> float:
        return self.now + self.rng.uniform(*LEDGER_DELAY_MS)

    # Gateways

    def _start(self, gateway: SimulatedGateway) -> None:
        gateway.incarnation = self.store.register(gateway.name, self.plan.term_ms)
        gateway.epoch, gateway.inner, gateway.deferred_events = (
            gateway.incarnation.epoch,
            AdmittingStage(),
            [],
        )
        gateway.paused, gateway.disconnected, gateway.seen_version, gateway.watched_prefixes = (
            False,
            False,
            0,
            (),
        )
        own = replace(self.settings, gateway_index=gateway.gateway_index)
        gateway.stage = LendingStage(
            gateway.inner, own, self.plan, gateway.incarnation, self.rng.randrange(1 << 30)
        )
        self._watch(gateway)
        self.deliver(gateway, Timer(3))

    def kill(self, gateway: SimulatedGateway) -> None:
        gateway.stage = None
        if self.store.members_by_name[gateway.incarnation.name].incarnation == gateway.incarnation:
            self.store.dead_incarnations.add(gateway.incarnation)

    def restart(self, gateway: SimulatedGateway) -> None:
        """A new life of that name. An earlier one that has not ended is sealed and goes on beside it."""
        if gateway.stage is not None:
            member = self.store.members_by_name[gateway.incarnation.name]
            others = (
                o.incarnation
                for o in self.gateways
                if self.is_live(o) and o.gateway_index != gateway.gateway_index
            )
            if (
                self.store.commit(
                    next(others, gateway.incarnation),
                    [Transaction((Fence(gateway.incarnation, member.renewal),))],
                )[0].outcome
                is not TransactionOutcome.COMMITTED
            ):
                return
            ghost = copy(gateway)
            gateway.deferred_events, gateway.next_read_at, gateway.stage = [], math.inf, None
            self.gateways.append(ghost)
            self.schedule(self.now, self.deliver, ghost, Timer(3))
        self._start(gateway)

    def is_live(self, gateway: SimulatedGateway) -> bool:
        return (
            gateway.stage is not None
            and not self.store.members_by_name[gateway.incarnation.name].fenced
            and not gateway.disconnected
        )

    def pause(self, gateway: SimulatedGateway) -> None:
        gateway.paused = True

    def resume(self, gateway: SimulatedGateway) -> None:
        gateway.paused = False
        deferred, gateway.deferred_events = gateway.deferred_events, []
        for event, epoch in deferred:
            if epoch == gateway.epoch:
                self.deliver(gateway, event)

    def disconnect(self, gateway: SimulatedGateway, notified: bool) -> None:
        gateway.disconnected = True
        if notified:
            self.deliver(gateway, LedgerUnavailable("cut off"))

    def reconnect(self, gateway: SimulatedGateway) -> None:
        gateway.disconnected = False
        self.deliver(gateway, LedgerRecovered())
        self._watch(gateway, anew=True)

    def deliver(self, gateway: SimulatedGateway, event: Any, epoch: int | None = None) -> None:
        if gateway.stage is None or (epoch is not None and epoch != gateway.epoch):
            return
        if gateway.paused:
            gateway.deferred_events.append((event, gateway.epoch))
            return
        actions = gateway.stage.handle(gateway.clock(self.now), event)
        for action in actions:
            if isinstance(action, SetTimer):
                self.schedule(
                    self.now + action.delay_ms / gateway.speed,
                    self.deliver,
                    gateway,
                    Timer(action.token),
                    gateway.epoch,
                )
            elif isinstance(action, Commit):
                self.commit(gateway, action)
            elif isinstance(action, Scan):
                self.schedule(self._after_delay(), self._scan, gateway, gateway.epoch, action)
            elif isinstance(action, LogLine):
                self.logged.append(action.text)
            elif isinstance(action, Reject):
                self.rejected[gateway.gateway_index] += 1
        if gateway.stage is not None and gateway.stage.watched_prefixes() != gateway.watched_prefixes:
            self._watch(gateway)

    # The ledger

    def commit(self, gateway: SimulatedGateway, commit: Commit) -> None:
        if gateway.disconnected:  # nothing gets there, and no answer comes back
            return
        if self.rng.random() < gateway.answer_loss_probability:
            kind = self.rng.randrange(3)
            if kind:  # carried out now, or long after it was given up
                later = self._after_delay() if kind == 1 else self.now + self.rng.uniform(500, 3000)
                self.schedule(later, self._apply, gateway.incarnation, commit)
            unknown = CommitCompleted(
                commit.ticket,
                (TransactionResult(TransactionOutcome.UNKNOWN),) * len(commit.transactions),
                commit.owner,
            )
            self.schedule(self._after_delay() + 20, self.deliver, gateway, unknown, gateway.epoch)
            return
        self.schedule(
            self._after_delay(), self._carry_out, gateway, gateway.incarnation, gateway.epoch, commit
        )

    def _carry_out(
        self, gateway: SimulatedGateway, incarnation: Incarnation, epoch: int, commit: Commit
    ) -> None:
        done = self._apply(incarnation, commit)
        self.schedule(
            self._after_delay(),
            self.deliver,
            gateway,
            CommitCompleted(commit.ticket, tuple(done), commit.owner),
            epoch,
        )

    def _apply(self, incarnation: Incarnation, commit: Commit) -> list[TransactionResult]:
        before = self.store.version
        done = self.store.commit(incarnation, commit.transactions)
        self.ledger_operations["commits"] += 1
        self.ledger_operations["steps"] += len(commit.transactions)
        self.ledger_operations["lost"] += sum(d.outcome is TransactionOutcome.CONFLICT for d in done)
        for step in commit.transactions:
            self.bytes_written += sum(len(getattr(write, "value", b"")) for write in step.writes)
        if self.store.version > before:
            keys = {
                getattr(w, "key", "") for s in commit.transactions for w in s.writes if hasattr(w, "value")
            }
            self._notify(keys)
        return done

    def _scan(self, gateway: SimulatedGateway, epoch: int, scan: Scan) -> None:
        found = None if gateway.disconnected else tuple(self.store.scan(scan.prefix))
        self.ledger_operations["read records"] += len(found or ())
        self.schedule(
            self._after_delay(), self.deliver, gateway, ScanCompleted(scan.ticket, found, scan.owner), epoch
        )

    def _notify(self, keys: set[str]) -> None:
        common = bool(keys & {PLAN_KEY, ALLOCATOR_KEY})
        numbers = {int(key.rsplit("/", 1)[1]) for key in keys - {PLAN_KEY, ALLOCATOR_KEY}}
        for gateway in self.gateways:
            if (
                common or gateway.gateway_index in numbers or gateway.watched_prefixes == (KEY_PREFIX,)
            ) and gateway.next_read_at == math.inf:
                gateway.next_read_at = self._after_delay() + LEDGER_POLL_MS * self.rng.random()
                self.schedule(gateway.next_read_at, self._read, gateway, gateway.epoch, False)

    def _watch(self, gateway: SimulatedGateway, anew: bool = False) -> None:
        assert gateway.stage is not None
        gateway.watched_prefixes, gateway.seen_version = gateway.stage.watched_prefixes(), 0
        self.schedule(self._after_delay(), self._read, gateway, gateway.epoch, True)

    def _read(self, gateway: SimulatedGateway, epoch: int, full: bool) -> None:
        if not full:
            gateway.next_read_at = math.inf
        if gateway.disconnected or gateway.stage is None or epoch != gateway.epoch:
            return
        self.ledger_operations["reads"] += 1
        if gateway.watched_prefixes == (KEY_PREFIX,):
            changes = self.store.changes(0 if full else gateway.seen_version, gateway.watched_prefixes)
        else:  # the same, without looking at every record
            found = [self.store.records[key] for key in gateway.watched_prefixes if key in self.store.records]
            fresh = tuple(
                sorted(
                    (r for r in found if full or r.version > gateway.seen_version), key=lambda r: r.version
                )
            )
            changes = Changes(self.store.version, full, fresh)
        self.ledger_operations["read records"] += len(changes.records)
        gateway.seen_version = changes.version
        if changes.records or full:
            self.schedule(
                self.now + gateway.read_delay_ms, self.deliver, gateway, LedgerChanged(changes), epoch
            )
        if (
            self.store.members_by_name[gateway.incarnation.name].fenced
            or self.store.members_by_name[gateway.incarnation.name].incarnation != gateway.incarnation
        ):
            self.deliver(gateway, Fenced(), epoch)

    # Arrivals, and the sum of what is admitted

    def _schedule_arrivals(self) -> None:
        for gateway in list(self.gateways):
            for tenant, rate in self.rates(self.now / 1000, gateway.gateway_index).items():
                for _ in range(poisson(self.rng, rate * ARRIVAL_SLICE_MS / 1000)):
                    self.schedule(
                        self.now + self.rng.random() * ARRIVAL_SLICE_MS, self._arrive, gateway, tenant
                    )
        self.schedule(self.now + ARRIVAL_SLICE_MS, self._schedule_arrivals)

    def _arrive(self, gateway: SimulatedGateway, tenant: int) -> None:
        second = int(self.now / 1000)
        self.arrived[second][tenant] += 1
        if gateway.stage is None or gateway.paused:
            return
        before = len(gateway.inner.admitted)
        lent = sum(gateway.stage.admissions[p, Admission.BORROWED] for p in (tenant,))
        self.deliver(gateway, Request(next(self.requests), 0, tenant, 0, 1e12))
        if len(gateway.inner.admitted) > before:
            gateway.inner.admitted.clear()
            self.admitted[second][tenant] += 1
            self.borrowed[tenant] += gateway.stage.admissions[tenant, Admission.BORROWED] - lent
            self.count_admission(1.0)

    def count_admission(self, cost: float) -> None:
        """Notes one admission: over every window that ends now, what goes beyond the capacity."""
        passed = (self.now - self.last_admitted_at) / 1000
        self.excess = max(self.excess - self.plan.capacity_per_s * passed, 0.0) + cost
        self.max_excess, self.last_admitted_at = max(self.max_excess, self.excess), self.now

    @property
    def stated_burst(self) -> float:
        """What a window may hold beyond the capacity by the design note: a burst of all, two a gateway."""
        return self.plan.capacity_per_s * self.plan.burst_ms / 1000 + 2 * len(self.gateways)

    def rate_of(self, gateway: SimulatedGateway) -> float:
        """What a gateway may admit a second, were it to go on right now."""
        if gateway.stage is None:
            return 0.0
        holder, now = gateway.stage.enforcer, gateway.clock(self.now)
        floor = holder.floor if now < holder.floor_until else 0.0
        return floor + (holder.grant.total if holder.grant is not None and now < holder.grant_until else 0.0)

    def _check_sum(self) -> None:
        rates = [self.rate_of(g) for g in self.gateways]
        self.max_rate_fraction = max(self.max_rate_fraction, math.fsum(rates) / self.limit)
        self.schedule(self.now + SUM_CHECK_MS, self._check_sum)


def poisson(rng: Random, mean: float) -> int:
    """Knuth's way; means here are small."""
    limit, k, p = math.exp(-mean), 0, rng.random()
    while p > limit:
        k, p = k + 1, p * rng.random()
    return k


def plain_settings(plan: QuotaPlan, gateways: int) -> Settings:
    return Settings(
        gateway_index=0,
        gateway_count=gateways,
        zone=0,
        zones=("a",),
        tick_ms=100.0,
        classes=(RequestClass("read", 500.0, 2000.0, Effect.IDEMPOTENT),),
        tenants=tuple(Tenant(t.name, t.fraction) for t in plan.tenants),
        rules=Rules(),
        limits=Limits(retry_after=True, max_retry_after_ms=10_000.0),
        rollout=Rollout(),
    )
