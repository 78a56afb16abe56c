"""Encode and decode the records that gateways share through the ledger.

Each record has one writer at a time, so that writes rarely conflict.

- `lending/plan`: the quota plan (`plan.py`).
- `lending/allocator`: the allocator's lease, which names the incarnation that allocates. A grant is written
  only if this record is unchanged since its writer was elected, so a former allocator that resumes after a
  pause can't write any grant.
- `lending/ask/N`: the demand report of gateway N: its round, its demand, and which grant it has applied.
- `lending/grant/N`: the grant of gateway N: what it may admit, in answer to the report of one round.

Keys and encodings are stored formats and must not change. Rates are in units per second, times in
milliseconds.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import NamedTuple, TypeAlias

from meadowpulley.ledger.model import Commit, Create, Incarnation, Replace, Transaction
from meadowpulley.lending.errors import RecordFormatError

OWNER = "lending"  # owner of the commits and scans that this package sends
KEY_PREFIX = "lending/"
PLAN_KEY = KEY_PREFIX + "plan"
ALLOCATOR_KEY = KEY_PREFIX + "allocator"
REPORT_PREFIX = KEY_PREFIX + "ask/"
GRANT_PREFIX = KEY_PREFIX + "grant/"

RECORD_FORMAT = 1  # format number of reports and grants; records in another format are rejected
_REPORT_HEADER = struct.Struct("<BHIIIIIdd?")  # has the fields of `_ReportHeader`
_GRANT_HEADER = struct.Struct("<BHIIIIddddd")  # has the fields of `_GrantHeader`
_REPORT_RATE = struct.Struct("<Hf")  # has the fields of one `DemandRate`
_GRANT_RATE = struct.Struct("<Hff")  # has the fields of one `GrantedRate`

# A tenant's place (index in the plan's list of tenants), and the units per second that it demands.
DemandRate: TypeAlias = tuple[int, float]
# A tenant's place, and the units per second granted to it: from its own quota, and borrowed.
GrantedRate: TypeAlias = tuple[int, float, float]


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Describe a gateway's demand in one round, by each tenant's place in the plan."""

    incarnation: Incarnation
    round_number: int  # rises by one with each report of this incarnation
    # Round of the newest grant that the gateway has applied; it no longer uses any earlier grant.
    acknowledged_round: int
    plan_version: int  # version of the plan that defines the tenants' places
    # Largest floor that this or an earlier incarnation may use in addition to grants (units per second).
    reserved_floor: float
    # Floor of this incarnation (units per second); its grant can be smaller by this amount.
    floor_in_use: float
    released: bool = False  # after a graceful shutdown the gateway admits nothing
    rates: tuple[DemandRate, ...] = ()


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """State what a gateway may admit for `term_ms` from when it began the round that is answered."""

    incarnation: Incarnation
    round_number: int
    plan_version: int
    # Units per second in addition to the floor, for all tenants, including capacity assigned to no tenant.
    total: float
    # Units per second that count as in use until this grant is applied or expires, because the gateway may
    # still use an earlier, larger grant.
    reserved: float
    # Units per second that earlier incarnations may still use, in addition to `reserved`.
    predecessor_reserved: float
    # Units per second that may be admitted even without a grant, for the floor's term; the gateway uses at
    # most the plan's floor.
    floor: float
    term_ms: float
    rates: tuple[GrantedRate, ...] = ()  # rates by tenant, including the part that the floor covers


def encode_incarnation(incarnation: Incarnation) -> bytes:
    """Encode the value of the allocator's lease record."""
    return f"{incarnation.epoch} {incarnation.name}".encode()


def decode_incarnation(value: bytes) -> Incarnation:
    """Decode the value of the allocator's lease record."""
    epoch, _, name = value.decode().partition(" ")
    return Incarnation(name, int(epoch))


class _ReportHeader(NamedTuple):
    """Hold the fixed-size part of an encoded report; the gateway's name and the rates follow it."""

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
    """Hold the fixed-size part of an encoded grant; the gateway's name and the rates follow it."""

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
    """Encode a report as a fixed-size header, the gateway's name, and one row for each tenant."""
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
    """Decode a report; raise `RecordFormatError` if the value is not a report in this format."""
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
    """Encode a grant as a fixed-size header, the gateway's name, and one row for each tenant."""
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
    """Decode a grant; raise `RecordFormatError` if the value is not a grant in this format."""
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
    """Raise `RecordFormatError` if the format number is unknown or the length contradicts the header."""
    length = length_without_name + header.name_length
    if header.record_format != RECORD_FORMAT or len(value) != length:
        raise RecordFormatError(
            f"the record has format {header.record_format} and {len(value)} bytes; "
            f"expected format {RECORD_FORMAT} and {length} bytes"
        )


def _decode_name(value: bytes, offset: int, length: int) -> str:
    return value[offset : offset + length].decode()


def conditional_write(ticket: int, key: str, value: bytes, version: int) -> Commit:
    """Return a commit that writes a record if it still has this version (0: if it does not exist)."""
    return Commit(ticket, (Transaction((write_if_unchanged(key, value, version),)),), OWNER)


def write_if_unchanged(key: str, value: bytes, version: int) -> Create | Replace:
    """Return a write that takes effect only if the record has this version (0: if it does not exist)."""
    return Replace(key, value, version) if version else Create(key, value)


def record_key(prefix: str, gateway_index: int) -> str:
    """Return the key of a gateway's report or grant, padded so that no key is a prefix of another."""
    return f"{prefix}{gateway_index:05d}"


def gateway_index_of(prefix: str, key: str) -> int | None:
    """Return the gateway index in a key, or None if the key lacks the prefix or an index."""
    suffix = key.removeprefix(prefix)
    if suffix == key or not suffix.isdecimal():
        return None
    return int(suffix)
