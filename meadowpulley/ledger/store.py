"""The interface that every ledger backend implements."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol, runtime_checkable

from meadowpulley.ledger.records import Changes, Incarnation, Member, Record
from meadowpulley.ledger.transactions import Transaction, TransactionResult


@dataclass(frozen=True, slots=True)
class SkippedFrame:
    """The place of a skipped torn frame: a truncated write that was never acknowledged."""

    file_name: str
    offset: int  # the file offset of its first byte


@runtime_checkable
class Store(Protocol):
    """A ledger backend. Its calls may block, so they must not run in the reactor thread.

    Every call raises `LedgerError` if the backend fails; its transactions then have the outcome UNKNOWN.
    """

    def register(self, name: str, term_ms: float) -> Incarnation:
        """Register a new incarnation under `name`, with the next epoch and a lease of `term_ms`.

        Raises `LedgerUnusableError` while an earlier incarnation of the name is alive.
        """

    def commit(
        self, incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        """Apply transactions in order, each separately, and make them durable together.

        Return one result for each transaction.
        """

    def read(self, key: str) -> Record | None:
        """Return the record with that key, or None if there is none."""

    def scan(self, prefix: str) -> list[Record]:
        """Return the records whose keys start with `prefix`, sorted by key."""

    def members(self) -> list[Member]:
        """Return the last incarnation of every name, sorted by name."""

    def changes(
        self, after_version: int, prefixes: Sequence[str] = ("",), watched_names: Sequence[str] | None = None
    ) -> Changes:
        """Return the changes after a version, without waiting for any; version 0 requests a snapshot.

        Records are included if their key starts with one of `prefixes`. Members are included regardless of
        the prefixes. If `watched_names` is None, they are all changed members. Otherwise they are the members
        that were registered or fenced, and the present state of the watched members. Watching a few members
        each keeps the number of renewals that a fleet reads linear in its size.
        """

    def take_skipped_frames(self) -> list[SkippedFrame]:
        """Return the torn frames that were skipped since the last call."""

    def close(self) -> None:
        """Release the resources of the store."""
