"""The ledger that an emulated fleet shares: one store in memory, and a port to it for each life of a gateway.

A port groups what one turn of its gateway asks for, sends one group at a time, and answers in virtual time. A
group whose answer does not come within `wait_ms` is UNKNOWN: it may have been carried out, or may yet be.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

import numpy as np

from meadowpulley.emulator.clock import Timeline, between
from meadowpulley.ledger import (
    Changed,
    Changes,
    Commit,
    Committed,
    Group,
    Groups,
    How,
    LedgerBack,
    LedgerError,
    LedgerLost,
    Life,
    MemoryStore,
    Record,
    Scan,
    Scanned,
    Step,
)

if TYPE_CHECKING:
    from meadowpulley.emulator.gateway import Gateway

Trouble = Literal["full", "read-only", "gone", "slow", "cut", "unheard"]
_SAYS = {
    "full": "ledger: no space left: free some",
    "read-only": "ledger: it can't be written: look at its file system",
    "gone": "ledger: its directory is gone: bring it back",
}
_WRITES_FAIL = ("full", "read-only", "gone")


@dataclass(frozen=True, slots=True)
class LedgerFigures:
    """Milliseconds. A life that dies is known to be dead at its next start where all are on one machine."""

    term_ms: float = 2000.0  # of a gateway's lease
    one_way_ms: tuple[float, float] = (0.5, 2.0)
    poll_ms: float = 50.0  # between a gateway's looks at what changed
    wait_ms: float = 400.0  # for an answer
    slow_ms: float = 120.0  # more, each way, while it is slow
    begin_again_ms: float = 250.0  # until a gateway that was refused a life asks again
    one_machine: bool = True


class SharedLedger:
    """The store, and its troubles for all gateways or for some."""

    def __init__(self, clock: Timeline, rng: np.random.Generator, figures: LedgerFigures) -> None:
        self.clock, self._rng, self.figures = clock, rng, figures
        self.store = MemoryStore()
        self.operations: Counter[str] = Counter()
        self.won: Callable[[Life, Step], None] = lambda life, step: None  # told of each step carried out
        self._troubles: dict[int | None, Trouble] = {}

    def trouble(self, what: Trouble | None, gateway: int | None = None) -> None:
        """Puts a trouble on for one gateway (None: for all), or takes it off.

        `cut`: nothing gets to the ledger. `unheard`: all gets there, and no answer comes back.
        """
        if what is None:
            self._troubles.pop(gateway, None)
        else:
            self._troubles[gateway] = what

    def trouble_of(self, gateway: int) -> Trouble | None:
        return self._troubles.get(gateway, self._troubles.get(None))

    def delay(self, gateway: int) -> float:
        slow = self.figures.slow_ms if self.trouble_of(gateway) == "slow" else 0.0
        return between(self._rng, self.figures.one_way_ms) + slow

    def part(self) -> float:
        """Of a time, by chance."""
        return float(self._rng.random())

    def begin(self, gateway: int) -> Life:
        """A new life of a gateway. Raises `LedgerError` where it gets none now."""
        trouble = self.trouble_of(gateway)
        if trouble not in (None, "slow"):
            raise LedgerError(_SAYS.get(str(trouble), "ledger: it does not answer"))
        self.operations["begin"] += 1
        return self.store.begin(f"g{gateway}", self.figures.term_ms)

    def died(self, life: Life) -> None:
        if self.figures.one_machine:
            self.store.dead.add(life)

    def commit(self, gateway: int, life: Life, group: Group) -> list[Committed]:
        """Carries a group out. Raises `LedgerError` where it can't."""
        trouble = self.trouble_of(gateway)
        if trouble in _WRITES_FAIL:
            raise LedgerError(_SAYS[str(trouble)])
        steps = group.steps
        self.operations["groups"] += 1
        self.operations["steps"] += len(steps)
        done = self.store.commit(life, steps)
        for step, outcome in zip(steps, done, strict=True):
            if outcome.how is How.WON:
                self.won(life, step)
        return group.answers(done)

    def scan(self, gateway: int, prefix: str) -> tuple[Record, ...]:
        """Raises `LedgerError` where it can't be read."""
        self._check_read(gateway)
        self.operations["scans"] += 1
        return tuple(self.store.scan(prefix))

    def _check_read(self, gateway: int) -> None:
        if self.trouble_of(gateway) == "gone":
            raise LedgerError(_SAYS["gone"])

    def changes(
        self, gateway: int, after: int, prefixes: tuple[str, ...], watched: tuple[str, ...] | None
    ) -> Changes:
        """What changed after a version. Raises `LedgerError` where it can't be read."""
        self._check_read(gateway)
        self.operations["polls"] += 1
        changes = self.store.changes(after, prefixes, watched)
        self.operations["read"] += len(changes.records) + len(changes.removed) + len(changes.members)
        return changes


