"""What a survivor may do with the work of a lost gateway, which of it, and when.

What it may do follows from what is proven alone. An attempt whose right was won may have run, or may run yet:
the instance may still be at work, and the lost gateway may only be stopped with the bytes half out.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass

from meadowpulley.interface import Effect, PriorAttempt, RequestClass
from meadowpulley.takeover.mirror import Seen
from meadowpulley.takeover.model import State, Terms, Work


def left_ms(seen: Seen, now: float, terms: Terms) -> float:
    """Time to the deadline, at most: never more than its writer had left. -inf where nothing bounds it.

    The record was made at most `right_ms` before it was carried out, else its writer made it anew; so it is
    no older than its floor less that, and the writer's clock ran no faster than `drift` allows.
    """
    age = now - seen.floor_ms + terms.right_ms
    return seen.work.left_ms * (1 - terms.drift) - age


def tried(seen: Seen) -> tuple[PriorAttempt, ...]:
    """The attempts that may have run, each sent no earlier than its time: after its right was won."""
    return tuple(
        PriorAttempt(r.server, r.build, r.zone, r.cell, at)
        for r, at in zip(seen.work.rights, seen.sent_ms, strict=True)
    )


def verdict(work: Work, cls: RequestClass | None, spare: float, terms: Terms) -> State:
    """OPEN: it may be adopted; else how it ends at once. `spare`: time left beyond what one usually takes."""
    if cls is None or work.lives >= terms.most_lives:
        return State.FAILED
    if work.rights and cls.effect is Effect.NON_IDEMPOTENT:
        return State.FAILED
    if spare < terms.least_ms:
        return State.FAILED if work.rights else State.REFUSED
    return State.OPEN


@dataclass(frozen=True, slots=True)
class Orphan:
    """What is to be chosen among: one for each piece of work this gateway may claim now."""

    name: str
    spare_ms: float  # until it must be begun
    worth: float


def schedule(orphans: Sequence[Orphan], now_left: float, per_s: float) -> tuple[list[Orphan], list[Orphan]]:
    """Nearest deadline first; where not all can be begun in time, the least worth is left out.

    `now_left` may be begun at once and `per_s` a second after that. Choosing so is best for pieces of equal
    length (Moore 1968, for weights Sahni 1976); how long each takes is not known. Returns what to begin, in
    order, and what cannot be begun in time.
    """
    kept: list[tuple[float, int]] = []  # least worth first
    order = sorted(orphans, key=lambda o: (o.spare_ms, -o.worth, o.name))
    for n, orphan in enumerate(order):
        heapq.heappush(kept, (orphan.worth, n))
        if len(kept) > now_left + per_s * max(orphan.spare_ms, 0.0) / 1000.0:
            heapq.heappop(kept)
    chosen = {n for _, n in kept}
    late = [orphan for n, orphan in enumerate(order) if n not in chosen]
    return [orphan for n, orphan in enumerate(order) if n in chosen], late


class Budget:
    """Adoptions: so many a second, with no more than a tenth of a second's at once, and so many in hand."""

    def __init__(self, terms: Terms) -> None:
        self.terms = terms
        self.most = max(terms.per_s / 10, 1.0)
        self._left, self._at = self.most, -math.inf

    def left(self, now: float) -> float:
        if self._at > -math.inf:
            self._left = min(self._left + (now - self._at) * self.terms.per_s / 1000.0, self.most)
        self._at = now
        return self._left

    def take(self, now: float) -> None:
        self._left = self.left(now) - 1

    def wait_ms(self, now: float) -> float:
        """Until the next may be begun."""
        return max(1.0 - self.left(now), 0.0) * 1000.0 / self.terms.per_s
