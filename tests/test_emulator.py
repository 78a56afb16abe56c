"""The emulated fleet around real decisions: runs that replay, troubles that show, and rules that hold."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from msgspec.structs import replace

from meadowpulley.balance import Balancer, requests, sending
from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import Build, Fault, Release, Result, Scenario, World, emulate, parse_scenario
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.interface import Action, EndpointUpdate, EndpointUpdateKind, Event, Phase, ServerState
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.rules import Record, trace_line

EXAMPLES = Path(__file__).parent.parent / "examples"


def three_sites() -> Fleet:
    path = EXAMPLES / "three-sites.toml"
    return parse_fleet(path.read_bytes(), path.name)


def play(
    scenario: Scenario,
    per_s: float = 60.0,
    seconds: float = 20.0,
    seed: int = 3,
    fleet: Fleet | None = None,
    **more: Any,
) -> Result:
    fleet = fleet or demo_fleet()
    return World(
        fleet, synthesize(fleet, PROFILES["steady"], per_s, seconds, seed), seed, scenario, **more
    ).run()


def faults(kind: Any, at: float = 5000.0, lasts: float = 8000.0, **more: Any) -> Scenario:
    return Scenario(faults=(Fault(kind, at, lasts, **more),))


def test_one_seed_is_one_trace_byte_for_byte() -> None:
    releases = (Release(2000.0, Build(2)), Release(14_000.0, Build(3, fails=0.5)))
    scenario = Scenario(releases=releases, faults=(Fault("gateway_crash", 9000.0, 2000.0, part=0.3),))

    def digest(seed: int) -> tuple[str, dict[str, Any]]:
        found = hashlib.sha256()

        def see(record: Record) -> None:
            found.update(trace_line(record) + b"\n")

        result = play(scenario, seconds=18.0, seed=seed, trace=see)
        return found.hexdigest(), result.table()

    assert digest(11) == digest(11)
    assert digest(11)[0] != digest(12)[0]


def test_a_good_build_is_released_and_a_bad_one_sent_back_and_all_rules_kept() -> None:
    fleet = demo_fleet()
    bad = Build(3, fails=0.4, fails_class="zone-change")
    scenario = Scenario(releases=(Release(3000.0, Build(2, speed=1.05)), Release(34_000.0, bad)))
    world = World(fleet, synthesize(fleet, PROFILES["steady"], 90.0, 52.0, 1), 1, scenario)
    result = world.run()
    stands = {(s.build, s.phase) for s in world.platform.history}
    assert (2, Phase.RELEASED) in stands and (3, Phase.ROLLED_BACK) in stands
    assert not result.broken, result.breaches[:3]
    assert result.worth_share > 0.98


@pytest.mark.parametrize(
    ("scenario", "least", "most"),
    [
        (faults("dependency", amount=2.0), 0.9, 1.0),
        (faults("slowness", amount=3.0, part=0.2), 0.9, 1.0),
        (faults("neighbour", amount=3.0, part=0.2), 0.9, 1.0),
        (faults("fast_errors", amount=0.9, part=0.2), 0.85, 0.999),
        (faults("silence", part=0.1), 0.85, 0.999),
        (faults("lost_answers", amount=0.5, part=0.2), 0.8, 0.999),
        (faults("vanish", part=0.2), 0.8, 0.9999),
        (faults("crash", part=0.2), 0.8, 0.9999),
        (faults("site_cut", site="kingston"), 0.6, 0.999),
        (faults("discovery_down"), 0.97, 1.0),
        (faults("discovery_stale", amount=4000.0), 0.97, 1.0),
        (faults("platform_down"), 0.97, 1.0),
        (faults("platform_late", amount=3000.0), 0.97, 1.0),
        (faults("peers_lost"), 0.97, 1.0),
        (faults("gateway_crash", lasts=2000.0, part=0.4), 0.7, 0.9999),
    ],
    ids=lambda value: value.faults[0].kind if isinstance(value, Scenario) else None,
)
def test_each_trouble_costs_what_it_should_and_no_rule(scenario: Scenario, least: float, most: float) -> None:
    result = play(scenario, seconds=16.0)
    assert least <= result.worth_share <= most
    assert not result.broken, result.breaches[:3]
    assert [what for _, what in result.events if what.startswith("fault")] == [
        f"fault on: {scenario.faults[0].kind}",
        f"fault off: {scenario.faults[0].kind}",
    ]


def test_the_example_day_keeps_all_rules() -> None:
    fleet = three_sites()
    scenario = parse_scenario((EXAMPLES / "hard-day.toml").read_bytes(), "hard-day.toml", fleet)
    result = play(scenario, per_s=70.0, seconds=30.0, fleet=fleet)
    assert not result.broken, result.breaches[:3]


Patches = tuple[tuple[Any, str, Callable[..., Any]], ...]

# Planted bugs: what is put in place of parts of the decisions.
RECKLESS: Patches = (  # the one check of every attempt passes everything, and no window spreads the harm
    (sending, "_may_send", lambda b, held, server: True),
    (sending, "near_of", lambda b, group: {}),
)
GREEDY: Patches = (  # the coin always falls on the trial build, and exposure is not looked at
    (sending, "_within_exposure", lambda b, held, server: True),
    (sending, "_coin", lambda b: 1.0),
)
FORGETFUL: Patches = (  # what is given up is never answered
    (requests, "_give_up", lambda b, held: b.held.pop(held.r.request, None)),
)


class Stubborn(Balancer):
    """A planted bug: servers that drain or go stay in use."""

    def handle(self, now: float, event: Event) -> list[Action]:
        if isinstance(event, EndpointUpdate):
            kept = tuple(e for e in event.entries if e.state is ServerState.READY)
            kind = EndpointUpdateKind.INCREMENTAL if event.kind is EndpointUpdateKind.FULL else event.kind
            event = EndpointUpdate(kind, event.version, kept)
        return super().handle(now, event)


@pytest.mark.parametrize(
    ("make", "patches", "scenario", "rules"),
    [
        (Balancer, GREEDY, Scenario(releases=(Release(2000.0, Build(2)),)), {"exposure"}),
        (Balancer, RECKLESS, Scenario(releases=(Release(2000.0, Build(2)),)), {"one-way"}),
        (Balancer, RECKLESS, faults("vanish", part=0.4, lasts=4000.0), {"effects"}),
        (Balancer, RECKLESS, faults("vanish", part=0.9, lasts=4000.0), {"cold"}),
        (Balancer, FORGETFUL, faults("vanish", part=0.9), {"answers"}),
        (Stubborn, (), Scenario(releases=(Release(1000.0, Build(2)),)), {"drains"}),
    ],
    ids=["exposure", "one-way", "effects", "cold", "answers", "drains"],
)
def test_a_planted_bug_breaks_its_rule_and_the_checker_says_so(
    monkeypatch: pytest.MonkeyPatch, make: Any, patches: Patches, scenario: Scenario, rules: set[str]
) -> None:
    for module, name, planted in patches:
        monkeypatch.setattr(module, name, planted)
    result = play(scenario, per_s=110.0, seconds=48.0 if make is Stubborn else 16.0, make=make)
    assert rules <= set(result.broken), dict(result.broken)


def test_no_load_is_no_trouble() -> None:
    result = play(Scenario(), per_s=0.0)
    assert result.asks == 0 and result.worth_share == 1.0 and not result.broken


def test_one_server_one_class_one_gateway() -> None:
    text = b"""
version = 1
name = "small"
sites = [{ name = "only" }]
kinds = [{ name = "m", cores = 1, slots = 4, queue = 4 }]
servers = [{ site = "only", kind = "m", count = 1 }]
classes = [{ name = "look", share = 1, work_ms = 50, aim_ms = 500, deadline_ms = 1000 }]
gateways = [{ site = "only", count = 1 }]
"""
    fleet = parse_fleet(text, "small.toml")
    result = emulate(fleet, synthesize(fleet, PROFILES["steady"], 10.0, 20.0, 1), 1)
    assert result.worth_share > 0.9 and not result.broken
    assert result.busy_by("site")["only"] == pytest.approx(0.5, abs=0.15)


def test_a_gateway_that_is_too_slow_breaks_before_its_servers() -> None:
    fleet = three_sites()
    slow = replace(fleet, gateways=tuple(replace(g, request_ms=60.0) for g in fleet.gateways))
    result = play(Scenario(), per_s=60.0, seconds=12.0, fleet=slow)
    assert min(g.busy for g in result.gateways) > 0.6 and max(result.busy_by("site").values()) < 0.4
    assert result.worth_share < 0.9
