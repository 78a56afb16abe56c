"""Predictions with intervals: by theory where it is exact, by the emulator where it is not. Each says
which."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from itertools import pairwise
from typing import Any, TypeAlias

from msgspec.structs import replace

from meadowpulley.capacity.breaks import Break, what_breaks
from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.queues import mmc_response
from meadowpulley.experiment import Cell, LoadSpec, Row, Store, interval, run_cells
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
)  # of the servers' CPU, along which the curve is drawn
REQUESTS = 5000.0  # about as many in a run of the emulator
SHORTEST_S, LONGEST_S = 20.0, 240.0
KNEE = 0.99  # share within aim, of the share at the least load, below which the knee is passed


Span: TypeAlias = tuple[float, float, float]  # mean, low and high


@dataclass(frozen=True, slots=True)
class Prediction:
    """A value with its interval (both ends equal where theory is exact) and what it rests on."""

    name: str
    value: float
    low: float
    high: float
    unit: str
    by: str


@dataclass(frozen=True, slots=True)
class Point:
    """One load on the curve: shares and milliseconds, each as mean, low and high over the seeds."""

    multiple: float
    utilisation: float
    worth: Span
    in_aim: Span
    refused: Span
    served_per_s: Span
    p50_ms: dict[str, Span]
    p99_ms: dict[str, Span]
    theory_mean_ms: float  # of the time at servers; infinity beyond saturation
    gateway_busy: float
    broken: int


@dataclass(frozen=True, slots=True)
class Plan:
    """What a load does to a fleet: its demand, what breaks first, and the curve of latency against load."""

    fleet: str
    demand: Demand
    breaks: tuple[Break, ...]
    points: tuple[Point, ...]
    knee: float  # the highest utilisation on the curve within aim
    predictions: tuple[Prediction, ...]
    seeds: tuple[int, ...]

    def table(self) -> dict[str, Any]:
        """Plain values; what is endless is null, as JSON knows no infinity."""
        found: dict[str, Any] = finite(asdict(self))
        return found


def finite(value: Any) -> Any:
    """The same with null for every figure that is not finite."""
    if isinstance(value, dict):
        return {k: finite(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [finite(v) for v in value]
    return None if isinstance(value, float) and not math.isfinite(value) else value


def length_s(per_s: float, requests: float = REQUESTS) -> float:
    """How long a run takes for about so many requests, within bounds; seconds."""
    return round(min(max(requests / max(per_s, 1e-9), SHORTEST_S), LONGEST_S), 1)


def at_rate(load: LoadSpec, demand: Demand, per_s: float) -> LoadSpec:
    """A stretch of the load at a rate: a file's busiest stretch scaled to it, else the steady profile."""
    seconds = length_s(per_s)
    if load.file:
        seconds = min(seconds, max(demand.seconds - demand.busiest_ms / 1000, demand.window_s))
        multiple = per_s / demand.busy_per_s if demand.busy_per_s else 1.0
        return replace(load, start_ms=demand.busiest_ms, seconds=seconds, multiple=multiple)
    return replace(load, profile="steady", per_s=per_s, seconds=seconds, multiple=1.0)


def spread(rows: Sequence[Row], figure: str) -> Span:
    """Mean, low and high of a figure over seeds."""
    over = interval([row.figures[figure] for row in rows])
    return over.mean, over.low, over.high


def theory_mean(fleet: Fleet, demand: Demand, per_s: float) -> float:
    """Mean time at servers by M/G/c shared evenly, milliseconds, requests spread by what each server can
    do."""
    total = 0.0
    for servers in fleet.servers:
        kind = fleet.kind(servers.kind)
        share = servers.count * kind.cores * kind.speed / fleet.capacity()
        rate = per_s / 1000 * share / servers.count
        total += share * mmc_response(kind.cores, rate, demand.work_ms / kind.speed)
    return total


