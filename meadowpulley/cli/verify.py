"""`meadowpulley capacity verify`: the prediction first, then the same load on loopback, then both side by
side."""

from __future__ import annotations

import json
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import click
import xxhash

from meadowpulley.capacity.verify import (
    WARM_UP_MS,
    Case,
    CaseKind,
    Comparison,
    Verdict,
    compare,
    make_cases,
    predict_cases,
    prediction_table,
    scaled_fleet,
)
from meadowpulley.cli.capacity_options import demand_from_options, load_spec
from meadowpulley.cli.common import (
    GOAL_MISSED,
    SUCCESS,
    TEST_BED_LIMITED,
    InputError,
    check_report_path,
    console,
    exits_with_code,
    fleet_option,
    json_option,
    make_table,
    percent,
    read_fleet,
    report_option,
    seed_option,
    show_json,
)
from meadowpulley.cli.experiment import current_commit
from meadowpulley.cli.load import load_options
from meadowpulley.loopback import LoopbackError, LoopbackPlan, LoopbackResult, run_loopback
from meadowpulley.report import write_page
from meadowpulley.report.capacity import verify_page

QUICK_S = 22.0
FULL_S = 60.0
QUICK_SEEDS = 4
FULL_SEEDS = 8
PARALLEL_RUNS = 2  # runs side by side: each takes about three cores
CASE_KINDS: tuple[CaseKind, ...] = ("below", "beyond", "spike", "site", "cold")


def _run_case(case: Case, seed: int) -> LoopbackResult:
    return run_loopback(LoopbackPlan(case.fleet, case.load, seed, seed, case.scenario, WARM_UP_MS))


def _comparison_rows(compared: list[Comparison]) -> list[list[str]]:
    return [
        [
            c.case,
            c.figure,
            f"{c.predicted:.4g}",
            f"{c.low:.4g} to {c.high:.4g}",
            f"{c.measured:.4g}",
            percent(c.error),
        ]
        for c in compared
    ]


@click.command()
@fleet_option
@load_options
@seed_option
@click.option("--quick", is_flag=True, help="About a minute; else about three.")
@click.option(
    "--case", "cases", type=click.Choice(CASE_KINDS), multiple=True, help="Which cases [below, beyond]."
)
@click.option("--workers", type=click.IntRange(1, 1024))
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Keep prediction and result there."
)
@report_option
@json_option
@exits_with_code
def verify(
    fleet: Path,
    load: Path | None,
    profile: str,
    rate: float | None,
    seconds: float,
    seed: int,
    quick: bool,
    cases: tuple[CaseKind, ...],
    workers: int | None,
    out: Path | None,
    report: Path | None,
    as_json: bool,
) -> int:
    """Predict, then measure on loopback through real gateways. Exit code 1 if the worst error is over 15%, 3
    if the test bed itself was the limit."""
    fleet_description = read_fleet(fleet)
    check_report_path(report)
    spec = load_spec(fleet_description, load, profile, rate, seconds)
    demand = demand_from_options(fleet_description, spec, seed, 95.0)
    if not demand.count:
        raise InputError(f"{fleet}: no load to verify; give --rate above 0 or a load file")
    scaled, scale = scaled_fleet(fleet_description, demand)
    duration_s, seeds = (QUICK_S, QUICK_SEEDS) if quick else (FULL_S, FULL_SEEDS)
    planned_cases = make_cases(scaled, spec, demand, duration_s, cases or ("below", "beyond"))
    predictions = prediction_table(planned_cases, predict_cases(planned_cases, seed, seeds, workers))
    metadata: dict[str, Any] = {
        "fleet": fleet_description.name,
        "scaled_to": scale,
        "servers": len(scaled.machines()),
        "gateways": len(scaled.gateway_sites()),
        "seed": seed,
        "commit": current_commit(),
        "prediction": predictions,
    }
    encoded = json.dumps(metadata, indent=1).encode()
    digest = xxhash.xxh3_128_hexdigest(encoded)
    folder = out or Path(tempfile.mkdtemp(prefix="meadowpulley-verify-"))
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"prediction-{digest}.json").write_bytes(encoded)
    output = console()
    if not as_json:
        size = "as described" if scale == 1.0 else f"scaled to {percent(scale)} of its size"
        output.print(
            f"prediction {digest} written before the run; fleet {size}: {len(scaled.machines())} servers, "
            f"{len(scaled.gateway_sites())} gateways, network at loopback's distances"
        )
    verdict = Verdict()
    try:
        with ThreadPoolExecutor(PARALLEL_RUNS) as pool:
            measured = list(pool.map(lambda case: _run_case(case, seed), planned_cases))
    except LoopbackError as error:
        raise InputError(f"the rig: {error}") from None
    for case, measurement in zip(planned_cases, measured, strict=True):
        verdict.comparisons += compare(predictions, case.name, measurement.figures)
        verdict.limiting_factors += [f"{case.name}: {text}" for text in measurement.limiting_factors]
        verdict.violations += [f"{case.name}: {text}" for text in measurement.violations]
        if measurement.wrong_responses:
            verdict.limiting_factors.append(
                f"{case.name}: {measurement.wrong_responses} answers belonged to other requests"
            )
    result = {
        **metadata,
        "digest": digest,
        "measured": [
            {"case": c.case, "figure": c.figure, "measured": c.measured, "error": c.error}
            for c in verdict.comparisons
        ],
        "limits": verdict.limiting_factors,
        "breaches": verdict.violations,
        "worst_error": verdict.worst,
    }
    (folder / f"result-{digest}.json").write_text(json.dumps(result, indent=1))
    if report is not None:
        write_page(verify_page(fleet_description.name, seed, scale, planned_cases, measured, verdict), report)
    if as_json:
        show_json(result)
    else:
        columns = ["case", "figure", "predicted", "95% interval", "measured", "error"]
        output.print(make_table("Predicted and measured", columns, _comparison_rows(verdict.comparisons)))
    if verdict.limiting_factors:
        for text in verdict.limiting_factors:
            click.echo(f"the rig was the limit: {text}", err=True)
        click.echo("no verdict", err=True)
        return TEST_BED_LIMITED
    for text in verdict.violations[:10]:
        click.echo(f"rule broken: {text}", err=True)
    if not as_json:
        output.print(f"worst error: {percent(verdict.worst)}")
    return SUCCESS if verdict.holds else GOAL_MISSED
