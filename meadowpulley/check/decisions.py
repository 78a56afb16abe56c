"""World A: real `Balancer`s behind small hosts, and every order of what may happen around them.

A host carries actions out as the gateway does: events are handled one at a time, an attempt has one
outcome, a request's time ends at its deadline. Discovery, the platform, servers and clients are reduced to
the steps that they may take; when they take them is what is explored. Time stands still within a moment and
moves only by a step, through all timers on its way.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from typing import Any

from meadowpulley import interface as i
from meadowpulley.balance import TICK, Balancer
from meadowpulley.check.choices import Choices, ScriptError
from meadowpulley.check.graph import Copier, Forms, Walker, digest
from meadowpulley.check.monitors import Books
from meadowpulley.check.properties import Broken
from meadowpulley.check.scenes import (
    CLASSES,
    EARLIER,
    EPSILON_MS,
    LATER_MS,
    RULES,
    SCENES,
    TRIAL,
)
from meadowpulley.check.worlds import Setting, Step
from meadowpulley.rules import Answered, Gone, KeyAnswered, Listed, News, Outcome, Sent, Started, Taken

START_MS = 100_000.0  # all began long ago: servers are warm, windows empty
NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
RESULTS = {
    "ok": i.Result.OK, "error": i.Result.ERROR, "reset": i.Result.RESET, "full": i.Result.FULL,
    "connect_failed": i.Result.CONNECT_FAILED,
}  # fmt: skip
WORDS = {
    "ok": "answers", "error": "answers with an error", "reset": "breaks the connection after the last byte",
    "full": "turns it away as full", "connect_failed": "breaks the connection before the last byte",
}  # fmt: skip
SKIP = {
    "Balancer": frozenset({"s", "rules", "roll", "rng", "handlers", "acts", "many", "z", "needed"}),
    "Held": frozenset({"cls"}),
    "Books": frozenset({"number", "settings"}),
    "Checker": frozenset({"figures", "counts", "seen", "_handlers"}),
    "Host": frozenset({"world", "number", "heard", "make", "settings"}),
}


def _by_server(walker: Walker, value: dict[int, Any]) -> Any:
    found = [(walker.server(n), n) for n in value]
    return tuple([(name, walker.walk(value[n])) for name, n in sorted(found)])


def _servers(walker: Walker, value: Sequence[int]) -> Any:
    return tuple([walker.server(n) for n in value])


def _sums(walker: Walker, value: dict[int, Any]) -> Any:
    return tuple(
        [(k, tuple(sorted((walker.server(s), x) for s, x in v.items()))) for k, v in sorted(value.items())]
    )


def _due(walker: Walker, value: Any) -> Any:
    return tuple([(at, cls, build, walker.server(s), failed, ok) for at, cls, build, s, failed, ok in value])


def _untold(walker: Walker, value: Any) -> Any:
    return tuple([(cls, build, walker.server(s), failed, ok) for cls, build, s, failed, ok in value])


def _arms(walker: Walker, value: Any) -> Any:  # which order servers stand in does not matter: all are drawn
    return tuple(sorted([walker.server(s.id) for s in value]))


def _by_key(walker: Walker, value: dict[Any, Any]) -> Any:
    return tuple(sorted([(walker.walk(k), walker.walk(v)) for k, v in value.items()]))


SPECIAL = {
    ("Balancer", "servers"): _by_server,
    ("Balancer", "trial"): _arms,
    ("Balancer", "earlier"): _arms,
    ("Balancer", "due"): _due,
    ("Peers", "untold"): _untold,
    ("Balancer", "key_build"): _by_key,
    ("Server", "id"): lambda walker, value: walker.server(value),
    ("Held", "tried"): _servers,
    ("Held", "asked"): _servers,
    ("Failures", "sums"): _sums,
    ("_Gateway", "servers"): _by_server,
    ("_Try", "server"): lambda walker, value: walker.server(value),
    ("Out", "server"): lambda walker, value: walker.server(value),
    ("Books", "cold"): lambda walker, value: tuple(
        sorted((walker.server(s), n, c) for (s, n), c in value.items())
    ),
}
CHOICES = Choices()
FORMS = Forms(SKIP, SPECIAL)
NAMELESS = Forms({**SKIP, "Server": frozenset({"id"})}, SPECIAL)
_COPIER = Copier(shared=(Choices,))


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

    def __init__(self, number: int, settings: i.Settings, make: Callable[[i.Settings, int], Any]) -> None:
        self.number, self.settings, self.make = number, settings, make
        self.books = Books(number, settings)
        self.asked: dict[int, Asked] = {}
        self.last = 0
        self.known = -1  # the version of the list it knows
        self.news_due: tuple[i.BuildNews, ...] = ()
        self.heard_of: tuple[int, ...] = ()  # places in the platform's history of the news it was told
        self.timers: list[float] = []
        self.votes: tuple[tuple[i.Vote, float], ...] = ()  # under way, and since when
        self.answers_due: list[tuple[float, i.BuildNews]] = []  # what a lost vote ends with, and when
        self.datagrams: tuple[i.TellPeer, ...] = ()
        self.ghosts: tuple[
            tuple[int, int], ...
        ] = ()  # key and build of attempts given up that may be answered
        self.list_asked = False
        self.list_owed = False  # a call failed, and whoever must ask has not asked again
        self.cache: dict[Any, Any] = {}  # forms of this state, until it steps
        self.balancer: Any = None
        self._events: deque[i.Event] = deque()

    def begin(self, world: Decisions, version: int, news: i.BuildNews) -> None:
        """A life: it knows a list and news, perhaps old ones."""
        self.balancer = self.make(self.settings, 0)
        self.balancer.rng = CHOICES
        self.books.see(Started(world.now, self.number))
        self.hear_list(world, version, i.ListKind.CACHED)
        self.hear_news(world, news)
        self.balancer.retries_left = world.scene.retries

    # Events in, actions out

    def tell(self, world: Decisions, event: i.Event) -> None:
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

    def _carry_out(self, world: Decisions, action: i.Action) -> None:
        if isinstance(action, i.Send):
            self._send(world, action)
        elif isinstance(action, i.Refuse | i.Fail):
            self._answer(world, action.request, "refused" if isinstance(action, i.Refuse) else "failed")
        elif isinstance(action, i.Cancel):
            asked = self.asked.get(action.request)
            if asked is not None and action.attempt in asked.out:
                self.end(world, action.request, action.attempt, i.Result.CANCELLED)
        elif isinstance(action, i.SetTimer):
            at = world.now + max(action.delay_ms, 0.0)
            if at not in self.timers:
                self.timers.append(at)
                self.timers.sort()
        elif isinstance(action, i.Vote):
            self.votes = (*self.votes, (action, world.now))
            world.say(f"gateway {self.number}", "platform", f"votes {action.verdict.name.lower()}")
        elif isinstance(action, i.Watch | i.FetchList):
            self.list_asked, self.list_owed = True, False
        elif isinstance(action, i.TellPeer):
            self.datagrams = (*self.datagrams, action)

    def _look(self, world: Decisions) -> None:
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

    def ask(self, world: Decisions, kind: int) -> None:
        cls, key = world.scene.kinds[kind]
        self.last += 1
        deadline = world.now + CLASSES[cls].deadline_ms
        self.asked[self.last] = Asked(kind, deadline)
        self.books.see(Taken(world.now, self.number, self.last, cls, key, deadline))
        self.tell(world, i.Request(self.last, cls, 0, key, deadline))

    def _send(self, world: Decisions, action: i.Send) -> None:
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

    def _answer(self, world: Decisions, request: int, answer: str) -> None:
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

    def end(self, world: Decisions, request: int, attempt: int, result: i.Result) -> None:
        """The one outcome of an attempt."""
        asked = self.asked[request]
        out = asked.out.pop(attempt)
        cls, key = world.scene.kinds[asked.kind]
        ran = result not in NEVER_RAN
        if result is i.Result.OK and not out.answered and key:
            self.books.see(KeyAnswered(world.now, self.number, key, out.build))
        if ran:
            self.books.ran(world.now, request, cls)
        if result not in (i.Result.OK, i.Result.ERROR) and ran and key and not out.answered:
            self.ghosts = tuple(sorted({*self.ghosts, (key, out.build)}))
        if result is i.Result.OK and not asked.over:
            self._answer(world, request, "served")
        over = asked.over
        self.books.see(Outcome(world.now, self.number, request, attempt, ran))
        self._tidy(request)
        elapsed = world.now - out.sent
        self.tell(world, i.Outcome(request, attempt, out.server, result, elapsed, over))

    def leave(self, world: Decisions, request: int) -> None:
        self.books.see(Gone(world.now, self.number, request))
        self.asked[request].over = True
        self._tidy(request)
        self.tell(world, i.RequestGone(request))

    # The list and the news

    def hear_list(self, world: Decisions, version: int, kind: i.ListKind) -> None:
        before = world.lists[self.known] if self.known >= 0 and kind is not i.ListKind.CACHED else ()
        entries = world.lists[version]
        there = {e.server for e in entries}
        self.known, self.list_asked, self.list_owed = version, False, False
        gone = [e for e in before if e.server not in there]
        for e in gone:
            self.books.see(Listed(world.now, self.number, e.server, "gone", 0))
        for e in entries:
            state = e.state.name.lower()
            self.books.see(Listed(world.now, self.number, e.server, state, e.build))  # type: ignore[arg-type]
        if kind is i.ListKind.CHANGES:
            changed = [e for e in entries if e not in before]
            left = [replace(e, state=i.ServerState.GONE) for e in gone]
            entries = (*changed, *left)
        self.tell(world, i.ServerList(kind, version, entries))

    def hear_news(self, world: Decisions, news: i.BuildNews) -> None:
        if news.result is i.Result.OK:
            phase = news.phase.name.lower()
            self.books.see(News(world.now, self.number, news.build, news.stage, phase, news.cap))  # type: ignore[arg-type]
        self.tell(world, news)

    # Time

    def next_due(self) -> float:
        found = [*self.timers[:1], *(at for at, _ in self.answers_due)]
        slack = self.settings.rules.answer_slack_ms
        for asked in self.asked.values():
            if asked.out:
                found.append(asked.deadline)
            if not asked.over:
                found.append(asked.deadline + slack)
        return min(found, default=math.inf)

    def last_due(self) -> float:
        """By when all that is owed is over; 0 where nothing is."""
        slack = self.settings.rules.answer_slack_ms
        waits = [a.deadline + slack for a in self.asked.values()]
        return max([*waits, *(at for at, _ in self.answers_due), *self.timers[:1]], default=0.0)

    def run_due(self, world: Decisions) -> None:
        """What is due now: attempts end at their request's deadline, then timers, then what is overdue."""
        now, slack = world.now, self.settings.rules.answer_slack_ms
        for request, asked in list(self.asked.items()):
            if asked.out and asked.deadline <= now:
                for attempt in list(asked.out):
                    if request in self.asked and attempt in asked.out:
                        self.end(world, request, attempt, i.Result.TIMEOUT)
        for at, news in [a for a in self.answers_due if a[0] <= now]:
            self.answers_due.remove((at, news))
            self.tell(world, news)
        if self.timers and self.timers[0] <= now:
            self.timers.pop(0)
            self.tell(world, i.Timer(TICK))
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
            new.__dict__[name] = value if shared else _COPIER.copy(value, memo) if name != "cache" else {}
        return new

    def form(self, names: dict[int, int]) -> Any:
        """The state of this gateway, with servers renamed."""
        walker = Walker(FORMS, names)
        return (
            walker.walk(self.balancer), walker.walk(self.books), walker.walk(self.asked), self.known,
            walker.walk(self.news_due), tuple(self.timers), walker.walk(self.votes),
            walker.walk(self.answers_due), walker.walk(self.datagrams), self.ghosts,
            self.list_asked, self.list_owed,
        )  # fmt: skip

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


