"""What the stages of a gateway ask of the ledger in one turn, made into groups that are written at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

from meadowpulley.ledger.model import Commit, Committed, Create, Done, How, Replace, Step

MOST_STEPS = 512
MOST_BYTES = 1 << 20
WRITE_BYTES = 64  # of a write, beside its key and value


def size(commit: Commit) -> int:
    """About the bytes that it takes on the way."""
    writes = [write for step in commit.steps for write in step.writes]
    values = sum(len(w.value) + len(w.key) for w in writes if isinstance(w, Create | Replace))
    return values + WRITE_BYTES * len(writes)


@dataclass(frozen=True, slots=True)
class Group:
    commits: tuple[Commit, ...]

    @property
    def bytes(self) -> int:
        """About those that it takes on the way."""
        return sum(size(commit) for commit in self.commits)

    @property
    def steps(self) -> list[Step]:
        return [step for commit in self.commits for step in commit.steps]

    def answers(self, done: Sequence[Done]) -> list[Committed]:
        """What each of the commits is told, in their order; `done` has one for each of `steps`."""
        found, at = [], 0
        for commit in self.commits:
            part = tuple(done[at : at + len(commit.steps)])
            found.append(Committed(commit.ticket, part, commit.owner))
            at += len(commit.steps)
        return found

    def unanswered(self) -> list[Committed]:
        return self.answers([Done(How.UNKNOWN)] * len(self.steps))


class Groups:
    """Commits that wait, first come first out; a group holds at least one and no more than the bounds allow,
    and a commit is never split."""

    def __init__(self, most_steps: int = MOST_STEPS, most_bytes: int = MOST_BYTES) -> None:
        self._most_steps, self._most_bytes = most_steps, most_bytes
        self._waiting: deque[tuple[Commit, int]] = deque()
        self.bytes = 0  # that wait

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, commit: Commit) -> None:
        self._waiting.append((commit, size(commit)))
        self.bytes += self._waiting[-1][1]

    def take(self) -> Group | None:
        """The next group, or None if nothing waits."""
        taken, steps, held = list[Commit](), 0, 0
        while self._waiting:
            commit, bytes_ = self._waiting[0]
            steps, held = steps + len(commit.steps), held + bytes_
            if taken and (steps > self._most_steps or held > self._most_bytes):
                break
            self._waiting.popleft()
            self.bytes -= bytes_
            taken.append(commit)
        return Group(tuple(taken)) if taken else None
