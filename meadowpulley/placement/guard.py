"""Decide whether an arm does harm and must end.

The stage records the end in the ledger, where it is decided once for all gateways.

Two measures are evaluated, each with half of the guard's alpha, which is divided among all arms. The naive
difference is precise, but misses what an arm's requests cost those of other arms. The mixed
Differences-in-Q estimate includes it. Both have confidence sequences, so that evaluating often does not make
false alarms more likely. A switchback has one measure, its time blocks, with the whole alpha.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowpulley.placement.confidence import Estimate
from meadowpulley.placement.definition import Experiment
from meadowpulley.placement.estimate import (
    estimate_mixed,
    estimate_naive,
    estimate_switchback,
    mean_cost_ms,
)
from meadowpulley.placement.merged_counters import MergedCounters
from meadowpulley.placement.metrics import ALL_CLASSES_METRIC, BASELINE_ARM

MAX_ALPHA = 0.5  # largest alpha of a confidence sequence: its level is at least 0.5
SIDES = 2  # of a confidence sequence; only the side of harm is used, so that it may have the whole alpha


@dataclass(frozen=True, slots=True)
class _Measure:
    name: str
    estimate: Callable[[float], Estimate]  # from alpha


def harm_reason(experiment: Experiment, merged: MergedCounters, arm: int) -> str:
    """Return the reason for ending an arm, in one line; empty if no measure shows harm."""
    measures = _measures(experiment, merged, arm)
    alpha = _alpha_of_each(experiment, len(measures))
    margin_ms = experiment.guard.worse * mean_cost_ms(merged, BASELINE_ARM, ALL_CLASSES_METRIC)
    for measure in measures:
        estimate = measure.estimate(alpha)
        if estimate.sequence_low > margin_ms:
            unit = "blocks" if experiment.unit == "time" else "requests"
            return (
                f"arm '{experiment.arms[arm].name}' is worse {measure.name} by "
                f"{estimate.sequence_low:.0f} ms or more, margin {margin_ms:.0f} ms, "
                f"after {estimate.sample_size} {unit}"
            )
    return ""


def _alpha_of_each(experiment: Experiment, measure_count: int) -> float:
    """Divide the guard's alpha among all measures and arms (Bonferroni), as two-sided alphas."""
    compared_arms = len(experiment.arms) - 1
    alpha = SIDES * experiment.guard.alpha / (measure_count * compared_arms)
    return min(alpha, MAX_ALPHA)


def _measures(experiment: Experiment, merged: MergedCounters, arm: int) -> list[_Measure]:
    def naive(alpha: float) -> Estimate:
        """Return the naive difference of the mean costs."""
        return estimate_naive(merged, arm, ALL_CLASSES_METRIC, alpha)

    def mixed(alpha: float) -> Estimate:
        """Return the mixed estimate, which includes what an arm's requests cost others."""
        probability = experiment.relative_probability(arm)
        return estimate_mixed(merged, arm, ALL_CLASSES_METRIC, alpha, probability)

    def switchback(alpha: float) -> Estimate:
        """Return the difference of the mean costs of time blocks."""
        return estimate_switchback(merged, arm, ALL_CLASSES_METRIC, alpha)

    if experiment.unit == "time":  # requests of one block share an arm: blocks are compared
        return [_Measure("by time blocks", switchback)]
    return [_Measure("as measured", naive), _Measure("with what it costs others", mixed)]
