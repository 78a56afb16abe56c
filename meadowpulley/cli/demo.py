"""`meadowpulley demo`: the main job in a minute. A good build is released, a bad one sent back, under
load."""

from __future__ import annotations

import time
from pathlib import Path

import click

from meadowpulley.cli.common import FILE, GOOD, MISSED, console, guarded, seed_option, writable
from meadowpulley.cli.emulate import show_result
from meadowpulley.cli.view import play
from meadowpulley.emulator import Build, Release, Scenario, World
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.interface import Phase
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.report import write_run_report

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
@click.option("--pace", type=click.FloatRange(0.1, 1000), default=2.0, show_default=True,
              help="In a terminal: seconds of virtual time in one of real time.")  # fmt: skip
@click.option("--report", type=FILE, default=Path("demo-report.html"), show_default=True)
@guarded
def demo(seed: int, pace: float, report: Path) -> int:
    """Show the main job: a stand-in fleet, gateways and clients, one good build released, one bad one sent
    back."""
    fleet = demo_fleet()
    writable(report)
    per_s = LOAD * fleet.capacity() * 1000 / fleet.mean_work_ms()
    bad = Build(number=BAD_BUILD, fails=0.4, fails_class="zone-change")
    releases = (Release(GOOD_AT_MS, Build(number=GOOD_BUILD, speed=1.05)), Release(BAD_AT_MS, bad))
    load = synthesize(fleet, PROFILES["steady"], per_s, SECONDS, seed)
    out = console()
    out.print(
        f"{len(fleet.machines())} servers at {len(fleet.sites)} sites, {len(fleet.gateway_sites())} "
        f"gateways, {per_s:.0f} requests a second, emulated in virtual time. Build {GOOD_BUILD} is good; "
        f"build {BAD_BUILD} fails 40% of all zone changes. No gateway is told."
    )
    began = time.monotonic()
    world = World(fleet, load, seed, Scenario(releases=releases))
    result = play(world, pace)
    show_result(result, time.monotonic() - began)
    released = any(s.build == GOOD_BUILD and s.phase is Phase.RELEASED for s in world.platform.history)
    withdrawn = any(
        s.build == BAD_BUILD and s.phase in (Phase.GOING_BACK, Phase.WITHDRAWN)
        for s in world.platform.history
    )
    write_run_report(result, report, f"Demo, seed {seed}")
    out.print(f"good build {GOOD_BUILD}: {'released' if released else 'NOT released'}")
    out.print(f"bad build {BAD_BUILD}: {'sent back' if withdrawn else 'NOT sent back'}")
    out.print(f"report: {report}")
    return GOOD if released and withdrawn and not result.broken else MISSED
