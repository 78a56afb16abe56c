"""Transactions, which are the only way to change the ledger besides registration, and their results.

A transaction is a sequence of writes that are applied together or not at all: if one write finds that its
record has changed, the whole transaction fails and changes nothing. Each transaction is committed by an
incarnation of a gateway, and a fenced incarnation can commit nothing more. A gateway that was stopped for a
while therefore learns at its next transaction that it was fenced, before it acts on the result.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from meadowpulley.ledger.errors import InvalidTransactionError
from meadowpulley.ledger.records import Incarnation, Record


@dataclass(frozen=True, slots=True)
class Create:
    """Create a record; conflict if the key exists."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Replace:
    """Replace a record; conflict unless it exists with this version."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a record; conflict unless it exists with this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class CheckVersion:
    """Write nothing; conflict unless the record has this version (0: unless there is no record)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Fence:
    """End another incarnation, which can commit nothing from then on.

    A fence succeeds for exactly one caller, and never for the fenced incarnation itself. `renewal` is the
    last renewal number that the caller saw; if the incarnation has renewed its lease since, the fence
    conflicts.
    """

    incarnation: Incarnation
    renewal: int


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """End the committing incarnation, as `Fence` does, after the earlier writes of the transaction."""


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease of the committing incarnation, whose renewal number increases by one.

    It must be the only write of its transaction.
    """


Write: TypeAlias = Create | Replace | Remove | CheckVersion | Fence | ReleaseLease | RenewLease


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together, in this order, or not at all."""

    writes: tuple[Write, ...]


def check_writes(transaction: Transaction) -> None:
    """Raise `InvalidTransactionError` if a transaction combines a renewal with other writes."""
    if RenewLease() in transaction.writes and len(transaction.writes) > 1:
        raise InvalidTransactionError("RenewLease must be the only write of its transaction")


class TransactionOutcome(Enum):
    """The outcome of a transaction. The values are the suffixes of the counters `ledger.*`."""

    COMMITTED = "won"
    CONFLICT = "lost"  # a write conflicted with the present state, so nothing was changed
    FENCED = "sealed"  # the committing incarnation has ended, so nothing was changed
    # The store failed or did not answer in time: the transaction may have been applied, or may still be.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The outcome of one transaction, with the cause of a conflict."""

    outcome: TransactionOutcome
    version: int = 0  # the ledger's version after the transaction, if it was committed
    failed_write_index: int = -1  # index of the write that conflicted; -1 if none did
    existing: Record | None = None  # the record that the conflicting write found, if any
