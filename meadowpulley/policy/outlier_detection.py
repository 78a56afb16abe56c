"""Ejection of outliers: servers that fail, reject requests or do not respond are left alone for a while."""

from statistics import median

from meadowpulley.interface import Result
from meadowpulley.state import Server, State

FAILURE_EWMA_WEIGHT = 0.2  # weight of the newest outcome in a server's failure rate
SERVER_FAULT_RATE = 0.3  # failure rate that shows a fault of the machine: two of the last few
EJECTION_FAILURE_RATE = 0.45  # failure rate that ejects a server: three in a row, or half of many
MIN_EJECTION_MS = 1000.0  # the first ejection of a server; each failed trial doubles it
MAX_EJECTION_MS = 8000.0
OVERLOAD_BACKOFF_MS = 200.0  # how long a server that rejected a request is left alone
UNRESPONSIVE_LATENCIES = 4.0  # typical latencies without a response that make a server unresponsive


def is_available(state: State, server: Server) -> bool:
    """Tell whether a server is not ejected; after an ejection it gets one request at a time."""
    return state.now >= server.ejected_until and not (server.ejection_ms and server.outstanding)


def eject(state: State, server: Server) -> None:
    """Send nothing to a server for a while, for twice as long as the last time."""
    if state.now >= server.ejected_until:
        server.ejection_ms = min(max(MIN_EJECTION_MS, 2 * server.ejection_ms), MAX_EJECTION_MS)
        server.ejected_until = state.now + server.ejection_ms


def update_health(state: State, server: Server, result: Result) -> None:
    """Take in the result of an attempt, and eject the server if it fails more than most do."""
    server.last_response_at = state.now
    if result is Result.REJECTED:
        server.ejected_until = max(server.ejected_until, state.now + OVERLOAD_BACKOFF_MS)
    elif result is Result.OK:
        _record_success(server)
    elif server.last_failure_at < state.now:  # one event may break several attempts
        _record_failure(state, server)


def _record_success(server: Server) -> None:
    server.failure_rate += FAILURE_EWMA_WEIGHT * (0.0 - server.failure_rate)
    if server.failure_rate < EJECTION_FAILURE_RATE:
        server.ejection_ms = 0.0


def _record_failure(state: State, server: Server) -> None:
    """Count a failure; a server fails another trial, or more than most do, and is ejected.

    Where most servers fail the others would be overloaded by an ejection.
    """
    server.last_failure_at = state.now
    server.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - server.failure_rate)
    if server.ejection_ms:
        eject(state, server)
    elif server.failure_rate >= EJECTION_FAILURE_RATE:
        median_rate = median([each.failure_rate for each in state.servers.values()] or [0.0])
        if server.failure_rate >= EJECTION_FAILURE_RATE + median_rate:
            eject(state, server)


def eject_unresponsive(state: State) -> None:
    """Eject servers without a response for far longer than usual. Retries would feed an overload."""
    for attempt in list(state.attempts.values()):
        objective_ms = attempt.in_flight.request_class.latency_objective_ms  # classes may be 100 times apart
        usual_limit_ms = max(UNRESPONSIVE_LATENCIES * state.mean_latency_ms, objective_ms / 2)
        timeout_ms = min(usual_limit_ms, objective_ms)
        responded_at = max(attempt.server.last_response_at, state.resumed_at)
        if responded_at < attempt.sent_at < state.now - timeout_ms:
            eject(state, attempt.server)
