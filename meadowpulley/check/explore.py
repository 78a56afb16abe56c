"""The search: all states level by level, on all cores, or seeded walks far beyond.

Breadth first, so that a counterexample is a shortest one; each level is whole before the next begins (that is
the deepening), and after each a checkpoint may be written. A node is its path: steps by their place among the
enabled ones and what was drawn. Workers hold worlds, the searcher holds fingerprints.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import time
from array import array
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import xxhash

from meadowpulley.check import mutate
from meadowpulley.check.choices import alternatives
from meadowpulley.check.properties import Broken
from meadowpulley.check.worlds import Setting, Step, World, make_world

CHUNK = 48  # nodes handed to a worker at a time
VERSION = 1


class CheckpointError(ValueError):
    """A checkpoint that can't be gone on from; the text says why, in one line."""


def pack(index: int, draws: Sequence[int]) -> bytes:
    """A step as a node's path holds it: its place among the enabled ones, then what was drawn."""
    return bytes((index >> 8, index & 255, len(draws), *draws))


def unpack(path: bytes) -> list[tuple[int, tuple[int, ...]]]:
    found, at = [], 0
    while at < len(path):
        many = path[at + 2]
        found.append((path[at] << 8 | path[at + 1], tuple(path[at + 3 : at + 3 + many])))
        at += 3 + many
    return found


@dataclass(frozen=True, slots=True)
class Counterexample:
    """A path that breaks a property: its steps, and what broke at the last one."""

    steps: tuple[Step, ...]
    broken: Broken


@dataclass(slots=True)
class Level:
    """One level of the search: new states, steps taken to find them, nodes to go on from, seconds so far."""

    depth: int
    states: int
    taken: int
    frontier: int
    seconds: float


@dataclass(slots=True)
class Coverage:
    """What was looked at. `complete`: no state within the setting's bounds was left out."""

    setting: Setting
    levels: list[Level] = field(default_factory=list)
    complete: bool = False
    stopped: str = ""
    counterexample: Counterexample | None = None
    walks: int = 0
    walked: int = 0
    seconds: float = 0.0

    @property
    def states(self) -> int:
        return sum(level.states for level in self.levels)

    @property
    def taken(self) -> int:
        return sum(level.taken for level in self.levels)

    @property
    def depth(self) -> int:
        return self.levels[-1].depth if self.levels else 0


def steps_of(setting: Setting, path: bytes, mutant: str = "") -> tuple[Step, ...]:
    """A path with its steps spelt out."""
    world = make_world(setting)
    found = []
    for index, draws in unpack(path):
        step = msgspec.structs.replace(world.steps()[index], draws=draws)
        world.take(step)
        found.append(step)
    return tuple(found)


class Expander:
    """Finds what follows a node. Neighbours in the frontier share most of their path: the worlds along the
    last one are kept."""

    def __init__(self, setting: Setting) -> None:
        self.setting = setting
        self._trail: list[tuple[bytes, World]] = [(b"", make_world(setting))]

    def world(self, path: bytes) -> World:
        while not path.startswith(self._trail[-1][0]):
            self._trail.pop()
        done, world = self._trail[-1]
        for index, draws in unpack(path[len(done) :]):
            world = world.copy()
            world.take(msgspec.structs.replace(world.steps()[index], draws=draws))
            done += pack(index, draws)
            self._trail.append((done, world))
        return world

    def expand(self, path: bytes) -> Iterator[tuple[Any, bytes, Broken | None]]:
        """Each successor: its fingerprint (or whole form), the step that leads there, and what it breaks."""
        world = self.world(path)
        for index, step in enumerate(world.steps()):
            scripts: list[tuple[int, ...]] = [()]
            while scripts:
                script = scripts.pop()
                after = world.copy()
                made, among = after.take(msgspec.structs.replace(step, draws=script))
                scripts += alternatives(made, among, len(script))
                broken = after.broken[0] if after.broken else None
                mark = after.fingerprint() if self.setting.hashed else after.form()  # type: ignore[attr-defined]
                yield mark, pack(index, made), broken


_expander: Expander | None = None


def _start(setting: Setting, mutant: str) -> None:
    global _expander
    if mutant:
        mutate.apply(mutant)
    _expander = Expander(setting)


