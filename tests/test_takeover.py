"""Journaled requests whose gateway is lost: executions, adoptions and the responses that clients get."""

from __future__ import annotations

from functools import partial

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
    found: dict[type, tuple[list[str], int]] = {}  # record keys and executions before each type of action

    def before_action(action: object) -> None:
        found[type(action)] = (fleet.record_keys(), fleet.executions.total())

    fleet["a"].before_action = before_action
    fleet["a"].submit("n", PAY)
    fleet.advance(100)
    assert found[Send] == (["takeover/content/n", "takeover/work/n"], 0)
    assert found[Deliver] == (["takeover/answer/n", "takeover/work/n"], 1)
    assert fleet.transaction_counts["takeover"] == 2  # one transaction with the grant, one with the response


# Delay in ms until a duplicate is sent, its gateway and its body; the responses to both clients.
DUPLICATE_CASES: dict[str, tuple[float, str, bytes, list[str]]] = {
    "in flight here": (10, "a", b"b", SERVED_ONCE * 2),
    "in flight elsewhere": (10, "b", b"b", SERVED_ONCE * 2),
    "served here": (100, "a", b"b", SERVED_ONCE * 2),
    "served elsewhere": (100, "c", b"b", SERVED_ONCE * 2),
    "different body, in flight elsewhere": (10, "b", b"x", ["200 run 1", "Fail"]),
    "different body, in flight here": (10, "a", b"x", ["200 run 1", "Fail"]),
    "different body, served": (100, "b", b"x", ["200 run 1", "Fail"]),
}


@pytest.mark.parametrize(
    ("after_ms", "gateway", "body", "responses"), DUPLICATE_CASES.values(), ids=DUPLICATE_CASES
)
def test_a_duplicate_request_gets_the_originals_response_and_executes_nothing(
    after_ms: float, gateway: str, body: bytes, responses: list[str]
) -> None:
    fleet = Fleet()
    fleet["a"].submit("n", PAY)
    fleet.advance(after_ms)
    fleet[gateway].submit("n", PAY, body)
    fleet.advance(500)
    assert sorted(fleet.responses("n")) == sorted(responses)
    assert fleet.executions["n"] == 1


def test_simultaneous_duplicates_at_three_gateways_execute_once() -> None:
    fleet = Fleet()
    for gateway in "abc":
        fleet[gateway].submit("n", PAY)
    fleet.advance(500)
    assert fleet.responses("n") == SERVED_ONCE * 3
    assert fleet.executions["n"] == 1


@pytest.mark.parametrize(
    ("known", "responses"),
    [(True, SERVED_ONCE * 2), (False, ["Reject"])],
    ids=["known elsewhere", "unknown"],
)
def test_a_request_rejected_at_once_is_looked_up_and_not_journaled(known: bool, responses: list[str]) -> None:
    fleet = Fleet()
    if known:
        fleet["b"].submit("n", PAY)
        fleet.advance(10)
    fleet["a"].decisions.rejects = True
    fleet["a"].submit("n", PAY)
    fleet.advance(200)
    assert fleet.responses("n") == responses
    assert fleet.executions["n"] == int(known)
    assert len(fleet.record_keys()) == 2 * known


def test_a_rejected_request_never_executed_and_may_be_sent_again() -> None:
    fleet = Fleet()
    fleet.results = [Result.REJECTED] * 3 + [Result.OK]
    fleet["a"].submit("n", PAY)
    fleet.advance(200)
    fleet["b"].submit("n", PAY)
    fleet.advance(200)
    assert fleet.responses("n") == ["Reject", "200 run 1"]
    assert fleet.executions["n"] == 1


