"""Records that gateways share through the ledger: demand reports, grants, and the allocator's lease.

Each record has one writer at a time, so that writes hardly ever conflict.

- `lending/plan`: the quota plan (`plan.py`).
- `lending/allocator`: the incarnation that allocates. Every grant is written on the condition that this
  record is unchanged since its writer was elected: a former allocator that resumes can write nothing.
- `lending/ask/N`: what gateway N demands, by round, and which grant it has applied.
- `lending/grant/N`: what gateway N may admit, in answer to one round's report.

Keys and encodings are stored formats. Rates are units per second, times are milliseconds.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from meadowpulley.ledger.model import Commit, Create, Incarnation, Replace, Transaction
from meadowpulley.lending.errors import RecordFormatError

OWNER = "lending"  # of this package's commits
KEY_PREFIX = "lending/"
PLAN_KEY = KEY_PREFIX + "plan"
ALLOCATOR_KEY = KEY_PREFIX + "allocator"
REPORT_PREFIX = KEY_PREFIX + "ask/"
GRANT_PREFIX = KEY_PREFIX + "grant/"

RECORD_FORMAT = 1  # of reports and grants; records of another format are refused
_REPORT_HEADER = struct.Struct("<BHIIIIIdd?")  # laid out as `_ReportHeader`
_GRANT_HEADER = struct.Struct("<BHIIIIddddd")  # laid out as `_GrantHeader`
_REPORT_RATE = struct.Struct("<Hf")  # a `DemandRate`
_GRANT_RATE = struct.Struct("<Hff")  # a `GrantedRate`

DemandRate: TypeAlias = tuple[int, float]  # the tenant's place in the plan; demanded
GrantedRate: TypeAlias = tuple[int, float, float]  # place; of the tenant's own quota; borrowed


@dataclass(frozen=True, slots=True)
class DemandReport:
    """A gateway's demand in one round, by the tenant's place in the plan."""

    incarnation: Incarnation
    round_number: int  # rises by one with each report of that incarnation
    acknowledged_round: int  # whose grant it has applied; it uses no earlier one any more
    plan_version: int  # that the tenants' places belong to
    reserved_floor: float  # most that this gateway, or an earlier incarnation, admits beside grants
    floor_in_use: float  # by this incarnation itself: its grant can be smaller by as much
    released: bool = False  # it admits nothing any more: graceful shutdown
    rates: tuple[DemandRate, ...] = ()


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """What a gateway may admit, for a term from the moment it began the round that is answered."""

    incarnation: Incarnation
    round_number: int
    plan_version: int
    total: float  # beyond the floor, of all tenants, with what is assigned to none
    reserved: float  # to be counted until this grant is applied or has ended: an earlier one may be in use
    predecessor_reserved: float  # beside that, what earlier incarnations may still use
    floor: float  # admitted in any case, for the floor's term; at most the plan's
    term_ms: float
    rates: tuple[GrantedRate, ...] = ()  # with what the floor covers


def encode_incarnation(incarnation: Incarnation) -> bytes:
    """Encode the value of the allocator's lease."""
    return f"{incarnation.epoch} {incarnation.name}".encode()


def decode_incarnation(value: bytes) -> Incarnation:
    """Decode the value of the allocator's lease."""
    epoch, _, name = value.decode().partition(" ")
    return Incarnation(name, int(epoch))


class _ReportHeader(NamedTuple):
    """The fixed part of an encoded report; the gateway's name and the rates follow."""

    record_format: int
    name_length: int
    epoch: int
    round_number: int
    acknowledged_round: int
    plan_version: int
    rate_count: int
    reserved_floor: float
    floor_in_use: float
    released: bool


class _GrantHeader(NamedTuple):
    """The fixed part of an encoded grant; the gateway's name and the rates follow."""

    record_format: int
    name_length: int
    epoch: int
    round_number: int
    plan_version: int
    rate_count: int
    total: float
    reserved: float
    predecessor_reserved: float
    floor: float
    term_ms: float


def encode_report(report: DemandReport) -> bytes:
    """Encode a report: a fixed header, the gateway's name, and a row for each tenant."""
    name = report.incarnation.name.encode()
    header = _ReportHeader(
        record_format=RECORD_FORMAT,
        name_length=len(name),
        epoch=report.incarnation.epoch,
        round_number=report.round_number,
        acknowledged_round=report.acknowledged_round,
        plan_version=report.plan_version,
        rate_count=len(report.rates),
        reserved_floor=report.reserved_floor,
        floor_in_use=report.floor_in_use,
        released=report.released,
    )
    rows = [_REPORT_RATE.pack(*rate) for rate in report.rates]
    return _REPORT_HEADER.pack(*header) + name + b"".join(rows)


