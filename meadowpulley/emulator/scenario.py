"""Scenario of a run: releases and faults at their times, read from a TOML file."""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

from meadowpulley.emulator.builds import Build
from meadowpulley.fleet import Fleet, FleetError, read_toml
from meadowpulley.fleet.model import Name, NotNegative, Positive, PositiveShare

FaultKind = Literal[
    "fast_errors",
    "silence",
    "lost_answers",
    "slowness",
    "dependency",
    "neighbour",
    "vanish",
    "crash",
    "site_cut",
    "discovery_down",
    "discovery_stale",
    "platform_down",
    "platform_late",
    "peers_lost",
    "gateway_crash",
    "silent_watches",
]


class Release(Struct, frozen=True, forbid_unknown_fields=True):
    """A build offered at `at_ms`; a trial still in progress then ends."""

    at_ms: NotNegative
    build: Build


class Fault(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault from `at_ms` on for `duration_ms`.

    `share` of the servers (or gateways) is affected, at `site` where one is named. `amount` is a share of
    responses for errors and losses, a factor for slowness, and milliseconds for delays.
    """

    kind: FaultKind
    at_ms: NotNegative
    duration_ms: Positive = field(name="for_ms")
    amount: NotNegative = 1.0
    share: PositiveShare = field(default=1.0, name="part")
    site: Name | None = None


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """Releases and faults of a run, each in order of time."""

    version: int = 1
    first_build: int = 1
    releases: tuple[Release, ...] = ()
    faults: tuple[Fault, ...] = ()


def parse_scenario(raw: bytes, file_name: str, fleet: Fleet) -> Scenario:
    """Parse a scenario file and check it against its fleet. Raises `FleetError`."""
    scenario = read_toml(raw, file_name, Scenario)
    check_scenario(scenario, file_name, fleet)
    return scenario


def check_scenario(scenario: Scenario, file_name: str, fleet: Fleet) -> None:
    """Check a scenario against its fleet. Raises `FleetError`."""
    _check_releases(scenario, file_name, [each.name for each in fleet.classes])
    _check_faults(scenario, file_name, [site.name for site in fleet.sites])


def _check_releases(scenario: Scenario, file_name: str, classes: list[str]) -> None:
    last_build = scenario.first_build
    last_at = -1.0
    for index, release in enumerate(scenario.releases):
        path = f"{file_name}: releases[{index}]"
        if release.build.number <= last_build:
            raise FleetError(
                f"{path}.build.number: {release.build.number} is not above {last_build}; builds only rise"
            )
        if release.at_ms <= last_at:
            raise FleetError(
                f"{path}.at_ms: {release.at_ms:g} is not after the release before; put them in order"
            )
        if release.build.failing_class is not None and release.build.failing_class not in classes:
            known_classes = ", ".join(classes)
            raise FleetError(
                f"{path}.build.fails_class: '{release.build.failing_class}' is no class; "
                f"known are {known_classes}"
            )
        last_build = release.build.number
        last_at = release.at_ms


def _check_faults(scenario: Scenario, file_name: str, sites: list[str]) -> None:
    for index, fault in enumerate(scenario.faults):
        path = f"{file_name}: faults[{index}]"
        if fault.site is not None and fault.site not in sites:
            raise FleetError(f"{path}.site: '{fault.site}' is not described; known are {', '.join(sites)}")
        if fault.kind == "site_cut" and fault.site is None:
            raise FleetError(f"{path}.site: missing; a cut names the site")
        if fault.kind in ("fast_errors", "lost_answers") and fault.amount > 1:
            raise FleetError(f"{path}.amount: {fault.amount:g} is no share; give 0 to 1")
        if fault.kind in ("slowness", "dependency", "neighbour") and fault.amount < 1:
            raise FleetError(f"{path}.amount: {fault.amount:g} would make it quicker; give 1 or more")
