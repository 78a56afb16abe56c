"""What may happen next in world C.

In each state the moves that are under way stand in an order, and the first of them is free: so everything
goes on by itself, as in a process that nothing disturbs. Any other move, and whatever is somebody's failure,
costs one of the path's troubles (bounding the delays of a schedule: Emmi, Qadeer, Rakamaric, POPL 2011).
Clients, time, a wake and whatever was held back and is let go cost nothing, at any point.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from meadowpulley.check.shared.node import CHANNELS, Node
from meadowpulley.check.shared.state import State
from meadowpulley.check.worlds import Step


class Enabled(State):
    """The steps that are possible in a state."""

    def steps(self) -> list[Step]:
        if self.ended:
            return []
        moves = list(self._moves())
        found = moves if self.troubles else moves[:1]
        found += self._freed()
        if not moves:
            found += self._quiet()
        if self.troubles:
            found += self._troubles(bool(moves))
        return found

    def _moves(self) -> Iterator[Step]:
        """What goes on by itself, in the order in which it does."""
        for node in self.nodes:
            if node.up and not node.stopped:
                yield from self._at(node)
        for n, attempt in enumerate(self.arrived):
            if not attempt.held:
                yield Step("run", (n,))
        for node in self.nodes:
            if node.up and not node.stopped and "looks" not in node.held and self._news(node):
                yield Step("look", (node.number,))

    def _news(self, node: Node) -> bool:
        return node.read is not None or self.store.version > node.version

    def _at(self, node: Node) -> Iterator[Step]:
        g = node.number
        if node.bytes:
            yield Step("out", (g,))
        if node.answers:
            yield Step("hear", (g,))
        if node.next_due() <= self.now:
            yield Step("due", (g,))
        if node.outbox and "commits" not in node.held:
            yield Step("commit", (g,))
        if node.results:
            yield Step("result", (g,))
        if node.killed_at < math.inf and node.idle and not node.said_bye:
            yield Step("bye", (g,))

    def _freed(self) -> Iterator[Step]:
        for node in self.nodes:
            if node.stopped:
                yield Step("wake", (node.number,))
            yield from (Step("let", (node.number, channel)) for channel in sorted(node.held))
            if node.late:
                yield Step("straggle", (node.number,))
        for n, attempt in enumerate(self.arrived):
            if attempt.held:
                yield Step("let_run", (n,))

    def _asks(self) -> Iterator[Step]:
        for node in self.nodes:
            if self.left and node.up and not node.stopped and node.killed_at == math.inf:
                yield Step("ask", (node.number, self.left[0]))

    def _quiet(self) -> Iterator[Step]:
        """Nothing is under way: clients, or time."""
        yield from self._asks()
        yield from self._again(lost=True)
        pending = self.open_work() or any(n.stopped or n.held or n.late or not n.idle for n in self.nodes)
        if self.waits and (pending or self.arrived or self.scene.lends):
            if not self.scene.by_turns:
                yield Step("wait", ("next",))
            if any(n.stopped or n.held for n in self.nodes):
                yield Step("wait", ("lapse",))
            if self.scene.lends:
                yield Step("wait", ("turn",))
        if not any(n.stopped or n.held for n in self.nodes) and not self.left:
            yield Step("end")

    def _again(self, lost: bool) -> Iterator[Step]:
        """Clients that ask again, with the same id: those whose gateway was lost, and any others."""
        for n in sorted({n for n, _ in self.asked}):
            asks = [g for m, g in self.asked if m == n]
            alone = not self.nodes[asks[-1]].up  # perhaps the answer was on its way
            if len(asks) >= self.scene.copies or lost != alone:
                continue
            for node in self.nodes:
                if node.up and not node.stopped and node.killed_at == math.inf:
                    yield Step("again", (node.number, n))

    def _troubles(self, busy: bool) -> Iterator[Step]:
        may = self.scene.troubles
        if busy:
            yield from self._asks()
        if "again" in may:
            yield from self._again(lost=False)
        for node in self.nodes:
            if node.up:
                yield from self._life(node)
            elif "start" in may and node.life is not None:
                yield Step("start", (node.number,))
        for n, attempt in enumerate(self.arrived):
            if not attempt.held:
                yield from (Step(do, (n,)) for do in ("reset", "full", "late") if do in may)

    def _life(self, node: Node) -> Iterator[Step]:
        g, may = node.number, self.scene.troubles
        if "kill" in may:
            yield Step("kill", (g,))
        if node.stopped:
            return
        if "stop" in may:
            yield Step("stop", (g,))
        if "term" in may and node.killed_at == math.inf:
            yield Step("term", (g,))
        if "hold" in may:
            yield from (Step("hold", (g, channel)) for channel in CHANNELS if channel not in node.held)
        if "lose" in may and node.outbox and "commits" not in node.held:
            yield from (Step("lose", (g, how)) for how in ("before", "after", "late"))
        if "stale" in may and self.store.version > node.version and node.read is None:
            yield Step("read", (g,))
        if "leave" in may:
            for request, slot in node.slots.items():
                if slot.client and not slot.over:
                    yield Step("leave", (g, request))
