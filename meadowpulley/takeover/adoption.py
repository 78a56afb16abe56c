"""Decides whether a survivor may adopt a lost gateway's request, and which requests to adopt first.

Whether a request may be adopted follows from its record alone. An attempt whose grant was committed may have
been executed already, or may still be executed: the instance may still be processing it, or the lost gateway
may only be paused after sending half of the bytes.
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
BURSTS_PER_S = 10  # the token bucket holds the adoptions of one tenth of a second


def remaining_ms(observed: ObservedRequest, now: float, settings: TakeoverSettings) -> float:
    """Return a lower bound of the ms to the client's deadline; -inf if the record's age is unknown.

    The writer creates a new record if more than `grant_timeout_ms` pass between creating one and its commit.
    So the record was created no earlier than `not_before_ms - grant_timeout_ms`, and the writer's clock ran
    at most `clock_drift` faster than this gateway's.
    """
    age_ms = now - observed.not_before_ms + settings.grant_timeout_ms
    return observed.record.remaining_ms * (1 - settings.clock_drift) - age_ms


def prior_attempts(observed: ObservedRequest) -> tuple[PriorAttempt, ...]:
    """Return the attempts that may have been executed, each with its earliest possible send time."""
    return tuple(
        PriorAttempt(grant.server, grant.build, grant.zone, grant.cell, not_before_ms)
        for grant, not_before_ms in zip(observed.record.grants, observed.grants_not_before_ms, strict=True)
    )


def adoption_decision(
    record: RequestRecord, request_class: RequestClass | None, slack_ms: float, settings: TakeoverSettings
) -> RequestState:
    """Return OPEN if an orphan may be adopted, else the final state to record for it immediately.

    `slack_ms` is the time to the deadline minus the typical duration of an attempt of this class.
    """
    if request_class is None or record.owner_count >= settings.max_owners:
        return RequestState.FAILED
    if record.grants and request_class.effect is Effect.NON_IDEMPOTENT:
        return RequestState.FAILED
    if slack_ms < settings.min_remaining_ms:
        return state_of_unadopted(record)
    return RequestState.OPEN


def state_of_unadopted(record: RequestRecord) -> RequestState:
    """Return the final state of an orphan that cannot be adopted in time.

    REJECTED tells the client that nothing was executed, so it is not allowed once an attempt was granted.
    """
    return RequestState.FAILED if record.grants else RequestState.REJECTED


@dataclass(frozen=True, slots=True)
class AdoptionCandidate:
    """An orphan that this gateway may adopt now."""

    request_id: str
    slack_ms: float  # ms until the adoption has to begin
    priority_weight: float


def schedule_adoptions(
    candidates: Sequence[AdoptionCandidate], available: float, rate_per_s: float
) -> tuple[list[AdoptionCandidate], list[AdoptionCandidate]]:
    """Choose the orphans to adopt, earliest deadline first; drop the lowest weights if time is short.

    `available` adoptions may begin immediately, and `rate_per_s` per second after that. The choice is optimal
    for requests of equal duration (Moore 1968, with weights Sahni 1976); the real durations are not known.

    Returns:
        The candidates to adopt, in order, and the candidates that cannot begin in time.
    """
    selected: list[tuple[float, int]] = []  # heap of (priority weight, index), lowest weight first
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
    """Limits adoptions with a token bucket.

    The bucket refills with `adoptions_per_s` tokens per second, and holds the tokens of a tenth of a second,
    at least one.
    """

    def __init__(self, settings: TakeoverSettings) -> None:
        """Start with a full bucket."""
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
        """Take one token from the bucket for an adoption."""
        self._tokens = self.available(now) - 1

    def wait_ms(self, now: float) -> float:
        """Return the ms until the next adoption may begin."""
        missing_tokens = max(1.0 - self.available(now), 0.0)
        return missing_tokens * MS_PER_S / self.rate_per_s
