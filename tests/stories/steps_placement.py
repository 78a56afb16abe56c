"""Steps about placement experiments: which requests are counted where, and the summary."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from pytest_bdd import given, parsers, then

from meadowpulley.emulator.ledger import LedgerModel
from meadowpulley.emulator.shared_state import SharedState, StageContext
from meadowpulley.interface import Request, Settings
from meadowpulley.placement import (
    Arm,
    EndCondition,
    Experiment,
    PlacementStage,
    Summary,
    build_placements,
    incarnations_by_version,
    read_summary,
)
from meadowpulley.policy import RolloutPolicy
from meadowpulley.rules import RequestReceived
from tests.stories.fleet_scenario import FleetScenario
from tests.stories.fleets import small_fleet

POLICY = {
    "the default policy": "own",
    "random of two": "two",
    "least outstanding": "least",
    "round robin": "round",
    "measured speed": "speed",
    "zone first": "zone",
    "key": "key",
}


class LabelRecorder:
    """The stage behind the placement stage: records which key got which arm."""

    def __init__(self, inner: Any, scenario: FleetScenario) -> None:
        self.inner, self.scenario = inner, scenario

    def handle(self, now: float, event: Any) -> Any:
        if isinstance(event, Request) and event.arm:
            self.scenario.labelled_keys.append((event.key, event.arm))
        return self.inner.handle(now, event)


@given(
    parsers.re(
        r"a fleet of (?P<count>\d+) gateways that compare (?P<one>[a-z' ]+) with (?P<two>[a-z' ]+?)"
        r"(?:, by (?P<unit>\w+))?"
    )
)
def a_fleet_that_compares(scenario: FleetScenario, count: str, one: str, two: str, unit: str | None) -> None:
    scenario.fleet = small_fleet(int(count))
    arms = (Arm("first", POLICY[one], 0.5), Arm("second", POLICY[two], 0.5))
    scenario.experiment = Experiment(1, "story", arms, EndCondition(requests=100_000), unit or "request")  # type: ignore[arg-type]
    experiment = scenario.experiment

    def build_stage(context: StageContext) -> PlacementStage:
        return PlacementStage(
            LabelRecorder(context.inner, scenario), experiment, context.settings, context.incarnation
        )

    def build_policy(settings: Settings, seed: int) -> Any:
        return RolloutPolicy(settings, seed, build_placements(experiment, seed))

    scenario.build_policy = build_policy
    figures = LedgerModel(lease_ms=1000.0, single_host=False)
    scenario.shared_state = SharedState(figures, inner_stages=(build_stage,), prefixes=("placement/",))


@given("another version of that experiment at the last gateway")
def another_version(scenario: FleetScenario) -> None:
    assert scenario.shared_state is not None
    (build_stage,) = scenario.shared_state.inner_stages
    last = len(scenario.fleet.gateway_sites()) - 1

    def differ(context: StageContext) -> Any:
        stage: Any = build_stage(context)
        if context.settings.gateway_index == last:
            arms = (Arm("first", "own", 0.9), Arm("second", "two", 0.1))
            other = Experiment(1, "story", arms, EndCondition(requests=100_000))
            stage = PlacementStage(context.inner, other, context.settings, context.incarnation)
        return stage

    scenario.shared_state = replace(scenario.shared_state, inner_stages=(differ,))


def summary(scenario: FleetScenario) -> Summary:
    """Summarize the ledger's records, as an experimenter reads them."""
    result, ledger = scenario.result, scenario.emulation.ledger
    assert ledger is not None
    scenario.emulation.run_until(result.elapsed_ms + 5000.0)  # counts are written every 2 s
    records = ledger.store.scan("placement/story/")
    classes = scenario.emulation.gateways[0].settings.classes
    return read_summary(scenario.experiment, classes, records, ledger.store.members())


def counted(found: Summary) -> int:
    return found.requests + found.unassigned + found.withheld


@then("each request is counted exactly once")
def counted_once(scenario: FleetScenario) -> None:
    taken = len(scenario.records_of(RequestReceived))
    assert 0 < counted(summary(scenario)) == taken


@then(parsers.parse("no request is counted twice, and only gateway {number:d}'s last {last:g} s are missing"))
def counted_but(scenario: FleetScenario, number: int, last: float) -> None:
    times = [r.at for r in scenario.records_of(RequestReceived) if r.gateway == number - 1]
    died = scenario.gateway(number).crashed_at
    late = sum(died - last * 1000.0 <= at <= died for at in times)
    found, taken = counted(summary(scenario)), len(scenario.records_of(RequestReceived))
    assert late > 0 and taken - late <= found <= taken, (found, taken, late)


@then("both arms get about half of the requests")
def about_half(scenario: FleetScenario) -> None:
    found = summary(scenario)
    first, second = (a.requests for a in found.arms if a.class_name == "")
    assert found.sample_ratio_p_value > 0.001 and abs(first - second) < 0.2 * (first + second), (
        first,
        second,
    )


@then("each key is served by one arm only, at every gateway")
def one_arm_a_key(scenario: FleetScenario) -> None:
    """Check the labels that all gateways gave."""
    _ = scenario.result
    seen: dict[int, set[int]] = {}
    for key, arm in scenario.labelled_keys:
        seen.setdefault(key, set()).add(arm)
    assert len(seen) > 20 and all(len(found) == 1 for found in seen.values())


@then(parsers.parse("gateway {number:d} logs that its version is not the fleet's"))
def logs_conflict(scenario: FleetScenario, number: int) -> None:
    _ = scenario.result
    assert any("is not the fleet's" in text for _, text in scenario.gateway(number).log_lines)


@then("the counts of the two versions are kept apart")
def kept_apart(scenario: FleetScenario) -> None:
    summary(scenario)
    ledger = scenario.emulation.ledger
    assert ledger is not None
    assert len(incarnations_by_version(scenario.experiment, ledger.store.scan("placement/story/"))) == 2


@then("the guard ends no arm")
def guard_ends_none(scenario: FleetScenario) -> None:
    assert summary(scenario).ended_arms == ()
