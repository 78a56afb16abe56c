"""The written requests in this gateway's hands, between the decisions and the adapter.

- A `Send` is held until the record that names its server and build is won, and dropped as MOOT when that
  takes too long, is lost, or the lease has run out by then.
- The final answer is held until it is recorded. What is refused before anything of it was written is only
  looked up: its id may be known by others.
- The adapter counts the attempts it was told to send, the decisions all that they chose: numbers are
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
    LogLine,
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
from meadowpulley.takeover import model as m
from meadowpulley.takeover.duplicate_waiters import CachedResponse, DuplicateWaiters, ResponseCache
from meadowpulley.takeover.journaled_request import FinalResponse, JournaledRequest, PendingSend, PendingWrite
from meadowpulley.takeover.model import RequestState
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

NOT_EXECUTED_RESULTS = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
LATENCY_EWMA_WEIGHT = 0.1  # weight of the newest


class RequestJournal:
    """`inner` is the next stage; `may_act(now)` whether this life's lease holds."""

    def __init__(
        self,
        gateway_settings: Settings,
        inner: Stage,
        incarnation: Incarnation,
        holds_lease: Callable[[float], bool],
        settings: m.TakeoverSettings,
        builder: TransactionBuilder,
        waiters: DuplicateWaiters,
        response_cache: ResponseCache,
    ) -> None:
        self.inner, self.incarnation, self.holds_lease, self.settings = (
            inner,
            incarnation,
            holds_lease,
            settings,
        )
        self.response_slack_ms = gateway_settings.rules.response_slack_ms
        self.builder, self.waiters, self.response_cache = builder, waiters, response_cache
        self.by_request: dict[int, JournaledRequest] = {}  # until the last outcome of their attempts
        self.by_id: dict[str, JournaledRequest] = {}  # those that are this gateway's to end
        self.servers: dict[int, ServerEntry] = {}
        self.typical_latency_ms: dict[str, float] = {}  # of good attempts, by class
        self.wakeups: list[tuple[float, int]] = []  # when to look at a request; one that is over is passed by
        self.ledger_unavailable = self.fenced = False  # the ledger does not answer; this life was sealed

    def forward(self, event: Any) -> None:
        """To the next stage; what it decides for requests that are not written passes as it is."""
        for action in self.inner.handle(self.builder.now, event):
            concerns_request = isinstance(action, Send | Cancel | Reject | Fail)
            entry = self.by_request.get(action.request) if concerns_request else None
            if entry is None:
                self.builder.actions.append(action)
            elif isinstance(action, Send):
                self._hold_send(entry, action)
            elif isinstance(action, Cancel):
                if action.attempt in entry.dispatched_attempts:
                    self.builder.actions.append(
                        replace(action, attempt=entry.dispatched_attempts.index(action.attempt))
                    )
            elif not entry.relinquished:
                state = RequestState.REJECTED if isinstance(action, Reject) else RequestState.FAILED
                self.finish(entry, FinalResponse(state, action))

    def start(self, entry: JournaledRequest) -> None:
        if entry.request_id in self.by_id:  # an ask for what this gateway has just taken over
            self._lose_ownership(self.by_id[entry.request_id])
        self.by_request[entry.request.request] = self.by_id[entry.request_id] = entry
        self.forward(entry.request)
        self.flush(entry)

    def fail_if_unknown(self, entry: JournaledRequest) -> None:
        """Only looked up: a record of its id answers it; where there is none it may have run unwritten."""
        self.by_request[entry.request.request] = self.by_id[entry.request_id] = entry
        self.finish(entry, FinalResponse(RequestState.FAILED, Fail(entry.request.request)))

    def _resolve_known_id(self, entry: JournaledRequest, found: Record) -> None:
        """The id of a request just taken has a record already: another gateway's, or of an earlier ask."""
        record: m.RequestRecord | None = None
        try:
            record = m.decode_request_record(found.value)
        except m.RecordError as error:
            self.builder.actions.append(LogLine(f"takeover: record {found.key!r} left alone: {error}"))
        if record is None or record.digest != entry.digest:
            self._answer_once(entry, Fail(entry.request.request))
            self._withdraw(entry)
        elif record.state is RequestState.REJECTED and not record.grants and entry.final_response is None:
            entry.record_version = found.version  # it never ran, and may be asked anew
            self.flush(entry)
        else:
            self._lose_ownership(entry)
            self.waiters.resolve(self.builder, entry.request_id, record.state, found.version)

    # Attempts

    def _hold_send(self, entry: JournaledRequest, send: Send) -> None:
        # The decisions number the attempts of each life from 0.
        attempt, server = (
            entry.attempt_count - entry.request.prior_attempt_count,
            self.servers.get(send.server),
        )
        location = (server.build, server.zone, server.cell) if server is not None else (0, 0, 0)
        entry.attempt_count += 1
        entry.grants[attempt] = m.AttemptGrant(send.server, *location)
        entry.pending_sends[attempt] = PendingSend(send, self.builder.now + self.settings.grant_timeout_ms)
        self._wake_at(entry.pending_sends[attempt].expires_at_ms, entry)
        self.flush(entry)

    def _dispatch(self, entry: JournaledRequest, attempt: int) -> None:
        """The right is won; one that was stopped since then finds out here, at the last moment."""
        now, deadline_ms = self.builder.now, entry.request.deadline_ms
        if (
            self.fenced
            or entry.final_response is not None
            or entry.relinquished
            or now >= deadline_ms
            or not self.holds_lease(now)
        ):
            self._cancel_pending_send(entry, attempt)
        else:
            entry.outstanding_attempts.add(len(entry.dispatched_attempts))
            entry.dispatched_attempts.append(attempt)
            self.builder.actions.append(entry.pending_sends.pop(attempt).action)

    def _cancel_pending_send(self, entry: JournaledRequest, attempt: int) -> None:
        """That attempt never goes out; the decisions choose anew."""
        server = entry.pending_sends.pop(attempt).action.server
        del entry.grants[attempt]
        finished = entry.relinquished or entry.final_response is not None
        self.forward(Outcome(entry.request.request, attempt, server, Result.NOT_SENT, 0.0, finished))

    def on_outcome(self, outcome: Outcome) -> None:
        entry = self.by_request.get(outcome.request)
        if entry is None:
            self.forward(outcome)
            return
        attempt = entry.dispatched_attempts[outcome.attempt]
        entry.outstanding_attempts.discard(outcome.attempt)
        if outcome.result is Result.OK:
            previous_ms = self.typical_latency_ms.setdefault(entry.request_class.name, outcome.elapsed_ms)
            self.typical_latency_ms[entry.request_class.name] += LATENCY_EWMA_WEIGHT * (
                outcome.elapsed_ms - previous_ms
            )
        if outcome.result in NOT_EXECUTED_RESULTS:
            entry.grants.pop(attempt, None)
        finished = outcome.request_complete or entry.final_response is not None or entry.relinquished
        self.forward(
            outcome
            if (attempt, finished) == (outcome.attempt, outcome.request_complete)
            else replace(outcome, attempt=attempt, request_complete=finished)
        )
        self._forget_if_settled(entry)

    def on_response_started(self, event: ResponseStarted) -> None:
        entry = self.by_request.get(event.request)
        self.forward(
            event if entry is None else replace(event, attempt=entry.dispatched_attempts[event.attempt])
        )

    # Answers

    def on_response_ready(self, event: m.ResponseReady) -> None:
        entry = self.by_request.get(event.request)
        if entry is None:
            self.builder.actions.append(m.Deliver(event.request, event.status, event.headers, event.body))
        elif not entry.relinquished:
            cacheable = (
                len(event.body) <= m.MAX_BODY_BYTES
            )  # a longer one is recorded as served, and not kept
            response = (
                m.RecordedResponse(m.RECORD_FORMAT, event.status, event.headers, event.body)
                if cacheable
                else None
            )
            self.finish(
                entry,
                FinalResponse(
                    RequestState.SERVED,
                    m.Deliver(event.request, event.status, event.headers, event.body),
                    response,
                ),
            )

    def finish(self, entry: JournaledRequest, final_response: FinalResponse) -> None:
        if entry.final_response is None:
            entry.final_response = final_response
            latest_ms = entry.request.deadline_ms + self.response_slack_ms / 2
            entry.hold_until_ms = min(
                self.builder.now + self.settings.response_hold_ms, max(latest_ms, self.builder.now)
            )
            self._wake_at(entry.hold_until_ms, entry)
            for attempt in list(entry.pending_sends):
                self._cancel_pending_send(entry, attempt)
            self.flush(entry)

    def _on_hold_expired(self, entry: JournaledRequest) -> None:
        """The answer is not known to be recorded, and its client can wait no longer. While the lease holds
        nobody else can have ended this work, unless it was given away, and what was served is told. That it
        never ran is not: whoever finds its record may yet run it."""
        final_response, authoritative = (
            entry.final_response,
            self.holds_lease(self.builder.now) and not entry.releasing,
        )
        if final_response is not None and (
            final_response.state is RequestState.REJECTED or not authoritative
        ):
            entry.superseded_response = entry.superseded_response or final_response
            entry.final_response = FinalResponse(RequestState.FAILED, Fail(entry.request.request))
        self._send_final_response(entry)

    def _send_final_response(self, entry: JournaledRequest) -> None:
        final_response = entry.final_response
        assert final_response is not None
        self._answer_once(entry, final_response.action)

    def answer_waiters(self, entry: JournaledRequest) -> None:
        """To asks that come while what the client was told is still to be recorded; where another end of it
        may be recorded they wait for the record."""
        certain = entry.answered and entry.superseded_response is None and self.holds_lease(self.builder.now)
        if certain and entry.final_response is not None:
            self.waiters.answer_all(
                self.builder, entry.request_id, entry.final_response.state, entry.final_response.response
            )

    def _answer_once(self, entry: JournaledRequest, action: Any) -> None:
        """The one final answer of its own client, or the end of its slot."""
        if not entry.answered:
            entry.answered = True
            self.builder.actions.append(action)

    def _on_recorded(self, entry: JournaledRequest, final_response: FinalResponse) -> None:
        """This final answer is in the ledger, or stands without one: whoever waits gets it. It is left as it
        is, also where the own client was told another since: asks that came first have heard it."""
        self._send_final_response(entry)
        self._relinquish(entry)
        self.waiters.answer_all(self.builder, entry.request_id, final_response.state, final_response.response)
        if entry.record_version:
            size = len(final_response.response.body) if final_response.response is not None else 0
            expires_at_ms = self.builder.now + self.settings.response_retention_ms
            self.response_cache.add(
                self.builder,
                CachedResponse(
                    entry.request_id, expires_at_ms, entry.record_version, entry.response_version, 0, size
                ),
            )

    def _relinquish(self, entry: JournaledRequest) -> None:
        entry.relinquished = True
        if self.by_id.get(entry.request_id) is entry:
            del self.by_id[entry.request_id]
        self._forget_if_settled(entry)

    def _forget_if_settled(self, entry: JournaledRequest) -> None:
        if entry.relinquished and not entry.outstanding_attempts and not entry.pending_sends:
            self.by_request.pop(entry.request.request, None)

    def _withdraw(self, entry: JournaledRequest) -> None:
        """The decisions have nothing more to do with it."""
        entry.relinquished = True
        self.forward(ClientDisconnected(entry.request.request))
        for attempt in list(entry.pending_sends):
            self._cancel_pending_send(entry, attempt)
        self._relinquish(entry)

    def _lose_ownership(self, entry: JournaledRequest) -> None:
        """Another's now: its client is answered as one that asked again."""
        self._withdraw(entry)
        if not entry.answered and entry.has_client and not entry.request.adopted:
            self.add_waiter(entry.request_id, entry.request)
        else:
            self._answer_once(entry, m.Discard(entry.request.request))

    # Records

    def flush(self, entry: JournaledRequest) -> None:
        """Writes what is not written, one write at a time."""
        if (
            entry.needs_write
            and entry.pending_write is None
            and not (entry.relinquished or self.ledger_unavailable or self.fenced)
        ):
            entry.retry_at_ms = math.inf
            self.builder.add(
                entry.begin_write(self.builder.now),
                TransactionIntent(TransactionKind.WRITE_RECORD, entry.request_id, entry.request.request),
            )

    def on_written(self, entry: JournaledRequest | None, result: TransactionResult) -> None:
        if entry is None or entry.pending_write is None or entry.relinquished:
            return
        pending_write, entry.pending_write = entry.pending_write, None
        if result.outcome is TransactionOutcome.UNKNOWN:
            entry.write_uncertain, entry.retry_at_ms = True, self.builder.now + self.settings.retry_delay_ms
            self._wake_at(entry.retry_at_ms, entry)
        elif result.outcome is TransactionOutcome.COMMITTED:
            entry.apply_commit(pending_write, result.version)
            self._on_committed(entry, pending_write)
        elif result.existing is None or result.existing.key != entry.record_key:
            self._lose_ownership(entry)
        elif (
            entry.write_uncertain
            and result.existing.writer == self.incarnation
            and (state := entry.reconcile(result.existing)) is not None
        ):
            if (final_response := entry.final_response_for(state)) is not None:
                self._on_recorded(entry, final_response)
            else:
                self.flush(entry)
        elif not entry.record_version:
            self._resolve_known_id(entry, result.existing)
        else:
            self._lose_ownership(entry)

    def _on_committed(self, entry: JournaledRequest, pending_write: PendingWrite) -> None:
        for attempt in sorted(pending_write.covered_attempts & entry.pending_sends.keys()):
            self._dispatch(entry, attempt)
        if pending_write.releases:
            self._lose_ownership(entry)
        elif pending_write.final_response is not None:
            self._on_recorded(entry, pending_write.final_response)
        else:
            entry.record_stale = (
                self.builder.now - pending_write.created_at_ms > self.settings.grant_timeout_ms
            )
            self.flush(entry)

    # Ends

    def release(self, entry: JournaledRequest) -> None:
        """To the others, with what is proven of it."""
        if entry.final_response is None and not entry.releasing:
            entry.releasing = True
            self.forward(ClientDisconnected(entry.request.request))
            for attempt in list(entry.pending_sends):
                self._cancel_pending_send(entry, attempt)
            self.flush(entry)

    def fence(self) -> None:
        """Others have the written work now, and what they do with it can't be known here."""
        if not self.fenced:
            self.fenced = True
            for entry in list(self.by_id.values()):
                self._answer_once(entry, Fail(entry.request.request))
                self._withdraw(entry)
            self.waiters.fail_all(self.builder)

    # Time

    def _wake_at(self, wake_at_ms: float, entry: JournaledRequest) -> None:
        heapq.heappush(self.wakeups, (wake_at_ms, entry.request.request))

    def add_waiter(self, request_id: str, request: Request) -> None:
        self.waiters.add(request_id, request.request, request.deadline_ms)
        heapq.heappush(self.wakeups, (request.deadline_ms, request.request))

    def check_due(self, request: int) -> None:
        entry, now = self.by_request.get(request), self.builder.now
        if entry is None or entry.relinquished:
            self.waiters.fail_overdue(self.builder, request)
            return
        for n in [n for n, wait in entry.pending_sends.items() if wait.expires_at_ms <= now]:
            self._cancel_pending_send(entry, n)
        if entry.hold_until_ms <= now and not entry.answered:
            self._on_hold_expired(entry)
        if entry.retry_at_ms <= now:
            self.flush(entry)
