"""The interface of a backend of the ledger."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from meadowpulley.ledger.records import Changes, Incarnation, Member, Record
from meadowpulley.ledger.transactions import Transaction, TransactionResult


@dataclass(frozen=True, slots=True)
class SkippedFrame:
    """Where in the log a torn frame was skipped: a write that was cut short, and never answered."""

    file_name: str
    offset: int  # of its first byte


@runtime_checkable
class Store(Protocol):
    """A backend of the ledger. Its calls may block: a reactor calls them from a thread.

    Every call raises `LedgerError` when the backend fails; a transaction of the failed call is UNKNOWN.
    """

    def register(self, name: str, term_ms: float) -> Incarnation:
        """Register a new incarnation of that name, with the next epoch.

        Raises `LedgerUnusableError` while an earlier incarnation of the name is alive.
        """

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Apply transactions in order, each by itself, and make them durable together.

        Returns one result for each of them.
        """

    def read(self, key: str) -> Record | None:
        """Return the record of that key, or None if there is none."""

    def scan(self, prefix: str) -> list[Record]:
        """Return the records whose keys start with `prefix`, sorted by key."""

    def members(self) -> list[Member]:
        """Return the last incarnation of every name, sorted by name."""

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        """Return what changed after a version, without waiting; 0 asks for a snapshot.

        Records are those whose keys start with one of `prefixes`. Members come whatever the prefixes: all
        that changed, or, where `watched_names` are given, those that were registered or fenced, and the
        watched ones as they are now. So the renewals that a fleet reads grow linearly with it.
        """

    def take_skipped_frames(self) -> list[SkippedFrame]:
        """Return the torn frames that were skipped since the last call."""

    def close(self) -> None:
        """Release the resources of the store."""
