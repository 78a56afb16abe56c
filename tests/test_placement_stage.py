"""Tests of the placement stage: labels, counters, records in the ledger, and crashes of gateways."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime

import pytest

from meadowpulley.interface import (
    ClientDisconnected,
    Fail,
    Outcome,
    Phase,
    ProbeResult,
    Reject,
    Result,
    RolloutUpdate,
    Timer,
)
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    Fence,
    Fenced,
    LedgerRecovered,
    LedgerUnavailable,
    MemoryStore,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.placement import (
    Arm,
    EndCondition,
    RequestOrigin,
    incarnations_by_version,
)
from meadowpulley.placement.time_bins import decode_segment
from tests.placement_harness import OTHER_LABEL, SETTINGS, StageHarness, serve_slow_arm, started


def test_requests_are_labelled_and_other_events_are_passed_on() -> None:
    gateway = started()
    arms = Counter(gateway.accept(1.0, n).arm for n in range(400))
    assert set(arms) == {1, 2}
    assert min(arms.values()) > 150
    for event in (Timer(1), ProbeResult(1, Result.OK, 1.0), LedgerUnavailable("gone"), LedgerRecovered()):
        gateway.deliver(2.0, event)
        assert gateway.inner.events[-1] == event
    event_count = len(gateway.inner.events)
    gateway.check(3.0)
    assert len(gateway.inner.events) == event_count  # the stage does not pass on its own timer


def test_every_ending_is_counted_and_unserved_requests_cost_their_deadline() -> None:
    gateway = started(arms=(Arm("now", "own", 0.999), Arm("other", "own", 0.001)))
    for n in range(5):
        gateway.accept(0.0, n)
    gateway.serve(30.0, 0)
    gateway.inner.next_actions = [Reject(1, 100.0)]
    gateway.deliver(31.0, Timer(1))
    gateway.inner.next_actions = [Fail(2)]
    gateway.deliver(32.0, Outcome(2, 0, 1, Result.RESET, 32.0, False))
    gateway.deliver(33.0, ClientDisconnected(3))
    gateway.serve(40.0, 0)  # a second outcome of a request is not counted
    gateway.check(50.0)
    arm = gateway.summary().arms[0]
    counts = (arm.served, arm.rejected, arm.failed, arm.disconnected, arm.still_open, arm.requests)
    assert counts == (1, 1, 1, 1, 1, 5)
    deadline = SETTINGS.classes[0].deadline_ms
    assert arm.mean_ms == pytest.approx((30.0 + 3 * deadline) / 4)
    assert arm.served_quantiles_ms[2] == pytest.approx(30.0, rel=0.01)
    assert arm.completion_quantiles_ms[2] == pytest.approx(deadline, rel=0.01)


@pytest.mark.parametrize("written", [False, True])
def test_an_adopted_request_keeps_its_arm_and_start_and_counts_once(written: bool) -> None:
    first = started()
    arms = {n: first.accept(100.0, n).arm for n in range(20)}
    first.serve(150.0, 0)
    if written:
        first.check(200.0)
    first.kill()
    origins = {1000 + n: RequestOrigin(str(first.incarnation), n, 100.0) for n in range(1, 20)}
    second = started("b", first.store, origins=origins)
    for n in range(1, 20):
        assert second.accept(900.0, 1000 + n, adopted=True).arm == arms[n]
        if n < 10:
            second.serve(1100.0, 1000 + n)
    second.check(1200.0)
    second.check(1300.0)
    found = second.summary()
    assert found.adopted == 9
    assert found.requests == (
        20 if written else 9
    )  # requests that were never written are not counted, unless they were adopted and ended
    arm_results = [a for a in found.arms if not a.class_name]
    assert sum(a.lost for a in arm_results) == (10 if written else 0)
    assert not sum(a.still_open for a in arm_results)
    assert second.stage.tracker.counters.record.adopted_completions[0].cost_ms == 1000.0


def test_no_arm_is_assigned_during_a_rollback_or_before_the_ledger_is_read() -> None:
    gateway = StageHarness(MemoryStore(), "a")
    assert gateway.accept(0.0, 1).arm == 0
    gateway.observe_ledger(1.0)
    assert gateway.accept(2.0, 2).arm
    gateway.deliver(3.0, RolloutUpdate(2, 1, Phase.ROLLING_BACK, 0.0, 0.0))
    assert gateway.accept(4.0, 3).arm == 0
    gateway.deliver(5.0, RolloutUpdate(2, 1, Phase.ROLLED_BACK, 0.0, 0.0))
    assert gateway.accept(6.0, 4).arm
    gateway.check(10.0)
    assert (gateway.summary().withheld, gateway.summary().requests) == (2, 2)
    gateway.deliver(7.0, Fenced())
    assert gateway.accept(8.0, 5).arm == 0


def test_a_gateway_of_another_version_counts_apart_and_logs_it() -> None:
    a = started()
    a.check(1.0)
    b = started("b", a.store, carry_ms=700.0)
    b.check(2.0)
    for gateway in (a, b):
        gateway.accept(3.0, 1)
        gateway.check(4.0)
    assert not a.log_lines
    assert len(b.log_lines) == 1
    assert "is not the fleet's" in b.log_lines[0]
    assert incarnations_by_version(a.stage.experiment, a.store.scan("placement/")) == {
        a.stage.experiment.digest: 1,
        b.stage.experiment.digest: 1,
    }
    assert a.summary().requests == b.summary().requests == 1


def test_the_guard_ends_a_harmful_arm_once_for_all_gateways() -> None:
    a = started()
    b, c = started("b", a.store), started("c", a.store)
    for gateway in (a, b, c):
        serve_slow_arm(gateway, 10.0, 0, 1000)
    for gateway in (a, b):  # if both detect it at the same time, one of them decides
        gateway.check(100.0)
    assert len([r for r in a.store.scan("placement/") if "/ended/" in r.key]) == 1
    assert any("arm 'other' is worse as measured" in line for line in a.log_lines)
    c.observe_ledger(101.0)
    assert OTHER_LABEL not in {c.accept(110.0, 2000 + n).arm for n in range(50)}
    assert any("arm 'other' has ended" in line for line in c.log_lines)
    late = started("d", a.store)
    assert OTHER_LABEL not in {late.accept(120.0, n).arm for n in range(50)}
    assert a.summary().ended_arms[0][0] == "other"
    assert "as measured" in a.summary().ended_arms[0][1]


def test_a_disconnected_gateway_ends_an_arm_alone_and_records_it_later() -> None:
    a = started()
    a.disconnected = True
    a.deliver(5.0, LedgerUnavailable("full"))
    serve_slow_arm(a, 10.0, 0, 1000)
    a.check(100.0)
    assert OTHER_LABEL not in {a.accept(110.0, 2000 + n).arm for n in range(50)}
    assert not a.store.scan("placement/")
    a.disconnected = False
    a.deliver(120.0, LedgerRecovered())
    a.check(130.0)
    assert a.summary().ended_arms[0][0] == "other"
    assert a.summary().requests == 1000


@pytest.mark.parametrize(
    "end", [EndCondition(requests=50), EndCondition(at=datetime.fromtimestamp(0.2, UTC))]
)
def test_an_experiment_ends_for_all_and_open_requests_still_count(end: EndCondition) -> None:
    a = started(end=end)
    for n in range(60):
        a.accept(100.0, n)
    a.check(300.0)
    assert any("over" in line for line in a.log_lines)
    b = started("b", a.store, end=end)
    assert b.accept(400.0, 1).arm == 0
    a.serve(350.0, 7)
    a.check(500.0)
    assert sum(arm.served for arm in a.summary().arms if not arm.class_name) == 1


def test_a_graceful_shutdown_writes_the_latest_counters() -> None:
    gateway = started()
    gateway.accept(1.0, 1)
    gateway.check(2.0)
    gateway.accept(3.0, 2)
    gateway.serve(4.0, 1)
    for action in gateway.stage.shut_down(5.0):
        assert isinstance(action, Commit)
        gateway.store.commit(gateway.incarnation, action.transactions)
    arms = [arm for arm in gateway.summary().arms if not arm.class_name]
    assert (sum(a.served for a in arms), sum(a.still_open for a in arms)) == (1, 1)


def test_a_write_with_a_lost_result_is_not_counted_twice() -> None:
    a = started()
    a.accept(1.0, 1)
    for action in a.stage.handle(2.0, Timer(4)):
        if isinstance(action, Commit):  # the write is committed, but its result is lost
            a.store.commit(a.incarnation, action.transactions)
            a.deliver(
                3.0,
                CommitCompleted(
                    action.ticket, (TransactionResult(TransactionOutcome.UNKNOWN),), action.owner
                ),
            )
    a.accept(4.0, 2)
    a.check(5.0)
    a.check(6.0)
    assert a.summary().requests == 2


def test_each_bin_reaches_the_ledger_once_also_after_an_outage() -> None:
    a = started(carry_ms=50.0)  # bins are 10 ms long
    for n in range(100):
        a.disconnected = 20 <= n < 80
        if n in (20, 80):
            a.deliver(10.0 * n, LedgerUnavailable("full") if a.disconnected else LedgerRecovered())
        a.accept(10.0 * n, n)
        a.serve(10.0 * n + 4.0, n)
        a.check(10.0 * n + 5.0)
    written = [decode_segment(r.value) for r in a.store.scan(a.stage.experiment.record_key("bins/"))]
    numbers = [b.number for s in written if s is not None for b in s.bins]
    assert numbers == list(range(96))
    assert not a.stage.writer.unwritten_segments
    assert all(s is not None and s.incarnation == "a.1" for s in written)
    seen = [b.cost_ms[0] for s in written if s is not None for b in s.bins]
    assert seen == pytest.approx([4.0] * 96)


def test_a_switchback_assigns_whole_blocks_and_omits_their_settling_time() -> None:
    a = started(unit="time", block_ms=1000.0, settle_ms=400.0)
    arms: dict[int, set[int]] = {}
    for n in range(200):
        now = 100.0 * n
        arms.setdefault(n // 10, set()).add(a.accept(now, n).arm)
        a.serve(now + 30.0, n)
    a.check(20_000.0)
    assert all(len(found) == 1 for found in arms.values())
    assert {min(found) for found in arms.values()} == {1, 2}
    assert [b.count for b in a.stage.tracker.counters.blocks.values()] == [6] * 20
    assert a.summary().requests == 200
    assert not a.stage.tracker.bin_recorder.bins


def test_an_adopted_request_that_was_in_no_arm_is_not_counted() -> None:
    a = started()
    a.deliver(1.0, RolloutUpdate(2, 1, Phase.ROLLING_BACK, 0.0, 0.0))
    assert a.accept(2.0, 1).arm == 0
    a.check(3.0)
    a.kill()
    b = started("b", a.store, origins={7: RequestOrigin(str(a.incarnation), 1, 2.0)})
    b.accept(10.0, 7, adopted=True)
    b.serve(20.0, 7)
    b.check(30.0)
    assert (b.summary().requests, b.summary().withheld) == (0, 1)


def test_one_live_gateway_evaluates_and_another_takes_over() -> None:
    store = MemoryStore()
    fleet = [started(name, store) for name in "abcde"]
    for gateway in fleet:
        gateway.observe_ledger(1.0)
    evaluators = [gateway for gateway in fleet if gateway.stage.is_evaluator]
    assert len(evaluators) == 1
    assert evaluators[0].stage.experiment.record_key("bins/") in evaluators[0].stage.watched_prefixes()
    others = [gateway for gateway in fleet if gateway is not evaluators[0]]
    for gateway in others:  # others must not evaluate: their false alarms would add up
        serve_slow_arm(gateway, 10.0, 0, 1000)
        gateway.check(100.0)
    assert not any("worse" in line for gateway in others for line in gateway.log_lines)
    assert all(not any("count/" in key for key in gateway.stage.watched_prefixes()) for gateway in others)
    store.commit(others[0].incarnation, [Transaction((Fence(evaluators[0].incarnation, 0),))])
    for gateway in others:
        gateway.observe_ledger(2.0)
    assert sum(gateway.stage.is_evaluator for gateway in others) == 1
    for gateway in others:
        gateway.check(110.0)
    assert sum(any("worse" in line for line in gateway.log_lines) for gateway in others) == 1


def test_requests_after_an_arms_end_are_not_compared() -> None:
    arms = (Arm("now", "own", 0.4), Arm("bad", "round", 0.3), Arm("good", "least", 0.3))
    a = started(arms=arms, carry_ms=50.0)
    for n in range(6000):
        now = 2.0 * n
        bad = a.accept(now, n).arm == a.stage.tracker.labels[1]
        a.serve(now + (80.0 if bad else 20.0), n)
        if n % 100 == 99:
            a.check(now + 1.0)
    a.observe_ledger(20_000.0)
    found = {c.arm: c.mixed for c in a.summary().comparisons if not c.class_name}
    assert a.summary().ended_arms[0][0] == "bad"
    assert not a.stage.finished
    assert found["good"].low < 0 < found["good"].high
    assert found["good"].sample_size > 2000
    assert found["bad"].sample_size < 2000
    assert found["bad"].low < 60 < found["bad"].high
