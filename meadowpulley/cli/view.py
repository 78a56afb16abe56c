"""A run watched as it goes on: the live screen in a terminal, plain lines otherwise."""

from __future__ import annotations

import sys
from collections.abc import Sequence

from rich.console import Console

from meadowpulley.cli.run_snapshot import snapshot
from meadowpulley.emulator import (
    ClassSnapshot,
    Emulation,
    EmulationResult,
    RunSnapshot,
    new_events,
    stage_text,
)
from meadowpulley.loopback import LoopbackPlan, LoopbackResult, run_loopback

LINE_INTERVAL_S = 2.0  # of the run's time, where there is no terminal


class TextMonitor:
    """A run in plain lines: what happened, and its state every two seconds."""

    def __init__(self, out: Console) -> None:
        self.out = out
        self._events_shown = 0
        self._next_line_at = 0.0
        self._last_classes: Sequence[ClassSnapshot] = ()

    def show(self, snapshot_now: RunSnapshot) -> bool:
        """Print new events, and a line of figures every `LINE_INTERVAL_S` seconds."""
        servers = snapshot_now.servers
        for line in new_events(servers.events, self._events_shown):
            self.out.print(line, soft_wrap=True)
        self._events_shown = len(servers.events)
        if servers.at_ms >= self._next_line_at:
            self._next_line_at = servers.at_ms + 1000.0 * LINE_INTERVAL_S
            calls = sum(c.calls for c in snapshot_now.classes) - sum(c.calls for c in self._last_classes)
            within_objective = sum(c.within_objective for c in snapshot_now.classes) - sum(
                c.within_objective for c in self._last_classes
            )
            self._last_classes = snapshot_now.classes
            requests_text = "no requests"
            if calls:
                requests_text = f"since the last line {calls} asked, {within_objective} in aim"
            self.out.print(
                f"{servers.at_ms / 1000:6.1f} s  {stage_text(servers)}; {requests_text}", soft_wrap=True
            )
        return True


def on_terminal() -> bool:
    """Return whether standard input and standard output are a terminal."""
    return sys.stdout.isatty() and sys.stdin.isatty()


def play_emulation(world: Emulation, pace: float) -> EmulationResult:
    """Plays a world to its end and shows it meanwhile: in a terminal at a pace (seconds of it in one of real
    time), else as fast as it goes, in lines on standard error."""
    if on_terminal():
        from meadowpulley.cli.screen import play_on_screen

        return play_on_screen(world, pace)
    return play_emulation_as_text(world, Console(highlight=False, file=sys.stderr))


def play_emulation_as_text(world: Emulation, out: Console) -> EmulationResult:
    """The same in plain lines."""
    lines = TextMonitor(out)
    while not world.over:
        world.run_until(world.clock.now + 1000.0)
        lines.show(snapshot(world))
    return world.finish()


def run_loopback_with_progress(plan: LoopbackPlan) -> LoopbackResult:
    """Plays a plan on loopback and shows it meanwhile, as `play` does. Raises RigError."""
    if on_terminal():
        from meadowpulley.cli.screen import run_loopback_on_screen

        return run_loopback_on_screen(plan)
    return run_loopback(plan, TextMonitor(Console(highlight=False, file=sys.stderr)).show)
