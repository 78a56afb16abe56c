"""The takeover extension of a gateway, with scripted connections and an in-memory ledger."""

from __future__ import annotations

from typing import Any

import pytest

from meadowpulley.ledger import (
    Changes,
    Commit,
    CommitCompleted,
    Fenced,
    Incarnation,
    LedgerChanged,
    LedgerUnusableError,
    MemoryStore,
)
from meadowpulley.net.gateway import DRAIN_ACCEPT_MS
from meadowpulley.takeover import AdoptRequest, JournalScope, TakeoverSettings, TakeoverStage
from meadowpulley.takeover.extension import TakeoverExtension
from meadowpulley.takeover.messages import ShutdownNotice
from meadowpulley.takeover.settings_reader import read_settings
from tests.test_net_extension import GatewayBench as ExtensionBench


class TakeoverBench(ExtensionBench):
    """A gateway whose ledger commits immediately, or defers commits to the list `deferred_commits`."""

    deferred_commits: list[Commit] | None

    def __init__(self, journal_scope: JournalScope = JournalScope.ALL) -> None:
        super().__init__(None)
        self.store = MemoryStore()
        self.deferred_commits = None
        self.incarnation = self.store.register("a", 2000.0)
        self.holds_lease = True
        stage = TakeoverStage(
            self.gateway.config.settings,
            self.recorder,
            self.incarnation,
            lambda now: self.holds_lease,
            TakeoverSettings(journal_scope),
        )
        self.gateway.pipeline = self.extension = TakeoverExtension(self.gateway, stage, stage, 3000.0)
        self.gateway.register_action(Commit, self.commit)

    def commit(self, commit: Commit) -> None:
        if self.deferred_commits is not None:
            self.deferred_commits.append(commit)
        else:
            results = self.store.commit(self.incarnation, commit.transactions)
            self.gateway.dispatch(CommitCompleted(commit.ticket, tuple(results), commit.owner))

    def sent_requests(self) -> int:
        """Return how many requests the instance has received."""
        return int(self.instance.received_by_peer.count(b"HTTP/1.1\r\n"))

    def commit_deferred(self) -> None:
        """Carry out the single deferred commit, and commit immediately from then on."""
        assert self.deferred_commits is not None
        (commit,) = self.deferred_commits
        self.deferred_commits = None
        self.commit(commit)


def test_a_request_is_sent_after_its_record_and_a_response_after_its_own() -> None:
    bench = TakeoverBench()
    bench.deferred_commits = []
    client = bench.request("r1")
    assert bench.sent_requests() == 0
    bench.commit_deferred()
    assert bench.sent_requests() == 1
    bench.deferred_commits = []
    bench.respond()
    assert client.received_by_peer == b""
    bench.commit_deferred()
    assert b" 200 " in client.received_by_peer
    assert client.received_by_peer.endswith(b"r1")


def test_an_unjournaled_request_is_served_as_without_a_ledger() -> None:
    bench = TakeoverBench(JournalScope.NONE)
    bench.deferred_commits = []
    client = bench.request("r1")
    assert bench.sent_requests() == 1
    assert b" 409 " in bench.request("r1").received_by_peer  # no response to share; the original continues
    bench.respond()
    assert b" 200 " in client.received_by_peer
    assert not bench.deferred_commits
    assert not bench.extension.pending_responses


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "in flight"])
def test_a_repeated_request_gets_the_same_response_once(answered: bool) -> None:
    bench = TakeoverBench()
    first = bench.request("r1")
    if answered:
        bench.respond()
    repeated = bench.request("r1")
    if not answered:
        bench.respond()
    assert [wire.received_by_peer.count(b" 200 ") for wire in (first, repeated)] == [1, 1]
    assert repeated.received_by_peer.endswith(b"r1")
    assert bench.sent_requests() == 1
    assert b" 502 " in bench.request("r1", "/look?n=2").received_by_peer


def test_a_disconnected_client_changes_nothing() -> None:
    bench = TakeoverBench()
    bench.request("r1").disconnect()
    bench.respond()
    assert b" 200 " in bench.request("r1").received_by_peer
    assert bench.sent_requests() == 1


def test_a_response_after_fencing_is_failed() -> None:
    """A gateway is fenced while it waits for a record of a response, so others may own the request."""
    bench = TakeoverBench()
    client = bench.request("r1")
    bench.deferred_commits = []
    bench.respond()
    bench.gateway.dispatch(Fenced())
    assert b" 502 " in client.received_by_peer
    assert client.received_by_peer.count(b"HTTP/1.1") == 1


def test_a_recorded_response_stands_after_a_pause_beyond_the_hold_time() -> None:
    """A gateway is paused beyond its lease, and learns only afterwards that its response was recorded.

    Its client gets a failure, which means that the outcome is unknown; duplicates get the recorded response.
    """
    bench = TakeoverBench()
    client = bench.request("r1")
    bench.deferred_commits = []
    bench.respond()
    (commit,) = bench.deferred_commits
    results = bench.store.commit(bench.incarnation, commit.transactions)
    bench.holds_lease = False
    bench.deferred_commits = None
    bench.wait(310.0)  # after the pause, timers fire before the result of the write arrives
    assert b" 502 " in client.received_by_peer
    bench.gateway.dispatch(CommitCompleted(commit.ticket, tuple(results), commit.owner))
    assert b" 200 " in bench.request("r1").received_by_peer
    assert client.received_by_peer.count(b"HTTP/1.1") == 1


