"""Estimates of placement experiments against the truth: bias, coverage, false alarms, power, the guard.

    .venv/bin/python benchmarks/placement.py [--quick] [--seed N]

The supermarket model gives pairs of runs of each case, with swapped arms (200 pairs; --quick: 100), and the
truth from as many runs of each rule, in mean service times; the emulated fleet, with real rollout policies,
fewer seeds, in ms. Exit code 1 when an objective is missed: on congested fleets the 95% intervals cover at
least 93%, and the mixed estimate has less bias than the naive one, in sum, and in no case significantly more;
runs without a difference raise no more false alarms than stated; no rule is violated. --quick takes about a
minute on two processes.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from math import isfinite
from pathlib import Path
from statistics import fmean, median

from meadowpulley.experiment import LoadSpec, confidence_interval, wilson_interval
from meadowpulley.fleet import parse_fleet
from meadowpulley.placement import Arm, EndCondition, Experiment, Guard
from meadowpulley.placement.calibration import (
    CalibrationCase,
    CalibrationResult,
    EstimatorQuality,
    calibrate,
    estimator_quality,
    requests_until_alarm,
)
from meadowpulley.placement.emulated import run_experiment as emulate, single_arm
from meadowpulley.placement.supermarket_model import (
    LEAST_OUTSTANDING,
    OWN_ZONE,
    RANDOM,
    THREE_CHOICES,
    TWO_CHOICES,
    ModelSetting,
)

ALPHA, GUARD = 0.05, Guard()
FLEET = Path(__file__).parent.parent / "examples" / "placement-fleet.toml"
CONGESTED = [
    CalibrationCase(ModelSetting(20, 1, 0.9), (THREE_CHOICES, TWO_CHOICES)),  # the paper's Table 1
    CalibrationCase(ModelSetting(20, 4, 0.9), (TWO_CHOICES, LEAST_OUTSTANDING)),
    CalibrationCase(ModelSetting(20, 2, 0.7, zone_skew=0.65, cross_zone_delay=0.4), (TWO_CHOICES, OWN_ZONE)),
]
OTHERS = [
    CalibrationCase(ModelSetting(20, 1, 0.7), (THREE_CHOICES, TWO_CHOICES)),
    CalibrationCase(ModelSetting(20, 1, 0.5), (TWO_CHOICES, LEAST_OUTSTANDING)),
    CalibrationCase(ModelSetting(20, 1, 0.9), (TWO_CHOICES, LEAST_OUTSTANDING)),
    CalibrationCase(ModelSetting(40, 8, 0.9), (TWO_CHOICES, LEAST_OUTSTANDING)),
    CalibrationCase(ModelSetting(20, 1, 0.7), (TWO_CHOICES, RANDOM)),
    CalibrationCase(ModelSetting(20, 1, 0.9), (TWO_CHOICES, RANDOM)),
]
NO_DIFFERENCE = CalibrationCase(ModelSetting(20, 4, 0.9), (TWO_CHOICES, TWO_CHOICES))
HARMFUL = CalibrationCase(ModelSetting(20, 4, 0.9), (TWO_CHOICES, RANDOM))
CARRY = 20.0  # mean service times


MIN_COVERAGE = 0.93  # of the 95% intervals, on congested fleets
INTERVAL_95 = 1.96  # standard errors


@dataclass(frozen=True, slots=True)
class EmulatedEstimates:
    """The true difference of one seed and its estimates (ms), and how many rules were violated."""

    truth_ms: float
    naive_ms: float
    mixed_ms: float
    mixed_error_ms: float
    rule_violations: int

    @property
    def mixed_covers(self) -> bool:
        """Whether the mixed estimate's 95% interval contains the truth."""
        return abs(self.mixed_ms - self.truth_ms) <= INTERVAL_95 * self.mixed_error_ms


def emulated_estimates(seed: int, seconds: float, load: float) -> EmulatedEstimates:
    """Play one seed with real rollout policies: all traffic under each arm, and the experiment."""
    fleet = parse_fleet(FLEET.read_bytes(), FLEET.name)
    arms = (Arm("two", "two", 0.5), Arm("least", "least", 0.5))
    experiment = Experiment(1, "truth", arms, EndCondition(requests=10**9), carry_ms=1500.0)
    spec = LoadSpec(per_s=load * fleet.capacity() * 1000 / fleet.mean_work_ms(), seconds=seconds)
    variants = (single_arm(experiment, 0), single_arm(experiment, 1), experiment)
    baseline, treated, split = (emulate(fleet, variant, spec, seed) for variant in variants)
    comparison = next(found for found in split.summary.comparisons if not found.class_name)
    return EmulatedEstimates(
        truth_ms=treated.summary.arms[0].mean_ms - baseline.summary.arms[0].mean_ms,
        naive_ms=comparison.naive.value,
        mixed_ms=comparison.mixed.value,
        mixed_error_ms=comparison.mixed.standard_error,
        rule_violations=sum(sum(run.rule_violations.values()) for run in (baseline, treated, split)),
    )


def print_case(results: list[CalibrationResult]) -> None:
    """Print the rows of one case: naive, and mixed by carry time."""
    print_row("naive", results[0], estimator_quality(results[0], "naive"))
    for result in results:
        name = f"mixed, carry {result.case.carry_time:g}"
        print_row(name, result, estimator_quality(result, "mixed"))


