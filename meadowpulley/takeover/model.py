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

WORK, CONTENT, ANSWER = "takeover/work/", "takeover/content/", "takeover/answer/"
WATCHED = (WORK,)  # the prefixes whose changes the stage needs to be told
OWNER = "takeover"  # of its commits
TOKEN = 2  # of its one timer; others are passed on
BODY_MAX = 64 * 1024  # bytes; a request with more is not written down
FORMAT: Literal[2] = 2  # 1 did not say who took a request first
LONG_MS = 1e9  # the longest duration a record can hold

Duration = Annotated[float, msgspec.Meta(ge=0, le=LONG_MS)]
Headers: TypeAlias = tuple[tuple[str, str], ...]


class RecordError(Exception):
    """A record of another format, or damaged."""


class State(Enum):
    OPEN = "open"  # its writer works on it
    FREE = "free"  # its writer stops and gave it away
    SERVED = "served"
    FAILED = "failed"  # it may have run
    REFUSED = "refused"  # it never ran: the same id may be asked anew


class Written(Enum):
    """Which classes are written down."""

    NONE = "none"
    UNREPEATABLE = "unrepeatable"  # those whose requests may not simply be sent again: keyed and unsafe
    ALL = "all"


class Right(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """An attempt whose right to go out was won: unless its outcome says otherwise it ran, or may yet run."""

    server: int
    build: int
    zone: int
    cell: int
    won: Annotated[int, msgspec.Meta(ge=0)] = 0  # at which version of the ledger; 0: by this very write


class First(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Who took a request first: that life, and its own number of this piece of work. A life's numbers rise,
    which those of its requests need not: a slot's number comes back with the slot."""

    life: Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
    number: Annotated[int, msgspec.Meta(ge=0)]


class Work(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    v: Literal[2]
    state: State
    cls: str
    tenant: str
    key: Annotated[int, msgspec.Meta(ge=0)]
    digest: bytes  # of what the client sent
    mark: Annotated[int, msgspec.Meta(ge=0)]  # its writer's own number of this piece of work
    first: First
    left_ms: Duration
    waited_ms: Duration  # since it was first taken, at whichever gateway
    hint_ms: Duration | None
    write: bool
    arm: int
    lives: Annotated[int, msgspec.Meta(ge=1)]  # gateways that have had it
    tries: Annotated[int, msgspec.Meta(ge=0)]  # attempts that were given the right to go out
    rights: tuple[Right, ...]  # of these, the ones not known never to have run

    @property
    def ended(self) -> bool:
        return self.state in (State.SERVED, State.FAILED, State.REFUSED)


class Content(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    v: Literal[2]
    method: str
    target: str
    headers: Headers
    body: bytes


class Answer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    v: Literal[2]
    status: Annotated[int, msgspec.Meta(ge=100, le=599)]
    headers: Headers
    body: bytes


encode = msgspec.msgpack.Encoder().encode
_Kind = TypeVar("_Kind", Work, Content, Answer)


def _decode(value: bytes, kind: type[_Kind]) -> _Kind:
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except (msgspec.MsgspecError, ValueError) as error:
        raise RecordError(f"no {kind.__name__.lower()} of format {FORMAT}: {error}") from None


def decode_work(value: bytes) -> Work:
    """Raises `RecordError` on anything but a whole record of this format; so do the next two."""
    return _decode(value, Work)


def decode_content(value: bytes) -> Content:
    return _decode(value, Content)


def decode_answer(value: bytes) -> Answer:
    return _decode(value, Answer)


def digest_of(method: str, target: str, body: bytes) -> bytes:
    """Tells two bodies under one id apart; headers are left out, since the time left differs by ask."""
    hashed = hashlib.blake2b(digest_size=16)
    for part in (method.encode(), target.encode(), body):
        hashed.update(len(part).to_bytes(8, "big") + part)
    return hashed.digest()


@dataclass(frozen=True, slots=True)
class Terms:
    """The settings of the stage. Durations are milliseconds."""

    written: Written = Written.UNREPEATABLE
    right_ms: float = 100.0  # a right that takes longer to win is given up: the decisions choose anew
    hold_ms: float = 300.0  # an answer is held back for so long at most until it is recorded
    again_ms: float = 100.0  # between two tries of a write whose fate is not known
    step_ms: float = 250.0  # the next survivor in line claims so much later than the one before it
    least_ms: float = 20.0  # with less time left an orphan is answered instead of adopted
    drift: float = 0.001  # how much faster than a second a gateway's second may be than another's
    most_lives: int = 3  # gateways that may have had a request, its first included
    most_open: int = 32  # adopted requests in hand
    per_s: float = 50.0  # adoptions a second
    keep_ms: float = 60_000.0  # how long an answer is kept for a client that asks again
    keep_bytes: int = 16 * 1024 * 1024  # of this gateway's kept answers; the oldest bodies go first
    release_ms: float = 300.0  # before SIGKILL: what is still out then is given away with its rights


# Events, beside those of the decisions and of the ledger


@dataclass(frozen=True, slots=True)
class Taken:
    """A client's request has come whole, told in place of its `i.Request`, whether or not its id is known."""

    request: Request
    name: str  # the client's id
    method: str
    target: str
    headers: Headers  # those that go on to an instance
    body: bytes


@dataclass(frozen=True, slots=True)
class AnswerReady:
    """An instance's good answer, not yet passed on. Its attempt's `i.Outcome`, with `over`, comes next."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client of this request has left; its slot stays until `Drop`, or until it is answered."""

    request: int


@dataclass(frozen=True, slots=True)
class Placed:
    """The reply to `Adopt`: the request's number, or none when there is no slot."""

    name: str
    request: int | None


@dataclass(frozen=True, slots=True)
class Stopping:
    """The gateway was told to stop; it is killed in `left_ms` if it has not ended."""

    left_ms: float


TakeoverEvent: TypeAlias = Taken | AnswerReady | ClientGone | Placed | Stopping


# Actions, beside those of the decisions and `ledger.Commit`


@dataclass(frozen=True, slots=True)
class Pass:
    """The final answer of this request: its own, or that of the work it was joined to."""

    request: int
    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class Drop:
    """Ends a request whose client has left, without an answer."""

    request: int


@dataclass(frozen=True, slots=True)
class Adopt:
    """Makes a slot for a request without a client, and replies with `Placed`. `deadline_ms`: own clock."""

    name: str
    cls: int
    deadline_ms: float
    method: str
    target: str
    headers: Headers
    body: bytes


TakeoverAction: TypeAlias = Pass | Drop | Adopt
