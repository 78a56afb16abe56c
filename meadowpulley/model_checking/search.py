"""The search: all states level by level, on all cores, or seeded walks far beyond.

It is breadth first, so that a counterexample is a shortest one. Each level is complete before the next
begins, and after each a checkpoint may be written. A node is its path: steps by their place among the enabled
ones and what was drawn. Workers hold models, the searching process holds fingerprints.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from meadowpulley.model_checking import mutation
from meadowpulley.model_checking.checkpoint import Checkpoint, read_checkpoint, write_checkpoint
from meadowpulley.model_checking.choices import alternatives
from meadowpulley.model_checking.errors import ModelCheckingError
from meadowpulley.model_checking.model import Model, ModelSettings, Step, make_model
from meadowpulley.model_checking.properties import Violation

CHUNK_SIZE = 48  # nodes handed to a worker at a time
INDEX_BYTES = 2  # of a step's place among the enabled ones, in a path
NO_DEPTH_LIMIT = 10_000  # steps: more than any search gets to
NO_BUDGET_S = 1e9
WALK_SEED_STRIDE = 1_000_003  # a prime above any number of walks, so that no two seeds share a walk
WALKS_PER_WORKER = 4  # in a batch
MIN_WALK_BATCH = 8


def pack_step(index: int, draws: Sequence[int]) -> bytes:
    """A step as a node's path holds it: its place among the enabled ones, then what was drawn."""
    return bytes((*index.to_bytes(INDEX_BYTES, "big"), len(draws), *draws))


def unpack_path(path: bytes) -> list[tuple[int, tuple[int, ...]]]:
    """Return the steps of a path, each by its index and what was drawn."""
    steps = []
    offset = 0
    while offset < len(path):
        index_end = offset + INDEX_BYTES
        draws_start = index_end + 1  # behind the number of draws
        draws_end = draws_start + path[index_end]
        index = int.from_bytes(path[offset:index_end], "big")
        steps.append((index, tuple(path[draws_start:draws_end])))
        offset = draws_end
    return steps


@dataclass(frozen=True, slots=True)
class ViolatingPath:
    """A path that breaks a property: its steps, and what broke at the last one."""

    steps: tuple[Step, ...]
    violation: Violation


@dataclass(slots=True)
class Level:
    """One level of the search: new states, steps taken to find them, nodes to go on from, seconds so far."""

    depth: int
    new_states: int
    transitions: int
    frontier: int
    elapsed_s: float


@dataclass(slots=True)
class Coverage:
    """What was explored. `complete`: no state within the setting's bounds was left out."""

    settings: ModelSettings
    levels: list[Level] = field(default_factory=list)
    complete: bool = False
    stop_reason: str = ""
    counterexample: ViolatingPath | None = None
    walks: int = 0
    walk_steps: int = 0
    elapsed_s: float = 0.0

    @property
    def states(self) -> int:
        """How many states were found."""
        return sum(level.new_states for level in self.levels)

    @property
    def transitions(self) -> int:
        """How many steps were taken to find them."""
        return sum(level.transitions for level in self.levels)

    @property
    def depth(self) -> int:
        """Return the number of complete levels."""
        return self.levels[-1].depth if self.levels else 0


def decode_path(settings: ModelSettings, path: bytes, mutant: str = "") -> tuple[Step, ...]:
    """A path with its steps spelt out."""
    model = make_model(settings)
    steps = []
    for index, draws in unpack_path(path):
        step = msgspec.structs.replace(model.enabled_steps()[index], draws=draws)
        model.apply(step)
        steps.append(step)
    return tuple(steps)


class Expander:
    """Finds the successors of a node.

    Neighbours in the frontier share most of their path: the models along the last one are cached.
    """

    def __init__(self, settings: ModelSettings) -> None:
        self.settings = settings
        self._models_on_path: list[tuple[bytes, Model]] = [(b"", make_model(settings))]

    def model_at(self, path: bytes) -> Model:
        """Return the model after the steps of a path."""
        while not path.startswith(self._models_on_path[-1][0]):
            self._models_on_path.pop()
        prefix, model = self._models_on_path[-1]
        for index, draws in unpack_path(path[len(prefix) :]):
            model = model.copy()
            model.apply(msgspec.structs.replace(model.enabled_steps()[index], draws=draws))
            prefix += pack_step(index, draws)
            self._models_on_path.append((prefix, model))
        return model

    def expand(self, path: bytes) -> Iterator[tuple[Any, bytes, Violation | None]]:
        """Each successor: its fingerprint (or full form), the step that leads there, and what it breaks."""
        model = self.model_at(path)
        for index, step in enumerate(model.enabled_steps()):
            scripts: list[tuple[int, ...]] = [()]
            while scripts:
                script = scripts.pop()
                successor = model.copy()
                chosen, option_counts = successor.apply(msgspec.structs.replace(step, draws=script))
                scripts += alternatives(chosen, option_counts, len(script))
                violation = successor.violations[0] if successor.violations else None
                state_key = successor.fingerprint() if self.settings.hashed else successor.form()  # type: ignore[attr-defined]
                yield state_key, pack_step(index, chosen), violation


