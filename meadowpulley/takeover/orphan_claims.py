"""The orphans of lost gateways: whose they are now, and the claims of this gateway.

Once a lost incarnation is fenced nothing it writes is committed any more; then its open requests are
claimed, each by compare-and-set. Rendezvous hashing ranks the survivors for every orphan; each waits
`claim_stagger_ms` longer than the one before it, so that a gateway that is busy, or crashes too, delays
nothing for long.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping
from dataclasses import dataclass

from msgspec.structs import replace as replace_fields

from meadowpulley.interface import (
    AdoptionFailed,
    LedgerRecordIgnored,
    RequestClass,
    Settings,
)
from meadowpulley.ledger import (
    CheckVersion,
    Incarnation,
    Member,
    Record,
    Replace,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    rendezvous_order,
)
from meadowpulley.takeover import adoption
from meadowpulley.takeover.adoption import AdoptionBudget, AdoptionCandidate
from meadowpulley.takeover.ledger_view import LedgerView, ObservedRequest
from meadowpulley.takeover.messages import AdoptRequest
from meadowpulley.takeover.records import (
    CONTENT_PREFIX,
    MAX_DURATION_MS,
    RECORD_PREFIX,
    STAGE_NAME,
    AttemptGrant,
    RecordError,
    RequestContent,
    RequestState,
    decode_request_content,
    decode_request_record,
    encode_record,
)
from meadowpulley.takeover.response_cache import CachedResponse, ResponseCache
from meadowpulley.takeover.settings import TakeoverSettings
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

MAX_REQUESTS_PER_TURN = 64  # orphans that are ranked, and those that are finished, while one event is handled
FULL_RECHECK_MS = 20.0  # between two checks while `max_adopted` requests are adopted
MIN_RECHECK_MS = 1.0


@dataclass(slots=True)
class Claim:
    """An orphan that this gateway claims, or has claimed and not adopted yet."""

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
    def grants(self) -> tuple[AttemptGrant, ...]:
        """The grants of earlier owners, each with the version that granted it."""
        return tuple(
            replace_fields(grant, granted_version=grant.granted_version or self.observed.version)
            for grant in self.observed.record.grants
        )


class OrphanClaims:
    """Ranks, claims and finishes orphans, and asks for a slot for those that are adopted."""

    def __init__(
        self,
        gateway_settings: Settings,
        incarnation: Incarnation,
        settings: TakeoverSettings,
        view: LedgerView,
        response_cache: ResponseCache,
    ) -> None:
        self.classes = {c.name: (index, c) for index, c in enumerate(gateway_settings.classes)}
        self.incarnation, self.settings = incarnation, settings
        self.view, self.response_cache = view, response_cache
        self.budget = AdoptionBudget(settings)
        self.unranked: dict[str, None] = {}  # orphans whose ranking is not computed
        self.claimable_at_ms: dict[str, float] = {}  # ranked orphans, and when this gateway may claim them
        self.claims: dict[str, Claim] = {}
        self.due_at_ms = math.inf

    # What is an orphan

    def on_lease_expired(self, now: float, members: tuple[Member, ...]) -> None:
        """Note that the leases of these members expired by this gateway's clock."""
        for member in members:
            for incarnation in self.view.mark_lease_expired(member):
                self._add_orphans_of(incarnation, now)
        self._rank_again(now)

    def on_changed(
        self,
        now: float,
        changed_ids: list[str],
        ended_incarnations: list[Incarnation],
        own_ids: Container[str],
    ) -> None:
        """Update the orphans after a poll. `own_ids`: the requests that this gateway owns."""
        for incarnation in ended_incarnations:
            self._add_orphans_of(incarnation, now)
        if ended_incarnations:
            self._rank_again(now)
        for request_id in changed_ids:
            observed = self.view.open_requests.get(request_id)
            self.unranked.pop(request_id, None)
            self.claimable_at_ms.pop(request_id, None)
            if observed is None or request_id in own_ids or request_id in self.claims:
                continue
            if self._is_orphan(observed):
                self._add_orphan(request_id, now)

    def _is_orphan(self, observed: ObservedRequest) -> bool:
        if observed.owner == self.incarnation or observed.record.state is RequestState.RELEASED:
            return True
        return self.view.has_ended(observed.owner)

    def _add_orphans_of(self, incarnation: Incarnation, now: float) -> None:
        for request_id in self.view.open_ids_of(incarnation):
            if request_id not in self.claimable_at_ms and request_id not in self.claims:
                self._add_orphan(request_id, now)

    def _rank_again(self, now: float) -> None:
        """Rank all orphans again: those ranked behind a lost gateway need not wait for it."""
        for request_id in self.claimable_at_ms:
            self._add_orphan(request_id, now)

    def _add_orphan(self, request_id: str, now: float) -> None:
        self.unranked[request_id] = None
        self.due_at_ms = now

    def drop_unclaimed(self) -> None:
        """Leave all orphans that are not claimed yet to the other gateways."""
        self.unranked.clear()
        self.claimable_at_ms.clear()

    # Claims

    def claim_due(
        self, builder: TransactionBuilder, adopted_count: int, typical_latency_ms: Mapping[str, float]
    ) -> None:
        """Claim the orphans that are due.

        `adopted_count`: adopted requests in flight. `typical_latency_ms`: how long an attempt takes, by
        class, as far as it is known.
        """
        now = builder.now
        self._rank_new(now)
        self._retry_claims(builder)
        adopting = sum(claim.target_state is RequestState.OPEN for claim in self.claims.values())
        free_slots = self.settings.max_adopted - adopted_count - adopting
        self._claim_ready(builder, free_slots, typical_latency_ms)
        due_times = [*self.claimable_at_ms.values(), *(claim.retry_at_ms for claim in self.claims.values())]
        self.due_at_ms = now if self.unranked else min(due_times, default=math.inf)
        if self.due_at_ms <= now and not self.unranked:
            full_wait_ms = FULL_RECHECK_MS if free_slots <= 0 else 0.0
            self.due_at_ms = now + max(full_wait_ms, self.budget.wait_ms(now), MIN_RECHECK_MS)

    def _rank_new(self, now: float) -> None:
        for request_id in list(self.unranked)[:MAX_REQUESTS_PER_TURN]:
            del self.unranked[request_id]
            observed = self.view.open_requests.get(request_id)
            if observed is not None:
                at_ms = now + self._rank(observed) * self.settings.claim_stagger_ms
                self.claimable_at_ms[request_id] = min(at_ms, self.claimable_at_ms.get(request_id, math.inf))

    def _retry_claims(self, builder: TransactionBuilder) -> None:
        for request_id, claim in list(self.claims.items()):
            if claim.retry_at_ms <= builder.now:
                claim.retry_at_ms = math.inf
                self._submit(builder, request_id, claim)

    def _rank(self, observed: ObservedRequest) -> int:
        """Return how many gateways claim it before this one.

        Those that started later, and do not know its age, come last.
        """
        if observed.owner == self.incarnation and observed.record.state is not RequestState.RELEASED:
            return 0
        survivors = {*self.view.live_incarnations(excluded=observed.owner), self.incarnation}
        ranking = rendezvous_order(observed.request_id, list(survivors))
        ranking.sort(key=lambda incarnation: not self._knows_age(incarnation, observed))
        return ranking.index(self.incarnation) if observed.owner != self.incarnation else len(ranking)

    def _knows_age(self, incarnation: Incarnation, observed: ObservedRequest) -> bool:
        if incarnation == self.incarnation:
            return observed.not_before_ms > -math.inf
        return self.view.existed_before(incarnation, observed.version)

    def _claim_ready(
        self, builder: TransactionBuilder, free_slots: int, typical_latency_ms: Mapping[str, float]
    ) -> None:
        """Claim the orphans whose time has come: finish some at once, and adopt others within the budget."""
        candidates = self._finish_or_collect(builder, typical_latency_ms)
        available = self.budget.available(builder.now)
        adoptable, missed = adoption.schedule_adoptions(candidates, available, self.settings.adoptions_per_s)
        for candidate in missed[:MAX_REQUESTS_PER_TURN]:
            observed = self.view.open_requests[candidate.request_id]
            state = RequestState.FAILED if observed.record.grants else RequestState.REJECTED
            self._claim(builder, observed, state, builder.now)
        for candidate in adoptable[: max(free_slots, 0)]:
            if self.budget.available(builder.now) < 1:
                break
            self.budget.consume(builder.now)
            observed = self.view.open_requests[candidate.request_id]
            deadline_ms = builder.now + adoption.remaining_ms(observed, builder.now, self.settings)
            self._claim(builder, observed, RequestState.OPEN, deadline_ms)

    def _finish_or_collect(
        self, builder: TransactionBuilder, typical_latency_ms: Mapping[str, float]
    ) -> list[AdoptionCandidate]:
        """Claim those orphans that end at once; return the ones that may be adopted."""
        now = builder.now
        candidates: list[AdoptionCandidate] = []
        finished_count = 0
        for request_id in [request_id for request_id, at_ms in self.claimable_at_ms.items() if at_ms <= now]:
            observed = self.view.open_requests.get(request_id)
            if observed is None:
                del self.claimable_at_ms[request_id]
                continue
            slack_ms = adoption.remaining_ms(observed, now, self.settings)
            slack_ms -= typical_latency_ms.get(observed.record.class_name, 0.0)
            request_class = self._class_of(observed)
            state = adoption.adoption_decision(observed.record, request_class, slack_ms, self.settings)
            if state is RequestState.OPEN and request_class is not None:
                candidates.append(AdoptionCandidate(request_id, slack_ms, request_class.priority_weight))
            elif finished_count < MAX_REQUESTS_PER_TURN:
                finished_count += 1
                self._claim(builder, observed, state, now)
        return candidates

    def _class_of(self, observed: ObservedRequest) -> RequestClass | None:
        _, request_class = self.classes.get(observed.record.class_name, (0, None))
        return request_class

    def _claim(
        self,
        builder: TransactionBuilder,
        observed: ObservedRequest,
        target_state: RequestState,
        deadline_ms: float,
    ) -> None:
        del self.claimable_at_ms[observed.request_id]
        self.unranked.pop(observed.request_id, None)
        claim = Claim(observed, target_state, deadline_ms, builder.next_sequence())
        self.claims[observed.request_id] = claim
        self._submit(builder, observed.request_id, claim)

    def _submit(self, builder: TransactionBuilder, request_id: str, claim: Claim) -> None:
        """Write the claim unless it is committed already, and read what the client sent."""
        record, now = claim.observed.record, builder.now
        elapsed_ms = record.elapsed_ms + max(now - claim.observed.not_before_ms, 0.0)
        claimed_record = replace_fields(
            record,
            state=claim.target_state,
            owner_count=record.owner_count + 1,
            sequence=claim.sequence,
            remaining_ms=max(claim.deadline_ms - now, 0.0),
            elapsed_ms=min(elapsed_ms, MAX_DURATION_MS),
            grants=claim.grants,
        )
        if not claim.record_version:
            value = encode_record(claimed_record)
            write = Replace(RECORD_PREFIX + request_id, value, claim.observed.version)
            builder.add(Transaction((write,)), TransactionIntent(TransactionKind.CLAIM, request_id))
        read = CheckVersion(CONTENT_PREFIX + request_id, 0)
        builder.add(Transaction((read,)), TransactionIntent(TransactionKind.READ_CONTENT, request_id))

    def on_claim_result(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """Note whether a claim was committed, or drop one that another gateway has won."""
        claim = self.claims.get(request_id)
        if claim is None:
            return
        if result.outcome is TransactionOutcome.COMMITTED:
            claim.record_version = result.version
        elif result.outcome is TransactionOutcome.UNKNOWN:
            claim.uncertain = True
        elif claim.uncertain and result.existing is not None and self._is_own_claim(claim, result.existing):
            claim.record_version = result.existing.version  # an earlier attempt was committed after all
        else:
            del self.claims[request_id]
            observed = self.view.open_requests.get(request_id)
            if (
                observed is not None
                and observed.version > claim.observed.version
                and self._is_orphan(observed)
            ):
                self._add_orphan(request_id, builder.now)  # it was observed while the claim was under way

    def _is_own_claim(self, claim: Claim, found: Record) -> bool:
        return (
            found.writer == self.incarnation and decode_request_record(found.value).sequence == claim.sequence
        )

    def on_content_read(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """Continue a committed claim with what the client sent: finish it, or ask for a slot."""
        claim = self.claims.get(request_id)
        if claim is None:
            return
        if result.outcome is TransactionOutcome.UNKNOWN or not claim.record_version:
            claim.retry_at_ms = builder.now + self.settings.retry_delay_ms
            self.due_at_ms = min(self.due_at_ms, claim.retry_at_ms)
            return
        if result.existing is not None:
            self._store_content(builder, claim, result.existing)
        if claim.target_state is not RequestState.OPEN:
            self._finish_claim(builder, request_id, claim)
        elif claim.content is None:
            builder.actions.append(AdoptionFailed(request_id))
            self._change_target(builder, request_id, claim, RequestState.FAILED)
        else:
            builder.actions.append(self._adopt_action(request_id, claim, claim.content))

    def _store_content(self, builder: TransactionBuilder, claim: Claim, found: Record) -> None:
        claim.content_version = found.version
        try:
            claim.content = decode_request_content(found.value)
        except RecordError as error:
            builder.actions.append(LedgerRecordIgnored(STAGE_NAME, found.key, str(error)))

    def _adopt_action(self, request_id: str, claim: Claim, content: RequestContent) -> AdoptRequest:
        class_index, _ = self.classes[claim.observed.record.class_name]
        return AdoptRequest(
            request_id,
            class_index,
            claim.deadline_ms,
            content.method,
            content.target,
            content.headers,
            content.body,
        )

    def _change_target(
        self, builder: TransactionBuilder, request_id: str, claim: Claim, target_state: RequestState
    ) -> None:
        """Finish a request that was claimed for adoption, or release it as if it had not been claimed."""
        observed = claim.observed
        owner_count = observed.record.owner_count - (target_state is RequestState.RELEASED)
        record = replace_fields(observed.record, owner_count=owner_count, grants=claim.grants)
        updated = ObservedRequest(
            request_id,
            record,
            claim.record_version,
            self.incarnation,
            observed.not_before_ms,
            observed.grants_not_before_ms,
        )
        self.claims[request_id] = Claim(updated, target_state, claim.deadline_ms, builder.next_sequence())
        self._submit(builder, request_id, self.claims[request_id])

    def _finish_claim(self, builder: TransactionBuilder, request_id: str, claim: Claim) -> None:
        del self.claims[request_id]
        if claim.target_state is RequestState.RELEASED:
            return
        expires_at_ms = builder.now + self.settings.response_retention_ms
        entry = CachedResponse(
            request_id, expires_at_ms, claim.record_version, content_version=claim.content_version
        )
        self.response_cache.add(builder, entry)

    def on_adoption_result(
        self, builder: TransactionBuilder, request_id: str, has_slot: bool
    ) -> Claim | None:
        """Return the claim whose request has a slot now; without one the request is released."""
        claim = self.claims.get(request_id)
        if claim is None or has_slot:
            return self.claims.pop(request_id, None)
        self._change_target(builder, request_id, claim, RequestState.RELEASED)
        return None
