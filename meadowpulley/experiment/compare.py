"""Intervals: of a mean over seeds, of paired differences, of a share that was counted."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from meadowpulley.experiment.cells import Row

CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean with its two-sided confidence interval; `n` values."""

    mean: float
    low: float
    high: float
    n: int

    @property
    def half(self) -> float:
        return (self.high - self.low) / 2


@dataclass(frozen=True, slots=True)
class Difference:
    """Second less first, paired by seed; `clear` where the interval leaves out zero."""

    metric: str
    first: float
    second: float
    change: Interval

    @property
    def clear(self) -> bool:
        return self.change.low > 0 or self.change.high < 0


def interval(values: Sequence[float], confidence: float = CONFIDENCE) -> Interval:
    """Student's t interval of a mean. Of one value nothing is known of its spread: the interval is
    endless."""
    mean, n = float(np.mean(values)), len(values)
    if n < 2:
        return Interval(mean, float("-inf"), float("inf"), n)
    half = float(stats.sem(values)) * float(stats.t.ppf((1 + confidence) / 2, n - 1))
    return Interval(mean, mean - half, mean + half, n)


def wilson(count: int, of: int, confidence: float = CONFIDENCE) -> Interval:
    """Wilson's score interval of a share (Wilson 1927)."""
    if not of:
        return Interval(0.0, 0.0, 1.0, 0)
    z, share = float(stats.norm.ppf((1 + confidence) / 2)), count / of
    middle = (share + z * z / (2 * of)) / (1 + z * z / of)
    half = z / (1 + z * z / of) * float(np.sqrt(share * (1 - share) / of + z * z / (4 * of * of)))
    return Interval(share, max(middle - half, 0.0), min(middle + half, 1.0), of)


def paired(rows: Sequence[Row], first: str, second: str) -> list[Difference]:
    """Each figure's change from one configuration to another, over the seeds that both have.

    Raises ValueError, one line, where they share fewer than two seeds.
    """
    one = {row.seed: row.figures for row in rows if row.name == first}
    two = {row.seed: row.figures for row in rows if row.name == second}
    seeds = sorted(set(one) & set(two))
    if len(seeds) < 2:
        raise ValueError(f"'{first}' and '{second}' share {len(seeds)} seeds; at least 2 are needed")
    found = []
    for metric in sorted(set(one[seeds[0]]) & set(two[seeds[0]])):
        a, b = [one[s][metric] for s in seeds], [two[s][metric] for s in seeds]
        change = interval([y - x for x, y in zip(a, b, strict=True)])
        found.append(Difference(metric, float(np.mean(a)), float(np.mean(b)), change))
    return found
