"""The lease on the endpoint list ends before a missed change takes effect; only discovery renews it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace

import pytest

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    EndpointWatchClosed,
    EndpointWatchOpened,
    Event,
    Reject,
    Result,
)
from meadowpulley.policy.endpoint_lease import STALL_ALLOWANCE_MS, usable_until
from meadowpulley.policy.endpoint_poll_backoff import MAX_RETRY_MS
from meadowpulley.state import Server
from tests.discovery_harness import (
    NOTIFIED_AFTER_SILENCE_MS,
    NOTIFIED_AFTER_WAIT_MS,
    DiscoveryHarness,
    ManualDiscoveryHarness,
)
from tests.driver import RULES, Driver, sends, server_entry, settings

SEEDS = range(40)
QUEUE_MS = 2_000.0  # how long a call waits for its failure while discovery is down
OUTAGE_MS = 8_000.0
# Drain grace, in ms, of the fleet whose gateways sent requests to drained servers.
DRAIN_GRACE_MS = 2_000.0


def start_with_cached_list(seed: int) -> DiscoveryHarness:
    """Return a gateway of a fleet of 200 that has just started with the list of its configuration."""
    harness = DiscoveryHarness(must_poll=True, seed=seed)
    harness.queue_ms = QUEUE_MS
    harness.dispatch(EndpointUpdate(EndpointUpdateKind.CACHED, 0, (server_entry(1),)))
    return harness


def sends_at(harness: DiscoveryHarness, step_ms: float, until: Callable[[], bool]) -> list[float]:
    """Make a request every `step_ms` until a condition holds; return when requests were sent."""
    sent_at = []
    while not until():
        harness.run(step_ms)
        harness.driver.now = harness.now
        if sent := sends(harness.driver.request()):
            sent_at.append(harness.now)
            harness.driver.finish(sent[0])
    return sent_at


def test_a_started_gateway_sends_nothing_after_the_grace_until_its_list_is_confirmed() -> None:
    # Restarted gateways used the list of their configuration until discovery answered: at first because
    # nothing limited its age (incident-1), later because successful responses of restarted servers that
    # discovery did not list yet renewed the lease.
    for seed in SEEDS:
        harness = start_with_cached_list(seed)
        harness.down_until = math.inf
        sent_at = sends_at(harness, 50.0, lambda: harness.now > 15_000.0)  # noqa: B023
        assert sent_at and max(sent_at) < DRAIN_GRACE_MS, seed


def test_after_an_outage_nothing_is_sent_by_a_list_whose_changes_count_as_notified() -> None:
    for seed in SEEDS:
        harness = start_with_cached_list(seed)
        while len(harness.calls_received) < 2:  # until the list has arrived and the watch is open
            harness.run(10.0)
        harness.down_until = harness.now + OUTAGE_MS
        harness.run(OUTAGE_MS)
        returned_at, harness.version = harness.now, harness.version + 1
        sent_at = sends_at(harness, 100.0, lambda: harness.updates[-1][1] == harness.version)  # noqa: B023
        takes_effect_at = returned_at + NOTIFIED_AFTER_SILENCE_MS + DRAIN_GRACE_MS
        assert not [at for at in sent_at[:-1] if at >= takes_effect_at], seed
        assert harness.updates[-1][0] - returned_at <= MAX_RETRY_MS + 2 * QUEUE_MS, seed


CACHED, FULL = EndpointUpdateKind.CACHED, EndpointUpdateKind.FULL
FAILED, BROKEN = EndpointUpdateKind.FAILED, EndpointUpdateKind.BROKEN
TICK_MS = 5.0
# The part of the drain grace during which the policy may still decide to send.
GRACE_MS = RULES.drain_grace_ms - STALL_ALLOWANCE_MS - TICK_MS
LONG_POLL_MS = 10_000.0
ENTRY = (server_entry(1),)
# A list is pushed, and its watch ends as discovery goes down.
PUSHED_UNTIL_OUTAGE: list[tuple[float, Event]] = [
    (100.0, EndpointUpdate(FULL, 1, ENTRY, 100.0)),
    (110.0, EndpointWatchOpened(LONG_POLL_MS, 100.0)),
    (2000.0, EndpointUpdate(FAILED, 1, as_of_ms=110.0)),
]


def handle_all(driver: Driver, events: list[tuple[float, Event]]) -> Server:
    for at, event in events:
        driver.now = at
        driver.handle(event)
    return driver.policy.servers[1]


@pytest.mark.parametrize(
    ("must_poll", "events", "until"),
    [
        (True, [(0.0, EndpointUpdate(CACHED, 0, ENTRY))], GRACE_MS),
        (False, [(0.0, EndpointUpdate(CACHED, 0, ENTRY))], GRACE_MS),
        # A list is valid as of the time of its call, however late it arrives.
        (
            True,
            [(900.0, EndpointUpdate(FULL, 1, ENTRY, 100.0))],
            100.0 + NOTIFIED_AFTER_SILENCE_MS + GRACE_MS,
        ),
        (False, [(900.0, EndpointUpdate(FULL, 1, ENTRY, 100.0))], 100.0 + GRACE_MS),
        (
            True,
            [
                (900.0, EndpointUpdate(FULL, 1, ENTRY, 100.0)),
                (950.0, EndpointWatchOpened(LONG_POLL_MS, 100.0)),
            ],
            950.0 + LONG_POLL_MS + NOTIFIED_AFTER_WAIT_MS + GRACE_MS,
        ),
        # A watch that ends early no longer extends the lease, whichever side ended it.
        (
            True,
            [
                (900.0, EndpointUpdate(FULL, 1, ENTRY, 100.0)),
                (950.0, EndpointWatchOpened(LONG_POLL_MS, 100.0)),
                (2000.0, EndpointUpdate(FAILED, 1, as_of_ms=100.0)),
            ],
            100.0 + NOTIFIED_AFTER_SILENCE_MS + GRACE_MS,
        ),
        (
            True,
            [
                (900.0, EndpointUpdate(FULL, 1, ENTRY, 100.0)),
                (950.0, EndpointWatchOpened(LONG_POLL_MS, 100.0)),
                (2000.0, EndpointWatchClosed(100.0)),
            ],
            100.0 + NOTIFIED_AFTER_SILENCE_MS + GRACE_MS,
        ),
        # A broken response may have held a list: its changes count as notified until the next list arrives.
        (
            True,
            [
                (900.0, EndpointUpdate(FULL, 1, ENTRY, 100.0)),
                (950.0, EndpointWatchOpened(LONG_POLL_MS, 100.0)),
                (2000.0, EndpointUpdate(BROKEN, 1, as_of_ms=100.0)),
            ],
            2000.0 - STALL_ALLOWANCE_MS + GRACE_MS,
        ),
        (
            True,
            [
                (2000.0, EndpointUpdate(BROKEN, 1, as_of_ms=100.0)),
                (2200.0, EndpointUpdate(FULL, 1, ENTRY, 2100.0)),
            ],
            2100.0 + NOTIFIED_AFTER_SILENCE_MS + GRACE_MS,
        ),
        # Failed calls do not renew a list that discovery has never confirmed.
        (
            True,
            [
                (0.0, EndpointUpdate(CACHED, 0, ENTRY)),
                (300.0, EndpointUpdate(FAILED, 0, as_of_ms=-math.inf)),
            ],
            GRACE_MS,
        ),
        # If discovery pushes lists, a failed call ends the watch: the lease then lasts for the grace.
        (
            False,
            [
                (0.0, EndpointUpdate(FULL, 1, ENTRY, 0.0)),
                (300.0, EndpointUpdate(FAILED, 1)),
            ],
            300.0 + GRACE_MS,
        ),
        (False, [(0.0, EndpointUpdate(FULL, 1, ENTRY))], math.inf),
        # While discovery is down it pushes nothing: a gateway with a pushed list goes on using that list.
        (
            False,
            [
                *PUSHED_UNTIL_OUTAGE,
                (2200.0, EndpointUpdate(FAILED, 1, as_of_ms=2190.0)),
                (2400.0, EndpointUpdate(FAILED, 1, as_of_ms=2390.0)),
            ],
            2390.0 + GRACE_MS,
        ),
        # Each failed call renewed the lease, also on a list that discovery had not confirmed.
        (
            False,
            [
                (0.0, EndpointUpdate(CACHED, 0, ENTRY)),
                (300.0, EndpointUpdate(FAILED, 0, as_of_ms=290.0)),
            ],
            GRACE_MS,
        ),
        # The lease on the list of the configuration began when the list was read, not with the process.
        (False, [(400.0, EndpointUpdate(CACHED, 0, ENTRY, 100.0))], 100.0 + GRACE_MS),
        (True, [(400.0, EndpointUpdate(CACHED, 0, ENTRY, 100.0))], 400.0 + GRACE_MS),
        # A call that waited before it failed may mean that discovery is up and crowded.
        (
            False,
            [*PUSHED_UNTIL_OUTAGE, (2351.0, EndpointUpdate(FAILED, 1, as_of_ms=2200.0))],
            2000.0 + GRACE_MS,
        ),
        # A call after the end of the lease tells nothing of the time in between, in which discovery may have
        # been up, unless this gateway was held up for a moment.
        (
            False,
            [
                *PUSHED_UNTIL_OUTAGE,
                (2500.0, EndpointUpdate(FAILED, 1, as_of_ms=2000.0 + GRACE_MS + STALL_ALLOWANCE_MS)),
            ],
            2000.0 + GRACE_MS,
        ),
        (
            False,
            [
                *PUSHED_UNTIL_OUTAGE,
                (2500.0, EndpointUpdate(FAILED, 1, as_of_ms=1999.0 + GRACE_MS + STALL_ALLOWANCE_MS)),
            ],
            1999.0 + STALL_ALLOWANCE_MS + 2 * GRACE_MS,
        ),
        # A failed call undid the loss of a list.
        (
            False,
            [
                *PUSHED_UNTIL_OUTAGE[:-1],
                (2000.0, EndpointUpdate(BROKEN, 1, as_of_ms=100.0)),
                (2100.0, EndpointUpdate(FAILED, 1, as_of_ms=2090.0)),
            ],
            2000.0 - STALL_ALLOWANCE_MS + GRACE_MS,
        ),
        # Closing a call that was no watch renewed the lease, for example at SIGHUP during a first call.
        (
            False,
            [(0.0, EndpointUpdate(CACHED, 0, ENTRY)), (300.0, EndpointWatchClosed(-math.inf))],
            GRACE_MS,
        ),
        (
            False,
            [*PUSHED_UNTIL_OUTAGE[:-1], (2000.0, EndpointWatchClosed(100.0))],
            2000.0 + GRACE_MS,
        ),
    ],
)
def test_the_lease_ends_when_the_first_missed_change_takes_effect(
    must_poll: bool, events: list[tuple[float, Event]], until: float
) -> None:
    driver = Driver(settings(must_poll=must_poll))
    server = handle_all(driver, events)
    assert usable_until(driver.policy, server) == until
    if until < math.inf:
        driver.now = until - 1.0
        (send,) = sends(driver.request())
        assert send.write_by_ms == until
        driver.finish(send, Result.REJECTED)
        driver.now = until + 1000.0  # by now the backoff after the rejection is over
        assert [type(action) for action in driver.request() if not sends([action])][:1] == [Reject]


def test_without_a_drain_rule_no_list_expires() -> None:
    base = settings(must_poll=True)
    driver = Driver(replace(base, rules=replace(base.rules, drain_grace_ms=0.0)))
    server = handle_all(driver, [(0.0, EndpointUpdate(CACHED, 0, ENTRY))])
    assert usable_until(driver.policy, server) == math.inf


def test_a_lost_list_shortens_the_lease_and_is_requested_again_within_the_grace() -> None:
    for seed in SEEDS:
        driver = Driver(settings(must_poll=True, gateway_count=200), seed)
        server = handle_all(driver, [(0.0, EndpointUpdate(FULL, 1, ENTRY, 0.0))])
        driver.now = 1000.0
        driver.handle(EndpointUpdate(BROKEN, 1, as_of_ms=0.0))
        assert usable_until(driver.policy, server) == 1000.0 - STALL_ALLOWANCE_MS + GRACE_MS
        assert driver.policy.endpoint_list.poll_at <= 1000.0 + RULES.drain_grace_ms / 2
        (send,) = sends(driver.request())
        driver.finish(send)
        assert usable_until(driver.policy, server) == 1000.0 - STALL_ALLOWANCE_MS + GRACE_MS


def test_a_response_does_not_renew_the_lease_on_a_server() -> None:
    # Only discovery knows which servers are listed. When responses renewed the lease, a gateway with little
    # traffic went on using an address without noticing that a later incarnation, not listed yet, responded.
    driver = Driver(settings(must_poll=True))
    server = handle_all(driver, [(0.0, EndpointUpdate(FULL, 1, ENTRY, 0.0))])
    until = usable_until(driver.policy, server)
    for driver.now in (1000.0, 5000.0, until - 1.0):
        (send,) = sends(driver.request())
        driver.finish(send)
        assert usable_until(driver.policy, server) == until
    driver.now = until
    assert not sends(driver.request())


@pytest.mark.parametrize(
    ("must_poll", "part", "kind"),
    [(True, b"", BROKEN), (False, b"HTTP/1.1 200", BROKEN), (False, b"", FAILED)],
)
def test_a_reset_before_any_response_loses_no_pushed_list(
    must_poll: bool, part: bytes, kind: EndpointUpdateKind
) -> None:
    # Watches end in a reset when discovery goes down: a gateway with a pushed list then goes on serving.
    harness = ManualDiscoveryHarness(must_poll)
    harness.discovery.watch(True)
    call = harness.next_call()
    if part:
        call.connection.dataReceived(part)
    call.break_connection()
    assert harness.events[-1].kind is kind
