"""Steps about experiments on placements: who is counted where, and what it comes to."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from pytest_bdd import given, parsers, then

from meadowpulley.balance import Balancer
from meadowpulley.emulator.ledger import LedgerFigures
from meadowpulley.emulator.together import Place, Together
from meadowpulley.interface import Request, Settings
from meadowpulley.placement import (
    Arm,
    End,
    Experiment,
    PlacementStage,
    Summary,
    placements,
    read_summary,
    versions,
)
from meadowpulley.rules import Taken
from tests.stories.fleets import small_fleet
from tests.stories.tale import Tale

POLICY = {
    "the module's own choice": "own",
    "random of two": "two",
    "least outstanding": "least",
    "round robin": "round",
    "measured speed": "speed",
    "zone first": "zone",
    "key": "key",
}


class Labels:
    """Behind the stage: which key got which arm."""

    def __init__(self, inner: Any, tale: Tale) -> None:
        self.inner, self.tale = inner, tale

    def handle(self, now: float, event: Any) -> Any:
        if isinstance(event, Request) and event.arm:
            self.tale.labelled.append((event.key, event.arm))
        return self.inner.handle(now, event)


@given(
    parsers.re(
        r"a fleet of (?P<count>\d+) gateways that compare (?P<one>[a-z' ]+) with (?P<two>[a-z' ]+?)"
        r"(?:, by (?P<unit>\w+))?"
    )
)
def a_fleet_that_compares(tale: Tale, count: str, one: str, two: str, unit: str | None) -> None:
    tale.fleet = small_fleet(int(count))
    arms = (Arm("first", POLICY[one], 0.5), Arm("second", POLICY[two], 0.5))
    tale.experiment = Experiment(1, "story", arms, End(requests=100_000), unit or "request")  # type: ignore[arg-type]
    experiment = tale.experiment

    def make(place: Place) -> PlacementStage:
        return PlacementStage(Labels(place.inner, tale), experiment, place.settings, place.life)

    def decide(settings: Settings, seed: int) -> Any:
        return Balancer(settings, seed, placements(experiment, seed))

    tale.make = decide
    figures = LedgerFigures(term_ms=1000.0, one_machine=False)
    tale.together = Together(figures, inside=(make,), prefixes=("placement/",))


@given("another version of that experiment at the last gateway")
def another_version(tale: Tale) -> None:
    assert tale.together is not None
    (make,) = tale.together.inside
    last = len(tale.fleet.gateway_sites()) - 1

    def differ(place: Place) -> Any:
        stage: Any = make(place)
        if place.settings.gateway_index == last:
            arms = (Arm("first", "own", 0.9), Arm("second", "two", 0.1))
            other = Experiment(1, "story", arms, End(requests=100_000))
            stage = PlacementStage(place.inner, other, place.settings, place.life)
        return stage

    tale.together = replace(tale.together, inside=(differ,))


def summary(tale: Tale) -> Summary:
    """From the ledger's records alone, as an experimenter reads them."""
    result, ledger = tale.result, tale.world.ledger
    assert ledger is not None
    tale.world.run_until(result.lasted_ms + 5000.0)  # counts are written every 2 s
    records = ledger.store.scan("placement/story/")
    classes = tale.world.gateways[0].settings.classes
    return read_summary(tale.experiment, classes, records, ledger.store.members())


def counted(found: Summary) -> int:
    return found.requests + found.outside + found.held


@then("each request is counted exactly once")
def counted_once(tale: Tale) -> None:
    taken = len(tale.seen(Taken))
    assert 0 < counted(summary(tale)) == taken


@then(parsers.parse("no request is counted twice, and only gateway {number:d}'s last {last:g} s are missing"))
def counted_but(tale: Tale, number: int, last: float) -> None:
    times = [r.at for r in tale.seen(Taken) if r.gateway == number - 1]
    died = tale.gateway(number).died_at
    late = sum(died - last * 1000.0 <= at <= died for at in times)
    found, taken = counted(summary(tale)), len(tale.seen(Taken))
    assert late > 0 and taken - late <= found <= taken, (found, taken, late)


@then("both arms get about half of the requests")
def about_half(tale: Tale) -> None:
    found = summary(tale)
    first, second = (a.requests for a in found.arms if a.cls == "")
    assert found.split_p > 0.001 and abs(first - second) < 0.2 * (first + second), (first, second)


@then("each key is served by one arm only, at whichever gateway")
def one_arm_a_key(tale: Tale) -> None:
    """By what the arm's stages labelled, read from the assignment that all gateways share."""
    _ = tale.result
    seen: dict[int, set[int]] = {}
    for key, arm in tale.labelled:
        seen.setdefault(key, set()).add(arm)
    assert len(seen) > 20 and all(len(found) == 1 for found in seen.values())


@then(parsers.parse("gateway {number:d} says that its version is not the fleet's"))
def says_apart(tale: Tale, number: int) -> None:
    _ = tale.result
    assert any("is not the fleet's" in text for _, text in tale.gateway(number).decisions)


@then("the counts of the two versions are kept apart")
def kept_apart(tale: Tale) -> None:
    summary(tale)
    ledger = tale.world.ledger
    assert ledger is not None
    assert len(versions(tale.experiment, ledger.store.scan("placement/story/"))) == 2


@then("the guard ends no arm")
def guard_ends_none(tale: Tale) -> None:
    assert summary(tale).ended == ()
