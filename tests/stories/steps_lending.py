"""Steps about capacity that tenants share, borrow and get back."""

from __future__ import annotations

from dataclasses import replace

from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import World
from meadowpulley.emulator.ledger import LedgerFigures
from meadowpulley.emulator.together import Together
from meadowpulley.lending import Plan, Share
from meadowpulley.rules import Admitted, Answered, Taken
from tests.stories.fleets import small_fleet
from tests.stories.tale import Tale

# Given


@given(
    parsers.parse(
        "a fleet of {count:d} gateways that admit {per_s:g} requests a second, with grants of {term:g} s"
    )
)
def a_fleet_that_lends(tale: Tale, count: int, per_s: float, term: float) -> None:
    tale.fleet = small_fleet(count, retries=0)
    plan = Plan(1, per_s, count, (), term_ms=term * 1000.0)
    tale.together = Together(LedgerFigures(term_ms=1000.0), lending=plan)


@given(parsers.parse("tenant '{name}' with a share of {percent:g}%"))
def a_tenant(tale: Tale, name: str, percent: float) -> None:
    assert tale.together is not None and tale.together.lending is not None
    plan = tale.together.lending
    tenants = (*plan.tenants, Share(name, percent / 100.0))
    names = tuple(t.name for t in tenants)
    tale.together = replace(tale.together, lending=replace(plan, tenants=tenants), tenants=names)


@given(parsers.parse("tenant '{name}' borrows with a weight of {weight:g}"))
def a_weight(tale: Tale, name: str, weight: float) -> None:
    assert tale.together is not None and tale.together.lending is not None
    plan = tale.together.lending
    tenants = tuple(replace(t, weight=weight) if t.name == name else t for t in plan.tenants)
    tale.together = replace(tale.together, lending=replace(plan, tenants=tenants))


# When


@when(parsers.parse("tenant '{name}' asks for {per_s:g} a second from {begin:g} s to {end:g} s"))
def demand(tale: Tale, name: str, per_s: float, begin: float, end: float) -> None:
    assert tale.together is not None
    tale.demands.append((tale.together.tenants.index(name), per_s, begin, end))


@when(parsers.parse("the share of '{name}' is {percent:g}% and that of '{other}' {rest:g}% from {at:g} s"))
def new_shares(tale: Tale, name: str, percent: float, other: str, rest: float, at: float) -> None:
    def replan(world: World) -> None:
        lending = world.chains[0].lending
        assert lending is not None
        parts = {name: percent / 100.0, other: rest / 100.0}
        tenants = tuple(replace(t, part=parts.get(t.name, t.part)) for t in lending.plan.tenants)
        plan = replace(lending.plan, version=lending.plan.version + 1, tenants=tenants)
        world.gateways[0].in_turn(lending.replan(world.clock.now, plan), world.gateways[0].act)

    tale.at(at, replan)


# Then


def served_per_s(tale: Tale, name: str, begin: float, end: float) -> float:
    assert tale.together is not None
    tenant, count = tale.together.tenants.index(name), len(tale.together.tenants)
    mine = {(r.gateway, r.request) for r in tale.seen(Taken) if r.key % count == tenant}
    served = [
        r
        for r in tale.seen(Answered)
        if (r.gateway, r.request) in mine and r.answer == "served" and begin * 1e3 <= r.at < end * 1e3
    ]
    return len(served) / (end - begin)


@then(parsers.parse("'{name}' is served at least {per_s:g} a second between {begin:g} s and {end:g} s"))
def at_least(tale: Tale, name: str, per_s: float, begin: float, end: float) -> None:
    found = served_per_s(tale, name, begin, end)
    assert found >= per_s, found


@then(parsers.parse("'{name}' is served at most {per_s:g} a second between {begin:g} s and {end:g} s"))
def at_most(tale: Tale, name: str, per_s: float, begin: float, end: float) -> None:
    found = served_per_s(tale, name, begin, end)
    assert 0.0 < found <= per_s, found


@then(parsers.parse("all gateways admit at most {per_s:g} a second between {begin:g} s and {end:g} s"))
def sum_at_most(tale: Tale, per_s: float, begin: float, end: float) -> None:
    units = sum(r.units for r in tale.seen(Admitted) if begin * 1e3 <= r.at < end * 1e3)
    assert 0.0 < units / (end - begin) <= per_s, units / (end - begin)


@then("whoever is refused is told at once")
def refused_at_once(tale: Tale) -> None:
    taken = {(r.gateway, r.request): r.at for r in tale.seen(Taken)}
    refused = [r for r in tale.seen(Answered) if r.answer == "refused"]
    assert refused and all(r.at - taken[r.gateway, r.request] < 1.0 for r in refused)
