"""A state of world C: two gateways, one ledger, two servers, and what is on its way between them."""

from __future__ import annotations

from typing import Any, NamedTuple, Self

from meadowpulley.check.graph import Walker, digest
from meadowpulley.check.shared.books import Books
from meadowpulley.check.shared.node import CHOICES, FORMS, Node
from meadowpulley.check.shared.scenes import SCENES
from meadowpulley.check.worlds import Setting
from meadowpulley.ledger import Life, MemoryStore
from meadowpulley.takeover.model import WORK, decode_work

START_MS = 100_000.0


class Attempt(NamedTuple):
    """One that has reached its server, and has not run."""

    gateway: int
    life: Life
    request: int
    attempt: int
    name: str
    cls: int
    server: int
    held: bool  # it waits at the server until it is let go


class State:
    def __init__(self, setting: Setting) -> None:
        if setting.scene not in SCENES:
            raise ValueError(f"scene: '{setting.scene}' is not known; known are {', '.join(SCENES)}")
        self.setting, self.scene = setting, SCENES[setting.scene]
        self.now = START_MS
        self.left = tuple(range(setting.requests))  # requests still to come
        self.asked: tuple[tuple[int, int], ...] = ()  # request and gateway, of every ask
        self.troubles, self.waits = setting.troubles, setting.waits
        self.ended = False
        self.heard: list[tuple[str, str, str]] = []
        self.mine = {0, 1}  # gateways that no other copy of this world shares
        self.books = Books()
        self.broken = self.books.broken
        self.store = MemoryStore()
        self.arrived: tuple[Attempt, ...] = ()
        self.nodes = [Node(n, self.scene) for n in range(2)]
        CHOICES.begin(())
        for node in self.nodes:
            node.begin(self)
        self._begin()

    def _begin(self) -> None:
        """Both have renewed their leases and know of each other."""

    def say(self, who: str, whom: str, what: str) -> None:
        self.heard.append((who, whom, what))

    def open_work(self) -> list[str]:
        """Written requests without their end."""
        found = []
        for key, record in self.store.records.items():
            if key.startswith(WORK) and not decode_work(record.value).ended:
                found.append(key[len(WORK) :])
        return found

    def has_ended(self, name: str) -> bool:
        """Whether the ledger has the end of that request."""
        record = self.store.records.get(WORK + name)
        return record is not None and decode_work(record.value).ended

    # Copies and forms

    def copy(self) -> Self:
        new = type(self).__new__(type(self))
        new.__dict__.update(self.__dict__)
        new.nodes, new.heard, new.mine = list(self.nodes), [], set()
        new.books, new.store = self.books.copy(), self.store.copy()
        new.broken = new.books.broken
        return new

    def _around(self) -> tuple[Any, ...]:
        walker = Walker(FORMS)
        return (
            self.now,
            self.left,
            self.asked,
            self.troubles,
            self.waits,
            self.ended,
            walker.walk(self.arrived),
            walker.walk(self.store),
            self.books.form(),
        )

    def form(self) -> Any:
        return self._around(), tuple(n.form() for n in self.nodes)

    def fingerprint(self) -> int:
        return digest((self._around(), tuple(n.mark() for n in self.nodes)))
