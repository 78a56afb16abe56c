"""The requests that the gateway took: each is owed exactly one final answer, by its deadline."""

from __future__ import annotations

import math
from functools import partial
from typing import Protocol

from meadowpulley.interface import ClientDisconnected, Fail, Reject
from meadowpulley.net import protocol
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.extension import Extension, Response
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import Message
from meadowpulley.net.slots import SlotTable


class ResponseSink(Protocol):
    """Who asked, and is answered: a client's connection."""

    is_open: bool
    request: AcceptedRequest | None
    closing: bool

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None: ...


class OutstandingAttempt(Protocol):
    """An attempt that is out."""

    sent_at: float

    def time_out(self) -> None: ...

    def cancel(self) -> None: ...


class AcceptedRequest:
    """One request that the gateway took: it is owed exactly one final answer."""

    def __init__(
        self, message: Message, class_index: int, sink: ResponseSink, arrived_at: float, deadline: float
    ) -> None:
        self.message, self.class_index, self.arrived_at, self.deadline = (
            message,
            class_index,
            arrived_at,
            deadline,
        )
        self.sink: ResponseSink | None = sink
        self.handle = -1
        self.attempt_count = 0
        self.first_execution_at = math.inf  # when the first attempt was sent that is over and may have run
        self.outstanding: dict[int, OutstandingAttempt] = {}
        self.finished = False
        self.timeout: Deadline | None = None


class HeldResponse:
    """An answer that the hook may hold: it goes out once, when released or by its deadline and slack."""

    def __init__(
        self, requests: RequestTable, request: AcceptedRequest, sink: ResponseSink | None, response: Response
    ) -> None:
        self.requests, self.request, self.sink, self.response = requests, request, sink, response
        gateway = requests.gateway
        release_by = request.deadline + gateway.config.settings.rules.response_slack_ms
        self.timeout = gateway.deadlines.at(release_by, self._release_overdue)

    def release(self, response: Response) -> None:
        self.requests.gateway.deadlines.cancel(self.timeout)
        self.requests.deliver(self.request, self.sink, response)

    def _release_overdue(self) -> None:
        self.requests.gateway.counters.add("out.held_late")
        self.release(self.response)


