"""Estimates from merged counts: naive, mixed Differences-in-Q, switchback; intervals, and confidence
sequences that hold however often somebody looks. Pure; differences are an arm less the baseline, in ms.

Sources. Mixed Differences-in-Q: the paper's (12) to (21), with the sums of `mixed.py`; its error is that of
C.3, (45), about what was expected. Confidence sequences: the asymptotic ones of Waudby-Smith, Arbour,
Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic confidence sequences" (Annals of
Statistics 2024), Theorem 2.2: Robbins' normal mixture with the variance estimated; they cover at all sample
sizes at once with a probability that tends to the stated one as the first look comes later, so nothing is
said before `LEAST` requests an arm. Units that share an arm over several requests: delete-a-group jackknife
over random groups (Wolter, Introduction to Variance Estimation, 2007, chapter 4).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from meadowpulley.placement.counts import Merged, Moment
from meadowpulley.placement.mixed import Sums, groups_of

LEAST = 200  # requests of each arm
LEAST_BLOCKS = 8  # time blocks of each arm, and random groups with both arms
SHARPEST = 20_000.0  # requests at which the confidence sequence is narrowest
SHARPEST_BLOCKS = 100.0


@dataclass(frozen=True, slots=True)
class Estimate:
    """A difference with its error. `n`: what it rests on (requests or time blocks); `low`, `high`: interval
    for one look that was settled beforehand; `always_low`, `always_high`: at every look at once."""

    value: float
    error: float
    n: int
    low: float
    high: float
    always_low: float
    always_high: float


NOTHING = Estimate(math.nan, math.inf, 0, -math.inf, math.inf, -math.inf, math.inf)


def always(error: float, n: float, alpha: float, sharpest: float) -> float:
    """Half the width of the confidence sequence: two-sided, level 1 - alpha, narrowest at `sharpest`."""
    rho2 = (-2 * math.log(alpha) + math.log(-2 * math.log(alpha) + 1)) / sharpest
    reach = n * rho2 + 1
    return error * math.sqrt(2 * reach / (n * rho2) * math.log(math.sqrt(reach) / alpha))


def estimate(
    value: float, error: float, n: int, alpha: float, free: float = math.inf, sharpest: float = SHARPEST
) -> Estimate:
    """`free`: degrees of freedom of the error, if few."""
    if not (math.isfinite(value) and math.isfinite(error)):
        return NOTHING
    t = float(stats.t.ppf(1 - alpha / 2, free) if math.isfinite(free) else stats.norm.ppf(1 - alpha / 2))
    wider = t / float(stats.norm.ppf(1 - alpha / 2))  # few degrees of freedom widen the sequence as well
    half = wider * always(error, n, alpha, sharpest)
    return Estimate(value, error, n, value - t * error, value + t * error, value - half, value + half)


def _grouped(values: Callable[[int | None], float], groups: Sequence[int]) -> float:
    """Jackknife error of a figure; `values(k)` is it without group k."""
    without = np.array([values(k) for k in groups])
    return float(np.sqrt((len(groups) - 1) / len(groups) * np.sum((without - without.mean()) ** 2)))


def _mean(moments: Sequence[Moment]) -> tuple[int, float, float]:
    """Count, mean, and variance of one."""
    n = sum(m.n for m in moments)
    if n < 2:
        return n, math.nan, math.nan
    mean = math.fsum(m.total for m in moments) / n
    return n, mean, max(math.fsum(m.squares for m in moments) - n * mean**2, 0.0) / (n - 1)


def mean_ms(merged: Merged, arm: int, metric: int) -> float:
    """Mean cost of an arm: completion times, and deadlines for what was not served. `metric` 0: all
    classes, n: the n-th."""
    return _mean(_of(merged, arm, metric))[1]


def _of(merged: Merged, arm: int, metric: int, without: int | None = None) -> list[Moment]:
    return [
        m
        for (g, a, c), m in sorted(merged.moments.items())
        if a == arm and g != without and metric in (0, c + 1)
    ]


def naive(merged: Merged, arm: int, metric: int, alpha: float) -> Estimate:
    """The difference of mean costs, (9) with the error of (46): as if the arms did not meet."""
    old, new = _of(merged, 0, metric), _of(merged, arm, metric)
    (m, before, var_old), (n, after, var_new) = _mean(old), _mean(new)
    if min(m, n) < LEAST:
        return NOTHING
    groups = sorted({x.group for x in old} & {x.group for x in new})
    if {g for g, _, _ in merged.moments} <= {0}:
        return estimate(after - before, math.sqrt(var_old / m + var_new / n), m + n, alpha)
    if len(groups) < LEAST_BLOCKS:
        return NOTHING

    def value(k: int | None) -> float:
        return _mean(_of(merged, arm, metric, k))[1] - _mean(_of(merged, 0, metric, k))[1]

    return estimate(after - before, _grouped(value, groups), m + n, alpha, len(groups) - 1)


def mixed(merged: Merged, arm: int, metric: int, alpha: float, odds: float) -> Estimate:
    """The mixed Differences-in-Q estimate: what all traffic under the arm would cost more than all under the
    baseline, to first order in their difference. `odds`: part of the arm among both."""
    return of_sums(groups_of(merged.bins, metric, arm, odds), alpha, _share(merged, metric))


def of_sums(groups: dict[int, Sums], alpha: float, share: float = 1.0) -> Estimate:
    """From the sums of each group of units; `share`: of the requests in all that the figure is about."""
    new, old = sum(s.new for s in groups.values()), sum(s.old for s in groups.values())
    if min(new, old) < LEAST or not share:
        return NOTHING
    ww, qq, wq = (math.fsum(getattr(s, name) for s in groups.values()) for name in ("ww", "qq", "wq"))
    spread = ww + qq - 2 * wq
    # (19), but between the two: ours lie so close together that a weight outside follows chance alone.
    mix = min(max((qq - wq) / spread, 0.0), 1.0) if spread > 1e-9 * ww else 1.0

    def value(k: int | None) -> float:
        some = [s for g, s in groups.items() if g != k]
        return math.fsum(mix * s.w + (1 - mix) * s.q for s in some) / sum(s.new + s.old for s in some) / share

    n = new + old
    if set(groups) == {0}:
        squares = mix**2 * ww + (1 - mix) ** 2 * qq + 2 * mix * (1 - mix) * wq
        return estimate(value(None), math.sqrt(max(squares, 0.0)) / n / share, n, alpha)
    if len(groups) < LEAST_BLOCKS:
        return NOTHING
    return estimate(value(None), _grouped(value, sorted(groups)), n, alpha, len(groups) - 1)


def _share(merged: Merged, metric: int) -> float:
    """A class's part of all requests counted."""
    if not metric:
        return 1.0
    every = max(sum(m.n for m in merged.moments.values()), 1)
    return sum(m.n for (_, _, c), m in merged.moments.items() if c + 1 == metric) / every


def switchback(merged: Merged, arm: int, metric: int, alpha: float) -> Estimate:
    """The difference of block means between the time blocks of two arms, blocks being the units (Bojinov,
    Simchi-Levi and Zhao 2023; Welch's error)."""
    sums: dict[int, tuple[int, int, float]] = {}
    for (block, cls), b in sorted(merged.blocks.items()):
        if b.n and metric in (0, cls + 1):
            _, n, total = sums.get(block, (b.arm, 0, 0.0))
            sums[block] = (b.arm, n + b.n, total + b.total)
    old, new = (np.array([t / n for a, n, t in sums.values() if a == k]) for k in (0, arm))
    if min(len(old), len(new)) < LEAST_BLOCKS:
        return NOTHING
    parts = [float(x.var(ddof=1)) / len(x) for x in (old, new)]
    error = math.sqrt(sum(parts))
    below = sum(p**2 / (len(x) - 1) for p, x in zip(parts, (old, new), strict=True))
    free = error**4 / below if below else math.inf
    return estimate(float(new.mean() - old.mean()), error, len(old) + len(new), alpha, free, SHARPEST_BLOCKS)
