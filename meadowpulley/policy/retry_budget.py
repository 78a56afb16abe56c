"""The retry budget: limits retries to a fraction of requests, so that they do not prolong overloads.

Each request that arrives at this gateway adds a fraction of a retry to the budget, even if the request is
then shed. Each retry after an attempt has ended takes one retry from the budget. The first attempt that
this gateway makes for an adopted request takes nothing from the budget.
"""

from meadowpulley.state import State

BUDGET_PER_REQUEST = 0.1  # retries that each request adds to the budget
MAX_BUDGET = 10.0  # retries that the budget holds at most
INITIAL_BUDGET = 1.0  # retries available when the gateway starts
RETRY_COST = 1.0


def replenish(state: State) -> None:
    """Add the fraction of a retry that one arriving request contributes to the budget."""
    state.retry_budget = min(state.retry_budget + BUDGET_PER_REQUEST, MAX_BUDGET)


def allows_retry(state: State) -> bool:
    """Return whether the budget allows another retry."""
    return state.retry_budget >= RETRY_COST


def spend(state: State) -> None:
    """Take one retry from the budget, after the retry was sent."""
    state.retry_budget -= RETRY_COST
