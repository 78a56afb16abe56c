"""The stage at a gateway on sockets: its hook beside the intake, and what carries its actions out.

A request that is to be written is told to the stage as `Taken`, in place of the `i.Request` that the intake
tells; of others it sees no more than the decisions do. A good answer is held until the stage passes it on, or
says another: one that is held can't be refused or failed by the usual way, since for the gateway its request
is over, so this stands outside all stages and does it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from meadowpulley.interface import Fail, Reject
from meadowpulley.ledger import RefusedError, Stage
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.hook import Answer, Asked, Hook, Release
from meadowpulley.net.http1 import Message
from meadowpulley.net.intake import Elsewhere
from meadowpulley.net.requests import Requests, Taken as Slot
from meadowpulley.net.slots import SlotsFullError
from meadowpulley.takeover import model as m
from meadowpulley.takeover.stage import Takeover

ENV = "MEADOWPULLEY_TAKEOVER"
OK, FAILED = 200, 502
_TERMS: dict[str, tuple[str, float]] = {  # variable, what it sets, and the least it may be
    "RIGHT_MS": ("right_ms", 1.0),
    "HOLD_MS": ("hold_ms", 0.0),
    "STEP_MS": ("step_ms", 1.0),
    "KEEP_MS": ("keep_ms", 1000.0),
    "IN_HAND": ("most_open", 1.0),
    "PER_S": ("per_s", 1.0),
    "LIVES": ("most_lives", 1.0),
}


def read_terms(environ: Mapping[str, str]) -> m.Terms | None:
    """None where nothing is to be taken over. Raises `RefusedError`: one line, what, where, what to do."""
    wanted = environ.get(ENV, "")
    if not wanted:
        return None
    if wanted not in (w.value for w in m.Written):
        words = ", ".join(w.value for w in m.Written)
        raise RefusedError(f"{ENV}: '{wanted}' is none of {words}: set one of them, or leave it out")
    terms: dict[str, Any] = {}
    for name, (field, least) in _TERMS.items():
        text = environ.get(f"{ENV}_{name}", "")
        if not text:
            continue
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not least <= value <= m.LONG_MS:
            raise RefusedError(f"{ENV}_{name}: '{text}' is no number from {least:g}: set it, or leave it out")
        terms[field] = int(value) if field in ("most_open", "most_lives") else value
    return m.Terms(written=m.Written(wanted), **terms)


class Host(Protocol):
    """What this needs of a gateway."""

    deadlines: Deadlines
    requests: Requests
    hook: Hook | None

    def tell(self, event: object) -> None: ...

    def carry_out(self, kind: type, function: Callable[[Any], None]) -> None: ...


class Bridge:
    """`stage` is the takeover's, `outer` the outermost of all stages, round which this one stands. It is
    killed `kill_ms` after it was told to end."""

    def __init__(self, gateway: Host, stage: Takeover, outer: Stage, kill_ms: float) -> None:
        self.gateway, self.stage, self.outer, self.kill_ms = gateway, stage, outer, kill_ms
        self.held: dict[int, Release] = {}
        gateway.hook = self
        for kind, function in ((m.Pass, self._pass), (m.Drop, self._drop), (m.Adopt, self._adopt)):
            gateway.carry_out(kind, function)

    def handle(self, now: float, event: Any) -> Sequence[Any]:
        actions = self.outer.handle(now, event)
        return [self._instead(a) for a in actions] if self.held else actions

    def _instead(self, action: Any) -> Any:
        if isinstance(action, Reject | Fail) and action.request in self.held:
            return m.Pass(action.request, FAILED, (), b"")
        return action

    # The hook

    def asked(self, asked: Asked) -> bool:
        if asked.open and not self.stage.knows(asked.name):
            return True  # nothing of it is written: as without a ledger
        message = asked.message
        if not self.stage.writes(asked.event.class_index, len(message.body)):
            return True
        headers = tuple(message.headers.items())
        self.gateway.tell(
            m.Taken(asked.event, asked.name, message.method, message.target, headers, message.body)
        )
        return False

    def answering(self, request: int, answer: Answer, release: Release) -> None:
        """What is not an instance's good answer was decided by the stages, or is late already; and of what is
        not written none is held."""
        if answer.status != OK or not self.stage.has(request):
            release(answer)
            return
        self.held[request] = release
        self.gateway.tell(m.AnswerReady(request, OK, tuple(answer.headers.items()), answer.body))

    def left(self, request: int) -> bool:
        goes_on = self.stage.keeps(request)
        if goes_on:
            self.gateway.tell(m.ClientGone(request))
        return goes_on

    def draining(self) -> None:
        self.gateway.tell(m.Stopping(self.kill_ms))

    # Actions

    def _pass(self, action: m.Pass) -> None:
        answer = Answer(action.status, dict(action.headers), action.body)
        release = self.held.pop(action.request, None)
        if release is not None:
            release(answer)
        else:
            self.gateway.requests.settle(action.request, answer)

    def _drop(self, action: m.Drop) -> None:
        self._pass(m.Pass(action.request, FAILED, (), b""))

    def _adopt(self, action: m.Adopt) -> None:
        message = Message(action.method, action.target, headers=dict(action.headers), body=action.body)
        link = Elsewhere(lambda answer: None)
        slot = Slot(message, action.cls, link, self.gateway.deadlines.now(), action.deadline_ms)
        try:
            self.gateway.requests.add(slot)
        except SlotsFullError:
            self.gateway.tell(m.Placed(action.name, None))
            return
        link.taken = slot
        self.gateway.tell(m.Placed(action.name, slot.handle))
