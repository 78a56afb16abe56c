"""Digests of outcomes between gateways: alone each sees too little of a trial in time.

Once a second gateways tell each other what they saw of the newest build and its baseline, and which servers
failed. Digests count as evidence only: caps, endpoint lists and the vote stay this gateway's own.
"""

import math

from meadowpulley.gossip.outcome_digest import SERVER_MODULUS, decode, encode
from meadowpulley.interface import GossipReceived, SendGossip
from meadowpulley.policy.failure_evidence import FAILURE_INCREASE, MIN_FAILURE_RATE, MIN_SAMPLES
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE, eject
from meadowpulley.state import BuildEvidence, PooledOutcomes, State

GOSSIP_INTERVAL_MS = 1000.0  # between two digests of this gateway, and two looks at those of others
GOSSIP_SENDERS = 40  # gateways that send in an interval if nothing fails: the load grows by the square
MAX_DIGESTS_PER_GATEWAY = 4  # that are kept of an interval, in the mean
TIMEOUT_RATE = 0.5  # of a bad build's requests, FAILURE_INCREASE of others': paused servers cause less
MIN_REPORTING_GATEWAYS = 2  # that say of a server that it fails
MIN_REPORTED_FAILURES = 2
FAILURES_OVER_MEAN = 2  # times the mean of all servers: who fails so often fails more than most


def handle_digest(state: State, event: GossipReceived) -> None:
    """Take in another gateway's digest, once."""
    digest = decode(event.data)
    max_digests = MAX_DIGESTS_PER_GATEWAY * state.gateway_count
    own = event.sender == state.settings.gateway_index
    if digest is None or own or not state.gossip.accept(event.sender, digest, max_digests):
        state.gossip.rejected_digests += 1
    elif state.furthest_rollout is not None and len(state.gossip.received) < max_digests:
        state.gossip.received.append((event.sender, digest))


def exchange_digests(state: State, build: int) -> None:
    """Tell all gateways what this one saw since the last digest, and take in what they told."""
    state.gossip_at = state.now + GOSSIP_INTERVAL_MS
    _send_digest(state, build)
    _eject_reported_servers(state)
    _pool_digests(state, build)


def _send_digest(state: State, build: int) -> None:
    """Send a digest: at once where something failed, else by a draw that bounds the senders of a fleet."""
    gossip = state.gossip
    drawn = state.rng.random() * state.gateway_count < GOSSIP_SENDERS
    if not (drawn or gossip.has_failures()):
        return
    under_evaluation = state.evaluate_at < math.inf
    digest = gossip.next_digest(build, state.baseline_build, under_evaluation)
    if digest is not None:
        gossip.received.append((state.settings.gateway_index, digest))
        state.actions.append(SendGossip(None, encode(digest)))


def _eject_reported_servers(state: State) -> None:
    """Eject who fails a good part of all requests, and more than most, by the reports of several gateways."""
    reports = state.gossip.failure_reports()
    requests = state.request_rate.value(state.now) * state.gateway_count * GOSSIP_INTERVAL_MS
    suspicious = max(SERVER_FAULT_RATE * requests, FAILURES_OVER_MEAN * reports.total)
    threshold = max(suspicious / max(len(state.servers), 1), MIN_REPORTED_FAILURES)
    for server in state.servers.values():
        number = server.id % SERVER_MODULUS
        confirmed = reports.senders[number] >= MIN_REPORTING_GATEWAYS
        if confirmed and reports.failures[number] >= threshold:
            eject(state, server)


def _pool_digests(state: State, build: int) -> None:
    """Take in what all saw of both builds in a second: what begins everywhere at once is no build's."""
    pooled = state.gossip.take_pooled(build)
    evidence = state.build_evidence[build]
    concurrent = any([server.build < build for server in state.baseline_servers])
    if concurrent:
        _add_timeouts(pooled, evidence)
    servers = [server.id for server in state.servers_of(build)]
    for class_index in range(len(state.settings.classes)):
        rate = _observe_baseline(state, pooled, class_index, concurrent)
        # Where much fails anyhow, good responses come late by overload or slow start, and errors do not.
        if rate is not None and rate <= FAILURE_INCREASE:
            worst_rate = max(state.gossip.baseline_failure_rates[class_index])
            pooled.add_to(evidence.pooled_failures, class_index, servers, worst_rate)


def _add_timeouts(pooled: PooledOutcomes, evidence: BuildEvidence) -> None:
    """Count time-outs as evidence, where the baseline has few."""
    timeouts = pooled.timeouts()
    responses = pooled.responses()
    few_timeouts = timeouts.baseline <= FAILURE_INCREASE * responses.baseline_succeeded
    if few_timeouts and responses.baseline_succeeded >= MIN_SAMPLES:
        evidence.add_timeouts(timeouts.newest, responses.succeeded, FAILURE_INCREASE, TIMEOUT_RATE)


def _observe_baseline(
    state: State, pooled: PooledOutcomes, class_index: int, concurrent: bool
) -> float | None:
    """Take in how often the baseline failed in a class; None where too few responses tell.

    The digests of one second may be about several: the worst of these is what a build is compared with.
    """
    outcomes = pooled.of_class(class_index)
    rate = outcomes.baseline_failed / max(outcomes.baseline_total, 1)
    if rate >= MIN_FAILURE_RATE:
        state.gossip.last_baseline_fault_at = state.now
    if outcomes.baseline_total < MIN_SAMPLES or not concurrent:
        return None
    state.gossip.baseline_failure_rates[class_index].append(min(rate, FAILURE_INCREASE))
    return rate
