"""Evidence that a build fails more than its baseline, from own outcomes and the platform's statistics.

The evidence is a log likelihood ratio (`state/failure_test`); what it needs to reach grows with the gateways
that may vote, so that false alarms of a fleet stay as rare as those of one gateway.
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

MIN_SAMPLES = 20  # outcomes per build before the bounds count
MIN_FAILURE_RATE = 0.02  # the least that any build is taken to have
MAX_BASELINE_FAILURE_RATE = 0.8
RELATIVE_FAILURE_INCREASE = 0.5  # of the baseline's failure rate: the least that is looked for
FAILURE_INCREASE = 0.1  # over the baseline's failure rate: the least that is looked for
POOLED_FAILURE_INCREASE = 0.04  # and the least in the outcomes of many gateways together
MAX_SERVER_FAILURE_SHARE = 0.4  # at most: failure rate in the statistics that one broken server explains
REQUIRED_EVIDENCE = 4.0  # log likelihood ratio: three failures over the baseline's
MIN_OWN_EVIDENCE = (
    0.4  # of the required evidence, else statistics prove nothing: they count time-outs of overloaded servers
)
MIN_SERVER_EVIDENCE_LIMIT = 0.25  # of the required evidence, from one of many servers: four must fail
MAX_SERVER_EVIDENCE_LIMIT = 0.7  # of the required evidence, from one of a few servers: two must fail
SERVERS_TO_CONDEMN = 2  # of a few: together they may reach the required evidence
FAULTY_BASELINE_FACTOR = 0.5  # of those limits where servers of the baseline are faulty too
FAILURE_RATE_EWMA_WEIGHT = 0.05  # of one outcome in a usual failure rate
MAX_FAILURE_RATE_EWMA_WEIGHT = 0.6  # of many outcomes that come together
UNKNOWN_RATE = -1.0

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
    """Return empty evidence on a build, whose attempts count for so long."""
    return BuildEvidence(SequentialFailureTest(_OWN_BOUNDS), SequentialFailureTest(_POOLED_BOUNDS), memory_ms)


def evidence_ratio(
    test: SequentialFailureTest, server_count: int, baseline_faulty: bool, required: float
) -> float:
    """Return the evidence against a build, given its count of servers, relative to what is required."""
    limit = 1.0
    if server_count > 1:
        per_server = min(SERVERS_TO_CONDEMN / server_count, MAX_SERVER_EVIDENCE_LIMIT)
        limit = max(per_server, MIN_SERVER_EVIDENCE_LIMIT)
    if baseline_faulty:
        limit *= FAULTY_BASELINE_FACTOR
    return test.strongest(limit * required, MIN_OWN_EVIDENCE * required) / required


def failure_evidence(state: State, build: int) -> float:
    """Return the evidence that a build fails more than its baseline; 1 condemns it."""
    baseline_rates = [server.failure_rate for server in state.servers.values() if server.build < build]
    server_count = len(state.servers) - len(baseline_rates)
    required = state.required_evidence
    # Servers are faulty by what this gateway has met, or by what all have.
    met_by_all = state.now < state.gossip.last_baseline_fault_at + RATE_MEMORY_MS
    baseline_faulty = max(baseline_rates, default=0.0) >= SERVER_FAULT_RATE or met_by_all
    evidence = state.build_evidence[build]
    own = evidence_ratio(evidence.own_failures, server_count, baseline_faulty, required)
    pooled = evidence_ratio(evidence.pooled_failures, server_count, baseline_faulty, required)
    return max(own, pooled, evidence.timeout_evidence / required)


def handle_build_statistics(state: State, event: BuildStatistics) -> None:
    """Take in what the platform counted of a build."""
    succeeded = event.attempts - event.failed
    record_outcomes(state, OutcomeCounts(event.class_index, event.build, PLATFORM, event.failed, succeeded))


def record_outcomes(state: State, counts: OutcomeCounts) -> None:
    """Count outcomes, against the baseline's failure rate where they are of the newest build."""
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
    """Return the worst rate of the baseline that any gateway saw of late: errors come in bursts."""
    return max(usual_rate, *state.gossip.baseline_failure_rates[class_index], 0.0)
