"""Attempts of a simulated gateway: send them to servers, and handle their outcomes."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from meadowpulley.emulator.failpoints import Step
from meadowpulley.emulator.requests import CONNECTION_REUSABLE, NOT_EXECUTED, Attempt, InFlightRequest
from meadowpulley.interface import Cancel, Outcome as AttemptOutcome, Result, Send
from meadowpulley.rules import AttemptEnded, AttemptSent

if TYPE_CHECKING:
    from meadowpulley.emulator.gateway import SimulatedGateway
    from meadowpulley.emulator.simulated_server import SimulatedServer

RESPONSE_CPU_SHARE = 0.4  # share of a request's CPU spent on its response


class AttemptHandler:
    """Sends the attempts of one gateway and dispatches their outcomes."""

    def __init__(self, gateway: SimulatedGateway) -> None:
        self.gateway = gateway

    def send(self, action: Send) -> None:
        """Send an attempt as the policy decided."""
        gateway = self.gateway
        request = gateway.in_flight.get(action.request)
        if request is None or gateway.interrupted_at(Step.BEFORE_ATTEMPT_SENT, partial(self.send, action)):
            return
        attempt = self._start(request, action)
        if attempt.server is None or not self._connect(attempt, attempt.server):
            self.finish(attempt, Result.CONNECT_FAILED)

    def _start(self, request: InFlightRequest, action: Send) -> Attempt:
        """Record a new attempt and set its time-out."""
        gateway = self.gateway
        emulation = gateway.emulation
        now = gateway.clock.now
        number = request.attempt_count
        request.attempt_count += 1
        deadline = request.deadline
        if action.timeout_ms:
            deadline = min(deadline, now + action.timeout_ms)
        server = emulation.servers.get(action.server)
        attempt = request.outstanding_attempts[number] = Attempt(request, number, server, now, deadline)
        build = gateway.known_build(action.server) if server is None else server.entry.build
        emulation.record(AttemptSent(now, gateway.number, action.request, number, action.server, build))
        gateway.attempt_count += 1
        if server is not None:
            emulation.result.record_attempt(now, server.entry.zone)
        if deadline < request.deadline:
            timeout = gateway.in_this_incarnation(partial(self.finish, attempt, Result.TIMEOUT))
            emulation.clock.call_at(deadline, timeout)
        return attempt

    def _connect(self, attempt: Attempt, server: SimulatedServer) -> bool:
        """Transmit an attempt on an idle or a new connection; False where no connection is free."""
        gateway = self.gateway
        connections = gateway.connections
        new_connection = not connections.take_idle(gateway.clock.now, server.entry.server)
        if new_connection and not connections.reserve():
            return False
        if new_connection:
            connections.open += 1
            gateway.max_open_connections = max(gateway.max_open_connections, connections.open)
        attempt.connected = True
        gateway.emulation.transmit(gateway, attempt, server, new_connection)
        gateway.step_reached(Step.AFTER_ATTEMPT_SENT)
        return True

    def cancel(self, action: Cancel) -> None:
        """Cancel an outstanding attempt."""
        request = self.gateway.in_flight.get(action.request)
        attempt = request.outstanding_attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            self.finish(attempt, Result.CANCELLED)

    def abandon(self, attempt: Attempt) -> None:
        """Give an attempt up and close its connection."""
        if attempt.connected:
            attempt.connected = False
            if attempt.server is not None:
                self.gateway.connections.close(attempt.server.entry.server)
        self.gateway.emulation.abandon(attempt)

    def response_arrived(self, attempt: Attempt, result: Result) -> None:
        """Handle a response on an attempt's connection, or that the connection broke."""
        gateway = self.gateway
        if attempt.ended or gateway.defer_if_suspended(partial(self.response_arrived, attempt, result)):
            return
        cpu_ms = gateway.group.request_cpu_ms * RESPONSE_CPU_SHARE
        if result is Result.CONNECT_FAILED:
            cpu_ms = 0.0
        gateway.run_on_cpu(cpu_ms, partial(self.finish, attempt, result))

    def finish(self, attempt: Attempt, result: Result) -> None:
        """End an attempt with its one outcome, and forward a good response."""
        gateway = self.gateway
        request = attempt.request
        retry = partial(self.finish, attempt, result)
        if attempt.ended or gateway.interrupted_at(Step.BEFORE_OUTCOME_HANDLED, retry):
            return
        if (
            result is Result.OK
            and not request.finished
            and gateway.interrupted_at(Step.BEFORE_RESPONSE_SENT, retry)
        ):
            return
        attempt.ended = True
        gateway.remove_attempt(attempt)
        self._release_connection(attempt, result)
        if result is Result.OK and not request.finished:
            gateway.deliver_response(attempt)
        self._dispatch_outcome(attempt, result)

    def _release_connection(self, attempt: Attempt, result: Result) -> None:
        if result in CONNECTION_REUSABLE and attempt.connected and attempt.server is not None:
            attempt.connected = False
            self.gateway.connections.release(self.gateway.clock.now, attempt.server.entry.server)
        else:
            self.abandon(attempt)

    def _dispatch_outcome(self, attempt: Attempt, result: Result) -> None:
        gateway = self.gateway
        request = attempt.request
        now = self.gateway.clock.now
        number = request.client_request.number
        executed = result not in NOT_EXECUTED
        gateway.emulation.record(AttemptEnded(now, gateway.number, number, attempt.number, executed))
        server = attempt.server.entry.server if attempt.server is not None else -1
        complete = request.finished or result is Result.OK
        elapsed_ms = now - attempt.sent_at
        gateway.dispatch(AttemptOutcome(number, attempt.number, server, result, elapsed_ms, complete))
