"""Test lending between simulated gateways with one ledger, under faults and changes of demand."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from random import Random
from typing import Any

import pytest

from benchmarks.lending_faults import random_faults
from benchmarks.lending_fleet import Rates, SimulatedFleet
from meadowpulley.ledger.model import Commit
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.lending.quota_enforcer import QuotaEnforcer
from meadowpulley.lending.records import QuotaGrant
from meadowpulley.lending.reservations import CapacityReservations, ObservedGrant

SHARES = (Quota("x", 0.5), Quota("y", 0.3), Quota("z", 0.2))


def plan_of(gateways: int, capacity: float = 200.0, floor: float = 0.05) -> QuotaPlan:
    return QuotaPlan(1, capacity, gateways, SHARES, floor_term_ms=20_000.0, drift=0.01, floor=floor)


def saturating_rates(capacity: float, gateways: int) -> Rates:
    return lambda second, gateway: dict.fromkeys((0, 1, 2), 0.8 * capacity / gateways)


def admitted(fleet: SimulatedFleet, seconds: range, *tenants: int) -> float:
    """Return the mean number of requests admitted per second, of these tenants (default: all)."""
    return sum(fleet.admitted[s][t] for s in seconds for t in tenants or (0, 1, 2)) / len(seconds)


def capacity_respected(fleet: SimulatedFleet) -> bool:
    return fleet.max_rate_fraction <= 1 + 1e-9 and fleet.max_excess <= fleet.stated_burst


def moving_demand(second: float, gateway: int) -> dict[int, float]:
    """Demand more than the capacity, and move most of it to the next gateway every three seconds."""
    return {0: 150.0, 1: 150.0} if int(second / 3) % 5 == gateway else {1: 10.0, 2: 10.0}


def run_with_faults(seed: int, *kinds: str) -> SimulatedFleet:
    fleet = SimulatedFleet(plan_of(5), 5, seed, moving_demand)
    random_faults(fleet, seed, 35_000.0, 1500.0, kinds)
    fleet.run(40_000.0)
    return fleet


@pytest.mark.parametrize("seed", range(1, 7))
def test_the_sum_never_exceeds_the_capacity_whatever_fails(seed: int) -> None:
    """Kill, pause, replace and disconnect gateways at random, and lose results of their commits."""
    assert capacity_respected(run_with_faults(seed))


def without_reserved(self: CapacityReservations, gateway_index: int) -> float:
    return self.grants[gateway_index].grant.total if gateway_index in self.grants else 0.0


def without_predecessors(self: CapacityReservations, gateway_index: int) -> float:
    return 0.0


def with_term_from_application(apply_grant: Any) -> Any:
    def replacement(self: QuotaEnforcer, now: float, grant: QuotaGrant, until: float) -> None:
        apply_grant(self, now, grant, now + self.plan.term_ms)

    return replacement


def with_expiry_on_observation(self: CapacityReservations, observed: ObservedGrant) -> float:
    return observed.observed_at


INJECTED_BUGS: dict[str, tuple[type, str, Callable[[Any], Any], str]] = {
    "capacity that a gateway may still use is not counted": (
        CapacityReservations,
        "usable_grant",
        lambda _: without_reserved,
        "slow",
    ),
    "capacity that earlier incarnations may use is not counted": (
        CapacityReservations,
        "predecessor_reserved",
        lambda _: without_predecessors,
        "replaced",
    ),
    "the term of a grant starts when the gateway applies it": (
        QuotaEnforcer,
        "apply_grant",
        with_term_from_application,
        "pause",
    ),
    "a grant expires as soon as the allocator observes it": (
        CapacityReservations,
        "expires_at",
        lambda _: with_expiry_on_observation,
        "cut",
    ),
}


@pytest.mark.parametrize("bug", INJECTED_BUGS)
def test_injected_bugs_break_the_sum(bug: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Inject a bug into the accounting of reservations, with gateway faults that make it visible."""
    target, name, inject, kind = INJECTED_BUGS[bug]
    monkeypatch.setattr(target, name, inject(getattr(target, name)))
    assert not all(capacity_respected(run_with_faults(seed, kind)) for seed in range(1, 9))


def test_idle_capacity_is_lent_and_an_owner_is_back_within_a_term() -> None:
    def rates(second: float, gateway: int) -> dict[int, float]:
        return {1: 80.0, 2: 80.0} | ({0: 95.0} if gateway == 1 and second >= 10 else {})

    fleet = SimulatedFleet(plan_of(3, 200.0), 3, 1, rates)
    fleet.run(22_000.0)
    assert admitted(fleet, range(4, 10)) > 0.95 * 200
    arrived = sum(fleet.arrived[s][0] for s in range(15, 22)) / 7
    assert admitted(fleet, range(15, 22), 0) > 0.97 * min(arrived, 100.0)
    assert admitted(fleet, range(15, 22)) > 0.95 * 200
    assert capacity_respected(fleet)


