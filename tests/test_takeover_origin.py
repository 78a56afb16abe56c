"""Who took a request first, as takeover tells it, and an experiment's counts that rest on it."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from meadowpulley.interface import Request
from meadowpulley.placement import Arm, End, Experiment, PlacementStage, Summary, read_summary
from meadowpulley.placement.gateway import TakenOver
from meadowpulley.takeover import Stopping
from meadowpulley.takeover.model import First, RecordError, decode_work, encode
from tests.takeover_fleet import CLASSES, READ, SETTINGS, Fleet, Gateway

LOOK_MS = 2000.0  # the stage's, between two records of its counts


class Experimenting(Fleet):
    """With a placement stage between each gateway's takeover and its decisions. The numbers of requests fall,
    as those of slots may."""

    def __init__(self, **terms: Any) -> None:
        super().__init__(**terms)
        arms = (Arm("now", "own", 0.5), Arm("other", "own", 0.5))
        self.e = Experiment(1, "try", arms, End(requests=10**6))
        self.stages: dict[str, PlacementStage] = {}
        for name, g in self.gateways.items():
            stage = PlacementStage(g.decisions, self.e, SETTINGS, g.life, g.offset * -1)
            stage.origins = TakenOver(g.stage)
            g.stage.hands.inner = self.stages[name] = stage
        self.go(100.0)
        self.left = 1000

    def take(self, name: str, many: int, at: str = "a", **more: Any) -> None:
        for n in range(many):
            self.left -= 2
            self[at].requests = self.left
            self[at].ask(f"{name}{n}", READ, **more)

    def summary(self) -> Summary:
        """Once all that lives has written its counts."""
        self.go(2 * LOOK_MS)
        return read_summary(self.e, CLASSES, self.store.scan("placement/"), self.store.members())


def total(summary: Summary, field: str) -> int:
    return sum(getattr(arm, field) for arm in summary.arms if not arm.cls)


def test_the_first_life_and_its_number_stay_through_any_number_of_adoptions() -> None:
    fleet = Fleet(most_lives=5)
    fleet.takes_ms = 1500.0
    fleet["a"].ask("n", READ, left=30_000.0)
    fleet.go(100.0)
    asked, taken = fleet.now, fleet["a"].stage.origin_of(1)
    assert taken is not None and taken[0] == First("a.1", 1)
    for lost in "ab":  # whoever adopts it dies with it too
        fleet.kill(fleet.adopted[-1][0] if fleet.adopted else lost)
        fleet.go(1500.0)
    adopter = fleet[fleet.adopted[-1][0]]
    assert len(fleet.adopted) == 2
    found = adopter.stage.origin_of(adopter.requests)
    assert found is not None and found[0] == First("a.1", 1)
    assert asked - 500.0 < found[1] - adopter.offset <= asked  # no later than it was


def test_a_record_of_the_format_before_is_refused() -> None:
    fleet = Fleet()
    fleet["a"].ask("n", READ)
    fleet.go(10.0)
    (record,) = fleet.store.scan("takeover/work/")
    work = decode_work(record.value)
    for value in (encode(replace(work, v=1)), encode(replace(work, first=First("", 1)))):
        with pytest.raises(RecordError):
            decode_work(value)


def test_each_request_counts_once_when_its_gateway_is_lost() -> None:
    fleet = Experimenting()
    fleet.take("early", 20)
    fleet.go(LOOK_MS - 150.0)
    fleet.takes_ms = 400.0
    fleet.take("open", 10)
    fleet.go(200.0)  # past the look: the record has those as open
    fleet.take("late", 10)  # and none of these
    fleet.go(50.0)
    labels = {r.request: r.arm for r in fleet["a"].decisions.seen}
    fleet.kill("a")
    fleet.go(3000.0)
    found = fleet.summary()
    assert (found.requests, found.adopted) == (40, 20)
    assert (total(found, "served"), total(found, "open"), total(found, "lost")) == (40, 0, 0)
    assert {g for g, _ in fleet.adopted} == {"b", "c"}
    arms = [r.arm for g in "bc" for r in fleet[g].decisions.seen]
    assert sorted(arms) == sorted(list(labels.values())[20:])  # each keeps its arm


@pytest.mark.parametrize("stops", [False, True], ids=["asked again", "planned stop"])
def test_what_moves_or_was_known_is_not_counted_as_gone(stops: bool) -> None:
    fleet = Experimenting()
    fleet.takes_ms = 900.0
    fleet["a"].decisions.waits = stops
    fleet.take("n", 10)
    fleet.go(50.0)
    if stops:
        fleet["a"].tell(Stopping(3000.0))
        fleet.go(500.0)
    else:
        fleet.take("n", 10, at="b")
    found = fleet.summary()
    assert (found.requests, total(found, "served"), total(found, "gone")) == (10, 10, 0)
    assert found.adopted == (10 if stops else 0)


def test_origins_are_asked_for_in_the_turn_in_which_a_request_is_told() -> None:
    fleet = Fleet("a")
    gateway: Gateway = fleet["a"]
    told: list[Any] = []

    class Inside:
        def handle(self, now: float, event: Any) -> list[Any]:
            if isinstance(event, Request):
                told.append(gateway.stage.origin_of(event.request))
            return []

    gateway.stage.hands.inner = Inside()
    gateway.ask("n", READ)
    assert told == [(First("a.1", 1), gateway.now)]
