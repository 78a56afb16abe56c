"""The live screen of a run: every server's load, the rollout's stage, answers and what happened (textual)."""

from __future__ import annotations

import time
from typing import ClassVar, TypeVar

from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.containers import Horizontal, Vertical
from textual.widgets import DataTable, Footer, Header, RichLog, Static

from meadowpulley.cli.view import bar, snapshot
from meadowpulley.emulator import Result, Snapshot, World, new_events, stage_text
from meadowpulley.rig import Measured, RigError, RigPlan, run_rig

FRAMES_PER_S = 8.0
PACES = (0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0)
COLUMNS = ("server", "site", "kind", "build", "state", "slots in use", "waiting", "warm", "served")
R = TypeVar("R")


class Screen(App[R]):
    """Shows snapshots of a run; what plays it, and what it ends with, is its kinds' own."""

    TITLE = "meadowpulley"
    CSS = """
    #servers { height: 1fr; }
    #side { width: 46; }
    #stage { height: 3; padding: 0 1; }
    #answers { height: auto; padding: 0 1; }
    #log { height: 1fr; }
    """
    BINDINGS: ClassVar[list[BindingType]] = [("q", "leave", "End")]

    def __init__(self) -> None:
        super().__init__()
        self._shown = 0

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
        self.begin()

    def begin(self) -> None:
        raise NotImplementedError

    def show(self, now: Snapshot) -> None:
        self.sub_title = now.title
        self.query_one("#stage", Static).update(f"{stage_text(now.servers)}\n{_rules(now)}")
        self.query_one("#answers", Static).update(_answers(now))
        self._show_servers(now)
        log = self.query_one("#log", RichLog)
        for line in new_events(now.servers.events, self._shown):
            log.write(line)
        self._shown = len(now.servers.events)

    def _show_servers(self, now: Snapshot) -> None:
        table = self.query_one("#servers", DataTable)
        wanted = {str(s.number): s for s in now.servers.servers}
        there = {str(k.value) for k in table.rows}
        for key in there - set(wanted):
            table.remove_row(key)
        for key, s in wanted.items():
            colour = {"down": "red", "draining": "yellow"}.get(s.state, "green")
            cells = (
                key,
                s.site,
                s.kind,
                str(s.build),
                f"[{colour}]{s.state}[/]",
                f"{bar(s.slots, 16)} {s.slots:4.0%}",
                str(s.waiting),
                f"{s.warm:.0%}",
                str(s.served),
            )
            if key in there:
                for column, cell in zip(COLUMNS, cells, strict=True):
                    table.update_cell(key, column, cell)
            else:
                table.add_row(*cells, key=key)


def _rules(now: Snapshot) -> str:
    if now.broken is None:
        return "[dim]rules are checked at its end[/]"
    return "[green]all rules kept[/]" if not now.broken else f"[red]rules broken: {now.broken}[/]"


def _answers(now: Snapshot) -> str:
    lines = []
    for c in now.classes:
        lines.append(f"[b]{c.name}[/b]  worth {100 * c.worth:.2f}%")
        lines.append(f"  {c.asked} asked, {c.in_aim} in aim, {c.late} late")
        lines.append(f"  {c.refused} refused, {c.failed} failed, p99 {c.p99_ms:.0f} ms")
    return "\n".join(lines)


class RunScreen(Screen[Result]):
    """Plays a world, `pace` seconds of it in one of real time. The result is what it ends with, whole or
    not."""

    BINDINGS: ClassVar[list[BindingType]] = [
        ("space", "pause", "Pause"),
        ("plus,equals_sign", "faster", "Faster"),
        ("minus", "slower", "Slower"),
    ]

    def __init__(self, world: World, pace: float) -> None:
        super().__init__()
        self.world, self.pace = world, pace
        self.paused = False
        self._last = time.monotonic()
        self._due = world.clock.now

    def begin(self) -> None:
        self.show_world()
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
        self.show_world()

    def show_world(self) -> None:
        self.show(snapshot(self.world))
        self.sub_title += f", {self.pace:g} x" + (", paused" if self.paused else "")

    def action_leave(self) -> None:
        self.exit(self.world.finish())

    def action_pause(self) -> None:
        self.paused = not self.paused
        self.show_world()

    def action_faster(self) -> None:
        self.pace = next((p for p in PACES if p > self.pace), self.pace)

    def action_slower(self) -> None:
        self.pace = next((p for p in reversed(PACES) if p < self.pace), self.pace)


class RigScreen(Screen[Measured | RigError]):
    """Shows a run on loopback, which plays in a thread of its own."""

    def __init__(self, plan: RigPlan) -> None:
        super().__init__()
        self.plan = plan
        self.ended = False

    def begin(self) -> None:
        self.sub_title = "loopback: starting stand-ins and gateways"
        self.run_worker(self._play, thread=True)

    def _play(self) -> None:
        found: Measured | RigError
        try:
            found = run_rig(self.plan, self._watch)
        except RigError as error:
            found = error
        self.call_from_thread(self.exit, found)

    def _watch(self, now: Snapshot) -> bool:
        self.call_from_thread(self.show, now)
        return not self.ended

    def action_leave(self) -> None:
        self.ended = True


def play_on_screen(world: World, pace: float) -> Result:
    """Plays a world on the live screen. Ended early, the result is what there was until then."""
    result = RunScreen(world, pace).run()
    return result if result is not None else world.finish()


def play_rig_on_screen(plan: RigPlan) -> Measured:
    """Plays a plan on loopback on the live screen. Raises RigError, also where it was ended early."""
    found = RigScreen(plan).run()
    if isinstance(found, Measured):
        return found
    raise found if found is not None else RigError("the screen ended before the run did")
