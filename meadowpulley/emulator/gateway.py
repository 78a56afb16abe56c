"""Hosts one real `Balancer`, as the gateway on sockets does: events in, actions out, one at a time.

What the gateway itself costs is here too: CPU of a request, connections to servers, slots for requests.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Any

from meadowpulley.emulator.clients import Try
from meadowpulley.emulator.connections import Connections
from meadowpulley.emulator.failpoints import StepName
from meadowpulley.emulator.held import KEPT, NEVER_RAN, Attempt, Held, list_records
from meadowpulley.emulator.ledger import Port
from meadowpulley.emulator.process import Process
from meadowpulley.emulator.results import GatewayResult
from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    FetchEndpoints,
    LogLine,
    Outcome as AttemptOutcome,
    Probe,
    ProbeResult,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    Send,
    SendGossip,
    SetTimer,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.ledger import Commit, LedgerError, Life, Scan, Watched
from meadowpulley.rules import (
    Answered,
    Died,
    Gone,
    News,
    Outcome,
    Sent,
    Started,
    Stopped,
    Taken,
    Woke,
)

if TYPE_CHECKING:
    from meadowpulley.emulator.world import World

INTAKE = 0.6  # of a request's CPU, the rest is spent on its attempt's answer


class Gateway(Process):
    """One gateway of the emulated fleet, by its number; `start` and `kill` bound its lives."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__(world.clock)
        self.world, self.number = world, number
        self.figures = world.fleet.gateway_figures()[number]
        self.site = world.fleet.gateway_sites()[number]
        self.settings = world.settings_of(number)
        free = self.figures.descriptors - self.figures.kept_back
        self.client_slots = max(int(free * self.figures.client_part), 1)
        self.instance_slots = max(free - self.client_slots, 1)
        self.requests = self.attempts = self.most_open = self.most_held = 0
        self.busy_ms = 0.0
        self.leaving = False  # told to stop: the front hands it no more clients
        self.balancer: Any = None  # or the outermost stage round it
        self.life: Life | None = None  # in the ledger, where the fleet shares one
        self.port: Port | None = None
        self.decisions: list[tuple[float, str]] = []
        self._actions: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Cancel: self._cancel,
            Reject: self._refuse,
            Fail: self._fail,
            Vote: self._vote,
            SetTimer: self._set_timer,
            Watch: self._watch,
            FetchEndpoints: self._fetch,
            SendGossip: self._tell_peer,
            CloseIdleConnections: self._close_idle,
            LogLine: self._log,
            Probe: self._probe,
            Commit: self._commit,
            Watched: self._watched,
            Scan: self._scan,
        }

    # Life

    def start(self) -> None:
        world = self.world
        if world.ledger is not None:
            try:
                self.life = world.ledger.begin(self.number)
            except LedgerError as error:  # it ends with that line, and whoever runs it starts it again
                world.event(f"gateway {self.number}: {error}")
                world.clock.after(world.ledger.figures.begin_again_ms, self._start_again)
                return
        self.begin_life()
        self.leaving = False
        self.held: dict[int, Held] = {}
        self.owed = 0  # requests without their final answer
        self._known: set[int] = set()  # servers it was told of
        self._builds: dict[int, int] = {}  # and their builds, also of those that are gone unheard
        self.connections = Connections(self.instance_slots, world.fleet.rules.idle_ms, world.close)
        self._free_at = world.clock.now
        seed = world.streams.number(f"gateway {self.number} {self.lives}")
        self.balancer, first = world.make_stage(self, seed)
        world.record(Started(world.clock.now, self.number))
        self.in_turn(first, self.act)
        self.tell(EndpointUpdate(EndpointUpdateKind.CACHED, 0, world.discovery.known()))
        self.hear(world.platform.news())
        world.platform.follow(self.number)
        if not world.fleet.discovery.must_ask:
            world.discovery.watch(self.number)

    def _start_again(self) -> None:
        if not self.alive:
            self.start()

    def kill(self) -> None:
        if not self.alive:
            return
        world = self.world
        self.end_life()
        world.record(Died(world.clock.now, self.number))
        world.discovery.forget(self.number)
        world.platform.forget(self.number)
        if world.ledger is not None and self.life is not None:
            world.ledger.died(self.life)
        for held in self.held.values():
            if not held.over:
                world.clients.broke(held.request)
            held.over = True
            for attempt in list(held.out.values()):
                attempt.ended = True
                self._leave(attempt)
        self.connections.close_all_idle()
        self.held = {}

    def stop(self, grace_ms: float) -> None:
        """A planned stop: the front is told at once, and what is not over within the grace is lost."""
        self.leaving = True
        self.clock.after(grace_ms, self.this_life(self.kill))

    def pause(self) -> None:
        if self.alive and not self.paused:
            self.world.record(Stopped(self.clock.now, self.number))
        super().pause()

    def wake(self) -> None:
        if self.paused:
            self.world.record(Woke(self.clock.now, self.number))
        super().wake()
        for held in [h for h in self.held.values() if not h.over and h.request.answered]:
            self._left(held)

    def client_left(self, request: Try) -> None:
        """The client has closed its connection."""
        held = self.held.get(request.number)
        if held is not None and not self.held_up(partial(self.client_left, request)):
            self._left(held)

    def _left(self, held: Held) -> None:
        """Its client is no longer there."""
        if not held.over:
            self._over(held)
            self.world.record(Gone(self.clock.now, self.number, held.request.number))
            self.tell(ClientDisconnected(held.request.number))

    # Events and actions

    def tell(self, event: Any) -> None:
        if self.held_up(partial(self.tell, event)):
            return
        if isinstance(event, EndpointUpdate):
            self.book_list(event)
            self._builds |= {e.server: e.build for e in event.entries}
        self.in_turn(self.balancer.handle(self.clock.now, event), self.act)

    def act(self, action: Any) -> None:
        self._actions[type(action)](action)

    def _when_free(self, cost_ms: float, call: Callable[[], None]) -> None:
        """Its one thread does things in turn; each costs CPU."""
        if cost_ms <= 0:
            call()
            return
        cost = cost_ms / self.figures.cores
        self._free_at = max(self._free_at, self.world.clock.now) + cost
        self.busy_ms += cost
        self.world.clock.at(self._free_at, self.this_life(call))

    def book_list(self, event: EndpointUpdate) -> None:
        """What this gateway was told of servers, or counts as told though it did not hear it."""
        if event.kind not in (EndpointUpdateKind.FAILED, EndpointUpdateKind.TIMED_OUT):
            for record in list_records(self.clock.now, self.number, self._known, event):
                self.world.record(record)

    def hear(self, news: RolloutUpdate) -> None:
        """News of the newest build, or the answer to a vote."""
        if self.held_up(partial(self.hear, news)):
            return
        if news.result is Result.OK:
            phase = news.phase.name.lower()
            now = self.world.clock.now
            self.world.record(News(now, self.number, news.build, news.stage, phase, news.cap))  # type: ignore[arg-type]
        self.tell(news)

    # Requests

    def take(self, request: Try) -> None:
        """A request has come whole; with all slots in use nobody took it."""
        if self.held_up(partial(self._take_late, request)):
            return
        if self.owed >= self.client_slots:
            self.world.clients.broke(request)
            return
        now = self.world.clock.now
        ask = request.ask
        held = self.held[request.number] = Held(request, request.deadline)
        self.requests += 1
        self.owed += 1
        self.most_held = max(self.most_held, self.owed)
        self.world.record(
            Taken(now, self.number, request.number, ask.cls, ask.arrival.key, held.deadline, request.name)
        )
        self.world.clock.at(held.deadline, self.this_life(partial(self._time_is_up, held)))
        self._when_free(self.figures.request_ms * INTAKE, partial(self._hand_on, held))

    def _take_late(self, request: Try) -> None:
        if not request.answered:  # else the client has left
            self.take(request)

    def _hand_on(self, held: Held) -> None:
        if held.over or self.stopped_at("take", partial(self._hand_on, held)):
            return
        self.tell(self._event_of(held))

    def _event_of(self, held: Held) -> Any:
        ask, number = held.request.ask, held.request.number
        tenant = self.world.tenant_of(ask.arrival.key)
        return Request(
            number, ask.cls, tenant, ask.arrival.key, held.deadline, None, client_retry=ask.tries > 1
        )

    def _time_is_up(self, held: Held) -> None:
        for attempt in list(held.out.values()):
            self._end(attempt, Result.TIMEOUT if attempt.connected else Result.CONNECT_FAILED)
        slack = self.settings.rules.response_slack_ms
        self.world.clock.after(slack + 1.0, self.this_life(partial(self._overdue, held)))

    def _overdue(self, held: Held) -> None:
        """The decisions left it unanswered. The gateway on sockets answers for them; here it is a breach."""
        if not held.over:
            self._over(held)
            self.tell(ClientDisconnected(held.request.number))

    def stopped_at(self, step: StepName, call: Callable[[], None]) -> bool:
        """A named step is reached, and a fault that was set there stops it: a pause only puts it off."""
        self.world.failpoints.reached(self, step)
        if self.alive and self.paused:
            self._unfinished.append(call)
        return self.paused or not self.alive

    def _over(self, held: Held) -> None:
        held.over = True
        self.owed -= 1
        if not held.out:
            self.held.pop(held.request.number, None)

    def _serve(self, attempt: Attempt) -> None:
        """A good answer has come, the first of its request."""
        self._answer(attempt.held, "served", 0.0)

    def _answer(self, held: Held, answer: str, retry_after_ms: float, content: str = "") -> None:
        self._over(held)
        number = held.request.number
        self.world.record(Answered(self.clock.now, self.number, number, answer, content))  # type: ignore[arg-type]
        self.world.clients.answer(held.request, answer, retry_after_ms)
        self.world.failpoints.reached(self, "answered")

    def _refuse(self, action: Reject) -> None:
        held = self.held.get(action.request)
        if held is None or held.over or self.stopped_at("answer", partial(self._refuse, action)):
            return
        self._answer(held, "refused", action.retry_after_ms)

    def _fail(self, action: Fail) -> None:
        held = self.held.get(action.request)
        if held is None or held.over or self.stopped_at("answer", partial(self._fail, action)):
            return
        self._answer(held, "failed", 0.0)

    # Attempts

    def _send(self, action: Send) -> None:
        held, world = self.held.get(action.request), self.world
        if held is None or self.stopped_at("send", partial(self._send, action)):
            return
        now = self.clock.now
        n, held.tries = held.tries, held.tries + 1
        until = held.deadline if action.timeout_ms == 0 else min(held.deadline, now + action.timeout_ms)
        host = world.hosts.get(action.server)
        attempt = held.out[n] = Attempt(held, n, host, now, until)
        build = host.entry.build if host is not None else self._builds.get(action.server, 0)
        world.record(Sent(now, self.number, action.request, n, action.server, build))
        self.attempts += 1
        if host is not None:
            world.result.sent(now, host.entry.zone)
        if until < held.deadline:
            world.clock.at(until, self.this_life(partial(self._end, attempt, Result.TIMEOUT)))
        if host is None:
            self._end(attempt, Result.CONNECT_FAILED)
            return
        connections = self.connections
        fresh = not connections.reuse(now, action.server)
        if fresh and not connections.make_room():
            self._end(attempt, Result.CONNECT_FAILED)
            return
        if fresh:
            connections.open += 1
            self.most_open = max(self.most_open, connections.open)
        attempt.connected = True
        world.travel(self, attempt, fresh)
        world.failpoints.reached(self, "sent")

    def _leave(self, attempt: Attempt) -> None:
        """An attempt given up closes its connection."""
        if attempt.connected:
            attempt.connected = False
            if attempt.host is not None:
                self.connections.close(attempt.host.entry.server)
        self.world.drop(attempt)

    def arrived(self, attempt: Attempt, result: Result) -> None:
        """What came back on an attempt's connection, or that it broke."""
        if attempt.ended or self.held_up(partial(self.arrived, attempt, result)):
            return
        cost = 0.0 if result is Result.CONNECT_FAILED else self.figures.request_ms * (1 - INTAKE)
        self._when_free(cost, partial(self._end, attempt, result))

    def _end(self, attempt: Attempt, result: Result) -> None:
        again = partial(self._end, attempt, result)
        if attempt.ended or self.stopped_at("outcome", again):
            return
        if result is Result.OK and not attempt.held.over and self.stopped_at("answer", again):
            return
        attempt.ended = True
        now, held = self.clock.now, attempt.held
        held.out.pop(attempt.n, None)
        if held.over and not held.out:
            self.held.pop(held.request.number, None)
        if result in KEPT and attempt.connected and attempt.host is not None:
            attempt.connected = False
            self.connections.keep(now, attempt.host.entry.server)
        else:
            self._leave(attempt)
        ran = result not in NEVER_RAN
        if result is Result.OK and not held.over:
            self._serve(attempt)
        self.world.record(Outcome(now, self.number, held.request.number, attempt.n, ran))
        server = attempt.host.entry.server if attempt.host is not None else -1
        over = held.over or result is Result.OK
        self.tell(AttemptOutcome(held.request.number, attempt.n, server, result, now - attempt.sent, over))

    def _cancel(self, action: Cancel) -> None:
        held = self.held.get(action.request)
        attempt = held.out.get(action.attempt) if held is not None else None
        if attempt is not None:
            self._end(attempt, Result.CANCELLED)

    # The rest

    def _vote(self, vote: Vote) -> None:
        self.world.cast(self, vote)

    def _set_timer(self, action: SetTimer) -> None:
        self.world.clock.after(action.delay_ms, self.this_life(lambda: self.tell(Timer(action.token))))

    def _watch(self, action: Watch) -> None:
        if action.enabled:
            self.world.discovery.watch(self.number)
        else:
            self.world.discovery.forget(self.number)

    def _fetch(self, _: FetchEndpoints) -> None:
        self.world.discovery.fetch(self.number)

    def _tell_peer(self, action: SendGossip) -> None:
        self.world.datagram(self, action)

    def _close_idle(self, action: CloseIdleConnections) -> None:
        self.connections.close_idle(action.server)

    def _commit(self, action: Commit) -> None:
        if self.port is not None:
            self.port.ask(action)

    def _scan(self, action: Scan) -> None:
        if self.port is not None:
            self.port.scan(action)

    def _watched(self, action: Watched) -> None:
        if self.port is not None:
            self.port.watched = action.names

    def _probe(self, action: Probe) -> None:
        self.tell(ProbeResult(action.server, Result.CONNECT_FAILED, 0.0))  # described fleets allow none

    def _log(self, action: LogLine) -> None:
        self.decisions.append((self.world.clock.now, action.text))
        self.world.event(f"gateway {self.number}: {action.text}")

    def summary(self, lasted_ms: float) -> GatewayResult:
        site = self.world.fleet.sites[self.site].name
        busy = self.busy_ms / lasted_ms if lasted_ms > 0 else math.nan
        return GatewayResult(
            self.number, site, self.requests, self.attempts, busy, self.most_open, self.most_held
        )
