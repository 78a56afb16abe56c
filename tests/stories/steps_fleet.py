"""Steps about fleets, loads, faults and what clients got, without shared state."""

from __future__ import annotations

from functools import partial
from typing import Any

from msgspec.structs import replace
from pytest_bdd import given, parsers, then, when

from meadowpulley.emulator import Build, Emulation
from meadowpulley.emulator.failpoints import Step
from meadowpulley.interface import Phase
from meadowpulley.rules import AttemptSent, RequestReceived, ResponseSent
from tests.stories.fleet_scenario import FleetScenario
from tests.stories.fleets import small_fleet

SERVER_FAULTS = {
    "vanish": "vanish",
    "crash": "crash",
    "hang": "silence",
    "answer with errors": "fast_errors",
    "lose their answers": "lost_answers",
    "are three times slower": "slowness",
}
SERVICE_FAULTS = {"discovery": "discovery_down", "the platform": "platform_down", "datagrams": "peers_lost"}
STEPS = {
    "a request has come whole, and the decisions are not told yet": Step.BEFORE_REQUEST_DISPATCHED,
    "a group of steps is about to leave for the ledger": Step.BEFORE_COMMIT_SENT,
    "the ledger has carried a group out, and its answer has not come back": Step.AFTER_COMMIT_APPLIED,
    "the ledger's answer has come back, and nobody has looked at it": Step.BEFORE_COMMIT_RESULT_HANDLED,
    "an attempt is decided, and none of its bytes has gone out": Step.BEFORE_ATTEMPT_SENT,
    "an attempt has gone out": Step.AFTER_ATTEMPT_SENT,
    "the end of an attempt has come, and nobody has looked at it": Step.BEFORE_OUTCOME_HANDLED,
    "a final answer is decided, and none of its bytes has gone out": Step.BEFORE_RESPONSE_SENT,
    "a final answer has gone out": Step.AFTER_RESPONSE_SENT,
}
CLASSES = {"look-ups": "look-up", "bookings": "booking", "transfers": "transfer"}


# Given


@given(parsers.parse("a fleet of {count:d} gateways"))
def a_fleet(scenario: FleetScenario, count: int) -> None:
    scenario.fleet = small_fleet(count)


@given(parsers.parse("{per_s:g} requests a second for {seconds:g} s"))
def a_load(scenario: FleetScenario, per_s: float, seconds: float) -> None:
    scenario.per_s, scenario.duration_s = per_s, seconds


@given(parsers.parse("{per_s:g} {kind} a second for {seconds:g} s, and nothing else"))
def a_load_of(scenario: FleetScenario, per_s: float, kind: str, seconds: float) -> None:
    scenario.per_s, scenario.duration_s, scenario.only_class = per_s, seconds, CLASSES[kind]


@given("clients that never try again")
def no_retries(scenario: FleetScenario) -> None:
    scenario.fleet = replace(scenario.fleet, clients=replace(scenario.fleet.clients, retries=0))


# When: gateways


@when(parsers.parse("gateway {number:d} is killed at {at:g} s"))
def is_killed(scenario: FleetScenario, number: int, at: float) -> None:
    scenario.call_at(at, lambda world: world.gateways[number - 1].kill())


@when(parsers.parse("gateway {number:d} is started again at {at:g} s"))
def is_started(scenario: FleetScenario, number: int, at: float) -> None:
    scenario.call_at(at, lambda world: world.gateways[number - 1].start())


@when(parsers.parse("gateway {number:d} is told at {at:g} s to stop within {grace:g} s"))
def is_stopped(scenario: FleetScenario, number: int, at: float, grace: float) -> None:
    scenario.call_at(at, lambda world: world.gateways[number - 1].stop(grace * 1000.0))


@when(parsers.parse("gateway {number:d} stands still from {begin:g} s to {end:g} s"))
def stands_still(scenario: FleetScenario, number: int, begin: float, end: float) -> None:
    scenario.call_at(begin, lambda world: world.gateways[number - 1].pause())
    scenario.call_at(end, lambda world: world.gateways[number - 1].resume())


@when(parsers.parse("each gateway in turn is restarted every {every:g} s with {grace:g} s of notice"))
def rolling_restart(scenario: FleetScenario, every: float, grace: float) -> None:
    for n in range(len(scenario.fleet.gateway_sites())):
        begin = 2.0 + every * n
        scenario.call_at(begin, lambda world, n=n: world.gateways[n].stop(grace * 1000.0))  # type: ignore[misc]
        scenario.call_at(begin + grace + 0.5, lambda world, n=n: world.gateways[n].start())  # type: ignore[misc]


@when(parsers.re(r"gateway (?P<number>\d+) is killed after (?P<at>[\d.]+) s (?P<moment>when .+)"))
def is_killed_at_step(scenario: FleetScenario, number: str, at: str, moment: str) -> None:
    step = _step(moment)
    scenario.call_at(
        float(at), lambda world: world.failpoints.add(step, lambda gateway: gateway.kill(), int(number) - 1)
    )


@when(
    parsers.re(
        r"gateway (?P<number>\d+) stands still for (?P<lasts>[\d.]+) s after (?P<at>[\d.]+) s "
        r"(?P<moment>when .+)"
    )
)
def stands_still_at_step(scenario: FleetScenario, number: str, lasts: str, at: str, moment: str) -> None:
    step = _step(moment)

    def stop(world: Emulation, gateway: Any) -> None:
        gateway.pause()
        world.clock.call_later(float(lasts) * 1000.0, gateway.resume)

    scenario.call_at(
        float(at), lambda world: world.failpoints.add(step, partial(stop, world), int(number) - 1)
    )


