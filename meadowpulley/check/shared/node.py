"""One gateway of world C: its real stages in a small host, and what is on its way to and from it.

The host does what a gateway's adapter does, one event at a time; what it would hand to the kernel or to the
ledger waits in queues, so that each hand-over is a step of its own: a commit to be carried out, its answer to
be heard, a look at the ledger, bytes to go out, a result to be heard.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any, Protocol

from meadowpulley.balance import Balancer
from meadowpulley.check.choices import Choices
from meadowpulley.check.graph import Copier, Forms, Walker, digest
from meadowpulley.check.shared.books import Books
from meadowpulley.check.shared.scenes import (
    BUILD,
    LEASES,
    PATHS,
    PLAN,
    SAFE,
    TAKEOVER,
    Scene,
)
from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    Outcome,
    Phase,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Timer,
)
from meadowpulley.ledger import Changed, Commit, Committed, How, Life, MemoryStore, Renew, Scan, Scanned
from meadowpulley.ledger.keeper import OWNER as KEEPER, Keeper
from meadowpulley.lending import Lending
from meadowpulley.takeover import Takeover, model as m

CHOICES = Choices()
NEWS = RolloutUpdate(BUILD, 0, Phase.RELEASED, 1.0, 60_000.0)
CHANNELS = ("commits", "looks")
SKIP = {
    "Balancer": frozenset({"s", "rules", "roll", "rng", "handlers", "acts", "many", "z", "needed"}),
    "Held": frozenset({"cls"}),
    "Keeper": frozenset({"_own"}),
    "Takeover": frozenset({"s", "handlers", "terms"}),
    "Lending": frozenset({"settings", "worth"}),
    "Turn": frozenset({"acts", "steps", "whys", "now"}),
}
FORMS = Forms(SKIP, {})
COPIER = Copier(shared=(Choices,))
OWN = ("number", "scene", "cache")


class Around(Protocol):
    """What a node sees of its world."""

    now: float
    store: MemoryStore
    books: Books

    def say(self, who: str, whom: str, what: str) -> None: ...

    def has_ended(self, name: str) -> bool: ...


class Out:
    """One attempt that the stages sent: its bytes wait, are out, or its outcome was heard."""

    def __init__(self, server: int, at: float) -> None:
        self.server, self.at = server, at


class Slot:
    """A request in the adapter's table; `client` leaves or never was."""

    def __init__(self, name: str, n: int, cls: int, deadline: float, client: bool) -> None:
        self.name, self.n, self.cls, self.deadline, self.client = name, n, cls, deadline, client
        self.over = False
        self.asked_at, self.answered_at = math.inf, math.inf  # by its client, by an instance
        self.tries = 0
        self.out: dict[int, Out] = {}


