"""An emulated installation in virtual time, around real policies."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from functools import partial
from typing import NamedTuple

from meadowpulley.emulator.client_calls import ClientRequest, GatewayEndpoint
from meadowpulley.emulator.clients import SimulatedClients
from meadowpulley.emulator.clock import RandomStreams, VirtualClock, uniform
from meadowpulley.emulator.errors import NoTakeoverStageError
from meadowpulley.emulator.failpoints import Failpoints
from meadowpulley.emulator.faults import FaultInjector
from meadowpulley.emulator.gateway import SimulatedGateway
from meadowpulley.emulator.ledger import LedgerPort, SharedLedger
from meadowpulley.emulator.ledger_observer import LedgerObserver
from meadowpulley.emulator.network import SimulatedNetwork
from meadowpulley.emulator.requests import Attempt
from meadowpulley.emulator.results import EmulationResult
from meadowpulley.emulator.scenario import Scenario
from meadowpulley.emulator.server_fleet import ServerFleet
from meadowpulley.emulator.shared_state import SharedState, StageChain, admission_record
from meadowpulley.emulator.simulated_server import SimulatedServer
from meadowpulley.emulator.takeover_gateway import TakeoverGateway
from meadowpulley.fleet import Fleet, gateway_settings
from meadowpulley.interface import (
    EndpointUpdate,
    GossipReceived,
    Phase,
    Request,
    Result as AttemptResult,
    RolloutUpdate,
    SendGossip,
    Settings,
    Vote,
)
from meadowpulley.ledger import Incarnation, Stage, Transaction
from meadowpulley.ledger.stage import StageAction
from meadowpulley.load.arrivals import Arrival
from meadowpulley.policy import RolloutPolicy
from meadowpulley.rules import KeyAnswered, Record, RuleParameters, TraceChecker
from meadowpulley.takeover import TakeoverStage

RUN_STEP_MS = 1000.0  # a run ends at a multiple of this
FAILURE_DETECTION_MS = 1000.0  # until the front end stops sending clients to a crashed gateway


class AttemptTag(NamedTuple):
    """What a job at a server belongs to."""

    gateway: SimulatedGateway
    attempt: Attempt


class Emulation(ServerFleet):
    """A described fleet under a load. `run` plays it to its end, `run_until` in parts.

    `build_policy` makes the policy of a gateway, `shared_state` says what gateways share and which stages
    surround the policy, and `on_record` receives each trace record.
    """

    def __init__(
        self,
        fleet: Fleet,
        load: Iterable[Arrival],
        seed: int,
        scenario: Scenario | None = None,
        build_policy: Callable[[Settings, int], Stage] = RolloutPolicy,
        on_record: Callable[[Record], None] | None = None,
        from_ms: float = 0.0,
        shared_state: SharedState | None = None,
    ) -> None:
        self.build_policy = build_policy
        self._on_record = on_record
        self.shared_state = shared_state
        self.failpoints: Failpoints[SimulatedGateway] = Failpoints()
        clock = VirtualClock()
        self.virtual_clock = clock
        self.gateways: list[SimulatedGateway] = []
        self.network = SimulatedNetwork(fleet.network, RandomStreams(seed).stream("network"))
        super().__init__(
            fleet, scenario or Scenario(), clock, RandomStreams(seed), EmulationResult(fleet, from_ms)
        )
        self._call_delays = self.streams.stream("calls")
        self.ledger: SharedLedger | None = None
        if shared_state is not None:
            self.ledger = SharedLedger(clock, self.streams.stream("ledger"), shared_state.ledger_model)
            self.ledger.on_commit = self._on_commit
        self.chains: dict[int, StageChain] = {}  # stages of each gateway's latest incarnation
        self._ledger_observer = LedgerObserver()
        takeover_enabled = shared_state is not None and shared_state.takeover is not None
        gateway_class = TakeoverGateway if takeover_enabled else SimulatedGateway
        self.gateways = [gateway_class(self, number) for number in range(len(fleet.gateway_sites()))]
        self.checker = TraceChecker(self._rule_parameters())
        self.clients = self._build_clients(load, takeover_enabled)
        self.discovery.on_presumed_update = self._record_presumed_update
        for gateway in self.gateways:
            gateway.start()
        FaultInjector(self, self.scenario.faults)
        self.schedule()

    def _rule_parameters(self) -> RuleParameters:
        parameters = RuleParameters.from_settings(self.gateways[0].settings)
        if self.shared_state is None:
            return parameters
        return replace(parameters, shared=self.shared_state.rule_parameters())

    def _build_clients(self, load: Iterable[Arrival], stable_request_ids: bool) -> SimulatedClients:
        return SimulatedClients(
            self.virtual_clock,
            self.streams.stream("clients"),
            self.fleet,
            self.network,
            iter(load),
            self._gateways_of,
            self.result,
            stable_request_ids,
            self.shared_state.client_failover_ms if self.shared_state is not None else 0.0,
            self._client_disconnected,
        )

    def _record_presumed_update(self, gateway: int, update: EndpointUpdate) -> None:
        self.gateways[gateway].record_endpoints(update)

    # Shared state

    def settings_of(self, number: int) -> Settings:
        """Return the settings of a gateway."""
        settings = gateway_settings(self.fleet, number)
        return self.shared_state.with_tenants(settings) if self.shared_state is not None else settings

    def tenant_of(self, key: int) -> int:
        """Return the tenant index of a key; 0 without shared state."""
        return self.shared_state.tenant_of(key) if self.shared_state is not None else 0

    def build_stages(self, gateway: SimulatedGateway, seed: int) -> tuple[Stage, Sequence[StageAction]]:
        """Return the outermost stage of a gateway's new incarnation and its first actions."""
        policy = self.build_policy(gateway.settings, seed)
        if self.shared_state is None or self.ledger is None or gateway.incarnation is None:
            return policy, []
        number = gateway.number

        def on_admitted(now: float, request: Request) -> None:
            """Record the admission of a request at `now` (ms)."""
            record = admission_record(now, number, request)
            if record is not None:
                self.record(record)

        chain = self.chains[number] = StageChain(
            self.shared_state, gateway.settings, seed, gateway.incarnation, policy, on_admitted
        )
        gateway.ledger_port = LedgerPort(self.ledger, gateway, gateway.incarnation, chain.watched_prefixes)
        return chain.lease_manager, chain.lease_manager.start(self.clock.now)

    def takeover_of(self, gateway: SimulatedGateway) -> TakeoverStage:
        """Return the takeover stage of a gateway. Raises `NoTakeoverStageError` where it has none."""
        takeover = self.chains[gateway.number].takeover
        if takeover is None:
            raise NoTakeoverStageError(gateway.number)
        return takeover

    def release_lease(self, gateway: SimulatedGateway) -> list[StageAction]:
        """Return the actions of a gateway's graceful shutdown."""
        return self.chains[gateway.number].release(self.clock.now)

    def _client_disconnected(self, request: ClientRequest) -> None:
        for gateway in self.gateways:
            if gateway is request.gateway and gateway.alive:
                gateway.client_disconnected(request)

    def _on_commit(self, incarnation: Incarnation, step: Transaction) -> None:
        for record in self._ledger_observer.records_of(self.clock.now, incarnation, step):
            self.record(record)

    # Running

    def run(self) -> EmulationResult:
        """Play the complete load and wait for all calls to end."""
        while not self.over:
            self.run_until(self.clock.now + RUN_STEP_MS)
        return self.finish()

    def run_until(self, when: float) -> None:
        """Run up to a time in milliseconds."""
        self.virtual_clock.run(when)

    @property
    def over(self) -> bool:
        """Whether the last arrival has come and all calls have ended."""
        ended = self.clients.arrivals_done and not self.clients.open_calls
        return ended and self.clock.now % RUN_STEP_MS == 0.0

    def finish(self) -> EmulationResult:
        """Complete and return the result."""
        result = self.result
        self.collect_results()
        self.checker.finish(self.clock.now)
        result.gateways = [gateway.summary(self.clock.now) for gateway in self.gateways]
        result.violations = [str(violation) for violation in self.checker.violations]
        result.violation_counts = self.checker.counts
        return result

    # Records

    def record(self, record: Record) -> None:
        """Check a trace record and pass it on."""
        self.checker.observe(record)
        if self._on_record is not None:
            self._on_record(record)

    # Attempts

    def transmit(
        self, gateway: SimulatedGateway, attempt: Attempt, server: SimulatedServer, new_connection: bool
    ) -> None:
        """Send an attempt to its server, on a new or a reused connection."""
        source = gateway.site
        destination = server.entry.zone
        lost = server.unreachable or not self.network.reachable(source, destination)
        if lost:  # a reused connection stays silent until the gateway's time-out
            if new_connection:
                timeout_ms = self.fleet.rules.connect_timeout_ms
                self.clock.call_later(
                    timeout_ms,
                    partial(gateway.attempts.response_arrived, attempt, AttemptResult.CONNECT_FAILED),
                )
            return
        delay_ms = self.network.one_way(source, destination)
        if new_connection:
            delay_ms += self.network.handshake(source, destination)
        self.clock.call_later(delay_ms, lambda: self._arrive(gateway, attempt, server, new_connection))

    def _arrive(
        self, gateway: SimulatedGateway, attempt: Attempt, server: SimulatedServer, new_connection: bool
    ) -> None:
        if attempt.ended and new_connection:
            return
        tag = AttemptTag(gateway, attempt)
        if not server.up:
            if not server.unreachable:
                self.reply(tag, server, AttemptResult.CONNECT_FAILED)
            return
        call = attempt.request.client_request.call
        arrival = call.arrival
        attempt.job = self.offer(
            tag, server, call.class_index, arrival.key, arrival.work_ms, attempt.deadline, new_connection
        )

    def key_answered(self, tag: AttemptTag, server: SimulatedServer, key: int) -> None:
        """Record that a server answered a key."""
        self.record(KeyAnswered(self.clock.now, tag.gateway.number, key, server.entry.build))

    def reply(self, tag: AttemptTag, server: SimulatedServer, result: AttemptResult) -> None:
        """Send a server's result back to the gateway."""
        source = server.entry.zone
        destination = tag.gateway.site
        if self.network.reachable(source, destination):
            self.clock.call_later(
                self.network.one_way(source, destination),
                partial(tag.gateway.attempts.response_arrived, tag.attempt, result),
            )

    def abandon(self, attempt: Attempt) -> None:
        """Cancel an attempt's job at its server where that is possible."""
        server = attempt.server
        job = attempt.job
        if server is not None and job is not None:
            self.cancel(server, job)

    # Messages

    def _gateways_of(self, site: int) -> list[GatewayEndpoint]:
        """Return a site's gateways, or all; crashed or paused ones only until the front end notices."""
        now = self.clock.now
        available = [gateway for gateway in self.gateways if _appears_available(gateway, now)]
        at_site = [gateway for gateway in available if gateway.site == site]
        return list(at_site or available)

    def send_endpoint_update(self, gateway: int, update: EndpointUpdate) -> None:
        """Deliver an endpoint update to a gateway."""
        if self.gateways[gateway].alive:
            self.gateways[gateway].dispatch(update)

    def send_rollout_update(self, gateway: int, update: RolloutUpdate) -> None:
        """Deliver a rollout update to a gateway."""
        if self.gateways[gateway].alive:
            self.gateways[gateway].receive_rollout_update(update)

    def send_vote(self, gateway: SimulatedGateway, vote: Vote) -> None:
        """Send a gateway's vote to the platform."""
        self.log_event(
            f"gateway {gateway.number} votes {vote.verdict.name.lower()} on build {vote.build} "
            f"stage {vote.stage}"
        )
        incarnation = gateway.incarnation_count
        number = gateway.number
        delay_ms = uniform(self._call_delays, self.fleet.rollout.call_ms)
        self.clock.call_later(delay_ms, lambda: self.platform.vote(number, vote))
        if self.platform.unavailable:
            timed_out = RolloutUpdate(
                vote.build, vote.stage, Phase.TRIAL, 0.0, 0.0, AttemptResult.TIMEOUT, True
            )

            def report_timeout() -> None:
                """Report the call's time-out to the gateway that sent the vote."""
                if gateway.alive and gateway.incarnation_count == incarnation:
                    gateway.receive_rollout_update(timed_out)

            self.clock.call_later(self.fleet.rollout.call_timeout_ms, report_timeout)

    def send_gossip(self, gateway: SimulatedGateway, action: SendGossip) -> None:
        """Send a gossip message to one gateway or to all others."""
        message = GossipReceived(gateway.number, action.data)
        for other in self.gateways:
            if other is not gateway and action.peer in (None, other.number):
                delay_ms = self.network.gossip_delay(gateway.site, other.site)
                if delay_ms is not None:
                    self.clock.call_later(delay_ms, partial(self._receive_gossip, other, message))

    def _receive_gossip(self, gateway: SimulatedGateway, message: GossipReceived) -> None:
        if gateway.alive:
            gateway.dispatch(message)


def _appears_available(gateway: SimulatedGateway, now: float) -> bool:
    """Return whether a front end sends clients to a gateway: it notices a crash or a pause late."""
    crash_noticed = not gateway.alive and now >= gateway.crashed_at + FAILURE_DETECTION_MS
    pause_noticed = gateway.paused and now >= gateway.paused_at + FAILURE_DETECTION_MS
    return not (gateway.draining or crash_noticed or pause_noticed)


def emulate(
    fleet: Fleet, load: Iterable[Arrival], seed: int, scenario: Scenario | None = None
) -> EmulationResult:
    """Run a load on an emulated fleet. The same arguments give the same result."""
    return Emulation(fleet, load, seed, scenario).run()
