"""Servers of a fleet with discovery and the rollout platform, shared by the emulator and the loopback test
bed.

How requests and replies travel is up to the subclass: it calls `offer`, and `reply` is called back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.clock import RandomStreams, Timeline, uniform
from meadowpulley.emulator.discovery import SimulatedDiscovery
from meadowpulley.emulator.machine import Job, Machine, OfferResult
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
        self._start_order = [int(n) for n in self._rng.permutation(len(self._machines))]
        self._started_count = self._last_server = self._last_job = 0
        self._attempts_by_build: Counter[int] = Counter()
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
                self._finish_jobs(server)
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
        result.servers.sort(key=lambda s: s.server)
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
        started_ms = 0.0 if warmed_up else max(now, 1e-3)
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
            candidates = [h for h in self.servers.values() if h.entry.build != build.number and h.is_serving]
            same_position = [h for h in candidates if h.position == position]
            for old in (same_position or candidates)[:1]:
                self._drain_server(old)

    def drain_builds(self, matches: Callable[[int], bool]) -> None:
        """Drain all ready servers whose build matches."""
        for server in [h for h in self.servers.values() if matches(h.entry.build) and h.is_serving]:
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
        self._reset_jobs(server, server.machine.stop())
        if server.up:
            server.up = False
            self.server_stopped(server)
        del self.servers[server.entry.server]
        self.stopped_servers.append(server)
        server.entry = replace(server.entry, state=ServerState.REMOVED)
        self.discovery.schedule_change(server.entry)

    def _reset_jobs(self, server: SimulatedServer, jobs: list[Job]) -> None:
        for job in jobs:
            self.reply(job.tag, server, AttemptResult.RESET)

    def vanish(self, server: SimulatedServer) -> None:
        """Take a machine away without notice: open connections do not respond until discovery notices."""
        self._finish_jobs(server)
        server.machine.stop()
        server.up = False
        server.unreachable = True
        server.absent = True
        self.server_stopped(server)
        self.discovery.schedule_change(replace(server.entry, state=ServerState.REMOVED))

    def crash(self, server: SimulatedServer) -> None:
        """End a server's process: connections break and new ones are refused until discovery notices."""
        self._finish_jobs(server)
        self._reset_jobs(server, server.machine.stop())
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
        server.served = server.rejected = 0
        server.wakeup_at = float("inf")
        server.machine.set_slowness(server.combined_slowdown)
        self.server_started(server)
        self.discovery.schedule_change(server.entry)

    def freeze(self, server: SimulatedServer, frozen: bool) -> None:
        """Stop or continue the work of a machine whose connections stay open."""
        self._finish_jobs(server)
        server.machine.frozen = frozen
        self._schedule_wakeup(server)

    def set_slowdown(self, server: SimulatedServer, reason: str, factor: float) -> None:
        """Make a server slower for a reason. Factors of several reasons multiply; 1 clears a reason."""
        self._finish_jobs(server)
        server.slowdowns[reason] = factor
        server.machine.set_slowness(server.combined_slowdown)
        self._schedule_wakeup(server)

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
        total = sum(self._attempts_by_build.values())
        share = self._attempts_by_build[build.number] / total if total else 0.0
        self._attempts_by_build.clear()
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
        if new_connection and not server.machine.connect():
            server.rejected += 1
            self.reply(tag, server, AttemptResult.REJECTED)
            return None
        self._attempts_by_build[server.entry.build] += 1
        if server.error_rate and self._rng.random() < server.error_rate:
            self.reply(tag, server, AttemptResult.ERROR)
            return None
        self._last_job += 1
        job = Job(
            self._last_job,
            self._work_of(server, work_ms, new_connection),
            key,
            deadline,
            class_index,
            tag=tag,
        )
        self._finish_jobs(server)
        offer = server.machine.offer(self.clock.now, job)
        if offer is OfferResult.REJECTED:
            server.rejected += 1
            self.reply(tag, server, AttemptResult.REJECTED)
        elif offer is OfferResult.DOWN:
            self._overloaded(server)
            self.reply(tag, server, AttemptResult.RESET)
        self._schedule_wakeup(server)
        return job

    def cancel(self, server: SimulatedServer, job: Job) -> None:
        """Cancel a job whose attempt was cancelled, where the kind of server notices."""
        if server.up and (server.machine.kind.cancels_running or server.machine.kind.cancels_waiting):
            self._finish_jobs(server)
            server.machine.cancel(self.clock.now, job)
            self._schedule_wakeup(server)

    def _work_of(self, server: SimulatedServer, work_ms: float, new_connection: bool) -> float:
        build = server.build
        kind = self.fleet.kinds[server.entry.kind]
        if build.work_factor != 1.0 and self._build_fault_active(server):
            work_ms *= build.work_factor
        return work_ms + (kind.connect_work_ms if new_connection else 0.0)

    def _build_fault_active(self, server: SimulatedServer) -> bool:
        utilisation = len(server.machine.running) / server.machine.kind.slots
        return server.build.fault_active(self.clock.now - server.machine.started_at, utilisation)

    def _overloaded(self, server: SimulatedServer) -> None:
        """Take a server down that was overloaded in slow start; its jobs are lost."""
        if server.up:
            server.up = False
            self.record(InstanceOverloaded(self.clock.now, server.entry.server))
            self.log_event(f"server {server.entry.server} was pushed over")
            self._reset_jobs(server, server.machine.lost_jobs)
            self.server_stopped(server)
            self.discovery.schedule_change(replace(server.entry, state=ServerState.REMOVED))

    def _schedule_wakeup(self, server: SimulatedServer) -> None:
        """Schedule the next completion of a server, unless an earlier wake-up is set."""
        when = server.machine.next_event_at()
        if when < server.wakeup_at:
            server.wakeup_at = when
            self.clock.call_at(when, partial(self._wake_up, server, server.machine, when))

    def _wake_up(self, server: SimulatedServer, machine: Machine, when: float) -> None:
        if server.machine is not machine or server.wakeup_at != when:
            return
        server.wakeup_at = float("inf")
        self._finish_jobs(server)
        self._schedule_wakeup(server)

    def _finish_jobs(self, server: SimulatedServer) -> None:
        for completed in server.machine.advance(self.clock.now):
            tag = completed.job.tag
            if not completed.executed:
                self.reply(tag, server, AttemptResult.REJECTED)
                continue
            class_name = self.fleet.classes[completed.job.class_index].name
            failure_share = server.build.failure_share_of(class_name)
            if failure_share and self._build_fault_active(server) and self._rng.random() < failure_share:
                self.reply(tag, server, AttemptResult.ERROR)
                continue
            server.served += 1
            if completed.job.key:
                self.key_answered(tag, server, completed.job.key)
            if not (server.response_loss_rate and self._rng.random() < server.response_loss_rate):
                self.reply(tag, server, AttemptResult.OK)

    def connections_closed(self, server_id: int, count: int) -> None:
        """Note that a gateway closed connections to a server."""
        server = self.servers.get(server_id)
        if server is not None:
            server.machine.connections = max(server.machine.connections - count, 0)
