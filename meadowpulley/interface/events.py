"""What happens to a gateway: the events that its policy handles. Times are milliseconds on one clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface.vocabulary import EndpointUpdateKind, Phase, Result, ServerState


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
