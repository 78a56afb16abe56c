"""What renews or shortens the lease on the endpoint list; `endpoint_lease` says how long it lasts."""

import math

from meadowpulley.interface import ConfigurationReloaded, ReloadOutcome
from meadowpulley.policy.change_notification import NOTIFICATION_MS, RELOAD_NOTIFICATION_MS, notification_ms
from meadowpulley.policy.endpoint_lease import STALL_ALLOWANCE_MS, grace_ms
from meadowpulley.state import EndpointListState, ReloadWindow, State


def start_from_cache(state: State, started_at: float | None) -> None:
    """Start the lease on a list of unknown age.

    If discovery pushes changes, it regards this gateway as notified of all changes to the list when the
    process starts, at the time `started_at`; None stands for the current time. If the list is polled, the
    lease starts with the first use of the list.
    """
    if started_at is None or state.settings.must_poll:
        _confirm_as_of(state, state.now - notification_ms(state))
    else:
        _confirm_as_of(state, started_at)


def confirm_list(state: State, as_of_ms: float | None) -> None:
    """Renew the lease with a list that holds all changes up to the time `as_of_ms`.

    `as_of_ms` is None if discovery pushes changes. The gateway then receives every later change, or learns
    that the watch failed. Such a lease lasts while the watch is open, and after the end of the watch for the
    drain grace minus the allowance for stalls.
    """
    if as_of_ms is None:
        state.endpoint_list.confirmed_at = state.now
        state.endpoint_list.watch_covers_until = math.inf
    else:
        _confirm_as_of(state, as_of_ms)
    state.endpoint_list.is_confirmed = True
    _drop_passed_windows(state.endpoint_list)


def watch_opened(state: State, wait_ms: float) -> None:
    """Extend the lease for a call that discovery answers after `wait_ms`, or sooner if the list changes."""
    state.endpoint_list.watch_covers_until = state.now + wait_ms


def watch_ended(state: State, as_of_ms: float | None, is_list_lost: bool = False) -> None:
    """Record that the watch for changes of the endpoint list has ended, or that a call without one failed.

    If the list is polled, it holds all changes up to the time `as_of_ms`. If it is pushed, `as_of_ms` is the
    start of the failed call. None stands for the current time. `is_list_lost` tells that a list may have been
    lost on its way.
    """
    was_watching = state.endpoint_list.watch_covers_until > -math.inf
    state.endpoint_list.watch_covers_until = -math.inf
    known_as_of_ms = state.now if as_of_ms is None else as_of_ms
    if state.settings.must_poll:
        _confirm_as_of(state, known_as_of_ms)
    elif was_watching:  # discovery has pushed all changes so far
        _confirm_as_of(state, state.now - (STALL_ALLOWANCE_MS if is_list_lost else 0.0))
    else:
        _confirm_by_failed_call(state, known_as_of_ms)


def _confirm_by_failed_call(state: State, called_at: float) -> None:
    """Renew the lease on a pushed list with a call that failed because discovery is down.

    While discovery is down it learns of no change. A call fails as well if discovery is up but has too many
    callers; such a call waits first, and so proves nothing. It fails at once if discovery has moved and the
    reload was refused. Nor does a failed call prove anything of a list that discovery has not confirmed, of a
    list after which another one may have been lost, or of the time after the grace that began with the last
    confirmation, unless this gateway was held up meanwhile.
    """
    endpoint_list = state.endpoint_list
    is_list_lost = endpoint_list.lost_at > endpoint_list.confirmed_at
    has_waited = state.now - called_at > STALL_ALLOWANCE_MS
    grace_ends_at = endpoint_list.confirmed_at + grace_ms(state)
    is_too_late = called_at >= grace_ends_at + STALL_ALLOWANCE_MS
    is_possible = endpoint_list.is_confirmed and endpoint_list.is_address_known
    if is_possible and not (is_list_lost or has_waited or is_too_late):
        _confirm_as_of(state, called_at)


def _confirm_as_of(state: State, as_of_ms: float) -> None:
    state.endpoint_list.confirmed_at = max(state.endpoint_list.confirmed_at, as_of_ms)


def list_lost(state: State) -> None:
    """Record that an endpoint list from discovery may have been lost on its way to this gateway.

    Discovery regards this gateway as notified of the changes in such a list, so the drain grace for them is
    already running.
    """
    state.endpoint_list.lost_at = state.now


def handle_reload(state: State, event: ConfigurationReloaded) -> None:
    """Begin the window of a reload, and drop windows that ended before any list that is still usable.

    A gateway that stalls may notice the signal `STALL_ALLOWANCE_MS` after it was sent.
    """
    endpoint_list = state.endpoint_list
    oldest_end = state.now - NOTIFICATION_MS - state.rules.drain_grace_ms
    windows = [window for window in endpoint_list.reload_windows if window.ends_at > oldest_end]
    ends_at = event.requested_at - STALL_ALLOWANCE_MS + RELOAD_NOTIFICATION_MS
    endpoint_list.is_address_known = event.outcome is not ReloadOutcome.REFUSED
    moved_at = event.requested_at if event.outcome is ReloadOutcome.MOVED else math.inf
    endpoint_list.reload_windows = [*windows, ReloadWindow(moved_at, ends_at)]


def _drop_passed_windows(endpoint_list: EndpointListState) -> None:
    """Drop the windows of reloads whose changes the list contains."""
    confirmed_at = endpoint_list.confirmed_at
    windows = [window for window in endpoint_list.reload_windows if window.ends_at > confirmed_at]
    endpoint_list.reload_windows = windows
