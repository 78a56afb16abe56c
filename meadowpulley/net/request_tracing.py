"""Tracing of individual requests: logs an event `request_trace` for each step. Off by default.

The environment variable `MEADOWPULLEY_STORY` turns tracing on: set it to 1 to trace every request, or to a
comma-separated list of request id prefixes. `meadowpulley trace-requests` merges the logs of a fleet.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from meadowpulley.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Outcome,
    Reject,
    Request,
    Send,
)
from meadowpulley.net import protocol
from meadowpulley.net.request_table import AcceptedRequest

if TYPE_CHECKING:
    from meadowpulley.net.gateway import Gateway

EVENT_NAME = "request_trace"
ALL_REQUESTS = "1"


class Step(Enum):
    """A step of a request at a gateway; the value is logged as the event's field `step`."""

    RECEIVED = "received"
    SENT = "sent"
    OUTCOME = "outcome"
    RESPONDED = "responded"
    CLIENT_DISCONNECTED = "client_disconnected"
    REJECTED = "rejected"  # by a decision of the policy, as are FAILED and CANCELLED
    FAILED = "failed"
    CANCELLED = "cancelled"


_STEPS_BY_ACTION: dict[type, Step] = {Reject: Step.REJECTED, Fail: Step.FAILED, Cancel: Step.CANCELLED}


class RequestTracer:
    """A pipeline stage that logs the events and actions of requests, without changing them."""

    def __init__(self, gateway: Gateway, selection: str) -> None:
        """Wrap the pipeline of a gateway. `selection` is a value of `MEADOWPULLEY_STORY`."""
        self._gateway = gateway
        self.inner = gateway.pipeline
        prefixes = [prefix.strip() for prefix in selection.split(",")]
        selects_all = selection == ALL_REQUESTS
        self._id_prefixes = () if selects_all else tuple(prefix for prefix in prefixes if prefix)
        gateway.pipeline = self
        self._respond = gateway.requests.respond
        # Responses that the request table sends itself pass no stage of the pipeline. Its method is
        # wrapped so that they are logged too.
        gateway.requests.respond = self.respond  # type: ignore[method-assign]  # replaces a method on purpose

    def handle(self, now: float, event: Event) -> list[Action]:
        """Log an event, pass it to the inner stage, and log the resulting actions."""
        self._log_event(now, event)
        actions: list[Action] = self.inner.handle(now, event)
        for action in actions:
            if isinstance(action, Send):
                self._log_send(action)
            elif isinstance(action, Reject | Fail | Cancel):
                self._log_step_of(action.request, _STEPS_BY_ACTION[type(action)])
        return actions

    def respond(self, request: AcceptedRequest, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a response through the request table's own method, then log the response."""
        late_ms = self._gateway.deadlines.now() - request.deadline
        self._respond(request, status, headers, body)
        self._log_step(request, Step.RESPONDED, status=status, late_ms=round(late_ms))

    def _log_event(self, now: float, event: Event) -> None:
        if isinstance(event, Request):
            time_left_ms = round(event.deadline_ms - now)
            self._log_step_of(
                event.request, Step.RECEIVED, class_index=event.class_index, time_left_ms=time_left_ms
            )
        elif isinstance(event, Outcome):
            self._log_step_of(
                event.request,
                Step.OUTCOME,
                attempt=event.attempt,
                server=event.server,
                result=event.result.name.lower(),
                elapsed_ms=round(event.elapsed_ms, 1),
            )
        elif isinstance(event, ClientDisconnected):
            self._log_step_of(event.request, Step.CLIENT_DISCONNECTED)

    def _log_send(self, action: Send) -> None:
        pool = self._gateway.instances.pools.get(action.server)
        reused = pool is not None and bool(pool.idle)
        server_state = self._server_state(action.server)
        self._log_step_of(
            action.request, Step.SENT, server=action.server, **server_state, connection_reused=reused
        )

    def _server_state(self, server_id: int) -> dict[str, int]:
        """Return the server's state in the policy that helps to see why it was chosen."""
        server = self.inner.servers.get(server_id)
        if server is None:
            return {}
        return {"build": server.build, "zone": server.zone, "outstanding": server.outstanding}

    def _log_step_of(self, handle: int, step: Step, **fields: object) -> None:
        request = self._gateway.requests.slots.get(handle)
        if request is not None:
            self._log_step(request, step, **fields)

    def _log_step(self, request: AcceptedRequest, step: Step, **fields: object) -> None:
        request_id = request.message.headers.get(protocol.REQUEST_ID_HEADER, "")
        if not self._id_prefixes or request_id.startswith(self._id_prefixes):
            self._gateway.log.info(EVENT_NAME, request_id=request_id, step=step.value, **fields)
