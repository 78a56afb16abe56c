"""Choice of a server: of two random servers, the server with the shorter queue is chosen.

This is the power of two choices (M. Mitzenmacher, 2001). The queue of a server is the number of this
gateway's own attempts in flight at the server, because reports from servers are less recent.
"""

from meadowpulley.interface import Placement
from meadowpulley.policy.outlier_detection import is_available
from meadowpulley.policy.send_permission import may_send
from meadowpulley.policy.server_subset import server_subset
from meadowpulley.state import InFlightRequest, Server, State

CHOICE_SIZE = 2  # number of candidates whose queues are compared
TIE_BREAK_LOAD = 0.5  # mean of the random number of requests that is added to each queue length to break ties
# To compare queue lengths, each is divided by a power of the server's capacity. The exponent is this number
# minus the mean load (0 to 1). Idle servers are thus chosen in proportion to the square of their capacity.
# Busy servers are compared by the ratio of queue length to capacity.
IDLE_CAPACITY_EXPONENT = 2.0


def find_candidates(
    state: State, in_flight: InFlightRequest, group: list[Server], sample_size: int
) -> list[Server]:
    """Return the servers of the group that are candidates for the next attempt of the request.

    Usually two servers of a random sample are returned. Servers that the request has not tried are preferred,
    and servers in the subset next. If the request's arm has a placement, the only candidate is the first
    server in the placement's order that may get the request.
    """
    placement = state.placements.get(in_flight.request.arm)
    if placement is not None:
        drawn = _placed(state, in_flight, group, placement)[:sample_size]
        return _allowed(state, in_flight, drawn, {}, limit=1)
    drawn = state.rng.sample(group, min(sample_size, len(group)))
    return _allowed(state, in_flight, drawn, server_subset(state, group), CHOICE_SIZE)


def _placed(
    state: State, in_flight: InFlightRequest, group: list[Server], placement: Placement
) -> list[Server]:
    """Return the servers that an experiment's placement policy lists, in the policy's order."""
    candidates = [state.as_candidate(server) for server in group]
    order = placement(state.now, in_flight.request, candidates)
    return [group[index] for index in order]


def _allowed(
    state: State, in_flight: InFlightRequest, drawn: list[Server], subset: dict[int, float], limit: int
) -> list[Server]:
    """Return up to `limit` allowed servers; servers of earlier attempts only if no others are allowed."""
    attempted = in_flight.attempted_servers
    allowed: list[Server] = []
    for server in sorted(drawn, key=lambda server: (server.id in attempted, server.id not in subset)):
        if len(allowed) < limit and is_available(state, server) and may_send(state, in_flight, server):
            allowed.append(server)
    return [server for server in allowed if server.id not in attempted] or allowed


def mean_load(state: State) -> float:
    """Return the mean number of this gateway's attempts in flight per server, at most 1."""
    return min(len(state.attempts) / max(len(state.servers), 1), 1.0)


def least_loaded(state: State, candidates: list[Server]) -> Server:
    """Return the candidate with the shortest queue relative to its capacity; ties are broken at random."""
    exponent = IDLE_CAPACITY_EXPONENT - mean_load(state)
    queues = [server.outstanding + TIE_BREAK_LOAD * state.rng.expovariate(1.0) for server in candidates]
    loads = [
        queue / state.relative_capacity(server) ** exponent
        for server, queue in zip(candidates, queues, strict=True)
    ]
    return candidates[loads.index(min(loads))]
