"""The extension point for request handling: an optional object, `Gateway.extension`, None by default.

An extension receives each request before the policy does and each final response before the client does. It
may answer a request itself, delay a response until the response is recorded, and let a request continue after
its client has disconnected. It uses `RequestTable.complete` to answer a request, `RequestAdmission.adopt` to
take over a request without a client connection, `Gateway.register_action` to add action types, and
`Gateway.dispatch` with events of any type for the stages of `Gateway.pipeline`. Without an extension, the
only cost is the check of one attribute.

The methods are called in the reactor's thread and must not block. An exception is logged and counted as
`fault.extension`, and the gateway continues as it would without an extension. An exception in `on_request`
counts as `fault.admission` and fails the request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from meadowpulley.interface import Request
from meadowpulley.net.http1 import Message


@dataclass(frozen=True, slots=True)
class Response:
    """A final response. `headers` has only end-to-end headers, without the body length."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A newly accepted request. Times are milliseconds on the gateway's clock."""

    request_id: str  # chosen by the client
    event: Request  # the policy's view: handle, class, tenant, key and deadline
    message: Message  # the received HTTP message: method, path with query, headers and body
    arrived_ms: float
    is_duplicate: bool  # another request with this id awaits its response at this gateway


ReleaseResponse: TypeAlias = Callable[[Response], None]


class Extension(Protocol):
    """The callbacks of an extension, which identify requests by their handles in the request table."""

    def on_request(self, incoming: IncomingRequest) -> bool:
        """Return whether the policy handles a client's request.

        If not, the extension answers it: it has called `RequestTable.complete` or will call it later. A
        request that is unanswered at its deadline plus slack gets 504. If its client disconnects, the policy
        receives `ClientDisconnected` as for any other request. A duplicate is never started a second time: if
        the extension returns True for it, it gets 409.
        """

    def on_response(self, handle: int, response: Response, release: ReleaseResponse) -> None:
        """Receive the final response of a request before it is sent to the client.

        The response is sent once `release` is called with it or with a replacement, and at the latest at the
        request's deadline plus slack. This method is not called for requests that the extension completed.
        The handle may have been freed already.
        """

    def on_client_disconnected(self, handle: int) -> bool:
        """Return whether a request continues after its client has disconnected.

        If so, the policy is not notified, and the response is passed to `on_response` as usual.
        """

    def on_draining(self) -> None:
        """Handle the start of draining, before any connection is closed because of it."""
