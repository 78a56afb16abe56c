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
    GOOD,
    MISSED,
    InputError,
    console,
    guarded,
    json_option,
    make_table,
    seed_option,
    show_json,
    writable,
)
from meadowpulley.cli.emulate import show_result
from meadowpulley.cli.view import play, play_rig
from meadowpulley.emulator import Build, Release, Scenario, World
from meadowpulley.experiment import LoadSpec
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.report import write_page, write_run_report
from meadowpulley.report.capacity import rig_page
from meadowpulley.rig import RigError, RigPlan

LOAD = 0.45  # of what all servers can do
SECONDS = 75.0
GOOD_BUILD, BAD_BUILD = 2, 3
GOOD_AT_MS, BAD_AT_MS = 4_000.0, 36_000.0
FLEET = """
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
    return parse_fleet(FLEET.encode(), "demo fleet")


@click.command()
@seed_option
@click.option(
    "--pace",
    type=click.FloatRange(0.1, 1000),
    default=2.0,
    show_default=True,
    help="In a terminal: seconds of virtual time in one of real time.",
)
@click.option("--sockets", is_flag=True, help="On loopback in real time: real gateways, stand-in servers.")
@click.option("--report", type=FILE, default=Path("demo-report.html"), show_default=True)
@json_option
@guarded
def demo(seed: int, pace: float, sockets: bool, report: Path, as_json: bool) -> int:
    """Show the main job: a stand-in fleet, gateways and clients, one good build released, one bad one sent
    back."""
    fleet = demo_fleet()
    writable(report)
    per_s = LOAD * fleet.capacity() * 1000 / fleet.mean_work_ms()
    bad = Build(number=BAD_BUILD, fails=0.4, fails_class="zone-change")
    releases = (Release(GOOD_AT_MS, Build(number=GOOD_BUILD, speed=1.05)), Release(BAD_AT_MS, bad))
    scenario = Scenario(releases=releases)
    where = "on loopback in real time" if sockets else "emulated in virtual time"
    if not as_json:
        console().print(
            f"{len(fleet.machines())} servers at {len(fleet.sites)} sites, {len(fleet.gateway_sites())} "
            f"gateways, {per_s:.0f} requests a second, {where}. Build {GOOD_BUILD} is good; "
            f"build {BAD_BUILD} fails 40% of all zone changes. No gateway is told."
        )
    if sockets:
        spec = LoadSpec(profile="steady", per_s=per_s, seconds=SECONDS)
        shown = _on_sockets(RigPlan(fleet, spec, seed, seed, scenario), report, as_json)
    else:
        load = synthesize(fleet, PROFILES["steady"], per_s, SECONDS, seed)
        shown = _emulated(World(fleet, load, seed, scenario), pace, report, f"Demo, seed {seed}", as_json)
    good = shown.released and shown.withdrawn and not shown.broken
    if as_json:
        show_json({**asdict(shown), "report": str(report)})
        return GOOD if good else MISSED
    out = console()
    out.print(f"good build {GOOD_BUILD}: {'released' if shown.released else 'NOT released'}")
    out.print(f"bad build {BAD_BUILD}: {'sent back' if shown.withdrawn else 'NOT sent back'}")
    out.print(f"rules: {shown.broken or 'all kept'}")
    out.print(f"report: {report}")
    return GOOD if good else MISSED


@dataclass(frozen=True, slots=True)
class Shown:
    """What a demo came to. `broken`: rules broken, by how often."""

    released: bool
    withdrawn: bool
    broken: dict[str, int]


def _shown(stages: Iterable[tuple[int, str]], broken: dict[str, int]) -> Shown:
    stood = set(stages)
    back = {(BAD_BUILD, "going_back"), (BAD_BUILD, "withdrawn")}
    return Shown((GOOD_BUILD, "released") in stood, bool(back & stood), broken)


def _emulated(world: World, pace: float, report: Path, title: str, quiet: bool) -> Shown:
    began = time.monotonic()
    result = play(world, pace)
    if not quiet:
        show_result(result, time.monotonic() - began)
    write_run_report(result, report, title)
    history = [(s.build, s.phase.name.lower()) for s in world.platform.history]
    return _shown(history, dict(result.broken))


def _on_sockets(plan: RigPlan, report: Path, quiet: bool) -> Shown:
    try:
        found = play_rig(plan)
    except RigError as error:
        raise InputError(f"the rig: {error}") from None
    if not quiet:
        rows = [[name, f"{value:.5g}"] for name, value in sorted(found.figures.items())]
        console().print(make_table("What clients saw", ["figure", "value"], rows))
    for text in found.limits:
        click.echo(f"the rig was the limit: {text}", err=True)
    write_page(rig_page(f"Demo on loopback, seed {plan.seed}", found), report)
    return _shown([(build, phase) for _, build, _, phase in found.stages], found.broken)
