"""Servers of a fleet with discovery and the rollout platform.

The emulator and the loopback test bed share them. How requests and replies travel is up to the subclass: it
calls `offer`, and `reply` is called back.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.clock import RandomStreams, Timeline, uniform
from meadowpulley.emulator.discovery import SimulatedDiscovery
from meadowpulley.emulator.job_execution import JobExecution
from meadowpulley.emulator.machine import Job, Machine
from meadowpulley.emulator.platform import RolloutPlatform
from meadowpulley.emulator.results import EmulationResult
from meadowpulley.emulator.scenario import Scenario
from meadowpulley.emulator.simulated_server import SimulatedServer
from meadowpulley.fleet import Fleet
from meadowpulley.interface import (
    EndpointUpdate,
    Phase,
    Result as AttemptResult,
    RolloutUpdate,
    ServerEntry,
    ServerState,
)
from meadowpulley.rules import PHASE_NAMES, InstanceOverloaded, Record

SERVERS_PER_CELL = 6
EARLIEST_START_MS = 1e-3  # a server without slow start is listed as started at 0, so no other may be
SHARED_SLOWDOWN_PERIOD_MS = 250.0  # interval at which a shared slowdown is weighted by the build's traffic


class ServerFleet:
    """All servers, warmed up and of the first build at the start. Subclasses carry the messages."""

    def __init__(
        self,
        fleet: Fleet,
        scenario: Scenario,
        clock: Timeline,
        streams: RandomStreams,
        result: EmulationResult,
    ) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.clock = clock
        self.streams = streams
        self.result = result
        self.shared_slowness = 1.0
        self._rng = streams.stream("servers")
        self._machines = fleet.machines()
        self._start_order = [int(position) for position in self._rng.permutation(len(self._machines))]
        self._started_count = 0
        self._last_server = 0
        self._jobs = JobExecution(fleet, clock, self._rng, self)
        self.servers: dict[int, SimulatedServer] = {}  # servers that discovery may list, running or not
        self.stopped_servers: list[SimulatedServer] = []
        self.discovery = SimulatedDiscovery(
            clock, streams.stream("discovery"), fleet.discovery, self.send_endpoint_update
        )
        first_build = Build(number=scenario.first_build)
        self.platform = RolloutPlatform(
            clock,
            streams.stream("platform"),
            fleet.rollout,
            len(self._machines),
            first_build,
            self,
            self.send_rollout_update,
        )
        for position in range(len(self._machines)):
            self.discovery.add_initial(self._add_server(first_build, position, warmed_up=True).entry)

    # Hooks of subclasses

    def send_endpoint_update(self, gateway: int, update: EndpointUpdate) -> None:
        """Send an endpoint update to a gateway."""
        raise NotImplementedError

    def send_rollout_update(self, gateway: int, update: RolloutUpdate) -> None:
        """Send a rollout update to a gateway."""
        raise NotImplementedError

    def reply(self, tag: Any, server: SimulatedServer, result: AttemptResult) -> None:
        """Return an attempt's result to its sender, or that its connection broke."""
        raise NotImplementedError

    def key_answered(self, tag: Any, server: SimulatedServer, key: int) -> None:
        """Note that a server answered a request with a key."""

    def server_started(self, server: SimulatedServer) -> None:
        """Note that a server started."""

    def server_stopped(self, server: SimulatedServer) -> None:
        """Note that a server stopped, crashed, was overloaded or vanished."""

    def record(self, record: Record) -> None:
        """Write a trace record."""

    def log_event(self, text: str) -> None:
        """Add a line to the events of the result."""
        self.result.events.append((self.clock.now, text))

    def schedule(self) -> None:
        """Set the scenario's releases on the clock."""
        for release in self.scenario.releases:
            self.clock.call_at(release.at_ms, partial(self._offer_build, release.build))

    # Results

    def measure(self, from_ms: float, to_ms: float) -> None:
        """Measure the utilisation of all cores between two times in milliseconds."""
        self.clock.call_at(from_ms, lambda: self._add_core_time(-1.0))
        self.clock.call_at(to_ms, lambda: self._add_core_time(1.0))

    def _add_core_time(self, sign: float) -> None:
        """Add core time used and available since each server's start, with a sign."""
        now = self.clock.now
        for server in [*self.stopped_servers, *self.servers.values()]:
            if server.up:
                self._jobs.finish(server)
            until = server.running_until(now)
            self.result.used_core_ms += sign * server.machine.busy_core_ms
            self.result.available_core_ms += (
                sign * server.machine.kind.cores * max(until - server.started_at, 0.0)
            )

    def collect_results(self) -> None:
        """Fill the result with the servers' figures."""
        result = self.result
        now = self.clock.now
        result.elapsed_ms = now
        for server in [*self.stopped_servers, *self.servers.values()]:
            if server.up:
                server.machine.advance(now)
            result.servers.append(server.result(self.fleet, now))
        result.servers.sort(key=lambda server_result: server_result.server)
        for rollout in self.platform.history:
            result.record_stage(rollout.since, rollout.build, rollout.stage, PHASE_NAMES[rollout.phase])

    # Servers

    def _add_server(self, build: Build, position: int, warmed_up: bool = False) -> SimulatedServer:
        self._last_server += 1
        site, kind = self._machines[position]
        now = self.clock.now
        machine = Machine(
            self.fleet.kinds[kind], self.fleet.rules, self.fleet.keys, now, build.speed, warmed_up=warmed_up
        )
        started_ms = 0.0 if warmed_up else max(now, EARLIEST_START_MS)
        entry = ServerEntry(
            self._last_server,
            self._last_server // SERVERS_PER_CELL,
            site,
            ServerState.READY,
            build.number,
            started_ms,
            kind,
            1.0,
        )
        server = self.servers[entry.server] = SimulatedServer(entry, build, machine, now, position)
        self.server_started(server)
        if self.shared_slowness != 1.0:
            self.set_slowdown(server, "dependency", self.shared_slowness)
        return server

    def serving_count(self, build: int) -> int:
        """Return how many servers of a build are ready."""
        return sum(server.entry.build == build and server.is_serving for server in self.servers.values())

    def start_servers(self, build: Build, count: int, replacing: bool) -> None:
        """Start servers of a build after their boot time; with `replacing` each drains an older one."""
        for _ in range(count):
            position = self._start_order[self._started_count % len(self._start_order)]
            self._started_count += 1
            boot_ms = uniform(self._rng, self.fleet.rollout.boot_ms)
            self.clock.call_later(boot_ms, partial(self._boot, build, position, replacing))

    def _boot(self, build: Build, position: int, replacing: bool) -> None:
        rollout = self.platform.state
        if build.number == rollout.build and rollout.phase not in (Phase.TRIAL, Phase.RELEASED):
            return  # the build was rolled back while this server was starting
        server = self._add_server(build, position)
        self.discovery.schedule_change(server.entry)
        if replacing:
            self._drain_replaced(build, position)

    def _drain_replaced(self, build: Build, position: int) -> None:
        """Drain one server of another build, the one at the same position where it is still serving."""
        candidates = [
            server
            for server in self.servers.values()
            if server.entry.build != build.number and server.is_serving
        ]
        same_position = [server for server in candidates if server.position == position]
        for replaced in (same_position or candidates)[:1]:
            self._drain_server(replaced)

    def drain_builds(self, matches: Callable[[int], bool]) -> None:
        """Drain all ready servers whose build matches."""
        serving = [server for server in self.servers.values() if server.is_serving]
        for server in serving:
            if matches(server.entry.build):
                self._drain_server(server)

    def _drain_server(self, server: SimulatedServer) -> None:
        server.entry = replace(server.entry, state=ServerState.DRAINING)
        self.discovery.schedule_change(server.entry)
        # Serve until every gateway can have been notified and its drain grace is over.
        latest_notice_ms = self.fleet.discovery.change_delay_ms[1] + self.fleet.rules.drain_grace_ms
        self.clock.call_later(
            max(self.fleet.rollout.drain_ms, latest_notice_ms), partial(self._stop_server, server)
        )

    def _stop_server(self, server: SimulatedServer) -> None:
        if self.servers.get(server.entry.server) is not server:
            return
        self._jobs.stop(server)
        if server.up:
            server.up = False
            self.server_stopped(server)
        del self.servers[server.entry.server]
        self.stopped_servers.append(server)
        server.entry = replace(server.entry, state=ServerState.REMOVED)
        self.discovery.schedule_change(server.entry)

    def vanish(self, server: SimulatedServer) -> None:
        """Take a machine away without notice: open connections do not respond until discovery notices."""
        self._jobs.finish(server)
        server.machine.stop()
        server.up = False
        server.unreachable = True
        server.absent = True
        self.server_stopped(server)
        self.discovery.schedule_change(replace(server.entry, state=ServerState.REMOVED))

    def crash(self, server: SimulatedServer) -> None:
        """End a server's process: connections break and new ones are refused until discovery notices."""
        self._jobs.finish(server)
        self._jobs.stop(server)
        server.up = False
        server.absent = True
        self.server_stopped(server)
        self.discovery.schedule_change(replace(server.entry, state=ServerState.REMOVED))

    def restart(self, server: SimulatedServer) -> None:
        """Start the same server again after a crash, in slow start."""
        if self.servers.get(server.entry.server) is not server or not server.absent:
            return
        if server.entry.state is not ServerState.READY:  # was draining: not restarted
            return
        now = self.clock.now
        self.stopped_servers.append(replace(server))
        kind = self.fleet.kinds[server.entry.kind]
        server.machine = Machine(kind, self.fleet.rules, self.fleet.keys, now, server.build.speed)
        server.entry = replace(server.entry, started_ms=now)
        server.started_at = now
        server.up = True
        server.unreachable = False
        server.absent = False
        server.served = 0
        server.rejected = 0
        server.wakeup_at = float("inf")
        server.machine.set_slowness(server.combined_slowdown)
        self.server_started(server)
        self.discovery.schedule_change(server.entry)

    def freeze(self, server: SimulatedServer, frozen: bool) -> None:
        """Stop or continue the work of a machine whose connections stay open."""
        self._jobs.finish(server)
        server.machine.frozen = frozen
        self._jobs.schedule_wakeup(server)

    def set_slowdown(self, server: SimulatedServer, reason: str, factor: float) -> None:
        """Make a server slower for a reason. Factors of several reasons multiply; 1 clears a reason."""
        self._jobs.finish(server)
        server.slowdowns[reason] = factor
        server.machine.set_slowness(server.combined_slowdown)
        self._jobs.schedule_wakeup(server)

    def set_slowdown_of_all(self, reason: str, factor: float) -> None:
        """Make all servers slower for a reason."""
        for server in self.servers.values():
            self.set_slowdown(server, reason, factor)

    # Builds

    def _offer_build(self, build: Build) -> None:
        self.log_event(f"build {build.number} is offered")
        self.platform.offer(build)
        if build.shared_slowdown > 1.0:
            self.clock.call_later(SHARED_SLOWDOWN_PERIOD_MS, partial(self._apply_shared_slowdown, build))

    def _apply_shared_slowdown(self, build: Build) -> None:
        share = self._jobs.take_attempt_share(build.number)
        self.set_slowdown_of_all("drag", 1.0 + (build.shared_slowdown - 1.0) * share)
        if self.platform.state.build == build.number:
            self.clock.call_later(SHARED_SLOWDOWN_PERIOD_MS, partial(self._apply_shared_slowdown, build))
        else:
            self.set_slowdown_of_all("drag", 1.0)

    # Requests

    def offer(
        self,
        tag: Any,
        server: SimulatedServer,
        class_index: int,
        key: int,
        work_ms: float,
        deadline: float,
        new_connection: bool,
    ) -> Job | None:
        """Offer a request to a server that is up; the result comes by `reply`.

        Returns the job, or None where none was started.
        """
        return self._jobs.offer(tag, server, class_index, key, work_ms, deadline, new_connection)

    def cancel(self, server: SimulatedServer, job: Job) -> None:
        """Cancel a job whose attempt was cancelled, where the kind of server notices."""
        self._jobs.cancel(server, job)

    def server_overloaded(self, server: SimulatedServer) -> None:
        """Take a server down that was overloaded in slow start; its jobs are lost."""
        if server.up:
            server.up = False
            self.record(InstanceOverloaded(self.clock.now, server.entry.server))
            self.log_event(f"server {server.entry.server} was pushed over")
            self._jobs.reset(server, server.machine.lost_jobs)
            self.server_stopped(server)
            self.discovery.schedule_change(replace(server.entry, state=ServerState.REMOVED))

    def connections_closed(self, server_id: int, count: int) -> None:
        """Note that a gateway closed connections to a server."""
        server = self.servers.get(server_id)
        if server is not None:
            server.machine.connections = max(server.machine.connections - count, 0)
