"""Routing of one attempt: choose an arm, two candidate servers, and the less loaded candidate."""

from statistics import fmean

from meadowpulley.policy.health_probes import probe, should_probe
from meadowpulley.policy.sending import send
from meadowpulley.policy.server_selection import CHOICE_SIZE, find_candidates, least_loaded
from meadowpulley.policy.trial_assignment import ArmChoice, choose_arm
from meadowpulley.state import InFlightRequest, State


def route(state: State, in_flight: InFlightRequest) -> bool:
    """Send the request to a chosen server, or probe the candidates first; return whether it was sent."""
    choice = choose_arm(state, in_flight)
    randomized = choice.randomized
    candidates = find_candidates(state, in_flight, choice.preferred, _sample_size(state, choice))
    if not candidates and choice.preferred and choice.fallback:
        randomized = False
        candidates = find_candidates(state, in_flight, choice.fallback, len(state.servers))
    if should_probe(state, in_flight, candidates):
        probe(state, in_flight, candidates, randomized)
        return False
    if not candidates:
        return False
    queue_length = fmean([server.outstanding for server in candidates])
    send(state, in_flight, least_loaded(state, candidates), queue_length, randomized)
    return True


def _sample_size(state: State, choice: ArmChoice) -> int:
    """Return how many servers of the preferred arm are considered.

    Usually all servers of the arm are considered. If there are more than two servers per gateway, only two
    are considered for a request that was randomly assigned to the build on trial. If the slow start budgets
    of both servers are used up, the request goes to the baseline. If there are fewer servers per gateway, all
    are considered, because a gateway's part of a slow start budget may be less than a whole request.
    """
    spill_over = choice.randomized and choice.to_trial and 2 * state.gateway_count < state.peak_ready_servers
    return CHOICE_SIZE if spill_over else len(choice.preferred)
