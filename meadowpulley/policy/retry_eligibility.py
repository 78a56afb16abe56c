"""Decides whether, at which servers and until when a request may be executed again.

The rules apply after an attempt that may have executed the request, as a request must not take effect twice.
A non-idempotent request is therefore not repeated after such an attempt. A request with an idempotency key is
repeated only at servers that drop duplicates of the request, and only while those servers remember the key.
"""

import math

from meadowpulley.interface import Effect
from meadowpulley.policy.endpoint_lease import allowance_ms
from meadowpulley.state import Attempt, InFlightRequest, Server, State


def may_repeat(state: State, in_flight: InFlightRequest, server: Server) -> bool:
    """Return whether the server may execute the request even if any earlier attempt executed it."""
    return all([_may_follow(state, previous, server) for previous in in_flight.possible_executions])


def _may_follow(state: State, previous: Attempt, server: Server) -> bool:
    """Return whether the server may execute the request even if the attempt `previous` executed it."""
    if state.now >= _repeatable_until(state, previous):
        return False
    request_class = previous.in_flight.request_class
    if request_class.effect is Effect.IDEMPOTENT:
        return True
    return server.in_scope(request_class.deduplication_scope, previous.server)


def repeatable_until(state: State, in_flight: InFlightRequest) -> float:
    """Return the time until which the request may be written again, or infinity if there is no limit."""
    return min(
        [_repeatable_until(state, previous) for previous in in_flight.possible_executions] or [math.inf]
    )


def _repeatable_until(state: State, previous: Attempt) -> float:
    """Return the time until which the request of the attempt `previous` may be executed again.

    The time is infinity for an idempotent request, and minus infinity for a non-idempotent request.
    """
    request_class = previous.in_flight.request_class
    if request_class.effect is Effect.IDEMPOTENT:
        return math.inf
    if request_class.effect is not Effect.IDEMPOTENT_WITH_KEY:
        return -math.inf
    window_ms = request_class.deduplication_window_ms
    return previous.sent_at + window_ms - allowance_ms(state, window_ms)
