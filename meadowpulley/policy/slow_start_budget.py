"""The slow start budget: how many requests a server that has just started may get from this gateway.

A server in slow start fails and stays down if all gateways together send it a certain multiple of its
capacity for the length of an overload window. The window is divided into slots, and in each slot a gateway
sends a server at most the gateway's part of that load.
"""

from meadowpulley.policy.rollout_stage import is_on_trial
from meadowpulley.policy.server_subset import server_subset
from meadowpulley.state import Server, State

# Part of the slow start budget that is used. The rest is a margin, as the capacity of a server is only
# estimated and the work per request is random.
BUDGET_MARGIN = 0.6
# Number of slots in an overload window. Each slot has a separate budget, so that no burst of requests can use
# up the budgets of two windows at once.
SLOTS_PER_WINDOW = 4


def within_slow_start_budget(state: State, server: Server) -> bool:
    """Return whether the server is warmed up, or may get another request in this slot.

    The first call in a slot sets the server's budget for the slot.
    """
    window_ms = state.rules.overload_window_ms
    if state.slow_start_fraction(server, window_ms) >= 1.0:
        return True
    slot = int(state.now * SLOTS_PER_WINDOW / window_ms)
    if server.slow_start_slot != slot:
        server.slow_start_slot = slot
        # The budget is rounded at random, as a fixed rounding error would add up over hundreds of gateways.
        server.slow_start_budget = int(_requests_per_slot(state, server) + state.rng.random())
    return server.slow_start_budget >= 1


def _requests_per_slot(state: State, server: Server) -> float:
    """Return this gateway's part of the requests that the server may get in a slot, before rounding."""
    window_ms = state.rules.overload_window_ms
    # In an overload hardly any responses arrive, so the rate of served requests is taken to be at least half
    # of the request rate.
    served_per_ms = max(state.goodput.value(state.now), state.request_rate.value(state.now) / 2)
    fraction = state.slow_start_fraction(server, window_ms / 2)
    allowed_per_ms = state.rules.overload_multiple * fraction * served_per_ms
    budget = BUDGET_MARGIN * (allowed_per_ms / state.peak_ready_servers) * window_ms / SLOTS_PER_WINDOW
    arm = state.trial_servers if is_on_trial(state, server.build) else state.baseline_servers
    weight = server_subset(state, arm).get(server.id, 1.0)
    return max(budget, 1 / state.gateway_count) * weight
