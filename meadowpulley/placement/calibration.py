"""Measure the errors of the estimates in the supermarket model, where the true difference is known.

It measures bias, coverage, false alarms, power, and the requests until the guard ends an arm, over many runs,
for one load and fleet size per case. The true difference is the mean sojourn time with all traffic under the
second rule less that with all traffic under the first, with the same seeds. Only the traffic is simulated:
the sums, the estimates and the guard's criterion are those of the product.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Literal, TypeAlias

import numpy as np

from meadowpulley.placement.confidence import NARROWEST_AT_REQUESTS, Estimate, sequence_half_width
from meadowpulley.placement.definition import Guard
from meadowpulley.placement.differences_in_q import QResiduals, group_sums, q_residuals
from meadowpulley.placement.estimate import ONLY_GROUP, estimate_from_sums, estimate_naive
from meadowpulley.placement.merged_counters import MergedCounters
from meadowpulley.placement.metrics import ALL_CLASSES_METRIC, BASELINE_ARM
from meadowpulley.placement.supermarket_model import (
    EVEN_SKEW,
    Floats,
    Ints,
    ModelSetting,
    PlacementRule,
    SimulatedRuns,
    SimulationPlan,
    simulate,
)
from meadowpulley.placement.time_bins import LOOKAHEAD_BINS

WARMUP_TIME = 60.0  # in mean service times; earlier arrivals are left out, as runs begin with an empty fleet
CHECKPOINT_COUNT = 10
TREATED_ARM = 1
ONLY_CLASS = 0
EVEN_SPLIT = 0.5  # fraction of the requests that the second arm gets
MIN_EDGES = 2  # bin edges without which there is no whole bin
ARM_ORDERS = 2  # runs of a pair: one with the arms as drawn, one with them swapped
UNCERTAINTY_ERRORS = 2  # a bias is reported with an uncertainty of this many standard errors

EstimateName: TypeAlias = Literal["naive", "mixed"]


@dataclass(frozen=True, slots=True)
class CalibrationCase:
    """A fleet and two rules to compare.

    `carry_time` is in mean service times; `arrivals` is the number of requests of one run at all gateways.
    """

    setting: ModelSetting
    rules: tuple[PlacementRule, PlacementRule]
    carry_time: float = 15.0
    arrivals: int = 40_000

    @property
    def name(self) -> str:
        """A description of the case: rules, fleet and zone skew, but not the load."""
        setting = self.setting
        skew = "" if setting.zone_skew == EVEN_SKEW else f", {setting.zone_skew:.0%} in one zone"
        fleet = f"{setting.servers} servers, {setting.gateways} gateways"
        return f"{self.rules[0].name} to {self.rules[1].name}, {fleet}{skew}"


@dataclass(frozen=True, slots=True)
class Checkpoint:
    """The requests counted and the estimates at one time of one run."""

    requests: int
    naive: Estimate
    mixed: Estimate
    baseline_mean: float


@dataclass(slots=True)
class CalibrationResult:
    """A case's true difference with its standard error, and the checkpoints of each run in order of time.

    The second half of the runs repeats the first half with the arms swapped.
    """

    case: CalibrationCase
    truth: float
    truth_error: float
    checkpoints: list[list[Checkpoint]] = field(default_factory=list)


def checkpoints_of(
    case: CalibrationCase, runs: SimulatedRuns, run: int, times: Floats, alpha: float
) -> list[Checkpoint]:
    """Return the estimates from one run's requests, at each of these times."""
    requests = _CountedRequests.of_run(runs, run)
    checkpoints = []
    for time in times:
        now = float(time)
        merged = requests.merged_counters(now)
        baseline = merged.moments_of(ONLY_GROUP, BASELINE_ARM, ONLY_CLASS)
        checkpoints.append(
            Checkpoint(
                requests=sum(moments.count for moments in merged.moments.values()),
                naive=estimate_naive(merged, TREATED_ARM, ALL_CLASSES_METRIC, alpha),
                mixed=_mixed_estimate(requests, case.carry_time, now, alpha),
                baseline_mean=baseline.total_ms / max(baseline.count, 1),
            )
        )
    return checkpoints


