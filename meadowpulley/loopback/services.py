"""Stand-in instances, discovery and platform: the emulator's servers behind sockets, in the users'
protocol."""

from __future__ import annotations

import json
import resource
import signal
import sys
import time
from collections import deque
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from meadowpulley.emulator import EmulationResult, RandomStreams, fleet_snapshot
from meadowpulley.emulator.clock import uniform
from meadowpulley.emulator.faults import FaultInjector
from meadowpulley.emulator.network import SimulatedNetwork
from meadowpulley.emulator.server_fleet import ServerFleet, SimulatedServer
from meadowpulley.interface import EndpointUpdate, Result as AttemptResult, RolloutUpdate, ServerEntry, Vote
from meadowpulley.loopback.clock import RealClock
from meadowpulley.loopback.messages import (
    ProcessOrders,
    ServicesReport,
    entry_object,
    read_orders,
    report_progress,
    request_number,
    rollout_object,
)
from meadowpulley.loopback.reactor import install
from meadowpulley.loopback.trace import UNKNOWN, TraceWriter
from meadowpulley.net import protocol
from meadowpulley.net.connection import Connection, ConnectionFactory
from meadowpulley.net.http1 import MAX_BUFFERED_BYTES, BadMessageError, Message, Parser, response_bytes
from meadowpulley.net.slots import SlotTable
from meadowpulley.rules import (
    PHASE_NAMES,
    STATE_NAMES,
    AttemptEnded,
    AttemptSent,
    EndpointListed,
    GatewayStarted,
    KeyAnswered,
    Record,
    RolloutUpdated,
)

reactor: Any = install()
MAX_CONNECTIONS = 8192  # connections the stand-ins hold together
MAX_ERRORS = 20  # kept to the letter
KEEPALIVE_MS = 1000.0
BACKLOG = 512


