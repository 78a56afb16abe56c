"""Tests of the ledger client: one batch per reactor turn, timeouts, and faults that are reported once."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import pytest

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    Create,
    Fence,
    Fenced,
    Incarnation,
    LedgerChanged,
    LedgerError,
    LedgerRecovered,
    LedgerUnavailable,
    LedgerUnusableError,
    MemoryStore,
    RenewLease,
    Scan,
    ScanCompleted,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.ledger.background_jobs import JobResult, WorkerThread
from meadowpulley.ledger.client import LedgerClient, start_ledger
from meadowpulley.ledger.commit_batches import MAX_BATCH_TRANSACTIONS
from meadowpulley.ledger.config import LedgerSettings, read_settings
from meadowpulley.ledger.log_entries import CommitEntry, encode
from meadowpulley.ledger.store import SkippedFrame
from meadowpulley.net.counters import Counters


class LogRecorder:
    """A log that records the names and the fields of events."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.fields: list[dict[str, Any]] = []

    def info(self, event: str, **fields: Any) -> None:
        self.events.append(event)
        self.fields.append(fields)

    def warning(self, event: str, **fields: Any) -> None:
        self.info(event, **fields)

    def error(self, event: str, **fields: Any) -> None:
        self.info(event, **fields)


class FakeGateway:
    """A gateway with a clock, a log and counters, which records the events that are dispatched to it."""

    def __init__(self) -> None:
        self.deadlines, self.log, self.counters = self, LogRecorder(), Counters()
        self.time, self.calls = 0.0, list[tuple[float, int, Callable[[], None]]]()
        self.events, self.forwarded_events = list[Any](), list[Any]()
        self.client: LedgerClient | None = None
        self.call_count = 0
        self.prefixes: tuple[str, ...] = ("x/",)
        self.handlers: dict[type, Callable[[Any], None]] = {
            SetTimer: lambda a: self.after(a.delay_ms, lambda: self.dispatch(Timer(a.token)))
        }

    def now(self) -> float:
        return self.time

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self.call_count += 1
        heapq.heappush(self.calls, (self.time + delay_ms, self.call_count, call))

    def dispatch(self, event: Any) -> None:
        self.events.append(event)
        if self.client is not None and self.client.lease_manager is not None:
            for action in self.client.lease_manager.handle(self.time, event):
                self.handlers[type(action)](action)

    def register_action(self, kind: type, handler: Callable[[Any], None]) -> None:
        self.handlers[kind] = handler

    def handle(self, now: float, event: Any) -> list[Any]:
        """Record an event in place of the inner stages."""
        self.forwarded_events.append(event)
        return []

    def run(self, duration_ms: float) -> None:
        end = self.time + duration_ms
        while self.calls and self.calls[0][0] <= end:
            self.time, _, call = heapq.heappop(self.calls)
            call()
        self.time = end

    def events_of(self, kind: type, owner: str = "t") -> list[Any]:
        return [e for e in self.events if isinstance(e, kind) and getattr(e, "owner", owner) == owner]


class ManualRunner:
    """A background runner that holds its jobs back while `paused` is set."""

    def __init__(self) -> None:
        self.jobs: list[tuple[Callable[[], JobResult], Callable[[JobResult], None]]] = []
        self.paused = False

    def __call__(self, job: Callable[[], JobResult], on_result: Callable[[JobResult], None]) -> None:
        self.jobs.append((job, on_result))
        if not self.paused:
            self.run_jobs()

    def run_jobs(self) -> None:
        while self.jobs:
            job, on_result = self.jobs.pop(0)
            on_result(job())

    def close(self, timeout_ms: float) -> bool:
        """Run the jobs but deliver no results, as happens after the reactor has stopped."""
        for job, _ in self.jobs:
            job()
        return True


def settings(**environ: str) -> LedgerSettings:
    parsed = read_settings({"MEADOWPULLEY_LEDGER": "/l", **environ})
    assert parsed is not None
    return parsed


