"""Estimate differences between arms: naive, mixed Differences-in-Q, and switchback.

The estimates are computed from merged counters.

A difference is an arm's value less the baseline's, in ms. Each has an interval for one analysis and a
confidence sequence that holds at every analysis (`confidence`). As sequences have the stated coverage only if
the first analysis is late enough, there is no estimate before `MIN_REQUESTS` requests in each arm.

Mixed Differences-in-Q follows the paper's (12) to (21), with the sums of `differences_in_q.py`. Its standard
error is that of C.3, (45), with the deviations taken from the expectation of Q.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial

import numpy as np

from meadowpulley.placement.confidence import NO_ESTIMATE, Estimate, PointEstimate, jackknife_error
from meadowpulley.placement.counter_records import CostMoments
from meadowpulley.placement.differences_in_q import Floats, GroupSums, sums_by_group
from meadowpulley.placement.merged_counters import MergedCounters
from meadowpulley.placement.metrics import ALL_CLASSES_METRIC, BASELINE_ARM, class_metric, metrics_of

MIN_REQUESTS = 200  # requests of each arm without which there is no estimate
MIN_BLOCKS = 8  # time blocks of each arm, or random groups with both arms, that an estimate needs
MIN_SAMPLE_SIZE = 2  # requests that a variance needs
NARROWEST_AT_BLOCKS = 100.0  # time blocks at which the confidence sequence of a switchback is narrowest
MIN_VARIANCE_RATIO = (
    1e-9  # variance of the difference of both measures of Q, over that of the first: below it they are equal
)
ONLY_GROUP = 0  # the group of all units that need no random groups: see `Assignment.group`


@dataclass(frozen=True, slots=True)
class _Sample:
    """The number of requests, and the mean and variance of their costs (ms, ms squared)."""

    size: int
    mean: float
    variance: float


def _sample(moments: Sequence[CostMoments]) -> _Sample:
    size = sum(part.count for part in moments)
    if size < MIN_SAMPLE_SIZE:
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
        if of_arm == arm and group != without_group and metric in metrics_of(class_index)
    ]


def mean_cost_ms(merged: MergedCounters, arm: int, metric: int, without_group: int | None = None) -> float:
    """Return the mean cost (ms) of an arm's requests, leaving out one random group of units if given.

    A request costs its completion time, or its deadline if it was not served. `metric` selects all classes or
    one (see `metrics`).
    """
    return _sample(_moments_of_arm(merged, arm, metric, without_group)).mean


# Naive


def estimate_naive(merged: MergedCounters, arm: int, metric: int, alpha: float) -> Estimate:
    """Estimate the difference of mean costs as if arms did not affect each other.

    The paper's (9), with the standard error of (46).
    """
    baseline_moments = _moments_of_arm(merged, BASELINE_ARM, metric)
    arm_moments = _moments_of_arm(merged, arm, metric)
    baseline = _sample(baseline_moments)
    treated = _sample(arm_moments)
    if min(baseline.size, treated.size) < MIN_REQUESTS:
        return NO_ESTIMATE
    difference = treated.mean - baseline.mean
    size = baseline.size + treated.size
    if {group for group, _, _ in merged.moments} <= {ONLY_GROUP}:
        error = math.sqrt(baseline.variance / baseline.size + treated.variance / treated.size)
        return PointEstimate(difference, error, size).with_intervals(alpha)
    groups = sorted({part.group for part in baseline_moments} & {part.group for part in arm_moments})
    if len(groups) < MIN_BLOCKS:
        return NO_ESTIMATE
    error = jackknife_error(partial(_naive_difference, merged, arm, metric), groups)
    return PointEstimate(difference, error, size, len(groups) - 1).with_intervals(alpha)


def _naive_difference(merged: MergedCounters, arm: int, metric: int, without_group: int | None) -> float:
    """Return the difference of the mean costs in ms, leaving out one group of units."""
    treated_mean = mean_cost_ms(merged, arm, metric, without_group)
    return treated_mean - mean_cost_ms(merged, BASELINE_ARM, metric, without_group)


# Mixed Differences-in-Q


@dataclass(frozen=True, slots=True)
class _TotalSums:
    """The sums over all groups of units; `GroupSums` describes the fields."""

    cost_squares: float
    outstanding_squares: float
    products: float
    arm_requests: int
    baseline_requests: int

    @classmethod
    def of(cls, groups: Mapping[int, GroupSums]) -> _TotalSums:
        """Add up the sums of the groups."""
        return cls(
            cost_squares=math.fsum(sums.cost_squares for sums in groups.values()),
            outstanding_squares=math.fsum(sums.outstanding_squares for sums in groups.values()),
            products=math.fsum(sums.products for sums in groups.values()),
            arm_requests=sum(sums.arm_requests for sums in groups.values()),
            baseline_requests=sum(sums.baseline_requests for sums in groups.values()),
        )

    @property
    def requests(self) -> int:
        """The number of requests of both arms."""
        return self.arm_requests + self.baseline_requests

    def cost_weight(self) -> float:
        """Return the weight of Q by completion times in the mix; Q by outstanding requests has the rest.

        The paper's (19), limited to 0 to 1: the two measures are so close that a weight outside that range
        is due to chance alone.
        """
        spread = self.cost_squares + self.outstanding_squares - 2 * self.products
        if spread > MIN_VARIANCE_RATIO * self.cost_squares:
            return min(max((self.outstanding_squares - self.products) / spread, 0.0), 1.0)
        return 1.0

    def mixed_squares(self, cost_weight: float) -> float:
        """Return the sum of squares of the two measures mixed with this weight."""
        return (
            cost_weight**2 * self.cost_squares
            + (1 - cost_weight) ** 2 * self.outstanding_squares
            + 2 * cost_weight * (1 - cost_weight) * self.products
        )


def estimate_mixed(
    merged: MergedCounters, arm: int, metric: int, alpha: float, arm_probability: float
) -> Estimate:
    """Estimate how much more (ms) a request would cost if all traffic were under the arm.

    The comparison is with all traffic under the baseline. The estimate is mixed Differences-in-Q, which is
    accurate to first order in the arms' difference. `arm_probability` is the probability of the arm for a
    request that is in it or the baseline.
    """
    sums = sums_by_group(merged.bins, metric, arm, arm_probability)
    return estimate_from_sums(sums, alpha, _class_fraction(merged, metric))


def estimate_from_sums(groups: dict[int, GroupSums], alpha: float, class_fraction: float = 1.0) -> Estimate:
    """Estimate mixed Differences-in-Q from the sums of each group of units.

    `class_fraction` is the fraction of all requests that are of the estimated class, 1 for all classes.
    """
    totals = _TotalSums.of(groups)
    if min(totals.arm_requests, totals.baseline_requests) < MIN_REQUESTS or not class_fraction:
        return NO_ESTIMATE
    cost_weight = totals.cost_weight()

    def value_without(left_out: int | None) -> float:
        """Return the mixed estimate in ms, leaving out one group of units, if given."""
        included = [sums for group, sums in groups.items() if group != left_out]
        total = math.fsum(cost_weight * sums.cost + (1 - cost_weight) * sums.outstanding for sums in included)
        requests = sum(sums.arm_requests + sums.baseline_requests for sums in included)
        return total / requests / class_fraction

    if set(groups) == {ONLY_GROUP}:
        squares = totals.mixed_squares(cost_weight)
        error = math.sqrt(max(squares, 0.0)) / totals.requests / class_fraction
        return PointEstimate(value_without(None), error, totals.requests).with_intervals(alpha)
    if len(groups) < MIN_BLOCKS:
        return NO_ESTIMATE
    error = jackknife_error(value_without, sorted(groups))
    point = PointEstimate(value_without(None), error, totals.requests, len(groups) - 1)
    return point.with_intervals(alpha)


def _class_fraction(merged: MergedCounters, metric: int) -> float:
    """Return the fraction of all counted requests that are of a metric's class."""
    if metric == ALL_CLASSES_METRIC:
        return 1.0
    total = max(sum(moments.count for moments in merged.moments.values()), 1)
    in_class = sum(
        moments.count
        for (_, _, class_index), moments in merged.moments.items()
        if class_metric(class_index) == metric
    )
    return in_class / total


