"""The writes that keep the record of a journaled request up to date in the ledger.

At most one transaction per request is in progress (`JournaledRequest.pending_write`). The ledger numbers the
writes of a transaction consecutively, so the version of its last write determines the others.
"""

from __future__ import annotations

from msgspec.structs import replace as replace_fields

from meadowpulley.ledger import CheckVersion, Create, Record, Remove, Replace, Transaction, Write
from meadowpulley.takeover.journaled_request import JournaledRequest, PendingWrite
from meadowpulley.takeover.records import (
    CONTENT_PREFIX,
    MAX_DURATION_MS,
    RECORD_FORMAT,
    RECORD_PREFIX,
    RESPONSE_PREFIX,
    RequestRecord,
    RequestState,
    decode_request_record,
    encode_record,
)


def begin_write(entry: JournaledRequest, now: float) -> Transaction:
    """Return the transaction that updates the record, and set `pending_write` to describe it.

    A request without a record that already has its final response is only looked up. If an earlier write may
    still create the record, the final record is created instead, so that the late write conflicts.
    """
    final_response = entry.final_response
    if final_response is not None and not entry.record_version and not entry.write_uncertain:
        # No write for this request was ever sent to the ledger.
        entry.pending_write = PendingWrite(now, final_response=final_response)
        return Transaction((CheckVersion(entry.record_key, 0),))
    entry.record_stale = False
    writes = {RECORD_PREFIX: _record_write(entry, now)}
    content_write = _content_write(entry)
    if content_write is not None:
        writes[CONTENT_PREFIX] = content_write
    response_write = _response_write(entry)
    if response_write is not None:
        writes[RESPONSE_PREFIX] = response_write
    entry.pending_write = PendingWrite(
        now,
        key_prefixes=tuple(writes),
        covered_attempts=frozenset(entry.grants),
        final_response=final_response,
        releases=entry.releasing and final_response is None,
    )
    return Transaction(tuple(writes.values()))


def current_record(entry: JournaledRequest, now: float) -> RequestRecord:
    """Return the record that describes the request at `now`."""
    request = entry.request
    expected_work_ms = request.expected_work_ms
    return RequestRecord(
        format_version=RECORD_FORMAT,
        state=_current_state(entry),
        class_name=entry.request_class.name,
        tenant_name=entry.tenant_name,
        key=request.key,
        digest=entry.digest,
        sequence=entry.sequence,
        origin=entry.origin,
        remaining_ms=_clamp_duration(request.deadline_ms - now),
        elapsed_ms=_clamp_duration(now - entry.received_at_ms),
        expected_work_ms=_clamp_duration(expected_work_ms) if expected_work_ms is not None else None,
        write=request.write,
        arm=request.arm,
        owner_count=entry.owner_count,
        attempt_count=entry.attempt_count,
        grants=(*entry.inherited_grants, *entry.grants.values()),
    )


def _current_state(entry: JournaledRequest) -> RequestState:
    if entry.final_response is not None:
        return entry.final_response.state
    return RequestState.RELEASED if entry.releasing else RequestState.OPEN


def _record_write(entry: JournaledRequest, now: float) -> Write:
    value = encode_record(current_record(entry, now))
    if entry.record_version:
        return Replace(entry.record_key, value, entry.record_version)
    return Create(entry.record_key, value)


def _content_write(entry: JournaledRequest) -> Write | None:
    """Create the content together with the first record, and remove it with the final response."""
    key = CONTENT_PREFIX + entry.request_id
    if entry.final_response is None and not entry.content_version:
        return Create(key, encode_record(entry.content))
    if entry.final_response is not None and entry.content_version:
        return Remove(key, entry.content_version)
    return None


def _response_write(entry: JournaledRequest) -> Write | None:
    response = entry.final_response.response if entry.final_response is not None else None
    if response is None or entry.response_version:
        return None
    return Create(RESPONSE_PREFIX + entry.request_id, encode_record(response))


def apply_commit(entry: JournaledRequest, pending_write: PendingWrite, version: int) -> None:
    """Store the versions of a committed transaction; `version` is the version of its last write."""
    key_prefixes = pending_write.key_prefixes
    first_version = version - len(key_prefixes) + 1
    _set_versions(entry, key_prefixes, first_version, is_final=pending_write.final_response is not None)


def reconcile(entry: JournaledRequest, found: Record) -> RequestState | None:
    """Store the versions of a write with an unknown outcome whose record was found in the ledger.

    Returns:
        The record's state; None if the record's sequence number differs, since another write made it then.

    Raises:
        RecordError: the record cannot be decoded.
    """
    record = decode_request_record(found.value)
    if record.sequence != entry.sequence:
        return None
    key_prefixes = [RECORD_PREFIX]
    content_was_written = record.is_final == bool(entry.content_version)  # removed or created by the write
    if content_was_written:
        key_prefixes.append(CONTENT_PREFIX)
    final_response = entry.final_response_for(record.state)
    if final_response is not None and final_response.response is not None:
        key_prefixes.append(RESPONSE_PREFIX)
    entry.write_uncertain = False
    _set_versions(entry, tuple(key_prefixes), found.version, is_final=record.is_final)
    return record.state


def _set_versions(
    entry: JournaledRequest, key_prefixes: tuple[str, ...], first_version: int, *, is_final: bool
) -> None:
    versions = {prefix: first_version + index for index, prefix in enumerate(key_prefixes)}
    entry.record_version = versions.get(RECORD_PREFIX, entry.record_version)
    entry.content_version = 0 if is_final else versions.get(CONTENT_PREFIX, entry.content_version)
    entry.response_version = versions.get(RESPONSE_PREFIX, entry.response_version)
    for attempt, grant in entry.grants.items():  # this may date a later grant too early, which is safe
        if not grant.granted_version:
            entry.grants[attempt] = replace_fields(grant, granted_version=entry.record_version)


def _clamp_duration(duration_ms: float) -> float:
    """Limit a duration in ms to the range that a record can hold."""
    return min(max(duration_ms, 0.0), MAX_DURATION_MS)
