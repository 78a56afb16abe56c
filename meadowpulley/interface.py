"""What a balancer is told and what it can do: settings, events and actions.

These types know nothing of any wire. An adapter turns a protocol into events, hands them one by one to
`balance.Balancer.handle`, and carries out the actions that come back. Times are milliseconds on the clock
that the adapter passes along with each event; durations are milliseconds too.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import TypeAlias


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


class Result(IntEnum):
    """How an attempt, a probe or a vote ended."""

    OK = 200
    MOOT = 409
    FULL = 429
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


class ServerState(IntEnum):
    GONE = 0
    DRAINING = 1
    READY = 2


class Phase(IntEnum):
    """Where the newest build stands."""

    TRIAL = 0
    GOING_BACK = 1
    RELEASED = 2
    WITHDRAWN = 3


class Verdict(IntEnum):
    NONE = 0
    ON = 1
    HOLD = 2
    BACK = 3


class ListKind(IntEnum):
    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


# Settings


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


# Events


@dataclass(frozen=True, slots=True)
class ServerEntry:
    server: int
    cell: int
    zone: int
    state: ServerState
    build: int
    started_ms: float
    kind: int
    weight: float


@dataclass(frozen=True, slots=True)
class ServerList:
    """News from discovery; `entries` is the whole list unless `kind` is CHANGES, and empty when FAILED."""

    kind: ListKind
    version: int
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    request: int
    cls: int
    tenant: int
    key: int
    deadline_ms: float
    work_hint_ms: float | None = None
    repeat: bool = False
    write: bool = False


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    request: int
    attempt: int
    server: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Outcome:
    request: int
    attempt: int
    server: int
    result: Result
    elapsed_ms: float
    over: bool
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestGone:
    request: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    server: int
    result: Result
    elapsed_ms: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class BuildNews:
    """Where the newest build stands; as the reply to a vote, `result` says whether the vote counts."""

    build: int
    stage: int
    phase: Phase
    cap: float
    age_ms: float
    result: Result = Result.OK
    answers_vote: bool = False


@dataclass(frozen=True, slots=True)
class Tally:
    build: int
    cls: int
    attempts: int
    failed: int
    mean_ms: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class WrongAnswer:
    server: int
    cls: int
    age_ms: float


Event: TypeAlias = (
    ServerList
    | Request
    | AnswerStarted
    | Outcome
    | RequestGone
    | ProbeResult
    | PeerMessage
    | Timer
    | BuildNews
    | Tally
    | WrongAnswer
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Starts the next attempt of a request; `limit_ms` 0 lets it run until the client stops waiting."""

    request: int
    server: int
    limit_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    request: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    request: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class Vote:
    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchList:
    pass


@dataclass(frozen=True, slots=True)
class TellPeer:
    """Sends bytes to one peer, or to every peer when `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class CloseIdle:
    server: int


@dataclass(frozen=True, slots=True)
class LogLine:
    text: str


Action: TypeAlias = (
    Send
    | Cancel
    | Refuse
    | Fail
    | Probe
    | Vote
    | SetTimer
    | Watch
    | FetchList
    | TellPeer
    | CloseIdle
    | LogLine
)
