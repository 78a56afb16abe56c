"""Request admission: validate a client's message, then respond immediately or pass it to the policy."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from meadowpulley.interface import Effect, PriorAttempt, Request
from meadowpulley.net import protocol
from meadowpulley.net.errors import NetError
from meadowpulley.net.extension import Extension, IncomingRequest, Response
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import BadMessageError, Message
from meadowpulley.net.request_parsing import is_request_id, parse_key, parse_remaining, parse_work_estimate
from meadowpulley.net.request_table import AcceptedRequest, RequestTable, ResponseSink

# The remaining time that a request states may exceed the deadline of its request class by up to this time,
# since clients round the remaining time.
DEADLINE_TOLERANCE_MS = 1_000.0
MAX_QUOTED_TARGET_CHARS = 40  # error texts quote at most this many characters of a request target
# Body of the 409 response to a request whose id is that of an open request, or of one that may have been
# executed. Forwarding the new request could execute its work twice. The earlier request continues.
_DUPLICATE_ID = f"'{protocol.REQUEST_ID_HEADER}' is that of an earlier request"
_ALLOWED_METHODS = {
    Effect.IDEMPOTENT: ("GET",),
    Effect.IDEMPOTENT_WITH_KEY: ("POST", "PUT"),
    Effect.NON_IDEMPOTENT: ("POST",),
}


class AdoptionError(NetError):
    """A message passed to `adopt` has no valid request id, or its path matches no request class."""

    def __init__(self, target: str) -> None:
        super().__init__(f"message has no request id or known path: {target[:MAX_QUOTED_TARGET_CHARS]!r}")
        self.target = target


@dataclass(frozen=True, slots=True)
class AdoptedRequest:
    """A request that a failed gateway had accepted.

    The deadline is in milliseconds on this gateway's clock. `attempt_count`, `prior_attempts` and `arm` are
    passed to the policy in `interface.Request`.
    """

    message: Message
    deadline_ms: float
    attempt_count: int = 0
    prior_attempts: tuple[PriorAttempt, ...] = ()
    arm: int = 0


class DetachedResponseSink:
    """Response sink for a request without a client connection; passes the response to a callback."""

    is_open = True
    closing = False

    def __init__(self, on_response: Callable[[Response], None]) -> None:
        self.request: AcceptedRequest | None = None
        self._on_response = on_response

    def peer_has_closed(self) -> bool:
        """Return False, since no client connection can end."""
        return False

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Pass the response to the callback."""
        self.request = None
        self._on_response(Response(status, headers, body))


class RequestSource(ResponseSink, Protocol):
    """A response sink from which the request was read: a client connection."""

    def input_arrived_at(self) -> float | None:
        """Return when the latest input arrived (ms, gateway's clock); None if the client has disconnected."""


def _is_id_hop_by_hop(message: Message) -> bool:
    """Return whether the `connection` header lists the request id header, so that it isn't forwarded."""
    options = message.headers.get("connection", "").split(",")
    return protocol.REQUEST_ID_HEADER in {option.strip().lower() for option in options}


