"""Outcomes of attempts: what is learnt from them, and whether their requests end, are retried or given up."""

import math

from meadowpulley.interface import Outcome, Result
from meadowpulley.policy import concurrency_limit, retry_budget
from meadowpulley.policy.final_response import cancel_outstanding, give_up
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE, update_health
from meadowpulley.policy.routing import route
from meadowpulley.state import Attempt, OutcomeCounts, State

WARMED_UP_FRACTION = 0.8  # slow start fraction from which a server tells of its build: before, requests queue
FAILURE_DELAY_LATENCIES = 2.0  # from sending until a failure counts: errors overtake good responses
LATENCY_EWMA_WEIGHT = 0.05  # weight of the newest response in the mean latencies
NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
NO_RESPONSE = (*NEVER_EXECUTED, Result.ERROR)
NO_HEALTH_SIGNAL = (Result.CANCELLED, Result.NOT_SENT)


def handle_outcome(state: State, outcome: Outcome) -> None:
    """Learn from how an attempt ended; then end its request, send it again, or give it up."""
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
    """Take an outcome into the health of its server, the evidence on its build and the limits."""
    result = outcome.result
    ok = result is Result.OK
    timed = attempt.sent_at >= state.resumed_at  # else a stall hid how long it took: nothing is learnt
    if timed and result not in NO_HEALTH_SIGNAL:
        update_health(state, attempt.server, result)
    state.goodput.add(state.now, float(ok))
    if result not in NO_RESPONSE:
        state.bind_key(attempt.in_flight, attempt.server.build)
    _collect_evidence(state, attempt, outcome)
    if timed and result is Result.TIMEOUT and attempt.slow_start_fraction >= WARMED_UP_FRACTION:
        state.gossip.record_timeout(attempt.server)
    if timed:
        concurrency_limit.update(state, attempt.in_flight.request_class, outcome)
    _attribute_latency(state, attempt, outcome, timed)
    if ok and timed:
        state.record_latency(attempt, outcome.elapsed_ms, LATENCY_EWMA_WEIGHT)


def _collect_evidence(state: State, attempt: Attempt, outcome: Outcome) -> None:
    """Keep a response as evidence on its build; a broken connection is the network's or the machine's."""
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


def _attribute_latency(state: State, attempt: Attempt, outcome: Outcome, timed: bool) -> None:
    """Set the latency cost of an attempt; a mean one where its build is not the cause.

    An error costs as much as the deadline, unless its server fails with any build.
    """
    ok = outcome.result is Result.OK
    healthy_error = outcome.result is Result.ERROR and attempt.server.failure_rate < SERVER_FAULT_RATE
    attributable = timed and (ok or healthy_error)
    attempt.unattributable = not attributable
    if not attributable:
        attempt.latency_ms = state.mean_latency_ms
    elif ok:
        attempt.latency_ms = outcome.elapsed_ms
    else:
        attempt.latency_ms = attempt.in_flight.request_class.deadline_ms
