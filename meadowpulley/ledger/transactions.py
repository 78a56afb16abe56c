"""Transactions, the only way in which the ledger changes, and their results.

A transaction is a few writes that are applied together or not at all: if one of them finds that its record
has changed, the whole transaction fails and changes nothing. Each transaction is committed by an incarnation
of a gateway, and an incarnation that was fenced can commit nothing more, so a gateway that was stopped for a
while finds out at its next transaction, before it acts on it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from meadowpulley.ledger.errors import InvalidTransactionError
from meadowpulley.ledger.records import Incarnation, Record


@dataclass(frozen=True, slots=True)
class Create:
    """Create a record; conflicts if the key exists."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Replace:
    """Replace a record; conflicts unless it exists with this version."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove a record; conflicts unless it exists with this version."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class CheckVersion:
    """Write nothing; conflicts unless the record has this version (0: unless there is no record)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Fence:
    """End another incarnation: from now on it can commit nothing.

    Succeeds for exactly one caller, and never for that incarnation itself. `renewal` is the number of the
    last renewal that the caller saw: an incarnation that has renewed its lease since is not fenced.
    """

    incarnation: Incarnation
    renewal: int


@dataclass(frozen=True, slots=True)
class ReleaseLease:
    """End the incarnation that commits this, as `Fence` does, after the earlier writes of the transaction."""


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease of the incarnation that commits this: its renewal number rises by one.

    It must be the only write of its transaction.
    """


Write: TypeAlias = Create | Replace | Remove | CheckVersion | Fence | ReleaseLease | RenewLease


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are applied together, in this order, or not at all."""

    writes: tuple[Write, ...]


def check_writes(transaction: Transaction) -> None:
    """Check that a renewal is the only write of its transaction. Raises `InvalidTransactionError`."""
    if RenewLease() in transaction.writes and len(transaction.writes) > 1:
        raise InvalidTransactionError("RenewLease must be the only write of its transaction")


class TransactionOutcome(Enum):
    """How a transaction ended. The values are the suffixes of the counters `ledger.*`."""

    COMMITTED = "won"
    CONFLICT = "lost"  # a record was not as the transaction expected: nothing was changed
    FENCED = "sealed"  # the incarnation that committed it has ended: nothing was changed
    UNKNOWN = "unknown"  # no answer, or none in time: it may have been applied, or may yet be


@dataclass(frozen=True, slots=True)
class TransactionResult:
    """The outcome of one transaction, with the cause of a conflict."""

    outcome: TransactionOutcome
    version: int = 0  # of the ledger after it, where it was committed
    failed_write_index: int = -1  # which of its writes conflicted
    existing: Record | None = None  # the record which that write found, if any