@dataclass(slots=True)
class _Trip:
    """A group on its way to the ledger and back."""

    group: Group
    over: bool = False
    answers: list[Committed] = field(default_factory=list)


class Port:
    """One life's way to the ledger. Its gateway is told only while that life lives and is awake."""

    def __init__(
        self, ledger: SharedLedger, gateway: Gateway, life: Life, watches: Callable[[], tuple[str, ...]]
    ) -> None:
        self.ledger, self.life, self._gateway, self._watches = ledger, life, gateway, watches
        self._prefixes: tuple[str, ...] = ()
        self.lost = False
        self.watched: tuple[str, ...] | None = ()  # members whose renewals are told; None: all
        self._groups = Groups()
        self._trip: _Trip | None = None  # one at a time: the next group gathers meanwhile
        self._version = 0
        # Gateways do not look all at the same moment.
        self._after(ledger.figures.poll_ms * ledger.part(), self._poll)

    def _after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.ledger.clock.after(delay_ms, self._gateway.this_life(call))

    # Steps

    def ask(self, commit: Commit) -> None:
        """Commits go out together at the end of the turn, or when the group before them is answered."""
        self._groups.add(commit)
        if len(self._groups) == 1 and self._trip is None:
            self._after(0.0, self._send)

    def _send(self) -> None:
        if self._trip is not None or self._gateway.stopped_at("commit", self._send):
            return
        group = self._groups.take()
        if group is None:
            return
        trip = self._trip = _Trip(group)
        number, ledger = self._gateway.number, self.ledger
        if ledger.trouble_of(number) != "cut":
            # Also when the gateway is no more: what has left it is carried out.
            ledger.clock.after(ledger.delay(number), lambda: self._carry_out(trip))
        self._after(ledger.figures.wait_ms, lambda: self._give_up(trip))

    def _carry_out(self, trip: _Trip) -> None:
        number, ledger = self._gateway.number, self.ledger
        trouble = ""
        try:
            trip.answers = ledger.commit(number, self.life, trip.group)
        except LedgerError as error:
            trouble = str(error)
        if ledger.trouble_of(number) != "unheard":
            back = self._gateway.this_life(lambda: self._answered(trip, trouble))
            ledger.clock.after(ledger.delay(number), back)
        if self._gateway.alive and self._gateway.life == self.life:
            self._gateway.world.failpoints.reached(self._gateway, "written")

    def _answered(self, trip: _Trip, trouble: str) -> None:
        if trip.over or self._gateway.stopped_at("told", lambda: self._answered(trip, trouble)):
            return
        self._close(trip)
        if trouble:
            self._lose(trouble)
        elif self.lost:
            self.lost = False
            self._gateway.tell(LedgerBack())
        for answer in trip.group.unanswered() if trouble else trip.answers:
            self._gateway.tell(answer)

    def _give_up(self, trip: _Trip) -> None:
        if trip.over:
            return
        self._close(trip)
        self._lose("ledger: it does not answer")
        for answer in trip.group.unanswered():
            self._gateway.tell(answer)

    def _close(self, trip: _Trip) -> None:
        trip.over, self._trip = True, None
        if len(self._groups):
            self._after(0.0, self._send)

    def _lose(self, why: str) -> None:
        if not self.lost:
            self.lost = True
            self._gateway.tell(LedgerLost(why))

    # What is there, and what changed

    def scan(self, action: Scan) -> None:
        number, ledger = self._gateway.number, self.ledger
        answer = Scanned(action.ticket, None, action.owner)

        def read() -> None:
            nonlocal answer
            with suppress(LedgerError):
                answer = Scanned(action.ticket, ledger.scan(number, action.prefix), action.owner)

        silent = ledger.trouble_of(number) in ("cut", "unheard")
        if not silent:
            self._after(ledger.delay(number), read)
        wait = ledger.figures.wait_ms if silent else 2.0 * ledger.delay(number)
        self._after(wait, lambda: self._gateway.tell(answer))

    def _poll(self) -> None:
        number, ledger = self._gateway.number, self.ledger
        if ledger.trouble_of(number) in ("cut", "unheard"):
            self._after(ledger.figures.poll_ms, self._poll)
        else:
            began = ledger.clock.now
            self._after(ledger.delay(number), lambda: self._look(began))

    def _look(self, began: float) -> None:
        """The next look begins only once this one was told."""
        number, ledger = self._gateway.number, self.ledger
        prefixes = self._watches()
        if prefixes != self._prefixes:  # all there is under them is to be told
            self._prefixes, self._version = prefixes, 0
        try:
            changes = ledger.changes(number, self._version, prefixes, self.watched)
        except LedgerError as error:
            self._lose(str(error))
        else:
            self._version = changes.version
            self._gateway.tell(Changed(changes, began))
        self._after(ledger.figures.poll_ms, self._poll)
