"""What a balancer is told once, at its start: the settings. `meadowpulley/interface.py` names them all."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers drop each other's repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Gate(Enum):
    """How votes move a build from stage to stage."""

    ANY = "any"
    SHARE = "share"
    TIMER = "timer"


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim_ms: float
    deadline_ms: float
    effect: Effect
    group: Group = Group.ALL
    window_ms: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float = 0.0
    quota_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Rules:
    answer_slack_ms: float = 0.0
    ask_within_ms: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0
    drain_grace_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    second_copies: bool = False
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    connect_timeout_ms: float = 0.0
    max_open: int = 0
    idle_ms: float = 0.0  # after which a server may close a connection that stands idle; 0: never


@dataclass(frozen=True, slots=True)
class Rollout:
    """How the platform brings in builds and counts votes."""

    gate: Gate = Gate.ANY
    in_place: bool = False
    stage_shares: tuple[float, ...] = ()
    caps: tuple[float, ...] = ()
    soak_ms: float = 0.0
    stage_time_ms: float = 0.0
    on_votes: int = 0
    hold_votes: int = 0
    back_votes: int = 0
    vote_life_ms: float = 0.0
    votes_per_s: float = 0.0
    call_timeout_ms: float = 0.0
    news_period_ms: float = 0.0
    tally_period_ms: float = 0.0
    tally_sample: float = 0.0
    flag_share: float = 0.0
    exposure_window_ms: float = 0.0
    exposure_free: float = 0.0
    exposure_per_class: bool = False
    guarded_stages: int = 0
    one_way: bool = False
    warm_keys: bool = False
    behind_price: float = 0.0
    harm_price: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    me: int
    balancers: int
    zone: int
    zones: tuple[str, ...]
    tick_ms: float
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...]
    rules: Rules
    limits: Limits
    rollout: Rollout
    must_ask: bool = False
    report_columns: tuple[str, ...] = ()
    reports_in_answers: bool = False
    weights: str = "none"
    worth_by_work: bool = False
    over_share_worth: float = 1.0
    prices: tuple[tuple[str, float], ...] = ()
    goal: tuple[tuple[str, float], ...] = ()
    kinds: tuple[str, ...] = ()  # names of the kinds of machine, in the order of their numbers
