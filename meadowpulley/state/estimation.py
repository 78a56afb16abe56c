"""The mixed Differences-in-Q estimator, for an A/B test on a queueing system.

The formula numbers in this module are those of the paper on Differences-in-Q. This module implements
formulas (12), (15)-(20) and (39) and appendix C.3 of that paper. Callers pass all tuned values.
"""

from __future__ import annotations

import math
from itertools import accumulate
from statistics import fmean
from typing import NamedTuple

from meadowpulley.state.requests import Attempt

# The latency Q and the queue length Q are treated as equal if the sum of their squared differences is at
# most this, in square milliseconds. The weights then make no difference to the weighted mean.
MIN_VARIANCE = 1e-9
BASELINE_ARM = 0
TRIAL_ARM = 1
NO_ARM = -1


class QDifference(NamedTuple):
    """The trial arm's mean mixed Q value minus the baseline's, and its standard error, both in ms."""

    difference: float
    error: float
    trial_count: int
    baseline_count: int


class CostSeries(NamedTuple):
    """The costs of requests in sending order; each list has one entry per request.

    `blocks` holds each request's block: requests of the two arms are compared only within the same block.
    """

    latencies: list[float]  # latency cost of each request in ms
    queue_lengths: list[float]  # mean outstanding attempts per server when each request was sent
    arms: list[int]  # arm of each request: BASELINE_ARM, TRIAL_ARM or NO_ARM
    blocks: list[tuple[float, int]]


class QMix(NamedTuple):
    """Parameters of the Q functions, formula (39) of the paper.

    A request's Q value is the sum of the costs of the request and of the next `horizon` requests.
    `arrival_rate` is the number of requests per ms.
    """

    horizon: int
    arrival_rate: float
    # Minimum weight of the latency Q, from 0 to 1. The weights of the latency Q and of the queue length Q
    # add up to 1.
    min_alpha: float


class _Block(NamedTuple):
    """The positions of one block's requests in the cost series, by arm."""

    baseline: list[int]
    trial: list[int]

    @property
    def weight(self) -> float:
        """The inverse variance of the difference between the arms' means, for values of variance 1."""
        return 1 / (1 / len(self.trial) + 1 / len(self.baseline))

    def difference(self, values: list[float]) -> float:
        """Return the mean of the block's values in the trial arm minus their mean in the baseline arm."""
        trial_mean = fmean([values[position] for position in self.trial])
        baseline_mean = fmean([values[position] for position in self.baseline])
        return trial_mean - baseline_mean


def mixed_q(costs: CostSeries, mix: QMix) -> QDifference:
    """Estimate by how many ms the trial arm raises the mean latency of all requests.

    Requests of the two arms are compared only within the same block. A request's Q value is the sum of its
    own cost and the costs of the following requests, by formula (12) of the paper. Queue lengths are divided
    by the arrival rate to convert them to milliseconds, by formula (15).
    """
    count = len(costs.latencies) - mix.horizon  # the last `horizon` requests have no complete Q value
    blocks = _blocks_with_both_arms(costs.arms[: max(count, 0)], costs.blocks)
    if not blocks or mix.arrival_rate <= 0:
        return QDifference(0.0, math.inf, 0, 0)
    mixed = _mixed_q_function(costs, mix, blocks)
    trial_count = sum([len(block.trial) for block in blocks])
    baseline_count = sum([len(block.baseline) for block in blocks])
    squares = [value * value for value in _centred(mixed, blocks)]
    variance = sum(squares, 0.0) / (trial_count + baseline_count)  # as in appendix C.3 of the paper
    weights = [block.weight for block in blocks]
    total_weight = sum(weights, 0.0)
    difference = _weighted_difference(mixed, blocks, weights) / total_weight
    return QDifference(difference, math.sqrt(variance / total_weight), trial_count, baseline_count)


def _weighted_difference(mixed: list[float], blocks: list[_Block], weights: list[float]) -> float:
    """Return the weighted sum, over all blocks, of the difference between the arms' mean Q values."""
    differences = [block.difference(mixed) for block in blocks]
    products = [weight * difference for weight, difference in zip(weights, differences, strict=True)]
    return sum(products, 0.0)


