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
from meadowpulley.ledger import LedgerUnusableError, Stage
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.extension import Extension, IncomingRequest, ReleaseResponse, Response
from meadowpulley.net.http1 import Message
from meadowpulley.net.request_admission import DetachedResponseSink
from meadowpulley.net.request_table import AcceptedRequest as Slot, RequestTable
from meadowpulley.net.slots import SlotsFullError
from meadowpulley.takeover import model as m
from meadowpulley.takeover.stage import TakeoverStage

ENV = "MEADOWPULLEY_TAKEOVER"
STATUS_OK, STATUS_FAILED = 200, 502
_SETTING_VARIABLES: dict[str, tuple[str, float]] = {  # variable, what it sets, and the least it may be
    "RIGHT_MS": ("grant_timeout_ms", 1.0),
    "HOLD_MS": ("response_hold_ms", 0.0),
    "STEP_MS": ("claim_stagger_ms", 1.0),
    "KEEP_MS": ("response_retention_ms", 1000.0),
    "IN_HAND": ("max_adopted", 1.0),
    "PER_S": ("adoptions_per_s", 1.0),
    "LIVES": ("max_owners", 1.0),
}


def read_settings(environ: Mapping[str, str]) -> m.TakeoverSettings | None:
    """None where nothing is to be taken over. Raises `RefusedError`: one line, what, where, what to do."""
    scope = environ.get(ENV, "")
    if not scope:
        return None
    if scope not in (w.value for w in m.JournalScope):
        choices = ", ".join(w.value for w in m.JournalScope)
        raise LedgerUnusableError(f"{ENV}: '{scope}' is none of {choices}: set one of them, or leave it out")
    values: dict[str, Any] = {}
    for name, (field, minimum) in _SETTING_VARIABLES.items():
        text = environ.get(f"{ENV}_{name}", "")
        if not text:
            continue
        try:
            value = float(text)
        except ValueError:
            value = float("nan")
        if not minimum <= value <= m.MAX_DURATION_MS:
            raise LedgerUnusableError(
                f"{ENV}_{name}: '{text}' is no number from {minimum:g}: set it, or leave it out"
            )
        values[field] = int(value) if field in ("max_adopted", "max_owners") else value
    return m.TakeoverSettings(journal_scope=m.JournalScope(scope), **values)


class TakeoverGateway(Protocol):
    """What this needs of a gateway."""

    deadlines: Deadlines
    requests: RequestTable
    extension: Extension | None

    def dispatch(self, event: object) -> None: ...

    def register_action(self, action_type: type, handler: Callable[[Any], None]) -> None: ...


class TakeoverExtension:
    """`stage` is the takeover's, `outer` the outermost of all stages, round which this one stands. It is
    killed `kill_ms` after it was told to end."""

    def __init__(
        self, gateway: TakeoverGateway, stage: TakeoverStage, outermost_stage: Stage, grace_ms: float
    ) -> None:
        self.gateway, self.stage, self.outermost_stage, self.grace_ms = (
            gateway,
            stage,
            outermost_stage,
            grace_ms,
        )
        self.held_responses: dict[int, ReleaseResponse] = {}
        gateway.extension = self
        for kind, function in (
            (m.Deliver, self._deliver),
            (m.Discard, self._discard),
            (m.AdoptRequest, self._adopt),
        ):
            gateway.register_action(kind, function)

    def handle(self, now: float, event: Any) -> Sequence[Any]:
        actions = self.outermost_stage.handle(now, event)
        return [self._replace_if_held(a) for a in actions] if self.held_responses else actions

    def _replace_if_held(self, action: Any) -> Any:
        if isinstance(action, Reject | Fail) and action.request in self.held_responses:
            return m.Deliver(action.request, STATUS_FAILED, (), b"")
        return action

    # The hook

    def on_request(self, incoming: IncomingRequest) -> bool:
        if incoming.is_duplicate and not self.stage.is_known(incoming.request_id):
            return True  # nothing of it is written: as without a ledger
        message = incoming.message
        if not self.stage.is_journaled_class(incoming.event.class_index, len(message.body)):
            return True
        headers = tuple(message.headers.items())
        self.gateway.dispatch(
            m.ClientRequest(
                incoming.event, incoming.request_id, message.method, message.target, headers, message.body
            )
        )
        return False

    def on_response(self, handle: int, response: Response, release: ReleaseResponse) -> None:
        """What is not an instance's good answer was decided by the stages, or is late already; and of what is
        not written none is held."""
        if response.status != STATUS_OK or not self.stage.is_journaled(handle):
            release(response)
            return
        self.held_responses[handle] = release
        self.gateway.dispatch(
            m.ResponseReady(handle, STATUS_OK, tuple(response.headers.items()), response.body)
        )

    def on_client_disconnected(self, handle: int) -> bool:
        continues = self.stage.continues_without_client(handle)
        if continues:
            self.gateway.dispatch(m.ClientDetached(handle))
        return continues

    def on_draining(self) -> None:
        self.gateway.dispatch(m.ShutdownNotice(self.grace_ms))

    # Actions

    def _deliver(self, action: m.Deliver) -> None:
        response = Response(action.status, dict(action.headers), action.body)
        release = self.held_responses.pop(action.request, None)
        if release is not None:
            release(response)
        else:
            self.gateway.requests.complete(action.request, response)

    def _discard(self, action: m.Discard) -> None:
        self._deliver(m.Deliver(action.request, STATUS_FAILED, (), b""))

    def _adopt(self, action: m.AdoptRequest) -> None:
        message = Message(action.method, action.target, headers=dict(action.headers), body=action.body)
        sink = DetachedResponseSink(lambda answer: None)
        accepted = Slot(message, action.class_index, sink, self.gateway.deadlines.now(), action.deadline_ms)
        try:
            self.gateway.requests.add(accepted)
        except SlotsFullError:
            self.gateway.dispatch(m.AdoptionResult(action.request_id, None))
            return
        sink.request = accepted
        self.gateway.dispatch(m.AdoptionResult(action.request_id, accepted.handle))