class ClientFixture:
    def __init__(self) -> None:
        self.gateway, self.store, self.runner = FakeGateway(), MemoryStore(), ManualRunner()
        self.other = self.store.register("other", 2000.0)
        incarnation = self.store.register("n", 2000.0)
        self.client = LedgerClient(self.gateway, self.store, incarnation, settings(), self.runner)
        self.gateway.client = self.client
        self.client.wrap(self.gateway, lambda: self.gateway.prefixes)
        self.client.start()
        self.gateway.run(500.0)

    def commit(self, ticket: int, *keys: str) -> None:
        self.client.commit(Commit(ticket, tuple(Transaction((Create(k, b""),)) for k in keys), "t"))


def test_commits_of_one_turn_share_a_batch_and_complete_separately() -> None:
    fixture = ClientFixture()
    batch_sizes = list[int]()
    real_commit = fixture.store.commit

    def count_and_commit(
        incarnation: Incarnation, transactions: Sequence[Transaction]
    ) -> list[TransactionResult]:
        batch_sizes.append(len(transactions))
        return real_commit(incarnation, transactions)

    fixture.store.commit = count_and_commit  # type: ignore[method-assign]  # records batch sizes
    fixture.commit(1, "x/1", "x/2")
    fixture.commit(2, "x/1")
    fixture.client.scan(Scan(3, "x/", "t"))
    assert not fixture.gateway.events_of(CommitCompleted)
    fixture.gateway.run(0.0)
    assert batch_sizes == [3]
    assert [
        (c.ticket, [d.outcome for d in c.results]) for c in fixture.gateway.events_of(CommitCompleted)
    ] == [
        (1, [TransactionOutcome.COMMITTED, TransactionOutcome.COMMITTED]),
        (2, [TransactionOutcome.CONFLICT]),
    ]
    assert [r.key for r in fixture.gateway.events_of(ScanCompleted)[0].records] == ["x/1", "x/2"]
    fixture.gateway.run(100.0)
    changes = [r.key for c in fixture.gateway.events_of(LedgerChanged) for r in c.changes.records]
    assert changes == ["x/1", "x/2"]
    assert fixture.client.holds_lease(fixture.gateway.time)
    fixture.store.commit(fixture.other, [Transaction((Create("y/1", b""),))])
    fixture.gateway.prefixes = ("x/2", "y/")
    fixture.gateway.run(100.0)
    snapshots = [c.changes for c in fixture.gateway.events_of(LedgerChanged) if c.changes.is_snapshot]
    assert [r.key for r in snapshots[-1].records] == ["x/2", "y/1"]
    assert len(snapshots) == 2  # one from the first poll, and one after the change of prefixes


def test_a_ledger_failure_is_reported_once_and_the_gateway_serves_on() -> None:
    """The disk is full for five seconds. Every commit and scan must be answered at once, the failure must be
    logged only once, and the ledger must be used again when there is space.
    """
    fixture = ClientFixture()
    fixture.store.fault = "ledger: /l: No space left on device: check that disk"
    for ticket in range(50):
        fixture.commit(ticket, f"x/{ticket}")
        fixture.client.scan(Scan(ticket, "x/", "t"))
        fixture.gateway.run(100.0)
    assert {d.outcome for c in fixture.gateway.events_of(CommitCompleted) for d in c.results} == {
        TransactionOutcome.UNKNOWN
    }
    assert (
        len(fixture.gateway.events_of(CommitCompleted)) == len(fixture.gateway.events_of(ScanCompleted)) == 50
    )
    assert len(fixture.gateway.events_of(LedgerUnavailable)) == 1
    assert fixture.gateway.log.events == ["ledger_unavailable"]
    assert fixture.gateway.log.fields == [{"folder": "/l", "reason": fixture.store.fault}]
    assert not fixture.client.holds_lease(fixture.gateway.time)
    fixture.store.fault = ""
    fixture.gateway.run(1000.0)
    assert len(fixture.gateway.events_of(LedgerRecovered)) == 1
    assert fixture.client.holds_lease(fixture.gateway.time)
    assert fixture.gateway.log.events == ["ledger_unavailable", "ledger_recovered"]
    fixture.commit(99, "x/99")
    fixture.gateway.run(0.0)
    assert fixture.gateway.events_of(CommitCompleted)[-1].results[0].outcome is TransactionOutcome.COMMITTED


