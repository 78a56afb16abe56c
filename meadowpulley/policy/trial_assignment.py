"""Assignment of requests to arms: at random, unless a request's key binds it to a build.

The paper on Differences-in-Q estimates assigns requests with equal odds. Here the probability of the build on
trial is proportional to the capacity of the build's servers, and stays below the cap on the build's exposure.
"""

from meadowpulley.interface import Phase
from meadowpulley.policy.rollout_stage import trial_stage
from meadowpulley.state import InFlightRequest, Server, State

# Part of the cap up to which requests are randomly assigned to the build on trial. The rest of the cap is
# left for requests whose key is bound to the build on trial, and for requests that no other server may get.
TRIAL_CAP_FRACTION = 0.8
# Utilization of the baseline's servers up to which a build that is being rolled back gets no requests.
ROLLBACK_UTILIZATION = 0.75
EVALUATION_INTERVAL_MS = 400.0  # time between two evaluations of a build
# Weight of one request in the moving average of the share of requests whose key is bound to the build on
# trial.
STICKY_EWMA_WEIGHT = 0.02
# Lower bound on the share of requests whose key is not bound to the build on trial. Random assignment spreads
# the build's remaining part of all requests over this share, so the share must not be 0.
MIN_UNBOUND_SHARE = 0.01
# The capacity of a server in slow start is multiplied by a power of its slow start fraction. An exponent
# above 1 gives the server fewer requests than its capacity allows, because a server in slow start is slow at
# any load.
SLOW_START_POWER = 2


class ArmChoice:
    """The servers of the chosen arm, the other arm's servers as a fallback, and how the arm was chosen."""

    def __init__(
        self, preferred: list[Server], fallback: list[Server], to_trial: bool, randomized: bool
    ) -> None:
        """Store the choice for one attempt; `to_trial` says whether the build on trial is preferred."""
        self.preferred = preferred
        self.fallback = fallback
        self.to_trial = to_trial
        self.randomized = randomized


def choose_arm(state: State, in_flight: InFlightRequest) -> ArmChoice:
    """Choose the build on trial or its baseline for the next attempt of a request."""
    trial = state.trial_servers
    baseline = state.baseline_servers
    sticky = bool(trial) and state.sticky_builds.get(in_flight.request.key, -1) >= trial[0].build
    state.sticky_share += STICKY_EWMA_WEIGHT * (sticky - state.sticky_share)
    randomized = bool(trial and baseline) and not sticky
    to_trial = bool(trial) and (not baseline or state.rng.random() < _trial_probability(state))
    if to_trial:
        return ArmChoice(trial, baseline, to_trial, randomized)
    return ArmChoice(baseline, trial, to_trial, randomized)


def _trial_probability(state: State) -> float:
    """Return the probability of the build on trial, for requests whose key is not bound to the build."""
    if state.now >= state.trial_probability_valid_until:  # cached, as capacities change slowly
        state.trial_probability_valid_until = state.now + EVALUATION_INTERVAL_MS
        state.trial_probability = _capacity_share(state)
    probability = 0.0 if _is_paused(state) else state.trial_probability
    unbound_share = max(1 - state.sticky_share, MIN_UNBOUND_SHARE)
    return max(probability - state.sticky_share, 0.0) / unbound_share


def _is_paused(state: State) -> bool:
    """Return whether the traffic to the build on trial pauses.

    The traffic does not pause if the build on trial has at least as many servers as the baseline, because the
    baseline could not serve all requests.
    """
    return state.traffic_pause.active and len(state.trial_servers) < len(state.baseline_servers)


def _capacity_share(state: State) -> float:
    """Return the trial build's part of all requests, in proportion to its capacity and below the cap.

    A build that is being rolled back gets only the requests that exceed the capacity of the baseline's
    servers.
    """
    cap = trial_stage(state, state.trial_servers[0].build).cap
    trial_capacity = state.capacity(state.trial_servers, SLOW_START_POWER)
    baseline_capacity = state.capacity(state.baseline_servers, SLOW_START_POWER)
    total = trial_capacity + baseline_capacity
    rollout = state.furthest_rollout
    if rollout is not None and rollout.phase is Phase.ROLLING_BACK:
        needed = max(1 - baseline_capacity / (ROLLBACK_UTILIZATION * total), 0.0)
        return min(needed, cap)
    return min(TRIAL_CAP_FRACTION * cap, trial_capacity / total)
