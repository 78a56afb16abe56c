"""A state of world B: one real gateway on a scripted reactor, its clients, its instances."""

from __future__ import annotations

import json
import math
import sys
from typing import Any, Self
from urllib.parse import parse_qs, urlsplit

from meadowpulley.balance import Balancer
from meadowpulley.check.connection.parties import Backlog, Called, Client, Registry, Served
from meadowpulley.check.connection.scenes import CLASSES, DISCOVERY, INSTANCES, LIMITS, RULES, SCENES
from meadowpulley.check.graph import Copier, Forms, Walker, digest
from meadowpulley.check.properties import Broken
from meadowpulley.check.wire import Reactor
from meadowpulley.check.worlds import Setting
from meadowpulley.interface import Action, Event, Outcome, Rollout, Settings
from meadowpulley.net import names
from meadowpulley.net.config import Config, ConfigError, parse_address
from meadowpulley.net.gateway import KEPT_BACK, Gateway
from meadowpulley.net.http1 import answer_bytes

SKIP = {
    "Gateway": frozenset({"config", "log", "_reread", "counters", "_actions", "capture"}),
    "Observed": frozenset({"s", "rules", "roll", "handlers", "acts", "many", "z", "needed"}),
    "Held": frozenset({"cls"}),
    "Deadlines": frozenset({"_numbers", "_called_off", "_armed", "_armed_for", "_failed", "turned_at"}),
    "Connection": frozenset({"setting", "scene", "broken", "heard", "log"}),
    "Reactor": frozenset({"calls"}),
    "Wire": frozenset({"sent_at"}),
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

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.ended: set[tuple[int, int]] = set()
        self.twice: list[tuple[int, int]] = []

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, Outcome):
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
            kind, value, _ = sys.exc_info()
            self.errors.append(f"{more.get('where')}: {kind.__name__ if kind else ''}: {value}")


class State:
    """One gateway, its clients and its instances."""

    def __init__(self, setting: Setting) -> None:
        if setting.scene not in SCENES:
            raise ValueError(f"scene: '{setting.scene}' is not known; known are {', '.join(SCENES)}")
        self.setting, self.scene = setting, SCENES[setting.scene]
        self.troubles, self.waits = setting.troubles, setting.waits
        self.broken: list[Broken] = []
        self.heard: list[tuple[str, str, str]] = []
        self.log = Log()
        self.reactor = Reactor(Backlog)
        instances = INSTANCES[: max(min(setting.servers, len(INSTANCES)), 1)]
        self.registry = Registry(instances)
        known = self.registry.answer(None)
        news = {
            names.NEWS_BUILD: 41,
            names.NEWS_STAGE: 0,
            names.NEWS_PHASE: "stable",
            names.NEWS_CAP: 1.0,
            names.NEWS_AGE: 60_000,
        }
        settings = Settings(
            0,
            1,
            0,
            ("a",),
            5.0,
            CLASSES,
            (),
            RULES,
            LIMITS,
            Rollout(caps=(1.0,), stage_shares=(1.0,), exposure_window_ms=300.0, exposure_allowance=4.0),
        )
        config = Config(
            "g0", ("127.0.0.1", 9000), DISCOVERY, None, 7, KEPT_BACK + self.scene.size, settings, news, known
        )
        log: Any = self.log
        self.began_with = config
        self.file: Config | None = config  # what a reload finds; None: no file that can be used
        self.moved = self.told_to_end = self.fetched = False
        self.told_to_end_at = math.inf
        self.told: dict[tuple[str, int], float] = {}  # instances told to drain or to be gone, and when
        self.told_version = self.registry.version
        self.calls: list[Called] = []
        self.waited: frozenset[str] = frozenset()  # requests with no attempt yet when their client had gone
        self.gateway = Gateway(config, self.reactor, log, Observed, self._reread, self._now)
        self.gateway.prepare()
        if not self.scene.starts:
            self.gateway.listen()
        scripts = [self.scene.scripts[n % len(self.scene.scripts)] for n in range(setting.requests)]
        self.clients = [Client(n, script) for n, script in enumerate(scripts[: max(setting.requests, 1)])]
        self.served: list[Served] = []
        self.ended = False
        for n, opening in enumerate(list(self._openings())):  # of those opened ahead the first comes up
            self._up(opening) if n == 0 else opening.refuse()
        self.reactor.run_due()
        self._call_up()
        for n in range(len(self.calls)):  # the first watch asks for what is new at once
            self._make(n)
            self._deliver(n)

    def _now(self) -> float:
        return self.reactor.now

    @property
    def now(self) -> float:
        return self.reactor.now

    def _reread(self) -> Config:
        if self.file is None:
            raise ConfigError("no file that can be used")
        return self.file

    def _openings(self) -> list[Any]:
        return [o for o in self.reactor.openings if o.address in INSTANCES]

    def _up(self, opening: Any) -> None:
        wire = opening.accept()
        self.served.append(Served(wire))

    def _call_up(self) -> None:
        """Connections to discovery come up at once, where it answers."""
        for opening in [o for o in self.reactor.openings if o.address not in INSTANCES and self.scene.lists]:
            self.calls.append(Called(opening.accept()))

    def _make(self, n: int) -> None:
        """Discovery writes its answer to a call: what it holds at this moment."""
        call = self.calls[n].call()
        assert call is not None
        after = parse_qs(urlsplit(call.target).query).get(names.AFTER)
        self.calls[n].made = self.registry.answer(int(after[0]) if after else None)

    def _deliver(self, n: int) -> None:
        """The answer arrives: what a newer one told stays told."""
        c = self.calls[n]
        raw, c.made = c.made, None
        assert raw is not None
        c.answered += 1
        if raw[names.VERSION] >= self.told_version:
            self.told_version = raw[names.VERSION]
            listed = {parse_address(e[names.ADDRESS]): e[names.STATE] for e in raw[names.ENTRIES]}
            for address in self.registry.addresses:
                state = listed.get(address, "terminated" if raw[names.WHOLE] else "")
                if state == "in_service":
                    self.told.pop(address, None)
                elif state:
                    self.told.setdefault(address, self.now)
        c.wire.arrive(answer_bytes(200, {"content-type": "application/json"}, json.dumps(raw).encode()))
        self.reactor.run_due()
        self._call_up()

    def _fail(self, name: str, text: str) -> None:
        self.broken.append(Broken(name, self.reactor.now, 0, text))

    # States

    def copy(self) -> Self:
        new: Self = _COPIER.copy(self)
        return new

    def form(self) -> Any:
        walker = Walker(FORMS)
        return walker.walk(self.reactor), [
            walker.walk(v)
            for v in (
                self.gateway,
                self.clients,
                self.served,
                self.troubles,
                self.waits,
                self.ended,
                self.registry,
                self.calls,
                self.moved,
                self.told_to_end,
                self.fetched,
                self.told,
                self.told_version,
                self.waited,
                self.told_to_end_at,
            )
        ]

    def fingerprint(self) -> int:
        return digest(self.form())