# Each case has two values. The first is the size in bytes above which a full disk rejects writes, although
# all polls succeed. The second says whether the ledger became unavailable because of a slow poll, which
# returned once the disk was full, and not because of a rejected write.
FULL_DISK_CASES = {"every write": (0, False), "long writes": (2_000, False), "after a slow poll": (0, True)}


@pytest.mark.parametrize(("free_bytes", "slow_poll"), FULL_DISK_CASES.values(), ids=FULL_DISK_CASES)
def test_a_read_only_ledger_stays_unavailable(
    monkeypatch: pytest.MonkeyPatch, free_bytes: int, slow_poll: bool
) -> None:
    """A full or read-only disk rejects writes although all polls succeed. The ledger must count as recovered
    only after a frame as long as the one that failed was written.
    """
    fixture, real = ClientFixture(), MemoryStore.commit

    def commit_to_full_disk(incarnation: Any, transactions: Any) -> Any:
        # A renewal is a rename and writes nothing to the log.
        logged = tuple(s for s in transactions if RenewLease() not in s.writes)
        if logged and len(encode(CommitEntry(incarnation, "", logged))) > free_bytes:
            raise LedgerError("ledger: /l: No space left on device: check that disk")
        return real(fixture.store, incarnation, transactions)

    fixture.runner.paused = slow_poll
    fixture.gateway.run(1_000.0)
    with monkeypatch.context() as patch:
        patch.setattr(fixture.store, "commit", commit_to_full_disk)
        fixture.runner.paused = False
        fixture.runner.run_jobs()
        if not slow_poll:
            fixture.client.commit(Commit(1, (Transaction((Create("x/1", bytes(3_000)),)),), "t"))
        polls = len(fixture.gateway.events_of(LedgerChanged))
        fixture.gateway.run(5_000.0)
        assert len(fixture.gateway.events_of(LedgerUnavailable)) == 1
        assert not fixture.gateway.events_of(LedgerRecovered)
        assert len(fixture.gateway.events_of(LedgerChanged)) == polls, (
            "polls are not dispatched while the ledger is unavailable"
        )
    fixture.gateway.run(1_000.0)
    assert len(fixture.gateway.events_of(LedgerRecovered)) == 1
    assert not fixture.store.scan("probe")


def test_a_hanging_disk_times_out_and_its_late_result_is_ignored() -> None:
    """The disk hangs. Waiting commits must be answered as UNKNOWN within the timeout, and the late result
    must change nothing.
    """
    fixture = ClientFixture()
    fixture.runner.paused = True
    fixture.commit(1, "x/1")
    fixture.gateway.run(1.0)
    fixture.commit(2, "x/2")
    requested_at = fixture.gateway.time
    while not fixture.gateway.events_of(CommitCompleted):
        fixture.gateway.run(1.0)
    assert fixture.gateway.time - requested_at <= settings().commit_timeout_ms
    assert [(c.ticket, c.results[0].outcome) for c in fixture.gateway.events_of(CommitCompleted)] == [
        (1, TransactionOutcome.UNKNOWN),
        (2, TransactionOutcome.UNKNOWN),
    ]
    fixture.gateway.run(5_000.0)
    assert len(fixture.gateway.events_of(LedgerUnavailable)) == 1
    assert len(fixture.runner.jobs) == 1
    fixture.commit(3, "x/3")
    assert fixture.gateway.events_of(CommitCompleted)[-1].results[0].outcome is TransactionOutcome.UNKNOWN
    fixture.runner.paused = False
    fixture.runner.run_jobs()
    fixture.gateway.run(1_000.0)
    assert len(fixture.gateway.events_of(CommitCompleted)) == 3
    assert len(fixture.gateway.events_of(LedgerRecovered)) == 1
    assert [r.key for r in fixture.store.scan("x/")] == ["x/1"]


