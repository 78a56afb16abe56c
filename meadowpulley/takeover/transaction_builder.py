"""Collects the actions and transactions that the takeover stage asks for while it handles one event."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from meadowpulley.ledger import Transaction


class TransactionKind(Enum):
    """What a transaction is for."""

    WRITE_RECORD = "write record"  # of a journaled request
    READ_RESPONSE = "read response"  # for duplicates that wait for it
    CLAIM = "claim"  # of an orphan
    READ_CONTENT = "read content"  # of a claimed orphan
    REMOVE = "remove"  # of records that were kept long enough
    READ_INHERITED = "read inherited"  # versions of what belongs to a record that an ended incarnation left


@dataclass(frozen=True, slots=True)
class TransactionIntent:
    """Identifies a transaction when its result comes back.

    `subject` is the client's id of the request, or for READ_INHERITED the key that is read. `request` is the
    handle of the request for WRITE_RECORD.
    """

    kind: TransactionKind
    subject: str = ""
    request: int = -1


@dataclass(slots=True)
class TransactionBuilder:
    """The output of the stage for one event, which `begin` starts anew.

    `now` is the time of the event, in ms on the gateway's own clock. The actions are those of all stages
    further in, too, so their types are open.
    """

    now: float = 0.0
    actions: list[object] = field(default_factory=list)
    transactions: list[Transaction] = field(default_factory=list)
    intents: list[TransactionIntent] = field(default_factory=list)  # one for each transaction
    last_sequence: int = 0

    def begin(self, now: float) -> None:
        """Start the output for the next event."""
        self.now = now
        self.actions = []
        self.transactions = []
        self.intents = []

    def next_sequence(self) -> int:
        """Return a new sequence number for a request; a writer recognizes its own records by it."""
        self.last_sequence += 1
        return self.last_sequence

    def add(self, transaction: Transaction, intent: TransactionIntent) -> None:
        """Add a transaction to the commit of this event."""
        self.transactions.append(transaction)
        self.intents.append(intent)