@pytest.mark.parametrize(
    ("rates", "least"),
    [
        pytest.param(
            lambda second, gateway: {0: 100.0} | ({1: 2000.0} if gateway == 0 else {}),
            {0: 0.95 * 120, 1: 0.95 * 80},
            id="one tenant demands far more at one gateway",
        ),
        pytest.param(
            lambda second, gateway: {2: 400.0} if gateway == 2 else {},
            {2: 0.9 * 200},
            id="only one tenant at one gateway has demand",
        ),
        pytest.param(
            lambda second, gateway: {gateway % 3: 300.0},
            {0: 0.9 * 100, 1: 0.9 * 60, 2: 0.85 * 40},
            id="each gateway serves a different tenant",
        ),
        pytest.param(
            lambda second, gateway: {9: 100.0, 0: 20.0},
            {0: 0.97 * 60, 9: 0.9 * 140},
            id="a tenant without a quota borrows",
        ),
    ],
)
def test_demand_of_all_shapes_gets_its_entitlement(rates: Rates, least: dict[int, float]) -> None:
    fleet = SimulatedFleet(plan_of(3), 3, 3, rates)
    fleet.run(16_000.0)
    for tenant, rate in least.items():
        assert admitted(fleet, range(6, 16), tenant) >= rate
    assert capacity_respected(fleet)


def test_disconnected_gateways_use_their_floors_and_reconnect() -> None:
    """Disconnect all gateways from the ledger, and notify half of them; grants expire, floors stay."""
    fleet = SimulatedFleet(plan_of(4, floor=0.2), 4, 1, saturating_rates(200.0, 4))
    for gateway in fleet.gateways:
        fleet.schedule(6000.0, fleet.disconnect, gateway, gateway.gateway_index % 2 == 0)
        fleet.schedule(15_000.0, fleet.reconnect, gateway)
    fleet.run(22_000.0)
    assert admitted(fleet, range(12, 15)) == pytest.approx(0.2 * 200, rel=0.15)
    assert admitted(fleet, range(18, 22)) > 0.93 * 200
    assert capacity_respected(fleet)


def test_a_failed_allocator_is_replaced_before_grants_end() -> None:
    """Kill the allocator while all capacity is in use; the other gateways go on using their grants."""
    fleet = SimulatedFleet(plan_of(6), 6, 2, saturating_rates(200.0, 6))

    def kill() -> None:
        for gateway in fleet.gateways:
            if gateway.stage is not None and gateway.stage.election.needs_all_records:
                fleet.kill(gateway)

    fleet.schedule(8000.0, kill)
    fleet.run(20_000.0)
    assert all(admitted(fleet, range(s, s + 1)) > 0.75 * 200 for s in range(9, 20))  # 5 of 6 gateways remain
    assert admitted(fleet, range(15, 20)) > 0.93 * 200
    assert capacity_respected(fleet)


def test_quotas_change_in_a_running_fleet_and_older_ones_are_ignored() -> None:
    """Change to a plan with a smaller capacity, then restart a gateway with the earlier plan."""
    fleet = SimulatedFleet(plan_of(4), 4, 1, saturating_rates(200.0, 4))
    new = dataclasses.replace(plan_of(4, 120.0), version=2, tenants=(Quota("z", 0.8), Quota("x", 0.2)))

    def change() -> None:
        gateway = fleet.gateways[2]
        assert gateway.stage is not None
        for action in gateway.stage.update_plan(gateway.clock(fleet.now), new):
            assert isinstance(action, Commit)
            fleet.commit(gateway, action)

    fleet.schedule(8000.0, change)
    fleet.schedule(14_000.0, fleet.kill, fleet.gateways[0])
    fleet.schedule(15_000.0, fleet.restart, fleet.gateways[0])  # it restarts with the earlier plan
    fleet.run(24_000.0)
    plans = [gateway.stage.plan for gateway in fleet.gateways if gateway.stage is not None]
    assert plans == [new] * 4
    assert admitted(fleet, range(20, 24), 2) > 0.9 * 96  # the killed gateway's grant has expired
    assert 0.93 * 120 < admitted(fleet, range(20, 24)) <= 120 * 1.02 + fleet.stated_burst / 4
    assert fleet.max_rate_fraction <= 1 + 1e-9  # relative to the larger capacity, during the whole run


def test_two_gateways_with_one_index_are_logged_and_one_of_them_admits() -> None:
    """Give the third gateway the index of the second, as a wrong configuration would."""
    fleet = SimulatedFleet(plan_of(3), 3, 1, saturating_rates(200.0, 3))
    fleet.settings = dataclasses.replace(fleet.settings)
    fleet.gateways[2].gateway_index = 1
    fleet.run(8000.0)
    assert any("give each gateway a number of its own" in line for line in fleet.logged)
    assert capacity_respected(fleet)


def one_request_a_second(active_tenants: list[list[int]]) -> Rates:
    """Return rates at which each gateway's active tenants demand one request per second each."""
    return lambda second, gateway: dict.fromkeys(active_tenants[gateway], 1.0)


def test_ledger_operations_grow_linearly_with_gateways() -> None:
    operations_per_gateway = {}
    for gateways in (10, 60):
        rng = Random(1)
        active = [rng.sample(range(300), 5) for _ in range(gateways)]
        shares = tuple(Quota(f"t{n}", 1 / 300) for n in range(300))
        plan = QuotaPlan(1, 10.0 * gateways, gateways, shares)
        fleet = SimulatedFleet(plan, gateways, 1, one_request_a_second(active))
        fleet.run(3000.0)
        before = fleet.ledger_operations["transactions"] + fleet.ledger_operations["read records"]
        fleet.run(6000.0)
        operations_per_gateway[gateways] = (
            fleet.ledger_operations["transactions"] + fleet.ledger_operations["read records"] - before
        ) / gateways
    assert operations_per_gateway[60] < 1.5 * operations_per_gateway[10]
