"""When to call discovery for the endpoint list, so that it can answer the calls of the whole fleet.

Discovery is one service for all gateways and handles their calls in turn. A call that waits too long
fails, but discovery still spends the time of its turn on it. If a fleet retried failed calls faster than
discovery answers them, the retries would fill the very queue in which calls time out, for as long as the
retries go on. So the gateways together make no more calls, retries included, than one call per gateway in
the time that discovery may need to answer all of them. However long the pauses are here, `endpoint_lease`
limits how old a list may become.
"""

import math

from meadowpulley.interface import EndpointUpdateKind
from meadowpulley.state import State

# List calls that a fleet would make at the same time are spread over this many ms for each gateway but the
# first.
LIST_CALL_SPACING_MS = 100.0
# First calls are spread over this time at most. Discovery needs 2 to 8 s to handle one call of each gateway,
# whatever the size of the fleet, and a call may wait 2 s in its queue: calls spread over 6 s fit into both.
MAX_FIRST_CALL_MS = 6_000.0
# Upper limit, in ms, of the random pause after the second failed call in a row, for a small fleet. For a
# large fleet the limit is twice the time over which its calls are spread, if that is longer. `RETRY_MS` is
# also the shortest time after which a call without any response is repeated.
RETRY_MS = 1_500.0
MAX_RETRY_GROWTH = 2.0  # multiplies RETRY_MS from the third failed call in a row on
# Longest pause, in ms, after a failed call in a fleet of any size. A call fails after 2 s in the queue; with
# this pause added, a fleet whose calls all fail calls no faster than discovery can answer.
MAX_RETRY_MS = 10_000.0
# Shortest pause after the second and later failed calls in a row, as a fraction of the pause's upper limit.
# The pause is drawn at random between the two.
MIN_RETRY_FRACTION = 0.5


def _fleet_spread_ms(state: State) -> float:
    """Return the time, in ms, over which the calls of all gateways are spread."""
    longest_ms = (state.rules.max_poll_interval_ms or math.inf) / 2
    return min(LIST_CALL_SPACING_MS * (state.gateway_count - 1), longest_ms, MAX_RETRY_MS)


def first_call_delay_ms(state: State) -> float:
    """Draw the delay, in ms, of the first call after the start, as a whole fleet may start at once."""
    return state.rng.random() * min(_fleet_spread_ms(state), MAX_FIRST_CALL_MS)


def repeat_interval_ms(state: State) -> float:
    """Return the time, in ms, after which a call without any response is repeated."""
    return max(state.rules.max_poll_interval_ms, RETRY_MS)


def retry_delay_ms(state: State, kind: EndpointUpdateKind) -> float:
    """Draw the pause, in ms, between a failed call and the next one."""
    if kind is EndpointUpdateKind.TIMED_OUT:
        return 0.0  # timeouts are detected late, and by each gateway at a different time
    if not state.endpoint_list.consecutive_failures:
        return _first_retry_delay_ms(state, kind)
    growth = min(state.endpoint_list.consecutive_failures, MAX_RETRY_GROWTH)
    longest_ms = min(max(RETRY_MS * growth, 2 * _fleet_spread_ms(state)), MAX_RETRY_MS)
    drawn_fraction = (1 - MIN_RETRY_FRACTION) * state.rng.random()
    return longest_ms * (MIN_RETRY_FRACTION + drawn_fraction)


def _first_retry_delay_ms(state: State, kind: EndpointUpdateKind) -> float:
    """Draw the pause, in ms, after a first failure, to spread the retries of calls that failed at once."""
    delay_ms = state.rng.random() * _fleet_spread_ms(state)
    if kind is EndpointUpdateKind.BROKEN:
        # The changes in a list that may have been lost count as notified: retry well within the drain grace.
        return min(delay_ms, state.rng.random() * state.rules.drain_grace_ms / 2)
    return delay_ms
