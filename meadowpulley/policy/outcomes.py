"""Handles outcomes of attempts: records what they show, and decides what happens to the requests.

After an outcome, the request ends, is retried or is given up. The records concern the health of the
server, the build, latencies and the concurrency limit.
"""

import math

from meadowpulley.interface import Outcome, Result
from meadowpulley.policy import concurrency_limit, retry_budget
from meadowpulley.policy.final_response import cancel_outstanding, give_up
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE, update_health
from meadowpulley.policy.rollout_stage import bind_key
from meadowpulley.policy.routing import route
from meadowpulley.state import Attempt, OutcomeCounts, State

# Slow start fraction from which the timeouts and latencies of a server count as evidence on its build. At a
# server with a smaller fraction, requests may be slow or time out only because they queue.
WARMED_UP_FRACTION = 0.8
# A failed attempt counts as evidence this many mean latencies after it was sent. Errors arrive sooner
# than the successful responses to requests sent at the same time, so without this delay the newest outcomes
# would hold too many errors.
FAILURE_DELAY_LATENCIES = 2.0
LATENCY_EWMA_WEIGHT = 0.05  # weight of the newest response in the mean latencies
NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
NO_RESPONSE = (*NEVER_EXECUTED, Result.ERROR)
NO_HEALTH_SIGNAL = (Result.CANCELLED, Result.NOT_SENT)


def handle_outcome(state: State, outcome: Outcome) -> None:
    """Record how an attempt ended; then end its request, send it again, or give it up."""
    attempt = state.finish_attempt(outcome.request, outcome.attempt)
    if attempt is None:
        return
    in_flight = attempt.in_flight
    if outcome.result in NEVER_EXECUTED:
        in_flight.possible_executions.remove(attempt)
    _learn(state, attempt, outcome)
    if outcome.request_complete:
        state.in_flight.pop(outcome.request, None)
        cancel_outstanding(state, in_flight)
    elif state.in_flight.get(outcome.request) is in_flight and in_flight.outstanding == 0:
        if retry_budget.allows_retry(state) and route(state, in_flight):
            retry_budget.spend(state)
        else:
            give_up(state, in_flight)


def _learn(state: State, attempt: Attempt, outcome: Outcome) -> None:
    """Update server health, the evidence on the build and the concurrency limit with an outcome."""
    result = outcome.result
    ok = result is Result.OK
    # If this gateway stalled after it sent an attempt, the gateway does not know how long the attempt took.
    # Such an outcome is not used for the server's health, timeout evidence, the concurrency limit or
    # latencies. The outcome still counts as goodput and as evidence on the build, and still binds the
    # request's key.
    latency_known = attempt.sent_at >= state.resumed_at
    if latency_known and result not in NO_HEALTH_SIGNAL:
        update_health(state, attempt.server, result)
    state.goodput.add(state.now, float(ok))
    if result not in NO_RESPONSE:
        bind_key(state, attempt)
    _collect_evidence(state, attempt, outcome)
    if latency_known and result is Result.TIMEOUT and attempt.slow_start_fraction >= WARMED_UP_FRACTION:
        state.gossip.record_timeout(attempt.server)
    if latency_known:
        concurrency_limit.update(state, attempt.in_flight.request_class, outcome)
    _attribute_latency(state, attempt, outcome, latency_known)
    if ok and latency_known:
        state.record_latency(attempt, outcome.elapsed_ms, LATENCY_EWMA_WEIGHT)


def _collect_evidence(state: State, attempt: Attempt, outcome: Outcome) -> None:
    """Keep a response as evidence on the build that sent it.

    Broken connections are not kept as evidence, because the network or the machine is to blame for them.
    """
    ok = outcome.result is Result.OK
    error = outcome.result is Result.ERROR
    if not (ok or error):
        return
    due_at = -math.inf if ok else attempt.sent_at + FAILURE_DELAY_LATENCIES * state.mean_latency_ms
    counts = OutcomeCounts(
        class_index=attempt.in_flight.request.class_index,
        build=attempt.server.build,
        server=attempt.server.id,
        failed=int(error),
        succeeded=int(ok),
    )
    state.pending_outcomes.append((due_at, counts))


def _attribute_latency(state: State, attempt: Attempt, outcome: Outcome, latency_known: bool) -> None:
    """Set the latency that an attempt contributes to the comparison of builds.

    A successful response counts with its latency, and an error with the deadline of its request class. If the
    build is not the cause of the outcome, the attempt counts with this gateway's mean latency. This
    applies after a stall of this gateway and to attempts without a response. It also applies to an error of a
    server whose failure rate is so high that a fault of the machine is the likely cause.
    """
    ok = outcome.result is Result.OK
    healthy_error = outcome.result is Result.ERROR and attempt.server.failure_rate < SERVER_FAULT_RATE
    attributable = latency_known and (ok or healthy_error)
    attempt.unattributable = not attributable
    if not attributable:
        attempt.latency_ms = state.mean_latency_ms
    elif ok:
        attempt.latency_ms = outcome.elapsed_ms
    else:
        attempt.latency_ms = attempt.in_flight.request_class.deadline_ms
