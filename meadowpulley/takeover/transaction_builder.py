"""One turn of the stage: the actions it asks for, and the steps that go into its one commit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from meadowpulley.ledger import Transaction


class TransactionKind(Enum):
    """What a step is for."""

    WRITE_RECORD = "write"  # the record of a request in hand
    READ_RESPONSE = "answer"  # an answer is read for asks that wait
    CLAIM = "claim"
    READ_CONTENT = "content"  # of claimed work is read
    REMOVE = "clean"  # a kept record is removed
    READ_INHERITED = "old"  # what there is of one that a dead life left is read


@dataclass(frozen=True, slots=True)
class TransactionIntent:
    kind: TransactionKind
    subject: str = ""  # of the work, or of the life
    request: int = -1


@dataclass(slots=True)
class TransactionBuilder:
    now: float = 0.0
    actions: list[Any] = field(default_factory=list)
    transactions: list[Transaction] = field(default_factory=list)
    intents: list[TransactionIntent] = field(default_factory=list)
    last_sequence: int = 0

    def begin(self, now: float) -> None:
        self.now, self.actions, self.transactions, self.intents = now, [], [], []

    def next_sequence(self) -> int:
        """A number for a piece of work, never given twice, by which its own writes are known when found."""
        self.last_sequence += 1
        return self.last_sequence

    def add(self, transaction: Transaction, intent: TransactionIntent) -> None:
        self.transactions.append(transaction)
        self.intents.append(intent)
