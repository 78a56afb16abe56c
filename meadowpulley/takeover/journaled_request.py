"""One journaled request of this gateway: its attempts, its final response, and its record as far as known.

The adapter numbers the attempts that it was told to send, the policy all that it chose. Both count from 0 at
each owner of the request; the numbers are translated here.
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
    """An attempt that the policy chose, held until its grant is committed."""

    action: Send
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """How a request ends: its state, and the action that answers its own client."""

    state: RequestState
    action: Reject | Fail | Deliver
    response: RecordedResponse | None = None  # to be recorded; None: too long, or there is none

    @classmethod
    def served(cls, event: ResponseReady) -> Self:
        """Make one of an instance's good response; a body that is too long is not recorded."""
        response = None
        if len(event.body) <= records.MAX_BODY_BYTES:
            response = RecordedResponse(records.RECORD_FORMAT, event.status, event.headers, event.body)
        return cls(RequestState.SERVED, deliver(event), response)


@dataclass(frozen=True, slots=True)
class PendingWrite:
    """A write that is under way, and what it proves once it is committed."""

    created_at_ms: float
    key_prefixes: tuple[str, ...] = ()  # of what it writes, in order; empty: it only looks up the id
    covered_attempts: frozenset[int] = frozenset()  # attempts whose grants are in it
    final_response: FinalResponse | None = None
    releases: bool = False


@dataclass(slots=True, eq=False)
class JournaledRequest:
    """A request that this gateway owns. Times are ms on this gateway's clock."""

    request: Request
    request_id: str  # given by the client
    request_class: RequestClass
    tenant_name: str
    content: RequestContent
    digest: bytes
    sequence: int
    origin: Origin
    received_at_ms: float  # of an adopted request: a lower bound
    owner_count: int = 1
    record_version: int = 0  # 0: no record is known
    content_version: int = 0
    response_version: int = 0
    write_uncertain: bool = False  # a write with an unknown outcome may have been committed
    inherited_grants: tuple[AttemptGrant, ...] = ()  # attempts of earlier owners that may have been executed
    grants: dict[int, AttemptGrant] = field(default_factory=dict)  # of this owner, by the policy's number
    attempt_count: int = 0  # with those of earlier owners
    pending_sends: dict[int, PendingSend] = field(default_factory=dict)  # by the policy's number
    dispatched_attempts: list[int] = field(default_factory=list)  # the policy's numbers, in order of sending
    outstanding_attempts: set[int] = field(default_factory=set)  # the adapter's numbers
    pending_write: PendingWrite | None = None
    retry_at_ms: float = math.inf  # when to repeat a write with an unknown outcome
    final_response: FinalResponse | None = None
    superseded_response: FinalResponse | None = None  # replaced by `final_response`; it may be recorded yet
    hold_until_ms: float = math.inf  # the client gets the final response by then, recorded or not
    answered: bool = False  # the client has its final response, or the slot was ended
    has_client: bool = True
    record_stale: bool = False  # the last write was committed late: its remaining time is too long
    releasing: bool = False  # it is being released to other gateways
    relinquished: bool = False  # no longer owned: only outcomes of its attempts still matter

    @property
    def record_key(self) -> str:
        """The ledger key of its record."""
        return RECORD_PREFIX + self.request_id

    @property
    def needs_write(self) -> bool:
        """Whether something waits for a write."""
        return bool(
            self.pending_sends
            or self.final_response
            or self.releasing
            or self.record_stale
            or not self.record_version
        )

    @property
    def is_over(self) -> bool:
        """Whether the policy has nothing more to decide for it."""
        return self.relinquished or self.final_response is not None

    def failure(self) -> FinalResponse:
        """Return the final response of a failed request."""
        return FinalResponse(RequestState.FAILED, Fail(self.request.request))

    def supersede_final_response(self) -> None:
        """Make room for another final response; the first one may be recorded all the same."""
        if self.superseded_response is None:
            self.superseded_response = self.final_response
        self.final_response = None

    def final_response_for(self, state: RequestState) -> FinalResponse | None:
        """Return the final response with which the record got this state; None where it is not final."""
        for candidate in (self.final_response, self.superseded_response):
            if candidate is not None and candidate.state is state:
                return candidate
        return None

    # Attempts

    def add_grant(self, grant: AttemptGrant) -> int:
        """Add the grant of the attempt that the policy has just chosen; return the policy's number of it."""
        attempt = self.attempt_count - self.request.prior_attempt_count
        self.attempt_count += 1
        self.grants[attempt] = grant
        return attempt

    def begin_attempt(self, attempt: int) -> Send:
        """Note that an attempt is sent now; return the action that sends it."""
        self.outstanding_attempts.add(len(self.dispatched_attempts))
        self.dispatched_attempts.append(attempt)
        return self.pending_sends.pop(attempt).action

    def withdraw_attempt(self, attempt: int) -> Outcome:
        """Note that an attempt is never sent; return its outcome for the policy."""
        server = self.pending_sends.pop(attempt).action.server
        del self.grants[attempt]
        return Outcome(self.request.request, attempt, server, Result.NOT_SENT, 0.0, self.is_over)

    def end_attempt(self, outcome: Outcome) -> Outcome:
        """Note how a sent attempt has ended; return the outcome under the policy's number."""
        attempt = self.dispatched_attempts[outcome.attempt]
        self.outstanding_attempts.discard(outcome.attempt)
        if outcome.result in NOT_EXECUTED_RESULTS:
            self.grants.pop(attempt, None)
        complete = outcome.request_complete or self.is_over
        if attempt == outcome.attempt and complete == outcome.request_complete:
            return outcome
        return replace(outcome, attempt=attempt, request_complete=complete)

    def sent_number(self, attempt: int) -> int | None:
        """Return the adapter's number of an attempt; None if it was not sent."""
        if attempt not in self.dispatched_attempts:
            return None
        return self.dispatched_attempts.index(attempt)

    def policy_number(self, sent_number: int) -> int:
        """Return the policy's number of an attempt that the adapter names."""
        return self.dispatched_attempts[sent_number]
