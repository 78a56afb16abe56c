"""Confirmation of listed servers by other gateways, used when discovery answers too late.

Discovery answers the calls of all gateways in turn, and its answer to one gateway is valid for all. A
gateway whose lease on the list is about to end asks other gateways. A reply confirms each server that both
gateways list with the same build and start time, as of the time at which the other gateway asked
discovery. A reply does not confirm that a server responds, nor any server that is missing from this
gateway's own list.
"""

import math
from bisect import bisect_left

from meadowpulley.gossip.list_confirmation_codec import (
    MAX_AGE_MS,
    MAX_FINGERPRINTS,
    ListQuery,
    ListReply,
    decode,
    encode,
)
from meadowpulley.interface import GossipReceived, SendGossip
from meadowpulley.policy.change_notification import NOTIFICATION_MS
from meadowpulley.policy.endpoint_lease import list_lease_until
from meadowpulley.policy.outcome_gossip import handle_digest
from meadowpulley.state import Server, State

QUERY_AHEAD_MS = 3_000.0  # time, in ms, from the first query to other gateways to the end of the list's lease
QUERY_INTERVAL_MS = 500.0  # interval, in ms, between two rounds of queries
# Number of gateways queried in a round: the last one that confirmed servers, and random others.
GATEWAYS_PER_QUERY = 2
# Number of gateways queried in a round once the lease has ended. The number is larger than
# `GATEWAYS_PER_QUERY` because few gateways have a recent list shortly after an outage of discovery.
GATEWAYS_PER_URGENT_QUERY = 8
MAX_OPEN_QUERIES = 8  # only replies to the queries of this many latest rounds are accepted
# Maximum number of ranges of servers that a gateway asks other gateways about, one range in each round. The
# endpoint list may have more servers than one reply can confirm, so it is divided into ranges of
# `MAX_FINGERPRINTS` servers. The first range begins at the fraction `gateway_index / gateway_count` of the
# list. The subset of servers that this gateway prefers begins at the same fraction of the servers of each
# zone. If the servers of all zones are mixed in the list, the ranges include a small subset even if the list
# is long.
MAX_QUERIED_RANGES = 4
# Age, in ms, above which a gateway's list is not used for replies. A reply confirms servers only as of the
# time at which the replying gateway asked discovery. A reply from an older list would therefore extend the
# lease of the gateway that asks by 1 or 2 s at most.
MAX_REPLY_AGE_MS = NOTIFICATION_MS - 1_000.0
NONCE_BITS = 32


def _is_allowed(state: State) -> bool:
    """Return whether endpoint lists expire in this deployment and gateways may exchange gossip."""
    may_expire = state.settings.must_poll and bool(state.rules.drain_grace_ms)
    return may_expire and state.settings.limits.gossip and state.gateway_count > 1


def next_query_at(state: State) -> float:
    """Return the time of the next round of queries to other gateways.

    The first round starts `QUERY_AHEAD_MS` before the lease on the list ends. Rounds are at least
    `QUERY_INTERVAL_MS` apart.
    """
    if not _is_allowed(state) or not state.servers:
        return math.inf
    first_query_at = list_lease_until(state) - QUERY_AHEAD_MS
    return max(first_query_at, state.confirmation.queried_at + QUERY_INTERVAL_MS)


def query_gateways(state: State) -> None:
    """Ask some other gateways which ready servers discovery lists."""
    confirmation = state.confirmation
    confirmation.queried_at = state.now
    nonce = confirmation.rng.getrandbits(NONCE_BITS)
    confirmation.open_queries[nonce] = state.now
    while len(confirmation.open_queries) > MAX_OPEN_QUERIES:
        del confirmation.open_queries[next(iter(confirmation.open_queries))]
    data = encode(ListQuery(nonce, _first_server(state)))
    state.actions += [SendGossip(gateway, data) for gateway in _queried_gateways(state)]


def _first_server(state: State) -> int:
    """Return the first server of the range to ask for.

    Successive rounds ask for successive ranges. The first range begins at the fraction
    `gateway_index / gateway_count` of the list, near the subset of servers that this gateway prefers.
    """
    confirmation = state.confirmation
    ready = _ready_servers(state)
    if not ready:
        return 0
    ranges = min(math.ceil(len(ready) / MAX_FINGERPRINTS), MAX_QUERIED_RANGES)
    confirmation.queried_range = (confirmation.queried_range + 1) % ranges
    subset_begin = state.settings.gateway_index * len(ready) // state.gateway_count
    first = subset_begin + confirmation.queried_range * MAX_FINGERPRINTS
    return ready[first % len(ready)].id


def _queried_gateways(state: State) -> list[int]:
    """Return the gateways to query: the last one that confirmed servers, and random others."""
    own_index = state.settings.gateway_index
    others = [index for index in range(state.gateway_count) if index != own_index]
    expired = state.now >= list_lease_until(state)
    count = GATEWAYS_PER_URGENT_QUERY if expired else GATEWAYS_PER_QUERY
    gateways = state.confirmation.rng.sample(others, min(count, len(others)))
    last_confirmed_by = state.confirmation.last_confirmed_by
    if last_confirmed_by >= 0 and last_confirmed_by not in gateways:
        gateways[0] = last_confirmed_by
    return gateways


def handle_gossip(state: State, event: GossipReceived) -> None:
    """Handle a datagram from another gateway: a list query, a list reply, or a digest of outcomes."""
    message = decode(event.data)
    if message is None or event.sender == state.settings.gateway_index:
        handle_digest(state, event)
    elif isinstance(message, ListQuery):
        _handle_query(state, event.sender, message)
    else:
        _handle_reply(state, event.sender, message)


def _handle_query(state: State, sender: int, query: ListQuery) -> None:
    """Reply to another gateway's query, unless this gateway's own list is too old to be useful."""
    age_ms = state.now - state.endpoint_list.confirmed_at
    if not _is_allowed(state) or age_ms > min(MAX_REPLY_AGE_MS, MAX_AGE_MS):
        return
    ready = _ready_servers(state)
    first = bisect_left(ready, query.first_server, key=lambda server: server.id)
    listed = (ready[first:] + ready[:first])[:MAX_FINGERPRINTS]
    fingerprints = tuple([server.fingerprint for server in listed])
    reply = ListReply(query.nonce, age_ms, fingerprints)
    state.actions.append(SendGossip(sender, encode(reply)))


def _handle_reply(state: State, sender: int, reply: ListReply) -> None:
    """Mark servers as confirmed that both gateways list with the same build and start time."""
    queried_at = state.confirmation.open_queries.get(reply.nonce)
    if queried_at is None:
        return
    as_of_ms = queried_at - reply.age_ms
    confirmed = set(reply.fingerprints)
    for server in _ready_servers(state):
        if server.fingerprint in confirmed:
            server.peer_confirmed_at = max(server.peer_confirmed_at, as_of_ms)
    state.confirmation.last_confirmed_by = sender


def _ready_servers(state: State) -> list[Server]:
    """Return the ready servers, sorted by id. The result is cached until the next endpoint list."""
    confirmation = state.confirmation
    if confirmation.ready_servers is None:
        confirmation.ready_servers = state.ready_servers()
    return confirmation.ready_servers