_expander: Expander | None = None


def _start_worker(settings: ModelSettings, mutant: str) -> None:
    global _expander
    if mutant:
        mutation.plant(mutant)
    _expander = Expander(settings)


def _worker_expander() -> Expander:
    if _expander is None:
        raise ModelCheckingError("search: this process is no worker; start it by a WorkerPool")
    return _expander


def _expand_paths(paths: Sequence[bytes]) -> tuple[int, list[tuple[Any, int, bytes, Violation | None]]]:
    """All that follows some nodes, each state once, with the place of the node it follows."""
    expander = _worker_expander()
    successors: dict[Any, tuple[Any, int, bytes, Violation | None]] = {}
    transitions = 0
    for position, path in enumerate(paths):
        for state_key, step, violation in expander.expand(path):
            transitions += 1
            if violation is not None:
                successors[state_key, position, step] = (state_key, position, step, violation)
            elif state_key not in successors:
                successors[state_key] = (state_key, position, step, None)
    return transitions, list(successors.values())


def _random_walk(task: tuple[int, int]) -> tuple[int, ViolatingPath | None]:
    """One seeded walk of so many steps, every step and draw by chance."""
    seed, walk_length = task
    rng = random.Random(seed)
    model = make_model(_worker_expander().settings)
    path: list[Step] = []
    for step_number in range(walk_length):
        steps = model.enabled_steps()
        if not steps:
            return step_number, None
        step = steps[rng.randrange(len(steps))]
        successor = model.copy()
        script: tuple[int, ...] = ()
        chosen, option_counts = successor.apply(step)
        while len(chosen) > len(script):
            draw = rng.randrange(option_counts[len(script)])
            script = (*script, draw)
            if draw != chosen[len(script) - 1]:
                successor = model.copy()
                chosen, option_counts = successor.apply(msgspec.structs.replace(step, draws=script))
        model = successor
        path.append(msgspec.structs.replace(step, draws=tuple(chosen)))
        if model.violations:
            return step_number + 1, ViolatingPath(tuple(path), model.violations[0])
    return walk_length, None


def _chunks(paths: Sequence[bytes], size: int) -> Iterator[Sequence[bytes]]:
    for start in range(0, len(paths), size):
        yield paths[start : start + size]


class WorkerPool:
    """Workers, each with its own copy of the code under test; one that runs inline where `workers` is 1."""

    def __init__(self, settings: ModelSettings, workers: int, mutant: str = "") -> None:
        self.workers = workers
        self._pool: ProcessPoolExecutor | None = None
        if workers > 1:
            context = multiprocessing.get_context("spawn")
            self._pool = ProcessPoolExecutor(workers, context, _start_worker, (settings, mutant))
        else:
            _start_worker(settings, mutant)
            self._own_expander = _expander

    def map(self, function: Callable[[Any], Any], tasks: Iterable[Any]) -> Iterable[Any]:
        """Call a function of this module for each task, in the workers."""
        global _expander
        if self._pool is not None:
            return self._pool.map(function, tasks)
        _expander = self._own_expander
        return map(function, tasks)

    def close(self) -> None:
        """Stop the workers."""
        if self._pool is not None:
            self._pool.shutdown(cancel_futures=True)


