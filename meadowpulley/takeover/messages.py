"""Events and actions of the takeover stage and its adapter, in addition to those of the policy."""

from __future__ import annotations

from dataclasses import dataclass

from meadowpulley.interface import Request
from meadowpulley.takeover.records import STAGE_NAME, Headers

COMMIT_OWNER = STAGE_NAME  # identifies this stage as the owner of its commits
TIMER_TOKEN = 2  # identifies the only timer of this stage; other timers are forwarded

# Events


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A complete client request; replaces the `Request` event of the policy for journaled classes."""

    request: Request
    request_id: str  # chosen by the client
    method: str
    target: str
    headers: Headers  # the headers that are forwarded to an instance
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseReady:
    """An instance's successful response, not delivered yet; the completing `Outcome` follows."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class ClientDetached:
    """The client has disconnected; its slot is kept until `Discard` or a final response."""

    request: int


@dataclass(frozen=True, slots=True)
class AdoptionResult:
    """The reply to `AdoptRequest`: the handle of the new slot, or None if no slot was free."""

    request_id: str
    request: int | None


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """The gateway was told to stop; it is killed after `grace_ms` if it is still running then."""

    grace_ms: float


# Actions


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send a final response to a client; a duplicate gets the response to the original request."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Discard:
    """End a request without a response because its client has disconnected."""

    request: int


@dataclass(frozen=True, slots=True)
class AdoptRequest:
    """Allocate a slot for a request without a client; the adapter replies with `AdoptionResult`.

    `deadline_ms` is in ms on this gateway's clock.
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
