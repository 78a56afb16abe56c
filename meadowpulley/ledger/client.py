"""The ledger at a gateway: what its stages ask is written in groups by a thread, and what changed is told
to them.

The reactor never waits for the disk: one thread has the store, works off one job at a time and gives its
result back by a turn of the reactor. A job is the commits of the turns since the last one, the scans asked
for and, at every poll, a look at what changed. A job that takes longer than the stated wait counts as lost:
whatever waits is answered as unknown, and the gateway serves on without the ledger until it can be read and
written again.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger.config import LedgerSettings, read_settings
from meadowpulley.ledger.groups import Group, Groups
from meadowpulley.ledger.keeper import TIMER, Keeper, Stage
from meadowpulley.ledger.model import (
    Changed,
    Changes,
    Commit,
    Committed,
    Create,
    Done,
    How,
    LedgerBack,
    LedgerError,
    LedgerLost,
    Life,
    Record,
    RefusedError,
    Scan,
    Scanned,
    Step,
    Store,
    Unchanged,
    Watched,
)

PROBE = "probe"  # no record ever has this key
# A lost ledger is back once a line as long as the one that failed can be written: one shorter than a block of
# the file system may still fit the log's last block, and a longer one find no room for all of it.
PROBE_LEAST, PROBE_MOST = 4096, 1 << 16


class Host(Protocol):
    """What the client needs of a gateway."""

    @property
    def deadlines(self) -> Any: ...  # `now()` and `after(delay_ms, call)`

    @property
    def log(self) -> Any: ...

    @property
    def counters(self) -> Any: ...  # `add(name, many)`

    def tell(self, event: Any) -> None: ...

    def carry_out(self, kind: type, function: Callable[[Any], None]) -> None:
        """From now on actions of that type are carried out so."""


@dataclass(slots=True)
class Result:
    """Of one job: as much of it as was done before it failed, and why it did."""

    done: list[Done] | None = None
    scans: list[tuple[Record, ...]] = field(default_factory=list)
    changes: Changes | None = None
    notes: list[str] = field(default_factory=list)
    why: str = ""


class Aside(Protocol):
    """Works jobs off one by one, elsewhere, and calls `done` in the reactor's turn."""

    def __call__(self, work: Callable[[], Result], done: Callable[[Result], None]) -> None: ...

    def close(self, wait_ms: float) -> bool:
        """Whether all was done within that time."""


@dataclass(slots=True)
class _Job:
    began: float
    group: Group | None
    scans: tuple[Scan, ...]
    probe: int = 0  # bytes to be written beside its look, as the ledger is lost
    given_up: bool = False