def print_row(name: str, result: CalibrationResult, quality: EstimatorQuality) -> None:
    """Print one estimate's quality as a row of a Markdown table."""
    case = result.case
    start = f"| {case.name}, load {case.setting.load:g} | {result.truth:+.3f} | {name} | "
    if not isfinite(quality.mean):
        print(start + "too short" + " |" * 7)
        return
    print(
        f"{start}{quality.bias:+.3f} ± {quality.bias_uncertainty:.3f} | {quality.spread:.3f} | "
        f"{quality.mean_standard_error:.3f} | {quality.coverage:.1%} | {quality.sequence_coverage:.1%} | "
        f"{quality.wrong_sign_fraction:.0%} | {quality.power:.0%} |"
    )


def has_less_bias(mixed: list[EstimatorQuality], naive: list[EstimatorQuality]) -> bool:
    """Whether the mixed estimates have less bias in sum, and in no case significantly more."""
    has_less = sum(abs(quality.bias) for quality in mixed) < sum(abs(quality.bias) for quality in naive)
    return has_less and all(
        abs(new.bias) - new.bias_uncertainty < abs(old.bias) + old.bias_uncertainty
        for new, old in zip(mixed, naive, strict=True)
    )


def print_verdict(
    congested: list[CalibrationResult],
    unchanged: CalibrationResult,
    harmful: CalibrationResult,
    rule_violations: int,
    seed: int,
) -> int:
    """Print whether all objectives are met; return the exit code."""
    mixed, naive = ([estimator_quality(result, name) for result in congested] for name in ("mixed", "naive"))
    coverage, runs = fmean(quality.coverage for quality in mixed), len(unchanged.checkpoints)
    excluded_zero = sum(
        any(not point.naive.sequence_low <= 0 <= point.naive.sequence_high for point in checkpoints)
        for checkpoints in unchanged.checkpoints
    )
    false_alarms = sum(count is not None for count in requests_until_alarm(unchanged, GUARD))
    alarms = [count for count in requests_until_alarm(harmful, GUARD) if count is not None]
    met = (
        coverage >= MIN_COVERAGE
        and not rule_violations
        and has_less_bias(mixed, naive)
        and wilson_interval(excluded_zero, runs).low <= ALPHA
        and wilson_interval(false_alarms, runs).low <= GUARD.alpha
    )
    biases = ", ".join(f"{new.bias:+.2f} for {old.bias:+.2f}" for new, old in zip(mixed, naive, strict=True))
    print(
        f"{'objectives met' if met else 'OBJECTIVE MISSED'}: mixed 95% intervals cover {coverage:.1%} on "
        f"congested fleets, bias of the mixed for that of the naive estimate {biases} service times; without "
        f"a difference {excluded_zero} of {runs} runs excluded zero at some look and {false_alarms} were "
        f"ended by the guard, of harmful ones {len(alarms)} of {len(harmful.checkpoints)}, "
        f"after {median(alarms or [0]):.0f} requests; rules violated {rule_violations}, seed {seed}"
    )
    return 0 if met else 1


def main() -> int:
    """Run the benchmark; return the exit code."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    pairs, arrivals, carries = (100, 10_000, (CARRY,)) if args.quick else (200, 10_000, (10.0, CARRY, 40.0))
    cases = CONGESTED if args.quick else CONGESTED + OTHERS
    seeds, seconds = (2, 15.0) if args.quick else (12, 40.0)
    with ProcessPoolExecutor(2) as pool:
        fleet = [pool.submit(emulated_estimates, args.seed + n, seconds, 0.9) for n in range(seeds)]
        futures = [
            pool.submit(calibrate, replace(case, arrivals=arrivals), pairs, args.seed, carries, ALPHA)
            for case in (*cases, NO_DIFFERENCE, HARMFUL)
        ]
        emulated, results = [future.result() for future in fleet], [future.result() for future in futures]
    columns = ("case", "truth", "estimate", "bias", "spread", "stated error", "95% covers")
    print("| " + " | ".join((*columns, "at all looks", "wrong sign", "finds it")) + " |")
    print("| --- " * 10 + "|")
    for case_results in results:
        print_case(case_results)
    print()
    print_emulated(emulated)
    judged = [next(found for found in each if found.case.carry_time == CARRY) for each in results]
    *others, unchanged, harmful = judged
    violations = sum(run.rule_violations for run in emulated)
    return print_verdict(others[: len(CONGESTED)], unchanged, harmful, violations, args.seed)


def print_emulated(runs: list[EmulatedEstimates]) -> None:
    """Print the means over the seeds of the emulated fleet."""
    by_name = {
        "truth": [run.truth_ms for run in runs],
        "naive": [run.naive_ms for run in runs],
        "mixed": [run.mixed_ms for run in runs],
    }
    for name, values in by_name.items():
        mean = confidence_interval(values)
        print(
            f"emulated fleet, real rollout policies, {len(runs)} seeds: "
            f"{name} {mean.mean:+.1f} ± {mean.half_width:.1f} ms"
        )
    inside = sum(run.mixed_covers for run in runs)
    print(f"emulated fleet: {inside} of {len(runs)} mixed intervals contain the truth of their seed")


if __name__ == "__main__":
    sys.exit(main())
