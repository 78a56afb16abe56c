"""Simulated gateway with a journal of requests that other gateways can take over.

Events of requests carry the client's request id and content. A good response is buffered until the stages
deliver it. Requests of crashed gateways get a slot without a client.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec

from meadowpulley.emulator.client_calls import ClientCall, ClientRequest
from meadowpulley.emulator.failpoints import Step
from meadowpulley.emulator.gateway import SimulatedGateway
from meadowpulley.emulator.requests import Attempt, InFlightRequest
from meadowpulley.ledger import Incarnation
from meadowpulley.load.arrivals import Arrival
from meadowpulley.rules import AdoptionStarted, ClientDetached, RequestAbandoned
from meadowpulley.takeover import messages

if TYPE_CHECKING:
    from meadowpulley.emulator.emulation import Emulation

TARGET = "/"
RELEASE_BEFORE_END_MS = 60.0  # a gateway that shuts down releases its lease this long before its end
DRAIN_POLL_MS = 50.0  # interval of checks whether all requests ended, during shutdown
STATUS_OK = 200


class TakeoverGateway(SimulatedGateway):
    """A gateway whose pipeline contains the takeover stage."""

    def __init__(self, emulation: Emulation, number: int) -> None:
        super().__init__(emulation, number)
        self._action_handlers |= {
            messages.Deliver: self._deliver,
            messages.Discard: self._discard,
            messages.AdoptRequest: self._adopt,
        }

    def _request_event(self, request: InFlightRequest) -> object:
        call = request.client_request.call
        body = msgspec.json.encode(call.arrival)
        return messages.ClientRequest(
            self._policy_request(request), request.client_request.request_id, "POST", TARGET, (), body
        )

    # Responses

    def deliver_response(self, attempt: Attempt) -> None:
        """Hand a good response to the stages, which decide when it is delivered; ignore a second one."""
        request = attempt.request
        if not request.response_ready:
            request.response_ready = True
            server_id = attempt.server.entry.server if attempt.server is not None else -1
            content = f"{request.client_request.number} {attempt.number} {server_id}".encode()
            self.dispatch(messages.ResponseReady(request.client_request.number, STATUS_OK, (), content))

    def _deliver(self, action: messages.Deliver) -> None:
        request = self.in_flight.get(action.request)
        if (
            request is None
            or request.finished
            or self.interrupted_at(Step.BEFORE_RESPONSE_SENT, partial(self._deliver, action))
        ):
            return
        if action.status == STATUS_OK:
            self._send_response(request, "served", 0.0, action.body.decode())
        else:
            self._send_response(request, "failed", 0.0)

    def _discard(self, action: messages.Discard) -> None:
        request = self.in_flight.get(action.request)
        if request is not None and not request.finished:
            self._finish(request)
            self.emulation.record(RequestAbandoned(self.clock.now, self.number, action.request))

    # Client disconnects

    def _handle_disconnect(self, request: InFlightRequest) -> None:
        if request.finished:
            return
        number = request.client_request.number
        if self.emulation.takeover_of(self).continues_without_client(number):
            self.emulation.record(ClientDetached(self.clock.now, self.number, number))
            self.dispatch(messages.ClientDetached(number))
        else:
            super()._handle_disconnect(request)

    # Adopted requests

    def _adopt(self, action: messages.AdoptRequest) -> None:
        now = self.clock.now
        emulation = self.emulation
        if self.pending_responses >= self.client_slots:
            self.dispatch(messages.AdoptionResult(action.request_id, None))
            return
        arrival = msgspec.json.decode(action.body, type=Arrival)
        call = ClientCall(arrival, action.class_index, self.site, now, finished=True)
        number = emulation.clients.next_number()
        client_request = ClientRequest(
            number, call, now, action.deadline_ms, action.request_id, answered=True
        )
        request = self.in_flight[number] = InFlightRequest(client_request, action.deadline_ms)
        self.pending_responses += 1
        record = AdoptionStarted(
            now, self.number, number, action.class_index, arrival.key, request.deadline, action.request_id
        )
        emulation.record(record)
        self.clock.call_at(
            request.deadline, self.in_this_incarnation(partial(self._deadline_passed, request))
        )
        self.dispatch(messages.AdoptionResult(action.request_id, number))

    # Graceful shutdown

    def stop(self, grace_ms: float) -> None:
        """Shut down gracefully: release requests that cannot end in time, then the lease."""
        self.dispatch(messages.ShutdownNotice(grace_ms))
        self._drain_until(self.clock.now + grace_ms, self.incarnation)

    def _drain_until(self, deadline: float, incarnation: Incarnation | None) -> None:
        if self.incarnation != incarnation:
            return
        if not self.in_flight or self.clock.now >= deadline - RELEASE_BEFORE_END_MS:
            self.run_actions(self.emulation.release_lease(self), self.execute)
            self.clock.call_later(RELEASE_BEFORE_END_MS, self.in_this_incarnation(self.kill))
        else:
            self.clock.call_later(
                DRAIN_POLL_MS, self.in_this_incarnation(partial(self._drain_until, deadline, incarnation))
            )
