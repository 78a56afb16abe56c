"""Events that a gateway passes to its policy. All times are milliseconds on the gateway's clock."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface.vocabulary import (
    EndpointUpdateKind,
    Phase,
    ReloadOutcome,
    Result,
    ServerState,
)


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the endpoint list.

    `started_ms` is the start of the server on the clock of the events, or 0 if the server is warmed up.
    `started_unix_ms` is the Unix time of the start as sent by discovery, the same at all gateways.
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
    """An update of the endpoint list, or a failed attempt to get an update.

    `entries` holds the changed servers if `kind` is INCREMENTAL, no servers if `kind` is FAILED, TIMED_OUT
    or BROKEN, and otherwise the complete list. `as_of_ms` is the time, on the clock of the events, up to
    which the gateway's list contains all changes. For a CACHED list, whose age is unknown, it is the time at
    which the process started. If lists are pushed and a call failed, it is the start of the call. `as_of_ms`
    is None if the transport pushes every change and every failure.
    """

    kind: EndpointUpdateKind
    version: int
    entries: tuple[ServerEntry, ...] = ()
    as_of_ms: float | None = None


@dataclass(frozen=True, slots=True)
class EndpointWatchOpened:
    """A watch call was passed to a connection to discovery, which may not have received it yet.

    Discovery is expected to respond at the next change, or after `wait_ms` at the latest.
    """

    wait_ms: float
    as_of_ms: float  # the endpoint list at the gateway contains all changes up to this time


@dataclass(frozen=True, slots=True)
class EndpointWatchClosed:
    """No watch call to discovery is outstanding any more."""

    as_of_ms: float | None  # the gateway's list contains all changes up to this time; None: up to now
    # Whether a response was discarded with the call; discovery regards its changes as notified.
    is_list_lost: bool = False


@dataclass(frozen=True, slots=True)
class ConfigurationReloaded:
    """The gateway was signalled to read its configuration again, whether or not it could use it."""

    requested_at: float  # when the gateway noticed the signal, on the clock of the events
    outcome: ReloadOutcome


@dataclass(frozen=True, slots=True)
class PriorAttempt:
    """An attempt by a lost gateway; a server may have executed it, or may still execute it."""

    server: int
    build: int
    zone: int
    cell: int
    sent_ms: float  # earliest time at which the attempt was sent, on this gateway's clock


@dataclass(frozen=True, slots=True)
class Request:
    """An admitted request, which gets one final response; times are on the clock of the events."""

    request: int
    class_index: int
    tenant: int
    key: int
    deadline_ms: float
    expected_work_ms: float | None = None
    client_retry: bool = False
    write: bool = False
    # Whether the request was taken over from a lost gateway. An adopted request does not raise the allowed
    # exposure.
    adopted: bool = False
    # Number of attempts made by earlier gateways; these attempts count towards `max_attempts`. This gateway
    # numbers its own attempts from 0.
    prior_attempt_count: int = 0
    # The attempts of earlier gateways that a server may have executed or may still execute.
    prior_attempts: tuple[PriorAttempt, ...] = ()
    # Arm of the placement experiment whose placement policy orders the servers; 0: the policy's own order.
    arm: int = 0


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The first bytes of a response were sent to the client: no other attempt may answer the request."""

    request: int
    attempt: int
    server: int
    elapsed_ms: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one attempt; `request_complete` tells whether the client has its final response."""

    request: int
    attempt: int
    server: int
    result: Result
    elapsed_ms: float
    request_complete: bool
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request disconnected and no longer waits for the response."""

    request: int


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a health probe of one server."""

    server: int
    result: Result
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class GossipReceived:
    """A datagram from another gateway; its contents are not checked yet."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    """The timer set by the `SetTimer` action with the same token has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class RolloutUpdate:
    """The state of the newest build's rollout.

    If the update is the reply to a vote (`is_vote_reply`), `result` tells whether the vote counts.
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
    """The platform's statistics on one build's attempts in one class, over the last reporting period."""

    build: int
    class_index: int
    attempts: int
    failed: int
    mean_ms: float
    age_ms: float


@dataclass(frozen=True, slots=True)
class IncorrectResponse:
    """The platform reports that a server sent an incorrect response to a request of one class."""

    server: int
    class_index: int
    age_ms: float


Event: TypeAlias = (
    EndpointUpdate
    | EndpointWatchOpened
    | EndpointWatchClosed
    | ConfigurationReloaded
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
