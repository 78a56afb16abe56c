"""Steps about journaled requests that other gateways adopt, and clients that retry."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from msgspec.structs import replace as replace_fields
from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import Emulation
from meadowpulley.emulator.ledger import LedgerModel
from meadowpulley.emulator.shared_state import SharedState
from meadowpulley.rules import (
    AdoptionStarted,
    AttemptEnded,
    AttemptSent,
    KeyAnswered,
    RequestClosed,
    RequestReceived,
    RequestRecorded,
    ResponseSent,
)
from meadowpulley.takeover import JournalScope, TakeoverSettings
from tests.stories.fleet_scenario import FleetScenario
from tests.stories.fleets import small_fleet

EFFECTS = {"look-ups": "look-up", "bookings": "booking", "transfers": "transfer"}


# Given


@given(parsers.parse("a fleet of {count:d} gateways that take over, with leases of {term:g} s"))
def fleet_with_takeover(scenario: FleetScenario, count: int, term: float) -> None:
    scenario.fleet = small_fleet(count, retries=4)
    scenario.shared_state = SharedState(
        LedgerModel(lease_ms=term * 1000.0), TakeoverSettings(journal_scope=JournalScope.ALL)
    )


@given(parsers.parse("only requests that are not idempotent are journaled"))
def journal_only_unrepeatable(scenario: FleetScenario) -> None:
    assert scenario.shared_state is not None
    scenario.shared_state = replace(
        scenario.shared_state, takeover=TakeoverSettings(journal_scope=JournalScope.UNREPEATABLE)
    )


@given(parsers.parse("clients that retry at another gateway after {silence:g} s without a response"))
def clients_retry(scenario: FleetScenario, silence: float) -> None:
    assert scenario.shared_state is not None
    scenario.shared_state = replace(scenario.shared_state, client_failover_ms=silence * 1000.0)


@given(parsers.parse("at most {count:d} adopted requests in flight at each gateway"))
def limit_adopted(scenario: FleetScenario, count: int) -> None:
    assert scenario.shared_state is not None and scenario.shared_state.takeover is not None
    scenario.shared_state = replace(
        scenario.shared_state, takeover=replace(scenario.shared_state.takeover, max_adopted=count)
    )


@given(parsers.parse("requests of {work:g} ms of work and a deadline of {deadline:g} s"))
def request_duration(scenario: FleetScenario, work: float, deadline: float) -> None:
    classes = tuple(
        replace_fields(c, work_ms=work, deadline_ms=deadline * 1000.0, latency_objective_ms=deadline * 800.0)
        for c in scenario.fleet.classes
    )
    scenario.fleet = replace_fields(scenario.fleet, classes=classes)


# When


@when(parsers.parse("{count:d} gateways are killed one after the other, {gap:g} s apart, from {at:g} s"))
def kill_in_turn(scenario: FleetScenario, count: int, gap: float, at: float) -> None:
    for index in range(count):
        scenario.call_at(at + index * gap, lambda world, n=index: world.gateways[n].kill())  # type: ignore[misc]


@when(parsers.parse("whoever adopts requests of gateway {number:d} is killed as it begins"))
def kill_adopter(scenario: FleetScenario, number: int) -> None:
    def poll(world: Emulation) -> None:
        adopted = [r for r in scenario.records if isinstance(r, AdoptionStarted)]
        if adopted:
            world.gateways[adopted[0].gateway].kill()
        elif world.clock.now < 12_000.0:
            world.clock.call_later(1.0, lambda: poll(world))

    scenario.call_at(4.0, poll)


# Then


def _responses_by_id(scenario: FleetScenario, cls: str = "") -> dict[str, list[ResponseSent]]:
    """Return all responses by the client's id, of one class or of all."""
    class_index = next((n for n, c in enumerate(scenario.fleet.classes) if c.name == cls), -1)
    id_by_request = {
        (r.gateway, r.request): r.request_id
        for r in scenario.records_of(RequestReceived)
        if class_index in (-1, r.class_index)
    }
    responses: dict[str, list[ResponseSent]] = {name: [] for name in id_by_request.values()}
    for r in scenario.records_of(ResponseSent):
        if (r.gateway, r.request) in id_by_request:
            responses[id_by_request[r.gateway, r.request]].append(r)
    return responses


@then(parsers.parse("requests of gateway {number:d} are adopted"))
def assert_taken_over(scenario: FleetScenario, number: int) -> None:
    accepted = {r.request_id for r in scenario.records_of(RequestReceived) if r.gateway == number - 1}
    assert accepted & {r.request_id for r in scenario.records_of(AdoptionStarted)}


