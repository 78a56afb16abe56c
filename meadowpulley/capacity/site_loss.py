"""Loss and return of one site: load that spills over, saturation, rejections and extra servers."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.predict import estimate, load_at_rate
from meadowpulley.emulator import Fault, Scenario
from meadowpulley.experiment import Cell, LoadSpec, ResultStore, RunResult, run_cells
from meadowpulley.fleet import Fleet

BEFORE_S = 10.0
AWAY_S = 20.0
AFTER_S = 15.0
SETTLED_S = 6.0  # time after the loss until all gateways know of it
MAX_UTILISATION = 0.85  # utilisation up to which the other sites count as able to carry the load


@dataclass(frozen=True, slots=True)
class SiteLoss:
    """Result of losing a site. Shares are from 0 to 1; triples are mean, low and high over the seeds.

    `capacity_share` is the site's share of the capacity; `spilled` is what the other sites get more, as a
    share of all attempts before; `remaining_utilisation` is theirs then, and `rejected_theory` what exceeds
    it. `extra_servers` of each kind would carry the load.
    """

    site: str
    capacity_share: float
    spilled: tuple[float, float, float]
    remaining_utilisation: float
    rejected_theory: float
    saturates: bool
    weight_before: tuple[float, float, float]
    weight_away: tuple[float, float, float]
    weight_settled: tuple[float, float, float]
    weight_after: tuple[float, float, float]
    rejected_away: tuple[float, float, float]
    extra_servers: dict[str, int]
    overloaded_servers: int
    timeline: tuple[
        tuple[float, ...], ...
    ]  # by second: calls, within objective, late, rejected, failed, served weight share


def capacity_without(fleet: Fleet, site: str) -> float:
    """Return the standard cores of the other sites' servers."""
    others = [s for s in fleet.servers if s.site != site]
    return sum(s.count * fleet.kind(s.kind).cores * fleet.kind(s.kind).speed for s in others)


def extra_servers(fleet: Fleet, work: float, remaining: float) -> dict[str, int]:
    """Return, for each kind alone, how many more servers keep the utilisation at `MAX_UTILISATION`."""
    missing = work / MAX_UTILISATION - remaining
    kinds = {s.kind for s in fleet.servers}
    return {k.name: max(math.ceil(missing / (k.cores * k.speed)), 0) for k in fleet.kinds if k.name in kinds}


def mean_over(
    rows: Sequence[RunResult], first: float, last: float, column: int
) -> tuple[float, float, float]:
    """Return a column's share of the calls over a span of seconds, weighted by calls."""
    shares = []
    for row in rows:
        span = row.seconds[int(first) : int(last)]
        calls = sum(s[0] for s in span)
        value = sum(s[0] * s[5] if column == 5 else s[column] for s in span)
        shares.append(value / calls if calls else 1.0)
    figures = [replace(row, figures={"x": x}) for row, x in zip(rows, shares, strict=True)]
    return estimate(figures, "x")


def spilled_share(rows: Sequence[RunResult], site: int) -> tuple[float, float, float]:
    """Return the increase of attempts at the other sites, as a share of all attempts before."""

    def per_s(row: RunResult, first: float, last: float) -> list[float]:
        """Return each site's attempts per second between two times, in seconds."""
        span = [s for s in row.attempts_by_site[int(first) : int(last)] if s]
        sites = len(span[0]) if span else site + 1
        return [sum(s[n] for s in span) / (last - first) for n in range(sites)]

    found = []
    for row in rows:
        before = per_s(row, 2, BEFORE_S)
        away = per_s(row, BEFORE_S + SETTLED_S, BEFORE_S + AWAY_S)
        increase = sum(away) - away[site] - (sum(before) - before[site])
        found.append(replace(row, figures={"x": increase / sum(before) if sum(before) else math.nan}))
    return estimate(found, "x")


def predict_site_loss(
    fleet: Fleet,
    load: LoadSpec,
    demand: Demand,
    site: str,
    seeds: Sequence[int],
    workers: int | None = None,
    store: ResultStore | None = None,
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> SiteLoss:
    """Predict the loss of a complete site without notice, and its return with servers in slow start."""
    remaining = capacity_without(fleet, site)
    work = demand.busy_per_s / 1000 * demand.work_ms
    share = 1 - remaining / fleet.capacity()
    remaining_utilisation = work / remaining if remaining else math.inf
    faults = [Fault("vanish", BEFORE_S * 1000, AWAY_S * 1000, site=site)]
    if any(g.site == site for g in fleet.gateways) and len({g.site for g in fleet.gateways}) > 1:
        faults.append(Fault("gateway_crash", BEFORE_S * 1000, AWAY_S * 1000, site=site))
    stretch = replace(load_at_rate(load, demand, demand.busy_per_s), seconds=BEFORE_S + AWAY_S + AFTER_S)
    cells = [Cell(f"lose {site}", fleet, stretch, seed, Scenario(faults=tuple(faults))) for seed in seeds]
    rows = run_cells(cells, store, workers, timeline=True, progress=progress)
    back = BEFORE_S + AWAY_S
    return SiteLoss(
        site=site,
        capacity_share=share,
        spilled=spilled_share(rows, [s.name for s in fleet.sites].index(site)),
        remaining_utilisation=remaining_utilisation,
        rejected_theory=max(1 - 1 / remaining_utilisation, 0.0) if remaining_utilisation else 0.0,
        saturates=remaining_utilisation >= 1.0,
        weight_before=mean_over(rows, 2, BEFORE_S, 5),
        weight_away=mean_over(rows, BEFORE_S, back, 5),
        weight_settled=mean_over(rows, BEFORE_S + SETTLED_S, back, 5),
        weight_after=mean_over(rows, back, back + AFTER_S, 5),
        rejected_away=mean_over(rows, BEFORE_S, back, 3),
        extra_servers=extra_servers(fleet, work, remaining),
        overloaded_servers=sum(row.violation_counts.get("cold", 0) for row in rows),
        timeline=mean_timeline(rows),
    )


def mean_timeline(rows: Sequence[RunResult]) -> tuple[tuple[float, ...], ...]:
    """Return the mean of each second's columns over the runs."""
    length = min(len(row.seconds) for row in rows)
    return tuple(
        tuple(sum(row.seconds[n][k] for row in rows) / len(rows) for k in range(6)) for n in range(length)
    )
