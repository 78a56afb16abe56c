"""The journaled requests of this gateway, between the policy and the adapter.

- A `Send` is held until the record with its grant is committed. If the commit takes too long or conflicts, or
  if the lease has expired by then, the send is cancelled and the policy gets the result NOT_SENT.
- The final response is held until it is recorded. If a request is rejected before a record was written for
  it, the id is only looked up in the ledger, because another gateway may already know the id.
"""

from __future__ import annotations

import math
from dataclasses import replace

from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    EndpointUpdate,
    Fail,
    LedgerRecordIgnored,
    Outcome,
    Reject,
    ResponseStarted,
    Result,
    Send,
)
from meadowpulley.ledger import Record, Stage, TransactionOutcome, TransactionResult
from meadowpulley.takeover.client_answers import ClientAnswers
from meadowpulley.takeover.context import StageContext
from meadowpulley.takeover.duplicate_waiters import DuplicateWaiters
from meadowpulley.takeover.journal_table import JournalTable
from meadowpulley.takeover.journaled_request import (
    FinalResponse,
    JournaledRequest,
    PendingSend,
    PendingWrite,
)
from meadowpulley.takeover.latency_estimates import LatencyEstimates
from meadowpulley.takeover.messages import ResponseReady, deliver
from meadowpulley.takeover.record_writes import apply_commit, begin_write, reconcile
from meadowpulley.takeover.records import (
    STAGE_NAME,
    RecordError,
    RequestRecord,
    RequestState,
    decode_request_record,
)
from meadowpulley.takeover.response_cache import ResponseCache
from meadowpulley.takeover.server_locations import ServerLocations
from meadowpulley.takeover.transaction_builder import TransactionIntent, TransactionKind
from meadowpulley.takeover.wakeups import Wakeups


