"""The planner: theory, what breaks first, how many servers, a site lost, a spike; and its hard cases."""

from __future__ import annotations

import math
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace

from meadowpulley.capacity import (
    Demand,
    Goal,
    Spike,
    find_bottlenecks,
    make_plan,
    measure_demand,
    predict_site_loss,
    predict_spike,
    size_fleet,
)
from meadowpulley.capacity.demand import saved_by_keys
from meadowpulley.capacity.queues import erlang_b, erlang_c, mmc_response, overflow_probability
from meadowpulley.experiment import LoadSpec, ResultStore
from meadowpulley.fleet import Fleet, parse_fleet

SMALL_FLEET = b"""
version = 1
name = "small"
sites = [{ name = "east" }, { name = "west" }]
kinds = [{ name = "m", cores = 2, slots = 16, queue = 20, cold_from = 0.5, cold_ms = 3000 }]
servers = [{ site = "east", kind = "m", count = 3 }, { site = "west", kind = "m", count = 3 }]
gateways = [{ site = "east", count = 1, request_ms = 0.5 }, { site = "west", count = 1, request_ms = 0.5 }]
clients = { retries = 1 }

[[classes]]
name = "look"
share = 1
work_ms = 100
aim_ms = 1000
deadline_ms = 2500
"""


def make_fleet(**changes: Any) -> Fleet:
    return replace(parse_fleet(SMALL_FLEET, "small.toml"), **changes)


def load_spec(per_s: float, seconds: float = 60.0) -> LoadSpec:
    return LoadSpec(per_s=per_s, seconds=seconds)


def measure(fleet: Fleet, load: LoadSpec) -> Demand:
    return measure_demand(fleet, load.arrivals(fleet, 1))


def test_theory_agrees_with_its_textbook_values() -> None:
    assert erlang_b(5, 3.0) == pytest.approx(0.11005, abs=1e-5)
    assert erlang_c(5, 3.0) == pytest.approx(0.23615, abs=1e-5)
    assert erlang_c(2, 2.0) == erlang_c(2, 3.0) == 1.0
    assert mmc_response(1, 0.7, 1.0) == pytest.approx(1 / 0.3)
    assert math.isinf(mmc_response(2, 2.0, 1.0))
    for c, utilisation in ((1, 0.6), (4, 0.8)):  # the states of M/M/c, summed by hand
        offered = c * utilisation
        weights = [
            offered**n / math.factorial(n)
            if n <= c
            else offered**c / math.factorial(c) * utilisation ** (n - c)
            for n in range(400)
        ]
        for k in (0, 1, 3, 4, 9):
            assert overflow_probability(c, offered, 1.0, k) == pytest.approx(
                sum(weights[k + 1 :]) / sum(weights), rel=1e-9
            )


def test_keys_save_what_their_repeats_are_worth() -> None:
    f = make_fleet()
    f = replace(f, keys=replace(f.keys, count=10, memory_ms=1000.0, work_saved=0.4))
    # One key at 6 a second over 6 servers: each meets it again within a second with chance 1 - 1/e.
    assert saved_by_keys(Counter({1: 600}), 600, 600, 100.0, f) == pytest.approx(0.4 * (1 - math.exp(-1)))
    assert saved_by_keys(Counter(), 0, 600, 100.0, f) == 0.0


def first(fleet: Fleet, per_s: float = 60.0) -> str:
    return find_bottlenecks(fleet, measure(fleet, load_spec(per_s)))[0].resource


def test_each_resource_breaks_first_where_it_is_the_scarce_one() -> None:
    f = make_fleet()
    kind, gateways = f.kinds[0], f.gateways
    assert first(f) in ("CPU of servers", "slots and queue", "cold starts of a stage")
    tight = replace(kind, slots=2, queue=0)
    assert first(replace(f, kinds=(tight,))) == "slots and queue"
    few = replace(kind, connections=3)
    assert first(replace(f, kinds=(few,))) == "connections of servers"
    cold = replace(kind, slow_start_from=0.1)
    assert first(replace(f, kinds=(cold,))) == "cold starts of a stage"
    slow = tuple(replace(g, request_cpu_ms=40.0) for g in gateways)
    assert first(replace(f, gateways=slow)) == "retries feeding themselves"
    assert first(replace(f, gateways=slow, clients=replace(f.clients, retries=0))) == "CPU of gateways"
    poor = tuple(replace(g, descriptors=46) for g in gateways)
    assert first(replace(f, gateways=poor)) == "descriptors for servers"
    lean = tuple(replace(g, memory_mb=28.2) for g in gateways)
    assert first(replace(f, gateways=lean)) == "memory of gateways"
    crowd = replace(kind, slots=64, thrash=0.5, thrash_at=1.0)
    assert first(replace(f, kinds=(crowd,))) == "work lost to crowding"


def test_the_law_of_utilisation_sets_the_multiple_of_the_cores() -> None:
    f = make_fleet()
    d = measure(f, load_spec(60.0, 200.0))
    cpu = next(b for b in find_bottlenecks(f, d) if b.resource == "CPU of servers")
    assert cpu.multiple == pytest.approx(12_000 / (d.busy_per_s * d.work_ms), rel=1e-9)
    twice = replace(f, servers=tuple(replace(s, count=6) for s in f.servers))
    more = next(b for b in find_bottlenecks(twice, d) if b.resource == "CPU of servers")
    assert more.multiple == pytest.approx(cpu.multiple) and more.utilisation == pytest.approx(cpu.utilisation)


