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
from meadowpulley.ledger.commit_batches import CommitBatch, CommitQueue
from meadowpulley.ledger.config import LedgerSettings, read_settings
from meadowpulley.ledger.lease_manager import LEASE_TIMER, LeaseManager, Stage
from meadowpulley.ledger.model import (
    Changes,
    CheckVersion,
    Commit,
    CommitCompleted,
    Create,
    Incarnation,
    LedgerChanged,
    LedgerError,
    LedgerRecovered,
    LedgerUnavailable,
    LedgerUnusableError,
    Record,
    Scan,
    ScanCompleted,
    Store,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    WatchRequest,
)

PROBE_KEY = "probe"  # no record ever has this key
# A lost ledger is back once a line as long as the one that failed can be written: one shorter than a block of
# the file system may still fit the log's last block, and a longer one find no room for all of it.
MIN_PROBE_BYTES, MAX_PROBE_BYTES = 4096, 1 << 16


class GatewayContext(Protocol):
    """What the client needs of a gateway."""

    @property
    def deadlines(self) -> Any: ...  # `now()` and `after(delay_ms, call)`

    @property
    def log(self) -> Any: ...

    @property
    def counters(self) -> Any: ...  # `add(name, many)`

    def dispatch(self, event: Any) -> None: ...

    def register_action(self, kind: type, handler: Callable[[Any], None]) -> None:
        """From now on actions of that type are carried out so."""


@dataclass(slots=True)
class JobResult:
    """Of one job: as much of it as was done before it failed, and why it did."""

    transaction_results: list[TransactionResult] | None = None
    scan_results: list[tuple[Record, ...]] = field(default_factory=list)
    changes: Changes | None = None
    warnings: list[str] = field(default_factory=list)
    error: str = ""


class BackgroundRunner(Protocol):
    """Works jobs off one by one, elsewhere, and calls `done` in the reactor's turn."""

    def __call__(self, job: Callable[[], JobResult], on_result: Callable[[JobResult], None]) -> None: ...

    def close(self, timeout_ms: float) -> bool:
        """Whether all was done within that time."""


@dataclass(slots=True)
class _Job:
    started_at: float
    batch: CommitBatch | None
    scans: tuple[Scan, ...]
    probe_bytes: int = 0  # bytes to be written beside its look, as the ledger is lost
    timed_out: bool = False


