"""What the policy keeps of a rollout: evidence on a build, bounds of its slowdown, the order of states."""

from __future__ import annotations

import math
from typing import NamedTuple

from meadowpulley.interface import Phase, RolloutUpdate
from meadowpulley.state.averages import event_windows
from meadowpulley.state.failure_test import SequentialFailureTest


class BuildEvidence:
    """What is known of one build, kept while it is the newest or its baseline."""

    def __init__(
        self, own_failures: SequentialFailureTest, pooled_failures: SequentialFailureTest, memory_ms: float
    ) -> None:
        """Begin without evidence; attempts at the build are counted for `memory_ms`."""
        self.own_failures = own_failures  # by this gateway's outcomes and the platform's statistics
        self.pooled_failures = pooled_failures  # by those of all gateways
        self.timeout_evidence = 0.0  # log likelihood ratio that its requests time out, by all gateways
        # By class, and whether by the platform's statistics: exponentially weighted moving averages.
        self.failure_rates: dict[tuple[int, bool], float] = {}
        self.hold_started_at: dict[int, float] = {}  # by stage
        self.sent_windows = event_windows(memory_ms)  # attempts, by exposure class

    def add_timeouts(self, timeouts: int, responses: int, usual_rate: float, bad_rate: float) -> None:
        """Add to the evidence that the build's requests time out at the bad rate and not at the usual one."""
        timeout_ratio = math.log(bad_rate / usual_rate)
        response_ratio = math.log((1 - bad_rate) / (1 - usual_rate))
        added = self.timeout_evidence + timeouts * timeout_ratio
        self.timeout_evidence = max(added + responses * response_ratio, 0.0)

    def update_failure_rate(self, scope: tuple[int, bool], rate: float, weight: float) -> None:
        """Take a rate into the moving average of a class; the first one is the average."""
        average = self.failure_rates.setdefault(scope, rate)
        self.failure_rates[scope] += weight * (rate - average)


class Slowdown(NamedTuple):
    """Bounds of how much a build raises the latency, the margin that it has, and the lesser sample's size."""

    low_ms: float
    high_ms: float
    margin_ms: float
    samples: int


_PHASES = (Phase.TRIAL, Phase.RELEASED, Phase.ROLLING_BACK, Phase.ROLLED_BACK)


def progress(rollout: RolloutUpdate) -> tuple[int, int, int]:
    """Return what orders the states of rollouts, so that a late update of an earlier state undoes nothing."""
    return rollout.build, _PHASES.index(rollout.phase), rollout.stage
