"""One gateway of world A: a real balancer in a small host, which carries actions out as the gateway does."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, Protocol

from meadowpulley.balance import TICK
from meadowpulley.check.choices import ScriptError
from meadowpulley.check.decisions.forms import CHOICES, COPIER, FORMS, NAMELESS
from meadowpulley.check.graph import Walker, digest
from meadowpulley.check.monitors import Books
from meadowpulley.check.scenes import CLASSES, Scene
from meadowpulley.interface import (
    Action,
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Fail,
    FetchEndpoints,
    Outcome as AttemptOutcome,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    Send,
    SendGossip,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.rules import Answered, Gone, KeyAnswered, Listed, News, Outcome, Sent, Started, Taken

NEVER_RAN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


class Around(Protocol):
    """What a host sees of its world."""

    now: float
    scene: Scene
    lists: tuple[tuple[ServerEntry, ...], ...]

    def entry_at(self, version: int, server: int) -> ServerEntry | None: ...

    def say(self, who: str, whom: str, what: str) -> None: ...


class Out:
    """One attempt that is out."""

    def __init__(self, server: int, build: int, sent: float) -> None:
        self.server, self.build, self.sent = server, build, sent
        self.answered = False  # the server has answered; what it said is under way


class Asked:
    """A request in a host's table."""

    def __init__(self, kind: int, deadline: float) -> None:
        self.kind, self.deadline = kind, deadline
        self.tries = 0
        self.over = False
        self.out: dict[int, Out] = {}


