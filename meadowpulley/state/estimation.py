"""The mixed Differences-in-Q estimator, for an A/B test on a queueing system.

Formulas: the paper, (12), (15)-(20), (39) and appendix C.3. Nothing here is tuned: every value comes in.
"""

from __future__ import annotations

import math
from itertools import accumulate
from statistics import fmean
from typing import NamedTuple

from meadowpulley.state.requests import Attempt

MIN_VARIANCE = 1e-9  # of the difference between both Q functions; below it the mix makes no difference


class QDifference(NamedTuple):
    """The trial arm's mean mixed Q function less the baseline's, with its standard error, in milliseconds."""

    difference: float
    error: float
    trial_count: int
    baseline_count: int


class _Block(NamedTuple):
    """The requests of one block, by their position, that went to each arm."""

    baseline: list[int]
    trial: list[int]


def mixed_q(
    latencies: list[float],
    queue_lengths: list[float],
    arms: list[int],
    blocks: list[tuple[float, int]],
    horizon: int,
    arrival_rate: float,
    min_alpha: float,
) -> QDifference:
    """Estimate by how much the trial arm raises the mean latency of all requests, within blocks.

    The lists hold one entry per request, in order of sending: its latency in ms, the queue length that it
    met, its arm (0 baseline, 1 trial, -1 neither) and its block. A request's Q function adds the costs of the
    next `horizon` requests to its own (12); `arrival_rate`, per ms (39), makes ms of queue lengths (15).
    """
    count = len(latencies) - horizon  # the last requests have no whole sums
    both = _blocks_with_both_arms(arms[: max(count, 0)], blocks)
    if not both or arrival_rate <= 0:
        return QDifference(0.0, math.inf, 0, 0)
    latency_q = _q_function(latencies, horizon)
    queue_q = [total / arrival_rate for total in _q_function(queue_lengths, horizon)]
    alpha = max(_best_alpha(_centred(latency_q, both), _centred(queue_q, both)), min_alpha)
    mixed = [alpha * w + (1 - alpha) * q for w, q in zip(latency_q, queue_q, strict=True)]  # (20)
    differences = [
        fmean([mixed[j] for j in block.trial]) - fmean([mixed[j] for j in block.baseline]) for block in both
    ]
    weights = [1 / (1 / len(block.trial) + 1 / len(block.baseline)) for block in both]
    weighted = sum([w * d for w, d in zip(weights, differences, strict=True)], 0.0)
    trial_count = sum(len(block.trial) for block in both)
    baseline_count = sum(len(block.baseline) for block in both)
    variance = sum([m * m for m in _centred(mixed, both)], 0.0) / (trial_count + baseline_count)  # C.3
    total_weight = sum(weights, 0.0)
    return QDifference(
        weighted / total_weight, math.sqrt(variance / total_weight), trial_count, baseline_count
    )


def _blocks_with_both_arms(arms: list[int], blocks: list[tuple[float, int]]) -> list[_Block]:
    groups: dict[tuple[float, int], _Block] = {}
    for j, arm in enumerate(arms):
        if arm >= 0:
            groups.setdefault(blocks[j], _Block([], []))[arm].append(j)
    return [block for block in groups.values() if block.baseline and block.trial]


def _q_function(costs: list[float], horizon: int) -> list[float]:
    """Return for each request the sum of its cost and of the next `horizon` ones (12)."""
    sums = [0.0, *accumulate(costs)]
    return [sums[j + horizon + 1] - sums[j] for j in range(len(costs) - horizon)]


def _centred(values: list[float], both: list[_Block]) -> list[float]:
    """Return the values of the blocks' requests, each less its block's mean."""
    members = [block.baseline + block.trial for block in both]
    means = [fmean([values[j] for j in block]) for block in members]
    return [values[j] - mean for block, mean in zip(members, means, strict=True) for j in block]


def _best_alpha(latency_q: list[float], queue_q: list[float]) -> float:
    """Return the weight of the latencies that gives the mix the least variance (19), from centred values."""
    pairs = list(zip(latency_q, queue_q, strict=True))
    variance = sum([(w - q) ** 2 for w, q in pairs], 0.0)
    return sum([q * (q - w) for w, q in pairs], 0.0) / variance if variance > MIN_VARIANCE else 1.0


class LatencySamples:
    """Attempts of an A/B test with their arms: 0 baseline, 1 trial, -1 neither.

    Latency costs are cut at `max_latency_ms`. Costs and queue lengths are those of warmed-up servers.
    """

    def __init__(self, attempts: list[Attempt], arms: list[int], now: float, max_latency_ms: float) -> None:
        self.attempts, self.arms = attempts, arms
        self.latencies = [min(a.latency_cost(now), max_latency_ms) for a in attempts]

    @property
    def baseline_mean(self) -> float:
        """The baseline's mean latency cost in ms; 0 without one."""
        baseline = [ms for ms, arm in zip(self.latencies, self.arms, strict=True) if arm == 0]
        return fmean(baseline or [0.0])

    def compare(self, block_ms: float, horizon: int, arrival_rate: float, min_alpha: float) -> QDifference:
        """Compare the arms within blocks of time and of one kind of machine, as `mixed_q` does."""
        queue_lengths = [a.slow_start_fraction * a.queue_length for a in self.attempts]
        blocks = [(a.sent_at // block_ms, a.server.kind) for a in self.attempts]
        return mixed_q(self.latencies, queue_lengths, self.arms, blocks, horizon, arrival_rate, min_alpha)
