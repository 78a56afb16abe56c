"""`meadowpulley demo`: the main job in a minute. A good build is released, a bad one sent back, under
load."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

import click

from meadowpulley.cli.common import (
    FILE,
    GOAL_MISSED,
    SUCCESS,
    InputError,
    console,
    exits_with_code,
    json_option,
    make_table,
    require_writable,
    seed_option,
    show_json,
)
from meadowpulley.cli.emulate import show_result
from meadowpulley.cli.json_keys import DEMO_KEYS, with_keys
from meadowpulley.cli.view import play_emulation, run_loopback_with_progress
from meadowpulley.emulator import Build, Emulation, Release, Scenario
from meadowpulley.experiment import LoadSpec
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.interface import Phase
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.loopback import LoopbackError, LoopbackPlan
from meadowpulley.report import write_page, write_run_report
from meadowpulley.report.capacity import loopback_page
from meadowpulley.rules.trace import PHASE_NAMES

LOAD_FRACTION = 0.45  # of what all servers can do
DURATION_S = 75.0
GOOD_BUILD = 2
BAD_BUILD = 3
ROLLBACK_PHASES = (Phase.ROLLING_BACK, Phase.ROLLED_BACK)
GOOD_AT_MS = 4_000.0
BAD_AT_MS = 36_000.0
FLEET_TOML = """
version = 1
name = "demo"
sites = [{ name = "hobart" }, { name = "glenorchy" }, { name = "kingston" }]
kinds = [
    { name = "fast-2core", cores = 2, speed = 1.5, slots = 16, queue = 40, cold_from = 0.5, cold_ms = 4000 },
    { name = "std-2core", cores = 2, speed = 1.0, slots = 16, queue = 40, cold_from = 0.5, cold_ms = 4000 },
]
servers = [
    { site = "hobart", kind = "fast-2core", count = 3 },
    { site = "hobart", kind = "std-2core", count = 2 },
    { site = "glenorchy", kind = "std-2core", count = 4 },
    { site = "kingston", kind = "fast-2core", count = 3 },
]
gateways = [
    { site = "hobart", count = 1 }, { site = "glenorchy", count = 1 }, { site = "kingston", count = 1 },
]
keys = { count = 3000, memory_ms = 5000, gain = 0.3 }
clients = { retries = 1 }

[[classes]]
name = "address-check"
share = 0.55
work_ms = 140
aim_ms = 1000
deadline_ms = 3000
worth = 3

[[classes]]
name = "zone-change"
share = 0.45
work_ms = 140
aim_ms = 800
deadline_ms = 2000
worth = 9
effect = "unsafe"
"""


def demo_fleet() -> Fleet:
    """The fleet of the demo; a description like any other."""
    return parse_fleet(FLEET_TOML.encode(), "demo fleet")


@click.command()
@seed_option
@click.option(
    "--pace",
    type=click.FloatRange(0.1, 1000),
    default=2.0,
    show_default=True,
    help="In a terminal: seconds of virtual time in one of real time.",
)
@click.option("--sockets", is_flag=True, help="On loopback in real time: real gateways, simulated servers.")
@click.option("--report", type=FILE, default=Path("demo-report.html"), show_default=True)
@json_option
@exits_with_code
def demo(seed: int, pace: float, sockets: bool, report: Path, as_json: bool) -> int:
    """Show the main job: a simulated fleet, gateways and clients, one good build released, one bad one
    rolled back."""
    fleet = demo_fleet()
    require_writable(report)
    per_s = LOAD_FRACTION * fleet.capacity() * 1000 / fleet.mean_work_ms()
    bad_build = Build(number=BAD_BUILD, failure_share=0.4, failing_class="zone-change")
    releases = (Release(GOOD_AT_MS, Build(number=GOOD_BUILD, speed=1.05)), Release(BAD_AT_MS, bad_build))
    scenario = Scenario(releases=releases)
    mode = "on loopback in real time" if sockets else "emulated in virtual time"
    if not as_json:
        console().print(
            f"{len(fleet.machines())} servers at {len(fleet.sites)} sites, {len(fleet.gateway_sites())} "
            f"gateways, {per_s:.0f} requests a second, {mode}. Build {GOOD_BUILD} is good; "
            f"build {BAD_BUILD} fails 40% of all zone changes. No gateway is told."
        )
    if sockets:
        spec = LoadSpec(profile="steady", per_s=per_s, seconds=DURATION_S)
        summary = _run_on_loopback(LoopbackPlan(fleet, spec, seed, seed, scenario), report, as_json)
    else:
        load = synthesize(fleet, PROFILES["steady"], per_s, DURATION_S, seed)
        summary = _run_emulated(
            Emulation(fleet, load, seed, scenario), pace, report, f"Demo, seed {seed}", as_json
        )
    passed = summary.released and summary.rolled_back and not summary.broken
    if as_json:
        show_json({**with_keys(asdict(summary), DEMO_KEYS), "report": str(report)})
        return SUCCESS if passed else GOAL_MISSED
    output = console()
    output.print(f"good build {GOOD_BUILD}: {'released' if summary.released else 'NOT released'}")
    output.print(f"bad build {BAD_BUILD}: {'sent back' if summary.rolled_back else 'NOT sent back'}")
    output.print(f"rules: {summary.broken or 'all kept'}")
    output.print(f"report: {report}")
    return SUCCESS if passed else GOAL_MISSED


@dataclass(frozen=True, slots=True)
class DemoSummary:
    """What a demo came to. `broken`: rules broken, by how often."""

    released: bool
    rolled_back: bool
    broken: dict[str, int]


def _summarize(stages: Iterable[tuple[int, str]], broken: dict[str, int]) -> DemoSummary:
    phases = set(stages)
    released = (GOOD_BUILD, PHASE_NAMES[Phase.RELEASED]) in phases
    rolled_back = any((BAD_BUILD, PHASE_NAMES[phase]) in phases for phase in ROLLBACK_PHASES)
    return DemoSummary(released, rolled_back, broken)


def _run_emulated(world: Emulation, pace: float, report: Path, title: str, quiet: bool) -> DemoSummary:
    started_at = time.monotonic()
    result = play_emulation(world, pace)
    if not quiet:
        show_result(result, time.monotonic() - started_at)
    write_run_report(result, report, title)
    history = [(s.build, PHASE_NAMES[s.phase]) for s in world.platform.history]
    return _summarize(history, dict(result.violation_counts))


def _run_on_loopback(plan: LoopbackPlan, report: Path, quiet: bool) -> DemoSummary:
    try:
        measurement = run_loopback_with_progress(plan)
    except LoopbackError as error:
        raise InputError(f"the rig: {error}") from None
    if not quiet:
        rows = [[name, f"{value:.5g}"] for name, value in sorted(measurement.figures.items())]
        console().print(make_table("What clients saw", ["figure", "value"], rows))
    for text in measurement.limiting_factors:
        click.echo(f"the rig was the limit: {text}", err=True)
    write_page(loopback_page(f"Demo on loopback, seed {plan.seed}", measurement), report)
    return _summarize(
        [(build, phase) for _, build, _, phase in measurement.stages], measurement.violation_counts
    )
