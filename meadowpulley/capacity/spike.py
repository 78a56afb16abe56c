"""A spike of costly requests: the backlog, when it clears, and what refusals save."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from msgspec.structs import replace

from meadowpulley.capacity.demand import Demand
from meadowpulley.capacity.predict import at_rate
from meadowpulley.capacity.site import mean_over, mean_timeline
from meadowpulley.experiment import Cell, LoadSpec, Row, Store, run_cells
from meadowpulley.fleet import Fleet

BEFORE_S, AFTER_S = 10.0, 25.0
CLEAR = 0.97  # of the share within aim before the spike, for so many seconds on end: it is over
CLEAR_S = 3


@dataclass(frozen=True, slots=True)
class Spike:
    """A share of requests costs so many times the usual for a time (milliseconds)."""

    share: float
    cost: float
    for_ms: float


@dataclass(frozen=True, slots=True)
class SpikeResult:
    """`utilisation` while it lasts. `backlog`: work left at its end, standard-core seconds, and when that
    clears (seconds after the end), as a fluid would; `held`: as much of it as servers can hold. Triples are
    mean, low and high over the seeds, by the emulator, with refusals and without."""

    spike: Spike
    utilisation: float
    backlog: float
    held: float
    clears_theory_s: float
    worth_during: tuple[float, float, float]
    worth_during_unrefused: tuple[float, float, float]
    worth_whole: tuple[float, float, float]
    worth_whole_unrefused: tuple[float, float, float]
    refused_during: tuple[float, float, float]
    clears_s: float  # mean, after the spike's end; infinity where a run did not see it
    clears_unrefused_s: float
    timeline: tuple[tuple[float, ...], ...]
    timeline_unrefused: tuple[tuple[float, ...], ...]

    @property
    def saved(self) -> float:
        """Share of worth that refusals save over the whole run."""
        return self.worth_whole[0] - self.worth_whole_unrefused[0]


def clears(row: Row, end_s: float) -> float:
    """Seconds after the spike's end until requests are within aim as before, for some seconds on end."""
    shares = [s[1] / s[0] if s[0] else 1.0 for s in row.seconds]
    usual = sum(shares[2 : int(BEFORE_S)]) / max(len(shares[2 : int(BEFORE_S)]), 1)
    run = 0
    for n in range(int(end_s), len(shares)):
        run = run + 1 if shares[n] >= CLEAR * usual else 0
        if run == CLEAR_S:
            return float(n + 1 - CLEAR_S - end_s)
    return math.inf


def play_spike(
    fleet: Fleet,
    load: LoadSpec,
    demand: Demand,
    spike: Spike,
    seeds: Sequence[int],
    workers: int | None = None,
    store: Store | None = None,
    progress: Callable[[int, int], None] = lambda done, of: None,
) -> SpikeResult:
    """A spike on top of the load's busy rate, with the gateways' refusals and without them."""
    length = spike.for_ms / 1000
    use = demand.busy_utilisation * (1 + spike.share * (spike.cost - 1))
    over = max(use - 1, 0.0) * fleet.capacity() * length
    holds = sum(s.count * (fleet.kind(s.kind).slots + fleet.kind(s.kind).queue) for s in fleet.servers)
    held = holds * demand.work_ms / 1000 * (1 + spike.share * (spike.cost - 1))
    spare = fleet.capacity() * max(1 - demand.busy_utilisation, 0.0)
    stretch = replace(
        at_rate(load, demand, demand.busy_per_s),
        seconds=BEFORE_S + length + AFTER_S,
        costly=spike.share,
        cost=spike.cost,
        costly_from_ms=BEFORE_S * 1000,
        costly_for_ms=spike.for_ms,
    )
    cells = [
        Cell("refusing" if r else "not refusing", fleet, stretch, s, refuses=r)
        for r in (True, False)
        for s in seeds
    ]
    rows = run_cells(cells, store, workers, timeline=True, progress=progress)
    with_, without = rows[: len(seeds)], rows[len(seeds) :]
    end = BEFORE_S + length
    whole = (2.0, end + AFTER_S)
    backlog = min(over, held)
    return SpikeResult(
        spike=spike,
        utilisation=use,
        backlog=over,
        held=held,
        clears_theory_s=backlog / spare if spare else math.inf if backlog else 0.0,
        worth_during=mean_over(with_, BEFORE_S, end, 5),
        worth_during_unrefused=mean_over(without, BEFORE_S, end, 5),
        worth_whole=mean_over(with_, *whole, 5),
        worth_whole_unrefused=mean_over(without, *whole, 5),
        refused_during=mean_over(with_, BEFORE_S, end, 3),
        clears_s=sum(clears(row, end) for row in with_) / len(with_),
        clears_unrefused_s=sum(clears(row, end) for row in without) / len(without),
        timeline=mean_timeline(with_),
        timeline_unrefused=mean_timeline(without),
    )
