"""Simulated gateway: runs one real policy as the gateway on sockets does, events in and actions out.

It also models the gateway's own costs: CPU time of a request, connections to servers and slots for
requests.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Literal, TypeAlias

from meadowpulley.emulator.attempts import AttemptHandler
from meadowpulley.emulator.client_calls import ClientRequest
from meadowpulley.emulator.connection_pool import ConnectionPool
from meadowpulley.emulator.failpoints import Step
from meadowpulley.emulator.gateway_services import service_handlers
from meadowpulley.emulator.ledger import LedgerPort
from meadowpulley.emulator.process import SimulatedProcess
from meadowpulley.emulator.requests import Attempt, InFlightRequest, endpoint_records
from meadowpulley.emulator.results import GatewayResult
from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    Send,
)
from meadowpulley.ledger import Incarnation, LedgerError
from meadowpulley.rules import (
    PHASE_NAMES,
    GatewayCrashed,
    GatewayPaused,
    GatewayResumed,
    GatewayStarted,
    RequestAbandoned,
    RequestReceived,
    ResponseSent,
    RolloutUpdated,
)

if TYPE_CHECKING:
    from meadowpulley.emulator.emulation import Emulation

ResponseKind: TypeAlias = Literal["served", "refused", "failed"]  # as in the trace and at the clients
REQUEST_CPU_SHARE = 0.6  # share of a request's CPU spent on receiving it; the rest is spent on the response


class SimulatedGateway(SimulatedProcess):
    """One gateway of the emulated fleet, by its number. `start` and `kill` begin and end an incarnation."""

    def __init__(self, emulation: Emulation, number: int) -> None:
        super().__init__(emulation.clock)
        self.emulation = emulation
        self.number = number
        self.group = emulation.fleet.gateway_groups()[number]
        self.site = emulation.fleet.gateway_sites()[number]
        self.settings = emulation.settings_of(number)
        free_descriptors = self.group.descriptors - self.group.reserved_descriptors
        self.client_slots = max(int(free_descriptors * self.group.client_descriptor_share), 1)
        self.server_slots = max(free_descriptors - self.client_slots, 1)
        self.request_count = 0
        self.attempt_count = 0
        self.max_open_connections = 0
        self.max_in_flight = 0
        self.cpu_ms = 0.0
        self.draining = False  # shutting down: the front end sends it no more clients
        # The outermost stage, or the policy itself; open, as tests and experiments read their own stages.
        self.pipeline: Any = None
        self.incarnation: Incarnation | None = None  # registered in the ledger, where the fleet has one
        self.ledger_port: LedgerPort | None = None
        self.log_lines: list[tuple[float, str]] = []
        self.attempts = AttemptHandler(self)
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            Send: self.attempts.send,
            Cancel: self.attempts.cancel,
            Reject: self._reject,
            Fail: self._fail,
            **service_handlers(self),
        }

    # Lifecycle

    def start(self) -> None:
        """Begin a new incarnation that knows nothing of earlier ones."""
        emulation = self.emulation
        if emulation.ledger is not None:
            try:
                self.incarnation = emulation.ledger.begin_incarnation(self.number)
            except LedgerError as error:  # the process exits with this message and is started again
                emulation.log_event(f"gateway {self.number}: {error}")
                emulation.clock.call_later(emulation.ledger.model.start_retry_ms, self._retry_start)
                return
        self.begin_incarnation()
        self.draining = False
        self.in_flight: dict[int, InFlightRequest] = {}
        self.pending_responses = 0  # requests without a final response
        self._known_servers: set[int] = set()  # servers that were listed
        self._known_builds: dict[int, int] = {}  # latest known build of each server, also of removed ones
        self.connections = ConnectionPool(
            self.server_slots, emulation.fleet.rules.idle_ms, emulation.connections_closed
        )
        self._cpu_free_at = emulation.clock.now
        seed = emulation.streams.seed_for(f"gateway {self.number} {self.incarnation_count}")
        self.pipeline, first_actions = emulation.build_stages(self, seed)
        emulation.record(GatewayStarted(emulation.clock.now, self.number))
        self.run_actions(first_actions, self.execute)
        self.dispatch(EndpointUpdate(EndpointUpdateKind.CACHED, 0, emulation.discovery.current_entries()))
        self.receive_rollout_update(emulation.platform.current_update())
        emulation.platform.subscribe(self.number)
        if not emulation.fleet.discovery.must_subscribe:
            emulation.discovery.subscribe(self.number)

    def _retry_start(self) -> None:
        if not self.alive:
            self.start()

    def kill(self) -> None:
        """Crash: lose all state, break all connections."""
        if not self.alive:
            return
        emulation = self.emulation
        self.end_incarnation()
        emulation.record(GatewayCrashed(emulation.clock.now, self.number))
        emulation.discovery.unsubscribe(self.number)
        emulation.platform.unsubscribe(self.number)
        if emulation.ledger is not None and self.incarnation is not None:
            emulation.ledger.incarnation_ended(self.incarnation)
        for request in self.in_flight.values():
            if not request.finished:
                emulation.clients.connection_lost(request.client_request)
            request.finished = True
            for attempt in list(request.outstanding_attempts.values()):
                attempt.ended = True
                self.attempts.abandon(attempt)
        self.connections.close_all_idle()
        self.in_flight = {}

    def stop(self, grace_ms: float) -> None:
        """Shut down gracefully: no new clients; what is not finished within the grace period is lost."""
        self.draining = True
        self.clock.call_later(grace_ms, self.in_this_incarnation(self.kill))

    def pause(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        if self.alive and not self.paused:
            self.emulation.record(GatewayPaused(self.clock.now, self.number))
        super().pause()

    def resume(self) -> None:
        """Continue after a pause and handle what came in meanwhile."""
        if self.paused:
            self.emulation.record(GatewayResumed(self.clock.now, self.number))
        super().resume()
        abandoned = [request for request in self.in_flight.values() if request.abandoned_by_client]
        for request in abandoned:
            self._handle_disconnect(request)

    def client_disconnected(self, client_request: ClientRequest) -> None:
        """Handle a client that closed its connection."""
        request = self.in_flight.get(client_request.number)
        if request is not None and not self.defer_if_suspended(
            partial(self.client_disconnected, client_request)
        ):
            self._handle_disconnect(request)

    def _handle_disconnect(self, request: InFlightRequest) -> None:
        """Finish a request whose client is no longer there."""
        if not request.finished:
            self._finish(request)
            self.emulation.record(
                RequestAbandoned(self.clock.now, self.number, request.client_request.number)
            )
            self.dispatch(ClientDisconnected(request.client_request.number))

    # Events and actions

    def dispatch(self, event: object) -> None:
        """Hand an event to the pipeline and carry out the actions that it returns."""
        if self.defer_if_suspended(partial(self.dispatch, event)):
            return
        if isinstance(event, EndpointUpdate):
            self.record_endpoints(event)
            self._known_builds |= {entry.server: entry.build for entry in event.entries}
        self.run_actions(self.pipeline.handle(self.clock.now, event), self.execute)

    def execute(self, action: object) -> None:
        """Carry out one action."""
        self._action_handlers[type(action)](action)

    def run_on_cpu(self, cost_ms: float, callback: Callable[[], None]) -> None:
        """Run a callback after its CPU cost; the gateway has one thread."""
        if cost_ms <= 0:
            callback()
            return
        duration_ms = cost_ms / self.group.cores
        self._cpu_free_at = max(self._cpu_free_at, self.emulation.clock.now) + duration_ms
        self.cpu_ms += duration_ms
        self.emulation.clock.call_at(self._cpu_free_at, self.in_this_incarnation(callback))

    def record_endpoints(self, event: EndpointUpdate) -> None:
        """Record in the trace what this gateway knows, or is presumed to know, of servers."""
        if event.kind not in (EndpointUpdateKind.FAILED, EndpointUpdateKind.TIMED_OUT):
            for record in endpoint_records(self.clock.now, self.number, self._known_servers, event):
                self.emulation.record(record)

    def receive_rollout_update(self, update: RolloutUpdate) -> None:
        """Handle a rollout update, or the reply to a vote."""
        if self.defer_if_suspended(partial(self.receive_rollout_update, update)):
            return
        if update.result is Result.OK:
            phase = PHASE_NAMES[update.phase]
            now = self.emulation.clock.now
            self.emulation.record(
                RolloutUpdated(now, self.number, update.build, update.stage, phase, update.cap)
            )
        self.dispatch(update)

    # Requests

    def accept(self, client_request: ClientRequest) -> None:
        """Receive a complete request; with all slots in use the connection is refused."""
        if self.defer_if_suspended(partial(self._accept_after_resume, client_request)):
            return
        if self.pending_responses >= self.client_slots:
            self.emulation.clients.connection_lost(client_request)
            return
        now = self.emulation.clock.now
        call = client_request.call
        request = self.in_flight[client_request.number] = InFlightRequest(
            client_request, client_request.deadline
        )
        self.request_count += 1
        self.pending_responses += 1
        self.max_in_flight = max(self.max_in_flight, self.pending_responses)
        self.emulation.record(
            RequestReceived(
                now,
                self.number,
                client_request.number,
                call.class_index,
                call.arrival.key,
                request.deadline,
                client_request.request_id,
            )
        )
        self.emulation.clock.call_at(
            request.deadline, self.in_this_incarnation(partial(self._deadline_passed, request))
        )
        self.run_on_cpu(
            self.group.request_cpu_ms * REQUEST_CPU_SHARE, partial(self._dispatch_request, request)
        )

    def _accept_after_resume(self, client_request: ClientRequest) -> None:
        if not client_request.answered:  # otherwise the client disconnected
            self.accept(client_request)

    def _dispatch_request(self, request: InFlightRequest) -> None:
        if request.finished or self.interrupted_at(
            Step.BEFORE_REQUEST_DISPATCHED, partial(self._dispatch_request, request)
        ):
            return
        self.dispatch(self._request_event(request))

    def _request_event(self, request: InFlightRequest) -> object:
        """Return the event that tells the stages of a request."""
        return self._policy_request(request)

    def _policy_request(self, request: InFlightRequest) -> Request:
        call = request.client_request.call
        tenant = self.emulation.tenant_of(call.arrival.key)
        return Request(
            request.client_request.number,
            call.class_index,
            tenant,
            call.arrival.key,
            request.deadline,
            None,
            client_retry=call.requests_sent > 1,
        )

    def _deadline_passed(self, request: InFlightRequest) -> None:
        for attempt in list(request.outstanding_attempts.values()):
            self.attempts.finish(attempt, Result.TIMEOUT if attempt.connected else Result.CONNECT_FAILED)
        slack_ms = self.settings.rules.response_slack_ms
        self.emulation.clock.call_later(
            slack_ms + 1.0, self.in_this_incarnation(partial(self._response_overdue, request))
        )

    def _response_overdue(self, request: InFlightRequest) -> None:
        """Drop a request that the policy left unanswered; the checker reports a violation."""
        if not request.finished:
            self._finish(request)
            self.dispatch(ClientDisconnected(request.client_request.number))

    def step_reached(self, step: Step) -> None:
        """Run the failpoints that are set at a step of this gateway."""
        self.emulation.failpoints.reached(self, step)

    def interrupted_at(self, step: Step, callback: Callable[[], None]) -> bool:
        """Return whether a fault set at this step stops it; after a pause the callback runs later."""
        self.step_reached(step)
        if self.alive and self.paused:
            self._unfinished.append(callback)
        return self.paused or not self.alive

    def _finish(self, request: InFlightRequest) -> None:
        request.finished = True
        self.pending_responses -= 1
        if not request.outstanding_attempts:
            self.in_flight.pop(request.client_request.number, None)

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an ended attempt from its request, and the request where nothing is left of it."""
        request = attempt.request
        request.outstanding_attempts.pop(attempt.number, None)
        if request.finished and not request.outstanding_attempts:
            self.in_flight.pop(request.client_request.number, None)

    def known_build(self, server: int) -> int:
        """Return the latest known build of a server, also of a removed one; 0 where unknown."""
        return self._known_builds.get(server, 0)

    def deliver_response(self, attempt: Attempt) -> None:
        """Forward the first good response of a request to its client."""
        self._send_response(attempt.request, "served", 0.0)

    def _send_response(
        self, request: InFlightRequest, response: ResponseKind, retry_after_ms: float, content: str = ""
    ) -> None:
        self._finish(request)
        number = request.client_request.number
        self.emulation.record(ResponseSent(self.clock.now, self.number, number, response, content))
        self.emulation.clients.respond(request.client_request, response, retry_after_ms)
        self.step_reached(Step.AFTER_RESPONSE_SENT)

    def _reject(self, action: Reject) -> None:
        request = self.in_flight.get(action.request)
        if (
            request is None
            or request.finished
            or self.interrupted_at(Step.BEFORE_RESPONSE_SENT, partial(self._reject, action))
        ):
            return
        self._send_response(request, "refused", action.retry_after_ms)

    def _fail(self, action: Fail) -> None:
        request = self.in_flight.get(action.request)
        if (
            request is None
            or request.finished
            or self.interrupted_at(Step.BEFORE_RESPONSE_SENT, partial(self._fail, action))
        ):
            return
        self._send_response(request, "failed", 0.0)

    def summary(self, elapsed_ms: float) -> GatewayResult:
        """Return the gateway's figures over a run of `elapsed_ms`."""
        site = self.emulation.fleet.sites[self.site].name
        utilisation = self.cpu_ms / elapsed_ms if elapsed_ms > 0 else math.nan
        return GatewayResult(
            self.number,
            site,
            self.request_count,
            self.attempt_count,
            utilisation,
            self.max_open_connections,
            self.max_in_flight,
        )
