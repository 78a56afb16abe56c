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
    Demand,
    Goal,
    Plan,
    Spike,
    demand_of,
    how_many,
    lose_site,
    make_plan,
    play_spike,
)
from meadowpulley.capacity.predict import finite
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
    read_bytes,
    read_fleet,
    show_json,
    writable,
)
from meadowpulley.cli.load import USUAL_LOAD, load_options
from meadowpulley.experiment import LoadSpec, Store
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
    per_s = rate if rate is not None else USUAL_LOAD * fleet.capacity() * 1000 / fleet.mean_work_ms()
    return LoadSpec(profile=profile, per_s=per_s, seconds=seconds)


def take_demand(fleet: Fleet, spec: LoadSpec, seed: int, percentile: float) -> Demand:
    try:
        return demand_of(fleet, spec.arrivals(fleet, seed), percentile)
    except ValueError as error:
        raise error if isinstance(error, LoadError) else InputError(str(error)) from None


class Shown:
    """Progress on standard error, where that is a terminal."""

    def __init__(self, text: str) -> None:
        from rich.console import Console

        self._progress = Progress(console=Console(stderr=True), transient=True)
        self._text = text

    def __enter__(self) -> Callable[[int, int], None]:
        self._progress.start()
        task = self._progress.add_task(self._text, total=None)

        def tell(done: int, of: int) -> None:
            self._progress.update(task, completed=done, total=of)

        return tell

    def __exit__(self, *_: object) -> None:
        self._progress.stop()


def multiple_text(multiple: float) -> str:
    return f"{multiple:.2f} x" if math.isfinite(multiple) else "never"


def span_text(span: tuple[float, float, float], scale: float = 100.0, unit: str = "%") -> str:
    mean, low, high = (scale * x for x in span)
    return f"{mean:.4g}{unit} ({low:.4g} to {high:.4g})" if math.isfinite(low) else f"{mean:.4g}{unit}"


