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
from meadowpulley.takeover.ledger_view import ObservedRequest
from meadowpulley.takeover.model import RequestRecord, RequestState, TakeoverSettings


def remaining_ms(observed: ObservedRequest, now: float, settings: TakeoverSettings) -> float:
    """Time to the deadline, at most: never more than its writer had left. -inf where nothing bounds it.

    The record was made at most `right_ms` before it was carried out, else its writer made it anew; so it is
    no older than its floor less that, and the writer's clock ran no faster than `drift` allows.
    """
    age_ms = now - observed.not_before_ms + settings.grant_timeout_ms
    return observed.record.remaining_ms * (1 - settings.clock_drift) - age_ms


def prior_attempts(observed: ObservedRequest) -> tuple[PriorAttempt, ...]:
    """The attempts that may have run, each sent no earlier than its time: after its right was won."""
    return tuple(
        PriorAttempt(r.server, r.build, r.zone, r.cell, at)
        for r, at in zip(observed.record.grants, observed.grants_not_before_ms, strict=True)
    )


def adoption_decision(
    record: RequestRecord, request_class: RequestClass | None, slack_ms: float, settings: TakeoverSettings
) -> RequestState:
    """OPEN: it may be adopted; else how it ends at once. `spare`: time left beyond what one usually takes."""
    if request_class is None or record.owner_count >= settings.max_owners:
        return RequestState.FAILED
    if record.grants and request_class.effect is Effect.NON_IDEMPOTENT:
        return RequestState.FAILED
    if slack_ms < settings.min_remaining_ms:
        return RequestState.FAILED if record.grants else RequestState.REJECTED
    return RequestState.OPEN


@dataclass(frozen=True, slots=True)
class AdoptionCandidate:
    """What is to be chosen among: one for each piece of work this gateway may claim now."""

    request_id: str
    slack_ms: float  # until it must be begun
    priority_weight: float


def schedule_adoptions(
    candidates: Sequence[AdoptionCandidate], available: float, rate_per_s: float
) -> tuple[list[AdoptionCandidate], list[AdoptionCandidate]]:
    """Nearest deadline first; where not all can be begun in time, the least worth is left out.

    `now_left` may be begun at once and `per_s` a second after that. Choosing so is best for pieces of equal
    length (Moore 1968, for weights Sahni 1976); how long each takes is not known. Returns what to begin, in
    order, and what cannot be begun in time.
    """
    selected: list[tuple[float, int]] = []  # least worth first
    by_deadline = sorted(candidates, key=lambda o: (o.slack_ms, -o.priority_weight, o.request_id))
    for index, candidate in enumerate(by_deadline):
        heapq.heappush(selected, (candidate.priority_weight, index))
        if len(selected) > available + rate_per_s * max(candidate.slack_ms, 0.0) / 1000.0:
            heapq.heappop(selected)
    chosen_indexes = {n for _, n in selected}
    missed = [orphan for n, orphan in enumerate(by_deadline) if n not in chosen_indexes]
    return [orphan for n, orphan in enumerate(by_deadline) if n in chosen_indexes], missed


class AdoptionBudget:
    """Adoptions: so many a second, with no more than a tenth of a second's at once, and so many in hand."""

    def __init__(self, settings: TakeoverSettings) -> None:
        self.settings = settings
        self.burst = max(settings.adoptions_per_s / 10, 1.0)
        self._tokens, self._updated_at_ms = self.burst, -math.inf

    def available(self, now: float) -> float:
        if self._updated_at_ms > -math.inf:
            self._tokens = min(
                self._tokens + (now - self._updated_at_ms) * self.settings.adoptions_per_s / 1000.0,
                self.burst,
            )
        self._updated_at_ms = now
        return self._tokens

    def consume(self, now: float) -> None:
        self._tokens = self.available(now) - 1

    def wait_ms(self, now: float) -> float:
        """Until the next may be begun."""
        return max(1.0 - self.available(now), 0.0) * 1000.0 / self.settings.adoptions_per_s
