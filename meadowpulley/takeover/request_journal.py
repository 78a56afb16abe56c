"""The journaled requests of this gateway, between the policy and the adapter.

- A `Send` is held until the record with its grant is committed. It is cancelled, with the result NOT_SENT
  for the policy, when that takes too long or conflicts, or when the lease has expired by then.
- The final response is held until it is recorded. For a request that is rejected before anything of it was
  written, the id is only looked up: other gateways may know it.
- The adapter numbers the attempts that it was told to send, the policy all that it chose: the numbers are
  translated here.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    Fail,
    LedgerRecordIgnored,
    Outcome,
    Reject,
    Request,
    ResponseStarted,
    Result,
    Send,
    ServerEntry,
    Settings,
)
from meadowpulley.ledger import Incarnation, Record, Stage, TransactionOutcome, TransactionResult
from meadowpulley.takeover.duplicate_waiters import DuplicateWaiters
from meadowpulley.takeover.journaled_request import (
    FinalResponse,
    JournaledRequest,
    PendingSend,
    PendingWrite,
)
from meadowpulley.takeover.messages import Discard, ResponseReady, deliver
from meadowpulley.takeover.records import (
    STAGE_NAME,
    AttemptGrant,
    RecordError,
    RequestRecord,
    RequestState,
    decode_request_record,
)
from meadowpulley.takeover.response_cache import ResponseCache
from meadowpulley.takeover.settings import TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

NOT_EXECUTED_RESULTS = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
LATENCY_EWMA_WEIGHT = 0.1  # of the newest attempt


class RequestJournal:
    """Holds sends until they are granted, and final responses until they are recorded.

    `inner` is the next stage; `holds_lease(now)` tells whether the lease of this incarnation holds.
    """

    def __init__(
        self,
        gateway_settings: Settings,
        inner: Stage,
        incarnation: Incarnation,
        holds_lease: Callable[[float], bool],
        settings: TakeoverSettings,
        builder: TransactionBuilder,
        waiters: DuplicateWaiters,
        response_cache: ResponseCache,
    ) -> None:
        self.inner, self.incarnation = inner, incarnation
        self.holds_lease, self.settings = holds_lease, settings
        self.response_slack_ms = gateway_settings.rules.response_slack_ms
        self.builder, self.waiters, self.response_cache = builder, waiters, response_cache
        # By handle, until the last outcome of their attempts.
        self.by_request: dict[int, JournaledRequest] = {}
        self.by_id: dict[str, JournaledRequest] = {}  # those that this gateway owns
        self.servers: dict[int, ServerEntry] = {}
        self.typical_latency_ms: dict[str, float] = {}  # EWMA over good attempts, by class
        self.wakeups: list[tuple[float, int]] = []  # a heap: when to check a request; it may be over by then
        self.ledger_unavailable = False
        self.fenced = False

    def forward(self, event: Any) -> None:
        """Pass an event to the next stage, and hold what it decides for journaled requests."""
        for action in self.inner.handle(self.builder.now, event):
            concerns_request = isinstance(action, Send | Cancel | Reject | Fail)
            entry = self.by_request.get(action.request) if concerns_request else None
            if entry is None:
                self.builder.actions.append(action)
            elif isinstance(action, Send):
                self._hold_send(entry, action)
            elif isinstance(action, Cancel):
                self._translate_cancel(entry, action)
            elif not entry.relinquished:
                rejected = isinstance(action, Reject)
                state = RequestState.REJECTED if rejected else RequestState.FAILED
                self.finish(entry, FinalResponse(state, action))

    def start(self, entry: JournaledRequest) -> None:
        """Begin a request that a client sent or that this gateway adopts."""
        known = self.by_id.get(entry.request_id)
        if known is not None:  # a duplicate of the request that is adopted now came first
            self._lose_ownership(known)
        self._add(entry)
        self.forward(entry.request)
        self.flush(entry)

    def fail_if_unknown(self, entry: JournaledRequest) -> None:
        """Fail a request unless a record answers it: it may have been executed unjournaled."""
        self._add(entry)
        self.finish(entry, entry.failure())

    def _add(self, entry: JournaledRequest) -> None:
        self.by_request[entry.request.request] = self.by_id[entry.request_id] = entry

    def _resolve_known_id(self, entry: JournaledRequest, found: Record) -> None:
        """Act on the record that the id of a new request has already."""
        record: RequestRecord | None = None
        try:
            record = decode_request_record(found.value)
        except RecordError as error:
            self.builder.actions.append(LedgerRecordIgnored(STAGE_NAME, found.key, str(error)))
        if record is None or record.digest != entry.digest:
            self._answer_once(entry, Fail(entry.request.request))
            self._withdraw(entry)
        elif record.state is RequestState.REJECTED and not record.grants and entry.final_response is None:
            entry.record_version = found.version  # it was never executed, and may be sent again
            self.flush(entry)
        else:
            self._lose_ownership(entry)
            self.waiters.resolve(self.builder, entry.request_id, record.state, found.version)

    # Attempts

    def _hold_send(self, entry: JournaledRequest, send: Send) -> None:
        # The policy numbers the attempts of each owner from 0.
        attempt = entry.attempt_count - entry.request.prior_attempt_count
        server = self.servers.get(send.server)
        location = (server.build, server.zone, server.cell) if server is not None else (0, 0, 0)
        entry.attempt_count += 1
        entry.grants[attempt] = AttemptGrant(send.server, *location)
        entry.pending_sends[attempt] = PendingSend(send, self.builder.now + self.settings.grant_timeout_ms)
        self._wake_at(entry.pending_sends[attempt].expires_at_ms, entry)
        self.flush(entry)

    def _translate_cancel(self, entry: JournaledRequest, cancel: Cancel) -> None:
        if cancel.attempt in entry.dispatched_attempts:
            sent_index = entry.dispatched_attempts.index(cancel.attempt)
            self.builder.actions.append(replace(cancel, attempt=sent_index))

    def _dispatch(self, entry: JournaledRequest, attempt: int) -> None:
        """Send an attempt whose grant is committed.

        A gateway that was paused since then finds out here, at the last moment.
        """
        now, deadline_ms = self.builder.now, entry.request.deadline_ms
        if self.fenced or entry.is_over or now >= deadline_ms or not self.holds_lease(now):
            self._cancel_pending_send(entry, attempt)
            return
        entry.outstanding_attempts.add(len(entry.dispatched_attempts))
        entry.dispatched_attempts.append(attempt)
        self.builder.actions.append(entry.pending_sends.pop(attempt).action)

    def _cancel_pending_send(self, entry: JournaledRequest, attempt: int) -> None:
        """Tell the policy that this attempt is never sent; it chooses anew."""
        server = entry.pending_sends.pop(attempt).action.server
        del entry.grants[attempt]
        self.forward(Outcome(entry.request.request, attempt, server, Result.NOT_SENT, 0.0, entry.is_over))

    def _cancel_pending_sends(self, entry: JournaledRequest) -> None:
        for attempt in list(entry.pending_sends):
            self._cancel_pending_send(entry, attempt)

    def on_outcome(self, outcome: Outcome) -> None:
        """Note the outcome of an attempt, and forward it under the policy's number."""
        entry = self.by_request.get(outcome.request)
        if entry is None:
            self.forward(outcome)
            return
        attempt = entry.dispatched_attempts[outcome.attempt]
        entry.outstanding_attempts.discard(outcome.attempt)
        if outcome.result is Result.OK:
            self._record_latency(entry.request_class.name, outcome.elapsed_ms)
        if outcome.result in NOT_EXECUTED_RESULTS:
            entry.grants.pop(attempt, None)
        finished = outcome.request_complete or entry.is_over
        if (attempt, finished) != (outcome.attempt, outcome.request_complete):
            outcome = replace(outcome, attempt=attempt, request_complete=finished)
        self.forward(outcome)
        self._forget_if_settled(entry)

    def _record_latency(self, class_name: str, elapsed_ms: float) -> None:
        previous_ms = self.typical_latency_ms.setdefault(class_name, elapsed_ms)
        self.typical_latency_ms[class_name] += LATENCY_EWMA_WEIGHT * (elapsed_ms - previous_ms)

    def on_response_started(self, event: ResponseStarted) -> None:
        """Forward the start of a response under the policy's number of the attempt."""
        entry = self.by_request.get(event.request)
        if entry is not None:
            event = replace(event, attempt=entry.dispatched_attempts[event.attempt])
        self.forward(event)

    # Final responses

    def on_response_ready(self, event: ResponseReady) -> None:
        """Hold an instance's good response until it is recorded, if its request is journaled."""
        entry = self.by_request.get(event.request)
        if entry is None:
            self.builder.actions.append(deliver(event))
        elif not entry.relinquished:
            self.finish(entry, FinalResponse.served(event))

    def finish(self, entry: JournaledRequest, final_response: FinalResponse) -> None:
        """Set the final response of a request unless it has one, and write it down."""
        if entry.final_response is None:
            entry.final_response = final_response
            now = self.builder.now
            latest_ms = entry.request.deadline_ms + self.response_slack_ms / 2
            entry.hold_until_ms = min(now + self.settings.response_hold_ms, max(latest_ms, now))
            self._wake_at(entry.hold_until_ms, entry)
            self._cancel_pending_sends(entry)
            self.flush(entry)

    def _on_hold_expired(self, entry: JournaledRequest) -> None:
        """Answer a client that can wait no longer, though the final response is not known to be recorded.

        While the lease holds, nobody else can have finished the request unless it was released, and a served
        response is delivered. A rejection is not: whoever finds the record may yet execute the request.
        """
        final_response = entry.final_response
        authoritative = self.holds_lease(self.builder.now) and not entry.releasing
        rejected = final_response is not None and final_response.state is RequestState.REJECTED
        if final_response is not None and (rejected or not authoritative):
            entry.supersede_final_response()
            entry.final_response = entry.failure()
        self._send_final_response(entry)

    def on_answered_as_failed(self, entry: JournaledRequest) -> None:
        """Finish a request that the adapter has answered as failed, past its deadline."""
        entry.answered = True
        entry.supersede_final_response()
        self.finish(entry, entry.failure())

    def _send_final_response(self, entry: JournaledRequest) -> None:
        assert entry.final_response is not None
        self._answer_once(entry, entry.final_response.action)

    def answer_waiters(self, entry: JournaledRequest) -> None:
        """Answer duplicates before the record, with the response of the client, where it is sure to stand."""
        certain = entry.answered and entry.superseded_response is None and self.holds_lease(self.builder.now)
        final = entry.final_response
        if certain and final is not None:
            self.waiters.answer_all(self.builder, entry.request_id, final.state, final.response)

    def _answer_once(self, entry: JournaledRequest, action: Any) -> None:
        """Give the request's own client its final response, or end its slot, once."""
        if not entry.answered:
            entry.answered = True
            self.builder.actions.append(action)

    def _on_recorded(self, entry: JournaledRequest, final_response: FinalResponse) -> None:
        """Answer everyone who waits: this final response is in the ledger, or needs no record.

        The record stays as it is, even where the own client got another response since: duplicates may have
        got this one.
        """
        self._send_final_response(entry)
        self._relinquish(entry)
        self.waiters.answer_all(self.builder, entry.request_id, final_response.state, final_response.response)
        self.response_cache.add_finished(self.builder, entry, final_response)

    # Ownership

    def _relinquish(self, entry: JournaledRequest) -> None:
        entry.relinquished = True
        if self.by_id.get(entry.request_id) is entry:
            del self.by_id[entry.request_id]
        self._forget_if_settled(entry)

    def _forget_if_settled(self, entry: JournaledRequest) -> None:
        if entry.relinquished and not entry.outstanding_attempts and not entry.pending_sends:
            self.by_request.pop(entry.request.request, None)

    def _withdraw(self, entry: JournaledRequest) -> None:
        """Tell the policy that it has nothing more to do with a request."""
        entry.relinquished = True
        self.forward(ClientDisconnected(entry.request.request))
        self._cancel_pending_sends(entry)
        self._relinquish(entry)

    def _lose_ownership(self, entry: JournaledRequest) -> None:
        """Leave a request to its new owner: its client waits like that of a duplicate."""
        self._withdraw(entry)
        if not entry.answered and entry.has_client and not entry.request.adopted:
            self.add_waiter(entry.request_id, entry.request)
        else:
            self._answer_once(entry, Discard(entry.request.request))

    def release(self, entry: JournaledRequest) -> None:
        """Release a request to the other gateways, with what its record proves."""
        if entry.final_response is None and not entry.releasing:
            entry.releasing = True
            self.forward(ClientDisconnected(entry.request.request))
            self._cancel_pending_sends(entry)
            self.flush(entry)

    def fence(self) -> None:
        """Fail every request: other gateways own them now, and how they end cannot be known here."""
        if not self.fenced:
            self.fenced = True
            for entry in list(self.by_id.values()):
                self._answer_once(entry, Fail(entry.request.request))
                self._withdraw(entry)
            self.waiters.fail_all(self.builder)

    # Writes

    def flush(self, entry: JournaledRequest) -> None:
        """Write what the record lacks, one write at a time."""
        if self.fenced or self.ledger_unavailable or entry.relinquished:
            return
        if entry.needs_write and entry.pending_write is None:
            entry.retry_at_ms = math.inf
            intent = TransactionIntent(TransactionKind.WRITE_RECORD, entry.request_id, entry.request.request)
            self.builder.add(entry.begin_write(self.builder.now), intent)

    def on_written(self, entry: JournaledRequest | None, result: TransactionResult) -> None:
        """Act on the result of the write that was under way."""
        if entry is None or entry.pending_write is None or entry.relinquished:
            return
        pending_write, entry.pending_write = entry.pending_write, None
        if result.outcome is TransactionOutcome.UNKNOWN:
            entry.write_uncertain = True
            entry.retry_at_ms = self.builder.now + self.settings.retry_delay_ms
            self._wake_at(entry.retry_at_ms, entry)
        elif result.outcome is TransactionOutcome.COMMITTED:
            entry.apply_commit(pending_write, result.version)
            self._on_committed(entry, pending_write)
        else:
            self._on_conflict(entry, result.existing)

    def _on_committed(self, entry: JournaledRequest, pending_write: PendingWrite) -> None:
        for attempt in sorted(pending_write.covered_attempts & entry.pending_sends.keys()):
            self._dispatch(entry, attempt)
        if pending_write.releases:
            self._lose_ownership(entry)
        elif pending_write.final_response is not None:
            self._on_recorded(entry, pending_write.final_response)
        else:
            age_ms = self.builder.now - pending_write.created_at_ms
            entry.record_stale = age_ms > self.settings.grant_timeout_ms
            self.flush(entry)

    def _on_conflict(self, entry: JournaledRequest, existing: Record | None) -> None:
        """Find out whose record is in the way: an own write with an unknown outcome may have left it."""
        if existing is None or existing.key != entry.record_key:
            self._lose_ownership(entry)
            return
        state = None
        if entry.write_uncertain and existing.writer == self.incarnation:
            state = entry.reconcile(existing)
        if state is not None:
            final_response = entry.final_response_for(state)
            if final_response is not None:
                self._on_recorded(entry, final_response)
            else:
                self.flush(entry)
        elif not entry.record_version:
            self._resolve_known_id(entry, existing)
        else:
            self._lose_ownership(entry)

    # Time

    def _wake_at(self, wake_at_ms: float, entry: JournaledRequest) -> None:
        heapq.heappush(self.wakeups, (wake_at_ms, entry.request.request))

    def add_waiter(self, request_id: str, request: Request) -> None:
        """Let a duplicate wait for the original, until its own deadline."""
        self.waiters.add(request_id, request.request, request.deadline_ms)
        heapq.heappush(self.wakeups, (request.deadline_ms, request.request))

    def check_due(self, handle: int) -> None:
        """Do what is due for a request: cancel late sends, stop holding a response, repeat a write."""
        entry, now = self.by_request.get(handle), self.builder.now
        if entry is None or entry.relinquished:
            self.waiters.fail_overdue(self.builder, handle)
            return
        late = [number for number, pending in entry.pending_sends.items() if pending.expires_at_ms <= now]
        for attempt in late:
            self._cancel_pending_send(entry, attempt)
        if entry.hold_until_ms <= now and not entry.answered:
            self._on_hold_expired(entry)
        if entry.retry_at_ms <= now:
            self.flush(entry)
