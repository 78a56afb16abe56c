"""A run watched as it goes on: a live screen in a terminal, plain lines elsewhere."""

from __future__ import annotations

import sys
import time

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from meadowpulley.emulator import Result, World
from meadowpulley.interface import ServerState

FRAMES_PER_S = 8.0
LINE_EVERY_S = 2.0  # of virtual time, where there is no terminal
BAR = 24


def _bar(share: float, width: int = BAR) -> str:
    full = round(min(max(share, 0.0), 1.0) * width)
    return "█" * full + "·" * (width - full)


def stage_text(world: World) -> str:
    stand = world.platform.stand
    phase = stand.phase.name.lower().replace("_", " ")
    return f"build {stand.build} {phase}, stage {stand.stage + 1}, cap {stand.cap:.0%}"


def _servers(world: World) -> Table:
    table = Table(
        pad_edge=False, title=f"{world.clock.now / 1000:6.1f} s   {stage_text(world)}", title_justify="left"
    )
    for column in ("server", "site", "build", "state", "slots in use", "waiting", "warm"):
        table.add_column(column)
    newest = world.platform.stand.build
    for host in list(world.hosts.values())[:40]:
        m = host.machine
        state = "down" if not host.up else host.entry.state.name.lower()
        style = "red" if not host.up else "cyan" if host.entry.build == newest else ""
        share = len(m.running) / m.kind.slots
        table.add_row(
            str(host.entry.server), world.fleet.sites[host.entry.zone].name, str(host.entry.build), state,
            f"{_bar(share)} {share:4.0%}", str(len(m.waiting)), f"{m.warmth(world.clock.now):.0%}",
            style="yellow" if host.entry.state is ServerState.DRAINING else style,
        )  # fmt: skip
    return table


def _answers(world: World) -> Text:
    parts = [
        f"{c.name}: {c.asked} asked, {c.in_aim} in aim, {c.late} late, {c.refused} refused, {c.failed} failed"
        for c in world.result.classes
    ]
    rules = "rules kept" if world.checker.kept else f"rules broken {sum(world.checker.counts.values())} times"
    return Text("\n".join([*parts, rules]))


def _log(world: World) -> Text:
    lines = [f"{at / 1000:6.1f} s  {what}" for at, what in world.result.events[-6:]]
    return Text("\n".join(lines), style="dim")


def plain_line(world: World) -> str:
    seconds = world.result.seconds[-2:-1] or world.result.seconds[-1:]
    second = seconds[0] if seconds else None
    told = f"{second.asked} asked, {second.in_aim} in aim" if second else "no requests yet"
    return f"{world.clock.now / 1000:6.1f} s  {stage_text(world)}; in one second {told}"


def play(world: World, pace: float, out: Console | None = None) -> Result:
    """Plays a world to its end, `pace` seconds of it in one of real time, and shows it meanwhile."""
    out = out or Console(highlight=False, file=sys.stderr)
    if not out.is_terminal:
        return _play_lines(world, out)
    step = 1000.0 * pace / FRAMES_PER_S
    with Live(console=out, auto_refresh=False, screen=False) as live:
        began, start = time.monotonic(), world.clock.now
        while not world.over:
            whole = (int(world.clock.now // 1000) + 1) * 1000.0
            world.run_until(min(world.clock.now + step, whole))
            live.update(Group(_servers(world), _answers(world), _log(world)), refresh=True)
            ahead = (world.clock.now - start) / 1000.0 / pace - (time.monotonic() - began)
            if ahead > 0:
                time.sleep(ahead)
    return world.finish()


def _play_lines(world: World, out: Console) -> Result:
    shown = 0
    while not world.over:
        world.run_until(world.clock.now + 1000.0)
        for at, what in world.result.events[shown:]:
            if "votes none" not in what:
                out.print(f"{at / 1000:6.1f} s  {what}", soft_wrap=True)
        shown = len(world.result.events)
        if world.clock.now % (1000.0 * LINE_EVERY_S) == 0.0:
            out.print(plain_line(world), soft_wrap=True)
    return world.finish()
