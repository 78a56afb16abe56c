"""Shutdowns, duplicates and responses that arrive between two steps of a takeover, in forced orders."""

from __future__ import annotations

from functools import partial

import pytest

from meadowpulley.interface import Send
from meadowpulley.ledger import Commit
from meadowpulley.takeover import AdoptRequest, Deliver, ShutdownNotice
from tests.takeover_fleet import LEASE_TERM_MS, ORDER, PAY, READ, Fleet, LedgerFault, interrupt_at

SERVED_ONCE = "200 run 1"
CLAIMANT = "c"  # ranks first for the request id "n"

# Gateway, type of the interrupted action, and number of earlier actions of that type. For the owner, these
# are the write of the grant, the send, the write of the response and its delivery; for the claimant, the
# claim, the request for a slot, and then the same steps as for the owner.
INTERRUPTION_POINTS = [
    ("a", Commit, 0),
    ("a", Send, 0),
    ("a", Commit, 1),
    ("a", Deliver, 0),
    (CLAIMANT, Commit, 0),
    (CLAIMANT, AdoptRequest, 0),
    (CLAIMANT, Commit, 1),
    (CLAIMANT, Send, 0),
    (CLAIMANT, Commit, 2),
    (CLAIMANT, Deliver, 0),
]


@pytest.mark.parametrize("event", ["shutdown", "duplicate"])
@pytest.mark.parametrize(("gateway", "step", "skip"), INTERRUPTION_POINTS)
def test_an_event_between_two_steps_is_answered_by_the_single_execution(
    gateway: str, step: type, skip: int, event: str
) -> None:
    """A gateway is told to stop, or a duplicate arrives, immediately before one step of a takeover."""
    fleet = Fleet()
    events: list[str] = []

    def interrupt() -> None:
        events.append(event)
        if event == "duplicate":
            fleet[gateway].submit("n", PAY)
        else:
            fleet[gateway].dispatch(ShutdownNotice(800.0))
            fleet.call_at(fleet.now + 800.0, partial(fleet.kill, gateway))

    interrupt_at(fleet, step, skip, interrupt, gateway)
    fleet["a"].decisions.has_no_server = gateway == CLAIMANT
    fleet["a"].submit("n", PAY)
    fleet.advance(20)
    fleet["b"].submit("n", PAY)
    if gateway == CLAIMANT:
        fleet.kill("a")
    fleet.advance(3 * LEASE_TERM_MS)
    fleet["b"].submit("n", PAY)
    fleet.advance(LEASE_TERM_MS)
    expected = 2 + (gateway == "a") + (event == "duplicate")
    assert events
    assert fleet.responses("n") == [SERVED_ONCE] * expected
    assert fleet.executions["n"] == 1
    assert fleet["b"].stage.view.open_requests == {}


@pytest.mark.parametrize("class_index", [READ, PAY], ids=["idempotent", "not idempotent"])
def test_an_unconfirmed_claim_is_released_on_shutdown(class_index: int) -> None:
    """A gateway is told to stop while it does not know whether its claim was committed.

    The claim was committed, so no other gateway claims the request until this gateway releases it.
    """
    fleet = Fleet()

    def stop() -> None:
        fleet[CLAIMANT].ledger_fault = LedgerFault.UNCONFIRMED
        fleet.call_at(fleet.now + 50.0, partial(setattr, fleet[CLAIMANT], "ledger_fault", LedgerFault.NONE))
        # The grace time is long, as at a gateway that has long requests of its own.
        fleet[CLAIMANT].dispatch(ShutdownNotice(10_000.0))

    interrupt_at(fleet, Commit, 0, stop, CLAIMANT)
    fleet["a"].decisions.has_no_server = True
    fleet["a"].submit("n", class_index)
    fleet.advance(20)
    fleet["b"].submit("n", class_index)
    fleet.kill("a")
    fleet.advance(2 * LEASE_TERM_MS)
    assert fleet.responses("n") == [SERVED_ONCE]
    assert fleet.adopted == [(CLAIMANT, "n"), ("b", "n")]


# Ledger fault, request class, response to the gateway's own client, and response to a client that repeats the
# request at another gateway. The gateway releases the request while an attempt is outstanding that cannot be
# cancelled because its response is being streamed. If that response arrives later and is held for too long,
# other gateways may have finished the request with a different response.
RELEASED_CASES: dict[str, tuple[LedgerFault, int, str, str]] = {
    "idempotent": (LedgerFault.NONE, READ, "200 run 2", "200 run 2"),
    "not idempotent": (LedgerFault.NONE, PAY, "Fail", "Fail"),
    "idempotent, unconfirmed": (LedgerFault.UNCONFIRMED, READ, "Fail", "200 run 2"),
    "with key, unconfirmed": (LedgerFault.UNCONFIRMED, ORDER, "Fail", "200 run 2"),
    "not idempotent, unconfirmed": (LedgerFault.UNCONFIRMED, PAY, "Fail", "Fail"),
}


@pytest.mark.parametrize(
    ("ledger_fault", "class_index", "own_response", "other_response"),
    RELEASED_CASES.values(),
    ids=RELEASED_CASES,
)
def test_a_late_response_of_a_released_request_is_not_delivered(
    ledger_fault: LedgerFault, class_index: int, own_response: str, other_response: str
) -> None:
    fleet = Fleet(response_hold_ms=100.0)
    fleet.execution_ms = 300.0
    fleet["a"].submit("n", class_index)
    fleet.advance(200)
    fleet.execution_ms = 30.0
    fleet["a"].ledger_fault = ledger_fault
    fleet["a"].dispatch(ShutdownNotice(310.0))
    fleet.advance(50)
    fleet["b"].submit("n", class_index)
    fleet.advance(400)
    assert fleet["a"].responses["n"] == [own_response]
    assert fleet["b"].responses["n"] == [other_response]


def test_two_simultaneous_claimants_adopt_once() -> None:
    """All survivors claim each orphan at the same time; compare-and-set lets exactly one of them succeed."""
    fleet = Fleet("abcd", claim_stagger_ms=0.0)
    fleet["a"].decisions.has_no_server = True
    for n in range(10):
        fleet["a"].submit(f"n{n}", PAY)
    fleet.advance(20)
    fleet.kill("a")
    fleet.advance(3 * LEASE_TERM_MS)
    assert fleet.lost_replacements == 20  # for each of 10 orphans, the claims of the two later gateways
    assert sorted(name for _, name in fleet.adopted) == sorted(f"n{n}" for n in range(10))
    assert fleet.executions.total() == 10


@pytest.mark.parametrize(
    ("class_index", "other_response"),
    [(READ, "200 run 2"), (ORDER, "200 run 2"), (PAY, "Fail")],
    ids=["idempotent", "with key", "not idempotent"],
)
def test_a_response_after_the_claim_is_not_delivered(class_index: int, other_response: str) -> None:
    """A gateway resumes and gets an instance's response after another gateway has finished the request."""
    fleet = Fleet()
    fleet["a"].submit("n", class_index)
    fleet.advance(10)  # the attempt of gateway a is outstanding
    fleet.pause("a", 2 * LEASE_TERM_MS)
    fleet["b"].submit("n", class_index)
    fleet.advance(2 * LEASE_TERM_MS - 50)
    assert fleet.responses("n") == [other_response]  # gateway b or c has claimed and finished the request
    fleet.advance(LEASE_TERM_MS)  # gateway a resumes and receives the response
    assert fleet["a"].responses["n"] == ["Fail"]
    assert fleet["b"].responses["n"] == [other_response]
