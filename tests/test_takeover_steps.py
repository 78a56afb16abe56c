"""Signals, asks and answers that come between two steps of a hand-over: each order is forced."""

from __future__ import annotations

from functools import partial

import pytest

from meadowpulley.interface import Send
from meadowpulley.ledger import Commit
from meadowpulley.takeover import Adopt, Pass, Stopping
from tests.takeover_fleet import ORDER, PAY, READ, TERM, Fleet, stop_at

ONCE = "200 run 1"
CLAIMANT = "c"  # first in line for the id "n"

# At whose action, the n-th of its kind: the owner's write of the right, its sending, the write of the answer
# and its passing on; the claimant's claim, its slot, and then the same steps.
BETWEEN = [
    *[("a", step, n) for step, n in ((Commit, 0), (Send, 0), (Commit, 1), (Pass, 0))],
    *[
        (CLAIMANT, step, n)
        for step, n in ((Commit, 0), (Adopt, 0), (Commit, 1), (Send, 0), (Commit, 2), (Pass, 0))
    ],
]


@pytest.mark.parametrize("what", ["told to stop", "asked again"])
@pytest.mark.parametrize(("who", "step", "n"), BETWEEN)
def test_what_comes_between_two_steps_is_answered_by_the_one_run(
    who: str, step: type, n: int, what: str
) -> None:
    fleet, came = Fleet(), list[str]()

    def comes() -> None:
        came.append(what)
        if what == "asked again":
            fleet[who].ask("n", PAY)
        else:
            fleet[who].tell(Stopping(800.0))
            fleet.at(fleet.now + 800.0, partial(fleet.kill, who))

    stop_at(fleet, step, n, comes, who)
    fleet["a"].decisions.waits = who == CLAIMANT
    fleet["a"].ask("n", PAY)
    fleet.go(20)
    fleet["b"].ask("n", PAY)
    if who == CLAIMANT:
        fleet.kill("a")
    fleet.go(3 * TERM)
    fleet["b"].ask("n", PAY)
    fleet.go(TERM)
    asked = 2 + (who == "a") + (what == "asked again")
    assert came and (fleet.said("n"), fleet.ran["n"]) == ([ONCE] * asked, 1)
    assert fleet["b"].stage.mirror.open == {}


@pytest.mark.parametrize("cls", [READ, PAY])
def test_a_claim_whose_fate_is_not_known_is_not_kept_by_one_that_stops(cls: int) -> None:
    fleet = Fleet()

    def stop() -> None:
        fleet[CLAIMANT].trouble = "unheard"
        fleet.at(fleet.now + 50.0, partial(setattr, fleet[CLAIMANT], "trouble", ""))
        fleet[CLAIMANT].tell(Stopping(10_000.0))  # it has long requests of its own to end

    stop_at(fleet, Commit, 0, stop, CLAIMANT)
    fleet["a"].decisions.waits = True
    fleet["a"].ask("n", cls)
    fleet.go(20)
    fleet["b"].ask("n", cls)
    fleet.kill("a")
    fleet.go(2 * TERM)
    assert (fleet.said("n"), fleet.adopted) == ([ONCE], [(CLAIMANT, "n"), ("b", "n")])


# An attempt is out (one that can't be called off, as its answer streams) when its gateway gives it away. How
# the ledger answers that; what its own client is told, and one that asks at another: an answer that comes
# then and is held for too long need not be the one by which others have ended the work.
GIVEN = [
    ("", READ, "200 run 2", "200 run 2"),
    ("", PAY, "Fail", "Fail"),
    ("unheard", READ, "Fail", "200 run 2"),
    ("unheard", ORDER, "Fail", "200 run 2"),
    ("unheard", PAY, "Fail", "Fail"),
]


@pytest.mark.parametrize(("trouble", "cls", "own", "other"), GIVEN)
def test_the_answer_of_work_that_was_given_away_is_not_passed_beside_the_others(
    trouble: str, cls: int, own: str, other: str
) -> None:
    fleet = Fleet(hold_ms=100.0)
    fleet.takes_ms = 300.0
    fleet["a"].ask("n", cls)
    fleet.go(200)
    fleet.takes_ms, fleet["a"].trouble = 30.0, trouble
    fleet["a"].tell(Stopping(310.0))
    fleet.go(50)
    fleet["b"].ask("n", cls)
    fleet.go(400)
    assert (fleet["a"].said["n"], fleet["b"].said["n"]) == ([own], [other])


def test_two_claimants_at_once_begin_it_once() -> None:
    fleet = Fleet("abcd", step_ms=0.0)
    fleet["a"].decisions.waits = True
    for n in range(10):
        fleet["a"].ask(f"n{n}", PAY)
    fleet.go(20)
    fleet.kill("a")
    fleet.go(3 * TERM)
    assert fleet.lost == 20  # claims of the two that came too late
    assert sorted(name for _, name in fleet.adopted) == sorted(f"n{n}" for n in range(10))
    assert fleet.ran.total() == 10


@pytest.mark.parametrize(("cls", "other"), [(READ, "200 run 2"), (ORDER, "200 run 2"), (PAY, "Fail")])
def test_an_answer_that_comes_after_the_claim_is_not_passed(cls: int, other: str) -> None:
    fleet = Fleet()
    fleet["a"].ask("n", cls)
    fleet.go(10)  # its attempt is out
    fleet.pause("a", 2 * TERM)
    fleet["b"].ask("n", cls)
    fleet.go(2 * TERM - 50)
    assert fleet.said("n") == [other]  # claimed and ended; the answer lies at a, which wakes now
    fleet.go(TERM)
    assert (fleet["a"].said["n"], fleet["b"].said["n"]) == (["Fail"], [other])
