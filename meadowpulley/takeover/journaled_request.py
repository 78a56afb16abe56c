"""One written request in this gateway's hands: what its record should say, and what it is known to say."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from msgspec.structs import replace as changed

from meadowpulley.interface import Fail, Reject, Request, RequestClass, Send
from meadowpulley.ledger import CheckVersion, Create, Record, Remove, Replace, Transaction, Write
from meadowpulley.takeover.model import (
    CONTENT_PREFIX,
    MAX_DURATION_MS,
    RECORD_FORMAT,
    RECORD_PREFIX,
    RESPONSE_PREFIX,
    AttemptGrant,
    Deliver,
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
    """An attempt that the decisions chose, held until its right is won."""

    action: Send
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class FinalResponse:
    state: RequestState
    action: Reject | Fail | Deliver  # what its own client is told
    response: RecordedResponse | None = None


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that is under way: what is proven once it is won."""

    created_at_ms: float
    keys: tuple[str, ...] = ()  # what it writes, in order; nothing: it only looks whether the id is known
    covered_attempts: frozenset[int] = frozenset()  # attempts whose rights are in it
    final_response: FinalResponse | None = None
    releases: bool = False


@dataclass(slots=True, eq=False)
class JournaledRequest:
    request: Request
    request_id: str
    request_class: RequestClass
    tenant_name: str
    content: RequestContent
    digest: bytes
    sequence: int
    origin: Origin
    received_at_ms: float  # on this gateway's clock; of an adopted one no later than it was
    owner_count: int = 1
    record_version: int = 0  # of its record; 0: none that is known
    content_version: int = 0
    response_version: int = 0
    write_uncertain: bool = False  # a write may have been carried out
    inherited_grants: tuple[AttemptGrant, ...] = ()  # attempts of earlier lives that may have run
    grants: dict[int, AttemptGrant] = field(default_factory=dict)  # this life's, by the decisions' number
    attempt_count: int = 0  # with those of earlier lives
    pending_sends: dict[int, PendingSend] = field(default_factory=dict)
    dispatched_attempts: list[int] = field(
        default_factory=list
    )  # the decisions' numbers of what went out, in order
    outstanding_attempts: set[int] = field(
        default_factory=set
    )  # the adapter's numbers of attempts without their outcome
    pending_write: PendingWrite | None = None
    retry_at_ms: float = math.inf  # when a write whose fate is not known is tried again
    final_response: FinalResponse | None = None
    superseded_response: FinalResponse | None = (
        None  # what `final` stands in for: it may be recorded all the same
    )
    hold_until_ms: float = math.inf  # the client gets the final answer by then, recorded or not
    answered: bool = False  # it has it, or the slot was ended
    has_client: bool = True
    record_stale: bool = (
        False  # its last write was carried out long after it was made: the time left in it is late
    )
    releasing: bool = False  # to others, as this gateway stops
    relinquished: bool = False  # no longer this gateway's: only outcomes are still heard of

    @property
    def record_key(self) -> str:
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

    def to_record(self, now: float) -> RequestRecord:
        """What the record should say now."""
        request = self.request
        state = (
            self.final_response.state
            if self.final_response is not None
            else RequestState.RELEASED
            if self.releasing
            else RequestState.OPEN
        )
        grants = (*self.inherited_grants, *self.grants.values())
        remaining_ms, elapsed_ms = (
            min(max(request.deadline_ms - now, 0.0), MAX_DURATION_MS),
            min(max(now - self.received_at_ms, 0.0), MAX_DURATION_MS),
        )
        expected_work_ms = (
            min(max(request.expected_work_ms, 0.0), MAX_DURATION_MS)
            if request.expected_work_ms is not None
            else None
        )
        return RequestRecord(
            RECORD_FORMAT,
            state,
            self.request_class.name,
            self.tenant_name,
            request.key,
            self.digest,
            self.sequence,
            self.origin,
            remaining_ms,
            elapsed_ms,
            expected_work_ms,
            request.write,
            request.arm,
            self.owner_count,
            self.attempt_count,
            grants,
        )

    def begin_write(self, now: float) -> Transaction:
        """The step that makes the record say so; `flight` is what it would prove.

        Where a record of it may yet be created, late, its end is created instead of looked up: then that one
        loses."""
        if (
            self.final_response is not None and not self.record_version and not self.write_uncertain
        ):  # nothing of it ever went out
            self.pending_write = PendingWrite(now, final_response=self.final_response)
            return Transaction((CheckVersion(self.record_key, 0),))
        self.record_stale, value = False, encode_record(self.to_record(now))
        writes: list[tuple[str, Write]] = [
            (
                RECORD_PREFIX,
                Replace(self.record_key, value, self.record_version)
                if self.record_version
                else Create(self.record_key, value),
            )
        ]
        if self.final_response is None and not self.content_version:
            writes.append(
                (CONTENT_PREFIX, Create(CONTENT_PREFIX + self.request_id, encode_record(self.content)))
            )
        elif self.final_response is not None and self.content_version:
            writes.append((CONTENT_PREFIX, Remove(CONTENT_PREFIX + self.request_id, self.content_version)))
        if (
            self.final_response is not None
            and self.final_response.response is not None
            and not self.response_version
        ):
            writes.append(
                (
                    RESPONSE_PREFIX,
                    Create(RESPONSE_PREFIX + self.request_id, encode_record(self.final_response.response)),
                )
            )
        keys = tuple(key for key, _ in writes)
        releases = self.releasing and self.final_response is None
        self.pending_write = PendingWrite(now, keys, frozenset(self.grants), self.final_response, releases)
        return Transaction(tuple(write for _, write in writes))

    def apply_commit(self, pending_write: PendingWrite, version: int) -> None:
        """Each write of a step has the ledger's next version, `version` is that of the last."""
        self._set_versions(
            pending_write.keys,
            version - len(pending_write.keys) + 1,
            pending_write.final_response is not None,
        )

    def reconcile(self, found: Record) -> RequestState | None:
        """What a record of this life's says, if it is what a write whose fate was not known has left."""
        record = decode_request_record(found.value)
        state, is_final = record.state, record.is_final
        if record.sequence != self.sequence:
            return None
        content_written = is_final == bool(self.content_version)  # it was removed, or made
        final_response = self.final_response_for(state)
        response_written = (
            final_response is not None and final_response.response is not None
        )  # a longer one is not kept
        keys = [
            RECORD_PREFIX,
            *([CONTENT_PREFIX] if content_written else []),
            *([RESPONSE_PREFIX] if response_written else []),
        ]
        self.write_uncertain = False
        self._set_versions(tuple(keys), found.version, is_final)
        return state

    def final_response_for(self, state: RequestState) -> FinalResponse | None:
        """The final answer with which the record came to say so; None where it is not ended."""
        candidates = [final for final in (self.final_response, self.superseded_response) if final is not None]
        return next((final for final in candidates if final.state is state), None)

    def _set_versions(self, keys: tuple[str, ...], first_version: int, is_final: bool) -> None:
        versions = {key: first_version + n for n, key in enumerate(keys)}
        self.record_version = versions.get(RECORD_PREFIX, self.record_version)
        self.content_version = 0 if is_final else versions.get(CONTENT_PREFIX, self.content_version)
        self.response_version = versions.get(RESPONSE_PREFIX, self.response_version)
        for attempt, grant in self.grants.items():  # a later one is put too early at worst
            self.grants[attempt] = (
                grant if grant.granted_version else changed(grant, granted_version=self.record_version)
            )
