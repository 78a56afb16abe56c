"""The live screen of a run: every server's load, the rollout's stage, answers and what happened (textual)."""

from __future__ import annotations

import time
from typing import ClassVar, TypeVar

from textual.app import App, ComposeResult
from textual.binding import BindingType
from textual.containers import Horizontal, Vertical
from textual.widgets import DataTable, Footer, Header, RichLog, Static

from meadowpulley.cli.run_snapshot import bar, snapshot
from meadowpulley.emulator import Emulation, EmulationResult, RunSnapshot, new_events, stage_text
from meadowpulley.loopback import LoopbackError, LoopbackPlan, LoopbackResult, run_loopback

FRAMES_PER_S = 8.0
SPEEDS = (0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0)
SERVER_COLUMNS = ("server", "site", "kind", "build", "state", "slots in use", "waiting", "warm", "served")
R = TypeVar("R")


class RunMonitor(App[R]):
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
        self._events_shown = 0

    def compose(self) -> ComposeResult:
        """Return the widgets of the screen."""
        yield Header()
        with Horizontal():
            yield DataTable(id="servers", cursor_type="none", zebra_stripes=True)
            with Vertical(id="side"):
                yield Static(id="stage")
                yield Static(id="answers")
                yield RichLog(id="log", wrap=True, max_lines=500)
        yield Footer()

    def on_mount(self) -> None:
        """Add the table's columns and start the run."""
        table = self.query_one("#servers", DataTable)
        for column in SERVER_COLUMNS:
            table.add_column(column, key=column)
        self.start_run()

    def start_run(self) -> None:
        """Start the run that the screen shows."""
        raise NotImplementedError

    def show(self, snapshot_now: RunSnapshot) -> None:
        """Show a snapshot of the run."""
        self.sub_title = snapshot_now.title
        self.query_one("#stage", Static).update(
            f"{stage_text(snapshot_now.servers)}\n{_rules_text(snapshot_now)}"
        )
        self.query_one("#answers", Static).update(_responses_text(snapshot_now))
        self._show_servers(snapshot_now)
        log = self.query_one("#log", RichLog)
        for line in new_events(snapshot_now.servers.events, self._events_shown):
            log.write(line)
        self._events_shown = len(snapshot_now.servers.events)

    def _show_servers(self, snapshot_now: RunSnapshot) -> None:
        table = self.query_one("#servers", DataTable)
        current_servers = {str(s.number): s for s in snapshot_now.servers.servers}
        shown_keys = {str(row_key.value) for row_key in table.rows}
        for key in shown_keys - set(current_servers):
            table.remove_row(key)
        for key, server in current_servers.items():
            colour = {"down": "red", "draining": "yellow"}.get(server.state, "green")
            cells = (
                key,
                server.site,
                server.kind,
                str(server.build),
                f"[{colour}]{server.state}[/]",
                f"{bar(server.slot_use, 16)} {server.slot_use:4.0%}",
                str(server.queued),
                f"{server.slow_start_fraction:.0%}",
                str(server.served),
            )
            if key in shown_keys:
                for column, cell in zip(SERVER_COLUMNS, cells, strict=True):
                    table.update_cell(key, column, cell)
            else:
                table.add_row(*cells, key=key)


def _rules_text(snapshot_now: RunSnapshot) -> str:
    if snapshot_now.violation_counts is None:
        return "[dim]rules are checked at its end[/]"
    return (
        "[green]all rules kept[/]"
        if not snapshot_now.violation_counts
        else f"[red]rules broken: {snapshot_now.violation_counts}[/]"
    )


def _responses_text(snapshot_now: RunSnapshot) -> str:
    lines = []
    for request_class in snapshot_now.classes:
        lines.append(f"[b]{request_class.name}[/b]  worth {100 * request_class.served_weight_share:.2f}%")
        lines.append(
            f"  {request_class.calls} asked, {request_class.within_objective} in aim, "
            f"{request_class.late} late"
        )
        lines.append(
            f"  {request_class.rejected} refused, {request_class.failed} failed, "
            f"p99 {request_class.p99_ms:.0f} ms"
        )
    return "\n".join(lines)


