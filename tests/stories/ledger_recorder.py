"""A stage that claims things in the ledger when a story says so, and notes what its gateway is told of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowpulley.emulator.shared_state import StageContext
from meadowpulley.ledger import (
    LEDGER_EVENTS,
    CommitCompleted,
    Create,
    Fenced,
    Incarnation,
    LeaseExpired,
    LedgerRecovered,
    LedgerUnavailable,
    Member,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.ledger.model import Commit


@dataclass(frozen=True)
class Claim:
    """Event of a story: be the one that has this."""

    name: str


class LedgerRecorder:
    def __init__(self, place: StageContext) -> None:
        self.place, self.inner = place, place.inner
        self.claims: list[str] = []
        self.results: dict[str, TransactionResult] = {}
        self.expired_leases: list[tuple[float, Member]] = []
        self.notifications: list[tuple[float, str]] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Claim):
            self.claims.append(event.name)
            transaction = Transaction((Create(f"story/{event.name}", str(self.place.incarnation).encode()),))
            return [Commit(len(self.claims), (transaction,), "notebook")]
        if isinstance(event, CommitCompleted) and event.owner == "notebook":
            self.results[self.claims[event.ticket - 1]] = event.results[0]
        if isinstance(event, LeaseExpired):
            self.expired_leases += [(now, member) for member in event.members]
        if isinstance(event, LedgerUnavailable | LedgerRecovered | Fenced):
            self.notifications.append((now, type(event).__name__))
        return [] if isinstance(event, LEDGER_EVENTS) else list(self.inner.handle(now, event))

    def has(self, name: str) -> bool:
        return name in self.results and self.results[name].outcome is TransactionOutcome.COMMITTED

    def first_notified_at(self, event_name: str) -> float:
        """When it was first told so, in milliseconds; -1 if never."""
        return next((time for time, kind in self.notifications if kind == event_name), -1.0)

    def was_notified_of(self, incarnation: Incarnation, fenced: bool) -> bool:
        return any(
            member.incarnation == incarnation and member.fenced == fenced for _, member in self.expired_leases
        )
