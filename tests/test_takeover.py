"""Journaled requests when their gateway is lost: what is executed, who adopts it, what clients get."""

from __future__ import annotations

from functools import partial
from random import Random

import pytest

from meadowpulley.interface import Result, Send
from meadowpulley.ledger import (
    Commit,
    Create,
    Transaction,
)
from meadowpulley.takeover import Deliver, JournalScope, ShutdownNotice, records
from tests.takeover_fleet import LEASE_TERM_MS, ORDER, PAY, READ, Fleet, Gateway, LedgerFault, interrupt_at

SERVED_ONCE = ["200 run 1"]


def test_request_grant_and_response_are_journaled_before_each_is_sent() -> None:
    fleet = Fleet()
    actions: list[tuple[str, list[str], int]] = []
    fleet["a"].before_action = lambda a: actions.append(
        (type(a).__name__, fleet.record_keys(), sum(fleet.executions.values()))
    )
    fleet["a"].submit("n", PAY)
    fleet.advance(100)
    by_type = {name: (records, ran) for name, records, ran in actions if name in ("Send", "Deliver")}
    assert by_type["Send"] == (["takeover/content/n", "takeover/work/n"], 0)
    assert by_type["Deliver"] == (["takeover/answer/n", "takeover/work/n"], 1)
    assert fleet.transaction_counts["takeover"] == 2  # one with the grant, one with the response


DUPLICATE_CASES: list[tuple[str, float, str, bytes, list[str]]] = [
    ("in flight here", 10, "a", b"b", SERVED_ONCE * 2),
    ("in flight elsewhere", 10, "b", b"b", SERVED_ONCE * 2),
    ("served here", 100, "a", b"b", SERVED_ONCE * 2),
    ("served elsewhere", 100, "c", b"b", SERVED_ONCE * 2),
    ("another body, in flight elsewhere", 10, "b", b"x", ["200 run 1", "Fail"]),
    ("another body, in flight here", 10, "a", b"x", ["200 run 1", "Fail"]),
    ("another body, served", 100, "b", b"x", ["200 run 1", "Fail"]),
]


@pytest.mark.parametrize(
    ("after_ms", "gateway", "body", "responses"),
    [c[1:] for c in DUPLICATE_CASES],
    ids=[c[0] for c in DUPLICATE_CASES],
)
def test_a_duplicate_request_gets_the_originals_response_and_executes_nothing(
    after_ms: float, gateway: str, body: bytes, responses: list[str]
) -> None:
    fleet = Fleet()
    fleet["a"].submit("n", PAY)
    fleet.advance(after_ms)
    fleet[gateway].submit("n", PAY, body)
    fleet.advance(500)
    assert (sorted(fleet.responses("n")), fleet.executions["n"]) == (sorted(responses), 1)


def test_simultaneous_duplicates_at_three_gateways_execute_once() -> None:
    fleet = Fleet()
    for gateway in "abc":
        fleet[gateway].submit("n", PAY)
    fleet.advance(500)
    assert (fleet.responses("n"), fleet.executions["n"]) == (SERVED_ONCE * 3, 1)


@pytest.mark.parametrize(("known", "responses"), [(True, SERVED_ONCE * 2), (False, ["Reject"])])
def test_a_request_rejected_at_once_is_looked_up_and_not_journaled(known: bool, responses: list[str]) -> None:
    fleet = Fleet()
    if known:
        fleet["b"].submit("n", PAY)
        fleet.advance(10)
    fleet["a"].decisions.rejects = True
    fleet["a"].submit("n", PAY)
    fleet.advance(200)
    assert (fleet.responses("n"), fleet.executions["n"], len(fleet.record_keys())) == (
        responses,
        int(known),
        2 * known,
    )


def test_a_rejected_request_never_executed_and_may_be_sent_again() -> None:
    fleet = Fleet()
    fleet.results = [Result.REJECTED] * 3 + [Result.OK]
    fleet["a"].submit("n", PAY)
    fleet.advance(200)
    fleet["b"].submit("n", PAY)
    fleet.advance(200)
    assert (fleet.responses("n"), fleet.executions["n"]) == (["Reject", "200 run 1"], 1)


