"""Commits and scans that the stages of a gateway requested and that no job has started yet."""

from __future__ import annotations

from dataclasses import dataclass, field

from meadowpulley.ledger.background_jobs import LedgerJob
from meadowpulley.ledger.commit_batches import CommitQueue
from meadowpulley.ledger.messages import CommitCompleted, Scan


@dataclass(slots=True)
class UnansweredWork:
    """Abandoned work: its commits are answered with the outcome UNKNOWN, its scans without records."""

    completions: list[CommitCompleted] = field(default_factory=list)
    scans: list[Scan] = field(default_factory=list)


class PendingWork:
    """The queue of commits and scans that wait for the next job."""

    def __init__(self) -> None:
        self.commits = CommitQueue()
        self.scans = list[Scan]()

    def take_scans(self) -> tuple[Scan, ...]:
        """Remove and return all scans, in the order in which they were requested."""
        scans = tuple(self.scans)
        self.scans = []
        return scans

    def give_up(self, running_job: LedgerJob | None) -> UnansweredWork:
        """Remove and return all work that waits for an answer, in the order in which it was requested.

        The work of the running job comes first, unless the job has already been abandoned. The job is marked
        as timed out, so that its result is ignored.
        """
        unanswered = UnansweredWork()
        if running_job is not None and not running_job.timed_out:
            running_job.timed_out = True
            unanswered.scans += running_job.scans
            if running_job.batch is not None:
                unanswered.completions += running_job.batch.unknown_completions()
        while (batch := self.commits.next_batch()) is not None:
            unanswered.completions += batch.unknown_completions()
        unanswered.scans += self.take_scans()
        return unanswered
