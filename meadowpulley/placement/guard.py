"""Whether an arm does harm and must end. Pure; `stage.py` has the ledger settle it, once for all gateways.

Two measures are watched, each with half of the guard's alpha, over all arms: the naive difference, which is
sharp but is blind to what an arm does to the requests of others, and the mixed Differences-in-Q estimate,
which is not. Both are confidence sequences: looking often makes no false alarm likelier.
"""

from __future__ import annotations

from collections.abc import Callable

from meadowpulley.placement.counts import Merged
from meadowpulley.placement.definition import Experiment
from meadowpulley.placement.estimate import Estimate, mean_ms, mixed, naive, switchback


def harmful(experiment: Experiment, merged: Merged, arm: int) -> str:
    """Why this arm should end: one line; empty if nothing shows that it should."""
    guard = experiment.guard
    odds = experiment.odds(arm)
    measures: list[tuple[str, Callable[[float], Estimate]]] = [
        ("as measured", lambda level: naive(merged, arm, 0, level)),
        ("with what it costs others", lambda level: mixed(merged, arm, 0, level, odds)),
    ]
    if experiment.unit == "time":  # requests of one block share an arm: blocks are compared
        measures = [("by time blocks", lambda level: switchback(merged, arm, 0, level))]
    alpha = 2 * guard.alpha / (len(measures) * (len(experiment.arms) - 1))  # only harm counts: one side
    for what, measure in measures:
        found = measure(min(alpha, 0.5))
        margin = guard.worse * mean_ms(merged, 0, 0)
        if found.always_low > margin:
            of = "blocks" if experiment.unit == "time" else "requests"
            return (
                f"arm '{experiment.arms[arm].name}' is worse {what} by {found.always_low:.0f} ms or more, "
                f"margin {margin:.0f} ms, after {found.n} {of}"
            )
    return ""
