"""All parties together, in virtual time, around real balancers. One seed, one run, to the last record."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from typing import Any

from meadowpulley.balance import Balancer
from meadowpulley.emulator.clients import Clients, Front, Try
from meadowpulley.emulator.clock import Clock, Streams, between
from meadowpulley.emulator.failpoints import Failpoints
from meadowpulley.emulator.faults import Faults
from meadowpulley.emulator.gateway import Gateway
from meadowpulley.emulator.held import Attempt
from meadowpulley.emulator.joined import JoinedGateway
from meadowpulley.emulator.ledger import Port, SharedLedger
from meadowpulley.emulator.network import Network
from meadowpulley.emulator.observed import Observer
from meadowpulley.emulator.park import Host, Park
from meadowpulley.emulator.results import Result
from meadowpulley.emulator.scenario import Scenario
from meadowpulley.emulator.together import Chain, Together, admission
from meadowpulley.fleet import Fleet, settings_of
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
from meadowpulley.ledger import Life, Step
from meadowpulley.load.arrivals import Arrival
from meadowpulley.rules import Checker, Figures, KeyAnswered, Record
from meadowpulley.takeover import Takeover

NOTICE_DEAD_MS = 1000.0  # until the front no longer hands clients to a gateway that died
LONGEST_TAIL_MS = 30_000.0  # after the last arrival, for what is still open


class World(Park):
    """A described fleet under a load: `run` plays it to its end, `run_until` in parts.

    `make` builds the decisions of a gateway (a real `Balancer` unless a test says otherwise); `together`
    says what its gateways share, and which stages stand round those decisions; `trace` sees each record of
    the run. Raises nothing of its own: what goes wrong in a run is its result.
    """

    def __init__(
        self,
        fleet: Fleet,
        load: Iterable[Arrival],
        seed: int,
        scenario: Scenario | None = None,
        make: Callable[[Settings, int], Any] = Balancer,
        trace: Callable[[Record], None] | None = None,
        from_ms: float = 0.0,
        together: Together | None = None,
    ) -> None:
        self.make, self._trace, self.together = make, trace, together
        self.failpoints = Failpoints()
        clock = Clock()
        self.virtual = clock
        self.gateways: list[Gateway] = []
        self.network = Network(fleet.network, Streams(seed).of("network"))
        super().__init__(fleet, scenario or Scenario(), clock, Streams(seed), Result(fleet, from_ms))
        self._calls = self.streams.of("calls")
        self.ledger: SharedLedger | None = None
        if together is not None:
            self.ledger = SharedLedger(clock, self.streams.of("ledger"), together.ledger)
            self.ledger.won = self._won
        self.chains: dict[int, Chain] = {}  # of the last life of each gateway
        self._observer = Observer()
        joined = together is not None and together.takeover is not None
        kind = JoinedGateway if joined else Gateway
        self.gateways = [kind(self, n) for n in range(len(fleet.gateway_sites()))]
        figures = Figures.of(self.gateways[0].settings)
        if together is not None:
            figures = replace(figures, shared=together.figures())
        self.checker = Checker(figures)
        self.clients = Clients(
            clock,
            self.streams.of("clients"),
            fleet,
            self.network,
            iter(load),
            self._fronts,
            self.result,
            joined,
            together.again_ms if together is not None else 0.0,
            self._client_left,
        )
        self.discovery.counts = lambda number, news: self.gateways[number].book_list(news)
        for gateway in self.gateways:
            gateway.start()
        Faults(self, self.scenario.faults)
        self.schedule()

    # What gateways have together

    def settings_of(self, number: int) -> Settings:
        settings = settings_of(self.fleet, number)
        return self.together.settings(settings) if self.together is not None else settings

    def tenant_of(self, key: int) -> int:
        return self.together.tenant_of(key) if self.together is not None else 0

    def make_stage(self, gateway: Gateway, seed: int) -> tuple[Any, list[Any]]:
        """What decides in a gateway, its balancer or the outermost stage round it; and its first actions."""
        balancer = self.make(gateway.settings, seed)
        if self.together is None or self.ledger is None or gateway.life is None:
            return balancer, []
        number, life = gateway.number, gateway.life

        def note(now: float, request: Request) -> None:
            record = admission(now, number, request)
            if record is not None:
                self.record(record)

        chain = self.chains[number] = Chain(self.together, gateway.settings, seed, life, balancer, note)
        gateway.port = Port(self.ledger, gateway, life, chain.watches)
        return chain.keeper, chain.keeper.start(self.clock.now)

    def takeover_of(self, gateway: Gateway) -> Takeover:
        takeover = self.chains[gateway.number].takeover
        assert takeover is not None
        return takeover

    def leave(self, gateway: Gateway) -> list[Any]:
        return self.chains[gateway.number].leave(self.clock.now)

    def _client_left(self, request: Try) -> None:
        for gateway in self.gateways:
            if gateway is request.gateway and gateway.alive:
                gateway.client_left(request)

    def _won(self, life: Life, step: Step) -> None:
        for record in self._observer.won(self.clock.now, life, step):
            self.record(record)

    # Running

    def run(self) -> Result:
        """Plays all of the load, and what it leaves open."""
        while not self.over:
            self.run_until(self.clock.now + 1000.0)
        return self.finish()

    def run_until(self, when: float) -> None:
        self.virtual.run(when)

    @property
    def over(self) -> bool:
        """Whether the last arrival has come and all that it left open is over."""
        return self.clients.done and not self.clients.open and self.clock.now % 1000.0 == 0.0

    def finish(self) -> Result:
        result = self.result
        self.close_books()
        self.checker.finish(self.clock.now)
        result.gateways = [g.summary(self.clock.now) for g in self.gateways]
        result.breaches = [str(b) for b in self.checker.breaches]
        result.broken = self.checker.counts
        return result

    # Records

    def record(self, record: Record) -> None:
        self.checker.see(record)
        if self._trace is not None:
            self._trace(record)

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
                self.clock.after(wait, lambda: gateway.arrived(attempt, AttemptResult.CONNECT_FAILED))
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
                self.reply(tag, host, AttemptResult.CONNECT_FAILED)
            return
        ask = attempt.held.request.ask
        a = ask.arrival
        attempt.job = self.offer(tag, host, ask.cls, a.key, a.work_ms, attempt.until, fresh)

    def key_answered(self, tag: Any, host: Host, key: int) -> None:
        self.record(KeyAnswered(self.clock.now, tag[0].number, key, host.entry.build))

    def reply(self, tag: Any, host: Host, result: AttemptResult) -> None:
        gateway, attempt = tag
        a, b = host.entry.zone, gateway.site
        if self.network.reaches(a, b):
            self.clock.after(self.network.one_way(a, b), lambda: gateway.arrived(attempt, result))

    def drop(self, attempt: Attempt) -> None:
        """Its gateway has given an attempt up, and the server may notice."""
        host, job = attempt.host, attempt.job
        if host is not None and job is not None:
            self.cancel(host, job)

    # Between the parties

    def _fronts(self, site: int) -> list[Front]:
        """The gateways of a site, else all: dead ones only until the front notices."""
        now = self.clock.now
        there = [
            g
            for g in self.gateways
            if not g.leaving
            and (g.alive or now < g.died_at + NOTICE_DEAD_MS)
            and (not g.paused or now < g.paused_at + NOTICE_DEAD_MS)
        ]
        return [g for g in there if g.site == site] or list(there)

    def tell_list(self, gateway: int, news: EndpointUpdate) -> None:
        if self.gateways[gateway].alive:
            self.gateways[gateway].tell(news)

    def tell_news(self, gateway: int, news: RolloutUpdate) -> None:
        if self.gateways[gateway].alive:
            self.gateways[gateway].hear(news)

    def cast(self, gateway: Gateway, vote: Vote) -> None:
        self.event(
            f"gateway {gateway.number} votes {vote.verdict.name.lower()} on build {vote.build} "
            f"stage {vote.stage}"
        )
        life, number = gateway.lives, gateway.number
        wait = between(self._calls, self.fleet.rollout.call_ms)
        self.clock.after(wait, lambda: self.platform.vote(number, vote))
        if self.platform.down:
            lost = RolloutUpdate(vote.build, vote.stage, Phase.TRIAL, 0.0, 0.0, AttemptResult.TIMEOUT, True)

            def late() -> None:
                if gateway.alive and gateway.lives == life:
                    gateway.hear(lost)

            self.clock.after(self.fleet.rollout.call_timeout_ms, late)

    def datagram(self, gateway: Gateway, action: SendGossip) -> None:
        message = GossipReceived(gateway.number, action.data)
        for other in self.gateways:
            if other is not gateway and action.peer in (None, other.number):
                delay = self.network.datagram(gateway.site, other.site)
                if delay is not None:
                    self.clock.after(delay, partial(self._hear_peer, other, message))

    def _hear_peer(self, gateway: Gateway, message: GossipReceived) -> None:
        if gateway.alive:
            gateway.tell(message)


def emulate(fleet: Fleet, load: Iterable[Arrival], seed: int, scenario: Scenario | None = None) -> Result:
    """Plays a load on an emulated fleet. The same arguments give the same result, to the last figure."""
    return World(fleet, load, seed, scenario).run()
