"""The takeover's stage at a gateway, on the checker's scripted connections and a ledger in memory."""

from __future__ import annotations

from typing import Any

import pytest

from meadowpulley.ledger import Changed, Changes, Commit, Committed, Ended, Life, MemoryStore, RefusedError
from meadowpulley.net.gateway import ACCEPT_ON_MS
from meadowpulley.takeover import Adopt, Takeover, Terms, Written
from meadowpulley.takeover.gateway import Bridge, read_terms
from meadowpulley.takeover.model import Stopping
from tests.test_net_hooks import Bench as HookBench


class Bench(HookBench):
    """Its ledger carries commits out at once; while `waiting` is a list they wait there."""

    def __init__(self, written: Written = Written.ALL) -> None:
        super().__init__(None)
        self.store, self.waiting = MemoryStore(), None
        self.life = self.store.begin("a", 2000.0)
        self.may = True
        stage = Takeover(
            self.gateway.config.settings, self.told, self.life, lambda now: self.may, Terms(written)
        )
        self.gateway.balancer = self.bridge = Bridge(self.gateway, stage, stage, 3000.0)
        self.gateway.carry_out(Commit, self.commit)

    waiting: list[Commit] | None

    def commit(self, commit: Commit) -> None:
        if self.waiting is not None:
            self.waiting.append(commit)
        else:
            done = self.store.commit(self.life, commit.steps)
            self.gateway.tell(Committed(commit.ticket, tuple(done), commit.owner))

    def sent(self) -> int:
        """Requests that the instance was sent."""
        return int(self.instance.sent.count(b"HTTP/1.1\r\n"))


def test_bytes_go_out_after_the_record_and_the_answer_after_its_own() -> None:
    bench = Bench()
    bench.waiting = []
    client = bench.ask("r1")
    assert bench.sent() == 0
    waiting, bench.waiting = bench.waiting, None
    bench.commit(waiting[0])
    assert bench.sent() == 1
    bench.waiting = []
    bench.answer()
    assert client.sent == b""
    waiting, bench.waiting = bench.waiting, None
    bench.commit(waiting[0])
    assert b" 200 " in client.sent and client.sent.endswith(b"r1")


def test_what_is_not_written_passes_as_without_a_ledger() -> None:
    bench = Bench(Written.NONE)
    bench.waiting = []
    client = bench.ask("r1")
    assert bench.sent() == 1
    assert b" 409 " in bench.ask("r1").sent  # nobody could join it: that one goes on
    bench.answer()
    assert b" 200 " in client.sent and not bench.waiting and not bench.bridge.held


@pytest.mark.parametrize("answered", [True, False], ids=["answered", "in hand"])
def test_the_client_that_asks_again_gets_the_same_answer_once(answered: bool) -> None:
    bench = Bench()
    first = bench.ask("r1")
    if answered:
        bench.answer()
    again = bench.ask("r1")
    if not answered:
        bench.answer()
    assert [wire.sent.count(b" 200 ") for wire in (first, again)] == [1, 1]
    assert again.sent.endswith(b"r1") and bench.sent() == 1
    assert b" 502 " in bench.ask("r1", "/look?n=2").sent


def test_a_client_that_leaves_changes_nothing() -> None:
    bench = Bench()
    bench.ask("r1").lose()
    bench.answer()
    assert b" 200 " in bench.ask("r1").sent and bench.sent() == 1


def test_what_a_sealed_life_still_gets_is_failed() -> None:
    bench = Bench()
    client = bench.ask("r1")
    bench.waiting = []
    bench.answer()
    bench.gateway.tell(Ended())
    assert b" 502 " in client.sent and client.sent.count(b"HTTP/1.1") == 1


def test_a_recorded_answer_stands_though_its_gateway_slept_past_the_time_it_may_be_held() -> None:
    bench = Bench()
    client = bench.ask("r1")
    bench.waiting = []
    bench.answer()
    (commit,) = bench.waiting
    done = bench.store.commit(bench.life, commit.steps)
    bench.may, bench.waiting = False, None
    bench.wait(310.0)  # its timers come first as it wakes, what became of the write after them
    assert b" 502 " in client.sent
    bench.gateway.tell(Committed(commit.ticket, tuple(done), commit.owner))
    assert b" 200 " in bench.ask("r1").sent and client.sent.count(b"HTTP/1.1") == 1


def test_adopted_work_goes_out_without_a_client_and_its_answer_is_recorded() -> None:
    bench = Bench()
    lost = Bench()
    lost.store, lost.life = bench.store, bench.store.begin("b", 2000.0)
    lost.bridge.stage.hands.me = lost.life
    lost.ask("r1", "/look?n=7")
    (record,) = bench.store.scan("takeover/work/")
    bench.store.dead.add(Life("b", 1))
    bench.store.begin("b", 2000.0)  # its next life: that one is over
    bench.gateway.tell(Changed(Changes(record.version - 1)))
    bench.gateway.tell(Changed(bench.store.changes(record.version - 1)))
    bench.wait(10.0)
    assert bench.sent() == 1 and b"GET /look?n=7 " in bench.instance.sent
    bench.answer()
    assert [r.key for r in bench.store.scan("takeover/answer/")] == ["takeover/answer/r1"]


def test_a_planned_stop_waits_for_an_answer_that_is_held() -> None:
    bench = Bench()
    bench.gateway.drain()
    bench.wait(ACCEPT_ON_MS - 100.0)
    client, bench.waiting = bench.ask("r1"), []
    bench.answer()
    bench.wait(100.0)  # from here on its last connection's end is the gateway's
    assert client.up and client.sent == b"" and bench.phase == "draining"
    (commit,), bench.waiting = bench.waiting, None
    bench.commit(commit)
    assert b" 200 " in client.sent and client.closing
    client.lose()
    assert bench.phase == "stopped"


def test_a_planned_stop_is_told_before_connections_close() -> None:
    bench = Bench()
    bench.gateway.drain()
    assert bench.bridge.stage.stops and Stopping(3000.0) not in bench.told.events


def test_without_a_slot_adopted_work_is_given_back() -> None:
    bench = Bench()
    requests = bench.gateway.requests
    while not requests.table.full:
        requests.table.put(object())
    told: list[Any] = []
    bench.gateway.tell = told.append
    bench.bridge._adopt(Adopt("r1", 0, bench.reactor.now + 1000.0, "GET", "/look", (("x-txn", "r1"),), b""))
    assert [event.request for event in told] == [None]


SETTINGS = [
    ({}, None),
    ({"MEADOWPULLEY_TAKEOVER": "all"}, Terms(Written.ALL)),
    (
        {"MEADOWPULLEY_TAKEOVER": "none", "MEADOWPULLEY_TAKEOVER_IN_HAND": "4"},
        Terms(Written.NONE, most_open=4),
    ),
    ({"MEADOWPULLEY_TAKEOVER": "some"}, "'some' is none of none, unrepeatable, all"),
    ({"MEADOWPULLEY_TAKEOVER": "all", "MEADOWPULLEY_TAKEOVER_PER_S": "0"}, "_PER_S: '0' is no number from 1"),
    ({"MEADOWPULLEY_TAKEOVER": "all", "MEADOWPULLEY_TAKEOVER_HOLD_MS": "x"}, "'x' is no number"),
]


@pytest.mark.parametrize(("environ", "found"), SETTINGS)
def test_settings_are_read_or_refused_in_one_line(environ: dict[str, str], found: Any) -> None:
    if isinstance(found, str):
        with pytest.raises(RefusedError, match=found):
            read_terms(environ)
    else:
        assert read_terms(environ) == found
