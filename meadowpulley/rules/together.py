"""What must hold of gateways that stand in for each other, over the traces of all of them.

- Work is claimed only once it was given away or its gateway's life is over, no more often than stated, and
  begun only by who has claimed it: it is taken over at most once at a time.
- What is written is ended in time while a gateway lives.
- Whoever asks under one id gets the same answer, or is told that it failed; nobody is told twice otherwise.
- What all gateways admit is within the capacity; an experiment counts each request once.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Literal

from meadowpulley.rules.trace import (
    Admitted,
    Adopted,
    Answered,
    Claimed,
    Closed,
    Counted,
    Died,
    Given,
    Gone,
    Left,
    Record,
    Sealed,
    Sent,
    Started,
    Taken,
    Written,
)

RuleName = Literal[
    "answers",
    "effects",
    "drains",
    "cold",
    "exposure",
    "one-way",
    "takeover",
    "written",
    "admissions",
    "counts",
]
Breach = Callable[[RuleName, float, int, str], None]  # rule, when, gateway, what


@dataclass(frozen=True, slots=True)
class SharedFigures:
    end_ms: float = 0.0  # after its deadline by which written work has its end
    most_lives: int = 0  # gateways that may have had one request
    admit_per_s: float = math.inf  # units, by all gateways
    admit_burst: float = 0.0  # and this many more within any time


NOTHING = SharedFigures()


@dataclass(slots=True)
class _Work:
    deadline: float
    owner: int
    free: bool = False  # given away, or its owner's life is over
    end: str = ""


class TogetherChecker:
    """`see` each record in order, then `finish`; `breach` is told of what does not hold."""

    def __init__(self, figures: SharedFigures, breach: Breach) -> None:
        self.figures, self._breach = figures, breach
        self._work: dict[str, _Work] = {}
        self._ids: dict[tuple[int, int], str] = {}  # by gateway and request
        self._own: set[tuple[int, int]] = set()  # requests that were begun, not joined to work in hand
        self._served: dict[str, str] = {}  # content by id
        self._alive: set[int] = set()  # with a life that is not over
        self._none_until = 0.0  # there was none up to then
        self._level, self._level_at = 0.0, 0.0
        self._counted: set[tuple[str, str]] = set()
        self._had: dict[str, set[int]] = defaultdict(set)  # gateways in whose hands the record was
        self._handlers = {
            Started: self._started,
            Died: self._died,
            Taken: self._taken,
            Answered: self._answered,
            Sealed: self._sealed,
            Written: self._written,
            Claimed: self._claimed,
            Given: self._given,
            Closed: self._closed,
            Adopted: self._begun,
            Admitted: self._admitted,
            Counted: self._count,
            Left: self._left,
            Gone: self._left,
            Sent: self._sent,
        }

    def see(self, record: Record) -> None:
        handler = self._handlers.get(type(record))
        if handler is not None:
            handler(record)  # type: ignore[operator]

    def finish(self, at: float) -> None:
        for name, work in self._work.items():
            if not work.end:
                self._check_end(name, work, at)

    def wrote(self, gateway: int, name: str) -> bool:
        """Whether that work was written there. What never was (the ledger lost, the life over) is each
        gateway's own, as without a ledger: a client's next ask is another request."""
        return gateway in self._had.get(name, ())

    # Lives

    def _started(self, r: Started) -> None:
        if not self._alive:
            self._none_until = r.at
        self._alive.add(r.gateway)

    def _died(self, r: Died) -> None:
        self._alive.discard(r.gateway)
        self._ids = {key: name for key, name in self._ids.items() if key[0] != r.gateway}

    def _sealed(self, r: Sealed) -> None:
        self._alive.discard(r.gateway)
        for work in self._work.values():
            if work.owner == r.gateway:
                work.free = True

    # Work

    def _taken(self, r: Taken) -> None:
        if r.id:
            self._ids[r.gateway, r.request] = r.id

    def _sent(self, r: Sent) -> None:
        self._own.add((r.gateway, r.request))

    def _left(self, r: Left | Gone) -> None:
        self._ids.pop((r.gateway, r.request), None)  # whatever it is answered from now on is told to nobody

    def _written(self, r: Written) -> None:
        known = self._work.get(r.id)
        if known is not None and known.end in ("served", "failed"):
            self._breach("takeover", r.at, r.gateway, f"{r.id} has its end, and was begun again")
        self._work[r.id] = _Work(r.deadline, r.gateway)
        self._had[r.id].add(r.gateway)

    def _claimed(self, r: Claimed) -> None:
        work = self._work.get(r.id)
        if work is None or work.end:
            self._breach(
                "takeover", r.at, r.gateway, f"{r.id} was claimed, and there is nothing to take over"
            )
            return
        if not work.free:
            text = f"{r.id} was claimed from gateway {work.owner}, whose life is not over"
            self._breach("takeover", r.at, r.gateway, text)
        if self.figures.most_lives and r.lives > self.figures.most_lives:
            self._breach("takeover", r.at, r.gateway, f"{r.id} was taken over for the {r.lives - 1}th time")
        work.owner, work.free = r.gateway, False
        self._had[r.id].add(r.gateway)

    def _given(self, r: Given) -> None:
        work = self._work.get(r.id)
        if work is not None:
            work.free = True

    def _begun(self, r: Adopted) -> None:
        work = self._work.get(r.id)  # what it is answered is told to nobody, so its request has no id here
        if work is None or work.owner != r.gateway or work.end:
            self._breach("takeover", r.at, r.gateway, f"{r.id} was begun without a claim that holds")

    def _closed(self, r: Closed) -> None:
        work = self._work.get(r.id)
        if work is None:
            return
        # A gateway that did not know that its write had been carried out may record another end than that, as
        # long as nobody was told the first one.
        told = r.id in self._served if work.end == "served" else work.end == "failed"
        if told and work.end != r.end:
            self._breach("answers", r.at, r.gateway, f"{r.id} was {work.end}, and is {r.end} now")
        work.end = r.end
        self._check_end(r.id, work, r.at)

    def _check_end(self, name: str, work: _Work, at: float) -> None:
        limit = max(work.deadline, self._none_until) + self.figures.end_ms
        if self.figures.end_ms and at > limit and (self._alive or work.end):
            late = f"ended {at - limit:.0f} ms late" if work.end else "was never ended"
            self._breach("written", limit, work.owner, f"{name} {late}")

    def _answered(self, r: Answered) -> None:
        name = self._ids.pop((r.gateway, r.request), "")
        own = (r.gateway, r.request) in self._own
        self._own.discard((r.gateway, r.request))
        if not name or (own and not self.wrote(r.gateway, name)):
            return
        if r.answer == "served":
            before = self._served.setdefault(name, r.content)
            if before != r.content:
                self._breach("answers", r.at, r.gateway, f"{name} was answered in two ways")
        work = self._work.get(name)
        if work is not None and work.end and r.answer not in (work.end, "failed"):
            self._breach("answers", r.at, r.gateway, f"{name} was {work.end}, and is answered {r.answer}")

    # Capacity and counts

    def _admitted(self, r: Admitted) -> None:
        """A bucket that leaks at the capacity: over any time no more comes in than that and the burst."""
        leaked = self.figures.admit_per_s * (r.at - self._level_at) / 1000.0
        self._level, self._level_at = max(self._level - leaked, 0.0) + r.units, r.at
        if self._level > self.figures.admit_burst + 1e-6:
            over = self._level - self.figures.admit_burst
            self._breach("admissions", r.at, r.gateway, f"{over:.1f} more than the capacity was admitted")

    def _count(self, r: Counted) -> None:
        if (r.experiment, r.id) in self._counted:
            self._breach("counts", r.at, r.gateway, f"{r.id} was counted twice by '{r.experiment}'")
        self._counted.add((r.experiment, r.id))
