"""One journaled request of this gateway: what its record should say, and what it is known to say."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Self

from msgspec.structs import replace as replace_fields

from meadowpulley.interface import Fail, Reject, Request, RequestClass, Send
from meadowpulley.ledger import CheckVersion, Create, Record, Remove, Replace, Transaction, Write
from meadowpulley.takeover import records
from meadowpulley.takeover.messages import Deliver, ResponseReady, deliver
from meadowpulley.takeover.records import (
    CONTENT_PREFIX,
    MAX_DURATION_MS,
    RECORD_FORMAT,
    RECORD_PREFIX,
    RESPONSE_PREFIX,
    AttemptGrant,
    Origin,
    RecordedResponse,
    RequestContent,
    RequestRecord,
    RequestState,
    decode_request_record,
    encode_record,
)


@dataclass(slots=True)
class PendingSend:
    """An attempt that the policy chose, held until its grant is committed."""

    action: Send
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """How a request ends: its state, and the action that answers its own client."""

    state: RequestState
    action: Reject | Fail | Deliver
    response: RecordedResponse | None = None  # to be recorded; None: too long, or there is none

    @classmethod
    def served(cls, event: ResponseReady) -> Self:
        """Make one of an instance's good response; a body that is too long is not recorded."""
        response = None
        if len(event.body) <= records.MAX_BODY_BYTES:
            response = RecordedResponse(records.RECORD_FORMAT, event.status, event.headers, event.body)
        return cls(RequestState.SERVED, deliver(event), response)


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that is under way, and what it proves once it is committed."""

    created_at_ms: float
    keys: tuple[str, ...] = ()  # the prefixes of what it writes, in order; empty: it only looks up the id
    covered_attempts: frozenset[int] = frozenset()  # attempts whose grants are in it
    final_response: FinalResponse | None = None
    releases: bool = False


@dataclass(slots=True, eq=False)
class JournaledRequest:
    """A request that this gateway owns. Times are ms on this gateway's clock."""

    request: Request
    request_id: str  # given by the client
    request_class: RequestClass
    tenant_name: str
    content: RequestContent
    digest: bytes
    sequence: int
    origin: Origin
    received_at_ms: float  # of an adopted request: a lower bound
    owner_count: int = 1
    record_version: int = 0  # 0: no record is known
    content_version: int = 0
    response_version: int = 0
    write_uncertain: bool = False  # a write with an unknown outcome may have been committed
    inherited_grants: tuple[AttemptGrant, ...] = ()  # attempts of earlier owners that may have been executed
    grants: dict[int, AttemptGrant] = field(default_factory=dict)  # of this owner, by the policy's number
    attempt_count: int = 0  # with those of earlier owners
    pending_sends: dict[int, PendingSend] = field(default_factory=dict)  # by the policy's number
    dispatched_attempts: list[int] = field(default_factory=list)  # the policy's numbers, in order of sending
    outstanding_attempts: set[int] = field(default_factory=set)  # the adapter's numbers
    pending_write: PendingWrite | None = None
    retry_at_ms: float = math.inf  # when to repeat a write with an unknown outcome
    final_response: FinalResponse | None = None
    superseded_response: FinalResponse | None = None  # replaced by `final_response`; it may be recorded yet
    hold_until_ms: float = math.inf  # the client gets the final response by then, recorded or not
    answered: bool = False  # the client has its final response, or the slot was ended
    has_client: bool = True
    record_stale: bool = False  # the last write was committed late: its remaining time is too long
    releasing: bool = False  # it is being released to other gateways
    relinquished: bool = False  # no longer owned: only outcomes of its attempts still matter

    @property
    def record_key(self) -> str:
        """The ledger key of its record."""
        return RECORD_PREFIX + self.request_id

    @property
    def needs_write(self) -> bool:
        """Whether something waits for a write."""
        return bool(
            self.pending_sends
            or self.final_response
            or self.releasing
            or self.record_stale
            or not self.record_version
        )

    @property
    def is_over(self) -> bool:
        """Whether the policy has nothing more to decide for it."""
        return self.relinquished or self.final_response is not None

    def failure(self) -> FinalResponse:
        """Return the final response of a failed request."""
        return FinalResponse(RequestState.FAILED, Fail(self.request.request))

    def supersede_final_response(self) -> None:
        """Make room for another final response; the first one may be recorded all the same."""
        self.superseded_response = self.superseded_response or self.final_response
        self.final_response = None

    def to_record(self, now: float) -> RequestRecord:
        """Return what the record should say now."""
        request = self.request
        expected_work_ms = request.expected_work_ms
        return RequestRecord(
            format_version=RECORD_FORMAT,
            state=self._current_state(),
            class_name=self.request_class.name,
            tenant_name=self.tenant_name,
            key=request.key,
            digest=self.digest,
            sequence=self.sequence,
            origin=self.origin,
            remaining_ms=_clamp_duration(request.deadline_ms - now),
            elapsed_ms=_clamp_duration(now - self.received_at_ms),
            expected_work_ms=_clamp_duration(expected_work_ms) if expected_work_ms is not None else None,
            write=request.write,
            arm=request.arm,
            owner_count=self.owner_count,
            attempt_count=self.attempt_count,
            grants=(*self.inherited_grants, *self.grants.values()),
        )

    def _current_state(self) -> RequestState:
        if self.final_response is not None:
            return self.final_response.state
        return RequestState.RELEASED if self.releasing else RequestState.OPEN

    def begin_write(self, now: float) -> Transaction:
        """Return the transaction that brings the record up to date; `pending_write` says what it would prove.

        Where a record of the request may yet be created by a late write, its end is created instead of looked
        up: then the late write conflicts.
        """
        final = self.final_response
        if final is not None and not self.record_version and not self.write_uncertain:
            # Nothing of the request was ever sent.
            self.pending_write = PendingWrite(now, final_response=final)
            return Transaction((CheckVersion(self.record_key, 0),))
        self.record_stale = False
        writes = [(RECORD_PREFIX, self._record_write(now)), *self._content_writes(), *self._response_writes()]
        self.pending_write = PendingWrite(
            now,
            tuple(prefix for prefix, _ in writes),
            frozenset(self.grants),
            final,
            releases=self.releasing and final is None,
        )
        return Transaction(tuple(write for _, write in writes))

    def _record_write(self, now: float) -> Write:
        value = encode_record(self.to_record(now))
        if self.record_version:
            return Replace(self.record_key, value, self.record_version)
        return Create(self.record_key, value)

    def _content_writes(self) -> list[tuple[str, Write]]:
        """The content is created with the first record, and removed with the final response."""
        key = CONTENT_PREFIX + self.request_id
        if self.final_response is None and not self.content_version:
            return [(CONTENT_PREFIX, Create(key, encode_record(self.content)))]
        if self.final_response is not None and self.content_version:
            return [(CONTENT_PREFIX, Remove(key, self.content_version))]
        return []

    def _response_writes(self) -> list[tuple[str, Write]]:
        response = self.final_response.response if self.final_response is not None else None
        if response is None or self.response_version:
            return []
        return [(RESPONSE_PREFIX, Create(RESPONSE_PREFIX + self.request_id, encode_record(response)))]

    def apply_commit(self, pending_write: PendingWrite, version: int) -> None:
        """Note the versions of a committed write.

        Each write of a transaction has the ledger's next version; `version` is that of the last one.
        """
        first_version = version - len(pending_write.keys) + 1
        self._set_versions(pending_write.keys, first_version, pending_write.final_response is not None)

    def reconcile(self, found: Record) -> RequestState | None:
        """Note the versions of a write with an unknown outcome whose record was found.

        Returns the record's state; None if another incarnation's write, or another request's, has left it.
        """
        record = decode_request_record(found.value)
        if record.sequence != self.sequence:
            return None
        prefixes = [RECORD_PREFIX]
        if record.is_final == bool(self.content_version):  # the content was removed, or created
            prefixes.append(CONTENT_PREFIX)
        final = self.final_response_for(record.state)
        if final is not None and final.response is not None:
            prefixes.append(RESPONSE_PREFIX)
        self.write_uncertain = False
        self._set_versions(tuple(prefixes), found.version, record.is_final)
        return record.state

    def final_response_for(self, state: RequestState) -> FinalResponse | None:
        """Return the final response with which the record got this state; None where it is not final."""
        for candidate in (self.final_response, self.superseded_response):
            if candidate is not None and candidate.state is state:
                return candidate
        return None

    def _set_versions(self, prefixes: tuple[str, ...], first_version: int, is_final: bool) -> None:
        versions = {prefix: first_version + index for index, prefix in enumerate(prefixes)}
        self.record_version = versions.get(RECORD_PREFIX, self.record_version)
        self.content_version = 0 if is_final else versions.get(CONTENT_PREFIX, self.content_version)
        self.response_version = versions.get(RESPONSE_PREFIX, self.response_version)
        for attempt, grant in self.grants.items():  # at worst, a later one is dated too early
            if not grant.granted_version:
                self.grants[attempt] = replace_fields(grant, granted_version=self.record_version)


def _clamp_duration(duration_ms: float) -> float:
    """Return the duration within the limits of a record."""
    return min(max(duration_ms, 0.0), MAX_DURATION_MS)