@then("no request is adopted")
def assert_nothing_taken_over(scenario: FleetScenario) -> None:
    assert scenario.records_of(RequestRecorded) and not scenario.records_of(AdoptionStarted)


@then(parsers.parse("requests are adopted within {within:g} s of {at:g} s"))
def assert_taken_over_within(scenario: FleetScenario, within: float, at: float) -> None:
    times = [r.at / 1000.0 for r in scenario.records_of(AdoptionStarted)]
    assert times and at < min(times) <= at + within, times[:3]


@then("every journaled request is finished")
def assert_journaled_requests_finish(scenario: FleetScenario) -> None:
    journaled = {r.request_id for r in scenario.records_of(RequestRecorded)}
    assert journaled and journaled <= {r.request_id for r in scenario.records_of(RequestClosed)}


@then(parsers.parse("no {kind} is executed twice"))
def assert_none_executes_twice(scenario: FleetScenario, kind: str) -> None:
    """Count attempts of all gateways that were sent and are not known never to have been executed."""
    class_index = next(n for n, c in enumerate(scenario.fleet.classes) if c.name == kind)
    id_by_request = {
        (r.gateway, r.request): r.request_id
        for r in [*scenario.records_of(RequestReceived), *scenario.records_of(AdoptionStarted)]
        if r.class_index == class_index
    }
    executed = {
        (r.gateway, r.request, r.attempt)
        for r in scenario.records_of(AttemptSent)
        if (r.gateway, r.request) in id_by_request
    }
    executed -= {
        (r.gateway, r.request, r.attempt) for r in scenario.records_of(AttemptEnded) if not r.executed
    }
    executions = Counter(id_by_request[gateway, request] for gateway, request, _ in executed)
    assert executions and max(executions.values()) == 1, [name for name, n in executions.items() if n > 1]


@then("every retry gets the same response")
def assert_same_response(scenario: FleetScenario) -> None:
    sent_counts = Counter(r.request_id for r in scenario.records_of(RequestReceived))
    assert max(sent_counts.values()) > 1
    for name, answers in _responses_by_id(scenario).items():
        assert len({r.content for r in answers if r.response == "served"}) <= 1, name


@then(parsers.parse("at least {count:d} clients retry and are served"))
def assert_served_on_retry(scenario: FleetScenario, count: int) -> None:
    sent_counts = Counter(r.request_id for r in scenario.records_of(RequestReceived))
    served = [
        n
        for n, a in _responses_by_id(scenario).items()
        if sent_counts[n] > 1 and any(r.response == "served" for r in a)
    ]
    assert len(served) >= count, len(served)


@then(parsers.parse("all {kind} are journaled, and no {other}"))
def assert_journaled_classes(scenario: FleetScenario, kind: str, other: str) -> None:
    journaled = {r.request_id for r in scenario.records_of(RequestRecorded)}
    assert set(_responses_by_id(scenario, EFFECTS[kind])) <= journaled
    assert not journaled & set(_responses_by_id(scenario, EFFECTS[other]))


@then(parsers.parse("no gateway ever has more than {count:d} adopted requests in flight"))
def assert_adopted_limit(scenario: FleetScenario, count: int) -> None:
    """Count each from the slot that it gets to the end of its record."""
    _ = scenario.result
    owner_by_id: dict[str, int] = {}
    peak: Counter[int] = Counter()
    for r in scenario.records:
        if isinstance(r, AdoptionStarted):
            owner_by_id[r.request_id] = r.gateway
            peak[r.gateway] = max(peak[r.gateway], sum(g == r.gateway for g in owner_by_id.values()))
        elif isinstance(r, RequestClosed):
            owner_by_id.pop(r.request_id, None)
    assert peak and max(peak.values()) <= count, peak


@then(parsers.parse("adopted requests earn no allowance on build {number:d}"))
def assert_no_exposure_earned(scenario: FleetScenario, number: int) -> None:
    """Attempts at the trial build stay within what clients' requests allow: adopted ones add nothing."""
    assert scenario.records_of(AdoptionStarted) and "exposure" not in scenario.result.violation_counts
    assert any(r.build == number for r in scenario.records_of(AttemptSent))


@then("no key goes back to an earlier build")
def assert_keys_move_forward_only(scenario: FleetScenario) -> None:
    assert scenario.records_of(KeyAnswered) and "one-way" not in scenario.result.violation_counts
