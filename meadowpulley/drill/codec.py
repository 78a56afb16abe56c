"""Frames, records and settings of the simulator's wire, turned into interface types and back."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, BinaryIO, TypeAlias, TypeVar

from meadowpulley.interface import (
    Action,
    BuildStatistics,
    Cancel,
    ClientDisconnected,
    CloseIdleConnections,
    EndpointUpdateKind,
    Event,
    Fail,
    FetchEndpoints,
    GossipReceived,
    IncorrectResponse,
    LogLine,
    Outcome,
    Phase,
    Probe,
    ProbeResult,
    Reject,
    Request,
    ResponseStarted,
    Result,
    RolloutUpdate,
    Send,
    SendGossip,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    Timer,
    Vote,
    Watch,
)
from meadowpulley.settings import SettingsError, parse_settings

EVENT_BYTES = 48
ACTION_BYTES = 32
ENTRY_BYTES = 26
LEDGERS = 16
EVERY_PEER = 0xFFFF

_BATCH_HEAD = struct.Struct(">dII")
_REPLY_HEAD = struct.Struct(">II")
_ENTRY = struct.Struct(">IHBBfdHf")
_UP = struct.Struct(">xIQII")
_LEDGER = struct.Struct(">xIII")
_TOPOLOGY = struct.Struct(">xIBII")
_INCOMING = struct.Struct(">xIQBIQddB")
_FLAGGED = struct.Struct(">xIIBd")
_METRICS = struct.Struct(">xIHBIIdd")
_PROMOTION = struct.Struct(">xIHfBBBdH")
_DONE = struct.Struct(">xIQBIHdBB4f")
_FROM_PEER = struct.Struct(">xIIII")
_UNDER_WAY = struct.Struct(">xIQBId")
_PONG = struct.Struct(">xIIHdB4f")
_ID = struct.Struct(">xIQ")
_GATEWAY = struct.Struct(">xI")

_HINT_VALID, _REPEAT, _WRITE = 1, 2, 4


class WireError(Exception):
    """A malformed frame, record or settings object; the text says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class Batch:
    clock_ms: float
    records: bytes
    tail: bytes
    count: int


@dataclass(frozen=True, slots=True)
class Up:
    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class Kill:
    pass


@dataclass(frozen=True, slots=True)
class Ledger:
    number: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class Topology:
    kind: EndpointUpdateKind
    ledger: int
    version: int


Record: TypeAlias = Up | Kill | Ledger | Topology | Event


def _read_all(source: BinaryIO, size: int) -> bytes:
    parts: list[bytes] = []
    while size > 0:
        part = source.read(size)
        if not part:
            break
        parts.append(part)
        size -= len(part)
    return b"".join(parts)


def read_batch(source: BinaryIO) -> Batch | None:
    """The next batch, or None when the input ended between two frames."""
    head = _read_all(source, _BATCH_HEAD.size)
    if not head:
        return None
    if len(head) < _BATCH_HEAD.size:
        raise WireError(f"input ended inside a batch header: {len(head)} of {_BATCH_HEAD.size} bytes")
    clock_ms, length, count = _BATCH_HEAD.unpack(head)
    need = _BATCH_HEAD.size + count * EVENT_BYTES
    if length < need:
        raise WireError(f"batch length {length} is too short for {count} records, which need {need} bytes")
    if not math.isfinite(clock_ms):
        raise WireError(f"batch clock {clock_ms} is no time")
    body = _read_all(source, length - _BATCH_HEAD.size)
    if len(body) < length - _BATCH_HEAD.size:
        raise WireError(f"input ended inside a batch: {len(body) + _BATCH_HEAD.size} of {length} bytes")
    split = count * EVENT_BYTES
    return Batch(clock_ms, body[:split], body[split:], count)


def _slice(batch: Batch, at: int, size: int, where: str) -> bytes:
    if at + size > len(batch.tail):
        raise WireError(f"{where}: bytes {at} to {at + size} lie outside the tail of {len(batch.tail)} bytes")
    return batch.tail[at : at + size]


_E = TypeVar("_E", EndpointUpdateKind, Result, Phase, ServerState)


def _known(kind: type[_E], value: int, where: str) -> _E:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"{where}: {value} is no known {kind.__name__}") from None


def _load(count: int, values: tuple[float, ...], where: str) -> tuple[float, ...]:
    if count > len(values):
        raise WireError(f"{where}: a load report of {count} values, at most {len(values)} fit")
    return values[:count]


def _entries(raw: bytes, where: str) -> Iterator[ServerEntry]:
    for server, cell, zone, state, build, started, kind, weight in _ENTRY.iter_unpack(raw):
        known = _known(ServerState, state, where)
        yield ServerEntry(server, cell, zone, known, int(build), started, kind, weight)


