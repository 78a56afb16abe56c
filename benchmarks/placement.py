"""Estimates of placement experiments against the truth: bias, coverage, false alarms, power, the guard.

    .venv/bin/python benchmarks/placement.py [--quick] [--seed N]

The supermarket model gives pairs of runs of each case, with swapped arms (200 pairs; --quick: 100), and the
truth from as many runs of each way, in mean service times; the emulated fleet, with real balancers, fewer
seeds, in ms. Exit code 1 when an aim is missed: on congested fleets the 95% intervals cover at least 93%, and
the mixed estimate has less bias than the naive one, added up, and in no case surely more; runs without a
difference raise no more false alarms than stated; no rule is broken. --quick takes about a minute on two
processes.
"""

from __future__ import annotations

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from math import isfinite
from pathlib import Path
from statistics import fmean, median

from meadowpulley.experiment import LoadSpec, confidence_interval, wilson_interval
from meadowpulley.fleet import parse_fleet
from meadowpulley.placement import Arm, EndCondition, Experiment, Guard
from meadowpulley.placement.calibration import (
    CalibrationCase,
    CalibrationResult,
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


def emulated_estimates(
    seed: int, seconds: float, load: float
) -> tuple[float, float, float, float, float, int]:
    """Truth, naive, mixed and their errors (ms), and rules broken, of one seed with real balancers."""
    fleet = parse_fleet(FLEET.read_bytes(), FLEET.name)
    arms = (Arm("two", "two", 0.5), Arm("least", "least", 0.5))
    e = Experiment(1, "truth", arms, EndCondition(requests=10**9), carry_ms=1500.0)
    spec = LoadSpec(per_s=load * fleet.capacity() * 1000 / fleet.mean_work_ms(), seconds=seconds)
    a, b, both = (emulate(fleet, x, spec, seed) for x in (single_arm(e, 0), single_arm(e, 1), e))
    truth = b.summary.arms[0].mean_ms - a.summary.arms[0].mean_ms
    found = next(c for c in both.summary.comparisons if not c.class_name)
    broken = sum(sum(p.rule_violations.values()) for p in (a, b, both))
    return (
        truth,
        found.naive.value,
        found.naive.standard_error,
        found.mixed.value,
        found.mixed.standard_error,
        broken,
    )


def print_case(found: list[CalibrationResult]) -> None:
    """One case: naive, and mixed by carry time."""
    rows = [("naive", found[0], estimator_quality(found[0], "naive"))]
    rows += [(f"mixed, carry {f.case.carry_time:g}", f, estimator_quality(f, "mixed")) for f in found]
    for name, f, k in rows:
        if not isfinite(k.mean):
            print(
                f"| {f.case.name}, load {f.case.setting.load:g} | {f.truth:+.3f} | {name} | too short"
                + " |" * 7
            )
            continue
        print(
            f"| {f.case.name}, load {f.case.setting.load:g} | {f.truth:+.3f} | {name} | "
            f"{k.bias:+.3f} ± {k.bias_uncertainty:.3f} | {k.spread:.3f} | {k.mean_standard_error:.3f} | "
            f"{k.coverage:.1%} | "
            f"{k.sequence_coverage:.1%} | {k.wrong_sign_fraction:.0%} | {k.power:.0%} |"
        )


def print_verdict(
    congested: list[CalibrationResult],
    unchanged: CalibrationResult,
    harmful: CalibrationResult,
    broken: int,
    seed: int,
) -> int:
    mixed, plain = ([estimator_quality(f, name) for f in congested] for name in ("mixed", "naive"))
    covers, runs = fmean(q.coverage for q in mixed), len(unchanged.checkpoints)
    false = sum(
        any(not look.naive.sequence_low <= 0 <= look.naive.sequence_high for look in r)
        for r in unchanged.checkpoints
    )
    wrongly = sum(n is not None for n in requests_until_alarm(unchanged, GUARD))
    ended = [n for n in requests_until_alarm(harmful, GUARD) if n is not None]
    good = covers >= 0.93 and not broken
    good &= sum(abs(m.bias) for m in mixed) < sum(abs(n.bias) for n in plain)
    good &= all(
        abs(m.bias) - m.bias_uncertainty < abs(n.bias) + n.bias_uncertainty
        for m, n in zip(mixed, plain, strict=True)
    )
    good &= wilson_interval(false, runs).low <= ALPHA and wilson_interval(wrongly, runs).low <= GUARD.alpha
    biases = ", ".join(f"{m.bias:+.2f} for {n.bias:+.2f}" for m, n in zip(mixed, plain, strict=True))
    print(
        f"{'aims met' if good else 'AIM MISSED'}: mixed 95% intervals cover {covers:.1%} on congested "
        f"fleets, bias of the mixed for that of the naive estimate {biases} service times; without a "
        f"difference {false} of {runs} runs excluded zero at some look and {wrongly} were ended by the "
        f"guard, of harmful ones {len(ended)} of {len(harmful.checkpoints)}, "
        f"after {median(ended or [0]):.0f} requests; rules broken {broken}, seed {seed}"
    )
    return 0 if good else 1


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    pairs, arrivals, carries = (100, 10_000, (CARRY,)) if args.quick else (200, 10_000, (10.0, CARRY, 40.0))
    cases = CONGESTED if args.quick else CONGESTED + OTHERS
    seeds, seconds = (2, 15.0) if args.quick else (12, 40.0)
    with ProcessPoolExecutor(2) as pool:
        fleet = [pool.submit(emulated_estimates, args.seed + n, seconds, 0.9) for n in range(seeds)]
        futures = [
            pool.submit(calibrate, replace(c, arrivals=arrivals), pairs, args.seed, carries, ALPHA)
            for c in (*cases, NO_DIFFERENCE, HARMFUL)
        ]
        real, found = [f.result() for f in fleet], [f.result() for f in futures]
    columns = ("case", "truth", "estimate", "bias", "spread", "stated error", "95% covers")
    print("| " + " | ".join((*columns, "at all looks", "wrong sign", "finds it")) + " |")
    print("| --- " * 10 + "|")
    for each in found:
        print_case(each)
    print()
    for name, at in (("truth", 0), ("naive", 1), ("mixed", 3)):
        over = confidence_interval([r[at] for r in real])
        print(
            f"emulated fleet, real balancers, {seeds} seeds: "
            f"{name} {over.mean:+.1f} ± {over.half_width:.1f} ms"
        )
    inside = sum(abs(r[3] - r[0]) <= 1.96 * r[4] for r in real)
    print(f"emulated fleet: {inside} of {seeds} mixed intervals have the truth of their seed")
    wanted = [next(f for f in each if f.case.carry_time == CARRY) for each in found]
    *others, still, bad = wanted
    return print_verdict(others[: len(CONGESTED)], still, bad, sum(r[5] for r in real), args.seed)


if __name__ == "__main__":
    sys.exit(main())
