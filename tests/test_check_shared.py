"""The shared-state model: two gateways on one ledger, and the bugs planted in what they share."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from meadowpulley.model_checking import (
    Coverage,
    ModelSettings,
    Search,
    counterexample as counterexamples,
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


def search(configuration: str, depth: int, **options: Any) -> Coverage:
    settings = ModelSettings(
        model="shared",
        configuration=configuration,
        **{"requests": 1, "faults": 1, "time_advances": 3, **options},
    )
    search_run = Search(settings, workers=1)
    try:
        return search_run.run(depth)
    finally:
        search_run.close()


def model_after(
    configuration: str, *steps: tuple[str, *tuple[int | str, ...]], **options: Any
) -> SharedStateModel:
    """Return the model after these steps; whatever is under way goes on by itself before each of them."""
    model = SharedStateModel(
        ModelSettings(
            model="shared",
            configuration=configuration,
            **{"requests": 3, "faults": 3, "time_advances": 9, **options},
        )
    )
    for do, *who in steps:
        step = Step(do, tuple(who))
        while step not in model.enabled_steps():
            model.apply(model.enabled_steps()[0])
        model.apply(step)
    return model


def go_on(model: SharedStateModel) -> SharedStateModel:
    """All that is under way, to its end."""
    while (move := next(model._progress_steps(), None)) is not None:
        model.apply(move)
    return model


# Nothing breaks within small bounds


@pytest.mark.parametrize("configuration", CONFIGURATIONS)
def test_no_property_of_what_is_shared_breaks_within_small_bounds(configuration: str) -> None:
    coverage = search(configuration, depth=3 if CONFIGURATIONS[configuration].lends else 6)
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.states > 20


def test_without_failures_three_requests_run_once_each_and_are_served() -> None:
    coverage = search("lives", depth=200, requests=2, faults=0, time_advances=0)
    assert coverage.complete and coverage.counterexample is None
    model = go_on(model_after("lives", ("ask", 0, 0), ("ask", 1, 1), ("ask", 0, 2)))
    assert model.monitor.executions == {"r0": 1, "r1": 1, "r2": 1}
    assert {name: len(trace) for name, trace in model.monitor.answers.items()} == {"r0": 1, "r1": 1, "r2": 1}


# What the model can do


def test_a_killed_gateways_work_is_taken_over_once_and_its_client_gets_that_answer() -> None:
    model = model_after("lives", ("ask", 0, 0), ("commit", 0), ("kill", 0), ("wait", "next"), ("commit", 1))
    go_on(model)
    model = go_on(model)
    while model.open_work():
        model.apply(Step("wait", ("next",)))
        go_on(model)
    model.apply(Step("again", (1, 0)))
    go_on(model)
    assert (
        model.monitor.answers == {"r0": ("failed",)} and not model.monitor.executions
    )  # its right was won: it may have run
    assert not model.violations


def test_a_stopped_gateway_that_resumes_sends_its_bytes_late_and_nothing_runs_beside() -> None:
    model = model_after("clients", ("ask", 0, 0), ("commit", 0), ("hear", 0), ("stop", 0))
    assert model.gateways[0].unsent_attempts and not model.arrived_attempts
    while model.open_work():
        model.apply(Step("wait", ("next",)))
        go_on(model)
    assert not model.monitor.executions  # its end is recorded, and it has not run yet
    model.apply(Step("wake", (0,)))
    go_on(model)
    model.apply(Step("again", (1, 0)))
    go_on(model)
    assert (
        model.monitor.executions == {"r0": 1}
        and model.monitor.answers == {"r0": ("failed",)}
        and not model.violations
    )


def test_a_commit_whose_answer_is_lost_is_carried_out_before_later_or_never() -> None:
    for how, there in (("before", False), ("after", True), ("late", False)):
        model = model_after("answers", ("ask", 0, 0), ("lose", 0, how))
        assert bool(model.open_work()) is there
        assert any(s.action == "straggle" for s in model.enabled_steps()) is (how == "late")


def test_everything_but_the_first_of_what_is_under_way_costs_a_fault() -> None:
    model = model_after("all", ("ask", 0, 0), faults=1)
    first, *others = model.enabled_steps()
    assert first.action == "commit" and {s.action for s in others} >= {"kill", "stop", "hold", "lose", "ask"}
    costs = {}
    for step in model.enabled_steps():
        twin = model.copy()
        twin.apply(step)
        costs[step.action] = model.faults - twin.faults
    assert costs.pop("commit") == 0 and set(costs.values()) == {1}


def test_a_copy_goes_on_as_the_played_one_and_leaves_it_alone() -> None:
    model = model_after("all", ("ask", 0, 0))
    twin, before = model.copy(), model.fingerprint()
    assert twin.fingerprint() == before
    twin.apply(Step("commit", (0,)))
    assert model.fingerprint() == before != twin.fingerprint()
    model.apply(Step("commit", (0,)))
    assert model.fingerprint() == twin.fingerprint() and model.form() == twin.form()


def test_what_is_lent_stays_within_the_capacity_as_demand_moves() -> None:
    model = model_after("lent", ("ask", 0, 0), ("wait", "turn"))
    assert model.gateways[0].admission_rate(model.now) > 20 > model.gateways[1].admission_rate(model.now)
    for step in (Step("ask", (1, 1)), *[Step("wait", ("turn",))] * 4):
        go_on(model).apply(step)
    assert (
        model.gateways[1].admission_rate(model.now) > model.gateways[0].admission_rate(model.now)
        and not model.violations
    )


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


def test_a_counterexample_is_told_in_words(tmp_path: Path) -> None:
    settings = ModelSettings(model="shared", configuration="all", requests=1)
    steps = (Step("ask", (0, 0)), Step("lose", (0, "after")), Step("hear", (0,)))
    counterexample = counterexamples.Counterexample(1, settings, "one-answer", "", steps)
    trace = list(counterexamples.replay(counterexample))
    assert [t.text for t in trace] == [
        "a client sends gateway 0 request 0 (pay)",
        "the answer to a commit of gateway 0 is lost; it is carried out: before that",
        "gateway 0 hears what became of its commit",
    ]
    assert make_model(settings).fingerprint() == make_model(settings).fingerprint()
