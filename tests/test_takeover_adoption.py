"""Which gateway adopts a request, limits on adoptions, and bounds on deadlines and send times."""

from __future__ import annotations

from collections import Counter

import pytest

from meadowpulley.interface import Result
from meadowpulley.takeover import AdoptRequest, ShutdownNotice
from tests.takeover_fleet import PAY, READ, Fleet, Gateway, LedgerFault


def test_each_orphan_is_claimed_by_the_first_gateway_in_its_ranking() -> None:
    """A gateway is killed with many requests; the survivors divide them up without communicating."""
    fleet = Fleet("abcd")
    fleet["a"].decisions.has_no_server = True
    for n in range(30):
        fleet["a"].submit(f"n{n}", PAY)
    fleet.advance(20)
    fleet.kill("a")
    fleet.advance(3000)
    assert len(fleet.adopted) == 30
    assert len(set(fleet.adopted)) == 30
    assert {gateway for gateway, _ in fleet.adopted} == {"b", "c", "d"}
    assert fleet.lost_replacements == 0


def test_a_crashed_adopter_is_replaced_until_the_owner_limit() -> None:
    """Each adopter of a request is killed; a request that crashes gateways must not crash all of them."""
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
    survivor = next(gateway for gateway in fleet.gateways.values() if gateway.running)
    survivor.submit("n", READ, remaining_ms=60_000.0)
    fleet.advance(4000)
    assert len(fleet.adopted) == 2
    assert len(set(fleet.adopted)) == 2
    assert fleet.responses("n") == ["Fail"]


def crash_with_waiting_requests(fleet: Fleet, count: int) -> None:
    """Kill gateway a while `count` of its requests wait for a server."""
    fleet["a"].decisions.has_no_server = True
    for n in range(count):
        fleet["a"].submit(f"n{n}", PAY)
    fleet.advance(20)
    fleet.kill("a")


def test_gateways_started_after_a_crash_delay_no_adoption() -> None:
    """Gateways that start after a crash do not know the age of the records, so they must rank last."""
    fleet = Fleet("abc", claim_stagger_ms=1000.0)
    crash_with_waiting_requests(fleet, 30)
    for name in "defg":
        fleet.gateways[name] = Gateway(fleet, name)
    fleet.advance(1400)
    assert len(fleet.adopted) == 30
    assert {gateway for gateway, _ in fleet.adopted} == {"b", "c"}


def test_the_next_gateway_in_the_ranking_does_not_wait_for_a_crashed_one() -> None:
    """After the first gateway, another is killed that ranked first for some of the orphans."""
    fleet = Fleet("abcd", claim_stagger_ms=5000.0)
    crash_with_waiting_requests(fleet, 30)
    fleet.advance(250)
    fleet.kill("b")
    fleet.advance(2000)
    assert len(fleet.adopted) == 30
    assert {gateway for gateway, _ in fleet.adopted} == {"c", "d"}


def test_prior_attempts_are_dated_at_most_60_ms_before_they_were_sent() -> None:
    """Two owners of a request are killed in turn; gateways never compare their clocks.

    If a send time were dated too late, a keyed request could be repeated outside its deduplication
    window and be executed again.
    """
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
        assert len(request.prior_attempts) == attempts
        for sent_at_ms, prior in zip(fleet.sent_at_ms["n"], request.prior_attempts, strict=False):
            dated_at_ms = prior.sent_ms - gateway.clock_offset_ms
            assert 0 <= sent_at_ms - dated_at_ms <= 60
        fleet.kill(gateway.name)


def test_a_cancelled_attempt_is_the_one_that_was_sent() -> None:
    """The first attempt is not granted and never sent, so policy numbers exceed adapter numbers by one."""
    fleet = Fleet(grant_timeout_ms=300.0)
    fleet["a"].ledger_fault = LedgerFault.SLOW
    fleet.execution_ms = 2000.0
    fleet["a"].submit("n", READ)
    fleet.advance(50)
    fleet["a"].ledger_fault = LedgerFault.NONE
    fleet.advance(400)
    fleet["a"].dispatch(ShutdownNotice(310.0))
    fleet.advance(50)
    assert fleet.cancelled == [("n", 0)]


def test_adoptions_stay_in_budget_and_other_orphans_are_finished_in_time() -> None:
    """A gateway is killed with more requests than the only surviving gateway may adopt."""
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

    def before_action(action: object) -> None:
        if isinstance(action, AdoptRequest):
            adoptions.append((fleet.now, action.request_id))

    fleet["b"].before_action = before_action
    stage = fleet["b"].stage
    while fleet.now < max(deadlines_ms.values()):
        assert sum(entry.request.adopted for entry in stage.journal.by_id.values()) <= 3
        fleet.advance(10)
    assert not stage.orphans.ranking.claimable_at_ms
    fleet.advance(500)
    assert stage.view.open_requests == {}
    assert max(fleet.executions.values()) == 1
    assert 10 <= len(adoptions) < 25
    for adopted_at_ms, request_id in adoptions[5:]:  # the adopter knows the typical duration by then
        assert adopted_at_ms < deadlines_ms[request_id] - 400.0
    adoptions_by_second = Counter(int(adopted_at_ms // 1000) for adopted_at_ms, _ in adoptions)
    assert max(adoptions_by_second.values()) <= 12


@pytest.mark.parametrize("ledger_fault", [LedgerFault.NONE, LedgerFault.SLOW], ids=lambda fault: fault.value)
def test_the_adopters_deadline_is_never_later_than_the_clients(ledger_fault: LedgerFault) -> None:
    """The record holds the remaining time at its creation, and the adopter does not know when that was.

    With too late a deadline, the adopter would execute a request that its client has given up on.
    """
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
