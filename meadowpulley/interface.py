"""What a balancer is told and what it can do: settings, events and actions.

These types know nothing of any wire. An adapter turns a protocol into events, hands them one by one to
`balance.Balancer.handle`, and carries out the actions that come back. Times are milliseconds on the clock
that the adapter passes along with each event; durations are milliseconds too.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeAlias

from meadowpulley.settings_types import (
    DeduplicationScope as DeduplicationScope,
    Effect as Effect,
    Limits as Limits,
    RequestClass as RequestClass,
    Rollout as Rollout,
    Rules as Rules,
    Settings as Settings,
    StageGate as StageGate,
    Tenant as Tenant,
)


class Result(IntEnum):
    """How an attempt, a probe or a vote ended."""

    OK = 200
    NOT_SENT = 409
    REJECTED = 429
    TIMEOUT = 408
    CANCELLED = 444
    ERROR = 502
    RESET = 520
    CONNECT_FAILED = 521


class ServerState(IntEnum):
    REMOVED = 0
    DRAINING = 1
    READY = 2


class Phase(IntEnum):
    """Where the newest build stands."""

    TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    ROLLED_BACK = 3


class Verdict(IntEnum):
    NONE = 0
    ADVANCE = 1
    HOLD = 2
    ROLL_BACK = 3


class EndpointUpdateKind(IntEnum):
    INCREMENTAL = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    TIMED_OUT = 4  # a call, or a watch, that stood for longer than its answer may take


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
class EndpointUpdate:
    """News from discovery; `entries` is the whole list unless `kind` is CHANGES, and empty when FAILED
    or SILENT."""

    kind: EndpointUpdateKind
    version: int
    entries: tuple[ServerEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class PriorAttempt:
    """An attempt of an earlier life of a request that won its right to go out: it may have run, or may."""

    server: int
    build: int
    zone: int
    cell: int
    sent_ms: float  # no earlier than this on this gateway's clock


@dataclass(frozen=True, slots=True)
class Request:
    request: int
    class_index: int
    tenant: int
    key: int
    deadline_ms: float
    expected_work_ms: float | None = None
    client_retry: bool = False
    write: bool = False
    adopted: bool = False  # taken over from a lost gateway: it earns no allowance on the trial build
    prior_attempt_count: int = (
        0  # attempts that earlier lives used up of `max_attempts`; here they count from 0 anew
    )
    prior_attempts: tuple[PriorAttempt, ...] = ()  # of these, the ones that are not known never to have run
    arm: int = 0  # of an experiment on placements: which one orders its servers; 0 is the module's own


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server as a placement sees it, at the moment of the choice."""

    server: int
    zone: int
    cell: int
    kind: int
    build: int
    outstanding: int  # this gateway's attempts that are out there
    slow_start_fraction: float  # the least part of its capacity that it has by its age
    typical_latency_ms: float  # usual latency of its kind, as if warm; 0 while unknown
    same_zone: bool


# Puts servers in order, as places in what it is given, best first; what it leaves out is not asked. A pure
# function: time comes in, and chance by the request's number.
Placement: TypeAlias = Callable[[float, Request, Sequence[Candidate]], Sequence[int]]


@dataclass(frozen=True, slots=True)
class ResponseStarted:
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
    request_complete: bool
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    request: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    server: int
    result: Result
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    token: int


@dataclass(frozen=True, slots=True)
class RolloutUpdate:
    """Where the newest build stands; as the reply to a vote, `result` says whether the vote counts."""

    build: int
    stage: int
    phase: Phase
    cap: float
    age_ms: float
    result: Result = Result.OK
    is_vote_reply: bool = False


@dataclass(frozen=True, slots=True)
class BuildStatistics:
    build: int
    class_index: int
    attempts: int
    failed: int
    mean_ms: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class IncorrectResponse:
    server: int
    class_index: int
    age_ms: float


Event: TypeAlias = (
    EndpointUpdate
    | Request
    | ResponseStarted
    | Outcome
    | ClientDisconnected
    | ProbeResult
    | GossipReceived
    | Timer
    | RolloutUpdate
    | BuildStatistics
    | IncorrectResponse
)


# Actions


@dataclass(frozen=True, slots=True)
class Send:
    """Starts the next attempt of a request; `limit_ms` 0 lets it run until the client stops waiting."""

    request: int
    server: int
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
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
    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    pass


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Sends bytes to one peer, or to every peer when `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    server: int


@dataclass(frozen=True, slots=True)
class LogLine:
    text: str


Action: TypeAlias = (
    Send
    | Cancel
    | Reject
    | Fail
    | Probe
    | Vote
    | SetTimer
    | Watch
    | FetchEndpoints
    | SendGossip
    | CloseIdleConnections
    | LogLine
)
