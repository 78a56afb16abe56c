"""`meadowpulley capacity`: what breaks first, how many servers, a site lost, a spike."""

from __future__ import annotations

import math
import sys
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
import xxhash
from rich.progress import Progress

from meadowpulley.capacity import (
    CapacityPlan,
    Demand,
    Goal,
    Spike,
    make_plan,
    measure_demand,
    predict_site_loss,
    predict_spike,
    size_fleet,
)
from meadowpulley.capacity.predict import without_infinities
from meadowpulley.cli.common import (
    FILE,
    GOAL_MISSED,
    SUCCESS,
    InputError,
    console,
    exits_with_code,
    fleet_option,
    json_option,
    make_table,
    percent,
    read_bytes,
    read_fleet,
    require_writable,
    show_json,
)
from meadowpulley.cli.json_keys import SITE_LOSS_KEYS, SIZING_KEYS, SPIKE_KEYS, with_keys
from meadowpulley.cli.load import DEFAULT_LOAD_FRACTION, load_options
from meadowpulley.experiment import LoadSpec, ResultStore
from meadowpulley.fleet import Fleet
from meadowpulley.load import LoadError, read_load
from meadowpulley.report import write_page
from meadowpulley.report.capacity import plan_page, site_page, spike_page


def seeds_option(command: Callable[..., Any]) -> Callable[..., Any]:
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


def load_spec(fleet: Fleet, load: Path | None, profile: str, rate: float | None, seconds: float) -> LoadSpec:
    """What the options name, as a value that a run can be repeated from."""
    if load is not None:
        header = read_load(load)
        digest = xxhash.xxh3_128_hexdigest(read_bytes(load))
        return LoadSpec(file=str(header.path), digest=digest, seconds=1e9)
    per_s = (
        rate if rate is not None else DEFAULT_LOAD_FRACTION * fleet.capacity() * 1000 / fleet.mean_work_ms()
    )
    return LoadSpec(profile=profile, per_s=per_s, seconds=seconds)


def demand_from_options(fleet: Fleet, spec: LoadSpec, seed: int, percentile: float) -> Demand:
    try:
        return measure_demand(fleet, spec.arrivals(fleet, seed), percentile)
    except ValueError as error:
        raise error if isinstance(error, LoadError) else InputError(str(error)) from None


class ProgressBar:
    """Progress on standard error, where that is a terminal."""

    def __init__(self, text: str) -> None:
        from rich.console import Console

        self._progress = Progress(console=Console(stderr=True), transient=True)
        self._text = text

    def __enter__(self) -> Callable[[int, int], None]:
        self._progress.start()
        task = self._progress.add_task(self._text, total=None)

        def update(completed: int, total: int) -> None:
            self._progress.update(task, completed=completed, total=total)

        return update

    def __exit__(self, *_: object) -> None:
        self._progress.stop()


def multiple_text(multiple: float) -> str:
    return f"{multiple:.2f} x" if math.isfinite(multiple) else "never"


def span_text(span: tuple[float, float, float], scale: float = 100.0, unit: str = "%") -> str:
    mean, low, high = (scale * x for x in span)
    return f"{mean:.4g}{unit} ({low:.4g} to {high:.4g})" if math.isfinite(low) else f"{mean:.4g}{unit}"


def show_plan(plan: CapacityPlan) -> None:
    output, demand = console(), plan.demand
    rows = [
        [c.name, f"{c.per_s:.1f}", f"{c.work_ms:.1f}", f"{c.spread:.2f}", percent(c.core_share)]
        for c in demand.classes
    ]
    output.print(make_table("Demand", ["class", "a second", "work ms", "spread", "of all cores"], rows))
    output.print(
        f"{demand.per_s:.1f} requests a second, {demand.busy_per_s:.1f} by percentile "
        f"{demand.percentile:g}; servers "
        f"{percent(demand.utilisation)} busy, {percent(demand.busy_utilisation)} then; "
        f"keys save {percent(demand.work_saved_share)} of the work"
    )
    rows = [
        [b.resource, b.where, multiple_text(b.multiple), percent(b.utilisation), b.theory, b.text]
        for b in plan.bottlenecks
    ]
    output.print(
        make_table("What breaks, the first first", ["resource", "where", "at", "use now", "by", "why"], rows)
    )
    if plan.points:
        rows = [
            [
                f"{p.multiple:.2f} x",
                percent(p.utilisation),
                percent(p.served_weight_share[0], 2),
                percent(p.within_objective[0], 2),
                percent(p.rejected[0], 2),
                f"{p.served_per_s[0]:.1f}",
                " ".join(f"{s[0]:.0f}" for s in p.p50_ms.values()),
                " ".join(f"{s[0]:.0f}" for s in p.p99_ms.values()),
                f"{p.theory_mean_ms:.0f}" if math.isfinite(p.theory_mean_ms) else "-",
            ]
            for p in plan.points
        ]
        columns = [
            "load",
            "busy",
            "worth",
            "in aim",
            "refused",
            "served/s",
            "p50 ms",
            "p99 ms",
            "theory mean ms",
        ]
        output.print(
            make_table(f"By load, emulator, {len(plan.seeds)} seeds; classes in order", columns, rows)
        )
        rows = [
            [p.name, f"{p.value:.4g}", f"{p.low:.4g}", f"{p.high:.4g}", p.unit, p.by]
            for p in plan.predictions
        ]
        output.print(
            make_table("Predictions at the busy rate", ["what", "value", "low", "high", "unit", "by"], rows)
        )
        output.print(f"knee: {percent(plan.knee)} of the servers' cores busy")


