"""Estimate differences between arms from merged counters: naive, mixed Differences-in-Q, and switchback.

Differences are an arm less the baseline, in ms, each with an interval for one analysis and a confidence
sequence that holds at every analysis.

Sources. Mixed Differences-in-Q: the paper's (12) to (21), with the sums of `differences_in_q.py`; its
standard error is that of C.3, (45), about what was expected. Confidence sequences: the asymptotic ones of
Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas, "Time-uniform central limit theory and asymptotic
confidence sequences" (Annals of Statistics 2024), Theorem 2.2: Robbins' normal mixture with the variance
estimated; they cover at all sample sizes at once with a probability that tends to the stated one as the
first analysis is later, so that there is no estimate before `MIN_REQUESTS` requests in each arm. Units that
share an arm over several requests: delete-a-group jackknife over random groups (Wolter, Introduction to
Variance Estimation, 2007, chapter 4).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from meadowpulley.placement.counter_records import CostMoments
from meadowpulley.placement.differences_in_q import GroupSums, sums_by_group
from meadowpulley.placement.merged_counters import MergedCounters

MIN_REQUESTS = 200  # of each arm
MIN_BLOCKS = 8  # time blocks of each arm, and random groups with both arms
NARROWEST_AT_REQUESTS = 20_000.0  # sample size at which the confidence sequence is narrowest
NARROWEST_AT_BLOCKS = 100.0
MIN_VARIANCE_RATIO = 1e-9  # of two measures of Q, below which they count as the same


@dataclass(frozen=True, slots=True)
class Estimate:
    """A difference with its standard error.

    `sample_size` counts what it uses (requests or time blocks). `low` and `high` are the interval for one
    analysis planned beforehand, `sequence_low` and `sequence_high` the one that holds at every analysis.
    """

    value: float
    standard_error: float
    sample_size: int
    low: float
    high: float
    sequence_low: float
    sequence_high: float


NO_ESTIMATE = Estimate(math.nan, math.inf, 0, -math.inf, math.inf, -math.inf, math.inf)


@dataclass(frozen=True, slots=True)
class _Sample:
    """Size, mean, and variance of a single request's cost."""

    size: int
    mean: float
    variance: float


def sequence_half_width(
    standard_error: float, sample_size: float, alpha: float, narrowest_at: float
) -> float:
    """Return half the width of a two-sided confidence sequence of level 1 - alpha.

    It is tuned to be narrowest at the sample size `narrowest_at` (Theorem 2.2, with rho as in its (12)).
    """
    rho_squared = (-2 * math.log(alpha) + math.log(-2 * math.log(alpha) + 1)) / narrowest_at
    scaled = sample_size * rho_squared + 1
    return standard_error * math.sqrt(
        2 * scaled / (sample_size * rho_squared) * math.log(math.sqrt(scaled) / alpha)
    )


def make_estimate(
    value: float,
    standard_error: float,
    sample_size: int,
    alpha: float,
    degrees_of_freedom: float = math.inf,
    narrowest_at: float = NARROWEST_AT_REQUESTS,
) -> Estimate:
    """Return an estimate with its intervals; `degrees_of_freedom` are those of the error, if few."""
    if not (math.isfinite(value) and math.isfinite(standard_error)):
        return NO_ESTIMATE
    normal = float(stats.norm.ppf(1 - alpha / 2))
    quantile = normal
    if math.isfinite(degrees_of_freedom):
        quantile = float(stats.t.ppf(1 - alpha / 2, degrees_of_freedom))
    widening = quantile / normal  # few degrees of freedom widen the sequence as well
    sequence = widening * sequence_half_width(standard_error, sample_size, alpha, narrowest_at)
    half_width = quantile * standard_error
    return Estimate(
        value=value,
        standard_error=standard_error,
        sample_size=sample_size,
        low=value - half_width,
        high=value + half_width,
        sequence_low=value - sequence,
        sequence_high=value + sequence,
    )


def _jackknife_error(value_without: Callable[[int | None], float], groups: Sequence[int]) -> float:
    """Return the delete-a-group jackknife error; `value_without(k)` is the figure without group k."""
    without = np.array([value_without(group) for group in groups])
    return float(np.sqrt((len(groups) - 1) / len(groups) * np.sum((without - without.mean()) ** 2)))


def _sample(moments: Sequence[CostMoments]) -> _Sample:
    size = sum(part.count for part in moments)
    if size < 2:
        return _Sample(size, math.nan, math.nan)
    mean = math.fsum(part.total_ms for part in moments) / size
    squares = math.fsum(part.sum_of_squares for part in moments)
    return _Sample(size, mean, max(squares - size * mean**2, 0.0) / (size - 1))


def _moments_of_arm(
    merged: MergedCounters, arm: int, metric: int, without_group: int | None = None
) -> list[CostMoments]:
    return [
        moments
        for (group, of_arm, class_index), moments in sorted(merged.moments.items())
        if of_arm == arm and group != without_group and metric in (0, class_index + 1)
    ]


def mean_cost_ms(merged: MergedCounters, arm: int, metric: int) -> float:
    """Return the mean cost of an arm: completion times, and deadlines for what was not served.

    `metric` 0 is all classes, n for the n-th.
    """
    return _sample(_moments_of_arm(merged, arm, metric)).mean


