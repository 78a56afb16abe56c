"""Open-loop clients: arrivals, distribution over gateways, deadlines and client-side retries."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import numpy as np

from meadowpulley.emulator.client_calls import ClientCall, ClientRequest, GatewayEndpoint
from meadowpulley.emulator.clock import Timeline
from meadowpulley.emulator.network import SimulatedNetwork
from meadowpulley.emulator.results import EmulationResult
from meadowpulley.fleet import Fleet
from meadowpulley.load.arrivals import Arrival

__all__ = ["ClientCall", "ClientRequest", "GatewayEndpoint", "SimulatedClients"]

MIN_JITTER = 0.5  # a backoff is multiplied by between this and 1 more


class SimulatedClients:
    """Plays a load. `gateways_of(site)` lists the gateways that a site's front end may choose.

    With `stable_request_ids` all requests of a call carry one id. A client that gets no response for
    `failover_after_ms` disconnects, which `disconnect` reports to the gateway, and sends the call to
    another gateway; 0 turns this off.
    """

    def __init__(
        self,
        clock: Timeline,
        rng: np.random.Generator,
        fleet: Fleet,
        network: SimulatedNetwork,
        load: Iterator[Arrival],
        gateways_of: Callable[[int], list[GatewayEndpoint]],
        result: EmulationResult,
        stable_request_ids: bool = False,
        failover_after_ms: float = 0.0,
        disconnect: Callable[[ClientRequest], None] = lambda request: None,
    ) -> None:
        self._stable_request_ids = stable_request_ids
        self._failover_after_ms = failover_after_ms
        self._disconnect = disconnect
        self._clock = clock
        self._rng = rng
        self.fleet = fleet
        self._network = network
        self._load = load
        self._gateways_of = gateways_of
        self._result = result
        self._last_number = 0
        self._class_indexes = {each.name: index for index, each in enumerate(fleet.classes)}
        self._site_indexes = fleet.site_indexes()
        self.arrivals_done = False  # the load is exhausted
        self.open_calls = 0  # calls that have not ended
        self._schedule_next_arrival()

    def _schedule_next_arrival(self) -> None:
        arrival = next(self._load, None)
        if arrival is None:
            self.arrivals_done = True
        else:
            self._clock.call_at(arrival.at_ms, lambda: self._start_call(arrival))

    def _start_call(self, arrival: Arrival) -> None:
        self._schedule_next_arrival()
        call = ClientCall(
            arrival,
            self._class_indexes[arrival.class_name],
            self._site_indexes.get(arrival.site, 0),
            arrival.at_ms,
        )
        self.open_calls += 1
        self._result.record_call(call)
        self._send_request(call)

    def _time_limit_ms(self, call: ClientCall) -> float:
        deadline = self.fleet.classes[call.class_index].deadline_ms
        return min(call.arrival.timeout_ms or deadline, deadline)

    def _send_request(self, call: ClientCall) -> None:
        now = self._clock.now
        call.requests_sent += 1
        number = self.next_number()
        if self._stable_request_ids and not call.request_id:
            call.request_id = f"ask-{number}"
        time_limit_ms = min(
            self._time_limit_ms(call),
            call.first_sent_at + self.fleet.classes[call.class_index].deadline_ms - now,
        )
        request = ClientRequest(number, call, now, now + time_limit_ms, call.request_id)
        gateways = self._gateways_of(call.site)
        if time_limit_ms <= 0 or not gateways:
            self._finish(call, None)
            return
        gateway = gateways[int(self._rng.random() * len(gateways))]
        request.gateway = gateway
        self._deliver(lambda: self._arrive_at_gateway(request, gateway))
        self._clock.call_at(request.deadline, lambda: self._deadline_passed(request))
        if self._failover_after_ms and call.requests_sent <= self.fleet.clients.retries:
            self._clock.call_later(self._failover_after_ms, lambda: self._fail_over(request))

    def next_number(self) -> int:
        """Return a request number that was not used before."""
        self._last_number += 1
        return self._last_number

    def _fail_over(self, request: ClientRequest) -> None:
        """Disconnect after too long a silence and send the call again under the same id."""
        if not request.answered and self._clock.now < request.deadline:
            request.answered = True
            self._disconnect(request)
            self._result.record_retry(request.call)
            self._send_request(request.call)

    def _deliver(self, callback: Callable[[], None]) -> None:
        """Run a callback after the delay between client and gateway; at once where the delay is 0."""
        delay_ms = self._network.client_one_way()
        if delay_ms > 0:
            self._clock.call_later(delay_ms, callback)
        else:
            callback()

    def _arrive_at_gateway(self, request: ClientRequest, gateway: GatewayEndpoint) -> None:
        if not request.answered:
            if gateway.alive:
                gateway.accept(request)
            else:
                self.connection_lost(request)

    def _deadline_passed(self, request: ClientRequest) -> None:
        """Give a request up that got no response before its deadline."""
        if request.answered:
            return
        request.answered = True
        self._result.record_unanswered(request.call)
        self._retry_or_end(request.call, 0.0, False)

    # Responses

    def respond(self, request: ClientRequest, response: str, retry_after_ms: float) -> None:
        """Send a response to the client; it arrives after the network delay."""
        self._deliver(lambda: self._response_received(request, response, retry_after_ms))

    def connection_lost(self, request: ClientRequest) -> None:
        """Report a broken connection, or a gateway that is not there, to the client."""
        self._deliver(lambda: self._response_received(request, "broke", 0.0))

    def _response_received(self, request: ClientRequest, response: str, retry_after_ms: float) -> None:
        if request.answered:
            return
        request.answered = True
        if response == "served":
            self._finish(request.call, self._clock.now - request.call.first_sent_at)
        else:
            self._retry_or_end(request.call, retry_after_ms, response in ("refused", "broke"))

    def _retry_or_end(self, call: ClientCall, retry_after_ms: float, not_executed: bool) -> None:
        model = self.fleet.clients
        request_class = self.fleet.classes[call.class_index]
        retry_allowed = not_executed or (model.retries_failed and request_class.effect != "unsafe")
        backoff_ms = model.backoff_ms * 2 ** (call.requests_sent - 1)
        if retry_after_ms and self._rng.random() < model.honours_retry_after:
            backoff_ms = max(backoff_ms, retry_after_ms)
        backoff_ms *= MIN_JITTER + float(self._rng.random())
        in_time = self._clock.now + backoff_ms < call.first_sent_at + request_class.deadline_ms
        if retry_allowed and in_time and call.requests_sent <= model.retries:
            self._result.record_retry(call)
            self._clock.call_later(backoff_ms, lambda: self._send_request(call))
        else:
            self._result.record_rejection_or_failure(call, not_executed)
            self._finish(call, None)

    def _finish(self, call: ClientCall, took_ms: float | None) -> None:
        if not call.finished:
            call.finished = True
            self.open_calls -= 1
            self._result.record_end(call, took_ms)
