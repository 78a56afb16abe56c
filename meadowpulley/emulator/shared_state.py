"""Shared state of an emulated installation: the ledger and the stages that use it.

From the outside in: lease manager, takeover, lending, the stages of `inner_stages`, the policy.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from meadowpulley.emulator.ledger import LedgerModel
from meadowpulley.interface import Request, Settings, Tenant
from meadowpulley.ledger import Incarnation, LeaseManager, LeaseTimings, Stage
from meadowpulley.ledger.stage import StageAction
from meadowpulley.lending import LendingStage, QuotaPlan
from meadowpulley.lending.stage import StageAction as LendingAction, StageEvent as LendingEvent
from meadowpulley.rules import CapacityUsed, Record, SharedStateParameters
from meadowpulley.takeover import TakeoverSettings, TakeoverStage
from meadowpulley.takeover.records import WATCHED_PREFIXES

END_SLACK_MS = 1000.0  # beyond the lease terms of all its owners: to detect, claim and finish
LEASE_MARGIN = 1.1  # factor on the term of each owner's lease
BURST_SLACK_PER_GATEWAY = 2.0  # requests that a gateway may admit beyond the plan's burst
MS_PER_S = 1000.0
MAX_CLAIM_STEPS = 3  # longest wait in the claim order that the limit allows for


@dataclass(frozen=True, slots=True)
class StageContext:
    """Where a stage is inserted: its gateway's incarnation and the next stage."""

    settings: Settings
    seed: int
    incarnation: Incarnation
    holds_lease: Callable[[float], bool]  # whether this incarnation holds its lease
    inner: Stage


@dataclass(frozen=True, slots=True)
class SharedState:
    """What the gateways share. Stage builders are listed innermost first; a call's key selects its tenant."""

    ledger_model: LedgerModel = field(default_factory=LedgerModel)
    takeover: TakeoverSettings | None = None
    lending: QuotaPlan | None = None
    inner_stages: tuple[Callable[[StageContext], Stage], ...] = ()
    outer_stages: tuple[Callable[[StageContext], Stage], ...] = ()
    prefixes: tuple[str, ...] = ()  # key prefixes that these stages watch
    tenants: tuple[str, ...] = ()
    # Silence after which a client repeats its request at another gateway; 0: never.
    client_failover_ms: float = 0.0

    def rule_parameters(self) -> SharedStateParameters:
        """Return the parameters of the rules on shared state."""
        end_ms = 0.0
        max_incarnations = 0
        if self.takeover is not None:
            claim_ms = MAX_CLAIM_STEPS * self.takeover.claim_stagger_ms
            owner_ms = LEASE_MARGIN * self.ledger_model.lease_ms + claim_ms
            end_ms = self.takeover.max_owners * owner_ms + END_SLACK_MS
            max_incarnations = self.takeover.max_owners
        plan = self.lending
        if plan is None:
            return SharedStateParameters(end_ms, max_incarnations)
        burst = plan.capacity_per_s * plan.burst_ms / MS_PER_S + BURST_SLACK_PER_GATEWAY * plan.gateways
        return SharedStateParameters(end_ms, max_incarnations, plan.capacity_per_s, burst)

    def with_tenants(self, settings: Settings) -> Settings:
        """Return the settings with the tenants of this installation."""
        if not self.tenants:
            return settings
        return replace(settings, tenants=tuple(Tenant(name) for name in self.tenants))

    def tenant_of(self, key: int) -> int:
        """Return the tenant index of a key."""
        return key % len(self.tenants) if self.tenants else 0


class StageChain:
    """The stages of one incarnation; `lease_manager` is the outermost."""

    def __init__(
        self,
        shared_state: SharedState,
        settings: Settings,
        seed: int,
        incarnation: Incarnation,
        policy: Stage,
        on_admitted: Callable[[float, Request], None],
    ) -> None:
        self.shared_state = shared_state
        self.lease_manager = LeaseManager(
            incarnation, LeaseTimings(term_ms=shared_state.ledger_model.lease_ms), policy
        )
        self.takeover: TakeoverStage | None = None
        self.lending: LendingStage | None = None
        holds_lease = self.lease_manager.holds_lease
        stage = policy
        for build_stage in shared_state.inner_stages:
            stage = build_stage(StageContext(settings, seed, incarnation, holds_lease, stage))
        if shared_state.lending is not None:
            observer = AdmissionObserver(stage, on_admitted)
            self.lending = LendingStage(observer, settings, shared_state.lending, incarnation, seed)
            stage = self.lending
        if shared_state.takeover is not None:
            self.takeover = TakeoverStage(settings, stage, incarnation, holds_lease, shared_state.takeover)
            stage = self.takeover
        for build_stage in shared_state.outer_stages:
            stage = build_stage(StageContext(settings, seed, incarnation, holds_lease, stage))
        self.lease_manager.inner = stage

    def watched_prefixes(self) -> tuple[str, ...]:
        """Return the key prefixes whose changes the stages need now."""
        prefixes: tuple[str, ...] = ()
        if self.takeover is not None:
            prefixes += WATCHED_PREFIXES
        if self.lending is not None:
            prefixes += self.lending.watched_prefixes()
        return prefixes + self.shared_state.prefixes

    def release(self, now: float) -> list[StageAction]:
        """Return the actions of a graceful shutdown: release quota, then the lease."""
        returned = self.lending.shut_down(now) if self.lending is not None else []
        return [*returned, *self.lease_manager.release_lease()]


class AdmissionObserver:
    """Reports each request that lending admitted to `on_admitted`."""

    def __init__(self, inner: Stage, on_admitted: Callable[[float, Request], None]) -> None:
        self.inner = inner
        self.on_admitted = on_admitted

    def handle(self, now: float, event: LendingEvent) -> list[LendingAction]:
        """Report a request and pass every event on."""
        if isinstance(event, Request):
            self.on_admitted(now, event)
        return self.inner.handle(now, event)


def admission_record(now: float, gateway: int, request: Request) -> Record | None:
    """Return the capacity that an admitted request uses; None where it was admitted before."""
    if request.adopted and (request.prior_attempts or request.prior_attempt_count):
        return None
    return CapacityUsed(now, gateway, 1.0)
