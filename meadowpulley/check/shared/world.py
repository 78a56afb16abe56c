"""Taking a step of world C, and what must hold when all is over."""

from __future__ import annotations

import math
from collections.abc import Sequence

from meadowpulley.check.shared.enabled import Enabled
from meadowpulley.check.shared.node import CHOICES, Node
from meadowpulley.check.shared.scenes import BURST, CLASSES, PLAN, TERM_MS
from meadowpulley.check.shared.state import Attempt
from meadowpulley.check.shared.words import text_of
from meadowpulley.check.worlds import Step
from meadowpulley.interface import Result
from meadowpulley.ledger import Commit, Committed, Done, How, Life, Scan, Scanned, Seal
from meadowpulley.takeover.model import Stopping

LEFT_MS = 500.0  # between SIGTERM and SIGKILL
LONG_MS = max(c.deadline_ms for c in CLASSES) + 4 * TERM_MS  # by when everything has met its end
ASKED = frozenset({"out", "run", "result"})  # the way of a request that lending let through
MOST_MOVES = 20_000  # within one step: more is a circle


class Shared(Enabled):
    """The world: each step is a method."""

    def _begin(self) -> None:
        """Both have renewed their leases and know of each other; what is lent has been granted."""
        self._settle()
        until = self.now + (2 * TERM_MS if self.scene.lends else 0.0)
        while self.scene.lends and self._step_on(until):
            self._settle()

    def take(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        CHOICES.begin(())
        self.heard, self.mine = [], set()
        if self._costs(step):
            self.troubles -= 1
        getattr(self, f"_do_{step.do}")(*step.who)
        self._look()
        return (), ()

    def _look(self) -> None:
        """What must hold in every state, whoever has just stepped."""
        if self.scene.lends:
            rates = [node.may_admit(self.now) for node in self.nodes]
            if sum(rates) > PLAN.capacity_per_s * (1 + 1e-9) and not self.broken:
                text = f"{' and '.join(f'{r:.2f}' for r in rates)} a second, of {PLAN.capacity_per_s:g}"
                self.books.fail("lent", self.now, -1, text)

    def _costs(self, step: Step) -> bool:
        """What is free: the first of the moves; else clients, time, and what is let go."""
        first = next(self._moves(), None)
        if step.do in ("wake", "let", "straggle", "let_run", "wait", "end"):
            return False
        if step.do in ("ask", "again"):
            return first is not None or (step.do == "again" and step not in self._again(lost=True))
        return step != first

    def _node(self, g: int) -> Node:
        """A gateway that steps now; other copies of the world keep theirs."""
        if g not in self.mine:
            self.nodes[g] = self.nodes[g].copy()
            self.mine.add(g)
        return self.nodes[g]

    # What goes on by itself

    def _do_out(self, g: int) -> None:
        node = self._node(g)
        request, attempt = node.bytes.popleft()
        slot = node.slots.get(request)
        if slot is None or attempt not in slot.out:
            return  # given up before its bytes went out
        assert node.life is not None
        server = slot.out[attempt].server
        one = Attempt(g, node.life, request, attempt, slot.name, slot.cls, server, False)
        self.arrived = (*self.arrived, one)
        self.books.out(slot.name)
        self.say(node.who, f"server {server}", slot.name)

    def _do_hear(self, g: int) -> None:
        node = self._node(g)
        node.hear(self, node.answers.popleft())

    def _do_due(self, g: int) -> None:
        node = self._node(g)
        if node.killed_at <= self.now:
            node.end()
        else:
            node.run_due(self)

    def _carry_out(self, node: Node, commit: Commit, by: Life | None = None) -> tuple[Done, ...]:
        life = by or node.life
        assert life is not None
        done = tuple(self.books.commit(self.now, node.number, self.store, life, commit))
        self.say(node.who, "ledger", f"{commit.owner}: {', '.join(d.how.value for d in done)}")
        for step, one in zip(commit.steps, done, strict=True):
            for write in step.writes if one.how is How.WON else ():
                if isinstance(write, Seal):
                    self._sealed(write.life)
        return done

    def _sealed(self, life: Life) -> None:
        """Who is sealed had stopped acting before: false suspicion costs work, never a rule."""
        for node in self.nodes:
            if node.up and node.life == life and self.now < node.acts_until:
                text = f"{life} is sealed, and its own lease holds for {node.acts_until - self.now:.0f} ms"
                self.books.fail("lease", self.now, node.number, text)

    def _do_commit(self, g: int) -> None:
        node = self._node(g)
        commit = node.outbox.popleft()
        if isinstance(commit, Scan):
            node.answers.append(Scanned(commit.ticket, tuple(self.store.scan(commit.prefix)), commit.owner))
            return
        done = self._carry_out(node, commit)
        if node.said_bye and not node.outbox:
            node.end()
        else:
            node.answers.append(Committed(commit.ticket, done, commit.owner))

    def _do_result(self, g: int) -> None:
        node = self._node(g)
        node.outcome(self, *node.results.popleft())

    def _do_bye(self, g: int) -> None:
        self._node(g).bye(self)

    def _do_look(self, g: int) -> None:
        node = self._node(g)
        event, node.read = node.read or node.look(self), None
        node.told(self, event)

    def _take(self, n: int) -> Attempt:
        attempt = self.arrived[n]
        self.arrived = (*self.arrived[:n], *self.arrived[n + 1 :])
        return attempt

    def _back(self, attempt: Attempt, result: Result, body: str = "") -> None:
        node = self.nodes[attempt.gateway]
        if node.up and node.life == attempt.life:
            node = self._node(attempt.gateway)
            node.results.append((attempt.request, attempt.attempt, result, body))
        self.say(f"server {attempt.server}", node.who, f"{attempt.name}: {result.name.lower()}")

    def _do_run(self, n: int) -> None:
        attempt = self._take(n)
        self.books.run(self.now, attempt.name, attempt.cls)
        body = f"{attempt.name} as run {self.books.ran[attempt.name]}"
        self._back(attempt, Result.OK, body)

    # Clients

    def _do_ask(self, g: int, n: int) -> None:
        self.left = self.left[1:]
        self._ask(g, n, again=False)

    def _do_again(self, g: int, n: int) -> None:
        self._ask(g, n, again=True)

    def _ask(self, g: int, n: int, again: bool) -> None:
        self.asked = (*self.asked, (n, g))
        self.books.left.discard(f"r{n}")  # refused before, and asked anew
        self.say("clients", f"gateway {g}", f"r{n}, again" if again else f"r{n}")
        for _ in range(BURST if self.scene.lends else 1):
            self._node(g).ask(self, n, self.scene.kinds[n % len(self.scene.kinds)], again)
        if self.scene.lends:
            self._settle(ASKED)

    def _do_leave(self, g: int, request: int) -> None:
        self._node(g).leave(self, request)

    # Failures

    def _do_kill(self, g: int) -> None:
        self._node(g).end()

    def _do_stop(self, g: int) -> None:
        self._node(g).stopped = True

    def _do_wake(self, g: int) -> None:
        self._node(g).stopped = False

    def _do_term(self, g: int) -> None:
        node = self._node(g)
        node.killed_at = self.now + LEFT_MS
        node.tell(self, Stopping(LEFT_MS))

    def _do_start(self, g: int) -> None:
        node = self._node(g)
        assert node.life is not None
        self.store.dead.add(node.life)
        late, last = node.late, node.last
        node = self.nodes[g] = Node(g, self.scene)
        node.late, node.last = late, last
        node.begin(self)

    def _do_hold(self, g: int, channel: str) -> None:
        self._node(g).held.add(channel)

    def _do_let(self, g: int, channel: str) -> None:
        self._node(g).held.discard(channel)

    def _do_lose(self, g: int, how: str) -> None:
        node = self._node(g)
        commit = node.outbox.popleft()
        if isinstance(commit, Scan):
            node.answers.append(Scanned(commit.ticket, None, commit.owner))
            return
        if how == "after":
            self._carry_out(node, commit)
        elif how == "late":
            assert node.life is not None
            node.late.append((node.life, commit))
        unknown = (Done(How.UNKNOWN),) * len(commit.steps)
        node.answers.append(Committed(commit.ticket, unknown, commit.owner))

    def _do_straggle(self, g: int) -> None:
        node = self._node(g)
        by, commit = node.late.popleft()
        self._carry_out(node, commit, by)

    def _do_read(self, g: int) -> None:
        node = self._node(g)
        node.read = node.look(self)

    def _do_reset(self, n: int) -> None:
        attempt = self._take(n)
        self.books.run(self.now, attempt.name, attempt.cls)
        self._back(attempt, Result.RESET)

    def _do_full(self, n: int) -> None:
        attempt = self._take(n)
        self.books.over(attempt.name)
        self._back(attempt, Result.REJECTED)

    def _hold_run(self, n: int, held: bool) -> None:
        one = self.arrived[n]._replace(held=held)
        self.arrived = (*self.arrived[:n], one, *self.arrived[n + 1 :])

    def _do_late(self, n: int) -> None:
        self._hold_run(n, True)

    def _do_let_run(self, n: int) -> None:
        self._hold_run(n, False)

    # Time

    def _do_wait(self, place: str) -> None:
        """On until something but renewals happens; or past the leases of those that stand or are held. What
        is lent is asked for and granted all the time: there by a turn of it, or by the term of a grant."""
        self.waits -= 1
        until, by_itself = self.now + 3 * TERM_MS, False
        if place == "turn" or (self.scene.lends and place == "lapse"):
            until, by_itself = self.now + (PLAN.turn_ms if place == "turn" else PLAN.term_ms), True
        elif place == "lapse":
            ends = [n.acts_until for n in self.nodes if n.up and (n.stopped or n.held)]
            until = max(min(ends, default=self.now), self.now) + 1.0
        while self._step_on(until):
            self._settle(routine=not by_itself)
            if next(self._moves(), None) is not None:
                return

    def _step_on(self, until: float) -> bool:
        """Time to the next moment at which something is due, and a look of everybody; False: none is left."""
        due = min(node.next_due() for node in self.nodes)
        if due > until or due == math.inf:
            self.now = max(until, self.now) if until < math.inf else self.now
            return False
        self.now = max(due, self.now)
        for g, node in enumerate(self.nodes):
            if node.next_due() <= self.now:
                self._do_due(g)
        for g, node in enumerate(self.nodes):
            if node.up and not node.stopped and "looks" not in node.held:
                self._do_look(g)
        return True

    def _settle(self, only: frozenset[str] = frozenset(), routine: bool = False) -> None:
        """What is under way goes on to its end: all, moves of some kinds only, or renewals and looks."""
        for _ in range(MOST_MOVES):
            moves = (s for s in self._moves() if (not only or s.do in only))
            move = next((s for s in moves if not routine or self._is_routine(s)), None)
            if move is None:
                return
            getattr(self, f"_do_{move.do}")(*move.who)
            self._look()
        self.books.fail("timers", self.now, -1, "what is under way never ends")

    def _is_routine(self, step: Step) -> bool:
        if step.do == "look":
            return True
        node = self.nodes[int(step.who[0])]
        if step.do == "commit":
            return Node.is_renewal(node.outbox[0])
        return step.do == "hear" and node.hears_renewal

    # The end

    def _do_end(self) -> None:
        """Everything goes on until all has met its end; then it is looked at."""
        until = self.now + LONG_MS
        self._settle()
        while not self.books.broken and self._step_on(until):
            self._settle()
        self.ended = True
        self._look_at_end()

    def _look_at_end(self) -> None:
        living = [n for n in self.nodes if n.up]
        for name in self.open_work() if living else ():
            self.books.fail("work-ends", self.now, -1, f"{name} is written, one gateway lives, and no end")
        for node in living:
            waits = [s.name for s in node.slots.values() if not s.over]
            if waits:
                self.books.fail("answers", self.now, node.number, f"{waits} were never answered")

    # For people

    def tell(self, step: Step) -> str:
        return text_of(self, step)
