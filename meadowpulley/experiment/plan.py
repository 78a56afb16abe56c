"""File of an experiment: configurations and seeds over one described fleet."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import xxhash
from msgspec import Meta, Struct, field
from msgspec.structs import replace

from meadowpulley.emulator import Scenario, parse_scenario
from meadowpulley.experiment.cells import Cell, LoadSpec
from meadowpulley.fleet import Fleet, FleetError, parse_fleet, read_toml
from meadowpulley.fleet.model import Name, Positive, PositiveInt
from meadowpulley.load import PROFILES


class Configuration(Struct, frozen=True, forbid_unknown_fields=True):
    """One way to run. The load is `share` of the capacity, `rate` requests per second, or a `load` file.

    `servers` multiplies the servers of each group, rounded up.
    """

    name: Name
    share: Positive | None = None
    rate: Positive | None = None
    load: str | None = None
    profile: str = "steady"
    multiple: Positive = 1.0
    servers: Positive = 1.0
    scenario: str | None = None
    limits_concurrency: bool = field(default=True, name="refuses")


class ExperimentFile(Struct, frozen=True, forbid_unknown_fields=True):
    """A described experiment."""

    version: int
    name: Name
    fleet: str
    configurations: Annotated[tuple[Configuration, ...], Meta(min_length=1)]
    seconds: Positive = 60.0
    seeds: Annotated[tuple[Annotated[int, Meta(ge=0)], ...], Meta(min_length=1)] = (1, 2, 3)
    cores: PositiveInt | None = None


def with_servers(fleet: Fleet, factor: float) -> Fleet:
    """Return the fleet with so many times the servers of each group, rounded up."""
    if factor == 1.0:
        return fleet
    groups = tuple(replace(s, count=max(-(-int(s.count * factor * 1000) // 1000), 1)) for s in fleet.servers)
    return replace(fleet, servers=groups)


def parse_experiment(raw: bytes, file_name: str) -> ExperimentFile:
    """Parse and check an experiment file. Raises `FleetError`."""
    plan = read_toml(raw, file_name, ExperimentFile)
    names = [c.name for c in plan.configurations]
    for index, configuration in enumerate(plan.configurations):
        path = f"{file_name}: configurations[{index}]"
        if names.count(configuration.name) > 1:
            raise FleetError(f"{path}.name: '{configuration.name}' is there twice; names must differ")
        if sum(x is not None for x in (configuration.share, configuration.rate, configuration.load)) > 1:
            raise FleetError(f"{path}: 'share', 'rate' and 'load' exclude each other; give one")
        if configuration.profile not in PROFILES:
            raise FleetError(
                f"{path}.profile: '{configuration.profile}' is none; known are {', '.join(sorted(PROFILES))}"
            )
    return plan


def cells_of(plan: ExperimentFile, where: Path, read_file: Callable[[Path], bytes]) -> list[Cell]:
    """Return all cells of an experiment; paths in its file are relative to the file."""
    folder = where.parent
    fleet = parse_fleet(read_file(folder / plan.fleet), str(folder / plan.fleet))
    cells = []
    for configuration in plan.configurations:
        scenario = Scenario()
        if configuration.scenario is not None:
            path = folder / configuration.scenario
            scenario = parse_scenario(read_file(path), str(path), fleet)
        if configuration.load is not None:
            path = folder / configuration.load
            digest = xxhash.xxh3_128_hexdigest(read_file(path))
            load = LoadSpec(
                file=str(path), digest=digest, seconds=plan.seconds, multiple=configuration.multiple
            )
        else:
            share = configuration.share if configuration.share is not None else 0.5
            per_s = (
                configuration.rate
                if configuration.rate is not None
                else share * fleet.capacity() * 1000 / fleet.mean_work_ms()
            )
            load = LoadSpec(
                profile=configuration.profile,
                per_s=per_s,
                seconds=plan.seconds,
                multiple=configuration.multiple,
            )
        sized = with_servers(fleet, configuration.servers)
        cells += [
            Cell(configuration.name, sized, load, seed, scenario, configuration.limits_concurrency)
            for seed in plan.seeds
        ]
    return cells
