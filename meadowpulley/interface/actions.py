"""What a policy asks its gateway to do. Times are milliseconds on the clock of the events."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TypeAlias

from meadowpulley.interface.log_events import LogEvent
from meadowpulley.interface.vocabulary import Verdict


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
