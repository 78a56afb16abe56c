"""Confirming servers by other gateways, while discovery cannot answer this one in time.

Discovery is asked by many and answers them in turn; what it told one gateway holds for all. A gateway whose
lease on the list is about to end asks others. A reply confirms each server that both know alike, as of the
time at which the other gateway had asked discovery, and nothing else: neither that a server responds, nor
anything that is not in this gateway's own list.
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
from meadowpulley.policy.endpoint_lease import NOTIFICATION_MS, list_lease_until
from meadowpulley.policy.outcome_gossip import handle_digest
from meadowpulley.state import Server, State

QUERY_AHEAD_MS = 3_000.0  # before the lease on the list ends: others are asked from then on
QUERY_INTERVAL_MS = 500.0  # between two rounds of questions
GATEWAYS_PER_QUERY = 2  # asked in a round: the one that confirmed most lately, and others by chance
GATEWAYS_PER_URGENT_QUERY = 8  # once the lease has ended: soon after an outage few have a recent list
MAX_OPEN_QUERIES = 8  # questions whose replies still count
MAX_QUERIED_RANGES = 4  # of servers, one in a round: they hold this gateway's subset, however many there are
MAX_REPLY_AGE_MS = NOTIFICATION_MS - 1_000.0  # older lists would renew a lease by a second or two at most
NONCE_BITS = 32


def _is_allowed(state: State) -> bool:
    """Tell whether lists expire here and gateways may talk to each other."""
    may_expire = state.settings.must_poll and bool(state.rules.drain_grace_ms)
    return may_expire and state.settings.limits.gossip and state.gateway_count > 1


def next_query_at(state: State) -> float:
    """Return when to ask other gateways next; never while the lease on the list lasts for long."""
    if not _is_allowed(state) or not state.servers:
        return math.inf
    ahead_at = list_lease_until(state) - QUERY_AHEAD_MS
    return max(ahead_at, state.confirmation.queried_at + QUERY_INTERVAL_MS)


def query_gateways(state: State) -> None:
    """Ask some gateways which servers discovery lists."""
    confirmation = state.confirmation
    confirmation.queried_at = state.now
    nonce = confirmation.rng.getrandbits(NONCE_BITS)
    confirmation.open_queries[nonce] = state.now
    while len(confirmation.open_queries) > MAX_OPEN_QUERIES:
        del confirmation.open_queries[next(iter(confirmation.open_queries))]
    data = encode(ListQuery(nonce, _first_server(state)))
    state.actions += [SendGossip(gateway, data) for gateway in _queried_gateways(state)]


def _first_server(state: State) -> int:
    """Return the server from which on to ask: where this gateway's subset begins, then the ranges after."""
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
    """Return the gateway that confirmed servers last, and others by chance."""
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
    """Take in a datagram of another gateway: a question, a reply, or else a digest of outcomes."""
    message = decode(event.data)
    if message is None or event.sender == state.settings.gateway_index:
        handle_digest(state, event)
    elif isinstance(message, ListQuery):
        _handle_query(state, event.sender, message)
    else:
        _handle_reply(state, event.sender, message)


def _handle_query(state: State, sender: int, query: ListQuery) -> None:
    """Reply to another gateway, if what is known here is recent enough to be of use."""
    age_ms = state.now - state.endpoint_list.confirmed_at
    if not _is_allowed(state) or age_ms > min(MAX_REPLY_AGE_MS, MAX_AGE_MS):
        return
    ready = _ready_servers(state)
    first = bisect_left(ready, query.first_server, key=lambda server: server.id)
    named = (ready[first:] + ready[:first])[:MAX_FINGERPRINTS]
    fingerprints = tuple([server.fingerprint for server in named])
    reply = ListReply(query.nonce, age_ms, fingerprints)
    state.actions.append(SendGossip(sender, encode(reply)))


def _handle_reply(state: State, sender: int, reply: ListReply) -> None:
    """Take the servers that another gateway knows just as this one does for confirmed."""
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
    """Return the ready servers by number; they are sorted once for each list."""
    confirmation = state.confirmation
    if confirmation.ready_servers is None:
        confirmation.ready_servers = state.ready_servers()
    return confirmation.ready_servers
