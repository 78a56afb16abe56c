"""Intake: what a client's message asks for, and whether it is taken."""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Callable
from dataclasses import replace

from meadowpulley.interface import Effect, PriorAttempt, Request
from meadowpulley.net import protocol
from meadowpulley.net.extension import Extension, IncomingRequest, Response
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import BadMessageError, Message
from meadowpulley.net.request_table import AcceptedRequest, RequestTable, ResponseSink

DEADLINE_TOLERANCE_MS = 1_000.0  # what a request may claim beyond its class's limit: clients round
_REMAINING = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,6})?)([mu])")
_REQUEST_ID = re.compile(r"[!-+\--~]{1,128}")  # neither blanks nor commas: those would be two ids in one
_HEX_KEY = re.compile(r"[0-9a-fA-F]{1,16}")
# That one goes on, and an attempt for another would be its second copy.
_DUPLICATE_ID = f"'{protocol.REQUEST_ID_HEADER}' is that of an open request"
_ALLOWED_METHODS = {
    Effect.IDEMPOTENT: ("GET",),
    Effect.IDEMPOTENT_WITH_KEY: ("POST", "PUT"),
    Effect.NON_IDEMPOTENT: ("POST",),
}


def parse_remaining(text: str) -> float:
    matched = _REMAINING.fullmatch(text)
    if matched is None:
        raise BadMessageError(400, f"'{protocol.REMAINING_TIME_HEADER}' is no time")
    return float(matched[1]) * (1.0 if matched[2] == "m" else 0.001)


def parse_key(text: str) -> int:
    """Keys are numbers to the decisions; one in another form stands for the same number everywhere."""
    if not text:
        return 0
    if _HEX_KEY.fullmatch(text):
        return int(text, 16)
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def parse_work_hint(message: Message) -> float | None:
    try:
        hint = float(message.headers[protocol.WORK_ESTIMATE_HEADER])
    except (KeyError, ValueError):
        return None
    return hint if math.isfinite(hint) and hint >= 0 else None


class DetachedResponseSink:
    """Who asked for a request that no client's connection stands behind."""

    is_open, closing = True, False

    def __init__(self, on_response: Callable[[Response], None]) -> None:
        self.request: AcceptedRequest | None = None
        self._on_response = on_response

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.request = None
        self._on_response(Response(status, headers, body))


