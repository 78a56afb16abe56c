"""Implement the lending stage, which admits a request or rejects it at once with a retry time.

The stage wraps the next stage and has the same interface, `handle(now, event) -> actions`. It reports demand
in rounds, applies the grants that it gets, and starts an election if the current allocator stops answering.
It handles timers with `TIMER_TOKEN` and commits of owner "lending" itself; all other events and actions pass
unchanged.

The caller that executes the actions must send the stage all changes of keys that start with one of
`watched_prefixes()`, beginning with a snapshot (`Changes.is_snapshot`). The prefixes may change after every
event.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import Flag, auto
from random import Random
from typing import Protocol, TypeAlias

from meadowpulley.interface import (
    Action,
    Event,
    GatewayIndexConflict,
    QuotaPlanInvalid,
    Reject,
    Request,
    SetTimer,
    Settings,
    Timer,
)
from meadowpulley.ledger.model import (
    LEDGER_EVENTS,
    Commit,
    CommitCompleted,
    Fenced,
    Incarnation,
    LeaseExpired,
    LedgerChanged,
    LedgerRecovered,
    LedgerUnavailable,
    Record,
    Scan,
    ScanCompleted,
    TransactionOutcome,
)
from meadowpulley.lending.allocator_election import AllocatorElection
from meadowpulley.lending.demand_estimator import DemandEstimator
from meadowpulley.lending.errors import QuotaPlanError
from meadowpulley.lending.plan import MS_PER_SECOND, QuotaPlan, decode_plan, validate_plan
from meadowpulley.lending.plan_agreement import PlanAgreement
from meadowpulley.lending.quota_client import QuotaClient
from meadowpulley.lending.quota_enforcer import Admission, QuotaEnforcer
from meadowpulley.lending.records import ALLOCATOR_KEY, KEY_PREFIX, OWNER, PLAN_KEY

TIMER_TOKEN = 3
TICKS_PER_ROUND = 4  # timer ticks in a round; the stage acts on due work at each tick
TIMER_LOSS_TICKS = 2  # a timer that has not fired after this many tick intervals is set again
# Work estimates are capped at this multiple of the plan's `work_ms`, because the size of the buckets grows
# with the greatest estimate.
MAX_WORK_FACTOR = 20.0
# Demand above this multiple of the reported demand is reported before the round ends.
EARLY_REPORT_FACTOR = 1.3
DEMAND_DECAY_TERMS = 0.5  # decay time constant of the demand estimator, in multiples of a grant's term

LedgerEvent: TypeAlias = (
    CommitCompleted
    | ScanCompleted
    | LedgerChanged
    | LeaseExpired
    | LedgerUnavailable
    | LedgerRecovered
    | Fenced
)
StageEvent: TypeAlias = Event | LedgerEvent
StageAction: TypeAlias = Action | Commit | Scan


class WriteObstacle(Flag):
    """List the reasons why this gateway may not write reports and grants."""

    LEDGER_UNREAD = auto()  # no snapshot has been received since the start
    LEDGER_UNAVAILABLE = auto()
    FENCED = auto()  # permanent: the ledger has ended this incarnation
    SHUTTING_DOWN = auto()  # permanent: the gateway stops


class NextStage(Protocol):
    """Define the interface of the stage that receives the events that lending passes on."""

    def handle(self, now: float, event: StageEvent) -> list[StageAction]:
        """Return the actions to execute for an event at time `now` (ms)."""


class LendingStage:
    """Admit and reject one gateway's requests, and exchange reports and grants through the ledger.

    `incarnation` is the incarnation under which the ledger registered this gateway. `plan` is the quota plan
    from the gateway's own settings.
    """

    def __init__(
        self, inner: NextStage, settings: Settings, plan: QuotaPlan, incarnation: Incarnation, seed: int
    ) -> None:
        self.inner = inner
        self.settings = settings
        self.incarnation = incarnation
        self.enforcer = QuotaEnforcer(plan)
        self.demand = DemandEstimator(plan.term_ms * DEMAND_DECAY_TERMS)
        self.client = QuotaClient(settings.gateway_index, incarnation, self.enforcer)
        self.election = AllocatorElection(incarnation, plan, Random(seed))
        self.agreement = PlanAgreement(plan)
        self.priority_weights = {
            index: request_class.priority_weight for index, request_class in enumerate(settings.classes)
        }
        self.tenant_places: dict[int, int] = {}
        # Requests since the start, by place and kind of admission.
        self.admissions: Counter[tuple[int, Admission]] = Counter()
        self.last_ticket = 0
        self.write_obstacles = WriteObstacle.LEDGER_UNREAD
        self.conflict_logged = False
        self.timer_due_at = -math.inf
        self._map_tenants()

    @property
    def plan(self) -> QuotaPlan:
        """Return the plan in force at this gateway."""
        return self.enforcer.plan

    def watched_prefixes(self) -> tuple[str, ...]:
        """Return the key prefixes whose changes this stage must receive now."""
        if self.election.needs_all_records:
            return (KEY_PREFIX,)
        return (PLAN_KEY, ALLOCATOR_KEY, *self.client.keys)

    def handle(self, now: float, event: StageEvent) -> list[StageAction]:
        """Return the actions of this stage and the next ones for an event at time `now` (ms)."""
        if isinstance(event, Timer) and event.token == TIMER_TOKEN:
            return self._on_tick(now)
        if isinstance(event, CommitCompleted) and event.owner == OWNER:
            return self._on_committed(now, event)
        if isinstance(event, ScanCompleted) and event.owner == OWNER:
            self.election.on_scanned(now, event)
            return []
        if isinstance(event, Request):
            actions = self._on_request(now, event)
        elif isinstance(event, LEDGER_EVENTS):
            actions = self._on_ledger_event(now, event) + self.inner.handle(now, event)
        else:
            actions = self.inner.handle(now, event)
        return actions if now < self.timer_due_at else actions + self._schedule_timer(now)

    def update_plan(self, now: float, plan: QuotaPlan) -> list[StageAction]:
        """Propose a new plan to all gateways.

        Raises `QuotaPlanError` without changing anything if the plan is invalid, or if it differs from the
        plan in force and its version is not higher.
        """
        validate_plan(plan)
        if plan.version <= self.plan.version and plan != self.plan:
            raise QuotaPlanError(
                f"lending: plan version {plan.version} must be above the current version {self.plan.version}"
            )
        self.agreement.proposed = plan
        return self._propose_plan()

    def shut_down(self, now: float) -> list[StageAction]:
        """Stop admitting requests and return the grant to the allocator, in a graceful shutdown."""
        self.write_obstacles |= WriteObstacle.SHUTTING_DOWN
        self.enforcer.revoke_all(now)
        self.election.step_down(now)
        return [*self.client.release(now, self._next_ticket())]

    # Requests

    def _on_request(self, now: float, request: Request) -> list[StageAction]:
        if request.adopted and (request.prior_attempts or request.prior_attempt_count):
            # Another gateway admitted this request before and may have executed it: it must count only once.
            return self.inner.handle(now, request)
        place = self.tenant_places.get(request.tenant, len(self.plan.tenants))
        cost = self._request_cost(request)
        if not request.client_retry:
            self.demand.record_request(place, request.class_index, cost)
        admission = self.enforcer.admit(now, place, request.class_index, cost)
        self.admissions[place, admission] += 1
        if admission is not Admission.REJECTED:
            return self.inner.handle(now, request)
        retry_after_ms = self._retry_after_ms(now, place, cost)
        actions: list[StageAction] = [Reject(request.request, retry_after_ms)]
        if self._demand_rose(place):
            actions += self._report_demand(now, early=True)
        return actions

    def _retry_after_ms(self, now: float, place: int, cost: float) -> float:
        limits = self.settings.limits
        retry_after_ms = self.enforcer.retry_after_ms(now, place, cost)
        if not limits.retry_after:
            return 0.0
        return min(retry_after_ms, limits.max_retry_after_ms or math.inf)

    def _demand_rose(self, place: int) -> bool:
        """Return whether a tenant's demand exceeds its last report so far that it must be reported early."""
        reported_units = self.client.reported_rates.get(place, 0.0) * self.plan.round_ms / MS_PER_SECOND
        threshold = EARLY_REPORT_FACTOR * reported_units + self.enforcer.max_request_cost
        return self.demand.units_this_round(place) > threshold

    def _request_cost(self, request: Request) -> float:
        """Return the cost of a request in the plan's units."""
        if not self.plan.by_work:
            return 1.0
        default_cost = self.plan.work_ms
        if request.expected_work_ms is None:
            return default_cost
        return min(max(request.expected_work_ms, 0.0), MAX_WORK_FACTOR * default_cost)

    def _map_tenants(self) -> None:
        """Map tenant numbers of the settings to places in the plan, which may use a different order."""
        places = self.plan.place_by_name()
        self.tenant_places = {
            number: places[tenant.name]
            for number, tenant in enumerate(self.settings.tenants)
            if tenant.name in places
        }

    # Time

    def _schedule_timer(self, now: float) -> list[StageAction]:
        if now < self.timer_due_at:
            return []
        interval_ms = self.plan.round_ms / TICKS_PER_ROUND
        self.timer_due_at = now + TIMER_LOSS_TICKS * interval_ms
        return [SetTimer(interval_ms, TIMER_TOKEN)]

    def _on_tick(self, now: float) -> list[StageAction]:
        self.timer_due_at = -math.inf
        self.enforcer.advance(now)
        actions: list[StageAction] = []
        if not self.write_obstacles:
            actions += self._propose_plan()
            actions += self._report_demand(now, early=self.client.must_acknowledge)
            actions += self.election.on_tick(now, self.client.unanswered_since, self._next_ticket())
        return actions + self._schedule_timer(now)

    def _report_demand(self, now: float, early: bool) -> list[StageAction]:
        if self.write_obstacles or self.agreement.record_version == 0:
            return []
        if not self.client.report_due(now, early):
            return self._log_index_conflict(now)
        self.demand.end_round(now)
        self.enforcer.prioritize_classes(now, self.demand.rates_by_class(), self.priority_weights)
        return [*self.client.report(now, self.demand.demands(), self._next_ticket())]

    def _log_index_conflict(self, now: float) -> list[StageAction]:
        if self.conflict_logged or now >= self.client.conflict_until:
            return []
        self.conflict_logged = True
        conflicting = str(self.client.conflicting_incarnation)
        return [GatewayIndexConflict(self.client.gateway_index, conflicting)]

    def _next_ticket(self) -> int:
        self.last_ticket += 1
        return self.last_ticket

    # The ledger

    def _on_ledger_event(self, now: float, event: LedgerEvent) -> list[StageAction]:
        if isinstance(event, LedgerChanged):
            return self._on_changed(now, event)
        if isinstance(event, LeaseExpired):
            self.election.on_lease_expired(now, event)
        elif isinstance(event, LedgerUnavailable):
            self.write_obstacles |= WriteObstacle.LEDGER_UNAVAILABLE
            self.election.step_down(now)
            self.client.on_ledger_lost()
        elif isinstance(event, LedgerRecovered):
            self.write_obstacles &= ~WriteObstacle.LEDGER_UNAVAILABLE
        elif isinstance(event, Fenced):
            # A fenced gateway can't renew its grant. It may go on using its floor, because the next
            # incarnation uses none until that floor's term has ended.
            self.write_obstacles |= WriteObstacle.FENCED
            self.election.step_down(now)
            self.enforcer.revoke_grant(now)
        return []

    def _on_changed(self, now: float, event: LedgerChanged) -> list[StageAction]:
        if event.changes.is_snapshot:
            self.write_obstacles &= ~WriteObstacle.LEDGER_UNREAD
        records = [record for record in event.changes.records if record.key.startswith(KEY_PREFIX)]
        actions: list[StageAction] = []
        for record in records:
            if record.key == PLAN_KEY:
                actions += self._on_plan_record(now, record)
        for record in records:
            self.election.observe(now, record)
            if record.key in self.client.keys:
                self.client.observe(now, record)
        if self.client.must_acknowledge:
            actions += self._report_demand(now, early=True)
        return actions

    def _on_plan_record(self, now: float, record: Record) -> list[StageAction]:
        if record.version <= self.agreement.record_version:
            return []
        self.agreement.record_version = record.version
        try:
            plan = decode_plan(record.value)
        except QuotaPlanError as error:
            return [QuotaPlanInvalid(str(error))]
        actions: list[StageAction] = [*self.agreement.drop_proposal(plan)]
        if plan != self.plan:
            self._apply_plan(now, plan)
        self.election.update_plan(plan, record.version)
        return actions

    def _apply_plan(self, now: float, plan: QuotaPlan) -> None:
        self.demand.remap_tenants(self.plan, plan)
        self.enforcer.update_plan(now, plan)
        floor = min(self.enforcer.floor, plan.floor_per_s(self.client.gateway_index))
        self.enforcer.set_floor(now, floor, self.enforcer.floor_until)
        self._map_tenants()

    def _propose_plan(self) -> list[StageAction]:
        if WriteObstacle.LEDGER_UNREAD in self.write_obstacles:
            return []
        return [*self.agreement.propose(self.plan, self._next_ticket)]

    def _on_committed(self, now: float, event: CommitCompleted) -> list[StageAction]:
        if self.agreement.on_committed(event.ticket):
            return []
        if not self.client.on_committed(now, event):
            return [*self.election.on_committed(now, event)]
        # The final report of a shutdown is written again if it conflicted with a newer version of its record.
        is_shutting_down = WriteObstacle.SHUTTING_DOWN in self.write_obstacles
        if is_shutting_down and event.results[0].outcome is TransactionOutcome.CONFLICT:
            return [*self.client.release(now, self._next_ticket())]
        return []
