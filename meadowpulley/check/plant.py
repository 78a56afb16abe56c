"""Plays planted bugs, each in a process of its own, and says what caught them."""

from __future__ import annotations

import multiprocessing
import os
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed

from msgspec import Struct

from meadowpulley.check import mutate
from meadowpulley.check.explore import Search
from meadowpulley.check.mutate import Mutant
from meadowpulley.check.worlds import Setting, Step

WALK_STEPS, WALKS = 60, 2000


class Caught(Struct, frozen=True):
    """What became of one mutant under one seed. `by` is empty where it survived; `how`: exhaustive or
    walk."""

    mutant: str
    seed: int
    by: str
    text: str
    how: str
    states: int
    steps: tuple[Step, ...]
    seconds: float
    expected: bool


def setting_of(mutant: Mutant) -> Setting:
    return Setting(
        world=mutant.world,
        scene=mutant.scene,
        gateways=mutant.gateways,
        servers=mutant.servers,
        requests=mutant.requests,
        troubles=mutant.troubles,
        waits=mutant.waits,
    )


def hunt(name: str, seed: int, budget_s: float) -> Caught:
    """Looks for one mutant in this process, which must not have loaded the code under test for long."""
    from meadowpulley.check.mutants import MUTANTS

    began = time.monotonic()
    mutant = MUTANTS[name]
    search = Search(setting_of(mutant), seed, workers=1, mutant=name)
    coverage = search.run(budget_s=budget_s)
    how = "exhaustive"
    if coverage.counterexample is None and not coverage.complete:
        how = "walk"
        coverage = search.walk(WALKS, WALK_STEPS, budget_s)
    found = coverage.counterexample
    broken = found.broken if found is not None else None
    return Caught(
        name,
        seed,
        broken.name if broken else "",
        str(broken or ""),
        how,
        coverage.states,
        found.steps if found is not None else (),
        time.monotonic() - began,
        broken is not None and broken.name in mutant.by,
    )


def hunt_all(
    names: Sequence[str],
    seeds: Sequence[int],
    budget_s: float,
    workers: int | None = None,
    done: Callable[[Caught], None] = lambda _: None,
) -> list[Caught]:
    """Every mutant under every seed, in the order given. Raises MutantError for one that can't be planted."""
    from meadowpulley.check.mutants import MUTANTS

    for name in names:
        if name not in MUTANTS:
            raise mutate.MutantError(f"mutant: '{name}' is not known; 'check mutants --list' names them")
        mutate.check(MUTANTS[name])
    found: list[Caught] = []
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers or os.cpu_count() or 1, context, max_tasks_per_child=1) as pool:
        tasks = [pool.submit(hunt, name, seed, budget_s) for name in names for seed in seeds]
        for task in as_completed(tasks):
            found.append(task.result())
            done(found[-1])
    places = {(name, seed): (n, m) for n, name in enumerate(names) for m, seed in enumerate(seeds)}
    return sorted(found, key=lambda c: places[c.mutant, c.seed])
