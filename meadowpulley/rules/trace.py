"""What a rig writes down of a run: one record an event, in the order they happened, as JSON lines.

`at` is milliseconds on the one clock of the rig; gateways, servers and classes are numbers, requests are
numbers that never come twice at one gateway's life. Nothing here judges.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Literal, TypeAlias

import msgspec
from msgspec import Struct


class Started(Struct, frozen=True, tag="started"):
    """A gateway begins, knowing nothing."""

    at: float
    gateway: int


class Died(Struct, frozen=True, tag="died"):
    """A gateway was killed: what it held is no longer its duty."""

    at: float
    gateway: int


class Stopped(Struct, frozen=True, tag="stopped"):
    """A gateway stands still, as a process under SIGSTOP: until it is woken it can keep no promise."""

    at: float
    gateway: int


class Woke(Struct, frozen=True, tag="woke"):
    """It goes on where it stood, and learns late what came meanwhile."""

    at: float
    gateway: int


class Taken(Struct, frozen=True, tag="taken", omit_defaults=True):
    at: float
    gateway: int
    request: int
    cls: int
    key: int
    deadline: float  # when the client stops waiting
    id: str = ""  # the client's, the same on each of its asks, where gateways stand in for each other


class Sent(Struct, frozen=True, tag="sent"):
    """An attempt; `build` is the one that the list last named for the server."""

    at: float
    gateway: int
    request: int
    attempt: int
    server: int
    build: int


class Outcome(Struct, frozen=True, tag="outcome"):
    """An attempt's end as its gateway learns it; `ran` False only where it is known never to have run."""

    at: float
    gateway: int
    request: int
    attempt: int
    ran: bool


class Answered(Struct, frozen=True, tag="answered", omit_defaults=True):
    at: float
    gateway: int
    request: int
    answer: Literal["served", "refused", "failed"]
    content: str = ""  # tells answers apart that were served


class Gone(Struct, frozen=True, tag="gone"):
    """The client left before its answer."""

    at: float
    gateway: int
    request: int


class Listed(Struct, frozen=True, tag="listed"):
    """A gateway was told of a server; state `gone` too when a whole list lacks it."""

    at: float
    gateway: int
    server: int
    state: Literal["ready", "draining", "gone"]
    build: int
    cell: int = 0
    site: int = 0


class News(Struct, frozen=True, tag="news"):
    """A gateway was told where the newest build stands."""

    at: float
    gateway: int
    build: int
    stage: int
    phase: Literal["trial", "going_back", "released", "withdrawn"]
    cap: float


class KeyAnswered(Struct, frozen=True, tag="key_answered"):
    """A server of `build` has answered a request with this key that came through this gateway."""

    at: float
    gateway: int
    key: int
    build: int


class Fell(Struct, frozen=True, tag="fell"):
    """A cold server was pushed over."""

    at: float
    server: int


# Gateways that stand in for each other


class Left(Struct, frozen=True, tag="left"):
    """The client left, and its work goes on: no answer is owed any more."""

    at: float
    gateway: int
    request: int


class Sealed(Struct, frozen=True, tag="sealed"):
    """This gateway's life is over by the ledger, whatever its process still does."""

    at: float
    gateway: int


class Written(Struct, frozen=True, tag="written"):
    """The ledger has a client's request: it is to be ended whatever becomes of this gateway."""

    at: float
    gateway: int
    id: str
    deadline: float


class Claimed(Struct, frozen=True, tag="claimed"):
    """Another gateway has it now, by the ledger; `lives`: gateways that have had it."""

    at: float
    gateway: int
    id: str
    lives: int


class Given(Struct, frozen=True, tag="given"):
    """The gateway that had it gave it away."""

    at: float
    gateway: int
    id: str


class Closed(Struct, frozen=True, tag="closed"):
    """The ledger has its end."""

    at: float
    gateway: int
    id: str
    end: Literal["served", "refused", "failed"]


class Adopted(Struct, frozen=True, tag="adopted"):
    """A gateway begins work that it took over, under a number of its own; nobody waits for it there."""

    at: float
    gateway: int
    request: int
    cls: int
    key: int
    deadline: float
    id: str


class Admitted(Struct, frozen=True, tag="admitted"):
    """So much of the capacity that tenants share was used at this gateway."""

    at: float
    gateway: int
    units: float


class Counted(Struct, frozen=True, tag="counted"):
    """An experiment has counted the end of a request; `id` as of the request's first gateway."""

    at: float
    gateway: int
    experiment: str
    id: str
    arm: int


Record: TypeAlias = (
    Started
    | Died
    | Stopped
    | Woke
    | Taken
    | Sent
    | Outcome
    | Answered
    | Gone
    | Listed
    | News
    | KeyAnswered
    | Fell
    | Left
    | Sealed
    | Written
    | Claimed
    | Given
    | Closed
    | Adopted
    | Admitted
    | Counted
)
_encode = msgspec.json.Encoder().encode
_decode = msgspec.json.Decoder(Record).decode


def trace_line(record: Record) -> bytes:
    """One record as a JSON line, without its end."""
    return _encode(record)


def read_trace(lines: Iterable[bytes], where: str) -> Iterator[Record]:
    """Records of a trace file. Raises ValueError, one line naming the place, at the first bad one."""
    for number, line in enumerate(lines, 1):
        try:
            yield _decode(line)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{where}: line {number}: {error}") from None
