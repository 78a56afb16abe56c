"""Clients: arrivals that wait for nobody, the front that spreads them over gateways, and their own
retries."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from meadowpulley.emulator.clock import Timeline
from meadowpulley.emulator.network import Network
from meadowpulley.emulator.results import Result
from meadowpulley.fleet import Fleet
from meadowpulley.load.arrivals import Arrival


class Front(Protocol):
    """A gateway as a client sees it."""

    number: int
    alive: bool

    def take(self, request: Try) -> None: ...


@dataclass(slots=True, eq=False)
class Ask:
    """What somebody wants: one arrival and all tries for it."""

    arrival: Arrival
    cls: int
    site: int
    first_at: float
    tries: int = 0
    over: bool = False
    name: str = ""  # its id on all tries, where gateways stand in for each other


@dataclass(slots=True, eq=False)
class Try:
    """One request: a number that never comes twice, and what it asks."""

    number: int
    ask: Ask
    sent: float
    deadline: float
    name: str = ""
    gateway: Front | None = None
    answered: bool = False


class Clients:
    """Plays a load. `fronts(site)` are the gateways that the front of a site hands connections to.

    `named`: all tries of an ask carry one id. `again_ms`: of silence, after which a client leaves and tries
    another gateway, 0: never; `leave` tells the gateway that it left.
    """

    def __init__(
        self,
        clock: Timeline,
        rng: np.random.Generator,
        fleet: Fleet,
        network: Network,
        load: Iterator[Arrival],
        fronts: Callable[[int], list[Front]],
        result: Result,
        named: bool = False,
        again_ms: float = 0.0,
        leave: Callable[[Try], None] = lambda request: None,
    ) -> None:
        self._named, self._again_ms, self._leave = named, again_ms, leave
        self._clock, self._rng, self.fleet, self._network = clock, rng, fleet, network
        self._load, self._fronts, self._result = load, fronts, result
        self._numbers = 0
        self._classes = {c.name: n for n, c in enumerate(fleet.classes)}
        self._sites = fleet.site_numbers()
        self.done = False  # no arrival is left
        self.open = 0  # asks that are not over
        self._next()

    def _next(self) -> None:
        arrival = next(self._load, None)
        if arrival is None:
            self.done = True
        else:
            self._clock.at(arrival.at_ms, lambda: self._arrive(arrival))

    def _arrive(self, arrival: Arrival) -> None:
        self._next()
        ask = Ask(arrival, self._classes[arrival.cls], self._sites.get(arrival.site, 0), arrival.at_ms)
        self.open += 1
        self._result.asked(ask)
        self._try(ask)

    def _patience(self, ask: Ask) -> float:
        deadline = self.fleet.classes[ask.cls].deadline_ms
        return min(ask.arrival.patience_ms or deadline, deadline)

    def _try(self, ask: Ask) -> None:
        now = self._clock.now
        ask.tries += 1
        number = self.number()
        if self._named and not ask.name:
            ask.name = f"ask-{number}"
        patience = min(self._patience(ask), ask.first_at + self.fleet.classes[ask.cls].deadline_ms - now)
        request = Try(number, ask, now, now + patience, ask.name)
        fronts = [g for g in self._fronts(ask.site)]
        if patience <= 0 or not fronts:
            self._end(ask, None)
            return
        request.gateway = gateway = fronts[int(self._rng.random() * len(fronts))]
        self._travel(lambda: self._reach(request, gateway))
        self._clock.at(request.deadline, lambda: self._gave_up(request))
        if self._again_ms and ask.tries <= self.fleet.clients.retries:
            self._clock.after(self._again_ms, lambda: self._ask_elsewhere(request))

    def number(self) -> int:
        """One that no request had before."""
        self._numbers += 1
        return self._numbers

    def _ask_elsewhere(self, request: Try) -> None:
        """Silence for too long: it leaves, and asks again under the same id."""
        if not request.answered and self._clock.now < request.deadline:
            request.answered = True
            self._leave(request)
            self._result.retried(request.ask)
            self._try(request.ask)

    def _travel(self, call: Callable[[], None]) -> None:
        """Between a client and its gateway; at once where that takes no time, as on the rig."""
        delay = self._network.client()
        if delay > 0:
            self._clock.after(delay, call)
        else:
            call()

    def _reach(self, request: Try, gateway: Front) -> None:
        if not request.answered:
            if gateway.alive:
                gateway.take(request)
            else:
                self.broke(request)

    def _gave_up(self, request: Try) -> None:
        """The client's time is over without an answer."""
        if request.answered:
            return
        request.answered = True
        self._result.unanswered(request.ask)
        self._retry_or_end(request.ask, 0.0, False)

    # What gateways say

    def answer(self, request: Try, answer: str, retry_after_ms: float) -> None:
        """The answer leaves the gateway; it reaches the client a little later."""
        self._travel(lambda: self._answered(request, answer, retry_after_ms))

    def broke(self, request: Try) -> None:
        """The connection broke, or nobody was there."""
        self._travel(lambda: self._answered(request, "broke", 0.0))

    def _answered(self, request: Try, answer: str, retry_after_ms: float) -> None:
        if request.answered:
            return
        request.answered = True
        if answer == "served":
            self._end(request.ask, self._clock.now - request.ask.first_at)
        else:
            self._retry_or_end(request.ask, retry_after_ms, answer in ("refused", "broke"))

    def _retry_or_end(self, ask: Ask, advice_ms: float, harmless: bool) -> None:
        clients, cls = self.fleet.clients, self.fleet.classes[ask.cls]
        may = harmless or (clients.retries_failed and cls.effect != "unsafe")
        wait = clients.backoff_ms * 2 ** (ask.tries - 1)
        if advice_ms and self._rng.random() < clients.honours_advice:
            wait = max(wait, advice_ms)
        wait *= 0.5 + float(self._rng.random())
        if may and ask.tries <= clients.retries and self._clock.now + wait < ask.first_at + cls.deadline_ms:
            self._result.retried(ask)
            self._clock.after(wait, lambda: self._try(ask))
        else:
            self._result.refused_or_failed(ask, harmless)
            self._end(ask, None)

    def _end(self, ask: Ask, took_ms: float | None) -> None:
        if not ask.over:
            ask.over = True
            self.open -= 1
            self._result.ended(ask, took_ms)
