"""The retry budget: retries are a bounded part of the requests, so that they cannot feed an overload.

Each request that arrives at this gateway adds a part of a retry, also where it is then shed. Each retry of
an attempt that ended takes one; the first attempt here of a request that was taken over takes none.
"""

from meadowpulley.state import State

BUDGET_PER_REQUEST = 0.1  # retries
MAX_BUDGET = 10.0  # retries
INITIAL_BUDGET = 1.0  # retries
RETRY_COST = 1.0


def replenish(state: State) -> None:
    """Add what a request that arrived at this gateway brings."""
    state.retry_budget = min(state.retry_budget + BUDGET_PER_REQUEST, MAX_BUDGET)


def allows_retry(state: State) -> bool:
    """Tell whether the budget has room for another retry."""
    return state.retry_budget >= RETRY_COST


def spend(state: State) -> None:
    """Take a retry that was sent from the budget."""
    state.retry_budget -= RETRY_COST
