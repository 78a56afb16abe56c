"""What this gateway has seen of the ledger: the open requests of all gateways, and the live incarnations.

The age of a record is bounded by the poll that did not show it: a record that is new in a poll was written
after the poll before it started. So each record has a time on the own clock before which it was not
written; records that were there at the first poll have none.
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

# Finished requests that are remembered: a duplicate may find a record open that has finished since.
MAX_FINISHED = 4096


@dataclass(frozen=True, slots=True)
class ObservedRequest:
    """An open request as of one version of its record. Times are ms on this gateway's clock."""

    request_id: str
    record: RequestRecord
    version: int
    owner: Incarnation
    not_before_ms: float  # the record was written no earlier than this; -inf: not known
    grants_not_before_ms: tuple[float, ...] = ()  # each grant was committed no earlier than this


@dataclass(frozen=True, slots=True)
class FinishedRequest:
    """The end of a request as of one version of its record."""

    version: int
    state: RequestState


@dataclass(frozen=True, slots=True)
class AbandonedRequest:
    """A finished request of an ended incarnation, which nobody else removes from the ledger."""

    request_id: str
    version: int


@dataclass(slots=True)
class ViewDelta:
    """What one poll has changed in the view."""

    changed_ids: list[str] = field(default_factory=list)  # requests whose records are new or removed
    ignored_records: list[LedgerRecordIgnored] = field(default_factory=list)  # those that cannot be decoded
    ended_incarnations: list[Incarnation] = field(default_factory=list)
    abandoned: list[AbandonedRequest] = field(default_factory=list)


class LedgerView:
    """The open requests, the last finished ones, and the members, as of the last poll."""

    def __init__(self) -> None:
        """Begin with nothing seen."""
        self.open_requests: dict[str, ObservedRequest] = {}
        self.finished: dict[str, FinishedRequest] = {}  # the last ones, oldest first
        self.members: dict[str, Member] = {}  # the latest incarnation of each name
        # For incarnations that were seen to start: the version of the view before that.
        self.started_after_version: dict[Incarnation, int] = {}
        self.expired_renewals: dict[Incarnation, int] = {}  # the renewal whose lease expired
        self._version = 0
        self._last_poll_started_ms = -math.inf

    def apply(self, poll_started_ms: float, changes: Changes) -> ViewDelta:
        """Apply the changes that a poll has brought, and return what is new."""
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
        """Forget the requests whose records were removed, and return those that were known."""
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
        """Return the time before which this version was not written; -inf: not known."""
        return self._last_poll_started_ms if version > self._version else -math.inf

    def _grants_not_before_ms(
        self, record: RequestRecord, version: int, previous: ObservedRequest | None
    ) -> tuple[float, ...]:
        """Return the time before which each grant was not committed; the previous observation knows some."""
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
        """Return the version of the last record seen of this request; 0: none."""
        if request_id in self.open_requests:
            return self.open_requests[request_id].version
        return self.finished[request_id].version if request_id in self.finished else 0

    def update_member(self, member: Member) -> list[Incarnation]:
        """Apply a member unless something newer is known; return the incarnations that ended by it."""
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
        """Note an expired lease or a fence; return the incarnations that ended by it."""
        ended = self.update_member(member)
        if not member.fenced:
            self.expired_renewals[member.incarnation] = member.renewal
        return ended

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether it was fenced or replaced: then it commits nothing any more."""
        member = self.members.get(incarnation.name)
        if member is None or member.incarnation.epoch < incarnation.epoch:
            return False
        return member.incarnation.epoch > incarnation.epoch or member.fenced

    def existed_before(self, incarnation: Incarnation, version: int) -> bool:
        """Return whether it existed, as far as is known, before this version: then it knows its age."""
        return self.started_after_version.get(incarnation, 0) < version

    def live_incarnations(self, excluded: Incarnation | None = None) -> list[Incarnation]:
        """Return the incarnations that are not fenced and whose lease has not expired."""
        return [
            member.incarnation
            for member in self.members.values()
            if not member.fenced
            and member.incarnation not in self.expired_renewals
            and member.incarnation != excluded
        ]


def _member_age(member: Member) -> tuple[int, bool, int]:
    """Return what grows with every change of the member of one name."""
    return member.incarnation.epoch, member.fenced, member.renewal
