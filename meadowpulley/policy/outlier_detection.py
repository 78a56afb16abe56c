"""Temporary ejection of outliers: servers that fail, reject requests or do not respond."""

from statistics import median

from meadowpulley.interface import Result
from meadowpulley.state import Server, State

FAILURE_EWMA_WEIGHT = 0.2  # weight of the newest outcome in a server's failure rate
# Failure rate from which a server counts as faulty. Two failures among the last few outcomes reach this rate.
SERVER_FAULT_RATE = 0.3
# A server is ejected if its failure rate exceeds the median rate of all servers by at least this difference.
# If the median is 0, a server is ejected after three failures in a row, or if half of a long series of
# requests fails. An ejected server has recovered once its failure rate is below this value.
EJECTION_FAILURE_RATE = 0.45
# Length of the first ejection. Each failed request after an ejection doubles the length.
MIN_EJECTION_MS = 1000.0
MAX_EJECTION_MS = 8000.0  # longest ejection
OVERLOAD_BACKOFF_MS = 200.0  # a server that rejected a request gets no further request for this time
# A server that sends no response for this multiple of the mean latency counts as unresponsive. The time is at
# least half of the request's latency objective, and at most the whole objective.
UNRESPONSIVE_LATENCIES = 4.0


def is_available(state: State, server: Server) -> bool:
    """Return whether a server may get a request; a recovering server gets one request at a time."""
    return state.now >= server.ejected_until and not (server.ejection_ms and server.outstanding)


def eject(state: State, server: Server) -> None:
    """Eject a server for twice as long as its last ejection, between MIN_EJECTION_MS and MAX_EJECTION_MS."""
    if state.now >= server.ejected_until:
        server.ejection_ms = min(max(MIN_EJECTION_MS, 2 * server.ejection_ms), MAX_EJECTION_MS)
        server.ejected_until = state.now + server.ejection_ms


def update_health(state: State, server: Server, result: Result) -> None:
    """Record the result of an attempt, and eject the server if it fails more often than most servers."""
    server.last_response_at = state.now
    if result is Result.REJECTED:
        server.ejected_until = max(server.ejected_until, state.now + OVERLOAD_BACKOFF_MS)
    elif result is Result.OK:
        _record_success(server)
    elif server.last_failure_at < state.now:  # failures at the same time have one cause, so they count as one
        _record_failure(state, server)


def _record_success(server: Server) -> None:
    server.failure_rate += FAILURE_EWMA_WEIGHT * (0.0 - server.failure_rate)
    if server.failure_rate < EJECTION_FAILURE_RATE:
        server.ejection_ms = 0.0


def _record_failure(state: State, server: Server) -> None:
    """Count a failure; eject a server that fails after an ejection, or that fails more often than most.

    The failure rate is compared with the median rate of all servers. If most servers fail, ejecting them
    would overload the remaining servers.
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
    """Eject servers that have not responded for far longer than the mean latency.

    Attempts in flight at an ejected server are not retried, as retries would make an overload worse.
    """
    for attempt in list(state.attempts.values()):
        # The latency objectives of two classes may differ by a factor of 100, so the objective of the
        # request's own class is used.
        objective_ms = attempt.in_flight.request_class.latency_objective_ms
        usual_limit_ms = max(UNRESPONSIVE_LATENCIES * state.mean_latency_ms, objective_ms / 2)
        timeout_ms = min(usual_limit_ms, objective_ms)
        responded_at = max(attempt.server.last_response_at, state.resumed_at)
        if responded_at < attempt.sent_at < state.now - timeout_ms:
            eject(state, attempt.server)