def show_plan(plan: Plan) -> None:
    out, d = console(), plan.demand
    rows = [
        [c.name, f"{c.per_s:.1f}", f"{c.work_ms:.1f}", f"{c.spread:.2f}", percent(c.core_share)]
        for c in d.classes
    ]
    out.print(make_table("Demand", ["class", "a second", "work ms", "spread", "of all cores"], rows))
    out.print(
        f"{d.per_s:.1f} requests a second, {d.busy_per_s:.1f} by percentile {d.percentile:g}; servers "
        f"{percent(d.utilisation)} busy, {percent(d.busy_utilisation)} then; "
        f"keys save {percent(d.saved)} of the work"
    )
    rows = [
        [b.resource, b.where, multiple_text(b.multiple), percent(b.use), b.theory, b.text]
        for b in plan.breaks
    ]
    out.print(
        make_table("What breaks, the first first", ["resource", "where", "at", "use now", "by", "why"], rows)
    )
    if plan.points:
        rows = [
            [
                f"{p.multiple:.2f} x",
                percent(p.utilisation),
                percent(p.worth[0], 2),
                percent(p.in_aim[0], 2),
                percent(p.refused[0], 2),
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
        out.print(make_table(f"By load, emulator, {len(plan.seeds)} seeds; classes in order", columns, rows))
        rows = [
            [p.name, f"{p.value:.4g}", f"{p.low:.4g}", f"{p.high:.4g}", p.unit, p.by]
            for p in plan.predictions
        ]
        out.print(
            make_table("Predictions at the busy rate", ["what", "value", "low", "high", "unit", "by"], rows)
        )
        out.print(f"knee: {percent(plan.knee)} of the servers' cores busy")


report_option = click.option("--report", type=FILE, help="Write a report there (.html or .md, with charts).")


def report_path(report: Path | None) -> None:
    if report is not None:
        if report.suffix not in (".html", ".md"):
            raise InputError(f"{report}: reports end in .html or .md; name one so")
        writable(report)


@click.group()
def capacity() -> None:
    """Plan for a load: what breaks first, how many servers, a site lost, a spike."""


@capacity.command()
@fleet_option
@load_options
@seeds_option
@report_option
@json_option
@guarded
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
    described = read_fleet(fleet)
    report_path(report)
    spec = load_spec(described, load, profile, rate, seconds)
    demand = take_demand(described, spec, seed, percentile)
    with Shown("emulating") as progress:
        made = make_plan(described, spec, demand, range(seed, seed + seeds), workers, Store(store), progress)
    if report is not None:
        write_page(plan_page(made), report)
    if as_json:
        show_json(made.table())
    else:
        show_plan(made)
    return MISSED if made.breaks and made.breaks[0].multiple < 1 else GOOD


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
@guarded
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
    described = read_fleet(fleet)
    site = site or described.sites[0].name
    if site not in [s.name for s in described.sites]:
        raise InputError(
            f"--site: '{site}' is not described; known are {', '.join(s.name for s in described.sites)}"
        )
    there = [s.kind for s in described.servers if s.site == site] or [described.kinds[0].name]
    kind = kind or there[0]
    if kind not in [k.name for k in described.kinds]:
        raise InputError(
            f"--kind: '{kind}' is not described; known are {', '.join(k.name for k in described.kinds)}"
        )
    spec = load_spec(described, load, profile, rate, seconds)
    demand = take_demand(described, spec, seed, percentile)
    err = sys.stderr

    def tell(text: str) -> None:
        if err.isatty():
            click.echo(text, file=err)

    found = how_many(
        described,
        spec,
        demand,
        Goal(goal, rollout),
        site,
        kind,
        range(seed, seed + seeds),
        workers,
        Store(store),
        progress=tell,
    )
    if as_json:
        show_json(finite(asdict(found)))
    else:
        rows = [
            [str(s.servers), s.worst_class, span_text(s.worth), "yes" if s.meets else "no"]
            for s in found.steps
        ]
        out = console()
        out.print(
            make_table(f"{kind} at {site}", ["servers", "worst class", "its worth", "meets the goal"], rows)
        )
        told = "no number of them meets the goal" if found.servers is None else f"{found.servers} needed"
        out.print(f"{told}, {found.now} there, {found.floor} at least by theory: {found.why}")
    return MISSED if found.servers is None or found.servers > found.now else GOOD


@capacity.command("lose-site")
@fleet_option
@load_options
@seeds_option
@click.option("--site", help="The site that is lost; all of them, one after another, else.")
@report_option
@json_option
@guarded
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
    described = read_fleet(fleet)
    report_path(report)
    names = [s.name for s in described.sites]
    if site is not None and site not in names:
        raise InputError(f"--site: '{site}' is not described; known are {', '.join(names)}")
    spec = load_spec(described, load, profile, rate, seconds)
    demand = take_demand(described, spec, seed, percentile)
    kept = Store(store)
    with Shown("emulating") as progress:
        found = [
            lose_site(described, spec, demand, name, range(seed, seed + seeds), workers, kept, progress)
            for name in ([site] if site else names)
        ]
    if report is not None:
        write_page(site_page(described, demand, found), report)
    if as_json:
        show_json([finite(asdict(loss)) for loss in found])
    else:
        rows = [
            [
                f.site,
                percent(f.capacity_share),
                span_text(f.spilled),
                percent(f.rest) if math.isfinite(f.rest) else "none left",
                percent(f.refused_theory),
                span_text(f.worth_before),
                span_text(f.worth_settled),
                span_text(f.worth_after),
                ", ".join(f"{n} {kind}" for kind, n in f.more.items() if n) or "none",
                str(f.pushed_over),
            ]
            for f in found
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
    return MISSED if any(f.saturates or f.pushed_over for f in found) else GOOD


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
@guarded
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
    described = read_fleet(fleet)
    report_path(report)
    spec = load_spec(described, load, profile, rate, seconds)
    demand = take_demand(described, spec, seed, percentile)
    with Shown("emulating") as progress:
        found = play_spike(
            described,
            spec,
            demand,
            Spike(share, cost, for_s * 1000),
            range(seed, seed + seeds),
            workers,
            Store(store),
            progress,
        )
    if report is not None:
        write_page(spike_page(described, found), report)
    if as_json:
        show_json(finite(asdict(found)))
        return MISSED if found.utilisation > 1 else GOOD
    rows = [
        [
            "worth kept during the spike",
            span_text(found.worth_during),
            span_text(found.worth_during_unrefused),
        ],
        ["worth kept over all", span_text(found.worth_whole), span_text(found.worth_whole_unrefused)],
        ["as before after", _s(found.clears_s), _s(found.clears_unrefused_s)],
    ]
    out = console()
    out.print(make_table("The spike, emulator", ["", "with refusals", "without"], rows))
    out.print(
        f"{percent(found.utilisation)} of the servers' cores asked while it lasts; "
        f"{found.backlog:.1f} core seconds too much, of which servers hold "
        f"{min(found.held, found.backlog):.1f}; cleared {_s(found.clears_theory_s)} after its end by theory; "
        f"refusals save {percent(found.saved, 2)} of all worth"
    )
    return MISSED if found.utilisation > 1 else GOOD


def _s(seconds: float) -> str:
    return f"{seconds:.1f} s" if math.isfinite(seconds) else "not seen"
