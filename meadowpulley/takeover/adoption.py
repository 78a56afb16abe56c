"""Decides what a survivor may do with the request of a lost gateway, which request, and when.

What it may do follows from the record alone. An attempt whose grant was committed may have been executed,
or may be executed yet: the instance may still be at work, and the lost gateway may only be paused with half
of the bytes sent.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass

from meadowpulley.interface import Effect, PriorAttempt, RequestClass
from meadowpulley.takeover.ledger_view import ObservedRequest
from meadowpulley.takeover.records import RequestRecord, RequestState
from meadowpulley.takeover.settings import TakeoverSettings

MS_PER_S = 1000.0
BURSTS_PER_S = 10  # a tenth of a second's adoptions may begin at once


def remaining_ms(observed: ObservedRequest, now: float, settings: TakeoverSettings) -> float:
    """Return a lower bound of the time to the client's deadline; -inf where the record's age has no bound.

    The record was made at most `grant_timeout_ms` before it was committed, else its writer made it anew. So
    it is no older than `not_before_ms` less that, and the writer's clock ran no faster than `clock_drift`
    allows.
    """
    age_ms = now - observed.not_before_ms + settings.grant_timeout_ms
    return observed.record.remaining_ms * (1 - settings.clock_drift) - age_ms


def prior_attempts(observed: ObservedRequest) -> tuple[PriorAttempt, ...]:
    """Return the attempts that may have been executed, with a lower bound of the time each was sent."""
    return tuple(
        PriorAttempt(grant.server, grant.build, grant.zone, grant.cell, not_before_ms)
        for grant, not_before_ms in zip(observed.record.grants, observed.grants_not_before_ms, strict=True)
    )


def adoption_decision(
    record: RequestRecord, request_class: RequestClass | None, slack_ms: float, settings: TakeoverSettings
) -> RequestState:
    """Return OPEN if an orphan may be adopted, else the state in which it ends at once.

    `slack_ms` is the remaining time beyond what an attempt of the class usually takes.
    """
    if request_class is None or record.owner_count >= settings.max_owners:
        return RequestState.FAILED
    if record.grants and request_class.effect is Effect.NON_IDEMPOTENT:
        return RequestState.FAILED
    if slack_ms < settings.min_remaining_ms:
        return state_of_unadopted(record)
    return RequestState.OPEN


def state_of_unadopted(record: RequestRecord) -> RequestState:
    """Return the state in which an orphan ends that cannot be adopted in time.

    A rejection says that nothing was executed, so it must not follow a grant.
    """
    return RequestState.FAILED if record.grants else RequestState.REJECTED


@dataclass(frozen=True, slots=True)
class AdoptionCandidate:
    """An orphan that this gateway may adopt now."""

    request_id: str
    slack_ms: float  # until it must be begun
    priority_weight: float


def schedule_adoptions(
    candidates: Sequence[AdoptionCandidate], available: float, rate_per_s: float
) -> tuple[list[AdoptionCandidate], list[AdoptionCandidate]]:
    """Choose what to adopt: nearest deadline first, and least weight left out where time is short.

    `available` candidates may begin at once and `rate_per_s` after that. The choice is optimal for requests
    of equal length (Moore 1968, with weights Sahni 1976); how long each takes is not known.

    Returns:
        The candidates to adopt, in order, and those that cannot begin in time.
    """
    selected: list[tuple[float, int]] = []  # a heap, least weight first
    by_deadline = sorted(candidates, key=_deadline_order)
    for index, candidate in enumerate(by_deadline):
        heapq.heappush(selected, (candidate.priority_weight, index))
        begun_in_time = available + rate_per_s * max(candidate.slack_ms, 0.0) / MS_PER_S
        if len(selected) > begun_in_time:
            heapq.heappop(selected)
    chosen_indexes = {index for _, index in selected}
    chosen = [candidate for index, candidate in enumerate(by_deadline) if index in chosen_indexes]
    missed = [candidate for index, candidate in enumerate(by_deadline) if index not in chosen_indexes]
    return chosen, missed


def _deadline_order(candidate: AdoptionCandidate) -> tuple[float, float, str]:
    return candidate.slack_ms, -candidate.priority_weight, candidate.request_id


class AdoptionBudget:
    """A token bucket for adoptions: `adoptions_per_s`, and a tenth of a second's worth at once."""

    def __init__(self, settings: TakeoverSettings) -> None:
        """Begin with a full bucket."""
        self.rate_per_s = settings.adoptions_per_s
        self.burst = max(settings.adoptions_per_s / BURSTS_PER_S, 1.0)
        self._tokens = self.burst
        self._updated_at_ms = -math.inf

    def available(self, now: float) -> float:
        """Return how many adoptions may begin now."""
        if self._updated_at_ms > -math.inf:
            gained = (now - self._updated_at_ms) * self.rate_per_s / MS_PER_S
            self._tokens = min(self._tokens + gained, self.burst)
        self._updated_at_ms = now
        return self._tokens

    def consume(self, now: float) -> None:
        """Count one adoption."""
        self._tokens = self.available(now) - 1

    def wait_ms(self, now: float) -> float:
        """Return the time until the next adoption may begin."""
        missing_tokens = max(1.0 - self.available(now), 0.0)
        return missing_tokens * MS_PER_S / self.rate_per_s
