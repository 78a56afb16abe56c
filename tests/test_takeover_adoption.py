"""Which gateway adopts a request, how many at once, and how deadlines and send times are bounded."""

from __future__ import annotations

import pytest

from meadowpulley.interface import Result
from meadowpulley.takeover import AdoptRequest, ShutdownNotice
from tests.takeover_fleet import PAY, READ, Fleet, Gateway, LedgerFault


def test_each_orphan_is_claimed_by_the_first_in_its_ranking() -> None:
    fleet = Fleet("abcd")
    fleet["a"].decisions.has_no_server = True
    for n in range(30):
        fleet["a"].submit(f"n{n}", PAY)
    fleet.advance(20)
    fleet.kill("a")
    fleet.advance(3000)
    assert len(fleet.adopted) == len(set(fleet.adopted)) == 30
    assert {gateway for gateway, _ in fleet.adopted} == {"b", "c", "d"}
    assert fleet.lost_replacements == 0


def test_a_crashed_adopter_is_replaced_until_the_owner_limit() -> None:
    fleet = Fleet("abcd")
    fleet.execution_ms = 1e6
    fleet["a"].submit("n", READ, remaining_ms=60_000.0)
    fleet.advance(40)
    fleet.kill("a")
    for _ in range(2):
        adopted_before = len(fleet.adopted)
        while len(fleet.adopted) == adopted_before:
            fleet.advance(10)
        fleet.kill(fleet.adopted[-1][0])
    survivor = next(g for g in fleet.gateways.values() if g.running)
    survivor.submit("n", READ, remaining_ms=60_000.0)
    fleet.advance(4000)
    assert (len(fleet.adopted), len(set(fleet.adopted)), fleet.responses("n")) == (2, 2, ["Fail"])


def crash_with_waiting_requests(fleet: Fleet, count: int) -> None:
    """Kill gateway a with so many requests that wait for a server."""
    fleet["a"].decisions.has_no_server = True
    for n in range(count):
        fleet["a"].submit(f"n{n}", PAY)
    fleet.advance(20)
    fleet.kill("a")


def test_gateways_started_after_a_crash_delay_no_adoption() -> None:
    fleet = Fleet("abc", claim_stagger_ms=1000.0)
    crash_with_waiting_requests(fleet, 30)
    for name in "defg":
        fleet.gateways[name] = Gateway(fleet, name)
    fleet.advance(1400)
    assert len(fleet.adopted) == 30 and {gateway for gateway, _ in fleet.adopted} == {"b", "c"}


def test_the_next_in_the_ranking_does_not_wait_for_a_crashed_one() -> None:
    fleet = Fleet("abcd", claim_stagger_ms=5000.0)
    crash_with_waiting_requests(fleet, 30)
    fleet.advance(250)
    fleet.kill("b")
    fleet.advance(2000)
    assert len(fleet.adopted) == 30 and {gateway for gateway, _ in fleet.adopted} == {"c", "d"}


def test_prior_attempts_are_dated_at_most_a_little_before_they_were_sent() -> None:
    fleet = Fleet("abcd")
    fleet.results = [Result.RESET, Result.OK]
    fleet["a"].submit("n", READ, remaining_ms=60_000.0)
    fleet.advance(20)
    fleet.execution_ms = 1e6
    fleet.advance(400)
    fleet.kill("a")
    for attempts in (2, 3):
        while len(fleet.adopted) < attempts - 1:
            fleet.advance(10)
        fleet.advance(100)
        gateway = fleet[fleet.adopted[-1][0]]
        (request,) = gateway.decisions.received
        lead_times_ms = [
            at - (t.sent_ms - gateway.clock_offset_ms)
            for at, t in zip(fleet.sent_at_ms["n"], request.prior_attempts, strict=False)
        ]
        assert len(request.prior_attempts) == attempts and all(0 <= ms <= 60 for ms in lead_times_ms)
        fleet.kill(gateway.name)


def test_a_cancelled_attempt_is_the_one_that_was_sent() -> None:
    fleet = Fleet(grant_timeout_ms=300.0)
    fleet["a"].ledger_fault, fleet.execution_ms = LedgerFault.SLOW, 2000.0
    fleet["a"].submit("n", READ)
    fleet.advance(50)
    fleet["a"].ledger_fault = LedgerFault.NONE
    fleet.advance(400)
    fleet["a"].dispatch(ShutdownNotice(310.0))
    fleet.advance(50)
    assert fleet.cancelled == [("n", 0)]


def test_adoptions_stay_in_budget_and_the_rest_end_in_time() -> None:
    fleet = Fleet("ab", max_adopted=3, adoptions_per_s=10.0)
    fleet["a"].decisions.has_no_server = True
    deadlines_ms = {}
    for n in range(40):
        fleet["a"].submit(f"n{n}", PAY, remaining_ms=3000.0)
        deadlines_ms[f"n{n}"] = fleet.now + 3000.0
    fleet.advance(20)
    fleet.kill("a")
    fleet.execution_ms = 400.0
    adoptions: list[tuple[float, str]] = []
    fleet["b"].before_action = lambda a: (
        adoptions.append((fleet.now, a.request_id)) if isinstance(a, AdoptRequest) else None
    )
    while fleet.now < max(deadlines_ms.values()):
        assert sum(h.request.adopted for h in fleet["b"].stage.journal.by_id.values()) <= 3
        fleet.advance(10)
    assert not fleet["b"].stage.orphans.ranking.claimable_at_ms
    fleet.advance(500)
    assert fleet["b"].stage.view.open_requests == {} and max(fleet.executions.values()) == 1
    assert 10 <= len(adoptions) < 25
    assert all(at < deadlines_ms[name] - 400.0 for at, name in adoptions[5:]), (
        "once it knows how long one takes"
    )
    seconds = [int(at // 1000) for at, _ in adoptions]
    assert max(seconds.count(s) for s in seconds) <= 12


@pytest.mark.parametrize("ledger_fault", [LedgerFault.NONE, LedgerFault.SLOW])
def test_the_adopters_deadline_is_never_later_than_the_clients(ledger_fault: LedgerFault) -> None:
    fleet = Fleet()
    fleet["a"].decisions.has_no_server = True
    fleet["a"].ledger_fault = ledger_fault
    fleet["a"].submit("n", PAY, remaining_ms=5000.0)
    client_deadline_ms = fleet.now + 5000.0
    fleet.advance(200)
    fleet["a"].ledger_fault = LedgerFault.NONE
    fleet.advance(300)
    fleet.kill("a")
    fleet.advance(2500)
    ((gateway, _),) = fleet.adopted
    ((_, _, deadline_ms),) = fleet[gateway].requests_by_handle.values()
    assert client_deadline_ms - 250.0 < deadline_ms - fleet[gateway].clock_offset_ms <= client_deadline_ms
