"""The ledger client of a gateway: runs the stages' ledger actions on a thread and dispatches changes.

The reactor never waits for the disk: one thread owns the store, runs one job at a time and passes the result
back to the reactor thread. A job holds the commits of all reactor turns since the previous job, the requested
scans and, when a poll is due, a read of what changed. If a job exceeds the timeout, the ledger counts as
unavailable: every waiting commit is answered with the outcome UNKNOWN, and the gateway continues to serve
requests without the ledger until the ledger can be read and written again.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger.background_jobs import BackgroundRunner, JobResult, LedgerJob, WorkerThread
from meadowpulley.ledger.config import LedgerSettings, read_settings
from meadowpulley.ledger.errors import LedgerError, LedgerUnusableError
from meadowpulley.ledger.gateway_context import GatewayContext, ReactorThreads
from meadowpulley.ledger.lease_manager import LEASE_TIMER, LeaseManager
from meadowpulley.ledger.messages import (
    Commit,
    CommitCompleted,
    LedgerChanged,
    LedgerRecovered,
    LedgerUnavailable,
    Scan,
    ScanCompleted,
    WatchRequest,
)
from meadowpulley.ledger.pending_work import PendingWork
from meadowpulley.ledger.poll_cursor import PollCursor
from meadowpulley.ledger.records import Changes, Incarnation
from meadowpulley.ledger.recovery_probe import RecoveryProbe
from meadowpulley.ledger.stage import Stage
from meadowpulley.ledger.store import Store
from meadowpulley.ledger.transactions import TransactionOutcome, TransactionResult


class ClientPhase(Enum):
    """The phase of this gateway's incarnation: ACTIVE, then optionally RELEASING, then optionally FENCED."""

    ACTIVE = "active"
    RELEASING = "releasing"  # graceful shutdown: commits are still written, but polling has stopped
    FENCED = "fenced"  # the incarnation has ended, so nothing can be committed


