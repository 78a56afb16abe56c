"""`meadowpulley capacity`: what breaks first, how many servers a goal needs, a site lost, a spike."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

import click

from meadowpulley.capacity import (
    Goal,
    Spike,
    make_plan,
    predict_site_loss,
    predict_spike,
    size_fleet,
)
from meadowpulley.capacity.predict import without_infinities
from meadowpulley.cli.capacity_options import StudyOptions, seeds_option, takes_study
from meadowpulley.cli.capacity_output import show_plan, show_site_losses, show_sizing, show_spike
from meadowpulley.cli.common import (
    GOAL_MISSED,
    SUCCESS,
    InputError,
    check_report_path,
    exits_with_code,
    fleet_option,
    json_option,
    report_option,
    show_json,
)
from meadowpulley.cli.json_keys import SITE_LOSS_KEYS, SIZING_KEYS, SPIKE_KEYS, with_keys
from meadowpulley.cli.load import load_options
from meadowpulley.cli.progress import ProgressBar
from meadowpulley.fleet import Fleet
from meadowpulley.report import write_page
from meadowpulley.report.capacity import plan_page, site_page, spike_page


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
@takes_study
def plan(options: StudyOptions, report: Path | None, as_json: bool) -> int:
    """What the load does to the fleet, and what breaks first. Exit code 1 if something is broken already."""
    check_report_path(report)
    study = options.study()
    with ProgressBar("emulating") as progress:
        result = make_plan(
            study.fleet, study.load, study.demand, study.seeds, study.workers, study.store, progress
        )
    if report is not None:
        write_page(plan_page(result), report)
    if as_json:
        show_json(result.table())
    else:
        show_plan(result)
    return GOAL_MISSED if result.bottlenecks and result.bottlenecks[0].multiple < 1 else SUCCESS


@capacity.command()
@fleet_option
@load_options
@seeds_option
@click.option(
    "--goal",
    type=click.FloatRange(0, 1, min_open=True),
    default=0.99,
    show_default=True,
    help="Share of its priority weight that each class must have served.",
)
@click.option(
    "--rollout/--no-rollout", default=True, show_default=True, help="While a build goes through its stages."
)
@click.option("--site", help="Where servers may be added; the first site else.")
@click.option("--kind", help="Which; the first kind at that site else.")
@json_option
@exits_with_code
@takes_study
def needs(
    options: StudyOptions, goal: float, rollout: bool, site: str | None, kind: str | None, as_json: bool
) -> int:
    """How many servers a goal needs. Exit code 1 if more than there are, or if no number meets it."""
    site = _chosen_site(options.fleet, site)
    kind = _chosen_kind(options.fleet, site, kind)
    study = options.study()

    def show_progress(text: str) -> None:
        """Write a line of progress to standard error if it is a terminal."""
        if sys.stderr.isatty():
            click.echo(text, file=sys.stderr)

    result = size_fleet(
        study.fleet,
        study.load,
        study.demand,
        Goal(goal, rollout),
        site,
        kind,
        study.seeds,
        study.workers,
        study.store,
        progress=show_progress,
    )
    if as_json:
        show_json(with_keys(without_infinities(asdict(result)), SIZING_KEYS))
    else:
        show_sizing(result)
    return GOAL_MISSED if result.servers is None or result.servers > result.current else SUCCESS


def _chosen_site(fleet: Fleet, site: str | None) -> str:
    """Return the site that the option names; the first one without it. Raises InputError."""
    known = [described.name for described in fleet.sites]
    site = site or known[0]
    _require_known("--site", site, known)
    return site


def _chosen_kind(fleet: Fleet, site: str, kind: str | None) -> str:
    """Return the kind of server that the option names; the first one at the site without it."""
    known = [described.name for described in fleet.kinds]
    at_site = [server.kind for server in fleet.servers if server.site == site]
    kind = kind or (at_site or known)[0]
    _require_known("--kind", kind, known)
    return kind


def _require_known(option: str, name: str, known: Sequence[str]) -> None:
    if name not in known:
        raise InputError(f"{option}: '{name}' is not described; known are {', '.join(known)}")


@capacity.command("lose-site")
@fleet_option
@load_options
@seeds_option
@click.option("--site", help="The site that is lost; all of them, one after another, else.")
@report_option
@json_option
@exits_with_code
@takes_study
def lose(options: StudyOptions, site: str | None, report: Path | None, as_json: bool) -> int:
    """What losing a site does, and its return. Exit code 1 if the others can't hold the load."""
    check_report_path(report)
    sites = [described.name for described in options.fleet.sites]
    if site is not None:
        _require_known("--site", site, sites)
        sites = [site]
    study = options.study()
    with ProgressBar("emulating") as progress:
        losses = [
            predict_site_loss(
                study.fleet, study.load, study.demand, name, study.seeds, study.workers, study.store, progress
            )
            for name in sites
        ]
    if report is not None:
        write_page(site_page(study.fleet, study.demand, losses), report)
    if as_json:
        show_json([with_keys(without_infinities(asdict(loss)), SITE_LOSS_KEYS) for loss in losses])
    else:
        show_site_losses(losses)
    return GOAL_MISSED if any(loss.saturates or loss.overloaded_servers for loss in losses) else SUCCESS


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
@takes_study
def spike_command(
    options: StudyOptions, share: float, cost: float, for_s: float, report: Path | None, as_json: bool
) -> int:
    """What a spike of costly requests does, and what refusals save. Exit code 1 if it saturates the fleet."""
    check_report_path(report)
    study = options.study()
    spike = Spike(share, cost, for_s * 1000)
    with ProgressBar("emulating") as progress:
        result = predict_spike(
            study.fleet, study.load, study.demand, spike, study.seeds, study.workers, study.store, progress
        )
    if report is not None:
        write_page(spike_page(study.fleet, result), report)
    if as_json:
        show_json(with_keys(without_infinities(asdict(result)), SPIKE_KEYS))
    else:
        show_spike(result)
    return GOAL_MISSED if result.utilisation > 1 else SUCCESS
