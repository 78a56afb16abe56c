"""Journaled requests during ledger faults, and requests that were served without the ledger."""

from __future__ import annotations

import pytest

from meadowpulley.ledger import (
    Create,
    Fenced,
    LeaseTimings,
    LedgerRecovered,
    LedgerUnavailable,
    Replace,
    Transaction,
)
from meadowpulley.takeover.records import RECORD_PREFIX, RequestState, decode_request_record
from tests.takeover_fleet import LEASE_TERM_MS, ORDER, PAY, READ, Fleet, Gateway, LedgerFault

SERVED_ONCE = ["200 run 1"]


@pytest.mark.parametrize(
    "ledger_fault",
    [LedgerFault.UNREACHABLE, LedgerFault.UNCONFIRMED, LedgerFault.SLOW],
    ids=lambda fault: fault.value,
)
def test_without_a_grant_in_time_nothing_is_sent(ledger_fault: LedgerFault) -> None:
    """The ledger of a gateway is faulty before a request arrives, so no grant is confirmed as committed."""
    fleet = Fleet()
    fleet["a"].ledger_fault = ledger_fault
    fleet["a"].submit("n", PAY)
    fleet.advance(700)
    assert fleet.responses("n") == ["Fail"], "fails long before its deadline, whatever the ledger fault"
    fleet["a"].ledger_fault = LedgerFault.NONE
    fleet.advance(5000)
    assert fleet.responses("n") == ["Fail"]
    assert fleet.executions["n"] == 0
    assert fleet["b"].stage.view.open_requests == {}


# Fault of a's ledger when the response arrives; whether a's lease is still valid at the end of the hold time;
# responses to a's client; responses to later duplicates, both before and after a's final write is committed.
HELD_RESPONSE_CASES: dict[str, tuple[LedgerFault, bool, list[str], list[str]]] = {
    "recorded, unconfirmed": (LedgerFault.UNCONFIRMED, True, SERVED_ONCE, SERVED_ONCE),
    "recorded, unconfirmed, lease expired": (LedgerFault.UNCONFIRMED, False, ["Fail"], SERVED_ONCE),
    "recorded late": (LedgerFault.SLOW, True, SERVED_ONCE, SERVED_ONCE),
    "recorded late, lease expired": (LedgerFault.SLOW, False, ["Fail"], SERVED_ONCE),
    "not recorded": (LedgerFault.UNREACHABLE, True, SERVED_ONCE, SERVED_ONCE),
    "not recorded, lease expired": (LedgerFault.UNREACHABLE, False, ["Fail"], ["Fail"]),
}


@pytest.mark.parametrize(
    ("ledger_fault", "holds_lease", "responses", "later_responses"),
    HELD_RESPONSE_CASES.values(),
    ids=HELD_RESPONSE_CASES,
)
def test_an_unconfirmed_response_is_delivered_only_under_the_lease_and_a_record_stands(
    ledger_fault: LedgerFault, holds_lease: bool, responses: list[str], later_responses: list[str]
) -> None:
    """The ledger of a gateway fails when a response has to be recorded, and its lease may expire meanwhile.

    Once the lease has expired, other gateways may finish an unrecorded request with a different response.
    """
    fleet = Fleet()
    states = recorded_states(fleet)
    fleet["a"].submit("n", PAY)
    fleet.advance(20)
    fleet["a"].ledger_fault = ledger_fault
    if not holds_lease:  # as after a pause of the gateway
        lease_manager = fleet["a"].lease_manager
        lease_manager.timings = LeaseTimings(term_ms=LEASE_TERM_MS, hold_fraction=0.0)
        lease_manager._lease_held_until = 0.0
    fleet.advance(360)
    assert fleet.responses("n") == responses
    for gateway in "bc":  # b gets it before a's write is committed, c after that
        fleet[gateway].submit("n", PAY)
        fleet.advance(100 if ledger_fault != LedgerFault.UNREACHABLE else 240)
        fleet["a"].ledger_fault = LedgerFault.NONE
        fleet.advance(1000)
    assert fleet["b"].responses["n"] == later_responses
    assert fleet["c"].responses["n"] == later_responses
    assert fleet.executions["n"] == 1
    final_state = RequestState.SERVED if later_responses == SERVED_ONCE else RequestState.FAILED
    assert states == [RequestState.OPEN, final_state], "the final state must be written exactly once"


