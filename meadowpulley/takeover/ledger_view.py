"""This gateway's view of the ledger: the open requests of all gateways, and the live incarnations.

The last poll that did not contain a record limits the record's age: a record that is new in one poll was
written after the previous poll started. The start of that previous poll, on this gateway's clock, is
therefore the earliest possible time of the write. It is unknown for records that the first poll contained.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from meadowpulley.interface import LedgerRecordIgnored
from meadowpulley.ledger import Changes, Incarnation, Member, Record
from meadowpulley.takeover.records import (
    RECORD_PREFIX,
    STAGE_NAME,
    RecordError,
    RequestRecord,
    RequestState,
    decode_request_record,
)

# Maximum number of finished requests to remember. They are needed because a duplicate may read an open
# record whose request has finished in the meantime.
MAX_FINISHED = 4096


@dataclass(frozen=True, slots=True)
class ObservedRequest:
    """An open request at one version of its record. All times are in ms on this gateway's clock."""

    request_id: str
    record: RequestRecord
    version: int
    owner: Incarnation
    not_before_ms: float  # earliest time at which the record can have been written; -inf if unknown
    grants_not_before_ms: tuple[float, ...] = ()  # earliest possible commit time of each grant


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """The final state of a request, and the version of the record that holds it."""

    version: int
    state: RequestState


@dataclass(frozen=True, slots=True)
class AbandonedRequest:
    """A finished request of an ended incarnation, whose records no other gateway removes."""

    request_id: str
    version: int


@dataclass(slots=True)
class ViewDelta:
    """The changes that one poll made to the view."""

    changed_ids: list[str] = field(default_factory=list)  # requests with a new, changed or removed record
    ignored_records: list[LedgerRecordIgnored] = field(default_factory=list)  # records that cannot be decoded
    ended_incarnations: list[Incarnation] = field(default_factory=list)
    abandoned: list[AbandonedRequest] = field(default_factory=list)