class Node:
    def __init__(self, number: int, scene: Scene) -> None:
        self.number, self.scene = number, scene
        self.up, self.stopped = False, False
        self.killed_at = math.inf  # after a planned stop
        self.said_bye = False
        self.life: Life | None = None
        self.keeper: Any = None
        self.balancer: Any = None
        self.lending: Any = None
        self.outbox: deque[Commit | Scan] = deque()  # asked for, not carried out
        self.late: deque[tuple[Life, Commit]] = deque()  # not heard of any more, and still on their way
        self.answers: deque[Committed | Scanned] = deque()  # carried out, not heard of
        self.bytes: deque[tuple[int, int]] = deque()  # request and attempt: sent, and not out yet
        self.results: deque[tuple[int, int, Result, str]] = deque()  # come, and not heard of
        self.read: Changed | None = None  # read, and not told
        self.version = 0  # up to which it was told of the ledger
        self.watched: tuple[str, ...] | None = None
        self.timers: list[tuple[float, int]] = []
        self.slots: dict[int, Slot] = {}
        self.last = 0
        self.held: set[str] = set()  # channels that carry nothing now
        self.acts_until = -math.inf  # end of its own lease, by its books
        self.renewing: dict[int, float] = {}
        self.cache: list[int] = []
        self._events: deque[Any] = deque()

    @property
    def who(self) -> str:
        return f"gateway {self.number}"

    @property
    def knows_end(self) -> bool:
        return bool(self.keeper.ended)

    def begin(self, world: Around) -> None:
        """A life: its own in the ledger, a warm balancer, its lease renewed."""
        settings = self.scene.settings(self.number)
        self.up = True
        self.life = world.store.begin(f"g{self.number}", LEASES.term_ms)
        self.balancer = Balancer(settings, 0)
        self.balancer.rng = CHOICES
        inner: Any = self.balancer
        if self.scene.lends:
            inner = self.lending = Lending(inner, settings, PLAN, self.life, self.number + 1)
        self.keeper = Keeper(self.life, LEASES, inner)
        if self.scene.takes_over:
            self.keeper.inner = Takeover(settings, inner, self.life, self.keeper.may_act, TAKEOVER)
        entries = tuple(ServerEntry(n, 0, 0, ServerState.READY, BUILD, 1.0, 0, 1.0) for n in (1, 2))
        self.tell(world, EndpointUpdate(EndpointUpdateKind.CACHED, 1, entries))
        self.tell(world, NEWS)
        self.balancer.retries_left = 3.0
        for action in self.keeper.start(world.now):
            self._carry_out(world, action)

    # Events in, actions out

    def tell(self, world: Around, event: Any) -> None:
        self._events.append(event)
        if len(self._events) > 1:
            return
        while self._events:
            event = self._events[0]
            try:
                actions = self.keeper.handle(world.now, event)
            except Exception as error:
                self._fail(world, "fault", f"{type(error).__name__}: {error}")
                self._events.clear()
                return
            for action in actions:
                self._carry_out(world, action)
            self._events.popleft()
        if self.lending is not None and self.lending.watches() != self.watched:
            self.watched, self.version = self.lending.watches(), 0  # the ledger is read anew

    def _fail(self, world: Around, name: str, text: str) -> None:
        world.books.fail(name, world.now, self.number, text)

    def _carry_out(self, world: Around, action: Any) -> None:
        if isinstance(action, Commit | Scan):
            self.outbox.append(action)
            if self.is_renewal(action):
                self.renewing[action.ticket] = world.now
        elif isinstance(action, Send):
            self._send(world, action)
        elif isinstance(action, Reject | Fail):
            self._answer(world, action.request, "refused" if isinstance(action, Reject) else "failed")
        elif isinstance(action, m.Pass):
            self._answer(world, action.request, action.body.decode())
        elif isinstance(action, m.Drop):
            self._end(action.request)
        elif isinstance(action, m.Adopt):
            self._adopt(world, action)
        elif isinstance(action, SetTimer):
            due = (world.now + max(action.delay_ms, 0.0), action.token)
            if due not in self.timers:
                self.timers.append(due)
                self.timers.sort()
        elif isinstance(action, Cancel):
            self._cancel(world, action)

    @staticmethod
    def is_renewal(asked: Commit | Scan) -> bool:
        if isinstance(asked, Scan) or asked.owner != KEEPER:
            return False
        return all(isinstance(w, Renew) for step in asked.steps for w in step.writes)

    @property
    def hears_renewal(self) -> bool:
        """Whether what it hears next is of a renewal."""
        first = self.answers[0]
        return first.owner == KEEPER and first.ticket in self.renewing

    # Requests

    def ask(self, world: Around, n: int, cls: int, again: bool) -> None:
        self.last += 1
        name, deadline = f"r{n}", world.now + self.scene.settings(self.number).classes[cls].deadline_ms
        self.slots[self.last] = Slot(name, n, cls, deadline, True)
        self.slots[self.last].asked_at = world.now
        request = Request(self.last, cls, n % 2, n + 1, deadline, client_retry=again)
        event: Any = request
        if self.knows_end and cls == SAFE:
            world.books.unwritten.add(name)
        if self.scene.takes_over:
            event = m.Taken(request, name, "POST", PATHS[cls], (), name.encode())
        self.tell(world, event)

    def _adopt(self, world: Around, action: m.Adopt) -> None:
        self.last += 1
        n = int(action.name[1:])
        self.slots[self.last] = Slot(action.name, n, action.cls, action.deadline_ms, False)
        world.say("ledger", self.who, f"takes {action.name} over")
        self.tell(world, m.Placed(action.name, self.last))

    def _send(self, world: Around, action: Send) -> None:
        slot = self.slots.get(action.request)
        if slot is None or slot.over:
            self._fail(world, "answers", f"request {action.request} is over, and sent")
            return
        written = self.scene.takes_over and slot.name not in world.books.unwritten
        if written and world.now >= self.acts_until:
            self._fail(world, "lease", f"{slot.name} is sent, and the lease has run out")
        if written and self.knows_end:
            self._fail(world, "lease", f"{slot.name} is sent by a life that knows of its end")
        slot.out[slot.tries] = Out(action.server, world.now)
        self.bytes.append((action.request, slot.tries))
        slot.tries += 1
        world.say(self.who, f"server {action.server}", f"{slot.name}, decided")

    def _cancel(self, world: Around, action: Cancel) -> None:
        slot = self.slots.get(action.request)
        if slot is not None and action.attempt in slot.out:
            self.outcome(world, action.request, action.attempt, Result.CANCELLED)

    def _answer(self, world: Around, request: int, text: str) -> None:
        slot = self.slots.get(request)
        if slot is None or slot.over:
            self._fail(world, "answers", f"request {request} is answered {text}, and is over")
            return
        world.say(self.who, "clients", f"{slot.name}: {text}")
        if slot.client and self.scene.takes_over and not self._is_stopgap(world, slot, text):
            world.books.answer(world.now, self.number, slot.name, slot.cls, text)
        self._end(request)

    def _is_stopgap(self, world: Around, slot: Slot, text: str) -> bool:
        """Answers that a later one may contradict, as docs/design/takeover.md says: those passed while the
        ledger gave no word of them for `hold_ms`; and `failed` to an ask whose client stops waiting, or by
        a life that was sealed: others end that work, and it can't learn how."""
        if text == "failed" and (world.now >= slot.deadline or self.knows_end):
            return True
        since = slot.asked_at if text == "failed" else slot.answered_at
        return world.now >= since + TAKEOVER.hold_ms and not world.has_ended(slot.name)

    def _end(self, request: int) -> None:
        slot = self.slots.get(request)
        if slot is not None:
            slot.over = True
            self._tidy(request)

    def _tidy(self, request: int) -> None:
        slot = self.slots.get(request)
        if slot is not None and slot.over and not slot.out:
            del self.slots[request]

    def leave(self, world: Around, request: int) -> None:
        self.slots[request].client = False
        self.tell(world, m.ClientGone(request) if self.scene.takes_over else ClientDisconnected(request))

    def outcome(self, world: Around, request: int, attempt: int, result: Result, body: str = "") -> None:
        """The one outcome of an attempt; a good answer is shown to the stages first."""
        slot = self.slots.get(request)
        if slot is None or attempt not in slot.out:
            return
        if result is Result.OK and not slot.over:
            slot.answered_at = world.now
            if self.scene.takes_over:
                self.tell(world, m.AnswerReady(request, 200, (), body.encode()))
            else:
                self._answer(world, request, body)
        slot = self.slots[request]
        out = slot.out.pop(attempt)
        over = slot.over or result is Result.OK
        self._tidy(request)
        elapsed = world.now - out.at
        self.tell(world, Outcome(request, attempt, out.server, result, elapsed, over))

    # The ledger

    def hear(self, world: Around, event: Committed | Scanned) -> None:
        keeps = isinstance(event, Committed) and event.owner == KEEPER
        began = self.renewing.pop(event.ticket, None) if keeps else None
        if began is not None and isinstance(event, Committed) and event.done[0].how is How.WON:
            self.acts_until = max(self.acts_until, began + LEASES.term_ms * LEASES.act_part)
        self.tell(world, event)

    def look(self, world: Around) -> Changed:
        """What it reads of the ledger now."""
        changes = world.store.changes(self.version, self.watched or ("",))
        return Changed(changes, world.now)

    def told(self, world: Around, event: Changed) -> None:
        self.version = max(self.version, event.changes.version)
        self.tell(world, event)

    # Time

    def next_due(self) -> float:
        """When something happens by itself; never, in a process that stands."""
        if not self.up or self.stopped:
            return math.inf
        found = [self.killed_at, *(at for at, _ in self.timers[:1])]
        slack = self.scene.settings(self.number).rules.response_slack_ms
        for slot in self.slots.values():
            found += [slot.deadline] if slot.out else []
            found += [] if slot.over else [slot.deadline + slack]
        return min(found, default=math.inf)

    def run_due(self, world: Around) -> None:
        slack = self.scene.settings(self.number).rules.response_slack_ms
        for request, slot in list(self.slots.items()):
            for attempt in list(slot.out) if slot.deadline <= world.now else ():
                self.outcome(world, request, attempt, Result.TIMEOUT)
        while self.timers and self.timers[0][0] <= world.now:
            _, token = self.timers.pop(0)
            self.tell(world, Timer(token))
        for request, slot in list(self.slots.items()):
            if not slot.over and slot.deadline + slack <= world.now:
                late = world.now > slot.deadline + slack  # a process that stood still answers as it wakes
                if not late and self.scene.takes_over:
                    self._fail(world, "answers", f"{slot.name} got no answer by its deadline and slack")
                self._answer(world, request, "failed")
                self.tell(world, ClientDisconnected(request))

    # Capacity

    def may_admit(self, now: float) -> float:
        """Units a second that its lending goes by: what its floor and its grant allow now."""
        if not self.up or self.lending is None:
            return 0.0
        h = self.lending.holder
        granted = h.grant.total if h.grant is not None and now < h.until else 0.0
        return float(granted + (h.floor if now < h.floor_until else 0.0))

    # Ends

    def end(self) -> None:
        """The process is gone; what it had handed to the ledger may yet be carried out."""
        assert self.life is not None
        self.late.extend((self.life, c) for c in list(self.outbox)[:1] if isinstance(c, Commit))
        kept = (self.number, self.scene, self.life, self.late, self.last)
        self.__dict__.update(Node(self.number, self.scene).__dict__)
        self.number, self.scene, self.life, self.late, self.last = kept

    def bye(self, world: Around) -> None:
        """A planned stop, once nothing is in hand: the lease is given up."""
        self.said_bye = True
        if self.lending is not None:
            for action in self.lending.leave(world.now):
                self._carry_out(world, action)
        for action in self.keeper.leave():
            self._carry_out(world, action)

    @property
    def idle(self) -> bool:
        waits = any(not s.over or s.out for s in self.slots.values())
        return not (waits or self.outbox or self.answers or self.bytes or self.results)

    # Copies and forms

    def copy(self) -> Node:
        new: Node = Node.__new__(Node)
        memo: dict[int, Any] = {}
        for name, value in self.__dict__.items():
            if name == "cache":
                new.cache = []
            else:
                new.__dict__[name] = value if name in OWN else COPIER.copy(value, memo)
        return new

    def form(self) -> Any:
        walker = Walker(FORMS)
        return tuple(walker.walk(v) for k, v in self.__dict__.items() if k not in OWN)

    def mark(self) -> int:
        if not self.cache:
            self.cache.append(digest(self.form()))
        return self.cache[0]
