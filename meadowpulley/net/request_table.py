"""The accepted requests: each is owed exactly one final response, at the latest at its deadline and slack."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from meadowpulley.interface import ClientDisconnected, Fail, Reject
from meadowpulley.net import protocol
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.extension import Extension, Response
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import Message
from meadowpulley.net.slots import SlotTable

NO_HANDLE = -1  # of a request that is not in the table


class ResponseSink(Protocol):
    """Who sent a request and receives its response: a client's connection, or a stand-in for one."""

    is_open: bool
    request: AcceptedRequest | None  # the one that awaits its response
    closing: bool  # the next response is the last one

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a response."""


class OutstandingAttempt(Protocol):
    """An attempt of a request that has no outcome yet. Times are milliseconds on the gateway's clock."""

    sent_at: float
    written: bool  # the kernel has the last byte of its request

    def time_out(self) -> None:
        """End the attempt at its deadline."""

    def cancel(self) -> None:
        """End the attempt because its outcome is no longer needed."""


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
    first_execution_at: float = math.inf  # when the first ended attempt was sent that may have run
    outstanding: dict[int, OutstandingAttempt] = field(default_factory=dict)  # by attempt number
    finished: bool = False  # answered, or its client is gone
    timeout: Deadline | None = None

    def may_have_executed(self, attempt_number: int) -> bool:
        """Return whether another attempt than this one was executed, may have been, or may yet be."""
        if self.first_execution_at < math.inf:
            return True
        return any(
            attempt.written for number, attempt in self.outstanding.items() if number != attempt_number
        )

    @property
    def request_id(self) -> str:
        """The id that the client chose."""
        return self.message.headers[protocol.REQUEST_ID_HEADER]


class DeferredResponse:
    """A response that the extension may hold, at most until the request's deadline and slack."""

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
        """Send the response, or the one that replaces it. Only the first call has an effect."""
        self.requests.gateway.deadlines.cancel(self.timeout)
        self.requests.deliver(self.request, self.sink, response)

    def _release_overdue(self) -> None:
        self.requests.gateway.counters.add("out.release_overdue")
        self.release(self.response)


class RequestTable:
    """The accepted requests by handle, with their deadlines and final responses.

    Attributes:
        slots: all requests whose slot is in use, answered ones with an outstanding attempt among them.
        open_ids: how many requests of each id await a response; more than one only where an extension
            allows it.
        outstanding_ids: ids of finished requests with an outstanding attempt, which a request of the same id
            would duplicate.
    """

    def __init__(self, gateway: GatewayContext, size: int) -> None:
        self.gateway = gateway
        self.slots: SlotTable[AcceptedRequest] = SlotTable(size)
        self.open_ids: dict[str, int] = {}
        self.outstanding_ids: set[str] = set()

    def add(self, request: AcceptedRequest) -> None:
        """Register a request: from now on it is owed a response. Raises SlotsFullError."""
        request.handle = self.slots.put(request)
        self.open_ids[request.request_id] = self.open_ids.get(request.request_id, 0) + 1
        request.timeout = self.gateway.deadlines.at(
            request.deadline, partial(self._deadline_reached, request)
        )

    def respond(self, request: AcceptedRequest, status: int, headers: dict[str, str], body: bytes) -> None:
        """Give a request its final response; a second one is counted and dropped."""
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
        """Give a request a response that the extension is not shown; outstanding attempts are cancelled.

        Returns False if the request was finished already.
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
        """Send a response to its sink, if that still awaits it rather than the next one."""
        if sink is not None and sink.is_open and sink.request is request:
            sink.respond(response.status, response.headers, response.body)
        self.gateway.stop_if_drained()  # a detached request ends without the end of a connection

    def reject(self, action: Reject) -> None:
        """Answer 503, with Retry-After where the policy gives a time."""
        request = self.slots.get(action.request)
        if request is None:
            self.gateway.counters.add("out.late_actions")
            return
        retry_after_ms = action.retry_after_ms
        headers = {"retry-after": f"{retry_after_ms / 1000:.3f}"} if retry_after_ms > 0 else {}
        self.respond(request, 503, headers, b"")

    def fail(self, action: Fail) -> None:
        """Answer 502."""
        request = self.slots.get(action.request)
        if request is None:
            self.gateway.counters.add("out.late_actions")
            return
        self.respond(request, 502, {}, b"")

    def decision_failed(self, handle: int) -> None:
        """Fail a request on which the policy raised an exception, unless an attempt of it is outstanding."""
        request = self.slots.get(handle)
        if request is not None and not request.finished and not request.outstanding:
            self.respond(request, 502, {}, b"")
            self.gateway.dispatch(ClientDisconnected(handle))

    def client_disconnected(self, request: AcceptedRequest) -> None:
        """Finish a request whose client is gone, unless the extension lets it continue."""
        if request.finished:
            return
        extension = self.gateway.extension
        if extension is not None and self._continues_without_client(extension, request):
            self.gateway.counters.add("in.continued_without_client")
        else:
            self.gateway.counters.add("in.client_disconnected")
            self._finish(request)
            self.gateway.dispatch(ClientDisconnected(request.handle))

    def free_if_done(self, request: AcceptedRequest) -> None:
        """Free the slot of a request that is finished and has no outstanding attempt."""
        if request.finished and not request.outstanding:
            self.slots.free(request.handle)
            self.outstanding_ids.discard(request.request_id)

    def _deadline_reached(self, request: AcceptedRequest) -> None:
        """Time out all attempts; the policy has the slack to answer."""
        slack_ms = self.gateway.config.settings.rules.response_slack_ms
        # Set first: whatever fails below, the response is sent in time.
        overdue_at = request.deadline + slack_ms
        request.timeout = self.gateway.deadlines.at(overdue_at, partial(self._respond_overdue, request))
        for attempt in list(request.outstanding.values()):
            attempt.time_out()

    def _respond_overdue(self, request: AcceptedRequest) -> None:
        """Answer 504 where the policy has not answered: a fault of the gateway."""
        if request.finished:
            return
        self.gateway.counters.add("out.overdue")
        self.gateway.log.error("response_overdue", class_index=request.class_index)
        self.respond(request, 504, {}, b"")
        self.gateway.dispatch(ClientDisconnected(request.handle))

    def _pass_to_extension(self, extension: Extension, deferred: DeferredResponse) -> None:
        try:
            extension.on_response(deferred.request.handle, deferred.response, deferred.release)
        except Exception:  # noqa: BLE001  # a broken extension must not cost the client its response
            self.gateway.log_fault("extension")
            deferred.release(deferred.response)

    def _continues_without_client(self, extension: Extension, request: AcceptedRequest) -> bool:
        try:
            return extension.on_client_disconnected(request.handle)
        except Exception:  # noqa: BLE001  # else the request would keep its slot, though nobody awaits its response
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
