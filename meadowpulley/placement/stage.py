"""Labels requests with their arm, and counts each of them: a stage around the decisions, off unless wanted.

It passes every event on and sends nothing. What it says to the ledger: its definition (the first gateway
writes it), one record of counts for its own life, its bins, that an arm ended, that the experiment is over.
The last two are created once: whoever creates them has decided for all. One living gateway judges by the
counts of all and asks to be told of them (`watches`). A gateway that is cut off judges by its own, and tells
the ledger later.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from meadowpulley.interface import (
    ClientDisconnected,
    Fail,
    LogLine,
    Outcome,
    Phase,
    Reject,
    Request,
    Result,
    RolloutUpdate,
    SetTimer,
    Settings,
    Timer,
)
from meadowpulley.ledger.keeper import Stage
from meadowpulley.ledger.model import (
    Changed,
    Commit,
    Committed,
    Create,
    Done,
    Ended,
    How,
    LedgerBack,
    LedgerLost,
    Life,
    Member,
    Record,
    Replace,
    Step,
    Suspected,
)
from meadowpulley.placement.assign import Assignment
from meadowpulley.placement.contrast import SEGMENT, Bins, Total, read_segment, written
from meadowpulley.placement.counts import (
    AdoptedEnd,
    Book,
    Count,
    How as Ending,
    Merged,
    Open,
    merge,
    read_count,
)
from meadowpulley.placement.definition import Experiment, check_placement, labels, read_shared
from meadowpulley.placement.guard import harmful
from meadowpulley.placement.origins import Alone, Origin, Origins

TOKEN = 4  # of its timer
OWNER = "placement"
LOOK_MS = 2000.0  # between two looks: sums, guard, end, and the record of counts
MOST_BLOCKS = 512  # time blocks of a switchback: the record names each


@dataclass(slots=True, eq=False)
class Taken:
    """A request of the experiment's classes, until it is over; `arm` -1: of none."""

    request: Request
    taken_ms: float
    arm: int
    cls: int  # in the order of the experiment's classes
    group: int
    number: int  # as its first life counts it
    origin: Origin | None  # of an adopted one
    bin: int | None


