"""Collects the actions and transactions that the takeover stage produces while it handles one event."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from meadowpulley.ledger import Transaction


class TransactionKind(Enum):
    """The purpose of a transaction."""

    WRITE_RECORD = "write record"  # update the record of a journaled request
    READ_RESPONSE = "read response"  # read a response for waiting duplicates
    CLAIM = "claim"  # become the owner of an orphan
    READ_CONTENT = "read content"  # read the content of a claimed orphan
    REMOVE = "remove"  # remove expired records, or a body that no longer fits in the cache
    READ_INHERITED = "read inherited"  # read the versions of records left by an ended incarnation


@dataclass(frozen=True, slots=True)
class TransactionIntent:
    """Identifies a transaction when its result comes back.

    `subject` is the id of the request, or the key to read for READ_INHERITED. `request` is the handle of the
    request for WRITE_RECORD, and otherwise unused.
    """

    kind: TransactionKind
    subject: str = ""
    request: int = -1


@dataclass(slots=True)
class TransactionBuilder:
    """Holds the output of the stage for one event; `begin` clears it for the next event.

    `now` is the time of the event, in ms on the gateway's own clock. The actions include those of all inner
    stages, so their types are not restricted.
    """

    now: float = 0.0
    actions: list[object] = field(default_factory=list)
    transactions: list[Transaction] = field(default_factory=list)
    intents: list[TransactionIntent] = field(default_factory=list)  # one per transaction, in the same order
    last_sequence: int = 0

    def begin(self, now: float) -> None:
        """Clear the output, and set the time of the next event."""
        self.now = now
        self.actions = []
        self.transactions = []
        self.intents = []

    def next_sequence(self) -> int:
        """Return a new sequence number; an incarnation recognizes its own records by these numbers."""
        self.last_sequence += 1
        return self.last_sequence

    def add(self, transaction: Transaction, intent: TransactionIntent) -> None:
        """Add a transaction to the commit of this event."""
        self.transactions.append(transaction)
        self.intents.append(intent)