class InstanceConnection(Connection):
    """A gateway's connection to one server; one request at a time travels on it."""

    def __init__(self, services: SimulatedServices, server: SimulatedServer, started_at: float) -> None:
        super().__init__(services.real_clock.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.services, self.server, self.started_at = services, server, started_at
        self.parser = Parser(self.input_buffer, expect_requests=True)
        self.unused = True
        self.refused = False
        self.job: Any = None
        self.request_id = ""  # the id of the one under way
        self.request_number = UNKNOWN
        self.handle = -1

    @property
    def reachable(self) -> bool:
        return self.server.up and self.server.started_at == self.started_at

    def opened(self) -> None:
        self.handle = self.services.connections.put(self)

    def received(self) -> None:
        if not self.reachable:
            return  # it vanished: nobody reads, nobody answers
        try:
            message = self.parser.next_message()
        except BadMessageError as error:
            self.services.record_error(f"instance {self.server.entry.server}: {error}")
            self.drop()
            return
        if message is not None:
            self._request_received(message)

    def _request_received(self, message: Message) -> None:
        parts = urlsplit(message.target)
        class_index = self.services.class_indexes.get(parts.path.split("/")[1])
        request_id = message.headers.get(protocol.REQUEST_ID_HEADER)
        if class_index is None or request_id is None or self.request_id:
            self.services.record_error(
                f"instance {self.server.entry.server}: a request that can't be: {message.target}"
            )
            self.send(response_bytes(404, {}))
            return
        work_ms = float(parse_qs(parts.query).get("w", ["0"])[0])
        key = int(message.headers.get(protocol.ENTITY_KEY_HEADER, "0"), 16)
        remaining = message.headers.get(protocol.REMAINING_TIME_HEADER, "0u")
        deadline = self.services.clock.now + float(remaining[:-1]) * (
            1.0 if remaining.endswith("m") else 0.001
        )
        self.request_id = request_id
        self.request_number = request_number(request_id)
        entry = self.server.entry
        self.services.record(
            AttemptSent(self.services.clock.now, UNKNOWN, self.request_number, 0, entry.server, entry.build)
        )
        new_connection, self.unused = self.unused, False
        self.job = self.services.offer(self, self.server, class_index, key, work_ms, deadline, new_connection)

    def respond(self, result: AttemptResult) -> None:
        request_id, self.request_id, self.job = self.request_id, "", None
        if result is AttemptResult.REJECTED:
            self.services.record(
                AttemptEnded(
                    self.services.clock.now, UNKNOWN, self.request_number, self.server.entry.server, False
                )
            )
        if not self.is_open:
            return
        if result is AttemptResult.OK:
            self.send(response_bytes(200, {"content-type": "text/plain"}, request_id.encode()))
        elif result is AttemptResult.REJECTED:
            self.send(response_bytes(503, {protocol.REJECTED_HEADER: "1"}))
        elif result is AttemptResult.ERROR:
            self.send(response_bytes(500, {}))
        else:
            self.drop()

    def closed(self) -> None:
        if self.handle >= 0:
            self.services.connections.free(self.handle)
            self.handle = -1
            if not self.unused:
                self.server.machine.connections = max(self.server.machine.connections - 1, 0)
        job, self.job = self.job, None
        if job is not None and self.reachable:
            self.services.cancel(self.server, job)

    def drop(self) -> None:
        was_up = self.is_open
        super().abort()
        if was_up:
            self.closed()


class DiscoveryConnection(Connection):
    """A gateway's connection to discovery: the whole list, or a watch that waits for changes."""

    def __init__(self, services: SimulatedServices, gateway: int) -> None:
        super().__init__(services.real_clock.deadlines, MAX_BUFFERED_BYTES, 4 * 1024 * 1024)
        self.services, self.gateway = services, gateway
        self.parser = Parser(self.input_buffer, expect_requests=True)
        self.known_version = -1  # the version that a waiting call came with
        self.update_pending = False

    def opened(self) -> None:
        self.services.discovery_connections.add(self)

    def closed(self) -> None:
        self.services.discovery_connections.discard(self)

    def received(self) -> None:
        try:
            message = self.parser.next_message()
        except BadMessageError as error:
            self.services.record_error(f"discovery: {error}")
            self.abort()
            return
        if message is None:
            return
        parts = urlsplit(message.target)
        query = parse_qs(parts.query)
        if parts.path != protocol.ENDPOINTS_PATH or self.services.discovery.unavailable:
            self.send(response_bytes(503 if self.services.discovery.unavailable else 404, {}))
            return
        self.known_version = int(query.get(protocol.AFTER_PARAMETER, ["-1"])[0])
        wait_ms = min(float(query.get(protocol.WAIT_PARAMETER, ["0"])[0]), 60_000.0)
        if self.known_version < 0 or self.services.discovery.version > self.known_version:
            self.schedule_update()
        else:
            self.timeout.set(wait_ms, self._send_update)

    def schedule_update(self) -> None:
        if self.known_version != -2 and not self.update_pending:
            self.update_pending = True
            self.services.clock.call_later(
                uniform(self.services.rng, self.services.fleet.discovery.update_interval_ms),
                self._send_update,
            )

    def _send_update(self) -> None:
        self.update_pending = False
        if self.known_version == -2 or not self.is_open:
            return
        known_version, self.known_version = self.known_version, -2  # no call waits
        self.timeout.clear()
        full = known_version <= 0
        entries = (
            self.services.discovery.current_entries()
            if full
            else self.services.discovery.changes_since(known_version)
        )
        self.services.record_endpoints(self.gateway, entries, full)
        self.send(response_bytes(200, {}, json.dumps(self.services.endpoint_list(entries, full)).encode()))


class PlatformConnection(Connection):
    """A gateway's connection to the platform: JSON-RPC, one object a line."""

    def __init__(self, services: SimulatedServices, gateway: int) -> None:
        super().__init__(services.real_clock.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.services, self.gateway = services, gateway
        self.pending_votes: deque[int] = deque()  # votes that are owed an answer

    def write(self, **fields: Any) -> None:
        self.send(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    def received(self) -> None:
        while self.is_open and (end := self.input_buffer.find(b"\n")) >= 0:
            self._handle_call(json.loads(self.input_buffer.take(end + 1)))

    def _handle_call(self, call: dict[str, Any]) -> None:
        if call["method"] == protocol.FOLLOW_METHOD:
            self.services.platform_connections[self.gateway] = self
            self.services.platform.subscribe(self.gateway)
            self.write(id=call["id"], result=True)
            self.services.record_rollout(self.gateway, self.services.platform.current_update())
            self.write(
                method=protocol.ROLLOUT_NOTIFICATION,
                params=rollout_object(self.services.platform.current_update()),
            )
            return
        verdicts = {word: verdict for verdict, word in protocol.VOTE_VERDICTS.items()}
        params = call["params"]
        vote = Vote(
            params[protocol.MESSAGE_BUILD],
            params[protocol.ROLLOUT_STAGE],
            verdicts[params[protocol.VOTE_VERDICT]],
        )
        self.services.log_event(
            f"gateway {self.gateway} votes {vote.verdict.name.lower()} on build {vote.build} "
            f"stage {vote.stage}"
        )
        if not self.services.platform.unavailable:
            self.pending_votes.append(call["id"])
        self.services.platform.vote(self.gateway, vote)

    def send_rollout_update(self, update: RolloutUpdate) -> None:
        if update.result is AttemptResult.OK:
            self.services.record_rollout(self.gateway, update)
        if not update.is_vote_reply:
            self.write(method=protocol.ROLLOUT_NOTIFICATION, params=rollout_object(update))
        elif self.pending_votes:
            call_id = self.pending_votes.popleft()
            error_names = {result: word for word, result in protocol.VOTE_ERRORS.items()}
            if update.result is AttemptResult.OK:
                self.write(id=call_id, result=rollout_object(update))
            else:
                self.write(id=call_id, error={"code": -32000, "message": error_names[update.result]})

    def closed(self) -> None:
        if self.services.platform_connections.get(self.gateway) is self:
            del self.services.platform_connections[self.gateway]
            self.services.platform.unsubscribe(self.gateway)


class SimulatedServices(ServerFleet):
    """All servers of the plan's fleet on ports of loopback, with discovery and the platform."""

    def __init__(self, orders: ProcessOrders) -> None:
        self.orders = orders
        plan = orders.plan
        self.address, self.instances_address = orders.ports.host, orders.ports.instances
        self.errors: list[str] = []
        self.trace = TraceWriter()
        self.known_servers: dict[int, set[int]] = {}  # by gateway: the servers it was told of
        clock = RealClock(reactor, orders.origin, lambda where: self.record_error(f"fault in {where}"))
        self.real_clock: RealClock = clock
        self.connections: SlotTable[InstanceConnection] = SlotTable(MAX_CONNECTIONS)
        self.discovery_connections: set[DiscoveryConnection] = set()
        self.platform_connections: dict[int, PlatformConnection] = {}
        self.addresses: dict[int, str] = {}
        self.listeners: dict[int, Any] = {}
        self.class_indexes = {c.name: n for n, c in enumerate(plan.fleet.classes)}
        self.gateways: list[Any] = []  # they are processes of their own
        streams = RandomStreams(plan.seed)
        self.network = SimulatedNetwork(plan.fleet.network, streams.stream("network"))
        self.rng = streams.stream("rig")
        self._origin_unix_s = (
            time.time() - time.monotonic() + orders.origin
        )  # when the origin was, by Unix time
        super().__init__(plan.fleet, plan.scenario, clock, streams, EmulationResult(plan.fleet))
        self.discovery.on_change = self._endpoints_changed

    def record_error(self, text: str) -> None:
        if len(self.errors) < MAX_ERRORS:
            self.errors.append(text)

    # The trace

    def record(self, record: Record) -> None:
        self.trace.record(record)

    def record_endpoints(self, gateway: int, entries: tuple[ServerEntry, ...], full: bool) -> None:
        now, listed = self.clock.now, {e.server for e in entries}
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
        phase = PHASE_NAMES[update.phase]
        self.record(RolloutUpdated(self.clock.now, gateway, update.build, update.stage, phase, update.cap))

    def key_answered(self, tag: Any, server: SimulatedServer, key: int) -> None:
        self.record(KeyAnswered(self.clock.now, tag.number, key, server.entry.build))

    # The park's hooks

    def server_started(self, server: SimulatedServer) -> None:
        factory = ConnectionFactory(partial(InstanceConnection, self, server, server.started_at))
        listener = self.listeners.get(server.entry.server)
        if listener is not None:  # the same server again: under the same address
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
        if server.unreachable:
            return
        listener = self.listeners.pop(server.entry.server, None)
        if listener is not None:
            listener.stopListening()
        for connection in [k for k in self.connections if k.server is server]:
            connection.drop()

    def reply(self, tag: Any, server: SimulatedServer, result: AttemptResult) -> None:
        tag.tell(result)

    def send_endpoint_update(self, gateway: int, update: EndpointUpdate) -> None:
        pass  # whoever asks is told on the connection that asked

    def _endpoints_changed(self) -> None:
        for connection in list(self.discovery_connections):
            connection.schedule_update()

    def send_rollout_update(self, gateway: int, update: RolloutUpdate) -> None:
        connection = self.platform_connections.get(gateway)
        if connection is not None and connection.is_open:
            connection.send_rollout_update(update)

    def endpoint_list(self, entries: tuple[ServerEntry, ...], full: bool) -> dict[str, Any]:
        """A list as discovery writes it."""
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

    # Life

    def open(self) -> None:
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
        """Writes down what came of it, and ends the process."""
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
        )
        self.trace.write(Path(self.orders.output_path + ".trace"))
        Path(self.orders.output_path).write_bytes(msgspec.json.encode(report))
        reactor.stop()


def main() -> int:
    orders = read_orders()
    services = SimulatedServices(orders)
    services.open()
    signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(services.finish))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