# Switchback


def estimate_switchback(merged: MergedCounters, arm: int, metric: int, alpha: float) -> Estimate:
    """Estimate the difference between the mean costs of two arms' time blocks, with blocks as units.

    The method is that of Bojinov, Simchi-Levi and Zhao 2023, with Welch's standard error and degrees of
    freedom.
    """
    block_means = _block_means(merged, metric)
    baseline = np.array([mean for of_arm, mean in block_means if of_arm == BASELINE_ARM])
    treated = np.array([mean for of_arm, mean in block_means if of_arm == arm])
    if min(len(baseline), len(treated)) < MIN_BLOCKS:
        return NO_ESTIMATE
    return _welch_estimate(baseline, treated).with_intervals(alpha, NARROWEST_AT_BLOCKS)


def _welch_estimate(baseline: Floats, treated: Floats) -> PointEstimate:
    """Compare two means of unequal variances; degrees of freedom by Welch and Satterthwaite."""
    baseline_variance = float(baseline.var(ddof=1)) / len(baseline)  # variance of the mean
    treated_variance = float(treated.var(ddof=1)) / len(treated)
    error = math.sqrt(baseline_variance + treated_variance)
    divisor = baseline_variance**2 / (len(baseline) - 1) + treated_variance**2 / (len(treated) - 1)
    return PointEstimate(
        value=float(treated.mean() - baseline.mean()),
        standard_error=error,
        sample_size=len(baseline) + len(treated),
        degrees_of_freedom=error**4 / divisor if divisor else math.inf,
    )


def _block_means(merged: MergedCounters, metric: int) -> list[tuple[int, float]]:
    """Return arm and mean cost (ms) of each time block that has requests of a metric's classes."""
    sums: dict[int, tuple[int, int, float]] = {}
    for (block, class_index), costs in sorted(merged.blocks.items()):
        if costs.count and metric in metrics_of(class_index):
            _, count, total_ms = sums.get(block, (costs.arm, 0, 0.0))
            sums[block] = (costs.arm, count + costs.count, total_ms + costs.total_ms)
    return [(arm, total_ms / count) for arm, count, total_ms in sums.values()]
