"""Confidence intervals of a mean, of paired differences and of a share."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from meadowpulley.experiment.cells import RunResult

CONFIDENCE = 0.95


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean of `count` values with its two-sided confidence interval."""

    mean: float
    low: float
    high: float
    count: int

    @property
    def half_width(self) -> float:
        """Half of the width of the interval."""
        return (self.high - self.low) / 2


@dataclass(frozen=True, slots=True)
class Difference:
    """Second less first, paired by seed."""

    metric: str
    first: float
    second: float
    change: Interval

    @property
    def significant(self) -> bool:
        """Whether the interval excludes zero."""
        return self.change.low > 0 or self.change.high < 0


def confidence_interval(values: Sequence[float], confidence: float = CONFIDENCE) -> Interval:
    """Return Student's t interval of a mean; infinite for a single value."""
    mean = float(np.mean(values))
    count = len(values)
    if count < 2:
        return Interval(mean, float("-inf"), float("inf"), count)
    half_width = float(stats.sem(values)) * float(stats.t.ppf((1 + confidence) / 2, count - 1))
    return Interval(mean, mean - half_width, mean + half_width, count)


def wilson_interval(count: int, total: int, confidence: float = CONFIDENCE) -> Interval:
    """Return Wilson's score interval of a share (Wilson 1927)."""
    if not total:
        return Interval(0.0, 0.0, 1.0, 0)
    quantile = float(stats.norm.ppf((1 + confidence) / 2))
    share = count / total
    middle = (share + quantile * quantile / (2 * total)) / (1 + quantile * quantile / total)
    half_width = (
        quantile
        / (1 + quantile * quantile / total)
        * float(np.sqrt(share * (1 - share) / total + quantile * quantile / (4 * total * total)))
    )
    return Interval(share, max(middle - half_width, 0.0), min(middle + half_width, 1.0), total)


def paired_differences(rows: Sequence[RunResult], first: str, second: str) -> list[Difference]:
    """Return each figure's change between two configurations. Raises ValueError below two common seeds."""
    one = {row.seed: row.figures for row in rows if row.name == first}
    two = {row.seed: row.figures for row in rows if row.name == second}
    seeds = sorted(set(one) & set(two))
    if len(seeds) < 2:
        raise ValueError(f"'{first}' and '{second}' share {len(seeds)} seeds; at least 2 are needed")
    found = []
    for metric in sorted(set(one[seeds[0]]) & set(two[seeds[0]])):
        first_values = [one[s][metric] for s in seeds]
        second_values = [two[s][metric] for s in seeds]
        change = confidence_interval([y - x for x, y in zip(first_values, second_values, strict=True)])
        found.append(Difference(metric, float(np.mean(first_values)), float(np.mean(second_values)), change))
    return found
