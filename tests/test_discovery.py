"""The discovery client in bad orders: each call is held, and answered when the test says so."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from itertools import pairwise
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.python.failure import Failure

from meadowpulley.interface import EndpointUpdateKind, Event, ServerState
from meadowpulley.net.discovery import Discovery
from tests.standins import entry
from tests.test_silent_watch import ANSWER_MS, TOLD_AFTER_SILENCE_MS, Rig

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"


def listed(index: int, *entries: dict[str, Any], whole: bool = False) -> bytes:
    return json.dumps({"index": index, "snapshot": whole, "endpoints": entries}, indent=2).encode()


UP, DRAINS = entry("s-1", "127.0.0.1:9"), entry("s-1", "127.0.0.1:9", status="terminating")


class Call:
    """One that came: answered, broken or left alone by the test."""

    def __init__(self, protocol: Any, target: str) -> None:
        self.protocol, self.target = protocol, target

    def answer(self, body: bytes) -> None:
        self.protocol.dataReceived(HEAD % (len(body), body))

    def breaks(self) -> None:
        self.protocol.connectionLost()


class Held(Rig):
    """Pushed lists, and no decisions: what they would be told is kept."""

    def __init__(self, must_ask: bool = False, grace_ms: float = 0.0) -> None:
        self.calls: list[Call] = []
        self.placed: dict[int, Any] = {}  # addresses, as the instances' part is told of them
        self.events: list[Any] = []
        self.react: Callable[[Any], None] = lambda event: None
        super().__init__(must_ask)
        told = self.driver.b.s
        self.gateway.config.settings = replace(told, rules=replace(told.rules, drain_grace_ms=grace_ms))
        places: Any = SimpleNamespace(
            place=lambda server, address, _: self.placed.update({server: address}),
            forget=lambda server: self.placed.pop(server, None),
            close_idle=lambda _: None,
        )
        self.discovery = Discovery(self.gateway, places, 0.0)

    def tell(self, event: Event) -> None:
        self.events.append(event)
        self.react(event)

    def _serve(self, protocol: Any, wire: Any) -> None:
        if raw := wire.value().decode():
            wire.clear()
            self.calls.append(Call(protocol, raw.split(" ")[1].partition("?")[2]))
        if protocol.up:
            self.reactor.callLater(0.01, self._serve, protocol, wire)

    def call(self) -> Call:
        """The newest, which has to have come since the last look."""
        known = len(self.calls)
        self.run(20.0)
        assert len(self.calls) == known + 1
        return self.calls[-1]

    def heard(self) -> list[tuple[int, list[ServerState]]]:
        """Versions and states, of what was told since the last look."""
        events, self.events = self.events, []
        return [(event.version, [e.state for e in event.entries]) for event in events]


READY, DRAINING = ServerState.READY, ServerState.DRAINING


def watching(rig: Held, index: int, *entries: dict[str, Any]) -> Call:
    """The watch that follows the first list, still open."""
    rig.discovery.start()
    rig.call().answer(listed(index, *entries, whole=True))
    watch = rig.call()
    assert rig.heard() and watch.target == f"after={index}&wait_ms=10000"
    return watch


def after_failures(rig: Held, many: int) -> None:
    """A watch that failed so often, and whose next try is pending."""
    rig.discovery.start()
    for _ in range(many):
        rig.call().breaks()


@pytest.mark.parametrize(
    ("step", "open_calls"),
    [
        (Discovery.moved, 1),
        (lambda discovery: discovery.watch(True), 1),
        (lambda discovery: discovery.watch(False), 0),
        (Discovery.stop, 0),
    ],
    ids=["moved", "newer watch", "no watch", "stopped"],
)
def test_a_next_try_that_was_overtaken_neither_abandons_nor_opens_a_watch(
    step: Callable[[Discovery], None], open_calls: int
) -> None:
    # The pending try was never called off: it abandoned the newer watch, or opened one that nobody wanted.
    rig = Held()
    after_failures(rig, 2)
    step(rig.discovery)
    rig.run(3_000.0)
    assert len(rig.calls) == 2 + open_calls and all(call.protocol.up for call in rig.calls[2:])


def test_a_watch_opened_on_the_news_of_a_failure_is_the_only_one() -> None:
    rig = Held()
    rig.react = lambda event: rig.discovery.watch(True) if event.kind is EndpointUpdateKind.FAILED else None
    after_failures(rig, 2)
    rig.run(3_000.0)
    assert len(rig.calls) == 3 and rig.calls[2].protocol.up


def test_no_watch_is_kept_up_that_the_decisions_gave_up_on_its_news() -> None:
    rig = Held()
    rig.react = lambda event: rig.discovery.watch(False)
    rig.discovery.start()
    rig.call().answer(listed(1))
    rig.run(100.0)
    assert len(rig.calls) == 1


def test_an_older_whole_list_that_arrives_last_revives_nothing_and_is_asked_for_again() -> None:
    # The version went back, and the instance that drains was sent to again until the next change.
    rig = Held()
    watch = watching(rig, 41, UP)
    rig.discovery.fetch()
    fetch = rig.call()
    watch.answer(listed(43, DRAINS))
    fetch.answer(listed(41, UP, whole=True))  # written before that
    assert rig.heard() == [(43, [DRAINING])]
    rig.run(20.0)
    assert [call.target for call in rig.calls[-2:]] == ["after=43&wait_ms=10000", ""]
    rig.calls[-1].answer(listed(43, DRAINS, whole=True))
    assert rig.heard() == [(43, [DRAINING])] and not rig.failures


def test_older_changes_that_arrive_last_revive_nothing_and_are_asked_for_again() -> None:
    rig = Held()
    watch = watching(rig, 41, UP)
    rig.discovery.fetch()
    rig.call().answer(listed(43, whole=True))  # it is gone
    watch.answer(listed(42, UP))
    assert rig.heard() == [(43, [])]
    assert rig.call().target == "after=43&wait_ms=0"


def test_a_newer_list_is_believed_in_whatever_order_it_was_asked_for() -> None:
    rig = Held()
    watch = watching(rig, 41, UP)
    rig.discovery.fetch()
    fetch = rig.call()
    watch.answer(listed(42))
    fetch.answer(listed(43, DRAINS, whole=True))
    assert rig.heard() == [(43, [DRAINING])]
    rig.run(20.0)
    rig.calls[-1].answer(listed(43, DRAINS))  # all since 42, of which it knows already
    assert rig.heard() == [(43, [DRAINING])]


def restarted(rig: Held, watch: Call) -> Call:
    watch.breaks()
    return rig.call()


def moved(rig: Held, watch: Call) -> Call:
    rig.discovery.moved()
    return rig.call()


@pytest.mark.parametrize("how", [restarted, moved])
@pytest.mark.parametrize(
    ("whole", "then"),
    [(True, "after=3&wait_ms=10000"), (False, "after=0&wait_ms=10000")],  # what it never knew may be gone
)
def test_versions_that_fall_when_discovery_was_restarted_or_moved_are_believed(
    how: Callable[[Held, Call], Call], whole: bool, then: str
) -> None:
    rig = Held()
    again = how(rig, watching(rig, 41, UP))
    assert again.target == "after=41&wait_ms=0"
    rig.heard()
    again.answer(listed(3, DRAINS, whole=whole))
    assert rig.heard() == [(3, [DRAINING])]
    assert rig.call().target == then


class Late:
    """What a gateway does that stood still: its clock runs on, and what came meanwhile lies unread."""

    def __init__(self, rig: Held, monkeypatch: pytest.MonkeyPatch) -> None:
        self.rig, self.by = rig, 0.0
        monkeypatch.setattr(Held, "now", property(lambda rig: rig.reactor.seconds() * 1000.0 + self.by))

    def stands_still(self, ms: float, unread: Any = None) -> None:
        """With bytes in the kernel, by this connection, if the deadlines run before it is read."""
        if unread is not None:
            unread.transport.getHandle = lambda: SimpleNamespace(recv=lambda *_: b"H")
        self.by += ms
        if unread is not None:
            self.rig.gateway.deadlines.run_due()
            del unread.transport.getHandle


@pytest.mark.parametrize("in_kernel", [True, False], ids=["deadlines first", "bytes first"])
@pytest.mark.parametrize("part", [0, 30], ids=["whole", "rest"])
def test_what_came_in_time_is_read_by_a_gateway_that_stood_still(
    monkeypatch: pytest.MonkeyPatch, in_kernel: bool, part: int
) -> None:
    rig = Held()
    late = Late(rig, monkeypatch)
    watch = watching(rig, 41, UP)
    body = listed(42, DRAINS)
    whole = HEAD % (len(body), body)
    if part:
        watch.protocol.dataReceived(whole[:part])
    late.stands_still(20_000.0, watch.protocol if in_kernel else None)
    watch.protocol.dataReceived(whole[part:])
    assert rig.heard() == [(42, [DRAINING])] and watch.protocol.up


def gaps(rig: Held, ms: float) -> list[float]:
    """Between the calls of a time in which each fails as it comes."""
    rig.discovery.start()
    came = [0.0]
    while rig.now < ms:
        known = len(rig.calls)
        rig.run(10.0)
        for call in rig.calls[known:]:
            came.append(rig.now)
            call.breaks()
    return [after - before for before, after in pairwise(came)]


@pytest.mark.parametrize(("grace_ms", "longest"), [(2_000.0, 1_000.0), (400.0, 200.0), (0.0, 4_000.0)])
def test_where_lists_are_pushed_discovery_s_return_is_found_within_half_the_time_for_drains(
    grace_ms: float, longest: float
) -> None:
    # What is told at the return counts at once; the next try came up to 4 s later, whatever drains allow.
    found = gaps(Held(grace_ms=grace_ms), 40_000.0)
    assert longest / 2 < max(found) <= longest + 20.0


def test_where_lists_are_pushed_a_watch_silent_after_an_outage_is_opened_anew_at_once() -> None:
    # Its pause was that of the failures before it: up to 4 s on top of the 4 s after which it was found.
    rig = Held()
    assert max(gaps(rig, 10_000.0)) > 1_000.0
    known = len(rig.calls)
    while len(rig.calls) == known:
        rig.run(10.0)
    fell_silent = rig.now
    while len(rig.calls) == known + 1:
        rig.run(10.0)
    assert rig.now - fell_silent <= TOLD_AFTER_SILENCE_MS - ANSWER_MS


GONE = entry("s-1", "127.0.0.1:9", status="terminated")
ELSEWHERE = entry("s-1", "127.0.0.1:10", build=42)
OTHER = entry("s-2", "127.0.0.1:9")


@pytest.mark.parametrize("whole", [True, False])
@pytest.mark.parametrize(
    ("entries", "states", "placed"),
    [
        ([GONE, ELSEWHERE], [READY], [10]),  # back under another build: a log of what changed
        ([ELSEWHERE, GONE], [ServerState.REMOVED], []),
        ([DRAINS, GONE, UP, ELSEWHERE], [READY], [10]),
        ([UP, OTHER], [READY, READY], [9, 9]),  # two names at one address are two instances
        ([], [], []),
    ],
)
def test_of_a_name_that_a_list_holds_twice_the_last_word_holds(
    entries: list[dict[str, Any]], states: list[ServerState], placed: list[int], whole: bool
) -> None:
    # An instance that was gone and back in one list was told to the decisions, and its place forgotten.
    rig = Held()
    watching(rig, 41).answer(listed(42, *entries, whole=whole))
    assert rig.heard() == [(42, states)] * (whole or bool(entries))
    assert [address[1] for address in rig.placed.values()] == placed
    assert len(rig.discovery.entries.numbers) == len(placed)


BODY = listed(42, DRAINS)  # indented


@pytest.mark.parametrize("ends", [HEAD % (len(BODY), BODY), b"HTTP/1.1 200 OK\r\n\r\n" + BODY])
def test_an_indented_list_is_read_however_it_is_split(ends: bytes) -> None:
    rig = Held()
    watch = watching(rig, 41, UP)
    for at in range(1, len(ends)):
        for part in (ends[:at], ends[at:]):
            watch.protocol.dataReceived(part)
        if b"content-length" not in ends:
            watch.breaks()  # the end of the connection is that of the list
        assert rig.heard() == [(42, [DRAINING])]
        watch = rig.call()
    for byte in ends:
        watch.protocol.dataReceived(bytes([byte]))
    if b"content-length" not in ends:
        watch.breaks()
    assert rig.heard() == [(42, [DRAINING])]


NAMED = {**OTHER, "status": "in_service"}
UNREADABLE = [
    b"",
    b" \n",
    b"null",
    b"[]",
    b"{}",
    b"\xff",
    b"[" * 100_000,
    BODY[:-1],
    BODY + b"}",
    listed(42, NAMED, {**UP, "status": "lost"}),
    listed(42, NAMED, {**UP, "address": "s-1:9"}),
    listed(42, NAMED, {**UP, "name": ""}),
    listed(42, NAMED, {**UP, "since_ms": None}),
    BODY.replace(b"42", b"-" + b"9" * 5000),
    BODY.replace(b"42", b"1e999"),
    BODY.replace(b"42", b"NaN"),
]


@pytest.mark.parametrize("body", UNREADABLE, ids=range(len(UNREADABLE)))
def test_an_unreadable_list_changes_nothing_and_is_asked_for_again(body: bytes) -> None:
    # The names of its entries before the one that can't be read were kept for good.
    rig = Held()
    watching(rig, 41, UP).answer(body)
    assert rig.heard() == [(41, [])] and list(rig.discovery.entries.numbers) == ["s-1"]
    assert rig.call().target == "after=41&wait_ms=0" and not rig.failures


def test_a_fault_while_a_list_is_taken_is_logged_and_the_list_asked_for_again() -> None:
    # No watch stood from then on: where lists are pushed nothing opened another.
    rig = Held()
    watch = watching(rig, 41, UP)
    place, rig.discovery.instances.place = rig.discovery.instances.place, None  # type: ignore[method-assign,assignment]
    watch.answer(listed(42, DRAINS))
    rig.discovery.instances.place = place  # type: ignore[method-assign]
    assert rig.failures.pop() == "discovery"
    again = rig.call()
    assert again.target == "after=41&wait_ms=0"
    again.answer(listed(42, DRAINS))
    assert rig.heard() == [(41, []), (42, [DRAINING])] and not rig.failures


def test_a_watch_that_fails_as_it_is_opened_is_opened_anew() -> None:
    # It was stored after its failure was told, as the watch that stands.
    rig = Held()
    reactor: Any = rig.reactor
    connect, fails = reactor.connectTCP, [True, True]

    def refused_at_once(host: str, port: int, factory: Any, **more: Any) -> Any:
        connector = connect(host, port, factory, **more)
        if fails and fails.pop():
            reactor.tcpClients.pop()
            factory.clientConnectionFailed(connector, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]
        return connector

    reactor.connectTCP = refused_at_once
    rig.discovery.start()
    rig.run(1_100.0)
    rig.calls[0].answer(listed(41, UP, whole=True))
    assert rig.call().target == "after=41&wait_ms=10000" and len(rig.calls) == 2


def test_of_two_connections_with_nothing_to_ask_one_is_kept() -> None:
    # The one kept before was forgotten, and stood open until discovery closed it.
    rig = Held()
    watch = watching(rig, 41, UP)
    rig.discovery.fetch()
    fetch = rig.call()
    fetch.answer(listed(41, UP, whole=True))
    rig.react = lambda event: rig.discovery.watch(False)
    watch.answer(listed(42, DRAINS))
    assert [call.protocol.up for call in (watch, fetch)] == [True, False]


def test_a_connection_with_part_of_an_answer_that_nobody_asked_for_is_not_used_again() -> None:
    rig = Held()
    watch = watching(rig, 41, UP)
    rig.react = lambda event: rig.discovery.watch(False)
    watch.answer(listed(42, DRAINS))
    watch.protocol.dataReceived(b"HTTP/1.1 200")
    rig.discovery.watch(True)
    assert not watch.protocol.up and rig.call().target == "after=42&wait_ms=0"
