"""Keeps finished records in the ledger for clients that repeat a request, and removes them in time."""

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

MAX_REMOVALS_PER_TURN = 64  # entries removed while one event is handled


@dataclass(slots=True)
class CachedResponse:
    """A finished request, and the versions at which its records may be removed; 0: no such record."""

    request_id: str
    expires_at_ms: float
    record_version: int
    response_version: int = 0
    content_version: int = 0
    size_bytes: int = 0  # of the response's body
    inherited: bool = False  # left by an ended incarnation: the versions of content and response are unknown


@dataclass(slots=True)
class ResponseCache:
    """Finished requests, oldest first; bounded by age, and the bodies also by their total size.

    An incarnation removes its own records. Those of an ended incarnation are removed by the gateways that
    start later and see all records in their first poll.
    """

    settings: TakeoverSettings
    entries: dict[str, CachedResponse] = field(default_factory=dict)
    reading_inherited: dict[str, CachedResponse] = field(default_factory=dict)
    size_bytes: int = 0

    def add(self, builder: TransactionBuilder, entry: CachedResponse) -> None:
        """Add a finished request, and remove the oldest bodies where the cache is over its size.

        The records stay, so that a duplicate of a request without its body is not executed again.
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
        """Add a request of this gateway that has a record in the ledger."""
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
        """Take over the finished requests that ended incarnations have left."""
        expires_at_ms = now + self.settings.response_retention_ms
        for left in abandoned:
            if left.request_id not in self.entries:
                entry = CachedResponse(left.request_id, expires_at_ms, left.version, inherited=True)
                self.entries[left.request_id] = entry

    def due_at_ms(self) -> float:
        """Return when the next entry expires; infinity: there is none."""
        if not self.entries:
            return math.inf
        oldest = next(iter(self.entries.values()))
        return oldest.expires_at_ms

    def on_timer(self, builder: TransactionBuilder) -> None:
        """Remove expired entries, some of them for each event."""
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
        """Ask for the versions of the response and of the content, in this order."""
        self.reading_inherited[entry.request_id] = entry
        for prefix in (RESPONSE_PREFIX, CONTENT_PREFIX):
            key = prefix + entry.request_id
            read = Transaction((CheckVersion(key, 0),))
            builder.add(read, TransactionIntent(TransactionKind.READ_INHERITED, key))

    def on_inherited_read(self, builder: TransactionBuilder, key: str, result: TransactionResult) -> None:
        """Note the version that was read, and remove the records once both are known.

        Where a read fails, the records stay until the next gateway starts.
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
