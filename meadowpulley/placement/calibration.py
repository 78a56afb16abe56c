"""Measure how good the estimates are where the answer is known, over many seeds of the supermarket model.

Bias, coverage, false alarms, power, and requests until the guard ends an arm, by load and size of the fleet.
The answer is all traffic under one rule less all under the other, with the same seeds. All but the traffic is
the product's own: the sums, the merge over gateways, the estimates, and the guard's criterion.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import numpy as np

from meadowpulley.placement.confidence import NARROWEST_AT_REQUESTS, Estimate, sequence_half_width
from meadowpulley.placement.definition import Guard
from meadowpulley.placement.differences_in_q import group_sums, q_residuals
from meadowpulley.placement.estimate import estimate_from_sums, estimate_naive
from meadowpulley.placement.merged_counters import MergedCounters
from meadowpulley.placement.supermarket_model import (
    Floats,
    Ints,
    ModelSetting,
    PlacementRule,
    SimulatedRuns,
    simulate,
)
from meadowpulley.placement.time_bins import LOOKAHEAD_BINS

WARMUP_TIME = 60.0  # mean service times that are left out: runs begin with an empty fleet
CHECKPOINT_COUNT = 10


@dataclass(frozen=True, slots=True)
class CalibrationCase:
    """A fleet and two rules to compare.

    `carry_time` is in mean service times; `arrivals` are of one run, over all gateways.
    """

    setting: ModelSetting
    rules: tuple[PlacementRule, PlacementRule]
    carry_time: float = 15.0
    arrivals: int = 40_000

    @property
    def name(self) -> str:
        """Return a description of the case, without its load."""
        setting = self.setting
        skew = f", {setting.zone_skew:.0%} in one zone" if setting.zone_skew != 0.5 else ""
        fleet = f"{setting.servers} servers, {setting.gateways} gateways"
        return f"{self.rules[0].name} to {self.rules[1].name}, {fleet}{skew}"


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """What was known at one moment of one run."""

    requests: int
    naive: Estimate
    mixed: Estimate
    baseline_mean: float


@dataclass(slots=True)
class CalibrationResult:
    """A case's true difference with its standard error, and the checkpoints of each run in order of time.

    The second half of the runs are those of the first half with their arms swapped.
    """

    case: CalibrationCase
    truth: float
    truth_error: float
    checkpoints: list[list[Checkpoint]] = field(default_factory=list)


def checkpoints_of(
    case: CalibrationCase, runs: SimulatedRuns, run: int, times: Floats, alpha: float
) -> list[Checkpoint]:
    """Return what is known of one run at each of these times."""
    arrival, sojourn = runs.arrival_time[run], runs.sojourn_time[run]
    counted = np.isfinite(arrival) & (arrival >= WARMUP_TIME)
    arrival, sojourn, arm = arrival[counted], sojourn[counted], runs.arm[run][counted]
    checkpoints = []
    for time in times:
        merged = MergedCounters()
        for of_arm in (0, 1):
            ended = sojourn[(arrival + sojourn <= time) & (arm == of_arm)]
            merged.moments_of(0, of_arm, 0).add(len(ended), float(ended.sum()), float(ended @ ended))
        baseline = merged.moments_of(0, 0, 0)
        checkpoints.append(
            Checkpoint(
                requests=sum(moments.count for moments in merged.moments.values()),
                naive=estimate_naive(merged, 1, 0, alpha),
                mixed=_mixed_estimate(case, arrival, sojourn, arm, float(time), alpha),
                baseline_mean=baseline.total_ms / max(baseline.count, 1),
            )
        )
    return checkpoints


def _mixed_estimate(
    case: CalibrationCase, arrival: Floats, sojourn: Floats, arm: Ints, now: float, alpha: float
) -> Estimate:
    """Estimate from bins as the stages record them: those whose requests have all ended by `now`."""
    width = case.carry_time / LOOKAHEAD_BINS
    end = arrival + sojourn
    unfinished = arrival[end > now]
    complete_until = min(now, float(unfinished[0]) if len(unfinished) else now)
    bins = int((complete_until - WARMUP_TIME) // width)
    if bins <= 0:
        return estimate_from_sums({}, alpha)
    edges: Floats = np.asarray(WARMUP_TIME + width * np.arange(bins + 1), dtype=np.float64)
    bin_of = np.searchsorted(edges, arrival, side="right") - 1
    in_bins = bin_of < bins

    def by_bin(values: Floats) -> Floats:
        """Return the sum of the values of each time bin."""
        sums = np.bincount(bin_of[in_bins], weights=values[in_bins], minlength=bins)
        return np.asarray(sums, dtype=np.float64)

    started, ended = np.sort(arrival), np.sort(end)
    outstanding = np.diff(_passed_count_integral(started, edges) - _passed_count_integral(ended, edges))
    at_start = (np.searchsorted(started, edges) - np.searchsorted(ended, edges))[:-1].astype(np.float64)
    residuals = q_residuals(by_bin(np.ones(len(arrival))), by_bin(sojourn), outstanding, at_start)
    in_arm, in_baseline = (by_bin((arm == of_arm).astype(np.float64)) for of_arm in (1, 0))
    return estimate_from_sums({0: group_sums(residuals, in_arm, in_baseline, 0.5)}, alpha)


def _passed_count_integral(times: Floats, edges: Floats) -> Floats:
    """Return the integral, up to each edge, of how many of the sorted times have passed."""
    passed = np.searchsorted(times, edges)
    total = np.concatenate(([0.0], np.cumsum(np.where(np.isfinite(times), times, 0.0))))
    return np.asarray(passed * edges - total[passed])


def mean_sojourn_time(runs: SimulatedRuns) -> Floats:
    """Return the mean sojourn time of each run, without its warm-up."""
    counted = np.isfinite(runs.sojourn_time) & (runs.arrival_time >= WARMUP_TIME)
    total = np.where(counted, runs.sojourn_time, 0.0).sum(axis=1)
    return np.asarray(total / counted.sum(axis=1))


def calibrate(
    case: CalibrationCase, pairs: int, seed: int, carry_times: Sequence[float], alpha: float = 0.05
) -> list[CalibrationResult]:
    """Run an experiment at halves, in pairs of runs with swapped arms, and evaluate each carry time.

    The truth is from as many runs of each rule.
    """
    truth, truth_error = _true_difference(case, pairs, seed)
    results = [
        CalibrationResult(replace(case, carry_time=carry_time), truth, truth_error)
        for carry_time in carry_times
    ]
    for swapped in (False, True):
        runs = simulate(case.setting, case.rules, 0.5, pairs, case.arrivals, seed, swapped)
        for run in range(pairs):
            last = float(runs.arrival_time[run][np.isfinite(runs.arrival_time[run])].max())
            steps = np.arange(CHECKPOINT_COUNT) + 1
            times = WARMUP_TIME + (last - WARMUP_TIME) * steps / CHECKPOINT_COUNT
            for result in results:
                result.checkpoints.append(checkpoints_of(result.case, runs, run, times, alpha))
    return results


def _true_difference(case: CalibrationCase, runs: int, seed: int) -> tuple[float, float]:
    """Return the mean difference between all traffic under each rule, and its standard error."""
    differences = np.zeros(runs)
    if case.rules[0] != case.rules[1]:
        first, second = (
            mean_sojourn_time(simulate(case.setting, case.rules, second_fraction, runs, case.arrivals, seed))
            for second_fraction in (0.0, 1.0)
        )
        differences = second - first
    return float(differences.mean()), float(differences.std(ddof=1) / np.sqrt(runs))


@dataclass(frozen=True, slots=True)
class EstimatorQuality:
    """How one estimate did at the end of all runs.

    `bias_uncertainty` is two standard errors of the bias. `coverage` is the fraction of runs whose interval
    has the truth, `sequence_coverage` of those whose confidence sequence has it at every checkpoint, and
    `power` of those whose interval lies on the right side of zero.
    """

    mean: float
    bias: float
    bias_uncertainty: float
    spread: float
    mean_standard_error: float
    coverage: float
    sequence_coverage: float
    wrong_sign_fraction: float
    power: float

    @property
    def rmse(self) -> float:
        """The root of the mean squared error."""
        return float(np.hypot(self.bias, self.spread))


def estimator_quality(result: CalibrationResult, name: str) -> EstimatorQuality:
    """Return the quality of the estimate `name`: "naive" or "mixed"."""
    by_run: list[list[Estimate]] = [
        [getattr(checkpoint, name) for checkpoint in checkpoints] for checkpoints in result.checkpoints
    ]
    last = [estimates[-1] for estimates in by_run]
    values, truth = np.array([estimate.value for estimate in last]), result.truth
    pair_means = values.reshape(2, -1).mean(axis=0)
    bias_error = np.hypot(pair_means.std(ddof=1) / np.sqrt(len(pair_means)), result.truth_error)
    covers = [estimate.low <= truth <= estimate.high for estimate in last]
    always_covers = [
        all(estimate.sequence_low <= truth <= estimate.sequence_high for estimate in estimates)
        for estimates in by_run
    ]
    finds = [estimate.low > 0 if truth > 0 else estimate.high < 0 for estimate in last]
    return EstimatorQuality(
        mean=float(values.mean()),
        bias=float(values.mean() - truth),
        bias_uncertainty=float(2 * bias_error),
        spread=float(values.std(ddof=1)),
        mean_standard_error=float(np.mean([estimate.standard_error for estimate in last])),
        coverage=float(np.mean(covers)),
        sequence_coverage=float(np.mean(always_covers)),
        wrong_sign_fraction=float(np.mean(values * truth < 0)),
        power=float(np.mean(finds)),
    )


def requests_until_alarm(result: CalibrationResult, guard: Guard) -> list[int | None]:
    """Return after how many requests the guard ended each run's arm, None where it did not.

    The criterion is that of `guard.harm_reason`.
    """
    return [
        next((point.requests for point in checkpoints if _shows_harm(point, guard)), None)
        for checkpoints in result.checkpoints
    ]


def _shows_harm(checkpoint: Checkpoint, guard: Guard) -> bool:
    lower_bounds = [
        estimate.value
        - sequence_half_width(
            estimate.standard_error, estimate.sample_size, guard.alpha, NARROWEST_AT_REQUESTS
        )
        for estimate in (checkpoint.naive, checkpoint.mixed)
        if estimate.sample_size
    ]
    return max(lower_bounds, default=0.0) > guard.worse * checkpoint.baseline_mean
