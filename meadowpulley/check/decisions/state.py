"""A state of world A: gateways, lists, the platform's history, what is left to come."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Self

from meadowpulley.balance import Balancer
from meadowpulley.check.decisions.forms import CHOICES
from meadowpulley.check.decisions.host import Host
from meadowpulley.check.graph import digest
from meadowpulley.check.properties import Broken
from meadowpulley.check.scenes import EARLIER, SCENES, TRIAL
from meadowpulley.check.worlds import Setting
from meadowpulley.interface import RolloutUpdate, ServerEntry, ServerState, Settings

START_MS = 100_000.0  # all began long ago: servers are warm, windows empty


class State:
    """The world, between steps. Copies share hosts until one of them steps."""

    def __init__(self, setting: Setting, make: Callable[[Settings, int], Any] = Balancer) -> None:
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
        self.lists: tuple[tuple[ServerEntry, ...], ...] = (first,)
        self.history: tuple[RolloutUpdate, ...] = (self.scene.news,)
        self.hosts = [
            Host(n, self.scene.settings(n, setting.gateways), make) for n in range(setting.gateways)
        ]
        CHOICES.begin(())
        for host in self.hosts:
            host.begin(self, 0, self.scene.news)
        self._gather()

    @staticmethod
    def _entry(server: int, build: int, started: float) -> ServerEntry:
        return ServerEntry(server, 0, 0, ServerState.READY, build, started, 0, 1.0)

    def entry_at(self, version: int, server: int) -> ServerEntry | None:
        return next((e for e in self.lists[version] if e.server == server), None) if version >= 0 else None

    def say(self, who: str, whom: str, what: str) -> None:
        self.heard.append((who, whom, what))

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

    # Copies and forms

    def copy(self) -> Self:
        new = type(self).__new__(type(self))
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
            told = [
                (int(e.state), e.build, e.started_ms)
                for entries in self.lists
                for e in entries
                if e.server == number
            ]
            there = [any(e.server == number for e in entries) for entries in self.lists]
            marks.append((told, there, sorted(p[place] for p in parts), number))
        marks.sort()
        return {number: place for place, (*_, number) in enumerate(marks)}
