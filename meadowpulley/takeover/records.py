"""Records of journaled requests as they are stored in the ledger.

Each journaled request has one small record that every gateway watches (`RECORD_PREFIX` and the client's id of
the request), and two that are read only when they are needed: what the client sent (`CONTENT_PREFIX`) and the
response (`RESPONSE_PREFIX`). Records are msgpack, strict and versioned; one that cannot be decoded is logged
and left alone. The names of encoded fields and the encoded values are part of the stored format.

Clocks are never compared between gateways. A record holds durations, counted from the moment it was made, and
versions of the ledger; each gateway knows from its own polls when it had not seen a version yet.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import Annotated, Final, Literal, TypeAlias, TypeVar

import msgspec

from meadowpulley.takeover.errors import TakeoverError

STAGE_NAME = "takeover"  # as the log and the owners of commits name this stage
RECORD_PREFIX = "takeover/work/"
CONTENT_PREFIX = "takeover/content/"
RESPONSE_PREFIX = "takeover/answer/"
WATCHED_PREFIXES = (RECORD_PREFIX,)  # the prefixes whose changes the stage must be notified of
MAX_BODY_BYTES = 64 * 1024  # a request with a longer body is not journaled
RECORD_FORMAT: Final[Literal[2]] = 2  # format 1 did not name the origin of a request
MAX_DURATION_MS = 1e9  # the longest duration a record can hold
DIGEST_BYTES = 16
LENGTH_PREFIX_BYTES = 8  # before each part of what is digested

DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Headers: TypeAlias = tuple[tuple[str, str], ...]


class RecordError(TakeoverError):
    """A record is damaged or has another format.

    Attributes:
        record_type: what the record should be, by the name of its class.
        reason: what is wrong with it.
    """

    def __init__(self, record_type: str, reason: str) -> None:
        """Make the error of a record that is no `record_type`."""
        super().__init__(f"not a {record_type} of format {RECORD_FORMAT}: {reason}")
        self.record_type = record_type
        self.reason = reason


class RequestState(Enum):
    """What a record says of its request; the values are stored.

    | from | to | by |
    | --- | --- | --- |
    | none | OPEN | the first grant |
    | none | FAILED, REJECTED | its owner, where an earlier write may yet be carried out |
    | OPEN | SERVED | its owner |
    | OPEN | FAILED, REJECTED | its owner; a gateway that claims it and does not adopt it |
    | OPEN | OPEN | each further grant; a gateway that claims it to adopt it |
    | OPEN | RELEASED | its owner in a shutdown; a gateway that has claimed it and has no slot |
    | RELEASED | as from OPEN | a gateway that claims it; its owner until it knows of the release |
    | REJECTED | OPEN | the first grant of a request under the same id |
    """

    OPEN = "open"  # its owner works on it
    RELEASED = "free"  # its owner shuts down and has released it
    SERVED = "served"
    FAILED = "failed"  # it may have been executed
    REJECTED = "refused"  # it was never executed: the same id may be sent again


class AttemptGrant(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Permission for one attempt to be sent: unless its outcome says otherwise, it was or may be executed."""

    server: int
    build: int
    zone: int
    cell: int
    granted_version: Count = 0  # ledger version that granted it; 0: the write that carries this record


class Origin(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The incarnation that received a request first, and its own sequence number of the request.

    The sequence numbers of an incarnation only grow. Request handles do not: they return with the slot.
    """

    incarnation: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    number: Count


class RequestRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The state of a journaled request, without its content and response."""

    format_version: Literal[2] = msgspec.field(name="v")
    state: RequestState
    class_name: str = msgspec.field(name="cls")
    tenant_name: str = msgspec.field(name="tenant")
    key: Count
    digest: bytes  # of what the client sent, by `request_digest`
    sequence: Count = msgspec.field(name="mark")  # number of the request at the incarnation that wrote this
    origin: Origin = msgspec.field(name="first")
    remaining_ms: DurationMs = msgspec.field(name="left_ms")  # until the deadline
    elapsed_ms: DurationMs = msgspec.field(name="waited_ms")  # since it was first received, at any gateway
    expected_work_ms: DurationMs | None = msgspec.field(name="hint_ms")
    write: bool
    arm: int
    owner_count: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(name="lives")
    attempt_count: Count = msgspec.field(name="tries")  # attempts that were granted
    # Grants of the attempts that are not known never to have been executed.
    grants: tuple[AttemptGrant, ...] = msgspec.field(name="rights")

    @property
    def is_final(self) -> bool:
        """Whether the request is finished."""
        return self.state in (RequestState.SERVED, RequestState.FAILED, RequestState.REJECTED)

    @property
    def was_never_executed(self) -> bool:
        """Whether the request was rejected, and none of its attempts may have been executed."""
        return self.state is RequestState.REJECTED and not self.grants


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
        raise RecordError(record_type.__name__, str(error)) from None


def decode_request_record(value: bytes) -> RequestRecord:
    """Decode the state of a request.

    Raises:
        RecordError: it is no complete record of this format.
    """
    return _decode(value, RequestRecord)


def decode_request_content(value: bytes) -> RequestContent:
    """Decode what a client sent.

    Raises:
        RecordError: it is no complete record of this format.
    """
    return _decode(value, RequestContent)


def decode_recorded_response(value: bytes) -> RecordedResponse:
    """Decode a response.

    Raises:
        RecordError: it is no complete record of this format.
    """
    return _decode(value, RecordedResponse)


def request_digest(method: str, target: str, body: bytes) -> bytes:
    """Return the digest that tells different requests under one id apart.

    Headers are left out: the remaining time differs each time a client repeats a request.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), target.encode(), body):
        hasher.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big") + part)
    return hasher.digest()