class PlacementStage:
    """`life`: of this gateway. `clock_ms` makes of its time the one that gateways share (Unix time in ms).
    `origins`: what is known of requests that other lives had or will have.

    Raises FleetError, one line, for a definition that names a class which the settings lack.
    """

    def __init__(
        self,
        inner: Stage,
        experiment: Experiment,
        settings: Settings,
        life: Life,
        clock_ms: float = 0.0,
        origins: Origins | None = None,
    ) -> None:
        names = [c.name for c in settings.classes]
        check_placement(experiment, f"experiment '{experiment.name}'", names)
        self.inner, self.e, self.settings, self.life = inner, experiment, settings, life
        self.clock_ms, self.origins = clock_ms, origins or Alone()
        wanted = experiment.classes or tuple(names)
        self.classes = {names.index(name): n for n, name in enumerate(wanted)}
        self.deadlines = {n: settings.classes[cls].deadline_ms for cls, n in self.classes.items()}
        self.assignment, self.book = Assignment(experiment), Book(str(life))
        self.labels = labels(experiment)
        self.bins = Bins(str(life), 1 + len(wanted), experiment.carry_ms)
        self.unwritten: dict[str, bytes] = {}  # own segments that the ledger has not
        self.total = Total()  # bins of all lives, as far as told
        self.taken: dict[int, Taken] = {}
        self.others: dict[str, Count] = {}  # counts of other lives, as far as told
        self.sealed: set[str] = set()
        self.living: set[str] = set()  # names of gateways, as far as told
        self.ended: dict[int, str] = {}  # arms, and why
        self.over = self.dead = self.apart = False  # apart: another version runs under this name
        self.known = False  # whether the ledger has said what stands in it
        self.cut_off = False
        self.going_back = False
        self.look_at = -math.inf
        self.settled: set[str] = set()  # what stands in the ledger for good
        self.tickets: dict[int, str] = {}  # asked and not answered: what
        self.ticket = 0
        self.record_version = 0  # of the own record of counts
        self.acts: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.acts = []
        if isinstance(event, Committed) and event.owner == OWNER:
            self._committed(event)
            return self.acts
        if isinstance(event, Timer) and event.token == TOKEN:
            self._look(now)
            return self.acts
        if self.look_at == -math.inf:
            self._again(now)
        self._hear(event)
        passed = self._label(now, event) if isinstance(event, Request) else event
        self.acts += self.inner.handle(now, passed)
        self._note(now, event)
        return self.acts

    def _again(self, now: float) -> None:
        self.look_at = now + LOOK_MS
        self.acts.append(SetTimer(LOOK_MS, TOKEN))

    # Requests

    @property
    def holds(self) -> bool:
        return not self.known or self.over or self.dead or self.going_back

    def _label(self, now: float, r: Request) -> Request:
        cls = self.classes.get(r.class_index, -1)
        if cls < 0:
            return r
        origin = self.origins.origin_of(r.request)
        if r.adopted and origin is None:
            return r  # nobody knows whose count it is in: it stays open there
        # Nobody adopts what has no origin: below 0 its number, which need not rise, is in nobody's way.
        number = origin.number if origin is not None else -1 - r.request
        origin = origin if r.adopted else None
        taken_ms = origin.taken_ms if origin is not None else now
        first = (origin.life, origin.number) if origin is not None else (str(self.life), number)
        unit = self.assignment.unit(r, *first, taken_ms + self.clock_ms)
        labelled = r.adopted and r.arm in self.labels
        arm = self.labels.index(r.arm) if labelled else self.assignment.arm(unit)
        if origin is None and (self.holds or arm < 0 or arm in self.ended):
            self.book.count.held += self.holds
            self.book.count.outside += not self.holds
            self.book.saw(number)
            self.taken[r.request] = Taken(r, now, -1, cls, 0, number, None, self._bin(now, -1, cls, 0))
            return r
        if arm < 0:
            return r
        group = self.assignment.group(unit)
        bin = None
        if origin is None:
            self.book.took(Open(number, arm, cls, group))
            bin = self._bin(now, arm, cls, group)
        self.taken[r.request] = Taken(r, taken_ms, arm, cls, group, number, origin, bin)
        return replace(r, arm=0 if arm in self.ended else self.labels[arm])

    def _bin(self, now: float, arm: int, cls: int, group: int) -> int | None:
        if self.e.unit == "time" or self.bins.full:
            return None
        return self.bins.take(now + self.clock_ms, arm, cls, group)

    def _note(self, now: float, event: Any) -> None:
        """Which requests are over, by the event and by what was decided on it."""
        if isinstance(event, Outcome) and event.request_complete:
            self._over(now, event.request, "served" if event.result is Result.OK else "failed")
        elif isinstance(event, ClientDisconnected):
            self._gone(now, event.request)
        for action in self.acts:
            if isinstance(action, Reject):
                self._over(now, action.request, "refused")
            elif isinstance(action, Fail):
                self._over(now, action.request, "failed")

    def _over(self, now: float, request: int, how: Ending) -> None:
        t = self.taken.pop(request, None)
        if t is None:
            return
        deadline = self.deadlines[t.cls]
        cost = min(max(now - t.taken_ms, 0.0), deadline) if how == "served" else deadline
        if t.origin is not None:
            o = t.origin
            end = AdoptedEnd(o.life, o.number, t.arm, t.cls, t.group, how, cost)
            self.book.count.adopted.append(end)
            return
        if t.bin is not None:
            self.bins.end(now + self.clock_ms, t.bin, t.cls, cost)
        if t.arm < 0:
            return
        self.book.ended(t.number, how, cost)
        common = t.taken_ms + self.clock_ms
        if self.e.unit == "time" and common % self.e.block_ms >= self.e.settle_ms:
            self.book.in_block(self.assignment.block(common), t.arm, t.cls, cost)

    def _gone(self, now: float, request: int) -> None:
        left, t = self.origins.left(request), self.taken.get(request)
        if left == "gone" or t is None:
            self._over(now, request, "gone")
            return
        del self.taken[request]  # one that moved stays open in the book, for whoever ends it
        if t.bin is not None:
            self.bins.end(now + self.clock_ms, t.bin, t.cls, now - t.taken_ms)
        if left == "known":
            self.book.open.pop(t.number, None)

    # What it hears

    def _hear(self, event: Any) -> None:
        if isinstance(event, RolloutUpdate) and event.result is Result.OK:
            self.going_back = event.phase is Phase.ROLLING_BACK
        elif isinstance(event, Changed):
            self.known, self.cut_off = True, False
            self._members(event.changes.members)
            for record in event.changes.records:
                self._read(record)
        elif isinstance(event, Suspected):
            self._members(event.members)
        elif isinstance(event, LedgerLost):
            self.cut_off = True
        elif isinstance(event, LedgerBack):
            self.cut_off = False
        elif isinstance(event, Ended):
            self.dead = True

    def _members(self, members: Iterable[Member]) -> None:
        for m in members:
            if m.sealed:
                self.sealed.add(str(m.life))
                self.living.discard(m.life.name)
            else:
                self.living.add(m.life.name)

    @property
    def judges(self) -> bool:
        """Whether it is this gateway that judges by the counts of all."""
        names = self.living | {self.life.name}
        return self.life.name == min(names, key=lambda name: (self.assignment.rank(name), name))

    def watches(self) -> tuple[str, ...]:
        """Beginnings of the ledger's keys whose changes it must be told of."""
        mine = (self.e.running, self.e.key("ended/"), self.e.key("over"))
        return (*mine, self.e.key("count/"), self.e.key("bins/")) if self.judges else mine

    def _read(self, record: Record) -> None:
        if record.key == self.e.running:
            self.settled.add("running")
            theirs = read_shared(record.value)
            if theirs is not None and theirs.digest != self.e.digest and not self.apart:
                self.apart = True
                self._say(
                    f"version {self.e.digest[:8]} is not the fleet's, {theirs.digest[:8]}: its counts are "
                    "kept apart; start this gateway with the fleet's file"
                )
        elif record.key == self.e.key("over"):
            self.settled.add("over")
            self._is_over()
        elif record.key.startswith(self.e.key("ended/")):
            arm = int(record.key.rpartition("/")[2])
            self.settled.add(f"ended/{arm}")
            self._arm_ended(arm, record.value.decode(errors="replace"))
        elif record.key.startswith(self.e.key("bins/")):
            segment = read_segment(record.value)
            if segment is not None:
                self.total.add(segment)
        elif record.key.startswith(self.e.key("count/")) and record.by != self.life:
            count = read_count(record.value)
            if count is not None:
                self.others[count.life] = count

    def _say(self, text: str) -> None:
        self.acts.append(LogLine(f"experiment '{self.e.name}': {text}"))

    def _is_over(self) -> None:
        if not self.over:
            self.over = True
            self._say("over")

    def _arm_ended(self, arm: int, why: str) -> None:
        if arm not in self.ended:
            self.ended[arm] = why
            self.bins.arm_ended(arm)
            self._say(f"arm '{self.e.arms[arm].name}' has ended")
            if len(self.ended) == len(self.e.arms) - 1:  # nothing is left to compare with the baseline
                self._is_over()

    # The ledger

    def _ask(self, what: str, step: Step) -> None:
        """Commits a step, one at a time of each kind; nothing while the ledger is lost or this life ended."""
        if self.cut_off or self.dead or not self.known or what in self.tickets.values():
            return
        self.ticket += 1
        self.tickets[self.ticket] = what
        self.acts.append(Commit(self.ticket, (step,), OWNER))

    def _settle(self, what: str, value: bytes = b"") -> None:
        """Creates a record that stays: whoever is first has decided, and all find it as that one wrote it."""
        if what not in self.settled:
            self._ask(what, Step((Create(self._key(what), value),)))

    def _key(self, what: str) -> str:
        return self.e.running if what == "running" else self.e.key(what)

    def _committed(self, event: Committed) -> None:
        what, done = self.tickets.pop(event.ticket, ""), event.done[0]
        if done.how is How.SEALED:
            self.dead = True
        elif what == "count":
            self._count_written(done)
        elif done.how is How.LOST and done.found is not None:
            self._read(done.found)
        elif done.how is How.WON:
            self.settled.add(what)
        if what in self.unwritten and done.how in (How.WON, How.LOST):  # lost: to an own write, of late
            del self.unwritten[what]

    def _count_written(self, done: Done) -> None:
        if done.how is How.WON:
            self.record_version = done.version
        elif done.how is How.LOST:  # an earlier write of unknown fate was carried out after all
            self.record_version = done.found.version if done.found is not None else 0

    # Looks

    def merged(self) -> Merged:
        """What this gateway knows of all lives, its own as of now, but for quantiles."""
        counts = [*self.others.values(), self.book.current()]
        bins = self.total.known(self.sealed)
        return merge(counts, self.sealed, self.deadlines, bins, quantiles=False)

    def _look(self, now: float) -> None:
        self._again(now)
        self._settle("running", msgspec.json.encode(self.e))
        merged = self.merged()
        self._guard(merged)
        self._end(now, merged)
        if self.over:
            self._settle("over")
        for arm, why in self.ended.items():
            self._settle(f"ended/{arm}", why.encode())
        self._write(now)

    def leave(self, now: float) -> list[Any]:
        """At the end of its gateway: what it has counted since its last record."""
        self.acts = []
        self._write(now)
        return self.acts

    def _write(self, now: float) -> None:
        self._write_bins(now)
        key, version = self.e.key(f"count/{self.life}"), self.record_version
        value = self.book.written()
        self._ask("count", Step((Replace(key, value, version) if version else Create(key, value),)))

    def _write_bins(self, now: float) -> None:
        """The next segments, each kept here at once and asked for until the ledger has it."""
        if self.bins.bins:
            self.bins.advance(now + self.clock_ms)
        while (segment := self.bins.segment()) is not None:
            what = f"bins/{self.life}/{self.bins.dropped // SEGMENT}"
            self.total.add(segment)
            self.unwritten[what] = written(segment)
            self.bins.drop()
        for what, value in self.unwritten.items():
            self._settle(what, value)

    def _guard(self, merged: Merged) -> None:
        """Ends an arm that harms, here at once, and for all as soon as the ledger answers. Who is neither the
        judge nor cut off does not look: the false alarms of many would add up."""
        if not self.judges and not self.cut_off:
            return
        for arm in range(1, len(self.e.arms)):
            why = "" if self.over or arm in self.ended else harmful(self.e, merged, arm)
            if why:
                self._say(why)
                self._arm_ended(arm, why)

    def _end(self, now: float, merged: Merged) -> None:
        end = self.e.end
        late = end.at is not None and now + self.clock_ms >= end.at.timestamp() * 1000
        many = end.requests is not None and merged.requests >= end.requests
        if late or many or len(self.book.blocks) >= MOST_BLOCKS * len(self.classes):
            self._is_over()
