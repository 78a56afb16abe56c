"""World B: the real classes of `net/`, with the real decisions, on scripted transports and a scripted
clock.

Clients write their requests in pieces, cut at the boundaries that matter; instances answer whole, in parts,
too early, twice or with noise; both close at any point; the kernel takes bytes or does not; SIGTERM and
SIGHUP come at any point; time moves from deadline to deadline. No socket is opened.
"""

from __future__ import annotations

import signal
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from typing import Any

from meadowpulley import interface as i
from meadowpulley.balance import Balancer
from meadowpulley.check.graph import Copier, Forms, Walker, digest
from meadowpulley.check.properties import Broken
from meadowpulley.check.wire import Reactor, Wire
from meadowpulley.check.worlds import Setting, Step
from meadowpulley.net import names
from meadowpulley.net.config import Config, ConfigError
from meadowpulley.net.gateway import KEPT_BACK, Gateway, Phase
from meadowpulley.net.http1 import BadMessageError, Message, Parser, answer_bytes
from meadowpulley.net.ring import Ring

INSTANCES = (("127.0.0.1", 9001), ("127.0.0.1", 9002), ("127.0.0.1", 9003))
DISCOVERY, MOVED = ("127.0.0.1", 9998), ("127.0.0.1", 9999)
LONG_MS = 70_000.0  # by when everything that has a limit has met it
CLASSES = (
    i.RequestClass("look", 200.0, 400.0, i.Effect.SAFE),
    i.RequestClass("pay", 200.0, 400.0, i.Effect.UNSAFE),
)
RULES = i.Rules(answer_slack_ms=20.0, ask_within_ms=10_000.0, drain_grace_ms=2000.0)
LIMITS = i.Limits(
    max_attempts=3, cancel=True, retry_after=True, max_retry_after_ms=500.0, connect_timeout_ms=50.0,
    idle_ms=30_000.0,
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Scene:
    """`scripts`: what each client writes, request by request; `size`: descriptors for clients and
    instances."""

    name: str
    about: str
    scripts: tuple[tuple[str, ...], ...]
    troubles: frozenset[str]
    parts: bool = True  # requests and answers come in pieces
    size: int = 8


CLOSES = frozenset({"leave", "drop", "refused", "fin"})
SCENES = {
    s.name: s
    for s in (
        Scene("split", "one request in pieces, its answer in pieces; either side closes at any point",
              (("get",),), CLOSES),
        Scene("unsafe", "a request with an effect and a body: resets, jams, answers before its end",
              (("post",),), CLOSES | {"jam", "early", "error", "full"}),
        Scene("pipelined", "two requests written one behind another on one connection",
              (("get", "post"),), CLOSES | {"twice", "noise"}, parts=False),
        Scene("noise", "input that is no message, from either side; continuations, chunks",
              (("chunked",), ("garbage",), ("expect",)), frozenset({"noise", "twice", "close", "leave"})),
        Scene("full", "more clients than the table holds, and fewer connections than requests",
              (("get",), ("get",), ("post",), ("get",)), frozenset({"leave", "drop", "refused"}),
              parts=False, size=4),
        Scene("drain", "SIGTERM at each point", (("get",), ("post",)),
              frozenset({"sigterm", "leave", "drop", "jam"}), parts=False),
        Scene("reload", "SIGHUP at each point, with a file that can be used and one that can't",
              (("get",), ("post",)), frozenset({"sighup", "leave", "drop"}), parts=False),
        Scene("reuse", "slots used again while something of their last tenant is still out",
              (("get",), ("post",), ("get",)), frozenset({"leave", "drop", "error", "twice", "fin"}),
              parts=False, size=4),
    )
}  # fmt: skip
SKIP = {
    "Gateway": frozenset({"config", "log", "_reread", "counters", "_actions", "capture"}),
    "Observed": frozenset({"s", "rules", "roll", "handlers", "acts", "many", "z", "needed"}),
    "Held": frozenset({"cls"}),
    "Deadlines": frozenset({"_numbers", "_called_off", "_armed", "_armed_for", "_failed", "turned_at"}),
    "Connection": frozenset({"setting", "scene", "broken", "heard", "log"}),
    "Reactor": frozenset({"calls"}),
    "Discovery": frozenset({"entries"}),
}
FORMS = Forms(
    SKIP,
    {
        ("Deadlines", "_heap"): lambda w, heap: tuple(
            [(at, w.walk(d.call)) for at, n, d in sorted(heap, key=lambda e: e[:2]) if d.call is not None]
        ),
        ("Deadlines", "now"): lambda w, _: None,
    },
    {
        "Ring": lambda w, ring: ("ring", ring.bound, ring.peek(len(ring))),
        # by value: which parsers share the message that stands for none says nothing
        "Message": lambda w, m: ("message", m.method, m.target, m.status, w.walk(m.headers), m.body),
        "Failure": lambda w, failure: ("failure", failure.type.__name__),
    },
)
_COPIER = Copier()


class Observed(Balancer):
    """The real decisions; each attempt's outcomes are counted on their way in."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.ended: set[tuple[int, int]] = set()
        self.twice: list[tuple[int, int]] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        if isinstance(event, i.Outcome):
            if (event.request, event.attempt) in self.ended:
                self.twice.append((event.request, event.attempt))
            self.ended.add((event.request, event.attempt))
        return super().handle(now, event)


class Log:
    """In place of the log: what was an error is kept."""

    def __init__(self) -> None:
        self.errors: list[str] = []

    def info(self, event: str, **_: Any) -> None:
        pass

    warning = info

    def error(self, event: str, exc_info: bool = False, **more: Any) -> None:
        if event == "fault":
            import sys

            kind, value, _ = sys.exc_info()
            self.errors.append(f"{more.get('where')}: {kind.__name__ if kind else ''}: {value}")


def request_text(kind: str, name: str) -> bytes:
    """A request of a script's word."""
    head = f"host: app.svc\r\n{names.ID}: {name}\r\n{names.REMAINING}: 400m\r\n"
    if kind == "get":
        return f"GET /look HTTP/1.1\r\n{head}\r\n".encode()
    if kind == "post":
        return f"POST /pay HTTP/1.1\r\n{head}content-length: 5\r\n\r\nhello".encode()
    if kind == "chunked":
        body = "5\r\nhello\r\n0\r\n\r\n"
        return f"POST /pay HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n{body}".encode()
    if kind == "expect":
        more = "content-length: 5\r\nexpect: 100-continue\r\n"
        return f"POST /pay HTTP/1.1\r\n{head}{more}\r\nhello".encode()
    if kind == "garbage":
        return b"\x16\x03\x01 no HTTP at all\r\n\r\n"
    raise ValueError(f"no request is called '{kind}'")


def cuts_of(data: bytes) -> tuple[int, ...]:
    """Where a message is cut: after its first byte, around each end of its start line and head, in its
    body."""
    line, head = data.find(b"\r\n"), data.find(b"\r\n\r\n")
    tail = {len(data) - k for k in (7, 6, 1) if len(data) - k > head + 4}  # around a chunk's end
    middle = (head + 4 + len(data)) // 2
    places = tail | {1, line + 1, line + 2, head + 2, head + 3, head + 4, middle, len(data)}
    return tuple(sorted(p for p in places if 0 < p <= len(data)))


class Client:
    """One client, and what it wrote so far."""

    def __init__(self, number: int, script: tuple[str, ...]) -> None:
        self.number = number
        self.names = tuple(f"c{number}r{n}" for n in range(len(script)))
        self.kinds = script
        self.texts = tuple(request_text(k, name) for k, name in zip(script, self.names, strict=True))
        self.at = 0  # which request it writes
        self.written = 0  # bytes of it
        self.wire: Wire | None = None
        self.left = False
        self.answers = 0


class Served:
    """One connection at an instance: what came, and what was said."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.answered = 0  # requests
        self.turned_away: list[int] = []  # which of them were told not to have run
        self.rest = b""  # of an answer that has begun


def parse(data: bytes, requests: bool) -> tuple[list[Message], bool]:
    """The whole messages in what was sent, and whether the rest is a part of one, or nothing."""
    ring = Ring(max(len(data), 1))
    ring.write(data)
    parser = Parser(ring, requests)
    found: list[Message] = []
    try:
        while (message := parser.next()) is not None:
            found.append(message)
    except BadMessageError:
        return found, False
    return found, True


class Connection:
    """The world: one gateway, its clients and its instances."""

    def __init__(self, setting: Setting) -> None:
        if setting.scene not in SCENES:
            raise ValueError(f"scene: '{setting.scene}' is not known; known are {', '.join(SCENES)}")
        self.setting, self.scene = setting, SCENES[setting.scene]
        self.troubles, self.waits = setting.troubles, setting.waits
        self.broken: list[Broken] = []
        self.heard: list[tuple[str, str, str]] = []
        self.log = Log()
        self.reactor = Reactor()
        instances = INSTANCES[: max(min(setting.servers, len(INSTANCES)), 1)]
        known = {
            names.VERSION: 1, names.WHOLE: True,
            names.ENTRIES: [
                {names.NAME: f"s{n}", names.ADDRESS: f"{host}:{port}", names.ZONE: "a",
                 names.STATE: "in_service", names.BUILD: 41}
                for n, (host, port) in enumerate(instances)
            ],
        }  # fmt: skip
        news = {
            names.NEWS_BUILD: 41, names.NEWS_STAGE: 0, names.NEWS_PHASE: "stable", names.NEWS_CAP: 1.0,
            names.NEWS_AGE: 60_000,
        }  # fmt: skip
        settings = i.Settings(
            0, 1, 0, ("a",), 5.0, CLASSES, (), RULES, LIMITS,
            i.Rollout(caps=(1.0,), stage_shares=(1.0,), exposure_window_ms=300.0, exposure_free=4.0),
        )  # fmt: skip
        config = Config(
            "g0", ("127.0.0.1", 9000), DISCOVERY, None, 7, KEPT_BACK + self.scene.size, settings, news, known
        )
        log: Any = self.log
        self.reloads: list[Config | None] = []  # what the next reload finds; None: no file that can be used
        self.gateway = Gateway(config, self.reactor, log, Observed, self._reread, self._now)
        self.gateway.prepare()
        self.gateway.listen()
        scripts = [self.scene.scripts[n % len(self.scene.scripts)] for n in range(setting.requests)]
        self.clients = [Client(n, script) for n, script in enumerate(scripts[: max(setting.requests, 1)])]
        self.served: list[Served] = []
        self.ended = False
        for n, opening in enumerate(list(self._openings())):  # of those opened ahead the first comes up
            self._up(opening) if n == 0 else opening.refuse()
        self.reactor.run_due()

    def _now(self) -> float:
        return self.reactor.now

    @property
    def now(self) -> float:
        return self.reactor.now

    def _reread(self) -> Config:
        found = self.reloads.pop(0) if self.reloads else None
        if found is None:
            raise ConfigError("no file that can be used")
        return found

    def _openings(self) -> list[Any]:
        return [o for o in self.reactor.openings if o.address in INSTANCES]

    def _up(self, opening: Any) -> None:
        wire = opening.accept()
        self.served.append(Served(wire))

    # Steps

    def steps(self) -> list[Step]:
        return [] if self.ended else list(self._steps())

    def _may(self, trouble: str) -> bool:
        return self.troubles > 0 and trouble in self.scene.troubles

    def _steps(self) -> Iterator[Step]:
        for c in self.clients:
            yield from self._client_steps(c)
        for n, s in enumerate(self.served):
            if s.wire.up:
                yield from self._served_steps(n, s)
        for n, _ in enumerate(self._openings()):
            yield Step("up", (n,))
            if self._may("refused"):
                yield Step("refused", (n,))
        if self._may("sigterm"):
            yield Step("sigterm")
        if self._may("sighup"):
            yield from (Step("sighup", (how,)) for how in ("moved", "bad"))
        if self.waits > 0:
            if self.reactor.next_at() is not None:
                yield from (Step("wait", (place,)) for place in ("before", "at", "after"))
            yield Step("wait", ("end",))

    def _client_steps(self, c: Client) -> Iterator[Step]:
        wire = c.wire
        if wire is None:
            if not c.left and self.reactor.ports[0].open and self.reactor.ports[0].reading:
                yield Step("connect", (c.number,))
            return
        if not wire.up:
            return
        if c.at < len(c.texts):
            cuts = cuts_of(c.texts[c.at]) if self.scene.parts else (len(c.texts[c.at]),)
            yield from (Step("write", (c.number, cut)) for cut in cuts if cut > c.written)
        if self._may("leave"):
            yield Step("leave", (c.number,))
        if self._may("jam") and not wire.jammed:
            yield Step("jam", ("client", c.number))
        if wire.jammed:
            yield Step("flow", ("client", c.number))

    def _served_steps(self, n: int, s: Served) -> Iterator[Step]:
        requests, _ = parse(s.wire.sent, True)
        if s.rest:
            yield Step("rest", (n,))
        elif len(requests) > s.answered:
            yield Step("answer", (n, "ok"))
            for how in ("error", "full", "noise", "twice", "close"):
                if self._may(how):
                    yield Step("answer", (n, how))
            if self.scene.parts:
                text = self._answer_text(requests[s.answered], "ok")
                yield from (Step("part", (n, cut)) for cut in cuts_of(text)[:-1])
        elif self._may("early") and s.wire.jammed:
            yield Step("answer", (n, "early"))
        if self._may("drop"):
            yield Step("drop", (n,))
        if self._may("fin") and not s.wire.ended:
            yield Step("fin", (n,))
        if s.wire.ended:
            yield Step("read", (n,))
        if self._may("jam") and not s.wire.jammed:
            yield Step("jam", ("instance", n))
        if s.wire.jammed:
            yield Step("flow", ("instance", n))

    @staticmethod
    def _answer_text(request: Message | None, how: str) -> bytes:
        name = request.headers.get(names.ID, "") if request is not None else "?"
        if how == "error":
            return answer_bytes(500, {})
        if how == "full":
            return answer_bytes(503, {names.NOT_RUN: "1"})
        if how == "noise":
            return b"\x00\x01 this is no answer\r\n\r\n"
        text = answer_bytes(200, {"content-type": "text/plain"}, name.encode(), close=how == "close")
        return text * 2 if how == "twice" else text

    # Taking a step

    def take(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        self.heard = []
        try:
            getattr(self, f"_do_{step.do}")(*step.who)
            self.reactor.run_due()
        except Exception as error:  # the reactor would log it, and end the connection
            self._fail("logged", f"{type(error).__name__}: {error}")
        self._look()
        return (), ()

    def _do_connect(self, c: int) -> None:
        client = self.clients[c]
        client.wire = self.reactor.join(self.reactor.ports[0].factory.buildProtocol(None), None)

    def _do_write(self, c: int, cut: int) -> None:
        client = self.clients[c]
        assert client.wire is not None
        data = client.texts[client.at][client.written : cut]
        whole = cut == len(client.texts[client.at])
        client.at, client.written = (client.at + 1, 0) if whole else (client.at, cut)
        self.heard.append((f"client {c}", "gateway", f"{len(data)} bytes" + (", the last" if whole else "")))
        client.wire.arrive(data)

    def _do_leave(self, c: int) -> None:
        self.troubles -= 1
        client = self.clients[c]
        assert client.wire is not None
        client.left = True
        client.wire.ended = True
        client.wire.read()

    def _wire(self, side: str, n: int) -> Wire:
        wire = self.clients[n].wire if side == "client" else self.served[n].wire
        assert wire is not None
        return wire

    def _do_jam(self, side: str, n: int) -> None:
        self.troubles -= 1
        wire = self._wire(side, n)
        wire.jammed = wire.was_jammed = True

    def _do_flow(self, side: str, n: int) -> None:
        self._wire(side, n).flow()

    def _do_up(self, n: int) -> None:
        self._up(self._openings()[n])

    def _do_refused(self, n: int) -> None:
        self.troubles -= 1
        self._openings()[n].refuse()

    def _say(self, n: int, data: bytes, what: str) -> None:
        self.heard.append((f"instance connection {n}", "gateway", what))
        self.served[n].wire.arrive(data)

    def _do_answer(self, n: int, how: str) -> None:
        s = self.served[n]
        if how != "ok":
            self.troubles -= 1
        requests, _ = parse(s.wire.sent, True)
        request = requests[s.answered] if len(requests) > s.answered else None
        s.answered += 1
        if how == "full" and request is not None:
            s.turned_away.append(s.answered - 1)
        self._say(n, self._answer_text(request, "ok" if how == "early" else how), f"answers, {how}")
        if how == "close":
            s.wire.ended = True
            s.wire.read()

    def _do_part(self, n: int, cut: int) -> None:
        s = self.served[n]
        requests, _ = parse(s.wire.sent, True)
        text = self._answer_text(requests[s.answered], "ok")
        s.answered += 1
        s.rest = text[cut:]
        self._say(n, text[:cut], f"the first {cut} bytes of an answer")

    def _do_rest(self, n: int) -> None:
        s = self.served[n]
        data, s.rest = s.rest, b""
        self._say(n, data, "the rest of the answer")

    def _do_drop(self, n: int) -> None:
        self.troubles -= 1
        wire = self.served[n].wire
        wire.ended = True
        wire.read()

    def _do_fin(self, n: int) -> None:
        """It has closed, and the gateway's reactor has not told yet."""
        self.troubles -= 1
        self.served[n].wire.ended = True

    def _do_read(self, n: int) -> None:
        self.served[n].wire.read()

    def _do_sigterm(self) -> None:
        self.troubles -= 1
        self.gateway.on_signal(signal.SIGTERM, None)

    def _do_sighup(self, how: str) -> None:
        self.troubles -= 1
        self.reloads.append(replace(self.gateway.config, discovery=MOVED) if how == "moved" else None)
        self.gateway.on_signal(signal.SIGHUP, None)

    def _do_wait(self, place: str) -> None:
        self.waits -= 1
        if place == "end":
            for wire in list(self.reactor.wires):
                if wire.ended:
                    wire.read()
            self.reactor.advance(self.reactor.now + LONG_MS)
            self.ended = True
            return
        at = self.reactor.next_at()
        assert at is not None
        self.reactor.advance(max(at + {"before": -1.0, "at": 0.0, "after": 1.0}[place], self.reactor.now))

    # What must hold

    def _fail(self, name: str, text: str) -> None:
        self.broken.append(Broken(name, self.reactor.now, 0, text))

    def _look(self) -> None:
        for text in self.log.errors:
            self._fail("logged", text)
        self.log.errors = []
        counters, balancer = self.gateway.counters, self.gateway.balancer
        for request, attempt in balancer.twice:
            self._fail("outcomes", f"attempt {attempt + 1} of request {request} ended twice")
        balancer.twice.clear()
        if counters["out.second_answers"]:
            self._fail("answers", "a second final answer was tried")
        if counters["out.overdue"]:
            self._fail("answers", "a request had no answer by its deadline and slack")
        for c in self.clients:
            self._look_at_client(c)
        self._look_at_effects()
        if self.ended:
            self._look_at_end()

    def _look_at_client(self, c: Client) -> None:
        if c.wire is None:
            return
        found, sound = parse(c.wire.sent, False)
        answers = [m for m in found if m.status >= 200]
        if not sound:
            self._fail("connection", f"client {c.number} got what is no answer: {c.wire.sent[-60:]!r}")
        if len(answers) > c.at + (1 if c.written or c.at < len(c.texts) else 0):
            self._fail("connection", f"client {c.number} got {len(answers)} answers to {c.at} requests")
        for n, answer in enumerate(answers):
            if answer.status == 200 and (n >= len(c.names) or answer.body.decode() != c.names[n]):
                wanted = c.names[n] if n < len(c.names) else "nothing"
                text = f"client {c.number}: answer {n + 1} is {answer.body!r}, not {wanted}"
                self._fail("connection", text)
        for n in range(c.answers, len(answers)):
            status = answers[n].status
            slow = status == 408 and (c.at <= n or c.wire.was_jammed)  # it really had not come whole
            sound = n < len(c.kinds) and c.kinds[n] != "garbage"
            if 400 <= status < 500 and sound and not slow:
                self._fail("connection", f"client {c.number}: its sound request {n + 1} got {status}")
            self.heard.append(("gateway", f"client {c.number}", f"answers {answers[n].status}"))
        c.answers = len(answers)

    def _look_at_effects(self) -> None:
        ran: dict[str, int] = {}
        for s in self.served:
            for n, request in enumerate(parse(s.wire.sent, True)[0]):
                if request.method == "POST" and n not in s.turned_away:
                    name = request.headers.get(names.ID, "")
                    ran[name] = ran.get(name, 0) + 1
        refused = {
            c.names[n] for c in self.clients if c.wire is not None
            for n, m in enumerate([m for m in parse(c.wire.sent, False)[0] if m.status >= 200])
            if m.status == 503 and n < len(c.names)
        }  # fmt: skip
        for name in sorted(refused & set(ran)):
            self._fail("effects", f"request {name} came whole to an instance and was refused")
        for name, count in ran.items():
            if count > 1:
                self._fail("executed", f"request {name} came whole to instances {count} times")

    def _look_at_end(self) -> None:
        g = self.gateway
        counters = g.counters.all()
        out = sum(n for name, n in counters.items() if name[4:].isdigit() and name.startswith("out."))
        taken, gone = counters.get("in.requests", 0), counters.get("in.gone", 0)
        if out + gone != taken:
            self._fail("answers", f"{taken} requests taken, {out} answered, {gone} left by their clients")
        if len(g.requests.table) or g.requests.ids:
            text = f"{len(g.requests.table)} requests and {len(g.requests.ids)} ids are left over"
            self._fail("slots", text)
        clients = [w for w in self.reactor.wires if w.address is None]
        if len(g.clients.links) or clients:
            text = f"{len(g.clients.links)} slots and {len(clients)} connections of clients are left"
            self._fail("slots", text)
        there = sum(w.address in INSTANCES for w in self.reactor.wires) + len(self._openings())
        if g.instances.sockets != there:
            self._fail("slots", f"{g.instances.sockets} sockets to instances counted, {there} are open")
        stopped = g.phase is Phase.STOPPED and self.reactor.stopped
        if g.phase in (Phase.DRAINING, Phase.STOPPED) and not stopped:
            self._fail("ends", "drained, all connections over, and it did not end")

    # States

    def copy(self) -> Connection:
        new: Connection = _COPIER.copy(self)
        return new

    def form(self) -> Any:
        walker = Walker(FORMS)
        return walker.walk(self.reactor), [walker.walk(v) for v in (
            self.gateway, self.clients, self.served, self.troubles, self.waits, self.ended)]  # fmt: skip

    def fingerprint(self) -> int:
        return digest(self.form())

    # For people

    def tell(self, step: Step) -> str:
        who = list(step.who)
        texts = {
            "connect": "client {0} connects",
            "write": "client {0} writes its request up to byte {1}",
            "leave": "client {0} closes its connection",
            "jam": "the kernel takes nothing more on the connection of {0} {1}",
            "flow": "the kernel takes bytes again on the connection of {0} {1}",
            "up": "a connection to an instance comes up ({0})",
            "refused": "a connection to an instance is refused ({0})",
            "answer": "the instance on connection {0} answers: {1}",
            "part": "the instance on connection {0} sends the first {1} bytes of its answer",
            "rest": "the instance on connection {0} sends the rest",
            "drop": "the instance closes connection {0}",
            "fin": "the instance closes connection {0}; nobody has looked yet",
            "read": "the gateway's reactor finds connection {0} closed",
            "sigterm": "SIGTERM",
            "sighup": "SIGHUP, with a file that is {0}",
            "wait": "time goes on: {0} the next deadline",
        }
        if who == ["end"]:
            return "time goes on until all is over"
        return texts[step.do].format(*who)
