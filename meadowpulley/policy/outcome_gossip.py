"""Exchange of outcome digests between gateways.

One gateway alone sees too few outcomes of a trial in time. Once a second, gateways send each other the
outcomes of the newest build and of its baseline, and the servers that failed. Digests are used only as
evidence. Each gateway uses its own caps and endpoint list, and decides its own votes.
"""

import math

from meadowpulley.gossip.outcome_digest import SERVER_MODULUS, decode, encode
from meadowpulley.interface import GossipReceived, SendGossip
from meadowpulley.policy.failure_evidence import FAILURE_INCREASE, MIN_FAILURE_RATE, MIN_SAMPLES
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE, eject
from meadowpulley.state import BuildEvidence, PooledOutcomes, State

# Time between two digests that this gateway sends. Received digests are evaluated at the same interval.
GOSSIP_INTERVAL_MS = 1000.0
# Mean number of gateways that send a digest per interval while nothing fails. If all gateways sent one, the
# number of datagrams would grow with the square of the number of gateways.
GOSSIP_SENDERS = 40
# In one gossip interval, a gateway keeps at most this number of digests times the number of gateways in the
# fleet.
MAX_DIGESTS_PER_GATEWAY = 4
# Part of the requests to a bad build that is assumed to time out. For a good build, FAILURE_INCREASE is
# assumed. Paused processes of servers cause a smaller part of requests to time out than this, so such pauses
# are weaker evidence against a build.
TIMEOUT_RATE = 0.5
MIN_REPORTING_GATEWAYS = 2  # minimum number of gateways that report a server before it is ejected
MIN_REPORTED_FAILURES = 2  # minimum number of reported failures per interval that ejects a server
# A server with this multiple of the mean number of failures per server fails more than most servers do.
FAILURES_OVER_MEAN = 2


def handle_digest(state: State, event: GossipReceived) -> None:
    """Accept a digest of another gateway; count duplicate and malformed digests as rejected."""
    digest = decode(event.data)
    max_digests = MAX_DIGESTS_PER_GATEWAY * state.gateway_count
    own = event.sender == state.settings.gateway_index
    if digest is None or own or not state.gossip.accept(event.sender, digest, max_digests):
        state.gossip.rejected_digests += 1
    elif state.furthest_rollout is not None and len(state.gossip.received) < max_digests:
        state.gossip.received.append((event.sender, digest))


def exchange_digests(state: State, build: int) -> None:
    """Send the outcomes since the last digest to all gateways, and evaluate the digests received."""
    state.gossip_at = state.now + GOSSIP_INTERVAL_MS
    _send_digest(state, build)
    _eject_reported_servers(state)
    _pool_digests(state, build)


def _send_digest(state: State, build: int) -> None:
    """Send a digest if a failure was seen; without failures, only some random gateways send one."""
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
    """Eject servers for which at least two gateways report many failed requests.

    A server is ejected if the reported failures are a large share of the requests to the server, and at least
    FAILURES_OVER_MEAN times the mean over all servers. The number of requests per server is estimated by
    dividing the requests of all gateways by the number of servers.
    """
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
    """Add the outcomes that all gateways saw in the last interval to the evidence on the build.

    The outcomes of the newest build and of the baseline are compared. Failures that begin in both builds at
    once are not caused by the newest build.
    """
    pooled = state.gossip.take_pooled(build)
    evidence = state.build_evidence[build]
    concurrent = any([server.build < build for server in state.baseline_servers])
    if concurrent:
        _add_timeouts(pooled, evidence)
    servers = [server.id for server in state.servers_of(build)]
    for class_index in range(len(state.settings.classes)):
        rate = _observe_baseline(state, pooled, class_index, concurrent)
        # Intervals in which much of the baseline fails are skipped. Overload or slow start then delays good
        # responses but not errors, so the outcomes of one interval would show too many failures.
        if rate is not None and rate <= FAILURE_INCREASE:
            worst_rate = max(state.gossip.baseline_failure_rates[class_index])
            pooled.add_to(evidence.pooled_failures, class_index, servers, worst_rate)


def _add_timeouts(pooled: PooledOutcomes, evidence: BuildEvidence) -> None:
    """Count timeouts as evidence against the build, if the baseline has few timeouts."""
    timeouts = pooled.timeouts()
    responses = pooled.responses()
    few_timeouts = timeouts.baseline <= FAILURE_INCREASE * responses.baseline_succeeded
    if few_timeouts and responses.baseline_succeeded >= MIN_SAMPLES:
        evidence.add_timeouts(timeouts.newest, responses.succeeded, FAILURE_INCREASE, TIMEOUT_RATE)


def _observe_baseline(
    state: State, pooled: PooledOutcomes, class_index: int, concurrent: bool
) -> float | None:
    """Record and return the baseline's failure rate in a class, or return None if the rate is unusable.

    The rate is unusable if there are too few responses or no ready servers of the baseline. The digests that
    are read together may cover several seconds, so a build is compared with the baseline's highest recent
    rate.
    """
    outcomes = pooled.of_class(class_index)
    rate = outcomes.baseline_failed / max(outcomes.baseline_total, 1)
    if rate >= MIN_FAILURE_RATE:
        state.gossip.last_baseline_fault_at = state.now
    if outcomes.baseline_total < MIN_SAMPLES or not concurrent:
        return None
    state.gossip.baseline_failure_rates[class_index].append(min(rate, FAILURE_INCREASE))
    return rate
