"""The lease on what is known of the servers: until when a server may be sent to, and what renews that.

Discovery counts a change of the endpoint list as notified to a gateway at a certain time, whether or not it
arrived. From the drain grace after that time nothing may be sent to a server that drains or is gone. So what
is known of a server may be acted on until the first change that it could lack binds, and no longer.

Only what discovery says renews it, as of the time at which discovery was asked. A response of a server does
not, good as it may be: it may come from a later incarnation at the same address, which discovery does not
list yet, and nothing in it says which one responds.

With g for the drain grace less `allowance_ms`, the list may be acted on

- where it is polled, until 6 s and g after discovery was asked for it;
- while a call for the next change is out, until 2 s and g after its wait ends, if that is later;
- where it is pushed, while the watch is open; then until g after it closed;
- where it came with the configuration, until g after the start;
- where a list may have been lost, until g less 150 ms after the loss was found, at most.
"""

import math
from enum import Enum

from meadowpulley.interface import EndpointListExpired, EndpointListRenewed
from meadowpulley.state import Server, State

# By the platform's protocol page a change counts as notified so long after discovery had it, at the latest;
# for a call that may wait, so long after its wait is over, if that is later.
NOTIFICATION_MS = 6_000.0
LONG_POLL_NOTIFICATION_MS = 2_000.0
# How long a gateway may be held up between reading its clock and writing: the one allowance for that, of the
# drain grace and of deduplication windows.
STALL_ALLOWANCE_MS = 150.0


class LeaseBasis(Enum):
    """What allows requests to be written to a server; the value names its counter."""

    LIST = "list"
    PEER = "peer"


def allowance_ms(state: State, span_ms: float) -> float:
    """Return by how much sooner than a span of time ends a write has to be decided; half of it at most."""
    return min(STALL_ALLOWANCE_MS + state.settings.tick_ms, span_ms / 2)


def _notification_ms(state: State) -> float:
    """Return the delay within which changes count as notified; pushed ones count at once."""
    return NOTIFICATION_MS if state.settings.must_poll else 0.0


def _grace_ms(state: State) -> float:
    """Return how long after its notification a change may still be disregarded, on this gateway's clock."""
    grace_ms = state.rules.drain_grace_ms
    return grace_ms - allowance_ms(state, grace_ms)


# What renews the lease


def start_from_cache(state: State) -> None:
    """Take in a list of unknown age: its changes count as notified from the start of the process."""
    _confirm_as_of(state, state.now - _notification_ms(state))


def confirm_list(state: State, as_of_ms: float | None) -> None:
    """Take in a list that holds all changes up to a time.

    None where the transport does not tell: it pushes each later change, or a failure.
    """
    if as_of_ms is None:
        state.endpoint_list.confirmed_at = state.now
        state.endpoint_list.watch_covers_until = math.inf
    else:
        _confirm_as_of(state, as_of_ms)


def watch_opened(state: State, wait_ms: float) -> None:
    """Note that discovery has a call that it answers within the wait, or sooner if anything changes."""
    state.endpoint_list.watch_covers_until = state.now + wait_ms


def watch_ended(state: State, as_of_ms: float | None) -> None:
    """Note that no call is out any more; the list still holds all changes up to a time, None for now."""
    state.endpoint_list.watch_covers_until = -math.inf
    _confirm_as_of(state, state.now if as_of_ms is None else as_of_ms)


def _confirm_as_of(state: State, as_of_ms: float) -> None:
    state.endpoint_list.confirmed_at = max(state.endpoint_list.confirmed_at, as_of_ms)


def list_lost(state: State) -> None:
    """Note that a list may have been written to this gateway and lost: its changes count as notified now."""
    state.endpoint_list.lost_at = state.now


# When it ends


def list_lease_until(state: State) -> float:
    """Return until when the endpoint list may be acted on."""
    endpoint_list = state.endpoint_list
    notified_at = endpoint_list.confirmed_at + _notification_ms(state)
    watch_notified_at = endpoint_list.watch_covers_until + LONG_POLL_NOTIFICATION_MS
    until = max(notified_at, watch_notified_at) + _grace_ms(state)
    return _unless_lost(state, endpoint_list.confirmed_at, until)


def usable_until(state: State, server: Server) -> float:
    """Return until when requests may be written to the server, by the list or another gateway's word."""
    if not state.rules.drain_grace_ms:  # a deployment without such a rule
        return math.inf
    until = server.peer_confirmed_at + _notification_ms(state) + _grace_ms(state)
    return max(list_lease_until(state), _unless_lost(state, server.peer_confirmed_at, until))


def _unless_lost(state: State, confirmed_at: float, until: float) -> float:
    """Cut a lease short where a list was lost since it was renewed.

    The loss may have been found as late as this gateway may be held up; the list was written before.
    """
    lost_at = state.endpoint_list.lost_at
    if confirmed_at >= lost_at:
        return until
    return min(until, lost_at - STALL_ALLOWANCE_MS + _grace_ms(state))


def lease_basis(state: State) -> LeaseBasis:
    """Return what allows a server to be sent to now: the list, or else what another gateway confirmed."""
    return LeaseBasis.PEER if _list_expired(state) else LeaseBasis.LIST


def _list_expired(state: State) -> bool:
    return bool(state.rules.drain_grace_ms) and state.now >= list_lease_until(state)


def is_usable(state: State, server: Server) -> bool:
    """Tell whether what is known of the server may still be acted on."""
    return state.now < usable_until(state, server)


def all_expired(state: State) -> bool:
    """Tell whether there are ready servers and none may be sent to: no request needs to wait for one."""
    ready = state.trial_servers + state.baseline_servers
    return bool(ready) and not any(is_usable(state, server) for server in ready)


def log_transitions(state: State) -> None:
    """Log when the list's lease expires and when it is renewed."""
    expired = _list_expired(state)
    if expired == state.endpoint_list.lease_expired or not state.servers:
        return
    state.endpoint_list.lease_expired = expired
    age_ms = state.now - state.endpoint_list.confirmed_at
    state.actions.append(EndpointListExpired(age_ms) if expired else EndpointListRenewed(age_ms))
