"""One claim of an orphan: this gateway becomes the owner of a request that has lost its gateway."""

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
    """An orphan that this gateway is claiming, or has claimed but not adopted yet.

    All times are in ms on this gateway's clock.
    """

    observed: ObservedRequest
    target_state: RequestState  # OPEN: adopt the request; any other: the state that the claim records
    deadline_ms: float
    sequence: int
    record_version: int = 0  # ledger version of the record; 0 until the claim is committed
    content: RequestContent | None = None
    content_version: int = 0
    uncertain: bool = False  # an earlier write of the claim may have been committed
    retry_at_ms: float = math.inf

    @property
    def request_id(self) -> str:
        """The request id that the client chose."""
        return self.observed.request_id

    @property
    def grants(self) -> tuple[AttemptGrant, ...]:
        """The grants of earlier owners, each with the ledger version that committed it."""
        return tuple(
            replace_fields(grant, granted_version=grant.granted_version or self.observed.version)
            for grant in self.observed.record.grants
        )

    def to_record(self, now: float) -> RequestRecord:
        """Return the record that this claim writes if it is written at `now`."""
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
        """Return the request as `owner`, the gateway that made this committed claim, would observe it.

        The next claim adds one to the owner count. If that claim releases the request, the count is lowered
        by one here, so that this gateway does not count as an owner.
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
