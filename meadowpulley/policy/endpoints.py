"""Endpoint lists, when to ask for them again, and which servers run a build on trial."""

import math

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchClosed,
    EndpointWatchOpened,
    IdleConnectionLost,
    Phase,
)
from meadowpulley.policy import endpoint_lease
from meadowpulley.policy.endpoint_lease import NOTIFICATION_MS
from meadowpulley.state import State

LOCAL_ZONE_FRACTION = 0.5  # of the subset: more would overload a zone that has more than its part of requests
LIST_RETRY_MS = 1500.0  # between the second failed list call in a row and the next
# The longest pause before the next list call. Changes count as notified 6 s after discovery can be reached:
# the rest is for a call that was out at that moment and fails, and for the one that follows.
MAX_LIST_RETRY_MS = NOTIFICATION_MS / 2
MIN_RETRY_FRACTION = (
    0.5  # of the longest pause: where it binds, the calls of a fleet are spread over the rest
)
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
    else:
        endpoint_lease.confirm_list(state, update.as_of_ms)
        state.resubscribe_at, state.list_failures = math.inf, 0
    state.apply_endpoints(update)
    partition_servers(state)


def _handle_failed_call(state: State, update: EndpointUpdate) -> None:
    """Plan the next list call, where discovery has to be polled."""
    endpoint_lease.watch_ended(state, update.as_of_ms)
    if update.kind is EndpointUpdateKind.BROKEN:
        endpoint_lease.list_lost(state)
    delay_ms = 0.0  # each gateway finds a time-out at its own time, and late
    if update.kind is not EndpointUpdateKind.TIMED_OUT:
        backoff_ms = LIST_RETRY_MS * min(state.list_failures, 3) * (0.5 + state.rng.random())
        jitter_ms = state.rng.random() * state.list_jitter_ms * (1 + min(state.list_failures, 1))
        spread = MIN_RETRY_FRACTION + (1 - MIN_RETRY_FRACTION) * state.rng.random()
        delay_ms = min(max(backoff_ms, jitter_ms), MAX_LIST_RETRY_MS * spread)
        if update.kind is EndpointUpdateKind.BROKEN and not state.list_failures:
            delay_ms = min(delay_ms, state.rng.random() * state.rules.drain_grace_ms / 2)
        state.list_failures += 1
    state.resubscribe_at = state.now + delay_ms if state.settings.must_poll else math.inf


def handle_watch_opened(state: State, event: EndpointWatchOpened) -> None:
    """Take in that discovery has the call for the next change."""
    endpoint_lease.confirm_list(state, event.as_of_ms)
    endpoint_lease.watch_opened(state, event.wait_ms)


def handle_watch_closed(state: State, event: EndpointWatchClosed) -> None:
    """Take in that the gateway has ended the call for the next change itself."""
    endpoint_lease.watch_ended(state, event.as_of_ms)


def handle_idle_connection_lost(state: State, event: IdleConnectionLost) -> None:
    """Take in that a server has ended a connection, as it does when it ends itself."""
    if server := state.servers.get(event.server):
        endpoint_lease.record_broken_connection(state, server)


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
