"""When to call discovery for the endpoint list, so that a whole fleet's calls fit into what it can answer.

Discovery is one service for all gateways and handles their calls in turn. A call that waits too long fails,
and its turn is used up all the same: where a fleet repeats failed calls faster than discovery answers them,
they fill the queue that makes them fail, for as long as the fleet goes on. So the calls of all gateways
together, repeated ones included, stay below one call of each gateway in the time that discovery may need
for that. How old a list may become meanwhile is bounded by `endpoint_lease`, whatever the pauses are here.
"""

import math

from meadowpulley.interface import EndpointUpdateKind
from meadowpulley.state import State

# Per other gateway: over so long the calls of a fleet are spread that come at once.
LIST_CALL_SPACING_MS = 100.0
# Discovery can take one call of each gateway in 2 to 8 s, at any size of the fleet, and a call may wait 2 s
# in its queue: first calls spread over this fit into both.
MAX_FIRST_CALL_MS = 6_000.0
RETRY_MS = 1_500.0  # between the second failed call in a row and the next, however small the fleet is
MAX_RETRY_GROWTH = 2.0  # later pauses after failed calls, relative to that
# The longest pause after a failed call. With the 2 s that a call waits for its failure the calls of a fleet
# that all fail come no faster than discovery can answer them.
MAX_RETRY_MS = 10_000.0
MIN_RETRY_FRACTION = 0.5  # of the longest pause, after a second failure: the rest is drawn


def _fleet_spread_ms(state: State) -> float:
    """Return over how long the calls of all gateways are to be spread."""
    longest_ms = (state.rules.max_poll_interval_ms or math.inf) / 2
    return min(LIST_CALL_SPACING_MS * (state.gateway_count - 1), longest_ms, MAX_RETRY_MS)


def first_call_delay_ms(state: State) -> float:
    """Draw when a gateway that has started calls: a fleet may start all at once."""
    return state.rng.random() * min(_fleet_spread_ms(state), MAX_FIRST_CALL_MS)


def repeat_interval_ms(state: State) -> float:
    """Return after how long an open watch is opened anew, should no response come."""
    return max(state.rules.max_poll_interval_ms, RETRY_MS)


def retry_delay_ms(state: State, kind: EndpointUpdateKind) -> float:
    """Draw the pause before the next call after one that failed."""
    if kind is EndpointUpdateKind.TIMED_OUT:
        return 0.0  # each gateway finds a time-out at its own time, and late
    if not state.endpoint_list.consecutive_failures:
        return _first_retry_delay_ms(state, kind)
    growth = min(state.endpoint_list.consecutive_failures, MAX_RETRY_GROWTH)
    longest_ms = min(max(RETRY_MS * growth, 2 * _fleet_spread_ms(state)), MAX_RETRY_MS)
    drawn_fraction = (1 - MIN_RETRY_FRACTION) * state.rng.random()
    return longest_ms * (MIN_RETRY_FRACTION + drawn_fraction)


def _first_retry_delay_ms(state: State, kind: EndpointUpdateKind) -> float:
    """Draw the pause after a first failure, so that calls which failed at once come spread."""
    delay_ms = state.rng.random() * _fleet_spread_ms(state)
    if kind is EndpointUpdateKind.BROKEN:  # a list may be lost: its changes count as notified
        return min(delay_ms, state.rng.random() * state.rules.drain_grace_ms / 2)
    return delay_ms
