"""A run watched as it goes on: the live screen in a terminal, plain lines elsewhere."""

from __future__ import annotations

import sys

from rich.console import Console

from meadowpulley.emulator import Result, World

LINE_EVERY_S = 2.0  # of virtual time, where there is no terminal


def bar(share: float, width: int) -> str:
    """A bar of so many characters, filled by a share."""
    full = round(min(max(share, 0.0), 1.0) * width)
    return "█" * full + "·" * (width - full)


def stage_text(world: World) -> str:
    """Where the newest build stands, in a few words."""
    stand = world.platform.stand
    phase = stand.phase.name.lower().replace("_", " ")
    return f"build {stand.build} {phase}, stage {stand.stage + 1}, cap {stand.cap:.0%}"


def plain_line(world: World) -> str:
    """The state of a run in one line."""
    seconds = world.result.seconds[-2:-1] or world.result.seconds[-1:]
    second = seconds[0] if seconds else None
    told = f"{second.asked} asked, {second.in_aim} in aim" if second else "no requests yet"
    return f"{world.clock.now / 1000:6.1f} s  {stage_text(world)}; in one second {told}"


def play(world: World, pace: float) -> Result:
    """Plays a world to its end and shows it meanwhile: in a terminal at a pace (seconds of it in one of real
    time), else as fast as it goes, in lines on standard error."""
    if sys.stdout.isatty() and sys.stdin.isatty():
        from meadowpulley.cli.screen import play_on_screen

        return play_on_screen(world, pace)
    return play_lines(world, Console(highlight=False, file=sys.stderr))


def play_lines(world: World, out: Console) -> Result:
    """The same in plain lines."""
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
