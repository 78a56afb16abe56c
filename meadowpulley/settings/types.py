"""The types of a policy's settings; `meadowpulley/interface` exports them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may be executed more than once: always, only with its idempotency key, or never."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """The group of servers that share idempotency keys: a retry at any of these has no second effect."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class StageGate(Enum):
    """The rule by which votes move a rollout from stage to stage.

    With TIMER, a stage ends after a set time unless enough gateways vote to hold. Otherwise a stage ends
    when enough gateways have voted to advance and the stage's soak time is over.
    """

    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its latency objective, deadline, idempotency and priority weight."""

    name: str
    latency_objective_ms: float
    deadline_ms: float
    effect: Effect
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float = 0.0
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    stream: bool = False
    objective_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, and the quota that the platform grants to it in requests per second."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    """The platform's rules on slow start, overload, draining and polling, which every gateway must keep."""

    response_slack_ms: float = 0.0
    max_poll_interval_ms: float = 0.0
    slow_start_initial_fraction: float = 1.0
    slow_start_ms: float = 0.0
    overload_multiple: float = 1.0
    overload_window_ms: float = 0.0
    drain_grace_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """The optional functions that a gateway may use, and the limits on attempts and connections."""

    max_attempts: int = 1
    hedging: bool = False
    cancellation: bool = False
    probes: bool = False
    gossip: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    max_open_connections: int = 0
    idle_timeout_ms: float = 0.0  # idle time after which servers may close a connection; 0: never


@dataclass(frozen=True, slots=True)
class Rollout:
    """The settings by which the platform rolls out builds, counts votes and limits exposure."""

    gate: StageGate = StageGate.ANY
    in_place: bool = False
    stage_shares: tuple[float, ...] = ()
    caps: tuple[float, ...] = ()
    soak_ms: float = 0.0
    stage_time_ms: float = 0.0
    advance_votes: int = 0
    hold_votes: int = 0
    rollback_votes: int = 0
    vote_ttl_ms: float = 0.0
    votes_per_s: float = 0.0
    call_timeout_ms: float = 0.0
    update_period_ms: float = 0.0
    statistics_period_ms: float = 0.0
    statistics_sample: float = 0.0
    reported_share: float = 0.0
    exposure_window_ms: float = 0.0
    exposure_allowance: float = 0.0
    exposure_per_class: bool = False
    guarded_stages: int = 0
    monotonic_keys: bool = False
    warm_keys: bool = False
    lag_price: float = 0.0
    harm_price: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway."""

    gateway_index: int
    gateway_count: int
    zone: int
    zones: tuple[str, ...]
    tick_ms: float
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    rules: Rules
    limits: Limits
    rollout: Rollout
    must_poll: bool = False
    report_columns: tuple[str, ...] = ()
    inline_load_reports: bool = False
    weights: str = "none"
    weight_by_work: bool = False
    over_share_weight: float = 1.0
    prices: tuple[tuple[str, float], ...] = ()
    goal: tuple[tuple[str, float], ...] = ()
    kinds: tuple[str, ...] = ()  # names of the machine kinds, indexed by their numbers