# Class; results of the first attempts; where a crashes: before its n-th action of a type, with its attempt
# outstanding, or with no server chosen; what clients get that repeat the request at b and c; the number of
# executions; and for each adoption the attempts so far, and how many of them may have been executed.
OK, REJECTED = Result.OK, Result.REJECTED
LOSS_CASES: dict[str, tuple[int, list[Result], tuple[type, int] | str, str, int, list[tuple[int, int]]]] = {
    "not idempotent, no grant": (PAY, [OK], "no server", "200 run 1", 1, [(0, 0)]),
    "not idempotent, granted, not sent": (PAY, [OK], (Send, 0), "Fail", 0, []),
    "not idempotent, sent": (PAY, [OK], "outstanding", "Fail", 1, []),
    "not idempotent, one not executed, the next granted": (PAY, [REJECTED, OK], (Send, 1), "Fail", 0, []),
    "not idempotent, response not recorded": (PAY, [OK], (Commit, 1), "Fail", 1, []),
    "not idempotent, response recorded, not delivered": (PAY, [OK], (Deliver, 0), "200 run 1", 1, []),
    "idempotent, granted, not sent": (READ, [OK], (Send, 0), "200 run 1", 1, [(1, 1)]),
    "idempotent, sent": (READ, [OK], "outstanding", "200 run 2", 2, [(1, 1)]),
    "with key, sent, in its window": (ORDER, [OK], "outstanding", "200 run 2", 2, [(1, 1)]),
    "with key, one not executed, the next sent": (
        ORDER,
        [REJECTED, OK],
        "outstanding",
        "200 run 2",
        2,
        [(2, 1)],
    ),
    "idempotent, one reset, the next sent": (
        READ,
        [Result.RESET, OK],
        "outstanding",
        "200 run 3",
        3,
        [(2, 2)],
    ),
    "with key, no grant": (ORDER, [OK], "no server", "200 run 1", 1, [(0, 0)]),
}


@pytest.mark.parametrize(
    ("class_index", "results", "crash_point", "response", "executions", "prior_attempts"),
    LOSS_CASES.values(),
    ids=LOSS_CASES,
)
def test_an_adopter_repeats_only_what_the_record_allows(
    class_index: int,
    results: list[Result],
    crash_point: tuple[type, int] | str,
    response: str,
    executions: int,
    prior_attempts: list[tuple[int, int]],
) -> None:
    fleet = Fleet()
    fleet.results, fleet.execution_ms = list(results), 30.0
    if isinstance(crash_point, tuple):
        interrupt_at(fleet, crash_point[0], crash_point[1], partial(fleet.kill, "a"))
    fleet["a"].decisions.has_no_server = crash_point == "no server"
    fleet["a"].submit("n", class_index)
    fleet.advance(45 if len(results) > 1 and crash_point == "outstanding" else 20)
    if isinstance(crash_point, str):
        fleet.kill("a")
    fleet.advance(100)
    assert not fleet["a"].running
    for gateway in "bc":
        fleet[gateway].submit("n", class_index)
    fleet.advance(3500)
    assert (fleet.responses("n"), fleet.executions["n"]) == ([response] * 2, executions)
    adopted = [r for name in "bc" for r in fleet[name].decisions.received if r.adopted]
    assert [(r.prior_attempt_count, len(r.prior_attempts)) for r in adopted] == prior_attempts
    assert all(t.build == 7 and t.server == 1 for r in adopted for t in r.prior_attempts)


def test_an_idempotent_request_is_not_repeated_outside_its_window() -> None:
    fleet = Fleet(claim_stagger_ms=100.0)
    fleet["a"].submit("n", ORDER, remaining_ms=8000.0)
    fleet.execution_ms = 9000.0
    fleet.advance(2600)  # the adoption comes a lease term later or more: over 3500 ms after the first attempt
    fleet.kill("a")
    fleet["b"].submit("n", ORDER, remaining_ms=6000.0)
    fleet.advance(5000)
    assert (fleet.responses("n"), fleet.executions["n"], len(fleet.adopted)) == (["Fail"], 1, 1)


