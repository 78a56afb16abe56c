"""Who takes work over, how many at once, and what is known of its time."""

from __future__ import annotations

import pytest

from meadowpulley.interface import Result
from meadowpulley.takeover import Adopt, Stopping
from tests.takeover_fleet import PAY, READ, Fleet, Gateway


def test_each_piece_is_claimed_by_the_one_that_is_first_in_line_for_it() -> None:
    fleet = Fleet("abcd")
    fleet["a"].decisions.waits = True
    for n in range(30):
        fleet["a"].ask(f"n{n}", PAY)
    fleet.go(20)
    fleet.kill("a")
    fleet.go(3000)
    assert len(fleet.adopted) == len(set(fleet.adopted)) == 30
    assert {gateway for gateway, _ in fleet.adopted} == {"b", "c", "d"}
    assert fleet.lost == 0


def test_an_adopter_that_dies_is_taken_over_and_the_third_loss_is_the_last() -> None:
    fleet = Fleet("abcd")
    fleet.takes_ms = 1e6
    fleet["a"].ask("n", READ, left=60_000.0)
    fleet.go(40)
    fleet.kill("a")
    for _ in range(2):
        before = len(fleet.adopted)
        while len(fleet.adopted) == before:
            fleet.go(10)
        fleet.kill(fleet.adopted[-1][0])
    survivor = next(g for g in fleet.gateways.values() if g.up)
    survivor.ask("n", READ, left=60_000.0)
    fleet.go(4000)
    assert (len(fleet.adopted), len(set(fleet.adopted)), fleet.said("n")) == (2, 2, ["Fail"])


def lose(fleet: Fleet, many: int) -> None:
    """Gateway a dies with so many pieces that wait for a server."""
    fleet["a"].decisions.waits = True
    for n in range(many):
        fleet["a"].ask(f"n{n}", PAY)
    fleet.go(20)
    fleet.kill("a")


def test_those_that_began_after_a_loss_hold_nothing_up() -> None:
    fleet = Fleet("abc", step_ms=1000.0)
    lose(fleet, 30)
    for name in "defg":
        fleet.gateways[name] = Gateway(fleet, name)
    fleet.go(1400)
    assert len(fleet.adopted) == 30 and {gateway for gateway, _ in fleet.adopted} == {"b", "c"}


def test_who_is_next_in_line_does_not_wait_for_one_that_is_lost_too() -> None:
    fleet = Fleet("abcd", step_ms=5000.0)
    lose(fleet, 30)
    fleet.go(250)
    fleet.kill("b")
    fleet.go(2000)
    assert len(fleet.adopted) == 30 and {gateway for gateway, _ in fleet.adopted} == {"c", "d"}


def test_attempts_of_earlier_lives_are_put_no_later_than_they_went_out_and_hardly_earlier() -> None:
    fleet = Fleet("abcd")
    fleet.answers = [Result.RESET, Result.OK]
    fleet["a"].ask("n", READ, left=60_000.0)
    fleet.go(20)
    fleet.takes_ms = 1e6
    fleet.go(400)
    fleet.kill("a")
    for many in (2, 3):
        while len(fleet.adopted) < many - 1:
            fleet.go(10)
        fleet.go(100)
        gateway = fleet[fleet.adopted[-1][0]]
        (request,) = gateway.decisions.seen
        early = [
            at - (t.sent_ms - gateway.offset)
            for at, t in zip(fleet.sent["n"], request.prior_attempts, strict=False)
        ]
        assert len(request.prior_attempts) == many and all(0 <= ms <= 60 for ms in early)
        fleet.kill(gateway.name)


def test_an_attempt_that_is_called_off_is_the_one_that_went_out() -> None:
    fleet = Fleet(right_ms=300.0)
    fleet["a"].trouble, fleet.takes_ms = "slow", 2000.0
    fleet["a"].ask("n", READ)
    fleet.go(50)
    fleet["a"].trouble = ""
    fleet.go(400)
    fleet["a"].tell(Stopping(310.0))
    fleet.go(50)
    assert fleet.cancelled == [("n", 0)]


def test_no_more_than_the_budget_is_adopted_and_the_rest_ends_in_time() -> None:
    fleet = Fleet("ab", most_open=3, per_s=10.0)
    fleet["a"].decisions.waits = True
    deadlines = {}
    for n in range(40):
        fleet["a"].ask(f"n{n}", PAY, left=3000.0)
        deadlines[f"n{n}"] = fleet.now + 3000.0
    fleet.go(20)
    fleet.kill("a")
    fleet.takes_ms = 400.0
    begun: list[tuple[float, str]] = []
    fleet["b"].before = lambda a: begun.append((fleet.now, a.name)) if isinstance(a, Adopt) else None
    while fleet.now < max(deadlines.values()):
        assert sum(h.request.adopted for h in fleet["b"].stage.hands.by_name.values()) <= 3
        fleet.go(10)
    assert not fleet["b"].stage.orphans.waiting
    fleet.go(500)
    assert fleet["b"].stage.mirror.open == {} and max(fleet.ran.values()) == 1
    assert 10 <= len(begun) < 25
    assert all(at < deadlines[name] - 400.0 for at, name in begun[5:]), "once it knows how long one takes"
    seconds = [int(at // 1000) for at, _ in begun]
    assert max(seconds.count(s) for s in seconds) <= 12


@pytest.mark.parametrize("trouble", ["", "slow"])
def test_the_adopters_deadline_is_never_later_than_the_clients(trouble: str) -> None:
    fleet = Fleet()
    fleet["a"].decisions.waits = True
    fleet["a"].trouble = trouble
    fleet["a"].ask("n", PAY, left=5000.0)
    due = fleet.now + 5000.0
    fleet.go(200)
    fleet["a"].trouble = ""
    fleet.go(300)
    fleet.kill("a")
    fleet.go(2500)
    ((name, _),) = fleet.adopted
    ((_, _, deadline),) = fleet[name].held.values()
    assert due - 250.0 < deadline - fleet[name].offset <= due
