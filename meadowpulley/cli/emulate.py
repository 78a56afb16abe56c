"""`meadowpulley emulate`: one run of a described fleet in virtual time."""

from __future__ import annotations

import time
from contextlib import ExitStack
from pathlib import Path

import click

from meadowpulley.cli.common import (
    FILE,
    GOAL_MISSED,
    SUCCESS,
    check_report_format,
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
from meadowpulley.cli.load import load_options, open_load
from meadowpulley.cli.view import play_emulation
from meadowpulley.emulator import Emulation, EmulationResult
from meadowpulley.report import write_run_report
from meadowpulley.rules import Record, trace_line


def show_result(result: EmulationResult, took_s: float) -> None:
    """Show the result of a run, which took `took_s` seconds."""
    output = console()
    rows = [
        [
            c.name,
            str(c.calls),
            percent(c.within_objective / c.calls) if c.calls else "-",
            str(c.late),
            str(c.rejected),
            str(c.failed),
            percent(c.served_weight_share),
            f"{c.latency_ms(50):.0f}",
            f"{c.latency_ms(99):.0f}",
        ]
        for c in result.classes
    ]
    columns = ["class", "asked", "in aim", "late", "refused", "failed", "worth", "p50 ms", "p99 ms"]
    output.print(make_table("Answers", columns, rows))
    rows = [
        [name, percent(busy)]
        for name, busy in {**result.utilisation_by("site"), **result.utilisation_by("kind")}.items()
    ]
    output.print(make_table("Utilisation of cores", ["site or kind", "busy"], rows))
    for breach in result.violations[:10]:
        output.print(f"[red]rule broken[/] {breach}")
    verdict = (
        "rules kept"
        if not result.violation_counts
        else f"rules broken: {sum(result.violation_counts.values())} times"
    )
    speed = result.calls / took_s if took_s > 0 else 0.0
    output.print(
        f"{result.calls} requests in {result.elapsed_ms / 1000:.0f} s of virtual time, worth kept "
        f"{percent(result.served_weight_share, 2)}, {verdict}; {speed:.0f} requests a second of real time"
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
@exits_with_code
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
    fleet_description = read_fleet(fleet)
    run_scenario = read_scenario(scenario, fleet_description)
    arrivals = open_load(fleet_description, load, profile, rate, seconds, seed)
    if report is not None:
        check_report_format(report)
    with ExitStack() as stack:
        write_record = None
        if trace is not None:
            file = stack.enter_context(open(require_writable(trace), "wb"))

            def write_record(record: Record) -> None:
                """Write a trace record as one line of the file."""
                file.write(trace_line(record) + b"\n")

        if report is not None:
            require_writable(report)
        world = Emulation(fleet_description, arrivals, seed, run_scenario, on_record=write_record)
        started_at = time.monotonic()
        result = play_emulation(world, pace) if live else world.run()
        elapsed_s = time.monotonic() - started_at
    if report is not None:
        write_run_report(result, report, f"Run of {fleet_description.name}, seed {seed}")
    if as_json:
        show_json(result.table())
    else:
        show_result(result, elapsed_s)
    return GOAL_MISSED if result.violation_counts else SUCCESS
