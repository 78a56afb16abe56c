"""The connections to the platform in bad orders: the real client on connections that the test writes to."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any

import pytest

from meadowpulley.interface import Result, Verdict, Vote
from meadowpulley.net.control import SILENT_MS, Platform
from tests.driver import ROLLOUT
from tests.standins import TRIAL
from tests.test_discovery import Held
from tests.test_silent_watch import Wire

VOTE = Vote(42, 0, Verdict.ADVANCE)
LATER = TRIAL | {"tranche": 1, "exposure": 0.1}


class Followed(Held):
    """A platform client; each connection it makes comes up at once."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway.config.platform, self.gateway.config.news = ("127.0.0.1", 9), None
        self.platform = Platform(self.gateway, lambda name: None)
        self.platform.start()

    def up(self) -> Any:
        self.reactor.advance(0.01)
        link: Any = self.reactor.tcpClients.pop(0)[2].buildProtocol(None)
        link.makeConnection(Wire())  # type: ignore[no-untyped-call]
        return link

    @staticmethod
    def says(link: Any, **fields: Any) -> None:
        link.dataReceived(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    def news(self) -> list[tuple[int, float, bool, Result]]:
        events, self.events = self.events, []
        return [(e.stage, e.cap, e.answers_vote, e.result) for e in events]


@pytest.mark.parametrize("late", [False, True], ids=["in time", "after its time"])
def test_a_vote_answered_at_the_old_address_takes_no_newer_state_back(late: bool) -> None:
    # The state that the old address had written before was told after the newer one: its cap held again.
    rig = Followed()
    old = rig.up()
    rig.says(old, id=1, result=True)
    rig.platform.vote(VOTE)
    rig.platform.moved()
    new = rig.up()
    rig.says(new, id=3, result=True)
    rig.says(new, method="ROLLOUT", params=LATER)
    assert rig.news() == [(1, 0.1, False, Result.OK)]
    if late:
        rig.gateway.deadlines.at(0.0, lambda: rig.platform._finish(old.calls[0], Result.TIMEOUT))
        rig.reactor.advance(0.01)
        assert [result for *_, result in rig.news()] == [Result.TIMEOUT]
    rig.says(old, id=2, result=TRIAL)
    assert rig.news() == ([] if late else [(1, 0.1, True, Result.OK)])
    assert not old.up and new.up


def test_until_the_new_address_has_told_the_old_one_s_answer_is_the_state() -> None:
    rig = Followed()
    old = rig.up()
    rig.says(old, id=1, result=True)
    rig.says(old, method="ROLLOUT", params=TRIAL)
    rig.platform.vote(VOTE)
    rig.platform.moved()
    rig.news()
    rig.says(old, id=2, result=LATER)
    assert rig.news() == [(1, 0.1, True, Result.OK)]


def test_signs_of_life_that_lie_unread_keep_the_connection_of_a_late_gateway() -> None:
    # It was dropped as silent, and each vote under way counted as lost.
    rig = Followed()
    link = rig.up()
    link.transport.getHandle = lambda: SimpleNamespace(recv=lambda *_: b"{")
    rig.reactor.advance(SILENT_MS / 1000.0 + 0.01)
    assert link.up
    del link.transport.getHandle
    rig.reactor.advance(SILENT_MS / 1000.0 + 0.01)
    assert not link.up


def test_a_platform_that_refuses_to_be_followed_is_asked_anew_on_a_new_connection() -> None:
    # The connection was kept: no news until it was found silent.
    rig = Followed()
    link = rig.up()
    rig.says(link, id=1, error={"code": -32602, "message": "error"})
    assert not link.up
    rig.reactor.advance(1.0)
    assert rig.up().up


def test_an_answer_that_lies_unread_when_a_vote_s_time_is_up_is_the_vote_s() -> None:
    # A gateway that stood still told a time-out, and would have voted again.
    rig = Followed()
    link = rig.up()
    rig.says(link, id=1, result=True)
    rig.platform.vote(VOTE)
    link.transport.getHandle = lambda: SimpleNamespace(recv=lambda *_: b"{")
    rig.reactor.advance(ROLLOUT.call_timeout_ms / 1000.0 + 0.01)
    assert rig.news() == []
    del link.transport.getHandle
    rig.says(link, id=2, result=TRIAL)
    assert rig.news() == [(0, 0.3, True, Result.OK)]
