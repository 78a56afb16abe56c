"""The stage that journals requests in flight and takes over those of lost gateways.

`handle(now, event) -> actions`, wrapped round the next stage; all times are ms on this gateway's own clock.

Events: those of the policy, with `ClientRequest` in place of `Request`; `ResponseReady` before each good
response is delivered; `ClientDetached`, `AdoptionResult`, `ShutdownNotice`; of the ledger
`CommitCompleted`, `LedgerChanged` (under `WATCHED_PREFIXES`), `LeaseExpired`, `Fenced`,
`LedgerUnavailable`, `LedgerRecovered`. Actions: those of the policy, `Deliver`, `Discard`, `AdoptRequest`,
and at most one `Commit` for each event. The lease manager stands outside this stage: it fences lost
incarnations.

Every `Send`, `Reject` and `Fail` was decided by the policy; for journaled requests `request_journal.py`
holds it until the ledger has the record that it rests on. The policy never sees a duplicate of a known
request: it gets the response of the original.
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
    TransactionResult,
)
from meadowpulley.takeover import records
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
from meadowpulley.takeover.request_journal import RequestJournal
from meadowpulley.takeover.response_cache import ResponseCache
from meadowpulley.takeover.settings import JournalScope, TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

TIMER_TOLERANCE_MS = 1.0  # clocks may run a timer early by this


class TakeoverStage:
    """Journals, deduplicates, adopts and releases requests round the next stage.

    `holds_lease(now)` tells whether the lease of this incarnation holds; it is asked at the last moment
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
        self.gateway_settings, self.settings = gateway_settings, settings or TakeoverSettings()
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
        self.entries = EntryFactory(gateway_settings, incarnation)
        self.orphans = OrphanClaims(
            gateway_settings, incarnation, self.settings, self.view, self.response_cache
        )
        self.shutting_down = False
        self.release_at_ms = math.inf  # when the requests still in flight are released, in a shutdown
        # Until then clients may repeat requests that gateways without a ledger have served unjournaled.
        self.unjournaled_until_ms = -math.inf
        self.timer_at_ms = math.inf
        self.last_ticket = 0
        self.intents_by_ticket: dict[int, list[TransactionIntent]] = {}
        self.handlers = self._event_handlers()

    def _event_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {
            ClientRequest: self._on_client_request,
            ResponseReady: self.journal.on_response_ready,
            ClientDetached: self._on_client_detached,
            AdoptionResult: self._on_adoption_result,
            ShutdownNotice: self._on_shutdown_notice,
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
        """Handle one event; return the actions to carry out, in order."""
        builder = self.builder
        builder.begin(now)
        self.handlers.get(type(event), self.journal.forward)(event)
        if self.orphans.due_at_ms <= now and self._ledger_usable():
            self._claim_due()
        if builder.transactions:
            self.last_ticket += 1
            self.intents_by_ticket[self.last_ticket] = builder.intents
            commit = Commit(self.last_ticket, tuple(builder.transactions), COMMIT_OWNER)
            builder.actions.append(commit)
        self._set_timer()
        return builder.actions

    def _ledger_usable(self) -> bool:
        return not (self.journal.fenced or self.journal.ledger_unavailable)

    def _claim_due(self) -> None:
        if self.shutting_down:  # claims with an unknown outcome are still its own; the rest is left to others
            self.orphans.drop_unclaimed()
        entries = self.journal.by_id.values()
        adopted_count = sum(entry.request.adopted and not entry.answered for entry in entries)
        self.orphans.claim_due(self.builder, adopted_count, self.journal.typical_latency_ms)

    # Queries of the adapter and of inner stages

    def is_known(self, request_id: str) -> bool:
        """Return whether this id is in flight here, or waits here for a request in flight elsewhere."""
        return request_id in self.journal.by_id or request_id in self.waiters.by_id

    def is_journaled_class(self, class_index: int, body_bytes: int) -> bool:
        """Return whether a request of this class with a body of this length is journaled."""
        scope = self.settings.journal_scope
        idempotent = self.gateway_settings.classes[class_index].effect is Effect.IDEMPOTENT
        in_scope = scope is JournalScope.ALL or (scope is JournalScope.UNREPEATABLE and not idempotent)
        return in_scope and body_bytes <= records.MAX_BODY_BYTES

    def is_journaled(self, request: int) -> bool:
        """Return whether a request is or was journaled: then its response passes through this stage."""
        return request in self.journal.by_request

    def continues_without_client(self, request: int) -> bool:
        """Return whether a request goes on without its client."""
        entry = self.journal.by_request.get(request)
        return entry is not None and not entry.relinquished

    def origin_of(self, request: int) -> tuple[Origin, float] | None:
        """Return the origin of a journaled request, and a lower bound of when it was received there.

        The time is on this gateway's clock. None for a request that is not journaled. Inner stages may ask
        from when they get the request until its end.
        """
        entry = self.journal.by_request.get(request)
        return (entry.origin, entry.received_at_ms) if entry is not None else None

    def moved(self, request: int) -> bool | None:
        """Return whether a request that inner stages see as disconnected continues at another gateway.

        False: its id was known, and it was never executed for itself. None: it ended with its client.
        """
        entry = self.journal.by_request.get(request)
        if entry is None or not (entry.relinquished or entry.releasing):
            return None
        return entry.releasing or entry.write_uncertain or entry.record_version > 0

    # Requests and clients

    def _on_client_request(self, event: ClientRequest) -> None:
        request, request_class = event.request, self.gateway_settings.classes[event.request.class_index]
        idempotent = request_class.effect is Effect.IDEMPOTENT
        if not self.is_journaled_class(request.class_index, len(event.body)):
            self.journal.forward(request)
            return
        digest = records.request_digest(event.method, event.target, event.body)
        known = self.journal.by_id.get(event.request_id)
        if known is not None and known.digest == digest:
            self.journal.add_waiter(event.request_id, request)
            self.journal.answer_waiters(known)
        elif known is not None:
            self.builder.actions.append(Fail(request.request))
        elif not self._ledger_usable():
            self._handle_without_ledger(request, idempotent)
        else:
            sequence = self.builder.next_sequence()
            entry = self.entries.from_client(event, digest, sequence, self.builder.now)
            if request.client_retry and not idempotent and self.builder.now < self.unjournaled_until_ms:
                self.journal.fail_if_unknown(entry)
            else:
                self.journal.start(entry)

    def _handle_without_ledger(self, request: Request, idempotent: bool) -> None:
        """Serve a request unjournaled, so that nobody adopts it, or fail it where it could be executed twice.

        Whether a repeated one is in flight elsewhere cannot be known. And what a fenced incarnation executes
        unjournaled, while the others have the ledger, would be executed again where its client repeats it.
        """
        fenced = self.journal.fenced
        if request.client_retry or (fenced and not idempotent):
            self.builder.actions.append(Fail(request.request))
        else:
            self.journal.forward(request)

    def _on_endpoint_update(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.FULL or event.kind is EndpointUpdateKind.CACHED:
            self.journal.servers = {}
        self.journal.servers |= {entry.server: entry for entry in event.entries}
        for server in [entry.server for entry in event.entries if entry.state is ServerState.REMOVED]:
            del self.journal.servers[server]
        self.journal.forward(event)

    def _on_client_detached(self, event: ClientDetached) -> None:
        entry = self.journal.by_request.get(event.request)
        if entry is not None and not entry.relinquished:
            entry.has_client = False  # the request goes on to its end, and its response is kept
        elif self.waiters.remove(event.request):
            self.builder.actions.append(Discard(event.request))
        elif entry is None:
            self.builder.actions.append(Discard(event.request))
            self.journal.forward(ClientDisconnected(event.request))

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Finish a request that the adapter has answered as failed, past its deadline."""
        entry = self.journal.by_request.get(event.request)
        if self.waiters.remove(event.request):
            return
        self.journal.forward(event)
        if entry is not None and not entry.relinquished:
            self.journal.on_answered_as_failed(entry)

    # The ledger

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
        builder, subject = self.builder, intent.subject
        match intent.kind:
            case TransactionKind.WRITE_RECORD:
                self.journal.on_written(self.journal.by_request.get(intent.request), result)
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
        # By then the last client of a request that was served unjournaled waits no longer.
        deadlines = (
            c.deadline_ms for c in self.gateway_settings.classes if c.effect is not Effect.IDEMPOTENT
        )
        self.unjournaled_until_ms = self.builder.now + max(deadlines, default=0.0)
        for entry in list(self.journal.by_id.values()):
            self.journal.flush(entry)
        self.journal.forward(event)

    # Adoption and shutdown

    def _on_adoption_result(self, event: AdoptionResult) -> None:
        has_slot = event.request is not None
        claim = self.orphans.on_adoption_result(self.builder, event.request_id, has_slot)
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
        for entry in list(self.journal.by_id.values()):
            if not entry.outstanding_attempts and not entry.pending_sends:
                self.journal.release(entry)

    # Time

    def _on_timer(self, event: Timer) -> None:
        if event.token != TIMER_TOKEN:
            self.journal.forward(event)
            return
        now = self.builder.now
        if now > self.timer_at_ms - TIMER_TOLERANCE_MS:
            self.timer_at_ms = math.inf
        wakeups = self.journal.wakeups
        while wakeups and wakeups[0][0] <= now:
            self.journal.check_due(heapq.heappop(wakeups)[1])
        if now >= self.release_at_ms:
            self.release_at_ms = math.inf
            for entry in list(self.journal.by_id.values()):
                self.journal.release(entry)
        self.waiters.on_timer(self.builder)
        if self._ledger_usable():
            self.response_cache.on_timer(self.builder)

    def _set_timer(self) -> None:
        now, wakeups = self.builder.now, self.journal.wakeups
        due_times = [self.waiters.due_at_ms(), self.release_at_ms]
        if wakeups:
            due_times.append(wakeups[0][0])
        if self._ledger_usable():
            due_times += [self.response_cache.due_at_ms(), self.orphans.due_at_ms]
        due_at_ms = min(due_times)
        if due_at_ms < self.timer_at_ms:
            self.timer_at_ms = max(due_at_ms, now)
            self.builder.actions.append(SetTimer(self.timer_at_ms - now, TIMER_TOKEN))
