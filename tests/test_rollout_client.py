"""The platform client when messages arrive in unexpected orders, which the tests write directly."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any

import pytest

from meadowpulley.interface import Result, Verdict, Vote
from meadowpulley.net.platform_connection import HEARTBEAT_TIMEOUT_MS
from meadowpulley.net.rollout_client import RolloutClient
from tests.discovery_harness import FakeTransport, ManualDiscoveryHarness
from tests.driver import ROLLOUT
from tests.standins import TRIAL

VOTE = Vote(42, 0, Verdict.ADVANCE)
LATER_ROLLOUT = TRIAL | {"tranche": 1, "exposure": 0.1}


class RolloutHarness(ManualDiscoveryHarness):
    """The real platform client; `accept_connection` establishes the connections that it opens."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway.config.platform, self.gateway.config.initial_rollout = ("127.0.0.1", 9), None
        self.client = RolloutClient(self.gateway, lambda name: None)
        self.client.start()

    def accept_connection(self) -> Any:
        self.reactor.advance(0.01)
        connection: Any = self.reactor.tcpClients.pop(0)[2].buildProtocol(None)
        connection.makeConnection(FakeTransport())  # type: ignore[no-untyped-call]
        return connection

    @staticmethod
    def send(connection: Any, **fields: Any) -> None:
        connection.dataReceived(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    def take_rollout_updates(self) -> list[tuple[int, float, bool, Result]]:
        events = self.events
        self.events = []
        return [(e.stage, e.cap, e.is_vote_reply, e.result) for e in events]


@pytest.mark.parametrize("answered_late", [False, True], ids=["before the time-out", "after the time-out"])
def test_a_vote_answered_at_the_old_address_does_not_revert_a_newer_rollout_state(
    answered_late: bool,
) -> None:
    """An older state from the old address was dispatched after a newer one, and its cap applied again."""
    harness = RolloutHarness()
    old = harness.accept_connection()
    harness.send(old, id=1, result=True)
    harness.client.cast_vote(VOTE)
    harness.client.address_changed()
    new = harness.accept_connection()
    harness.send(new, id=3, result=True)
    harness.send(new, method="ROLLOUT", params=LATER_ROLLOUT)
    assert harness.take_rollout_updates() == [(1, 0.1, False, Result.OK)]
    if answered_late:
        harness.gateway.deadlines.at(
            0.0, lambda: harness.client._complete(old.pending_calls[0], Result.TIMEOUT)
        )
        harness.reactor.advance(0.01)
        assert [result for *_, result in harness.take_rollout_updates()] == [Result.TIMEOUT]
    harness.send(old, id=2, result=TRIAL)
    assert harness.take_rollout_updates() == ([] if answered_late else [(1, 0.1, True, Result.OK)])
    assert not old.is_open
    assert new.is_open


def test_a_response_from_the_old_address_is_used_until_the_new_address_sends_a_state() -> None:
    harness = RolloutHarness()
    old = harness.accept_connection()
    harness.send(old, id=1, result=True)
    harness.send(old, method="ROLLOUT", params=TRIAL)
    harness.client.cast_vote(VOTE)
    harness.client.address_changed()
    harness.take_rollout_updates()
    harness.send(old, id=2, result=LATER_ROLLOUT)
    assert harness.take_rollout_updates() == [(1, 0.1, True, Result.OK)]


@pytest.mark.parametrize("has_vote", [False, True], ids=["without a vote", "with a vote"])
def test_notifications_at_the_old_address_are_used_until_the_new_address_sends_a_state(
    has_vote: bool,
) -> None:
    """A lower cap written to the old connection was ignored or discarded while the new address was slow."""
    harness = RolloutHarness()
    old = harness.accept_connection()
    harness.send(old, id=1, result=True)
    if has_vote:
        harness.client.cast_vote(VOTE)
    harness.client.address_changed()
    harness.send(old, method="ROLLOUT", params=LATER_ROLLOUT)
    assert harness.take_rollout_updates() == [(1, 0.1, False, Result.OK)]
    new = harness.accept_connection()
    harness.send(new, method="ROLLOUT", params=LATER_ROLLOUT)
    assert harness.take_rollout_updates() == [(1, 0.1, False, Result.OK)]
    assert old.is_open is has_vote
    harness.send(old, method="ROLLOUT", params=TRIAL)
    assert harness.take_rollout_updates() == []


def test_an_older_state_from_the_first_of_two_old_addresses_is_not_used() -> None:
    """After two changes of the address, a vote's response at the first reverted the second's state."""
    harness = RolloutHarness()
    first = harness.accept_connection()
    harness.send(first, id=1, result=True)
    harness.client.cast_vote(VOTE)
    harness.client.address_changed()
    second = harness.accept_connection()
    harness.send(second, method="ROLLOUT", params=LATER_ROLLOUT)
    harness.client.address_changed()
    harness.take_rollout_updates()
    harness.send(first, id=2, result=TRIAL)
    assert harness.take_rollout_updates() == [(1, 0.1, True, Result.OK)]
    assert second.is_open
    assert not first.is_open


def test_unread_heartbeats_keep_the_connection_of_a_stalled_gateway() -> None:
    """A gateway whose process had been stopped closed the connection as silent and counted votes as lost."""
    harness = RolloutHarness()
    connection = harness.accept_connection()
    connection.transport.getHandle = lambda: SimpleNamespace(recv=lambda *_: b"{")
    harness.reactor.advance(HEARTBEAT_TIMEOUT_MS / 1000.0 + 0.01)
    assert connection.is_open
    del connection.transport.getHandle
    harness.reactor.advance(HEARTBEAT_TIMEOUT_MS / 1000.0 + 0.01)
    assert not connection.is_open


def test_a_follow_call_that_the_platform_rejects_is_retried_on_a_new_connection() -> None:
    """The connection was kept, but carried no rollout updates until its heartbeat timed out."""
    harness = RolloutHarness()
    connection = harness.accept_connection()
    harness.send(connection, id=1, error={"code": -32602, "message": "error"})
    assert not connection.is_open
    harness.reactor.advance(1.0)
    assert harness.accept_connection().is_open


def test_a_response_still_unread_at_the_timeout_of_a_vote_counts() -> None:
    """A gateway whose process had been stopped reported a time-out, and would have voted again."""
    harness = RolloutHarness()
    connection = harness.accept_connection()
    harness.send(connection, id=1, result=True)
    harness.client.cast_vote(VOTE)
    connection.transport.getHandle = lambda: SimpleNamespace(recv=lambda *_: b"{")
    harness.reactor.advance(ROLLOUT.call_timeout_ms / 1000.0 + 0.01)
    assert harness.take_rollout_updates() == []
    del connection.transport.getHandle
    harness.send(connection, id=2, result=TRIAL)
    assert harness.take_rollout_updates() == [(0, 0.3, True, Result.OK)]
