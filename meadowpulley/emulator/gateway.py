"""Hosts one real `Balancer`, as the gateway on sockets does: events in, actions out, one at a time.

What the gateway itself costs is here too: CPU of a request, connections to servers, slots for requests.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from meadowpulley import interface as i
from meadowpulley.emulator.clients import Try
from meadowpulley.emulator.machine import Job
from meadowpulley.emulator.results import GatewayResult
from meadowpulley.fleet import settings_of
from meadowpulley.rules import Answered, Died, Listed, News, Outcome, Sent, Started, Taken

if TYPE_CHECKING:
    from meadowpulley.emulator.park import Host
    from meadowpulley.emulator.world import World

INTAKE = 0.6  # of a request's CPU, the rest is spent on its attempt's answer
NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
_STATES = {i.ServerState.READY: "ready", i.ServerState.DRAINING: "draining", i.ServerState.GONE: "gone"}


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from its sending to its one outcome."""

    held: Held
    n: int
    host: Host | None
    sent: float
    until: float
    ended: bool = False
    connected: bool = False  # it holds a connection
    job: Job | None = None


@dataclass(slots=True, eq=False)
class Held:
    """A request in this gateway's table."""

    request: Try
    deadline: float
    tries: int = 0
    over: bool = False  # it has its final answer; attempts may still be out
    out: dict[int, Attempt] = field(default_factory=dict)


