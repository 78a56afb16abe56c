"""The stage that journals requests in flight and takes over those of lost gateways.

The stage wraps the next stage; its interface is `handle(now, event) -> actions`. All times are in ms on this
gateway's own clock.

Events: those of the policy, with `ClientRequest` in place of `Request`; `ResponseReady` before each
successful response is delivered; `ClientDetached`, `AdoptionResult`, `ShutdownNotice`; and from the ledger
`CommitCompleted`, `LedgerChanged` (under `WATCHED_PREFIXES`), `LeaseExpired`, `Fenced`,
`LedgerUnavailable`, `LedgerRecovered`. Actions: those of the policy, `Deliver`, `Discard`, `AdoptRequest`,
and at most one `Commit` for each event. The lease manager wraps this stage, and fences lost incarnations.

The policy decides every `Send`, `Reject` and `Fail`; for journaled requests, `request_journal.py` holds the
action until the ledger contains the record that it depends on. The policy never sees a duplicate of a known
request: the duplicate gets the response to the original.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TypeVar, cast

from meadowpulley.interface import (
    ClientDisconnected,
    EndpointUpdate,
    Outcome,
    ResponseStarted,
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
    TransactionResult,
)
from meadowpulley.takeover.context import StageContext
from meadowpulley.takeover.duplicate_waiters import DuplicateWaiters
from meadowpulley.takeover.entry_factory import EntryFactory
from meadowpulley.takeover.ledger_view import LedgerView
from meadowpulley.takeover.messages import (
    COMMIT_OWNER,
    TIMER_TOKEN,
    AdoptionResult,
    ClientDetached,
    ClientRequest,
    Discard,
    ResponseReady,
    ShutdownNotice,
)
from meadowpulley.takeover.orphan_claims import OrphanClaims
from meadowpulley.takeover.records import Origin
from meadowpulley.takeover.request_intake import RequestIntake
from meadowpulley.takeover.request_journal import RequestJournal
from meadowpulley.takeover.response_cache import ResponseCache
from meadowpulley.takeover.settings import TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

TIMER_TOLERANCE_MS = 1.0  # timers may fire early by up to this many ms

EventT = TypeVar("EventT")


class TakeoverStage:
    """Journals, deduplicates, adopts and releases requests in front of the next stage.

    `holds_lease(now)` returns whether the lease of this incarnation is still valid; it is called immediately
    before anything is sent.
    """

    def __init__(
        self,
        gateway_settings: Settings,
        inner: Stage,
        incarnation: Incarnation,
        holds_lease: Callable[[float], bool],
        settings: TakeoverSettings | None = None,
    ) -> None:
        """Wrap `inner`, the next stage, at the gateway with this incarnation."""
        self.settings = settings if settings is not None else TakeoverSettings()
        self.builder = TransactionBuilder()
        self.view = LedgerView()
        self.waiters = DuplicateWaiters(self.settings, self.view)
        self.response_cache = ResponseCache(self.settings)
        context = StageContext(gateway_settings, self.settings, incarnation, holds_lease, self.builder)
        self.journal = RequestJournal(context, inner, self.waiters, self.response_cache)
        self.entries = EntryFactory.of_gateway(gateway_settings, incarnation)
        self.intake = RequestIntake(context, self.journal, self.entries)
        self.orphans = OrphanClaims(context, self.view, self.response_cache)
        self.shutting_down = False
        self.release_at_ms = math.inf  # time of a shutdown at which requests still in flight are released
        self.timer_at_ms = math.inf
        self.last_ticket = 0
        self.intents_by_ticket: dict[int, list[TransactionIntent]] = {}
        self.handlers: dict[type, Callable[[object], None]] = {}
        self._register_handlers()

    def _register_handlers(self) -> None:
        self._register(ClientRequest, self.intake.on_client_request)
        self._register(ResponseReady, self.journal.on_response_ready)
        self._register(ClientDetached, self._on_client_detached)
        self._register(AdoptionResult, self._on_adoption_result)
        self._register(ShutdownNotice, self._on_shutdown_notice)
        self._register(Outcome, self.journal.on_outcome)
        self._register(ResponseStarted, self.journal.on_response_started)
        self._register(ClientDisconnected, self._on_client_disconnected)
        self._register(EndpointUpdate, self.journal.on_endpoint_update)
        self._register(Timer, self._on_timer)
        self._register(CommitCompleted, self._on_committed)
        self._register(LedgerChanged, self._on_changed)
        self._register(LeaseExpired, self._on_lease_expired)
        self._register(Fenced, self._on_fenced)
        self._register(LedgerUnavailable, self._on_ledger_unavailable)
        self._register(LedgerRecovered, self._on_ledger_recovered)

    def _register(self, event_type: type[EventT], handler: Callable[[EventT], None]) -> None:
        # The cast is safe because `handle` selects each handler by the type of the event.
        self.handlers[event_type] = cast(Callable[[object], None], handler)

    def handle(self, now: float, event: object) -> list[object]:
        """Handle one event; return the actions to carry out, in order.

        Events without a handler and unknown actions of inner stages are forwarded unchanged.
        """
        self.builder.begin(now)
        handler = self.handlers.get(type(event), self.journal.forward)
        handler(event)
        if self.orphans.due_at_ms <= now and self.journal.ledger_usable:
            self._claim_due()
        if self.builder.transactions:
            self._commit()
        self._set_timer()
        return self.builder.actions

    def _claim_due(self) -> None:
        if self.shutting_down:  # only retry own claims with an unknown outcome; leave other orphans
            self.orphans.drop_unclaimed()
        adopted_count = self.journal.table.adopted_count()
        self.orphans.claim_due(self.builder, adopted_count, self.journal.latencies)

    def _commit(self) -> None:
        """Request one commit for all transactions that this event has produced."""
        self.last_ticket += 1
        self.intents_by_ticket[self.last_ticket] = self.builder.intents
        transactions = tuple(self.builder.transactions)
        self.builder.actions.append(Commit(self.last_ticket, transactions, COMMIT_OWNER))

    # Queries from the adapter and from inner stages

    def is_known(self, request_id: str) -> bool:
        """Return whether a request with this id is in flight, or a duplicate of it waits, at this gateway."""
        return request_id in self.journal.table.by_id or request_id in self.waiters.by_id

    def is_journaled_class(self, class_index: int, body_bytes: int) -> bool:
        """Return whether a request of this class with a body of this length is journaled."""
        return self.intake.is_journaled_class(class_index, body_bytes)

    def is_journaled(self, request: int) -> bool:
        """Return whether a request is in the journal, so that its response has to pass through this stage.

        A request that this gateway no longer owns stays in the journal until all its attempts have ended.
        """
        return request in self.journal.table.by_request

    def continues_without_client(self, request: int) -> bool:
        """Return whether a request continues after its client disconnects."""
        entry = self.journal.table.by_request.get(request)
        return entry is not None and not entry.relinquished

    def origin_of(self, request: int) -> tuple[Origin, float] | None:
        """Return the origin of a journaled request, and the earliest time it can have been received there.

        The time is on this gateway's clock. Return None if the request is not journaled. Inner stages may
        call this from the time they receive the request until its end.
        """
        entry = self.journal.table.by_request.get(request)
        if entry is None:
            return None
        return entry.origin, entry.received_at_ms

    def moved(self, request: int) -> bool | None:
        """Return whether a request that inner stages see as disconnected continues at another gateway.

        Returns:
            False if its id was already known, so that the request itself was never executed; None if it ended
            because its client disconnected.
        """
        entry = self.journal.table.by_request.get(request)
        if entry is None or not (entry.relinquished or entry.releasing):
            return None
        return entry.releasing or entry.write_uncertain or entry.record_version > 0

    # Clients

    def _on_client_detached(self, event: ClientDetached) -> None:
        entry = self.journal.table.by_request.get(event.request)
        if entry is not None and not entry.relinquished:
            entry.has_client = False  # the request still completes, and its response is kept
        elif self.waiters.remove(event.request):
            self.builder.actions.append(Discard(event.request))
        elif entry is None:
            self.builder.actions.append(Discard(event.request))
            self.journal.forward(ClientDisconnected(event.request))

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Finish a request that the adapter has already answered as failed after its deadline."""
        entry = self.journal.table.by_request.get(event.request)
        if self.waiters.remove(event.request):
            return
        self.journal.forward(event)
        if entry is not None and not entry.relinquished:
            self.journal.on_answered_as_failed(entry)

    # Ledger events

    def _on_committed(self, event: CommitCompleted) -> None:
        if event.owner != COMMIT_OWNER:
            self.journal.forward(event)
            return
        intents = self.intents_by_ticket.pop(event.ticket)
        for intent, result in zip(intents, event.results, strict=True):
            if result.outcome is TransactionOutcome.FENCED:
                self.journal.fence()
            else:
                self._on_transaction_result(intent, result)

    def _on_transaction_result(self, intent: TransactionIntent, result: TransactionResult) -> None:
        builder = self.builder
        subject = intent.subject
        match intent.kind:
            case TransactionKind.WRITE_RECORD:
                self.journal.on_written(intent.request, result)
            case TransactionKind.READ_RESPONSE:
                self.waiters.on_response_read(builder, subject, result)
            case TransactionKind.CLAIM:
                self.orphans.on_claim_result(builder, subject, result)
            case TransactionKind.READ_CONTENT:
                self.orphans.on_content_read(builder, subject, result)
            case TransactionKind.READ_INHERITED:
                self.response_cache.on_inherited_read(builder, subject, result)
            case TransactionKind.REMOVE:
                pass

    def _on_changed(self, event: LedgerChanged) -> None:
        poll_started_ms = self.builder.now if event.poll_started_ms is None else event.poll_started_ms
        delta = self.view.apply(poll_started_ms, event.changes)
        self.builder.actions += delta.ignored_records
        for request_id in delta.changed_ids:
            if request_id not in self.journal.table.by_id:
                self.waiters.on_changed(self.builder, request_id)
        self.orphans.on_changed(
            self.builder.now, delta.changed_ids, delta.ended_incarnations, self.journal.table.by_id
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
        self.intake.on_ledger_recovered()
        for entry in self.journal.table.owned():
            self.journal.flush(entry)
        self.journal.forward(event)

    # Adoption and shutdown

    def _on_adoption_result(self, event: AdoptionResult) -> None:
        has_slot = event.request is not None
        claim = self.orphans.on_adoption_result(self.builder, event.request_id, has_slot=has_slot)
        if claim is None or claim.content is None or event.request is None:
            return
        if self.journal.fenced:
            self.builder.actions.append(Discard(event.request))
            return
        entry = self.entries.from_claim(event.request, claim, claim.content)
        self.journal.start(entry)
        if self.shutting_down:
            self.journal.release(entry)

    def _on_shutdown_notice(self, event: ShutdownNotice) -> None:
        self.shutting_down = True
        delay_ms = max(event.grace_ms - self.settings.shutdown_release_ms, 0.0)
        self.release_at_ms = self.builder.now + delay_ms
        for entry in self.journal.table.owned():
            if not entry.outstanding_attempts and not entry.pending_sends:
                self.journal.release(entry)

    # Timers

    def _on_timer(self, event: Timer) -> None:
        if event.token != TIMER_TOKEN:
            self.journal.forward(event)
            return
        now = self.builder.now
        if now > self.timer_at_ms - TIMER_TOLERANCE_MS:
            self.timer_at_ms = math.inf
        self.journal.check_due_requests()
        if now >= self.release_at_ms:
            self.release_at_ms = math.inf
            for entry in self.journal.table.owned():
                self.journal.release(entry)
        self.waiters.on_timer(self.builder)
        if self.journal.ledger_usable:
            self.response_cache.on_timer(self.builder)

    def _set_timer(self) -> None:
        """Set a timer for the next due time, unless a timer already fires by then."""
        now = self.builder.now
        due_times_ms = [self.waiters.due_at_ms(), self.release_at_ms, self.journal.wakeups.next_at_ms()]
        if self.journal.ledger_usable:
            due_times_ms += [self.response_cache.due_at_ms(), self.orphans.due_at_ms]
        due_at_ms = min(due_times_ms)
        if due_at_ms < self.timer_at_ms:
            self.timer_at_ms = max(due_at_ms, now)
            self.builder.actions.append(SetTimer(self.timer_at_ms - now, TIMER_TOKEN))
