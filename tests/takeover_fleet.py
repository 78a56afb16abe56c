"""A tiny fleet for the takeover's tests: stages over scripted decisions, one ledger in memory, virtual time.

Every gateway has its own clock. Instances answer after `takes_ms`, and note each run of an effect.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    Limits,
    LogLine,
    Outcome,
    Reject,
    Request,
    Result,
    Rollout,
    Rules,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    Tenant,
    Timer,
)
from meadowpulley.ledger import (
    Changed,
    Commit,
    Committed,
    Done,
    How,
    Keeper,
    MemoryStore,
    Replace,
    Step,
    Terms as Lease,
    Watched,
)
from meadowpulley.settings_types import DeduplicationScope, Effect, RequestClass
from meadowpulley.takeover import (
    OWNER,
    WATCHED,
    Adopt,
    AnswerReady,
    Drop,
    Pass,
    Placed,
    Taken,
    Takeover,
    Terms,
    Written,
)

TERM = 1000.0
LOOK = 20.0
NEVER_RAN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
CLASSES = (
    RequestClass("read", 200.0, 4000.0, Effect.IDEMPOTENT),
    RequestClass("order", 200.0, 4000.0, Effect.IDEMPOTENT_WITH_KEY, DeduplicationScope.ZONE, 3500.0, 2.0),
    RequestClass("pay", 200.0, 6000.0, Effect.NON_IDEMPOTENT, priority_weight=3.0),
)
READ, ORDER, PAY = range(3)
SETTINGS = Settings(
    0,
    3,
    0,
    ("z",),
    10.0,
    CLASSES,
    (Tenant("t"),),
    Rules(response_slack_ms=50.0),
    Limits(max_attempts=3),
    Rollout(),
)


class Decisions:
    """Sends each request to server 1, again where what is proven allows it, three times at most."""

    def __init__(self) -> None:
        self.held: dict[int, Request] = {}
        self.maybe: dict[int, dict[int, float]] = {}
        self.tries: Counter[int] = Counter()
        self.seen: list[Request] = []
        self.waits = self.refuses = False  # finds no server for now; has no room
        self.now = 0.0

    def handle(self, now: float, event: Any) -> list[Any]:
        self.now = now
        if isinstance(event, Request):
            if self.refuses:
                return [Reject(event.request)]
            self.held[event.request] = event
            self.seen.append(event)
            self.tries[event.request] = event.prior_attempt_count
            self.maybe[event.request] = {-1 - n: t.sent_ms for n, t in enumerate(event.prior_attempts)}
            return [] if self.waits else self._next(event)
        if isinstance(event, Outcome):
            if event.result in NEVER_RAN:
                del self.maybe[event.request][event.attempt]
            if event.request_complete:
                self.held.pop(event.request, None)
            elif event.request in self.held:
                return self._next(self.held[event.request])
        elif isinstance(event, ClientDisconnected) and event.request in self.held:
            del self.held[event.request]
            return [Cancel(event.request, n) for n in self.maybe[event.request] if n >= 0]
        return []

    def _next(self, r: Request) -> list[Any]:
        cls, maybe = CLASSES[r.class_index], self.maybe[r.request]
        late = any(self.now - sent >= cls.deduplication_window_ms for sent in maybe.values())
        barred = maybe and (
            cls.effect is Effect.NON_IDEMPOTENT or (cls.effect is Effect.IDEMPOTENT_WITH_KEY and late)
        )
        if barred or self.tries[r.request] >= 3:
            del self.held[r.request]
            return [Fail(r.request) if maybe else Reject(r.request, 100.0)]
        maybe[self.tries[r.request] - r.prior_attempt_count] = self.now  # each life numbers its own from 0
        self.tries[r.request] += 1
        return [Send(r.request, 1)]


class Gateway:
    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name, self.offset = fleet, name, 1e5 * (len(fleet.gateways) + 1)
        self.life = fleet.store.begin(name, TERM)
        self.decisions = Decisions()
        self.keeper = Keeper(self.life, Lease(term_ms=TERM), self.decisions)
        self.stage = Takeover(SETTINGS, self.decisions, self.life, self.keeper.may_act, fleet.terms)
        self.keeper.inner = self.stage
        self.up, self.asleep, self.version, self.requests = True, False, 0, 0
        self.missed: list[Callable[[], None]] = []
        self.watched: tuple[str, ...] | None = ()
        self.held: dict[int, tuple[str, int, float]] = {}  # name, class, deadline
        self.tries: Counter[int] = Counter()
        self.said: dict[str, list[str]] = {}  # by name, what its clients were answered
        self.lines: list[str] = []
        self.adopted: set[int] = set()
        self.over: set[int] = set()
        self.trouble: str = ""  # "unheard": carried out, answer lost; "cut": not even that; "slow"
        self.before: Callable[[Any], None] = lambda action: None  # called before each action
        self.do(self.keeper.start(self.now))
        self.tell(
            EndpointUpdate(
                EndpointUpdateKind.FULL, 1, (ServerEntry(1, 0, 0, ServerState.READY, 7, 0, 0, 1.0),)
            )
        )
        self.look()

    @property
    def now(self) -> float:
        return self.fleet.now + self.offset

    def tell(self, event: Any) -> None:
        self.do(self.keeper.handle(self.now, event))

    def do(self, actions: list[Any]) -> None:
        for action in actions:
            self.before(action)
            if self.up:
                self.later(0.0, partial(self.act, action)) if self.asleep else self.act(action)

    def later(self, ms: float, call: Callable[[], None]) -> None:
        def due() -> None:
            if self.up:
                self.missed.append(call) if self.asleep else call()

        self.fleet.at(self.fleet.now + ms, due)

    def wake(self) -> None:
        self.asleep, missed, self.missed = False, self.missed, []
        for call in missed:
            call()

    def look(self) -> None:
        if self.trouble != "cut":
            changes = self.fleet.store.changes(self.version, WATCHED, self.watched)
            self.version = changes.version
            self.tell(Changed(changes, self.now))
        self.later(LOOK, self.look)

    def act(self, a: Any) -> None:
        if isinstance(a, SetTimer):
            self.later(a.delay_ms, lambda: self.tell(Timer(a.token)))
        elif isinstance(a, Watched):
            self.watched = a.names
        elif isinstance(a, Commit):
            takes = 400.0 if self.trouble == "slow" else 1.0  # one asked for later may be carried out before
            self.fleet.at(self.fleet.now + takes, lambda: self.commit(a))
        elif isinstance(a, Send):
            n, self.tries[a.request] = self.tries[a.request], self.tries[a.request] + 1
            name, cls, _ = self.held[a.request]
            self.fleet.sent.setdefault(name, []).append(self.fleet.now)
            self.fleet.run(self, a.request, n, name, cls)
        elif isinstance(a, Adopt):
            self.requests += 1
            self.held[self.requests] = (a.name, a.cls, a.deadline_ms)
            self.adopted.add(self.requests)
            self.fleet.adopted.append((self.name, a.name))
            self.tell(Placed(a.name, self.requests))
        elif isinstance(a, Pass | Reject | Fail):
            name, _, _ = self.held[a.request]
            word = f"{a.status} {a.body.decode()}" if isinstance(a, Pass) else type(a).__name__
            if a.request not in self.adopted:
                self.said.setdefault(name, []).append(word)
            assert a.request not in self.over, "answered twice"
            self.over.add(a.request)
        elif isinstance(a, LogLine):
            self.lines.append(a.text)
        elif isinstance(a, Cancel):
            self.fleet.cancelled.append((self.held[a.request][0], a.attempt))
        else:
            assert isinstance(a, Drop), a

    def commit(self, a: Commit) -> None:
        mine = a.owner == OWNER  # the trouble is of this stage's commits, unless it is cut off
        if self.trouble == "cut":
            done = [Done(How.UNKNOWN)] * len(a.steps)
        else:
            done = self.fleet.store.commit(self.life, a.steps)
            self.fleet.steps[a.owner] += len(a.steps)
            for step in [step for step, d in zip(a.steps, done, strict=True) if d.how is How.WON]:
                self.fleet.won(self, step)
            claims = [isinstance(s.writes[0], Replace) for s in a.steps]
            self.fleet.lost += sum(c and d.how is How.LOST for c, d in zip(claims, done, strict=True))
            if self.trouble == "unheard" and mine:
                done = [Done(How.UNKNOWN)] * len(a.steps)
        self.later(1.0, lambda: self.tell(Committed(a.ticket, tuple(done), a.owner)))

    def ask(self, name: str, cls: int, body: bytes = b"b", left: float = 4000.0, repeat: bool = False) -> int:
        self.requests += 1
        request = Request(self.requests, cls, 0, 5, self.now + left, client_retry=repeat)
        self.held[self.requests] = (name, cls, self.now + left)
        self.tell(Taken(request, name, "POST", f"/{CLASSES[cls].name}", (), body))
        return self.requests


class Fleet:
    def __init__(self, names: str = "abc", **terms: Any) -> None:
        self.now, self.calls, self.numbers = 0.0, list[tuple[float, int, Callable[[], None]]](), 0
        self.store, self.terms = MemoryStore(), replace(Terms(written=Written.ALL), **terms)
        self.ran: Counter[str] = Counter()  # runs of each effect
        self.sent: dict[str, list[float]] = {}  # when its attempts went out
        self.cancelled: list[tuple[str, int]] = []
        self.steps: Counter[str] = Counter()
        self.won: Callable[[Gateway, Step], None] = lambda gateway, step: None  # told of each step won
        self.lost = 0  # records that had changed when they were to be replaced
        self.adopted: list[tuple[str, str]] = []
        self.takes_ms = 30.0
        self.answers = [Result.OK]  # each attempt's in turn, the last again and again
        self.gateways: dict[str, Gateway] = {}
        for name in names:
            self.gateways[name] = Gateway(self, name)
        self.go(300.0)

    def __getitem__(self, name: str) -> Gateway:
        return self.gateways[name]

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.numbers += 1
        heapq.heappush(self.calls, (when, self.numbers, call))

    def go(self, ms: float) -> Fleet:
        until = self.now + ms
        while self.calls and self.calls[0][0] <= until:
            self.now, _, call = heapq.heappop(self.calls)
            call()
        self.now = until
        return self

    def kill(self, name: str) -> None:
        self[name].up = False

    def pause(self, name: str, ms: float) -> None:
        self[name].asleep = True
        self.at(self.now + ms, self[name].wake)

    def run(self, gateway: Gateway, request: int, n: int, name: str, cls: int) -> None:
        """An attempt arrives at the instance; its end is told if its gateway still lives."""
        result = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        self.ran[name] += result not in NEVER_RAN
        answer = f"run {self.ran[name]}".encode()

        def end() -> None:
            served = result is Result.OK
            if served:
                gateway.tell(AnswerReady(request, 200, (), answer))
            gateway.tell(Outcome(request, n, 1, result, self.takes_ms, request_complete=served))

        gateway.later(self.takes_ms, end)

    def said(self, name: str) -> list[str]:
        """What the clients of that id were answered, at whichever gateway."""
        return [word for g in self.gateways.values() for word in g.said.get(name, [])]

    def records(self, prefix: str = "takeover/") -> list[str]:
        return [r.key for r in self.store.scan(prefix)]


def stop_at(fleet: Fleet, kind: type, skip: int, stop: Callable[[], None], name: str = "a") -> None:
    """Calls `stop` right before that gateway's action of that kind (a commit: of takeover's), once `skip` of
    them have passed."""
    left = [skip]

    def before(action: Any) -> None:
        if isinstance(action, kind) and getattr(action, "owner", OWNER) == OWNER:
            left[0] -= 1
            if left[0] == -1:
                stop()

    fleet[name].before = before
