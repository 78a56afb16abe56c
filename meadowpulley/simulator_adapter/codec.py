"""Reads frames of the simulator's wire format and decodes their event records.

A batch is a header, records of fixed size and a tail with data of variable length, to which records refer by
offset and size. All numbers are big-endian.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import BinaryIO, TypeAlias, TypeVar

from meadowpulley.interface import (
    BuildStatistics,
    ClientDisconnected,
    EndpointUpdateKind,
    Event,
    GossipReceived,
    IncorrectResponse,
    Outcome,
    Phase,
    ProbeResult,
    Request,
    ResponseStarted,
    Result,
    RolloutUpdate,
    ServerEntry,
    ServerState,
    Settings,
    Timer,
)
from meadowpulley.settings import SettingsError, parse_settings

EVENT_SIZE = 48  # bytes of one event record
ENTRY_SIZE = 26  # bytes of one server entry in a batch's tail
LEDGER_COUNT = 16  # ledgers are numbered from 0 to LEDGER_COUNT - 1


class EventCode(IntEnum):
    """The first byte of an event record."""

    PROBE_RESULT = 16
    STOP_GATEWAY = 17
    SERVER_LEDGER = 18
    TIMER = 19
    PEER_MESSAGE = 20
    BUILD_STATISTICS = 21
    START_GATEWAY = 22
    ROLLOUT_UPDATE = 23
    RESPONSE_STARTED = 24
    CLIENT_DISCONNECTED = 25
    OUTCOME = 26
    REQUEST = 27
    INCORRECT_RESPONSE = 28
    ENDPOINT_UPDATE = 29


_BATCH_HEADER = struct.Struct(">dII")
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

# Bits of the flags field in a request record.
_HAS_WORK_HINT = 1
_IS_RETRY = 2
_HAS_EFFECT = 4


class FrameError(Exception):
    """A malformed frame, record or settings object; the text says what is wrong and where."""


@dataclass(frozen=True, slots=True)
class EventBatch:
    """One frame from the simulator, with the time, the event records and the data of variable length."""

    clock_ms: float
    records: bytes
    tail: bytes
    record_count: int


@dataclass(frozen=True, slots=True)
class StartGateway:
    """A gateway starts with the given settings; `seed` seeds the random numbers of its policy."""

    seed: int
    settings: Settings


@dataclass(frozen=True, slots=True)
class StopGateway:
    """A gateway stops at once, and the state of its policy is lost."""


@dataclass(frozen=True, slots=True)
class ServerLedger:
    """A numbered list of server entries, to which endpoint updates refer."""

    number: int
    entries: tuple[ServerEntry, ...]


@dataclass(frozen=True, slots=True)
class LedgerUpdate:
    """An endpoint update for a gateway; its entries are sent before it, in a separate `ServerLedger`.

    `ledger` is the number of that `ServerLedger`.
    """

    kind: EndpointUpdateKind
    ledger: int
    version: int


Record: TypeAlias = StartGateway | StopGateway | ServerLedger | LedgerUpdate | Event


def _read_up_to(source: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or all remaining bytes if the input ends first."""
    chunks: list[bytes] = []
    while size > 0:
        chunk = source.read(size)
        if not chunk:
            break
        chunks.append(chunk)
        size -= len(chunk)
    return b"".join(chunks)


def read_batch(source: BinaryIO) -> EventBatch | None:
    """Return the next batch, or None if the input ended between two frames. Raises FrameError."""
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
        raise FrameError(f"batch clock {clock_ms} is not a finite number")
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
        raise FrameError(f"{where}: {value} is not a known {kind.__name__}") from None


def _load_report(count: int, values: tuple[float, ...], where: str) -> tuple[float, ...]:
    if count > len(values):
        raise FrameError(f"{where}: load report has {count} values, but at most {len(values)} fit")
    return values[:count]


def _server_entries(raw: bytes, where: str) -> Iterator[ServerEntry]:
    for server, cell, zone, state_code, build, started_ms, kind, weight in _SERVER_ENTRY.iter_unpack(raw):
        server_state = _enum_member(ServerState, state_code, where)
        yield ServerEntry(server, cell, zone, server_state, int(build), started_ms, kind, weight)