def _up(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, seed, start, size = _UP.unpack_from(batch.records, at)
    try:
        return gateway, Up(seed, parse_settings(_slice(batch, start, size, where), where))
    except SettingsError as error:
        raise WireError(str(error)) from None


def _ledger(batch: Batch, at: int, where: str) -> tuple[None, Record]:
    number, start, count = _LEDGER.unpack_from(batch.records, at)
    if number >= LEDGERS:
        raise WireError(f"{where}: ledger number {number} is not below {LEDGERS}")
    return None, Ledger(number, tuple(_entries(_slice(batch, start, count * ENTRY_BYTES, where), where)))


def _topology(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, kind, ledger, version = _TOPOLOGY.unpack_from(batch.records, at)
    known = _known(EndpointUpdateKind, kind, where)
    if (
        known is EndpointUpdateKind.TIMED_OUT
    ):  # found by those who hold connections: the wire has no word for it
        raise WireError(f"{where}: {kind} is no known ListKind")
    return gateway, Topology(known, ledger, version)


def _incoming(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid, cls, tenant, key, deadline, hint, bits = _INCOMING.unpack_from(batch.records, at)
    work = hint if bits & _HINT_VALID else None
    repeat, write = bool(bits & _REPEAT), bool(bits & _WRITE)
    return gateway, Request(rid, cls, tenant, key, deadline, work, repeat, write)


def _flagged(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, server, cls, age = _FLAGGED.unpack_from(batch.records, at)
    return gateway, IncorrectResponse(server, cls, age)


def _metrics(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, build, cls, attempts, failed, mean, age = _METRICS.unpack_from(batch.records, at)
    return gateway, BuildStatistics(build, cls, attempts, failed, mean, age)


def _kill(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    return _GATEWAY.unpack_from(batch.records, at)[0], Kill()


def _promotion(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, build, cap, stage, reason, phase, age, how = _PROMOTION.unpack_from(batch.records, at)
    state, result = _known(Phase, phase, where), _known(Result, how, where)
    return gateway, RolloutUpdate(build, stage, state, cap, age, result, reason == 1)


def _wake(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, token = _ID.unpack_from(batch.records, at)
    return gateway, Timer(token)


def _done(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid, attempt, server, how, elapsed, over, count, *load = _DONE.unpack_from(batch.records, at)
    report = _load(count, tuple(load), where)
    return gateway, Outcome(rid, attempt, server, _known(Result, how, where), elapsed, bool(over), report)


def _gone(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid = _ID.unpack_from(batch.records, at)
    return gateway, ClientDisconnected(rid)


def _from_peer(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, sender, start, size = _FROM_PEER.unpack_from(batch.records, at)
    return gateway, GossipReceived(sender, _slice(batch, start, size, where))


def _under_way(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, rid, attempt, server, elapsed = _UNDER_WAY.unpack_from(batch.records, at)
    return gateway, ResponseStarted(rid, attempt, server, elapsed)


def _pong(batch: Batch, at: int, where: str) -> tuple[int, Record]:
    gateway, server, how, elapsed, count, *load = _PONG.unpack_from(batch.records, at)
    report = _load(count, tuple(load), where)
    return gateway, ProbeResult(server, _known(Result, how, where), elapsed, report)


_READERS: dict[int, Callable[[Batch, int, str], tuple[int | None, Record]]] = {
    16: _pong,
    17: _kill,
    18: _ledger,
    19: _wake,
    20: _from_peer,
    21: _metrics,
    22: _up,
    23: _promotion,
    24: _under_way,
    25: _gone,
    26: _done,
    27: _incoming,
    28: _flagged,
    29: _topology,
}


def records(batch: Batch) -> Iterator[tuple[int | None, Record, str]]:
    """Each record with its instance (None for a ledger) and its place in the batch."""
    for index in range(batch.count):
        at = index * EVENT_BYTES
        code = batch.records[at]
        reader = _READERS.get(code)
        if reader is None:
            raise WireError(f"record {index}: unknown event code {code}")
        where = f"record {index} (code {code})"
        gateway, record = reader(batch, at, where)
        yield gateway, record, where


# Actions


class Reply:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _put(self, layout: str, *fields: Any) -> None:
        self._records.append(struct.pack(">B" + layout, *fields).ljust(ACTION_BYTES, b"\0"))

    def _text(self, data: bytes) -> tuple[int, int]:
        at = len(self._tail)
        self._tail += data
        return at, len(data)

    def fault(self, gateway: int, text: str) -> None:
        self._put("III", 28, gateway, *self._text(text.encode()))

    def add(self, gateway: int, action: Action) -> None:
        match action:
            case Send(request, server, limit_ms):
                self._put("IQId", 20, gateway, request, server, limit_ms)
            case Cancel(request, attempt):
                self._put("IQB", 24, gateway, request, attempt)
            case Reject(request, retry_after_ms):
                self._put("IQd", 18, gateway, request, retry_after_ms)
            case Fail(request):
                self._put("IQ", 23, gateway, request)
            case Probe(server):
                self._put("II", 19, gateway, server)
            case Vote(build, stage, verdict):
                self._put("IHBB", 16, gateway, build, stage, verdict)
            case SetTimer(delay_ms, token):
                self._put("IdQ", 27, gateway, delay_ms, token)
            case Watch(on):
                self._put("IB", 22, gateway, on)
            case FetchEndpoints():
                self._put("I", 25, gateway)
            case SendGossip(peer, data):
                self._put("IHII", 17, gateway, EVERY_PEER if peer is None else peer, *self._text(data))
            case CloseIdleConnections(server):
                self._put("II", 21, gateway, server)
            case LogLine(text):
                self._put("III", 26, gateway, *self._text(text.encode()))

    def encode(self) -> bytes:
        body = b"".join(self._records)
        size = _REPLY_HEAD.size + len(body) + len(self._tail)
        return _REPLY_HEAD.pack(size, len(self._records)) + body + bytes(self._tail)
