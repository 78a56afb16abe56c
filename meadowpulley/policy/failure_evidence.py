"""Evidence that a build fails more often than its baseline.

The sources are this gateway's own outcomes, the outcomes that other gateways report, and the platform's
statistics. The evidence is a log likelihood ratio (`state/failure_test`). The required value grows with the
number of gateways that may vote, so that false alarms are as rare in a fleet as with a single gateway.
"""

import math

from meadowpulley.interface import BuildStatistics
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE
from meadowpulley.state import (
    PLATFORM,
    RATE_MEMORY_MS,
    BuildEvidence,
    FailureTestBounds,
    OutcomeCounts,
    SequentialFailureTest,
    ServerOutcomes,
    State,
)

# Minimum number of outcomes of a build that is needed to compare its failure rate or latency with that of
# other builds.
MIN_SAMPLES = 20
MIN_FAILURE_RATE = 0.02  # lowest failure rate that the failure test assumes for any build
MAX_BASELINE_FAILURE_RATE = 0.8  # highest failure rate that the failure test assumes for the baseline
# Smallest increase of the failure rate that the failure test looks for, as a part of the baseline's rate.
RELATIVE_FAILURE_INCREASE = 0.5
# Smallest increase over the baseline's failure rate that the failure test looks for in the outcomes of this
# gateway's own attempts.
FAILURE_INCREASE = 0.1
# Smallest increase over the baseline's failure rate that the failure test looks for in the outcomes of all
# gateways together.
POOLED_FAILURE_INCREASE = 0.04
# The platform's statistics do not say which server failed, so one broken server may explain some failures.
# The expected failure rate is raised by one server's part of the requests, but by at most this amount.
MAX_SERVER_FAILURE_SHARE = 0.4
# Log likelihood ratio that condemns a build in a fleet of one gateway. A build reaches this value with three
# more failures than the baseline would have had.
REQUIRED_EVIDENCE = 4.0
# Part of the required evidence that this gateway's own outcomes must exceed before the platform's statistics
# count. Statistics alone prove nothing, as they include the timeouts of overloaded servers.
MIN_OWN_EVIDENCE = 0.4
# Limit on the evidence from one server of a build with many servers, as a part of the required evidence.
# With this limit, at least four servers must fail before the build is condemned.
MIN_SERVER_EVIDENCE_LIMIT = 0.25
# Limit on the evidence from one server of a build with a few servers, as a part of the required
# evidence. With this limit, at least two servers must fail before the build is condemned.
MAX_SERVER_EVIDENCE_LIMIT = 0.7
# Number of failing servers that condemn a build of two to four servers. The evidence from one server is
# limited to this number divided by the number of servers, as a part of the required evidence. With 4 servers,
# the limit is 1/2, so that two failing servers reach the required evidence together. The limit is at least
# MIN_SERVER_EVIDENCE_LIMIT and at most MAX_SERVER_EVIDENCE_LIMIT.
SERVERS_TO_CONDEMN = 2
# The limit on the evidence from one server of a new build is multiplied by this factor while servers of the
# baseline are faulty too.
FAULTY_BASELINE_FACTOR = 0.5
FAILURE_RATE_EWMA_WEIGHT = 0.05  # weight of one outcome in the moving average of a failure rate
# Greatest weight of a batch of outcomes in the moving average of a failure rate.
MAX_FAILURE_RATE_EWMA_WEIGHT = 0.6
UNKNOWN_RATE = -1.0  # value of a failure rate before any outcome was counted

_OWN_BOUNDS = FailureTestBounds(
    (FAILURE_INCREASE,), MIN_FAILURE_RATE, MAX_BASELINE_FAILURE_RATE, RELATIVE_FAILURE_INCREASE
)
_POOLED_BOUNDS = FailureTestBounds(
    (FAILURE_INCREASE, POOLED_FAILURE_INCREASE),
    MIN_FAILURE_RATE,
    MAX_BASELINE_FAILURE_RATE,
    RELATIVE_FAILURE_INCREASE,
)