def _read_start(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, seed, tail_offset, size = _START_GATEWAY.unpack_from(batch.records, offset)
    try:
        settings = parse_settings(_tail_slice(batch, tail_offset, size, where), where)
    except SettingsError as error:
        raise FrameError(str(error)) from None
    return gateway, StartGateway(seed, settings)


def _read_ledger(batch: EventBatch, offset: int, where: str) -> tuple[None, Record]:
    number, tail_offset, count = _SERVER_LEDGER.unpack_from(batch.records, offset)
    if number >= LEDGER_COUNT:
        raise FrameError(f"{where}: ledger number {number} is not below {LEDGER_COUNT}")
    raw = _tail_slice(batch, tail_offset, count * ENTRY_SIZE, where)
    return None, ServerLedger(number, tuple(_server_entries(raw, where)))


def _read_endpoint_update(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, kind_code, ledger, version = _ENDPOINT_UPDATE.unpack_from(batch.records, offset)
    update_kind = _enum_member(EndpointUpdateKind, kind_code, where)
    # Only connections outside the simulator time out, so the wire format has no code for TIMED_OUT.
    if update_kind is EndpointUpdateKind.TIMED_OUT:
        raise FrameError(f"{where}: {kind_code} is not a known {EndpointUpdateKind.__name__}")
    return gateway, LedgerUpdate(update_kind, ledger, version)


def _read_request(batch: EventBatch, offset: int, _where: str) -> tuple[int, Record]:
    gateway, request_id, request_class, tenant, key, deadline_ms, work_hint, flags = _REQUEST.unpack_from(
        batch.records, offset
    )
    work_ms = work_hint if flags & _HAS_WORK_HINT else None
    is_retry = bool(flags & _IS_RETRY)
    has_effect = bool(flags & _HAS_EFFECT)
    return gateway, Request(
        request_id, request_class, tenant, key, deadline_ms, work_ms, is_retry, has_effect
    )


def _read_incorrect_response(batch: EventBatch, offset: int, _where: str) -> tuple[int, Record]:
    gateway, server, request_class, age_ms = _INCORRECT_RESPONSE.unpack_from(batch.records, offset)
    return gateway, IncorrectResponse(server, request_class, age_ms)


def _read_build_statistics(batch: EventBatch, offset: int, _where: str) -> tuple[int, Record]:
    gateway, build, request_class, attempts, failed, mean_latency, age_ms = _BUILD_STATISTICS.unpack_from(
        batch.records, offset
    )
    return gateway, BuildStatistics(build, request_class, attempts, failed, mean_latency, age_ms)


def _read_stop(batch: EventBatch, offset: int, _where: str) -> tuple[int, Record]:
    return _GATEWAY.unpack_from(batch.records, offset)[0], StopGateway()


def _read_rollout_update(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, build, exposure_cap, stage, reason_code, phase_code, age_ms, result_code = (
        _ROLLOUT_UPDATE.unpack_from(batch.records, offset)
    )
    phase = _enum_member(Phase, phase_code, where)
    result = _enum_member(Result, result_code, where)
    return gateway, RolloutUpdate(build, stage, phase, exposure_cap, age_ms, result, reason_code == 1)


def _read_timer(batch: EventBatch, offset: int, _where: str) -> tuple[int, Record]:
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


def _read_client_disconnect(batch: EventBatch, offset: int, _where: str) -> tuple[int, Record]:
    gateway, request_id = _GATEWAY_AND_ID.unpack_from(batch.records, offset)
    return gateway, ClientDisconnected(request_id)


def _read_peer_message(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, sender, tail_offset, size = _PEER_MESSAGE.unpack_from(batch.records, offset)
    return gateway, GossipReceived(sender, _tail_slice(batch, tail_offset, size, where))


def _read_response_started(batch: EventBatch, offset: int, _where: str) -> tuple[int, Record]:
    gateway, request_id, attempt, server, elapsed_ms = _RESPONSE_STARTED.unpack_from(batch.records, offset)
    return gateway, ResponseStarted(request_id, attempt, server, elapsed_ms)


def _read_probe_result(batch: EventBatch, offset: int, where: str) -> tuple[int, Record]:
    gateway, server, result_code, elapsed_ms, count, *load_values = _PROBE_RESULT.unpack_from(
        batch.records, offset
    )
    report = _load_report(count, tuple(load_values), where)
    return gateway, ProbeResult(server, _enum_member(Result, result_code, where), elapsed_ms, report)


_READERS: dict[int, Callable[[EventBatch, int, str], tuple[int | None, Record]]] = {
    EventCode.PROBE_RESULT: _read_probe_result,
    EventCode.STOP_GATEWAY: _read_stop,
    EventCode.SERVER_LEDGER: _read_ledger,
    EventCode.TIMER: _read_timer,
    EventCode.PEER_MESSAGE: _read_peer_message,
    EventCode.BUILD_STATISTICS: _read_build_statistics,
    EventCode.START_GATEWAY: _read_start,
    EventCode.ROLLOUT_UPDATE: _read_rollout_update,
    EventCode.RESPONSE_STARTED: _read_response_started,
    EventCode.CLIENT_DISCONNECTED: _read_client_disconnect,
    EventCode.OUTCOME: _read_outcome,
    EventCode.REQUEST: _read_request,
    EventCode.INCORRECT_RESPONSE: _read_incorrect_response,
    EventCode.ENDPOINT_UPDATE: _read_endpoint_update,
}


def read_records(batch: EventBatch) -> Iterator[tuple[int | None, Record, str]]:
    """Yield each record with its gateway (None for a ledger) and a text that locates the record.

    Raises FrameError if a record is malformed.
    """
    for index in range(batch.record_count):
        offset = index * EVENT_SIZE
        code = batch.records[offset]
        reader = _READERS.get(code)
        if reader is None:
            raise FrameError(f"record {index}: unknown event code {code}")
        where = f"record {index} (code {code})"
        gateway, record = reader(batch, offset, where)
        yield gateway, record, where