class WorkerThread:
    """One thread, which ends with the process whatever it waits for."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._jobs: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="ledger", daemon=True)
        self._thread.start()

    def __call__(self, job: Callable[[], JobResult], on_result: Callable[[JobResult], None]) -> None:
        self._jobs.put((job, on_result))

    def _run(self) -> None:
        while (entry := self._jobs.get()) is not None:
            job, on_result = entry
            self._reactor.callFromThread(on_result, job())

    def close(self, timeout_ms: float) -> bool:
        self._jobs.put(None)
        self._thread.join(timeout_ms / 1000.0)
        return not self._thread.is_alive()


class LedgerClient:
    """`wrap` the stages, make what comes back the outermost one of the gateway, then `start`."""

    def __init__(
        self,
        gateway: GatewayContext,
        store: Store,
        incarnation: Incarnation,
        settings: LedgerSettings,
        runner: BackgroundRunner,
    ) -> None:
        self._gateway, self._store, self.incarnation, self._settings, self._runner = (
            gateway,
            store,
            incarnation,
            settings,
            runner,
        )
        self._get_prefixes: Callable[[], tuple[str, ...]] = tuple
        self._prefixes: tuple[str, ...] = ()
        self._commit_queue, self._pending_scans = CommitQueue(), list[Scan]()
        self._current_job: _Job | None = None
        self._poll_due = self._job_scheduled = False
        self._version = 0
        self._watched_names: tuple[str, ...] | None = ()
        self.unavailable = self.fenced = self._releasing = False
        self._probe_bytes, self._next_probe_at = MIN_PROBE_BYTES, 0.0
        self.lease_manager: LeaseManager | None = None
        for kind, handler in (
            (Commit, self.commit),
            (Scan, self.scan),
            (WatchRequest, self._set_watched_names),
        ):
            gateway.register_action(kind, handler)

    def holds_lease(self, now: float) -> bool:
        """As the keeper says; for stages that are made before it."""
        return self.lease_manager is not None and self.lease_manager.holds_lease(now)

    def wrap(self, inner: Stage, get_prefixes: Callable[[], tuple[str, ...]]) -> LeaseManager:
        """The outermost stage, round those that rest on the ledger. `watches()`: beginnings of the keys whose
        changes they must be told of now; where it changes, the next look reads all (`Changes.whole`)."""
        self.lease_manager, self._get_prefixes = (
            LeaseManager(self.incarnation, self._settings.timings, inner),
            get_prefixes,
        )
        return self.lease_manager

    def start(self) -> None:
        assert self.lease_manager is not None
        for action in self.lease_manager.start(self._gateway.deadlines.now()):
            if isinstance(action, SetTimer):
                self._gateway.deadlines.after(
                    action.delay_ms, lambda: self._gateway.dispatch(Timer(LEASE_TIMER))
                )
            elif isinstance(action, Commit):
                self.commit(action)
        self._poll()

    def release_lease(self) -> None:
        """A planned stop, once the stages have asked for what they hand over."""
        assert self.lease_manager is not None
        self._releasing = True
        for action in self.lease_manager.release_lease():
            self.commit(action)

    def close(self) -> None:
        """At the end of the process: no longer than one wait, whatever the disk does."""
        while True:  # the reactor has stopped: of one under way nobody is told, and the rest goes behind it
            self._current_job = None
            self._start_job()
            if not len(self._commit_queue):
                break
        if self._runner.close(self._settings.timeout_ms):
            self._store.close()

    # What stages ask

    def commit(self, action: Commit) -> None:
        if self.fenced or self.unavailable:
            outcome = TransactionOutcome.FENCED if self.fenced else TransactionOutcome.UNKNOWN
            self._dispatch_completions(
                [
                    CommitCompleted(
                        action.ticket, (TransactionResult(outcome),) * len(action.transactions), action.owner
                    )
                ]
            )
            return
        self._commit_queue.add(action)
        self._schedule_job()

    def scan(self, action: Scan) -> None:
        if self.fenced or self.unavailable:
            self._gateway.dispatch(ScanCompleted(action.ticket, None, action.owner))
            return
        self._pending_scans.append(action)
        self._schedule_job()

    def _set_watched_names(self, action: WatchRequest) -> None:
        self._watched_names = action.names

    # Jobs

    def _schedule_job(self) -> None:
        """Once this turn is over: all that it asks for goes together."""
        if not self._job_scheduled and self._current_job is None:
            self._job_scheduled = True
            self._gateway.deadlines.after(0.0, self._start_job)

    def _poll(self) -> None:
        if self.fenced or self._releasing:
            return
        now = self._gateway.deadlines.now()
        if (
            self._current_job is not None
            and not self._current_job.timed_out
            and now - self._current_job.started_at > self._settings.timeout_ms
        ):
            self._mark_unavailable(
                f"ledger: {self._settings.folder}: no answer for {self._settings.timeout_ms:g} ms"
            )
        self._poll_due = not self.unavailable or now >= self._next_probe_at
        self._start_job()
        self._gateway.deadlines.after(self._settings.poll_interval_ms, self._poll)

    def _start_job(self) -> None:
        self._job_scheduled = False
        if self._current_job is not None:
            return
        batch, scans, poll_due = self._commit_queue.next_batch(), tuple(self._pending_scans), self._poll_due
        if batch is None and not scans and not poll_due:
            return
        self._pending_scans, self._poll_due = [], False
        if batch is not None:
            self._gateway.counters.add("ledger.groups")
        self._current_job = job = _Job(self._gateway.deadlines.now(), batch, scans)
        if poll_due and self.unavailable:
            # Not at every poll: what a disk takes and can't make lasting grows the log by as much.
            job.probe_bytes, self._next_probe_at = (
                self._probe_bytes,
                job.started_at + self._settings.timeout_ms,
            )
        prefixes = self._get_prefixes()
        if prefixes != self._prefixes:
            self._prefixes, self._version = prefixes, 0
        version, watched_names = self._version, self._watched_names
        self._runner(
            lambda: self._run_job(job, poll_due, version, prefixes, watched_names),
            lambda result: self._finish_job(job, result),
        )

    def _run_job(
        self,
        job: _Job,
        poll_due: bool,
        version: int,
        prefixes: tuple[str, ...],
        watched_names: tuple[str, ...] | None,
    ) -> JobResult:
        """In the thread. Whatever fails, its result comes back. A ledger that was lost is back once it can be
        written: of a full disk, and of one that is read-only, all looks succeed. What is written for that
        loses, and changes nothing."""
        result = JobResult()
        try:
            if job.batch is not None:
                result.transaction_results = self._store.commit(self.incarnation, job.batch.transactions)
            for scan in job.scans:
                result.scan_results.append(tuple(self._store.scan(scan.prefix)))
            if job.probe_bytes:
                probe = Transaction((CheckVersion(PROBE_KEY, 1), Create(PROBE_KEY, bytes(job.probe_bytes))))
                self._store.commit(self.incarnation, [probe])
            if poll_due:
                result.changes = self._store.changes(version, prefixes, watched_names)
        except LedgerError as error:
            result.error = str(error)
        except Exception as error:
            result.error = f"ledger: {self._settings.folder}: {type(error).__name__}: {error}"
        result.warnings = self._store.take_warnings()
        return result

    def _finish_job(self, job: _Job, result: JobResult) -> None:
        self._current_job = None
        for warning in result.warnings:
            self._gateway.log.warning("ledger", line=warning)
        if not job.timed_out:
            if job.batch is not None:
                self._dispatch_completions(
                    job.batch.completions(result.transaction_results)
                    if result.transaction_results is not None
                    else job.batch.unknown_completions()
                )
            for index, scan in enumerate(job.scans):
                records = result.scan_results[index] if index < len(result.scan_results) else None
                self._gateway.dispatch(ScanCompleted(scan.ticket, records, scan.owner))
        if result.error:
            if job.batch is not None and result.transaction_results is None:
                self._probe_bytes = max(self._probe_bytes, min(job.batch.size_bytes, MAX_PROBE_BYTES))
            self._mark_unavailable(result.error)
        elif result.changes is not None:
            self._handle_changes(job, result.changes)
        self._start_job()

    def _handle_changes(self, job: _Job, changes: Changes) -> None:
        own = [m for m in changes.members if m.incarnation.name == self.incarnation.name]
        if any(m.fenced or m.incarnation != self.incarnation for m in own):
            self._mark_fenced()
        elif self.unavailable:
            if not job.probe_bytes:
                return  # from before it was lost: it says nothing of writes, and the next one has it too
            self.unavailable, self._probe_bytes, self._next_probe_at = False, MIN_PROBE_BYTES, 0.0
            self._gateway.log.info("ledger back", folder=self._settings.folder)
            self._gateway.dispatch(LedgerRecovered())
        self._version = changes.version
        self._gateway.dispatch(LedgerChanged(changes, job.started_at))

    def _mark_fenced(self) -> None:
        if not self.fenced and not self._releasing:
            line = f"ledger: {self.incarnation} was ended by another: serving on without it: start anew"
            self._gateway.log.error("ledger ended", line=line)
        self.fenced = True

    def _dispatch_completions(self, completions: list[CommitCompleted]) -> None:
        for completion in completions:
            for result in completion.results:
                self._gateway.counters.add(f"ledger.{result.outcome.value}")
            if any(done.outcome is TransactionOutcome.FENCED for done in completion.results):
                self._mark_fenced()
            self._gateway.dispatch(completion)

    def _mark_unavailable(self, reason: str) -> None:
        """Answers whatever waits; the first time it is told and logged."""
        waiting = list[CommitCompleted]()
        if self._current_job is not None and not self._current_job.timed_out:
            self._current_job.timed_out = True
            if self._current_job.batch is not None:
                waiting += self._current_job.batch.unknown_completions()
            self._pending_scans = [*self._current_job.scans, *self._pending_scans]
        while (batch := self._commit_queue.next_batch()) is not None:
            waiting += batch.unknown_completions()
        scans, self._pending_scans = self._pending_scans, []
        was_available, self.unavailable = not self.unavailable, True
        if was_available:
            self._gateway.counters.add("ledger.lost_times")
            self._gateway.log.error("ledger lost", line=f"{reason}; serving on without it")
            self._gateway.dispatch(LedgerUnavailable(reason))
        self._dispatch_completions(waiting)
        for scan in scans:
            self._gateway.dispatch(ScanCompleted(scan.ticket, None, scan.owner))


def start_ledger(
    gateway: GatewayContext, name: str, environ: Mapping[str, str], reactor: Any
) -> LedgerClient | None:
    """The ledger of this installation with a new life of that name, or None where none is wanted.

    Blocks, so call it before the reactor runs, and `close` it after. Raises `RefusedError` with one line
    for a start that can't be: exit 2.
    """
    settings = read_settings(environ)
    if settings is None:
        return None
    from meadowpulley.ledger.disk import DiskStore

    store = DiskStore(
        settings.folder,
        settings.installation,
        settings.sync,
        settings.max_log_bytes,
        failpoint=settings.failpoint,
    )
    try:
        incarnation = store.register(name, settings.timings.term_ms)
    except LedgerError as error:
        store.close()
        raise LedgerUnusableError(str(error)) from None
    gateway.log.info("ledger", life=str(incarnation), folder=settings.folder, installation=store.installation)
    return LedgerClient(gateway, store, incarnation, settings, WorkerThread(reactor))
