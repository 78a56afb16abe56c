"""Trace of single requests: one log line `story` for each step. Off by default.

The environment variable `MEADOWPULLEY_STORY` turns it on: 1 for every request, or prefixes of request ids,
separated by commas. The steps are taken, sent, outcome, answered, gone, and the policy's reject, fail and
cancel. `meadowpulley trace-requests` merges the logs of a fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

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

ALL_REQUESTS = "1"


class RequestTracer:
    """A stage of the pipeline that logs events and actions of requests, and changes nothing."""

    def __init__(self, gateway: Gateway, selection: str) -> None:
        self._gateway, self.inner = gateway, gateway.pipeline
        prefixes = (prefix.strip() for prefix in selection.split(","))
        self._id_prefixes = (
            () if selection == ALL_REQUESTS else tuple(prefix for prefix in prefixes if prefix)
        )
        gateway.pipeline = self
        self._respond = gateway.requests.respond
        gateway.requests.respond = self.respond  # type: ignore[method-assign]

    def handle(self, now: float, event: Event) -> list[Action]:
        """Log an event, pass it to the inner stage and log the resulting actions."""
        self._log_event(now, event)
        actions: list[Action] = self.inner.handle(now, event)
        for action in actions:
            if isinstance(action, Send):
                self._log_send(action)
            elif isinstance(action, Reject | Fail | Cancel):
                self._log_step_of(action.request, type(action).__name__.lower())
        return actions

    def respond(self, request: AcceptedRequest, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a response in place of the request table, then log it."""
        late_ms = self._gateway.deadlines.now() - request.deadline
        self._respond(request, status, headers, body)
        self._log_step(request, "answered", status=status, late_ms=round(late_ms))

    def _log_event(self, now: float, event: Event) -> None:
        if isinstance(event, Request):
            left_ms = round(event.deadline_ms - now)
            self._log_step_of(event.request, "taken", cls=event.class_index, left_ms=left_ms)
        elif isinstance(event, Outcome):
            self._log_step_of(
                event.request,
                "outcome",
                n=event.attempt,
                to=event.server,
                result=event.result.name.lower(),
                took_ms=round(event.elapsed_ms, 1),
            )
        elif isinstance(event, ClientDisconnected):
            self._log_step_of(event.request, "gone")

    def _log_send(self, action: Send) -> None:
        pool = self._gateway.instances.pools.get(action.server)
        has_idle_connection = pool is not None and bool(pool.idle)
        server_state = self._server_state(action.server)
        self._log_step_of(action.request, "sent", to=action.server, **server_state, kept=has_idle_connection)

    def _server_state(self, server_id: int) -> dict[str, int]:
        """Return what the policy holds of a server: enough to see why it was chosen."""
        server = self.inner.servers.get(server_id)
        if server is None:
            return {}
        return {"build": server.build, "zone": server.zone, "out": server.outstanding}

    def _log_step_of(self, handle: int, step: str, **fields: Any) -> None:
        request = self._gateway.requests.slots.get(handle)
        if request is not None:
            self._log_step(request, step, **fields)

    def _log_step(self, request: AcceptedRequest, step: str, **fields: Any) -> None:
        request_id = request.message.headers.get(protocol.REQUEST_ID_HEADER, "")
        if not self._id_prefixes or request_id.startswith(self._id_prefixes):
            self._gateway.log.info("story", id=request_id, step=step, **fields)
