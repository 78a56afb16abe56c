"""The ledger at a gateway: runs the actions of its stages on a thread, and dispatches what changed.

The reactor never waits for the disk: one thread owns the store, runs one job at a time and returns the result
in a turn of the reactor. A job holds the commits of the turns since the last one, the scans that were asked
for and, at every poll, a read of what changed. A job that takes longer than the time-out makes the ledger
unavailable: whatever waits is answered as unknown, and the gateway serves on without the ledger until it can
be read and written again.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger.background_jobs import (
    BackgroundRunner,
    JobResult,
    LedgerJob,
    PollRequest,
    WorkerThread,
)
from meadowpulley.ledger.commit_batches import CommitQueue
from meadowpulley.ledger.config import LedgerSettings, read_settings
from meadowpulley.ledger.gateway_context import GatewayContext, ReactorThreads
from meadowpulley.ledger.lease_manager import LEASE_TIMER, LeaseManager, Stage
from meadowpulley.ledger.model import (
    Changes,
    Commit,
    CommitCompleted,
    Incarnation,
    LedgerChanged,
    LedgerError,
    LedgerRecovered,
    LedgerUnavailable,
    LedgerUnusableError,
    Scan,
    ScanCompleted,
    Store,
    TransactionOutcome,
    TransactionResult,
    WatchRequest,
)

# An unavailable ledger has recovered once a frame as long as the one that failed can be written: a frame
# shorter than a block of the file system may still fit the log's last block, and a longer one find no room.
MIN_PROBE_BYTES, MAX_PROBE_BYTES = 4096, 1 << 16


class LedgerClient:
    """The client of one gateway: `wrap` its stages, install the result as its outermost stage, `start`."""

    def __init__(
        self,
        gateway: GatewayContext,
        store: Store,
        incarnation: Incarnation,
        settings: LedgerSettings,
        runner: BackgroundRunner,
    ) -> None:
        self._gateway, self._store, self.incarnation = gateway, store, incarnation
        self._settings, self._runner = settings, runner
        self._get_prefixes: Callable[[], tuple[str, ...]] = tuple
        self._prefixes: tuple[str, ...] = ()
        self._commit_queue, self._pending_scans = CommitQueue(), list[Scan]()
        self._current_job: LedgerJob | None = None
        self._poll_due = self._job_scheduled = False
        self._version = 0
        self._watched_names: tuple[str, ...] | None = ()
        self.unavailable = self.fenced = self._releasing = False
        self._probe_bytes, self._next_probe_at = MIN_PROBE_BYTES, 0.0
        self.lease_manager: LeaseManager | None = None
        gateway.register_action(Commit, self.commit)
        gateway.register_action(Scan, self.scan)
        gateway.register_action(WatchRequest, self._set_watched_names)

    def holds_lease(self, now: float) -> bool:
        """Return what `LeaseManager.holds_lease` does, for stages that are created before it."""
        return self.lease_manager is not None and self.lease_manager.holds_lease(now)

    def wrap(self, inner: Stage, get_prefixes: Callable[[], tuple[str, ...]]) -> LeaseManager:
        """Return the outermost stage, round the stages that rest on the ledger.

        `get_prefixes` returns the prefixes of the keys whose changes they must be told of now; when they
        change, the next poll reads a snapshot (`Changes.is_snapshot`).
        """
        self._get_prefixes = get_prefixes
        self.lease_manager = LeaseManager(self.incarnation, self._settings.timings, inner)
        return self.lease_manager

    def start(self) -> None:
        """Renew the lease for the first time, and start to poll."""
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
        """Release the lease at a graceful shutdown, after the stages have committed what they hand over."""
        assert self.lease_manager is not None
        self._releasing = True
        for action in self.lease_manager.release_lease():
            if isinstance(action, Commit):
                self.commit(action)

    def close(self) -> None:
        """Write what is left at the end of the process; take no longer than one time-out for it.

        The reactor has stopped, so nobody is told of a job that is running, and the rest is queued behind it.
        """
        while True:
            self._current_job = None
            self._start_job()
            if not len(self._commit_queue):
                break
        if self._runner.close(self._settings.timeout_ms):
            self._store.close()

    # Actions of the stages

    def commit(self, action: Commit) -> None:
        """Commit transactions in the next batch."""
        if self.fenced or self.unavailable:
            outcome = TransactionOutcome.FENCED if self.fenced else TransactionOutcome.UNKNOWN
            results = (TransactionResult(outcome),) * len(action.transactions)
            self._dispatch_completions([CommitCompleted(action.ticket, results, action.owner)])
            return
        self._commit_queue.add(action)
        self._schedule_job()

    def scan(self, action: Scan) -> None:
        """Read records in the next job."""
        if self.fenced or self.unavailable:
            self._gateway.dispatch(ScanCompleted(action.ticket, None, action.owner))
            return
        self._pending_scans.append(action)
        self._schedule_job()

    def _set_watched_names(self, action: WatchRequest) -> None:
        self._watched_names = action.names

    # Jobs

    def _schedule_job(self) -> None:
        """Start a job after this turn of the reactor, so that all that the turn asks for goes together."""
        if not self._job_scheduled and self._current_job is None:
            self._job_scheduled = True
            self._gateway.deadlines.after(0.0, self._start_job)

    def _poll(self) -> None:
        if self.fenced or self._releasing:
            return
        now = self._gateway.deadlines.now()
        if self._has_job_timed_out(now):
            self._mark_unavailable(
                f"ledger: {self._settings.folder}: no answer for {self._settings.timeout_ms:g} ms"
            )
        self._poll_due = not self.unavailable or now >= self._next_probe_at
        self._start_job()
        self._gateway.deadlines.after(self._settings.poll_interval_ms, self._poll)

    def _has_job_timed_out(self, now: float) -> bool:
        """Return whether the running job has newly exceeded its time-out."""
        job = self._current_job
        return job is not None and not job.timed_out and now - job.started_at > self._settings.timeout_ms

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
        self._current_job = job = LedgerJob(self._gateway.deadlines.now(), batch, scans)
        self._update_prefixes()
        if poll_due:
            self._add_poll(job)
        self._runner(
            lambda: job.run(self._store, self.incarnation, self._settings.folder),
            lambda result: self._finish_job(job, result),
        )

    def _update_prefixes(self) -> None:
        prefixes = self._get_prefixes()
        if prefixes != self._prefixes:
            self._prefixes, self._version = prefixes, 0

    def _add_poll(self, job: LedgerJob) -> None:
        job.poll = PollRequest(self._version, self._prefixes, self._watched_names)
        if self.unavailable:
            # Not at every poll: a disk that takes a frame and can't make it durable grows the log by it.
            job.probe_bytes = self._probe_bytes
            self._next_probe_at = job.started_at + self._settings.timeout_ms

    def _finish_job(self, job: LedgerJob, result: JobResult) -> None:
        self._current_job = None
        for warning in result.warnings:
            self._gateway.log.warning("ledger_warning", line=warning)
        if not job.timed_out:
            self._dispatch_results(job, result)
        if result.error:
            if job.batch is not None and result.transaction_results is None:
                self._probe_bytes = max(self._probe_bytes, min(job.batch.size_bytes, MAX_PROBE_BYTES))
            self._mark_unavailable(result.error)
        elif result.changes is not None:
            self._handle_changes(job, result.changes)
        self._start_job()

    def _dispatch_results(self, job: LedgerJob, result: JobResult) -> None:
        if job.batch is not None:
            self._dispatch_completions(
                job.batch.completions(result.transaction_results)
                if result.transaction_results is not None
                else job.batch.unknown_completions()
            )
        for scan, records in job.completed_scans(result):
            self._gateway.dispatch(ScanCompleted(scan.ticket, records, scan.owner))

    def _dispatch_completions(self, completions: list[CommitCompleted]) -> None:
        for completion in completions:
            for result in completion.results:
                self._gateway.counters.add(f"ledger.{result.outcome.value}")
            if any(result.outcome is TransactionOutcome.FENCED for result in completion.results):
                self._mark_fenced()
            self._gateway.dispatch(completion)

    # The state of the ledger

    def _handle_changes(self, job: LedgerJob, changes: Changes) -> None:
        own = [member for member in changes.members if member.incarnation.name == self.incarnation.name]
        if any(member.fenced or member.incarnation != self.incarnation for member in own):
            self._mark_fenced()
        elif self.unavailable:
            if not job.probe_bytes:
                return  # started before the failure: it shows nothing of writes; the next poll reads it too
            self._mark_recovered()
        self._version = changes.version
        self._gateway.dispatch(LedgerChanged(changes, job.started_at))

    def _mark_recovered(self) -> None:
        self.unavailable, self._probe_bytes, self._next_probe_at = False, MIN_PROBE_BYTES, 0.0
        self._gateway.log.info("ledger_recovered", folder=self._settings.folder)
        self._gateway.dispatch(LedgerRecovered())

    def _mark_fenced(self) -> None:
        if not self.fenced and not self._releasing:
            line = f"ledger: {self.incarnation} was ended by another: serving on without it: start anew"
            self._gateway.log.error("ledger_fenced", line=line)
        self.fenced = True

    def _mark_unavailable(self, reason: str) -> None:
        """Answer whatever waits as unknown; report the failure unless it was reported already."""
        completions, scans = self._take_unanswered()
        if not self.unavailable:
            self.unavailable = True
            self._gateway.counters.add("ledger.lost_times")
            self._gateway.log.error("ledger_unavailable", line=f"{reason}; serving on without it")
            self._gateway.dispatch(LedgerUnavailable(reason))
        self._dispatch_completions(completions)
        for scan in scans:
            self._gateway.dispatch(ScanCompleted(scan.ticket, None, scan.owner))

    def _take_unanswered(self) -> tuple[list[CommitCompleted], list[Scan]]:
        """Remove everything that waits for an answer, in the order in which it was asked for."""
        completions, scans = list[CommitCompleted](), list[Scan]()
        job = self._current_job
        if job is not None and not job.timed_out:
            job.timed_out = True
            scans += job.scans
            if job.batch is not None:
                completions += job.batch.unknown_completions()
        while (batch := self._commit_queue.next_batch()) is not None:
            completions += batch.unknown_completions()
        scans += self._pending_scans
        self._pending_scans = []
        return completions, scans


def start_ledger(
    gateway: GatewayContext, name: str, environ: Mapping[str, str], reactor: ReactorThreads
) -> LedgerClient | None:
    """Open the ledger with a new incarnation of that name, or return None if no ledger is configured.

    It blocks: call it before the reactor runs, and `close` the client after. Raises `LedgerUnusableError`
    with one line of text if the gateway can't start with these settings.
    """
    settings = read_settings(environ)
    if settings is None:
        return None
    from meadowpulley.ledger.disk import DiskStore  # it needs msgspec

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
    gateway.log.info(
        "ledger_opened",
        incarnation=str(incarnation),
        folder=settings.folder,
        installation=store.installation,
    )
    return LedgerClient(gateway, store, incarnation, settings, WorkerThread(reactor))
