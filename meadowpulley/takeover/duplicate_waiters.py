"""Clients that asked again and wait for work in hand; answers kept for those that may yet."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import islice

from meadowpulley.interface import Action, Fail, LogLine, Reject
from meadowpulley.ledger import CheckVersion, Remove, Transaction, TransactionOutcome, TransactionResult
from meadowpulley.takeover.ledger_view import LedgerView
from meadowpulley.takeover.model import (
    CONTENT_PREFIX,
    RECORD_PREFIX,
    RESPONSE_PREFIX,
    Deliver,
    RecordedResponse,
    RecordError,
    RequestState,
    TakeoverSettings,
    decode_recorded_response,
)
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind


def response_action(request: int, state: RequestState, response: RecordedResponse | None) -> Action | Deliver:
    """The answer of ended work, to one that asked for it."""
    if state is RequestState.SERVED and response is not None:
        return Deliver(request, response.status, response.headers, response.body)
    return Reject(request) if state is RequestState.REJECTED else Fail(request)


class DuplicateWaiters:
    """By name, the asks that wait; each is answered once, at its own deadline at the latest."""

    def __init__(self, settings: TakeoverSettings, view: LedgerView) -> None:
        self.settings, self.view = settings, view
        self.by_id: dict[str, dict[int, float]] = {}  # requests that wait, and until when
        self.id_by_request: dict[int, str] = {}
        self.reading: set[str] = set()  # whose answers are being read
        self.reread_at_ms: dict[str, float] = {}  # whose are to be read again, and when

    def add(self, request_id: str, request: int, deadline_ms: float) -> None:
        self.by_id.setdefault(request_id, {})[request] = deadline_ms
        self.id_by_request[request] = request_id

    def remove(self, request: int) -> bool:
        """Whether it was one that waits."""
        request_id = self.id_by_request.pop(request, None)
        if request_id is None:
            return False
        del self.by_id[request_id][request]
        if not self.by_id[request_id]:
            del self.by_id[request_id]
        return True

    def answer_all(
        self,
        builder: TransactionBuilder,
        request_id: str,
        state: RequestState,
        response: RecordedResponse | None,
    ) -> None:
        """All of that name get that answer, in the order they came."""
        for request in self.by_id.pop(request_id, ()):
            del self.id_by_request[request]
            builder.actions.append(response_action(request, state, response))
        self.reread_at_ms.pop(request_id, None)

    def fail_all(self, builder: TransactionBuilder) -> None:
        for request_id in list(self.by_id):
            self.answer_all(builder, request_id, RequestState.FAILED, None)

    def resolve(
        self, builder: TransactionBuilder, request_id: str, state: RequestState, version: int
    ) -> None:
        """What the ledger says of work that asks may wait for, if the mirror has nothing newer."""
        if request_id not in self.by_id:
            return
        finished = self.view.finished.get(request_id)
        if finished is not None and finished[0] >= version:
            state = finished[1]
        if state is RequestState.SERVED:
            self._read_response(builder, request_id)
        elif state in (RequestState.FAILED, RequestState.REJECTED):
            self.answer_all(builder, request_id, state, None)

    def on_changed(self, builder: TransactionBuilder, request_id: str) -> None:
        """The record of that name is new, or gone: then what became of it is not known."""
        version = self.view.version_of(request_id)
        self.resolve(builder, request_id, RequestState.OPEN if version else RequestState.FAILED, version)

    def _read_response(self, builder: TransactionBuilder, request_id: str) -> None:
        if request_id not in self.reading:
            self.reading.add(request_id)
            builder.add(
                Transaction((CheckVersion(RESPONSE_PREFIX + request_id, 0),)),
                TransactionIntent(TransactionKind.READ_RESPONSE, request_id),
            )

    def on_response_read(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """An answer was read; one that is not kept any more can't be given."""
        self.reading.discard(request_id)
        response = None
        if result.outcome is TransactionOutcome.UNKNOWN:
            self.reread_at_ms[request_id] = builder.now + self.settings.retry_delay_ms
            return
        if result.existing is not None:
            try:
                response = decode_recorded_response(result.existing.value)
            except RecordError as error:
                builder.actions.append(
                    LogLine(f"takeover: record {result.existing.key!r} left alone: {error}")
                )
        self.answer_all(builder, request_id, RequestState.SERVED, response)

    def due_at_ms(self) -> float:
        return min(self.reread_at_ms.values()) if self.reread_at_ms else math.inf

    def on_timer(self, builder: TransactionBuilder) -> None:
        for request_id in [n for n, at in self.reread_at_ms.items() if at <= builder.now]:
            del self.reread_at_ms[request_id]
            if request_id in self.by_id:
                self._read_response(builder, request_id)

    def fail_overdue(self, builder: TransactionBuilder, request: int) -> None:
        """Fails it if its client stops waiting now; the work goes on."""
        request_id = self.id_by_request.get(request)
        if request_id is not None and self.by_id[request_id][request] <= builder.now:
            self.remove(request)
            builder.actions.append(Fail(request))


