"""The lease on the endpoint list: until when a gateway may use the list, and what renews the lease.

From a certain time on, discovery regards a gateway as notified of a change of the endpoint list, whether
or not the gateway received it. When the drain grace after that time is over, the gateway may no longer
send to a server that is draining or removed. So the gateway may use an entry of its list only until the
drain grace ends for the earliest change that its list could be missing.

Only information from discovery renews the lease. The renewed lease counts from the time at which discovery
was asked. A successful response of a server does not renew the lease. The response may come from a later
incarnation at the same address, which discovery does not list yet. A response does not say which incarnation
sent it.

If g is the drain grace minus `allowance_ms`, the list may be used

- if it is polled: until 6 s + g after discovery was asked for it, or until 4 s + g after a reload if that is
  earlier and discovery was asked before those 4 s were over;
- if a call for the next change is open: until 2 s + g after the end of that call's wait, if that is later;
- if it is pushed: while the watch is open, and then until g after the watch closed, or until 4 s + g after
  the reload that closed the watch because discovery had moved;
- if it was pushed and discovery is down: until g after the start of the last call that failed at once, as
  long as each such call began before the lease had ended, or at most 150 ms later;
- if it came with the configuration: until g after the start of the process;
- if a later list may have been lost: at most until g minus 150 ms after the loss was detected.
"""

import math
from enum import Enum

from meadowpulley.interface import EndpointListExpired, EndpointListRenewed
from meadowpulley.policy.change_notification import LONG_POLL_NOTIFICATION_MS, earliest_notification_at
from meadowpulley.state import Server, State

# How long, in ms, a gateway may stall between reading its clock and writing a request. This time is
# subtracted from the drain grace and from deduplication windows; no other constant allows for such stalls.
STALL_ALLOWANCE_MS = 150.0


class LeaseBasis(Enum):
    """Says whether the endpoint list's own lease or a confirmation by a peer permits a send.

    Each value is the name of a counter of sends.
    """

    LIST = "list"
    PEER = "peer"


def allowance_ms(state: State, span_ms: float) -> float:
    """Return by how many ms sooner a gateway stops sending than a drain grace or deduplication window ends.

    `span_ms` is the length of the drain grace or window. The gateway reads its clock when it decides to send
    a request, and may stall before it writes the request to the connection. The result covers such a stall
    and the length of a clock tick, but is at most half of `span_ms`.
    """
    return min(STALL_ALLOWANCE_MS + state.settings.tick_ms, span_ms / 2)


def grace_ms(state: State) -> float:
    """Return how long, in ms, this gateway may use a list that lacks a change.

    The time begins when discovery regards this gateway as notified of the change, whether or not the change
    arrived. It is the drain grace minus the allowance for stalls, measured on this gateway's clock.
    """
    grace_ms = state.rules.drain_grace_ms
    return grace_ms - allowance_ms(state, grace_ms)


def list_lease_until(state: State) -> float:
    """Return the time until which the lease permits the use of the endpoint list."""
    endpoint_list = state.endpoint_list
    notified_at = earliest_notification_at(state, endpoint_list.confirmed_at)
    watch_notified_at = endpoint_list.watch_covers_until + LONG_POLL_NOTIFICATION_MS
    until = max(notified_at, watch_notified_at) + grace_ms(state)
    return _unless_lost(state, endpoint_list.confirmed_at, until)


def usable_until(state: State, server: Server) -> float:
    """Return the time until which the list or a peer's confirmation permits writes to the server."""
    if not state.rules.drain_grace_ms:  # without a drain rule, lists do not expire
        return math.inf
    until = earliest_notification_at(state, server.peer_confirmed_at) + grace_ms(state)
    return max(list_lease_until(state), _unless_lost(state, server.peer_confirmed_at, until))


def _unless_lost(state: State, confirmed_at: float, until: float) -> float:
    """Return the end `until` of a lease, or an earlier time if a later list may have been lost.

    Discovery regards a gateway as notified of the changes in a list once it has written the list to the
    gateway, even if the list is then lost. A gateway that stalls may detect the loss `STALL_ALLOWANCE_MS`
    after that time. The drain grace is therefore counted from `STALL_ALLOWANCE_MS` before the detection.
    """
    lost_at = state.endpoint_list.lost_at
    if confirmed_at >= lost_at:
        return until
    return min(until, lost_at - STALL_ALLOWANCE_MS + grace_ms(state))


def lease_basis(state: State) -> LeaseBasis:
    """Return what permits sends now: the list or, after the list has expired, a peer's confirmation."""
    return LeaseBasis.PEER if _list_expired(state) else LeaseBasis.LIST


def _list_expired(state: State) -> bool:
    return bool(state.rules.drain_grace_ms) and state.now >= list_lease_until(state)


def is_usable(state: State, server: Server) -> bool:
    """Return whether the list or a peer's confirmation still permits sending to the server."""
    return state.now < usable_until(state, server)


def all_expired(state: State) -> bool:
    """Return whether the leases on all ready servers have expired, so that waiting is pointless.

    The result is False if there are no ready servers.
    """
    ready = state.trial_servers + state.baseline_servers
    return bool(ready) and not any(is_usable(state, server) for server in ready)


def log_transitions(state: State) -> None:
    """Log when the lease on the endpoint list expires and when it is renewed."""
    expired = _list_expired(state)
    if expired == state.endpoint_list.lease_expired or not state.servers:
        return
    state.endpoint_list.lease_expired = expired
    age_ms = state.now - state.endpoint_list.confirmed_at
    state.actions.append(EndpointListExpired(age_ms) if expired else EndpointListRenewed(age_ms))