def _point(fleet: Fleet, demand: Demand, multiple: float, utilisation: float, rows: list[Row]) -> Point:
    names = [c.name for c in fleet.classes]
    return Point(
        multiple=multiple,
        utilisation=utilisation,
        worth=spread(rows, "worth"),
        in_aim=spread(rows, "in_aim"),
        refused=spread(rows, "refused"),
        served_per_s=spread(rows, "served_per_s"),
        p50_ms={name: spread(rows, f"{name}.p50_ms") for name in names},
        p99_ms={name: spread(rows, f"{name}.p99_ms") for name in names},
        theory_mean_ms=theory_mean(fleet, demand, demand.busy_per_s * multiple),
        gateway_busy=spread(rows, "gateway_busy")[0],
        broken=sum(sum(row.broken.values()) for row in rows),
    )


def _at(points: Sequence[Point], multiple: float, of: Callable[[Point], Span]) -> Span:
    """A figure at a multiple, between the two points around it (linear); the nearest point's beyond them."""
    if multiple <= points[0].multiple:
        return of(points[0])
    for a, b in pairwise(points):
        if multiple <= b.multiple:
            x = (multiple - a.multiple) / (b.multiple - a.multiple)
            u, v = of(a), of(b)
            return u[0] + x * (v[0] - u[0]), u[1] + x * (v[1] - u[1]), u[2] + x * (v[2] - u[2])
    return of(points[-1])


def _told(name: str, span: Span, unit: str, by: str) -> Prediction:
    return Prediction(name, *span, unit, by)


def _predictions(fleet: Fleet, demand: Demand, points: tuple[Point, ...], seeds: int) -> list[Prediction]:
    by = f"emulator, {seeds} seeds"
    top = 1000 * fleet.capacity() / demand.work_ms if demand.work_ms else 0.0
    law, use = "theory: utilisation law", demand.busy_utilisation

    def now(of: Callable[[Point], Span]) -> Span:
        return _at(points, 1.0, of)

    found = [
        _told("utilisation of servers", (use, use, use), "share", law),
        _told("throughput at saturation", (top, top, top), "1/s", law),
        _told("most served in the emulator", max(p.served_per_s for p in points), "1/s", by),
        _told("worth kept", now(lambda p: p.worth), "share", by),
        _told("within aim", now(lambda p: p.in_aim), "share", by),
        _told("refused", now(lambda p: p.refused), "share", by),
    ]
    for c in fleet.classes:
        found.append(_told(f"{c.name} p50", now(lambda p, n=c.name: p.p50_ms[n]), "ms", by))  # type: ignore[misc]
        found.append(_told(f"{c.name} p99", now(lambda p, n=c.name: p.p99_ms[n]), "ms", by))  # type: ignore[misc]
    return found


def make_plan(
    fleet: Fleet,
    load: LoadSpec,
    demand: Demand,
    seeds: Sequence[int],
    workers: int | None = None,
    store: Store | None = None,
    progress: Callable[[int, int], None] = lambda done, of: None,
    utilisations: Sequence[float] = UTILISATIONS,
) -> Plan:
    """The plan of a load, at its busy rate, on a fleet. A load of no requests breaks nothing."""
    breaks = tuple(what_breaks(fleet, demand))
    if not demand.count or not demand.busy_utilisation:
        return Plan(fleet.name, demand, breaks, (), 1.0, (), tuple(seeds))
    multiples = sorted({*(u / demand.busy_utilisation for u in utilisations), 1.0})
    cells = [
        Cell(f"{m:.4f}", fleet, at_rate(load, demand, demand.busy_per_s * m), seed)
        for m in multiples
        for seed in seeds
    ]
    rows = run_cells(cells, store, workers, progress=progress)
    points = tuple(
        _point(fleet, demand, m, m * demand.busy_utilisation, rows[n * len(seeds) : (n + 1) * len(seeds)])
        for n, m in enumerate(multiples)
    )
    good = KNEE * points[0].in_aim[0]
    knee = 0.0
    for point in points:
        if point.in_aim[0] < good:
            break
        knee = point.utilisation
    predictions = tuple(_predictions(fleet, demand, points, len(seeds)))
    return Plan(fleet.name, demand, breaks, points, knee, predictions, tuple(seeds))