class Worker:
    """One thread, which ends with the process whatever it waits for."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._jobs: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="ledger", daemon=True)
        self._thread.start()

    def __call__(self, work: Callable[[], Result], done: Callable[[Result], None]) -> None:
        self._jobs.put((work, done))

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            work, done = job
            self._reactor.callFromThread(done, work())

    def close(self, wait_ms: float) -> bool:
        self._jobs.put(None)
        self._thread.join(wait_ms / 1000.0)
        return not self._thread.is_alive()


class LedgerClient:
    """`wrap` the stages, make what comes back the outermost one of the gateway, then `start`."""

    def __init__(self, host: Host, store: Store, life: Life, settings: LedgerSettings, aside: Aside) -> None:
        self._host, self._store, self.life, self._settings, self._aside = host, store, life, settings, aside
        self._watches: Callable[[], tuple[str, ...]] = tuple
        self._prefixes: tuple[str, ...] = ()
        self._groups, self._scans = Groups(), list[Scan]()
        self._job: _Job | None = None
        self._look = self._pumping = False
        self._version = 0
        self._watched: tuple[str, ...] | None = ()
        self.lost = self.ended = self._leaving = False
        self._probe, self._probe_at = PROBE_LEAST, 0.0
        self.keeper: Keeper | None = None
        for kind, function in ((Commit, self.commit), (Scan, self.scan), (Watched, self._watch)):
            host.carry_out(kind, function)

    def may_act(self, now: float) -> bool:
        """As the keeper says; for stages that are made before it."""
        return self.keeper is not None and self.keeper.may_act(now)

    def wrap(self, inner: Stage, watches: Callable[[], tuple[str, ...]]) -> Keeper:
        """The outermost stage, round those that rest on the ledger. `watches()`: beginnings of the keys whose
        changes they must be told of now; where it changes, the next look reads all (`Changes.whole`)."""
        self.keeper, self._watches = Keeper(self.life, self._settings.terms, inner), watches
        return self.keeper

    def start(self) -> None:
        assert self.keeper is not None
        for action in self.keeper.start(self._host.deadlines.now()):
            if isinstance(action, SetTimer):
                self._host.deadlines.after(action.delay_ms, lambda: self._host.tell(Timer(TIMER)))
            elif isinstance(action, Commit):
                self.commit(action)
        self._tick()

    def leave(self) -> None:
        """A planned stop, once the stages have asked for what they hand over."""
        assert self.keeper is not None
        self._leaving = True
        for action in self.keeper.leave():
            self.commit(action)

    def close(self) -> None:
        """At the end of the process: no longer than one wait, whatever the disk does."""
        while True:  # the reactor has stopped: of one under way nobody is told, and the rest goes behind it
            self._job = None
            self._pump()
            if not len(self._groups):
                break
        if self._aside.close(self._settings.wait_ms):
            self._store.close()

    # What stages ask

    def commit(self, action: Commit) -> None:
        if self.ended or self.lost:
            how = How.SEALED if self.ended else How.UNKNOWN
            self._answer([Committed(action.ticket, (Done(how),) * len(action.steps), action.owner)])
            return
        self._groups.add(action)
        self._soon()

    def scan(self, action: Scan) -> None:
        if self.ended or self.lost:
            self._host.tell(Scanned(action.ticket, None, action.owner))
            return
        self._scans.append(action)
        self._soon()

    def _watch(self, action: Watched) -> None:
        self._watched = action.names

    # Jobs

    def _soon(self) -> None:
        """Once this turn is over: all that it asks for goes together."""
        if not self._pumping and self._job is None:
            self._pumping = True
            self._host.deadlines.after(0.0, self._pump)

    def _tick(self) -> None:
        if self.ended or self._leaving:
            return
        now = self._host.deadlines.now()
        if (
            self._job is not None
            and not self._job.given_up
            and now - self._job.began > self._settings.wait_ms
        ):
            self._lose(f"ledger: {self._settings.folder}: no answer for {self._settings.wait_ms:g} ms")
        self._look = not self.lost or now >= self._probe_at
        self._pump()
        self._host.deadlines.after(self._settings.poll_ms, self._tick)

    def _pump(self) -> None:
        self._pumping = False
        if self._job is not None:
            return
        group, scans, look = self._groups.take(), tuple(self._scans), self._look
        if group is None and not scans and not look:
            return
        self._scans, self._look = [], False
        if group is not None:
            self._host.counters.add("ledger.groups")
        self._job = job = _Job(self._host.deadlines.now(), group, scans)
        if look and self.lost:
            # Not at every poll: what a disk takes and can't make lasting grows the log by as much.
            job.probe, self._probe_at = self._probe, job.began + self._settings.wait_ms
        prefixes = self._watches()
        if prefixes != self._prefixes:
            self._prefixes, self._version = prefixes, 0
        version, watched = self._version, self._watched
        self._aside(
            lambda: self._work(job, look, version, prefixes, watched),
            lambda result: self._done(job, result),
        )

    def _work(
        self,
        job: _Job,
        look: bool,
        version: int,
        prefixes: tuple[str, ...],
        watched: tuple[str, ...] | None,
    ) -> Result:
        """In the thread. Whatever fails, its result comes back. A ledger that was lost is back once it can be
        written: of a full disk, and of one that is read-only, all looks succeed. What is written for that
        loses, and changes nothing."""
        result = Result()
        try:
            if job.group is not None:
                result.done = self._store.commit(self.life, job.group.steps)
            for scan in job.scans:
                result.scans.append(tuple(self._store.scan(scan.prefix)))
            if job.probe:
                line = Step((Unchanged(PROBE, 1), Create(PROBE, bytes(job.probe))))
                self._store.commit(self.life, [line])
            if look:
                result.changes = self._store.changes(version, prefixes, watched)
        except LedgerError as bad:
            result.why = str(bad)
        except Exception as bad:
            result.why = f"ledger: {self._settings.folder}: {type(bad).__name__}: {bad}"
        result.notes = self._store.notes()
        return result

    def _done(self, job: _Job, result: Result) -> None:
        self._job = None
        for line in result.notes:
            self._host.log.warning("ledger", line=line)
        if not job.given_up:
            if job.group is not None:
                self._answer(
                    job.group.answers(result.done) if result.done is not None else job.group.unanswered()
                )
            for n, scan in enumerate(job.scans):
                found = result.scans[n] if n < len(result.scans) else None
                self._host.tell(Scanned(scan.ticket, found, scan.owner))
        if result.why:
            if job.group is not None and result.done is None:
                self._probe = max(self._probe, min(job.group.bytes, PROBE_MOST))
            self._lose(result.why)
        elif result.changes is not None:
            self._looked(job, result.changes)
        self._pump()

    def _looked(self, job: _Job, changes: Changes) -> None:
        mine = [m for m in changes.members if m.life.name == self.life.name]
        if any(m.sealed or m.life != self.life for m in mine):
            self._end()
        elif self.lost:
            if not job.probe:
                return  # from before it was lost: it says nothing of writes, and the next one has it too
            self.lost, self._probe, self._probe_at = False, PROBE_LEAST, 0.0
            self._host.log.info("ledger back", folder=self._settings.folder)
            self._host.tell(LedgerBack())
        self._version = changes.version
        self._host.tell(Changed(changes, job.began))

    def _end(self) -> None:
        if not self.ended and not self._leaving:
            line = f"ledger: {self.life} was ended by another: serving on without it: start anew"
            self._host.log.error("ledger ended", line=line)
        self.ended = True

    def _answer(self, answers: list[Committed]) -> None:
        for answer in answers:
            for done in answer.done:
                self._host.counters.add(f"ledger.{done.how.value}")
            if any(done.how is How.SEALED for done in answer.done):
                self._end()
            self._host.tell(answer)

    def _lose(self, why: str) -> None:
        """Answers whatever waits; the first time it is told and logged."""
        waiting = list[Committed]()
        if self._job is not None and not self._job.given_up:
            self._job.given_up = True
            if self._job.group is not None:
                waiting += self._job.group.unanswered()
            self._scans = [*self._job.scans, *self._scans]
        while (group := self._groups.take()) is not None:
            waiting += group.unanswered()
        scans, self._scans = self._scans, []
        first, self.lost = not self.lost, True
        if first:
            self._host.counters.add("ledger.lost_times")
            self._host.log.error("ledger lost", line=f"{why}; serving on without it")
            self._host.tell(LedgerLost(why))
        self._answer(waiting)
        for scan in scans:
            self._host.tell(Scanned(scan.ticket, None, scan.owner))


def start_ledger(host: Host, name: str, environ: Mapping[str, str], reactor: Any) -> LedgerClient | None:
    """The ledger of this installation with a new life of that name, or None where none is wanted.

    Blocks, so call it before the reactor runs, and `close` it after. Raises `RefusedError` with one line
    for a start that can't be: exit 2.
    """
    settings = read_settings(environ)
    if settings is None:
        return None
    from meadowpulley.ledger.disk import DiskStore

    store = DiskStore(
        settings.folder, settings.installation, settings.sync, settings.most_bytes, fail=settings.fail
    )
    try:
        life = store.begin(name, settings.terms.term_ms)
    except LedgerError as bad:
        store.close()
        raise RefusedError(str(bad)) from None
    host.log.info("ledger", life=str(life), folder=settings.folder, installation=store.installation)
    return LedgerClient(host, store, life, settings, Worker(reactor))
