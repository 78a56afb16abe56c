"""Options of the commands that study a load on a fleet, and the study that they name."""

from __future__ import annotations

import functools
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click
import xxhash

from meadowpulley.capacity import Demand, measure_demand
from meadowpulley.cli.common import DEFAULT_LOAD_FRACTION, FILE, InputError, read_bytes, read_fleet
from meadowpulley.experiment import LoadSpec, ResultStore
from meadowpulley.fleet import Fleet
from meadowpulley.load import LoadError, read_load

WHOLE_FILE_S = 1e9  # longer than any load file


@dataclass(frozen=True, slots=True)
class Study:
    """A load on a fleet, what it demands, and how to emulate it."""

    fleet: Fleet
    load: LoadSpec
    demand: Demand
    seeds: range
    workers: int | None
    store: ResultStore


@dataclass(frozen=True, slots=True)
class StudyOptions:
    """The options that name a study; the fleet has been read, the load has not."""

    fleet: Fleet
    load_file: Path | None
    profile: str
    rate: float | None
    seconds: float
    seed: int
    seed_count: int
    workers: int | None
    store_file: Path | None
    percentile: float

    def study(self) -> Study:
        """Read the load and measure its demand. Raises InputError or LoadError."""
        load = load_spec(self.fleet, self.load_file, self.profile, self.rate, self.seconds)
        demand = demand_from_options(self.fleet, load, self.seed, self.percentile)
        seeds = range(self.seed, self.seed + self.seed_count)
        return Study(self.fleet, load, demand, seeds, self.workers, ResultStore(self.store_file))


def seeds_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that say how often a load is emulated, and where the results are stored."""
    for option in (
        click.option("--seed", type=click.IntRange(0, 2**31), default=1, help="The first seed [1]."),
        click.option("--seeds", type=click.IntRange(2, 1000), default=4, show_default=True, help="How many."),
        click.option("--workers", type=click.IntRange(1, 1024), help="Processes; one a core else."),
        click.option("--store", type=FILE, help="Keep runs there and go on from it (JSON lines)."),
        click.option(
            "--percentile",
            type=click.FloatRange(0, 100),
            default=95.0,
            show_default=True,
            help="The busy rate: that of this percentile of the load's windows.",
        ),
    ):
        command = option(command)
    return command


def takes_study(command: Callable[..., int]) -> Callable[..., int]:
    """Call a command with `StudyOptions` as its first argument, in place of the options that they hold."""

    @functools.wraps(command)
    def run_command(
        fleet: Path,
        load: Path | None,
        profile: str,
        rate: float | None,
        seconds: float,
        seed: int,
        seeds: int,
        workers: int | None,
        store: Path | None,
        percentile: float,
        **other_options: Any,
    ) -> int:
        """Read the study that the options describe and pass it to the command."""
        options = StudyOptions(
            fleet=read_fleet(fleet),
            load_file=load,
            profile=profile,
            rate=rate,
            seconds=seconds,
            seed=seed,
            seed_count=seeds,
            workers=workers,
            store_file=store,
            percentile=percentile,
        )
        return command(options, **other_options)

    return run_command


def load_spec(fleet: Fleet, load: Path | None, profile: str, rate: float | None, seconds: float) -> LoadSpec:
    """Return the load that the options name, as a value that a run can be repeated from.

    Raises InputError or LoadError.
    """
    if load is not None:
        header = read_load(load)
        digest = xxhash.xxh3_128_hexdigest(read_bytes(load))
        return LoadSpec(file=str(header.path), digest=digest, seconds=WHOLE_FILE_S)
    default_per_s = DEFAULT_LOAD_FRACTION * fleet.capacity() * 1000 / fleet.mean_work_ms()
    return LoadSpec(profile=profile, per_s=rate if rate is not None else default_per_s, seconds=seconds)


def demand_from_options(fleet: Fleet, load: LoadSpec, seed: int, percentile: float) -> Demand:
    """Measure what a load demands of a fleet. Raises InputError or LoadError."""
    try:
        return measure_demand(fleet, load.arrivals(fleet, seed), percentile)
    except ValueError as error:
        raise error if isinstance(error, LoadError) else InputError(str(error)) from None
