"""Endpoint lists as they come, or fail to come, and which servers run a build on trial."""

import math

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchClosed,
    EndpointWatchOpened,
    Phase,
)
from meadowpulley.policy import endpoint_lease
from meadowpulley.policy.endpoint_poll_backoff import retry_delay_ms
from meadowpulley.state import State

LOCAL_ZONE_FRACTION = 0.5  # of the subset: more would overload a zone that has more than its part of requests
MAX_STICKY_KEYS = 8000  # beyond it keys that no ready server needs are forgotten: older builds then get none
CALL_FAILURES = (EndpointUpdateKind.FAILED, EndpointUpdateKind.TIMED_OUT, EndpointUpdateKind.BROKEN)
ROLLBACK_PHASES = (Phase.ROLLING_BACK, Phase.ROLLED_BACK)


def is_on_trial(state: State, build: int) -> bool:
    """Tell whether a build is on trial; while no rollout is known all are."""
    rollout = state.latest_rollout
    if rollout is None or build > rollout.build:
        return True
    return build == rollout.build and rollout.phase is not Phase.RELEASED


def cap_and_stage(state: State, build: int) -> tuple[float, int]:
    """Return the exposure cap and the stage of a build on trial; an unannounced one is at the first stage."""
    rollout = state.latest_rollout
    if rollout is not None and build == rollout.build:
        return rollout.cap, rollout.stage
    return (*state.rollout_settings.caps, 0.0)[0], 0


def handle_endpoint_update(state: State, update: EndpointUpdate) -> None:
    """Take in an endpoint list, or the failure of the call for it."""
    if update.kind in CALL_FAILURES:
        _handle_failed_call(state, update)
        return
    if update.kind is EndpointUpdateKind.CACHED:
        endpoint_lease.start_from_cache(state)
        state.confirmation.queried_at = state.now  # in a small fleet the first list call is answered sooner
    else:
        endpoint_lease.confirm_list(state, update.as_of_ms)
        state.resubscribe_at, state.list_failures = math.inf, 0
    state.apply_endpoints(update)
    state.confirmation.ready_servers = None
    partition_servers(state)


def _handle_failed_call(state: State, update: EndpointUpdate) -> None:
    """Plan the next list call, where discovery has to be polled."""
    endpoint_lease.watch_ended(state, update.as_of_ms)
    if update.kind is EndpointUpdateKind.BROKEN:
        endpoint_lease.list_lost(state)
    delay_ms = retry_delay_ms(state, update.kind)
    if update.kind is not EndpointUpdateKind.TIMED_OUT:
        state.list_failures += 1
    state.resubscribe_at = state.now + delay_ms if state.settings.must_poll else math.inf


def handle_watch_opened(state: State, event: EndpointWatchOpened) -> None:
    """Take in that discovery has the call for the next change."""
    endpoint_lease.confirm_list(state, event.as_of_ms)
    endpoint_lease.watch_opened(state, event.wait_ms)


def handle_watch_closed(state: State, event: EndpointWatchClosed) -> None:
    """Take in that the gateway has ended the call for the next change itself."""
    endpoint_lease.watch_ended(state, event.as_of_ms)


def partition_servers(state: State) -> None:
    """Sort the ready servers by arm, after an update of the servers or of the rollout."""
    ready = state.ready_servers()
    state.trial_servers = [s for s in ready if is_on_trial(state, s.build)]
    state.baseline_servers = [s for s in ready if not is_on_trial(state, s.build)]
    oldest_build = min((s.build for s in ready), default=-1)
    if len(state.sticky_builds) > MAX_STICKY_KEYS and oldest_build > state.oldest_sticky_build:
        state.forget_sticky_builds(oldest_build)
    state.trial_probability_until, state.evaluate_at = -math.inf, min(state.evaluate_at, state.now)
    state.peak_ready_servers = max(state.peak_ready_servers, len(ready))
