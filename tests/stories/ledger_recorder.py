"""A stage that claims things in the ledger when a scenario says so, and records the ledger's events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from meadowpulley.emulator.shared_state import StageContext
from meadowpulley.ledger import (
    LEDGER_EVENTS,
    CommitCompleted,
    Create,
    Fenced,
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
    """Event of a scenario: claim this name."""

    name: str


OWNER = "recorder"


class LedgerRecorder:
    """The recorder of one incarnation of a gateway; times are in milliseconds."""

    def __init__(self, context: StageContext) -> None:
        self.context, self.inner = context, context.inner
        self.claims: list[str] = []
        self.results: dict[str, TransactionResult] = {}
        self.expired_leases: list[tuple[float, Member]] = []
        self.notifications: list[tuple[float, type]] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Claim):
            self.claims.append(event.name)
            transaction = Transaction(
                (Create(f"story/{event.name}", str(self.context.incarnation).encode()),)
            )
            return [Commit(len(self.claims), (transaction,), OWNER)]
        if isinstance(event, CommitCompleted) and event.owner == OWNER:
            self.results[self.claims[event.ticket - 1]] = event.results[0]
        if isinstance(event, LeaseExpired):
            self.expired_leases += [(now, member) for member in event.members]
        if isinstance(event, LedgerUnavailable | LedgerRecovered | Fenced):
            self.notifications.append((now, type(event)))
        return [] if isinstance(event, LEDGER_EVENTS) else list(self.inner.handle(now, event))

    def has(self, name: str) -> bool:
        """Return whether the claim of that name was granted."""
        return name in self.results and self.results[name].outcome is TransactionOutcome.COMMITTED

    def first_notified_at(self, event_type: type) -> float:
        """Return when an event of that type first came; -1 if never."""
        return next((time for time, kind in self.notifications if kind is event_type), -1.0)
