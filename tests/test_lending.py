"""Test the modules of lending: division, buckets, estimates, records, the stage, and settings."""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from benchmarks.lending_gateway import AdmittingStage, plain_settings
from meadowpulley.interface import (
    ClientDisconnected,
    Fail,
    Outcome,
    PriorAttempt,
    Reject,
    Request,
    Result,
    Tenant,
    Timer,
)
from meadowpulley.ledger.model import (
    CommitCompleted,
    Fenced,
    Incarnation,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.lending import Admission, LendingStage, Quota, QuotaPlan, QuotaPlanError, read_plan
from meadowpulley.lending.demand_estimator import DemandEstimator
from meadowpulley.lending.errors import RecordFormatError
from meadowpulley.lending.max_min_fairness import divide_capacity, water_fill
from meadowpulley.lending.plan import decode_plan, encode_plan
from meadowpulley.lending.quota_enforcer import QuotaEnforcer
from meadowpulley.lending.records import (
    DemandReport,
    QuotaGrant,
    decode_grant,
    decode_report,
    encode_grant,
    encode_report,
)

A, B = Incarnation("a", 1), Incarnation("b", 1)
PLAN = QuotaPlan(1, 100.0, 2, (Quota("x", 0.5), Quota("y", 0.3), Quota("z", 0.2)), floor=0.1, drift=0.0)


@pytest.mark.parametrize(
    ("capacity", "demands", "weights", "allocated"),
    [
        (10, [2, 20, 20], [1, 1, 1], [2, 4, 4]),
        (10, [20, 20], [3, 1], [7.5, 2.5]),
        (10, [1, 2], [1, 1], [1, 2]),
        (10, [6, 20], [0, 1], [0, 10]),
        (10, [20, 4], [0, 1], [6, 4]),
        (0, [5], [1], [0]),
        (10, [], [], []),
    ],
)
def test_water_filling(
    capacity: float, demands: list[float], weights: list[float], allocated: list[float]
) -> None:
    assert water_fill(capacity, demands, weights) == pytest.approx(allocated)


RATES = st.lists(st.tuples(st.floats(0, 100), st.floats(0.1, 5)), min_size=1, max_size=12)


@given(RATES, st.floats(0, 200))
@hypothesis_settings(derandomize=True, deadline=None)
def test_division_wastes_nothing_and_is_max_min_fair(
    tenants: list[tuple[float, float]], capacity: float
) -> None:
    demands, weights = [demand for demand, _ in tenants], [weight for _, weight in tenants]
    quotas = [capacity * w / sum(weights) for w in weights]
    own, borrowed_rates = divide_capacity(capacity, demands, quotas, weights)
    assert sum(own) + sum(borrowed_rates) == pytest.approx(min(capacity, sum(demands)), abs=1e-6)
    for demand, quota, amount, borrowed in zip(demands, quotas, own, borrowed_rates, strict=True):
        assert amount == pytest.approx(min(demand, quota))
        assert -1e-9 <= borrowed <= demand - amount + 1e-9
    unmet = [n for n, demand in enumerate(demands) if own[n] + borrowed_rates[n] < demand - 1e-6]
    if unmet:  # relative to weight, no tenant has more than one whose demand is not met
        level = min(borrowed_rates[n] / weights[n] for n in unmet)
        assert max(x / w for x, w in zip(borrowed_rates, weights, strict=True)) <= level + 1e-6


def grant(total: float, *rates: tuple[int, float, float], round_number: int = 1) -> QuotaGrant:
    return QuotaGrant(A, round_number, 1, total, total, 0.0, 0.0, PLAN.term_ms, rates)


def admitted(
    enforcer: QuotaEnforcer, place: int, until: float, interval_ms: float = 5.0, now: float = 0.0
) -> int:
    count = 0
    while now < until:
        count += enforcer.admit(now, place, 0, 1.0) is not Admission.REJECTED
        now += interval_ms
    return count


def test_an_enforcer_admits_rate_and_burst_and_nothing_after_the_grant_ends() -> None:
    enforcer = QuotaEnforcer(PLAN)
    assert admitted(enforcer, 0, 1000.0) == 0  # there is no grant yet
    enforcer.apply_grant(1000.0, grant(20.0, (0, 20.0, 0.0)), 3000.0)
    assert 38 <= admitted(enforcer, 0, 9000.0, now=1000.0) <= 40 + enforcer.max_request_cost
    assert enforcer.rate == 0.0
    enforcer.apply_grant(20_000.0, grant(20.0, (0, 20.0, 0.0)), 30_000.0)
    assert admitted(enforcer, 0, 20_050.0, now=20_000.0) <= 1  # unused tokens of an expired grant are lost


def test_a_paused_enforcer_resumes_without_its_grant_and_keeps_its_floor() -> None:
    """Pause the process until its grant has expired, and again until its floor has expired."""
    enforcer = QuotaEnforcer(PLAN)
    enforcer.apply_grant(0.0, grant(95.0, (0, 95.0, 0.0)), 5000.0)
    enforcer.set_floor(0.0, 5.0, 60_000.0)
    enforcer.advance(50_000.0)
    assert enforcer.rate == 5.0
    assert enforcer.tokens <= enforcer.burst <= 2.5
    enforcer.advance(61_000.0)
    assert enforcer.rate == enforcer.tokens == 0.0


def test_idle_capacity_is_used_by_others_and_owners_come_first() -> None:
    enforcer = QuotaEnforcer(PLAN)
    enforcer.apply_grant(0.0, grant(40.0, (0, 20.0, 0.0), (1, 10.0, 10.0)), math.inf)
    admitted_alone = admitted(enforcer, 1, 4000.0, now=0.0)
    assert (
        admitted_alone > 0.85 * 40 * 4
    )  # the owner is idle: the other gets the whole rate, except the reserve
    counts = [0, 0]
    for step in range(4000):  # both tenants demand far more than the rate
        for place in (1, 0):
            if enforcer.admit(4000.0 + step, place, 0, 1.0) is not Admission.REJECTED:
                counts[place] += 1
    assert 75 <= counts[0] <= 85 + 3 * 10
    assert counts[1] <= 85


def test_priority_decides_within_a_tenant_and_admits_the_next_class_in_part() -> None:
    enforcer = QuotaEnforcer(PLAN)
    enforcer.apply_grant(0.0, grant(20.0, (0, 20.0, 0.0)), math.inf)
    enforcer.admit(0.0, 0, 0, 1.0)
    enforcer.prioritize_classes(0.0, {0: {0: 15.0, 1: 30.0}}, {0: 9.0, 1: 1.0})
    admitted_by_class = [0, 0]
    for step in range(900):
        cls = 0 if step % 3 == 0 else 1
        admitted_by_class[cls] += enforcer.admit(step * 22.0, 0, cls, 1.0) is not Admission.REJECTED
    assert admitted_by_class[0] > 0.9 * 300
    assert 0 < admitted_by_class[1] < 0.25 * 600


def test_retries_of_rejected_requests_are_spaced() -> None:
    enforcer = QuotaEnforcer(PLAN)
    enforcer.apply_grant(0.0, grant(10.0, (0, 10.0, 0.0)), math.inf)
    waits = [enforcer.retry_after_ms(0.0, 0, 1.0) for _ in range(4)]
    assert waits == pytest.approx([100.0, 200.0, 300.0, 400.0])


def test_an_estimate_follows_a_clear_change_and_not_noise() -> None:
    demand, now = DemandEstimator(2500.0), 0.0

    def end_round(requests: int) -> float:
        nonlocal now
        for _ in range(requests):
            demand.record_request(0, 0, 1.0)
        now += 500.0
        demand.end_round(now)
        return sum(rate.per_s for rate in demand.rates.get(0, {}).values())

    demand.end_round(now)
    settled = [end_round(10) for _ in range(20)][-1]
    assert settled == pytest.approx(20.0, rel=0.1)
    assert end_round(12) == pytest.approx(settled, rel=0.05)  # a random variation
    assert end_round(60) > 60.0  # a clear rise
    assert [end_round(0) for _ in range(40)][-1] < 1.0


REPORT = DemandReport(A, 3, 2, 1, 4.5, 4.5, True, ((0, 1.5), (7, 2.0)))
GRANT = QuotaGrant(A, 3, 1, 10.5, 11.0, 1.0, 2.5, 5000.0, ((0, 1.5, 0.25),))


def test_records_survive_a_round_trip() -> None:
    assert decode_report(encode_report(REPORT)) == REPORT
    assert decode_grant(encode_grant(GRANT)) == GRANT
    assert decode_plan(encode_plan(PLAN)) == PLAN


DAMAGE_BY_NAME = {
    "empty": lambda value: b"",
    "of another format": lambda value: b"\x07" + value[1:],
    "cut short": lambda value: value[:-1],
    "with a name that is not UTF-8": lambda value: value.replace(b"a", b"\xff", 1),
}


@pytest.mark.parametrize("damage", DAMAGE_BY_NAME.values(), ids=DAMAGE_BY_NAME.keys())
def test_records_that_are_damaged_are_refused(damage: Callable[[bytes], bytes]) -> None:
    """Raise one type of error for any record that another version or a bug wrote in a wrong form."""
    with pytest.raises(RecordFormatError, match="not a demand report: "):
        decode_report(damage(encode_report(REPORT)))
    with pytest.raises(RecordFormatError, match="not a grant: "):
        decode_grant(damage(encode_grant(GRANT)))


@pytest.mark.parametrize(
    ("value", "message"),
    [
        pytest.param(b"no JSON", "lending/plan: ", id="not JSON"),
        pytest.param(b'{"version": 1}', "lending/plan: 'tenants'", id="no tenants"),
        pytest.param(encode_plan(PLAN).replace(b"part", b"share"), "unknown field 'share'", id="unknown"),
        pytest.param(encode_plan(PLAN).replace(b"0.5", b"0.9"), "add up to 1.4", id="too much"),
    ],
)
def test_plans_that_are_damaged_are_refused(value: bytes, message: str) -> None:
    with pytest.raises(QuotaPlanError, match=message):
        decode_plan(value)


SETTINGS = dataclasses.replace(plain_settings(PLAN, 2), gateway_index=0)
CAPACITY = {"MEADOWPULLEY_LENDING_CAPACITY": "100"}


@pytest.mark.parametrize(
    ("values", "message"),
    [
        ({"WEIGHTS": "x=1"}, "CAPACITY is missing"),
        (CAPACITY | {"CAPACITY": "many"}, "CAPACITY: expected a number, got 'many'"),
        (CAPACITY | {"CAPACITY": "0"}, "above 0"),
        (CAPACITY | {"SHARES": "x=0.8,y=0.4"}, "add up to 1.2"),
        (CAPACITY | {"SHARES": "w=0.8"}, "unknown tenant 'w'"),
        (
            CAPACITY | {"SHARES": "x=0.1,x=0.2"},
            "invalid entry 'x=0.2': use TENANT=NUMBER, with one entry per tenant",
        ),
        (CAPACITY | {"WEIGHTS": "x=-1"}, "is below 0"),
        (CAPACITY | {"TERM_MS": "10"}, "at least 400"),
        (CAPACITY | {"FLOOR": "2"}, "floor 2"),
        (CAPACITY | {"UNIT": "bytes"}, "requests or work"),
        (CAPACITY | {"COLOUR": "red"}, "COLOUR is not a known setting"),
    ],
)
def test_invalid_settings_are_refused_in_one_line(values: dict[str, str], message: str) -> None:
    named = {k if k.startswith("MEADOW") else f"MEADOWPULLEY_LENDING_{k}": v for k, v in values.items()}
    with pytest.raises(QuotaPlanError, match=message) as caught:
        read_plan(SETTINGS, named)
    assert "\n" not in str(caught.value)


def test_settings_make_a_plan_and_none_without_a_capacity() -> None:
    assert read_plan(SETTINGS, {"HOME": "/"}) is None
    plan = read_plan(SETTINGS, CAPACITY | {"MEADOWPULLEY_LENDING_WEIGHTS": "z=4"})
    assert plan is not None
    assert plan.tenants[2] == Quota("z", 0.2, 4.0)
    assert plan.tenants[0].weight == 0.5
    quotas = tuple(Tenant(t.name, quota_per_s=25.0) for t in PLAN.tenants)
    by_quota = read_plan(dataclasses.replace(SETTINGS, tenants=quotas), CAPACITY)
    assert by_quota is not None
    assert [t.fraction for t in by_quota.tenants] == [0.25] * 3
    with pytest.raises(QuotaPlanError, match="no tenants"):
        read_plan(dataclasses.replace(SETTINGS, tenants=()), CAPACITY)


def stage(plan: QuotaPlan = PLAN) -> LendingStage:
    lending = LendingStage(AdmittingStage(), SETTINGS, plan, A, 1)
    lending.enforcer.apply_grant(0.0, grant(10.0, (0, 10.0, 0.0)), math.inf)
    return lending


def request(number: int, **more: Any) -> Request:
    return Request(number, 0, more.pop("tenant", 0), 0, 1e9, **more)


def test_the_stage_rejects_with_a_retry_time_and_counts_each_request_once() -> None:
    lending = stage()
    responses = [lending.handle(1000.0, request(n)) for n in range(60)]
    rejected = [action for actions in responses for action in actions if isinstance(action, Reject)]
    assert 40 <= len(rejected) < 60
    assert all(0 < r.retry_after_ms <= 10_000.0 for r in rejected)
    assert rejected[0].retry_after_ms < rejected[5].retry_after_ms
    prior_attempt = PriorAttempt(1, 1, 0, 0, 0.0)
    before, tokens = lending.demand.units_this_round(0), lending.enforcer.tokens
    assert (
        lending.handle(
            1000.0, request(99, adopted=True, prior_attempt_count=1, prior_attempts=(prior_attempt,))
        )
        == []
    )
    assert lending.enforcer.tokens == tokens  # the first gateway admitted and counted it
    lending.handle(1000.0, request(100, client_retry=True))
    assert lending.demand.units_this_round(0) == before  # a client retry adds no demand
    assert any(isinstance(a, Reject) for a in lending.handle(1000.0, request(101, adopted=True)))


def test_a_fenced_gateway_keeps_only_its_floor_and_one_shutting_down_admits_nothing() -> None:
    """A gateway pauses for longer than its lease and is fenced when it resumes; then it shuts down."""
    lending = stage()
    lending.enforcer.set_floor(0.0, 2.0, 1e6)
    lending.handle(1000.0, Fenced())
    assert lending.enforcer.rate == 2.0
    lending.shut_down(2000.0)
    assert any(isinstance(act, Reject) for act in lending.handle(5000.0, request(1)))
    assert lending.handle(5001.0, request(2, adopted=True, prior_attempt_count=1)) == []


def test_work_is_counted_by_estimates_within_bounds() -> None:
    plan = dataclasses.replace(PLAN, capacity_per_s=10_000.0, by_work=True)
    lending = stage(plan)
    costs = [
        lending._request_cost(request(1, expected_work_ms=estimate_ms))
        for estimate_ms in (None, 30.0, -1.0, 1e9)
    ]
    assert costs == [100.0, 30.0, 0.0, 2000.0]


@pytest.mark.parametrize(
    "event",
    [
        ClientDisconnected(7),
        Timer(1),
        CommitCompleted(1, (TransactionResult(TransactionOutcome.COMMITTED),), "takeover"),
        Outcome(1, 1, 1, Result.OK, 1, True),
    ],
)
def test_other_events_and_actions_pass_unchanged(event: Any) -> None:
    class Echo:
        def handle(self, now: float, event: Any) -> list[Any]:
            return [event, Fail(5)]

    lending = LendingStage(Echo(), SETTINGS, PLAN, A, 1)
    assert lending.handle(0.0, event)[:2] == [event, Fail(5)]


def test_an_invalid_plan_changes_nothing_in_a_running_gateway() -> None:
    """New settings have quotas above the capacity; the next have a different plan but the same version."""
    lending = stage()
    for invalid_plan in (
        dataclasses.replace(PLAN, version=2, tenants=(Quota("x", 0.8), Quota("y", 0.3))),
        dataclasses.replace(PLAN, capacity_per_s=50.0),
    ):
        with pytest.raises(QuotaPlanError):
            lending.update_plan(0.0, invalid_plan)
    assert lending.plan == PLAN
    assert lending.enforcer.rate == 10.0
