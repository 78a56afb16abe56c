"""A run watched as it goes on: the live screen in a terminal, plain lines elsewhere."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from rich.console import Console

from meadowpulley.emulator import (
    ClassNow,
    Result,
    Snapshot,
    World,
    classes_now,
    new_events,
    servers_now,
    stage_text,
)
from meadowpulley.rig import Measured, RigPlan, run_rig

LINE_EVERY_S = 2.0  # of the run's time, where there is no terminal


def snapshot(world: World) -> Snapshot:
    """An emulation as it is now."""
    title = f"{world.fleet.name}, {world.clock.now / 1000:.1f} s"
    return Snapshot(title, servers_now(world), classes_now(world.result), dict(world.checker.counts))


def bar(share: float, width: int) -> str:
    """A bar of so many characters, filled by a share."""
    full = round(min(max(share, 0.0), 1.0) * width)
    return "█" * full + "·" * (width - full)


class Lines:
    """A run in plain lines: what happened, and every two seconds how it stands."""

    def __init__(self, out: Console) -> None:
        self.out = out
        self._shown = 0
        self._line_at = 0.0
        self._before: Sequence[ClassNow] = ()

    def show(self, now: Snapshot) -> bool:
        servers = now.servers
        for line in new_events(servers.events, self._shown):
            self.out.print(line, soft_wrap=True)
        self._shown = len(servers.events)
        if servers.at_ms >= self._line_at:
            self._line_at = servers.at_ms + 1000.0 * LINE_EVERY_S
            asked, in_aim = (
                sum(getattr(c, n) for c in now.classes) - sum(getattr(c, n) for c in self._before)
                for n in ("asked", "in_aim")
            )
            self._before = now.classes
            told = f"since the last line {asked} asked, {in_aim} in aim" if asked else "no requests"
            self.out.print(f"{servers.at_ms / 1000:6.1f} s  {stage_text(servers)}; {told}", soft_wrap=True)
        return True


def on_terminal() -> bool:
    return sys.stdout.isatty() and sys.stdin.isatty()


def play(world: World, pace: float) -> Result:
    """Plays a world to its end and shows it meanwhile: in a terminal at a pace (seconds of it in one of real
    time), else as fast as it goes, in lines on standard error."""
    if on_terminal():
        from meadowpulley.cli.screen import play_on_screen

        return play_on_screen(world, pace)
    return play_lines(world, Console(highlight=False, file=sys.stderr))


def play_lines(world: World, out: Console) -> Result:
    """The same in plain lines."""
    lines = Lines(out)
    while not world.over:
        world.run_until(world.clock.now + 1000.0)
        lines.show(snapshot(world))
    return world.finish()


def play_rig(plan: RigPlan) -> Measured:
    """Plays a plan on loopback and shows it meanwhile, as `play` does. Raises RigError."""
    if on_terminal():
        from meadowpulley.cli.screen import play_rig_on_screen

        return play_rig_on_screen(plan)
    return run_rig(plan, Lines(Console(highlight=False, file=sys.stderr)).show)