class EmulationMonitor(RunMonitor[EmulationResult]):
    """Plays a world, `pace` seconds of it in one of real time. The result is what it ends with, complete
    or not."""

    BINDINGS: ClassVar[list[BindingType]] = [
        ("space", "pause", "Pause"),
        ("plus,equals_sign", "faster", "Faster"),
        ("minus", "slower", "Slower"),
    ]

    def __init__(self, world: Emulation, pace: float) -> None:
        super().__init__()
        self.world = world
        self.pace = pace
        self.paused = False
        self._last_frame_at = time.monotonic()
        self._target_ms = world.clock.now

    def start_run(self) -> None:
        """Show the start of the emulation and schedule its frames."""
        self.show_world()
        self.set_interval(1 / FRAMES_PER_S, self.step)

    def step(self) -> None:
        """Advance the run by one frame at its pace, and never by more than two frames' time at once."""
        now = time.monotonic()
        elapsed_s = min(now - self._last_frame_at, 2 / FRAMES_PER_S)
        self._last_frame_at = now
        if self.paused:
            return
        self._target_ms += elapsed_s * 1000.0 * self.pace
        while self._target_ms >= (next_second_ms := (int(self.world.clock.now // 1000) + 1) * 1000.0):
            self.world.run_until(next_second_ms)
            if self.world.over:
                self.exit(self.world.finish())
                return
        self.world.run_until(self._target_ms)
        self.show_world()

    def show_world(self) -> None:
        """Show the emulation as it is now, with its pace."""
        self.show(snapshot(self.world))
        self.sub_title += f", {self.pace:g} x" + (", paused" if self.paused else "")

    def action_leave(self) -> None:
        """End the run and exit with its result."""
        self.exit(self.world.finish())

    def action_pause(self) -> None:
        """Pause or resume the run."""
        self.paused = not self.paused
        self.show_world()

    def action_faster(self) -> None:
        """Select the next higher pace."""
        self.pace = next((p for p in SPEEDS if p > self.pace), self.pace)

    def action_slower(self) -> None:
        """Select the next lower pace."""
        self.pace = next((p for p in reversed(SPEEDS) if p < self.pace), self.pace)


class LoopbackMonitor(RunMonitor[LoopbackResult | LoopbackError]):
    """Shows a run on loopback, which plays in a thread of its own."""

    def __init__(self, plan: LoopbackPlan) -> None:
        super().__init__()
        self.plan = plan
        self.stop_requested = False

    def start_run(self) -> None:
        """Start the run on loopback in a worker thread."""
        self.sub_title = "loopback: starting stand-ins and gateways"
        self.run_worker(self._run, thread=True)

    def _run(self) -> None:
        outcome: LoopbackResult | LoopbackError
        try:
            outcome = run_loopback(self.plan, self._show_snapshot)
        except LoopbackError as error:
            outcome = error
        self.call_from_thread(self.exit, outcome)

    def _show_snapshot(self, snapshot_now: RunSnapshot) -> bool:
        self.call_from_thread(self.show, snapshot_now)
        return not self.stop_requested

    def action_leave(self) -> None:
        """Request the end of the run."""
        self.stop_requested = True


def play_on_screen(world: Emulation, pace: float) -> EmulationResult:
    """Plays a world on the live screen. Ended early, the result is what there was until then."""
    result = EmulationMonitor(world, pace).run()
    return result if result is not None else world.finish()


def run_loopback_on_screen(plan: LoopbackPlan) -> LoopbackResult:
    """Plays a plan on loopback on the live screen. Raises RigError, also where it was ended early."""
    outcome = LoopbackMonitor(plan).run()
    if isinstance(outcome, LoopbackResult):
        return outcome
    raise outcome if outcome is not None else LoopbackError("the screen ended before the run did")
