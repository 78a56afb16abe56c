"""The model checker: what it explores, what it finds, and that its reductions hide nothing."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace

from meadowpulley.model_checking import (
    CheckpointError,
    Coverage,
    ModelSettings,
    Search,
    checkpoint as checkpoints,
    counterexample as counterexamples,
    make_model,
    mutation,
    search as search_module,
)
from meadowpulley.model_checking.choices import ChoiceScriptError, ScriptedRandom, alternatives
from meadowpulley.model_checking.connection_model import CONFIGURATIONS as CONNECTIONS
from meadowpulley.model_checking.mutants import MUTANTS
from meadowpulley.model_checking.mutation_testing import run_mutants
from meadowpulley.model_checking.policy_model.configurations import CONFIGURATIONS

STORED = sorted((Path(__file__).parent / "counterexamples").glob("*.json"))
TINY = ModelSettings(configuration="attempts", gateways=1, servers=2, requests=1, faults=1, time_advances=1)
PAIR = ModelSettings(configuration="release", gateways=2, servers=2, requests=2, faults=0, time_advances=1)
FAST = (
    "unsafe-retried",
    "drain-edge",
    "window-edge",
    "late-answer-unbound",
    "timer-lost",
    "cold-ignored",
    "slot-kept",
    "split-head-missed",
    "noise-behind-kept",
    "drain-never-ends",
    "ends-twice",
)


def search(settings: ModelSettings, workers: int = 1, **options: Any) -> Coverage:
    search_run = Search(settings, workers=workers, **options)
    try:
        return search_run.run()
    finally:
        search_run.close()


def end_states(settings: ModelSettings) -> set[Any]:
    """The states that a search comes to just after time has moved: whatever order led there."""
    found, model = set(), make_model(settings)
    pending, seen = [model], {model.fingerprint()}
    while pending:
        model = pending.pop()
        for step in model.enabled_steps():
            scripts: list[tuple[int, ...]] = [()]
            while scripts:
                script = scripts.pop()
                after = model.copy()
                chosen, option_counts = after.apply(replace(step, draws=script))
                scripts += alternatives(chosen, option_counts, len(script))
                fingerprint = after.fingerprint()
                if step.action == "wait":
                    found.add(fingerprint)
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    pending.append(after)
    return found


# Nothing breaks within small bounds


@pytest.mark.parametrize("configuration", CONFIGURATIONS)
def test_no_property_of_the_policy_breaks_within_small_bounds(configuration: str) -> None:
    settings = ModelSettings(
        configuration=configuration, gateways=1, servers=2, requests=2, faults=1, time_advances=1
    )
    coverage = Search(settings, workers=1).run(max_depth=3 if configuration == "all" else 4)
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.states > 50


@pytest.mark.parametrize("configuration", CONNECTIONS)
def test_no_property_of_a_connection_breaks_within_small_bounds(configuration: str) -> None:
    settings = ModelSettings(
        model="connection", configuration=configuration, servers=1, requests=1, faults=1, time_advances=1
    )
    coverage = Search(settings, workers=1).run(max_depth=4)
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.states > 10


@pytest.mark.parametrize("file", STORED, ids=[p.stem for p in STORED])
def test_a_stored_counterexample_violates_nothing_today(file: Path) -> None:
    assert not counterexamples.violations_of(counterexamples.read_counterexample(file))


# Planted bugs


def test_planted_bugs_are_found_by_the_property_meant_for_them() -> None:
    found = run_mutants(FAST, [1, 2], 60.0, workers=4)
    assert [(c.mutant, c.seed) for c in found if not c.as_expected] == []
    shortest = {c.mutant: len(c.steps) for c in found if c.seed == 1}
    assert all(len(c.steps) == shortest[c.mutant] for c in found)  # breadth first: whatever the order


def test_every_mutant_can_be_planted_and_there_are_enough() -> None:
    assert len(MUTANTS) >= 40
    for mutant in MUTANTS.values():
        mutation.check_replacements(mutant)


def test_a_mutant_whose_piece_is_gone_is_named() -> None:
    piece = (("no such line", ""),)
    stale = mutation.Mutant("stale", "", ("meadowpulley.policy",), piece, ("answers",), "attempts")
    with pytest.raises(mutation.MutantError, match=r"mutant stale: 'no such line' stands 0 times"):
        mutation.check_replacements(stale)


# Reductions


def test_the_same_is_reached_without_hashing() -> None:
    hashed, whole = search(TINY), search(replace(TINY, hashed=False))
    assert hashed.complete and whole.complete and hashed.states == whole.states
    assert [v.new_states for v in hashed.levels] == [v.new_states for v in whole.levels]


def test_symmetry_merges_states_and_hides_no_kind_of_state() -> None:
    merged, plain = search(TINY), search(replace(TINY, symmetry=False))
    assert merged.complete and plain.complete and merged.states < plain.states
    named = replace(TINY, symmetry=False)
    kinds = set()
    pending, seen = [make_model(named)], set()
    while pending:  # every plain state, written in canonical form, is one of the merged ones
        model = pending.pop()
        for step in model.enabled_steps():
            scripts: list[tuple[int, ...]] = [()]
            while scripts:
                script = scripts.pop()
                after: Any = model.copy()
                chosen, option_counts = after.apply(replace(step, draws=script))
                scripts += alternatives(chosen, option_counts, len(script))
                fingerprint = after.fingerprint()
                after.settings = TINY
                kinds.add(after.fingerprint())
                after.settings = named
                if fingerprint not in seen:
                    seen.add(fingerprint)
                    pending.append(after)
    assert len(kinds) == merged.states


def test_the_order_of_gateways_within_a_moment_hides_no_state() -> None:
    plain = replace(PAIR, symmetry=False)
    ordered, free = end_states(plain), end_states(replace(plain, ordered_gateways=False))
    assert ordered == free and len(ordered) > 10


def test_workers_and_seeds_change_nothing_but_the_time() -> None:
    settings = replace(TINY, requests=2, time_advances=0)
    single, many = search(settings, seed=1), search(settings, workers=2, seed=9)
    assert single.complete and many.complete
    assert [(v.new_states, v.transitions) for v in single.levels] == [
        (v.new_states, v.transitions) for v in many.levels
    ]


# Checkpoints and bounds


def test_an_interrupted_search_goes_on_from_its_checkpoint(tmp_path: Path) -> None:
    whole, path = search(TINY), tmp_path / "check.point"
    first = Search(TINY, workers=1, checkpoint=path)
    assert first.run(max_depth=2).stop_reason == "the depth of 2 steps"
    second = Search(TINY, workers=1, checkpoint=path)
    done = second.run()
    assert done.complete and done.states == whole.states
    with pytest.raises(CheckpointError, match="is of another run"):
        Search(replace(TINY, requests=2), workers=1, checkpoint=path)
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(CheckpointError, match="is not whole"):
        Search(TINY, workers=1, checkpoint=path)


def test_a_checkpoint_of_other_code_is_refused(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "check.point"
    Search(TINY, workers=1, checkpoint=path).run(max_depth=1)
    monkeypatch.setattr(checkpoints, "code_digest", lambda: "other")
    with pytest.raises(CheckpointError, match="the code under test has changed"):
        Search(TINY, workers=1, checkpoint=path)


def test_seeded_walks_go_deeper_and_are_the_same_again() -> None:
    settings = replace(PAIR, requests=4, faults=2, time_advances=4)
    walks = [Search(settings, seed=3, workers=1).walk(6, 40) for _ in range(2)]
    assert walks[0].walk_steps == walks[1].walk_steps > 6 * 5 and walks[0].counterexample is None


def test_paths_are_packed_and_unpacked() -> None:
    path = (
        search_module.pack_step(3, (0, 2))
        + search_module.pack_step(700, ())
        + search_module.pack_step(0, (1,))
    )
    assert search_module.unpack_path(path) == [(3, (0, 2)), (700, ()), (0, (1,))]


# Chance


def test_draws_are_explored_to_the_last() -> None:
    choices, seen = ScriptedRandom(), set()
    scripts: list[tuple[int, ...]] = [()]
    while scripts:
        script = scripts.pop()
        choices.begin(script)
        pair = choices.sample([1, 2, 3], 2)
        seen.add((frozenset(pair), choices.random() < 0.5))
        scripts += alternatives(choices.chosen, choices.option_counts, len(script))
    assert len(seen) == 6


def test_a_draw_that_nobody_explores_is_named_and_a_script_that_does_not_fit_is_refused() -> None:
    choices = ScriptedRandom()
    with pytest.raises(AttributeError, match="'gauss', which is not explored"):
        choices.gauss(0, 1)
    choices.begin((7,))
    with pytest.raises(ChoiceScriptError, match="draw 1 is one of 2, not number 7"):
        choices.random()
