"""Actions that a policy asks its gateway to carry out. Times are ms on the clock of the events."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface.log_events import LogEvent
from meadowpulley.interface.vocabulary import Verdict


@dataclass(frozen=True, slots=True)
class Send:
    """Sends the next attempt of a request.

    If `timeout_ms` is 0, the attempt runs until the client stops waiting.
    """

    request: int
    server: int
    timeout_ms: float = 0.0
    write_by_ms: float = math.inf  # time from which the attempt may no longer be written to the server


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels one outstanding attempt of a request."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Rejects a request that no server executed.

    `retry_after_ms` advises the client when to retry; 0 means no advice.
    """

    request: int
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Responds to a request with a failure; a server may have executed the request."""

    request: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Sends a health probe to one server."""

    server: int


@dataclass(frozen=True, slots=True)
class Vote:
    """Sends or renews this gateway's vote on one stage of a build's rollout."""

    build: int
    stage: int
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Requests one `Timer` event with `token` after `delay_ms`."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Watch:
    """Reopens the watch on the endpoint list, or ends it if `enabled` is false."""

    enabled: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpoints:
    """Polls discovery once for the complete endpoint list."""


@dataclass(frozen=True, slots=True)
class SendGossip:
    """Sends a datagram to one other gateway, or to all others if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Closes those connections to one server that have no outstanding request."""

    server: int


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
    | LogEvent
)