def new_build_evidence(memory_ms: float) -> BuildEvidence:
    """Return empty evidence on a build; each attempt counts towards the exposure cap for `memory_ms`."""
    return BuildEvidence(SequentialFailureTest(_OWN_BOUNDS), SequentialFailureTest(_POOLED_BOUNDS), memory_ms)


def evidence_ratio(
    test: SequentialFailureTest, server_count: int, baseline_faulty: bool, required: float
) -> float:
    """Return the evidence against a build of `server_count` servers, as a multiple of `required`.

    The evidence from each server is limited, so that one broken server does not condemn a build of several
    servers.
    """
    limit = 1.0
    if server_count > 1:
        per_server = min(SERVERS_TO_CONDEMN / server_count, MAX_SERVER_EVIDENCE_LIMIT)
        limit = max(per_server, MIN_SERVER_EVIDENCE_LIMIT)
    if baseline_faulty:
        limit *= FAULTY_BASELINE_FACTOR
    return test.strongest(limit * required, MIN_OWN_EVIDENCE * required) / required


def failure_evidence(state: State, build: int) -> float:
    """Return the evidence that a build fails more often than its baseline; 1 or more condemns the build."""
    baseline_rates = [server.failure_rate for server in state.servers.values() if server.build < build]
    server_count = len(state.servers) - len(baseline_rates)
    required = state.required_evidence
    # The baseline counts as faulty if one of its servers has a failure rate of SERVER_FAULT_RATE or more at
    # this gateway, or if the digests of all gateways together recently showed a failure rate of the baseline
    # of MIN_FAILURE_RATE or more.
    reported_by_gossip = state.now < state.gossip.last_baseline_fault_at + RATE_MEMORY_MS
    baseline_faulty = max(baseline_rates, default=0.0) >= SERVER_FAULT_RATE or reported_by_gossip
    evidence = state.build_evidence[build]
    own = evidence_ratio(evidence.own_failures, server_count, baseline_faulty, required)
    pooled = evidence_ratio(evidence.pooled_failures, server_count, baseline_faulty, required)
    return max(own, pooled, evidence.timeout_evidence / required)


def handle_build_statistics(state: State, event: BuildStatistics) -> None:
    """Record the outcomes that the platform counted for a build."""
    succeeded = event.attempts - event.failed
    record_outcomes(state, OutcomeCounts(event.class_index, event.build, PLATFORM, event.failed, succeeded))


def record_outcomes(state: State, counts: OutcomeCounts) -> None:
    """Count outcomes; compare the newest build's failures with the baseline's failure rate."""
    by_platform = counts.server == PLATFORM
    if not by_platform and state.gossip_at < math.inf:
        state.gossip.unpublished.append(counts)
    total = counts.failed + counts.succeeded
    scope = (counts.class_index, by_platform)
    weight = min(FAILURE_RATE_EWMA_WEIGHT * total, MAX_FAILURE_RATE_EWMA_WEIGHT)
    evidence = state.build_evidence[counts.build]
    evidence.update_failure_rate(scope, counts.failed / max(total, 1), weight)
    usual_rate = state.build_evidence[state.baseline_build].failure_rates.get(scope, UNKNOWN_RATE)
    rollout = state.furthest_rollout
    if rollout is None or counts.build != rollout.build or usual_rate < 0:
        return
    expected_rate = _worst_baseline_rate(state, counts.class_index, usual_rate)
    if by_platform:
        expected_rate += min(1 / max(len(state.trial_servers), 1), MAX_SERVER_FAILURE_SHARE)
    outcomes = ServerOutcomes(counts.class_index, counts.server, counts.failed, counts.succeeded)
    evidence.own_failures.add(outcomes, expected_rate)


def _worst_baseline_rate(state: State, class_index: int, usual_rate: float) -> float:
    """Return the baseline's highest recent failure rate at this gateway or in the reports of all gateways.

    Errors come in bursts, so the baseline's current failure rate may be too low for a comparison.
    """
    return max(usual_rate, *state.gossip.baseline_failure_rates[class_index], 0.0)
