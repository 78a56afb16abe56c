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

EVENT_SIZE = 48
ACTION_SIZE = 32
ENTRY_SIZE = 26
LEDGER_COUNT = 16
ALL_PEERS = 0xFFFF

_BATCH_HEADER = struct.Struct(">dII")
_REPLY_HEADER = struct.Struct(">II")
_SERVER_ENTRY = struct.Struct(">IHBBfdHf")
_START_GATEWAY = struct.Struct(">xIQII")
_SERVER_LEDGER = struct.Struct(">xIII")
_ENDPOINT_UPDATE = struct.Struct(">xIBII")
_REQUEST = struct.Struct(">xIQBIQddB")
_INCORRECT_RESPONSE = struct.Struct(">xIIBd")
_BUILD_STATISTICS = struct.Struct(">xIHBIIdd")
_ROLLOUT_UPDATE = struct.Struct(">xIHfBBBdH")
_OUTCOME = struct.Struct(">xIQBIHdBB4f")
_PEER_MESSAGE = struct.Struct(">xIIII")
_RESPONSE_STARTED = struct.Struct(">xIQBId")
_PROBE_RESULT = struct.Struct(">xIIHdB4f")
_GATEWAY_AND_ID = struct.Struct(">xIQ")
_GATEWAY = struct.Struct(">xI")

_HAS_WORK_HINT, _IS_RETRY, _HAS_EFFECT = 1, 2, 4


