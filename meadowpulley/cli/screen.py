"""The live screen of a run: every server's load, the rollout's stage, answers and what happened (textual)."""

from __future__ import annotations

import time
from typing import ClassVar

from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.containers import Horizontal, Vertical
from textual.widgets import DataTable, Footer, Header, RichLog, Static

from meadowpulley.cli.view import bar, stage_text
from meadowpulley.emulator import Result, World
from meadowpulley.interface import ServerState

FRAMES_PER_S = 8.0
PACES = (0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0)
COLUMNS = ("server", "site", "kind", "build", "state", "slots in use", "waiting", "warm", "served")


class RunScreen(App[Result]):
    """Plays a world, `pace` seconds of it in one of real time. The result is what it ends with, whole or
    not."""

    TITLE = "meadowpulley"
    CSS = """
    #servers { height: 1fr; }
    #side { width: 46; }
    #stage { height: 3; padding: 0 1; }
    #answers { height: auto; padding: 0 1; }
    #log { height: 1fr; }
    """
    BINDINGS: ClassVar[list[BindingType]] = [
        ("q", "leave", "End"),
        ("space", "pause", "Pause"),
        ("plus,equals_sign", "faster", "Faster"),
        ("minus", "slower", "Slower"),
    ]

    def __init__(self, world: World, pace: float) -> None:
        super().__init__()
        self.world, self.pace = world, pace
        self.paused = False
        self._shown = 0
        self._last = time.monotonic()
        self._due = world.clock.now

    def compose(self) -> ComposeResult:
        yield Header()
        with Horizontal():
            yield DataTable(id="servers", cursor_type="none", zebra_stripes=True)
            with Vertical(id="side"):
                yield Static(id="stage")
                yield Static(id="answers")
                yield RichLog(id="log", wrap=True, max_lines=500)
        yield Footer()

    def on_mount(self) -> None:
        table = self.query_one("#servers", DataTable)
        for column in COLUMNS:
            table.add_column(column, key=column)
        self.show()
        self.set_interval(1 / FRAMES_PER_S, self.step)

    def step(self) -> None:
        """One frame: as much of the run as its pace asks, and never more than a frame's worth at once."""
        now = time.monotonic()
        passed, self._last = min(now - self._last, 2 / FRAMES_PER_S), now
        if self.paused:
            return
        self._due += passed * 1000.0 * self.pace
        while self._due >= (whole := (int(self.world.clock.now // 1000) + 1) * 1000.0):
            self.world.run_until(whole)
            if self.world.over:
                self.exit(self.world.finish())
                return
        self.world.run_until(self._due)
        self.show()

    def show(self) -> None:
        world = self.world
        self.sub_title = f"{world.fleet.name}, {world.clock.now / 1000:.1f} s, {self.pace:g} x" + (
            ", paused" if self.paused else ""
        )
        self.query_one("#stage", Static).update(f"{stage_text(world)}\n{self._rules()}")
        self.query_one("#answers", Static).update(self._answers())
        table = self.query_one("#servers", DataTable)
        wanted = {str(h.entry.server): h for h in world.hosts.values()}
        for key in [str(k.value) for k in table.rows if str(k.value) not in wanted]:
            table.remove_row(key)
        there = {str(k.value) for k in table.rows}
        for key, h in wanted.items():
            m = h.machine
            state = "down" if not h.up else h.entry.state.name.lower()
            colour = "red" if not h.up else "yellow" if h.entry.state is ServerState.DRAINING else "green"
            share = len(m.running) / m.kind.slots
            cells = (
                key, world.fleet.sites[h.entry.zone].name, m.kind.name, str(h.entry.build),
                f"[{colour}]{state}[/]", f"{bar(share, 16)} {share:4.0%}", str(len(m.waiting)),
                f"{m.warmth(world.clock.now):.0%}", str(h.served),
            )  # fmt: skip
            if key in there:
                for column, cell in zip(COLUMNS, cells, strict=True):
                    table.update_cell(key, column, cell)
            else:
                table.add_row(*cells, key=key)
        log = self.query_one("#log", RichLog)
        for at, what in world.result.events[self._shown :]:
            if "votes none" not in what:
                log.write(f"{at / 1000:6.1f} s  {what}")
        self._shown = len(world.result.events)

    def _rules(self) -> str:
        counts = self.world.checker.counts
        return "[green]all rules kept[/]" if not counts else f"[red]rules broken: {dict(counts)}[/]"

    def _answers(self) -> str:
        lines = []
        for c in self.world.result.classes:
            lines.append(f"[b]{c.name}[/b]  worth {100 * c.worth_share:.2f}%")
            lines.append(f"  {c.asked} asked, {c.in_aim} in aim, {c.late} late")
            lines.append(f"  {c.refused} refused, {c.failed} failed, p99 {c.latency_ms(99):.0f} ms")
        return "\n".join(lines)

    def action_leave(self) -> None:
        self.exit(self.world.finish())

    def action_pause(self) -> None:
        self.paused = not self.paused
        self.show()

    def action_faster(self) -> None:
        self.pace = next((p for p in PACES if p > self.pace), self.pace)

    def action_slower(self) -> None:
        self.pace = next((p for p in reversed(PACES) if p < self.pace), self.pace)


def play_on_screen(world: World, pace: float) -> Result:
    """Plays a world on the live screen. Ended early, the result is what there was until then."""
    result = RunScreen(world, pace).run()
    return result if result is not None else world.finish()
