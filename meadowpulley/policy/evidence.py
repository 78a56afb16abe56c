"""Evidence against a build, from own outcomes, the platform's statistics and other gateways' digests."""

import math

from meadowpulley.gossip.outcome_digest import SERVER_MODULUS, decode, encode
from meadowpulley.interface import BuildStatistics, GossipReceived, SendGossip
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE, eject
from meadowpulley.state import PLATFORM, BuildEvidence, OutcomeCounts, SequentialFailureTest, State

MIN_SAMPLES = 20  # outcomes per build before the bounds count
GOSSIP_SENDERS = 40  # gateways that send in GOSSIP_INTERVAL_MS if nothing fails: the load grows by the square
GOSSIP_INTERVAL_MS = 1000.0  # between two digests of this gateway, and two looks at those of others
FAILURE_RATES = (0.02, 0.8, 0.5)  # least of any build, most of a baseline, least increase relative to it
FAILURE_INCREASE = 0.1  # over the baseline's failure rate: the least that is looked for
POOLED_FAILURE_INCREASE = 0.04  # and the least in the outcomes of many gateways together
TIMEOUT_RATE = 0.5  # of a bad build's requests, FAILURE_INCREASE of others': paused servers cause less
MAX_SERVER_FAILURE_SHARE = 0.4  # at most: failure rate in the statistics that one broken server explains
REQUIRED_EVIDENCE = 4.0  # log likelihood ratio, more with many gateways: three failures over the baseline's
MIN_OWN_EVIDENCE = 0.4  # of that, else statistics prove nothing: they count time-outs of overloaded servers
MAX_SERVER_EVIDENCE = 0.25  # of that, at most, from one of many servers: four must fail
RATE_EWMA_WEIGHTS = (0.05, 0.6)  # in a usual failure rate: of one outcome, and of many together at most


def evidence_ratio(test: SequentialFailureTest, servers: int, faults: bool, required: float) -> float:
    """Return the evidence against a build, given its count of servers, relative to what is required."""
    limit = 1.0 if servers <= 1 else max(min(2 / servers, 0.7), MAX_SERVER_EVIDENCE)
    limit *= 0.5 if faults else 1.0  # where servers of the baseline are faulty too
    return test.strongest(limit * required, MIN_OWN_EVIDENCE * required) / required


def new_build_evidence(memory_ms: float) -> BuildEvidence:
    """Return empty evidence on a build, whose attempts count for so long."""
    own = SequentialFailureTest((FAILURE_INCREASE,), *FAILURE_RATES)
    pooled = SequentialFailureTest((FAILURE_INCREASE, POOLED_FAILURE_INCREASE), *FAILURE_RATES)
    return BuildEvidence(own, pooled, memory_ms)


def handle_build_statistics(state: State, event: BuildStatistics) -> None:
    """Take in what the platform counted of a build."""
    succeeded = event.attempts - event.failed
    record_outcomes(state, OutcomeCounts(event.class_index, event.build, PLATFORM, event.failed, succeeded))


def record_outcomes(state: State, counts: OutcomeCounts) -> None:
    """Count outcomes against the baseline's rate, the worst that any gateway saw: errors come in bursts."""
    by_platform, total = counts.server == PLATFORM, counts.failed + counts.succeeded
    if not by_platform and state.gossip_at < math.inf:
        state.gossip.unpublished.append(counts)
    evidence, scope = state.build_evidence[counts.build], (counts.class_index, by_platform)
    weight = min(RATE_EWMA_WEIGHTS[0] * total, RATE_EWMA_WEIGHTS[1])
    evidence.update_failure_rate(scope, counts.failed / max(total, 1), weight)
    usual = state.build_evidence[state.baseline_build].baseline_failure_rate.get(scope, -1.0)
    rollout = state.furthest_rollout
    if rollout is not None and counts.build == rollout.build and usual >= 0:
        share = min(1 / max(len(state.trial_servers), 1), MAX_SERVER_FAILURE_SHARE) if by_platform else 0.0
        worst = max(usual, *state.gossip.baseline_failure_rates[counts.class_index], 0.0)
        outcome = (counts.class_index, counts.server, counts.failed, counts.succeeded)
        evidence.own_failures.add(*outcome, worst + share)


def handle_digest(state: State, event: GossipReceived) -> None:
    """Take in another gateway's digest, once; caps, lists and the vote stay this gateway's own."""
    digest, max_digests = decode(event.data), 4 * state.gateway_count
    own = event.sender == state.settings.gateway_index
    if digest is None or own or not state.gossip.accept(event.sender, digest, max_digests):
        state.gossip.rejected_digests += 1
    elif state.furthest_rollout is not None and len(state.gossip.received) < max_digests:
        state.gossip.received.append((event.sender, digest))


def exchange_digests(state: State, build: int) -> None:
    """Tell all gateways, once a second, what this one saw: alone each sees too little of a trial in time."""
    gossip, state.gossip_at = state.gossip, state.now + GOSSIP_INTERVAL_MS
    due = state.rng.random() * state.gateway_count < GOSSIP_SENDERS or gossip.has_failures()
    if due and (digest := gossip.next_digest(build, state.baseline_build, state.evaluate_at < math.inf)):
        gossip.received.append((state.settings.gateway_index, digest))
        state.actions.append(SendGossip(None, encode(digest)))
    _eject_reported_servers(state)
    _pool_digests(state, build)


def _eject_reported_servers(state: State) -> None:
    """Eject who fails a good part of all requests, and more than most, by the reports of several gateways."""
    reports = state.gossip.failure_reports()
    requests = state.request_rate.value(state.now) * state.gateway_count * GOSSIP_INTERVAL_MS
    usual = max(SERVER_FAULT_RATE * requests, 2 * reports.total) / max(len(state.servers), 1)
    for server in state.servers.values():
        number = server.id % SERVER_MODULUS
        if reports.senders[number] > 1 and reports.failures[number] >= max(usual, 2):
            eject(state, server)


def _pool_digests(state: State, build: int) -> None:
    """Take in what all saw of both builds in a second: what begins everywhere at once is no build's."""
    pooled, evidence = state.gossip.take_pooled(build), state.build_evidence[build]
    servers = [server.id for server in state.servers_of(build)]
    concurrent = any([s.build < build for s in state.baseline_servers])
    timeouts, responses = pooled.timeouts(), pooled.responses()
    few_timeouts = timeouts.baseline_succeeded <= FAILURE_INCREASE * responses.baseline_succeeded
    if concurrent and few_timeouts and responses.baseline_succeeded >= MIN_SAMPLES:
        evidence.add_timeouts(timeouts.succeeded, responses.succeeded, FAILURE_INCREASE, TIMEOUT_RATE)
    for class_index in range(len(state.settings.classes)):
        outcomes = pooled.of_class(class_index)
        rate = outcomes.baseline_failed / max(outcomes.baseline_total, 1)
        if rate >= FAILURE_RATES[0]:
            state.gossip.last_baseline_fault_at = state.now
        if outcomes.baseline_total < MIN_SAMPLES or not concurrent:
            continue
        rates = state.gossip.baseline_failure_rates[class_index]
        rates.append(min(rate, FAILURE_INCREASE))
        # Where much fails anyhow, good responses come late by overload or slow start, and errors do not.
        if rate <= FAILURE_INCREASE:  # else the worst of the seconds that these digests may be about counts
            pooled.add_to(evidence.pooled_failures, class_index, servers, max(rates))
