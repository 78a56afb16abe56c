"""Accepted requests. Each gets exactly one final response, by its deadline plus the response slack."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from meadowpulley.interface import ClientDisconnected, Effect, Fail, Reject
from meadowpulley.net import protocol
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.executed_ids import ExecutedIds
from meadowpulley.net.extension import Extension, Response
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import SMALL_MESSAGE_BYTES, Message
from meadowpulley.net.memory_budget import MemoryUse
from meadowpulley.net.slots import SlotTable

EXECUTED_IDS_PER_MB = (
    64  # entries of `executed_ids` for each MB of the memory limit; each takes some 150 bytes
)
# Minimum time for which the id of an executed request is rejected. It is at least the longest deadline, until
# which an instance may execute a request whose client has left.
MIN_ID_RETENTION_MS = 10_000.0
NO_HANDLE = -1  # handle of a request or connection that is not stored in a table


class ResponseSink(Protocol):
    """Receiver of a request's response: a client connection, or an object without a connection."""

    is_open: bool
    request: AcceptedRequest | None  # the request that currently waits for its response
    closing: bool  # whether the connection ends after the next response

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a response."""

    def peer_has_closed(self) -> bool:
        """Return whether the client has disconnected, even if that was not read yet."""


class OutstandingAttempt(Protocol):
    """An attempt that has no outcome yet. Times are milliseconds on the gateway's clock."""

    sent_at: float
    written: bool  # whether the kernel has accepted the last byte of the request

    def time_out(self) -> None:
        """End the attempt at its deadline."""

    def cancel(self) -> None:
        """End the attempt because the policy cancelled it."""


@dataclass(slots=True, eq=False)
class AcceptedRequest:
    """A request that the gateway accepted. Times are milliseconds on the gateway's clock."""

    message: Message
    class_index: int
    sink: ResponseSink | None  # None once the request is finished
    arrived_at: float
    deadline: float
    handle: int = NO_HANDLE
    attempt_count: int = 0
    first_execution_at: float = math.inf  # earliest send time of the ended attempts that may have executed
    outstanding: dict[int, OutstandingAttempt] = field(default_factory=dict)  # attempts by number
    finished: bool = False  # whether the request has a response, or its client has disconnected
    timeout: Deadline | None = None
    charged_bytes: int = 0  # memory of the message, if it is charged to the memory budget

    def may_have_executed(self, attempt_number: int) -> bool:
        """Return whether any attempt other than `attempt_number` may have executed or may still execute."""
        if self.first_execution_at < math.inf:
            return True
        return any(
            attempt.written for number, attempt in self.outstanding.items() if number != attempt_number
        )

    @property
    def request_id(self) -> str:
        """Id of the request, chosen by the client."""
        return self.message.headers[protocol.REQUEST_ID_HEADER]


class DeferredResponse:
    """A response that the extension may hold until the request's deadline plus the response slack."""

    def __init__(
        self, requests: RequestTable, request: AcceptedRequest, sink: ResponseSink | None, response: Response
    ) -> None:
        self.requests = requests
        self.request = request
        self.sink = sink
        self.response = response
        gateway = requests.gateway
        release_by = request.deadline + gateway.config.settings.rules.response_slack_ms
        self.timeout = gateway.deadlines.at(release_by, self._release_overdue)

    def release(self, response: Response) -> None:
        """Send the original response or a replacement. Only the first call has an effect."""
        self.requests.gateway.deadlines.cancel(self.timeout)
        self.requests.deliver(self.request, self.sink, response)

    def _release_overdue(self) -> None:
        self.requests.gateway.counters.add("out.release_overdue")
        self.release(self.response)