class LedgerClient:
    """The ledger client of one gateway.

    Call `wrap` with the gateway's stages, install the result as its outermost stage, then call `start`.
    """

    def __init__(
        self,
        gateway: GatewayContext,
        store: Store,
        incarnation: Incarnation,
        settings: LedgerSettings,
        runner: BackgroundRunner,
    ) -> None:
        self._gateway = gateway
        self._store = store
        self.incarnation = incarnation
        self._settings = settings
        self._runner = runner
        self.phase = ClientPhase.ACTIVE
        self.unavailable = False
        self._probe = RecoveryProbe(settings.timeout_ms)
        self.lease_manager: LeaseManager | None = None
        self._cursor = PollCursor()
        self._pending = PendingWork()
        self._poll_due = False
        self._current_job: LedgerJob | None = None
        self._job_scheduled = False
        gateway.register_action(Commit, self.commit)
        gateway.register_action(Scan, self.scan)
        gateway.register_action(WatchRequest, self._set_watched_names)

    @property
    def fenced(self) -> bool:
        """Whether this gateway's incarnation has ended, so that nothing can be committed."""
        return self.phase is ClientPhase.FENCED

    def holds_lease(self, now: float) -> bool:
        """Return whether the lease is held; False before `wrap`.

        Stages that are created before the `LeaseManager` use this instead of `LeaseManager.holds_lease`.
        """
        return self.lease_manager is not None and self.lease_manager.holds_lease(now)

    def wrap(self, inner: Stage, get_prefixes: Callable[[], tuple[str, ...]]) -> LeaseManager:
        """Return a new outermost stage that wraps `inner`, the stages that use the ledger.

        `get_prefixes` returns the key prefixes whose changes the stages need at present. When the prefixes
        change, the next poll reads a snapshot (`Changes.is_snapshot`).
        """
        self._cursor.get_prefixes = get_prefixes
        self.lease_manager = LeaseManager(self.incarnation, self._settings.timings, inner)
        return self.lease_manager

    def start(self) -> None:
        """Renew the lease for the first time, and start polling.

        Raises `LedgerError` if `wrap` was not called before.
        """
        for action in self._wrapped().start(self._gateway.deadlines.now()):
            if isinstance(action, SetTimer):
                self._gateway.deadlines.after(
                    action.delay_ms, lambda: self._gateway.dispatch(Timer(LEASE_TIMER))
                )
            elif isinstance(action, Commit):
                self.commit(action)
        self._poll()

    def release_lease(self) -> None:
        """Release the lease at a graceful shutdown; the stages must have committed their last changes.

        Raises `LedgerError` if `wrap` was not called before.
        """
        lease_manager = self._wrapped()
        if self.phase is ClientPhase.ACTIVE:
            self.phase = ClientPhase.RELEASING
        for action in lease_manager.release_lease():
            if isinstance(action, Commit):
                self.commit(action)

    def _wrapped(self) -> LeaseManager:
        if self.lease_manager is None:
            raise LedgerError(
                f"ledger: {self.incarnation} has no lease manager around its stages: call `wrap` first"
            )
        return self.lease_manager

    def close(self) -> None:
        """Write the remaining commits when the process ends; wait at most one timeout for them.

        The reactor has stopped, so the result of a running job can no longer be delivered. The remaining
        commits are queued after that job.
        """
        while True:
            self._current_job = None
            self._start_job()
            if not len(self._pending.commits):
                break
        if self._runner.close(self._settings.timeout_ms):
            self._store.close()

    # Handlers of the actions that stages return

    def commit(self, action: Commit) -> None:
        """Queue transactions for the next batch; answer at once if the ledger cannot be used."""
        if self.fenced or self.unavailable:
            outcome = TransactionOutcome.FENCED if self.fenced else TransactionOutcome.UNKNOWN
            results = (TransactionResult(outcome),) * len(action.transactions)
            self._dispatch_completions([CommitCompleted(action.ticket, results, action.owner)])
            return
        self._pending.commits.add(action)
        self._schedule_job()

    def scan(self, action: Scan) -> None:
        """Queue a scan for the next job; answer it at once, without records, if the ledger cannot be used."""
        if self.fenced or self.unavailable:
            self._gateway.dispatch(ScanCompleted(action.ticket, None, action.owner))
            return
        self._pending.scans.append(action)
        self._schedule_job()

    def _set_watched_names(self, action: WatchRequest) -> None:
        self._cursor.watched_names = action.names

    # Scheduling and running jobs

    def _schedule_job(self) -> None:
        """Start a job after this reactor turn, so that everything requested in the turn goes into one job."""
        if not self._job_scheduled and self._current_job is None:
            self._job_scheduled = True
            self._gateway.deadlines.after(0.0, self._start_job)

    def _poll(self) -> None:
        if self.phase is not ClientPhase.ACTIVE:
            return
        now = self._gateway.deadlines.now()
        if self._has_job_timed_out(now):
            self._handle_failure(
                f"ledger: {self._settings.folder}: no answer within {self._settings.timeout_ms:g} ms"
            )
        self._poll_due = not self.unavailable or self._probe.is_due(now)
        self._start_job()
        self._gateway.deadlines.after(self._settings.poll_interval_ms, self._poll)

    def _has_job_timed_out(self, now: float) -> bool:
        """Return whether the running job exceeded its timeout and is not yet marked as timed out."""
        job = self._current_job
        return job is not None and not job.timed_out and now - job.started_at > self._settings.timeout_ms

    def _start_job(self) -> None:
        self._job_scheduled = False
        if self._current_job is not None:
            return
        batch = self._pending.commits.next_batch()
        scans = self._pending.take_scans()
        poll_due = self._poll_due
        if batch is None and not scans and not poll_due:
            return
        self._poll_due = False
        if batch is not None:
            self._gateway.counters.add("ledger.groups")
        job = LedgerJob(self._gateway.deadlines.now(), batch, scans)
        self._current_job = job
        self._cursor.refresh_prefixes()
        if poll_due:
            self._add_poll(job)
        self._runner(
            lambda: job.run(self._store, self.incarnation, self._settings.folder),
            lambda result: self._finish_job(job, result),
        )

    def _add_poll(self, job: LedgerJob) -> None:
        job.poll = self._cursor.request()
        if self.unavailable:
            job.probe_bytes = self._probe.size_bytes
            self._probe.record_start(job.started_at)

    def _finish_job(self, job: LedgerJob, result: JobResult) -> None:
        self._current_job = None
        for skipped in result.skipped_frames:
            self._gateway.log.warning(
                "ledger_log_frame_skipped",
                folder=self._settings.folder,
                file=skipped.file_name,
                offset=skipped.offset,
            )
        if not job.timed_out:
            self._dispatch_results(job, result)
        if result.error:
            if job.batch is not None and result.transaction_results is None:
                self._probe.record_failed_write(job.batch.size_bytes)
            self._handle_failure(result.error)
        elif result.changes is not None:
            self._handle_changes(job, result.changes)
        self._start_job()

    def _dispatch_results(self, job: LedgerJob, result: JobResult) -> None:
        if job.batch is not None and result.transaction_results is not None:
            self._dispatch_completions(job.batch.completions(result.transaction_results))
        elif job.batch is not None:
            self._dispatch_completions(job.batch.unknown_completions())
        for scan, records in job.completed_scans(result):
            self._gateway.dispatch(ScanCompleted(scan.ticket, records, scan.owner))

    def _dispatch_completions(self, completions: list[CommitCompleted]) -> None:
        for completion in completions:
            for result in completion.results:
                self._gateway.counters.add(f"ledger.{result.outcome.value}")
            if any(result.outcome is TransactionOutcome.FENCED for result in completion.results):
                self._handle_fenced()
            self._gateway.dispatch(completion)

    # Changes and availability of the ledger

    def _handle_changes(self, job: LedgerJob, changes: Changes) -> None:
        own = [member for member in changes.members if member.incarnation.name == self.incarnation.name]
        if any(member.fenced or member.incarnation != self.incarnation for member in own):
            self._handle_fenced()
        elif self.unavailable:
            if not job.probe_bytes:
                # The poll started before the failure, without a write probe, so it does not show that
                # writes succeed. The next poll reads the same changes again.
                return
            self._handle_recovery()
        self._cursor.version = changes.version
        self._gateway.dispatch(LedgerChanged(changes, job.started_at))

    def _handle_recovery(self) -> None:
        self.unavailable = False
        self._probe.reset()
        self._gateway.log.info("ledger_recovered", folder=self._settings.folder)
        self._gateway.dispatch(LedgerRecovered())

    def _handle_fenced(self) -> None:
        """Stop using the ledger; log an error unless this gateway is releasing its lease itself."""
        if self.phase is ClientPhase.ACTIVE:
            self._gateway.log.error(
                "ledger_fenced", folder=self._settings.folder, incarnation=str(self.incarnation)
            )
        self.phase = ClientPhase.FENCED

    def _handle_failure(self, reason: str) -> None:
        """Answer waiting commits as UNKNOWN and waiting scans without records; report the first failure."""
        unanswered = self._pending.give_up(self._current_job)
        if not self.unavailable:
            self.unavailable = True
            self._gateway.counters.add("ledger.lost_times")
            self._gateway.log.error("ledger_unavailable", folder=self._settings.folder, reason=reason)
            self._gateway.dispatch(LedgerUnavailable(reason))
        self._dispatch_completions(unanswered.completions)
        for scan in unanswered.scans:
            self._gateway.dispatch(ScanCompleted(scan.ticket, None, scan.owner))


def start_ledger(
    gateway: GatewayContext, name: str, environ: Mapping[str, str], reactor: ReactorThreads
) -> LedgerClient | None:
    """Open the ledger and register a new incarnation of `name`; return None if no ledger is configured.

    This function blocks: call it before the reactor starts, and call `close` on the client after the
    reactor has stopped.

    Raises:
        LedgerUnusableError: a setting is invalid, or the ledger or the name can't be used.
    """
    settings = read_settings(environ)
    if settings is None:
        return None
    # Imported only when a ledger is configured: gateways without one do not have msgspec installed.
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
    gateway.log.info(
        "ledger_opened",
        incarnation=str(incarnation),
        folder=settings.folder,
        installation=store.installation,
    )
    return LedgerClient(gateway, store, incarnation, settings, WorkerThread(reactor))