def test_commits_at_close_are_written_after_a_running_poll() -> None:
    """The process ends while a poll is running. The queued commits of the stages must still be written."""
    fixture = ClientFixture()
    fixture.runner.paused = True
    fixture.gateway.run(100.0)
    assert fixture.runner.jobs
    for ticket in range(MAX_BATCH_TRANSACTIONS + 2):  # more transactions than fit into one batch
        fixture.commit(ticket, f"x/{ticket}")
    fixture.client.release_lease()
    fixture.client.close()
    assert len(fixture.store.scan("x/")) == MAX_BATCH_TRANSACTIONS + 2
    assert fixture.store.members_by_name["n"].fenced


def test_a_fenced_gateway_is_notified_once_and_stops_using_the_ledger() -> None:
    """Another gateway fences this one. It must dispatch and log that once, and commit nothing more."""
    fixture = ClientFixture()
    renewal = fixture.store.members_by_name["n"].renewal
    fixture.store.commit(fixture.other, [Transaction((Fence(fixture.client.incarnation, renewal),))])
    fixture.commit(1, "x/1")
    fixture.gateway.run(1_000.0)
    fixture.commit(2, "x/2")
    assert [c.results[0].outcome for c in fixture.gateway.events_of(CommitCompleted)] == [
        TransactionOutcome.FENCED
    ] * 2
    assert not fixture.runner.jobs
    assert fixture.gateway.log.events == ["ledger_fenced"]
    assert fixture.gateway.log.fields == [{"folder": "/l", "incarnation": "n.1"}]
    assert fixture.gateway.forwarded_events.count(Fenced()) == 1


def test_a_torn_frame_is_logged_with_file_and_offset() -> None:
    """A process died during a write to the log. The reader must skip the torn frame and log its location."""
    fixture = ClientFixture()
    skipped = [SkippedFrame("log.00000001", 99)]

    def take_skipped_frames() -> list[SkippedFrame]:
        return [skipped.pop()] if skipped else []

    fixture.store.take_skipped_frames = take_skipped_frames  # type: ignore[method-assign]  # a test double
    fixture.gateway.run(200.0)
    assert fixture.gateway.log.events == ["ledger_log_frame_skipped"]
    assert fixture.gateway.log.fields == [{"folder": "/l", "file": "log.00000001", "offset": 99}]


def test_graceful_shutdown_releases_the_lease_silently() -> None:
    """A gateway ends its own incarnation. That is not a failure, so nothing may be logged."""
    fixture = ClientFixture()
    fixture.commit(1, "x/last")
    fixture.client.release_lease()
    fixture.client.close()
    assert fixture.store.members_by_name["n"].fenced
    assert fixture.store.read("x/last") is not None
    assert not fixture.gateway.log.events


class FakeReactor:
    def __init__(self) -> None:
        self.calls: Any = __import__("queue").Queue()

    def callFromThread(self, *call: Any) -> None:  # noqa: N802  # the method name is defined by Twisted
        self.calls.put(call)


def test_a_second_gateway_with_the_same_name_is_rejected(tmp_path: Path) -> None:
    """Two gateways are started with the same name. The second must fail to start and not affect the first."""
    gateway, reactor = FakeGateway(), FakeReactor()
    environ = {"MEADOWPULLEY_LEDGER": str(tmp_path)}
    assert start_ledger(gateway, "n", {}, reactor) is None
    client = start_ledger(gateway, "n", environ, reactor)
    assert client is not None
    assert isinstance(client._runner, WorkerThread)
    with pytest.raises(LedgerUnusableError, match="'n' is taken by a living gateway"):
        start_ledger(gateway, "n", environ, reactor)
    client.wrap(gateway, tuple)
    client.start()
    call, *arguments = reactor.calls.get(timeout=30)  # queued by the worker thread for the reactor thread
    call(*arguments)
    assert gateway.events_of(LedgerChanged)
    assert gateway.events_of(CommitCompleted, "keeper")[0].results[0].outcome is TransactionOutcome.COMMITTED
    client.release_lease()
    client.close()
    restarted = start_ledger(gateway, "n", environ, reactor)
    assert restarted is not None
    assert restarted.incarnation.epoch == 2
    restarted.close()


def test_lease_timers_are_dispatched_by_the_gateway() -> None:
    fixture = ClientFixture()
    assert Timer(5) in fixture.gateway.events
