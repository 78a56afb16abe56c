"""One turn of the stage: the actions it asks for, and the steps that go into its one commit."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from meadowpulley.ledger import Step


class What(Enum):
    """What a step is for."""

    WRITE = "write"  # the record of a request in hand
    ANSWER = "answer"  # an answer is read for asks that wait
    CLAIM = "claim"
    CONTENT = "content"  # of claimed work is read
    CLEAN = "clean"  # a kept record is removed
    OLD = "old"  # what there is of one that a dead life left is read


@dataclass(frozen=True, slots=True)
class For:
    what: What
    name: str = ""  # of the work, or of the life
    request: int = -1


@dataclass(slots=True)
class Turn:
    now: float = 0.0
    acts: list[Any] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    whys: list[For] = field(default_factory=list)
    marks: int = 0

    def begin(self, now: float) -> None:
        self.now, self.acts, self.steps, self.whys = now, [], [], []

    def mark(self) -> int:
        """A number for a piece of work, never given twice, by which its own writes are known when found."""
        self.marks += 1
        return self.marks

    def step(self, step: Step, why: For) -> None:
        self.steps.append(step)
        self.whys.append(why)
