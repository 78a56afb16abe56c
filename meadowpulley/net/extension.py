"""The extension point beside request admission: an optional object at `Gateway.extension`, None by default.

An extension sees each request before the policy and each final response before its client. It may answer a
request itself, hold a response until that is recorded, and let work continue without its client. It uses
`RequestTable.complete` to answer a request, `RequestAdmission.adopt` to take over a request without a client
connection, `Gateway.register_action` to add action types, and `Gateway.dispatch` with events of any type for
the stages of `Gateway.pipeline`. Without an extension all of this costs the test of one attribute.

Methods are called in the reactor's thread and must not block. Exceptions are logged and counted as
`fault.extension` (those of `on_request` as `fault.admission`, which fails the request), and the gateway
continues as without the extension.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from meadowpulley.interface import Request
from meadowpulley.net.http1 import Message


@dataclass(frozen=True, slots=True)
class Response:
    """A final response. `headers` holds end-to-end headers only: none on the connection or the length."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A request as it was accepted. Times are milliseconds on the gateway's clock."""

    request_id: str  # chosen by the client
    event: Request  # as the policy sees it: handle, class, tenant, key and deadline
    message: Message  # as received: method, path with query, headers, body
    arrived_ms: float
    is_duplicate: bool  # another request with the same id still awaits its response here


ReleaseResponse: TypeAlias = Callable[[Response], None]


class Extension(Protocol):
    """Callbacks of an extension. Requests are named by their handles in the request table."""

    def on_request(self, incoming: IncomingRequest) -> bool:
        """Return whether the policy shall handle a client's request.

        If not, the extension answers it: it has called `RequestTable.complete`, or will. Unanswered by its
        deadline and slack, the request gets 504; if its client disconnects, the policy receives
        `ClientDisconnected` as for any other. A duplicate is never started a second time: where the extension
        returns True it gets 409.
        """

    def on_response(self, handle: int, response: Response, release: ReleaseResponse) -> None:
        """Receive the final response of a request before its client does.

        It is sent once `release` is called with it or with a replacement, at the latest at the request's
        deadline and slack. Not called for requests that the extension completed. The handle may be free by
        now.
        """

    def on_client_disconnected(self, handle: int) -> bool:
        """Return whether work on a request continues after its client has disconnected.

        If so, nobody else is notified, and its response goes to `on_response` as any other.
        """

    def on_draining(self) -> None:
        """Note that the gateway begins to drain; called before any connection is closed for that."""
