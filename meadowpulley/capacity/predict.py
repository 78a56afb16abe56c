"""Predictions with intervals: by theory where it is exact, else by the emulator."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from itertools import pairwise
from typing import Any, Literal, TypeAlias

from msgspec import Struct, field, to_builtins
from msgspec.structs import replace

from meadowpulley.capacity.bottlenecks import Bottleneck, find_bottlenecks
from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.queues import mmc_response
from meadowpulley.experiment import Cell, LoadSpec, ResultStore, RunResult, confidence_interval, run_cells
from meadowpulley.fleet import Fleet

UTILISATIONS = (
    0.2,
    0.4,
    0.55,
    0.7,
    0.8,
    0.9,
    1.0,
    1.2,
)  # points of the curve, of the servers' CPU
REQUESTS = 5000.0  # approximate requests in one emulated run
SHORTEST_S = 20.0
LONGEST_S = 240.0
KNEE = 0.99  # share within the objective, relative to the least load, that defines the knee


Estimate: TypeAlias = tuple[float, float, float]  # mean, low and high


@dataclass(frozen=True, slots=True)
class Prediction:
    """A value with its interval and its basis; both ends are equal where theory is exact."""

    name: str
    value: float
    low: float
    high: float
    unit: str
    by: str


class CurvePoint(Struct, frozen=True):
    """One load on the curve of latency against load; estimates over the seeds."""

    multiple: float
    utilisation: float
    served_weight_share: Estimate = field(name="worth")
    within_objective: Estimate = field(name="in_aim")
    rejected: Estimate = field(name="refused")
    served_per_s: Estimate
    p50_ms: dict[str, Estimate]
    p99_ms: dict[str, Estimate]
    theory_mean_ms: float  # mean time at servers; infinity beyond saturation
    gateway_busy: float
    violation_count: int = field(name="broken")


class CapacityPlan(Struct, frozen=True):
    """What a load does to a fleet: demand, bottlenecks, and the curve of latency against load."""

    fleet: str
    demand: Demand
    bottlenecks: tuple[Bottleneck, ...] = field(name="breaks")
    points: tuple[CurvePoint, ...]
    knee: float  # highest utilisation on the curve before the knee
    predictions: tuple[Prediction, ...]
    seeds: tuple[int, ...]

    def table(self) -> dict[str, Any]:
        """Return plain values, with null for infinities."""
        found: dict[str, Any] = without_infinities(to_builtins(self))
        return found


def without_infinities(value: Any) -> Any:
    """Return the value with null in place of each number that is not finite."""
    if isinstance(value, dict):
        return {k: without_infinities(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [without_infinities(v) for v in value]
    return None if isinstance(value, float) and not math.isfinite(value) else value


def run_length_s(per_s: float, requests: float = REQUESTS) -> float:
    """Return the seconds that a run needs for about so many requests, within bounds."""
    return round(min(max(requests / max(per_s, 1e-9), SHORTEST_S), LONGEST_S), 1)


def load_at_rate(load: LoadSpec, demand: Demand, per_s: float) -> LoadSpec:
    """Return a stretch of the load at a rate: a file's busiest stretch scaled, else the steady profile."""
    seconds = run_length_s(per_s)
    if load.file:
        seconds = min(seconds, max(demand.seconds - demand.busiest_ms / 1000, demand.window_s))
        multiple = per_s / demand.busy_per_s if demand.busy_per_s else 1.0
        return replace(load, start_ms=demand.busiest_ms, seconds=seconds, multiple=multiple)
    return replace(load, profile="steady", per_s=per_s, seconds=seconds, multiple=1.0)


def estimate(rows: Sequence[RunResult], figure: str) -> Estimate:
    """Return mean, low and high of a figure over seeds."""
    over = confidence_interval([row.figures[figure] for row in rows])
    return over.mean, over.low, over.high


def theory_mean(fleet: Fleet, demand: Demand, per_s: float) -> float:
    """Return the mean time at servers in milliseconds by M/G/c with shared processors."""
    total = 0.0
    for servers in fleet.servers:
        kind = fleet.kind(servers.kind)
        share = servers.count * kind.cores * kind.speed / fleet.capacity()
        rate = per_s / 1000 * share / servers.count
        total += share * mmc_response(kind.cores, rate, demand.work_ms / kind.speed)
    return total


