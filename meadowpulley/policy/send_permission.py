"""Decides whether a request may be sent to a server now, and until when, or gives the reason why not.

Every attempt has to pass `may_send`: the first attempt of a request, a retry, an attempt after a health
probe, and an attempt for an adopted request. No other module decides whether to send. The gateway checks
again when it writes a request (`net/write_permission.py`), and writes nothing after the time that `write_by`
returned.

The checks here are strict rules. Avoiding ejected servers is only a preference, which `server_selection`
applies before these checks.
"""

from enum import Enum

from meadowpulley.policy.endpoint_lease import is_usable, usable_until
from meadowpulley.policy.exposure import within_exposure
from meadowpulley.policy.retry_eligibility import may_repeat, repeatable_until
from meadowpulley.policy.slow_start_budget import within_slow_start_budget
from meadowpulley.state import InFlightRequest, Server, State


class SendRefusal(Enum):
    """Says why a request may not be sent to a server now. Each value is the name of a counter.

    To add a reason, define it here and check it in `send_refusal`, at its place in the order of the
    checks. If the reason can arise between the decision to send and the write, also check it in `write_by` or
    `net/write_permission.py`. The counter `send_refused.*` and the entry in `interval_metrics` are added
    automatically, but docs/on-call.md and the table of rules in docs/design.md have to be edited.
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
    """Return whether all rules allow the attempt; a refusal is counted by its reason."""
    refusal = send_refusal(state, in_flight, server)
    if refusal is not None:
        state.send_refusals[refusal.value] += 1
    return refusal is None


def send_refusal(state: State, in_flight: InFlightRequest, server: Server) -> SendRefusal | None:
    """Return why the request may not be sent to the server now, or None if it may."""
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
    """Return why the request may not be sent to any server now, or None if no such reason exists."""
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
    """Return the time until which a request may be written to the server, in ms on the events' clock.

    The policy decides to send a request, but the gateway writes the request only when a connection is
    available. Until the write, the lease on the endpoint list may end, or servers may cease
    to drop duplicates of the request.
    """
    return min(usable_until(state, server), repeatable_until(state, in_flight))
