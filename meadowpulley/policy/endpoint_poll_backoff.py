"""Times of the list calls to discovery, spaced so that discovery can answer the whole fleet.

Discovery is one service for all gateways and handles their calls in turn. A call that waits too long
fails, but discovery still spends time on the failed call. If a fleet retried failed calls faster than
discovery answers calls, the retries would keep the queue full, and calls would go on timing out. The
gateways together therefore make at most one call per gateway, retries included, in the time that discovery
may need to answer all gateways. Long pauses are safe, because `endpoint_lease` limits how old a list may
become.
"""

import math

from meadowpulley.interface import EndpointUpdateKind
from meadowpulley.state import State

# Mean spacing, in ms, between the list calls of gateways that would otherwise call at the same time. Upper
# limits on the spread can make the spacing smaller in a large fleet.
LIST_CALL_SPACING_MS = 100.0
# Longest time, in ms, over which the first calls of a fleet are spread. Discovery needs 2 to 8 s to handle
# one call of each gateway, for a fleet of any size. A call may wait 2 s in discovery's queue. Even if
# discovery needs 8 s, calls spread over 6 s are therefore answered in time.
MAX_FIRST_CALL_MS = 6_000.0
# Upper limit, in ms, of the random pause after the second failed call in a row, for a small fleet. In a
# large fleet, the limit rises to twice the time over which the fleet's calls are spread. `RETRY_MS` is also
# the shortest time after which a call without any response is repeated.
RETRY_MS = 1_500.0
MAX_RETRY_GROWTH = 2.0  # factor on RETRY_MS after the third and each later failed call in a row
# Longest pause, in ms, after a failed call in a fleet of any size. Discovery needs 2 to 8 s to handle one
# call of each gateway. A call fails after 2 s in discovery's queue. With pauses of 5 to 10 s after that, a
# fleet makes its calls on average no faster than discovery can answer them, even if all calls fail.
MAX_RETRY_MS = 10_000.0
# Shortest pause after the second and later failed calls in a row, as a fraction of the longest pause. Each
# pause is drawn at random between the shortest and the longest.
MIN_RETRY_FRACTION = 0.5


def _fleet_spread_ms(state: State) -> float:
    """Return the time, in ms, over which the calls of all gateways are spread."""
    longest_ms = (state.rules.max_poll_interval_ms or math.inf) / 2
    return min(LIST_CALL_SPACING_MS * (state.gateway_count - 1), longest_ms, MAX_RETRY_MS)


def first_call_delay_ms(state: State) -> float:
    """Draw the delay, in ms, of a gateway's first call to discovery after the start of the process.

    The random delay spreads the calls of a fleet whose gateways all start at the same time.
    """
    return state.rng.random() * min(_fleet_spread_ms(state), MAX_FIRST_CALL_MS)


def repeat_interval_ms(state: State) -> float:
    """Return the time, in ms, after which a call without any response is repeated."""
    return max(state.rules.max_poll_interval_ms, RETRY_MS)


def retry_delay_ms(state: State, kind: EndpointUpdateKind) -> float:
    """Draw the pause, in ms, between a failed list call and the next list call."""
    if kind is EndpointUpdateKind.TIMED_OUT:
        # Gateways detect a timeout late and each at a different time, so their retries are spread without a
        # pause.
        return 0.0
    if not state.endpoint_list.consecutive_failures:
        return _first_retry_delay_ms(state, kind)
    growth = min(state.endpoint_list.consecutive_failures, MAX_RETRY_GROWTH)
    longest_ms = min(max(RETRY_MS * growth, 2 * _fleet_spread_ms(state)), MAX_RETRY_MS)
    drawn_fraction = (1 - MIN_RETRY_FRACTION) * state.rng.random()
    return longest_ms * (MIN_RETRY_FRACTION + drawn_fraction)


def _first_retry_delay_ms(state: State, kind: EndpointUpdateKind) -> float:
    """Draw the pause, in ms, after a first failed call.

    A random pause spreads the retries of gateways whose calls failed at the same time.
    """
    delay_ms = state.rng.random() * _fleet_spread_ms(state)
    if kind is EndpointUpdateKind.BROKEN:
        # A list may have been lost. Discovery regards this gateway as notified of the changes in that list,
        # so the drain grace is already running. The gateway therefore retries within half of the drain grace.
        return min(delay_ms, state.rng.random() * state.rules.drain_grace_ms / 2)
    return delay_ms
