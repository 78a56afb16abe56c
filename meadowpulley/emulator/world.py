"""All parties together, in virtual time, around real balancers. One seed, one run, to the last record."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any

from meadowpulley import interface as i
from meadowpulley.balance import Balancer
from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.clients import Clients, Front
from meadowpulley.emulator.clock import Clock, Streams, between
from meadowpulley.emulator.discovery import Discovery
from meadowpulley.emulator.faults import Faults
from meadowpulley.emulator.gateway import Attempt, Gateway
from meadowpulley.emulator.machine import Job, Machine, Offer
from meadowpulley.emulator.network import Network
from meadowpulley.emulator.platform import Platform
from meadowpulley.emulator.results import Result, ServerResult
from meadowpulley.emulator.scenario import Scenario
from meadowpulley.fleet import Fleet
from meadowpulley.load.arrivals import Arrival
from meadowpulley.rules import Checker, Fell, Figures, KeyAnswered, Record

CELL = 6  # servers that share a cell
NOTICE_DEAD_MS = 1000.0  # until the front no longer hands clients to a gateway that died
LONGEST_TAIL_MS = 30_000.0  # after the last arrival, for what is still open
DRAG_MS = 250.0  # how often a build that slows all servers is weighed by its traffic


@dataclass(slots=True, eq=False)
class Host:
    """A server: its entry as it truly is, its machine, and the troubles on it."""

    entry: i.ServerEntry
    build: Build
    machine: Machine
    begun: float
    base: int  # its place in the described fleet
    up: bool = True
    silent: bool = False  # it vanished: nobody answers, not even with a refusal
    error_share: float = 0.0
    lost_share: float = 0.0
    slowness: dict[str, float] = field(default_factory=dict)
    wake_at: float = float("inf")
    served: int = 0
    turned_away: int = 0


class World:
    """A described fleet under a load: `run` plays it to its end, `run_until` in parts.

    `make` builds the decisions of a gateway (a real `Balancer` unless a test says otherwise); `trace` sees
    each record of the run. Raises nothing of its own: what goes wrong in a run is its result.
    """

    def __init__(
        self,
        fleet: Fleet,
        load: Iterable[Arrival],
        seed: int,
        scenario: Scenario | None = None,
        make: Callable[[i.Settings, int], Any] = Balancer,
        trace: Callable[[Record], None] | None = None,
    ) -> None:
        self.fleet, self.make, self._trace = fleet, make, trace
        self.scenario = scenario or Scenario()
        self.clock, self.streams = Clock(), Streams(seed)
        self.result = Result(fleet)
        self.network = Network(fleet.network, self.streams.of("network"))
        self.shared_slowness = 1.0
        self._rng = self.streams.of("servers")
        self._cycle = [int(n) for n in self._rng.permutation(len(fleet.machines()))]
        self._calls = self.streams.of("calls")
        self._machines = fleet.machines()
        self._started = self._numbers = self._jobs = 0
        self._traffic: Counter[int] = Counter()
        self.hosts: dict[int, Host] = {}  # those that discovery could name, down or not
        self.past: list[Host] = []
        self.gateways: list[Gateway] = []
        self.discovery = Discovery(self.clock, self.streams.of("discovery"), fleet.discovery, self._tell_list)
        first = Build(number=self.scenario.first_build)
        self.platform = Platform(
            self.clock, self.streams.of("platform"), fleet.rollout, len(self._machines), first, self,
            self._tell_news,
        )  # fmt: skip
        for base in range(len(self._machines)):
            host = self._begin(first, base, long_ago=True)
            self.discovery.begin(host.entry)
        self.gateways = [Gateway(self, n) for n in range(len(fleet.gateway_sites()))]
        self.checker = Checker(Figures.of(self.gateways[0].settings))
        self.clients = Clients(
            self.clock, self.streams.of("clients"), fleet, self.network, iter(load), self._fronts, self.result
        )
        for gateway in self.gateways:
            gateway.start()
        Faults(self, self.scenario.faults)
        for release in self.scenario.releases:
            self.clock.at(release.at_ms, partial(self._offer, release.build))

    # Running

    def run(self) -> Result:
        """Plays all of the load, and what it leaves open."""
        while not self.over:
            self.run_until(self.clock.now + 1000.0)
        return self.finish()

    def run_until(self, when: float) -> None:
        self.clock.run(when)

    @property
    def over(self) -> bool:
        """Whether the last arrival has come and all that it left open is over."""
        return self.clients.done and not self.clients.open and self.clock.now % 1000.0 == 0.0

    def finish(self) -> Result:
        result, now = self.result, self.clock.now
        self.checker.finish(now)
        result.lasted_ms = now
        for host in [*self.past, *self.hosts.values()]:
            if host.up:
                host.machine.advance(now)
            result.servers.append(self._server_result(host, now))
        result.servers.sort(key=lambda s: s.server)
        result.gateways = [g.summary(now) for g in self.gateways]
        result.breaches = [str(b) for b in self.checker.breaches]
        result.broken = self.checker.counts
        for stand in self.platform.history:
            self._note_stage(stand.since, stand.build, stand.stage, stand.phase)
        return result

    def _server_result(self, host: Host, now: float) -> ServerResult:
        kind = self.fleet.kinds[host.entry.kind]
        until = now if host.up else host.machine.seen
        lasted = max(until - host.begun, 0.0)
        busy = host.machine.busy_core_ms / (kind.cores * lasted) if lasted else 0.0
        return ServerResult(
            host.entry.server, self.fleet.sites[host.entry.zone].name, kind.name, host.entry.build,
            round(lasted, 3), round(busy, 6), host.served, host.turned_away, host.machine.most_waiting,
            host.machine.fell,
        )  # fmt: skip

    def _note_stage(self, since: float, build: int, stage: int, phase: i.Phase) -> None:
        for second in self.result.seconds[max(int(since // 1000), 0) :]:
            second.build, second.stage, second.phase = build, stage, phase.name.lower()

    # Records

    def record(self, record: Record) -> None:
        self.checker.see(record)
        if self._trace is not None:
            self._trace(record)

    def event(self, text: str) -> None:
        self.result.events.append((self.clock.now, text))

    # Servers

    def _begin(self, build: Build, base: int, long_ago: bool = False) -> Host:
        self._numbers += 1
        site, kind = self._machines[base]
        now = self.clock.now
        machine = Machine(
            self.fleet.kinds[kind], self.fleet.rules, self.fleet.keys, now, build.speed, long_ago=long_ago
        )
        started = 0.0 if long_ago else max(now, 1e-3)
        entry = i.ServerEntry(
            self._numbers, self._numbers // CELL, site, i.ServerState.READY, build.number, started, kind, 1.0
        )
        host = self.hosts[entry.server] = Host(entry, build, machine, now, base)
        if self.shared_slowness != 1.0:
            self.slow(host, "dependency", self.shared_slowness)
        return host

    def up(self, build: int) -> int:
        return sum(
            h.up and h.entry.build == build and h.entry.state is i.ServerState.READY
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
        if build.number == stand.build and stand.phase not in (i.Phase.TRIAL, i.Phase.RELEASED):
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
        return host.up and host.entry.state is i.ServerState.READY

    def drain(self, numbers: Callable[[int], bool]) -> None:
        for host in [h for h in self.hosts.values() if numbers(h.entry.build) and self._serves(h)]:
            self._drain(host)

    def _drain(self, host: Host) -> None:
        host.entry = replace(host.entry, state=i.ServerState.DRAINING)
        self.discovery.change(host.entry)
        # It serves until all who might be told have been told and their grace is over.
        last = self.fleet.discovery.notice_ms[1] + self.fleet.rules.drain_grace_ms
        self.clock.after(max(self.fleet.rollout.drain_ms, last), partial(self._stop, host))

    def _stop(self, host: Host) -> None:
        if self.hosts.get(host.entry.server) is not host:
            return
        self._reset_all(host, host.machine.stop())
        host.up = False
        del self.hosts[host.entry.server]
        self.past.append(host)
        host.entry = replace(host.entry, state=i.ServerState.GONE)
        self.discovery.change(host.entry)

    def _reset_all(self, host: Host, jobs: list[Job]) -> None:
        for job in jobs:
            self._reply(job.tag, host, i.Result.RESET)

    def vanish(self, host: Host) -> None:
        """Its machine is gone without a word: open connections stay silent, discovery finds out in time."""
        host.machine.advance(self.clock.now)
        host.machine.stop()
        host.up, host.silent = False, True
        self.discovery.change(replace(host.entry, state=i.ServerState.GONE))

    def come_back(self, host: Host) -> None:
        """The machine is there again, with a fresh and cold start of the same server."""
        if self.hosts.get(host.entry.server) is not host or not host.silent:
            return
        if host.entry.state is not i.ServerState.READY:  # it was to be drained: it stays away
            return
        now = self.clock.now
        self.past.append(replace(host))
        kind = self.fleet.kinds[host.entry.kind]
        host.machine = Machine(kind, self.fleet.rules, self.fleet.keys, now, host.build.speed)
        host.entry = replace(host.entry, started_ms=now)
        host.begun, host.up, host.silent = now, True, False
        host.served = host.turned_away = 0
        host.wake_at = float("inf")
        host.machine.set_slowness(now, self._product(host))
        self.discovery.change(host.entry)

    def freeze(self, host: Host, on: bool) -> None:
        host.machine.advance(self.clock.now)
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
        host.machine.set_slowness(self.clock.now, self._product(host))
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

    # Attempts on their way

    def travel(self, gateway: Gateway, attempt: Attempt, fresh: bool) -> None:
        """An attempt leaves its gateway, on a new connection or a kept one."""
        host = attempt.host
        assert host is not None
        a, b = gateway.site, host.entry.zone
        lost = host.silent or not self.network.reaches(a, b)
        if lost:  # a kept connection stays silent until the gateway stops waiting
            if fresh:
                wait = self.fleet.rules.connect_timeout_ms
                self.clock.after(wait, lambda: gateway.arrived(attempt, i.Result.CONNECT_FAILED))
            return
        delay = self.network.one_way(a, b)
        if fresh:
            delay += self.network.handshake(a, b)
        self.clock.after(delay, lambda: self._reach(gateway, attempt, host, fresh))

    def _reach(self, gateway: Gateway, attempt: Attempt, host: Host, fresh: bool) -> None:
        if attempt.ended and fresh:
            return
        tag = (gateway, attempt)
        if not host.up:
            if not host.silent:
                self._reply(tag, host, i.Result.CONNECT_FAILED)
            return
        if fresh and not host.machine.connect():
            host.turned_away += 1
            self._reply(tag, host, i.Result.FULL)
            return
        ask = attempt.held.request.ask
        self._traffic[host.entry.build] += 1
        if host.error_share and self._rng.random() < host.error_share:
            self._reply(tag, host, i.Result.ERROR)
            return
        self._jobs += 1
        job = attempt.job = Job(self._jobs, self._work(host, ask.arrival, fresh), ask.arrival.key)
        job.until, job.cls, job.tag = attempt.until, ask.cls, tag
        self._finish_jobs(host)
        offer = host.machine.offer(self.clock.now, job)
        if offer is Offer.FULL:
            host.turned_away += 1
            self._reply(tag, host, i.Result.FULL)
        elif offer is Offer.DOWN:
            self._fell(host, tag)
        self._plan(host)

    def _work(self, host: Host, arrival: Arrival, fresh: bool) -> float:
        build, kind = host.build, self.fleet.kinds[host.entry.kind]
        work = arrival.work_ms
        if build.slow != 1.0 and self._build_acts(host):
            work *= build.slow
        return work + (kind.connect_work_ms if fresh else 0.0)

    def _build_acts(self, host: Host) -> bool:
        busy = len(host.machine.running) / host.machine.kind.slots
        return host.build.acts(self.clock.now - host.machine.started, busy)

    def _fell(self, host: Host, tag: tuple[Gateway, Attempt]) -> None:
        """Pushed over: all that it held is lost with it, and it stays down."""
        if host.up:
            host.up = False
            self.record(Fell(self.clock.now, host.entry.server))
            self.event(f"server {host.entry.server} was pushed over")
            self._reset_all(host, [])
            self.discovery.change(replace(host.entry, state=i.ServerState.GONE))
        self._reply(tag, host, i.Result.RESET)

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
            gateway, attempt = ended.job.tag
            if not ended.ran:
                self._reply((gateway, attempt), host, i.Result.FULL)
                continue
            cls = self.fleet.classes[ended.job.cls].name
            fails = host.build.fail_share(cls)
            if fails and self._build_acts(host) and self._rng.random() < fails:
                self._reply((gateway, attempt), host, i.Result.ERROR)
                continue
            host.served += 1
            if ended.job.key:
                self.record(KeyAnswered(self.clock.now, gateway.number, ended.job.key, host.entry.build))
            if host.lost_share and self._rng.random() < host.lost_share:
                continue
            self._reply((gateway, attempt), host, i.Result.OK)

    def _reply(self, tag: tuple[Gateway, Attempt], host: Host, result: i.Result) -> None:
        gateway, attempt = tag
        a, b = host.entry.zone, gateway.site
        if self.network.reaches(a, b):
            self.clock.after(self.network.one_way(a, b), lambda: gateway.arrived(attempt, result))

    def drop(self, attempt: Attempt) -> None:
        """Its gateway has given an attempt up, and the server may notice."""
        host, job = attempt.host, attempt.job
        if host is None or job is None or not host.up:
            return
        if host.machine.kind.cancels_running or host.machine.kind.cancels_waiting:
            self._finish_jobs(host)
            host.machine.cancel(self.clock.now, job)
            self._plan(host)

    def close(self, server: int, count: int) -> None:
        """Connections to a server were closed."""
        host = self.hosts.get(server)
        if host is not None:
            host.machine.connections = max(host.machine.connections - count, 0)

    # Between the parties

    def _fronts(self, site: int) -> list[Front]:
        """The gateways of a site, else all: dead ones only until the front notices."""
        now = self.clock.now
        there = [g for g in self.gateways if g.alive or now < g.died_at + NOTICE_DEAD_MS]
        return [g for g in there if g.site == site] or list(there)

    def _tell_list(self, gateway: int, news: i.ServerList) -> None:
        if self.gateways[gateway].alive:
            self.gateways[gateway].tell(news)

    def _tell_news(self, gateway: int, news: i.BuildNews) -> None:
        if self.gateways[gateway].alive:
            self.gateways[gateway].hear(news)

    def cast(self, gateway: Gateway, vote: i.Vote) -> None:
        self.event(
            f"gateway {gateway.number} votes {vote.verdict.name.lower()} on build {vote.build} "
            f"stage {vote.stage}"
        )
        life, number = gateway.lives, gateway.number
        wait = between(self._calls, self.fleet.rollout.call_ms)
        self.clock.after(wait, lambda: self.platform.vote(number, vote))
        if self.platform.down:
            lost = i.BuildNews(vote.build, vote.stage, i.Phase.TRIAL, 0.0, 0.0, i.Result.TIMEOUT, True)

            def late() -> None:
                if gateway.alive and gateway.lives == life:
                    gateway.hear(lost)

            self.clock.after(self.fleet.rollout.call_timeout_ms, late)

    def datagram(self, gateway: Gateway, action: i.TellPeer) -> None:
        message = i.PeerMessage(gateway.number, action.data)
        for other in self.gateways:
            if other is not gateway and action.peer in (None, other.number):
                delay = self.network.datagram(gateway.site, other.site)
                if delay is not None:
                    self.clock.after(delay, partial(self._hear_peer, other, message))

    def _hear_peer(self, gateway: Gateway, message: i.PeerMessage) -> None:
        if gateway.alive:
            gateway.tell(message)


def emulate(fleet: Fleet, load: Iterable[Arrival], seed: int, scenario: Scenario | None = None) -> Result:
    """Plays a load on an emulated fleet. The same arguments give the same result, to the last figure."""
    return World(fleet, load, seed, scenario).run()
