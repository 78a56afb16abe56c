"""Simulated servers, discovery and platform on sockets, in the platform's protocol."""

from __future__ import annotations

import json
import resource
import signal
import sys
import time
from functools import partial
from pathlib import Path
from typing import Any

import msgspec

from meadowpulley.emulator import EmulationResult, RandomStreams, fleet_snapshot
from meadowpulley.emulator.faults import FaultInjector
from meadowpulley.emulator.network import SimulatedNetwork
from meadowpulley.emulator.server_fleet import ServerFleet
from meadowpulley.emulator.simulated_server import SimulatedServer
from meadowpulley.interface import EndpointUpdate, Result as AttemptResult, RolloutUpdate, ServerEntry
from meadowpulley.loopback.clock import RealClock
from meadowpulley.loopback.discovery_faults import ActiveDiscoveryFaults
from meadowpulley.loopback.messages import (
    ProcessOrders,
    ServicesReport,
    entry_object,
    read_orders,
    report_progress,
    rollout_object,
)
from meadowpulley.loopback.notifications import ListedChange, ListWritten
from meadowpulley.loopback.reactor import install
from meadowpulley.loopback.service_connections import (
    DiscoveryConnection,
    InstanceConnection,
    PlatformConnection,
)
from meadowpulley.loopback.trace import TraceWriter
from meadowpulley.net import protocol
from meadowpulley.net.connection import ConnectionFactory
from meadowpulley.net.slots import SlotTable
from meadowpulley.rules import (
    PHASE_NAMES,
    STATE_NAMES,
    EndpointListed,
    GatewayStarted,
    KeyAnswered,
    Record,
    RolloutUpdated,
)

reactor: Any = install()
MAX_CONNECTIONS = 8192  # connections of all servers together
MAX_ERRORS = 20  # errors recorded in full
KEEPALIVE_MS = 1000.0
BACKLOG = 512


