"""Steps about the state that gateways share: incarnations and leases, claims, and faults of the ledger."""

from __future__ import annotations

import math
from dataclasses import replace
from functools import partial

from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import Emulation
from meadowpulley.emulator.ledger import LedgerFault, LedgerModel
from meadowpulley.emulator.shared_state import SharedState, StageContext
from meadowpulley.ledger import Fenced, LedgerRecovered, LedgerUnavailable, MemoryStore, TransactionOutcome
from tests.stories.fleet_scenario import FleetScenario
from tests.stories.fleets import small_fleet
from tests.stories.ledger_recorder import Claim, LedgerRecorder

LEDGER_FAULTS: dict[str, LedgerFault] = {
    "full": "full",
    "read-only": "read-only",
    "gone": "gone",
    "slow": "slow",
    "cut off": "cut",
    "silent": "unheard",
}


def recorders(scenario: FleetScenario) -> list[LedgerRecorder]:
    """Run the scenario; return the recorder of every incarnation of every gateway, in their order."""
    _ = scenario.result
    recorders: list[LedgerRecorder] = scenario.notebooks
    return recorders


def latest_recorder(scenario: FleetScenario, number: int) -> LedgerRecorder:
    """Return the recorder of a gateway's last incarnation."""
    return [n for n in recorders(scenario) if n.context.incarnation.name == f"g{number - 1}"][-1]


def first_recorder(scenario: FleetScenario, number: int) -> LedgerRecorder:
    return next(n for n in recorders(scenario) if n.context.incarnation.name == f"g{number - 1}")


# Given


@given(parsers.parse("a fleet of {count:d} gateways that share a ledger, with leases of {term:g} s"))
def a_fleet_with_a_ledger(scenario: FleetScenario, count: int, term: float) -> None:
    scenario.fleet = small_fleet(count)

    def make_recorder(context: StageContext) -> LedgerRecorder:
        recorder = LedgerRecorder(context)
        scenario.notebooks.append(recorder)
        return recorder

    ledger_model = LedgerModel(lease_ms=term * 1000.0, single_host=False)
    scenario.shared_state = SharedState(ledger_model, outer_stages=(make_recorder,), prefixes=("story/",))


@given("gateways that run on one machine")
def one_machine(scenario: FleetScenario) -> None:
    assert scenario.shared_state is not None
    scenario.shared_state = replace(
        scenario.shared_state, ledger_model=replace(scenario.shared_state.ledger_model, single_host=True)
    )


@given("gateways that may stand on many machines")
def many_machines(scenario: FleetScenario) -> None:
    """A process that has ended is then known only by its lease."""
    assert scenario.shared_state is not None
    scenario.shared_state = replace(
        scenario.shared_state, ledger_model=replace(scenario.shared_state.ledger_model, single_host=False)
    )


# When


@when(parsers.parse("gateway {number:d} claims '{name}' at {at:g} s"))
def claims(scenario: FleetScenario, number: int, name: str, at: float) -> None:
    scenario.call_at(at, lambda world: world.gateways[number - 1].dispatch(Claim(name)))


@when(parsers.parse("all gateways claim '{name}' at {at:g} s"))
def all_claim(scenario: FleetScenario, name: str, at: float) -> None:
    def claim(world: Emulation) -> None:
        for gateway in world.gateways:
            gateway.dispatch(Claim(name))

    scenario.call_at(at, claim)


@when(parsers.re(r"the ledger is (?P<fault>[a-z- ]+) from (?P<begin>[\d.]+) s to (?P<end>[\d.]+) s"))
def ledger_fault(scenario: FleetScenario, fault: str, begin: str, end: str) -> None:
    scenario.call_at(float(begin), partial(_set_fault, LEDGER_FAULTS[fault], None))
    scenario.call_at(float(end), partial(_set_fault, None, None))


@when(
    parsers.re(
        r"the ledger is (?P<fault>[a-z- ]+) for gateway (?P<number>\d+) from (?P<begin>[\d.]+) s to "
        r"(?P<end>[\d.]+) s"
    )
)
def ledger_fault_for(scenario: FleetScenario, fault: str, number: str, begin: str, end: str) -> None:
    scenario.call_at(float(begin), partial(_set_fault, LEDGER_FAULTS[fault], int(number) - 1))
    scenario.call_at(float(end), partial(_set_fault, None, int(number) - 1))


def _set_fault(fault: LedgerFault | None, number: int | None, world: Emulation) -> None:
    assert world.ledger is not None
    world.ledger.set_fault(fault, number)


@when(parsers.parse("{count:d} gateways are killed at {at:g} s"))
def many_killed(scenario: FleetScenario, count: int, at: float) -> None:
    def kill(world: Emulation) -> None:
        for gateway in world.gateways[:count]:
            gateway.kill()

    scenario.call_at(at, kill)


# Then


@then(parsers.parse("exactly one gateway has '{name}'"))
def exactly_one(scenario: FleetScenario, name: str) -> None:
    assert sum(n.has(name) for n in recorders(scenario)) == 1


@then(parsers.parse("gateway {number:d} has '{name}'"))
def has(scenario: FleetScenario, number: int, name: str) -> None:
    assert latest_recorder(scenario, number).has(name)


@then(parsers.parse("gateway {number:d} does not have '{name}'"))
def has_not(scenario: FleetScenario, number: int, name: str) -> None:
    recorder = latest_recorder(scenario, number)
    assert name in recorder.claims and not recorder.has(name)


