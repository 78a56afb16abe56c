"""Keeps the records of finished requests for clients that repeat them, and removes expired records."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from meadowpulley.ledger import CheckVersion, Remove, Transaction, TransactionOutcome, TransactionResult
from meadowpulley.takeover.journaled_request import FinalResponse, JournaledRequest
from meadowpulley.takeover.ledger_view import AbandonedRequest
from meadowpulley.takeover.records import CONTENT_PREFIX, RECORD_PREFIX, RESPONSE_PREFIX
from meadowpulley.takeover.settings import TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

MAX_REMOVALS_PER_TURN = 64  # maximum number of entries removed per event


@dataclass(slots=True)
class CachedResponse:
    """A finished request and the ledger versions of its records; version 0 means no record."""

    request_id: str
    expires_at_ms: float
    record_version: int
    response_version: int = 0
    content_version: int = 0
    size_bytes: int = 0  # size of the response body
    inherited: bool = False  # left by an ended incarnation; content and response versions unknown


@dataclass(slots=True)
class ResponseCache:
    """Holds finished requests, oldest first; limits their age and the total size of their bodies.

    Each incarnation removes its own records. The records of an ended incarnation are removed by gateways that
    start later, because their first poll returns all records.
    """

    settings: TakeoverSettings
    entries: dict[str, CachedResponse] = field(default_factory=dict)
    reading_inherited: dict[str, CachedResponse] = field(default_factory=dict)
    size_bytes: int = 0

    def add(self, builder: TransactionBuilder, entry: CachedResponse) -> None:
        """Add a finished request, and remove the oldest bodies if the cache exceeds its size limit.

        The request records are kept, so that a duplicate is not executed again although the body is gone.
        """
        previous = self.entries.pop(entry.request_id, None)
        if previous is not None:
            self.size_bytes -= previous.size_bytes
        self.size_bytes += entry.size_bytes
        self.entries[entry.request_id] = entry
        if self.size_bytes > self.settings.response_cache_bytes:
            self._remove_oldest_bodies(builder)

    def _remove_oldest_bodies(self, builder: TransactionBuilder) -> None:
        for oldest in self.entries.values():
            if self.size_bytes <= self.settings.response_cache_bytes:
                break
            if oldest.response_version:
                self._remove_body(builder, oldest)

    def add_finished(
        self, builder: TransactionBuilder, entry: JournaledRequest, final_response: FinalResponse
    ) -> None:
        """Add a finished request of this gateway, if it has a record in the ledger."""
        if not entry.record_version:
            return
        response = final_response.response
        cached = CachedResponse(
            entry.request_id,
            builder.now + self.settings.response_retention_ms,
            entry.record_version,
            entry.response_version,
            size_bytes=len(response.body) if response is not None else 0,
        )
        self.add(builder, cached)

    def _remove_body(self, builder: TransactionBuilder, entry: CachedResponse) -> None:
        removal = Remove(RESPONSE_PREFIX + entry.request_id, entry.response_version)
        builder.add(Transaction((removal,)), TransactionIntent(TransactionKind.REMOVE))
        self.size_bytes -= entry.size_bytes
        entry.response_version = 0
        entry.size_bytes = 0

    def inherit(self, now: float, abandoned: Iterable[AbandonedRequest]) -> None:
        """Add finished requests of ended incarnations, so that their records get removed."""
        expires_at_ms = now + self.settings.response_retention_ms
        for left in abandoned:
            if left.request_id not in self.entries:
                entry = CachedResponse(left.request_id, expires_at_ms, left.version, inherited=True)
                self.entries[left.request_id] = entry

    def due_at_ms(self) -> float:
        """Return the time at which the next entry expires; infinity if there are no entries."""
        if not self.entries:
            return math.inf
        oldest = next(iter(self.entries.values()))
        return oldest.expires_at_ms

    def on_timer(self, builder: TransactionBuilder) -> None:
        """Remove expired entries, at most `MAX_REMOVALS_PER_TURN` per event."""
        oldest = islice(self.entries.values(), MAX_REMOVALS_PER_TURN)
        expired = [entry for entry in oldest if entry.expires_at_ms <= builder.now]
        for entry in expired:
            del self.entries[entry.request_id]
            self.size_bytes -= entry.size_bytes
            if entry.inherited:
                self._read_inherited(builder, entry)
            else:
                self._remove(builder, entry)

    def _read_inherited(self, builder: TransactionBuilder, entry: CachedResponse) -> None:
        """Read the versions of an inherited entry's response and content records, in this order.

        The records can be removed only once these versions are known.
        """
        self.reading_inherited[entry.request_id] = entry
        for prefix in (RESPONSE_PREFIX, CONTENT_PREFIX):
            key = prefix + entry.request_id
            read = Transaction((CheckVersion(key, 0),))
            builder.add(read, TransactionIntent(TransactionKind.READ_INHERITED, key))

    def on_inherited_read(self, builder: TransactionBuilder, key: str, result: TransactionResult) -> None:
        """Store the version that was read, and remove the records once both versions are known.

        If a read fails, the records stay in the ledger until another gateway starts and removes them.
        """
        is_response = key.startswith(RESPONSE_PREFIX)
        prefix = RESPONSE_PREFIX if is_response else CONTENT_PREFIX
        request_id = key.removeprefix(prefix)
        entry = self.reading_inherited.get(request_id)
        if entry is None or result.outcome is TransactionOutcome.UNKNOWN:
            self.reading_inherited.pop(request_id, None)
            return
        version = result.existing.version if result.existing is not None else 0
        if is_response:
            entry.response_version = version
        else:
            entry.content_version = version
            del self.reading_inherited[entry.request_id]
            self._remove(builder, entry)

    @staticmethod
    def _remove(builder: TransactionBuilder, entry: CachedResponse) -> None:
        versions = (
            (RECORD_PREFIX, entry.record_version),
            (RESPONSE_PREFIX, entry.response_version),
            (CONTENT_PREFIX, entry.content_version),
        )
        removals = tuple(
            Remove(prefix + entry.request_id, version) for prefix, version in versions if version
        )
        builder.add(Transaction(removals), TransactionIntent(TransactionKind.REMOVE))
