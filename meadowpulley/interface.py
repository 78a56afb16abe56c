"""The policy's interface: its settings, the events that it handles and the actions that it asks for.
An adapter turns a protocol into events, hands them one by one to `policy.RolloutPolicy.handle`, and carries
out the actions that come back. Times are milliseconds on the clock that it passes along with each event.
"""

from __future__ import annotations

import math
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
    """Where a server stands in its life cycle, as discovery lists it."""

    REMOVED = 0
    DRAINING = 1
    READY = 2


class Phase(IntEnum):
    """The state of the newest build's rollout."""

    TRIAL = 0
    ROLLING_BACK = 1
    RELEASED = 2
    ROLLED_BACK = 3


class Verdict(IntEnum):
    """What a gateway votes about the current stage of a rollout."""

    NONE = 0
    ADVANCE = 1
    HOLD = 2
    ROLL_BACK = 3


class EndpointUpdateKind(IntEnum):
    """How an update of the endpoint list is to be read."""

    INCREMENTAL = 0
    FULL = 1
    CACHED = 2
    FAILED = 3
    TIMED_OUT = 4  # a poll or a watch got no answer within its time-out
    BROKEN = 5  # its connection broke, or what came can't be read: a list may have been lost


# Events


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the endpoint list.

    `started_ms` is on the clock of the events; 0 for a server that is warmed up. `started_unix_ms` is as
    discovery writes it, and so the same at every gateway.
    """

    server: int
    cell: int
    zone: int
    state: ServerState
    build: int
    started_ms: float
    kind: int
    weight: float
    started_unix_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """An update of the endpoint list by discovery.

    `entries` holds the whole list, but only what changed where `kind` is INCREMENTAL, and nothing where it is
    FAILED, TIMED_OUT or BROKEN. `as_of_ms`: up to then the list that is known holds all changes, on the clock
    of the events; None where the transport delivers each change, or a failure, by itself.
    """

    kind: EndpointUpdateKind
    version: int
    entries: tuple[ServerEntry, ...] = ()
    as_of_ms: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointWatchOpened:
    """Discovery was called for the next change, and responds within `wait_ms`."""

    wait_ms: float
    as_of_ms: float  # as in `EndpointUpdate`


@dataclass(frozen=True, slots=True)
class EndpointWatchClosed:
    """No call for the next change is out any more."""

    as_of_ms: float | None  # as in `EndpointUpdate`


@dataclass(frozen=True, slots=True)
class PriorAttempt:
    """An attempt of the same request by a gateway that is lost: it may have run, or may still run."""

    server: int
    build: int
    zone: int
    cell: int
    sent_ms: float  # no earlier than this on this gateway's clock


@dataclass(frozen=True, slots=True)
class Request:
    """A request that was admitted and is owed one final answer; times are on the clock of the events."""

    request: int
    class_index: int
    tenant: int
    key: int
    deadline_ms: float
    expected_work_ms: float | None = None
    client_retry: bool = False
    write: bool = False
    adopted: bool = False  # taken over from a lost gateway: adds nothing to the exposure allowance
    prior_attempt_count: int = 0  # of `max_attempts`, used up by earlier gateways; ours are numbered from 0
    prior_attempts: tuple[PriorAttempt, ...] = ()  # those of them that may have run, or may still run
    arm: int = 0  # of an experiment on placements: which one orders the servers; 0 is the policy's own


@dataclass(frozen=True, slots=True)
class Candidate:
    """What a placement policy knows of a server at the moment of its choice."""

    server: int
    zone: int
    cell: int
    kind: int
    build: int
    outstanding: int  # attempts of this gateway at the server
    slow_start_fraction: float  # of its capacity: the least that it has at its age; 1 once warmed up
    typical_latency_ms: float  # of servers of its kind, once warmed up; 0 while unknown
    same_zone: bool


# Returns indices into the given servers, best first; a server that it leaves out is not used. A pure
# function: the time is an argument, and randomness is derived from the request's number.
Placement: TypeAlias = Callable[[float, Request, Sequence[Candidate]], Sequence[int]]


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first bytes of an answer went to the client: no other attempt may answer it now."""

    request: int
    attempt: int
    server: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one attempt of a request ended; `request_complete` where the client has its final answer."""

    request: int
    attempt: int
    server: int
    result: Result
    elapsed_ms: float
    request_complete: bool
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has gone: nobody waits for its answer."""

    request: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """How a health check of one server ended."""

    server: int
    result: Result
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """Bytes from another gateway: a digest, or anything else."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    """The timer that a `SetTimer` with this token asked for has run out."""

    token: int


@dataclass(frozen=True, slots=True)
class RolloutUpdate:
    """The state of the newest build's rollout.

    As the reply to a vote (`is_vote_reply`), `result` says whether the vote counts.
    """

    build: int
    stage: int
    phase: Phase
    cap: float
    age_ms: float
    result: Result = Result.OK
    is_vote_reply: bool = False


@dataclass(frozen=True, slots=True)
class BuildStatistics:
    """The platform's count of one build's attempts in one class over its last period."""

    build: int
    class_index: int
    attempts: int
    failed: int
    mean_ms: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class IncorrectResponse:
    """The platform reports that a server gave a wrong answer of one class."""

    server: int
    class_index: int
    age_ms: float


Event: TypeAlias = (
    EndpointUpdate
    | EndpointWatchOpened
    | EndpointWatchClosed
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
    """Starts the next attempt of a request; `timeout_ms` 0 lets it run until the client stops waiting."""

    request: int
    server: int
    timeout_ms: float = 0.0
    write_by_ms: float = math.inf  # from then on it may not be written, on the clock of the events


@dataclass(frozen=True, slots=True)
class Cancel:
    """Gives up one outstanding attempt of a request."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Sheds a request that surely never ran; `retry_after_ms` advises its client, 0 for no advice."""

    request: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Answers a request as failed: an attempt of it may have run."""

    request: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Sends a health check to one server."""

    server: int


@dataclass(frozen=True, slots=True)
class Vote:
    """Sends or renews the vote of this gateway on one stage of a build."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Asks for one `Timer` event after the delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Opens the watch on the endpoint list anew, or ends it."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Polls discovery once for the whole endpoint list."""


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Sends bytes to one other gateway, or to every one when `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Closes the connections to one server on which no request is outstanding."""

    server: int


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line of the policy for the log: why it condemned a build."""

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
