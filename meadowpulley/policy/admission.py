"""Admission of requests: load shedding on arrival, and the wait of those that no server may have yet."""

from meadowpulley.interface import Effect, Request
from meadowpulley.policy import concurrency_limit, retry_budget
from meadowpulley.policy.endpoint_lease import all_expired
from meadowpulley.policy.final_response import give_up
from meadowpulley.policy.routing import route
from meadowpulley.state import InFlightRequest, State

WAITING_POLL_INTERVAL_MS = 50.0  # between two looks at waiting requests
MAX_WAIT_FRACTION = 0.25  # of the latency objective: how long a request may wait for a server
SUBSET_IDLE_FRACTION = 0.1  # of the idle time-out: the subset holds as many servers as requests come in it


def handle_request(state: State, request: Request) -> None:
    """Admit a request, or reject it at once where the concurrency limit is reached."""
    in_flight = state.admit(request)
    _grow_subset(state)
    if not request.adopted:  # it was counted where it arrived
        retry_budget.replenish(state)
    if concurrency_limit.is_reached(state):
        give_up(state, in_flight)  # at once: the response would come too late
    else:
        route_or_queue(state, in_flight)


def _grow_subset(state: State) -> None:
    """Let the subset grow with the request rate, up to where connections would idle out."""
    idle_timeout_ms = state.settings.limits.idle_timeout_ms
    busy_servers = SUBSET_IDLE_FRACTION * idle_timeout_ms * state.request_rate.value(state.now)
    state.subset_size = max(state.subset_size, busy_servers)


def route_or_queue(state: State, in_flight: InFlightRequest) -> None:
    """Send the request, or let it wait while it can be answered in time."""
    if route(state, in_flight):
        return
    if _may_wait(state, in_flight):
        state.waiting.append(in_flight)
    elif not in_flight.outstanding:
        give_up(state, in_flight)


def _may_wait(state: State, in_flight: InFlightRequest) -> bool:
    """Tell whether a server may still come that the request can be sent to in time."""
    if state.now >= _wait_until(state, in_flight):
        return False
    if in_flight.attempt_count >= state.settings.limits.max_attempts:
        return False
    if in_flight.possible_executions and in_flight.effect is Effect.NON_IDEMPOTENT:
        return False
    return not all_expired(state)


def _wait_until(state: State, in_flight: InFlightRequest) -> float:
    """Return until when a request waits: a part of its objective, or else its response may be late."""
    max_wait_ms = in_flight.request_class.latency_objective_ms * MAX_WAIT_FRACTION
    latest_at = in_flight.request.deadline_ms - 2 * state.waiting_poll_interval_ms
    return min(in_flight.arrived_at + max_wait_ms, latest_at)
