"""World C of the model checker: two gateways on one ledger, and the bugs planted in what they share."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from meadowpulley.model_checking import (
    Coverage,
    ModelSettings,
    Search,
    counterexample as stories,
    make_model,
    mutation,
)
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.mutation_testing import run_mutants
from meadowpulley.model_checking.shared_state_model import CONFIGURATIONS, SharedStateModel
from meadowpulley.model_checking.shared_state_mutants import SHARED_STATE_MUTANTS

FAST = (
    "sealed-commits",
    "creates-over",
    "seals-the-renewed",
    "suspects-early",
    "takes-from-the-living",
    "death-missed",
    "rights-forgotten",
    "lives-uncounted",
    "floors-lent-too",
    "grant-from-hearing",
)


def search(scene: str, depth: int, **more: Any) -> Coverage:
    setting = ModelSettings(
        model="shared", configuration=scene, **{"requests": 1, "faults": 1, "time_advances": 3, **more}
    )
    one = Search(setting, workers=1)
    try:
        return one.run(depth)
    finally:
        one.close()


def world(scene: str, *steps: tuple[str, *tuple[int | str, ...]], **more: Any) -> SharedStateModel:
    """The world after these steps; whatever is under way goes on by itself before each of them."""
    w = SharedStateModel(
        ModelSettings(
            model="shared", configuration=scene, **{"requests": 3, "faults": 3, "time_advances": 9, **more}
        )
    )
    for do, *who in steps:
        step = Step(do, tuple(who))
        while step not in w.enabled_steps():
            w.apply(w.enabled_steps()[0])
        w.apply(step)
    return w


def go_on(w: SharedStateModel) -> SharedStateModel:
    """All that is under way, to its end."""
    while (move := next(w._progress_steps(), None)) is not None:
        w.apply(move)
    return w


# Nothing breaks within small bounds


@pytest.mark.parametrize("scene", CONFIGURATIONS)
def test_no_property_of_what_is_shared_breaks_within_small_bounds(scene: str) -> None:
    coverage = search(scene, depth=3 if CONFIGURATIONS[scene].lends else 6)
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.states > 20


def test_without_failures_three_requests_run_once_each_and_are_served() -> None:
    coverage = search("lives", depth=200, requests=2, faults=0, time_advances=0)
    assert coverage.complete and coverage.counterexample is None
    w = go_on(world("lives", ("ask", 0, 0), ("ask", 1, 1), ("ask", 0, 2)))
    assert w.monitor.executions == {"r0": 1, "r1": 1, "r2": 1}
    assert {name: len(told) for name, told in w.monitor.answers.items()} == {"r0": 1, "r1": 1, "r2": 1}


# What the world can do


def test_a_killed_gateways_work_is_taken_over_once_and_its_client_gets_that_answer() -> None:
    w = world("lives", ("ask", 0, 0), ("commit", 0), ("kill", 0), ("wait", "next"), ("commit", 1))
    go_on(w)
    w = go_on(w)
    while w.open_work():
        w.apply(Step("wait", ("next",)))
        go_on(w)
    w.apply(Step("again", (1, 0)))
    go_on(w)
    assert (
        w.monitor.answers == {"r0": ("failed",)} and not w.monitor.executions
    )  # its right was won: it may have run
    assert not w.violations


def test_a_stopped_gateway_that_wakes_with_bytes_to_send_sends_them_late_and_nothing_runs_beside() -> None:
    w = world("clients", ("ask", 0, 0), ("commit", 0), ("hear", 0), ("stop", 0))
    assert w.gateways[0].unsent_attempts and not w.arrived_attempts
    while w.open_work():
        w.apply(Step("wait", ("next",)))
        go_on(w)
    assert not w.monitor.executions  # its end is recorded, and it has not run yet
    w.apply(Step("wake", (0,)))
    go_on(w)
    w.apply(Step("again", (1, 0)))
    go_on(w)
    assert w.monitor.executions == {"r0": 1} and w.monitor.answers == {"r0": ("failed",)} and not w.violations


def test_a_commit_whose_answer_is_lost_is_carried_out_before_later_or_never() -> None:
    for how, there in (("before", False), ("after", True), ("late", False)):
        w = world("answers", ("ask", 0, 0), ("lose", 0, how))
        assert bool(w.open_work()) is there
        assert any(s.action == "straggle" for s in w.enabled_steps()) is (how == "late")


def test_everything_but_the_first_of_what_is_under_way_costs_a_trouble() -> None:
    w = world("all", ("ask", 0, 0), faults=1)
    first, *others = w.enabled_steps()
    assert first.action == "commit" and {s.action for s in others} >= {"kill", "stop", "hold", "lose", "ask"}
    costs = {}
    for step in w.enabled_steps():
        twin = w.copy()
        twin.apply(step)
        costs[step.action] = w.faults - twin.faults
    assert costs.pop("commit") == 0 and set(costs.values()) == {1}


def test_a_copy_goes_on_as_the_played_one_and_leaves_it_alone() -> None:
    w = world("all", ("ask", 0, 0))
    twin, before = w.copy(), w.fingerprint()
    assert twin.fingerprint() == before
    twin.apply(Step("commit", (0,)))
    assert w.fingerprint() == before != twin.fingerprint()
    w.apply(Step("commit", (0,)))
    assert w.fingerprint() == twin.fingerprint() and w.form() == twin.form()


def test_what_is_lent_stays_within_the_capacity_as_demand_moves() -> None:
    w = world("lent", ("ask", 0, 0), ("wait", "turn"))
    assert w.gateways[0].admission_rate(w.now) > 20 > w.gateways[1].admission_rate(w.now)
    for step in (Step("ask", (1, 1)), *[Step("wait", ("turn",))] * 4):
        go_on(w).apply(step)
    assert w.gateways[1].admission_rate(w.now) > w.gateways[0].admission_rate(w.now) and not w.violations


# Planted bugs


def test_enough_bugs_are_planted_in_what_is_shared_and_each_can_be() -> None:
    assert len(SHARED_STATE_MUTANTS) >= 20
    for mutant in SHARED_STATE_MUTANTS:
        mutation.check_replacements(mutant)
    assert {m.module.split(".")[1] for m in SHARED_STATE_MUTANTS} == {"ledger", "takeover", "lending"}


def test_bugs_planted_in_what_is_shared_are_found_by_the_property_meant_for_them() -> None:
    found = run_mutants(FAST, [1], 600.0, workers=2)
    assert [
        (c.mutant, c.violated_property) for c in found if not c.as_expected or c.search_method != "exhaustive"
    ] == []


def test_a_counterexample_reads_as_a_story(tmp_path: Path) -> None:
    setting = ModelSettings(model="shared", configuration="all", requests=1)
    steps = (Step("ask", (0, 0)), Step("lose", (0, "after")), Step("hear", (0,)))
    tale = stories.Counterexample(1, setting, "one-answer", "", steps)
    told = list(stories.replay(tale))
    assert [t.text for t in told] == [
        "a client sends gateway 0 request 0 (pay)",
        "the answer to a commit of gateway 0 is lost; it is carried out: before that",
        "gateway 0 hears what became of its commit",
    ]
    assert make_model(setting).fingerprint() == make_model(setting).fingerprint()