def decode_report(value: bytes) -> DemandReport:
    """Decode a report. Raises `RecordFormatError` for anything that is not a report of this format."""
    try:
        header = _ReportHeader._make(_REPORT_HEADER.unpack_from(value))
        _check_format(value, header, _REPORT_HEADER.size + _REPORT_RATE.size * header.rate_count)
        name = _decode_name(value, _REPORT_HEADER.size, header.name_length)
    except (struct.error, ValueError) as error:
        raise RecordFormatError(f"not a demand report: {error}") from None
    rows = value[_REPORT_HEADER.size + header.name_length :]
    return DemandReport(
        incarnation=Incarnation(name, header.epoch),
        round_number=header.round_number,
        acknowledged_round=header.acknowledged_round,
        plan_version=header.plan_version,
        reserved_floor=header.reserved_floor,
        floor_in_use=header.floor_in_use,
        released=header.released,
        rates=tuple(_REPORT_RATE.iter_unpack(rows)),
    )


def encode_grant(grant: QuotaGrant) -> bytes:
    """Encode a grant: a fixed header, the gateway's name, and a row for each tenant."""
    name = grant.incarnation.name.encode()
    header = _GrantHeader(
        record_format=RECORD_FORMAT,
        name_length=len(name),
        epoch=grant.incarnation.epoch,
        round_number=grant.round_number,
        plan_version=grant.plan_version,
        rate_count=len(grant.rates),
        total=grant.total,
        reserved=grant.reserved,
        predecessor_reserved=grant.predecessor_reserved,
        floor=grant.floor,
        term_ms=grant.term_ms,
    )
    rows = [_GRANT_RATE.pack(*rate) for rate in grant.rates]
    return _GRANT_HEADER.pack(*header) + name + b"".join(rows)


def decode_grant(value: bytes) -> QuotaGrant:
    """Decode a grant. Raises `RecordFormatError` for anything that is not a grant of this format."""
    try:
        header = _GrantHeader._make(_GRANT_HEADER.unpack_from(value))
        _check_format(value, header, _GRANT_HEADER.size + _GRANT_RATE.size * header.rate_count)
        name = _decode_name(value, _GRANT_HEADER.size, header.name_length)
    except (struct.error, ValueError) as error:
        raise RecordFormatError(f"not a grant: {error}") from None
    rows = value[_GRANT_HEADER.size + header.name_length :]
    return QuotaGrant(
        incarnation=Incarnation(name, header.epoch),
        round_number=header.round_number,
        plan_version=header.plan_version,
        total=header.total,
        reserved=header.reserved,
        predecessor_reserved=header.predecessor_reserved,
        floor=header.floor,
        term_ms=header.term_ms,
        rates=tuple(_GRANT_RATE.iter_unpack(rows)),
    )


def _check_format(value: bytes, header: _ReportHeader | _GrantHeader, length_without_name: int) -> None:
    """Raise `RecordFormatError` for another format or length than the header states."""
    length = length_without_name + header.name_length
    if header.record_format != RECORD_FORMAT or len(value) != length:
        raise RecordFormatError(
            f"format {header.record_format}, {len(value)} bytes: "
            f"expected format {RECORD_FORMAT}, {length} bytes"
        )


def _decode_name(value: bytes, offset: int, length: int) -> str:
    return value[offset : offset + length].decode()


def conditional_write(ticket: int, key: str, value: bytes, version: int) -> Commit:
    """Return the commit that writes one record if its version is unchanged (0: if it does not exist)."""
    return Commit(ticket, (Transaction((write_if_unchanged(key, value, version),)),), OWNER)


def write_if_unchanged(key: str, value: bytes, version: int) -> Create | Replace:
    """Return a write that takes effect if the record has this version (0: if it does not exist)."""
    return Replace(key, value, version) if version else Create(key, value)


def record_key(prefix: str, gateway_index: int) -> str:
    """Return the key of a gateway's report or grant; no key is the beginning of another."""
    return f"{prefix}{gateway_index:05d}"


def gateway_index_of(prefix: str, key: str) -> int | None:
    """Return whose report or grant a key names; None if it does not begin so or has no index."""
    suffix = key.removeprefix(prefix)
    if suffix == key or not suffix.isdecimal():
        return None
    return int(suffix)
