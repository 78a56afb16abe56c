"""The one place that says whether a request may be sent to a server now, why not, and until when it holds.

Every attempt passes `may_send`: the first, a retry, one after a health check, one of an adopted request. The
gateway checks again when it writes (`net/write_permission.py`), by the time that `write_by` gives it.

These are the rules. That an ejected server gets nothing is a preference, and no rule: `server_selection`
leaves it out before.
"""

from enum import Enum

from meadowpulley.policy.endpoint_lease import is_usable, usable_until
from meadowpulley.policy.exposure import within_exposure
from meadowpulley.policy.retry_eligibility import may_repeat, repeatable_until
from meadowpulley.policy.slow_start_budget import within_slow_start_budget
from meadowpulley.state import InFlightRequest, Server, State


class SendRefusal(Enum):
    """Why a request may not be sent to a server now; the value names its counter.

    A new reason goes here and, in its place, into `send_refusal`; where it can change until the request is
    written, into `write_by` or `net/write_permission.py` too. Its counter `send_refused.*` and its part of
    `interval_metrics` follow by themselves; docs/on-call.md and the table of rules in docs/design.md don't.
    """

    REQUEST_FINISHED = "request_finished"
    RESPONSE_STARTED = "response_started"
    DEADLINE_PASSED = "deadline_passed"
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"
    ATTEMPT_OUTSTANDING = "attempt_outstanding"
    SERVER_NOT_READY = "server_not_ready"
    ENDPOINT_EXPIRED = "endpoint_expired"
    NOT_REPEATABLE = "not_repeatable"
    EXPOSURE = "exposure"
    SLOW_START = "slow_start"


def may_send(state: State, in_flight: InFlightRequest, server: Server) -> bool:
    """Check an attempt against all rules, and count why it may not be sent."""
    refusal = send_refusal(state, in_flight, server)
    if refusal is not None:
        state.send_refusals[refusal.value] += 1
    return refusal is None


def send_refusal(state: State, in_flight: InFlightRequest, server: Server) -> SendRefusal | None:
    """Return why a request may not be sent to a server now; None if it may."""
    if refusal := _request_refusal(state, in_flight):
        return refusal
    if not server.is_ready or state.servers.get(server.id) is not server:
        return SendRefusal.SERVER_NOT_READY
    if not is_usable(state, server):
        return SendRefusal.ENDPOINT_EXPIRED
    if not may_repeat(state, in_flight, server):
        return SendRefusal.NOT_REPEATABLE
    if not within_exposure(state, in_flight, server):
        return SendRefusal.EXPOSURE
    if not within_slow_start_budget(state, server):
        return SendRefusal.SLOW_START
    return None


def _request_refusal(state: State, in_flight: InFlightRequest) -> SendRefusal | None:
    """Return why a request may not be sent anywhere."""
    request = in_flight.request
    limits = state.settings.limits
    if request.request not in state.in_flight:
        return SendRefusal.REQUEST_FINISHED
    if in_flight.streaming:
        return SendRefusal.RESPONSE_STARTED
    if state.now >= request.deadline_ms:
        return SendRefusal.DEADLINE_PASSED
    if in_flight.attempt_count >= limits.max_attempts:
        return SendRefusal.ATTEMPTS_EXHAUSTED
    if in_flight.outstanding and not limits.hedging:
        return SendRefusal.ATTEMPT_OUTSTANDING
    return None


def write_by(state: State, in_flight: InFlightRequest, server: Server) -> float:
    """Return until when a request that may be sent now may be written, on the clock of the events."""
    return min(usable_until(state, server), repeatable_until(state, in_flight))
