"""The exposure cap of a build on trial, its guarded stages, and the builds that keys are bound to.

Within a time window, the number of attempts sent to a build on trial is at most the exposure allowance plus
the cap times the number of requests.
"""

from meadowpulley.interface import Effect
from meadowpulley.policy.rollout_stage import ROLLBACK_PHASES, is_on_trial, trial_stage
from meadowpulley.state import InFlightRequest, Server, State


def within_exposure(state: State, in_flight: InFlightRequest, server: Server) -> bool:
    """Return whether key, rollout stage and exposure cap allow the request to use the server's build."""
    if not _key_allows(state, in_flight, server):
        return False
    if not is_on_trial(state, server.build):
        return True
    cap, stage = trial_stage(state, server.build)
    if cap <= 0:
        return False
    if stage < state.rollout_settings.guarded_stages and in_flight.effect is not Effect.IDEMPOTENT:
        return False
    return _within_cap(state, in_flight, server.build, cap)


def _key_allows(state: State, in_flight: InFlightRequest, server: Server) -> bool:
    """Return whether the key allows the build: no newer build may have answered a request with this key.

    A build that is being or has been rolled back does not count as newer.
    """
    key = in_flight.request.key
    if not key:
        return True
    rollout = state.latest_rollout
    rolled_back = rollout.build if rollout is not None and rollout.phase in ROLLBACK_PHASES else -1
    newest_build = max(server.build, rolled_back)
    if state.sticky_builds.get(key, state.oldest_sticky_build) > newest_build:
        return False
    if is_on_trial(state, server.build) or not state.rollout_settings.monotonic_keys:
        return True
    # A later build may already have answered an outstanding attempt.
    attempts = state.attempts.values()
    later = [attempt.in_flight.request.key for attempt in attempts if attempt.server.build > newest_build]
    return key not in later


def _within_cap(state: State, in_flight: InFlightRequest, build: int, cap: float) -> bool:
    """Return whether one more attempt at the build stays within the cap.

    Attempts are counted over a window that is one tick longer, and requests over one that is one tick
    shorter, so that times which are wrong by up to a tick do not break the cap.
    """
    tick_ms = state.settings.tick_ms
    exposure_class = in_flight.exposure_class
    requests = state.request_windows[exposure_class].count(state.now, -tick_ms)
    sent = state.build_evidence[build].sent_windows[exposure_class].count(state.now, tick_ms)
    return sent + 1 <= state.rollout_settings.exposure_allowance + cap * requests
