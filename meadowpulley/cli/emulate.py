"""`meadowpulley emulate`: one run of a described fleet in virtual time."""

from __future__ import annotations

import time
from contextlib import ExitStack
from pathlib import Path

import click

from meadowpulley.cli.common import (
    FILE,
    GOOD,
    MISSED,
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
from meadowpulley.cli.load import load_options, open_load
from meadowpulley.cli.view import play
from meadowpulley.emulator import Result, World
from meadowpulley.report import write_run_report
from meadowpulley.rules import Record, trace_line


def show_result(result: Result, took_s: float) -> None:
    out = console()
    rows = [
        [
            c.name,
            str(c.asked),
            percent(c.in_aim / c.asked) if c.asked else "-",
            str(c.late),
            str(c.refused),
            str(c.failed),
            percent(c.worth_share),
            f"{c.latency_ms(50):.0f}",
            f"{c.latency_ms(99):.0f}",
        ]
        for c in result.classes
    ]
    columns = ["class", "asked", "in aim", "late", "refused", "failed", "worth", "p50 ms", "p99 ms"]
    out.print(make_table("Answers", columns, rows))
    rows = [
        [name, percent(busy)] for name, busy in {**result.busy_by("site"), **result.busy_by("kind")}.items()
    ]
    out.print(make_table("Utilisation of cores", ["site or kind", "busy"], rows))
    for breach in result.breaches[:10]:
        out.print(f"[red]rule broken[/] {breach}")
    verdict = "rules kept" if not result.broken else f"rules broken: {sum(result.broken.values())} times"
    speed = result.asks / took_s if took_s > 0 else 0.0
    out.print(
        f"{result.asks} requests in {result.lasted_ms / 1000:.0f} s of virtual time, worth kept "
        f"{percent(result.worth_share, 2)}, {verdict}; {speed:.0f} requests a second of real time"
    )


@click.command()
@fleet_option
@load_options
@click.option("--scenario", type=FILE, help="Releases and faults, at their times (TOML).")
@seed_option
@click.option("--trace", type=FILE, help="Write each record of the run there, as JSON lines.")
@click.option("--report", type=FILE, help="Write a report there (.html or .md, with charts).")
@click.option("--live", is_flag=True, help="Watch the run as it goes on.")
@click.option(
    "--pace",
    type=click.FloatRange(0.1, 1000),
    default=5.0,
    show_default=True,
    help="With --live: seconds of virtual time in one of real time.",
)
@json_option
@guarded
def emulate(
    fleet: Path,
    load: Path | None,
    profile: str,
    rate: float | None,
    seconds: float,
    scenario: Path | None,
    seed: int,
    trace: Path | None,
    report: Path | None,
    live: bool,
    pace: float,
    as_json: bool,
) -> int:
    """Play a load on an emulated fleet around real decisions; exit code 1 if a rule was broken."""
    described = read_fleet(fleet)
    told = read_scenario(scenario, described)
    arrivals = open_load(described, load, profile, rate, seconds, seed)
    if report is not None and report.suffix not in (".html", ".md"):
        raise InputError(f"{report}: reports end in .html or .md; name one so")
    with ExitStack() as stack:
        record = None
        if trace is not None:
            file = stack.enter_context(open(writable(trace), "wb"))

            def record(one: Record) -> None:
                file.write(trace_line(one) + b"\n")

        if report is not None:
            writable(report)
        world = World(described, arrivals, seed, told, trace=record)
        began = time.monotonic()
        result = play(world, pace) if live else world.run()
        took = time.monotonic() - began
    if report is not None:
        write_run_report(result, report, f"Run of {described.name}, seed {seed}")
    if as_json:
        show_json(result.table())
    else:
        show_result(result, took)
    return MISSED if result.broken else GOOD