class LedgerView:
    """Holds open requests, recently finished requests and members, as of the last poll."""

    def __init__(self) -> None:
        """Start with an empty view."""
        self.open_requests: dict[str, ObservedRequest] = {}
        self.finished: dict[str, FinishedRequest] = {}  # recently finished requests, oldest first
        self.members: dict[str, Member] = {}  # the latest known incarnation of each gateway, by name
        # For each incarnation, the version of the view just before the incarnation first appeared.
        self.started_after_version: dict[Incarnation, int] = {}
        self.expired_renewals: dict[Incarnation, int] = {}  # number of the renewal whose lease has expired
        self._version = 0
        self._last_poll_started_ms = -math.inf

    def apply(self, poll_started_ms: float, changes: Changes) -> ViewDelta:
        """Apply the changes that a poll returned, and return the resulting changes to the view."""
        delta = ViewDelta()
        for member in changes.members:
            delta.ended_incarnations += self.update_member(member)
        delta.changed_ids = self._remove_missing(changes)
        for record in changes.records:
            self._apply_record(record, delta, is_snapshot=changes.is_snapshot)
        self._version = max(self._version, changes.version)
        self._last_poll_started_ms = poll_started_ms
        return delta

    def _remove_missing(self, changes: Changes) -> list[str]:
        """Forget the requests whose records were removed; return the ids that the view contained."""
        if changes.is_snapshot:
            present_keys = {record.key for record in changes.records}
            known_ids = [*self.open_requests, *self.finished]
            removed_ids = [known for known in known_ids if RECORD_PREFIX + known not in present_keys]
        else:
            removed_ids = [
                key[len(RECORD_PREFIX) :] for key in changes.removed_keys if key.startswith(RECORD_PREFIX)
            ]
        return [request_id for request_id in removed_ids if self._forget(request_id)]

    def _forget(self, request_id: str) -> bool:
        was_open = self.open_requests.pop(request_id, None) is not None
        return was_open or self.finished.pop(request_id, None) is not None

    def _apply_record(self, record: Record, delta: ViewDelta, *, is_snapshot: bool) -> None:
        if not record.key.startswith(RECORD_PREFIX):
            return
        request_id = record.key[len(RECORD_PREFIX) :]
        if self.version_of(request_id) >= record.version:
            return
        try:
            self._store(request_id, record)
        except RecordError as error:
            ignored = LedgerRecordIgnored(STAGE_NAME, record.key, str(error), str(record.writer))
            delta.ignored_records.append(ignored)
            return
        delta.changed_ids.append(request_id)
        if is_snapshot and request_id in self.finished and self.has_ended(record.writer):
            delta.abandoned.append(AbandonedRequest(request_id, record.version))

    def _store(self, request_id: str, record: Record) -> None:
        request_record = decode_request_record(record.value)
        previous = self.open_requests.pop(request_id, None)
        self.finished.pop(request_id, None)
        if request_record.is_final:
            self.finished[request_id] = FinishedRequest(record.version, request_record.state)
            if len(self.finished) > MAX_FINISHED:
                del self.finished[next(iter(self.finished))]
            return
        self.open_requests[request_id] = ObservedRequest(
            request_id,
            request_record,
            record.version,
            record.writer,
            self._not_before_ms(record.version),
            self._grants_not_before_ms(request_record, record.version, previous),
        )

    def _not_before_ms(self, version: int) -> float:
        """Return the earliest time at which this version can have been written; -inf if unknown."""
        return self._last_poll_started_ms if version > self._version else -math.inf

    def _grants_not_before_ms(
        self, record: RequestRecord, version: int, previous: ObservedRequest | None
    ) -> tuple[float, ...]:
        """Return the earliest time at which each grant can have been committed; -inf if unknown.

        These are lower bounds. Those that are known from the previous observation are reused.
        """
        known_times_ms: dict[int, float] = {}
        if previous is not None:
            previous_grants = zip(previous.record.grants, previous.grants_not_before_ms, strict=True)
            for grant, not_before_ms in previous_grants:
                known_times_ms[grant.granted_version or previous.version] = not_before_ms
        times_ms: list[float] = []
        for grant in record.grants:
            granted_version = grant.granted_version or version
            known_time_ms = known_times_ms.get(granted_version)
            if known_time_ms is None:
                known_time_ms = self._not_before_ms(granted_version)
            times_ms.append(known_time_ms)
        return tuple(times_ms)

    def version_of(self, request_id: str) -> int:
        """Return the version of the last record seen for this request; 0 if there was none."""
        if request_id in self.open_requests:
            return self.open_requests[request_id].version
        return self.finished[request_id].version if request_id in self.finished else 0

    def update_member(self, member: Member) -> list[Incarnation]:
        """Apply a member unless a newer state is known; return the incarnations that ended as a result."""
        incarnation = member.incarnation
        known = self.members.get(incarnation.name)
        if known is not None and _member_age(member) <= _member_age(known):
            return []
        self.members[incarnation.name] = member
        if member.renewal > self.expired_renewals.get(incarnation, member.renewal):
            del self.expired_renewals[incarnation]
        ended = [incarnation] if member.fenced else []
        is_new = known is None or known.incarnation != incarnation
        if is_new:
            self.started_after_version[incarnation] = self._version
        if is_new and known is not None:
            self.started_after_version.pop(known.incarnation, None)
            if not known.fenced:
                ended.append(known.incarnation)
        return ended

    def open_ids_of(self, incarnation: Incarnation) -> list[str]:
        """Return the ids of the open requests that this incarnation owns."""
        return [
            observed.request_id for observed in self.open_requests.values() if observed.owner == incarnation
        ]

    def record_lease_expiry(self, member: Member) -> list[Incarnation]:
        """Record an expired lease or a fenced member; return the incarnations that ended as a result."""
        ended = self.update_member(member)
        if not member.fenced:
            self.expired_renewals[member.incarnation] = member.renewal
        return ended

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation was fenced or replaced, so that it can no longer commit anything."""
        member = self.members.get(incarnation.name)
        if member is None or member.incarnation.epoch < incarnation.epoch:
            return False
        return member.incarnation.epoch > incarnation.epoch or member.fenced

    def existed_before(self, incarnation: Incarnation, version: int) -> bool:
        """Return whether the incarnation may predate this version, and so know the age of its record."""
        return self.started_after_version.get(incarnation, 0) < version

    def live_incarnations(self, excluded: Incarnation | None = None) -> list[Incarnation]:
        """Return the incarnations that are neither fenced nor expired, without `excluded`."""
        return [
            member.incarnation
            for member in self.members.values()
            if not member.fenced
            and member.incarnation not in self.expired_renewals
            and member.incarnation != excluded
        ]


def _member_age(member: Member) -> tuple[int, bool, int]:
    """Return a sort key that increases with every change of the member with a given name."""
    return member.incarnation.epoch, member.fenced, member.renewal
