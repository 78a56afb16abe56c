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
from typing import Any, TypeAlias

from meadowpulley.ledger.model import Commit, Create, Incarnation, Replace, Transaction

OWNER = "lending"  # of this package's commits
KEY_PREFIX = "lending/"
PLAN_KEY = KEY_PREFIX + "plan"
ALLOCATOR_KEY = KEY_PREFIX + "allocator"
REPORT_PREFIX = KEY_PREFIX + "ask/"
GRANT_PREFIX = KEY_PREFIX + "grant/"

RECORD_FORMAT = 1  # of reports and grants; records of another format are refused
_REPORT_HEADER = struct.Struct("<BHIIIIIdd?")
_GRANT_HEADER = struct.Struct("<BHIIIIddddd")
_REPORT_RATE = struct.Struct("<Hf")
_GRANT_RATE = struct.Struct("<Hff")

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


def encode_report(report: DemandReport) -> bytes:
    """Encode a report: a fixed header, the gateway's name, and a row for each tenant."""
    name = report.incarnation.name.encode()
    header = _REPORT_HEADER.pack(
        RECORD_FORMAT,
        len(name),
        report.incarnation.epoch,
        report.round_number,
        report.acknowledged_round,
        report.plan_version,
        len(report.rates),
        report.reserved_floor,
        report.floor_in_use,
        report.released,
    )
    return header + name + b"".join([_REPORT_RATE.pack(*rate) for rate in report.rates])


def decode_report(value: bytes) -> DemandReport:
    """Decode a report. Raises `ValueError` for anything that is not a report of this format."""
    try:
        (
            record_format,
            name_length,
            epoch,
            round_number,
            acknowledged_round,
            plan_version,
            count,
            reserved_floor,
            floor_in_use,
            released,
        ) = _REPORT_HEADER.unpack_from(value)
        rates = _decode_rates(value, _REPORT_HEADER.size + name_length, _REPORT_RATE, count, record_format)
    except struct.error as error:
        raise ValueError(f"not a demand report: {error}") from None
    return DemandReport(
        incarnation=Incarnation(_decode_name(value, _REPORT_HEADER, name_length), epoch),
        round_number=round_number,
        acknowledged_round=acknowledged_round,
        plan_version=plan_version,
        reserved_floor=reserved_floor,
        floor_in_use=floor_in_use,
        released=released,
        rates=rates,
    )


def encode_grant(grant: QuotaGrant) -> bytes:
    """Encode a grant: a fixed header, the gateway's name, and a row for each tenant."""
    name = grant.incarnation.name.encode()
    header = _GRANT_HEADER.pack(
        RECORD_FORMAT,
        len(name),
        grant.incarnation.epoch,
        grant.round_number,
        grant.plan_version,
        len(grant.rates),
        grant.total,
        grant.reserved,
        grant.predecessor_reserved,
        grant.floor,
        grant.term_ms,
    )
    return header + name + b"".join([_GRANT_RATE.pack(*rate) for rate in grant.rates])


def decode_grant(value: bytes) -> QuotaGrant:
    """Decode a grant. Raises `ValueError` for anything that is not a grant of this format."""
    try:
        (
            record_format,
            name_length,
            epoch,
            round_number,
            plan_version,
            count,
            total,
            reserved,
            predecessor_reserved,
            floor,
            term_ms,
        ) = _GRANT_HEADER.unpack_from(value)
        rates = _decode_rates(value, _GRANT_HEADER.size + name_length, _GRANT_RATE, count, record_format)
    except struct.error as error:
        raise ValueError(f"not a grant: {error}") from None
    return QuotaGrant(
        incarnation=Incarnation(_decode_name(value, _GRANT_HEADER, name_length), epoch),
        round_number=round_number,
        plan_version=plan_version,
        total=total,
        reserved=reserved,
        predecessor_reserved=predecessor_reserved,
        floor=floor,
        term_ms=term_ms,
        rates=rates,
    )


def _decode_name(value: bytes, header: struct.Struct, name_length: int) -> str:
    return value[header.size : header.size + name_length].decode()


def _decode_rates(
    value: bytes, offset: int, rate_format: struct.Struct, count: int, record_format: int
) -> tuple[Any, ...]:
    if record_format != RECORD_FORMAT or len(value) != offset + rate_format.size * count:
        raise ValueError(f"format {record_format}, {len(value)} bytes")
    return tuple(rate_format.iter_unpack(value[offset:]))


def conditional_write(ticket: int, key: str, value: bytes, version: int) -> Commit:
    """Return the commit that writes one record if its version is unchanged (0: if it does not exist)."""
    return Commit(ticket, (Transaction((write_if_unchanged(key, value, version),)),), OWNER)


def write_if_unchanged(key: str, value: bytes, version: int) -> Create | Replace:
    """Return a write that takes effect if the record has this version (0: if it does not exist)."""
    return Replace(key, value, version) if version else Create(key, value)


def record_key(prefix: str, gateway_index: int) -> str:
    """Return the key of a gateway's report or grant; no key is the beginning of another."""
    return f"{prefix}{gateway_index:05d}"