def estimate_naive(merged: MergedCounters, arm: int, metric: int, alpha: float) -> Estimate:
    """Estimate the difference of mean costs as if arms did not interfere: (9), with the error of (46)."""
    baseline_moments = _moments_of_arm(merged, 0, metric)
    arm_moments = _moments_of_arm(merged, arm, metric)
    baseline, treated = _sample(baseline_moments), _sample(arm_moments)
    if min(baseline.size, treated.size) < MIN_REQUESTS:
        return NO_ESTIMATE
    difference, size = treated.mean - baseline.mean, baseline.size + treated.size
    if {group for group, _, _ in merged.moments} <= {0}:
        error = math.sqrt(baseline.variance / baseline.size + treated.variance / treated.size)
        return make_estimate(difference, error, size, alpha)
    groups = sorted({part.group for part in baseline_moments} & {part.group for part in arm_moments})
    if len(groups) < MIN_BLOCKS:
        return NO_ESTIMATE

    def difference_without(group: int | None) -> float:
        """Return the difference of the means in ms, leaving one group out."""
        treated_mean = _sample(_moments_of_arm(merged, arm, metric, group)).mean
        return treated_mean - _sample(_moments_of_arm(merged, 0, metric, group)).mean

    error = _jackknife_error(difference_without, groups)
    return make_estimate(difference, error, size, alpha, len(groups) - 1)


def estimate_mixed(
    merged: MergedCounters, arm: int, metric: int, alpha: float, arm_probability: float
) -> Estimate:
    """Estimate what all traffic under the arm would cost more than all under the baseline.

    Mixed Differences-in-Q, to first order in the arms' difference. `arm_probability` is the arm's among both.
    """
    sums = sums_by_group(merged.bins, metric, arm, arm_probability)
    return estimate_from_sums(sums, alpha, _class_fraction(merged, metric))


def estimate_from_sums(groups: dict[int, GroupSums], alpha: float, class_fraction: float = 1.0) -> Estimate:
    """Estimate mixed Differences-in-Q from the sums of each group of units.

    `class_fraction` is the fraction of all requests that the figure is about.
    """
    arm_requests = sum(sums.arm_requests for sums in groups.values())
    baseline_requests = sum(sums.baseline_requests for sums in groups.values())
    if min(arm_requests, baseline_requests) < MIN_REQUESTS or not class_fraction:
        return NO_ESTIMATE
    cost_squares = math.fsum(sums.cost_squares for sums in groups.values())
    outstanding_squares = math.fsum(sums.outstanding_squares for sums in groups.values())
    products = math.fsum(sums.products for sums in groups.values())
    cost_weight = _cost_weight(cost_squares, outstanding_squares, products)

    def value_without(left_out: int | None) -> float:
        """Return the mixed estimate, leaving one group out."""
        some = [sums for group, sums in groups.items() if group != left_out]
        total = math.fsum(cost_weight * sums.cost + (1 - cost_weight) * sums.outstanding for sums in some)
        requests = sum(sums.arm_requests + sums.baseline_requests for sums in some)
        return total / requests / class_fraction

    size = arm_requests + baseline_requests
    if set(groups) == {0}:
        squares = (
            cost_weight**2 * cost_squares
            + (1 - cost_weight) ** 2 * outstanding_squares
            + 2 * cost_weight * (1 - cost_weight) * products
        )
        error = math.sqrt(max(squares, 0.0)) / size / class_fraction
        return make_estimate(value_without(None), error, size, alpha)
    if len(groups) < MIN_BLOCKS:
        return NO_ESTIMATE
    error = _jackknife_error(value_without, sorted(groups))
    return make_estimate(value_without(None), error, size, alpha, len(groups) - 1)


def _cost_weight(cost_squares: float, outstanding_squares: float, products: float) -> float:
    """Return the weight of Q by completion times in the mix, the rest being Q by outstanding requests.

    (19), but within 0 and 1: the two measures are so close that a weight outside follows chance alone.
    """
    spread = cost_squares + outstanding_squares - 2 * products
    if spread > MIN_VARIANCE_RATIO * cost_squares:
        return min(max((outstanding_squares - products) / spread, 0.0), 1.0)
    return 1.0


def _class_fraction(merged: MergedCounters, metric: int) -> float:
    """Return the fraction of all counted requests that are of a metric's class."""
    if not metric:
        return 1.0
    total = max(sum(moments.count for moments in merged.moments.values()), 1)
    in_class = sum(
        moments.count for (_, _, class_index), moments in merged.moments.items() if class_index + 1 == metric
    )
    return in_class / total


def estimate_switchback(merged: MergedCounters, arm: int, metric: int, alpha: float) -> Estimate:
    """Estimate the difference of block means between the time blocks of two arms, blocks being the units.

    Bojinov, Simchi-Levi and Zhao 2023; Welch's error and degrees of freedom.
    """
    means = _block_means(merged, metric)
    samples = [np.array([mean for of_arm, mean in means if of_arm == sampled]) for sampled in (0, arm)]
    baseline, treated = samples
    if min(len(baseline), len(treated)) < MIN_BLOCKS:
        return NO_ESTIMATE
    variances = [float(sample.var(ddof=1)) / len(sample) for sample in samples]
    error = math.sqrt(sum(variances))
    divisor = sum(
        variance**2 / (len(sample) - 1) for variance, sample in zip(variances, samples, strict=True)
    )
    degrees_of_freedom = error**4 / divisor if divisor else math.inf
    difference = float(treated.mean() - baseline.mean())
    size = len(baseline) + len(treated)
    return make_estimate(difference, error, size, alpha, degrees_of_freedom, NARROWEST_AT_BLOCKS)


def _block_means(merged: MergedCounters, metric: int) -> list[tuple[int, float]]:
    """Return the arm and the mean cost of each time block that served a metric's classes."""
    sums: dict[int, tuple[int, int, float]] = {}
    for (block, class_index), costs in sorted(merged.blocks.items()):
        if costs.count and metric in (0, class_index + 1):
            _, count, total_ms = sums.get(block, (costs.arm, 0, 0.0))
            sums[block] = (costs.arm, count + costs.count, total_ms + costs.total_ms)
    return [(arm, total_ms / count) for arm, count, total_ms in sums.values()]
