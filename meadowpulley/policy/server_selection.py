"""The choice of a server: two of a random sample, and of these the one with the shorter queue.

Power of two choices (M. Mitzenmacher, 2001), by this gateway's own attempts in flight: servers report nothing
that is newer.
"""

from meadowpulley.interface import Placement
from meadowpulley.policy.outlier_detection import is_available
from meadowpulley.policy.send_permission import may_send
from meadowpulley.policy.server_subset import server_subset
from meadowpulley.state import InFlightRequest, Server, State

CHOICE_SIZE = 2  # servers that are compared
TIE_BREAK_LOAD = 0.5  # requests: the mean of the random load that tells equally loaded servers apart
# Idle servers are chosen in proportion to the square of what each can do, busy ones by their queues.
IDLE_CAPACITY_EXPONENT = 2.0


def find_candidates(
    state: State, in_flight: InFlightRequest, group: list[Server], sample_size: int
) -> list[Server]:
    """Return the servers of the group that the request may go to.

    Two of a random sample, those of the subset and without an earlier attempt first; or the one that the
    placement of the request's arm prefers.
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
    """Return the servers in the order of an experiment's placement policy."""
    candidates = [state.as_candidate(server) for server in group]
    order = placement(state.now, in_flight.request, candidates)
    return [group[index] for index in order]


def _allowed(
    state: State, in_flight: InFlightRequest, drawn: list[Server], subset: dict[int, float], limit: int
) -> list[Server]:
    """Return the first servers that may be sent to; ones that were attempted only where there is no other."""
    attempted = in_flight.attempted_servers
    allowed: list[Server] = []
    for server in sorted(drawn, key=lambda server: (server.id in attempted, server.id not in subset)):
        if len(allowed) < limit and is_available(state, server) and may_send(state, in_flight, server):
            allowed.append(server)
    return [server for server in allowed if server.id not in attempted] or allowed


def mean_load(state: State) -> float:
    """Return this gateway's attempts in flight per server, 1 at most."""
    return min(len(state.attempts) / max(len(state.servers), 1), 1.0)


def least_loaded(state: State, candidates: list[Server]) -> Server:
    """Return the candidate with the shortest queue for what it can do; chance decides between equals."""
    exponent = IDLE_CAPACITY_EXPONENT - mean_load(state)
    queues = [server.outstanding + TIE_BREAK_LOAD * state.rng.expovariate(1.0) for server in candidates]
    loads = [
        queue / state.relative_capacity(server) ** exponent
        for server, queue in zip(candidates, queues, strict=True)
    ]
    return candidates[loads.index(min(loads))]
