"""Jobs on the ledger's store, run on a thread of their own: the reactor never waits for a disk."""

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
PROBE_KEY = "probe"  # no record ever has this key


@dataclass(slots=True)
class JobResult:
    """The result of a job: as much of it as was done before it failed, and the error."""

    transaction_results: list[TransactionResult] | None = None
    scan_results: list[tuple[Record, ...]] = field(default_factory=list)
    changes: Changes | None = None
    skipped_frames: list[SkippedFrame] = field(default_factory=list)
    error: str = ""  # empty where the whole job was done


class BackgroundRunner(Protocol):
    """Runs jobs one by one, off the reactor, and calls `on_result` in the reactor's turn."""

    def __call__(self, job: Callable[[], JobResult], on_result: Callable[[JobResult], None]) -> None:
        """Run a job after those that were given before it."""

    def close(self, timeout_ms: float) -> bool:
        """Take no more jobs; return whether all were done within that time (ms)."""


_QueueEntry: TypeAlias = tuple[Callable[[], JobResult], Callable[[JobResult], None]] | None


class WorkerThread:
    """A `BackgroundRunner` of one daemon thread, which ends with the process whatever it waits for."""

    def __init__(self, reactor: ReactorThreads) -> None:
        self._reactor = reactor
        self._jobs: queue.SimpleQueue[_QueueEntry] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="ledger", daemon=True)
        self._thread.start()

    def __call__(self, job: Callable[[], JobResult], on_result: Callable[[JobResult], None]) -> None:
        """Run a job after those that were given before it."""
        self._jobs.put((job, on_result))

    def _run(self) -> None:
        while (entry := self._jobs.get()) is not None:
            job, on_result = entry
            self._reactor.callFromThread(on_result, job())

    def close(self, timeout_ms: float) -> bool:
        """Take no more jobs; return whether all were done within that time (ms)."""
        self._jobs.put(None)
        self._thread.join(timeout_ms / MS_PER_SECOND)
        return not self._thread.is_alive()


@dataclass(frozen=True, slots=True)
class PollRequest:
    """What a poll reads: changes after a version, of these keys and members."""

    after_version: int
    prefixes: tuple[str, ...]
    watched_names: tuple[str, ...] | None


@dataclass(slots=True)
class LedgerJob:
    """One batch of commits, the scans that were asked for, and a poll; each of them may be missing."""

    started_at: float  # by the gateway's clock (ms)
    batch: CommitBatch | None
    scans: tuple[Scan, ...]
    poll: PollRequest | None = None
    probe_bytes: int = 0  # to write beside the poll, while the ledger is unavailable
    timed_out: bool = False

    def run(self, store: Store, incarnation: Incarnation, folder: str) -> JobResult:
        """Run the job on a store; any failure is returned in the result.

        `folder` names the ledger in the text of an unexpected error.
        """
        result = JobResult()
        try:
            self._run_into(result, store, incarnation)
        except LedgerError as error:
            result.error = str(error)
        except Exception as error:  # noqa: BLE001  # it would end the worker thread, the gateway would wait in vain
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
        """Write to the ledger without a change: on a full or a read-only disk all reads succeed.

        The transaction always conflicts.
        """
        probe = Transaction((CheckVersion(PROBE_KEY, 1), Create(PROBE_KEY, bytes(self.probe_bytes))))
        store.commit(incarnation, [probe])

    def completed_scans(self, result: JobResult) -> list[tuple[Scan, tuple[Record, ...] | None]]:
        """Return each scan with its records, or with None if the job failed before it."""
        missing_count = len(self.scans) - len(result.scan_results)
        missing = [None] * missing_count
        return list(zip(self.scans, [*result.scan_results, *missing], strict=True))
