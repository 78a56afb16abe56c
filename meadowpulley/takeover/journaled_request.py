"""One journaled request of this gateway: its attempts, final response and known record state.

The adapter numbers only the attempts that it was told to send; the policy numbers all attempts that it chose.
Both start from 0 at each owner of the request. This module converts between the two numberings.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import Self

from meadowpulley.interface import Fail, Outcome, Reject, Request, RequestClass, Result, Send
from meadowpulley.takeover import records
from meadowpulley.takeover.messages import Deliver, ResponseReady, deliver
from meadowpulley.takeover.records import (
    RECORD_PREFIX,
    AttemptGrant,
    Origin,
    RecordedResponse,
    RequestContent,
    RequestState,
)

NOT_EXECUTED_RESULTS = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)


@dataclass(slots=True)
class PendingSend:
    """An attempt that the policy has chosen and that waits until its grant is committed."""

    action: Send
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The final state of a request, and the action that answers the client that sent it."""

    state: RequestState
    action: Reject | Fail | Deliver
    response: RecordedResponse | None = None  # response to record; None if too long or if there is none

    @classmethod
    def served(cls, event: ResponseReady) -> Self:
        """Create one from an instance's successful response; a body that is too long is not recorded."""
        response = None
        if len(event.body) <= records.MAX_BODY_BYTES:
            response = RecordedResponse(records.RECORD_FORMAT, event.status, event.headers, event.body)
        return cls(RequestState.SERVED, deliver(event), response)


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write in progress, and the changes that take effect once it is committed."""

    created_at_ms: float
    # Prefixes of the keys to write, in order; empty if the transaction only looks up the request id.
    key_prefixes: tuple[str, ...] = ()
    covered_attempts: frozenset[int] = frozenset()  # attempts whose grants are part of the write
    final_response: FinalResponse | None = None
    releases: bool = False


@dataclass(slots=True, eq=False)
class JournaledRequest:
    """A request that this gateway owns. All times are in ms on this gateway's clock."""

    request: Request
    request_id: str  # chosen by the client
    request_class: RequestClass
    tenant_name: str
    content: RequestContent
    digest: bytes
    sequence: int
    origin: Origin
    received_at_ms: float  # for an adopted request, a lower bound
    owner_count: int = 1
    record_version: int = 0  # 0 if no record is known
    content_version: int = 0
    response_version: int = 0
    write_uncertain: bool = False  # a write with an unknown outcome may have been committed
    inherited_grants: tuple[AttemptGrant, ...] = ()  # attempts of earlier owners that may have been executed
    # Grants of the attempts of this owner, keyed by policy attempt number.
    grants: dict[int, AttemptGrant] = field(default_factory=dict)
    attempt_count: int = 0  # including the attempts of earlier owners
    pending_sends: dict[int, PendingSend] = field(default_factory=dict)  # keyed by policy attempt number
    dispatched_attempts: list[int] = field(default_factory=list)  # policy attempt numbers, in sending order
    outstanding_attempts: set[int] = field(default_factory=set)  # adapter attempt numbers
    pending_write: PendingWrite | None = None
    retry_at_ms: float = math.inf  # time at which to repeat a write with an unknown outcome
    final_response: FinalResponse | None = None
    superseded_response: FinalResponse | None = None  # replaced by `final_response`, may still be recorded
    hold_until_ms: float = math.inf  # the client is answered at this time even if nothing is recorded yet
    answered: bool = False  # the client has its final response, or its slot was freed
    has_client: bool = True
    record_stale: bool = False  # the last commit was late, so the recorded remaining time is too long
    releasing: bool = False  # this gateway is releasing the request to other gateways
    relinquished: bool = False  # no longer owned: only the outcomes of its attempts are still needed

    @property
    def record_key(self) -> str:
        """The ledger key of the request's record."""
        return RECORD_PREFIX + self.request_id

    @property
    def needs_write(self) -> bool:
        """Whether the record was never written, or a change waits to be written to it."""
        return bool(
            self.pending_sends
            or self.final_response
            or self.releasing
            or self.record_stale
            or not self.record_version
        )

    @property
    def is_over(self) -> bool:
        """Whether the policy has nothing left to decide for this request."""
        return self.relinquished or self.final_response is not None

    def failure(self) -> FinalResponse:
        """Return the final response of a failed request."""
        return FinalResponse(RequestState.FAILED, Fail(self.request.request))

    def supersede_final_response(self) -> None:
        """Clear the final response so that another can be set; the first one may still become recorded."""
        if self.superseded_response is None:
            self.superseded_response = self.final_response
        self.final_response = None

    def final_response_for(self, state: RequestState) -> FinalResponse | None:
        """Return the final response that gave the record this state; None if no final response matches."""
        for candidate in (self.final_response, self.superseded_response):
            if candidate is not None and candidate.state is state:
                return candidate
        return None

    # Attempts

    def add_grant(self, grant: AttemptGrant) -> int:
        """Add the grant of the attempt that the policy has just chosen; return its policy number."""
        attempt = self.attempt_count - self.request.prior_attempt_count
        self.attempt_count += 1
        self.grants[attempt] = grant
        return attempt

    def begin_attempt(self, attempt: int) -> Send:
        """Mark an attempt as sent; return the action that sends it."""
        self.outstanding_attempts.add(len(self.dispatched_attempts))
        self.dispatched_attempts.append(attempt)
        return self.pending_sends.pop(attempt).action

    def withdraw_attempt(self, attempt: int) -> Outcome:
        """Drop an attempt that will not be sent; return its outcome for the policy."""
        server = self.pending_sends.pop(attempt).action.server
        del self.grants[attempt]
        return Outcome(self.request.request, attempt, server, Result.NOT_SENT, 0.0, self.is_over)

    def end_attempt(self, outcome: Outcome) -> Outcome:
        """Record the end of a sent attempt; return the outcome with the policy's attempt number."""
        attempt = self.dispatched_attempts[outcome.attempt]
        self.outstanding_attempts.discard(outcome.attempt)
        if outcome.result in NOT_EXECUTED_RESULTS:
            self.grants.pop(attempt, None)
        complete = outcome.request_complete or self.is_over
        if attempt == outcome.attempt and complete == outcome.request_complete:
            return outcome
        return replace(outcome, attempt=attempt, request_complete=complete)

    def sent_number(self, attempt: int) -> int | None:
        """Convert a policy attempt number to the adapter's; return None if the attempt was not sent."""
        if attempt not in self.dispatched_attempts:
            return None
        return self.dispatched_attempts.index(attempt)

    def policy_number(self, sent_number: int) -> int:
        """Convert an adapter attempt number to the policy's."""
        return self.dispatched_attempts[sent_number]
