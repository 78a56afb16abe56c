"""Steps about tenants' quotas, and capacity that they borrow and get back."""

from __future__ import annotations

from dataclasses import replace

from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import Emulation
from meadowpulley.emulator.ledger import LedgerModel
from meadowpulley.emulator.shared_state import SharedState
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.rules import CapacityUsed, RequestReceived, ResponseSent
from tests.stories.fleet_scenario import FleetScenario
from tests.stories.fleets import small_fleet

# Given


@given(
    parsers.parse(
        "a fleet of {count:d} gateways that admit {per_s:g} requests a second, with grants of {term:g} s"
    )
)
def a_fleet_that_lends(scenario: FleetScenario, count: int, per_s: float, term: float) -> None:
    scenario.fleet = small_fleet(count, retries=0)
    plan = QuotaPlan(1, per_s, count, (), term_ms=term * 1000.0)
    scenario.shared_state = SharedState(LedgerModel(lease_ms=1000.0), lending=plan)


@given(parsers.parse("tenant '{name}' with a quota of {percent:g}%"))
def a_tenant(scenario: FleetScenario, name: str, percent: float) -> None:
    assert scenario.shared_state is not None and scenario.shared_state.lending is not None
    plan = scenario.shared_state.lending
    tenants = (*plan.tenants, Quota(name, percent / 100.0))
    names = tuple(t.name for t in tenants)
    scenario.shared_state = replace(
        scenario.shared_state, lending=replace(plan, tenants=tenants), tenants=names
    )


@given(parsers.parse("tenant '{name}' borrows with a weight of {weight:g}"))
def a_weight(scenario: FleetScenario, name: str, weight: float) -> None:
    assert scenario.shared_state is not None and scenario.shared_state.lending is not None
    plan = scenario.shared_state.lending
    tenants = tuple(replace(t, weight=weight) if t.name == name else t for t in plan.tenants)
    scenario.shared_state = replace(scenario.shared_state, lending=replace(plan, tenants=tenants))


# When


@when(parsers.parse("tenant '{name}' demands {per_s:g} a second from {begin:g} s to {end:g} s"))
def demand(scenario: FleetScenario, name: str, per_s: float, begin: float, end: float) -> None:
    assert scenario.shared_state is not None
    scenario.demands.append((scenario.shared_state.tenants.index(name), per_s, begin, end))


@when(parsers.parse("the quota of '{name}' is {percent:g}% and that of '{other}' {rest:g}% from {at:g} s"))
def new_quotas(
    scenario: FleetScenario, name: str, percent: float, other: str, rest: float, at: float
) -> None:
    def replan(world: Emulation) -> None:
        lending = world.chains[0].lending
        assert lending is not None
        parts = {name: percent / 100.0, other: rest / 100.0}
        tenants = tuple(replace(t, fraction=parts.get(t.name, t.fraction)) for t in lending.plan.tenants)
        plan = replace(lending.plan, version=lending.plan.version + 1, tenants=tenants)
        world.gateways[0].run_actions(lending.update_plan(world.clock.now, plan), world.gateways[0].execute)

    scenario.call_at(at, replan)


# Then


def served_per_s(scenario: FleetScenario, name: str, begin: float, end: float) -> float:
    assert scenario.shared_state is not None
    tenant, count = scenario.shared_state.tenants.index(name), len(scenario.shared_state.tenants)
    mine = {(r.gateway, r.request) for r in scenario.records_of(RequestReceived) if r.key % count == tenant}
    served = [
        r
        for r in scenario.records_of(ResponseSent)
        if (r.gateway, r.request) in mine and r.response == "served" and begin * 1e3 <= r.at < end * 1e3
    ]
    return len(served) / (end - begin)


@then(parsers.parse("'{name}' is served at least {per_s:g} a second between {begin:g} s and {end:g} s"))
def at_least(scenario: FleetScenario, name: str, per_s: float, begin: float, end: float) -> None:
    found = served_per_s(scenario, name, begin, end)
    assert found >= per_s, found


@then(parsers.parse("'{name}' is served at most {per_s:g} a second between {begin:g} s and {end:g} s"))
def at_most(scenario: FleetScenario, name: str, per_s: float, begin: float, end: float) -> None:
    found = served_per_s(scenario, name, begin, end)
    assert 0.0 < found <= per_s, found


@then(parsers.parse("all gateways admit at most {per_s:g} a second between {begin:g} s and {end:g} s"))
def sum_at_most(scenario: FleetScenario, per_s: float, begin: float, end: float) -> None:
    units = sum(r.units for r in scenario.records_of(CapacityUsed) if begin * 1e3 <= r.at < end * 1e3)
    assert 0.0 < units / (end - begin) <= per_s, units / (end - begin)


@then("rejected requests are answered at once")
def rejected_at_once(scenario: FleetScenario) -> None:
    taken = {(r.gateway, r.request): r.at for r in scenario.records_of(RequestReceived)}
    refused = [r for r in scenario.records_of(ResponseSent) if r.response == "refused"]
    assert refused and all(r.at - taken[r.gateway, r.request] < 1.0 for r in refused)
