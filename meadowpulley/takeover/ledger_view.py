"""What this gateway has seen of the ledger: the work in hand of all, and who lives.

How old a record is, is bounded by the look it was missing from: one that is new in a look was written after
the look before it began. So each record has a moment on the own clock before which it was not written; one
that was there at the first look has none.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from meadowpulley.ledger import Changes, Incarnation, Member, Record
from meadowpulley.takeover.model import (
    RECORD_PREFIX,
    RecordError,
    RequestRecord,
    RequestState,
    decode_request_record,
)

MAX_FINISHED = 4096  # ended records: an ask may find one open that is known to have ended since


@dataclass(frozen=True, slots=True)
class ObservedRequest:
    """Work in hand, as of one version of its record."""

    request_id: str
    record: RequestRecord
    version: int
    owner: Incarnation
    not_before_ms: float  # written no earlier than this on this gateway's clock; -inf: not known
    grants_not_before_ms: tuple[float, ...] = ()  # of each right: won no earlier than this


@dataclass(slots=True)
class ViewDelta:
    """What one look has brought."""

    changed_ids: list[str] = field(default_factory=list)  # whose records are new or gone
    warnings: list[str] = field(default_factory=list)  # a line for each that can't be read
    ended_incarnations: list[Incarnation] = field(default_factory=list)
    abandoned: list[tuple[str, int]] = field(
        default_factory=list
    )  # ended, their version, and nobody's to remove


class LedgerView:
    def __init__(self) -> None:
        self.open_requests: dict[str, ObservedRequest] = {}  # owed an answer
        self.finished: dict[str, tuple[int, RequestState]] = {}  # the last ones: at which version, and how
        self.members: dict[str, Member] = {}  # the last life of each name
        self.started_after_version: dict[Incarnation, int] = {}  # of those seen to begin: after which version
        self.expired_renewals: dict[Incarnation, int] = {}  # the renewal at which its lease ran out
        self._version = 0
        self._last_poll_started_ms = -math.inf  # when the last look began

    def apply(self, poll_started_ms: float, changes: Changes) -> ViewDelta:
        delta = ViewDelta()
        delta.ended_incarnations = [
            incarnation for member in changes.members for incarnation in self.update_member(member)
        ]
        if changes.is_snapshot:
            present_keys = {record.key for record in changes.records}
            removed_ids = [
                k
                for known in (self.open_requests, self.finished)
                for k in known
                if RECORD_PREFIX + k not in present_keys
            ]
        else:
            removed_ids = [
                key[len(RECORD_PREFIX) :] for key in changes.removed_keys if key.startswith(RECORD_PREFIX)
            ]
        for request_id in removed_ids:
            known = self.open_requests.pop(request_id, None) or self.finished.pop(request_id, None)
            delta.changed_ids += [request_id] if known is not None else []
        for record in changes.records:
            if (
                not record.key.startswith(RECORD_PREFIX)
                or self.version_of(record.key[len(RECORD_PREFIX) :]) >= record.version
            ):
                continue
            try:
                delta.changed_ids.append(self._store(record))
            except RecordError as error:
                delta.warnings.append(
                    f"takeover: record {record.key!r} by {record.writer} left alone: {error}"
                )
                continue
            if (
                changes.is_snapshot
                and delta.changed_ids[-1] in self.finished
                and self.has_ended(record.writer)
            ):
                delta.abandoned.append((delta.changed_ids[-1], record.version))
        self._version = max(self._version, changes.version)
        self._last_poll_started_ms = poll_started_ms
        return delta

    def _store(self, record: Record) -> str:
        request_id, request_record = record.key[len(RECORD_PREFIX) :], decode_request_record(record.value)
        previous = self.open_requests.pop(request_id, None)
        self.finished.pop(request_id, None)
        if request_record.is_final:
            self.finished[request_id] = (record.version, request_record.state)
            if len(self.finished) > MAX_FINISHED:
                del self.finished[next(iter(self.finished))]
        else:
            not_before_ms, grants_not_before_ms = (
                self._not_before_ms(record.version),
                self._grants_not_before_ms(request_record, record.version, previous),
            )
            self.open_requests[request_id] = ObservedRequest(
                request_id, request_record, record.version, record.writer, not_before_ms, grants_not_before_ms
            )
        return request_id

    def _not_before_ms(self, version: int) -> float:
        return self._last_poll_started_ms if version > self._version else -math.inf

    def _grants_not_before_ms(
        self, record: RequestRecord, version: int, previous: ObservedRequest | None
    ) -> tuple[float, ...]:
        """When the rights were won at the earliest: what was seen of the record before knows it of some."""
        known_times = {}
        if previous is not None:
            known_times = {
                r.granted_version or previous.version: at
                for r, at in zip(previous.record.grants, previous.grants_not_before_ms, strict=True)
            }
        return tuple(
            known_times[won] if won in known_times else self._not_before_ms(won)
            for won in (r.granted_version or version for r in record.grants)
        )

    def version_of(self, request_id: str) -> int:
        if request_id in self.open_requests:
            return self.open_requests[request_id].version
        return self.finished[request_id][0] if request_id in self.finished else 0

    def update_member(self, member: Member) -> list[Incarnation]:
        """Takes it in unless something newer is known; returns the lives that ended by it."""
        incarnation, known = member.incarnation, self.members.get(member.incarnation.name)
        known_state = (
            (known.incarnation.epoch, known.fenced, known.renewal) if known is not None else (0, False, -1)
        )
        if (incarnation.epoch, member.fenced, member.renewal) <= known_state:
            return []
        self.members[incarnation.name] = member
        if known is None or known.incarnation != incarnation:
            self.started_after_version[incarnation] = self._version
        if member.renewal > self.expired_renewals.get(incarnation, member.renewal):
            del self.expired_renewals[incarnation]
        ended = [incarnation] if member.fenced else []
        if known is not None and known.incarnation != incarnation:
            self.started_after_version.pop(known.incarnation, None)
            ended += [] if known.fenced else [known.incarnation]
        return ended

    def open_ids_of(self, incarnation: Incarnation) -> list[str]:
        return [seen.request_id for seen in self.open_requests.values() if seen.owner == incarnation]

    def mark_lease_expired(self, member: Member) -> list[Incarnation]:
        """Its lease ran out by this gateway's clock, or it was sealed; returns the lives that ended by it."""
        ended = self.update_member(member)
        if not member.fenced:
            self.expired_renewals[member.incarnation] = member.renewal
        return ended

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Sealed, or followed by another life of its name: it commits nothing any more."""
        member = self.members.get(incarnation.name)
        if member is None or member.incarnation.epoch < incarnation.epoch:
            return False
        return member.incarnation.epoch > incarnation.epoch or member.fenced

    def existed_before(self, incarnation: Incarnation, version: int) -> bool:
        """Whether that life was there when this was written, as far as is known: it knows how old it is."""
        return self.started_after_version.get(incarnation, 0) < version

    def live_incarnations(self, excluded: Incarnation | None = None) -> list[Incarnation]:
        """All that neither ended nor let their lease run out."""
        return [
            m.incarnation
            for m in self.members.values()
            if not m.fenced and m.incarnation not in self.expired_renewals and m.incarnation != excluded
        ]
