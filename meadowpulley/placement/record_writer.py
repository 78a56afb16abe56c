"""Commit an experiment's records to the ledger, one write of each at a time."""

from __future__ import annotations

from collections.abc import Callable

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

OWNER = "placement"  # of this package's commits
DEFINITION = "running"  # names of records, as `ledger_key` maps them to keys
FINISHED = "over"
_COUNTERS = "count"  # of the own counters: the only record that is written more than once


class RecordWriter:
    """Writes one gateway's records of one experiment.

    `emit` is called with each commit, whose result is passed to `on_committed`.
    """

    def __init__(self, experiment: Experiment, emit: Callable[[Commit], None]) -> None:
        self.experiment, self._emit = experiment, emit
        self.ledger_read = False  # whether the ledger has said what it holds
        self.ledger_lost = False
        self.fenced = False  # this incarnation can commit nothing any more
        self.recorded: set[str] = set()  # records that the ledger holds for good
        self.unwritten_segments: dict[str, bytes] = {}
        self._pending: dict[int, str] = {}  # names of the records in flight, by ticket
        self._last_ticket = 0
        self._counters_version = 0

    def ledger_key(self, name: str) -> str:
        """Return the ledger's key of a record."""
        return self.experiment.definition_key if name == DEFINITION else self.experiment.record_key(name)

    def write_once(self, name: str, value: bytes = b"") -> None:
        """Create a record that stays: the first writer has decided, and all others find its value."""
        if name not in self.recorded:
            self._commit(name, Create(self.ledger_key(name), value))

    def write_counters(self, incarnation: str, value: bytes) -> None:
        """Write the next revision of the own counters."""
        key, version = self.ledger_key(f"{_COUNTERS}/{incarnation}"), self._counters_version
        self._commit(_COUNTERS, Replace(key, value, version) if version else Create(key, value))

    def add_segment(self, name: str, value: bytes) -> None:
        """Keep a segment of bins, to be written until the ledger has it."""
        self.unwritten_segments[name] = value

    def write_segments(self) -> None:
        """Write the segments that the ledger does not have."""
        for name, value in self.unwritten_segments.items():
            self.write_once(name, value)

    def _commit(self, name: str, write: Create | Replace) -> None:
        can_commit = self.ledger_read and not (self.ledger_lost or self.fenced)
        if not can_commit or name in self._pending.values():
            return
        self._last_ticket += 1
        self._pending[self._last_ticket] = name
        self._emit(Commit(self._last_ticket, (Transaction((write,)),), OWNER))

    def on_committed(self, event: CommitCompleted) -> Record | None:
        """Process the result of a commit; return the record that conflicts with a write, if any."""
        name, result = self._pending.pop(event.ticket, ""), event.results[0]
        is_settled = result.outcome in (TransactionOutcome.COMMITTED, TransactionOutcome.CONFLICT)
        if is_settled:  # a conflict is with an own earlier write whose result was lost
            self.unwritten_segments.pop(name, None)
        if result.outcome is TransactionOutcome.FENCED:
            self.fenced = True
        elif name == _COUNTERS:
            self._on_counters_written(result)
        elif result.outcome is TransactionOutcome.CONFLICT:
            return result.existing
        elif result.outcome is TransactionOutcome.COMMITTED:
            self.recorded.add(name)
        return None

    def _on_counters_written(self, result: TransactionResult) -> None:
        if result.outcome is TransactionOutcome.COMMITTED:
            self._counters_version = result.version
        elif result.outcome is TransactionOutcome.CONFLICT:  # with an own write whose result was lost
            self._counters_version = result.existing.version if result.existing is not None else 0
