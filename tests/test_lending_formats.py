"""Check that records stored by version 0.4.0 can be read and are written as the same bytes."""

from __future__ import annotations

from meadowpulley.ledger.model import Incarnation
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.lending.plan import decode_plan, encode_plan
from meadowpulley.lending.records import (
    ALLOCATOR_KEY,
    GRANT_PREFIX,
    OWNER,
    PLAN_KEY,
    REPORT_PREFIX,
    DemandReport,
    QuotaGrant,
    decode_grant,
    decode_incarnation,
    decode_report,
    encode_grant,
    encode_incarnation,
    encode_report,
    record_key,
)

GATEWAY = Incarnation("a", 3)

STORED_PLAN = (
    b'{"burst_ms": 250.0, "by_work": true, "capacity_per_s": 1500.0, "drift": 0.01, "floor": 0.1, '
    b'"floor_term_ms": 60000.0, "gateways": 3, "tenants": [{"name": "shop", "part": 0.5, "weight": 2.0}, '
    b'{"name": "bank", "part": 0.3, "weight": 1.0}], "term_ms": 4000.0, "version": 2, "work_ms": 80.0}'
)
PLAN = QuotaPlan(
    version=2,
    capacity_per_s=1500.0,
    gateways=3,
    tenants=(Quota("shop", 0.5, 2.0), Quota("bank", 0.3)),
    by_work=True,
    floor=0.1,
    term_ms=4000.0,
    floor_term_ms=60_000.0,
    drift=0.01,
    burst_ms=250.0,
    work_ms=80.0,
)

STORED_REPORT = (
    b"\x01\x01\x00\x03\x00\x00\x00\x07\x00\x00\x00\x06\x00\x00\x00\x02\x00\x00\x00\x02\x00\x00\x00"
    b"\x00\x00\x00\x00\x00\x00\x12@\x00\x00\x00\x00\x00\x00\n@\x01a\x00\x00\x00\x00\xc0?\x07\x00\x00\x00\x00@"
)
REPORT = DemandReport(
    incarnation=GATEWAY,
    round_number=7,
    acknowledged_round=6,
    plan_version=2,
    reserved_floor=4.5,
    floor_in_use=3.25,
    released=True,
    rates=((0, 1.5), (7, 2.0)),
)

STORED_GRANT = (
    b"\x01\x01\x00\x03\x00\x00\x00\x07\x00\x00\x00\x02\x00\x00\x00\x02\x00\x00\x00"
    b"\x00\x00\x00\x00\x00\x00%@\x00\x00\x00\x00\x00\x00&@\x00\x00\x00\x00\x00\x00\xf0?"
    b"\x00\x00\x00\x00\x00\x00\x04@\x00\x00\x00\x00\x00@\xaf@a"
    b"\x00\x00\x00\x00\xc0?\x00\x00\x80>\x07\x00\x00\x00\x00@\x00\x00\x00?"
)
GRANT = QuotaGrant(
    incarnation=GATEWAY,
    round_number=7,
    plan_version=2,
    total=10.5,
    reserved=11.0,
    predecessor_reserved=1.0,
    floor=2.5,
    term_ms=4000.0,
    rates=((0, 1.5, 0.25), (7, 2.0, 0.5)),
)


def test_a_stored_plan_is_read_and_written_as_before() -> None:
    assert decode_plan(STORED_PLAN) == PLAN
    assert encode_plan(PLAN) == STORED_PLAN


def test_a_stored_demand_report_is_read_and_written_as_before() -> None:
    assert decode_report(STORED_REPORT) == REPORT
    assert encode_report(REPORT) == STORED_REPORT


def test_a_stored_grant_is_read_and_written_as_before() -> None:
    assert decode_grant(STORED_GRANT) == GRANT
    assert encode_grant(GRANT) == STORED_GRANT


def test_the_lease_and_the_keys_are_as_before() -> None:
    assert decode_incarnation(b"3 a") == GATEWAY
    assert encode_incarnation(GATEWAY) == b"3 a"
    assert (OWNER, PLAN_KEY, ALLOCATOR_KEY) == ("lending", "lending/plan", "lending/allocator")
    assert record_key(REPORT_PREFIX, 4) == "lending/ask/00004"
    assert record_key(GRANT_PREFIX, 4) == "lending/grant/00004"
