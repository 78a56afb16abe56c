"""`meadowpulley experiment`: configurations times seeds, stored as tables, compared in pairs."""

from __future__ import annotations

import json
import subprocess
from pathlib import Path
from typing import Any

import click
import msgspec

from meadowpulley.cli.common import (
    FILE,
    GOAL_MISSED,
    SUCCESS,
    InputError,
    check_report_format,
    console,
    exits_with_code,
    json_option,
    make_table,
    read_bytes,
    show_json,
)
from meadowpulley.cli.progress import ProgressBar
from meadowpulley.experiment import (
    ResultStore,
    RunResult,
    cells_of,
    paired_differences,
    parse_experiment,
    run_cells,
    summary_rows,
    write_tables,
)
from meadowpulley.report import Page, PageTable, Section, line_chart, write_page
from meadowpulley.report.charts import Line

SUMMARY_FIGURES = ("worth", "in_aim", "refused", "failed", "served_per_s", "gateway_busy")
FOLDER = click.Path(file_okay=False, path_type=Path)


def current_commit() -> str:
    """The repository's commit, for the record; 'unknown' outside one."""
    try:
        result = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--exclude", "*"],
            capture_output=True,
            text=True,
            timeout=10,
            check=False,
            cwd=Path(__file__).parent,
        )
    except OSError:
        return "unknown"
    return result.stdout.strip() or "unknown"


def read_rows(folder: Path) -> list[RunResult]:
    """Return the rows of an experiment's table. Raises InputError."""
    table = folder / "table.json"
    try:
        raw = json.loads(read_bytes(table))
        return [
            RunResult(
                "",
                str(r["configuration"]),
                int(r["seed"]),
                {k: float(v) for k, v in r.items() if isinstance(v, float)},
                dict(r["rules_broken"]),
            )
            for r in raw["rows"]
        ]
    except (ValueError, KeyError, TypeError) as error:
        raise InputError(f"{table}: no table of an experiment ({error}); run one first") from None


@click.group()
def experiment() -> None:
    """Runs of the emulator side by side: configurations times seeds."""


@experiment.command()
@click.argument("experiment_file", type=FILE)
@click.option(
    "--out", type=FOLDER, required=True, help="A folder for tables; an interrupted run goes on there."
)
@click.option("--workers", type=click.IntRange(1, 1024), help="Processes; one a core else.")
@json_option
@exits_with_code
def run(experiment_file: Path, out: Path, workers: int | None, as_json: bool) -> int:
    """Run an experiment. Exit code 1 if a rule was broken in any run."""
    plan = parse_experiment(read_bytes(experiment_file), str(experiment_file))
    cells = cells_of(plan, experiment_file, read_bytes)
    out.mkdir(parents=True, exist_ok=True)
    store = ResultStore(out / "runs.jsonl")
    with ProgressBar(plan.name) as progress:
        rows = run_cells(cells, store, workers or plan.cores, progress=progress)
    metadata: dict[str, Any] = {
        "experiment": plan.name,
        "commit": current_commit(),
        "seeds": list(plan.seeds),
        "command": f"meadowpulley experiment run {experiment_file} --out {out}",
    }
    write_tables(rows, out, metadata)
    if as_json:
        show_json({**metadata, "rows": [msgspec.to_builtins(row) for row in rows]})
    else:
        lines = summary_rows(rows, SUMMARY_FIGURES)
        columns = ["configuration", "seeds", *SUMMARY_FIGURES, "rules broken"]
        console().print(make_table(f"{plan.name}: means, 95% intervals", columns, lines))
        console().print(f"tables: {out}")
    return GOAL_MISSED if any(row.violation_counts for row in rows) else SUCCESS


@experiment.command()
@click.argument("folder", type=FOLDER)
@click.argument("first")
@click.argument("second")
@click.option("--all", "show_all", is_flag=True, help="Also figures whose change is not clear.")
@json_option
@exits_with_code
def compare(folder: Path, first: str, second: str, show_all: bool, as_json: bool) -> int:
    """The change of each figure from one configuration to another, paired by seed."""
    try:
        differences = paired_differences(read_rows(folder), first, second)
    except ValueError as error:
        raise InputError(f"{folder / 'table.json'}: {error}") from None
    if as_json:
        show_json(
            [
                {
                    "metric": d.metric,
                    first: d.first,
                    second: d.second,
                    "change": d.change.mean,
                    "low": d.change.low,
                    "high": d.change.high,
                    "clear": d.significant,
                }
                for d in differences
            ]
        )
        return SUCCESS
    rows = [
        [
            d.metric,
            f"{d.first:.5g}",
            f"{d.second:.5g}",
            f"{d.change.mean:+.4g}",
            f"{d.change.low:+.4g} to {d.change.high:+.4g}",
            "yes" if d.significant else "no",
        ]
        for d in differences
        if show_all or d.significant
    ]
    columns = ["figure", first, second, "change", "95% interval", "clear"]
    console().print(
        make_table(f"From {first} to {second}, {differences[0].change.count} pairs", columns, rows)
    )
    return SUCCESS


@experiment.command()
@click.argument("folder", type=FOLDER)
@click.option("--out", type=FILE, required=True, help="The page (.html or .md).")
@exits_with_code
def report(folder: Path, out: Path) -> int:
    """A page of an experiment's table, with charts over its configurations."""
    rows = read_rows(folder)
    check_report_format(out)
    summary = summary_rows(rows, SUMMARY_FIGURES)
    names = list(dict.fromkeys(row.name for row in rows))
    charts = []
    for figure in ("worth", "served_per_s"):
        values = {(r.name, r.seed): r.figures.get(figure, 0.0) for r in rows}
        drawn = [
            Line(f"seed {seed}", list(range(len(names))), [values.get((n, seed), 0.0) for n in names], "o-")
            for seed in dict.fromkeys(row.seed for row in rows)
        ]
        charts.append(line_chart(figure, f"configuration: {', '.join(names)}", figure, drawn))
    metadata = json.loads(read_bytes(folder / "table.json"))
    description = [
        f"Commit {metadata.get('commit')}, seeds {metadata.get('seeds')}.",
        f"Run again: {metadata.get('command')}",
    ]
    table = PageTable(["configuration", "seeds", *SUMMARY_FIGURES, "rules broken"], summary)
    page = Page(
        str(metadata.get("experiment", folder.name)),
        description,
        [Section("Configurations", (), [table], charts)],
    )
    write_page(page, out)
    console().print(f"report: {out}")
    return SUCCESS
