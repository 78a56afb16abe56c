"""Events and actions that pass between the takeover stage and its adapter, beside those of the policy."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import Request
from meadowpulley.takeover.records import STAGE_NAME, Headers

COMMIT_OWNER = STAGE_NAME  # names this stage as the owner of its commits
TIMER_TOKEN = 2  # of this stage's one timer; other timers are passed on

# Events


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's complete request; replaces the policy's `Request` event for classes that are journaled."""

    request: Request
    request_id: str  # given by the client
    method: str
    target: str
    headers: Headers  # those that are forwarded to an instance
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseReady:
    """An instance's good response, not yet delivered. The `Outcome` that completes the request comes next."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class ClientDetached:
    """The client of this request has disconnected; the slot stays until `Discard` or a final response."""

    request: int


@dataclass(frozen=True, slots=True)
class AdoptionResult:
    """The reply to `AdoptRequest`: the handle of the new slot, or None when no slot is free."""

    request_id: str
    request: int | None


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """The gateway was told to stop; it is killed in `grace_ms` if it has not ended by then."""

    grace_ms: float


# Actions


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send this final response to the client: its own, or that of the request it duplicates."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Discard:
    """End a request whose client has disconnected, without a response."""

    request: int


@dataclass(frozen=True, slots=True)
class AdoptRequest:
    """Make a slot for a request without a client, and reply with `AdoptionResult`.

    `deadline_ms` is on this gateway's clock.
    """

    request_id: str
    class_index: int
    deadline_ms: float
    method: str
    target: str
    headers: Headers
    body: bytes


def deliver(event: ResponseReady) -> Deliver:
    """Return the action that delivers an instance's response unchanged."""
    return Deliver(event.request, event.status, event.headers, event.body)
