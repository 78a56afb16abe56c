"""The slow start budget: how many requests a server that has just started may get from this gateway.

A server in slow start falls over and stays down where all gateways together send it a multiple of what it can
do for the length of an overload window. Each gateway takes its part of that, slot by slot.
"""

from meadowpulley.policy.rollout_stage import is_on_trial
from meadowpulley.policy.server_subset import server_subset
from meadowpulley.state import Server, State

BUDGET_MARGIN = 0.6  # of the budget: capacity is only estimated and work is random
SLOTS_PER_WINDOW = 4  # of an overload window, each with its budget: no burst spends that of two windows


def within_slow_start_budget(state: State, server: Server) -> bool:
    """Tell whether the server is warmed up, or may get another request in this slot.

    The first question in a slot draws the slot's budget.
    """
    window_ms = state.rules.overload_window_ms
    if state.slow_start_fraction(server, window_ms) >= 1.0:
        return True
    slot = int(state.now * SLOTS_PER_WINDOW / window_ms)
    if server.slow_start_slot != slot:
        server.slow_start_slot = slot
        # Rounded by chance, as the parts of hundreds of gateways add up.
        server.slow_start_budget = int(_requests_per_slot(state, server) + state.rng.random())
    return server.slow_start_budget >= 1


def _requests_per_slot(state: State, server: Server) -> float:
    """Return this gateway's part of the requests that the server may get in a slot, not rounded."""
    window_ms = state.rules.overload_window_ms
    # In an overload hardly any response comes: then half of the requests stand for what is served.
    served_per_ms = max(state.goodput.value(state.now), state.request_rate.value(state.now) / 2)
    fraction = state.slow_start_fraction(server, window_ms / 2)
    allowed_per_ms = state.rules.overload_multiple * fraction * served_per_ms
    budget = BUDGET_MARGIN * (allowed_per_ms / state.peak_ready_servers) * window_ms / SLOTS_PER_WINDOW
    arm = state.trial_servers if is_on_trial(state, server.build) else state.baseline_servers
    weight = server_subset(state, arm).get(server.id, 1.0)
    return max(budget, 1 / state.gateway_count) * weight
