"""A stage that claims things in the ledger when a story says so, and notes what its gateway is told of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowpulley.emulator.together import Place
from meadowpulley.ledger import (
    LEDGER_EVENTS,
    Committed,
    Create,
    Done,
    Ended,
    How,
    LedgerBack,
    LedgerLost,
    Life,
    Member,
    Step,
    Suspected,
)
from meadowpulley.ledger.model import Commit


@dataclass(frozen=True)
class Claim:
    """Event of a story: be the one that has this."""

    name: str


class Notebook:
    def __init__(self, place: Place) -> None:
        self.place, self.inner = place, place.inner
        self.claimed: list[str] = []
        self.done: dict[str, Done] = {}
        self.suspected: list[tuple[float, Member]] = []
        self.told: list[tuple[float, str]] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Claim):
            self.claimed.append(event.name)
            step = Step((Create(f"story/{event.name}", str(self.place.life).encode()),))
            return [Commit(len(self.claimed), (step,), "notebook")]
        if isinstance(event, Committed) and event.owner == "notebook":
            self.done[self.claimed[event.ticket - 1]] = event.done[0]
        if isinstance(event, Suspected):
            self.suspected += [(now, member) for member in event.members]
        if isinstance(event, LedgerLost | LedgerBack | Ended):
            self.told.append((now, type(event).__name__))
        return [] if isinstance(event, LEDGER_EVENTS) else list(self.inner.handle(now, event))

    def has(self, name: str) -> bool:
        return name in self.done and self.done[name].how is How.WON

    def first_told(self, what: str) -> float:
        """When it was first told so, in milliseconds; -1 if never."""
        return next((at for at, kind in self.told if kind == what), -1.0)

    def heard_of(self, life: Life, sealed: bool) -> bool:
        return any(member.life == life and member.sealed == sealed for _, member in self.suspected)
