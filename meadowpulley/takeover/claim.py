"""One claim of an orphan: a request of a lost gateway that this gateway makes its own."""

from __future__ import annotations

import math
from dataclasses import dataclass

from msgspec.structs import replace as replace_fields

from meadowpulley.ledger import Incarnation
from meadowpulley.takeover.ledger_view import ObservedRequest
from meadowpulley.takeover.records import (
    MAX_DURATION_MS,
    AttemptGrant,
    RequestContent,
    RequestRecord,
    RequestState,
)


@dataclass(slots=True)
class Claim:
    """An orphan that this gateway claims, or has claimed and not adopted yet.

    Times are ms on this gateway's clock.
    """

    observed: ObservedRequest
    target_state: RequestState  # OPEN: to be adopted; else how it ends
    deadline_ms: float
    sequence: int
    record_version: int = 0  # of its record once the claim is committed
    content: RequestContent | None = None
    content_version: int = 0
    uncertain: bool = False  # an attempt to write it may have been committed
    retry_at_ms: float = math.inf

    @property
    def request_id(self) -> str:
        """The client's id of the request."""
        return self.observed.request_id

    @property
    def grants(self) -> tuple[AttemptGrant, ...]:
        """The grants of earlier owners, each with the version that granted it."""
        return tuple(
            replace_fields(grant, granted_version=grant.granted_version or self.observed.version)
            for grant in self.observed.record.grants
        )

    def to_record(self, now: float) -> RequestRecord:
        """Return the record that claims the request now."""
        record = self.observed.record
        elapsed_ms = record.elapsed_ms + max(now - self.observed.not_before_ms, 0.0)
        return replace_fields(
            record,
            state=self.target_state,
            owner_count=record.owner_count + 1,
            sequence=self.sequence,
            remaining_ms=max(self.deadline_ms - now, 0.0),
            elapsed_ms=min(elapsed_ms, MAX_DURATION_MS),
            grants=self.grants,
        )

    def as_observed(self, owner: Incarnation, target_state: RequestState) -> ObservedRequest:
        """Return the committed claim as `owner`, which made it, would observe it.

        A claim that changes it to RELEASED leaves the count of owners as it was before this one.
        """
        observed = self.observed
        is_release = target_state is RequestState.RELEASED
        owner_count = observed.record.owner_count - 1 if is_release else observed.record.owner_count
        return ObservedRequest(
            self.request_id,
            replace_fields(observed.record, owner_count=owner_count, grants=self.grants),
            self.record_version,
            owner,
            observed.not_before_ms,
            observed.grants_not_before_ms,
        )
