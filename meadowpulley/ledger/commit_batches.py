"""What the stages of a gateway ask of the ledger in one turn, made into groups that are written at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from meadowpulley.ledger.model import (
    Commit,
    CommitCompleted,
    Create,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)

MAX_BATCH_TRANSACTIONS = 512
MAX_BATCH_BYTES = 1 << 20
WRITE_OVERHEAD_BYTES = 64  # of a write, beside its key and value


def estimate_bytes(commit: Commit) -> int:
    """About the bytes that it takes on the way."""
    writes = [write for step in commit.transactions for write in step.writes]
    payload_bytes = sum(len(w.value) + len(w.key) for w in writes if isinstance(w, Create | Replace))
    return payload_bytes + WRITE_OVERHEAD_BYTES * len(writes)


@dataclass(frozen=True, slots=True)
class CommitBatch:
    commits: tuple[Commit, ...]

    @property
    def size_bytes(self) -> int:
        """About those that it takes on the way."""
        return sum(estimate_bytes(commit) for commit in self.commits)

    @property
    def transactions(self) -> list[Transaction]:
        return [step for commit in self.commits for step in commit.transactions]

    def completions(self, results: Sequence[TransactionResult]) -> list[CommitCompleted]:
        """What each of the commits is told, in their order; `done` has one for each of `steps`."""
        completed, start = [], 0
        for commit in self.commits:
            own_results = tuple(results[start : start + len(commit.transactions)])
            completed.append(CommitCompleted(commit.ticket, own_results, commit.owner))
            start += len(commit.transactions)
        return completed

    def unknown_completions(self) -> list[CommitCompleted]:
        return self.completions([TransactionResult(TransactionOutcome.UNKNOWN)] * len(self.transactions))


class CommitQueue:
    """Commits that wait, first come first out; a group holds at least one and no more than the bounds allow,
    and a commit is never split."""

    def __init__(
        self, max_transactions: int = MAX_BATCH_TRANSACTIONS, max_bytes: int = MAX_BATCH_BYTES
    ) -> None:
        self._max_transactions, self._max_bytes = max_transactions, max_bytes
        self._queue: deque[tuple[Commit, int]] = deque()
        self.queued_bytes = 0  # that wait

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, commit: Commit) -> None:
        self._queue.append((commit, estimate_bytes(commit)))
        self.queued_bytes += self._queue[-1][1]

    def next_batch(self) -> CommitBatch | None:
        """The next group, or None if nothing waits."""
        commits, transaction_count, batch_bytes = list[Commit](), 0, 0
        while self._queue:
            commit, commit_bytes = self._queue[0]
            transaction_count, batch_bytes = (
                transaction_count + len(commit.transactions),
                batch_bytes + commit_bytes,
            )
            if commits and (transaction_count > self._max_transactions or batch_bytes > self._max_bytes):
                break
            self._queue.popleft()
            self.queued_bytes -= commit_bytes
            commits.append(commit)
        return CommitBatch(tuple(commits)) if commits else None
