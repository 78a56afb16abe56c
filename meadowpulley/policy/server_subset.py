"""The subset of servers that this gateway prefers; half of them are in its own zone.

If a gateway with few requests used all servers, it would open a connection for nearly every request. A subset
is a window over the list of servers that starts at a position given by the gateway's index, so that the
subsets of all gateways cover the servers evenly.
"""

import math

from meadowpulley.state import Server, State

# Part of the subset that is in the gateway's own zone. Zones may get unequal numbers of requests, and a
# greater part would overload the servers of a zone with many requests.
LOCAL_ZONE_FRACTION = 0.5


def server_subset(state: State, group: list[Server]) -> dict[int, float]:
    """Return this gateway's weight at each server in the subset, by server id.

    The weight is the expected number of requests from this gateway to the server, divided by the number that
    would be expected if all gateways used all servers. The result is empty if this gateway uses all servers
    of the group.
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