def _point(
    fleet: Fleet, demand: Demand, multiple: float, utilisation: float, rows: list[RunResult]
) -> CurvePoint:
    names = [c.name for c in fleet.classes]
    return CurvePoint(
        multiple=multiple,
        utilisation=utilisation,
        served_weight_share=estimate(rows, "worth"),
        within_objective=estimate(rows, "in_aim"),
        rejected=estimate(rows, "refused"),
        served_per_s=estimate(rows, "served_per_s"),
        p50_ms={name: estimate(rows, f"{name}.p50_ms") for name in names},
        p99_ms={name: estimate(rows, f"{name}.p99_ms") for name in names},
        theory_mean_ms=theory_mean(fleet, demand, demand.busy_per_s * multiple),
        gateway_busy=estimate(rows, "gateway_busy")[0],
        violation_count=sum(sum(row.violation_counts.values()) for row in rows),
    )


def _interpolate(
    points: Sequence[CurvePoint], multiple: float, of: Callable[[CurvePoint], Estimate]
) -> Estimate:
    """A figure at a multiple, between the two points around it (linear); the nearest point's beyond them."""
    if multiple <= points[0].multiple:
        return of(points[0])
    for lower, upper in pairwise(points):
        if multiple <= upper.multiple:
            fraction = (multiple - lower.multiple) / (upper.multiple - lower.multiple)
            low_estimate = of(lower)
            high_estimate = of(upper)
            return (
                low_estimate[0] + fraction * (high_estimate[0] - low_estimate[0]),
                low_estimate[1] + fraction * (high_estimate[1] - low_estimate[1]),
                low_estimate[2] + fraction * (high_estimate[2] - low_estimate[2]),
            )
    return of(points[-1])


def _prediction(name: str, span: Estimate, unit: str, by: str) -> Prediction:
    return Prediction(name, *span, unit, by)


def _predictions(
    fleet: Fleet, demand: Demand, points: tuple[CurvePoint, ...], seeds: int
) -> list[Prediction]:
    by = f"emulator, {seeds} seeds"
    law = "theory: utilisation law"
    saturation_per_s = 1000 * fleet.capacity() / demand.work_ms if demand.work_ms else 0.0
    utilisation = demand.busy_utilisation
    at_current_load = partial(_interpolate, points, 1.0)
    predictions = [
        Prediction("utilisation of servers", utilisation, utilisation, utilisation, "share", law),
        Prediction(
            "throughput at saturation", saturation_per_s, saturation_per_s, saturation_per_s, "1/s", law
        ),
        _prediction("most served in the emulator", max(p.served_per_s for p in points), "1/s", by),
        _prediction("worth kept", at_current_load(lambda p: p.served_weight_share), "share", by),
        _prediction("within aim", at_current_load(lambda p: p.within_objective), "share", by),
        _prediction("refused", at_current_load(lambda p: p.rejected), "share", by),
    ]
    for request_class in fleet.classes:
        name = request_class.name
        p50_ms = at_current_load(partial(_latency_of, name, "p50_ms"))
        p99_ms = at_current_load(partial(_latency_of, name, "p99_ms"))
        predictions.append(_prediction(f"{name} p50", p50_ms, "ms", by))
        predictions.append(_prediction(f"{name} p99", p99_ms, "ms", by))
    return predictions


def _latency_of(class_name: str, percentile: Literal["p50_ms", "p99_ms"], point: CurvePoint) -> Estimate:
    latencies = point.p50_ms if percentile == "p50_ms" else point.p99_ms
    return latencies[class_name]


def make_plan(
    fleet: Fleet,
    load: LoadSpec,
    demand: Demand,
    seeds: Sequence[int],
    workers: int | None = None,
    store: ResultStore | None = None,
    progress: Callable[[int, int], None] = lambda done, of: None,
    utilisations: Sequence[float] = UTILISATIONS,
) -> CapacityPlan:
    """Plan the capacity of a fleet for a load at its busy rate."""
    bottlenecks = tuple(find_bottlenecks(fleet, demand))
    if not demand.count or not demand.busy_utilisation:
        return CapacityPlan(fleet.name, demand, bottlenecks, (), 1.0, (), tuple(seeds))
    multiples = sorted({*(u / demand.busy_utilisation for u in utilisations), 1.0})
    cells = [
        Cell(f"{m:.4f}", fleet, load_at_rate(load, demand, demand.busy_per_s * m), seed)
        for m in multiples
        for seed in seeds
    ]
    rows = run_cells(cells, store, workers, progress=progress)
    points = tuple(
        _point(fleet, demand, m, m * demand.busy_utilisation, rows[n * len(seeds) : (n + 1) * len(seeds)])
        for n, m in enumerate(multiples)
    )
    threshold = KNEE * points[0].within_objective[0]
    knee = 0.0
    for point in points:
        if point.within_objective[0] < threshold:
            break
        knee = point.utilisation
    predictions = tuple(_predictions(fleet, demand, points, len(seeds)))
    return CapacityPlan(fleet.name, demand, bottlenecks, points, knee, predictions, tuple(seeds))
