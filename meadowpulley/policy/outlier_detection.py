"""Ejection of outliers: servers that fail, reject requests or do not respond are left alone for a while."""

from statistics import median

from meadowpulley.interface import Result
from meadowpulley.state import Server, State

FAILURE_EWMA_WEIGHT = 0.2  # weight of the newest outcome in a server's failure rate
SERVER_FAULT_RATE = 0.3  # failure rate that shows a fault of the machine: two of the last few
EJECTION_FAILURE_RATE = 0.45  # failure rate that ejects a server: three in a row, or half of many
EJECTION_MS = (1000.0, 8000.0)  # first and longest ejection of a server; each failed trial doubles it
OVERLOAD_BACKOFF_MS = 200.0  # how long a server that rejected a request is left alone
UNRESPONSIVE_LATENCIES = 4.0  # typical latencies without a response that make a server unresponsive


def is_available(state: State, server: Server) -> bool:
    """Tell whether a server is not ejected; after an ejection it gets one request at a time."""
    return state.now >= server.ejected_until and not (server.ejection_ms and server.outstanding)


def eject(state: State, server: Server) -> None:
    """Send nothing to a server for a while, for twice as long as the last time."""
    if state.now >= server.ejected_until:
        server.ejection_ms = min(max(EJECTION_MS[0], 2 * server.ejection_ms), EJECTION_MS[1])
        server.ejected_until = state.now + server.ejection_ms


def update_health(state: State, server: Server, result: Result) -> None:
    """Take in the result of an attempt, and eject the server if it fails more than most do."""
    server.last_response_at, failed = state.now, result is not Result.OK
    if result is Result.REJECTED:
        server.ejected_until = max(server.ejected_until, state.now + OVERLOAD_BACKOFF_MS)
    elif not failed or server.last_failure_at < state.now:  # one event may break several attempts
        server.last_failure_at = state.now if failed else server.last_failure_at
        server.failure_rate += FAILURE_EWMA_WEIGHT * (failed - server.failure_rate)
        if server.failure_rate < EJECTION_FAILURE_RATE and not failed:
            server.ejection_ms = 0.0
        elif failed and (server.ejection_ms or server.failure_rate >= EJECTION_FAILURE_RATE):
            median_rate = median([s.failure_rate for s in state.servers.values()] or [0.0])
            if server.ejection_ms or server.failure_rate >= EJECTION_FAILURE_RATE + median_rate:
                eject(state, server)  # but not where most fail: that would overload the others


def eject_unresponsive(state: State) -> None:
    """Eject servers without a response for far longer than usual. Retries would feed an overload."""
    for attempt in list(state.attempts.values()):
        objective_ms = attempt.in_flight.request_class.latency_objective_ms  # classes may be 100 times apart
        timeout_ms = min(max(UNRESPONSIVE_LATENCIES * state.mean_latency_ms, objective_ms / 2), objective_ms)
        responded_at = max(attempt.server.last_response_at, state.resumed_at)
        if responded_at < attempt.sent_at < state.now - timeout_ms:
            eject(state, attempt.server)