def test_no_load_breaks_nothing_and_needs_nobody() -> None:
    f = make_fleet()
    d = measure(f, load_spec(0.0))
    plan = make_plan(f, load_spec(0.0), d, (1, 2), workers=1)
    assert all(math.isinf(b.multiple) for b in plan.bottlenecks) and not plan.points
    assert size_fleet(f, load_spec(0.0), d, Goal(), "east", "m", (1, 2), workers=1).servers == 0


def test_the_emulator_follows_theory_at_low_load_and_saturates_where_it_says() -> None:
    f = make_fleet(clients=parse_fleet(SMALL_FLEET, "s").clients.__class__(retries=0))
    d = measure(f, load_spec(60.0))
    plan = make_plan(f, load_spec(60.0), d, (1, 2), workers=1, utilisations=(0.1, 1.3))
    low, high = plan.points[0], plan.points[-1]
    # Idle servers: nobody waits, the median of exponential work is 0.69 of its mean.
    assert low.p50_ms["look"][0] == pytest.approx(0.693 * 100 + 2, rel=0.08)
    top = next(p for p in plan.predictions if p.name == "throughput at saturation")
    assert high.served_per_s[0] == pytest.approx(top.value, rel=0.12)
    assert plan.knee >= 0.1 and not any(p.violation_count for p in plan.points)


def test_a_goal_is_met_by_the_number_found_and_missed_by_one_fewer() -> None:
    f = make_fleet()
    load = load_spec(60.0)
    d = measure(f, load)
    store = ResultStore()
    found = size_fleet(f, load, d, Goal(0.97, rollout=False), "east", "m", (1, 2), workers=1, store=store)
    assert found.servers is not None and found.servers >= found.minimum
    tried = {s.servers: s.meets for s in found.steps}
    assert tried[found.servers] and not tried.get(found.servers - 1, False)
    easier = size_fleet(f, load, d, Goal(0.5, rollout=False), "east", "m", (1, 2), workers=1, store=store)
    assert easier.servers is not None and easier.servers <= found.servers


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"classes": "aim"}, "its work alone takes longer than its aim"),
        ({"gateways": "slow"}, "the gateways' CPU is the limit"),
    ],
)
def test_a_goal_that_no_number_meets_says_why(change: dict[str, str], why: str) -> None:
    f = make_fleet()
    if "classes" in change:
        f = replace(f, classes=(replace(f.classes[0], latency_objective_ms=50.0),))
    else:
        f = replace(f, gateways=tuple(replace(g, request_cpu_ms=45.0) for g in f.gateways))
    load = load_spec(55.0 if "gateways" in change else 20.0)
    found = size_fleet(f, load, measure(f, load), Goal(0.99, rollout=False), "east", "m", (1, 2), workers=1)
    assert found.servers is None and why in found.reason


def test_a_lost_site_spills_its_part_and_returns_without_a_server_pushed_over() -> None:
    f = make_fleet()
    load = load_spec(40.0)
    d = measure(f, load)
    loss = predict_site_loss(f, load, d, "west", (1, 2), workers=1)
    assert loss.capacity_share == pytest.approx(0.5) and loss.remaining_utilisation == pytest.approx(
        2 * d.busy_utilisation
    )
    assert loss.overloaded_servers == 0 and not loss.saturates
    assert loss.spilled[1] <= loss.spilled[0] <= loss.spilled[2] and abs(loss.spilled[0] - 0.5) < 0.15
    assert loss.weight_before[0] > 0.98 and loss.weight_settled[0] > 0.9
    assert loss.weight_away[0] < loss.weight_before[0]
    heavy = load_spec(90.0)
    over = predict_site_loss(f, heavy, measure(f, heavy), "west", (1, 2), workers=1)
    assert over.saturates and over.rejected_theory > 0.2 and over.extra_servers["m"] >= 3
    assert over.weight_settled[0] < loss.weight_settled[0]


def test_a_fleet_of_one_site_has_nothing_left_when_it_is_lost() -> None:
    f = make_fleet(sites=parse_fleet(SMALL_FLEET, "s").sites[:1])
    f = replace(f, servers=f.servers[:1], gateways=f.gateways[:1])
    load = load_spec(20.0)
    loss = predict_site_loss(f, load, measure(f, load), "east", (1, 2), workers=1)
    assert math.isinf(loss.remaining_utilisation) and loss.saturates and loss.rejected_theory == 1.0
    assert loss.weight_settled[0] < 0.1


def test_a_spike_saturates_and_clears() -> None:
    f = make_fleet()
    load = load_spec(80.0)
    d = measure(f, load)
    found = predict_spike(f, load, d, Spike(0.2, 6.0, 8000.0), (1, 2), workers=1)
    assert found.utilisation == pytest.approx(2 * d.busy_utilisation)
    assert found.utilisation > 1 and found.backlog > 0 and found.clears_theory_s > 0
    assert found.weight_during[0] < found.weight_overall[0] <= 1
    assert found.clears_s < 25
    mild = predict_spike(
        f, load_spec(20.0), measure(f, load_spec(20.0)), Spike(0.1, 2.0, 5000.0), (1, 2), workers=1
    )
    assert mild.backlog == 0 and mild.clears_theory_s == 0 and mild.weight_during[0] > 0.95


def test_a_class_that_the_fleet_does_not_know_is_named(tmp_path: Path) -> None:
    f = make_fleet()
    other = replace(f, classes=(replace(f.classes[0], name="swim"),))
    with pytest.raises(ValueError, match="class 'look' of the load is not of fleet small"):
        measure_demand(other, load_spec(10.0).arrivals(f, 1))
