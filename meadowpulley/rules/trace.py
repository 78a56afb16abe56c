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


class Taken(Struct, frozen=True, tag="taken"):
    at: float
    gateway: int
    request: int
    cls: int
    key: int
    deadline: float  # when the client stops waiting


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


class Answered(Struct, frozen=True, tag="answered"):
    at: float
    gateway: int
    request: int
    answer: Literal["served", "refused", "failed"]


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


Record: TypeAlias = (
    Started | Died | Taken | Sent | Outcome | Answered | Gone | Listed | News | KeyAnswered | Fell
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