class RequestTable:
    """`table`: all whose slot is in use, the answered ones with an attempt still out among them; `ids`: how
    many of each id are owed an answer, more than one only where a hook lets them in; `still_out`: the ids of
    those that are over with an attempt still out, whose second copy another one would be."""

    def __init__(self, gateway: GatewayContext, size: int) -> None:
        self.gateway = gateway
        self.slots: SlotTable[AcceptedRequest] = SlotTable(size)
        self.open_ids: dict[str, int] = {}
        self.outstanding_ids: set[str] = set()

    def add(self, request: AcceptedRequest) -> None:
        """From now on the request is owed an answer, whatever becomes of it."""
        request.handle = self.slots.put(request)
        request_id = request.message.headers[protocol.REQUEST_ID_HEADER]
        self.open_ids[request_id] = self.open_ids.get(request_id, 0) + 1
        request.timeout = self.gateway.deadlines.at(
            request.deadline, partial(self._deadline_reached, request)
        )

    def _deadline_reached(self, request: AcceptedRequest) -> None:
        """The client stops waiting: attempts end here, and the decisions have a little time left."""
        slack = self.gateway.config.settings.rules.response_slack_ms
        # Whatever goes wrong before the answer, this one still comes in time.
        request.timeout = self.gateway.deadlines.at(
            request.deadline + slack, partial(self._respond_overdue, request)
        )
        for attempt in list(request.outstanding.values()):
            attempt.time_out()

    def _respond_overdue(self, request: AcceptedRequest) -> None:
        if request.finished:
            return
        self.gateway.counters.add("out.overdue")
        self.gateway.log.error("request was still unanswered past its deadline", cls=request.class_index)
        self.respond(request, 504, {}, b"")
        self.gateway.dispatch(ClientDisconnected(request.handle))

    def respond(self, request: AcceptedRequest, status: int, headers: dict[str, str], body: bytes) -> None:
        """The one final answer; a second one is counted and goes nowhere."""
        if request.finished:
            self.gateway.counters.add("out.second_answers")
            return
        sink = request.sink
        self._finish(request)
        self.gateway.counters.add(f"out.{status}")
        if self.gateway.extension is not None:
            self._pass_to_extension(
                self.gateway.extension, HeldResponse(self, request, sink, Response(status, headers, body))
            )
        elif sink is not None and sink.is_open and sink.request is request:
            sink.respond(status, headers, body)

    def _pass_to_extension(self, extension: Extension, held: HeldResponse) -> None:
        try:
            extension.on_response(held.request.handle, held.response, held.release)
        except Exception:
            self.gateway.log_fault("hook")
            held.release(held.response)

    def deliver(self, request: AcceptedRequest, sink: ResponseSink | None, response: Response) -> None:
        """To whoever still waits for it: once it has an answer a link holds no request, or the next one."""
        if sink is not None and sink.is_open and sink.request is request:
            sink.respond(response.status, response.headers, response.body)
        self.gateway.stop_if_drained()  # no connection may end behind this one

    def complete(self, handle: int, response: Response) -> bool:
        """Gives a request an answer that is known from elsewhere, which the hook is not shown again. Attempts
        that are out are called off. False: it is over already."""
        taken = self.slots.get(handle)
        if taken is None or taken.finished:
            return False
        sink = taken.sink
        self._finish(taken)
        self.gateway.counters.add(f"out.{response.status}")
        self.deliver(taken, sink, response)
        self.gateway.dispatch(ClientDisconnected(handle))
        return True

    def reject(self, action: Reject) -> None:
        request = self.slots.get(action.request)
        if request is None:
            self.gateway.counters.add("out.late_actions")
            return
        retry_after_ms = action.retry_after_ms
        headers = {"retry-after": f"{retry_after_ms / 1000:.3f}"} if retry_after_ms > 0 else {}
        self.respond(request, 503, headers, b"")

    def fail(self, action: Fail) -> None:
        request = self.slots.get(action.request)
        if request is None:
            self.gateway.counters.add("out.late_actions")
            return
        self.respond(request, 502, {}, b"")

    def decision_failed(self, handle: int) -> None:
        """The decisions failed on this request: if nothing is under way for it, it fails now."""
        taken = self.slots.get(handle)
        if taken is not None and not taken.finished and not taken.outstanding:
            self.respond(taken, 502, {}, b"")
            self.gateway.dispatch(ClientDisconnected(handle))

    def client_disconnected(self, request: AcceptedRequest) -> None:
        """Its client has gone before the answer."""
        if request.finished:
            return
        if self.gateway.extension is not None and self._continues_without_client(
            self.gateway.extension, request
        ):
            self.gateway.counters.add("in.left")
        else:
            self.gateway.counters.add("in.gone")
            self._finish(request)
            self.gateway.dispatch(ClientDisconnected(request.handle))

    def _continues_without_client(self, extension: Extension, request: AcceptedRequest) -> bool:
        try:
            return extension.on_client_disconnected(request.handle)
        except Exception:
            self.gateway.log_fault("hook")
            return False

    def _finish(self, request: AcceptedRequest) -> None:
        request.finished, request.sink = True, None
        request_id = request.message.headers[protocol.REQUEST_ID_HEADER]
        remaining = self.open_ids.pop(request_id) - 1
        if remaining:
            self.open_ids[request_id] = remaining
        self.gateway.deadlines.cancel(request.timeout)
        if request.outstanding:
            self.outstanding_ids.add(request_id)
        self.free_if_done(request)

    def free_if_done(self, request: AcceptedRequest) -> None:
        """Frees the slot once the answer is out and no attempt is."""
        if request.finished and not request.outstanding:
            self.slots.free(request.handle)
            self.outstanding_ids.discard(request.message.headers[protocol.REQUEST_ID_HEADER])