def _expand(paths: Sequence[bytes]) -> tuple[int, list[tuple[Any, int, bytes, Broken | None]]]:
    """All that follows some nodes, each state once, with the place of the node it follows."""
    assert _expander is not None
    found: dict[Any, tuple[Any, int, bytes, Broken | None]] = {}
    taken = 0
    for place, path in enumerate(paths):
        for mark, step, broken in _expander.expand(path):
            taken += 1
            if broken is not None:
                found[mark, place, step] = (mark, place, step, broken)
            elif mark not in found:
                found[mark] = (mark, place, step, None)
    return taken, list(found.values())


def _walk(task: tuple[int, int]) -> tuple[int, Counterexample | None]:
    """One seeded walk of so many steps, every step and draw by chance."""
    seed, length = task
    assert _expander is not None
    rng = random.Random(seed)
    world = make_world(_expander.setting)
    taken: list[Step] = []
    for n in range(length):
        steps = world.steps()
        if not steps:
            return n, None
        step = steps[rng.randrange(len(steps))]
        probe = world.copy()
        script: tuple[int, ...] = ()
        made, among = probe.take(step)
        while len(made) > len(script):
            drawn = rng.randrange(among[len(script)])
            script = (*script, drawn)
            if drawn != made[len(script) - 1]:
                probe = world.copy()
                made, among = probe.take(msgspec.structs.replace(step, draws=script))
        world = probe
        taken.append(msgspec.structs.replace(step, draws=tuple(made)))
        if world.broken:
            return n + 1, Counterexample(tuple(taken), world.broken[0])
    return length, None


def _chunks(items: Sequence[bytes], size: int) -> Iterator[Sequence[bytes]]:
    for at in range(0, len(items), size):
        yield items[at : at + size]


class Pool:
    """Workers, each with its own copy of the code under test; one that runs inline where `workers` is 1."""

    def __init__(self, setting: Setting, workers: int, mutant: str = "") -> None:
        self.workers = workers
        self._pool: ProcessPoolExecutor | None = None
        if workers > 1:
            context = multiprocessing.get_context("spawn")
            self._pool = ProcessPoolExecutor(workers, context, _start, (setting, mutant))
        else:
            _start(setting, mutant)
            self._own = _expander

    def map(self, call: Callable[[Any], Any], tasks: Iterable[Any]) -> Iterable[Any]:
        global _expander
        if self._pool is not None:
            return self._pool.map(call, tasks)
        _expander = self._own
        return map(call, tasks)

    def close(self) -> None:
        if self._pool is not None:
            self._pool.shutdown(cancel_futures=True)