@dataclass(frozen=True, slots=True)
class _CountedRequests:
    """The requests of one run after its warm-up, in order of arrival."""

    arrival: Floats
    sojourn: Floats
    arm: Ints

    @classmethod
    def of_run(cls, runs: SimulatedRuns, run: int) -> _CountedRequests:
        """Select the requests of a run that arrived after the warm-up."""
        arrival = runs.arrival_time[run]
        counted = np.isfinite(arrival) & (arrival >= WARMUP_TIME)
        return cls(arrival[counted], runs.sojourn_time[run][counted], runs.arm[run][counted])

    @property
    def end(self) -> Floats:
        """The time at which each request ended; infinite for one that did not."""
        return self.arrival + self.sojourn

    def merged_counters(self, now: float) -> MergedCounters:
        """Return the moments of the requests that have ended by `now`, by arm."""
        merged = MergedCounters()
        has_ended = self.end <= now
        for arm in (BASELINE_ARM, TREATED_ARM):
            sojourn = self.sojourn[has_ended & (self.arm == arm)]
            moments = merged.moments_of(ONLY_GROUP, arm, ONLY_CLASS)
            moments.add(len(sojourn), float(sojourn.sum()), float(sojourn @ sojourn))
        return merged

    def bin_edges(self, carry_time: float, now: float) -> Floats:
        """Return the edges of the bins before the first arrival that has not ended by `now`."""
        width = carry_time / LOOKAHEAD_BINS
        unfinished = self.arrival[self.end > now]
        complete_until = min(now, float(unfinished[0])) if len(unfinished) else now
        bins = max(int((complete_until - WARMUP_TIME) // width), 0)
        return np.asarray(WARMUP_TIME + width * np.arange(bins + 1), dtype=np.float64)

    def sum_by_bin(self, values: Floats, edges: Floats) -> Floats:
        """Return the sum of the requests' values in each bin; a request is in the bin of its arrival."""
        bins = len(edges) - 1
        bin_of = np.searchsorted(edges, self.arrival, side="right") - 1
        in_bins = bin_of < bins
        sums = np.bincount(bin_of[in_bins], weights=values[in_bins], minlength=bins)
        return np.asarray(sums, dtype=np.float64)

    def residuals(self, edges: Floats) -> QResiduals:
        """Return Q less its expectation by bin."""
        started = np.sort(self.arrival)
        ended = np.sort(self.end)
        outstanding = np.diff(_passed_count_integral(started, edges) - _passed_count_integral(ended, edges))
        at_edges = np.searchsorted(started, edges) - np.searchsorted(ended, edges)
        return q_residuals(
            accepted=self.sum_by_bin(np.ones(len(self.arrival)), edges),
            cost_ms=self.sum_by_bin(self.sojourn, edges),
            outstanding_ms=outstanding,
            outstanding_at_start=at_edges[:-1].astype(np.float64),
        )

    def count_by_bin(self, arm: int, edges: Floats) -> Floats:
        """Return the number of an arm's requests in each bin."""
        return self.sum_by_bin((self.arm == arm).astype(np.float64), edges)


def _mixed_estimate(requests: _CountedRequests, carry_time: float, now: float, alpha: float) -> Estimate:
    """Estimate mixed Differences-in-Q from the bins whose requests have all ended by `now`, as stages do."""
    edges = requests.bin_edges(carry_time, now)
    if len(edges) < MIN_EDGES:
        return estimate_from_sums({}, alpha)
    treated = requests.count_by_bin(TREATED_ARM, edges)
    baseline = requests.count_by_bin(BASELINE_ARM, edges)
    sums = group_sums(requests.residuals(edges), treated, baseline, EVEN_SPLIT)
    return estimate_from_sums({ONLY_GROUP: sums}, alpha)


def _passed_count_integral(times: Floats, edges: Floats) -> Floats:
    """Return the integral over time, up to each edge, of the number of sorted times that have passed."""
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
    """Run pairs of runs with swapped arms, split in half between the rules; evaluate each carry time.

    The true difference is measured over `pairs` runs with all traffic under each rule.
    """
    truth, truth_error = _true_difference(case, pairs, seed)
    results = [
        CalibrationResult(replace(case, carry_time=carry_time), truth, truth_error)
        for carry_time in carry_times
    ]
    for swapped in (False, True):
        plan = SimulationPlan(
            case.setting, case.rules, EVEN_SPLIT, pairs, case.arrivals, seed, swapped=swapped
        )
        runs = simulate(plan)
        for run in range(pairs):
            times = _checkpoint_times(runs.arrival_time[run])
            for result in results:
                result.checkpoints.append(checkpoints_of(result.case, runs, run, times, alpha))
    return results


def _checkpoint_times(arrival_time: Floats) -> Floats:
    """Return evenly spaced times from the end of the warm-up to a run's last arrival."""
    last = float(arrival_time[np.isfinite(arrival_time)].max())
    steps = np.arange(CHECKPOINT_COUNT) + 1
    return np.asarray(WARMUP_TIME + (last - WARMUP_TIME) * steps / CHECKPOINT_COUNT)


def _true_difference(case: CalibrationCase, runs: int, seed: int) -> tuple[float, float]:
    """Return the true mean sojourn time under the second rule less the first, and its standard error.

    Each run has all of its traffic under one rule.
    """
    differences = np.zeros(runs)
    if case.rules[0] != case.rules[1]:
        all_first = SimulationPlan(case.setting, case.rules, 0.0, runs, case.arrivals, seed)
        all_second = replace(all_first, second_fraction=1.0)
        differences = mean_sojourn_time(simulate(all_second)) - mean_sojourn_time(simulate(all_first))
    return float(differences.mean()), float(differences.std(ddof=1) / np.sqrt(runs))


@dataclass(frozen=True, slots=True)
class EstimatorQuality:
    """The errors of one estimate, at the end of all runs.

    `bias_uncertainty` is two standard errors of the bias. `coverage` is the fraction of runs whose interval
    contains the true difference, `sequence_coverage` the fraction whose confidence sequence contains it at
    every checkpoint, and `power` the fraction whose interval excludes zero with the true sign.
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


def estimator_quality(result: CalibrationResult, name: EstimateName) -> EstimatorQuality:
    """Return bias, coverage and power of one of the two estimates over all runs."""
    by_run = [_estimates(checkpoints, name) for checkpoints in result.checkpoints]
    last = [estimates[-1] for estimates in by_run]
    values = np.array([estimate.value for estimate in last])
    truth = result.truth
    covers = [estimate.low <= truth <= estimate.high for estimate in last]
    always_covers = [_sequences_cover(estimates, truth) for estimates in by_run]
    finds = [estimate.low > 0 if truth > 0 else estimate.high < 0 for estimate in last]
    return EstimatorQuality(
        mean=float(values.mean()),
        bias=float(values.mean() - truth),
        bias_uncertainty=float(UNCERTAINTY_ERRORS * _bias_error(values, result.truth_error)),
        spread=float(values.std(ddof=1)),
        mean_standard_error=float(np.mean([estimate.standard_error for estimate in last])),
        coverage=float(np.mean(covers)),
        sequence_coverage=float(np.mean(always_covers)),
        wrong_sign_fraction=float(np.mean(values * truth < 0)),
        power=float(np.mean(finds)),
    )


def _estimates(checkpoints: Sequence[Checkpoint], name: EstimateName) -> list[Estimate]:
    return [point.naive if name == "naive" else point.mixed for point in checkpoints]


def _sequences_cover(estimates: Sequence[Estimate], truth: float) -> bool:
    return all(estimate.sequence_low <= truth <= estimate.sequence_high for estimate in estimates)


def _bias_error(values: Floats, truth_error: float) -> float:
    """Return the standard error of the bias; values of runs with swapped arms are averaged in pairs."""
    pair_means = values.reshape(ARM_ORDERS, -1).mean(axis=0)
    return float(np.hypot(pair_means.std(ddof=1) / np.sqrt(len(pair_means)), truth_error))


def requests_until_alarm(result: CalibrationResult, guard: Guard) -> list[int | None]:
    """Return the number of requests after which the guard ended each run's arm; None if it did not.

    The criterion is that of `guard.harm_reason`, applied at each checkpoint.
    """
    return [_first_alarm(checkpoints, guard) for checkpoints in result.checkpoints]


def _first_alarm(checkpoints: Sequence[Checkpoint], guard: Guard) -> int | None:
    for checkpoint in checkpoints:
        if _shows_harm(checkpoint, guard):
            return checkpoint.requests
    return None


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
