"""The servers of a fleet, with the platform and discovery over them: shared by the emulator and by the
stand-ins on loopback. How requests and replies travel is the rig's own: it calls `offer` and is called by
`reply`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.clock import Streams, Timeline, between
from meadowpulley.emulator.discovery import Discovery
from meadowpulley.emulator.machine import Job, Machine, Offer
from meadowpulley.emulator.platform import Platform
from meadowpulley.emulator.results import Result, ServerResult
from meadowpulley.emulator.scenario import Scenario
from meadowpulley.fleet import Fleet
from meadowpulley.interface import (
    EndpointUpdate,
    Phase,
    Result as AttemptResult,
    RolloutUpdate,
    ServerEntry,
    ServerState,
)
from meadowpulley.rules import Fell, Record

CELL = 6  # servers that share a cell
DRAG_MS = 250.0  # how often a build that slows all servers is weighed by its traffic


@dataclass(slots=True, eq=False)
class Host:
    """A server: its entry as it truly is, its machine, and the troubles on it."""

    entry: ServerEntry
    build: Build
    machine: Machine
    begun: float
    base: int  # its place in the described fleet
    up: bool = True
    silent: bool = False  # it vanished: nobody answers, not even with a refusal
    away: bool = False  # it crashed or vanished, and may come back
    error_share: float = 0.0
    lost_share: float = 0.0
    slowness: dict[str, float] = field(default_factory=dict)
    wake_at: float = float("inf")
    served: int = 0
    turned_away: int = 0


class Park:
    """All servers, warm and of the first build at the start. Subclasses say how replies travel."""

    def __init__(
        self,
        fleet: Fleet,
        scenario: Scenario,
        clock: Timeline,
        streams: Streams,
        result: Result,
    ) -> None:
        self.fleet, self.scenario, self.clock, self.streams = fleet, scenario, clock, streams
        self.result = result
        self.shared_slowness = 1.0
        self._rng = streams.of("servers")
        self._machines = fleet.machines()
        self._cycle = [int(n) for n in self._rng.permutation(len(self._machines))]
        self._started = self._numbers = self._jobs = 0
        self._traffic: Counter[int] = Counter()
        self.hosts: dict[int, Host] = {}  # those that discovery could name, down or not
        self.past: list[Host] = []
        self.discovery = Discovery(clock, streams.of("discovery"), fleet.discovery, self.tell_list)
        first = Build(number=scenario.first_build)
        self.platform = Platform(
            clock, streams.of("platform"), fleet.rollout, len(self._machines), first, self, self.tell_news
        )
        for base in range(len(self._machines)):
            self.discovery.begin(self._begin(first, base, long_ago=True).entry)

    # What a rig does with them

    def tell_list(self, gateway: int, news: EndpointUpdate) -> None:
        raise NotImplementedError

    def tell_news(self, gateway: int, news: RolloutUpdate) -> None:
        raise NotImplementedError

    def reply(self, tag: Any, host: Host, result: AttemptResult) -> None:
        """What a server says to an attempt, or that its connection broke."""
        raise NotImplementedError

    def key_answered(self, tag: Any, host: Host, key: int) -> None:
        """A server has answered a request with a key."""

    def host_began(self, host: Host) -> None:
        """A server has started."""

    def host_ended(self, host: Host) -> None:
        """A server has stopped, crashed, fallen over or vanished."""

    def record(self, record: Record) -> None:
        """A line of the trace."""

    def event(self, text: str) -> None:
        self.result.events.append((self.clock.now, text))

    def schedule(self) -> None:
        """Sets the scenario's releases on the clock."""
        for release in self.scenario.releases:
            self.clock.at(release.at_ms, partial(self._offer, release.build))

    # What came of them

    def measure(self, from_ms: float, to_ms: float) -> None:
        """Between these two moments the use of all cores is measured."""
        self.clock.at(from_ms, lambda: self._measure(-1.0))
        self.clock.at(to_ms, lambda: self._measure(1.0))

    def _measure(self, sign: float) -> None:
        """Core time used and core time there, of all servers: less what was at the start of the span."""
        now = self.clock.now
        for host in [*self.past, *self.hosts.values()]:
            if host.up:
                self._finish_jobs(host)
            until = now if host.up else host.machine.seen
            self.result.used_ms += sign * host.machine.busy_core_ms
            self.result.there_ms += sign * host.machine.kind.cores * max(until - host.begun, 0.0)

    def close_books(self) -> None:
        """Fills the result with what the servers did."""
        result, now = self.result, self.clock.now
        result.lasted_ms = now
        for host in [*self.past, *self.hosts.values()]:
            if host.up:
                host.machine.advance(now)
            result.servers.append(self._server_result(host, now))
        result.servers.sort(key=lambda s: s.server)
        for stand in self.platform.history:
            self._note_stage(stand.since, stand.build, stand.stage, stand.phase)

    def _server_result(self, host: Host, now: float) -> ServerResult:
        kind = self.fleet.kinds[host.entry.kind]
        until = now if host.up else host.machine.seen
        lasted = max(until - host.begun, 0.0)
        busy = host.machine.busy_core_ms / (kind.cores * lasted) if lasted else 0.0
        return ServerResult(
            host.entry.server,
            self.fleet.sites[host.entry.zone].name,
            kind.name,
            host.entry.build,
            round(lasted, 3),
            round(busy, 6),
            host.served,
            host.turned_away,
            host.machine.most_waiting,
            host.machine.fell,
        )

    def _note_stage(self, since: float, build: int, stage: int, phase: Phase) -> None:
        for second in self.result.seconds[max(int(since // 1000), 0) :]:
            second.build, second.stage, second.phase = build, stage, phase.name.lower()

    # Servers

    def _begin(self, build: Build, base: int, long_ago: bool = False) -> Host:
        self._numbers += 1
        site, kind = self._machines[base]
        now = self.clock.now
        machine = Machine(
            self.fleet.kinds[kind], self.fleet.rules, self.fleet.keys, now, build.speed, long_ago=long_ago
        )
        started = 0.0 if long_ago else max(now, 1e-3)
        entry = ServerEntry(
            self._numbers, self._numbers // CELL, site, ServerState.READY, build.number, started, kind, 1.0
        )
        host = self.hosts[entry.server] = Host(entry, build, machine, now, base)
        self.host_began(host)
        if self.shared_slowness != 1.0:
            self.slow(host, "dependency", self.shared_slowness)
        return host

    def up(self, build: int) -> int:
        return sum(
            h.up and h.entry.build == build and h.entry.state is ServerState.READY
            for h in self.hosts.values()
        )

    def start(self, build: Build, count: int, replacing: bool) -> None:
        for _ in range(count):
            base = self._cycle[self._started % len(self._cycle)]
            self._started += 1
            wait = between(self._rng, self.fleet.rollout.boot_ms)
            self.clock.after(wait, partial(self._boot, build, base, replacing))

    def _boot(self, build: Build, base: int, replacing: bool) -> None:
        stand = self.platform.stand
        if build.number == stand.build and stand.phase not in (Phase.TRIAL, Phase.RELEASED):
            return  # it was called back while this server was starting
        host = self._begin(build, base)
        self.discovery.change(host.entry)
        if replacing:
            earlier = [h for h in self.hosts.values() if h.entry.build != build.number and self._serves(h)]
            same = [h for h in earlier if h.base == base]
            for old in (same or earlier)[:1]:
                self._drain(old)

    @staticmethod
    def _serves(host: Host) -> bool:
        return host.up and host.entry.state is ServerState.READY

    def drain(self, numbers: Callable[[int], bool]) -> None:
        for host in [h for h in self.hosts.values() if numbers(h.entry.build) and self._serves(h)]:
            self._drain(host)

    def _drain(self, host: Host) -> None:
        host.entry = replace(host.entry, state=ServerState.DRAINING)
        self.discovery.change(host.entry)
        # It serves until all who might be told have been told and their grace is over.
        last = self.fleet.discovery.notice_ms[1] + self.fleet.rules.drain_grace_ms
        self.clock.after(max(self.fleet.rollout.drain_ms, last), partial(self._stop, host))

    def _stop(self, host: Host) -> None:
        if self.hosts.get(host.entry.server) is not host:
            return
        self._reset_all(host, host.machine.stop())
        if host.up:
            host.up = False
            self.host_ended(host)
        del self.hosts[host.entry.server]
        self.past.append(host)
        host.entry = replace(host.entry, state=ServerState.REMOVED)
        self.discovery.change(host.entry)

    def _reset_all(self, host: Host, jobs: list[Job]) -> None:
        for job in jobs:
            self.reply(job.tag, host, AttemptResult.RESET)

    def vanish(self, host: Host) -> None:
        """Its machine is gone without a word: open connections stay silent, discovery finds out in time."""
        self._finish_jobs(host)
        host.machine.stop()
        host.up, host.silent, host.away = False, True, True
        self.host_ended(host)
        self.discovery.change(replace(host.entry, state=ServerState.REMOVED))

    def crash(self, host: Host) -> None:
        """Its process is gone: connections break and new ones are refused; discovery finds out in time."""
        self._finish_jobs(host)
        self._reset_all(host, host.machine.stop())
        host.up, host.away = False, True
        self.host_ended(host)
        self.discovery.change(replace(host.entry, state=ServerState.REMOVED))

    def come_back(self, host: Host) -> None:
        """The machine is there again, with a fresh and cold start of the same server."""
        if self.hosts.get(host.entry.server) is not host or not host.away:
            return
        if host.entry.state is not ServerState.READY:  # it was to be drained: it stays away
            return
        now = self.clock.now
        self.past.append(replace(host))
        kind = self.fleet.kinds[host.entry.kind]
        host.machine = Machine(kind, self.fleet.rules, self.fleet.keys, now, host.build.speed)
        host.entry = replace(host.entry, started_ms=now)
        host.begun, host.up, host.silent, host.away = now, True, False, False
        host.served = host.turned_away = 0
        host.wake_at = float("inf")
        host.machine.set_slowness(self._product(host))
        self.host_began(host)
        self.discovery.change(host.entry)

    def freeze(self, host: Host, on: bool) -> None:
        self._finish_jobs(host)
        host.machine.frozen = on
        self._plan(host)

    @staticmethod
    def _product(host: Host) -> float:
        product = 1.0
        for factor in host.slowness.values():
            product *= factor
        return product

    def slow(self, host: Host, why: str, factor: float) -> None:
        """One reason makes a server so many times slower; reasons multiply. A factor of 1 takes it off."""
        self._finish_jobs(host)
        host.slowness[why] = factor
        host.machine.set_slowness(self._product(host))
        self._plan(host)

    def slow_all(self, why: str, factor: float) -> None:
        for host in self.hosts.values():
            self.slow(host, why, factor)

    # Builds

    def _offer(self, build: Build) -> None:
        self.event(f"build {build.number} is offered")
        self.platform.offer(build)
        if build.drag > 1.0:
            self.clock.after(DRAG_MS, partial(self._weigh_drag, build))

    def _weigh_drag(self, build: Build) -> None:
        total = sum(self._traffic.values())
        share = self._traffic[build.number] / total if total else 0.0
        self._traffic.clear()
        self.slow_all("drag", 1.0 + (build.drag - 1.0) * share)
        if self.platform.stand.build == build.number:
            self.clock.after(DRAG_MS, partial(self._weigh_drag, build))
        else:
            self.slow_all("drag", 1.0)

    # Requests

    def offer(
        self, tag: Any, host: Host, cls: int, key: int, work_ms: float, until: float, fresh: bool
    ) -> Job | None:
        """A request reaches a server that is up, on a new connection or not. What becomes of it comes by
        `reply`; the job is None where none was begun."""
        if fresh and not host.machine.connect():
            host.turned_away += 1
            self.reply(tag, host, AttemptResult.REJECTED)
            return None
        self._traffic[host.entry.build] += 1
        if host.error_share and self._rng.random() < host.error_share:
            self.reply(tag, host, AttemptResult.ERROR)
            return None
        self._jobs += 1
        job = Job(self._jobs, self._work(host, work_ms, fresh), key, until, cls, tag=tag)
        self._finish_jobs(host)
        offer = host.machine.offer(self.clock.now, job)
        if offer is Offer.FULL:
            host.turned_away += 1
            self.reply(tag, host, AttemptResult.REJECTED)
        elif offer is Offer.DOWN:
            self._fell(host)
            self.reply(tag, host, AttemptResult.RESET)
        self._plan(host)
        return job

    def cancel(self, host: Host, job: Job) -> None:
        """Whoever sent it has given it up, and the server may notice."""
        if host.up and (host.machine.kind.cancels_running or host.machine.kind.cancels_waiting):
            self._finish_jobs(host)
            host.machine.cancel(self.clock.now, job)
            self._plan(host)

    def _work(self, host: Host, work: float, fresh: bool) -> float:
        build, kind = host.build, self.fleet.kinds[host.entry.kind]
        if build.slow != 1.0 and self._build_acts(host):
            work *= build.slow
        return work + (kind.connect_work_ms if fresh else 0.0)

    def _build_acts(self, host: Host) -> bool:
        busy = len(host.machine.running) / host.machine.kind.slots
        return host.build.acts(self.clock.now - host.machine.started, busy)

    def _fell(self, host: Host) -> None:
        """Pushed over: all that it held is lost with it, and it stays down."""
        if host.up:
            host.up = False
            self.record(Fell(self.clock.now, host.entry.server))
            self.event(f"server {host.entry.server} was pushed over")
            self._reset_all(host, host.machine.lost)
            self.host_ended(host)
            self.discovery.change(replace(host.entry, state=ServerState.REMOVED))

    def _plan(self, host: Host) -> None:
        """One wake-up is set for a server, at the earliest end that was ever expected; too early ones only
        look."""
        when = host.machine.next_at()
        if when < host.wake_at:
            host.wake_at = when
            self.clock.at(when, partial(self._wake, host, host.machine, when))

    def _wake(self, host: Host, machine: Machine, when: float) -> None:
        if host.machine is not machine or host.wake_at != when:
            return
        host.wake_at = float("inf")
        self._finish_jobs(host)
        self._plan(host)

    def _finish_jobs(self, host: Host) -> None:
        for ended in host.machine.advance(self.clock.now):
            tag = ended.job.tag
            if not ended.ran:
                self.reply(tag, host, AttemptResult.REJECTED)
                continue
            cls = self.fleet.classes[ended.job.cls].name
            fails = host.build.fail_share(cls)
            if fails and self._build_acts(host) and self._rng.random() < fails:
                self.reply(tag, host, AttemptResult.ERROR)
                continue
            host.served += 1
            if ended.job.key:
                self.key_answered(tag, host, ended.job.key)
            if not (host.lost_share and self._rng.random() < host.lost_share):
                self.reply(tag, host, AttemptResult.OK)

    def close(self, server: int, count: int) -> None:
        """Connections to a server were closed."""
        host = self.hosts.get(server)
        if host is not None:
            host.machine.connections = max(host.machine.connections - count, 0)
