"""Confirming the endpoint list by other gateways, while discovery cannot answer this one in time.

Discovery is asked by many and answers them in turn; what it told one gateway holds for all. A gateway whose
lease on the list is about to end asks others. A reply confirms the servers of each part of the list that is
the same at both, as of the time at which the other gateway had asked discovery, and nothing else: neither
that a server responds, nor anything that is not in this gateway's own list.
"""

import math

from meadowpulley.interface import GossipReceived, SendGossip
from meadowpulley.list_confirmations import (
    MAX_AGE_MS,
    ListedServer,
    ListQuery,
    ListReply,
    checksums_of,
    decode,
    encode,
    part_of,
)
from meadowpulley.policy import evidence
from meadowpulley.policy.endpoint_lease import NOTIFICATION_MS, list_lease_until
from meadowpulley.state import State

QUERY_AHEAD_MS = 3_000.0  # before the lease on the list ends: others are asked from then on
QUERY_INTERVAL_MS = 500.0  # between two rounds of questions
GATEWAYS_PER_QUERY = 2  # asked in a round: the one that confirmed most lately, and others by chance
GATEWAYS_PER_URGENT_QUERY = 8  # once the lease has ended: soon after an outage few have a recent list
MAX_OPEN_QUERIES = 8  # questions whose replies still count
MAX_REPLY_AGE_MS = NOTIFICATION_MS - 1_000.0  # older lists would renew a lease by less than a second or two
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
    """Ask some gateways whether the list is still what discovery says."""
    confirmation = state.confirmation
    confirmation.queried_at = state.now
    nonce = state.rng.getrandbits(NONCE_BITS)
    confirmation.open_queries[nonce] = state.now
    while len(confirmation.open_queries) > MAX_OPEN_QUERIES:
        del confirmation.open_queries[next(iter(confirmation.open_queries))]
    data = encode(ListQuery(nonce))
    others = [n for n in range(state.gateway_count) if n != state.settings.gateway_index]
    expired = state.now >= list_lease_until(state)
    count = GATEWAYS_PER_URGENT_QUERY if expired else GATEWAYS_PER_QUERY
    gateways = state.rng.sample(others, min(count, len(others)))
    if confirmation.last_confirmed_by >= 0 and confirmation.last_confirmed_by not in gateways:
        gateways[0] = confirmation.last_confirmed_by
    state.actions += [SendGossip(gateway, data) for gateway in gateways]


def handle_gossip(state: State, event: GossipReceived) -> None:
    """Take in a datagram of another gateway: a question, a reply, or else a digest of outcomes."""
    message = decode(event.data)
    if message is None or event.sender == state.settings.gateway_index:
        evidence.handle_digest(state, event)
    elif isinstance(message, ListQuery):
        _handle_query(state, event.sender, message)
    else:
        _handle_reply(state, event.sender, message)


def _handle_query(state: State, sender: int, query: ListQuery) -> None:
    """Reply to another gateway, if what is known here is recent enough to be of use."""
    age_ms = state.now - state.list_confirmed_at
    if not _is_allowed(state) or age_ms > min(MAX_REPLY_AGE_MS, MAX_AGE_MS):
        return
    reply = ListReply(query.nonce, age_ms, _own_checksums(state))
    state.actions.append(SendGossip(sender, encode(reply)))


def _handle_reply(state: State, sender: int, reply: ListReply) -> None:
    """Take what another gateway says of the parts of the list that are the same here."""
    queried_at = state.confirmation.open_queries.get(reply.nonce)
    if queried_at is None:
        return
    as_of_ms = queried_at - reply.age_ms
    own = _own_checksums(state)
    if own == reply.checksums:
        state.list_confirmed_at = max(state.list_confirmed_at, as_of_ms)
    for server in state.servers.values():
        part = part_of(server.id)
        if own[part] == reply.checksums[part]:
            server.confirmed_at = max(server.confirmed_at, as_of_ms)
    state.confirmation.last_confirmed_by = sender


def _own_checksums(state: State) -> tuple[int, ...]:
    """Return the checksums of this gateway's list; they are computed once for each list."""
    confirmation = state.confirmation
    if confirmation.checksums is None:
        ready = state.ready_servers()
        confirmation.checksums = checksums_of(ListedServer(s.id, s.build, s.started_unix_ms) for s in ready)
    return confirmation.checksums
