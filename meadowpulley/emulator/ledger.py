"""Simulated ledger of a fleet: one store in memory, and a port to it for each gateway incarnation.

A port collects the commits of one turn into a batch, has one batch outstanding at a time, and answers in
virtual time. A batch without a result within `timeout_ms` is UNKNOWN: it may have been applied, or may
still be.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Literal, Protocol

import numpy as np

from meadowpulley.emulator.clock import Timeline, uniform
from meadowpulley.emulator.failpoints import Step
from meadowpulley.ledger import (
    Changes,
    Commit,
    CommitBatch,
    CommitCompleted,
    CommitQueue,
    Incarnation,
    LedgerChanged,
    LedgerError,
    LedgerRecovered,
    LedgerUnavailable,
    MemoryStore,
    Record,
    Scan,
    ScanCompleted,
    Transaction,
    TransactionOutcome,
)

LedgerFault = Literal["full", "read-only", "gone", "slow", "cut", "unheard"]
_FAULT_MESSAGES = {
    "full": "ledger: no space left: free some",
    "read-only": "ledger: it can't be written: look at its file system",
    "gone": "ledger: its directory is gone: bring it back",
}
_WRITE_FAULTS = ("full", "read-only", "gone")
_NO_RESPONSE_FAULTS = ("cut", "unheard")
_NO_RESPONSE_MESSAGE = "ledger: it does not answer"


@dataclass(frozen=True, slots=True)
class LedgerModel:
    """Timing of the ledger in milliseconds. On one host a crash is known at the next start."""

    lease_ms: float = 2000.0  # term of a gateway's lease
    one_way_ms: tuple[float, float] = (0.5, 2.0)
    poll_ms: float = 50.0  # interval of polls for changes
    timeout_ms: float = 400.0  # time-out of a commit
    slow_extra_ms: float = 120.0  # extra one-way delay while the ledger is slow
    start_retry_ms: float = 250.0  # delay before a gateway that could not register tries again
    single_host: bool = True


class SharedLedger:
    """The store, and its faults for all gateways or for single ones."""

    def __init__(self, clock: Timeline, rng: np.random.Generator, model: LedgerModel) -> None:
        self.clock = clock
        self._rng = rng
        self.model = model
        self.store = MemoryStore()
        self.operations: Counter[str] = Counter()
        # Called with each committed transaction.
        self.on_commit: Callable[[Incarnation, Transaction], None] = lambda incarnation, transaction: None
        self._faults: dict[int | None, LedgerFault] = {}

    def set_fault(self, fault: LedgerFault | None, gateway: int | None = None) -> None:
        """Set a fault for one gateway (None: for all), or clear it.

        With `cut` nothing reaches the ledger. With `unheard` everything reaches it and no response comes
        back.
        """
        if fault is None:
            self._faults.pop(gateway, None)
        else:
            self._faults[gateway] = fault

    def fault_of(self, gateway: int) -> LedgerFault | None:
        """Return the fault that a gateway sees, if any."""
        return self._faults.get(gateway, self._faults.get(None))

    def delay(self, gateway: int) -> float:
        """Draw the one-way delay between a gateway and the ledger, in milliseconds."""
        slow_ms = self.model.slow_extra_ms if self.fault_of(gateway) == "slow" else 0.0
        return uniform(self._rng, self.model.one_way_ms) + slow_ms

    def random_fraction(self) -> float:
        """Draw from the uniform distribution between 0 and 1."""
        return float(self._rng.random())

    def begin_incarnation(self, gateway: int) -> Incarnation:
        """Register a new incarnation of a gateway. Raises `LedgerError` where that is not possible now."""
        fault = self.fault_of(gateway)
        if fault not in (None, "slow"):
            raise LedgerError(_FAULT_MESSAGES.get(str(fault), _NO_RESPONSE_MESSAGE))
        self.operations["begin"] += 1
        return self.store.register(f"g{gateway}", self.model.lease_ms)

    def incarnation_ended(self, incarnation: Incarnation) -> None:
        """Mark an incarnation as dead where all gateways are on one host."""
        if self.model.single_host:
            self.store.dead_incarnations.add(incarnation)

    def commit(self, gateway: int, incarnation: Incarnation, batch: CommitBatch) -> list[CommitCompleted]:
        """Apply a batch of transactions. Raises `LedgerError` where the store cannot be written."""
        fault = self.fault_of(gateway)
        if fault in _WRITE_FAULTS:
            raise LedgerError(_FAULT_MESSAGES[str(fault)])
        transactions = batch.transactions
        self.operations["groups"] += 1
        self.operations["steps"] += len(transactions)
        results = self.store.commit(incarnation, transactions)
        for transaction, result in zip(transactions, results, strict=True):
            if result.outcome is TransactionOutcome.COMMITTED:
                self.on_commit(incarnation, transaction)
        return batch.completions(results)

    def scan(self, gateway: int, prefix: str) -> tuple[Record, ...]:
        """Return all records under a prefix. Raises `LedgerError` where the store cannot be read."""
        self._check_read(gateway)
        self.operations["scans"] += 1
        return tuple(self.store.scan(prefix))

    def _check_read(self, gateway: int) -> None:
        if self.fault_of(gateway) == "gone":
            raise LedgerError(_FAULT_MESSAGES["gone"])

    def changes(
        self, gateway: int, after: int, prefixes: tuple[str, ...], watched: tuple[str, ...] | None
    ) -> Changes:
        """Return the changes after a version. Raises `LedgerError` where the store cannot be read."""
        self._check_read(gateway)
        self.operations["polls"] += 1
        changes = self.store.changes(after, prefixes, watched)
        self.operations["read"] += len(changes.records) + len(changes.removed_keys) + len(changes.members)
        return changes


@dataclass(slots=True)
class _OutstandingCommit:
    """A batch on its way to the ledger and back."""

    batch: CommitBatch
    finished: bool = False
    results: list[CommitCompleted] = field(default_factory=list)


class LedgerUser(Protocol):
    """What a port needs of the gateway that it belongs to."""

    number: int
    alive: bool
    incarnation: Incarnation | None

    def dispatch(self, event: object) -> None:
        """Hand an event to the gateway's stages."""

    def in_this_incarnation(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Wrap a callback so that it runs only in this incarnation, and not while paused."""

    def interrupted_at(self, step: Step, callback: Callable[[], None]) -> bool:
        """Return whether a fault set at this step stops it; after a pause the callback runs later."""

    def step_reached(self, step: Step) -> None:
        """Run the failpoints that are set at a step of this gateway."""


class LedgerPort:
    """One incarnation's access to the ledger. Results reach it only while it runs and is not paused."""

    def __init__(
        self,
        ledger: SharedLedger,
        gateway: LedgerUser,
        incarnation: Incarnation,
        watched_prefixes: Callable[[], tuple[str, ...]],
    ) -> None:
        self.ledger = ledger
        self.incarnation = incarnation
        self._gateway = gateway
        self._watched_prefixes = watched_prefixes
        self._prefixes: tuple[str, ...] = ()
        self.disconnected = False
        self.watched_members: tuple[str, ...] | None = ()  # members whose renewals are reported; None: all
        self._pending_commits = CommitQueue()
        self._outstanding: _OutstandingCommit | None = None  # one at a time; commits queue meanwhile
        self._version = 0
        # A random phase keeps the gateways' polls apart.
        self._call_later(ledger.model.poll_ms * ledger.random_fraction(), self._poll)

    def _call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        self.ledger.clock.call_later(delay_ms, self._gateway.in_this_incarnation(callback))

    # Commits

    def commit(self, commit: Commit) -> None:
        """Queue a commit; it is sent at the end of the turn, or when the batch before it is finished."""
        self._pending_commits.add(commit)
        if len(self._pending_commits) == 1 and self._outstanding is None:
            self._call_later(0.0, self._send)

    def _send(self) -> None:
        if self._outstanding is not None or self._gateway.interrupted_at(Step.BEFORE_COMMIT_SENT, self._send):
            return
        batch = self._pending_commits.next_batch()
        if batch is None:
            return
        commit = _OutstandingCommit(batch)
        self._outstanding = commit
        gateway_number = self._gateway.number
        ledger = self.ledger
        if ledger.fault_of(gateway_number) != "cut":
            # Also where the gateway crashes: a batch that was sent is applied.
            ledger.clock.call_later(ledger.delay(gateway_number), lambda: self._apply(commit))
        self._call_later(ledger.model.timeout_ms, lambda: self._timed_out(commit))

    def _apply(self, commit: _OutstandingCommit) -> None:
        gateway_number = self._gateway.number
        ledger = self.ledger
        fault = ""
        try:
            commit.results = ledger.commit(gateway_number, self.incarnation, commit.batch)
        except LedgerError as error:
            fault = str(error)
        if ledger.fault_of(gateway_number) != "unheard":
            respond = self._gateway.in_this_incarnation(lambda: self._response_received(commit, fault))
            ledger.clock.call_later(ledger.delay(gateway_number), respond)
        if self._gateway.alive and self._gateway.incarnation == self.incarnation:
            self._gateway.step_reached(Step.AFTER_COMMIT_APPLIED)

    def _response_received(self, commit: _OutstandingCommit, fault: str) -> None:
        if commit.finished or self._gateway.interrupted_at(
            Step.BEFORE_COMMIT_RESULT_HANDLED, lambda: self._response_received(commit, fault)
        ):
            return
        self._finish(commit)
        if fault:
            self._report_lost(fault)
        elif self.disconnected:
            self.disconnected = False
            self._gateway.dispatch(LedgerRecovered())
        results = commit.batch.unknown_completions() if fault else commit.results
        for result in results:
            self._gateway.dispatch(result)

    def _timed_out(self, commit: _OutstandingCommit) -> None:
        if commit.finished:
            return
        self._finish(commit)
        self._report_lost(_NO_RESPONSE_MESSAGE)
        for result in commit.batch.unknown_completions():
            self._gateway.dispatch(result)

    def _finish(self, commit: _OutstandingCommit) -> None:
        commit.finished = True
        self._outstanding = None
        if len(self._pending_commits):
            self._call_later(0.0, self._send)

    def _report_lost(self, reason: str) -> None:
        if not self.disconnected:
            self.disconnected = True
            self._gateway.dispatch(LedgerUnavailable(reason))

    # Scans and changes

    def scan(self, action: Scan) -> None:
        """Read all records under a prefix and dispatch the result."""
        gateway_number = self._gateway.number
        ledger = self.ledger
        result = ScanCompleted(action.ticket, None, action.owner)

        def read() -> None:
            """Scan the ledger, as one gateway sees it, for the reply."""
            nonlocal result
            with suppress(LedgerError):
                result = ScanCompleted(
                    action.ticket, ledger.scan(gateway_number, action.prefix), action.owner
                )

        unreachable = ledger.fault_of(gateway_number) in _NO_RESPONSE_FAULTS
        if not unreachable:
            self._call_later(ledger.delay(gateway_number), read)
        wait_ms = ledger.model.timeout_ms if unreachable else 2.0 * ledger.delay(gateway_number)
        self._call_later(wait_ms, lambda: self._gateway.dispatch(result))

    def _poll(self) -> None:
        gateway_number = self._gateway.number
        ledger = self.ledger
        if ledger.fault_of(gateway_number) in _NO_RESPONSE_FAULTS:
            self._call_later(ledger.model.poll_ms, self._poll)
        else:
            started_at = ledger.clock.now
            self._call_later(ledger.delay(gateway_number), lambda: self._read_changes(started_at))

    def _read_changes(self, started_at: float) -> None:
        """Read the changes and schedule the next poll."""
        gateway_number = self._gateway.number
        ledger = self.ledger
        prefixes = self._watched_prefixes()
        if prefixes != self._prefixes:  # read everything under the new prefixes
            self._prefixes = prefixes
            self._version = 0
        try:
            changes = ledger.changes(gateway_number, self._version, prefixes, self.watched_members)
        except LedgerError as error:
            self._report_lost(str(error))
        else:
            self._version = changes.version
            self._gateway.dispatch(LedgerChanged(changes, started_at))
        self._call_later(ledger.model.poll_ms, self._poll)
