"""Spike of costly requests: backlog, time to recover, and what rejections save."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.predict import load_at_rate
from meadowpulley.capacity.site_loss import mean_over, mean_timeline
from meadowpulley.experiment import Cell, LoadSpec, ResultStore, RunResult, run_cells
from meadowpulley.fleet import Fleet

BEFORE_S = 10.0
AFTER_S = 25.0
RECOVERED_SHARE = 0.97  # of the share within the objective before the spike
RECOVERED_FOR_S = 3


@dataclass(frozen=True, slots=True)
class Spike:
    """A share of requests costs `cost` times the usual for a time (milliseconds)."""

    share: float
    cost: float
    for_ms: float


@dataclass(frozen=True, slots=True)
class SpikeResult:
    """Result of a spike. Triples are mean, low and high over the seeds, by the emulator.

    `backlog` is the work left at its end in standard-core seconds, by a fluid model; `queued_backlog` as
    much of it as servers can hold.
    """

    spike: Spike
    utilisation: float
    backlog: float
    queued_backlog: float
    clears_theory_s: float
    weight_during: tuple[float, float, float]
    weight_during_unlimited: tuple[float, float, float]
    weight_overall: tuple[float, float, float]
    weight_overall_unlimited: tuple[float, float, float]
    rejected_during: tuple[float, float, float]
    clears_s: float  # mean, after the end of the spike; infinity where a run did not recover
    clears_unlimited_s: float
    timeline: tuple[tuple[float, ...], ...]
    timeline_unlimited: tuple[tuple[float, ...], ...]

    @property
    def saved(self) -> float:
        """Share of priority weight that rejections save over the complete run."""
        return self.weight_overall[0] - self.weight_overall_unlimited[0]


def recovery_s(row: RunResult, end_s: float) -> float:
    """Return the seconds after the spike until calls are within their objective as before; infinity if
    never.
    """
    shares = [s[1] / s[0] if s[0] else 1.0 for s in row.seconds]
    usual = sum(shares[2 : int(BEFORE_S)]) / max(len(shares[2 : int(BEFORE_S)]), 1)
    run = 0
    for index in range(int(end_s), len(shares)):
        run = run + 1 if shares[index] >= RECOVERED_SHARE * usual else 0
        if run == RECOVERED_FOR_S:
            return float(index + 1 - RECOVERED_FOR_S - end_s)
    return math.inf


def predict_spike(
    fleet: Fleet,
    load: LoadSpec,
    demand: Demand,
    spike: Spike,
    seeds: Sequence[int],
    workers: int | None = None,
    store: ResultStore | None = None,
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> SpikeResult:
    """Predict a spike on top of the busy rate, with the concurrency limit and without it."""
    length = spike.for_ms / 1000
    utilisation = demand.busy_utilisation * (1 + spike.share * (spike.cost - 1))
    excess = max(utilisation - 1, 0.0) * fleet.capacity() * length
    holds = sum(s.count * (fleet.kind(s.kind).slots + fleet.kind(s.kind).queue) for s in fleet.servers)
    queued_backlog = holds * demand.work_ms / 1000 * (1 + spike.share * (spike.cost - 1))
    spare = fleet.capacity() * max(1 - demand.busy_utilisation, 0.0)
    stretch = replace(
        load_at_rate(load, demand, demand.busy_per_s),
        seconds=BEFORE_S + length + AFTER_S,
        costly_share=spike.share,
        cost_factor=spike.cost,
        costly_from_ms=BEFORE_S * 1000,
        costly_duration_ms=spike.for_ms,
    )
    cells = [
        Cell("refusing" if r else "not refusing", fleet, stretch, s, limits_concurrency=r)
        for r in (True, False)
        for s in seeds
    ]
    rows = run_cells(cells, store, workers, timeline=True, progress=progress)
    limited = rows[: len(seeds)]
    unlimited = rows[len(seeds) :]
    end = BEFORE_S + length
    overall = (2.0, end + AFTER_S)
    backlog = min(excess, queued_backlog)
    return SpikeResult(
        spike=spike,
        utilisation=utilisation,
        backlog=excess,
        queued_backlog=queued_backlog,
        clears_theory_s=backlog / spare if spare else math.inf if backlog else 0.0,
        weight_during=mean_over(limited, BEFORE_S, end, 5),
        weight_during_unlimited=mean_over(unlimited, BEFORE_S, end, 5),
        weight_overall=mean_over(limited, *overall, 5),
        weight_overall_unlimited=mean_over(unlimited, *overall, 5),
        rejected_during=mean_over(limited, BEFORE_S, end, 3),
        clears_s=sum(recovery_s(row, end) for row in limited) / len(limited),
        clears_unlimited_s=sum(recovery_s(row, end) for row in unlimited) / len(unlimited),
        timeline=mean_timeline(limited),
        timeline_unlimited=mean_timeline(unlimited),
    )