# Request class; results of the first attempts; point at which gateway a crashes (before an action of a type,
# counted from 0, while its attempt is outstanding, or before a server was chosen); response to the clients
# that repeat the request at b and c; number of executions; and for each adoption, the number of earlier
# attempts and how many of them may have been executed.
OK = Result.OK
REJECTED = Result.REJECTED
LOSS_CASES: dict[str, tuple[int, list[Result], tuple[type, int] | str, str, int, list[tuple[int, int]]]] = {
    "not idempotent, no grant": (PAY, [OK], "no server", "200 run 1", 1, [(0, 0)]),
    "not idempotent, granted, not sent": (PAY, [OK], (Send, 0), "Fail", 0, []),
    "not idempotent, sent": (PAY, [OK], "outstanding", "Fail", 1, []),
    "not idempotent, one not executed, second granted": (PAY, [REJECTED, OK], (Send, 1), "Fail", 0, []),
    "not idempotent, response not recorded": (PAY, [OK], (Commit, 1), "Fail", 1, []),
    "not idempotent, response recorded, not delivered": (PAY, [OK], (Deliver, 0), "200 run 1", 1, []),
    "idempotent, granted, not sent": (READ, [OK], (Send, 0), "200 run 1", 1, [(1, 1)]),
    "idempotent, sent": (READ, [OK], "outstanding", "200 run 2", 2, [(1, 1)]),
    "with key, sent, inside its deduplication window": (ORDER, [OK], "outstanding", "200 run 2", 2, [(1, 1)]),
    "with key, first attempt not executed, second sent": (
        ORDER,
        [REJECTED, OK],
        "outstanding",
        "200 run 2",
        2,
        [(2, 1)],
    ),
    "idempotent, first attempt reset, second sent": (
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
    """Gateway a is killed at some step of processing a request; clients repeat the request at b and c.

    Whether another gateway may execute the request again depends on its class and its recorded grants.
    """
    fleet = Fleet()
    fleet.results = list(results)
    fleet.execution_ms = 30.0
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
    assert fleet.responses("n") == [response] * 2
    assert fleet.executions["n"] == executions
    adopted = fleet.adopted_requests()
    found = [(request.prior_attempt_count, len(request.prior_attempts)) for request in adopted]
    assert found == prior_attempts
    for request in adopted:
        assert all(prior.build == 7 for prior in request.prior_attempts)
        assert all(prior.server == 1 for prior in request.prior_attempts)


def test_a_keyed_request_is_not_repeated_outside_its_deduplication_window() -> None:
    """The owner is killed late, so at the adoption its attempt is older than the deduplication window.

    Instances no longer recognize the key then, and would execute it once more. So the request fails.
    """
    fleet = Fleet(claim_stagger_ms=100.0)
    fleet["a"].submit("n", ORDER, remaining_ms=8000.0)
    fleet.execution_ms = 9000.0
    fleet.advance(2600)  # adoption at least one lease term later: over 3500 ms after the first attempt
    fleet.kill("a")
    fleet["b"].submit("n", ORDER, remaining_ms=6000.0)
    fleet.advance(5000)
    assert fleet.responses("n") == ["Fail"]
    assert fleet.executions["n"] == 1
    assert len(fleet.adopted) == 1


@pytest.mark.parametrize("grant_timeout_ms", [100.0, 1e6])
def test_a_gateway_paused_between_grant_and_send_sends_nothing(grant_timeout_ms: float) -> None:
    """A gateway is paused after its grant was committed, and resumes after another gateway took the request.

    That gateway has failed the request because it may have been executed, so the attempt must not be sent.
    """
    fleet = Fleet(grant_timeout_ms=grant_timeout_ms)
    fleet["a"].submit("n", PAY)
    fleet.advance(0.5)
    fleet["a"].paused = True  # the grant is committed, but gateway a has not received the result
    fleet["b"].submit("n", PAY)
    fleet.advance(3 * LEASE_TERM_MS)
    assert fleet.responses("n") == ["Fail"]
    fleet["a"].resume()
    fleet.advance(LEASE_TERM_MS)
    assert fleet.responses("n") == ["Fail"] * 2
    assert fleet.executions["n"] == 0


@pytest.mark.parametrize(
    ("class_index", "executions"), [(PAY, 1), (READ, 2)], ids=["not idempotent", "idempotent"]
)
def test_only_a_send_past_the_last_lease_check_can_be_sent_late(class_index: int, executions: int) -> None:
    """A gateway is paused between its last lease check and the first byte of an attempt.

    No check can prevent this attempt from being executed when the gateway resumes.
    """
    fleet = Fleet()
    interrupt_at(fleet, Send, 0, partial(setattr, fleet["a"], "paused", True))
    fleet["a"].submit("n", class_index)
    fleet["b"].submit("n", class_index)
    fleet.advance(3 * LEASE_TERM_MS)
    fleet["a"].resume()
    fleet.advance(LEASE_TERM_MS)
    # Each owner executes it at most once; if it is not idempotent, only one owner does.
    assert fleet.executions["n"] == executions


def test_a_graceful_shutdown_releases_waiting_requests_at_once_and_the_rest_before_the_kill() -> None:
    """A gateway is told to stop while one request waits for a server and another is being executed."""
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
    assert fleet.responses("n") == SERVED_ONCE
    assert fleet.executions["n"] == 1
    assert fleet.executions["m"] == 1
    fleet.advance(250)
    assert fleet.responses("m") == ["200 run 2"]
    assert fleet.executions["m"] == 2


def test_cached_responses_are_bounded_in_time_and_bytes() -> None:
    fleet = Fleet(response_retention_ms=1000.0, response_cache_bytes=8)
    for request_id in ("n", "m"):
        fleet["a"].submit(request_id, PAY)
        fleet.advance(100)
    assert fleet.record_keys() == ["takeover/answer/m", "takeover/work/m", "takeover/work/n"]
    fleet["b"].submit("n", PAY)
    fleet.advance(100)
    assert fleet["b"].responses["n"] == ["Fail"]
    assert fleet.executions["n"] == 1
    fleet.advance(1100)
    assert fleet.record_keys() == []


def test_the_record_of_an_oversized_response_is_removed_after_an_unconfirmed_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The response body is too long to be recorded, and the ledger does not confirm the final record.

    The repeated write finds the record, which must be removed after the retention time like any other.
    """
    monkeypatch.setattr(records, "MAX_BODY_BYTES", len("run 1") - 1)
    fleet = Fleet(response_retention_ms=1000.0)
    fleet["a"].submit("n", PAY)
    fleet.advance(20)
    fleet["a"].ledger_fault = LedgerFault.UNCONFIRMED
    fleet.advance(50)
    fleet["a"].ledger_fault = LedgerFault.NONE
    fleet.advance(200)
    assert fleet.responses("n") == SERVED_ONCE
    assert fleet.record_keys() == ["takeover/work/n"]
    fleet.advance(1500)
    assert fleet.record_keys() == []


def test_records_of_an_ended_incarnation_are_removed_by_a_later_one() -> None:
    """A gateway is killed while the ledger holds its finished requests, which only their owner removes."""
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
    ("scope", "record_count"),
    [(JournalScope.NONE, 0), (JournalScope.UNREPEATABLE, 4), (JournalScope.ALL, 6)],
    ids=["none", "unrepeatable", "all"],
)
def test_which_classes_are_journaled_is_a_setting(scope: JournalScope, record_count: int) -> None:
    fleet = Fleet(journal_scope=scope)
    for class_index in (READ, ORDER, PAY):
        fleet["a"].submit(f"n{class_index}", class_index)
    fleet.advance(100)
    assert len(fleet.record_keys()) == record_count
    assert fleet.executions.total() == 3


def test_an_unreadable_record_is_logged_and_left_alone() -> None:
    """A record is damaged or of a later format, so its request may have been executed and must fail."""
    fleet = Fleet()
    fleet.store.commit(fleet["c"].incarnation, [Transaction((Create("takeover/work/n", b"\x81junk"),))])
    fleet.advance(50)
    assert any("left alone" in line for line in fleet["a"].log_lines)
    fleet["a"].submit("n", PAY)
    fleet.advance(100)
    assert fleet.responses("n") == ["Fail"]
    assert fleet.executions["n"] == 0
    record = fleet.store.read("takeover/work/n")
    assert record is not None
    assert record.value == b"\x81junk"
