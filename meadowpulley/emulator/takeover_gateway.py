"""A gateway whose work in hand is written down and taken over: what its adapter does beside the usual.

A request is told to the stages with the client's id and all it sent; a good answer is held until they pass it
on; work of lost gateways gets a slot without a client.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec

from meadowpulley.emulator.clients import ClientCall, ClientRequest
from meadowpulley.emulator.gateway import SimulatedGateway
from meadowpulley.emulator.requests import Attempt, InFlightRequest
from meadowpulley.ledger import Incarnation
from meadowpulley.load.arrivals import Arrival
from meadowpulley.rules import AdoptionStarted, ClientDetached, RequestAbandoned
from meadowpulley.takeover import messages

TARGET = "/"
RELEASE_BEFORE_END_MS = 60.0  # before its end a gateway that stops gives its lease back
DRAIN_POLL_MS = 50.0  # between two looks whether all is over, as it stops
STATUS_OK = 200


class TakeoverGateway(SimulatedGateway):
    def __init__(self, emulation: Any, number: int) -> None:
        super().__init__(emulation, number)
        self._action_handlers |= {
            messages.Deliver: self._deliver,
            messages.Discard: self._discard,
            messages.AdoptRequest: self._adopt,
        }

    def _request_event(self, request: InFlightRequest) -> Any:
        call = request.client_request.call
        body = msgspec.json.encode(call.arrival)
        return messages.ClientRequest(
            super()._request_event(request), request.client_request.request_id, "POST", TARGET, (), body
        )

    # Answers

    def _deliver_response(self, attempt: Attempt) -> None:
        """A good answer has come: the stages say when it goes out. A second one of it is of no use."""
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
            or self.interrupted_at("answer", partial(self._deliver, action))
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

    # Clients that leave

    def _handle_disconnect(self, request: InFlightRequest) -> None:
        if request.finished:
            return
        number = request.client_request.number
        if self.emulation.takeover_of(self).continues_without_client(number):
            self.emulation.record(ClientDetached(self.clock.now, self.number, number))
            self.dispatch(messages.ClientDetached(number))
        else:
            super()._handle_disconnect(request)

    # Work of others

    def _adopt(self, action: messages.AdoptRequest) -> None:
        now, emulation = self.clock.now, self.emulation
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

    # A planned stop

    def stop(self, grace_ms: float) -> None:
        """What can't end in time is given away; the lease is given back before the end."""
        self.leaving = True
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
