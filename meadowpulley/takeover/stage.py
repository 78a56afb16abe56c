"""The stage before the decisions that writes work in hand down, and takes over that of lost gateways.

`handle(now, event) -> actions`, wrapped round the next stage; all times on its gateway's own clock.

Told: the decisions' events, with `Taken` in place of `i.Request`; `AnswerReady` before each good answer is
passed on; `ClientGone`, `Placed`, `Stopping`; of the ledger `Committed`, `Changed` (under `WATCHED`),
`Suspected`, `Ended`, `LedgerLost`, `LedgerBack`. Asks for: the decisions' actions, `Pass`, `Drop`, `Adopt`,
and one `Commit` a turn (of `OWNER`). The keeper stands before this stage: it seals lost lives.

Every `Send`, `Refuse` and `Fail` was decided by the decisions; for written requests `hands.py` holds it until
the ledger has what it rests on. An ask for an id that is known is not told to them: it gets that work's
answer.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

from meadowpulley.interface import (
    ClientDisconnected,
    Effect,
    EndpointUpdate,
    EndpointUpdateKind,
    Fail,
    LogLine,
    Outcome,
    Request,
    ResponseStarted,
    ServerState,
    SetTimer,
    Settings,
    Timer,
)
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    Fenced,
    Incarnation,
    LeaseExpired,
    LedgerChanged,
    LedgerRecovered,
    LedgerUnavailable,
    Stage,
    TransactionOutcome,
)
from meadowpulley.takeover import adoption, model as m
from meadowpulley.takeover.duplicate_waiters import DuplicateWaiters, ResponseCache
from meadowpulley.takeover.journaled_request import FinalResponse, JournaledRequest
from meadowpulley.takeover.ledger_view import LedgerView
from meadowpulley.takeover.model import RequestState
from meadowpulley.takeover.orphan_claims import OrphanClaims
from meadowpulley.takeover.request_journal import RequestJournal
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

TIMER_TOLERANCE_MS = 1.0  # by which clocks may wake it before its time


class TakeoverStage:
    """`may_act(now)`: whether this life's lease holds, asked at the last moment before anything goes out."""

    def __init__(
        self,
        gateway_settings: Settings,
        inner: Stage,
        incarnation: Incarnation,
        holds_lease: Callable[[float], bool],
        settings: m.TakeoverSettings | None = None,
    ) -> None:
        self.gateway_settings, self.settings = gateway_settings, settings or m.TakeoverSettings()
        self.builder, self.view = TransactionBuilder(), LedgerView()
        self.waiters = DuplicateWaiters(self.settings, self.view)
        self.response_cache = ResponseCache(self.settings)
        self.journal = RequestJournal(
            gateway_settings,
            inner,
            incarnation,
            holds_lease,
            self.settings,
            self.builder,
            self.waiters,
            self.response_cache,
        )
        self.orphans = OrphanClaims(
            gateway_settings, incarnation, self.settings, self.view, self.response_cache
        )
        self.release_at_ms = math.inf  # when what is left is given away, as this gateway stops
        self.shutting_down = False
        # Until then what others have served unwritten, as the ledger was lost, may be asked for once more.
        self.unjournaled_until_ms = -math.inf
        self.timer_at_ms = math.inf
        self.last_ticket = 0
        self.intents_by_ticket: dict[int, list[TransactionIntent]] = {}
        self.handlers: dict[type, Callable[[Any], None]] = {
            m.ClientRequest: self._on_client_request,
            m.ResponseReady: self.journal.on_response_ready,
            m.ClientDetached: self._on_client_detached,
            m.AdoptionResult: self._on_adoption_result,
            m.ShutdownNotice: self._on_shutdown_notice,
            Outcome: self.journal.on_outcome,
            ResponseStarted: self.journal.on_response_started,
            ClientDisconnected: self._on_client_disconnected,
            EndpointUpdate: self._on_endpoint_update,
            Timer: self._on_timer,
            CommitCompleted: self._on_committed,
            LedgerChanged: self._on_changed,
            LeaseExpired: self._on_lease_expired,
            Fenced: self._on_fenced,
            LedgerUnavailable: self._on_ledger_unavailable,
            LedgerRecovered: self._on_ledger_recovered,
        }

    def handle(self, now: float, event: Any) -> list[Any]:
        builder = self.builder
        builder.begin(now)
        self.handlers.get(type(event), self.journal.forward)(event)
        if self.orphans.due_at_ms <= now and not (self.journal.fenced or self.journal.ledger_unavailable):
            if (
                self.shutting_down
            ):  # claims of which it does not know are still its own; the rest is for the others
                self.orphans.drop_unclaimed()
            adopted_count = sum(h.request.adopted and not h.answered for h in self.journal.by_id.values())
            self.orphans.claim_due(builder, adopted_count, self.journal.typical_latency_ms)
        if builder.transactions:
            self.last_ticket += 1
            self.intents_by_ticket[self.last_ticket] = builder.intents
            builder.actions.append(Commit(self.last_ticket, tuple(builder.transactions), m.COMMIT_OWNER))
        self._set_timer()
        return builder.actions

    # What its adapter may ask

    def is_known(self, request_id: str) -> bool:
        """Whether a request of that id is in hand here, or waits here for work in hand elsewhere."""
        return request_id in self.journal.by_id or request_id in self.waiters.by_id

    def is_journaled_class(self, class_index: int, body_bytes: int) -> bool:
        """Whether a request of that class with a body of so many bytes is written down."""
        scope, safe = (
            self.settings.journal_scope,
            self.gateway_settings.classes[class_index].effect is Effect.IDEMPOTENT,
        )
        in_scope = scope is m.JournalScope.ALL or (scope is m.JournalScope.UNREPEATABLE and not safe)
        return in_scope and body_bytes <= m.MAX_BODY_BYTES

    def is_journaled(self, request: int) -> bool:
        """Whether it is written, or has been: then its answer passes here."""
        return request in self.journal.by_request

    def continues_without_client(self, request: int) -> bool:
        """Whether the work of this request goes on without its client."""
        entry = self.journal.by_request.get(request)
        return entry is not None and not entry.relinquished

    def origin_of(self, request: int) -> tuple[m.Origin, float] | None:
        """Who took a written request first, and when on this gateway's clock, no later than it was; None for
        what is not written. For the stages inside this one, from when they are told of it until its end."""
        entry = self.journal.by_request.get(request)
        return (entry.origin, entry.received_at_ms) if entry is not None else None

    def moved(self, request: int) -> bool | None:
        """Whether a request of which the stages inside are told that it is gone goes on elsewhere. False: its
        id was known and it never was one of its own. None: it is gone with its client."""
        entry = self.journal.by_request.get(request)
        if entry is None or not (entry.relinquished or entry.releasing):
            return None
        return entry.releasing or entry.write_uncertain or entry.record_version > 0

    # Intake

    def _on_client_request(self, event: m.ClientRequest) -> None:
        request, request_class = event.request, self.gateway_settings.classes[event.request.class_index]
        safe = request_class.effect is Effect.IDEMPOTENT
        if not self.is_journaled_class(request.class_index, len(event.body)):
            self.journal.forward(request)
            return
        digest, known = (
            m.request_digest(event.method, event.target, event.body),
            self.journal.by_id.get(event.request_id),
        )
        if known is not None and known.digest == digest:
            self.journal.add_waiter(event.request_id, request)
            self.journal.answer_waiters(known)
        elif known is not None:
            self.builder.actions.append(Fail(request.request))
        elif (self.journal.ledger_unavailable and request.client_retry) or (
            self.journal.fenced and (request.client_retry or not safe)
        ):
            # Whether it is in hand elsewhere can't be known; and what ran here unwritten, while the others
            # have the ledger, would run again where its client asks next.
            self.builder.actions.append(Fail(request.request))
        elif self.journal.ledger_unavailable or self.journal.fenced:
            self.journal.forward(request)  # as without a ledger: nobody adopts what is not written
        else:
            tenant_name = (
                self.gateway_settings.tenants[request.tenant].name
                if request.tenant < len(self.gateway_settings.tenants)
                else ""
            )
            content = m.RequestContent(m.RECORD_FORMAT, event.method, event.target, event.headers, event.body)
            sequence = self.builder.next_sequence()
            origin = m.Origin(str(self.journal.incarnation), sequence)
            entry = JournaledRequest(
                request,
                event.request_id,
                request_class,
                tenant_name,
                content,
                digest,
                sequence,
                origin,
                self.builder.now,
            )
            if request.client_retry and not safe and self.builder.now < self.unjournaled_until_ms:
                self.journal.fail_if_unknown(entry)
            else:
                self.journal.start(entry)

    def _on_endpoint_update(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.FULL or event.kind is EndpointUpdateKind.CACHED:
            self.journal.servers = {}
        self.journal.servers |= {e.server: e for e in event.entries}
        for server in [e.server for e in event.entries if e.state is ServerState.REMOVED]:
            del self.journal.servers[server]
        self.journal.forward(event)

    def _on_client_detached(self, event: m.ClientDetached) -> None:
        entry = self.journal.by_request.get(event.request)
        if entry is not None and not entry.relinquished:
            entry.has_client = False  # the work ends once, and its answer is kept
        elif self.waiters.remove(event.request):
            self.builder.actions.append(m.Discard(event.request))
        elif entry is None:
            self.builder.actions.append(m.Discard(event.request))
            self.journal.forward(ClientDisconnected(event.request))

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        """The adapter has answered it as failed, past its deadline."""
        entry = self.journal.by_request.get(event.request)
        if self.waiters.remove(event.request):
            return
        self.journal.forward(event)
        if entry is not None and not entry.relinquished:
            entry.answered = True
            entry.superseded_response, entry.final_response = (
                entry.superseded_response or entry.final_response,
                None,
            )
            self.journal.finish(entry, FinalResponse(RequestState.FAILED, Fail(event.request)))

    # The ledger

    def _on_committed(self, event: CommitCompleted) -> None:
        if event.owner != m.COMMIT_OWNER:
            self.journal.forward(event)
            return
        builder, orphans = self.builder, self.orphans
        for intent, result in zip(self.intents_by_ticket.pop(event.ticket), event.results, strict=True):
            if result.outcome is TransactionOutcome.FENCED:
                self.journal.fence()
            elif intent.kind is TransactionKind.WRITE_RECORD:
                self.journal.on_written(self.journal.by_request.get(intent.request), result)
            elif intent.kind is TransactionKind.READ_RESPONSE:
                self.waiters.on_response_read(builder, intent.subject, result)
            elif intent.kind is TransactionKind.CLAIM:
                orphans.on_claim_result(builder, intent.subject, result)
            elif intent.kind is TransactionKind.READ_CONTENT:
                orphans.on_content_read(builder, intent.subject, result)
            elif intent.kind is TransactionKind.READ_INHERITED:
                self.response_cache.on_inherited_read(builder, intent.subject, result)

    def _on_changed(self, event: LedgerChanged) -> None:
        poll_started_ms = self.builder.now if event.poll_started_ms is None else event.poll_started_ms
        delta = self.view.apply(poll_started_ms, event.changes)
        self.builder.actions += [LogLine(line) for line in delta.warnings]
        for request_id in delta.changed_ids:
            if request_id not in self.journal.by_id:
                self.waiters.on_changed(self.builder, request_id)
        self.orphans.on_changed(
            self.builder.now, delta.changed_ids, delta.ended_incarnations, self.journal.by_id
        )
        self.response_cache.inherit(self.builder.now, delta.abandoned)
        self.journal.forward(event)

    def _on_lease_expired(self, event: LeaseExpired) -> None:
        self.orphans.on_lease_expired(self.builder.now, event.members)
        self.journal.forward(event)

    def _on_fenced(self, event: Fenced) -> None:
        self.journal.fence()
        self.journal.forward(event)

    def _on_ledger_unavailable(self, event: LedgerUnavailable) -> None:
        self.journal.ledger_unavailable = True
        self.journal.forward(event)

    def _on_ledger_recovered(self, event: LedgerRecovered) -> None:
        self.journal.ledger_unavailable = False
        longest_deadline_ms = max(
            (c.deadline_ms for c in self.gateway_settings.classes if c.effect is not Effect.IDEMPOTENT),
            default=0.0,
        )
        self.unjournaled_until_ms = (
            self.builder.now + longest_deadline_ms
        )  # by when the last client of those waits no longer
        for entry in list(self.journal.by_id.values()):
            self.journal.flush(entry)
        self.journal.forward(event)

    # Taking over, giving away

    def _on_adoption_result(self, event: m.AdoptionResult) -> None:
        claim = self.orphans.on_adoption_result(self.builder, event.request_id, event.request is not None)
        if claim is None or claim.content is None or event.request is None:
            return
        if self.journal.fenced:
            self.builder.actions.append(m.Discard(event.request))
            return
        record, (class_index, request_class) = (
            claim.observed.record,
            self.orphans.classes[claim.observed.record.class_name],
        )
        tenant_index = self.orphans.tenants.get(record.tenant_name, len(self.gateway_settings.tenants))
        request = Request(
            event.request,
            class_index,
            tenant_index,
            record.key,
            claim.deadline_ms,
            record.expected_work_ms,
            write=record.write,
            adopted=True,
            prior_attempt_count=record.attempt_count,
            prior_attempts=adoption.prior_attempts(claim.observed),
            arm=record.arm,
        )
        received_at_ms = max(claim.observed.not_before_ms - record.elapsed_ms, -m.MAX_DURATION_MS)
        entry = JournaledRequest(
            request,
            event.request_id,
            request_class,
            record.tenant_name,
            claim.content,
            record.digest,
            claim.sequence,
            record.origin,
            received_at_ms,
        )
        entry.owner_count, entry.record_version, entry.content_version = (
            record.owner_count + 1,
            claim.record_version,
            claim.content_version,
        )
        entry.inherited_grants, entry.attempt_count, entry.has_client = (
            claim.grants,
            record.attempt_count,
            False,
        )
        self.journal.start(entry)
        if self.shutting_down:
            self.journal.release(entry)

    def _on_shutdown_notice(self, event: m.ShutdownNotice) -> None:
        self.shutting_down = True
        self.release_at_ms = self.builder.now + max(event.grace_ms - self.settings.shutdown_release_ms, 0.0)
        for entry in list(self.journal.by_id.values()):
            if not entry.outstanding_attempts and not entry.pending_sends:
                self.journal.release(entry)

    # Time

    def _on_timer(self, event: Timer) -> None:
        if event.token != m.TIMER_TOKEN:
            self.journal.forward(event)
            return
        builder, now = self.builder, self.builder.now
        if now > self.timer_at_ms - TIMER_TOLERANCE_MS:
            self.timer_at_ms = math.inf
        while self.journal.wakeups and self.journal.wakeups[0][0] <= now:
            self.journal.check_due(heapq.heappop(self.journal.wakeups)[1])
        if now >= self.release_at_ms:
            self.release_at_ms = math.inf
            for entry in list(self.journal.by_id.values()):
                self.journal.release(entry)
        self.waiters.on_timer(builder)
        if not (self.journal.ledger_unavailable or self.journal.fenced):
            self.response_cache.on_timer(builder)

    def _set_timer(self) -> None:
        now = self.builder.now
        ledger_usable = not (self.journal.fenced or self.journal.ledger_unavailable)
        due_at_ms = min(
            self.journal.wakeups[0][0] if self.journal.wakeups else math.inf,
            self.waiters.due_at_ms(),
            self.response_cache.due_at_ms() if ledger_usable else math.inf,
            self.orphans.due_at_ms if ledger_usable else math.inf,
            self.release_at_ms,
        )
        if due_at_ms < self.timer_at_ms:
            self.timer_at_ms = max(due_at_ms, now)
            self.builder.actions.append(SetTimer(self.timer_at_ms - now, m.TIMER_TOKEN))
