"""The placement stage between events and decisions: labels, counts, the ledger, and gateways that die."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from typing import Any

import pytest

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.fleet import settings_of
from meadowpulley.interface import (
    ClientDisconnected,
    Fail,
    LogLine,
    Outcome,
    Phase,
    ProbeResult,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    Timer,
)
from meadowpulley.ledger import (
    Changed,
    Commit,
    Committed,
    Done,
    Ended,
    How,
    LedgerBack,
    LedgerLost,
    Life,
    MemoryStore,
    Seal,
    Step,
)
from meadowpulley.placement import (
    Arm,
    End,
    Experiment,
    Origin,
    PlacementStage,
    read_summary,
    versions,
)
from meadowpulley.placement.contrast import read_segment

SETTINGS = settings_of(demo_fleet(), 0)
ARMS = (Arm("now", "own", 0.5), Arm("other", "least", 0.5))
OTHER = 1  # its label: the module's own choice has one that no placement has


class Decisions:
    """Takes all, and does what a test says."""

    def __init__(self) -> None:
        self.heard: list[Any] = []
        self.answers: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.heard.append(event)
        answers, self.answers = self.answers, []
        return answers


class Origins:
    """Of requests taken here their own number, unless told else; none has moved but those in `left_as`."""

    def __init__(self, life: Life, known: dict[int, Origin]) -> None:
        self.life, self.known, self.left_as = life, known, dict[int, Any]()

    def origin_of(self, request: int) -> Origin | None:
        return self.known.get(request, Origin(str(self.life), request, 0.0))

    def left(self, request: int) -> Any:
        return self.left_as.get(request, "gone")


class Gateway:
    """A stage on a shared ledger in memory; `cut` loses the ledger, `kill` all that it had not written."""

    def __init__(self, store: MemoryStore, name: str, origins: dict[int, Origin] | None = None, **more: Any):
        self.store, self.cut = store, False
        self.inner, self.life = Decisions(), store.begin(name, 1000.0)
        fields: dict[str, Any] = {"arms": ARMS, "end": End(requests=10**6), "carry_ms": 500.0} | more
        e = Experiment(1, "try", **fields)
        self.origins = Origins(self.life, origins or {})
        self.stage = PlacementStage(self.inner, e, SETTINGS, self.life, origins=self.origins)
        self.said: list[str] = []
        self.seen = 0

    def tell(self, now: float, event: Any) -> list[Any]:
        found = self.stage.handle(now, event)
        for action in found:
            if isinstance(action, Commit) and not self.cut:
                done = self.store.commit(self.life, action.steps)
                self.tell(now, Committed(action.ticket, tuple(done), action.owner))
            elif isinstance(action, LogLine):
                self.said.append(action.text)
        return found

    def learn(self, now: float) -> None:
        changes = self.store.changes(self.seen)
        self.seen = changes.version
        self.tell(now, Changed(changes))

    def look(self, now: float) -> None:
        self.tell(now, Timer(4))

    def take(self, now: float, number: int, **more: Any) -> Request:
        self.tell(now, Request(number, 0, 0, 0, now + 2000.0, **more))
        found: Request = self.inner.heard[-1]
        return found

    def serve(self, now: float, number: int) -> None:
        self.tell(now, Outcome(number, 0, 1, Result.OK, 10.0, True))

    def kill(self) -> None:
        self.store.dead.add(self.life)

    def summary(self, over: bool = True) -> Any:
        store = self.store
        members = [m for m in store.members() if not (over and m.life in store.dead)]
        return read_summary(self.stage.e, SETTINGS.classes, store.scan("placement/"), members)


def began(name: str = "a", store: MemoryStore | None = None, **more: Any) -> Gateway:
    gateway = Gateway(store or MemoryStore(), name, **more)
    gateway.learn(0.0)
    return gateway


def test_requests_are_labelled_with_their_arm_and_all_else_passes() -> None:
    g = began()
    arms = Counter(g.take(1.0, n).arm for n in range(400))
    assert set(arms) == {1, 2} and min(arms.values()) > 150
    for event in (Timer(1), ProbeResult(1, Result.OK, 1.0), LedgerLost("gone"), LedgerBack()):
        g.tell(2.0, event)
        assert g.inner.heard[-1] == event
    heard = len(g.inner.heard)
    g.look(3.0)
    assert len(g.inner.heard) == heard  # its own timer is its own


def test_every_end_is_counted_as_what_it_is_and_unserved_ones_cost_their_deadline() -> None:
    g = began(arms=(Arm("now", "own", 0.999), Arm("other", "own", 0.001)))
    for n in range(5):
        g.take(0.0, n)
    g.serve(30.0, 0)
    g.inner.answers = [Reject(1, 100.0)]
    g.tell(31.0, Timer(1))
    g.inner.answers = [Fail(2)]
    g.tell(32.0, Outcome(2, 0, 1, Result.RESET, 32.0, False))
    g.tell(33.0, ClientDisconnected(3))
    g.serve(40.0, 0)  # a second answer counts for nothing
    g.look(50.0)
    arm = g.summary().arms[0]
    counts = (arm.served, arm.refused, arm.failed, arm.gone, arm.open, arm.requests)
    assert counts == (1, 1, 1, 1, 1, 5)
    deadline = SETTINGS.classes[0].deadline_ms
    assert arm.mean_ms == pytest.approx((30.0 + 3 * deadline) / 4)
    assert arm.served_ms[2] == pytest.approx(30.0, rel=0.01)
    assert arm.all_ms[2] == pytest.approx(deadline, rel=0.01)


@pytest.mark.parametrize("written", [False, True])
def test_an_adopted_request_keeps_its_arm_counts_once_and_runs_from_when_it_was_taken(written: bool) -> None:
    first = began()
    arms = {n: first.take(100.0, n).arm for n in range(20)}
    first.serve(150.0, 0)
    if written:
        first.look(200.0)
    first.kill()
    origins = {1000 + n: Origin(str(first.life), n, 100.0) for n in range(1, 20)}
    second = began("b", first.store, origins=origins)
    for n in range(1, 20):
        assert second.take(900.0, 1000 + n, adopted=True).arm == arms[n]
        if n < 10:
            second.serve(1100.0, 1000 + n)
    second.look(1200.0)
    second.look(1300.0)
    found = second.summary()
    assert found.adopted == 9
    assert found.requests == (20 if written else 9)  # what nobody wrote down nobody can know
    ours = [a for a in found.arms if not a.cls]
    assert sum(a.lost for a in ours) == (10 if written else 0) and not sum(a.open for a in ours)
    assert second.stage.book.count.adopted[0].cost_ms == 1000.0


def test_while_a_build_goes_back_and_before_the_ledger_spoke_no_arm_is_given() -> None:
    g = Gateway(MemoryStore(), "a")
    assert g.take(0.0, 1).arm == 0
    g.learn(1.0)
    assert g.take(2.0, 2).arm
    g.tell(3.0, RolloutUpdate(2, 1, Phase.ROLLING_BACK, 0.0, 0.0))
    assert g.take(4.0, 3).arm == 0
    g.tell(5.0, RolloutUpdate(2, 1, Phase.ROLLED_BACK, 0.0, 0.0))
    assert g.take(6.0, 4).arm
    g.look(10.0)
    assert (g.summary().held, g.summary().requests) == (2, 2)
    g.tell(7.0, Ended())
    assert g.take(8.0, 5).arm == 0


def test_a_gateway_of_another_version_counts_apart_and_says_so() -> None:
    a = began()
    a.look(1.0)
    b = began("b", a.store, carry_ms=700.0)
    b.look(2.0)
    for g in (a, b):
        g.take(3.0, 1)
        g.look(4.0)
    assert not a.said and len(b.said) == 1 and "is not the fleet's" in b.said[0]
    assert versions(a.stage.e, a.store.scan("placement/")) == {
        a.stage.e.digest: 1,
        b.stage.e.digest: 1,
    }
    assert a.summary().requests == b.summary().requests == 1


def harm(g: Gateway, now: float, number: int, until: int) -> None:
    for n in range(number, until):
        g.tell(now, Request(n, 0, 0, 0, now + 2000.0))
        slow = g.inner.heard[-1].arm == OTHER
        g.serve(now + (80.0 if slow else 20.0) + n % 7, n)


def test_the_guard_ends_a_harmful_arm_once_for_all_gateways() -> None:
    a = began()
    b, c = began("b", a.store), began("c", a.store)
    for g in (a, b, c):
        harm(g, 10.0, 0, 1000)
    for g in (a, b):  # both see it at the same time: one of them decides
        g.look(100.0)
    assert len([r for r in a.store.scan("placement/") if "/ended/" in r.key]) == 1
    assert any("arm 'other' is worse as measured" in line for line in a.said)
    c.learn(101.0)
    assert OTHER not in {c.take(110.0, 2000 + n).arm for n in range(50)}
    assert any("arm 'other' has ended" in line for line in c.said)
    late = began("d", a.store)
    assert OTHER not in {late.take(120.0, n).arm for n in range(50)}
    assert a.summary().ended[0][0] == "other" and "as measured" in a.summary().ended[0][1]


def test_a_gateway_that_is_cut_off_ends_an_arm_alone_and_tells_the_ledger_later() -> None:
    a = began()
    a.cut = True
    a.tell(5.0, LedgerLost("full"))
    harm(a, 10.0, 0, 1000)
    a.look(100.0)
    assert OTHER not in {a.take(110.0, 2000 + n).arm for n in range(50)}
    assert not a.store.scan("placement/")
    a.cut = False
    a.tell(120.0, LedgerBack())
    a.look(130.0)
    assert a.summary().ended[0][0] == "other" and a.summary().requests == 1000


@pytest.mark.parametrize("end", [End(requests=50), End(at=datetime.fromtimestamp(0.2, UTC))])
def test_an_experiment_ends_for_all_and_what_is_open_is_still_counted(end: End) -> None:
    a = began(end=end)
    for n in range(60):
        a.take(100.0, n)
    a.look(300.0)
    assert any("over" in line for line in a.said)
    b = began("b", a.store, end=end)
    assert b.take(400.0, 1).arm == 0
    a.serve(350.0, 7)
    a.look(500.0)
    assert sum(arm.served for arm in a.summary().arms if not arm.cls) == 1


def test_a_gateway_that_leaves_writes_what_it_has_counted_since_its_last_record() -> None:
    g = began()
    g.take(1.0, 1)
    g.look(2.0)
    g.take(3.0, 2)
    g.serve(4.0, 1)
    for action in g.stage.leave(5.0):
        g.store.commit(g.life, action.steps)
    arms = [arm for arm in g.summary().arms if not arm.cls]
    assert (sum(a.served for a in arms), sum(a.open for a in arms)) == (1, 1)


def test_a_write_of_unknown_fate_is_not_written_twice_over() -> None:
    a = began()
    a.take(1.0, 1)
    for action in a.stage.handle(2.0, Timer(4)):
        if isinstance(action, Commit):  # carried out, but the answer was lost
            a.store.commit(a.life, action.steps)
            a.tell(3.0, Committed(action.ticket, (Done(How.UNKNOWN),), action.owner))
    a.take(4.0, 2)
    a.look(5.0)
    a.look(6.0)
    assert a.summary().requests == 2


def test_bins_reach_the_ledger_once_each_also_after_it_was_lost() -> None:
    a = began(carry_ms=50.0)  # bins of 10 ms
    for n in range(100):
        a.cut = 20 <= n < 80
        if n in (20, 80):
            a.tell(10.0 * n, LedgerLost("full") if a.cut else LedgerBack())
        a.take(10.0 * n, n)
        a.serve(10.0 * n + 4.0, n)
        a.look(10.0 * n + 5.0)
    written = [read_segment(r.value) for r in a.store.scan(a.stage.e.key("bins/"))]
    numbers = [b.number for s in written if s is not None for b in s.bins]
    assert numbers == list(range(96)) and not a.stage.unwritten
    assert all(s is not None and s.life == "a.1" for s in written)
    seen = [b.cost[0] for s in written if s is not None for b in s.bins]
    assert seen == pytest.approx([4.0] * 96)


def test_a_switchback_gives_whole_blocks_to_arms_and_leaves_out_their_beginnings() -> None:
    a = began(unit="time", block_ms=1000.0, settle_ms=400.0)
    arms: dict[int, set[int]] = {}
    for n in range(200):
        now = 100.0 * n
        arms.setdefault(n // 10, set()).add(a.take(now, n).arm)
        a.serve(now + 30.0, n)
    a.look(20_000.0)
    assert all(len(found) == 1 for found in arms.values())
    assert {min(found) for found in arms.values()} == {1, 2}
    assert [b.n for b in a.stage.book.blocks.values()] == [6] * 20
    assert a.summary().requests == 200 and not a.stage.bins.bins


def test_who_adopts_a_request_that_was_in_no_arm_does_not_count_it() -> None:
    a = began()
    a.tell(1.0, RolloutUpdate(2, 1, Phase.ROLLING_BACK, 0.0, 0.0))
    assert a.take(2.0, 1).arm == 0
    a.look(3.0)
    a.kill()
    b = began("b", a.store, origins={7: Origin(str(a.life), 1, 2.0)})
    b.take(10.0, 7, adopted=True)
    b.serve(20.0, 7)
    b.look(30.0)
    assert (b.summary().requests, b.summary().held) == (0, 1)


def test_one_living_gateway_judges_for_all_and_another_when_it_is_gone() -> None:
    store = MemoryStore()
    fleet = [began(name, store) for name in "abcde"]
    for g in fleet:
        g.learn(1.0)
    judges = [g for g in fleet if g.stage.judges]
    assert len(judges) == 1 and judges[0].stage.e.key("bins/") in judges[0].stage.watches()
    others = [g for g in fleet if g is not judges[0]]
    for g in others:  # what all saw is judged once: many who look would raise many false alarms
        harm(g, 10.0, 0, 1000)
        g.look(100.0)
    assert not any("worse" in line for g in others for line in g.said)
    assert all(not any("count/" in key for key in g.stage.watches()) for g in others)
    store.commit(others[0].life, [Step((Seal(judges[0].life, 0),))])
    for g in others:
        g.learn(2.0)
    assert sum(g.stage.judges for g in others) == 1
    for g in others:
        g.look(110.0)
    assert sum(any("worse" in line for line in g.said) for g in others) == 1


def test_what_comes_after_an_arm_ended_is_not_held_against_it() -> None:
    arms = (Arm("now", "own", 0.4), Arm("bad", "round", 0.3), Arm("good", "least", 0.3))
    a = began(arms=arms, carry_ms=50.0)
    for n in range(6000):
        now = 2.0 * n
        bad = a.take(now, n).arm == a.stage.labels[1]
        a.serve(now + (80.0 if bad else 20.0), n)
        if n % 100 == 99:
            a.look(now + 1.0)
    a.learn(20_000.0)
    found = {c.arm: c.mixed for c in a.summary().comparisons if not c.cls}
    assert a.summary().ended[0][0] == "bad" and not a.stage.over
    assert found["good"].low < 0 < found["good"].high and found["good"].n > 2000
    assert found["bad"].n < 2000 and found["bad"].low < 60 < found["bad"].high
