"""Plays planted bugs, each in a process of its own, and reports what caught them."""

from __future__ import annotations

import multiprocessing
import os
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from itertools import product

from msgspec import Struct, field

from meadowpulley.model_checking import mutation
from meadowpulley.model_checking.model import ModelSettings, Step
from meadowpulley.model_checking.mutation import Mutant
from meadowpulley.model_checking.search import Search

WALK_STEPS = 60
WALK_COUNT = 2000


class MutationResult(Struct, frozen=True):
    """What became of one mutant under one seed. `by` is empty where it survived; `how`: exhaustive or
    walk."""

    mutant: str
    seed: int
    violated_property: str = field(name="by")
    text: str
    search_method: str = field(name="how")
    states: int
    steps: tuple[Step, ...]
    elapsed_s: float = field(name="seconds")
    as_expected: bool = field(name="expected")


def settings_of(mutant: Mutant) -> ModelSettings:
    """Return the model and the bounds under which a mutant shows."""
    return ModelSettings(
        model=mutant.model,
        configuration=mutant.configuration,
        gateways=mutant.gateways,
        servers=mutant.servers,
        requests=mutant.requests,
        faults=mutant.faults,
        time_advances=mutant.time_advances,
    )


def run_mutant(name: str, seed: int, budget_s: float) -> MutationResult:
    """Search for one mutant in this process, which loads the code under test anew."""
    from meadowpulley.model_checking.mutants import MUTANTS

    started_at = time.monotonic()
    mutant = MUTANTS[name]
    search = Search(settings_of(mutant), seed, workers=1, mutant=name)
    coverage = search.run(budget_s=budget_s)
    search_method = "exhaustive"
    if coverage.counterexample is None and not coverage.complete:
        search_method = "walk"
        coverage = search.walk(WALK_COUNT, WALK_STEPS, budget_s)
    mutation.require_loaded()
    violating_path = coverage.counterexample
    violation = violating_path.violation if violating_path is not None else None
    return MutationResult(
        name,
        seed,
        violation.name if violation else "",
        str(violation or ""),
        search_method,
        coverage.states,
        violating_path.steps if violating_path is not None else (),
        time.monotonic() - started_at,
        violation is not None and violation.name in mutant.caught_by,
    )


def run_mutants(
    names: Sequence[str],
    seeds: Sequence[int],
    budget_s: float,
    workers: int | None = None,
    report_result: Callable[[MutationResult], None] = lambda _: None,
) -> list[MutationResult]:
    """Every mutant under every seed, in the order given. Raises MutantError for one that can't be planted."""
    from meadowpulley.model_checking.mutants import MUTANTS

    for name in names:
        if name not in MUTANTS:
            raise mutation.MutantError(f"mutant: '{name}' is not known; 'check mutants --list' names them")
        mutation.check_replacements(MUTANTS[name])
    results: list[MutationResult] = []
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers or os.cpu_count() or 1, context, max_tasks_per_child=1) as pool:
        tasks = [pool.submit(run_mutant, name, seed, budget_s) for name, seed in product(names, seeds)]
        for task in as_completed(tasks):
            results.append(task.result())
            report_result(results[-1])
    places = {name_and_seed: place for place, name_and_seed in enumerate(product(names, seeds))}
    return sorted(results, key=lambda result: places[result.mutant, result.seed])