class Host:
    """One gateway: a real balancer, and what it is owed and owes."""

    def __init__(self, number: int, settings: Settings, make: Callable[[Settings, int], Any]) -> None:
        self.number, self.settings, self.make = number, settings, make
        self.books = Books(number, settings)
        self.asked: dict[int, Asked] = {}
        self.last = 0
        self.known = -1  # the version of the list it knows
        self.news_due: tuple[RolloutUpdate, ...] = ()
        self.heard_of: tuple[int, ...] = ()  # places in the platform's history of the news it was told
        self.timers: list[float] = []
        self.votes: tuple[tuple[Vote, float], ...] = ()  # under way, and since when
        self.answers_due: list[tuple[float, RolloutUpdate]] = []  # what a lost vote ends with, and when
        self.datagrams: tuple[SendGossip, ...] = ()
        self.ghosts: tuple[
            tuple[int, int], ...
        ] = ()  # key and build of attempts given up that may be answered
        self.list_asked = False
        self.list_owed = False  # a call failed, and whoever must ask has not asked again
        self.cache: dict[Any, Any] = {}  # forms of this state, until it steps
        self.balancer: Any = None
        self._events: deque[Event] = deque()

    def begin(self, world: Around, version: int, news: RolloutUpdate) -> None:
        """A life: it knows a list and news, perhaps old ones."""
        self.balancer = self.make(self.settings, 0)
        self.balancer.rng = CHOICES
        self.books.see(Started(world.now, self.number))
        self.hear_list(world, version, EndpointUpdateKind.CACHED)
        self.hear_news(world, news)
        self.balancer.retries_left = world.scene.retries

    # Events in, actions out

    def tell(self, world: Around, event: Event) -> None:
        self._events.append(event)
        if len(self._events) > 1:
            return
        while self._events:
            try:
                actions = self.balancer.handle(world.now, self._events[0])
            except ScriptError:
                raise
            except Exception as error:
                self.books.fail("fault", world.now, f"{type(error).__name__}: {error}")
                self._events.clear()
                return
            for action in actions:
                self._carry_out(world, action)
            self._events.popleft()
        self._look(world)

    def _carry_out(self, world: Around, action: Action) -> None:
        if isinstance(action, Send):
            self._send(world, action)
        elif isinstance(action, Reject | Fail):
            self._answer(world, action.request, "refused" if isinstance(action, Reject) else "failed")
        elif isinstance(action, Cancel):
            asked = self.asked.get(action.request)
            if asked is not None and action.attempt in asked.out:
                self.end(world, action.request, action.attempt, Result.CANCELLED)
        elif isinstance(action, SetTimer):
            at = world.now + max(action.delay_ms, 0.0)
            if at not in self.timers:
                self.timers.append(at)
                self.timers.sort()
        elif isinstance(action, Vote):
            self.votes = (*self.votes, (action, world.now))
            world.say(f"gateway {self.number}", "platform", f"votes {action.verdict.name.lower()}")
        elif isinstance(action, Watch | FetchEndpoints):
            self.list_asked, self.list_owed = True, False
        elif isinstance(action, SendGossip):
            self.datagrams = (*self.datagrams, action)

    def _look(self, world: Around) -> None:
        """What must hold between events."""
        waits = [r for r, a in self.asked.items() if not a.over and not a.out]
        if waits and not self.timers:
            self.books.fail("timers", world.now, f"request {waits[0]} waits and no timer is set")
        if self.list_owed and not self.timers:
            self.books.fail("timers", world.now, "a list call has failed, and nothing will ask again")
        if all(a.over and not a.out for a in self.asked.values()):
            b = self.balancer
            busy = [s.id for s in b.servers.values() if s.out]
            waiting = b.waiting and not self.timers  # one that left is forgotten at the next tick
            if b.held or waiting or b.attempts or busy:
                text = f"{len(b.held)} requests, {len(b.waiting)} waiting, {len(b.attempts)} attempts"
                self.books.fail("leftovers", world.now, f"all is over, and it holds {text}; busy {busy}")

    # Requests and attempts

    def ask(self, world: Around, kind: int) -> None:
        cls, key = world.scene.kinds[kind]
        self.last += 1
        deadline = world.now + CLASSES[cls].deadline_ms
        self.asked[self.last] = Asked(kind, deadline)
        self.books.see(Taken(world.now, self.number, self.last, cls, key, deadline))
        self.tell(world, Request(self.last, cls, 0, key, deadline))

    def _send(self, world: Around, action: Send) -> None:
        asked = self.asked.get(action.request)
        entry = world.entry_at(self.known, action.server)
        build = entry.build if entry is not None else -1
        tries = asked.tries if asked is not None else 0
        self.books.see(Sent(world.now, self.number, action.request, tries, action.server, build))
        copies = asked is not None and bool(asked.out)
        late = asked is not None and world.now >= asked.deadline
        self.books.sent(world.now, action.server, entry, copies, tries, late)
        world.say(f"gateway {self.number}", f"server {action.server}", f"request {action.request}")
        if asked is None or asked.over:
            return
        asked.tries += 1
        asked.out[tries] = Out(action.server, build, world.now)

    def _answer(self, world: Around, request: int, answer: str) -> None:
        asked = self.asked.get(request)
        self.books.see(Answered(world.now, self.number, request, answer))  # type: ignore[arg-type]
        world.say(f"gateway {self.number}", "clients", f"request {request} {answer}")
        if asked is not None and not asked.over:
            asked.over = True
            self._tidy(request)

    def _tidy(self, request: int) -> None:
        asked = self.asked.get(request)
        if asked is not None and asked.over and not asked.out:
            del self.asked[request]

    def end(self, world: Around, request: int, attempt: int, result: Result) -> None:
        """The one outcome of an attempt."""
        asked = self.asked[request]
        out = asked.out.pop(attempt)
        cls, key = world.scene.kinds[asked.kind]
        ran = result not in NEVER_RAN
        if result is Result.OK and not out.answered and key:
            self.books.see(KeyAnswered(world.now, self.number, key, out.build))
        if ran:
            self.books.ran(world.now, request, cls)
        if result not in (Result.OK, Result.ERROR) and ran and key and not out.answered:
            self.ghosts = tuple(sorted({*self.ghosts, (key, out.build)}))
        if result is Result.OK and not asked.over:
            self._answer(world, request, "served")
        over = asked.over
        self.books.see(Outcome(world.now, self.number, request, attempt, ran))
        self._tidy(request)
        elapsed = world.now - out.sent
        self.tell(world, AttemptOutcome(request, attempt, out.server, result, elapsed, over))

    def leave(self, world: Around, request: int) -> None:
        self.books.see(Gone(world.now, self.number, request))
        self.asked[request].over = True
        self._tidy(request)
        self.tell(world, ClientDisconnected(request))

    # The list and the news

    def hear_list(self, world: Around, version: int, kind: EndpointUpdateKind) -> None:
        before = world.lists[self.known] if self.known >= 0 and kind is not EndpointUpdateKind.CACHED else ()
        entries = world.lists[version]
        there = {e.server for e in entries}
        self.known, self.list_asked, self.list_owed = version, False, False
        gone = [e for e in before if e.server not in there]
        for e in gone:
            self.books.see(Listed(world.now, self.number, e.server, "gone", 0))
        for e in entries:
            state = e.state.name.lower()
            self.books.see(Listed(world.now, self.number, e.server, state, e.build))  # type: ignore[arg-type]
        if kind is EndpointUpdateKind.INCREMENTAL:
            changed = [e for e in entries if e not in before]
            left = [replace(e, state=ServerState.REMOVED) for e in gone]
            entries = (*changed, *left)
        self.tell(world, EndpointUpdate(kind, version, entries))

    def hear_news(self, world: Around, news: RolloutUpdate) -> None:
        if news.result is Result.OK:
            phase = news.phase.name.lower()
            self.books.see(News(world.now, self.number, news.build, news.stage, phase, news.cap))  # type: ignore[arg-type]
        self.tell(world, news)

    # Time

    def next_due(self) -> float:
        found = [*self.timers[:1], *(at for at, _ in self.answers_due)]
        slack = self.settings.rules.response_slack_ms
        for asked in self.asked.values():
            if asked.out:
                found.append(asked.deadline)
            if not asked.over:
                found.append(asked.deadline + slack)
        return min(found, default=math.inf)

    def last_due(self) -> float:
        """By when all that is owed is over; 0 where nothing is."""
        slack = self.settings.rules.response_slack_ms
        waits = [a.deadline + slack for a in self.asked.values()]
        return max([*waits, *(at for at, _ in self.answers_due), *self.timers[:1]], default=0.0)

    def run_due(self, world: Around) -> None:
        """What is due now: attempts end at their request's deadline, then timers, then what is overdue."""
        now, slack = world.now, self.settings.rules.response_slack_ms
        for request, asked in list(self.asked.items()):
            if asked.out and asked.deadline <= now:
                for attempt in list(asked.out):
                    if request in self.asked and attempt in asked.out:
                        self.end(world, request, attempt, Result.TIMEOUT)
        for at, news in [a for a in self.answers_due if a[0] <= now]:
            self.answers_due.remove((at, news))
            self.tell(world, news)
        if self.timers and self.timers[0] <= now:
            self.timers.pop(0)
            self.tell(world, Timer(TICK))
        for request, asked in list(self.asked.items()):
            if not asked.over and asked.deadline + slack <= now and not self.timers_due(now):
                self.books.fail("answers", now, f"request {request} got no answer by its deadline")
                asked.over = True
                self._tidy(request)

    def timers_due(self, now: float) -> bool:
        return bool(self.timers) and self.timers[0] <= now

    def copy(self) -> Host:
        memo: dict[int, Any] = {}
        new: Host = Host.__new__(Host)
        for name, value in self.__dict__.items():
            shared = name in ("settings", "make")
            new.__dict__[name] = value if shared else COPIER.copy(value, memo) if name != "cache" else {}
        return new

    def form(self, names: dict[int, int]) -> Any:
        """The state of this gateway, with servers renamed."""
        walker = Walker(FORMS, names)
        return (
            walker.walk(self.balancer),
            walker.walk(self.books),
            walker.walk(self.asked),
            self.known,
            walker.walk(self.news_due),
            tuple(self.timers),
            walker.walk(self.votes),
            walker.walk(self.answers_due),
            walker.walk(self.datagrams),
            self.ghosts,
            self.list_asked,
            self.list_owed,
        )

    def mark(self, names: dict[int, int]) -> int:
        """64 bits of the form."""
        key = tuple(names.items())
        if key not in self.cache:
            self.cache[key] = digest(self.form(names))
        return int(self.cache[key])

    def server_marks(self, numbers: Sequence[int]) -> tuple[int, ...]:
        """What this gateway knows and holds of each server, the number apart."""
        found = self.cache.get("servers")
        if found is None or len(found) != len(numbers):
            found = self.cache["servers"] = tuple(self._server_mark(n) for n in numbers)
        return found

    def _server_mark(self, number: int) -> int:
        server = Walker(NAMELESS, {number: 0}).walk(self.balancer.servers.get(number))
        outs = [(r, n, o.sent) for r, a in self.asked.items() for n, o in a.out.items() if o.server == number]
        held = self.balancer.held.items()
        tried = [(r, h.tried.index(number)) for r, h in held if number in h.tried]
        return digest((server, tuple(sorted(outs)), tuple(sorted(tried))))