report_option = click.option("--report", type=FILE, help="Write a report there (.html or .md, with charts).")


def check_report_path(report: Path | None) -> None:
    if report is not None:
        if report.suffix not in (".html", ".md"):
            raise InputError(f"{report}: reports end in .html or .md; name one so")
        require_writable(report)


@click.group()
def capacity() -> None:
    """Plan for a load: what breaks first, how many servers, a site lost, a spike."""


@capacity.command()
@fleet_option
@load_options
@seeds_option
@report_option
@json_option
@exits_with_code
def plan(
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
    report: Path | None,
    as_json: bool,
) -> int:
    """What the load does to the fleet, and what breaks first. Exit code 1 if something is broken already."""
    fleet_description = read_fleet(fleet)
    check_report_path(report)
    spec = load_spec(fleet_description, load, profile, rate, seconds)
    demand = demand_from_options(fleet_description, spec, seed, percentile)
    with ProgressBar("emulating") as progress:
        capacity_plan = make_plan(
            fleet_description, spec, demand, range(seed, seed + seeds), workers, ResultStore(store), progress
        )
    if report is not None:
        write_page(plan_page(capacity_plan), report)
    if as_json:
        show_json(capacity_plan.table())
    else:
        show_plan(capacity_plan)
    return GOAL_MISSED if capacity_plan.bottlenecks and capacity_plan.bottlenecks[0].multiple < 1 else SUCCESS


@capacity.command()
@fleet_option
@load_options
@seeds_option
@click.option(
    "--goal",
    type=click.FloatRange(0, 1, min_open=True),
    default=0.99,
    show_default=True,
    help="Share of worth that each class keeps.",
)
@click.option(
    "--rollout/--no-rollout", default=True, show_default=True, help="While a build goes through its stages."
)
@click.option("--site", help="Where servers may be added; the first site else.")
@click.option("--kind", help="Which; the first kind at that site else.")
@json_option
@exits_with_code
def needs(
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
    goal: float,
    rollout: bool,
    site: str | None,
    kind: str | None,
    as_json: bool,
) -> int:
    """How many servers a goal needs. Exit code 1 if more than there are, or if no number meets it."""
    fleet_description = read_fleet(fleet)
    site = site or fleet_description.sites[0].name
    if site not in [s.name for s in fleet_description.sites]:
        raise InputError(
            f"--site: '{site}' is not described; "
            f"known are {', '.join(s.name for s in fleet_description.sites)}"
        )
    kinds_at_site = [s.kind for s in fleet_description.servers if s.site == site] or [
        fleet_description.kinds[0].name
    ]
    kind = kind or kinds_at_site[0]
    if kind not in [k.name for k in fleet_description.kinds]:
        raise InputError(
            f"--kind: '{kind}' is not described; "
            f"known are {', '.join(k.name for k in fleet_description.kinds)}"
        )
    spec = load_spec(fleet_description, load, profile, rate, seconds)
    demand = demand_from_options(fleet_description, spec, seed, percentile)
    stderr = sys.stderr

    def show_progress(text: str) -> None:
        if stderr.isatty():
            click.echo(text, file=stderr)

    need = size_fleet(
        fleet_description,
        spec,
        demand,
        Goal(goal, rollout),
        site,
        kind,
        range(seed, seed + seeds),
        workers,
        ResultStore(store),
        progress=show_progress,
    )
    if as_json:
        show_json(with_keys(without_infinities(asdict(need)), SIZING_KEYS))
    else:
        rows = [
            [str(s.servers), s.worst_class, span_text(s.served_weight_share), "yes" if s.meets else "no"]
            for s in need.steps
        ]
        output = console()
        output.print(
            make_table(f"{kind} at {site}", ["servers", "worst class", "its worth", "meets the goal"], rows)
        )
        summary = "no number of them meets the goal" if need.servers is None else f"{need.servers} needed"
        output.print(f"{summary}, {need.current} there, {need.minimum} at least by theory: {need.reason}")
    return GOAL_MISSED if need.servers is None or need.servers > need.current else SUCCESS


