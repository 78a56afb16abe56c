"""Jobs on the ledger's store. They run on a worker thread, so the reactor never waits for a disk."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeAlias

from meadowpulley.ledger.commit_batches import CommitBatch
from meadowpulley.ledger.errors import LedgerError
from meadowpulley.ledger.gateway_context import ReactorThreads
from meadowpulley.ledger.messages import Scan
from meadowpulley.ledger.records import Changes, Incarnation, Record
from meadowpulley.ledger.store import SkippedFrame, Store
from meadowpulley.ledger.transactions import CheckVersion, Create, Transaction, TransactionResult

MS_PER_SECOND = 1000.0
PROBE_KEY = "probe"  # key of the write probe; no record with this key is ever created


@dataclass(slots=True)
class JobResult:
    """The result of a job: the results of all parts that were done before any failure, and the error."""

    transaction_results: list[TransactionResult] | None = None
    scan_results: list[tuple[Record, ...]] = field(default_factory=list)
    changes: Changes | None = None
    skipped_frames: list[SkippedFrame] = field(default_factory=list)
    error: str = ""  # the error message; empty if the whole job succeeded


class BackgroundRunner(Protocol):
    """Runs jobs one at a time outside the reactor thread, and calls `on_result` in the reactor thread."""

    def __call__(self, job: Callable[[], JobResult], on_result: Callable[[JobResult], None]) -> None:
        """Queue a job, to run after all jobs that were queued earlier."""

    def close(self, timeout_ms: float) -> bool:
        """Accept no more jobs; return whether all accepted jobs finished within `timeout_ms` milliseconds."""


_QueueEntry: TypeAlias = tuple[Callable[[], JobResult], Callable[[JobResult], None]] | None


class WorkerThread:
    """A `BackgroundRunner` with one daemon thread, so a job that hangs does not block process exit."""

    def __init__(self, reactor: ReactorThreads) -> None:
        self._reactor = reactor
        self._jobs: queue.SimpleQueue[_QueueEntry] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="ledger", daemon=True)
        self._thread.start()

    def __call__(self, job: Callable[[], JobResult], on_result: Callable[[JobResult], None]) -> None:
        """Queue a job, to run after all jobs that were queued earlier."""
        self._jobs.put((job, on_result))

    def _run(self) -> None:
        while (entry := self._jobs.get()) is not None:
            job, on_result = entry
            self._reactor.callFromThread(on_result, job())

    def close(self, timeout_ms: float) -> bool:
        """Accept no more jobs; return whether all accepted jobs finished within `timeout_ms` milliseconds."""
        self._jobs.put(None)
        self._thread.join(timeout_ms / MS_PER_SECOND)
        return not self._thread.is_alive()


@dataclass(frozen=True, slots=True)
class PollRequest:
    """The parameters of a poll: which keys and members to read, and after which version of the ledger."""

    after_version: int
    prefixes: tuple[str, ...]
    watched_names: tuple[str, ...] | None


@dataclass(slots=True)
class LedgerJob:
    """One batch of commits, the requested scans, and a poll; each of the three is optional."""

    started_at: float  # milliseconds on the gateway's clock
    batch: CommitBatch | None
    scans: tuple[Scan, ...]
    poll: PollRequest | None = None
    probe_bytes: int = 0  # size of the write probe that runs with the poll while the ledger is unavailable
    timed_out: bool = False

    def run(self, store: Store, incarnation: Incarnation, folder: str) -> JobResult:
        """Run the job on a store, and return any failure in the result instead of raising it.

        `folder` is the ledger's path, for the message of an unexpected error.
        """
        result = JobResult()
        try:
            self._run_into(result, store, incarnation)
        except LedgerError as error:
            result.error = str(error)
        except Exception as error:  # noqa: BLE001
            # An uncaught error would end the worker thread, and the gateway would wait for a result forever.
            result.error = f"ledger: {folder}: {type(error).__name__}: {error}"
        result.skipped_frames = store.take_skipped_frames()
        return result

    def _run_into(self, result: JobResult, store: Store, incarnation: Incarnation) -> None:
        if self.batch is not None:
            result.transaction_results = store.commit(incarnation, self.batch.transactions)
        for scan in self.scans:
            result.scan_results.append(tuple(store.scan(scan.prefix)))
        if self.probe_bytes:
            self._probe(store, incarnation)
        if self.poll is not None:
            poll = self.poll
            result.changes = store.changes(poll.after_version, poll.prefixes, poll.watched_names)

    def _probe(self, store: Store, incarnation: Incarnation) -> None:
        """Test whether the ledger can be written: reads succeed even on a full or read-only disk.

        The transaction is written to the log, but always conflicts, so it changes no record.
        """
        probe = Transaction((CheckVersion(PROBE_KEY, 1), Create(PROBE_KEY, bytes(self.probe_bytes))))
        store.commit(incarnation, [probe])

    def completed_scans(self, result: JobResult) -> list[tuple[Scan, tuple[Record, ...] | None]]:
        """Return each scan with its records, or with None if the job failed before that scan."""
        missing_count = len(self.scans) - len(result.scan_results)
        missing = [None] * missing_count
        return list(zip(self.scans, [*result.scan_results, *missing], strict=True))
