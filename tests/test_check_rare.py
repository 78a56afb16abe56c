"""Rare moments in world B: signals, half-closed clients, late second answers, lists that overtake."""

from __future__ import annotations

import pytest

from meadowpulley.check import Search, Setting
from meadowpulley.check.connection import Connection, request_text
from meadowpulley.check.connection.scenes import GONE_MS, LATE_MS
from meadowpulley.check.plant import hunt_all
from meadowpulley.check.worlds import Step

DEEP = {"signals": (2, 1), "backlog": (2, 2), "halves": (1, 1), "late": (1, 2), "lists": (1, 1)}
PLANTED = (
    "drain-drops-all",
    "ends-with-clients",
    "backlog-dropped",
    "reload-takes-all",
    "end-of-sending-ignored",
    "unasked-kept",
    "missing-kept",
)
CONNECT, ASK = Step("connect", (0,)), Step("write", (0, len(request_text("get", "c0r0"))))


def world(scene: str, *steps: Step) -> Connection:
    w = Connection(Setting(world="connection", scene=scene, servers=1, requests=1, troubles=3, waits=3))
    for step in steps:
        assert step in w.steps(), (step, w.steps())
        w.take(step)
        assert not w.broken, w.broken
    return w


@pytest.mark.parametrize("scene", DEEP)
def test_no_order_of_a_rare_moment_breaks_a_property(scene: str) -> None:
    troubles, waits = DEEP[scene]
    setting = Setting(world="connection", scene=scene, servers=1, requests=1, troubles=troubles, waits=waits)
    coverage = Search(setting, workers=1).run()
    assert coverage.counterexample is None, coverage.counterexample
    assert coverage.complete and coverage.states > 300


def test_bugs_planted_in_rare_moments_are_found_by_the_property_meant_for_them() -> None:
    found = hunt_all(PLANTED, [1], 60.0, workers=2)
    assert [(c.mutant, c.by, c.text) for c in found if not c.expected or c.how != "exhaustive"] == []


def test_a_request_in_the_kernel_is_unread_until_the_reactors_turn() -> None:
    w = world("signals", Step("listen"), CONNECT, Step("unread", (0,)))
    wire = w.clients[0].wire
    assert wire is not None and wire.pending and not w.served[0].wire.sent
    w.take(Step("turn"))
    assert not wire.pending and w.served[0].wire.sent


def test_who_waits_to_be_accepted_is_accepted_in_one_turn_and_read_in_the_next() -> None:
    w = world("backlog", Step("queue", (0,)))
    assert w.clients[0].wire is None and Step("connect", (0,)) not in w.steps()
    w.take(Step("turn"))
    assert w.clients[0].wire is not None and not w.served[0].wire.sent
    w.take(Step("turn"))
    assert w.served[0].wire.sent


def test_a_client_is_gone_at_once_if_it_is_read_and_else_once_it_is_written_to() -> None:
    w = world("halves", CONNECT, ASK, Step("leave", (0,)))
    assert all(k.address for k in w.reactor.wires)
    w = world("halves", CONNECT, ASK)
    wire = w.clients[0].wire
    assert wire is not None
    wire.stopReading()
    w.take(Step("leave", (0,)))
    assert wire.up and w.now + GONE_MS < w._edge("gone")
    w.take(Step("answer", (0, "ok")))
    assert not wire.up


def test_a_second_answer_comes_a_few_milliseconds_late_at_most() -> None:
    w = world("late", CONNECT, ASK, Step("answer", (0, "ok")))
    assert Step("again", (0,)) in w.steps()
    w.reactor.advance(w.now + LATE_MS + 1.0)
    assert Step("again", (0,)) not in w.steps()


def test_an_answer_of_discovery_holds_what_was_true_when_it_was_made() -> None:
    w = world(
        "lists", Step("fetch"), Step("make", (1,)), Step("change", (0, "terminating")), Step("make", (0,))
    )
    assert [c.made["index"] for c in w.calls if c.made] == [2, 1]
    w.take(Step("deliver", (0,)))
    assert list(w.told) == [("127.0.0.1", 9001)]
    w.take(Step("deliver", (1,)))  # the older list untells nothing
    assert list(w.told) == [("127.0.0.1", 9001)]