@pytest.mark.parametrize("grant_timeout_ms", [100.0, 1e6])
def test_a_gateway_paused_between_grant_and_send_sends_nothing(grant_timeout_ms: float) -> None:
    fleet = Fleet(grant_timeout_ms=grant_timeout_ms)
    fleet["a"].submit("n", PAY)
    fleet.advance(0.5)
    fleet["a"].paused = True  # the grant is committed by then, and a has not seen the result
    fleet["b"].submit("n", PAY)
    fleet.advance(3 * LEASE_TERM_MS)
    assert fleet.responses("n") == ["Fail"]
    fleet["a"].resume()
    fleet.advance(LEASE_TERM_MS)
    assert (fleet.responses("n"), fleet.executions["n"]) == (["Fail"] * 2, 0)


@pytest.mark.parametrize(("class_index", "executions"), [(PAY, 1), (READ, 2)])
def test_only_a_send_already_past_the_last_check_can_go_out_late(class_index: int, executions: int) -> None:
    fleet = Fleet()

    # after the last check, before the first byte
    interrupt_at(fleet, Send, 0, partial(setattr, fleet["a"], "paused", True))
    fleet["a"].submit("n", class_index)
    fleet["b"].submit("n", class_index)
    fleet.advance(3 * LEASE_TERM_MS)
    fleet["a"].resume()
    fleet.advance(LEASE_TERM_MS)
    # At most once by each owner, and by one owner alone if it is not idempotent.
    assert fleet.executions["n"] == executions


def test_a_graceful_shutdown_releases_waiting_requests_at_once_and_the_rest_before_the_kill() -> None:
    fleet = Fleet()
    fleet["a"].decisions.has_no_server = True
    fleet["a"].submit("n", PAY)
    fleet["a"].decisions.has_no_server = False
    fleet.execution_ms = 2000.0
    fleet["a"].submit("m", READ)
    fleet.advance(10)
    fleet.execution_ms = 30.0
    fleet["a"].dispatch(ShutdownNotice(500.0))
    fleet.advance(150)
    assert (fleet.responses("n"), fleet.executions["n"]) == (SERVED_ONCE, 1)
    assert fleet.executions["m"] == 1
    fleet.advance(250)
    assert (fleet.responses("m"), fleet.executions["m"]) == (["200 run 2"], 2)


def test_cached_responses_are_bounded_in_time_and_bytes() -> None:
    fleet = Fleet(response_retention_ms=1000.0, response_cache_bytes=8)
    for request_id in ("n", "m"):
        fleet["a"].submit(request_id, PAY)
        fleet.advance(100)
    assert fleet.record_keys() == ["takeover/answer/m", "takeover/work/m", "takeover/work/n"]
    fleet["b"].submit("n", PAY)
    fleet.advance(100)
    assert (fleet["b"].responses["n"], fleet.executions["n"]) == (["Fail"], 1)
    fleet.advance(1100)
    assert fleet.record_keys() == []


def test_the_record_of_an_oversized_response_is_removed_after_an_unconfirmed_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(records, "MAX_BODY_BYTES", len("run 1") - 1)
    fleet = Fleet(response_retention_ms=1000.0)
    fleet["a"].submit("n", PAY)
    fleet.advance(20)
    fleet["a"].ledger_fault = LedgerFault.UNCONFIRMED
    fleet.advance(50)
    fleet["a"].ledger_fault = LedgerFault.NONE
    fleet.advance(200)
    assert (fleet.responses("n"), fleet.record_keys()) == (SERVED_ONCE, ["takeover/work/n"])
    fleet.advance(1500)
    assert fleet.record_keys() == []


def test_records_of_an_ended_incarnation_are_removed_by_a_later_one() -> None:
    fleet = Fleet(response_retention_ms=1000.0)
    fleet["a"].submit("n", PAY)
    fleet.advance(100)
    fleet.kill("a")
    fleet.advance(3000)
    assert len(fleet.record_keys()) == 2
    fleet.gateways["d"] = Gateway(fleet, "d")
    fleet.advance(1500)
    assert fleet.record_keys() == []