class RequestJournal:
    """Holds sends until their grants are committed, and final responses until they are recorded."""

    def __init__(
        self, context: StageContext, inner: Stage, waiters: DuplicateWaiters, response_cache: ResponseCache
    ) -> None:
        """Wrap `inner`, the next stage."""
        self.inner = inner
        self.incarnation = context.incarnation
        self.holds_lease = context.holds_lease
        self.settings = context.settings
        self.response_slack_ms = context.gateway_settings.rules.response_slack_ms
        self.builder = context.builder
        self.waiters = waiters
        self.wakeups = Wakeups()
        self.table = JournalTable()
        self.answers = ClientAnswers(context, self.table, waiters, response_cache, self.wakeups)
        self.latencies = LatencyEstimates()
        self.server_locations = ServerLocations()
        self.ledger_unavailable = False
        self.fenced = False

    @property
    def by_id(self) -> dict[str, JournaledRequest]:
        """The requests that this gateway owns, by request id."""
        return self.table.by_id

    @property
    def ledger_usable(self) -> bool:
        """Whether this gateway can commit to the ledger, as far as it knows."""
        return not (self.fenced or self.ledger_unavailable)

    def forward(self, event: object) -> None:
        """Pass an event to the next stage, and hold its decisions for journaled requests."""
        for action in self.inner.handle(self.builder.now, event):
            if not isinstance(action, Send | Cancel | Reject | Fail):
                self.builder.actions.append(action)
                continue
            entry = self.table.by_request.get(action.request)
            if entry is None:
                self.builder.actions.append(action)
            else:
                self._hold_action(entry, action)

    def _hold_action(self, entry: JournaledRequest, action: Send | Cancel | Reject | Fail) -> None:
        if isinstance(action, Send):
            self._hold_send(entry, action)
        elif isinstance(action, Cancel):
            sent_number = entry.sent_number(action.attempt)
            if sent_number is not None:
                self.builder.actions.append(replace(action, attempt=sent_number))
        elif not entry.relinquished:
            is_rejection = isinstance(action, Reject)
            state = RequestState.REJECTED if is_rejection else RequestState.FAILED
            self.finish(entry, FinalResponse(state, action))

    def on_endpoint_update(self, event: EndpointUpdate) -> None:
        """Store the locations of servers for use in grants, and forward the update."""
        self.server_locations.apply(event)
        self.forward(event)

    # New requests

    def start(self, entry: JournaledRequest) -> None:
        """Start a request that a client sent or that this gateway adopts."""
        known = self.table.by_id.get(entry.request_id)
        if known is not None:  # a duplicate arrived before this adoption
            self._lose_ownership(known)
        self.table.add(entry)
        self.forward(entry.request)
        self.flush(entry)

    def fail_if_unknown(self, entry: JournaledRequest) -> None:
        """Fail a request that may have been executed unjournaled, unless a record for its id is found."""
        self.table.add(entry)
        self.finish(entry, entry.failure())

    def _resolve_known_id(self, entry: JournaledRequest, found: Record) -> None:
        """Handle an existing record with the id of a new request."""
        record: RequestRecord | None = None
        try:
            record = decode_request_record(found.value)
        except RecordError as error:
            self.builder.actions.append(LedgerRecordIgnored(STAGE_NAME, found.key, str(error)))
        if record is None or record.digest != entry.digest:
            self.answers.answer_once(entry, Fail(entry.request.request))
            self._withdraw(entry)
        elif record.was_never_executed and entry.final_response is None:
            entry.record_version = found.version  # a client may repeat a request that was never executed
            self.flush(entry)
        else:
            self._lose_ownership(entry)
            self.waiters.resolve(self.builder, entry.request_id, record.state, found.version)

    # Attempts

    def _hold_send(self, entry: JournaledRequest, send: Send) -> None:
        """Hold an attempt until its grant is committed."""
        attempt = entry.add_grant(self.server_locations.grant_for(send.server))
        expires_at_ms = self.builder.now + self.settings.grant_timeout_ms
        entry.pending_sends[attempt] = PendingSend(send, expires_at_ms)
        self.wakeups.schedule(expires_at_ms, entry.request.request)
        self.flush(entry)

    def _may_send(self, entry: JournaledRequest) -> bool:
        """Return whether an attempt whose grant is committed may be sent.

        This is checked immediately before sending, so a gateway that was paused after the commit notices that
        its lease has expired.
        """
        now = self.builder.now
        if self.fenced or entry.is_over or now >= entry.request.deadline_ms:
            return False
        return self.holds_lease(now)

    def _cancel_pending_send(self, entry: JournaledRequest, attempt: int) -> None:
        """Report to the policy that an attempt was not sent, so that the policy decides again."""
        self.forward(entry.withdraw_attempt(attempt))

    def _cancel_pending_sends(self, entry: JournaledRequest) -> None:
        for attempt in list(entry.pending_sends):
            self._cancel_pending_send(entry, attempt)

    def on_outcome(self, outcome: Outcome) -> None:
        """Record the outcome of an attempt, and forward it with the policy's attempt number."""
        entry = self.table.by_request.get(outcome.request)
        if entry is None:
            self.forward(outcome)
            return
        if outcome.result is Result.OK:
            self.latencies.record(entry.request_class.name, outcome.elapsed_ms)
        self.forward(entry.end_attempt(outcome))
        self.table.forget_if_settled(entry)

    def on_response_started(self, event: ResponseStarted) -> None:
        """Forward the start of a response with the policy's attempt number."""
        entry = self.table.by_request.get(event.request)
        if entry is not None:
            event = replace(event, attempt=entry.policy_number(event.attempt))
        self.forward(event)

    # Final responses

    def on_response_ready(self, event: ResponseReady) -> None:
        """Hold an instance's successful response until it is recorded, if its request is journaled."""
        entry = self.table.by_request.get(event.request)
        if entry is None:
            self.builder.actions.append(deliver(event))
        elif not entry.relinquished:
            self.finish(entry, FinalResponse.served(event))

    def finish(self, entry: JournaledRequest, final_response: FinalResponse) -> None:
        """Set and record the final response of a request, unless it already has one."""
        if entry.final_response is not None:
            return
        entry.final_response = final_response
        entry.hold_until_ms = self._hold_until_ms(entry)
        self.wakeups.schedule(entry.hold_until_ms, entry.request.request)
        self._cancel_pending_sends(entry)
        self.flush(entry)

    def _hold_until_ms(self, entry: JournaledRequest) -> float:
        """Return the latest time until which a final response may be held.

        The client waits until its deadline plus `response_slack_ms`. Half of that slack is reserved for
        transmission to the client.
        """
        now = self.builder.now
        latest_ms = max(entry.request.deadline_ms + self.response_slack_ms / 2, now)
        return min(now + self.settings.response_hold_ms, latest_ms)

    def on_answered_as_failed(self, entry: JournaledRequest) -> None:
        """Finish a request that the adapter has already answered as failed after its deadline."""
        entry.answered = True
        entry.supersede_final_response()
        self.finish(entry, entry.failure())

    # Ownership

    def _withdraw(self, entry: JournaledRequest) -> None:
        """Relinquish a request, and tell the policy to stop by reporting the client as disconnected."""
        entry.relinquished = True
        self.forward(ClientDisconnected(entry.request.request))
        self._cancel_pending_sends(entry)
        self.table.relinquish(entry)

    def _lose_ownership(self, entry: JournaledRequest) -> None:
        """Stop processing a request that another gateway owns now; its client waits for that gateway."""
        self._withdraw(entry)
        self.answers.wait_for_new_owner(entry)

    def release(self, entry: JournaledRequest) -> None:
        """Release an unfinished request to the other gateways; its record keeps the grants."""
        if entry.final_response is not None or entry.releasing:
            return
        entry.releasing = True
        self.forward(ClientDisconnected(entry.request.request))
        self._cancel_pending_sends(entry)
        self.flush(entry)

    def fence(self) -> None:
        """Fail every request: other gateways own them now, and their outcomes cannot be known here."""
        if self.fenced:
            return
        self.fenced = True
        for entry in self.table.owned():
            self.answers.answer_once(entry, Fail(entry.request.request))
            self._withdraw(entry)
        self.waiters.fail_all(self.builder)

    # Writes

    def flush(self, entry: JournaledRequest) -> None:
        """Write the record if it is out of date and no write is in progress."""
        if not self.ledger_usable or entry.relinquished:
            return
        if entry.needs_write and entry.pending_write is None:
            entry.retry_at_ms = math.inf
            intent = TransactionIntent(TransactionKind.WRITE_RECORD, entry.request_id, entry.request.request)
            self.builder.add(begin_write(entry, self.builder.now), intent)

    def on_written(self, handle: int, result: TransactionResult) -> None:
        """Handle the result of the write that was in progress for this request."""
        entry = self.table.by_request.get(handle)
        if entry is None or entry.pending_write is None or entry.relinquished:
            return
        pending_write = entry.pending_write
        entry.pending_write = None
        if result.outcome is TransactionOutcome.UNKNOWN:
            entry.write_uncertain = True
            entry.retry_at_ms = self.builder.now + self.settings.retry_delay_ms
            self.wakeups.schedule(entry.retry_at_ms, handle)
        elif result.outcome is TransactionOutcome.COMMITTED:
            apply_commit(entry, pending_write, result.version)
            self._on_committed(entry, pending_write)
        else:
            self._on_conflict(entry, result.existing)

    def _on_committed(self, entry: JournaledRequest, pending_write: PendingWrite) -> None:
        granted_attempts = pending_write.covered_attempts & entry.pending_sends.keys()
        for attempt in sorted(granted_attempts):
            if self._may_send(entry):
                self.builder.actions.append(entry.begin_attempt(attempt))
            else:
                self._cancel_pending_send(entry, attempt)
        if pending_write.releases:
            self._lose_ownership(entry)
        elif pending_write.final_response is not None:
            self.answers.complete(entry, pending_write.final_response)
        else:
            age_ms = self.builder.now - pending_write.created_at_ms
            entry.record_stale = age_ms > self.settings.grant_timeout_ms
            self.flush(entry)

    def _on_conflict(self, entry: JournaledRequest, existing: Record | None) -> None:
        """Handle a conflicting record; it may come from an own write whose outcome was unknown."""
        if existing is None or existing.key != entry.record_key:
            self._lose_ownership(entry)
            return
        state = None
        if entry.write_uncertain and existing.writer == self.incarnation:
            state = reconcile(entry, existing)
        if state is not None:
            self._on_reconciled(entry, state)
        elif not entry.record_version:
            self._resolve_known_id(entry, existing)
        else:
            self._lose_ownership(entry)

    def _on_reconciled(self, entry: JournaledRequest, state: RequestState) -> None:
        final_response = entry.final_response_for(state)
        if final_response is not None:
            self.answers.complete(entry, final_response)
        else:
            self.flush(entry)

    # Wakeups

    def check_due_requests(self) -> None:
        """Check all requests whose wakeup time has come."""
        now = self.builder.now
        handle = self.wakeups.pop_due(now)
        while handle is not None:
            entry = self.table.by_request.get(handle)
            if entry is None or entry.relinquished:
                self.waiters.fail_overdue(self.builder, handle)
            else:
                self._check_due(entry)
            handle = self.wakeups.pop_due(now)

    def _check_due(self, entry: JournaledRequest) -> None:
        """Cancel expired sends, answer an overdue client, and repeat a write, as far as each is due."""
        now = self.builder.now
        late = [attempt for attempt, pending in entry.pending_sends.items() if pending.expires_at_ms <= now]
        for attempt in late:
            self._cancel_pending_send(entry, attempt)
        if entry.hold_until_ms <= now and not entry.answered:
            self.answers.answer_overdue(entry)
        if entry.retry_at_ms <= now:
            self.flush(entry)
