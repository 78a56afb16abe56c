"""What work in hand looks like in the ledger, and what the stage and its adapter tell each other.

Of each written request there is one small record that every gateway watches (`WORK` and the client's id),
and two that are read only when needed: what the client sent (`CONTENT`) and what it was answered (`ANSWER`).
They are msgpack, strict and versioned: one that can't be read whole is told and left alone.

Clocks are never compared between gateways: a record holds durations, as of the moment at which it was made,
and versions of the ledger, of which each gateway knows when it had not seen them yet.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Literal, TypeAlias, TypeVar

import msgspec

from meadowpulley.interface import Request

RECORD_PREFIX, CONTENT_PREFIX, RESPONSE_PREFIX = "takeover/work/", "takeover/content/", "takeover/answer/"
WATCHED_PREFIXES = (RECORD_PREFIX,)  # the prefixes whose changes the stage needs to be told
COMMIT_OWNER = "takeover"  # of its commits
TIMER_TOKEN = 2  # of its one timer; others are passed on
MAX_BODY_BYTES = 64 * 1024  # bytes; a request with more is not written down
RECORD_FORMAT: Literal[2] = 2  # 1 did not say who took a request first
MAX_DURATION_MS = 1e9  # the longest duration a record can hold

DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Headers: TypeAlias = tuple[tuple[str, str], ...]


class RecordError(Exception):
    """A record of another format, or damaged."""


class RequestState(Enum):
    OPEN = "open"  # its writer works on it
    RELEASED = "free"  # its writer stops and gave it away
    SERVED = "served"
    FAILED = "failed"  # it may have run
    REJECTED = "refused"  # it never ran: the same id may be asked anew


class JournalScope(Enum):
    """Which classes are written down."""

    NONE = "none"
    UNREPEATABLE = "unrepeatable"  # those whose requests may not simply be sent again: keyed and unsafe
    ALL = "all"


class AttemptGrant(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An attempt whose right to go out was won: unless its outcome says otherwise it ran, or may yet run."""

    server: int
    build: int
    zone: int
    cell: int
    granted_version: Annotated[int, msgspec.Meta(ge=0)] = (
        0  # at which version of the ledger; 0: by this very write
    )


