"""Admission of requests: load shedding on arrival, and queueing while no server is available."""

from meadowpulley.interface import Effect, Request
from meadowpulley.policy import concurrency_limit, retry_budget
from meadowpulley.policy.endpoint_lease import all_expired
from meadowpulley.policy.final_response import give_up
from meadowpulley.policy.routing import route
from meadowpulley.state import InFlightRequest, State

WAITING_POLL_INTERVAL_MS = 50.0  # longest interval, in ms, between tries to send waiting requests
MAX_WAIT_FRACTION = 0.25  # longest wait for a server, as a fraction of a request's latency objective
# The number of servers in the subset is raised to the number of requests that arrive within this fraction of
# the idle timeout of connections. Each server then gets a request long before the connection to the server is
# closed as idle.
SUBSET_IDLE_FRACTION = 0.1


def handle_request(state: State, request: Request) -> None:
    """Admit a request, or reject it at once if the concurrency limit is reached."""
    in_flight = state.admit(request)
    _grow_subset(state)
    if not request.adopted:  # an adopted request was counted by the gateway that received it
        retry_budget.replenish(state)
    if concurrency_limit.is_reached(state):
        give_up(state, in_flight)  # the request is not queued, as its response would be too late
    else:
        route_or_queue(state, in_flight)


def _grow_subset(state: State) -> None:
    """Grow the subset with the request rate, but not so far that connections reach the idle timeout."""
    idle_timeout_ms = state.settings.limits.idle_timeout_ms
    busy_servers = SUBSET_IDLE_FRACTION * idle_timeout_ms * state.request_rate.value(state.now)
    state.subset_size = max(state.subset_size, busy_servers)


def route_or_queue(state: State, in_flight: InFlightRequest) -> None:
    """Send the request if a server is available; otherwise queue the request or give it up.

    A request is queued only while a response in time is still possible. A request with outstanding attempts
    is not given up.
    """
    if route(state, in_flight):
        return
    if _may_wait(state, in_flight):
        state.waiting.append(in_flight)
    elif not in_flight.outstanding:
        give_up(state, in_flight)


def _may_wait(state: State, in_flight: InFlightRequest) -> bool:
    """Return whether the request can still be sent and answered in time if it waits for a server."""
    if state.now >= _wait_until(state, in_flight):
        return False
    if in_flight.attempt_count >= state.settings.limits.max_attempts:
        return False
    if in_flight.possible_executions and in_flight.effect is Effect.NON_IDEMPOTENT:
        return False
    return not all_expired(state)


def _wait_until(state: State, in_flight: InFlightRequest) -> float:
    """Return the time until which a request may wait for a server.

    The wait ends after a fraction of the latency objective, and early enough before the deadline that the
    final response is not late.
    """
    max_wait_ms = in_flight.request_class.latency_objective_ms * MAX_WAIT_FRACTION
    latest_at = in_flight.request.deadline_ms - 2 * state.waiting_poll_interval_ms
    return min(in_flight.arrived_at + max_wait_ms, latest_at)
