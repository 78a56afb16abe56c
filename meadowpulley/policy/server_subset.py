"""The subset of servers that this gateway prefers, half of them in its own zone.

Gateways with few requests would open a connection for nearly every request if each used all servers. Subsets
are windows over the servers by the gateway's index, so that those of all gateways cover the fleet evenly.
"""

import math

from meadowpulley.state import Server, State

LOCAL_ZONE_FRACTION = 0.5  # of the subset: more would overload a zone that has more than its part of requests


def server_subset(state: State, group: list[Server]) -> dict[int, float]:
    """Return the servers of the subset with this gateway's weight at each.

    The weight says how many times an average part of the server is this gateway's. Empty where all servers of
    the group are used.
    """
    subset: dict[int, float] = {}
    if state.subset_size >= len(group):
        return subset
    for local, fraction in ((True, LOCAL_ZONE_FRACTION), (False, 1 - LOCAL_ZONE_FRACTION)):
        numbers = [server.id for server in group if (server.zone == state.settings.zone) is local]
        start = state.settings.gateway_index * len(numbers) // state.gateway_count
        size = math.ceil(state.subset_size * fraction)
        weight = fraction * len(group) / min(size, len(numbers) or 1)
        window = (numbers + numbers)[start : start + size]
        subset |= dict.fromkeys(window, weight)
    return subset
