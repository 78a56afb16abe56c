"""The stored formats of the records that the ledger holds for journaled requests.

Each journaled request has one small record that every gateway watches (its key is `RECORD_PREFIX` followed by
the request id that the client chose). Two more records are read only when they are needed: the request
content (`CONTENT_PREFIX`) and the response (`RESPONSE_PREFIX`). Records are encoded as msgpack, checked
strictly and versioned; a record that cannot be decoded is logged and left unchanged. The names of encoded
fields and the encoded values are part of the stored format.

The clocks of different gateways are never compared. A record holds durations, relative to its creation, and
ledger versions; each gateway knows from its own polls at what time it had not seen a version yet.
"""

from __future__ import annotations

import hashlib
from enum import Enum
from typing import Annotated, Final, Literal, TypeAlias, TypeVar

import msgspec

from meadowpulley.takeover.errors import TakeoverError

STAGE_NAME = "takeover"  # identifies this stage in log events and as the owner of commits
RECORD_PREFIX = "takeover/work/"
CONTENT_PREFIX = "takeover/content/"
RESPONSE_PREFIX = "takeover/answer/"
WATCHED_PREFIXES = (RECORD_PREFIX,)  # the stage has to be notified of changes under these prefixes
MAX_BODY_BYTES = 64 * 1024  # requests with longer bodies are not journaled, longer responses not recorded
RECORD_FORMAT: Final[Literal[2]] = 2  # format 1 did not contain the origin of a request
MAX_DURATION_MS = 1e9  # the longest duration in ms that a record can hold
DIGEST_BYTES = 16
LENGTH_PREFIX_BYTES = 8  # size of the length that precedes each part in the digest input

DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
Count = Annotated[int, msgspec.Meta(ge=0)]
Headers: TypeAlias = tuple[tuple[str, str], ...]


class RecordError(TakeoverError):
    """A record is damaged or has another format version.

    Attributes:
        record_type: the name of the class that the record should decode to.
        reason: why the record could not be decoded.
    """

    def __init__(self, record_type: str, reason: str) -> None:
        """Create the error for a record that is not a valid `record_type`."""
        super().__init__(f"not a {record_type} of format {RECORD_FORMAT}: {reason}")
        self.record_type = record_type
        self.reason = reason


class RequestState(Enum):
    """The state of a request in its record; the values are part of the stored format.

    Transitions:

    | from | to | by |
    | --- | --- | --- |
    | none | OPEN | the first grant |
    | none | FAILED, REJECTED | its owner, if an earlier write may still be carried out |
    | OPEN | SERVED | its owner |
    | OPEN | FAILED, REJECTED | its owner; a gateway that claims it without adopting it |
    | OPEN | OPEN | each further grant; a gateway that claims it to adopt it |
    | OPEN | RELEASED | its owner during a shutdown; a gateway that has claimed it and has no free slot |
    | RELEASED | as from OPEN | a gateway that claims it; its owner until the owner learns of the release |
    | REJECTED | OPEN | the first grant of a new request with the same id |
    """

    OPEN = "open"  # its owner is processing it
    RELEASED = "free"  # its owner has released it, in a shutdown or for lack of a slot
    SERVED = "served"
    FAILED = "failed"  # it may have been executed
    REJECTED = "refused"  # it was never executed, so the client may send the same id again


class AttemptGrant(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Permission to send one attempt; unless its outcome shows otherwise, it may have been executed."""

    server: int
    build: int
    zone: int
    cell: int
    granted_version: Count = 0  # ledger version of the grant; 0 stands for the version of this record


class Origin(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The incarnation that first received a request, and the sequence number it gave the request.

    The sequence numbers of an incarnation only increase. Handles are not used here, because a handle is
    reused together with its slot.
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
    digest: bytes  # digest of the request content, computed by `request_digest`
    sequence: Count = msgspec.field(name="mark")  # the number that the writing incarnation gave the request
    origin: Origin = msgspec.field(name="first")
    remaining_ms: DurationMs = msgspec.field(name="left_ms")  # time from record creation to the deadline
    elapsed_ms: DurationMs = msgspec.field(name="waited_ms")  # time since any gateway first received it
    expected_work_ms: DurationMs | None = msgspec.field(name="hint_ms")
    write: bool
    arm: int
    owner_count: Annotated[int, msgspec.Meta(ge=1)] = msgspec.field(name="lives")
    attempt_count: Count = msgspec.field(name="tries")  # number of attempts granted so far
    # The grants of all attempts that may have been executed.
    grants: tuple[AttemptGrant, ...] = msgspec.field(name="rights")

    @property
    def is_final(self) -> bool:
        """Whether the request is finished."""
        return self.state in (RequestState.SERVED, RequestState.FAILED, RequestState.REJECTED)

    @property
    def was_never_executed(self) -> bool:
        """Whether the request was rejected and certainly none of its attempts was executed."""
        return self.state is RequestState.REJECTED and not self.grants


class RequestContent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request as the client sent it."""

    format_version: Literal[2] = msgspec.field(name="v")
    method: str
    target: str
    headers: Headers
    body: bytes


class RecordedResponse(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The response to a served request."""

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
    """Decode the record that holds the state of a request.

    Raises:
        RecordError: the value is not a complete record of this format.
    """
    return _decode(value, RequestRecord)


def decode_request_content(value: bytes) -> RequestContent:
    """Decode the content of a request.

    Raises:
        RecordError: the value is not a complete record of this format.
    """
    return _decode(value, RequestContent)


def decode_recorded_response(value: bytes) -> RecordedResponse:
    """Decode a recorded response.

    Raises:
        RecordError: the value is not a complete record of this format.
    """
    return _decode(value, RecordedResponse)


def request_digest(method: str, target: str, body: bytes) -> bytes:
    """Return a digest that distinguishes different requests with the same id.

    Headers are not included, because they contain the remaining time, which differs each time a client
    repeats a request.
    """
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), target.encode(), body):
        hasher.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big") + part)
    return hasher.digest()