MAX_REMOVALS_PER_TURN = 64  # records removed in one turn


@dataclass(slots=True)
class CachedResponse:
    """An ended record, and the versions at which it and what goes with it may be removed; 0: none."""

    request_id: str
    expires_at_ms: float
    record_version: int
    response_version: int = 0
    content_version: int = 0
    size_bytes: int = 0
    inherited: bool = False  # left by a dead life: what goes with it is not known


@dataclass(slots=True)
class ResponseCache:
    """Ended records, oldest first: in number bounded by time, in bytes by the terms.

    A life removes its own. What a dead one left is removed by those that start later and see all there is.
    """

    settings: TakeoverSettings
    entries: dict[str, CachedResponse] = field(default_factory=dict)
    reading_inherited: dict[str, CachedResponse] = field(default_factory=dict)  # those being read
    size_bytes: int = 0

    def add(self, builder: TransactionBuilder, entry: CachedResponse) -> None:
        """Past their bound the oldest bodies go first; the records stay, so that nothing is started again."""
        previous = self.entries.pop(entry.request_id, None)
        self.size_bytes += entry.size_bytes - (previous.size_bytes if previous is not None else 0)
        self.entries[entry.request_id] = entry
        if self.size_bytes <= self.settings.response_cache_bytes:
            return
        for oldest in self.entries.values():
            if self.size_bytes <= self.settings.response_cache_bytes:
                break
            if oldest.response_version:
                builder.add(
                    Transaction((Remove(RESPONSE_PREFIX + oldest.request_id, oldest.response_version),)),
                    TransactionIntent(TransactionKind.REMOVE),
                )
                self.size_bytes -= oldest.size_bytes
                oldest.response_version = oldest.size_bytes = 0

    def inherit(self, now: float, abandoned: Iterable[tuple[str, int]]) -> None:
        for request_id, version in abandoned:
            if request_id not in self.entries:
                self.entries[request_id] = CachedResponse(
                    request_id, now + self.settings.response_retention_ms, version, inherited=True
                )

    def due_at_ms(self) -> float:
        return next(iter(self.entries.values())).expires_at_ms if self.entries else math.inf

    def on_timer(self, builder: TransactionBuilder) -> None:
        """What was kept long enough is removed, some of it in each turn."""
        expired = [
            k for k in islice(self.entries.values(), MAX_REMOVALS_PER_TURN) if k.expires_at_ms <= builder.now
        ]
        for entry in expired:
            del self.entries[entry.request_id]
            self.size_bytes -= entry.size_bytes
            if entry.inherited:
                self.reading_inherited[entry.request_id] = entry
                for prefix in (RESPONSE_PREFIX, CONTENT_PREFIX):
                    builder.add(
                        Transaction((CheckVersion(prefix + entry.request_id, 0),)),
                        TransactionIntent(TransactionKind.READ_INHERITED, prefix + entry.request_id),
                    )
            else:
                self._remove(builder, entry)

    def on_inherited_read(self, builder: TransactionBuilder, key: str, result: TransactionResult) -> None:
        """First the answer, then the content; where that is not to be known it stays for the next start."""
        prefix = RESPONSE_PREFIX if key.startswith(RESPONSE_PREFIX) else CONTENT_PREFIX
        entry = self.reading_inherited.get(key[len(prefix) :])
        if entry is None or result.outcome is TransactionOutcome.UNKNOWN:
            self.reading_inherited.pop(key[len(prefix) :], None)
        elif prefix is RESPONSE_PREFIX:
            entry.response_version = result.existing.version if result.existing is not None else 0
        else:
            entry.content_version = result.existing.version if result.existing is not None else 0
            del self.reading_inherited[entry.request_id]
            self._remove(builder, entry)

    @staticmethod
    def _remove(builder: TransactionBuilder, entry: CachedResponse) -> None:
        versions = (
            (RECORD_PREFIX, entry.record_version),
            (RESPONSE_PREFIX, entry.response_version),
            (CONTENT_PREFIX, entry.content_version),
        )
        builder.add(
            Transaction(tuple(Remove(at + entry.request_id, v) for at, v in versions if v)),
            TransactionIntent(TransactionKind.REMOVE),
        )
