"""How many servers a goal needs: bounded by theory, found by the emulator, or said why no number meets it."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.predict import at_rate, spread
from meadowpulley.emulator import Build, Release, Scenario
from meadowpulley.experiment import Cell, LoadSpec, Row, Store, run_cells
from meadowpulley.fleet import Fleet, Servers

STAGE_AT_MS = 2000.0
IDLE = 0.05  # utilisation at which servers are as good as idle
MOST_SERVERS = 4000
GATEWAY_FULL = 0.9


@dataclass(frozen=True, slots=True)
class Goal:
    """Share of worth that each class must keep, at the load's busy rate; `rollout`: while a good build is on
    its way through the stages."""

    worth: float = 0.99
    rollout: bool = True


@dataclass(frozen=True, slots=True)
class Step:
    """One number of servers that was tried, with the least class's share of worth (mean, low, high)."""

    servers: int
    worst_class: str
    worth: tuple[float, float, float]
    meets: bool


@dataclass(frozen=True, slots=True)
class Needs:
    """`servers` of `kind` at `site`, beside all others as they are; None where no number of them meets the
    goal, for the reason in `why`. `floor`: fewer can't do the work at all (theory)."""

    goal: Goal
    site: str
    kind: str
    now: int
    servers: int | None
    floor: int
    steps: tuple[Step, ...]
    why: str


def sized(fleet: Fleet, site: str, kind: str, count: int) -> Fleet:
    """The fleet with so many servers of a kind at a site, all others unchanged."""
    others = [s for s in fleet.servers if (s.site, s.kind) != (site, kind)]
    group = [Servers(site=site, kind=kind, count=count)] if count else []
    return replace(fleet, servers=(*others, *group))


def _floor(fleet: Fleet, demand: Demand, site: str, kind: str) -> int:
    others = sized(fleet, site, kind, 0).capacity()
    k = fleet.kind(kind)
    lacking = demand.busy_per_s / 1000 * demand.work_ms - others
    least = 0 if any((s.site, s.kind) != (site, kind) for s in fleet.servers) else 1
    return max(math.ceil(lacking / (k.cores * k.speed)), least)


class _Search:
    def __init__(
        self,
        fleet: Fleet,
        load: LoadSpec,
        demand: Demand,
        goal: Goal,
        site: str,
        kind: str,
        seeds: Sequence[int],
        workers: int | None,
        store: Store | None,
        progress: Callable[[str], None],
    ) -> None:
        self.fleet, self.load, self.demand, self.goal = fleet, load, demand, goal
        self.site, self.kind, self.seeds = site, kind, seeds
        self.workers, self.store, self.progress = workers, store, progress
        self.steps: dict[int, Step] = {}
        self.rows: dict[int, list[Row]] = {}

    def try_(self, count: int) -> Step:
        if count in self.steps:
            return self.steps[count]
        scenario = Scenario()
        if self.goal.rollout:
            scenario = Scenario(releases=(Release(STAGE_AT_MS, Build(number=2)),))
        fleet = sized(self.fleet, self.site, self.kind, count)
        load = at_rate(self.load, self.demand, self.demand.busy_per_s)
        cells = [Cell(f"{count}", fleet, load, seed, scenario) for seed in self.seeds]
        rows = self.rows[count] = run_cells(cells, self.store, self.workers)
        by_class = [(spread(rows, f"{c.name}.worth"), c.name) for c in self.fleet.classes]
        worth, name = min(by_class, key=lambda pair: pair[0][0])
        step = self.steps[count] = Step(count, name, worth, worth[0] >= self.goal.worth)
        self.progress(f"{count} servers: {name} keeps {100 * worth[0]:.2f}% of its worth")
        return step


def how_many(
    fleet: Fleet,
    load: LoadSpec,
    demand: Demand,
    goal: Goal,
    site: str,
    kind: str,
    seeds: Sequence[int],
    workers: int | None = None,
    store: Store | None = None,
    progress: Callable[[str], None] = lambda text: None,
) -> Needs:
    """The least number of servers of a kind at a site with which every class meets the goal, the mean over
    the seeds deciding. A goal that idle servers miss is told apart by its cause."""
    search = _Search(fleet, load, demand, goal, site, kind, seeds, workers, store, progress)
    now = sum(s.count for s in fleet.servers if (s.site, s.kind) == (site, kind))
    floor = _floor(fleet, demand, site, kind)

    def found(servers: int | None, why: str) -> Needs:
        steps = tuple(search.steps[n] for n in sorted(search.steps))
        return Needs(goal, site, kind, now, servers, floor, steps, why)

    if not demand.count:
        return found(floor, "no load: nothing is needed beyond a server to be there")
    k = fleet.kind(kind)
    work = demand.busy_per_s / 1000 * demand.work_ms
    idle = max(floor, math.ceil(work / IDLE / (k.cores * k.speed)))
    if idle > MOST_SERVERS:
        return found(None, f"idle servers would be {idle}, more than {MOST_SERVERS}: split the load first")
    if not search.try_(idle).meets:
        return found(None, _why_not(search, idle))
    high = max(floor, 1)
    while high < idle and not search.try_(high).meets:
        high = min(high * 2, idle)
    low = max((n for n in search.steps if not search.steps[n].meets), default=floor - 1)
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if search.try_(middle).meets else (middle, high)
    if high == floor:
        return found(high, "fewer can't do the work at all (utilisation law)")
    return found(high, "with one fewer the goal was missed in the emulator")


def _why_not(search: _Search, idle: int) -> str:
    step, rows = search.steps[idle], search.rows[idle]
    figures = {name: spread(rows, name)[0] for name in ("gateway_busy", "refused", "failed")}
    kept = f"with {idle} servers, as good as idle, {step.worst_class} keeps {100 * step.worth[0]:.2f}%"
    if figures["gateway_busy"] >= GATEWAY_FULL:
        return f"{kept}: the gateways' CPU is the limit, {100 * figures['gateway_busy']:.0f}% busy; add some"
    if figures["failed"] + figures["refused"] > 1 - search.goal.worth:
        lost = 100 * (figures["failed"] + figures["refused"])
        return f"{kept}: {lost:.2f}% are refused or fail whatever the number of servers"
    c = next(c for c in search.fleet.classes if c.name == step.worst_class)
    why = f"its work alone takes longer than its aim of {c.aim_ms:g} ms too often"
    return f"{kept}: {why}; faster cores or a longer aim"
