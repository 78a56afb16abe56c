"""Whether an arm does harm and must end; the stage has the ledger settle it, once for all gateways.

Two measures are evaluated, each with half of the guard's alpha, over all arms: the naive difference, which
is precise but blind to what an arm costs the requests of others, and the mixed Differences-in-Q estimate,
which is not. Both are confidence sequences: evaluating often makes no false alarm likelier.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowpulley.placement.definition import Experiment
from meadowpulley.placement.estimate import (
    Estimate,
    estimate_mixed,
    estimate_naive,
    estimate_switchback,
    mean_cost_ms,
)
from meadowpulley.placement.merged_counters import MergedCounters

MAX_ALPHA = 0.5  # a confidence sequence has no level below that


@dataclass(frozen=True, slots=True)
class _Measure:
    name: str
    estimate: Callable[[float], Estimate]  # by alpha


def harm_reason(experiment: Experiment, merged: MergedCounters, arm: int) -> str:
    """Return the reason, in one line, for ending an arm; empty if nothing shows that it should."""
    guard = experiment.guard
    measures = _measures(experiment, merged, arm)
    # One-sided, as only harm counts, and shared by all measures and arms.
    alpha = 2 * guard.alpha / (len(measures) * (len(experiment.arms) - 1))
    for measure in measures:
        estimate = measure.estimate(min(alpha, MAX_ALPHA))
        margin = guard.worse * mean_cost_ms(merged, 0, 0)
        if estimate.sequence_low > margin:
            unit = "blocks" if experiment.unit == "time" else "requests"
            return (
                f"arm '{experiment.arms[arm].name}' is worse {measure.name} by "
                f"{estimate.sequence_low:.0f} ms or more, margin {margin:.0f} ms, "
                f"after {estimate.sample_size} {unit}"
            )
    return ""


def _measures(experiment: Experiment, merged: MergedCounters, arm: int) -> list[_Measure]:
    if experiment.unit == "time":  # requests of one block share an arm: blocks are compared
        return [_Measure("by time blocks", lambda alpha: estimate_switchback(merged, arm, 0, alpha))]
    probability = experiment.relative_probability(arm)
    return [
        _Measure("as measured", lambda alpha: estimate_naive(merged, arm, 0, alpha)),
        _Measure(
            "with what it costs others", lambda alpha: estimate_mixed(merged, arm, 0, alpha, probability)
        ),
    ]