class FrameError(Exception):
    """A malformed frame, record or settings object; the text says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class EventBatch:
    clock_ms: float
    records: bytes
    tail: bytes
    record_count: int


@dataclass(frozen=True, slots=True)
class StartGateway:
    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class StopGateway:
    pass


@dataclass(frozen=True, slots=True)
class ServerLedger:
    number: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class LedgerUpdate:
    kind: EndpointUpdateKind
    ledger: int
    version: int


Record: TypeAlias = StartGateway | StopGateway | ServerLedger | LedgerUpdate | Event


def _read_up_to(source: BinaryIO, size: int) -> bytes:
    chunks: list[bytes] = []
    while size > 0:
        chunk = source.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def read_batch(source: BinaryIO) -> EventBatch | None:
    """The next batch, or None when the input ended between two frames."""
    header = _read_up_to(source, _BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < _BATCH_HEADER.size:
        raise FrameError(f"input ended inside a batch header: {len(header)} of {_BATCH_HEADER.size} bytes")
    clock_ms, length, count = _BATCH_HEADER.unpack(header)
    required_size = _BATCH_HEADER.size + count * EVENT_SIZE
    if length < required_size:
        raise FrameError(
            f"batch length {length} is too short for {count} records, which need {required_size} bytes"
        )
    if not math.isfinite(clock_ms):
        raise FrameError(f"batch clock {clock_ms} is no time")
    body = _read_up_to(source, length - _BATCH_HEADER.size)
    if len(body) < length - _BATCH_HEADER.size:
        raise FrameError(f"input ended inside a batch: {len(body) + _BATCH_HEADER.size} of {length} bytes")
    records_size = count * EVENT_SIZE
    return EventBatch(clock_ms, body[:records_size], body[records_size:], count)


def _tail_slice(batch: EventBatch, offset: int, size: int, where: str) -> bytes:
    if offset + size > len(batch.tail):
        raise FrameError(
            f"{where}: bytes {offset} to {offset + size} lie outside the tail of {len(batch.tail)} bytes"
        )
    return batch.tail[offset : offset + size]


_WireEnum = TypeVar("_WireEnum", EndpointUpdateKind, Result, Phase, ServerState)


def _enum_member(kind: type[_WireEnum], value: int, where: str) -> _WireEnum:
    try:
        return kind(value)
    except ValueError:
        raise FrameError(f"{where}: {value} is no known {kind.__name__}") from None


def _load_report(count: int, values: tuple[float, ...], where: str) -> tuple[float, ...]:
    if count > len(values):
        raise FrameError(f"{where}: a load report of {count} values, at most {len(values)} fit")
    return values[:count]


def _server_entries(raw: bytes, where: str) -> Iterator[ServerEntry]:
    for server, cell, zone, state_code, build, started_ms, kind, weight in _SERVER_ENTRY.iter_unpack(raw):
        server_state = _enum_member(ServerState, state_code, where)
        yield ServerEntry(server, cell, zone, server_state, int(build), started_ms, kind, weight)


def _read_start(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, seed, tail_offset, size = _START_GATEWAY.unpack_from(batch.records, offset)
    try:
        return gateway, StartGateway(
            seed, parse_settings(_tail_slice(batch, tail_offset, size, where), where)
        )
    except SettingsError as error:
        raise FrameError(str(error)) from None


def _read_ledger(batch: EventBatch, offset: int, where: str) -> tuple[None, Record]:
    number, tail_offset, count = _SERVER_LEDGER.unpack_from(batch.records, offset)
    if number >= LEDGER_COUNT:
        raise FrameError(f"{where}: ledger number {number} is not below {LEDGER_COUNT}")
    return None, ServerLedger(
        number, tuple(_server_entries(_tail_slice(batch, tail_offset, count * ENTRY_SIZE, where), where))
    )


def _read_endpoint_update(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, kind_code, ledger, version = _ENDPOINT_UPDATE.unpack_from(batch.records, offset)
    update_kind = _enum_member(EndpointUpdateKind, kind_code, where)
    if (
        update_kind is EndpointUpdateKind.TIMED_OUT
    ):  # found by those who hold connections: the wire has no word for it
        raise FrameError(f"{where}: {kind_code} is no known ListKind")
    return gateway, LedgerUpdate(update_kind, ledger, version)


def _read_request(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, request_id, request_class, tenant, key, deadline_ms, work_hint, flags = _REQUEST.unpack_from(
        batch.records, offset
    )
    work_ms = work_hint if flags & _HAS_WORK_HINT else None
    is_retry, has_effect = bool(flags & _IS_RETRY), bool(flags & _HAS_EFFECT)
    return gateway, Request(
        request_id, request_class, tenant, key, deadline_ms, work_ms, is_retry, has_effect
    )


def _read_incorrect_response(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, server, request_class, age_ms = _INCORRECT_RESPONSE.unpack_from(batch.records, offset)
    return gateway, IncorrectResponse(server, request_class, age_ms)


def _read_build_statistics(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, build, request_class, attempts, failed, mean_latency, age_ms = _BUILD_STATISTICS.unpack_from(
        batch.records, offset
    )
    return gateway, BuildStatistics(build, request_class, attempts, failed, mean_latency, age_ms)


def _read_stop(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    return _GATEWAY.unpack_from(batch.records, offset)[0], StopGateway()


def _read_rollout_update(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, build, exposure_cap, stage, reason_code, phase_code, age_ms, result_code = (
        _ROLLOUT_UPDATE.unpack_from(batch.records, offset)
    )
    phase, result = _enum_member(Phase, phase_code, where), _enum_member(Result, result_code, where)
    return gateway, RolloutUpdate(build, stage, phase, exposure_cap, age_ms, result, reason_code == 1)


def _read_timer(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, token = _GATEWAY_AND_ID.unpack_from(batch.records, offset)
    return gateway, Timer(token)


def _read_outcome(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, request_id, attempt, server, result_code, elapsed_ms, is_final, count, *load_values = (
        _OUTCOME.unpack_from(batch.records, offset)
    )
    report = _load_report(count, tuple(load_values), where)
    return gateway, Outcome(
        request_id,
        attempt,
        server,
        _enum_member(Result, result_code, where),
        elapsed_ms,
        bool(is_final),
        report,
    )


def _read_client_disconnect(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, request_id = _GATEWAY_AND_ID.unpack_from(batch.records, offset)
    return gateway, ClientDisconnected(request_id)


def _read_peer_message(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, sender, tail_offset, size = _PEER_MESSAGE.unpack_from(batch.records, offset)
    return gateway, GossipReceived(sender, _tail_slice(batch, tail_offset, size, where))


def _read_response_started(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, request_id, attempt, server, elapsed_ms = _RESPONSE_STARTED.unpack_from(batch.records, offset)
    return gateway, ResponseStarted(request_id, attempt, server, elapsed_ms)


def _read_probe_result(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, server, result_code, elapsed_ms, count, *load_values = _PROBE_RESULT.unpack_from(
        batch.records, offset
    )
    report = _load_report(count, tuple(load_values), where)
    return gateway, ProbeResult(server, _enum_member(Result, result_code, where), elapsed_ms, report)


_READERS: dict[int, Callable[[EventBatch, int, str], tuple[int | None, Record]]] = {
    16: _read_probe_result,
    17: _read_stop,
    18: _read_ledger,
    19: _read_timer,
    20: _read_peer_message,
    21: _read_build_statistics,
    22: _read_start,
    23: _read_rollout_update,
    24: _read_response_started,
    25: _read_client_disconnect,
    26: _read_outcome,
    27: _read_request,
    28: _read_incorrect_response,
    29: _read_endpoint_update,
}


def read_records(batch: EventBatch) -> Iterator[tuple[int | None, Record, str]]:
    """Each record with its instance (None for a ledger) and its place in the batch."""
    for index in range(batch.record_count):
        offset = index * EVENT_SIZE
        code = batch.records[offset]
        reader = _READERS.get(code)
        if reader is None:
            raise FrameError(f"record {index}: unknown event code {code}")
        where = f"record {index} (code {code})"
        gateway, record = reader(batch, offset, where)
        yield gateway, record, where


# Actions


class ActionReply:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self._records: list[bytes] = []
        self._tail = bytearray()

    def _append_record(self, layout: str, *fields: Any) -> None:
        self._records.append(struct.pack(">B" + layout, *fields).ljust(ACTION_SIZE, b"\0"))

    def _append_to_tail(self, data: bytes) -> tuple[int, int]:
        offset = len(self._tail)
        self._tail += data
        return offset, len(data)

    def add_fault(self, gateway: int, text: str) -> None:
        self._append_record("III", 28, gateway, *self._append_to_tail(text.encode()))

    def add_action(self, gateway: int, action: Action) -> None:
        match action:
            case Send(request, server, limit_ms):
                self._append_record("IQId", 20, gateway, request, server, limit_ms)
            case Cancel(request, attempt):
                self._append_record("IQB", 24, gateway, request, attempt)
            case Reject(request, retry_after_ms):
                self._append_record("IQd", 18, gateway, request, retry_after_ms)
            case Fail(request):
                self._append_record("IQ", 23, gateway, request)
            case Probe(server):
                self._append_record("II", 19, gateway, server)
            case Vote(build, stage, verdict):
                self._append_record("IHBB", 16, gateway, build, stage, verdict)
            case SetTimer(delay_ms, token):
                self._append_record("IdQ", 27, gateway, delay_ms, token)
            case Watch(on):
                self._append_record("IB", 22, gateway, on)
            case FetchEndpoints():
                self._append_record("I", 25, gateway)
            case SendGossip(peer, data):
                self._append_record(
                    "IHII", 17, gateway, ALL_PEERS if peer is None else peer, *self._append_to_tail(data)
                )
            case CloseIdleConnections(server):
                self._append_record("II", 21, gateway, server)
            case LogLine(text):
                self._append_record("III", 26, gateway, *self._append_to_tail(text.encode()))

    def encode(self) -> bytes:
        body = b"".join(self._records)
        size = _REPLY_HEADER.size + len(body) + len(self._tail)
        return _REPLY_HEADER.pack(size, len(self._records)) + body + bytes(self._tail)
