"""The discovery client when calls end in unexpected orders; the tests decide when calls are answered."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.python.failure import Failure

from meadowpulley.interface import EndpointUpdateKind, ServerState
from meadowpulley.net.discovery_client import DiscoveryClient
from meadowpulley.net.endpoint_watch import QUICK_ANSWER_MS
from tests.discovery_harness import (
    DRAINING_ENTRY,
    HEAD,
    NOTIFIED_AFTER_SILENCE_MS,
    READY_ENTRY,
    RESPONSE_MS,
    ManualDiscoveryHarness,
    ReceivedCall,
    list_body,
)
from tests.standins import endpoint

READY, DRAINING = ServerState.READY, ServerState.DRAINING


def open_watch(harness: ManualDiscoveryHarness, version: int, *entries: dict[str, Any]) -> ReceivedCall:
    """Apply a first list and return the open watch that follows it."""
    harness.discovery.start()
    harness.next_call().respond(list_body(version, *entries, is_snapshot=True))
    watch = harness.next_call()
    assert harness.take_updates()
    assert watch.target == f"after={version}&wait_ms=10000"
    return watch


def fail_watches(harness: ManualDiscoveryHarness, failure_count: int) -> None:
    """Start a watch and let `failure_count` calls fail, so that a retry is pending."""
    harness.discovery.start()
    for _ in range(failure_count):
        harness.next_call().break_connection()


@pytest.mark.parametrize(
    ("step", "open_calls"),
    [
        (DiscoveryClient.address_changed, 1),
        (lambda discovery: discovery.watch(True), 1),
        (lambda discovery: discovery.watch(False), 0),
        (DiscoveryClient.stop, 0),
    ],
    ids=["address changed", "newer watch", "watch ended", "stopped"],
)
def test_a_superseded_retry_neither_cancels_nor_opens_a_watch(
    step: Callable[[DiscoveryClient], None], open_calls: int
) -> None:
    """A retry that was left pending cancelled the newer watch, or opened a watch that had been ended."""
    harness = ManualDiscoveryHarness()
    fail_watches(harness, 2)
    step(harness.discovery)
    harness.run(3_000.0)
    assert len(harness.calls) == 2 + open_calls
    assert all(call.connection.is_open for call in harness.calls[2:])


def test_a_watch_opened_when_notified_of_a_failure_is_the_only_one() -> None:
    harness = ManualDiscoveryHarness()
    harness.on_event = lambda event: (
        harness.discovery.watch(True) if event.kind is EndpointUpdateKind.FAILED else None
    )
    fail_watches(harness, 2)
    harness.run(3_000.0)
    assert len(harness.calls) == 3
    assert harness.calls[2].connection.is_open


def test_a_watch_that_the_policy_cancels_on_its_update_is_not_renewed() -> None:
    harness = ManualDiscoveryHarness()
    harness.on_event = lambda event: harness.discovery.watch(False)
    harness.discovery.start()
    harness.next_call().respond(list_body(1))
    harness.run(100.0)
    assert len(harness.calls) == 1


def test_an_older_snapshot_that_arrives_last_is_not_applied_and_is_fetched_again() -> None:
    """Applying it lowered the version, and a draining instance got requests until the next change."""
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    harness.discovery.fetch()
    fetch = harness.next_call()
    watch.respond(list_body(43, DRAINING_ENTRY))
    fetch.respond(list_body(41, READY_ENTRY, is_snapshot=True))  # discovery wrote this before version 43
    assert harness.take_updates() == [(43, [DRAINING])]
    harness.run(20.0)
    assert [call.target for call in harness.calls[-2:]] == ["after=43&wait_ms=10000", ""]
    harness.calls[-1].respond(list_body(43, DRAINING_ENTRY, is_snapshot=True))
    assert harness.take_updates() == [(43, [DRAINING])]
    assert not harness.failures


def test_older_changes_that_arrive_last_are_not_applied_and_are_requested_again() -> None:
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    harness.discovery.fetch()
    harness.next_call().respond(list_body(43, is_snapshot=True))  # without the instance
    watch.respond(list_body(42, READY_ENTRY))
    assert harness.take_updates() == [(43, [])]
    assert harness.next_call().target == "after=43&wait_ms=0"


def test_a_newer_list_is_accepted_in_whatever_order_it_was_requested() -> None:
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    harness.discovery.fetch()
    fetch = harness.next_call()
    watch.respond(list_body(42))
    fetch.respond(list_body(43, DRAINING_ENTRY, is_snapshot=True))
    assert harness.take_updates() == [(43, [DRAINING])]
    harness.run(20.0)
    harness.calls[-1].respond(list_body(43, DRAINING_ENTRY))  # changes already applied
    assert harness.take_updates() == [(43, [DRAINING])]


def restart_discovery(harness: ManualDiscoveryHarness, watch: ReceivedCall) -> ReceivedCall:
    watch.break_connection()
    return harness.next_call()


def move_discovery(harness: ManualDiscoveryHarness, watch: ReceivedCall) -> ReceivedCall:
    harness.discovery.address_changed()
    return harness.next_call()


@pytest.mark.parametrize("disrupt", [restart_discovery, move_discovery])
@pytest.mark.parametrize(
    ("is_snapshot", "next_target"),
    # The client requests the whole list after changes alone, because they may omit removed instances.
    [(True, "after=3&wait_ms=10000"), (False, "after=0&wait_ms=10000")],
    ids=["snapshot", "changes"],
)
def test_lower_versions_after_discovery_restarted_or_moved_are_accepted(
    disrupt: Callable[[ManualDiscoveryHarness, ReceivedCall], ReceivedCall],
    is_snapshot: bool,
    next_target: str,
) -> None:
    harness = ManualDiscoveryHarness()
    reopened = disrupt(harness, open_watch(harness, 41, READY_ENTRY))
    assert reopened.target == "after=41&wait_ms=0"
    harness.take_updates()
    reopened.respond(list_body(3, DRAINING_ENTRY, is_snapshot=is_snapshot))
    assert harness.take_updates() == [(3, [DRAINING])]
    assert harness.next_call().target == next_target


class StalledGateway:
    """A gateway whose process is stopped: the clock advances while arriving input stays unread."""

    def __init__(self, harness: ManualDiscoveryHarness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.harness = harness
        self.stalled_ms = 0.0
        monkeypatch.setattr(
            ManualDiscoveryHarness,
            "now",
            property(lambda owner: owner.reactor.seconds() * 1000.0 + self.stalled_ms),
        )

    def stall(self, duration_ms: float, unread: Any = None) -> None:
        """Advance the clock; if `unread` is given, run deadlines while that connection has unread input."""
        if unread is not None:
            unread.transport.getHandle = lambda: SimpleNamespace(recv=lambda *_: b"H")
        self.stalled_ms += duration_ms
        if unread is not None:
            self.harness.gateway.deadlines.run_due()
            del unread.transport.getHandle


@pytest.mark.parametrize("in_kernel", [True, False], ids=["deadlines first", "input first"])
@pytest.mark.parametrize("part_bytes", [0, 30], ids=["complete response", "rest of a response"])
def test_a_stalled_gateway_reads_a_response_that_arrived_in_time(
    monkeypatch: pytest.MonkeyPatch, in_kernel: bool, part_bytes: int
) -> None:
    harness = ManualDiscoveryHarness()
    stalled = StalledGateway(harness, monkeypatch)
    watch = open_watch(harness, 41, READY_ENTRY)
    body = list_body(42, DRAINING_ENTRY)
    response = HEAD % (len(body), body)
    if part_bytes:
        watch.connection.dataReceived(response[:part_bytes])
    stalled.stall(20_000.0, watch.connection if in_kernel else None)
    watch.connection.dataReceived(response[part_bytes:])
    assert harness.take_updates() == [(42, [DRAINING])]
    assert watch.connection.is_open


def call_intervals(harness: ManualDiscoveryHarness, duration_ms: float) -> list[float]:
    """Return the intervals in ms between calls while discovery breaks the connection of each call."""
    harness.discovery.start()
    call_times = [0.0]
    while harness.now < duration_ms:
        known_count = len(harness.calls)
        harness.run(10.0)
        for call in harness.calls[known_count:]:
            call_times.append(harness.now)
            call.break_connection()
    return [after - before for before, after in pairwise(call_times)]


@pytest.mark.parametrize(("grace_ms", "longest"), [(2_000.0, 1_000.0), (400.0, 200.0), (0.0, 4_000.0)])
def test_with_pushed_lists_the_retry_backoff_stays_within_half_the_drain_grace(
    grace_ms: float, longest: float
) -> None:
    """Retries were up to 4 s apart, which is longer than the drain grace allows.

    Once discovery is back, it counts changes as notified, whether or not the gateway has read them.
    """
    intervals = call_intervals(ManualDiscoveryHarness(grace_ms=grace_ms), 40_000.0)
    assert longest / 2 < max(intervals) <= longest + 20.0


def test_with_pushed_lists_a_watch_silent_after_an_outage_is_reopened_at_once() -> None:
    """The retry after a time-out waited for the backoff that earlier failures had built up.

    That added up to 4 s to the 4 s after which the time-out was detected.
    """
    harness = ManualDiscoveryHarness()
    assert max(call_intervals(harness, 10_000.0)) > 1_000.0
    known_count = len(harness.calls)
    while len(harness.calls) == known_count:
        harness.run(10.0)
    silent_call_at = harness.now
    while len(harness.calls) == known_count + 1:
        harness.run(10.0)
    assert harness.now - silent_call_at <= NOTIFIED_AFTER_SILENCE_MS - RESPONSE_MS


GONE_ENTRY = endpoint("s-1", "127.0.0.1:9", status="terminated")
MOVED_ENTRY = endpoint("s-1", "127.0.0.1:10", build=42)
OTHER_ENTRY = endpoint("s-2", "127.0.0.1:9")


@pytest.mark.parametrize("is_snapshot", [True, False], ids=["snapshot", "changes"])
@pytest.mark.parametrize(
    ("entries", "states", "ports"),
    [
        ([GONE_ENTRY, MOVED_ENTRY], [READY], [10]),  # the instance returned with another build
        ([MOVED_ENTRY, GONE_ENTRY], [ServerState.REMOVED], []),
        ([DRAINING_ENTRY, GONE_ENTRY, READY_ENTRY, MOVED_ENTRY], [READY], [10]),
        ([READY_ENTRY, OTHER_ENTRY], [READY, READY], [9, 9]),  # two instances at one address
        ([], [], []),
    ],
    ids=["removed, then ready", "ready, then removed", "four entries of one name", "two names", "empty"],
)
def test_the_last_entry_of_a_duplicate_name_in_a_list_wins(
    entries: list[dict[str, Any]], states: list[ServerState], ports: list[int], is_snapshot: bool
) -> None:
    """An instance both removed and ready in one list was ready for the policy, but had no address."""
    harness = ManualDiscoveryHarness()
    open_watch(harness, 41).respond(list_body(42, *entries, is_snapshot=is_snapshot))
    assert harness.take_updates() == [(42, states)] * (is_snapshot or bool(entries))
    assert [address[1] for address in harness.addresses.values()] == ports
    assert len(harness.discovery.decoder.server_ids) == len(ports)


BODY = list_body(42, DRAINING_ENTRY)  # indented JSON


@pytest.mark.parametrize(
    "response",
    [HEAD % (len(BODY), BODY), b"HTTP/1.1 200 OK\r\n\r\n" + BODY],
    ids=["content length", "end of connection"],
)
def test_an_indented_list_is_read_however_it_is_split(response: bytes) -> None:
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    for split_at in range(1, len(response)):
        harness.run(QUICK_ANSWER_MS)  # the next call follows a quick answer after a pause
        for part in (response[:split_at], response[split_at:]):
            watch.connection.dataReceived(part)
        if b"content-length" not in response:
            watch.break_connection()  # the end of the connection ends the response
        assert harness.take_updates() == [(42, [DRAINING])]
        watch = harness.next_call()
    for byte in response:
        watch.connection.dataReceived(bytes([byte]))
    if b"content-length" not in response:
        watch.break_connection()
    assert harness.take_updates() == [(42, [DRAINING])]


NAMED_ENTRY = {**OTHER_ENTRY, "status": "in_service"}
MALFORMED_LISTS = [
    b"",
    b" \n",
    b"null",
    b"[]",
    b"{}",
    b"\xff",
    b"[" * 100_000,
    BODY[:-1],
    BODY + b"}",
    list_body(42, NAMED_ENTRY, {**READY_ENTRY, "status": "lost"}),
    list_body(42, NAMED_ENTRY, {**READY_ENTRY, "address": "s-1:9"}),
    list_body(42, NAMED_ENTRY, {**READY_ENTRY, "name": ""}),
    list_body(42, NAMED_ENTRY, {**READY_ENTRY, "since_ms": None}),
    BODY.replace(b"42", b"-" + b"9" * 5000),
    BODY.replace(b"42", b"1e999"),
    BODY.replace(b"42", b"NaN"),
]


@pytest.mark.parametrize("body", MALFORMED_LISTS, ids=range(len(MALFORMED_LISTS)))
def test_a_malformed_list_changes_nothing_and_is_requested_again(body: bytes) -> None:
    """The decoder permanently kept the names of entries that preceded the malformed one."""
    harness = ManualDiscoveryHarness()
    open_watch(harness, 41, READY_ENTRY).respond(body)
    assert harness.take_updates() == [(41, [])]
    assert list(harness.discovery.decoder.server_ids) == ["s-1"]
    assert harness.next_call().target == "after=41&wait_ms=0"
    assert not harness.failures


def test_a_fault_while_a_list_is_applied_is_logged_and_the_list_requested_again() -> None:
    """After the fault no watch was open, and with pushed lists nothing opened another one."""
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    register = harness.registry.register
    harness.registry.register = None
    watch.respond(list_body(42, DRAINING_ENTRY))
    harness.registry.register = register
    assert harness.failures.pop() == "discovery"
    reopened = harness.next_call()
    assert reopened.target == "after=41&wait_ms=0"
    reopened.respond(list_body(42, DRAINING_ENTRY))
    assert harness.take_updates() == [(41, []), (42, [DRAINING])]
    assert not harness.failures


def test_a_watch_that_fails_while_it_is_opened_is_reopened() -> None:
    """The failed call was stored as the open watch after its failure had been reported."""
    harness = ManualDiscoveryHarness()
    reactor: Any = harness.reactor
    connect = reactor.connectTCP
    pending_failures = [True, True]

    def refuse_first_connections(host: str, port: int, factory: Any, **more: Any) -> Any:
        connector = connect(host, port, factory, **more)
        if pending_failures and pending_failures.pop():
            reactor.tcpClients.pop()
            factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]
        return connector

    reactor.connectTCP = refuse_first_connections
    harness.discovery.start()
    harness.run(1_100.0)
    harness.calls[0].respond(list_body(41, READY_ENTRY, is_snapshot=True))
    assert harness.next_call().target == "after=41&wait_ms=10000"
    assert len(harness.calls) == 2


def test_only_one_idle_connection_is_reused() -> None:
    """When another connection replaced the idle one, the old one stayed open until discovery closed it."""
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    harness.discovery.fetch()
    fetch = harness.next_call()
    fetch.respond(list_body(41, READY_ENTRY, is_snapshot=True))
    harness.on_event = lambda event: harness.discovery.watch(False)
    watch.respond(list_body(42, DRAINING_ENTRY))
    assert [call.connection.is_open for call in (watch, fetch)] == [True, False]


def test_a_connection_with_part_of_an_unrequested_response_is_not_reused() -> None:
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    harness.on_event = lambda event: harness.discovery.watch(False)
    watch.respond(list_body(42, DRAINING_ENTRY))
    watch.connection.dataReceived(b"HTTP/1.1 200")
    harness.discovery.watch(True)
    assert not watch.connection.is_open
    assert harness.next_call().target == "after=42&wait_ms=0"


def test_a_list_beyond_its_share_of_the_memory_limit_is_refused_and_the_last_one_kept() -> None:
    harness = ManualDiscoveryHarness()
    watch = open_watch(harness, 41, READY_ENTRY)
    watch.respond(list_body(42, DRAINING_ENTRY) + b" " * 2_000_000)
    assert not watch.connection.is_open
    assert harness.events[-1].kind is not EndpointUpdateKind.INCREMENTAL
    assert harness.gateway.counters["discovery.failed_calls"] == 1
    harness.run(1_000.0)
    harness.calls[-1].respond(list_body(42, DRAINING_ENTRY) + b" " * 1_000_000)
    assert harness.take_updates()[-1] == (42, [DRAINING])