def test_an_adopted_request_is_sent_without_a_client_and_its_response_recorded() -> None:
    """A gateway crashes with a request whose client does not repeat it."""
    bench = TakeoverBench()
    crashed = TakeoverBench()
    crashed.store = bench.store
    crashed.incarnation = bench.store.register("b", 2000.0)
    crashed.extension.stage.journal.incarnation = crashed.incarnation
    crashed.request("r1", "/look?n=7")
    (record,) = bench.store.scan("takeover/work/")
    bench.store.dead_incarnations.add(Incarnation("b", 1))
    bench.store.register("b", 2000.0)  # a new incarnation of b: the previous one has ended
    bench.gateway.dispatch(LedgerChanged(Changes(record.version - 1)))
    bench.gateway.dispatch(LedgerChanged(bench.store.changes(record.version - 1)))
    bench.wait(10.0)
    assert bench.sent_requests() == 1
    assert b"GET /look?n=7 " in bench.instance.received_by_peer
    bench.respond()
    assert [record.key for record in bench.store.scan("takeover/answer/")] == ["takeover/answer/r1"]


def test_a_graceful_shutdown_waits_for_a_held_response() -> None:
    """A gateway is told to stop while a response waits to be recorded."""
    bench = TakeoverBench()
    bench.gateway.drain()
    bench.wait(DRAIN_ACCEPT_MS - 100.0)
    client = bench.request("r1")
    bench.deferred_commits = []
    bench.respond()
    bench.wait(100.0)  # from here on, the gateway stops when its last connection closes
    assert client.connected
    assert client.received_by_peer == b""
    assert bench.phase == "draining"
    bench.commit_deferred()
    assert b" 200 " in client.received_by_peer
    assert client.closing
    client.disconnect()
    assert bench.phase == "stopped"


def test_a_graceful_shutdown_is_notified_before_connections_close() -> None:
    bench = TakeoverBench()
    bench.gateway.drain()
    assert bench.extension.stage.shutting_down
    assert ShutdownNotice(3000.0) not in bench.recorder.events


def test_without_a_free_slot_an_adoption_is_refused() -> None:
    """A gateway claims a request of a crashed gateway while all of its own slots are in use."""
    bench = TakeoverBench()
    requests = bench.gateway.requests
    while not requests.slots.full:
        requests.slots.put(object())
    events: list[Any] = []
    bench.gateway.dispatch = events.append
    bench.extension._adopt(
        AdoptRequest("r1", 0, bench.reactor.now + 1000.0, "GET", "/look", (("x-txn", "r1"),), b"")
    )
    assert [event.request for event in events] == [None]


SETTINGS_CASES: dict[str, tuple[dict[str, str], TakeoverSettings | None]] = {
    "none given": ({}, None),
    "all classes": ({"MEADOWPULLEY_TAKEOVER": "all"}, TakeoverSettings(JournalScope.ALL)),
    "no class and a limit": (
        {"MEADOWPULLEY_TAKEOVER": "none", "MEADOWPULLEY_TAKEOVER_IN_HAND": "4"},
        TakeoverSettings(JournalScope.NONE, max_adopted=4),
    ),
}


@pytest.mark.parametrize(("environ", "expected"), SETTINGS_CASES.values(), ids=SETTINGS_CASES)
def test_settings_are_read(environ: dict[str, str], expected: TakeoverSettings | None) -> None:
    assert read_settings(environ) == expected


UNUSABLE_SETTINGS_CASES: dict[str, tuple[dict[str, str], str]] = {
    "unknown scope": (
        {"MEADOWPULLEY_TAKEOVER": "some"},
        "^MEADOWPULLEY_TAKEOVER: 'some' is none of none, unrepeatable, all: set one of them, or leave it out",
    ),
    "below its minimum": (
        {"MEADOWPULLEY_TAKEOVER": "all", "MEADOWPULLEY_TAKEOVER_PER_S": "0"},
        "^MEADOWPULLEY_TAKEOVER_PER_S: '0' is no number from 1: set it, or leave it out$",
    ),
    "not a number": (
        {"MEADOWPULLEY_TAKEOVER": "all", "MEADOWPULLEY_TAKEOVER_HOLD_MS": "x"},
        "^MEADOWPULLEY_TAKEOVER_HOLD_MS: 'x' is no number from 0: set it, or leave it out$",
    ),
}


@pytest.mark.parametrize(
    ("environ", "message"), UNUSABLE_SETTINGS_CASES.values(), ids=UNUSABLE_SETTINGS_CASES
)
def test_unusable_settings_are_rejected_in_one_line(environ: dict[str, str], message: str) -> None:
    with pytest.raises(LedgerUnusableError, match=message):
        read_settings(environ)
