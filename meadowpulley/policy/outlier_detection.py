"""Temporary ejection of outliers: servers that fail, reject requests or do not respond."""

from statistics import median

from meadowpulley.interface import Result
from meadowpulley.state import Server, State

FAILURE_EWMA_WEIGHT = 0.2  # weight of the newest outcome in a server's failure rate
SERVER_FAULT_RATE = 0.3  # failure rate that shows a faulty machine: two failures among the last few outcomes
# Difference to the median failure rate that ejects a server. Where the median is 0, three failures in a row
# reach it, or failures of half of many requests. An ejected server has recovered once its rate is below it.
EJECTION_FAILURE_RATE = 0.45
MIN_EJECTION_MS = 1000.0  # length of the first ejection; each failed request after an ejection doubles it
MAX_EJECTION_MS = 8000.0  # longest ejection
OVERLOAD_BACKOFF_MS = 200.0  # a server that rejected a request gets no further request for this time
# Multiple of the mean latency after which a server without a response counts as unresponsive, if that is
# between half of the request's latency objective and all of it; otherwise the nearer of these bounds applies.
UNRESPONSIVE_LATENCIES = 4.0


def is_available(state: State, server: Server) -> bool:
    """Return whether a server may get a request; after an ejection, one at a time until it has recovered."""
    return state.now >= server.ejected_until and not (server.ejection_ms and server.outstanding)


def eject(state: State, server: Server) -> None:
    """Eject a server for twice as long as the last time, within the bounds on an ejection."""
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
    elif server.last_failure_at < state.now:  # attempts that one event breaks count as one failure
        _record_failure(state, server)


def _record_success(server: Server) -> None:
    server.failure_rate += FAILURE_EWMA_WEIGHT * (0.0 - server.failure_rate)
    if server.failure_rate < EJECTION_FAILURE_RATE:
        server.ejection_ms = 0.0


def _record_failure(state: State, server: Server) -> None:
    """Count a failure; eject a server that fails after an ejection, or that fails more often than most.

    The failure rate is compared with the median rate of all servers, because ejections while most servers
    fail would overload the remaining ones.
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
    """Eject servers that have not responded for far longer than usual.

    Their attempts are not retried, as retries would make an overload worse.
    """
    for attempt in list(state.attempts.values()):
        # Each request is measured by the objective of its own class: classes may differ by a factor of 100.
        objective_ms = attempt.in_flight.request_class.latency_objective_ms
        usual_limit_ms = max(UNRESPONSIVE_LATENCIES * state.mean_latency_ms, objective_ms / 2)
        timeout_ms = min(usual_limit_ms, objective_ms)
        responded_at = max(attempt.server.last_response_at, state.resumed_at)
        if responded_at < attempt.sent_at < state.now - timeout_ms:
            eject(state, attempt.server)
