"""Limits on the requests sent to a build on trial, and on the builds that get requests with a key.

The setting `guarded_stages` is a number of stages at the start of a rollout. In these stages, a build on
trial gets idempotent requests only. A key may be bound to a build. Requests with that key are then not sent
to older builds.
Within a time window, the number of attempts sent to a build on trial is at most the exposure allowance plus
the cap times the number of requests.
"""

from meadowpulley.interface import Effect
from meadowpulley.policy.rollout_stage import ROLLBACK_PHASES, is_on_trial, may_bind_key, trial_stage
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
    """Return whether the key of a request allows the server's build.

    The build is not allowed if a newer build may have answered a request with the same key. A build
    that is being or has been rolled back does not count as newer.
    """
    key = in_flight.request.key
    if not key:
        return True
    rollout = state.latest_rollout
    rolled_back = rollout.build if rollout is not None and rollout.phase in ROLLBACK_PHASES else -1
    newest_build = max(server.build, rolled_back)
    if state.sticky_builds.get(key, state.oldest_sticky_build) > newest_build:
        return False
    if not state.rollout_settings.monotonic_keys:
        return True
    if is_on_trial(state, server.build):
        return may_bind_key(state, key)
    # The key is also refused while a request with it is in flight at a newer build. That build may already
    # have answered, and an older build must not answer the same key afterwards.
    attempts = state.attempts.values()
    later = [attempt.in_flight.request.key for attempt in attempts if attempt.server.build > newest_build]
    return key not in later


def _within_cap(state: State, in_flight: InFlightRequest, build: int, cap: float) -> bool:
    """Return whether one more attempt at the build stays within the cap.

    Attempts are counted over a window one tick longer than the exposure window, and requests over a window
    one tick shorter. Times that are wrong by up to a tick therefore do not break the cap.
    """
    tick_ms = state.settings.tick_ms
    exposure_class = in_flight.exposure_class
    requests = state.request_windows[exposure_class].count(state.now, -tick_ms)
    sent = state.build_evidence[build].sent_windows[exposure_class].count(state.now, tick_ms)
    return sent + 1 <= state.rollout_settings.exposure_allowance + cap * requests
