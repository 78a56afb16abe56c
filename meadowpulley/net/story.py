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
from meadowpulley.net import names
from meadowpulley.net.requests import Taken

if TYPE_CHECKING:
    from meadowpulley.net.gateway import Gateway

EVERY = "1"


class Story:
    """A stage before the decisions that writes down what passes, and changes nothing."""

    def __init__(self, gateway: Gateway, wanted: str) -> None:
        self._gateway, self.inner = gateway, gateway.balancer
        self._wanted = (
            () if wanted == EVERY else tuple(part.strip() for part in wanted.split(",") if part.strip())
        )
        gateway.balancer = self
        self._answer, gateway.requests.answer = gateway.requests.answer, self.answer  # type: ignore[method-assign]

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, Request):
            self._write(event.request, "taken", cls=event.class_index, left_ms=round(event.deadline_ms - now))
        elif isinstance(event, Outcome):
            took, result = round(event.elapsed_ms, 1), event.result.name.lower()
            self._write(
                event.request, "outcome", n=event.attempt, to=event.server, result=result, took_ms=took
            )
        elif isinstance(event, ClientDisconnected):
            self._write(event.request, "gone")
        actions: list[Action] = self.inner.handle(now, event)
        for action in actions:
            if isinstance(action, Send):
                pool = self._gateway.instances.pools.get(action.server)
                kept = pool is not None and bool(pool.idle)
                self._write(
                    action.request, "sent", to=action.server, **self._server(action.server), kept=kept
                )
            elif isinstance(action, Reject | Fail | Cancel):
                self._write(action.request, type(action).__name__.lower())
        return actions

    def answer(self, taken: Taken, status: int, headers: dict[str, str], body: bytes) -> None:
        """In place of the requests' own: the answer goes out first, then its line."""
        late = self._gateway.deadlines.now() - taken.deadline
        self._answer(taken, status, headers, body)
        self._line(taken, "answered", status=status, late_ms=round(late))

    def _server(self, number: int) -> dict[str, Any]:
        """What the decisions hold of a server: enough to see why it was chosen."""
        server = self.inner.servers.get(number)
        return {} if server is None else {"build": server.build, "zone": server.zone, "out": server.out}

    def _write(self, handle: int, step: str, **more: Any) -> None:
        taken = self._gateway.requests.table.get(handle)
        if taken is not None:
            self._line(taken, step, **more)

    def _line(self, taken: Taken, step: str, **more: Any) -> None:
        name = taken.message.headers.get(names.ID, "")
        if not self._wanted or name.startswith(self._wanted):
            self._gateway.log.info("story", id=name, step=step, **more)
