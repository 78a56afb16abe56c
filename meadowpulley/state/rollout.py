"""State of a rollout: evidence on a build, bounds of the build's slowdown, order of rollout states."""

from __future__ import annotations

import math
from typing import NamedTuple

from meadowpulley.interface import Phase, RolloutUpdate
from meadowpulley.state.averages import event_windows
from meadowpulley.state.failure_test import SequentialFailureTest


class BuildEvidence:
    """The evidence on one build, kept while the build is the newest or the baseline."""

    def __init__(
        self, own_failures: SequentialFailureTest, pooled_failures: SequentialFailureTest, memory_ms: float
    ) -> None:
        """Start without evidence; attempts at the build are counted over the last `memory_ms`."""
        self.own_failures = own_failures  # test on this gateway's outcomes and the platform's statistics
        self.pooled_failures = pooled_failures  # test on the outcomes of all gateways
        self.timeout_evidence = 0.0  # log likelihood ratio of time-outs at all gateways
        # Exponentially weighted moving averages of the build's failure rates. A key holds the request class,
        # and whether the rate comes from the platform's statistics.
        self.failure_rates: dict[tuple[int, bool], float] = {}
        self.hold_started_at: dict[int, float] = {}  # time of the first vote to hold, by stage
        self.sent_windows = event_windows(memory_ms)  # attempts at the build, by exposure class

    def add_timeouts(self, timeouts: int, responses: int, usual_rate: float, bad_rate: float) -> None:
        """Update the evidence that requests to the build time out at `bad_rate` rather than `usual_rate`."""
        timeout_ratio = math.log(bad_rate / usual_rate)
        response_ratio = math.log((1 - bad_rate) / (1 - usual_rate))
        added = self.timeout_evidence + timeouts * timeout_ratio
        self.timeout_evidence = max(added + responses * response_ratio, 0.0)

    def update_failure_rate(self, scope: tuple[int, bool], rate: float, weight: float) -> None:
        """Add a rate to a moving average in `failure_rates`; the first rate starts the average."""
        average = self.failure_rates.setdefault(scope, rate)
        self.failure_rates[scope] += weight * (rate - average)


class Slowdown(NamedTuple):
    """Confidence interval of the latency that a build adds, and the margin of latency that is accepted.

    `samples` is the size of the smaller of the two samples that were compared.
    """

    low_ms: float
    high_ms: float
    margin_ms: float
    samples: int


_PHASES = (Phase.TRIAL, Phase.RELEASED, Phase.ROLLING_BACK, Phase.ROLLED_BACK)


def progress(rollout: RolloutUpdate) -> tuple[int, int, int]:
    """Return a sort key that orders the states of rollouts.

    An update that arrives late has a lower key than the known state, and must not replace that state.
    """
    return rollout.build, _PHASES.index(rollout.phase), rollout.stage
