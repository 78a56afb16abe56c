"""`meadowpulley load`: making, describing and changing loads."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import click
from msgspec.structs import replace

from meadowpulley.cli.common import (
    DEFAULT_LOAD_FRACTION,
    FILE,
    GOAL_MISSED,
    SUCCESS,
    TEST_BED_LIMITED,
    InputError,
    console,
    exits_with_code,
    fleet_option,
    json_option,
    make_table,
    percent,
    read_fleet,
    read_scenario,
    require_writable,
    seed_option,
    show_json,
)
from meadowpulley.fleet import Fleet
from meadowpulley.load import (
    PROFILES,
    Arrival,
    Header,
    merged,
    read_load,
    scaled,
    spliced,
    stretched,
    summarize,
    synthesize,
    write_load,
)

MAX_LOOPBACK_S = 600.0  # of a run on loopback


def load_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """The options that name a load: a file, or a profile with its rate and length."""
    for option in (
        click.option("--load", type=FILE, help="A load file; else one is made by a profile."),
        click.option("--profile", type=click.Choice(sorted(PROFILES)), default="steady", show_default=True),
        click.option(
            "--rate",
            type=click.FloatRange(0),
            help="Mean requests a second; else half of what the fleet can do.",
        ),
        click.option("--seconds", type=click.FloatRange(0, 1e7), default=60.0, show_default=True),
    ):
        command = option(command)
    return command


def open_load(
    fleet: Fleet, path: Path | None, profile: str, rate: float | None, seconds: float, seed: int
) -> Iterator[Arrival]:
    """Return the arrivals of a load file, or of a profile at `rate` requests per second."""
    if path is not None:
        return iter(read_load(path, frozenset(c.name for c in fleet.classes)))
    per_s = (
        rate if rate is not None else DEFAULT_LOAD_FRACTION * fleet.capacity() * 1000 / fleet.mean_work_ms()
    )
    return synthesize(fleet, PROFILES[profile], per_s, seconds, seed)


def report_written(as_json: bool, out: Path, count: int, description: str, **fields: Any) -> int:
    """Show the summary of a load file that was written, as text or as JSON."""
    if as_json:
        show_json({"file": str(out), "arrivals": count, **fields})
    else:
        console().print(f"{out}: {count} arrivals, {description}")
    return SUCCESS


@click.group()
def load() -> None:
    """Loads: make them, inspect them, scale and splice them."""


@load.command()
@fleet_option
@click.option("--profile", type=click.Choice(sorted(PROFILES)), default="steady", show_default=True)
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="Mean requests a second.")
@click.option("--seconds", type=click.FloatRange(0, 1e7, min_open=True), default=60.0, show_default=True)
@seed_option
@click.option("--out", type=FILE, required=True, help="Where to write it (.jsonl or .jsonl.gz).")
@json_option
@exits_with_code
def synth(
    fleet: Path, profile: str, rate: float | None, seconds: float, seed: int, out: Path, as_json: bool
) -> int:
    """Make a load by a profile. The same options make the same file."""
    fleet_description = read_fleet(fleet)
    arrivals = open_load(fleet_description, None, profile, rate, seconds, seed)
    header = Header(source=f"{profile}, seed {seed}, fleet {fleet_description.name}")
    count = write_load(require_writable(out), arrivals, header)
    return report_written(as_json, out, count, f"profile {profile}, seed {seed}", profile=profile, seed=seed)


@load.command()
@click.argument("load_file", type=FILE)
@json_option
@exits_with_code
def describe(load_file: Path, as_json: bool) -> int:
    """Show what a load contains, in one pass and bounded memory."""
    reader = read_load(load_file)
    summary = summarize(reader)
    notes = {
        "truncated": reader.truncated,
        "clock_jumps": reader.jumps,
        "out_of_order": reader.disordered,
        "dropped_at_capture": reader.header.dropped,
    }
    if as_json:
        show_json({**summary.table(), **notes})
        return SUCCESS
    output = console()
    rows = [
        [
            class_summary.name,
            str(class_summary.count),
            percent(class_summary.share),
            f"{class_summary.work_ms:.1f}",
            f"{class_summary.spread:.2f}",
        ]
        for class_summary in summary.classes
    ]
    output.print(make_table(str(load_file), ["class", "requests", "share", "work ms", "spread"], rows))
    sites = ", ".join(f"{name or 'unnamed'} {percent(share)}" for name, share in summary.sites.items())
    keys = f"{summary.keys}{' or more' if summary.more_keys else ''} keys"
    output.print(
        f"{summary.count} requests in {summary.seconds:.0f} s: {summary.per_s:.1f} a second, "
        f"{summary.peak_per_s:.0f} in the busiest; {summary.work_per_s / 1000:.2f} standard cores of work; "
        f"{keys}; sites {sites}"
    )
    for name, value in notes.items():
        if value:
            output.print(f"note: {name.replace('_', ' ')}: {value}")
    return SUCCESS


@load.command()
@click.argument("load_files", type=FILE, nargs=-1, required=True)
@click.option("--out", type=FILE, required=True, help="Where to write it (.jsonl or .jsonl.gz).")
@json_option
@exits_with_code
def capture(load_files: tuple[Path, ...], out: Path, as_json: bool) -> int:
    """Gather what gateways captured (MEADOWPULLEY_CAPTURE=FILE at each) into one load, by Unix time."""
    if out.resolve() in [p.resolve() for p in load_files]:
        raise InputError(f"{out}: is one of the captures that are read; name another file")
    readers = [read_load(path) for path in load_files]
    starts = [reader.header.started for reader in readers]
    if len(readers) > 1 and not all(starts):
        missing = readers[starts.index(0.0)].path
        raise InputError(
            f"{missing}: line 1: 'started' is missing; only captures of gateways can be gathered"
        )
    dropped = sum(reader.header.dropped for reader in readers)
    header = Header(source=", ".join(p.name for p in load_files), started=min(starts), dropped=dropped)
    count = write_load(require_writable(out), merged(*readers, starts=starts), header)
    description = f"of {len(readers)} captures, {dropped} dropped at capture"
    return report_written(as_json, out, count, description, captures=len(readers), dropped_at_capture=dropped)


@load.command()
@fleet_option
@load_options
@seed_option
@click.option("--scenario", type=FILE, help="Releases and faults (TOML).")
@click.option("--live/--no-live", help="Show it as it runs: a screen in a terminal, lines otherwise.")
@json_option
@exits_with_code
def run(
    fleet: Path,
    load: Path | None,
    profile: str,
    rate: float | None,
    seconds: float,
    seed: int,
    scenario: Path | None,
    live: bool,
    as_json: bool,
) -> int:
    """Play a load on loopback: real gateways before simulated servers. Exit code 3 if the test
    bed was the limit."""
    from meadowpulley.cli.capacity_options import load_spec
    from meadowpulley.cli.view import run_loopback_with_progress
    from meadowpulley.loopback import LoopbackError, LoopbackPlan, run_loopback

    fleet_description = read_fleet(fleet)
    spec = load_spec(fleet_description, load, profile, rate, seconds)
    if load is not None:
        spec = replace(spec, seconds=seconds)
    if spec.seconds > MAX_LOOPBACK_S:
        raise InputError(
            f"--seconds: {spec.seconds:g} is more than {MAX_LOOPBACK_S:g} on loopback; play a part of it"
        )
    try:
        plan = LoopbackPlan(fleet_description, spec, seed, seed, read_scenario(scenario, fleet_description))
        measurement = run_loopback_with_progress(plan) if live else run_loopback(plan)
    except LoopbackError as error:
        raise InputError(f"the rig: {error}") from None
    if as_json:
        show_json(
            {
                "figures": measurement.figures,
                "limits": measurement.limiting_factors,
                "wrong": measurement.wrong_responses,
                "rules_broken": measurement.violation_counts,
            }
        )
    else:
        rows = [[name, f"{value:.5g}"] for name, value in sorted(measurement.figures.items())]
        console().print(
            make_table(f"{fleet_description.name} on loopback, seed {seed}", ["figure", "value"], rows)
        )
    for text in measurement.violations[:10]:
        click.echo(f"rule broken: {text}", err=True)
    for text in measurement.limiting_factors:
        click.echo(f"the rig was the limit: {text}", err=True)
    return (
        TEST_BED_LIMITED
        if measurement.limiting_factors
        else SUCCESS
        if not (measurement.violation_counts or measurement.wrong_responses)
        else GOAL_MISSED
    )


@load.command()
@click.argument("load_files", type=FILE, nargs=-1, required=True)
@click.option(
    "--scale",
    type=click.FloatRange(0, 1000, min_open=True),
    default=1.0,
    show_default=True,
    help="Times the arrivals.",
)
@click.option(
    "--stretch",
    type=click.FloatRange(0, 1000, min_open=True),
    default=1.0,
    show_default=True,
    help="Times the length.",
)
@click.option(
    "--pause-ms", type=click.FloatRange(0), default=0.0, show_default=True, help="Between the loads."
)
@seed_option
@click.option("--out", type=FILE, required=True)
@json_option
@exits_with_code
def edit(
    load_files: tuple[Path, ...],
    scale: float,
    stretch: float,
    pause_ms: float,
    seed: int,
    out: Path,
    as_json: bool,
) -> int:
    """Splice loads one after another, scaled and stretched."""
    if out.resolve() in [p.resolve() for p in load_files]:
        raise InputError(f"{out}: is one of the loads that are read; name another file")
    readers = [read_load(path) for path in load_files]
    arrivals: Iterable[Arrival] = spliced(*readers, pause_ms=pause_ms)
    if stretch != 1.0:
        arrivals = stretched(arrivals, stretch)
    if scale != 1.0:
        arrivals = scaled(arrivals, scale, seed)
    source = f"{' + '.join(p.name for p in load_files)}, scale {scale:g}, stretch {stretch:g}, seed {seed}"
    count = write_load(require_writable(out), arrivals, Header(source=source))
    return report_written(as_json, out, count, source, source=source)