class Search:
    """One exhaustive search. `seed` shuffles the order in which nodes are explored, which may not matter."""

    def __init__(
        self,
        settings: ModelSettings,
        seed: int = 1,
        workers: int | None = None,
        mutant: str = "",
        progress: Callable[[Coverage], None] = lambda _: None,
        checkpoint: Path | None = None,
    ) -> None:
        self.settings = settings
        self.mutant = mutant
        self.progress = progress
        self.checkpoint = checkpoint
        self.rng = random.Random(seed)
        self.seed = seed
        self.coverage = Coverage(settings)
        self.pool = WorkerPool(settings, workers or os.cpu_count() or 1, mutant)
        self.visited: set[Any] = set()
        self.frontier: list[bytes] = [b""]
        self.elapsed_s = 0.0
        if checkpoint is not None and checkpoint.exists():
            self._resume_checkpoint(checkpoint)

    def close(self) -> None:
        """Stop the workers."""
        self.pool.close()

    def run(self, max_depth: int = NO_DEPTH_LIMIT, budget_s: float = NO_BUDGET_S) -> Coverage:
        """Searches until all is seen, a property breaks, or a bound is met."""
        started_at = time.monotonic() - self.elapsed_s
        coverage = self.coverage
        while self.frontier and coverage.counterexample is None:
            if coverage.depth >= max_depth:
                coverage.stop_reason = f"the depth of {max_depth} steps"
                break
            if time.monotonic() - started_at >= budget_s:
                coverage.stop_reason = f"the budget of {budget_s:g} s"
                break
            level_complete = self._search_level(started_at, budget_s)
            self.elapsed_s = time.monotonic() - started_at
            coverage.elapsed_s = self.elapsed_s
            if not level_complete:
                coverage.stop_reason = f"the budget of {budget_s:g} s, within level {coverage.depth + 1}"
                break
            self.progress(coverage)
            if self.checkpoint is not None and coverage.counterexample is None:
                self._save_checkpoint(self.checkpoint)
        coverage.complete = not self.frontier and coverage.counterexample is None
        coverage.elapsed_s = time.monotonic() - started_at
        return coverage

    def _search_level(self, started_at: float, budget_s: float) -> bool:
        """One level; False where time ended within it (its states are then not counted)."""
        paths = list(self.frontier)
        if self.coverage.levels:
            chunks = list(_chunks(paths, CHUNK_SIZE))
            self.rng.shuffle(chunks)
        else:
            chunks = [paths]
        next_frontier: list[bytes] = []
        new_states: set[Any] = set()
        transitions = 0
        first_violation: tuple[bytes, Violation] | None = None
        for chunk, (chunk_transitions, successors) in zip(
            chunks, self.pool.map(_expand_paths, chunks), strict=True
        ):
            transitions += chunk_transitions
            for state_key, position, step, violation in successors:
                if violation is not None:
                    path = chunk[position] + step
                    if first_violation is None or path < first_violation[0]:
                        first_violation = path, violation
                elif state_key not in self.visited and state_key not in new_states:
                    new_states.add(state_key)
                    next_frontier.append(chunk[position] + step)
            if time.monotonic() - started_at > budget_s and first_violation is None:
                return False
        self.visited |= new_states
        self.frontier = next_frontier
        elapsed_s = time.monotonic() - started_at
        level = Level(self.coverage.depth + 1, len(new_states), transitions, len(next_frontier), elapsed_s)
        self.coverage.levels.append(level)
        if first_violation is not None:
            if self.mutant:
                mutation.plant(self.mutant)
            self.coverage.counterexample = ViolatingPath(
                decode_path(self.settings, first_violation[0]), first_violation[1]
            )
        return True

    def walk(self, walk_count: int, walk_length: int, budget_s: float = NO_BUDGET_S) -> Coverage:
        """So many seeded walks of so many steps. Same seed, same walks."""
        started_at = time.monotonic()
        coverage = self.coverage
        tasks = [(self.seed * WALK_SEED_STRIDE + number, walk_length) for number in range(walk_count)]
        batch = max(WALKS_PER_WORKER * self.pool.workers, MIN_WALK_BATCH)
        for start in range(0, walk_count, batch):
            for steps_taken, violating_path in self.pool.map(_random_walk, tasks[start : start + batch]):
                coverage.walks += 1
                coverage.walk_steps += steps_taken
                if violating_path is not None and coverage.counterexample is None:
                    coverage.counterexample = violating_path
            coverage.elapsed_s = self.elapsed_s + time.monotonic() - started_at
            self.progress(coverage)
            if coverage.counterexample is not None:
                break
            if time.monotonic() - started_at > budget_s:
                coverage.stop_reason = coverage.stop_reason or f"the budget of {budget_s:g} s for walks"
                break
        return coverage

    # Checkpoints

    def _save_checkpoint(self, path: Path) -> None:
        levels = [
            (level.depth, level.new_states, level.transitions, level.frontier, level.elapsed_s)
            for level in self.coverage.levels
        ]
        checkpoint = Checkpoint.of_search(
            self.settings, self.mutant, self.frontier, self.visited, self.elapsed_s, levels
        )
        write_checkpoint(path, checkpoint)

    def _resume_checkpoint(self, path: Path) -> None:
        checkpoint = read_checkpoint(path, self.settings, self.mutant)
        self.visited = checkpoint.visited_keys()
        self.frontier = checkpoint.frontier
        self.elapsed_s = checkpoint.elapsed_s
        self.coverage.levels = [Level(*level) for level in checkpoint.levels]
