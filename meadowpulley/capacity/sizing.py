"""Number of servers that a goal needs: bounded by theory, found by the emulator."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.predict import estimate, load_at_rate
from meadowpulley.emulator import Build, Release, Scenario
from meadowpulley.experiment import Cell, LoadSpec, ResultStore, RunResult, run_cells
from meadowpulley.fleet import Fleet, ServerGroup

STAGE_AT_MS = 2000.0
IDLE_UTILISATION = 0.05  # utilisation at which servers count as idle
MAX_SERVERS = 4000
GATEWAY_SATURATED = 0.9


@dataclass(frozen=True, slots=True)
class Goal:
    """Share of priority weight that each class must keep at the busy rate; `rollout`: during a rollout."""

    served_weight_share: float = 0.99
    rollout: bool = True


@dataclass(frozen=True, slots=True)
class SizingStep:
    """One number of servers that was evaluated, with the share of the worst class."""

    servers: int
    worst_class: str
    served_weight_share: tuple[float, float, float]
    meets: bool


@dataclass(frozen=True, slots=True)
class SizingResult:
    """Servers of a kind at a site that meet the goal beside all others; None where no number does.

    `minimum` is the number below which the work exceeds the capacity (theory).
    """

    goal: Goal
    site: str
    kind: str
    current: int
    servers: int | None
    minimum: int
    steps: tuple[SizingStep, ...]
    reason: str


def with_server_count(fleet: Fleet, site: str, kind: str, count: int) -> Fleet:
    """Return the fleet with so many servers of a kind at a site."""
    others = [s for s in fleet.servers if (s.site, s.kind) != (site, kind)]
    group = [ServerGroup(site=site, kind=kind, count=count)] if count else []
    return replace(fleet, servers=(*others, *group))


def _minimum_servers(fleet: Fleet, demand: Demand, site: str, kind: str) -> int:
    others = with_server_count(fleet, site, kind, 0).capacity()
    machine = fleet.kind(kind)
    missing = demand.busy_per_s / 1000 * demand.work_ms - others
    minimum = 0 if any((s.site, s.kind) != (site, kind) for s in fleet.servers) else 1
    return max(math.ceil(missing / (machine.cores * machine.speed)), minimum)


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
        store: ResultStore | None,
        progress: Callable[[str], None],
    ) -> None:
        self.fleet = fleet
        self.load = load
        self.demand = demand
        self.goal = goal
        self.site = site
        self.kind = kind
        self.seeds = seeds
        self.workers = workers
        self.store = store
        self.progress = progress
        self.steps: dict[int, SizingStep] = {}
        self.rows: dict[int, list[RunResult]] = {}

    def evaluate(self, count: int) -> SizingStep:
        """Return the step for a server count, emulated once per seed and then cached."""
        if count in self.steps:
            return self.steps[count]
        scenario = Scenario()
        if self.goal.rollout:
            scenario = Scenario(releases=(Release(STAGE_AT_MS, Build(number=2)),))
        fleet = with_server_count(self.fleet, self.site, self.kind, count)
        load = load_at_rate(self.load, self.demand, self.demand.busy_per_s)
        cells = [Cell(f"{count}", fleet, load, seed, scenario) for seed in self.seeds]
        rows = self.rows[count] = run_cells(cells, self.store, self.workers)
        by_class = [(estimate(rows, f"{c.name}.worth"), c.name) for c in self.fleet.classes]
        served_weight_share, name = min(by_class, key=lambda pair: pair[0][0])
        step = self.steps[count] = SizingStep(
            count, name, served_weight_share, served_weight_share[0] >= self.goal.served_weight_share
        )
        self.progress(f"{count} servers: {name} keeps {100 * served_weight_share[0]:.2f}% of its worth")
        return step


def size_fleet(
    fleet: Fleet,
    load: LoadSpec,
    demand: Demand,
    goal: Goal,
    site: str,
    kind: str,
    seeds: Sequence[int],
    workers: int | None = None,
    store: ResultStore | None = None,
    progress: Callable[[str], None] = lambda text: None,
) -> SizingResult:
    """Find the least number of servers with which every class meets the goal, in the mean over the seeds."""
    search = _Search(fleet, load, demand, goal, site, kind, seeds, workers, store, progress)
    current = sum(s.count for s in fleet.servers if (s.site, s.kind) == (site, kind))
    minimum = _minimum_servers(fleet, demand, site, kind)

    def result(servers: int | None, reason: str) -> SizingResult:
        """Return the result for a number of servers, with the steps that the search took."""
        steps = tuple(search.steps[n] for n in sorted(search.steps))
        return SizingResult(goal, site, kind, current, servers, minimum, steps, reason)

    if not demand.count:
        return result(minimum, "no load: nothing is needed beyond a server to be there")
    machine = fleet.kind(kind)
    work = demand.busy_per_s / 1000 * demand.work_ms
    idle = max(minimum, math.ceil(work / IDLE_UTILISATION / (machine.cores * machine.speed)))
    if idle > MAX_SERVERS:
        return result(None, f"idle servers would be {idle}, more than {MAX_SERVERS}: split the load first")
    if not search.evaluate(idle).meets:
        return result(None, _explain_unreachable(search, idle))
    high = max(minimum, 1)
    while high < idle and not search.evaluate(high).meets:
        high = min(high * 2, idle)
    low = max((n for n in search.steps if not search.steps[n].meets), default=minimum - 1)
    while high - low > 1:
        middle = (low + high) // 2
        low, high = (low, middle) if search.evaluate(middle).meets else (middle, high)
    if high == minimum:
        return result(high, "fewer can't do the work at all (utilisation law)")
    return result(high, "with one fewer the goal was missed in the emulator")


def _explain_unreachable(search: _Search, idle: int) -> str:
    step = search.steps[idle]
    rows = search.rows[idle]
    figures = {name: estimate(rows, name)[0] for name in ("gateway_busy", "refused", "failed")}
    share = 100 * step.served_weight_share[0]
    summary = f"with {idle} servers, as good as idle, {step.worst_class} keeps {share:.2f}%"
    if figures["gateway_busy"] >= GATEWAY_SATURATED:
        return (
            f"{summary}: the gateways' CPU is the limit, {100 * figures['gateway_busy']:.0f}% busy; add some"
        )
    if figures["failed"] + figures["refused"] > 1 - search.goal.served_weight_share:
        lost = 100 * (figures["failed"] + figures["refused"])
        return f"{summary}: {lost:.2f}% are refused or fail whatever the number of servers"
    request_class = next(c for c in search.fleet.classes if c.name == step.worst_class)
    cause = f"its work alone takes longer than its aim of {request_class.latency_objective_ms:g} ms too often"
    return f"{summary}: {cause}; faster cores or a longer aim"
