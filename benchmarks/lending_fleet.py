"""A fleet of lending stages in virtual time over a ledger in memory, with faults: for benchmarks and tests.

Each gateway is the real stage on a clock of its own, which starts anywhere and runs fast or slow within the
plan's drift. Commits take milliseconds, changes are observed at the next poll. Faults are by gateway: `kill`,
`restart`, `pause` and `resume`, `disconnect` and `reconnect` (the ledger), `answer_loss_probability` (of its
commits, which are then committed, dropped, or committed late), and `read_delay_ms` (of what it observes).
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

from benchmarks.lending_gateway import AdmittingStage, SimulatedGateway, plain_settings
from meadowpulley.interface import (
    LOG_EVENT_TYPES,
    Reject,
    Request,
    SetTimer,
    Settings,
    Timer,
)
from meadowpulley.interface.log_wording import log_text
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

Rates = Callable[[float, int], dict[int, float]]  # by second and gateway: requests per second by tenant
ARRIVAL_SLICE_MS = 250.0  # arrivals are drawn so far ahead
LEDGER_DELAY_MS = (1.0, 6.0)  # of a commit, its result and a change
LEDGER_POLL_MS = 50.0  # between two reads of a gateway
SUM_CHECK_MS = 50.0  # between two checks of the sum of what may be admitted


class SimulatedFleet:
    """`rates(second, gateway)` returns what arrives: requests per second by tenant."""

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
        self.bytes_written = 0
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
        """Call back at a time of the fleet."""
        heapq.heappush(self.queue, (at_ms, next(self.order), callback, args))

    def run(self, until_ms: float) -> None:
        """Run all that is scheduled up to a time."""
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
        gateway.paused = gateway.disconnected = False
        gateway.seen_version, gateway.watched_prefixes = 0, ()
        own = replace(self.settings, gateway_index=gateway.gateway_index)
        gateway.stage = LendingStage(
            gateway.inner, own, self.plan, gateway.incarnation, self.rng.randrange(1 << 30)
        )
        self._watch(gateway)
        self.deliver(gateway, Timer(3))

    def kill(self, gateway: SimulatedGateway) -> None:
        """End the gateway's process."""
        gateway.stage = None
        if self.store.members_by_name[gateway.incarnation.name].incarnation == gateway.incarnation:
            self.store.dead_incarnations.add(gateway.incarnation)

    def restart(self, gateway: SimulatedGateway) -> None:
        """Start a new incarnation. An earlier one that has not ended is fenced, and runs on beside it."""
        if gateway.stage is not None:
            member = self.store.members_by_name[gateway.incarnation.name]
            others = (
                other.incarnation
                for other in self.gateways
                if self.is_live(other) and other.gateway_index != gateway.gateway_index
            )
            fence = Transaction((Fence(gateway.incarnation, member.renewal),))
            result = self.store.commit(next(others, gateway.incarnation), [fence])[0]
            if result.outcome is not TransactionOutcome.COMMITTED:
                return
            ghost = copy(gateway)
            gateway.deferred_events, gateway.next_read_at, gateway.stage = [], math.inf, None
            self.gateways.append(ghost)
            self.schedule(self.now, self.deliver, ghost, Timer(3))
        self._start(gateway)

    def is_live(self, gateway: SimulatedGateway) -> bool:
        """Whether a gateway's process runs, with its lease and the ledger."""
        return (
            gateway.stage is not None
            and not self.store.members_by_name[gateway.incarnation.name].fenced
            and not gateway.disconnected
        )

    def pause(self, gateway: SimulatedGateway) -> None:
        """Stop the gateway's process; events wait."""
        gateway.paused = True

    def resume(self, gateway: SimulatedGateway) -> None:
        """Let a paused process go on."""
        gateway.paused = False
        deferred, gateway.deferred_events = gateway.deferred_events, []
        for event, epoch in deferred:
            if epoch == gateway.epoch:
                self.deliver(gateway, event)

    def disconnect(self, gateway: SimulatedGateway, notified: bool) -> None:
        """Cut a gateway off from the ledger, with or without its notice."""
        gateway.disconnected = True
        if notified:
            self.deliver(gateway, LedgerUnavailable("cut off"))

    def reconnect(self, gateway: SimulatedGateway) -> None:
        """Connect a gateway to the ledger again."""
        gateway.disconnected = False
        self.deliver(gateway, LedgerRecovered())
        self._watch(gateway)

    def deliver(self, gateway: SimulatedGateway, event: Any, epoch: int | None = None) -> None:
        """Hand an event to a gateway's stage, and carry out the actions."""
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
            elif isinstance(action, LOG_EVENT_TYPES):
                self.logged.append(log_text(action))
            elif isinstance(action, Reject):
                self.rejected[gateway.gateway_index] += 1
        if gateway.stage is not None and gateway.stage.watched_prefixes() != gateway.watched_prefixes:
            self._watch(gateway)

    # The ledger

    def commit(self, gateway: SimulatedGateway, commit: Commit) -> None:
        """Carry out a gateway's commit, with its faults."""
        if gateway.disconnected:  # nothing arrives, and no result comes back
            return
        if self.rng.random() < gateway.answer_loss_probability:
            kind = self.rng.randrange(3)
            if kind:  # committed now, or long after it was given up
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
        results = self._apply(incarnation, commit)
        self.schedule(
            self._after_delay(),
            self.deliver,
            gateway,
            CommitCompleted(commit.ticket, tuple(results), commit.owner),
            epoch,
        )

    def _apply(self, incarnation: Incarnation, commit: Commit) -> list[TransactionResult]:
        before = self.store.version
        results = self.store.commit(incarnation, commit.transactions)
        self.ledger_operations["commits"] += 1
        self.ledger_operations["transactions"] += len(commit.transactions)
        conflicts = [result for result in results if result.outcome is TransactionOutcome.CONFLICT]
        self.ledger_operations["conflicts"] += len(conflicts)
        for transaction in commit.transactions:
            self.bytes_written += sum(len(getattr(write, "value", b"")) for write in transaction.writes)
        if self.store.version > before:
            writes = [write for transaction in commit.transactions for write in transaction.writes]
            self._notify({getattr(write, "key", "") for write in writes if hasattr(write, "value")})
        return results

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

    def _watch(self, gateway: SimulatedGateway) -> None:
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
        else:  # the same, without reading every record
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
        member = self.store.members_by_name[gateway.incarnation.name]
        if member.fenced or member.incarnation != gateway.incarnation:
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
        borrowed_before = gateway.stage.admissions[tenant, Admission.BORROWED]
        self.deliver(gateway, Request(next(self.requests), 0, tenant, 0, 1e12))
        if len(gateway.inner.admitted) > before:
            gateway.inner.admitted.clear()
            self.admitted[second][tenant] += 1
            self.borrowed[tenant] += gateway.stage.admissions[tenant, Admission.BORROWED] - borrowed_before
            self.count_admission(1.0)

    def count_admission(self, cost: float) -> None:
        """Count one admission: over the worst window that ends now, what exceeds the capacity."""
        elapsed_s = (self.now - self.last_admitted_at) / 1000
        self.excess = max(self.excess - self.plan.capacity_per_s * elapsed_s, 0.0) + cost
        self.max_excess, self.last_admitted_at = max(self.max_excess, self.excess), self.now

    @property
    def stated_burst(self) -> float:
        """What a window may admit beyond the capacity by the design page: one burst, and two per gateway."""
        return self.plan.capacity_per_s * self.plan.burst_ms / 1000 + 2 * len(self.gateways)

    def rate_of(self, gateway: SimulatedGateway) -> float:
        """Return what a gateway may admit per second, if it ran right now."""
        if gateway.stage is None:
            return 0.0
        enforcer, now = gateway.stage.enforcer, gateway.clock(self.now)
        floor = enforcer.floor if now < enforcer.floor_until else 0.0
        if enforcer.grant is None or now >= enforcer.grant_until:
            return floor
        return floor + enforcer.grant.total

    def _check_sum(self) -> None:
        rates = [self.rate_of(gateway) for gateway in self.gateways]
        self.max_rate_fraction = max(self.max_rate_fraction, math.fsum(rates) / self.limit)
        self.schedule(self.now + SUM_CHECK_MS, self._check_sum)


def poisson(rng: Random, mean: float) -> int:
    """Draw a Poisson number by Knuth's method; the means here are small."""
    limit, number, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        number += 1
        product *= rng.random()
    return number