class Decisions:
    """The world. Copies share hosts until one of them steps."""

    def __init__(self, setting: Setting, make: Callable[[i.Settings, int], Any] = Balancer) -> None:
        if setting.scene not in SCENES:
            raise ValueError(f"scene: '{setting.scene}' is not known; known are {', '.join(SCENES)}")
        self.setting, self.scene = setting, SCENES[setting.scene]
        self.now = START_MS
        self.turn = -1  # who stepped last in this moment; -1: nobody but the parties around
        self.left = tuple(range(setting.requests))  # requests still to come
        self.troubles, self.waits = setting.troubles, setting.waits
        self.broken: list[Broken] = []
        self.heard: list[tuple[str, str, str]] = []
        count = max(setting.servers, 1)
        builds = [self.scene.builds[n % len(self.scene.builds)] for n in range(count)]
        if TRIAL in builds and EARLIER not in builds:
            builds[0] = EARLIER
        started = START_MS if self.scene.cold else 1.0
        first = tuple(self._entry(n + 1, build, started) for n, build in enumerate(builds))
        self.lists: tuple[tuple[i.ServerEntry, ...], ...] = (first,)
        self.history: tuple[i.BuildNews, ...] = (self.scene.news,)
        self.hosts = [
            Host(n, self.scene.settings(n, setting.gateways), make) for n in range(setting.gateways)
        ]
        CHOICES.begin(())
        for host in self.hosts:
            host.begin(self, 0, self.scene.news)
        self._gather()

    @staticmethod
    def _entry(server: int, build: int, started: float) -> i.ServerEntry:
        return i.ServerEntry(server, 0, 0, i.ServerState.READY, build, started, 0, 1.0)

    def entry_at(self, version: int, server: int) -> i.ServerEntry | None:
        return next((e for e in self.lists[version] if e.server == server), None) if version >= 0 else None

    def say(self, who: str, whom: str, what: str) -> None:
        self.heard.append((who, whom, what))

    # Steps

    def steps(self) -> list[Step]:
        found: list[Step] = []
        if not self.setting.ordered or self.turn < 0:
            found += self._around()
        for host in self.hosts:
            if not self.setting.ordered or host.number >= self.turn:
                found += self._at(host)
        if self.waits > 0:
            found += [Step("wait", (name, place)) for _, name, place in self._moments()]
        return found

    def _may(self, trouble: str) -> bool:
        return self.troubles > 0 and trouble in self.scene.troubles

    def _around(self) -> Iterator[Step]:
        """Servers, the platform: whatever they do is told to gateways later."""
        newest, stand = self.lists[-1], self.history[-1]
        for e in newest:
            if self._may("drain") and e.state is i.ServerState.READY:
                yield Step("drain", (e.server,))
            if self._may("gone"):
                yield Step("gone", (e.server,))
        if self._may("restart"):  # under the same id, with the same build, and cold
            yield from (Step("return", (e.server, e.build)) for e in newest)
        if self._may("return"):
            there = {e.server for e in newest}
            for server in sorted({e.server for e in self.lists[0]} - there):
                yield from (Step("return", (server, build)) for build in (EARLIER, TRIAL))
            for e in newest:
                if e.build == EARLIER and e.state is i.ServerState.READY and not self.scene.cold:
                    yield Step("return", (e.server, max(stand.build, TRIAL)))
        if self._may("stage") and stand.phase is i.Phase.TRIAL:
            yield Step("stage")
        if self._may("call_back") and stand.phase is i.Phase.TRIAL:
            yield Step("call_back")
        if self._may("withdraw") and stand.phase is i.Phase.GOING_BACK:
            yield Step("withdraw")
        for host in self.hosts:
            for n, (_, at) in enumerate(host.votes):
                if at < self.now:
                    yield Step("count", (host.number, n))
                    if self._may("lose_vote"):
                        yield Step("lose_vote", (host.number, n, "counted"))
                        yield Step("lose_vote", (host.number, n, "uncounted"))
            for n in range(len(host.datagrams)):
                yield Step("datagram", (host.number, n))
                if self._may("lose_datagram"):
                    yield Step("lose_datagram", (host.number, n))
                if self._may("repeat_datagram"):
                    yield Step("repeat_datagram", (host.number, n))

    def _at(self, host: Host) -> Iterator[Step]:
        """What may come to one gateway."""
        g = host.number
        kinds: set[tuple[int, int]] = set()
        for n in self.left:
            kind = self.scene.kinds[n % len(self.scene.kinds)]
            if kind not in kinds:
                kinds.add(kind)
                yield Step("ask", (g, n))
        for request, asked in host.asked.items():
            for attempt, out in asked.out.items():
                yield Step("outcome", (g, request, attempt, "ok"))
                for name in ("error", "reset", "full", "connect_failed"):
                    possible = not out.answered or name == "reset"
                    if possible and self._may(name):
                        yield Step("outcome", (g, request, attempt, name))
                key = self.scene.kinds[asked.kind % len(self.scene.kinds)][1]
                if key and not out.answered and self._keyed(out.build):
                    yield Step("answered", (g, request, attempt))
            if not asked.over and self._may("leave"):
                yield Step("leave", (g, request))
        for n, (_, build) in enumerate(host.ghosts):
            if self._keyed(build):
                yield Step("late", (g, n))
        newest = len(self.lists) - 1
        for version in range(host.known + 1, newest + 1):
            yield Step("list", (g, version))
        if host.known < newest and "list_failed" in self.scene.troubles:
            yield Step("whole_list", (g,))
        if host.list_asked and host.known == newest:
            yield Step("list", (g, newest))
        if self._may("list_failed"):
            yield Step("list_failed", (g,))
        for n in range(len(host.news_due)):
            yield Step("news", (g, n))
            if self._may("lose_news"):
                yield Step("lose_news", (g, n))
        if self._may("kill"):
            for version in sorted({0, max(host.known, 0)}):
                yield Step("kill", (g, version))

    def _keyed(self, build: int) -> bool:
        """Whether it matters when this build answers a key."""
        return self.scene.rollout.one_way and build > EARLIER

    # Moments at which time may stop

    def _moments(self) -> list[tuple[float, str, str]]:
        found: dict[float, tuple[float, str, str]] = {}
        last = self.now
        for name in self.scene.edges:
            edges = [e for e in self._edges(name) if e > self.now]
            if not edges:
                continue
            edge = min(edges)
            last = max(last, max(edges))
            places = [(edge, "at")]
            if name not in ("timer", "cold"):
                places = [(edge - EPSILON_MS, "before"), *places, (edge + EPSILON_MS, "after")]
            if name == "window":  # what counts generously has let go by then
                places.append((edge + LATER_MS, "later"))
            for at, place in places:
                if at > self.now and at not in found:
                    found[at] = (at, name, place)
        end = max([last, *(h.last_due() for h in self.hosts)]) + EPSILON_MS
        if end not in found and end > self.now + EPSILON_MS:
            found[end] = (end, "end", "after")
        return sorted(found.values())

    def _edges(self, name: str) -> Iterator[float]:
        for host in self.hosts:
            if name == "deadline":
                yield from (a.deadline for a in host.asked.values())
            elif name == "timer":
                yield from host.timers[:1]
            else:
                yield from host.books.edges(name)
        if name == "cold":
            slot = RULES.fall_ms / 4
            cold = [e for e in self.lists[-1] if self.now < e.started_ms + RULES.cold_ms]
            if cold:
                yield (math.floor(self.now / slot) + 1) * slot

    # Taking a step

    def take(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        CHOICES.begin(step.draws)
        self.heard = []
        getattr(self, f"_do_{step.do}")(*step.who)
        self._gather()
        return CHOICES.made, CHOICES.among

    def _host(self, number: int) -> Host:
        """A gateway that steps now; other copies of the world keep theirs."""
        host = self.hosts[number] = self.hosts[number].copy()
        self.turn = number
        return host

    def _gather(self) -> None:
        for host in self.hosts:
            if host.books.broken:
                self.broken += host.books.broken
                host.books.broken = []
        spent = [h.books.exposed(self.now) for h in self.hosts]
        sent, most = sum(n for n, _ in spent), sum(m for _, m in spent)
        if sent > most + 1e-6:
            text = f"{sent} attempts of all gateways at the trial build, {most:.1f} allowed"
            self.broken.append(Broken("exposure-sum", self.now, -1, text))

    def _trouble(self) -> None:
        self.troubles -= 1

    def _do_drain(self, server: int) -> None:
        self._trouble()
        changed = [
            replace(e, state=i.ServerState.DRAINING) if e.server == server else e for e in self.lists[-1]
        ]
        self.lists = (*self.lists, tuple(changed))

    def _do_gone(self, server: int) -> None:
        self._trouble()
        self.lists = (*self.lists, tuple(e for e in self.lists[-1] if e.server != server))

    def _do_return(self, server: int, build: int) -> None:
        self._trouble()
        others = [e for e in self.lists[-1] if e.server != server]
        back = self._entry(server, build, self.now)
        self.lists = (*self.lists, tuple(sorted([*others, back], key=lambda e: e.server)))

    def _stand(self, phase: i.Phase, stage: int, cap: float, build: int = 0) -> None:
        news = i.BuildNews(build or self.history[-1].build, stage, phase, cap, 0.0)
        self.history = (*self.history, news)
        for n, host in enumerate(self.hosts):
            new = self.hosts[n] = host.copy()
            new.news_due = (*host.news_due, news)

    def _do_stage(self) -> None:
        self._trouble()
        self._on()

    def _on(self) -> None:
        stand, caps = self.history[-1], self.scene.rollout.caps
        if stand.stage + 1 < len(caps):
            self._stand(i.Phase.TRIAL, stand.stage + 1, caps[stand.stage + 1])
        else:
            self._stand(i.Phase.RELEASED, stand.stage, 1.0)

    def _do_call_back(self) -> None:
        self._trouble()
        self._stand(i.Phase.GOING_BACK, self.history[-1].stage, 0.0)

    def _do_withdraw(self) -> None:
        self._trouble()
        self._stand(i.Phase.WITHDRAWN, self.history[-1].stage, 0.0)

    def _do_count(self, g: int, n: int, heard: bool = True) -> None:
        host = self.hosts[g] = self.hosts[g].copy()
        vote, at = host.votes[n]
        host.votes = (*host.votes[:n], *host.votes[n + 1 :])
        stand = self.history[-1]
        standing = (vote.build, vote.stage) == (stand.build, stand.stage) and stand.phase is i.Phase.TRIAL
        if standing and vote.verdict is i.Verdict.ON:
            self._on()
        elif vote.build == stand.build and stand.phase is i.Phase.TRIAL and vote.verdict is i.Verdict.BACK:
            self._stand(i.Phase.GOING_BACK, stand.stage, 0.0)
        host = self.hosts[g] = self.hosts[g].copy()
        if heard:
            answer = replace(self.history[-1], result=i.Result.OK, answers_vote=True)
            host.news_due = (*host.news_due, answer)
        else:
            self._lost(host, vote, at)

    def _lost(self, host: Host, vote: i.Vote, at: float) -> None:
        late = i.BuildNews(vote.build, vote.stage, i.Phase.TRIAL, 0.0, 0.0, i.Result.TIMEOUT, True)
        due = max(at + self.scene.rollout.call_timeout_ms, self.now)
        host.answers_due = [*host.answers_due, (due, late)]

    def _do_lose_vote(self, g: int, n: int, how: str) -> None:
        self._trouble()
        if how == "counted":
            self._do_count(g, n, heard=False)
            return
        host = self.hosts[g] = self.hosts[g].copy()
        vote, at = host.votes[n]
        host.votes = (*host.votes[:n], *host.votes[n + 1 :])
        self._lost(host, vote, at)

    def _do_datagram(self, g: int, n: int, again: bool = False) -> None:
        host = self.hosts[g] = self.hosts[g].copy()
        action = host.datagrams[n]
        if not again:
            host.datagrams = (*host.datagrams[:n], *host.datagrams[n + 1 :])
        for other in range(len(self.hosts)):
            if other != g and action.peer in (None, other):
                to = self.hosts[other] = self.hosts[other].copy()
                to.tell(self, i.PeerMessage(g, action.data))

    def _do_repeat_datagram(self, g: int, n: int) -> None:
        self._trouble()
        self._do_datagram(g, n, again=True)

    def _do_lose_datagram(self, g: int, n: int) -> None:
        self._trouble()
        host = self.hosts[g] = self.hosts[g].copy()
        host.datagrams = (*host.datagrams[:n], *host.datagrams[n + 1 :])

    def _do_ask(self, g: int, n: int) -> None:
        self.left = tuple(k for k in self.left if k != n)
        self.say("clients", f"gateway {g}", "asks")
        self._host(g).ask(self, n % len(self.scene.kinds))

    def _do_outcome(self, g: int, request: int, attempt: int, name: str) -> None:
        if name != "ok":
            self._trouble()
        host = self._host(g)
        self.say(f"server {host.asked[request].out[attempt].server}", f"gateway {g}", WORDS[name])
        host.end(self, request, attempt, RESULTS[name])

    def _do_answered(self, g: int, request: int, attempt: int) -> None:
        host = self._host(g)
        asked = host.asked[request]
        out = asked.out[attempt]
        out.answered = True
        key = self.scene.kinds[asked.kind][1]
        host.books.see(KeyAnswered(self.now, g, key, out.build))

    def _do_late(self, g: int, n: int) -> None:
        host = self._host(g)
        key, build = host.ghosts[n]
        host.ghosts = (*host.ghosts[:n], *host.ghosts[n + 1 :])
        host.books.see(KeyAnswered(self.now, g, key, build))

    def _do_leave(self, g: int, request: int) -> None:
        self._trouble()
        self.say("clients", f"gateway {g}", f"leaves request {request}")
        self._host(g).leave(self, request)

    def _do_list(self, g: int, version: int) -> None:
        self.say("discovery", f"gateway {g}", f"list {version}")
        self._host(g).hear_list(self, version, i.ListKind.CHANGES)

    def _do_whole_list(self, g: int) -> None:
        self.say("discovery", f"gateway {g}", "the whole list")
        self._host(g).hear_list(self, len(self.lists) - 1, i.ListKind.FULL)

    def _do_list_failed(self, g: int) -> None:
        self._trouble()
        host = self._host(g)
        host.list_owed = self.scene.must_ask
        host.tell(self, i.ServerList(i.ListKind.FAILED, max(host.known, 0)))

    def _do_news(self, g: int, n: int) -> None:
        host = self._host(g)
        news = host.news_due[n]
        host.news_due = (*host.news_due[:n], *host.news_due[n + 1 :])
        self.say("platform", f"gateway {g}", _news_text(news))
        host.hear_news(self, news)

    def _do_lose_news(self, g: int, n: int) -> None:
        self._trouble()
        host = self._host(g)
        host.news_due = (*host.news_due[:n], *host.news_due[n + 1 :])

    def _do_kill(self, g: int, version: int) -> None:
        self._trouble()
        old = self.hosts[g]  # its books end with it: what it held is no longer its duty
        host = self.hosts[g] = Host(g, old.settings, old.make)
        self.turn = g
        host.begin(self, version, self.history[-1])

    def _do_wait(self, name: str, place: str) -> None:
        self.waits -= 1
        target = next(at for at, n, p in self._moments() if (n, p) == (name, place))
        self.hosts = [h.copy() for h in self.hosts]
        for _ in range(10_000):
            due = min(h.next_due() for h in self.hosts)
            if due > target:
                break
            self.now = max(due, self.now)
            for host in self.hosts:
                if host.next_due() <= self.now:
                    host.run_due(self)
        else:
            self.broken.append(
                Broken("timers", self.now, -1, "a timer is set again and again for the same moment")
            )
        self.now, self.turn = target, -1

    # States

    def copy(self) -> Decisions:
        new: Decisions = Decisions.__new__(Decisions)
        new.__dict__.update(self.__dict__)
        new.hosts, new.broken, new.heard = list(self.hosts), list(self.broken), []
        return new

    def form(self) -> Any:
        """The whole state in canonical form."""
        names = self._renamed() if self.setting.symmetry else {}
        hosts = [(self._free(h), h.form(names)) for h in self.hosts]
        if self.setting.symmetry:
            hosts.sort(key=repr)
        return (*self._around_form(names), tuple(hosts))

    def fingerprint(self) -> int:
        names = self._renamed() if self.setting.symmetry else {}
        hosts = [(self._free(h), h.mark(names)) for h in self.hosts]
        if self.setting.symmetry:
            hosts.sort()
        return digest((*self._around_form(names), tuple(hosts)))

    def _free(self, host: Host) -> bool:
        return not self.setting.ordered or host.number >= self.turn

    def _around_form(self, names: dict[int, int]) -> tuple[Any, ...]:
        lists = tuple(
            tuple(
                sorted((names.get(e.server, e.server), int(e.state), e.build, e.started_ms) for e in entries)
            )
            for entries in self.lists
        )
        kinds = tuple(sorted(self.scene.kinds[n % len(self.scene.kinds)] for n in self.left))
        around = not self.setting.ordered or self.turn < 0
        stands = tuple((n.build, n.stage, int(n.phase), n.cap) for n in self.history)
        return self.now, around, kinds, self.troubles, self.waits, lists, stands

    def _renamed(self) -> dict[int, int]:
        """Servers by what is known and recorded of them, not by their numbers."""
        numbers = [e.server for e in self.lists[0]]
        parts = [h.server_marks(numbers) for h in self.hosts]
        marks = []
        for place, number in enumerate(numbers):
            told = [(int(e.state), e.build, e.started_ms) for entries in self.lists for e in entries
                    if e.server == number]  # fmt: skip
            there = [any(e.server == number for e in entries) for entries in self.lists]
            marks.append((told, there, sorted(p[place] for p in parts), number))
        marks.sort()
        return {number: place for place, (*_, number) in enumerate(marks)}

    # For people

    def tell(self, step: Step) -> str:
        return _tell(self, step)


def _news_text(news: i.BuildNews) -> str:
    phase = news.phase.name.lower().replace("_", " ")
    return f"build {news.build} {phase}, stage {news.stage + 1}, cap {news.cap:g}"


def _tell(world: Decisions, step: Step) -> str:
    who: list[Any] = list(step.who)
    if step.do == "ask":
        cls, key = world.scene.kinds[who[1] % len(world.scene.kinds)]
        with_key = f" with key {key}" if key else ""
        return f"a client sends gateway {who[0]} a {CLASSES[cls].name}{with_key}"
    if step.do == "outcome":
        server = world.hosts[who[0]].asked[who[1]].out[who[2]].server
        return f"server {server} {WORDS[who[3]]}: request {who[1]} of gateway {who[0]}"
    if step.do == "wait":
        place = {"before": "just before", "at": "to", "after": "just past", "later": "well past"}[who[1]]
        return f"time goes on {place} the next {who[0]}"
    if step.do == "news":
        return f"gateway {who[0]} hears: {_news_text(world.hosts[who[0]].news_due[who[1]])}"
    if step.do == "lose_news":
        return (
            f"news is lost on its way to gateway {who[0]}: {_news_text(world.hosts[who[0]].news_due[who[1]])}"
        )
    texts = {
        "answered": "server has answered request {1} of gateway {0}; the answer is under way",
        "late": "a server answers an attempt that gateway {0} has given up",
        "leave": "the client of request {1} leaves gateway {0}",
        "drain": "server {0} begins to drain",
        "gone": "server {0} is gone",
        "return": "server {0} starts anew with build {1}",
        "list": "gateway {0} hears list {1}",
        "list_failed": "a list call of gateway {0} fails",
        "whole_list": "gateway {0} hears the whole list as it is now",
        "stage": "the platform moves the build on",
        "call_back": "the platform calls the build back",
        "withdraw": "the platform has withdrawn the build",
        "count": "the platform counts a vote of gateway {0}",
        "lose_vote": "a vote of gateway {0} is lost, {2}",
        "datagram": "a datagram of gateway {0} arrives",
        "lose_datagram": "a datagram of gateway {0} is lost",
        "repeat_datagram": "a datagram of gateway {0} arrives, and will again",
        "kill": "gateway {0} is killed and starts anew with list {1}",
    }
    return texts[step.do].format(*who)
