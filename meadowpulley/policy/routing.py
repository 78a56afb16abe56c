"""Routing of one attempt: the arm, two candidates in it, and the less loaded of these."""

from statistics import fmean

from meadowpulley.policy.health_probes import probe, should_probe
from meadowpulley.policy.sending import send
from meadowpulley.policy.server_selection import CHOICE_SIZE, find_candidates, least_loaded
from meadowpulley.policy.trial_assignment import ArmChoice, choose_arm
from meadowpulley.state import InFlightRequest, State


def route(state: State, in_flight: InFlightRequest) -> bool:
    """Choose a server and send the request there, or probe two; return whether it was sent."""
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
    """Return how many servers of the preferred arm are looked at.

    What servers of the trial build in slow start may not have goes to the baseline, where the gateways' parts
    are whole requests; so only two are looked at where there are enough servers for each gateway.
    """
    spill_over = choice.randomized and choice.to_trial and 2 * state.gateway_count < state.peak_ready_servers
    return CHOICE_SIZE if spill_over else len(choice.preferred)
