"""Gateways confirm each other's endpoint lists with what discovery told them, and with nothing else."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from meadowpulley.gossip.list_confirmation_codec import (
    MAX_FINGERPRINTS,
    ListQuery,
    ListReply,
    decode,
    encode,
    fingerprint,
)
from meadowpulley.interface import (
    Action,
    EndpointUpdate,
    EndpointUpdateKind,
    GossipReceived,
    SendGossip,
    ServerEntry,
    ServerState,
    Timer,
)
from meadowpulley.policy import TIMER_TOKEN
from meadowpulley.policy.change_notification import NOTIFICATION_MS
from meadowpulley.policy.endpoint_lease import STALL_ALLOWANCE_MS, usable_until
from tests.driver import LIMITS, RULES, Driver, sends, server_entry, settings

TICK_MS = 5.0
GRACE_MS = RULES.drain_grace_ms - STALL_ALLOWANCE_MS - TICK_MS
CACHED, FULL = EndpointUpdateKind.CACHED, EndpointUpdateKind.FULL
ASKING, REPLYING = 0, 1
ENTRIES = tuple(replace(server_entry(n, started_ms=5.0), started_unix_ms=5000.0) for n in range(4))


def gateway(index: int, entries: tuple[ServerEntry, ...], as_of_ms: float | None) -> Driver:
    """Return a gateway of three that has an endpoint list.

    The list is from its configuration if `as_of_ms` is None, and otherwise from discovery, asked at that
    time.
    """
    base = settings(must_poll=True, gateway_count=3, limits=replace(LIMITS, gossip=True))
    driver = Driver(replace(base, gateway_index=index))
    kind = CACHED if as_of_ms is None else FULL
    driver.handle(EndpointUpdate(kind, 1, entries, as_of_ms))
    return driver


def queries(actions: list[Action]) -> list[SendGossip]:
    return [a for a in actions if isinstance(a, SendGossip) and isinstance(decode(a.data), ListQuery)]


def exchange(
    asking: Driver, replying: Driver, queried_at: float, replied_at: float, reply_received_at: float
) -> None:
    """Deliver a query to the other gateway and its reply, if there is one, to the gateway that asked."""
    asking.now = queried_at
    query = queries(asking.handle(Timer(TIMER_TOKEN)))[0]
    replying.now = replied_at
    answers = replying.handle(GossipReceived(ASKING, query.data))
    asking.now = reply_received_at
    for answer in [a for a in answers if isinstance(a, SendGossip) and a.peer == ASKING]:
        asking.handle(GossipReceived(REPLYING, answer.data))


def leases(driver: Driver) -> list[float]:
    return [usable_until(driver.policy, driver.policy.servers[n]) for n in sorted(driver.policy.servers)]


@pytest.mark.parametrize("reply_received_at", [650.0, 1500.0])
def test_a_reply_renews_the_lease_as_of_when_the_other_gateway_asked_discovery(
    reply_received_at: float,
) -> None:
    asking, replying = gateway(ASKING, ENTRIES, None), gateway(REPLYING, ENTRIES, 40.0)
    exchange(asking, replying, 600.0, 640.0, reply_received_at)
    # When the reply was made, the age of the list was 600 ms, which the codec increases to 601 ms. The
    # asking gateway subtracts that from the time of its query, because the reply cannot be earlier.
    as_of_ms = 600.0 - 601.0
    assert leases(asking) == [as_of_ms + NOTIFICATION_MS + GRACE_MS] * len(ENTRIES)


@pytest.mark.parametrize(
    "change",
    [
        {"state": ServerState.DRAINING},
        {"state": ServerState.REMOVED},
        {"started_unix_ms": 9000.0},  # the server has restarted at its address: another incarnation
        {"build": 42},
    ],
)
def test_a_server_that_the_other_gateway_lists_differently_is_not_confirmed(change: dict[str, Any]) -> None:
    changed = (replace(ENTRIES[0], **change), *ENTRIES[1:])
    asking, replying = gateway(ASKING, ENTRIES, None), gateway(REPLYING, changed, 90.0)
    exchange(asking, replying, 600.0, 600.0, 610.0)
    until = leases(asking)
    assert until[0] == GRACE_MS
    assert min(until[1:]) > NOTIFICATION_MS
    asking.now = GRACE_MS + 100.0
    assert {send.server for _ in range(30) for send in sends(asking.request())} <= {1, 2, 3}


def test_an_old_list_an_unrequested_reply_and_an_invalid_datagram_confirm_nothing() -> None:
    asking, replying = gateway(ASKING, ENTRIES, None), gateway(REPLYING, ENTRIES, 0.0)
    before = leases(asking)
    exchange(asking, replying, 600.0, NOTIFICATION_MS, NOTIFICATION_MS + 100.0)
    own = tuple(fingerprint(e.server, e.build, e.started_unix_ms) for e in ENTRIES)
    asking.handle(GossipReceived(REPLYING, encode(ListReply(12345, 0.0, own))))
    asking.handle(GossipReceived(REPLYING, b"\xa3" + bytes(30)))
    assert leases(asking) == before


def test_gateways_are_queried_only_near_the_end_of_the_lease_and_if_lists_expire() -> None:
    asking = gateway(ASKING, ENTRIES, 0.0)
    asking.now = NOTIFICATION_MS + GRACE_MS - 3100.0
    assert not queries(asking.handle(Timer(TIMER_TOKEN)))
    asking.now += 200.0
    assert {query.peer for query in queries(asking.handle(Timer(TIMER_TOKEN)))} == {1, 2}
    asking.now += 100.0
    assert not queries(asking.handle(Timer(TIMER_TOKEN)))
    pushed = Driver(settings(gateway_count=3, limits=replace(LIMITS, gossip=True)))
    pushed.handle(EndpointUpdate(CACHED, 0, ENTRIES))
    silent = Driver(settings(must_poll=True, gateway_count=3))
    silent.handle(EndpointUpdate(CACHED, 0, ENTRIES))
    for driver in (pushed, silent):
        driver.now = GRACE_MS
        assert not queries(driver.handle(Timer(TIMER_TOKEN)))


def test_if_there_are_many_servers_the_subset_is_queried_first() -> None:
    count = 50 * MAX_FINGERPRINTS
    entries = tuple(replace(ENTRIES[0], server=n) for n in range(count))
    asking, replying = gateway(ASKING, entries, None), gateway(REPLYING, entries, 90.0)
    exchange(asking, replying, 600.0, 600.0, 610.0)
    confirmed = {n for n, s in asking.policy.servers.items() if usable_until(asking.policy, s) > GRACE_MS}
    assert confirmed == set(range(MAX_FINGERPRINTS))
    exchange(asking, replying, 1200.0, 1200.0, 1210.0)
    confirmed = {n for n, s in asking.policy.servers.items() if usable_until(asking.policy, s) > GRACE_MS}
    assert confirmed == set(range(2 * MAX_FINGERPRINTS))


def test_messages_fit_into_a_datagram_and_invalid_bytes_are_not_decoded() -> None:
    reply = ListReply(7, 1234.2, tuple(range(MAX_FINGERPRINTS)))
    assert decode(encode(reply)) == replace(reply, age_ms=1235.0)
    assert decode(encode(replace(reply, age_ms=1e9))) == replace(reply, age_ms=65535.0)
    assert decode(encode(replace(reply, fingerprints=tuple(range(99))))) == replace(reply, age_ms=1235.0)
    assert decode(encode(ListQuery(7, 1 << 33))) == ListQuery(7, 0)
    assert len(encode(reply)) <= 256
    for data in (b"", encode(reply)[:-1], encode(reply) + b"x", b"\xa1" + encode(reply)[1:]):
        assert decode(data) is None
