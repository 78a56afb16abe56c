"""`meadowpulley load`: making, describing and changing loads."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import click
from msgspec.structs import replace

from meadowpulley.cli.common import (
    FILE,
    GOOD,
    MISSED,
    RIG_LIMIT,
    InputError,
    console,
    fleet_option,
    guarded,
    json_option,
    make_table,
    percent,
    read_fleet,
    read_scenario,
    seed_option,
    show_json,
    writable,
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

LONGEST_S = 600.0  # of a run on loopback
USUAL_LOAD = 0.5  # of what all servers can do, where no rate is given


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
    if path is not None:
        return iter(read_load(path, frozenset(c.name for c in fleet.classes)))
    per_s = rate if rate is not None else USUAL_LOAD * fleet.capacity() * 1000 / fleet.mean_work_ms()
    return synthesize(fleet, PROFILES[profile], per_s, seconds, seed)


def written(as_json: bool, out: Path, count: int, about: str, **more: Any) -> int:
    """Tells of a load file that was written, to people or to programs."""
    if as_json:
        show_json({"file": str(out), "arrivals": count, **more})
    else:
        console().print(f"{out}: {count} arrivals, {about}")
    return GOOD


@click.group()
def load() -> None:
    """Loads: make them, look into them, scale and splice them."""


@load.command()
@fleet_option
@click.option("--profile", type=click.Choice(sorted(PROFILES)), default="steady", show_default=True)
@click.option("--rate", type=click.FloatRange(0, min_open=True), help="Mean requests a second.")
@click.option("--seconds", type=click.FloatRange(0, 1e7, min_open=True), default=60.0, show_default=True)
@seed_option
@click.option("--out", type=FILE, required=True, help="Where to write it (.jsonl or .jsonl.gz).")
@json_option
@guarded
def synth(
    fleet: Path, profile: str, rate: float | None, seconds: float, seed: int, out: Path, as_json: bool
) -> int:
    """Make a load by a profile. The same options make the same file."""
    described = read_fleet(fleet)
    arrivals = open_load(described, None, profile, rate, seconds, seed)
    header = Header(source=f"{profile}, seed {seed}, fleet {described.name}")
    count = write_load(writable(out), arrivals, header)
    return written(as_json, out, count, f"profile {profile}, seed {seed}", profile=profile, seed=seed)


@load.command()
@click.argument("load_file", type=FILE)
@json_option
@guarded
def describe(load_file: Path, as_json: bool) -> int:
    """Tell what a load holds, in one pass and bounded memory."""
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
        return GOOD
    shown = console()
    rows = [
        [c.name, str(c.count), percent(c.share), f"{c.work_ms:.1f}", f"{c.spread:.2f}"]
        for c in summary.classes
    ]
    shown.print(make_table(str(load_file), ["class", "requests", "share", "work ms", "spread"], rows))
    sites = ", ".join(f"{name or 'unnamed'} {percent(share)}" for name, share in summary.sites.items())
    keys = f"{summary.keys}{' or more' if summary.more_keys else ''} keys"
    shown.print(
        f"{summary.count} requests in {summary.seconds:.0f} s: {summary.per_s:.1f} a second, "
        f"{summary.peak_per_s:.0f} in the busiest; {summary.work_per_s / 1000:.2f} standard cores of work; "
        f"{keys}; sites {sites}"
    )
    for name, value in notes.items():
        if value:
            shown.print(f"note: {name.replace('_', ' ')}: {value}")
    return GOOD


@load.command()
@click.argument("load_files", type=FILE, nargs=-1, required=True)
@click.option("--out", type=FILE, required=True, help="Where to write it (.jsonl or .jsonl.gz).")
@json_option
@guarded
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
    count = write_load(writable(out), merged(*readers, starts=starts), header)
    about = f"of {len(readers)} captures, {dropped} dropped at capture"
    return written(as_json, out, count, about, captures=len(readers), dropped_at_capture=dropped)


@load.command()
@fleet_option
@load_options
@seed_option
@click.option("--scenario", type=FILE, help="Releases and faults (TOML).")
@click.option("--live/--no-live", help="Show it as it runs: a screen in a terminal, lines elsewhere.")
@json_option
@guarded
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
    """Play a load on loopback: real gateways before stand-in servers. Exit code 3 if the rig was the
    limit."""
    from meadowpulley.cli.capacity import load_spec
    from meadowpulley.cli.view import play_rig
    from meadowpulley.rig import RigError, RigPlan, run_rig

    described = read_fleet(fleet)
    spec = load_spec(described, load, profile, rate, seconds)
    if load is not None:
        spec = replace(spec, seconds=seconds)
    if spec.seconds > LONGEST_S:
        raise InputError(
            f"--seconds: {spec.seconds:g} is more than {LONGEST_S:g} on loopback; play a part of it"
        )
    try:
        plan = RigPlan(described, spec, seed, seed, read_scenario(scenario, described))
        found = play_rig(plan) if live else run_rig(plan)
    except RigError as error:
        raise InputError(f"the rig: {error}") from None
    if as_json:
        show_json(
            {
                "figures": found.figures,
                "limits": found.limits,
                "wrong": found.wrong,
                "rules_broken": found.broken,
            }
        )
    else:
        rows = [[name, f"{value:.5g}"] for name, value in sorted(found.figures.items())]
        console().print(make_table(f"{described.name} on loopback, seed {seed}", ["figure", "value"], rows))
    for text in found.breaches[:10]:
        click.echo(f"rule broken: {text}", err=True)
    for text in found.limits:
        click.echo(f"the rig was the limit: {text}", err=True)
    return RIG_LIMIT if found.limits else GOOD if not (found.broken or found.wrong) else MISSED


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
@guarded
def edit(
    load_files: tuple[Path, ...],
    scale: float,
    stretch: float,
    pause_ms: float,
    seed: int,
    out: Path,
    as_json: bool,
) -> int:
    """Splice loads one behind another, scaled and stretched."""
    if out.resolve() in [p.resolve() for p in load_files]:
        raise InputError(f"{out}: is one of the loads that are read; name another file")
    readers = [read_load(path) for path in load_files]
    arrivals: Iterable[Arrival] = spliced(*readers, pause_ms=pause_ms)
    if stretch != 1.0:
        arrivals = stretched(arrivals, stretch)
    if scale != 1.0:
        arrivals = scaled(arrivals, scale, seed)
    source = f"{' + '.join(p.name for p in load_files)}, scale {scale:g}, stretch {stretch:g}, seed {seed}"
    count = write_load(writable(out), arrivals, Header(source=source))
    return written(as_json, out, count, source, source=source)