class SimulatedServices(ServerFleet):
    """All servers of the fleet on loopback ports, with discovery and the platform."""

    def __init__(self, orders: ProcessOrders) -> None:
        self.orders = orders
        plan = orders.plan
        self.address = orders.ports.host
        self.instances_address = orders.ports.instances
        self.errors: list[str] = []
        self.trace = TraceWriter()
        self.known_servers: dict[int, set[int]] = {}  # servers known to each gateway
        clock = RealClock(reactor, orders.origin, lambda where: self.record_error(f"fault in {where}"))
        self.real_clock: RealClock = clock
        self.connections: SlotTable[InstanceConnection] = SlotTable(MAX_CONNECTIONS)
        self.discovery_connections: set[DiscoveryConnection] = set()
        self.platform_connections: dict[int, PlatformConnection] = {}
        self.addresses: dict[int, str] = {}
        self.listeners: dict[int, Any] = {}
        self.class_indexes = {c.name: n for n, c in enumerate(plan.fleet.classes)}
        self.gateways: list[Any] = []  # gateways are processes of their own
        streams = RandomStreams(plan.seed)
        self.network = SimulatedNetwork(plan.fleet.network, streams.stream("network"))
        self.rng = streams.stream("rig")
        self._origin_unix_s = (
            time.time() - time.monotonic() + orders.origin
        )  # Unix time of the clock's origin
        super().__init__(plan.fleet, plan.scenario, clock, streams, EmulationResult(plan.fleet))
        self.discovery.on_change = self._endpoints_changed
        self.initial_list: list[ListedChange] = []  # which every gateway has in its configuration
        self.list_changes: list[ListedChange] = []
        self.lists_written: list[ListWritten] = []
        self.discovery_faults = ActiveDiscoveryFaults(clock, plan.discovery_faults, self._discovery_down)

    def record_error(self, text: str) -> None:
        """Note an error of the test bed itself."""
        if len(self.errors) < MAX_ERRORS:
            self.errors.append(text)

    # Trace

    def record(self, record: Record) -> None:
        """Write a trace record."""
        self.trace.record(record)

    def record_endpoints(self, gateway: int, entries: tuple[ServerEntry, ...], full: bool) -> None:
        """Record what a gateway learns from a list."""
        now = self.clock.now
        listed = {e.server for e in entries}
        known_servers = self.known_servers.setdefault(gateway, set())
        for server in sorted(known_servers - listed) if full else ():
            self.record(EndpointListed(now, gateway, server, "gone", 0))
        self.known_servers[gateway] = listed if full else known_servers | listed
        for entry in entries:
            state = STATE_NAMES[entry.state]
            self.record(
                EndpointListed(now, gateway, entry.server, state, entry.build, entry.cell, entry.zone)
            )

    def record_rollout(self, gateway: int, update: RolloutUpdate) -> None:
        """Record what a gateway learns of the rollout."""
        phase = PHASE_NAMES[update.phase]
        self.record(RolloutUpdated(self.clock.now, gateway, update.build, update.stage, phase, update.cap))

    def key_answered(self, tag: Any, server: SimulatedServer, key: int) -> None:
        """Record that a server answered a key."""
        assert isinstance(tag, InstanceConnection)
        self.record(KeyAnswered(self.clock.now, tag.request_number, key, server.entry.build))

    # Hooks of the server fleet

    def server_started(self, server: SimulatedServer) -> None:
        """Listen for the server; a restarted one keeps its address."""
        factory = ConnectionFactory(partial(InstanceConnection, self, server, server.started_at))
        listener = self.listeners.get(server.entry.server)
        if listener is not None:  # a restarted server keeps its address
            number = int(self.addresses[server.entry.server].rpartition(":")[2])
            listener.stopListening()
            self.listeners[server.entry.server] = reactor.listenTCP(
                number, factory, BACKLOG, self.instances_address
            )
            return
        listener = self.listeners[server.entry.server] = reactor.listenTCP(
            0, factory, BACKLOG, self.instances_address
        )
        self.addresses[server.entry.server] = f"{self.instances_address}:{listener.getHost().port}"

    def server_stopped(self, server: SimulatedServer) -> None:
        """Stop listening for the server and break its connections, unless it vanished."""
        if server.unreachable:
            return
        listener = self.listeners.pop(server.entry.server, None)
        if listener is not None:
            listener.stopListening()
        for connection in [k for k in self.connections if k.server is server]:
            connection.abort()

    def reply(self, tag: Any, server: SimulatedServer, result: AttemptResult) -> None:
        """Send a result on the connection of the request."""
        assert isinstance(tag, InstanceConnection)
        tag.respond(result)

    def send_endpoint_update(self, gateway: int, update: EndpointUpdate) -> None:
        """Do nothing: updates go to the connections that wait for them."""
        pass  # updates go to the waiting connections

    def _listed_changes(self, entries: tuple[ServerEntry, ...]) -> list[ListedChange]:
        now = self.clock.now
        version = self.discovery.version
        return [ListedChange(now, version, e.server, STATE_NAMES[e.state], e.build) for e in entries]

    def _discovery_down(self) -> None:
        """End the calls that wait for changes."""
        for connection in list(self.discovery_connections):
            connection.reject_waiting_call()

    def _endpoints_changed(self) -> None:
        self.list_changes += self._listed_changes(self.discovery.changes_since(self.discovery.version - 1))
        for connection in list(self.discovery_connections):
            connection.schedule_update()

    def send_rollout_update(self, gateway: int, update: RolloutUpdate) -> None:
        """Send a rollout update to a gateway that is connected."""
        connection = self.platform_connections.get(gateway)
        if connection is not None and connection.is_open:
            connection.send_rollout_update(update)

    def endpoint_list(self, entries: tuple[ServerEntry, ...], full: bool) -> dict[str, Any]:
        """Return a list in discovery's format."""
        entry_objects = [
            entry_object(
                e,
                self.addresses[e.server],
                self.fleet.sites[e.zone].name,
                self.fleet.kinds[e.kind].name,
                self._origin_unix_s,
            )
            for e in entries
        ]
        return {
            protocol.LIST_VERSION: self.discovery.version,
            protocol.LIST_IS_SNAPSHOT: full,
            protocol.LIST_ENDPOINTS: entry_objects,
        }

    # Lifecycle

    def open(self) -> None:
        """Listen, and print the initial state for the runner."""
        ports = self.orders.ports
        for number in range(len(ports.clients)):
            self.record(GatewayStarted(self.clock.now, number))
            self.record_endpoints(number, self.discovery.current_entries(), True)
            self.record_rollout(number, self.platform.current_update())
            platform_factory = partial(PlatformConnection, self, number)
            discovery_factory = partial(DiscoveryConnection, self, number)
            reactor.listenTCP(
                ports.discovery[number], ConnectionFactory(discovery_factory), BACKLOG, self.address
            )
            reactor.listenTCP(
                ports.platform[number], ConnectionFactory(platform_factory), BACKLOG, self.address
            )
        self.initial_list = self._listed_changes(self.discovery.current_entries())
        self.clock.call_at(0.0, self._start_run)
        self._send_keepalives()
        report_progress(self.orders, self.clock, lambda: fleet_snapshot(self))
        initial_state = {
            "known": self.endpoint_list(self.discovery.current_entries(), True),
            "news": rollout_object(self.platform.current_update()),
        }
        print(json.dumps(initial_state), flush=True)

    def _start_run(self) -> None:
        plan = self.orders.plan
        FaultInjector(self, plan.scenario.faults)  # type: ignore[arg-type]
        self.schedule()
        self.measure(plan.from_ms, plan.load.seconds * 1000)

    def _send_keepalives(self) -> None:
        for connection in self.platform_connections.values():
            if not self.platform.unavailable:
                connection.write(method=protocol.HEARTBEAT_NOTIFICATION)
        self.clock.call_later(KEEPALIVE_MS, self._send_keepalives)

    def finish(self) -> None:
        """Write the report and the trace, and end the process."""
        self.collect_results()
        usage = resource.getrusage(resource.RUSAGE_SELF)
        servers = self.result.servers
        report = ServicesReport(
            utilisation=self.result.utilisation,
            served=sum(s.served for s in servers),
            rejected=sum(s.rejected for s in servers),
            events=self.result.events,
            stages=[(s.since, s.build, s.stage, PHASE_NAMES[s.phase]) for s in self.platform.history],
            overloaded=sum(s.overloaded for s in servers),
            lateness_ms=self.real_clock.lateness_ms(),
            cpu_s=usage.ru_utime + usage.ru_stime,
            errors=self.errors,
            initial_list=self.initial_list,
            list_changes=self.list_changes,
            lists_written=self.lists_written,
        )
        self.trace.write(Path(self.orders.output_path + ".trace"))
        Path(self.orders.output_path).write_bytes(msgspec.json.encode(report))
        reactor.stop()


def main() -> int:
    """Read the orders and run the services."""
    orders = read_orders()
    services = SimulatedServices(orders)
    services.open()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(services.finish))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
