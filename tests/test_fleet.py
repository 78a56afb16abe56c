"""Invalid fleet and scenario files are rejected with an error that names place and remedy."""

from __future__ import annotations

from pathlib import Path

import pytest

from meadowpulley.cli.demo import FLEET_TOML, demo_fleet
from meadowpulley.emulator import parse_scenario
from meadowpulley.fleet import FleetError, gateway_settings, parse_fleet
from meadowpulley.interface import Effect

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("version = 1", "", "version: missing; put 'version = 1' at the top"),
        ("version = 1", "version = 7", "version: 7 is not known here"),
        ('name = "demo"', 'name = "demo"\ncolour = 1', "colour"),
        ("cores = 2, speed = 1.5", "cores = 0, speed = 1.5", "kinds[0].cores: "),
        ("cores = 2, speed = 1.5", "cores = 2, speed = nan", "kinds[0].speed: nan is not a finite number"),
        ("cores = 2, speed = 1.5", "cores = 2, speed = -1", "kinds[0].speed: "),
        (
            'site = "hobart", kind = "fast-2core", count = 3',
            'site = "perth", kind = "fast-2core", count = 3',
            "servers[0].site: 'perth' is not described; known names are hobart, glenorchy, kingston",
        ),
        ('kind = "std-2core", count = 2', 'kind = "odd", count = 2', "servers[1].kind: 'odd' is not"),
        ('{ name = "kingston" }', '{ name = "hobart" }', "sites: 'hobart' is there twice"),
        ("deadline_ms = 3000", "deadline_ms = 300", "classes[0].deadline_ms: 300 is below its aim_ms"),
        ('effect = "unsafe"', 'effect = "keyed"', "classes[1].window_ms: "),
        ('effect = "unsafe"', 'effect = "maybe"', "classes[1].effect: "),
        (
            "clients = { retries = 1 }",
            "rollout = { stages = [0.5, 1.0] }",
            "rollout.caps: 3 caps for 2 stages",
        ),
        (
            "clients = { retries = 1 }",
            "rollout = { boot_ms = [9, 1] }",
            "rollout.boot_ms: minimum 9 is above maximum 1",
        ),
        ("version = 1", "version = ", "not valid TOML: "),
    ],
)
def test_invalid_fleet_error_names_file_place_and_remedy(old: str, new: str, expected: str) -> None:
    assert old in FLEET_TOML
    with pytest.raises(FleetError) as error:
        parse_fleet(FLEET_TOML.replace(old, new, 1).encode(), "fleet.toml")
    assert expected in str(error.value) and str(error.value).startswith("fleet.toml: ")
    assert "\n" not in str(error.value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('[[faults]]\nkind = "flood"\nat_ms = 1\nfor_ms = 1', "faults[0].kind: "),
        ('[[faults]]\nkind = "site_cut"\nat_ms = 1\nfor_ms = 1', "faults[0].site: missing"),
        ('[[faults]]\nkind = "silence"\nat_ms = 1\nfor_ms = 1\nsite = "perth"', "'perth' is not described"),
        ('[[faults]]\nkind = "fast_errors"\nat_ms = 1\nfor_ms = 1\namount = 2', "2 is no share"),
        ('[[faults]]\nkind = "slowness"\nat_ms = 1\nfor_ms = 1\namount = 0.5', "would make it quicker"),
        ("[[releases]]\nat_ms = 1\nbuild = { number = 1 }", "1 is not above 1; builds only rise"),
        ('[[releases]]\nat_ms = 1\nbuild = { number = 2, fails_class = "swim" }', "'swim' is no class"),
    ],
)
def test_invalid_scenario_error_names_file_place_and_remedy(text: str, expected: str) -> None:
    with pytest.raises(FleetError) as error:
        parse_scenario(f"version = 1\n{text}\n".encode(), "day.toml", demo_fleet())
    assert expected in str(error.value) and "\n" not in str(error.value)


def test_examples_are_valid_and_give_gateway_settings() -> None:
    fleet = parse_fleet((EXAMPLES / "three-sites.toml").read_bytes(), "three-sites.toml")
    parse_scenario((EXAMPLES / "hard-day.toml").read_bytes(), "hard-day.toml", fleet)
    settings = gateway_settings(fleet, 2)
    assert (settings.gateway_index, settings.gateway_count, settings.zone, settings.zones) == (
        2,
        3,
        2,
        ("hobart-cbd", "glenorchy", "kingston"),
    )
    assert [c.effect for c in settings.classes] == [Effect.IDEMPOTENT, Effect.NON_IDEMPOTENT]
    assert settings.rules.slow_start_initial_fraction == 0.5 and settings.rollout.caps == (0.17, 0.68, 1.0)
    assert fleet.capacity() == 4 * 3 + 2 * 3 + 3 * 2 + 5 * 2
