"""What the policy keeps of a rollout: evidence on builds, the last vote, pauses of the traffic."""

from __future__ import annotations

import math
from statistics import fmean, pstdev
from typing import NamedTuple

from meadowpulley.interface import Phase, Result, RolloutUpdate, Verdict, Vote
from meadowpulley.state.averages import event_windows
from meadowpulley.state.failure_test import SequentialFailureTest


class BuildEvidence:
    """What is known of one build, kept while it is the newest or its baseline."""

    def __init__(
        self, own_failures: SequentialFailureTest, pooled_failures: SequentialFailureTest, memory_ms: float
    ) -> None:
        self.own_failures = own_failures  # by this gateway's outcomes
        self.pooled_failures = pooled_failures  # by those of all gateways
        self.timeout_evidence = 0.0  # log likelihood ratio that its requests time out, by all gateways
        # By class, and whether by the platform's statistics: exponentially weighted moving averages.
        self.baseline_failure_rate: dict[tuple[int, bool], float] = {}
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
        average = self.baseline_failure_rate.setdefault(scope, rate)
        self.baseline_failure_rate[scope] += weight * (rate - average)


class Summary(NamedTuple):
    """Number, mean and population standard deviation of some values; zeros where there are none."""

    size: int
    mean: float
    deviation: float

    def lower_bound(self, confidence_z: float) -> float:
        """Return the mean less so many of its standard errors."""
        return self.mean - confidence_z * self.deviation * math.sqrt(self.size) / max(self.size - 1, 1)


def summarize(values: list[float]) -> Summary:
    """Return number, mean and population standard deviation of the values."""
    return Summary(len(values), fmean(values), pstdev(values)) if values else Summary(0, 0.0, 0.0)


class VoteState:
    """The vote that was sent last, and what became of it."""

    def __init__(self) -> None:
        self.last_vote = Vote(-1, 0, Verdict.NONE)
        self.sent_at = self.valid_until = -math.inf
        self.backoff_until = -math.inf  # no vote before, as the platform got too many
        self.acknowledged = True

    def acknowledge(self, result: Result, valid_until: float) -> None:
        """Take in the platform's reply to the vote, which counts for a while if it was accepted."""
        self.acknowledged = True
        if result is Result.OK:
            self.valid_until = valid_until

    def record(self, vote: Vote, now: float) -> None:
        """Note a vote that is sent now."""
        self.last_vote, self.sent_at = vote, now
        self.acknowledged, self.valid_until = False, -math.inf


class TrafficPause:
    """Pauses of the traffic to the trial build while servers of all builds are slow."""

    def __init__(self) -> None:
        self.active = False
        self.count = 0  # pauses in short succession
        self.changed_at = -math.inf  # when the last pause began or ended
        self.slow_since = math.inf  # slow since then, with no baseline to compare with

    def begin(self, now: float, memory_ms: float) -> None:
        """Begin a pause; it adds to the count of the last ones if the last ended within `memory_ms`."""
        self.count = self.count + 1 if now - self.changed_at < memory_ms else 1
        self.active, self.changed_at = True, now

    def end(self, now: float) -> None:
        """End the pause."""
        self.active, self.changed_at = False, now


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