def _step(moment: str) -> Step:
    """The step that a moment in a story's words names."""
    return STEPS[moment.removeprefix("when ")]


# When: servers, discovery, the platform


@when(parsers.re(r"(?P<part>\d+)% of the servers (?P<what>.+) from (?P<begin>[\d.]+) s to (?P<end>[\d.]+) s"))
def servers_in_trouble(scenario: FleetScenario, part: str, what: str, begin: str, end: str) -> None:
    amount = 3.0 if what == "are three times slower" else 1.0
    scenario.add_fault(SERVER_FAULTS[what], float(begin), float(end), share=int(part) / 100, amount=amount)


@when(parsers.re(r"(?P<what>discovery|the platform|datagrams) .* from (?P<begin>\d+) s to (?P<end>\d+) s"))
def party_in_trouble(scenario: FleetScenario, what: str, begin: str, end: str) -> None:
    scenario.add_fault(SERVICE_FAULTS[what], float(begin), float(end))


@when(parsers.parse("lists come {late:g} s late from {begin:g} s to {end:g} s"))
def late_lists(scenario: FleetScenario, late: float, begin: float, end: float) -> None:
    scenario.add_fault("discovery_stale", begin, end, amount=late * 1000.0)


@when(parsers.parse("{site} is cut off from the other site from {begin:g} s to {end:g} s"))
def cut_off(scenario: FleetScenario, site: str, begin: float, end: float) -> None:
    scenario.add_fault("site_cut", begin, end, site=site)


# When: builds


@when(parsers.parse("good build {number:d} is offered at {at:g} s"))
def good_build(scenario: FleetScenario, number: int, at: float) -> None:
    scenario.offer_build(Build(number), at)


@when(parsers.parse("build {number:d} that fails {percent:d}% of what it is sent is offered at {at:g} s"))
def failing_build(scenario: FleetScenario, number: int, percent: int, at: float) -> None:
    scenario.offer_build(Build(number, failure_share=percent / 100), at)


@when(parsers.parse("build {number:d} that is {times:g} times slower is offered at {at:g} s"))
def slow_build(scenario: FleetScenario, number: int, times: float, at: float) -> None:
    scenario.offer_build(Build(number, work_factor=times), at)


# Then


@then("no rule is broken")
def no_rule_is_broken(scenario: FleetScenario) -> None:
    assert not scenario.result.violation_counts, scenario.result.violations[:3]


@then(parsers.parse("at least {percent:g}% of the requests are served"))
def most_are_served(scenario: FleetScenario, percent: float) -> None:
    ends = scenario.outcome_counts()
    assert ends["asked"] > 0
    assert 100.0 * ends["served"] / ends["asked"] >= percent, dict(ends)


@then(parsers.parse("at most {percent:g}% of the requests are served"))
def few_are_served(scenario: FleetScenario, percent: float) -> None:
    ends = scenario.outcome_counts()
    assert 100.0 * ends["served"] / ends["asked"] <= percent, dict(ends)


@then("every request is served")
def all_are_served(scenario: FleetScenario) -> None:
    ends = scenario.outcome_counts()
    assert ends["asked"] > 0 and ends["served"] == ends["asked"], dict(ends)


@then("some requests are lost")
def some_are_lost(scenario: FleetScenario) -> None:
    ends = scenario.outcome_counts()
    assert ends["served"] < ends["asked"], dict(ends)


@then("every request that a gateway kept has one answer")
def one_answer(scenario: FleetScenario) -> None:
    answers = [(r.gateway, r.request) for r in scenario.records_of(ResponseSent)]
    assert answers and len(answers) == len(set(answers))
    died = {n for n, g in enumerate(scenario.emulation.gateways) if g.crashed_at > 0}
    kept = {(r.gateway, r.request) for r in scenario.records_of(RequestReceived) if r.gateway not in died}
    assert kept <= set(answers)


@then(parsers.parse("gateway {number:d} answers requests again after {at:g} s"))
def answers_again(scenario: FleetScenario, number: int, at: float) -> None:
    served = [
        r for r in scenario.records_of(ResponseSent) if r.gateway == number - 1 and r.response == "served"
    ]
    assert any(r.at > at * 1000.0 for r in served)


@then(parsers.parse("gateway {number:d} takes no request between {begin:g} s and {end:g} s"))
def takes_none(scenario: FleetScenario, number: int, begin: float, end: float) -> None:
    taken = [r for r in scenario.records_of(RequestReceived) if r.gateway == number - 1]
    assert taken and not [r for r in taken if begin * 1000.0 <= r.at <= end * 1000.0]


@then(parsers.parse("build {number:d} is {phase}"))
def build_is(scenario: FleetScenario, number: int, phase: str) -> None:
    _ = scenario.result
    stands = {(s.build, s.phase) for s in scenario.emulation.platform.history}
    wanted = {"released": Phase.RELEASED, "withdrawn": Phase.ROLLED_BACK}[phase]
    assert (number, wanted) in stands, stands


@then(parsers.parse("build {number:d} never gets more than {percent:g}% of the attempts"))
def build_share(scenario: FleetScenario, number: int, percent: float) -> None:
    sent = scenario.records_of(AttemptSent)
    there = sum(r.build == number for r in sent)
    assert 0 < there <= percent / 100 * len(sent), (there, len(sent))


@then("no server is pushed over")
def none_falls(scenario: FleetScenario) -> None:
    assert not [text for _, text in scenario.result.events if "pushed over" in text]


@then(parsers.parse("no attempt goes to a server of build {number:d} after {at:g} s"))
def none_to(scenario: FleetScenario, number: int, at: float) -> None:
    sent = [r for r in scenario.records_of(AttemptSent) if r.build == number]
    assert sent and all(r.at <= at * 1000.0 for r in sent)