class Origin(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Who took a request first: that life, and its own number of this piece of work. A life's numbers rise,
    which those of its requests need not: a slot's number comes back with the slot."""

    incarnation: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    number: Annotated[int, msgspec.Meta(ge=0)]


class RequestRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The state of a journaled request, without its content and response."""

    format_version: Literal[2] = msgspec.field(name="v")
    state: RequestState
    class_name: str = msgspec.field(name="cls")
    tenant_name: str = msgspec.field(name="tenant")
    key: Annotated[int, msgspec.Meta(ge=0)]
    digest: bytes  # of what the client sent, by `request_digest`
    sequence: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(
        name="mark"
    )  # number of the request at the incarnation that wrote this
    origin: Origin = msgspec.field(name="first")
    remaining_ms: DurationMs = msgspec.field(name="left_ms")  # until the deadline
    elapsed_ms: DurationMs = msgspec.field(name="waited_ms")  # since it was first received, at any gateway
    expected_work_ms: DurationMs | None = msgspec.field(name="hint_ms")
    write: bool
    arm: int
    owner_count: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(name="lives")
    attempt_count: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(
        name="tries"
    )  # attempts that were granted
    # Grants of the attempts that are not known never to have been executed.
    grants: tuple[AttemptGrant, ...] = msgspec.field(name="rights")

    @property
    def is_final(self) -> bool:
        """Whether the request is finished."""
        return self.state in (RequestState.SERVED, RequestState.FAILED, RequestState.REJECTED)


class RequestContent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the client sent."""

    format_version: Literal[2] = msgspec.field(name="v")
    method: str
    target: str
    headers: Headers
    body: bytes


class RecordedResponse(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The response of a served request."""

    format_version: Literal[2] = msgspec.field(name="v")
    status: Annotated[int, msgspec.Meta(ge=100, le=599)]
    headers: Headers
    body: bytes


encode_record = msgspec.msgpack.Encoder().encode
_RecordT = TypeVar("_RecordT", RequestRecord, RequestContent, RecordedResponse)


def _decode(value: bytes, record_type: type[_RecordT]) -> _RecordT:
    try:
        return msgspec.msgpack.decode(value, type=record_type)
    except (msgspec.MsgspecError, ValueError) as error:
        raise RecordError(f"no {record_type.__name__.lower()} of format {RECORD_FORMAT}: {error}") from None


def decode_request_record(value: bytes) -> RequestRecord:
    """Raises `RecordError` on anything but a whole record of this format; so do the next two."""
    return _decode(value, RequestRecord)


def decode_request_content(value: bytes) -> RequestContent:
    return _decode(value, RequestContent)


def decode_recorded_response(value: bytes) -> RecordedResponse:
    return _decode(value, RecordedResponse)


def request_digest(method: str, target: str, body: bytes) -> bytes:
    """Tells two bodies under one id apart; headers are left out, since the time left differs by ask."""
    hasher = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), target.encode(), body):
        hasher.update(len(part).to_bytes(8, "big") + part)
    return hasher.digest()


@dataclass(frozen=True, slots=True)
class TakeoverSettings:
    """The settings of the stage. Durations are milliseconds."""

    journal_scope: JournalScope = JournalScope.UNREPEATABLE
    grant_timeout_ms: float = 100.0  # a right that takes longer to win is given up: the decisions choose anew
    response_hold_ms: float = 300.0  # an answer is held back for so long at most until it is recorded
    retry_delay_ms: float = 100.0  # between two tries of a write whose fate is not known
    claim_stagger_ms: float = 250.0  # the next survivor in line claims so much later than the one before it
    min_remaining_ms: float = 20.0  # with less time left an orphan is answered instead of adopted
    clock_drift: float = 0.001  # how much faster than a second a gateway's second may be than another's
    max_owners: int = 3  # gateways that may have had a request, its first included
    max_adopted: int = 32  # adopted requests in hand
    adoptions_per_s: float = 50.0  # adoptions a second
    response_retention_ms: float = 60_000.0  # how long an answer is kept for a client that asks again
    response_cache_bytes: int = 16 * 1024 * 1024  # of this gateway's kept answers; the oldest bodies go first
    shutdown_release_ms: float = 300.0  # before SIGKILL: what is still out then is given away with its rights


# Events, beside those of the decisions and of the ledger


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request has come whole, told in place of its `i.Request`, whether or not its id is known."""

    request: Request
    request_id: str  # the client's id
    method: str
    target: str
    headers: Headers  # those that go on to an instance
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseReady:
    """An instance's good answer, not yet passed on. Its attempt's `i.Outcome`, with `over`, comes next."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class ClientDetached:
    """The client of this request has left; its slot stays until `Drop`, or until it is answered."""

    request: int


@dataclass(frozen=True, slots=True)
class AdoptionResult:
    """The reply to `Adopt`: the request's number, or none when there is no slot."""

    request_id: str
    request: int | None


@dataclass(frozen=True, slots=True)
class ShutdownNotice:
    """The gateway was told to stop; it is killed in `left_ms` if it has not ended."""

    grace_ms: float


TakeoverEvent: TypeAlias = ClientRequest | ResponseReady | ClientDetached | AdoptionResult | ShutdownNotice


# Actions, beside those of the decisions and `ledger.Commit`


@dataclass(frozen=True, slots=True)
class Deliver:
    """The final answer of this request: its own, or that of the work it was joined to."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Discard:
    """Ends a request whose client has left, without an answer."""

    request: int


@dataclass(frozen=True, slots=True)
class AdoptRequest:
    """Makes a slot for a request without a client, and replies with `Placed`. `deadline_ms`: own clock."""

    request_id: str
    class_index: int
    deadline_ms: float
    method: str
    target: str
    headers: Headers
    body: bytes


TakeoverAction: TypeAlias = Deliver | Discard | AdoptRequest