@then(parsers.parse("gateway {number:d} does not know whether it has '{name}'"))
def outcome_unknown(scenario: FleetScenario, number: int, name: str) -> None:
    assert latest_recorder(scenario, number).results[name].outcome is TransactionOutcome.UNKNOWN


@then(parsers.parse("the ledger says that gateway {number:d} has '{name}'"))
def ledger_says(scenario: FleetScenario, number: int, name: str) -> None:
    record = _store(scenario).read(f"story/{name}")
    assert record is not None and record.writer.name == f"g{number - 1}"


@then(parsers.parse("nobody has '{name}'"))
def nobody_has(scenario: FleetScenario, name: str) -> None:
    assert any(name in n.claims for n in recorders(scenario))
    assert _store(scenario).read(f"story/{name}") is None


def _store(scenario: FleetScenario) -> MemoryStore:
    """Run the scenario; return the ledger's store after it."""
    _ = scenario.result
    assert scenario.emulation.ledger is not None
    return scenario.emulation.ledger.store


@then("no gateway is fenced")
def no_gateway_is_fenced(scenario: FleetScenario) -> None:
    _ = recorders(scenario)
    assert not [m for m in _store(scenario).members() if m.fenced]


@then(parsers.parse("gateway {number:d}'s first incarnation is fenced within {within:g} s of {at:g} s"))
def first_incarnation_is_fenced(scenario: FleetScenario, number: int, within: float, at: float) -> None:
    incarnation = first_recorder(scenario, number).context.incarnation
    latest = next(m for m in _store(scenario).members() if m.incarnation.name == incarnation.name)
    assert latest.incarnation != incarnation or latest.fenced
    notified_at = [
        when
        for n in recorders(scenario)
        for when, member in n.expired_leases
        if member.incarnation == incarnation
        and member.fenced
        and n.context.incarnation.name != incarnation.name
    ]
    assert notified_at and at * 1000.0 < min(notified_at) <= (at + within) * 1000.0, notified_at


@then(parsers.parse("all lost incarnations are fenced within {within:g} s of {at:g} s"))
def all_lost_incarnations_are_fenced(scenario: FleetScenario, within: float, at: float) -> None:
    dead = [
        n.context.incarnation
        for n in recorders(scenario)
        if not scenario.gateway(int(n.context.incarnation.name[1:]) + 1).alive
    ]
    notified_at = {
        m.incarnation: when for n in recorders(scenario) for when, m in reversed(n.expired_leases) if m.fenced
    }
    until = (at + within) * 1000.0
    assert dead and all(notified_at.get(incarnation, math.inf) <= until for incarnation in dead), notified_at


@then(parsers.parse("gateway {number:d} is notified that it was fenced, before it claims anything more"))
def notified_of_fencing(scenario: FleetScenario, number: int) -> None:
    recorder = first_recorder(scenario, number)
    assert recorder.first_notified_at(Fenced) >= 0
    assert not any(recorder.has(name) for name in recorder.claims)


@then(
    parsers.parse(
        "gateway {number:d} is notified that the ledger is unavailable, and later that it has recovered"
    )
)
def notified_of_loss_and_recovery(scenario: FleetScenario, number: int) -> None:
    recorder = latest_recorder(scenario, number)
    unavailable_at = recorder.first_notified_at(LedgerUnavailable)
    assert 0 <= unavailable_at < recorder.first_notified_at(LedgerRecovered)


@then(parsers.parse("gateway {number:d} is never notified that the ledger is unavailable"))
def never_lost(scenario: FleetScenario, number: int) -> None:
    assert latest_recorder(scenario, number).first_notified_at(LedgerUnavailable) < 0


@then(parsers.parse("gateway {number:d} has had {count:d} incarnations"))
def incarnation_count(scenario: FleetScenario, number: int, count: int) -> None:
    _ = recorders(scenario)
    assert scenario.gateway(number).incarnation_count == count
    incarnation = scenario.gateway(number).incarnation
    assert incarnation is not None and incarnation.epoch == count


@then(parsers.parse("gateway {number:d} does not hold its lease at {at:g} s"))
def does_not_hold_lease(scenario: FleetScenario, number: int, at: float) -> None:
    assert _holds_lease(scenario, number, at) is False


@then(parsers.parse("gateway {number:d} holds its lease at {at:g} s"))
def holds_lease(scenario: FleetScenario, number: int, at: float) -> None:
    assert _holds_lease(scenario, number, at) is True


def _holds_lease(scenario: FleetScenario, number: int, at: float) -> bool:
    """Run the scenario up to that moment, and ask the gateway then."""
    scenario.emulation.run_until(at * 1000.0)
    return bool(scenario.gateway(number).pipeline.holds_lease(at * 1000.0))


@then(parsers.parse("each gateway asks the ledger at most {count:g} times a second"))
def operations_bounded(scenario: FleetScenario, count: float) -> None:
    _ = recorders(scenario)
    assert scenario.emulation.ledger is not None
    operations = scenario.emulation.ledger.operations
    seconds, gateways = scenario.result.elapsed_ms / 1000.0, len(scenario.emulation.gateways)
    requests = operations["groups"] + operations["polls"]
    assert 0 < requests / seconds / gateways <= count, (requests, seconds)
    assert operations["read"] / seconds / gateways <= 4 * count, operations
