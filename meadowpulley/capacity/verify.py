"""Predictions beside measurements: the cases, and how far predicted and measured figures differ.

The prediction comes first, from the emulator, on the arrivals that are then played over loopback. Both use
the same fleet, scaled to what one machine can carry. Nothing is fitted to the measurements.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Literal

from msgspec.structs import replace

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.predict import estimate, load_at_rate
from meadowpulley.emulator import Build, Fault, Release, Scenario
from meadowpulley.experiment import Cell, LoadSpec, ResultStore, RunResult, run_cells
from meadowpulley.fleet import Fleet

CaseKind = Literal["below", "beyond", "spike", "site", "cold"]
MAX_ERROR = 0.15
MIN_SHARE = 0.05  # smaller predicted shares are compared as if they were this large
# utilisations of the cases; below the knee the load's own where it is less
BELOW_KNEE = 0.6
BEYOND_KNEE = 1.3
SPIKE_SHAPE = (0.125, 6.0)  # share of requests, and cost factor
MAX_REQUESTS_PER_S = 420.0  # requests per second that the test bed carries on one machine with a margin
WARM_UP_MS = 3000.0
LOOPBACK_MS = 0.05  # one way, negligible


@dataclass(frozen=True, slots=True)
class Case:
    """One run and the figures that are compared."""

    name: str
    fleet: Fleet
    load: LoadSpec
    scenario: Scenario
    figures: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Comparison:
    """One figure of one case, predicted and measured."""

    case: str
    figure: str
    predicted: float
    low: float
    high: float
    by: str
    measured: float

    @property
    def error(self) -> float:
        """Difference as a share of the predicted value."""
        share = self.figure.rpartition(".")[2] in ("worth", "in_aim", "refused", "failed", "busy")
        base = max(self.predicted, MIN_SHARE) if share else self.predicted
        return abs(self.measured - self.predicted) / base if base else math.inf


@dataclass(slots=True)
class Verdict:
    """All comparisons. With any `limiting_factors` the test bed was the limit, and there is no verdict."""

    comparisons: list[Comparison] = field(default_factory=list)
    limiting_factors: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)  # violations of the rules on sockets

    @property
    def worst(self) -> float:
        """Largest error."""
        return max((c.error for c in self.comparisons), default=0.0)

    @property
    def holds(self) -> bool:
        """Whether all errors are within `MAX_ERROR` and no rule was violated."""
        return not self.limiting_factors and not self.violations and self.worst <= MAX_ERROR


def scaled_fleet(fleet: Fleet, demand: Demand, most_per_s: float = MAX_REQUESTS_PER_S) -> tuple[Fleet, float]:
    """Return the fleet as one machine carries it, and its share of the described size."""
    work = demand.work_ms or fleet.mean_work_ms()
    max_per_s = BEYOND_KNEE * fleet.capacity() * 1000 / work
    part = min(most_per_s / max_per_s, 1.0)
    loopback_network = replace(
        fleet.network, same_site_ms=LOOPBACK_MS, cross_site_ms=LOOPBACK_MS, client_ms=0.0, jitter=0.0
    )
    if part == 1.0:
        return replace(fleet, network=loopback_network), 1.0
    servers = tuple(replace(s, count=max(round(s.count * part), 1)) for s in fleet.servers)
    gateways = tuple(replace(g, count=max(round(g.count * part), 1)) for g in fleet.gateways)
    smaller = replace(fleet, servers=servers, gateways=gateways, network=loopback_network)
    return smaller, smaller.capacity() / fleet.capacity()


def make_cases(
    fleet: Fleet, load: LoadSpec, demand: Demand, seconds: float, kinds: Sequence[CaseKind]
) -> list[Case]:
    """Return the cases to play on a fleet."""
    work = demand.work_ms or fleet.mean_work_ms()
    top = fleet.capacity() * 1000 / work
    below = min(demand.busy_utilisation or BELOW_KNEE, BELOW_KNEE)
    names = [c.name for c in fleet.classes]
    latency = tuple(f"{n}.{q}" for n in names for q in ("p50_ms", "p99_ms"))

    def at(utilisation: float, **more: Any) -> LoadSpec:
        """Return the load scaled to a utilisation, as a fraction of the fleet's capacity."""
        return replace(load_at_rate(load, demand, utilisation * top), seconds=seconds, **more)

    middle = seconds * 1000 / 3
    third = seconds * 1000 / 3
    big = max(fleet.sites, key=lambda s: sum(g.count for g in fleet.servers if g.site == s.name)).name
    found = []
    for kind in kinds:
        if kind == "below":
            figures = ("worth", "in_aim", "busy", *latency)
            found.append(Case("below the knee", fleet, at(below), Scenario(), figures))
        elif kind == "beyond":
            figures = ("served_per_s", "refused", "worth", "busy")
            found.append(Case("beyond the knee", fleet, at(BEYOND_KNEE), Scenario(), figures))
        elif kind == "spike":
            share, cost = SPIKE_SHAPE
            spiked = at(
                below, costly_share=share, cost_factor=cost, costly_from_ms=middle, costly_duration_ms=third
            )
            found.append(
                Case("spike", fleet, spiked, Scenario(), ("worth", "in_aim", "busy", "served_per_s"))
            )
        elif kind == "site":
            crash = Scenario(faults=(Fault("crash", middle, third, site=big),))
            found.append(
                Case(f"{big} lost", fleet, at(below), crash, ("worth", "in_aim", "busy", "served_per_s"))
            )
        else:
            build = Scenario(releases=(Release(500.0, Build(number=2)),))
            figures = ("worth", "in_aim", "busy", *(n for n in latency if n.endswith("p50_ms")))
            found.append(Case("cold starts", fleet, at(below), build, figures))
    return found


def predict_cases(
    cases: Sequence[Case], seed: int, seeds: int, workers: int | None, store: ResultStore | None = None
) -> list[list[RunResult]]:
    """Emulate each case on the arrivals of `seed`, with several seeds for all else."""
    cells = [
        Cell(c.name, c.fleet, c.load, 1000 + n, c.scenario, from_ms=WARM_UP_MS, load_seed=seed)
        for c in cases
        for n in range(seeds)
    ]
    rows = run_cells(cells, store, workers)
    return [rows[n * seeds : (n + 1) * seeds] for n in range(len(cases))]


def prediction_table(cases: Sequence[Case], rows: Sequence[Sequence[RunResult]]) -> list[dict[str, Any]]:
    """Return the predictions as they are stored before the measurement."""
    found = []
    for case, mine in zip(cases, rows, strict=True):
        for figure in case.figures:
            mean, low, high = estimate(mine, figure)
            by = f"emulator, {len(mine)} seeds"
            found.append(
                {"case": case.name, "figure": figure, "value": mean, "low": low, "high": high, "by": by}
            )
    return found


def compare(table: Sequence[dict[str, Any]], case: str, measured: dict[str, float]) -> list[Comparison]:
    """Return the comparisons of one case."""
    return [
        Comparison(case, p["figure"], p["value"], p["low"], p["high"], p["by"], measured[p["figure"]])
        for p in table
        if p["case"] == case
    ]