@pytest.mark.parametrize(
    ("scope", "record_count"), [(JournalScope.NONE, 0), (JournalScope.UNREPEATABLE, 4), (JournalScope.ALL, 6)]
)
def test_which_classes_are_journaled_is_a_setting(scope: JournalScope, record_count: int) -> None:
    fleet = Fleet(journal_scope=scope)
    for class_index in (READ, ORDER, PAY):
        fleet["a"].submit(f"n{class_index}", class_index)
    fleet.advance(100)
    assert (len(fleet.record_keys()), fleet.executions.total()) == (record_count, 3)


def test_an_unreadable_record_is_logged_and_left_alone() -> None:
    fleet = Fleet()
    fleet.store.commit(fleet["c"].incarnation, [Transaction((Create("takeover/work/n", b"\x81junk"),))])
    fleet.advance(50)
    assert any("left alone" in line for line in fleet["a"].log_lines)
    fleet["a"].submit("n", PAY)
    fleet.advance(100)
    assert (fleet.responses("n"), fleet.executions["n"]) == (["Fail"], 0)
    assert fleet.store.read("takeover/work/n").value == b"\x81junk"  # type: ignore[union-attr]


@pytest.mark.parametrize("seed", range(40))
def test_random_faults_never_execute_twice_and_every_request_is_answered(seed: int) -> None:
    rng, fleet = Random(seed), Fleet("abcd")
    fleet.execution_ms = rng.choice([10.0, 50.0, 300.0, 1500.0])
    submitted: list[tuple[Gateway, int]] = []
    class_by_id = {f"n{n}": rng.randrange(3) for n in range(12)}
    until_ms = fleet.now + 8000.0
    while fleet.now < until_ms:
        fleet.advance(rng.expovariate(1 / 40.0))
        running = [g for g in fleet.gateways.values() if g.running]
        g, chance, request_id = rng.choice(running), rng.random(), rng.choice(list(class_by_id))
        if chance < 0.6:
            class_index = class_by_id[request_id]
            served_unjournaled = g.stage.journal.fenced and class_index == READ
            if not (g.paused or served_unjournaled):
                remaining_ms = rng.choice([500.0, 2000.0, 4000.0])
                submitted.append((g, g.submit(request_id, class_index, remaining_ms=remaining_ms)))
        elif chance < 0.63 and len(running) > 1:
            fleet.kill(g.name)
        elif chance < 0.68 and len(running) > 1 and not g.paused:
            action_type, pause_ms = rng.choice([Send, Deliver, Commit]), rng.choice([100.0, 700.0, 3000.0])
            interrupt_at(fleet, action_type, 0, partial(fleet.pause, g.name, pause_ms), g.name)
        elif chance < 0.72:
            g.ledger_fault = rng.choice([LedgerFault.UNREACHABLE, LedgerFault.UNCONFIRMED, LedgerFault.SLOW])
            fleet.call_at(
                fleet.now + rng.choice([100.0, 600.0, 2500.0]),
                partial(setattr, g, "ledger_fault", LedgerFault.NONE),
            )
        elif chance < 0.77:
            fleet.results = [rng.choice(list(Result)) for _ in range(rng.randrange(6))] + [Result.OK]
        elif chance < 0.78 and len(running) > 2 and not g.paused:
            g.dispatch(ShutdownNotice(800.0))
            fleet.call_at(fleet.now + 800.0, partial(fleet.kill, g.name))
    fleet.advance(12_000)
    assert not [n for n, cls in class_by_id.items() if cls == PAY and fleet.executions[n] > 1]
    assert not [(g.name, request) for g, request in submitted if g.running and request not in g.finished]
    for g in [g for g in fleet.gateways.values() if g.running and not g.stage.journal.fenced]:
        unfinished = (
            g.stage.journal.by_id,
            g.stage.journal.by_request,
            g.stage.orphans.pending_claims.by_id,
            g.stage.waiters.by_id,
        )
        assert unfinished == ({}, {}, {}, {}) and g.stage.view.open_requests == {}
