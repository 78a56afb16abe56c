"""Emulated gateways that stand in for each other: a bug planted in a stage breaks its rule, and is found."""

from __future__ import annotations

from dataclasses import replace as changed
from typing import Any

import pytest
from msgspec.structs import replace

from meadowpulley.balance import Balancer
from meadowpulley.emulator import Result, Scenario, World
from meadowpulley.emulator.ledger import LedgerFigures
from meadowpulley.emulator.together import Together
from meadowpulley.interface import Action, Request, Send
from meadowpulley.lending import Admission, Plan, Share
from meadowpulley.lending.holder import Holder
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.takeover import Terms, adopt, answers
from meadowpulley.takeover.hands import Hands
from meadowpulley.takeover.model import Pass, State, Written
from meadowpulley.takeover.orphans import Orphans
from tests.stories.fleets import small_fleet

LEDGER = LedgerFigures(term_ms=800.0)
TAKEOVER = Together(LEDGER, Terms(written=Written.ALL), again_ms=900.0)
LENDING = Together(LEDGER, lending=Plan(1, 20.0, 3, (Share("a", 1.0),)), tenants=("a",))


def play(together: Together, seed: int = 4, make: Any = Balancer) -> Result:
    """Two of three gateways fail in turn under load: one sleeps over its lease, one is killed. Then 20 s."""
    fleet = small_fleet(3, retries=3)
    fleet = replace(
        fleet, classes=tuple(replace(c, work_ms=350.0, deadline_ms=5000.0) for c in fleet.classes)
    )
    load = list(synthesize(fleet, PROFILES["steady"], 28.0, 9.0, seed))
    world = World(fleet, load, seed, Scenario(), make, together=together)
    first, second = world.gateways[0], world.gateways[1]
    world.clock.at(3000.0, first.pause)
    world.clock.at(5000.0, first.wake)
    world.clock.at(6500.0, second.kill)
    world.run_until(30_000.0)
    return world.finish()


class Forgetful(Balancer):
    """What earlier lives of a request tried is not looked at."""

    def handle(self, now: float, event: Any) -> list[Action]:
        return super().handle(now, changed(event, prior_attempts=()) if isinstance(event, Request) else event)


def always_open(*_: Any) -> State:
    return State.OPEN


def at_once(self: Hands, hand: Any, send: Send) -> None:
    hand.tries += 1
    hand.passed.append(hand.tries - 1)
    hand.out.add(len(hand.passed) - 1)
    self.turn.acts.append(send)


def any_record(self: Orphans, seen: Any) -> bool:
    return bool(seen.by != self.me)


def nothing(self: Orphans, *_: Any) -> None:
    self.due_at = float("inf")


def another_answer(request: int, state: State, answer: Any) -> Any:
    return Pass(request, 200, (), f"made up for {request}".encode())


def all_of_them(self: Holder, *_: Any) -> Admission:
    return Admission.OWN


@pytest.mark.parametrize(
    ("where", "name", "bug", "together", "rule"),
    [
        (adopt, "verdict", always_open, TAKEOVER, "effects"),
        (Hands, "_send", at_once, TAKEOVER, "effects"),
        (Orphans, "_is_orphan", any_record, TAKEOVER, "takeover"),
        (Orphans, "look", nothing, TAKEOVER, "written"),
        (answers, "reply", another_answer, TAKEOVER, "answers"),
        (Holder, "admit", all_of_them, LENDING, "admissions"),
    ],
    ids=["adopts all", "awaits no right", "claims from the living", "never claims", "makes up", "admits all"],
)
def test_a_planted_bug_breaks_its_rule(
    where: Any, name: str, bug: Any, together: Together, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert not play(together, make=Forgetful).broken
    monkeypatch.setattr(where, name, bug)
    assert play(together, make=Forgetful).broken[rule] > 0


def test_one_seed_is_one_run_also_with_all_that_gateways_share() -> None:
    assert play(TAKEOVER, 7).table() == play(TAKEOVER, 7).table()
