"""The limit of this gateway's attempts in flight, by additive increase and decrease on late responses.

A response within its objective raises the limit while it is in use; a late one lowers it. In balance one
response in five is late. The limit is what sheds load: requests beyond it are rejected at once.
"""

import math

from meadowpulley.interface import Outcome, RequestClass, Result
from meadowpulley.state import State

LIMIT_INCREASE = 0.1  # attempts, for a response within its objective
LIMIT_DECREASE = 0.4  # attempts, for a late one
MIN_LIMIT_PER_SERVER = 2.0  # attempts in flight per server, of all gateways, that are never too many
MAX_DEVIATIONS = 3.0  # of a Poisson count: few in flight vary so much by chance


def is_reached(state: State) -> bool:
    """Tell whether another request would exceed the limit; by chance, as the limit may be below 1."""
    return len(state.attempts) + state.rng.random() > state.concurrency_limit


def update(state: State, request_class: RequestClass, outcome: Outcome) -> None:
    """Take in how an attempt ended that has left the count of outstanding ones just now."""
    outstanding = len(state.attempts) + 1
    objective_ms = request_class.latency_objective_ms
    ok = outcome.result is Result.OK
    if ok and outcome.elapsed_ms <= objective_ms:
        in_use = 2 * outstanding > state.concurrency_limit
        state.concurrency_limit += LIMIT_INCREASE if in_use else 0.0
    elif ok or _is_overload_timeout(state, outcome, objective_ms):
        highest = _highest_limit(state, outstanding)
        state.concurrency_limit = min(state.concurrency_limit, highest) - LIMIT_DECREASE
    lowest = MIN_LIMIT_PER_SERVER * len(state.servers) / state.gateway_count
    state.concurrency_limit = max(state.concurrency_limit, lowest)


def _is_overload_timeout(state: State, outcome: Outcome, objective_ms: float) -> bool:
    """Tell whether an attempt timed out while responses are slow: else its server is to blame alone."""
    return outcome.result is Result.TIMEOUT and 2 * state.mean_latency_ms > objective_ms


def _highest_limit(state: State, outstanding: int) -> float:
    """Return the limit that ends an overload: twice what is in flight or served, by Little's law."""
    usual = max(outstanding, state.goodput.value(state.now) * state.mean_latency_ms)
    return usual + max(usual, MAX_DEVIATIONS * math.sqrt(usual)) + 1
