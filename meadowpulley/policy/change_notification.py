"""When discovery regards this gateway as notified of a change of the endpoint list.

From that time on the drain grace runs, whether or not the change arrived. The platform's protocol page and
its pages on new configurations and on the full fleet define the time:

- a polled list: at the latest 6 s after discovery has the change, or 2 s after the wait of an open long poll
  is over, if that is later;
- a pushed list: at once;
- a new configuration (SIGHUP): what discovery has to tell counts as notified 4 s after the signal.

A reload therefore has a window of 4 s. If the list is polled, changes count as notified at the end of the
window even if less than 6 s have passed. If it is pushed and discovery has moved, changes made in the window
count as notified at its end instead of at once. Changes made before the window count as without it.
"""

from meadowpulley.state import State

NOTIFICATION_MS = 6_000.0
LONG_POLL_NOTIFICATION_MS = 2_000.0
RELOAD_NOTIFICATION_MS = 4_000.0


def notification_ms(state: State) -> float:
    """Return the time, in ms, from a change until discovery regards this gateway as notified of it.

    The result is 0 if discovery pushes changes. `earliest_notification_at` takes reloads into account.
    """
    return NOTIFICATION_MS if state.settings.must_poll else 0.0


def earliest_notification_at(state: State, confirmed_at: float) -> float:
    """Return the earliest time at which a change made after `confirmed_at` counts as notified.

    `confirmed_at` is the time, in ms, up to which a list or a confirmation by another gateway contains all
    changes.
    """
    windows = [window for window in state.endpoint_list.reload_windows if confirmed_at < window.ends_at]
    if state.settings.must_poll:
        return min([confirmed_at + NOTIFICATION_MS, *[window.ends_at for window in windows]])
    ends = [window.ends_at for window in windows if window.moved_at <= confirmed_at]
    return min(ends, default=confirmed_at)