class RequestAdmission:
    """Decides for each message whether it becomes an accepted request, and registers accepted requests."""

    def __init__(self, gateway: GatewayContext, requests: RequestTable) -> None:
        self.gateway = gateway
        self.requests = requests
        settings = gateway.config.settings
        self.class_indexes = {
            request_class.name: index for index, request_class in enumerate(settings.classes)
        }
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(settings.tenants)}
        # Index for requests without a known tenant. With index 0, they would be charged to the first tenant.
        self.unknown_tenant = len(settings.tenants)

    def accept(self, sink: RequestSource, message: Message) -> None:
        """Respond to a message immediately, or accept it as a request.

        Raises:
            BadMessageError: the message is not a valid request; no response was sent.
        """
        # Set `closing` before any response is sent, also to a health check. A response to HEAD ends the
        # connection, since the gateway sends a body that the client doesn't expect.
        sink.closing = sink.closing or not message.keep_alive or message.method == "HEAD"
        path = message.target.partition("?")[0]
        if not path.startswith("/"):
            raise BadMessageError(400, "the target is no path")
        if path in (protocol.READINESS_PATH, protocol.LIVENESS_PATH):
            self._respond_to_health_check(sink, path)
            return
        class_index = self._class_index(path)
        if class_index is None:
            self.gateway.counters.add("in.unknown_path")
            sink.respond(404, {}, b"unknown path\n")
            return
        if message.method == "GET" and message.body:
            raise BadMessageError(400, "a GET with a body")
        allowed_methods = _ALLOWED_METHODS[self.gateway.config.settings.classes[class_index].effect]
        if message.method not in allowed_methods:
            self.gateway.counters.add("in.wrong_method")
            sink.respond(405, {"allow": ", ".join(allowed_methods)}, b"wrong method\n")
            return
        arrived_at = sink.input_arrived_at()
        if arrived_at is None:  # nobody waits for a response; the end of the connection is read next
            self.gateway.counters.add("in.unread_disconnects")
            return
        self._admit(sink, self._create_request(sink, message, class_index, arrived_at))

    def adopt(self, adopted: AdoptedRequest, on_response: Callable[[Response], None]) -> int:
        """Take over a request that a failed gateway had accepted, and return its handle.

        The extension sees only the response, which is then passed to `on_response`. If the policy rejects
        the request immediately, `on_response` is called before this method returns.

        Raises:
            AdoptionError: the message has no valid request id, or its path matches no request class.
            SlotsFullError: the request table is full.
        """
        message = adopted.message
        class_index = self._class_index(message.target.partition("?")[0])
        request_id = message.headers.get(protocol.REQUEST_ID_HEADER, "")
        if class_index is None or not is_request_id(request_id):
            raise AdoptionError(message.target)
        sink = DetachedResponseSink(on_response)
        arrived_at = self.gateway.deadlines.now()
        request = AcceptedRequest(message, class_index, sink, arrived_at, adopted.deadline_ms)
        request.attempt_count = adopted.attempt_count  # the next attempt gets this number
        self.requests.add(request)
        sink.request = request
        self.gateway.counters.add("in.adopted")
        event = replace(
            self._request_event(request),
            adopted=True,
            prior_attempt_count=adopted.attempt_count,
            prior_attempts=adopted.prior_attempts,
            arm=adopted.arm,
        )
        self.gateway.dispatch(event)
        return request.handle

    def _respond_to_health_check(self, sink: ResponseSink, path: str) -> None:
        if path == protocol.LIVENESS_PATH or self.gateway.ready:
            sink.respond(200, {}, b"ok\n")
        else:
            sink.respond(503, {}, b"not ready\n")

    def _class_index(self, path: str) -> int | None:
        return self.class_indexes.get(path[1:].partition("/")[0])

    def _create_request(
        self, sink: ResponseSink, message: Message, class_index: int, arrived_at: float
    ) -> AcceptedRequest:
        """Add a request to the table. Raises BadMessageError for an invalid id or remaining time."""
        request_id = message.headers.get(protocol.REQUEST_ID_HEADER, "")
        if not is_request_id(request_id) or _is_id_hop_by_hop(message):
            raise BadMessageError(400, f"no '{protocol.REQUEST_ID_HEADER}', or not just one")
        if self.gateway.extension is None and self.requests.is_known(request_id):
            raise BadMessageError(409, _DUPLICATE_ID)
        deadline = arrived_at + self._remaining_ms(message, class_index)
        request = AcceptedRequest(message, class_index, sink, arrived_at, deadline)
        self.requests.add(request)
        sink.request = request
        return request

    def _remaining_ms(self, message: Message, class_index: int) -> float:
        """Return the remaining time of a request in ms: from its header, or the deadline of its class."""
        max_remaining_ms = self.gateway.config.settings.classes[class_index].deadline_ms
        text = message.headers.get(protocol.REMAINING_TIME_HEADER)
        remaining_ms = max_remaining_ms if text is None else parse_remaining(text)
        if remaining_ms > max_remaining_ms + DEADLINE_TOLERANCE_MS:
            raise BadMessageError(400, f"'{protocol.REMAINING_TIME_HEADER}' is more than its class may take")
        return remaining_ms

    def _admit(self, sink: ResponseSink, request: AcceptedRequest) -> None:
        """Pass an accepted request to the policy, unless it is a duplicate or the extension handles it."""
        self.gateway.counters.add("in.requests")
        event = self._request_event(request)
        if self.gateway.capture is not None:
            self.gateway.capture.record(event, request.arrived_at, len(request.message.body))
        extension = self.gateway.extension
        if extension is None or self._allowed_by_extension(extension, sink, request, event):
            self.gateway.dispatch(event)

    def _request_event(self, request: AcceptedRequest) -> Request:
        headers = request.message.headers
        return Request(
            request=request.handle,
            class_index=request.class_index,
            tenant=self.tenant_indexes.get(headers.get(protocol.TENANT_HEADER, ""), self.unknown_tenant),
            key=parse_key(headers.get(protocol.ENTITY_KEY_HEADER, "")),
            deadline_ms=request.deadline,
            expected_work_ms=parse_work_estimate(request.message),
            client_retry=headers.get(protocol.RESEND_HEADER) == "1",
            write=request.message.method != "GET",
        )

    def _allowed_by_extension(
        self, extension: Extension, sink: ResponseSink, request: AcceptedRequest, event: Request
    ) -> bool:
        """Ask the extension for its decision, and return whether the policy receives the request.

        The policy never receives a duplicate, which has the id of another open request. If the extension
        returns True for a duplicate, the duplicate gets a 409 response.
        """
        request_id = request.message.headers[protocol.REQUEST_ID_HEADER]
        is_duplicate = self.requests.open_ids[request_id] > 1
        incoming = IncomingRequest(request_id, event, request.message, request.arrived_at, is_duplicate)
        if not extension.on_request(incoming):
            return False
        if is_duplicate:
            sink.closing = True
            self.requests.complete(request.handle, Response(409, {}, _DUPLICATE_ID.encode()))
        return not is_duplicate