@capacity.command("lose-site")
@fleet_option
@load_options
@seeds_option
@click.option("--site", help="The site that is lost; all of them, one after another, else.")
@report_option
@json_option
@exits_with_code
def lose(
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
    site: str | None,
    report: Path | None,
    as_json: bool,
) -> int:
    """What losing a site does, and its return. Exit code 1 if the others can't hold the load."""
    fleet_description = read_fleet(fleet)
    check_report_path(report)
    names = [s.name for s in fleet_description.sites]
    if site is not None and site not in names:
        raise InputError(f"--site: '{site}' is not described; known are {', '.join(names)}")
    spec = load_spec(fleet_description, load, profile, rate, seconds)
    demand = demand_from_options(fleet_description, spec, seed, percentile)
    run_store = ResultStore(store)
    with ProgressBar("emulating") as progress:
        losses = [
            predict_site_loss(
                fleet_description, spec, demand, name, range(seed, seed + seeds), workers, run_store, progress
            )
            for name in ([site] if site else names)
        ]
    if report is not None:
        write_page(site_page(fleet_description, demand, losses), report)
    if as_json:
        show_json([with_keys(without_infinities(asdict(loss)), SITE_LOSS_KEYS) for loss in losses])
    else:
        rows = [
            [
                f.site,
                percent(f.capacity_share),
                span_text(f.spilled),
                percent(f.remaining_utilisation) if math.isfinite(f.remaining_utilisation) else "none left",
                percent(f.rejected_theory),
                span_text(f.weight_before),
                span_text(f.weight_settled),
                span_text(f.weight_after),
                ", ".join(f"{n} {kind}" for kind, n in f.extra_servers.items() if n) or "none",
                str(f.overloaded_servers),
            ]
            for f in losses
        ]
        columns = [
            "site",
            "spills",
            "measured",
            "rest busy",
            "too much",
            "worth before",
            "once settled",
            "at its return",
            "more servers, of either",
            "pushed over",
        ]
        console().print(make_table("One site lost", columns, rows))
    return GOAL_MISSED if any(f.saturates or f.overloaded_servers for f in losses) else SUCCESS


@capacity.command("spike")
@fleet_option
@load_options
@seeds_option
@click.option(
    "--share",
    type=click.FloatRange(0, 1, min_open=True),
    default=0.125,
    show_default=True,
    help="Of all requests.",
)
@click.option(
    "--cost", type=click.FloatRange(1, 1000), default=6.0, show_default=True, help="Times the usual work."
)
@click.option("--for-s", type=click.FloatRange(1, 3600), default=20.0, show_default=True, help="How long.")
@report_option
@json_option
@exits_with_code
def spike_command(
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
    share: float,
    cost: float,
    for_s: float,
    report: Path | None,
    as_json: bool,
) -> int:
    """What a spike of costly requests does, and what refusals save. Exit code 1 if it saturates the fleet."""
    fleet_description = read_fleet(fleet)
    check_report_path(report)
    spec = load_spec(fleet_description, load, profile, rate, seconds)
    demand = demand_from_options(fleet_description, spec, seed, percentile)
    with ProgressBar("emulating") as progress:
        result = predict_spike(
            fleet_description,
            spec,
            demand,
            Spike(share, cost, for_s * 1000),
            range(seed, seed + seeds),
            workers,
            ResultStore(store),
            progress,
        )
    if report is not None:
        write_page(spike_page(fleet_description, result), report)
    if as_json:
        show_json(with_keys(without_infinities(asdict(result)), SPIKE_KEYS))
        return GOAL_MISSED if result.utilisation > 1 else SUCCESS
    rows = [
        [
            "worth kept during the spike",
            span_text(result.weight_during),
            span_text(result.weight_during_unlimited),
        ],
        ["worth kept over all", span_text(result.weight_overall), span_text(result.weight_overall_unlimited)],
        ["as before after", _seconds_text(result.clears_s), _seconds_text(result.clears_unlimited_s)],
    ]
    output = console()
    output.print(make_table("The spike, emulator", ["", "with refusals", "without"], rows))
    output.print(
        f"{percent(result.utilisation)} of the servers' cores asked while it lasts; "
        f"{result.backlog:.1f} core seconds too much, of which servers hold "
        f"{min(result.queued_backlog, result.backlog):.1f}; cleared "
        f"{_seconds_text(result.clears_theory_s)} after its end by theory; "
        f"refusals save {percent(result.saved, 2)} of all worth"
    )
    return GOAL_MISSED if result.utilisation > 1 else SUCCESS


def _seconds_text(seconds: float) -> str:
    return f"{seconds:.1f} s" if math.isfinite(seconds) else "not seen"