def recorded_states(fleet: Fleet) -> list[RequestState]:
    """Return a list that collects the state of every request record as it is committed."""
    states: list[RequestState] = []

    def on_commit(_gateway: Gateway, transaction: Transaction) -> None:
        states.extend(
            decode_request_record(write.value).state
            for write in transaction.writes
            if isinstance(write, Create | Replace) and RECORD_PREFIX in write.key
        )

    fleet.on_commit = on_commit
    return states


def test_without_the_ledger_new_requests_are_served_unjournaled_and_resent_ones_fail() -> None:
    """A gateway without its ledger cannot know whether a repeated request is in flight elsewhere."""
    fleet = Fleet()
    fleet["a"].dispatch(LedgerUnavailable("gone"))
    fleet["a"].submit("n", PAY)
    fleet["a"].submit("m", PAY, repeat=True)
    fleet.advance(100)
    assert fleet.responses("n") == SERVED_ONCE
    assert fleet.responses("m") == ["Fail"]
    assert fleet.record_keys() == []
    fleet["a"].dispatch(LedgerRecovered())
    fleet["a"].submit("o", PAY)
    fleet.advance(100)
    assert fleet.record_keys() == ["takeover/answer/o", "takeover/work/o"]


# Request class; gateways that lose their ledger; whether gateway a executes the request before that; whether
# the client marks its repeat at b as a retry; delay in ms of the repeat after the ledger recovers; the
# response that b gives; number of executions. Gateway a crashes after it has executed the request.
UNJOURNALED_CASES: dict[str, tuple[int, str, bool, bool, float, str, int]] = {
    "not idempotent": (PAY, "ab", False, True, 0, "Fail", 1),
    "idempotent with key": (ORDER, "ab", False, True, 0, "Fail", 1),
    "idempotent": (READ, "ab", False, True, 0, "200 run 2", 2),
    "just before one deadline": (PAY, "ab", False, True, 5900, "Fail", 1),
    "journaled before": (PAY, "ab", True, True, 0, "200 run 1", 1),
    # These cannot be distinguished from requests that no gateway has seen before.
    "after one deadline": (PAY, "ab", False, True, 6000, "200 run 2", 2),
    "not marked": (PAY, "ab", False, False, 0, "200 run 2", 2),
    "only its gateway without the ledger": (PAY, "a", False, True, 0, "200 run 2", 2),
}


@pytest.mark.parametrize(
    ("class_index", "without_ledger", "journaled", "marked_resent", "after_ms", "response", "executions"),
    UNJOURNALED_CASES.values(),
    ids=UNJOURNALED_CASES,
)
def test_an_unjournaled_request_repeats_only_when_indistinguishable_from_a_new_one(
    class_index: int,
    without_ledger: str,
    journaled: bool,
    marked_resent: bool,
    after_ms: float,
    response: str,
    executions: int,
) -> None:
    """A gateway executes a request without its ledger and is lost; the client repeats the request elsewhere.

    No record shows the earlier execution, so the other gateways depend on the client to mark the retry.
    """
    fleet = Fleet()
    if journaled:
        fleet["a"].submit("n", class_index)
        fleet.advance(100)
    for gateway in without_ledger:
        fleet[gateway].dispatch(LedgerUnavailable("gone"))
    if not journaled:
        fleet["a"].submit("n", class_index)
    fleet.advance(10)
    fleet.kill("a")
    for gateway in without_ledger[1:]:
        fleet[gateway].dispatch(LedgerRecovered())
    fleet.advance(after_ms)
    fleet["b"].submit("n", class_index, repeat=marked_resent)
    fleet.advance(200)
    assert fleet["b"].responses["n"] == [response]
    assert fleet.executions["n"] == executions


@pytest.mark.parametrize(
    ("class_index", "responses"),
    [(PAY, ["Fail"]), (ORDER, ["Fail"]), (READ, SERVED_ONCE)],
    ids=["not idempotent", "with key", "idempotent"],
)
def test_a_fenced_gateway_accepts_only_idempotent_requests(class_index: int, responses: list[str]) -> None:
    """A fenced gateway receives a request, and the client may then repeat it at another gateway.

    When the fenced gateway served such a request unjournaled, the repeat was executed a second time.
    """
    fleet = Fleet("ab")
    fleet.gateways["a"].dispatch(Fenced())
    fleet.gateways["a"].submit("n", class_index)
    fleet.advance(3000.0)
    assert fleet.responses("n") == responses
    assert fleet.executions["n"] == (class_index == READ)
