"""The stage of the newest build: which builds are on trial, and which part of requests they may get."""

import math
from typing import NamedTuple

from meadowpulley.interface import Phase
from meadowpulley.state import Attempt, State

# Greatest number of keys that are stored with the build they are bound to. Requests with a bound key go only
# to that build or to newer builds. If more keys are stored, keys that are bound to the oldest ready build or
# to older builds are forgotten. This is safe because all ready builds may serve the forgotten keys.
# Afterwards, builds older than the oldest ready build get no requests with a key.
MAX_STICKY_KEYS = 8000
# Number of stored keys from which a build on trial gets no request with a key that is not stored. Each such
# request would store another key, for as long as the trial lasts.
MAX_TRIAL_KEYS = 20_000
ROLLBACK_PHASES = (Phase.ROLLING_BACK, Phase.ROLLED_BACK)


class TrialStage(NamedTuple):
    """The stage of a build on trial, and the cap on the build's part of all requests (0 to 1)."""

    cap: float
    stage: int


def is_on_trial(state: State, build: int) -> bool:
    """Return whether a build is on trial; without a known rollout, every build is on trial."""
    rollout = state.latest_rollout
    if rollout is None or build > rollout.build:
        return True
    return build == rollout.build and rollout.phase is not Phase.RELEASED


def trial_stage(state: State, build: int) -> TrialStage:
    """Return the stage of a build on trial; a build without a rollout update is at the first stage."""
    rollout = state.latest_rollout
    if rollout is not None and build == rollout.build:
        return TrialStage(rollout.cap, rollout.stage)
    caps = state.rollout_settings.caps
    return TrialStage(caps[0] if caps else 0.0, 0)


def partition_servers(state: State) -> None:
    """Divide the ready servers between the arms, after an update of the endpoint list or of the rollout."""
    ready = state.ready_servers()
    state.trial_servers = [server for server in ready if is_on_trial(state, server.build)]
    state.baseline_servers = [server for server in ready if not is_on_trial(state, server.build)]
    _limit_sticky_keys(state, min([server.build for server in ready], default=-1))
    state.trial_probability_valid_until = -math.inf
    state.evaluate_at = min(state.evaluate_at, state.now)
    state.peak_ready_servers = max(state.peak_ready_servers, len(ready))


def may_bind_key(state: State, key: int) -> bool:
    """Return whether a request with this key may go to a build on trial, which binds the key to the build."""
    return key in state.sticky_builds or len(state.sticky_builds) < MAX_TRIAL_KEYS


def bind_key(state: State, attempt: Attempt) -> None:
    """Bind the key of a request to the build that may have answered it."""
    state.bind_key(attempt.in_flight, attempt.server.build)
    if len(state.sticky_builds) >= MAX_TRIAL_KEYS:
        _limit_sticky_keys(state, min([server.build for server in state.ready_servers()], default=-1))


def _limit_sticky_keys(state: State, oldest_ready_build: int) -> None:
    """Forget keys that no ready server needs, if too many keys are bound to builds.

    All ready builds may serve a key that is bound to the oldest ready build or to an older build.
    """
    if len(state.sticky_builds) > MAX_STICKY_KEYS and oldest_ready_build > state.oldest_sticky_build:
        state.forget_sticky_builds(oldest_ready_build)
