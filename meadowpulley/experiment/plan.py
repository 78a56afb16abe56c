"""The file of an experiment: configurations and seeds, over one described fleet."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import xxhash
from msgspec import Meta, Struct
from msgspec.structs import replace

from meadowpulley.emulator import Scenario, parse_scenario
from meadowpulley.experiment.cells import Cell, LoadSpec
from meadowpulley.fleet import Fleet, FleetError, parse_fleet, read_intent
from meadowpulley.fleet.model import Name, Positive, Whole
from meadowpulley.load import PROFILES


class Configuration(Struct, frozen=True, forbid_unknown_fields=True):
    """One way to run. `share`: mean work asked, of what all servers can do; or `rate`, requests a second; or
    a `load` file. `servers`: times the servers described, rounded up, for each group."""

    name: Name
    share: Positive | None = None
    rate: Positive | None = None
    load: str | None = None
    profile: str = "steady"
    multiple: Positive = 1.0
    servers: Positive = 1.0
    scenario: str | None = None
    refuses: bool = True


class ExperimentFile(Struct, frozen=True, forbid_unknown_fields=True):
    version: int
    name: Name
    fleet: str
    configurations: Annotated[tuple[Configuration, ...], Meta(min_length=1)]
    seconds: Positive = 60.0
    seeds: Annotated[tuple[Annotated[int, Meta(ge=0)], ...], Meta(min_length=1)] = (1, 2, 3)
    cores: Whole | None = None


def with_servers(fleet: Fleet, times: float) -> Fleet:
    """The fleet with so many times the servers of each group, rounded up."""
    if times == 1.0:
        return fleet
    groups = tuple(replace(s, count=max(-(-int(s.count * times * 1000) // 1000), 1)) for s in fleet.servers)
    return replace(fleet, servers=groups)


def parse_experiment(raw: bytes, where: str) -> ExperimentFile:
    """An experiment's file, checked. Raises FleetError, one line."""
    plan = read_intent(raw, where, ExperimentFile)
    names = [c.name for c in plan.configurations]
    for n, c in enumerate(plan.configurations):
        path = f"{where}: configurations[{n}]"
        if names.count(c.name) > 1:
            raise FleetError(f"{path}.name: '{c.name}' is there twice; names must differ")
        if sum(x is not None for x in (c.share, c.rate, c.load)) > 1:
            raise FleetError(f"{path}: 'share', 'rate' and 'load' exclude each other; give one")
        if c.profile not in PROFILES:
            raise FleetError(
                f"{path}.profile: '{c.profile}' is none; known are {', '.join(sorted(PROFILES))}"
            )
    return plan


def cells_of(plan: ExperimentFile, where: Path, read: Callable[[Path], bytes]) -> list[Cell]:
    """All cells of an experiment, configuration by configuration. Paths in the file are relative to it;
    `read` fetches a file's bytes."""
    folder = where.parent
    fleet = parse_fleet(read(folder / plan.fleet), str(folder / plan.fleet))
    cells = []
    for c in plan.configurations:
        scenario = Scenario()
        if c.scenario is not None:
            path = folder / c.scenario
            scenario = parse_scenario(read(path), str(path), fleet)
        if c.load is not None:
            path = folder / c.load
            digest = xxhash.xxh3_128_hexdigest(read(path))
            load = LoadSpec(file=str(path), digest=digest, seconds=plan.seconds, multiple=c.multiple)
        else:
            share = c.share if c.share is not None else 0.5
            per_s = c.rate if c.rate is not None else share * fleet.capacity() * 1000 / fleet.mean_work_ms()
            load = LoadSpec(profile=c.profile, per_s=per_s, seconds=plan.seconds, multiple=c.multiple)
        sized = with_servers(fleet, c.servers)
        cells += [Cell(c.name, sized, load, seed, scenario, c.refuses) for seed in plan.seeds]
    return cells