class RequestTable:
    """Accepted requests by handle. Enforces their deadlines and sends their final responses.

    Attributes:
        slots: all requests that occupy a slot, including finished ones with an outstanding attempt.
        open_ids: number of unfinished requests for each request id; more than 1 only with an extension,
            which also receives duplicates.
        outstanding_ids: ids of finished requests with an outstanding attempt; forwarding a new request with
            the same id could execute its work twice.
        executed_ids: ids of non-idempotent requests that an instance may have executed, also after the end of
            their attempts, which an instance need not notice.
    """

    def __init__(self, gateway: GatewayContext, size: int) -> None:
        self.gateway = gateway
        self.slots: SlotTable[AcceptedRequest] = SlotTable(size)
        self.open_ids: dict[str, int] = {}
        self.outstanding_ids: set[str] = set()
        deadlines_ms = [request_class.deadline_ms for request_class in gateway.config.settings.classes]
        self.executed_ids = ExecutedIds(
            int(gateway.config.memory_mb * EXECUTED_IDS_PER_MB), max(MIN_ID_RETENTION_MS, *deadlines_ms)
        )

    def add(self, request: AcceptedRequest) -> None:
        """Add a request and schedule its deadline. Raises SlotsFullError if the table is full."""
        request.handle = self.slots.put(request)
        size = request.message.memory_bytes
        if size > SMALL_MESSAGE_BYTES:  # small ones are allowed for with their connections
            request.charged_bytes = size
            self.gateway.memory_budget.change(MemoryUse.REQUEST, size)
        self.open_ids[request.request_id] = self.open_ids.get(request.request_id, 0) + 1
        request.timeout = self.gateway.deadlines.at(
            request.deadline, partial(self._deadline_reached, request)
        )

    def respond(self, request: AcceptedRequest, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send the final response of a request; a second response is counted and dropped."""
        if request.finished:
            self.gateway.counters.add("out.duplicate_responses")
            return
        sink = request.sink
        self._finish(request)
        self.gateway.counters.add(f"out.{status}")
        if self.gateway.extension is not None:
            deferred = DeferredResponse(self, request, sink, Response(status, headers, body))
            self._pass_to_extension(self.gateway.extension, deferred)
        elif sink is not None and sink.is_open and sink.request is request:
            sink.respond(status, headers, body)

    def complete(self, handle: int, response: Response) -> bool:
        """Send a request's final response without passing it to the extension, and notify the policy.

        The policy receives `ClientDisconnected`, so that it cancels outstanding attempts. Returns False if
        the request was already finished.
        """
        request = self.slots.get(handle)
        if request is None or request.finished:
            return False
        sink = request.sink
        self._finish(request)
        self.gateway.counters.add(f"out.{response.status}")
        self.deliver(request, sink, response)
        self.gateway.dispatch(ClientDisconnected(handle))
        return True

    def deliver(self, request: AcceptedRequest, sink: ResponseSink | None, response: Response) -> None:
        """Send a response, unless the sink is closed or no longer waits for this request's response."""
        if sink is not None and sink.is_open and sink.request is request:
            sink.respond(response.status, response.headers, response.body)
        # Check whether draining is complete. The end of a client connection also causes this check, but there
        # is no such connection for an adopted request, or for a request that the extension continues after
        # its client disconnected.
        self.gateway.stop_if_drained()

    def reject(self, action: Reject) -> None:
        """Respond with 503, and with Retry-After if the policy's action has a retry delay."""
        request = self.slots.get(action.request)
        if request is None:
            self.gateway.counters.add("out.late_actions")
            return
        retry_after_ms = action.retry_after_ms
        headers = {"retry-after": f"{retry_after_ms / 1000:.3f}"} if retry_after_ms > 0 else {}
        self.respond(request, 503, headers, b"")

    def fail(self, action: Fail) -> None:
        """Respond with 502, since the policy ended the request with `Fail`."""
        request = self.slots.get(action.request)
        if request is None:
            self.gateway.counters.add("out.late_actions")
            return
        self.respond(request, 502, {}, b"")

    def decision_failed(self, handle: int) -> None:
        """Respond with 502 after the policy raised an exception, unless an attempt is outstanding."""
        request = self.slots.get(handle)
        if request is not None and not request.finished and not request.outstanding:
            self.respond(request, 502, {}, b"")
            self.gateway.dispatch(ClientDisconnected(handle))

    def client_disconnected(self, request: AcceptedRequest) -> None:
        """Finish a request whose client disconnected, unless the extension lets the request continue."""
        if request.finished:
            return
        extension = self.gateway.extension
        if extension is not None and self._continues_without_client(extension, request):
            self.gateway.counters.add("in.continued_without_client")
        else:
            self.gateway.counters.add("in.client_disconnected")
            self._finish(request)
            self.gateway.dispatch(ClientDisconnected(request.handle))

    def finish_if_abandoned(self, request: AcceptedRequest) -> bool:
        """Return whether nobody waits for the response, and finish a request whose client has disconnected.

        A disconnection counts from its arrival, although the gateway may not have read it yet.
        """
        sink = request.sink
        if sink is not None and sink.request is request and sink.peer_has_closed():
            self.gateway.counters.add("in.unread_disconnects")
            sink.request = None
            self.client_disconnected(request)
        return request.finished

    def is_known(self, request_id: str) -> bool:
        """Return whether forwarding a request with this id could execute the work of another one again."""
        return (
            request_id in self.open_ids
            or request_id in self.outstanding_ids
            or self.executed_ids.contains(request_id, self.gateway.deadlines.now())
        )

    def record_execution(self, request: AcceptedRequest) -> None:
        """Remember that an instance may have executed a request, unless its class may be repeated freely."""
        if self.gateway.config.settings.classes[request.class_index].effect is Effect.IDEMPOTENT:
            return
        if not self.executed_ids.add(request.request_id, self.gateway.deadlines.now()):
            self.gateway.counters.add("in.forgotten_ids")

    def free_if_done(self, request: AcceptedRequest) -> None:
        """Free the slot of a request that is finished and has no outstanding attempt."""
        if request.finished and not request.outstanding:
            self.slots.free(request.handle)
            if request.charged_bytes:
                self.gateway.memory_budget.change(MemoryUse.REQUEST, -request.charged_bytes)
                request.charged_bytes = 0
            self.outstanding_ids.discard(request.request_id)

    def _deadline_reached(self, request: AcceptedRequest) -> None:
        """Time out all attempts; the policy may still respond during the response slack."""
        slack_ms = self.gateway.config.settings.rules.response_slack_ms
        # Schedule the fallback response first, so that it is sent in time even if a call below raises.
        overdue_at = request.deadline + slack_ms
        request.timeout = self.gateway.deadlines.at(overdue_at, partial(self._respond_overdue, request))
        for attempt in list(request.outstanding.values()):
            attempt.time_out()

    def _respond_overdue(self, request: AcceptedRequest) -> None:
        """Respond with 504 if the policy has sent no response in time, which is a fault of the gateway."""
        if request.finished:
            return
        self.gateway.counters.add("out.overdue")
        self.gateway.log.error("response_overdue", class_index=request.class_index)
        self.respond(request, 504, {}, b"")
        self.gateway.dispatch(ClientDisconnected(request.handle))

    def _pass_to_extension(self, extension: Extension, deferred: DeferredResponse) -> None:
        try:
            extension.on_response(deferred.request.handle, deferred.response, deferred.release)
        except Exception:  # noqa: BLE001  # the client gets its response even if the extension raises
            self.gateway.log_fault("extension")
            deferred.release(deferred.response)

    def _continues_without_client(self, extension: Extension, request: AcceptedRequest) -> bool:
        try:
            return extension.on_client_disconnected(request.handle)
        except Exception:  # noqa: BLE001
            # Return False. Otherwise the request would keep its slot, although nobody awaits its response.
            self.gateway.log_fault("extension")
            return False

    def _finish(self, request: AcceptedRequest) -> None:
        request.finished = True
        request.sink = None
        remaining = self.open_ids.pop(request.request_id) - 1
        if remaining:
            self.open_ids[request.request_id] = remaining
        self.gateway.deadlines.cancel(request.timeout)
        if request.outstanding:
            self.outstanding_ids.add(request.request_id)
        self.free_if_done(request)
