"""How good the estimates are, where the answer is known: bias, coverage, false alarms, power, time to the
guard, over many seeds of the supermarket model (`supermarket.py`), by load and size of the fleet.

The answer is all traffic under the one way less all under the other, same seeds. Everything but the traffic
is the product's own: sums (`contrast.py`), merge over gateways, estimates, guard.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import numpy as np

from meadowpulley.placement.contrast import AHEAD
from meadowpulley.placement.counts import Merged, Moment
from meadowpulley.placement.definition import Guard
from meadowpulley.placement.estimate import SHARPEST, Estimate, always, naive, of_sums
from meadowpulley.placement.mixed import reach, sums_of
from meadowpulley.placement.supermarket import Floats, Ints, Runs, Setting, Way, simulate

WARM = 60.0  # service times that are left out: runs begin empty
LOOKS = 10


@dataclass(frozen=True, slots=True)
class Case:
    """`carry` in mean service times; `arrivals` of one run, over all gateways."""

    setting: Setting
    ways: tuple[Way, Way]
    carry: float = 15.0
    arrivals: int = 40_000

    @property
    def name(self) -> str:
        s = self.setting
        more = f", {s.skew:.0%} in one zone" if s.skew != 0.5 else ""
        return f"{self.ways[0].name} to {self.ways[1].name}, {s.servers} servers, {s.gateways} gateways{more}"


@dataclass(frozen=True, slots=True)
class Look:
    """What was known at one moment of one run."""

    requests: int
    naive: Estimate
    mixed: Estimate
    baseline: float  # mean of the first arm


@dataclass(slots=True)
class Found:
    """Of one case: the truth with its error, and looks by run, the last one at the end of the run. The second
    half of the runs are those of the first with their arms swapped."""

    case: Case
    truth: float
    error: float
    looks: list[list[Look]] = field(default_factory=list)


def looks_of(case: Case, runs: Runs, run: int, until: Floats, alpha: float) -> list[Look]:
    """One run, as it is known at each moment."""
    mine = np.isfinite(runs.at[run]) & (runs.at[run] >= WARM)
    at, took, arm = runs.at[run][mine], runs.took[run][mine], runs.arm[run][mine]
    found = []
    for when in until:
        merged = Merged()
        for a in (0, 1):
            some = took[(at + took <= when) & (arm == a)]
            merged.moments[0, a, 0] = Moment(0, a, 0, len(some), float(some.sum()), float(some @ some))
        old = merged.moments[0, 0, 0]
        estimate = _mixed(case, at, took, arm, float(when), alpha)
        requests = sum(m.n for m in merged.moments.values())
        found.append(Look(requests, naive(merged, 1, 0, alpha), estimate, old.total / max(old.n, 1)))
    return found


def _mixed(case: Case, at: Floats, took: Floats, arm: Ints, when: float, alpha: float) -> Estimate:
    """From bins as the stages count them: those whose requests were all over by then."""
    width = case.carry / AHEAD
    ends = at + took
    late = at[ends > when]
    bins = int((min(when, float(late[0]) if len(late) else when) - WARM) // width)
    if bins <= 0:
        return of_sums({}, alpha)
    edges: Floats = np.asarray(WARM + width * np.arange(bins + 1), dtype=np.float64)
    place = np.searchsorted(edges, at, side="right") - 1
    some = place < bins

    def by_bin(values: Floats) -> Floats:
        return np.asarray(np.bincount(place[some], weights=values[some], minlength=bins), dtype=np.float64)

    begun, over = np.sort(at), np.sort(ends)
    held = np.diff(_area(begun, edges) - _area(over, edges))
    still = (np.searchsorted(begun, edges) - np.searchsorted(over, edges))[:-1].astype(np.float64)
    ones = np.ones(len(at))
    r = reach(by_bin(ones), by_bin(took), held, still)
    new = by_bin((arm == 1).astype(np.float64))
    return of_sums({0: sums_of(r, new, by_bin((arm == 0).astype(np.float64)), 0.5)}, alpha)


def _area(times: Floats, edges: Floats) -> Floats:
    """The integral, up to each edge, of how many of the sorted times have passed."""
    n = np.searchsorted(times, edges)
    total = np.concatenate(([0.0], np.cumsum(np.where(np.isfinite(times), times, 0.0))))
    return np.asarray(n * edges - total[n])


def mean_of(runs: Runs) -> Floats:
    """Mean completion time of each run, without its beginning."""
    some = np.isfinite(runs.took) & (runs.at >= WARM)
    return np.asarray(np.where(some, runs.took, 0.0).sum(axis=1) / some.sum(axis=1))


def play(case: Case, pairs: int, seed: int, carries: Sequence[float], alpha: float = 0.05) -> list[Found]:
    """Runs of an experiment with halves, in pairs whose arms are swapped, looked at with each carry time; and
    the truth from as many runs of each way."""
    sized = (pairs, case.arrivals, seed)
    gaps = np.zeros(pairs)
    if case.ways[0] != case.ways[1]:
        ends = [mean_of(simulate(case.setting, case.ways, p, *sized)) for p in (0.0, 1.0)]
        gaps = ends[1] - ends[0]
    truth, error = float(gaps.mean()), float(gaps.std(ddof=1) / np.sqrt(pairs))
    found = [Found(replace(case, carry=carry), truth, error) for carry in carries]
    for swapped in (False, True):
        mix = simulate(case.setting, case.ways, 0.5, *sized, swapped)
        for run in range(pairs):
            last = float(mix.at[run][np.isfinite(mix.at[run])].max())
            until = WARM + (last - WARM) * (np.arange(LOOKS) + 1) / LOOKS
            for each in found:
                each.looks.append(looks_of(each.case, mix, run, until, alpha))
    return found


@dataclass(frozen=True, slots=True)
class Quality:
    """How one estimate did at the end of all runs. `covers`: share of runs whose interval has the truth;
    `always`: of those whose confidence sequence has it at every look; `wrong`: with the wrong sign; `finds`:
    share whose interval lies on the right side of zero; `unsure`: of the bias, two errors of its own."""

    mean: float
    bias: float
    unsure: float
    spread: float
    error: float
    covers: float
    always: float
    wrong: float
    finds: float

    @property
    def rmse(self) -> float:
        return float(np.hypot(self.bias, self.spread))


def quality(found: Found, name: str) -> Quality:
    """`name`: "naive" or "mixed"."""
    all_looks: list[list[Estimate]] = [[getattr(look, name) for look in looks] for looks in found.looks]
    last = [looks[-1] for looks in all_looks]
    values, truth = np.array([e.value for e in last]), found.truth
    pairs = values.reshape(2, -1).mean(axis=0)
    own = np.hypot(pairs.std(ddof=1) / np.sqrt(len(pairs)), found.error)
    right = [e.low > 0 if truth > 0 else e.high < 0 for e in last]
    return Quality(
        float(values.mean()),
        float(values.mean() - truth),
        float(2 * own),
        float(values.std(ddof=1)),
        float(np.mean([e.error for e in last])),
        float(np.mean([e.low <= truth <= e.high for e in last])),
        float(np.mean([all(e.always_low <= truth <= e.always_high for e in looks) for looks in all_looks])),
        float(np.mean(values * truth < 0)),
        float(np.mean(right)),
    )


def alarms(found: Found, guard: Guard) -> list[int | None]:
    """Requests of each run until its guard ended the arm, None where it did not; as `guard.harmful` does."""

    def harmed(look: Look) -> bool:
        each = [e for e in (look.naive, look.mixed) if e.n]
        low = [e.value - always(e.error, e.n, guard.alpha, SHARPEST) for e in each]
        return max(low, default=0.0) > guard.worse * look.baseline

    return [next((look.requests for look in looks if harmed(look)), None) for looks in found.looks]
