"""Which arm a request goes to: a coin under the exposure cap, unless its key binds it to a build.

The paper's experiment assigns by an even coin; here the odds stay below the cap, in proportion to what the
servers of the build on trial can do.
"""

from meadowpulley.interface import Phase
from meadowpulley.policy.rollout_stage import trial_stage
from meadowpulley.state import InFlightRequest, Server, State

TRIAL_CAP_FRACTION = 0.8  # of the cap: leaves some for requests bound by their key or without another server
ROLLBACK_UTILIZATION = 0.75  # of the baseline servers, up to which a build that is rolled back gets nothing
EVALUATION_INTERVAL_MS = 400.0  # between two evaluations of a build
STICKY_EWMA_WEIGHT = 0.02  # weight of the newest request in the share of those that follow their key
MIN_UNBOUND_SHARE = 0.01  # of the requests: the least that the odds are spread over
SLOW_START_POWER = 2  # servers in slow start are slow at any load: they count for less than they can do


class ArmChoice:
    """The servers that a request prefers, those to fall back on, and whether chance chose between them."""

    def __init__(
        self, preferred: list[Server], fallback: list[Server], to_trial: bool, randomized: bool
    ) -> None:
        """Hold one choice."""
        self.preferred = preferred
        self.fallback = fallback
        self.to_trial = to_trial
        self.randomized = randomized


def choose_arm(state: State, in_flight: InFlightRequest) -> ArmChoice:
    """Choose between the build on trial and its baseline for the next attempt of a request."""
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
    """Return the probability that a request whose key binds it to no build goes to the trial build."""
    if state.now >= state.trial_probability_valid_until:  # capacities change slowly
        state.trial_probability_valid_until = state.now + EVALUATION_INTERVAL_MS
        state.trial_probability = _capacity_share(state)
    probability = 0.0 if _is_paused(state) else state.trial_probability
    unbound_share = max(1 - state.sticky_share, MIN_UNBOUND_SHARE)
    return max(probability - state.sticky_share, 0.0) / unbound_share


def _is_paused(state: State) -> bool:
    """Tell whether the traffic to the build on trial pauses; not where the baseline could not carry it."""
    return state.traffic_pause.active and len(state.trial_servers) < len(state.baseline_servers)


def _capacity_share(state: State) -> float:
    """Return the trial build's part of all requests, by capacity and under the cap.

    A build that is rolled back gets what is beyond the capacity of the baseline.
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
