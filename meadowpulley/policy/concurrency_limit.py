"""The limit on this gateway's attempts in flight, with additive increase and additive decrease.

A response within its latency objective raises the limit if more than half of the limit is in use; a late
response lowers it. The increase and the decrease balance when one response in five is late. The limit
sheds load: a request that would exceed the limit is rejected at once.
"""

import math

from meadowpulley.interface import Outcome, RequestClass, Result
from meadowpulley.state import State

LIMIT_INCREASE = 0.1  # attempts added to the limit for each response within its latency objective
LIMIT_DECREASE = 0.4  # attempts subtracted from the limit for each late response
# Attempts in flight per server that all gateways together may always have. This number is divided equally
# among the gateways, and a gateway's limit never falls below its part.
MIN_LIMIT_PER_SERVER = 2.0
# The number of attempts in flight varies by chance, like a Poisson count. During an overload, the limit
# leaves room for an increase by this many standard deviations. Such an increase is relatively large when few
# attempts are in flight.
MAX_DEVIATIONS = 3.0


def is_reached(state: State) -> bool:
    """Return whether another request would exceed the limit.

    The limit is rounded up or down at random, because it is not a whole number and may be below 1.
    """
    return len(state.attempts) + state.rng.random() > state.concurrency_limit


def update(state: State, request_class: RequestClass, outcome: Outcome) -> None:
    """Adjust the limit after the outcome of an attempt that is no longer counted as outstanding."""
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
    """Return whether an attempt timed out while responses are slow in general.

    If responses are fast in general, the timeout is the fault of the attempt's server alone.
    """
    return outcome.result is Result.TIMEOUT and 2 * state.mean_latency_ms > objective_ms


def _highest_limit(state: State, outstanding: int) -> float:
    """Return the limit's upper bound during an overload, before it is lowered for a late response.

    The bound is 1 above twice the attempts in flight. With fewer than 9 in flight, the bound is higher: 1
    above the attempts in flight plus `MAX_DEVIATIONS` standard deviations of a Poisson count.
    A limit far above the attempts in flight would be decreased many times before it rejected any request,
    and the overload would go on meanwhile. The attempts in flight are the outstanding attempts or, if higher,
    goodput times mean latency. By Little's law, this product is the number of attempts that are being served.
    """
    typical = max(outstanding, state.goodput.value(state.now) * state.mean_latency_ms)
    return typical + max(typical, MAX_DEVIATIONS * math.sqrt(typical)) + 1
