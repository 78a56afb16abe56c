"""Connects the takeover stage to a gateway with sockets.

The extension is called by request admission, and carries out the actions of the stage.

A request that is to be journaled is passed to the stage as `ClientRequest` instead of the `Request` that
admission normally dispatches; other requests reach it as the same events that the policy gets. A successful
response is held until the stage delivers it or replaces it. Once its response is held, a request can no
longer be rejected or failed in the usual way, because the gateway considers it complete. This object
therefore wraps all stages and translates those actions.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol, TypeVar

from meadowpulley.interface import Fail, Reject
from meadowpulley.ledger import Stage
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.extension import Extension, IncomingRequest, ReleaseResponse, Response
from meadowpulley.net.http1 import Message
from meadowpulley.net.request_admission import DetachedResponseSink
from meadowpulley.net.request_table import AcceptedRequest, RequestTable
from meadowpulley.net.slots import SlotsFullError
from meadowpulley.takeover.messages import (
    AdoptionResult,
    AdoptRequest,
    ClientDetached,
    ClientRequest,
    Deliver,
    Discard,
    ResponseReady,
    ShutdownNotice,
)
from meadowpulley.takeover.stage import TakeoverStage

STATUS_OK = 200
STATUS_FAILED = 502

ActionT = TypeVar("ActionT")


class TakeoverGateway(Protocol):
    """The parts of a gateway that the extension uses."""

    deadlines: Deadlines
    requests: RequestTable
    extension: Extension | None

    def dispatch(self, event: object) -> None:
        """Pass an event to the stages, and carry out the actions they return."""

    def register_action(self, action_type: type[ActionT], handler: Callable[[ActionT], None]) -> None:
        """Register `handler` to carry out the actions of this type."""


class TakeoverExtension:
    """Connects a `TakeoverStage` to a gateway."""

    def __init__(
        self, gateway: TakeoverGateway, stage: TakeoverStage, outermost_stage: Stage, grace_ms: float
    ) -> None:
        """Install this object as the extension of a gateway.

        Args:
            gateway: the gateway to extend.
            stage: the takeover stage of the gateway.
            outermost_stage: the outermost of all stages, which this object wraps.
            grace_ms: time in ms from the request to shut down until the gateway is killed.
        """
        self.gateway = gateway
        self.stage = stage
        self.outermost_stage = outermost_stage
        self.grace_ms = grace_ms
        self.pending_responses: dict[int, ReleaseResponse] = {}  # callbacks that release responses, by handle
        gateway.extension = self
        gateway.register_action(Deliver, self._deliver)
        gateway.register_action(Discard, self._discard)
        gateway.register_action(AdoptRequest, self._adopt)

    def handle(self, now: float, event: object) -> Sequence[object]:
        """Pass an event to the stages; turn Reject and Fail into Deliver where a response is held."""
        actions = self.outermost_stage.handle(now, event)
        if not self.pending_responses:
            return actions
        return [self._as_delivery(action) for action in actions]

    def _as_delivery(self, action: object) -> object:
        """Replace a Reject or Fail of a request with a held response; return other actions unchanged."""
        if isinstance(action, Reject | Fail) and action.request in self.pending_responses:
            return _delivered_failure(action.request)
        return action

    # Callbacks of request admission

    def on_request(self, incoming: IncomingRequest) -> bool:
        """Pass a request to the stage if it is to be journaled; return True if it is not intercepted."""
        if incoming.is_duplicate and not self.stage.is_known(incoming.request_id):
            return True  # the original is not journaled: handle the duplicate as without takeover
        message = incoming.message
        if not self.stage.is_journaled_class(incoming.event.class_index, len(message.body)):
            return True
        event = ClientRequest(
            incoming.event,
            incoming.request_id,
            message.method,
            message.target,
            tuple(message.headers.items()),
            message.body,
        )
        self.gateway.dispatch(event)
        return False

    def on_response(self, handle: int, response: Response, release: ReleaseResponse) -> None:
        """Hold an instance's successful response to a journaled request; release any other response.

        The other responses were either decided by the stages or arrived too late.
        """
        if response.status != STATUS_OK or not self.stage.is_journaled(handle):
            release(response)
            return
        self.pending_responses[handle] = release
        headers = tuple(response.headers.items())
        self.gateway.dispatch(ResponseReady(handle, STATUS_OK, headers, response.body))

    def on_client_disconnected(self, handle: int) -> bool:
        """Return whether the request continues without its client; if so, notify the stage."""
        continues = self.stage.continues_without_client(handle)
        if continues:
            self.gateway.dispatch(ClientDetached(handle))
        return continues

    def on_draining(self) -> None:
        """Notify the stage that the gateway is shutting down."""
        self.gateway.dispatch(ShutdownNotice(self.grace_ms))

    # Actions

    def _deliver(self, action: Deliver) -> None:
        response = Response(action.status, dict(action.headers), action.body)
        release = self.pending_responses.pop(action.request, None)
        if release is not None:
            release(response)
        else:
            self.gateway.requests.complete(action.request, response)

    def _discard(self, action: Discard) -> None:
        self._deliver(_delivered_failure(action.request))

    def _adopt(self, action: AdoptRequest) -> None:
        message = Message(action.method, action.target, headers=dict(action.headers), body=action.body)
        sink = DetachedResponseSink(_drop_response)
        arrived_at = self.gateway.deadlines.now()
        accepted = AcceptedRequest(message, action.class_index, sink, arrived_at, action.deadline_ms)
        try:
            self.gateway.requests.add(accepted)
        except SlotsFullError:
            self.gateway.dispatch(AdoptionResult(action.request_id, None))
            return
        sink.request = accepted
        self.gateway.dispatch(AdoptionResult(action.request_id, accepted.handle))


def _delivered_failure(handle: int) -> Deliver:
    """Return the action that delivers status 502 for a request that the gateway considers complete."""
    return Deliver(handle, STATUS_FAILED, (), b"")


def _drop_response(_response: Response) -> None:
    """Ignore the response to an adopted request: its client is not connected to this gateway."""
