"""Estimates of how much a build on trial raises the latency of all requests.

The latency under the baseline is the reference. The method is the mixed Differences-in-Q estimate of
`state/estimation`. An estimate has a confidence interval and the margin by which a build may be slower.
"""

import math
from typing import NamedTuple

from meadowpulley.policy.failure_evidence import MIN_SAMPLES
from meadowpulley.policy.outcomes import FAILURE_DELAY_LATENCIES, WARMED_UP_FRACTION
from meadowpulley.policy.outlier_detection import UNRESPONSIVE_LATENCIES
from meadowpulley.state import (
    BASELINE_ARM,
    NO_ARM,
    TRIAL_ARM,
    Attempt,
    LatencySamples,
    QDifference,
    QMix,
    Slowdown,
    State,
    summarize,
)

# A request delays later requests, so its cost in the comparison of builds includes the costs of later
# requests. This is the maximum number of later requests whose costs are included.
MAX_HORIZON = 20
# Builds are compared by a weighted mean of the latencies of requests and the queue lengths at servers. This
# number is the lowest weight of the latencies. The lowest weight is higher for a gateway with few requests in
# flight, because such a gateway sees only queue lengths near 0, which don't show how loaded a server is.
MIN_ALPHA = 0.5
LATENCY_MARGIN = 0.25  # accepted slowdown, as a part of the baseline's mean latency
# Standard deviation of the latency between servers of one machine kind, as a part of the mean latency. Under
# load, small differences in speed cause large differences in latency.
SERVER_LATENCY_SPREAD = 0.5
MIN_BLOCK_MS = 1000.0  # minimum length of the time blocks within which builds are compared
# A time block lasts long enough for this mean number of requests to the build on trial.
TRIALS_PER_BLOCK = 2.0
# Lowest request rate (requests per ms) from which the length of time blocks is computed. The limit keeps
# blocks finite if the build on trial gets hardly any requests.
MIN_TRIAL_RATE = 1e-6
RECENT_SAMPLES = 8 * MIN_SAMPLES  # number of the newest attempts that show whether servers are slow now
# Result of a comparison without any sample of the build on trial.
NOT_COMPARABLE = Slowdown(-math.inf, math.inf, 0.0, 0)


class _Load(NamedTuple):
    """The request rate of this gateway, and the mean number of requests in flight at each server."""

    request_rate: float  # requests per ms
    server_rate: float  # requests per ms to each server
    per_server: float  # mean requests in flight at a server, by Little's law


def estimate_slowdown(state: State, build: int) -> Slowdown:
    """Return bounds on how much a build raises the latency of all requests over the baseline's."""
    settled_at = state.now - FAILURE_DELAY_LATENCIES * state.mean_latency_ms
    attempts = [
        attempt
        for attempt in state.latency_samples
        if state.trial_started_at <= attempt.sent_at <= settled_at
    ]
    arms = [_arm(attempt, build) for attempt in attempts]
    if TRIAL_ARM not in arms:
        return NOT_COMPARABLE
    max_latency_ms = UNRESPONSIVE_LATENCIES * state.mean_latency_ms
    samples = LatencySamples(attempts, arms, state.now, max_latency_ms)
    estimate = _compare(state, samples)
    baseline_mean_ms = samples.baseline_mean
    warm_servers = _warm_server_count(state, build)
    error_ms = _total_error_ms(state, estimate, baseline_mean_ms, warm_servers)
    width_ms = state.confidence_z * error_ms
    margin_ms = LATENCY_MARGIN * baseline_mean_ms * _overload_factor(state, estimate, warm_servers)
    smaller_sample = min(estimate.trial_count, estimate.baseline_count)
    return Slowdown(estimate.difference - width_ms, estimate.difference + width_ms, margin_ms, smaller_sample)


def _arm(attempt: Attempt, build: int) -> int:
    """Return the arm of an attempt, or NO_ARM if its latency says nothing about the builds."""
    if attempt.unattributable or not attempt.randomized:
        return NO_ARM
    if attempt.server.build > build or attempt.slow_start_fraction < WARMED_UP_FRACTION:
        return NO_ARM
    return TRIAL_ARM if attempt.server.build == build else BASELINE_ARM


def _compare(state: State, samples: LatencySamples) -> QDifference:
    """Compare the costs of the requests in both arms.

    The cost of a request includes the costs of some later requests. Their number is the mean number of
    requests in flight at a server, rounded up, and at most `MAX_HORIZON`.
    """
    load = _load(state)
    trial_rate = max(load.request_rate * state.trial_probability, MIN_TRIAL_RATE)
    block_ms = max(MIN_BLOCK_MS, TRIALS_PER_BLOCK / trial_rate)
    min_alpha = 1 - (1 - MIN_ALPHA) * min(load.per_server, 1.0)
    horizon = min(math.ceil(load.per_server), MAX_HORIZON)
    return samples.compare(block_ms, QMix(horizon, load.server_rate, min_alpha))


def _load(state: State) -> _Load:
    request_rate = state.request_rate.value(state.now)
    server_rate = request_rate / max(len(state.servers), 1)
    return _Load(request_rate, server_rate, server_rate * state.mean_latency_ms)


def _warm_server_count(state: State, build: int) -> int:
    """Return how many servers of the build had warmed up one soak time ago, but at least 1.

    The soak time is an approximation of how long ago the samples of these servers began. The comparison
    itself uses the attempts that were sent since the trial began.
    """
    soak_ms = state.rollout_settings.soak_ms
    fractions = [state.slow_start_fraction(server, soak_ms) for server in state.servers_of(build)]
    return max(sum([fraction >= WARMED_UP_FRACTION for fraction in fractions]), 1)


def _total_error_ms(state: State, estimate: QDifference, baseline_mean_ms: float, warm_servers: int) -> float:
    """Return the standard error of the estimated slowdown, including differences between servers.

    A standard deviation that is estimated from m values has a relative error of 1 / sqrt(2 m). Here m is
    twice the size of the smaller arm. The spread of the servers is included because one or two slow servers
    do not make the build slow.
    """
    smaller_sample = max(min(estimate.trial_count, estimate.baseline_count), 1)
    value_count = 2 * smaller_sample
    sampling_error_ms = estimate.error * (1 + state.confidence_z / math.sqrt(2 * value_count))
    server_error_ms = SERVER_LATENCY_SPREAD * baseline_mean_ms / math.sqrt(warm_servers)
    return math.hypot(sampling_error_ms, server_error_ms)


def _overload_factor(state: State, estimate: QDifference, warm_servers: int) -> float:
    """Return the load per server of the build, divided by that of the baseline; at least 1.

    Overloaded servers are slow whatever their build, so the margin grows with the relative load.
    """
    other_servers = max(len(state.servers) - warm_servers, 1)
    relative_load = estimate.trial_count * other_servers / max(estimate.baseline_count * warm_servers, 1)
    return max(relative_load, 1.0)


def is_slower_than_before(state: State, attempts: list[Attempt]) -> bool:
    """Return whether the newest attempts are slower than the recorded baseline latency plus the margin."""
    costs = summarize([attempt.latency_cost(state.now) for attempt in attempts[-RECENT_SAMPLES:]])
    limit_ms = (1 + LATENCY_MARGIN) * state.baseline_latency_ms
    return costs.size >= MIN_SAMPLES and costs.lower_bound(state.confidence_z) > limit_ms > 0
