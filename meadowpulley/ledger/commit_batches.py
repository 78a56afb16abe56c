"""Commit batching: all commits of a gateway's stages in one reactor turn are written together."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import chain

from meadowpulley.ledger.messages import Commit, CommitCompleted
from meadowpulley.ledger.transactions import (
    Create,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
)

MAX_BATCH_TRANSACTIONS = 512
MAX_BATCH_BYTES = 1 << 20
WRITE_OVERHEAD_BYTES = 64  # estimated size of a write in the log, without its key and value


def estimate_bytes(commit: Commit) -> int:
    """Return the estimated size of a commit in the log, in bytes."""
    total_bytes = 0
    for transaction in commit.transactions:
        total_bytes += sum(map(_estimate_write_bytes, transaction.writes))
    return total_bytes


def _estimate_write_bytes(write: Write) -> int:
    if isinstance(write, Create | Replace):
        return WRITE_OVERHEAD_BYTES + len(write.key) + len(write.value)
    return WRITE_OVERHEAD_BYTES


@dataclass(frozen=True, slots=True)
class CommitBatch:
    """Commits that are written to the ledger together, in the order in which they were queued."""

    commits: tuple[Commit, ...]

    @property
    def size_bytes(self) -> int:
        """The estimated size of the batch in the log, in bytes."""
        return sum(estimate_bytes(commit) for commit in self.commits)

    @property
    def transactions(self) -> list[Transaction]:
        """The transactions of all commits, in the order of the commits."""
        return list(chain.from_iterable(commit.transactions for commit in self.commits))

    def completions(self, results: Sequence[TransactionResult]) -> list[CommitCompleted]:
        """Return a completion event for each commit; `results` has one result for each of `transactions`."""
        completed = list[CommitCompleted]()
        start = 0
        for commit in self.commits:
            end = start + len(commit.transactions)
            completed.append(CommitCompleted(commit.ticket, tuple(results[start:end]), commit.owner))
            start = end
        return completed

    def unknown_completions(self) -> list[CommitCompleted]:
        """Return an UNKNOWN completion event for each commit, since the store did not answer."""
        unknown = TransactionResult(TransactionOutcome.UNKNOWN)
        return self.completions([unknown] * len(self.transactions))


class CommitQueue:
    """A first-in, first-out queue of commits that wait to be written.

    A batch holds at least one commit. It holds further commits only up to the limits on transactions and
    bytes. A commit is never split between batches.
    """

    def __init__(
        self, max_transactions: int = MAX_BATCH_TRANSACTIONS, max_bytes: int = MAX_BATCH_BYTES
    ) -> None:
        self._max_transactions = max_transactions
        self._max_bytes = max_bytes
        self._queue: deque[tuple[Commit, int]] = deque()  # each commit with its estimated size in bytes
        self.queued_bytes = 0

    def __len__(self) -> int:
        """Return the number of queued commits."""
        return len(self._queue)

    def add(self, commit: Commit) -> None:
        """Append a commit to the queue."""
        commit_bytes = estimate_bytes(commit)
        self._queue.append((commit, commit_bytes))
        self.queued_bytes += commit_bytes

    def next_batch(self) -> CommitBatch | None:
        """Remove and return the next batch, or return None if the queue is empty."""
        commits = list[Commit]()
        transaction_count = 0
        batch_bytes = 0
        while self._queue:
            commit, commit_bytes = self._queue[0]
            transaction_count += len(commit.transactions)
            batch_bytes += commit_bytes
            if commits and (transaction_count > self._max_transactions or batch_bytes > self._max_bytes):
                break
            self._queue.popleft()
            self.queued_bytes -= commit_bytes
            commits.append(commit)
        return CommitBatch(tuple(commits)) if commits else None
