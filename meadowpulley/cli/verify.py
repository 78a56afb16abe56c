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
    WARM_MS,
    Case,
    CaseKind,
    Compared,
    Verdict,
    compare,
    make_cases,
    predict_cases,
    prediction_table,
    scaled_fleet,
)
from meadowpulley.cli.capacity import load_spec, report_option, report_path, take_demand
from meadowpulley.cli.common import (
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
    seed_option,
    show_json,
)
from meadowpulley.cli.experiment import commit
from meadowpulley.cli.load import load_options
from meadowpulley.report import write_page
from meadowpulley.report.capacity import verify_page
from meadowpulley.rig import Measured, RigError, RigPlan, run_rig

QUICK_S, FULL_S = 22.0, 60.0
QUICK_SEEDS, FULL_SEEDS = 4, 8
AT_ONCE = 2  # runs side by side: each takes about three cores
KINDS: tuple[CaseKind, ...] = ("below", "beyond", "spike", "site", "cold")


def _play(case: Case, seed: int) -> Measured:
    return run_rig(RigPlan(case.fleet, case.load, seed, seed, case.scenario, WARM_MS))


def _rows(compared: list[Compared]) -> list[list[str]]:
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
@click.option("--case", "cases", type=click.Choice(KINDS), multiple=True, help="Which cases [below, beyond].")
@click.option("--workers", type=click.IntRange(1, 1024))
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=Path), help="Keep prediction and result there."
)
@report_option
@json_option
@guarded
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
    if the rig itself was the limit."""
    described = read_fleet(fleet)
    report_path(report)
    spec = load_spec(described, load, profile, rate, seconds)
    demand = take_demand(described, spec, seed, 95.0)
    if not demand.count:
        raise InputError(f"{fleet}: no load to verify; give --rate above 0 or a load file")
    sized, part = scaled_fleet(described, demand)
    length, seeds = (QUICK_S, QUICK_SEEDS) if quick else (FULL_S, FULL_SEEDS)
    made = make_cases(sized, spec, demand, length, cases or ("below", "beyond"))
    table = prediction_table(made, predict_cases(made, seed, seeds, workers))
    about: dict[str, Any] = {
        "fleet": described.name,
        "scaled_to": part,
        "servers": len(sized.machines()),
        "gateways": len(sized.gateway_sites()),
        "seed": seed,
        "commit": commit(),
        "prediction": table,
    }
    raw = json.dumps(about, indent=1).encode()
    digest = xxhash.xxh3_128_hexdigest(raw)
    folder = out or Path(tempfile.mkdtemp(prefix="meadowpulley-verify-"))
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"prediction-{digest}.json").write_bytes(raw)
    shown = console()
    if not as_json:
        size = "as described" if part == 1.0 else f"scaled to {percent(part)} of its size"
        shown.print(
            f"prediction {digest} written before the run; fleet {size}: {len(sized.machines())} servers, "
            f"{len(sized.gateway_sites())} gateways, network at loopback's distances"
        )
    verdict = Verdict()
    try:
        with ThreadPoolExecutor(AT_ONCE) as pool:
            measured = list(pool.map(lambda case: _play(case, seed), made))
    except RigError as error:
        raise InputError(f"the rig: {error}") from None
    for case, found in zip(made, measured, strict=True):
        verdict.compared += compare(table, case.name, found.figures)
        verdict.limits += [f"{case.name}: {text}" for text in found.limits]
        verdict.breaches += [f"{case.name}: {text}" for text in found.breaches]
        if found.wrong:
            verdict.limits.append(f"{case.name}: {found.wrong} answers belonged to other requests")
    result = {
        **about,
        "digest": digest,
        "measured": [
            {"case": c.case, "figure": c.figure, "measured": c.measured, "error": c.error}
            for c in verdict.compared
        ],
        "limits": verdict.limits,
        "breaches": verdict.breaches,
        "worst_error": verdict.worst,
    }
    (folder / f"result-{digest}.json").write_text(json.dumps(result, indent=1))
    if report is not None:
        write_page(verify_page(described.name, seed, part, made, measured, verdict), report)
    if as_json:
        show_json(result)
    else:
        columns = ["case", "figure", "predicted", "95% interval", "measured", "error"]
        shown.print(make_table("Predicted and measured", columns, _rows(verdict.compared)))
    if verdict.limits:
        for text in verdict.limits:
            click.echo(f"the rig was the limit: {text}", err=True)
        click.echo("no verdict", err=True)
        return RIG_LIMIT
    for text in verdict.breaches[:10]:
        click.echo(f"rule broken: {text}", err=True)
    if not as_json:
        shown.print(f"worst error: {percent(verdict.worst)}")
    return GOOD if verdict.holds else MISSED
