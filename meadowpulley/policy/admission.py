"""Requests from their arrival to their final response: admission, queueing, outcomes, retries, rejection."""

import math

from meadowpulley.interface import Cancel, Effect, Fail, Outcome, Reject, Request, RequestClass, Result
from meadowpulley.policy.endpoint_lease import all_expired
from meadowpulley.policy.outlier_detection import SERVER_FAULT_RATE, update_health
from meadowpulley.policy.routing import route
from meadowpulley.state import Attempt, InFlightRequest, OutcomeCounts, State

POLL_INTERVAL_MS = 50.0  # between two looks at waiting requests; four times as long for outstanding ones
WARMED_UP = 0.8  # slow start fraction from which a server tells of its build: before, requests queue up
FAILURE_DELAY = 2.0  # mean latencies from sending until a failure counts: errors overtake good responses
LATENCY_EWMA_WEIGHT = 0.05  # weight of the newest response in the mean latencies
RETRY_BUDGET_RATIO, MAX_RETRY_BUDGET = 0.1, 10.0  # for each request, at most: they cannot feed an overload
LIMIT_INCREASE, LIMIT_DECREASE = 0.1, 0.4  # by a response in time, by a late one: one in five is late
MIN_LIMIT_PER_SERVER = 2.0  # requests in flight per server, of all gateways, that are never too many
SUBSET_IDLE_FRACTION = 0.1  # of the idle time-out: the subset holds as many servers as requests come in it
MAX_WAIT_FRACTION = 0.25  # of the latency objective: how long a request may wait for a server
NEVER_EXECUTED = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
NO_RESPONSE = (*NEVER_EXECUTED, Result.ERROR)


def handle_request(state: State, request: Request) -> None:
    """Admit a request, or reject it at once where the concurrency limit is reached."""
    in_flight, rate = state.admit(request), state.request_rate.value(state.now)
    busy = SUBSET_IDLE_FRACTION * state.settings.limits.idle_timeout_ms * rate
    state.subset_size = max(state.subset_size, busy)
    if not request.adopted:  # it was counted where it arrived
        state.retry_budget = min(state.retry_budget + RETRY_BUDGET_RATIO, MAX_RETRY_BUDGET)
    if len(state.attempts) + state.rng.random() > state.concurrency_limit:  # by chance: it may be below 1
        _reject_or_fail(state, in_flight)  # at once: the response would come too late
    else:
        route_or_queue(state, in_flight)


def route_or_queue(state: State, in_flight: InFlightRequest) -> None:
    """Send the request, or let it wait while it can be answered in time."""
    max_wait_ms = in_flight.request_class.latency_objective_ms * MAX_WAIT_FRACTION
    last_at = in_flight.request.deadline_ms - 2 * state.poll_interval_ms  # else the response may be late
    wait_until = min(in_flight.arrived_at + max_wait_ms, last_at)
    exhausted = in_flight.attempt_count >= state.settings.limits.max_attempts
    executed = bool(in_flight.possible_executions) and in_flight.effect is Effect.NON_IDEMPOTENT
    hopeless = exhausted or executed
    if not route(state, in_flight) and state.now < wait_until and not hopeless and not all_expired(state):
        state.waiting.append(in_flight)
    elif not in_flight.outstanding:
        _reject_or_fail(state, in_flight)


def _update_concurrency_limit(state: State, request_class: RequestClass, outcome: Outcome) -> None:
    """Raise the limit by a response in time, lower it by a late one to what ends an overload (AIMD)."""
    outstanding, objective_ms = len(state.attempts) + 1, request_class.latency_objective_ms
    late = outcome.result is Result.TIMEOUT and 2 * state.mean_latency_ms > objective_ms
    if outcome.result is Result.OK and outcome.elapsed_ms <= objective_ms:
        state.concurrency_limit += LIMIT_INCREASE if 2 * outstanding > state.concurrency_limit else 0.0
    elif outcome.result is Result.OK or late:
        usual = max(outstanding, state.goodput.value(state.now) * state.mean_latency_ms)
        highest = usual + max(usual, 3 * math.sqrt(usual)) + 1  # few in flight vary by chance
        state.concurrency_limit = min(state.concurrency_limit, highest) - LIMIT_DECREASE
    least = MIN_LIMIT_PER_SERVER * len(state.servers) / state.gateway_count
    state.concurrency_limit = max(state.concurrency_limit, least)


def _reject_or_fail(state: State, in_flight: InFlightRequest) -> None:
    """Give a request up: reject it if the client's retry can do no harm, else fail it."""
    request = in_flight.request.request
    state.in_flight.pop(request, None)
    repeatable = in_flight.effect is Effect.IDEMPOTENT or in_flight.deduplicated_everywhere
    harmless = repeatable or not in_flight.possible_executions
    state.actions.append(Reject(request, state.retry_after_ms) if harmless else Fail(request))
    cancel_outstanding(state, in_flight)


def cancel_outstanding(state: State, in_flight: InFlightRequest) -> None:
    """Cancel the attempts of a request that is over: it should burden no server that can drop it."""
    if state.settings.limits.cancellation and not in_flight.streaming:
        numbers = state.outstanding_attempts(in_flight)
        state.actions += [Cancel(in_flight.request.request, number) for number in numbers]


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
        if state.retry_budget >= 1 and route(state, in_flight):
            state.retry_budget -= 1
        else:
            _reject_or_fail(state, in_flight)


def _learn(state: State, attempt: Attempt, outcome: Outcome) -> None:
    in_flight, server, result = attempt.in_flight, attempt.server, outcome.result
    ok, error = result is Result.OK, result is Result.ERROR
    timed = attempt.sent_at >= state.resumed_at  # else nobody knows how long it took: nothing is learnt
    if timed and result not in (Result.CANCELLED, Result.NOT_SENT):
        update_health(state, server, result)
    state.goodput.value(state.now, float(ok))
    if result not in NO_RESPONSE:
        state.bind_key(in_flight, server.build)
    if ok or error:  # a broken connection is the network's or the machine's
        due_at = -math.inf if ok else attempt.sent_at + FAILURE_DELAY * state.mean_latency_ms
        counts = OutcomeCounts(in_flight.request.class_index, server.build, server.id, int(error), int(ok))
        state.pending_outcomes.append((due_at, counts))
    if result is Result.TIMEOUT and attempt.slow_start_fraction >= WARMED_UP and timed:
        state.gossip.record_timeout(server)
    if timed:
        _update_concurrency_limit(state, in_flight.request_class, outcome)
    attributable = timed and (ok or (error and server.failure_rate < SERVER_FAULT_RATE))
    latency_ms = outcome.elapsed_ms if ok else in_flight.request_class.deadline_ms
    attempt.unattributable = not attributable
    attempt.latency_ms = latency_ms if attributable else state.mean_latency_ms
    if ok and timed:
        state.record_latency(attempt, outcome.elapsed_ms, LATENCY_EWMA_WEIGHT)
