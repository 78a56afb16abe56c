"""Connects the takeover stage to a gateway with sockets.

The extension stands beside request admission, and carries out the actions of the stage.

A request that is to be journaled reaches the stage as `ClientRequest`, in place of the `Request` that
admission dispatches; of other requests it sees no more than the policy does. A good response is held until
the stage delivers it, or another in its place. A request whose response is held can't be rejected or failed
in the usual way, since for the gateway it is over; so this object stands outside all stages and translates
those actions.
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
    """What the extension needs of a gateway."""

    deadlines: Deadlines
    requests: RequestTable
    extension: Extension | None

    def dispatch(self, event: object) -> None:
        """Hand an event to the stages, and carry out what they decide."""

    def register_action(self, action_type: type[ActionT], handler: Callable[[ActionT], None]) -> None:
        """Let `handler` carry out the actions of this type."""


class TakeoverExtension:
    """Connects a `TakeoverStage` to a gateway."""

    def __init__(
        self, gateway: TakeoverGateway, stage: TakeoverStage, outermost_stage: Stage, grace_ms: float
    ) -> None:
        """Make this the extension of a gateway.

        Args:
            gateway: whose extension it becomes.
            stage: the takeover stage of the gateway.
            outermost_stage: the outermost of all stages, round which this object stands.
            grace_ms: after it was told to stop, the gateway is killed this much later.
        """
        self.gateway = gateway
        self.stage = stage
        self.outermost_stage = outermost_stage
        self.grace_ms = grace_ms
        self.pending_responses: dict[int, ReleaseResponse] = {}  # how to release each, by handle
        gateway.extension = self
        gateway.register_action(Deliver, self._deliver)
        gateway.register_action(Discard, self._discard)
        gateway.register_action(AdoptRequest, self._adopt)

    def handle(self, now: float, event: object) -> Sequence[object]:
        """Pass an event to the stages; end requests whose response is not delivered yet by a `Deliver`."""
        actions = self.outermost_stage.handle(now, event)
        if not self.pending_responses:
            return actions
        return [self._as_delivery(action) for action in actions]

    def _as_delivery(self, action: object) -> object:
        """Return the action that ends a request without its pending response; any other as it is."""
        if isinstance(action, Reject | Fail) and action.request in self.pending_responses:
            return _delivered_failure(action.request)
        return action

    # The extension of request admission

    def on_request(self, incoming: IncomingRequest) -> bool:
        """Take a request that is to be journaled; return whether the policy gets it as usual."""
        if incoming.is_duplicate and not self.stage.is_known(incoming.request_id):
            return True  # the original is not journaled: as without a ledger
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
        """Hold an instance's good response to a journaled request; release any other.

        Every other response was decided by the stages, or is late already.
        """
        if response.status != STATUS_OK or not self.stage.is_journaled(handle):
            release(response)
            return
        self.pending_responses[handle] = release
        headers = tuple(response.headers.items())
        self.gateway.dispatch(ResponseReady(handle, STATUS_OK, headers, response.body))

    def on_client_disconnected(self, handle: int) -> bool:
        """Return whether the request goes on without its client."""
        continues = self.stage.continues_without_client(handle)
        if continues:
            self.gateway.dispatch(ClientDetached(handle))
        return continues

    def on_draining(self) -> None:
        """Tell the stage that the gateway shuts down."""
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
    """Return the action that answers a request as failed, though for the gateway it is over."""
    return Deliver(handle, STATUS_FAILED, (), b"")


def _drop_response(_response: Response) -> None:
    """Receive the response of an adopted request: its client is not connected here."""
