"""Lending, part by part: the split, the buckets, the allocator's sum, the stage's answers, bad settings."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from benchmarks.lending_fleet import Admits, plain_settings
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
from meadowpulley.ledger.model import Committed, Done, Ended, How, Life
from meadowpulley.lending import Admission, Lending, Plan, PlanError, Share, model as m, read_plan
from meadowpulley.lending.allocator import Allocator
from meadowpulley.lending.demand import Demand
from meadowpulley.lending.holder import Holder
from meadowpulley.lending.split import split, water_fill

A, B = Life("a", 1), Life("b", 1)
PLAN = Plan(1, 100.0, 2, (Share("x", 0.5), Share("y", 0.3), Share("z", 0.2)), floor=0.1, drift=0.0)


@pytest.mark.parametrize(
    ("capacity", "asks", "weights", "given"),
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
def test_water_filling(capacity: float, asks: list[float], weights: list[float], given: list[float]) -> None:
    assert water_fill(capacity, asks, weights) == pytest.approx(given)


RATES = st.lists(st.tuples(st.floats(0, 100), st.floats(0.1, 5)), min_size=1, max_size=12)


@given(RATES, st.floats(0, 200))
@hypothesis_settings(derandomize=True, deadline=None)
def test_a_split_wastes_nothing_and_lends_max_min(
    tenants: list[tuple[float, float]], capacity: float
) -> None:
    asks, weights = [ask for ask, _ in tenants], [weight for _, weight in tenants]
    shares = [capacity * w / sum(weights) for w in weights]
    own, lent = split(capacity, asks, shares, weights)
    assert sum(own) + sum(lent) == pytest.approx(min(capacity, sum(asks)), abs=1e-6)
    for ask, share, mine, more in zip(asks, shares, own, lent, strict=True):
        assert mine == pytest.approx(min(ask, share)) and -1e-9 <= more <= ask - mine + 1e-9
    unmet = [n for n, ask in enumerate(asks) if own[n] + lent[n] < ask - 1e-6]
    if unmet:  # nobody has more by its weight than one that would take more
        level = min(lent[n] / weights[n] for n in unmet)
        assert max(x / w for x, w in zip(lent, weights, strict=True)) <= level + 1e-6


def grant(total: float, *rates: tuple[int, float, float], turn: int = 1) -> m.Grant:
    return m.Grant(A, turn, 1, total, total, 0.0, 0.0, PLAN.term_ms, rates)


def admitted(holder: Holder, place: int, until: float, each_ms: float = 5.0, now: float = 0.0) -> int:
    count = 0
    while now < until:
        count += holder.admit(now, place, 0, 1.0) is not Admission.REFUSED
        now += each_ms
    return count


def test_a_holder_admits_its_rate_and_burst_and_nothing_after_its_end() -> None:
    holder = Holder(PLAN)
    assert admitted(holder, 0, 1000.0) == 0  # nothing granted yet
    holder.take(1000.0, grant(20.0, (0, 20.0, 0.0)), 3000.0)
    assert 38 <= admitted(holder, 0, 9000.0, now=1000.0) <= 40 + holder.one
    assert holder.rate == 0.0
    holder.take(20_000.0, grant(20.0, (0, 20.0, 0.0)), 30_000.0)
    assert admitted(holder, 0, 20_050.0, now=20_000.0) <= 1  # what it did not use of an ended grant is gone


def test_a_stopped_holder_wakes_without_its_grant_and_keeps_its_floor() -> None:
    holder = Holder(PLAN)
    holder.take(0.0, grant(95.0, (0, 95.0, 0.0)), 5000.0)
    holder.keep_floor(0.0, 5.0, 60_000.0)
    holder.look(50_000.0)
    assert holder.rate == 5.0 and holder.tokens <= holder.burst <= 2.5
    holder.look(61_000.0)
    assert holder.rate == holder.tokens == 0.0


def test_idle_capacity_goes_to_others_here_and_an_owner_comes_before_them() -> None:
    holder = Holder(PLAN)
    holder.take(0.0, grant(40.0, (0, 20.0, 0.0), (1, 10.0, 10.0)), math.inf)
    alone = admitted(holder, 1, 4000.0, now=0.0)
    assert alone > 0.85 * 40 * 4  # the owner is away: all of the rate is used, but what is saved
    counts = [0, 0]
    for step in range(4000):  # both ask for far more than there is
        for place in (1, 0):
            if holder.admit(4000.0 + step, place, 0, 1.0) is not Admission.REFUSED:
                counts[place] += 1
    assert 75 <= counts[0] <= 85 + 3 * 10 and counts[1] <= 85


def test_worth_decides_within_a_tenant_and_no_class_of_the_rest_is_shut_out_while_some_is_left() -> None:
    holder = Holder(PLAN)
    holder.take(0.0, grant(20.0, (0, 20.0, 0.0)), math.inf)
    holder.admit(0.0, 0, 0, 1.0)
    holder.weigh(0.0, {0: {0: 15.0, 1: 30.0}}, {0: 9.0, 1: 1.0})
    got = [0, 0]
    for step in range(900):
        cls = 0 if step % 3 == 0 else 1
        got[cls] += holder.admit(step * 22.0, 0, cls, 1.0) is not Admission.REFUSED
    assert got[0] > 0.9 * 300 and 0 < got[1] < 0.25 * 600


def test_those_refused_come_back_one_after_another() -> None:
    holder = Holder(PLAN)
    holder.take(0.0, grant(10.0, (0, 10.0, 0.0)), math.inf)
    waits = [holder.back_in(0.0, 0, 1.0) for _ in range(4)]
    assert waits == pytest.approx([100.0, 200.0, 300.0, 400.0])


def test_a_rate_follows_a_clear_change_and_not_chance() -> None:
    demand, now = Demand(2500.0), 0.0

    def turn(times: int) -> float:
        nonlocal now
        for _ in range(times):
            demand.add(0, 0, 1.0)
        now += 500.0
        demand.turn(now)
        return sum(rate.value for rate in demand.rates.get(0, {}).values())

    demand.turn(now)
    settled = [turn(10) for _ in range(20)][-1]
    assert settled == pytest.approx(20.0, rel=0.1)
    assert turn(12) == pytest.approx(settled, rel=0.05)  # chance
    assert turn(60) > 60.0  # a clear rise
    assert [turn(0) for _ in range(40)][-1] < 1.0


def ask(life: Life, turn: int, seen: int, *rates: tuple[int, float], left: bool = False) -> m.Ask:
    return m.Ask(life, turn, seen, 1, 0.0, 0.0, left, rates)


class Told:
    """An allocator whose grants are all carried out; versions rise by one."""

    def __init__(self) -> None:
        self.allocator, self.version = Allocator(PLAN), 0

    def ask(self, now: float, number: int, one: m.Ask) -> None:
        self.version += 1
        self.allocator.saw_ask(now, number, one, self.version)

    def turn(self, now: float) -> dict[int, m.Grant]:
        found = {}
        for number, one, _ in self.allocator.turn(now):
            self.version += 1
            self.allocator.saw_grant(now, number, one, self.version)
            found[number] = one
        assert sum(self.allocator.counted(n) for n in (0, 1)) <= 90.0 + 1e-6
        return found


def test_what_one_gives_up_is_free_for_others_once_it_says_so() -> None:
    told = Told()
    told.ask(0.0, 0, ask(A, 1, 0, (0, 200.0)))
    assert told.turn(0.0)[0].total == pytest.approx(90.0)
    told.ask(100.0, 1, ask(B, 1, 0, (1, 200.0)))
    assert told.turn(100.0)[1].total == 0.0
    told.ask(200.0, 0, ask(A, 2, 1, (0, 200.0)))
    lowered = told.turn(200.0)[0]
    assert lowered.total < 70.0 and lowered.held == pytest.approx(90.0)
    told.ask(300.0, 1, ask(B, 2, 1, (1, 200.0)))
    assert told.turn(300.0)[1].total == 0.0  # the first may not have seen it
    told.ask(400.0, 0, ask(A, 3, 2, (0, 200.0)))
    told.turn(400.0)
    told.ask(500.0, 1, ask(B, 3, 2, (1, 200.0)))
    assert told.turn(500.0)[1].total == pytest.approx(90.0 - lowered.total)


def test_a_dead_lifes_grant_returns_after_its_term_once() -> None:
    told = Told()
    told.ask(0.0, 0, ask(A, 1, 0, (0, 200.0)))
    told.turn(0.0)
    told.ask(4000.0, 1, ask(B, 1, 0, (1, 200.0)))
    assert told.turn(4000.0)[1].total == 0.0
    told.ask(5001.0, 1, ask(B, 2, 1, (1, 200.0)))
    both = told.turn(5001.0)  # it is written as returned first, given away after
    assert both[0].held == 0.0 and both[1].total == 0.0
    told.ask(5100.0, 1, ask(B, 3, 2, (1, 200.0)))
    assert told.turn(5100.0)[1].total == pytest.approx(90.0)
    assert 0 not in told.turn(20_000.0)


def test_a_new_life_is_answered_at_once_beside_what_its_earlier_one_may_go_by() -> None:
    told = Told()
    told.ask(0.0, 0, ask(A, 1, 0, (0, 40.0)))
    told.turn(0.0)
    first = told.allocator.counted(0)
    told.ask(1000.0, 0, ask(Life("a", 2), 1, 0, (0, 40.0)))
    new = told.turn(1000.0)[0]
    assert new.owed == pytest.approx(first) and 0 < new.total <= 90.0 - first + 1e-6
    told.ask(5001.0, 0, ask(Life("a", 2), 2, 1, (0, 40.0)))
    assert told.turn(5001.0)[0].owed == 0.0


def test_a_planned_stop_gives_back_at_once() -> None:
    told = Told()
    told.ask(0.0, 0, ask(A, 1, 0, (0, 200.0)))
    told.turn(0.0)
    told.ask(10.0, 0, ask(A, 2, 1, left=True))
    told.ask(20.0, 1, ask(B, 1, 0, (1, 200.0)))
    assert told.turn(20.0)[1].total == pytest.approx(90.0)


def test_records_come_back_as_they_were_and_others_are_refused() -> None:
    asked = m.Ask(A, 3, 2, 1, 4.5, 4.5, True, ((0, 1.5), (7, 2.0)))
    granted = m.Grant(A, 3, 1, 10.5, 11.0, 1.0, 2.5, 5000.0, ((0, 1.5, 0.25),))
    assert m.unpack_ask(m.pack_ask(asked)) == asked
    assert m.unpack_grant(m.pack_grant(granted)) == granted
    assert m.unpack_plan(m.pack_plan(PLAN)) == PLAN
    for bad in (b"", b"\x07" + m.pack_ask(asked)[1:], m.pack_ask(asked)[:-1]):
        with pytest.raises(ValueError):
            m.unpack_ask(bad)
    with pytest.raises(PlanError):
        m.unpack_plan(b'{"version": 1}')


SETTINGS = dataclasses.replace(plain_settings(PLAN, 2), gateway_index=0)
CAPACITY = {"MEADOWPULLEY_LENDING_CAPACITY": "100"}


@pytest.mark.parametrize(
    ("values", "said"),
    [
        ({"WEIGHTS": "x=1"}, "CAPACITY is missing"),
        (CAPACITY | {"CAPACITY": "many"}, "no number"),
        (CAPACITY | {"CAPACITY": "0"}, "above 0"),
        (CAPACITY | {"SHARES": "x=0.8,y=0.4"}, "add up to 1.2"),
        (CAPACITY | {"SHARES": "w=0.8"}, "unknown tenant 'w'"),
        (CAPACITY | {"SHARES": "x=0.1,x=0.2"}, "not one TENANT=NUMBER"),
        (CAPACITY | {"WEIGHTS": "x=-1"}, "below nothing"),
        (CAPACITY | {"TERM_MS": "10"}, "at least 400"),
        (CAPACITY | {"FLOOR": "2"}, "floor 2"),
        (CAPACITY | {"UNIT": "bytes"}, "requests or work"),
        (CAPACITY | {"COLOUR": "red"}, "no such setting"),
    ],
)
def test_bad_settings_are_one_line(values: dict[str, str], said: str) -> None:
    named = {k if k.startswith("MEADOW") else f"MEADOWPULLEY_LENDING_{k}": v for k, v in values.items()}
    with pytest.raises(PlanError, match=said) as caught:
        read_plan(SETTINGS, named)
    assert "\n" not in str(caught.value)


def test_settings_make_a_plan_and_none_without_a_capacity() -> None:
    assert read_plan(SETTINGS, {"HOME": "/"}) is None
    plan = read_plan(SETTINGS, CAPACITY | {"MEADOWPULLEY_LENDING_WEIGHTS": "z=4"})
    assert plan is not None and plan.tenants[2] == Share("z", 0.2, 4.0) and plan.tenants[0].weight == 0.5
    quotas = tuple(Tenant(t.name, quota_per_s=25.0) for t in PLAN.tenants)
    by_quota = read_plan(dataclasses.replace(SETTINGS, tenants=quotas), CAPACITY)
    assert by_quota is not None and [t.part for t in by_quota.tenants] == [0.25] * 3
    with pytest.raises(PlanError, match="no tenants"):
        read_plan(dataclasses.replace(SETTINGS, tenants=()), CAPACITY)


def stage(plan: Plan = PLAN) -> Lending:
    one = Lending(Admits(), SETTINGS, plan, A, 1)
    one.holder.take(0.0, grant(10.0, (0, 10.0, 0.0)), math.inf)
    return one


def request(number: int, **more: Any) -> Request:
    return Request(number, 0, more.pop("tenant", 0), 0, 1e9, **more)


def test_the_stage_refuses_at_once_with_when_to_come_back_and_counts_each_once() -> None:
    one = stage()
    acts = [one.handle(1000.0, request(n)) for n in range(60)]
    refused = [act for turn in acts for act in turn if isinstance(act, Reject)]
    assert 40 <= len(refused) < 60 and all(0 < r.retry_after_ms <= 10_000.0 for r in refused)
    assert refused[0].retry_after_ms < refused[5].retry_after_ms
    ran = PriorAttempt(1, 1, 0, 0, 0.0)
    before, tokens = one.demand.noted(0), one.holder.tokens
    assert one.handle(1000.0, request(99, adopted=True, tries=1, tried=(ran,))) == []
    assert one.holder.tokens == tokens  # it was admitted, and counted, where it was taken first
    one.handle(1000.0, request(100, repeat=True))
    assert one.demand.noted(0) == before  # a client's repeat is no further demand
    assert any(isinstance(a, Reject) for a in one.handle(1000.0, request(101, adopted=True)))


def test_a_sealed_gateway_has_its_floor_alone_and_one_that_leaves_nothing() -> None:
    one = stage()
    one.holder.keep_floor(0.0, 2.0, 1e6)
    one.handle(1000.0, Ended())
    assert one.holder.rate == 2.0
    one.leave(2000.0)
    assert any(isinstance(act, Reject) for act in one.handle(5000.0, request(1)))
    assert one.handle(5001.0, request(2, adopted=True, tries=1)) == []


def test_work_is_counted_by_hints_within_bounds() -> None:
    plan = dataclasses.replace(PLAN, capacity_per_s=10_000.0, by_work=True)
    one = stage(plan)
    costs = [one._cost(request(1, work_hint_ms=hint)) for hint in (None, 30.0, -1.0, 1e9)]
    assert costs == [100.0, 30.0, 0.0, 2000.0]


@pytest.mark.parametrize(
    "event",
    [
        ClientDisconnected(7),
        Timer(1),
        Committed(1, (Done(How.WON),), "takeover"),
        Outcome(1, 1, 1, Result.OK, 1, True),
    ],
)
def test_other_events_and_actions_pass_unchanged(event: Any) -> None:
    class Echo:
        def handle(self, now: float, event: Any) -> list[Any]:
            return [event, Fail(5)]

    one = Lending(Echo(), SETTINGS, PLAN, A, 1)
    assert one.handle(0.0, event)[:2] == [event, Fail(5)]


def test_shares_that_cant_be_change_nothing_in_a_running_gateway() -> None:
    one = stage()
    for bad in (
        dataclasses.replace(PLAN, version=2, tenants=(Share("x", 0.8), Share("y", 0.3))),
        dataclasses.replace(PLAN, capacity_per_s=50.0),
    ):
        with pytest.raises(PlanError):
            one.replan(0.0, bad)
    assert one.plan == PLAN and one.holder.rate == 10.0