class Gateway:
    """One gateway of the emulated fleet, by its number; `start` and `kill` bound its lives."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.number = world, number
        self.figures = world.fleet.gateway_figures()[number]
        self.site = world.fleet.gateway_sites()[number]
        self.settings = settings_of(world.fleet, number)
        free = self.figures.descriptors - self.figures.kept_back
        self.client_slots = max(int(free * self.figures.client_part), 1)
        self.instance_slots = max(free - self.client_slots, 1)
        self.alive, self.died_at = False, -math.inf
        self.lives = self.requests = self.attempts = self.most_open = self.most_held = 0
        self.busy_ms = 0.0
        self.balancer: Any = None
        self.decisions: list[tuple[float, str]] = []
        self._actions: dict[type, Callable[[Any], None]] = {
            i.Send: self._send, i.Cancel: self._cancel, i.Refuse: self._refuse, i.Fail: self._fail,
            i.Vote: self._vote, i.SetTimer: self._set_timer, i.Watch: self._watch, i.FetchList: self._fetch,
            i.TellPeer: self._tell_peer, i.CloseIdle: self._close_idle, i.LogLine: self._log,
            i.Probe: self._probe,
        }  # fmt: skip

    # Life

    def start(self) -> None:
        world = self.world
        self.lives += 1
        self.alive = True
        self.held: dict[int, Held] = {}
        self.owed = 0  # requests without their final answer
        self._known: set[int] = set()  # servers it was told of
        self.idle: dict[int, list[float]] = defaultdict(list)  # by server: when each stood idle, newest last
        self.open = 0  # connections to servers, idle or not
        self._free_at = world.clock.now
        self.balancer = world.make(self.settings, world.streams.number(f"gateway {self.number} {self.lives}"))
        world.record(Started(world.clock.now, self.number))
        self.tell(i.ServerList(i.ListKind.CACHED, 0, world.discovery.known()))
        self.hear(world.platform.news())
        world.platform.follow(self.number)
        if not world.fleet.discovery.must_ask:
            world.discovery.watch(self.number)

    def kill(self) -> None:
        world = self.world
        self.alive, self.died_at = False, world.clock.now
        world.record(Died(world.clock.now, self.number))
        world.discovery.forget(self.number)
        world.platform.forget(self.number)
        for held in self.held.values():
            if not held.over:
                world.clients.broke(held.request)
            held.over = True
            for attempt in list(held.out.values()):
                attempt.ended = True
                self._leave(attempt)
        for server, times in self.idle.items():
            world.close(server, len(times))
        self.held, self.idle = {}, defaultdict(list)

    def _this_life(self, call: Callable[[], None]) -> Callable[[], None]:
        """A call that only the life that set it hears."""
        life = self.lives

        def guarded() -> None:
            if self.alive and self.lives == life:
                call()

        return guarded

    # Events and actions

    def tell(self, event: i.Event) -> None:
        if isinstance(event, i.ServerList):
            self._book_list(event)
        for action in self.balancer.handle(self.world.clock.now, event):
            self._actions[type(action)](action)

    def _when_free(self, cost_ms: float, call: Callable[[], None]) -> None:
        """Its one thread does things in turn; each costs CPU."""
        if cost_ms <= 0:
            call()
            return
        cost = cost_ms / self.figures.cores
        self._free_at = max(self._free_at, self.world.clock.now) + cost
        self.busy_ms += cost
        self.world.clock.at(self._free_at, self._this_life(call))

    def _book_list(self, event: i.ServerList) -> None:
        if event.kind is i.ListKind.FAILED:
            return
        now, record = self.world.clock.now, self.world.record
        named = {e.server for e in event.entries}
        if event.kind is not i.ListKind.CHANGES:
            for server in sorted(self._known - named):
                record(Listed(now, self.number, server, "gone", 0))
            self._known = set()
        self._known |= named
        for e in event.entries:
            record(Listed(now, self.number, e.server, _STATES[e.state], e.build, e.cell, e.zone))  # type: ignore[arg-type]

    def hear(self, news: i.BuildNews) -> None:
        """News of the newest build, or the answer to a vote."""
        if news.result is i.Result.OK:
            phase = news.phase.name.lower()
            now = self.world.clock.now
            self.world.record(News(now, self.number, news.build, news.stage, phase, news.cap))  # type: ignore[arg-type]
        self.tell(news)

    # Requests

    def take(self, request: Try) -> None:
        """A request has come whole; with all slots in use nobody took it."""
        if self.owed >= self.client_slots:
            self.world.clients.broke(request)
            return
        now = self.world.clock.now
        ask = request.ask
        held = self.held[request.number] = Held(request, request.deadline)
        self.requests += 1
        self.owed += 1
        self.most_held = max(self.most_held, self.owed)
        self.world.record(Taken(now, self.number, request.number, ask.cls, ask.arrival.key, held.deadline))
        self.world.clock.at(held.deadline, self._this_life(partial(self._time_is_up, held)))
        self._when_free(self.figures.request_ms * INTAKE, partial(self._hand_on, held))

    def _hand_on(self, held: Held) -> None:
        if held.over:
            return
        ask = held.request.ask
        self.tell(
            i.Request(
                held.request.number, ask.cls, 0, ask.arrival.key, held.deadline, None, repeat=ask.tries > 1
            )
        )

    def _time_is_up(self, held: Held) -> None:
        for attempt in list(held.out.values()):
            self._end(attempt, i.Result.TIMEOUT if attempt.connected else i.Result.CONNECT_FAILED)
        slack = self.settings.rules.answer_slack_ms
        self.world.clock.after(slack + 1.0, self._this_life(partial(self._overdue, held)))

    def _overdue(self, held: Held) -> None:
        """The decisions left it unanswered. The gateway on sockets answers for them; here it is a breach."""
        if not held.over:
            self._over(held)
            self.tell(i.RequestGone(held.request.number))

    def _over(self, held: Held) -> None:
        held.over = True
        self.owed -= 1
        if not held.out:
            self.held.pop(held.request.number, None)

    def _answer(self, held: Held, answer: str, retry_after_ms: float) -> None:
        self._over(held)
        self.world.record(Answered(self.world.clock.now, self.number, held.request.number, answer))  # type: ignore[arg-type]
        self.world.clients.answer(held.request, answer, retry_after_ms)

    def _refuse(self, action: i.Refuse) -> None:
        held = self.held.get(action.request)
        if held is not None and not held.over:
            self._answer(held, "refused", action.retry_after_ms)

    def _fail(self, action: i.Fail) -> None:
        held = self.held.get(action.request)
        if held is not None and not held.over:
            self._answer(held, "failed", 0.0)

    # Attempts

    def _send(self, action: i.Send) -> None:
        held, world, now = self.held.get(action.request), self.world, self.world.clock.now
        if held is None:
            return
        n, held.tries = held.tries, held.tries + 1
        until = held.deadline if action.limit_ms == 0 else min(held.deadline, now + action.limit_ms)
        host = world.hosts.get(action.server)
        attempt = held.out[n] = Attempt(held, n, host, now, until)
        build = host.entry.build if host is not None else 0
        world.record(Sent(now, self.number, action.request, n, action.server, build))
        self.attempts += 1
        if host is not None:
            world.result.sent(now, host.entry.zone)
        if until < held.deadline:
            world.clock.at(until, self._this_life(partial(self._end, attempt, i.Result.TIMEOUT)))
        if host is None:
            self._end(attempt, i.Result.CONNECT_FAILED)
            return
        fresh = not self._reuse(action.server)
        if fresh and not self._make_room():
            self._end(attempt, i.Result.CONNECT_FAILED)
            return
        if fresh:
            self.open += 1
            self.most_open = max(self.most_open, self.open)
        attempt.connected = True
        world.travel(self, attempt, fresh)

    def _reuse(self, server: int) -> bool:
        times, oldest = self.idle[server], self.world.clock.now - self.world.fleet.rules.idle_ms * 0.9
        while times and times[0] < oldest:
            times.pop(0)
            self._closed(server)
        if times:
            times.pop()
            return True
        return False

    def _make_room(self) -> bool:
        if self.open < self.instance_slots:
            return True
        resting = [(times[0], server) for server, times in self.idle.items() if times]
        if not resting:
            return False
        _, server = min(resting)
        self.idle[server].pop(0)
        self._closed(server)
        return True

    def _closed(self, server: int) -> None:
        self.open -= 1
        self.world.close(server, 1)

    def _leave(self, attempt: Attempt) -> None:
        """An attempt given up closes its connection."""
        if attempt.connected:
            attempt.connected = False
            self.open -= 1
            if attempt.host is not None:
                self.world.close(attempt.host.entry.server, 1)
        self.world.drop(attempt)

    def arrived(self, attempt: Attempt, result: i.Result) -> None:
        """What came back on an attempt's connection, or that it broke."""
        if attempt.ended or not self.alive:
            return
        cost = 0.0 if result is i.Result.CONNECT_FAILED else self.figures.request_ms * (1 - INTAKE)
        self._when_free(cost, partial(self._end, attempt, result))

    def _end(self, attempt: Attempt, result: i.Result) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        now, held = self.world.clock.now, attempt.held
        held.out.pop(attempt.n, None)
        if held.over and not held.out:
            self.held.pop(held.request.number, None)
        if (
            result in (i.Result.OK, i.Result.ERROR, i.Result.FULL)
            and attempt.connected
            and attempt.host is not None
        ):
            attempt.connected = False
            self.idle[attempt.host.entry.server].append(now)
        else:
            self._leave(attempt)
        ran = result not in NEVER_RAN
        if result is i.Result.OK and not held.over:
            self._answer(held, "served", 0.0)
        self.world.record(Outcome(now, self.number, held.request.number, attempt.n, ran))
        server = attempt.host.entry.server if attempt.host is not None else -1
        self.tell(i.Outcome(held.request.number, attempt.n, server, result, now - attempt.sent, held.over))

    def _cancel(self, action: i.Cancel) -> None:
        held = self.held.get(action.request)
        attempt = held.out.get(action.attempt) if held is not None else None
        if attempt is not None:
            self._end(attempt, i.Result.CANCELLED)

    # The rest

    def _vote(self, vote: i.Vote) -> None:
        self.world.cast(self, vote)

    def _set_timer(self, action: i.SetTimer) -> None:
        self.world.clock.after(action.delay_ms, self._this_life(lambda: self.tell(i.Timer(action.token))))

    def _watch(self, action: i.Watch) -> None:
        if action.on:
            self.world.discovery.watch(self.number)
        else:
            self.world.discovery.forget(self.number)

    def _fetch(self, _: i.FetchList) -> None:
        self.world.discovery.fetch(self.number)

    def _tell_peer(self, action: i.TellPeer) -> None:
        self.world.datagram(self, action)

    def _close_idle(self, action: i.CloseIdle) -> None:
        for _ in range(len(self.idle[action.server])):
            self._closed(action.server)
        self.idle[action.server].clear()

    def _probe(self, action: i.Probe) -> None:
        self.tell(i.ProbeResult(action.server, i.Result.CONNECT_FAILED, 0.0))  # described fleets allow none

    def _log(self, action: i.LogLine) -> None:
        self.decisions.append((self.world.clock.now, action.text))
        self.world.event(f"gateway {self.number}: {action.text}")

    def summary(self, lasted_ms: float) -> GatewayResult:
        site = self.world.fleet.sites[self.site].name
        busy = self.busy_ms / lasted_ms if lasted_ms > 0 else math.nan
        return GatewayResult(
            self.number, site, self.requests, self.attempts, busy, self.most_open, self.most_held
        )