class RequestAdmission:
    def __init__(self, gateway: GatewayContext, requests: RequestTable) -> None:
        self.gateway, self.requests = gateway, requests
        self.class_indexes = {c.name: n for n, c in enumerate(gateway.config.settings.classes)}
        self.tenant_indexes = {t.name: n for n, t in enumerate(gateway.config.settings.tenants)}
        # Whoever names no tenant of ours: place 0 is a tenant's, who would be charged for it.
        self.unknown_tenant = len(gateway.config.settings.tenants)

    def accept(self, sink: ResponseSink, message: Message) -> None:
        """Answers a message at once, or takes it as a request. Raises BadMessageError."""
        # Before any answer, a health check's too. One to HEAD ends the connection: its body is not expected.
        sink.closing = sink.closing or not message.keep_alive or message.method == "HEAD"
        path = message.target.partition("?")[0]
        if not path.startswith("/"):
            raise BadMessageError(400, "the target is no path")
        if path in (protocol.READINESS_PATH, protocol.LIVENESS_PATH):
            healthy = path == protocol.LIVENESS_PATH or self.gateway.ready
            sink.respond(200 if healthy else 503, {}, b"ok\n" if healthy else b"not ready\n")
            return
        class_index = self._class_index(path)
        if class_index is None:
            self.gateway.counters.add("in.unknown_path")
            sink.respond(404, {}, b"unknown path\n")
            return
        settings = self.gateway.config.settings
        allowed = _ALLOWED_METHODS[settings.classes[class_index].effect]
        if message.method == "GET" and message.body:
            raise BadMessageError(400, "a GET with a body")
        if message.method not in allowed:
            self.gateway.counters.add("in.wrong_method")
            sink.respond(405, {"allow": ", ".join(allowed)}, b"wrong method\n")
            return
        request = self._create_request(sink, message, class_index)
        self.gateway.counters.add("in.requests")
        event = self._request_event(request)
        if self.gateway.capture is not None:
            self.gateway.capture.record(event, request.arrived_at, len(message.body))
        if self.gateway.extension is None or self._allowed_by_extension(
            self.gateway.extension, sink, request, event
        ):
            self.gateway.dispatch(event)

    def _class_index(self, path: str) -> int | None:
        return self.class_indexes.get(path[1:].partition("/")[0])

    def _request_event(self, request: AcceptedRequest) -> Request:
        message = request.message
        return Request(
            request=request.handle,
            class_index=request.class_index,
            tenant=self.tenant_indexes.get(
                message.headers.get(protocol.TENANT_HEADER, ""), self.unknown_tenant
            ),
            key=parse_key(message.headers.get(protocol.ENTITY_KEY_HEADER, "")),
            deadline_ms=request.deadline,
            expected_work_ms=parse_work_hint(message),
            client_retry=message.headers.get(protocol.RESEND_HEADER) == "1",
            write=message.method != "GET",
        )

    def _allowed_by_extension(
        self, extension: Extension, sink: ResponseSink, request: AcceptedRequest, event: Request
    ) -> bool:
        request_id = request.message.headers[protocol.REQUEST_ID_HEADER]
        is_duplicate = self.requests.open_ids[request_id] > 1
        if not extension.on_request(
            IncomingRequest(request_id, event, request.message, request.arrived_at, is_duplicate)
        ):
            return False
        if is_duplicate:
            sink.closing = True
            self.requests.complete(request.handle, Response(409, {}, _DUPLICATE_ID.encode()))
        return not is_duplicate

    def adopt(
        self,
        message: Message,
        deadline_ms: float,
        on_response: Callable[[Response], None],
        attempt_count: int = 0,
        prior_attempts: tuple[PriorAttempt, ...] = (),
        arm: int = 0,
    ) -> int:
        """Takes a request over that a lost gateway had taken, and gives its handle; the deadline is on this
        gateway's clock, `tries` to `arm` as in `i.Request`. It is shown to the hook only when answered; then
        `done` has the answer, before this returns where the decisions refuse it at once. Raises ValueError
        where it has no id or no class takes such a path, SlotsFullError."""
        class_index = self._class_index(message.target.partition("?")[0])
        if class_index is None or not _REQUEST_ID.fullmatch(
            message.headers.get(protocol.REQUEST_ID_HEADER, "")
        ):
            raise ValueError(f"no request of ours: {message.target[:40]!r}")
        sink = DetachedResponseSink(on_response)
        request = AcceptedRequest(message, class_index, sink, self.gateway.deadlines.now(), deadline_ms)
        request.attempt_count = attempt_count  # attempts are numbered on
        self.requests.add(request)
        sink.request = request
        self.gateway.counters.add("in.adopted")
        event = replace(
            self._request_event(request),
            adopted=True,
            prior_attempt_count=attempt_count,
            prior_attempts=prior_attempts,
            arm=arm,
        )
        self.gateway.dispatch(event)
        return request.handle

    def _create_request(self, sink: ResponseSink, message: Message, class_index: int) -> AcceptedRequest:
        request_id = message.headers.get(protocol.REQUEST_ID_HEADER, "")
        connection_options = {
            option.strip().lower() for option in message.headers.get("connection", "").split(",")
        }
        if (
            not _REQUEST_ID.fullmatch(request_id) or protocol.REQUEST_ID_HEADER in connection_options
        ):  # one of this connection alone would not be sent on
            raise BadMessageError(400, f"no '{protocol.REQUEST_ID_HEADER}', or not just one")
        is_open = request_id in self.requests.open_ids or request_id in self.requests.outstanding_ids
        if is_open and self.gateway.extension is None:
            raise BadMessageError(409, _DUPLICATE_ID)
        now, settings = self.gateway.deadlines.arrival_time(), self.gateway.config.settings
        remaining_text = message.headers.get(protocol.REMAINING_TIME_HEADER)
        max_remaining = settings.classes[class_index].deadline_ms
        remaining = max_remaining if remaining_text is None else parse_remaining(remaining_text)
        if remaining > max_remaining + DEADLINE_TOLERANCE_MS:
            raise BadMessageError(400, f"'{protocol.REMAINING_TIME_HEADER}' is more than its class may take")
        request = AcceptedRequest(message, class_index, sink, now, now + remaining)
        self.requests.add(request)
        sink.request = request
        return request