def _mixed_q_function(costs: CostSeries, mix: QMix, blocks: list[_Block]) -> list[float]:
    """Return for each request the weighted mean of its latency Q and its queue length Q.

    This is formula (20) of the paper.
    """
    latency_q = _q_function(costs.latencies, mix.horizon)
    queue_q = [total / mix.arrival_rate for total in _q_function(costs.queue_lengths, mix.horizon)]
    best_alpha = _best_alpha(_centred(latency_q, blocks), _centred(queue_q, blocks))
    alpha = max(best_alpha, mix.min_alpha)
    return [alpha * latency + (1 - alpha) * queue for latency, queue in zip(latency_q, queue_q, strict=True)]


def _blocks_with_both_arms(arms: list[int], blocks: list[tuple[float, int]]) -> list[_Block]:
    groups: dict[tuple[float, int], _Block] = {}
    for position, arm in enumerate(arms):
        if arm == NO_ARM:
            continue
        block = groups.setdefault(blocks[position], _Block([], []))
        block[arm].append(position)
    return [block for block in groups.values() if block.baseline and block.trial]


def _q_function(costs: list[float], horizon: int) -> list[float]:
    """Return for each request the sum of its own cost and those of the next `horizon` requests.

    This is formula (12) of the paper.
    """
    sums = [0.0, *accumulate(costs)]
    return [sums[first + horizon + 1] - sums[first] for first in range(len(costs) - horizon)]


def _centred(values: list[float], blocks: list[_Block]) -> list[float]:
    """Return the values of all requests in the blocks, each minus the mean of its block."""
    centred: list[float] = []
    for block in blocks:
        members = block.baseline + block.trial
        mean = fmean([values[position] for position in members])
        centred += [values[position] - mean for position in members]
    return centred


def _best_alpha(latency_q: list[float], queue_q: list[float]) -> float:
    """Return the weight of the latency Q in the weighted mean of latency Q and queue length Q.

    This weight minimizes the variance of the weighted mean; it is formula (19) of the paper. Both lists hold
    Q values minus the mean of their block.
    """
    pairs = list(zip(latency_q, queue_q, strict=True))
    variance = sum([(latency - queue) ** 2 for latency, queue in pairs], 0.0)
    if variance <= MIN_VARIANCE:
        return 1.0
    return sum([queue * (queue - latency) for latency, queue in pairs], 0.0) / variance


class LatencySamples:
    """The attempts of an A/B test, each with its arm and its latency cost.

    Latency costs are capped at `max_latency_ms`. Latency costs and queue lengths of servers in slow start are
    scaled down to those of warmed-up servers.
    """

    def __init__(self, attempts: list[Attempt], arms: list[int], now: float, max_latency_ms: float) -> None:
        """Store attempts in the order in which they were sent, with the arm of each."""
        self.attempts = attempts
        self.arms = arms
        self.latencies = [min(attempt.latency_cost(now), max_latency_ms) for attempt in attempts]

    @property
    def baseline_mean(self) -> float:
        """The mean latency cost of the baseline's attempts in ms; 0 without such attempts."""
        pairs = zip(self.latencies, self.arms, strict=True)
        baseline = [latency for latency, arm in pairs if arm == BASELINE_ARM]
        return fmean(baseline or [0.0])

    def compare(self, block_ms: float, mix: QMix) -> QDifference:
        """Estimate with `mixed_q` how much latency the trial arm adds.

        Attempts are compared only if they were sent in the same period of `block_ms` milliseconds, to servers
        of the same machine kind.
        """
        queue_lengths = [attempt.slow_start_fraction * attempt.queue_length for attempt in self.attempts]
        blocks = [(attempt.sent_at // block_ms, attempt.server.kind) for attempt in self.attempts]
        return mixed_q(CostSeries(self.latencies, queue_lengths, self.arms, blocks), mix)
