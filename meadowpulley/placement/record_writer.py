"""Commit an experiment's records to the ledger, with at most one write of each in flight."""

from __future__ import annotations

from collections.abc import Callable
from enum import Flag, auto

from meadowpulley.ledger.model import (
    Commit,
    CommitCompleted,
    Create,
    Record,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.placement.definition import Experiment
from meadowpulley.placement.record_names import DEFINITION, counters_name

OWNER = "placement"  # `Commit.owner` of this package's commits
SETTLED_OUTCOMES = (TransactionOutcome.COMMITTED, TransactionOutcome.CONFLICT)


class WriteObstacle(Flag):
    """Reasons why this incarnation does not commit."""

    LEDGER_UNREAD = auto()  # the ledger's content was not read yet
    LEDGER_UNAVAILABLE = auto()
    FENCED = auto()  # never cleared: the ledger accepts no more commits of this incarnation


ENDED_ARMS_UNKNOWN = WriteObstacle.LEDGER_UNREAD | WriteObstacle.FENCED


class RecordWriter:
    """Writes one gateway's records of one experiment; `incarnation` names its counters' record.

    It passes each commit to `emit`; the caller passes the result to `on_committed`.
    """

    def __init__(self, experiment: Experiment, incarnation: str, emit: Callable[[Commit], None]) -> None:
        self.experiment = experiment
        self.obstacles = WriteObstacle.LEDGER_UNREAD
        self.recorded: set[str] = set()  # names of write-once records that the ledger is known to have
        self.unwritten_segments: dict[str, bytes] = {}
        self._emit = emit
        self._counters_name = counters_name(incarnation)  # the only record that this writer replaces
        self._counters_version = 0
        self._pending: dict[int, str] = {}  # names of the records in flight, by ticket
        self._last_ticket = 0

    # The ledger's state

    @property
    def knows_ended_arms(self) -> bool:
        """Whether the ledger was read and this incarnation is not fenced; it may be unavailable now."""
        return not self.obstacles & ENDED_ARMS_UNKNOWN

    def on_ledger_read(self) -> None:
        """Allow commits, now that the ledger's content was read."""
        self.obstacles &= ~(WriteObstacle.LEDGER_UNREAD | WriteObstacle.LEDGER_UNAVAILABLE)

    def on_ledger_unavailable(self) -> None:
        """Commit nothing until the ledger has recovered."""
        self.obstacles |= WriteObstacle.LEDGER_UNAVAILABLE

    def on_ledger_recovered(self) -> None:
        """Allow commits again after the ledger has recovered."""
        self.obstacles &= ~WriteObstacle.LEDGER_UNAVAILABLE

    def on_fenced(self) -> None:
        """Stop committing for good: this incarnation is fenced."""
        self.obstacles |= WriteObstacle.FENCED

    # Writes

    def ledger_key(self, name: str) -> str:
        """Return the ledger's key of a record."""
        return self.experiment.definition_key if name == DEFINITION else self.experiment.record_key(name)

    def write_once(self, name: str, value: bytes = b"") -> None:
        """Create a record that never changes: the first writer's value holds for all gateways."""
        if name not in self.recorded:
            self._commit(name, Create(self.ledger_key(name), value))

    def write_counters(self, value: bytes) -> None:
        """Create or replace the record of this incarnation's counters."""
        key = self.ledger_key(self._counters_name)
        if self._counters_version:
            self._commit(self._counters_name, Replace(key, value, self._counters_version))
        else:
            self._commit(self._counters_name, Create(key, value))

    def add_segment(self, name: str, value: bytes) -> None:
        """Keep a segment of bins; `write_segments` writes it until the ledger has it."""
        self.unwritten_segments[name] = value

    def write_segments(self) -> None:
        """Write each segment that the ledger is not known to have."""
        for name, value in self.unwritten_segments.items():
            self.write_once(name, value)

    def _commit(self, name: str, write: Create | Replace) -> None:
        if self.obstacles or name in self._pending.values():
            return
        self._last_ticket += 1
        self._pending[self._last_ticket] = name
        self._emit(Commit(self._last_ticket, (Transaction((write,)),), OWNER))

    # Results

    def on_committed(self, event: CommitCompleted) -> Record | None:
        """Process a commit's result; return the existing record if a write-once record conflicts."""
        name = self._pending.pop(event.ticket, "")
        result = event.results[0]
        # A segment that conflicts was committed by an earlier write whose result was lost.
        if result.outcome in SETTLED_OUTCOMES:
            self.unwritten_segments.pop(name, None)
        if result.outcome is TransactionOutcome.FENCED:
            self.on_fenced()
        elif name == self._counters_name:
            self._on_counters_written(result)
        elif result.outcome is TransactionOutcome.CONFLICT:
            return result.existing
        elif result.outcome is TransactionOutcome.COMMITTED:
            self.recorded.add(name)
        return None

    def _on_counters_written(self, result: TransactionResult) -> None:
        if result.outcome is TransactionOutcome.COMMITTED:
            self._counters_version = result.version
        elif (
            result.outcome is TransactionOutcome.CONFLICT
        ):  # an earlier write committed, but its result was lost
            self._counters_version = result.existing.version if result.existing is not None else 0
