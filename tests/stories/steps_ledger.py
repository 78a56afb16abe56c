"""Steps about what gateways share: lives and their leases, claims, and a ledger in trouble."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import Emulation
from meadowpulley.emulator.ledger import LedgerFault, LedgerModel
from meadowpulley.emulator.shared_state import SharedState, StageContext
from meadowpulley.ledger import MemoryStore, TransactionOutcome
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
    """One for each life that a gateway began, in their order; of all gateways."""
    _ = scenario.result
    recorders: list[LedgerRecorder] = scenario.notebooks
    return recorders


def latest_recorder(scenario: FleetScenario, number: int) -> LedgerRecorder:
    """Of the last life of a gateway."""
    return [n for n in recorders(scenario) if n.place.incarnation.name == f"g{number - 1}"][-1]


def first_recorder(scenario: FleetScenario, number: int) -> LedgerRecorder:
    return next(n for n in recorders(scenario) if n.place.incarnation.name == f"g{number - 1}")


# Given


@given(parsers.parse("a fleet of {count:d} gateways that share a ledger, with leases of {term:g} s"))
def a_fleet_with_a_ledger(scenario: FleetScenario, count: int, term: float) -> None:
    scenario.fleet = small_fleet(count)

    def make(place: StageContext) -> LedgerRecorder:
        recorder = LedgerRecorder(place)
        scenario.notebooks.append(recorder)
        return recorder

    figures = LedgerModel(lease_ms=term * 1000.0, single_host=False)
    scenario.shared_state = SharedState(figures, outer_stages=(make,), prefixes=("story/",))


@given("gateways that run on one machine")
def one_machine(scenario: FleetScenario) -> None:
    assert scenario.shared_state is not None
    scenario.shared_state = replace(
        scenario.shared_state, ledger_model=replace(scenario.shared_state.ledger_model, single_host=True)
    )


@given("gateways that may stand on many machines")
def many_machines(scenario: FleetScenario) -> None:
    """Then nobody knows of an end before the lease tells."""
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
    assert name in latest_recorder(scenario, number).claims and not latest_recorder(scenario, number).has(
        name
    )


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
    _ = scenario.result
    assert scenario.emulation.ledger is not None
    return scenario.emulation.ledger.store


@then("no gateway's life is ended")
def none_fenced(scenario: FleetScenario) -> None:
    _ = recorders(scenario)
    assert not [m for m in _store(scenario).members() if m.fenced]


@then(parsers.parse("gateway {number:d}'s first life is ended by another within {within:g} s of {at:g} s"))
def is_fenced(scenario: FleetScenario, number: int, within: float, at: float) -> None:
    incarnation = first_recorder(scenario, number).place.incarnation
    latest = next(m for m in _store(scenario).members() if m.incarnation.name == incarnation.name)
    assert latest.incarnation != incarnation or latest.fenced
    notified_at = [
        when
        for n in recorders(scenario)
        for when, member in n.expired_leases
        if member.incarnation == incarnation
        and member.fenced
        and n.place.incarnation.name != incarnation.name
    ]
    assert notified_at and at * 1000.0 < min(notified_at) <= (at + within) * 1000.0, notified_at


@then(parsers.parse("all lost lives are ended within {within:g} s of {at:g} s"))
def all_fenced(scenario: FleetScenario, within: float, at: float) -> None:
    dead = [
        n.place.incarnation
        for n in recorders(scenario)
        if not scenario.gateway(int(n.place.incarnation.name[1:]) + 1).alive
    ]
    notified_at = {
        m.incarnation: when for n in recorders(scenario) for when, m in reversed(n.expired_leases) if m.fenced
    }
    assert dead and all(notified_at.get(life, 1e9) <= (at + within) * 1000.0 for life in dead), notified_at


@then(parsers.parse("gateway {number:d} is told that its life was ended, before it claims anything more"))
def notified_of_fencing(scenario: FleetScenario, number: int) -> None:
    recorder = first_recorder(scenario, number)
    assert recorder.first_notified_at("Fenced") >= 0
    assert not any(recorder.has(name) for name in recorder.claims)


@then(parsers.parse("gateway {number:d} is told that the ledger is lost, and later that it is back"))
def notified_of_loss_and_recovery(scenario: FleetScenario, number: int) -> None:
    lost, recovered = (
        latest_recorder(scenario, number).first_notified_at("LedgerUnavailable"),
        latest_recorder(scenario, number).first_notified_at("LedgerRecovered"),
    )
    assert 0 <= lost < recovered


@then(parsers.parse("gateway {number:d} is never told that the ledger is lost"))
def never_lost(scenario: FleetScenario, number: int) -> None:
    assert latest_recorder(scenario, number).first_notified_at("LedgerUnavailable") < 0


@then(parsers.parse("gateway {number:d} has begun {count:d} lives"))
def incarnation_count(scenario: FleetScenario, number: int, count: int) -> None:
    _ = recorders(scenario)
    assert scenario.gateway(number).incarnation_count == count
    incarnation = scenario.gateway(number).incarnation
    assert incarnation is not None and incarnation.epoch == count


@then(parsers.parse("gateway {number:d} may not act on its lease at {at:g} s"))
def does_not_hold_lease(scenario: FleetScenario, number: int, at: float) -> None:
    assert _holds_lease(scenario, number, at) is False


@then(parsers.parse("gateway {number:d} may act on its lease at {at:g} s"))
def holds_lease(scenario: FleetScenario, number: int, at: float) -> None:
    assert _holds_lease(scenario, number, at) is True


def _holds_lease(scenario: FleetScenario, number: int, at: float) -> bool:
    """Asked at that moment: the day is played up to it."""
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
