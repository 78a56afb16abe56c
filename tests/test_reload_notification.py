"""After a reload the endpoint list is used until the first change that it may lack takes effect."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from meadowpulley.gossip.list_confirmation_codec import ListQuery, ListReply, decode, encode
from meadowpulley.interface import (
    ConfigurationReloaded,
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchClosed,
    EndpointWatchOpened,
    Event,
    GossipReceived,
    ReloadOutcome,
    SendGossip,
    Timer,
)
from meadowpulley.policy import TIMER_TOKEN
from meadowpulley.policy.endpoint_lease import STALL_ALLOWANCE_MS, usable_until
from tests.discovery_harness import (
    NOTIFIED_AFTER_SILENCE_MS,
    NOTIFIED_AFTER_WAIT_MS,
    ManualDiscoveryHarness,
)
from tests.driver import LIMITS, RULES, Driver, sends, server_entry, settings

FULL, FAILED = EndpointUpdateKind.FULL, EndpointUpdateKind.FAILED
MOVED, UNCHANGED, REFUSED = ReloadOutcome.MOVED, ReloadOutcome.UNCHANGED, ReloadOutcome.REFUSED
# By the platform's specification, what discovery has to tell counts as notified 4 s after SIGHUP. A gateway
# may have noticed the signal late.
NOTIFIED_AFTER_RELOAD_MS = 4_000.0 - STALL_ALLOWANCE_MS
TICK_MS = 5.0
# The part of the drain grace during which the policy may still decide to send.
GRACE_MS = RULES.drain_grace_ms - STALL_ALLOWANCE_MS - TICK_MS
LONG_POLL_MS = 10_000.0
RELOADED_AT = 20_000.0
RELOAD_ENDS_AT = RELOADED_AT + NOTIFIED_AFTER_RELOAD_MS
ENTRY = (server_entry(1),)

Events = list[tuple[float, Event]]
LIST: Events = [(RELOADED_AT - 50.0, EndpointUpdate(FULL, 1, ENTRY, RELOADED_AT - 100.0))]
RELOAD: Events = [(RELOADED_AT, ConfigurationReloaded(RELOADED_AT, MOVED))]
WATCH_OPENED: Events = [(RELOADED_AT - 10.0, EndpointWatchOpened(LONG_POLL_MS, RELOADED_AT - 100.0))]
WATCH_CLOSED: Events = [(RELOADED_AT, EndpointWatchClosed(RELOADED_AT - 100.0))]


def list_of(asked_at: float) -> Events:
    return [(asked_at + 10.0, EndpointUpdate(FULL, 2, ENTRY, asked_at))]


def reload_at(at: float, outcome: ReloadOutcome = ReloadOutcome.MOVED) -> Events:
    return [(at, ConfigurationReloaded(at, outcome))]


@pytest.mark.parametrize(
    ("events", "until"),
    [
        # Discovery moved and was crowded: the list was used for 6 s after its call (review/7).
        ([*LIST, *WATCH_OPENED, *RELOAD, *WATCH_CLOSED], RELOAD_ENDS_AT),
        ([*LIST, *WATCH_OPENED, *RELOAD], RELOADED_AT - 10.0 + LONG_POLL_MS + NOTIFIED_AFTER_WAIT_MS),
        # Failed calls at the new address change nothing.
        (
            [*LIST, *RELOAD, (RELOADED_AT + 2000.0, EndpointUpdate(FAILED, 1, as_of_ms=RELOADED_AT - 100.0))],
            RELOAD_ENDS_AT,
        ),
        # An old list may lack a change that counts as notified before the 4 s are over.
        (
            [(RELOADED_AT - 50.0, EndpointUpdate(FULL, 1, ENTRY, RELOADED_AT - 3000.0)), *RELOAD],
            RELOADED_AT - 3000.0 + NOTIFIED_AFTER_SILENCE_MS,
        ),
        # A list from the new address may lack a change that was made after it and before the 4 s were over.
        ([*LIST, *RELOAD, *list_of(RELOADED_AT + 100.0)], RELOAD_ENDS_AT),
        (
            [*LIST, *RELOAD, *list_of(RELOAD_ENDS_AT + 1.0)],
            RELOAD_ENDS_AT + 1.0 + NOTIFIED_AFTER_SILENCE_MS,
        ),
        # An open watch at the new address reports such a change.
        (
            [
                *LIST,
                *RELOAD,
                *list_of(RELOADED_AT + 100.0),
                (RELOADED_AT + 120.0, EndpointWatchOpened(LONG_POLL_MS, RELOADED_AT + 100.0)),
            ],
            RELOADED_AT + 120.0 + LONG_POLL_MS + NOTIFIED_AFTER_WAIT_MS,
        ),
        # A response was discarded with the call at the old address.
        (
            [*LIST, *WATCH_OPENED, *RELOAD, (RELOADED_AT, EndpointWatchClosed(0.0, is_list_lost=True))],
            RELOADED_AT - STALL_ALLOWANCE_MS,
        ),
        # Two reloads in quick succession: the first one's 4 s hold for the list before it.
        ([*LIST, *RELOAD, *reload_at(RELOADED_AT + 400.0)], RELOAD_ENDS_AT),
        (
            [*LIST, *RELOAD, *reload_at(RELOADED_AT + 400.0), *list_of(RELOAD_ENDS_AT + 1.0)],
            RELOAD_ENDS_AT + 400.0,
        ),
        (
            [*LIST, *RELOAD, *reload_at(RELOADED_AT + 9000.0), *list_of(RELOADED_AT + 9100.0)],
            RELOAD_ENDS_AT + 9000.0,
        ),
        # The window begins with the signal, whatever the file holds.
        ([*LIST, *reload_at(RELOADED_AT, UNCHANGED)], RELOAD_ENDS_AT),
        ([*LIST, *reload_at(RELOADED_AT, REFUSED)], RELOAD_ENDS_AT),
        # The signal was noticed before its event was handled.
        ([*LIST, (RELOADED_AT + 80.0, ConfigurationReloaded(RELOADED_AT, MOVED))], RELOAD_ENDS_AT),
    ],
)
def test_a_polled_list_is_used_until_changes_count_as_notified_after_a_reload(
    events: Events, until: float
) -> None:
    driver = Driver(settings(must_poll=True))
    for driver.now, event in events:
        driver.handle(event)
    assert usable_until(driver.policy, driver.policy.servers[1]) == until + GRACE_MS
    driver.now = until + GRACE_MS - 1.0
    (send,) = sends(driver.request())
    assert send.write_by_ms == until + GRACE_MS
    driver.now = until + GRACE_MS
    assert not sends(driver.request())


def pushed_until_reload(*reloads: float, outcome: ReloadOutcome = MOVED) -> Events:
    """A list that discovery pushes; each reload closes the watch or the call that is open."""
    events: Events = [*LIST, *WATCH_OPENED]
    for at in reloads:
        events += [*reload_at(at, outcome), (at + 1.0, EndpointWatchClosed(RELOADED_AT - 100.0))]
    return events


def failed_call(called_at: float, failed_at: float) -> Events:
    return [(failed_at, EndpointUpdate(FAILED, 1, as_of_ms=called_at))]


@pytest.mark.parametrize(
    ("events", "until"),
    [
        # Changes from SIGHUP on count as notified 4 s after it; the list was given up after the grace alone.
        (pushed_until_reload(RELOADED_AT), RELOAD_ENDS_AT),
        (pushed_until_reload(RELOADED_AT, RELOADED_AT + 400.0), RELOAD_ENDS_AT),
        # Calls in a crowded queue prove nothing, and no call proves anything of the time after the grace.
        (
            [*pushed_until_reload(RELOADED_AT), *failed_call(RELOADED_AT, RELOADED_AT + 2000.0)],
            RELOAD_ENDS_AT,
        ),
        (
            [*pushed_until_reload(RELOADED_AT), *failed_call(RELOAD_ENDS_AT + 10.0, RELOAD_ENDS_AT + 20.0)],
            RELOAD_ENDS_AT,
        ),
        # Discovery that is down at the new address learns of no change.
        (
            [*pushed_until_reload(RELOADED_AT), *failed_call(RELOADED_AT + 10.0, RELOADED_AT + 20.0)],
            RELOAD_ENDS_AT,
        ),
        # Changes before the signal count at once, as they do if discovery has not moved.
        ([*LIST, *reload_at(RELOADED_AT)], RELOADED_AT - 100.0),
        (pushed_until_reload(RELOADED_AT, outcome=UNCHANGED), RELOADED_AT + 1.0),
        (pushed_until_reload(RELOADED_AT, outcome=REFUSED), RELOADED_AT + 1.0),
        # The file of the reload was not usable: calls at the old address fail because discovery has moved.
        (
            [
                *pushed_until_reload(RELOADED_AT, outcome=REFUSED),
                *failed_call(RELOADED_AT + 10.0, RELOADED_AT + 20.0),
            ],
            RELOADED_AT + 1.0,
        ),
        (
            [
                *pushed_until_reload(RELOADED_AT, outcome=REFUSED),
                *reload_at(RELOADED_AT + 30.0, UNCHANGED),
                *failed_call(RELOADED_AT + 40.0, RELOADED_AT + 50.0),
            ],
            RELOADED_AT + 40.0,
        ),
        # A response was discarded with the call at the old address.
        (
            [*LIST, *WATCH_OPENED, *RELOAD, (RELOADED_AT + 1.0, EndpointWatchClosed(0.0, is_list_lost=True))],
            RELOADED_AT + 1.0 - STALL_ALLOWANCE_MS,
        ),
        # A watch at the new address reports changes as they are made, also after it has closed.
        ([*pushed_until_reload(RELOADED_AT), *list_of(RELOADED_AT + 50.0)], RELOAD_ENDS_AT),
        (
            [
                *pushed_until_reload(RELOADED_AT),
                (RELOADED_AT + 50.0, EndpointWatchOpened(LONG_POLL_MS, RELOADED_AT + 40.0)),
                *failed_call(RELOADED_AT + 50.0, RELOADED_AT + 5000.0),
            ],
            RELOADED_AT + 5000.0,
        ),
    ],
)
def test_a_pushed_list_is_used_until_changes_count_as_notified_after_a_reload(
    events: Events, until: float
) -> None:
    driver = Driver(settings(must_poll=False))
    for driver.now, event in events:
        driver.handle(event)
    assert usable_until(driver.policy, driver.policy.servers[1]) == until + GRACE_MS


def confirm_by_peer(driver: Driver, queried_at: float) -> None:
    """Let the gateway query its peers at `queried_at`, and reply from a list that is as recent."""
    driver.now = queried_at
    actions = driver.handle(Timer(TIMER_TOKEN))
    (data,) = {action.data for action in actions if isinstance(action, SendGossip)}
    query = decode(data)
    assert isinstance(query, ListQuery)
    server = driver.policy.servers[1]
    driver.handle(GossipReceived(1, encode(ListReply(query.nonce, 0.0, (server.fingerprint,)))))


@pytest.mark.parametrize(
    ("after_ms", "notified_after_ms"),
    [(3000.0, NOTIFIED_AFTER_RELOAD_MS), (3860.0, 3860.0 + NOTIFIED_AFTER_SILENCE_MS)],
)
def test_a_peers_confirmation_ends_with_the_window_of_a_reload_unless_it_is_later(
    after_ms: float, notified_after_ms: float
) -> None:
    # A reply of another gateway kept a server in use for 6 s after the query.
    limits = replace(LIMITS, gossip=True)
    driver = Driver(settings(must_poll=True, gateway_count=3, limits=limits))
    for driver.now, event in [*LIST, *RELOAD]:
        driver.handle(event)
    confirm_by_peer(driver, RELOADED_AT + after_ms)
    until = RELOADED_AT + notified_after_ms + GRACE_MS
    # Ages in replies are rounded up to whole milliseconds.
    assert usable_until(driver.policy, driver.policy.servers[1]) == pytest.approx(until, abs=1.0)


def test_windows_of_past_reloads_are_dropped() -> None:
    driver = Driver(settings(must_poll=True))
    for number in range(200):
        driver.now = 1000.0 * number
        driver.handle(ConfigurationReloaded(driver.now, MOVED))
    assert len(driver.policy.endpoint_list.reload_windows) < 12
    driver.handle(EndpointUpdate(FULL, 1, ENTRY, driver.now + NOTIFIED_AFTER_RELOAD_MS))
    assert not driver.policy.endpoint_list.reload_windows


def test_without_a_drain_rule_no_list_expires_after_a_reload() -> None:
    base = settings(must_poll=True)
    driver = Driver(replace(base, rules=replace(base.rules, drain_grace_ms=0.0)))
    for driver.now, event in [*LIST, *RELOAD]:
        driver.handle(event)
    assert usable_until(driver.policy, driver.policy.servers[1]) == math.inf


@pytest.mark.parametrize("must_poll", [True, False], ids=["polled", "pushed"])
@pytest.mark.parametrize(
    ("read", "unread", "is_list_lost"),
    [(b"", b"HTTP/1.1 200", True), (b"HTTP/1.1 200", b"", True), (b"", b"", False)],
)
def test_a_response_discarded_at_a_reload_counts_as_a_lost_list(
    must_poll: bool, read: bytes, unread: bytes, is_list_lost: bool
) -> None:
    # Discovery had written a list to the old address, and the gateway used the list before it until 4 s after
    # SIGHUP and the grace.
    harness = ManualDiscoveryHarness(must_poll)
    harness.discovery.watch(True)
    call = harness.next_call()
    if read:
        call.connection.dataReceived(read)
    call.connection.transport.unread = unread
    harness.discovery.address_changed()
    (closed,) = [event for event in harness.events if isinstance(event, EndpointWatchClosed)]
    assert closed.is_list_lost is is_list_lost