class Search:
    """One exhaustive search. `seed` shuffles the order in which nodes are looked at, which may not matter."""

    def __init__(
        self,
        setting: Setting,
        seed: int = 1,
        workers: int | None = None,
        mutant: str = "",
        progress: Callable[[Coverage], None] = lambda _: None,
        checkpoint: Path | None = None,
    ) -> None:
        self.setting, self.mutant, self.progress, self.checkpoint = setting, mutant, progress, checkpoint
        self.rng = random.Random(seed)
        self.seed = seed
        self.coverage = Coverage(setting)
        self.pool = Pool(setting, workers or os.cpu_count() or 1, mutant)
        self.seen: set[Any] = set()
        self.frontier: list[bytes] = [b""]
        self.spent = 0.0
        if checkpoint is not None and checkpoint.exists():
            self._resume(checkpoint)

    def close(self) -> None:
        self.pool.close()

    def run(self, depth: int = 10_000, budget_s: float = 1e9) -> Coverage:
        """Searches until all is seen, a property breaks, or a bound is met."""
        began, coverage = time.monotonic() - self.spent, self.coverage
        while self.frontier and coverage.counterexample is None:
            if coverage.depth >= depth:
                coverage.stopped = f"the depth of {depth} steps"
                break
            if time.monotonic() - began >= budget_s:
                coverage.stopped = f"the budget of {budget_s:g} s"
                break
            whole = self._level(began, budget_s)
            coverage.seconds = self.spent = time.monotonic() - began
            if not whole:
                coverage.stopped = f"the budget of {budget_s:g} s, within level {coverage.depth + 1}"
                break
            self.progress(coverage)
            if self.checkpoint is not None and coverage.counterexample is None:
                self._save(self.checkpoint)
        coverage.complete = not self.frontier and coverage.counterexample is None
        coverage.seconds = time.monotonic() - began
        return coverage

    def _level(self, began: float, budget_s: float) -> bool:
        """One level; False where time ended within it (its states are then not counted)."""
        nodes = list(self.frontier)
        if self.coverage.levels:
            chunks = list(_chunks(nodes, CHUNK))
            self.rng.shuffle(chunks)
        else:
            chunks = [nodes]
        found: list[bytes] = []
        new: set[Any] = set()
        taken = 0
        first: tuple[bytes, Broken] | None = None
        for chunk, (many, states) in zip(chunks, self.pool.map(_expand, chunks), strict=True):
            taken += many
            for mark, place, step, broken in states:
                if broken is not None:
                    path = chunk[place] + step
                    if first is None or path < first[0]:
                        first = path, broken
                elif mark not in self.seen and mark not in new:
                    new.add(mark)
                    found.append(chunk[place] + step)
            if time.monotonic() - began > budget_s and first is None:
                return False
        self.seen |= new
        self.frontier = found
        seconds = time.monotonic() - began
        level = Level(self.coverage.depth + 1, len(new), taken, len(found), seconds)
        self.coverage.levels.append(level)
        if first is not None:
            if self.mutant:
                mutate.apply(self.mutant)
            self.coverage.counterexample = Counterexample(steps_of(self.setting, first[0]), first[1])
        return True

    def walk(self, count: int, length: int, budget_s: float = 1e9) -> Coverage:
        """So many seeded walks of so many steps. Same seed, same walks."""
        began, coverage = time.monotonic(), self.coverage
        tasks = [(self.seed * 1_000_003 + n, length) for n in range(count)]
        batch = max(4 * self.pool.workers, 8)
        for at in range(0, count, batch):
            for walked, found in self.pool.map(_walk, tasks[at : at + batch]):
                coverage.walks += 1
                coverage.walked += walked
                if found is not None and coverage.counterexample is None:
                    coverage.counterexample = found
            coverage.seconds = self.spent + time.monotonic() - began
            self.progress(coverage)
            if coverage.counterexample is not None:
                break
            if time.monotonic() - began > budget_s:
                coverage.stopped = coverage.stopped or f"the budget of {budget_s:g} s for walks"
                break
        return coverage

    # Checkpoints

    def _save(self, path: Path) -> None:
        marks = array("Q", sorted(self.seen)).tobytes()
        kept = _Kept(
            VERSION,
            self.setting,
            self.mutant,
            code_digest(),
            self.frontier,
            marks,
            self.spent,
            [
                (level.depth, level.states, level.taken, level.frontier, level.seconds)
                for level in self.coverage.levels
            ],
        )
        raw = msgspec.msgpack.encode(kept)
        part = path.with_name(path.name + ".part")
        part.write_bytes(xxhash.xxh3_128_digest(raw) + raw)
        part.replace(path)

    def _resume(self, path: Path) -> None:
        raw = path.read_bytes()
        if xxhash.xxh3_128_digest(raw[16:]) != raw[:16]:
            raise CheckpointError(f"{path}: is not whole; remove it and begin anew")
        try:
            kept = msgspec.msgpack.decode(raw[16:], type=_Kept)
        except msgspec.MsgspecError as error:
            raise CheckpointError(f"{path}: {error}; remove it and begin anew") from None
        if (kept.version, kept.setting, kept.mutant) != (VERSION, self.setting, self.mutant):
            raise CheckpointError(f"{path}: is of another run ({kept.setting}); name another file")
        if kept.code != code_digest():
            raise CheckpointError(f"{path}: the code under test has changed since; remove it and begin anew")
        marks = array("Q")
        marks.frombytes(kept.seen)
        self.seen, self.frontier, self.spent = set(marks), kept.frontier, kept.spent
        self.coverage.levels = [Level(*level) for level in kept.levels]


class _Kept(msgspec.Struct, frozen=True):
    version: int
    setting: Setting
    mutant: str
    code: str
    frontier: list[bytes]
    seen: bytes
    spent: float
    levels: list[tuple[int, int, int, int, float]]


def code_digest() -> str:
    """Of the code under test and of the checker: a search is not gone on with on other code."""
    folder = Path(__file__).resolve().parent.parent
    files = [*folder.glob("*.py"), *(folder / "net").glob("*.py"), *(folder / "check").rglob("*.py")]
    files += [folder / "rules" / "checker.py"]
    digest = xxhash.xxh3_128()
    for file in sorted(files):
        digest.update(file.read_bytes())
    return digest.hexdigest()
