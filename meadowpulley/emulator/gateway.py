"""Hosts one real `Balancer`, as the gateway on sockets does: events in, actions out, one at a time.

What the gateway itself costs is here too: CPU of a request, connections to servers, slots for requests.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from meadowpulley.emulator.clients import ClientRequest
from meadowpulley.emulator.connection_pool import ConnectionPool
from meadowpulley.emulator.failpoints import StepName
from meadowpulley.emulator.ledger import LedgerPort
from meadowpulley.emulator.process import SimulatedProcess
from meadowpulley.emulator.requests import (
    CONNECTION_REUSABLE,
    NOT_EXECUTED,
    Attempt,
    InFlightRequest,
    endpoint_records,
)
from meadowpulley.emulator.results import GatewayResult
from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    FetchEndpoints,
    LogLine,
    Outcome as AttemptOutcome,
    Probe,
    ProbeResult,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    Send,
    SendGossip,
    SetTimer,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.ledger import Commit, Incarnation, LedgerError, Scan, WatchRequest
from meadowpulley.rules import (
    PHASE_NAMES,
    AttemptEnded,
    AttemptSent,
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

REQUEST_CPU_SHARE = 0.6  # of a request's CPU, the rest is spent on its attempt's answer


class SimulatedGateway(SimulatedProcess):
    """One gateway of the emulated fleet, by its number; `start` and `kill` bound its lives."""

    def __init__(self, emulation: Emulation, number: int) -> None:
        super().__init__(emulation.clock)
        self.emulation, self.number = emulation, number
        self.group = emulation.fleet.gateway_groups()[number]
        self.site = emulation.fleet.gateway_sites()[number]
        self.settings = emulation.settings_of(number)
        free = self.group.descriptors - self.group.reserved_descriptors
        self.client_slots = max(int(free * self.group.client_descriptor_share), 1)
        self.server_slots = max(free - self.client_slots, 1)
        self.request_count = self.attempt_count = self.max_open_connections = self.max_in_flight = 0
        self.cpu_ms = 0.0
        self.draining = False  # told to stop: the front hands it no more clients
        self.pipeline: Any = None  # or the outermost stage round it
        self.incarnation: Incarnation | None = None  # in the ledger, where the fleet shares one
        self.ledger_port: LedgerPort | None = None
        self.log_lines: list[tuple[float, str]] = []
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Cancel: self._cancel,
            Reject: self._reject,
            Fail: self._fail,
            Vote: self._vote,
            SetTimer: self._set_timer,
            Watch: self._watch,
            FetchEndpoints: self._fetch,
            SendGossip: self._send_gossip,
            CloseIdleConnections: self._close_idle,
            LogLine: self._log,
            Probe: self._probe,
            Commit: self._commit,
            WatchRequest: self._watched,
            Scan: self._scan,
        }

    # Life

    def start(self) -> None:
        emulation = self.emulation
        if emulation.ledger is not None:
            try:
                self.incarnation = emulation.ledger.begin_incarnation(self.number)
            except LedgerError as error:  # it ends with that line, and whoever runs it starts it again
                emulation.log_event(f"gateway {self.number}: {error}")
                emulation.clock.call_later(emulation.ledger.model.start_retry_ms, self._retry_start)
                return
        self.begin_incarnation()
        self.draining = False
        self.in_flight: dict[int, InFlightRequest] = {}
        self.pending_responses = 0  # requests without their final answer
        self._known_servers: set[int] = set()  # servers it was told of
        self._known_builds: dict[int, int] = {}  # and their builds, also of those that are gone unheard
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
                self._abandon(attempt)
        self.connections.close_all_idle()
        self.in_flight = {}

    def stop(self, grace_ms: float) -> None:
        """A planned stop: the front is told at once, and what is not over within the grace is lost."""
        self.draining = True
        self.clock.call_later(grace_ms, self.in_this_incarnation(self.kill))

    def pause(self) -> None:
        if self.alive and not self.paused:
            self.emulation.record(GatewayPaused(self.clock.now, self.number))
        super().pause()

    def resume(self) -> None:
        if self.paused:
            self.emulation.record(GatewayResumed(self.clock.now, self.number))
        super().resume()
        for request in [h for h in self.in_flight.values() if not h.finished and h.client_request.answered]:
            self._handle_disconnect(request)

    def client_disconnected(self, client_request: ClientRequest) -> None:
        """The client has closed its connection."""
        request = self.in_flight.get(client_request.number)
        if request is not None and not self.defer_if_suspended(
            partial(self.client_disconnected, client_request)
        ):
            self._handle_disconnect(request)

    def _handle_disconnect(self, request: InFlightRequest) -> None:
        """Its client is no longer there."""
        if not request.finished:
            self._finish(request)
            self.emulation.record(
                RequestAbandoned(self.clock.now, self.number, request.client_request.number)
            )
            self.dispatch(ClientDisconnected(request.client_request.number))

    # Events and actions

    def dispatch(self, event: Any) -> None:
        if self.defer_if_suspended(partial(self.dispatch, event)):
            return
        if isinstance(event, EndpointUpdate):
            self.record_endpoints(event)
            self._known_builds |= {e.server: e.build for e in event.entries}
        self.run_actions(self.pipeline.handle(self.clock.now, event), self.execute)

    def execute(self, action: Any) -> None:
        self._action_handlers[type(action)](action)

    def _run_on_cpu(self, cost_ms: float, callback: Callable[[], None]) -> None:
        """Its one thread does things in turn; each costs CPU."""
        if cost_ms <= 0:
            callback()
            return
        duration_ms = cost_ms / self.group.cores
        self._cpu_free_at = max(self._cpu_free_at, self.emulation.clock.now) + duration_ms
        self.cpu_ms += duration_ms
        self.emulation.clock.call_at(self._cpu_free_at, self.in_this_incarnation(callback))

    def record_endpoints(self, event: EndpointUpdate) -> None:
        """What this gateway was told of servers, or counts as told though it did not hear it."""
        if event.kind not in (EndpointUpdateKind.FAILED, EndpointUpdateKind.TIMED_OUT):
            for record in endpoint_records(self.clock.now, self.number, self._known_servers, event):
                self.emulation.record(record)

    def receive_rollout_update(self, update: RolloutUpdate) -> None:
        """News of the newest build, or the answer to a vote."""
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
        """A request has come whole; with all slots in use nobody took it."""
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
        self._run_on_cpu(
            self.group.request_cpu_ms * REQUEST_CPU_SHARE, partial(self._dispatch_request, request)
        )

    def _accept_after_resume(self, client_request: ClientRequest) -> None:
        if not client_request.answered:  # else the client has left
            self.accept(client_request)

    def _dispatch_request(self, request: InFlightRequest) -> None:
        if request.finished or self.interrupted_at("take", partial(self._dispatch_request, request)):
            return
        self.dispatch(self._request_event(request))

    def _request_event(self, request: InFlightRequest) -> Any:
        call, request_number = request.client_request.call, request.client_request.number
        tenant = self.emulation.tenant_of(call.arrival.key)
        return Request(
            request_number,
            call.class_index,
            tenant,
            call.arrival.key,
            request.deadline,
            None,
            client_retry=call.requests_sent > 1,
        )

    def _deadline_passed(self, request: InFlightRequest) -> None:
        for attempt in list(request.outstanding_attempts.values()):
            self._finish_attempt(attempt, Result.TIMEOUT if attempt.connected else Result.CONNECT_FAILED)
        slack_ms = self.settings.rules.response_slack_ms
        self.emulation.clock.call_later(
            slack_ms + 1.0, self.in_this_incarnation(partial(self._response_overdue, request))
        )

    def _response_overdue(self, request: InFlightRequest) -> None:
        """The decisions left it unanswered. The gateway on sockets answers for them; here it is a breach."""
        if not request.finished:
            self._finish(request)
            self.dispatch(ClientDisconnected(request.client_request.number))

    def interrupted_at(self, step: StepName, callback: Callable[[], None]) -> bool:
        """A named step is reached, and a fault that was set there stops it: a pause only puts it off."""
        self.emulation.failpoints.reached(self, step)
        if self.alive and self.paused:
            self._unfinished.append(callback)
        return self.paused or not self.alive

    def _finish(self, request: InFlightRequest) -> None:
        request.finished = True
        self.pending_responses -= 1
        if not request.outstanding_attempts:
            self.in_flight.pop(request.client_request.number, None)

    def _deliver_response(self, attempt: Attempt) -> None:
        """A good answer has come, the first of its request."""
        self._send_response(attempt.request, "served", 0.0)

    def _send_response(
        self, request: InFlightRequest, response: str, retry_after_ms: float, content: str = ""
    ) -> None:
        self._finish(request)
        number = request.client_request.number
        self.emulation.record(ResponseSent(self.clock.now, self.number, number, response, content))  # type: ignore[arg-type]
        self.emulation.clients.respond(request.client_request, response, retry_after_ms)
        self.emulation.failpoints.reached(self, "answered")

    def _reject(self, action: Reject) -> None:
        request = self.in_flight.get(action.request)
        if (
            request is None
            or request.finished
            or self.interrupted_at("answer", partial(self._reject, action))
        ):
            return
        self._send_response(request, "refused", action.retry_after_ms)

    def _fail(self, action: Fail) -> None:
        request = self.in_flight.get(action.request)
        if request is None or request.finished or self.interrupted_at("answer", partial(self._fail, action)):
            return
        self._send_response(request, "failed", 0.0)

    # Attempts

    def _send(self, action: Send) -> None:
        request, emulation = self.in_flight.get(action.request), self.emulation
        if request is None or self.interrupted_at("send", partial(self._send, action)):
            return
        now = self.clock.now
        number, request.attempt_count = request.attempt_count, request.attempt_count + 1
        deadline = (
            request.deadline if action.timeout_ms == 0 else min(request.deadline, now + action.timeout_ms)
        )
        server = emulation.servers.get(action.server)
        attempt = request.outstanding_attempts[number] = Attempt(request, number, server, now, deadline)
        build = server.entry.build if server is not None else self._known_builds.get(action.server, 0)
        emulation.record(AttemptSent(now, self.number, action.request, number, action.server, build))
        self.attempt_count += 1
        if server is not None:
            emulation.result.record_attempt(now, server.entry.zone)
        if deadline < request.deadline:
            emulation.clock.call_at(
                deadline, self.in_this_incarnation(partial(self._finish_attempt, attempt, Result.TIMEOUT))
            )
        if server is None:
            self._finish_attempt(attempt, Result.CONNECT_FAILED)
            return
        connections = self.connections
        new_connection = not connections.take_idle(now, action.server)
        if new_connection and not connections.reserve():
            self._finish_attempt(attempt, Result.CONNECT_FAILED)
            return
        if new_connection:
            connections.open += 1
            self.max_open_connections = max(self.max_open_connections, connections.open)
        attempt.connected = True
        emulation.transmit(self, attempt, new_connection)
        emulation.failpoints.reached(self, "sent")

    def _abandon(self, attempt: Attempt) -> None:
        """An attempt given up closes its connection."""
        if attempt.connected:
            attempt.connected = False
            if attempt.server is not None:
                self.connections.close(attempt.server.entry.server)
        self.emulation.abandon(attempt)

    def response_arrived(self, attempt: Attempt, result: Result) -> None:
        """What came back on an attempt's connection, or that it broke."""
        if attempt.ended or self.defer_if_suspended(partial(self.response_arrived, attempt, result)):
            return
        cpu_ms = (
            0.0 if result is Result.CONNECT_FAILED else self.group.request_cpu_ms * (1 - REQUEST_CPU_SHARE)
        )
        self._run_on_cpu(cpu_ms, partial(self._finish_attempt, attempt, result))

    def _finish_attempt(self, attempt: Attempt, result: Result) -> None:
        retry = partial(self._finish_attempt, attempt, result)
        if attempt.ended or self.interrupted_at("outcome", retry):
            return
        if result is Result.OK and not attempt.request.finished and self.interrupted_at("answer", retry):
            return
        attempt.ended = True
        now, request = self.clock.now, attempt.request
        request.outstanding_attempts.pop(attempt.number, None)
        if request.finished and not request.outstanding_attempts:
            self.in_flight.pop(request.client_request.number, None)
        if result in CONNECTION_REUSABLE and attempt.connected and attempt.server is not None:
            attempt.connected = False
            self.connections.release(now, attempt.server.entry.server)
        else:
            self._abandon(attempt)
        executed = result not in NOT_EXECUTED
        if result is Result.OK and not request.finished:
            self._deliver_response(attempt)
        self.emulation.record(
            AttemptEnded(now, self.number, request.client_request.number, attempt.number, executed)
        )
        server_id = attempt.server.entry.server if attempt.server is not None else -1
        request_complete = request.finished or result is Result.OK
        self.dispatch(
            AttemptOutcome(
                request.client_request.number,
                attempt.number,
                server_id,
                result,
                now - attempt.sent_at,
                request_complete,
            )
        )

    def _cancel(self, action: Cancel) -> None:
        request = self.in_flight.get(action.request)
        attempt = request.outstanding_attempts.get(action.attempt) if request is not None else None
        if attempt is not None:
            self._finish_attempt(attempt, Result.CANCELLED)

    # The rest

    def _vote(self, vote: Vote) -> None:
        self.emulation.send_vote(self, vote)

    def _set_timer(self, action: SetTimer) -> None:
        self.emulation.clock.call_later(
            action.delay_ms, self.in_this_incarnation(lambda: self.dispatch(Timer(action.token)))
        )

    def _watch(self, action: Watch) -> None:
        if action.enabled:
            self.emulation.discovery.subscribe(self.number)
        else:
            self.emulation.discovery.unsubscribe(self.number)

    def _fetch(self, _: FetchEndpoints) -> None:
        self.emulation.discovery.fetch_full_list(self.number)

    def _send_gossip(self, action: SendGossip) -> None:
        self.emulation.send_gossip(self, action)

    def _close_idle(self, action: CloseIdleConnections) -> None:
        self.connections.close_idle(action.server)

    def _commit(self, action: Commit) -> None:
        if self.ledger_port is not None:
            self.ledger_port.commit(action)

    def _scan(self, action: Scan) -> None:
        if self.ledger_port is not None:
            self.ledger_port.scan(action)

    def _watched(self, action: WatchRequest) -> None:
        if self.ledger_port is not None:
            self.ledger_port.watched_members = action.names

    def _probe(self, action: Probe) -> None:
        self.dispatch(ProbeResult(action.server, Result.CONNECT_FAILED, 0.0))  # described fleets allow none

    def _log(self, action: LogLine) -> None:
        self.log_lines.append((self.emulation.clock.now, action.text))
        self.emulation.log_event(f"gateway {self.number}: {action.text}")

    def summary(self, elapsed_ms: float) -> GatewayResult:
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
