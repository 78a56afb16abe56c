"""The whole course of single requests, one log line a step, where it is asked for.

Off by default (`MEADOWPULLEY_STORY`: 1 for every request, or beginnings of ids with commas between). Then one
line `story` for each step: taken, sent, outcome, answered, gone. `meadowpulley story` merges a fleet's logs.
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
    """A stage before the decisions that writes down what passes, and changes nothing."""

    def __init__(self, gateway: Gateway, selection: str) -> None:
        self._gateway, self.inner = gateway, gateway.pipeline
        self._id_prefixes = (
            ()
            if selection == ALL_REQUESTS
            else tuple(part.strip() for part in selection.split(",") if part.strip())
        )
        gateway.pipeline = self
        self._respond, gateway.requests.respond = gateway.requests.respond, self.respond  # type: ignore[method-assign]

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, Request):
            self._log_step_of(
                event.request, "taken", cls=event.class_index, left_ms=round(event.deadline_ms - now)
            )
        elif isinstance(event, Outcome):
            elapsed_ms, result = round(event.elapsed_ms, 1), event.result.name.lower()
            self._log_step_of(
                event.request, "outcome", n=event.attempt, to=event.server, result=result, took_ms=elapsed_ms
            )
        elif isinstance(event, ClientDisconnected):
            self._log_step_of(event.request, "gone")
        actions: list[Action] = self.inner.handle(now, event)
        for action in actions:
            if isinstance(action, Send):
                pool = self._gateway.instances.pools.get(action.server)
                has_idle_connection = pool is not None and bool(pool.idle)
                self._log_step_of(
                    action.request,
                    "sent",
                    to=action.server,
                    **self._server_state(action.server),
                    kept=has_idle_connection,
                )
            elif isinstance(action, Reject | Fail | Cancel):
                self._log_step_of(action.request, type(action).__name__.lower())
        return actions

    def respond(self, request: AcceptedRequest, status: int, headers: dict[str, str], body: bytes) -> None:
        """In place of the requests' own: the answer goes out first, then its line."""
        late_ms = self._gateway.deadlines.now() - request.deadline
        self._respond(request, status, headers, body)
        self._log_step(request, "answered", status=status, late_ms=round(late_ms))

    def _server_state(self, server_id: int) -> dict[str, Any]:
        """What the decisions hold of a server: enough to see why it was chosen."""
        server = self.inner.servers.get(server_id)
        return (
            {} if server is None else {"build": server.build, "zone": server.zone, "out": server.outstanding}
        )

    def _log_step_of(self, handle: int, step: str, **fields: Any) -> None:
        request = self._gateway.requests.slots.get(handle)
        if request is not None:
            self._log_step(request, step, **fields)

    def _log_step(self, request: AcceptedRequest, step: str, **fields: Any) -> None:
        request_id = request.message.headers.get(protocol.REQUEST_ID_HEADER, "")
        if not self._id_prefixes or request_id.startswith(self._id_prefixes):
            self._gateway.log.info("story", id=request_id, step=step, **fields)
