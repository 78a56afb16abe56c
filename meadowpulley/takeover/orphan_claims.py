"""The work of lost gateways: whose it is now, and the claims of this gateway.

Once a lost life is sealed nothing it writes counts any more; then its unanswered records are claimed, each by
compare-and-set. The survivors stand in line for every piece, by rendezvous hashing; who is next in line waits
a step longer, so that one that is busy, or dies too, holds nothing up.
"""

from __future__ import annotations

import math
from collections.abc import Container, Mapping
from dataclasses import dataclass

from msgspec.structs import replace as changed

from meadowpulley.interface import LogLine, Settings
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
from meadowpulley.takeover.duplicate_waiters import CachedResponse, ResponseCache
from meadowpulley.takeover.ledger_view import LedgerView, ObservedRequest
from meadowpulley.takeover.model import (
    CONTENT_PREFIX,
    MAX_DURATION_MS,
    RECORD_PREFIX,
    AdoptRequest,
    AttemptGrant,
    RecordError,
    RequestContent,
    RequestState,
    TakeoverSettings,
    decode_request_content,
    decode_request_record,
    encode_record,
)
from meadowpulley.takeover.transaction_builder import TransactionBuilder, TransactionIntent, TransactionKind

MAX_REQUESTS_PER_TURN = 64  # pieces looked at for the first time in one turn, and ended in one
FULL_RECHECK_MS = 20.0  # between two looks while all adoptions are in use


@dataclass(slots=True)
class Claim:
    """Work this gateway claims, or has claimed and not yet in hand."""

    observed: ObservedRequest
    target_state: RequestState  # OPEN: to be adopted; else how it ends
    deadline_ms: float
    sequence: int
    record_version: int = 0  # of its record once it is won
    content: RequestContent | None = None
    content_version: int = 0
    uncertain: bool = False  # a try of it may have won
    retry_at_ms: float = math.inf

    @property
    def grants(self) -> tuple[AttemptGrant, ...]:
        """Those of its work, none of them won by a write of this gateway's."""
        return tuple(
            changed(r, granted_version=r.granted_version or self.observed.version)
            for r in self.observed.record.grants
        )


class OrphanClaims:
    def __init__(
        self,
        gateway_settings: Settings,
        incarnation: Incarnation,
        settings: TakeoverSettings,
        view: LedgerView,
        response_cache: ResponseCache,
    ) -> None:
        self.classes = {c.name: (n, c) for n, c in enumerate(gateway_settings.classes)}
        self.tenants = {t.name: n for n, t in enumerate(gateway_settings.tenants)}
        self.incarnation, self.settings, self.view, self.response_cache = (
            incarnation,
            settings,
            view,
            response_cache,
        )
        self.budget = adoption.AdoptionBudget(settings)
        self.unranked: dict[str, None] = {}  # orphans whose place in line is not worked out
        self.claimable_at_ms: dict[str, float] = {}  # those that are, and when this gateway may claim them
        self.claims: dict[str, Claim] = {}
        self.due_at_ms = math.inf

    # What is an orphan

    def on_lease_expired(self, now: float, members: tuple[Member, ...]) -> None:
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
        """These records are new or gone, these lives ended; `mine`: the work in this gateway's hands."""
        for incarnation in ended_incarnations:
            self._add_orphans_of(incarnation, now)
        if ended_incarnations:
            self._rank_again(now)
        for request_id in changed_ids:
            observed = self.view.open_requests.get(request_id)
            self.unranked.pop(request_id, None)
            self.claimable_at_ms.pop(request_id, None)
            if (
                observed is not None
                and request_id not in own_ids
                and request_id not in self.claims
                and self._is_orphan(observed)
            ):
                self._add_orphan(request_id, now)

    def _is_orphan(self, observed: ObservedRequest) -> bool:
        return (
            observed.owner == self.incarnation
            or observed.record.state is RequestState.RELEASED
            or self.view.has_ended(observed.owner)
        )

    def _add_orphans_of(self, incarnation: Incarnation, now: float) -> None:
        for request_id in self.view.open_ids_of(incarnation):
            if request_id not in self.claimable_at_ms and request_id not in self.claims:
                self._add_orphan(request_id, now)

    def _rank_again(self, now: float) -> None:
        """Fewer stand in line: who comes after the lost ones need not wait for them."""
        for request_id in self.claimable_at_ms:
            self._add_orphan(request_id, now)

    def _add_orphan(self, request_id: str, now: float) -> None:
        self.unranked[request_id] = None
        self.due_at_ms = now

    def drop_unclaimed(self) -> None:
        """What is not claimed yet."""
        self.unranked.clear()
        self.claimable_at_ms.clear()

    def _live_incarnations(self, excluded: Incarnation | None = None) -> list[Incarnation]:
        return list({*self.view.live_incarnations(excluded), self.incarnation})

    # Claims

    def claim_due(
        self, builder: TransactionBuilder, adopted_count: int, typical_latency_ms: Mapping[str, float]
    ) -> None:
        """Claims what is due. `adopted`: requests taken over that are in hand; `usual_ms`: how long an
        attempt takes, by class, as far as it is known."""
        now = builder.now
        for request_id in list(self.unranked)[:MAX_REQUESTS_PER_TURN]:
            del self.unranked[request_id]
            observed = self.view.open_requests.get(request_id)
            if observed is not None:
                claimable_at_ms = now + self._rank(observed) * self.settings.claim_stagger_ms
                self.claimable_at_ms[request_id] = min(
                    claimable_at_ms, self.claimable_at_ms.get(request_id, math.inf)
                )
        for request_id, claim in list(self.claims.items()):
            if claim.retry_at_ms <= now:
                claim.retry_at_ms = math.inf
                self._submit(builder, request_id, claim)
        free_slots = (
            self.settings.max_adopted
            - adopted_count
            - sum(c.target_state is RequestState.OPEN for c in self.claims.values())
        )
        self._claim_ready(builder, free_slots, typical_latency_ms)
        due_times = [*self.claimable_at_ms.values(), *(c.retry_at_ms for c in self.claims.values())]
        self.due_at_ms = now if self.unranked else min(due_times, default=math.inf)
        if self.due_at_ms <= now and not self.unranked:
            self.due_at_ms = now + max(
                FULL_RECHECK_MS if free_slots <= 0 else 0.0, self.budget.wait_ms(now), 1.0
            )

    def _rank(self, observed: ObservedRequest) -> int:
        """How many claim it before this gateway. Those that began later and do not know its age come last."""
        if observed.owner == self.incarnation and observed.record.state is not RequestState.RELEASED:
            return 0
        ranking = rendezvous_order(observed.request_id, self._live_incarnations(excluded=observed.owner))
        ranking.sort(key=lambda life: not self._knows_age(life, observed))
        return ranking.index(self.incarnation) if observed.owner != self.incarnation else len(ranking)

    def _knows_age(self, incarnation: Incarnation, observed: ObservedRequest) -> bool:
        return (
            observed.not_before_ms > -math.inf
            if incarnation == self.incarnation
            else self.view.existed_before(incarnation, observed.version)
        )

    def _claim_ready(
        self, builder: TransactionBuilder, free_slots: int, typical_latency_ms: Mapping[str, float]
    ) -> None:
        now, candidates = builder.now, []
        finished_count = 0
        for request_id in [n for n, at in self.claimable_at_ms.items() if at <= now]:
            observed = self.view.open_requests.get(request_id)
            if observed is None:
                del self.claimable_at_ms[request_id]
                continue
            slack_ms = adoption.remaining_ms(observed, now, self.settings) - typical_latency_ms.get(
                observed.record.class_name, 0.0
            )
            _, request_class = self.classes.get(observed.record.class_name, (0, None))
            target_state = adoption.adoption_decision(observed.record, request_class, slack_ms, self.settings)
            if target_state is RequestState.OPEN and request_class is not None:
                candidates.append(
                    adoption.AdoptionCandidate(request_id, slack_ms, request_class.priority_weight)
                )
            elif finished_count < MAX_REQUESTS_PER_TURN:
                finished_count += 1
                self._claim(builder, observed, target_state, now)
        adoptable, missed = adoption.schedule_adoptions(
            candidates, self.budget.available(now), self.settings.adoptions_per_s
        )
        for candidate in missed[:MAX_REQUESTS_PER_TURN]:
            observed = self.view.open_requests[candidate.request_id]
            self._claim(
                builder,
                observed,
                RequestState.FAILED if observed.record.grants else RequestState.REJECTED,
                now,
            )
        for candidate in adoptable[: max(free_slots, 0)]:
            if self.budget.available(now) < 1:
                break
            self.budget.consume(now)
            observed = self.view.open_requests[candidate.request_id]
            self._claim(
                builder,
                observed,
                RequestState.OPEN,
                now + adoption.remaining_ms(observed, now, self.settings),
            )

    def _claim(
        self,
        builder: TransactionBuilder,
        observed: ObservedRequest,
        target_state: RequestState,
        deadline_ms: float,
    ) -> None:
        del self.claimable_at_ms[observed.request_id]
        self.unranked.pop(observed.request_id, None)
        claim = self.claims[observed.request_id] = Claim(
            observed, target_state, deadline_ms, builder.next_sequence()
        )
        self._submit(builder, observed.request_id, claim)

    def _submit(self, builder: TransactionBuilder, request_id: str, claim: Claim) -> None:
        record, now = claim.observed.record, builder.now
        claimed_record = changed(
            record,
            state=claim.target_state,
            owner_count=record.owner_count + 1,
            sequence=claim.sequence,
            remaining_ms=max(claim.deadline_ms - now, 0.0),
            elapsed_ms=min(record.elapsed_ms + max(now - claim.observed.not_before_ms, 0.0), MAX_DURATION_MS),
            grants=claim.grants,
        )
        if not claim.record_version:
            builder.add(
                Transaction(
                    (
                        Replace(
                            RECORD_PREFIX + request_id, encode_record(claimed_record), claim.observed.version
                        ),
                    )
                ),
                TransactionIntent(TransactionKind.CLAIM, request_id),
            )
        builder.add(
            Transaction((CheckVersion(CONTENT_PREFIX + request_id, 0),)),
            TransactionIntent(TransactionKind.READ_CONTENT, request_id),
        )

    def on_claim_result(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        claim = self.claims.get(request_id)
        if claim is None:
            return
        if result.outcome is TransactionOutcome.COMMITTED:
            claim.record_version = result.version
        elif result.outcome is TransactionOutcome.UNKNOWN:
            claim.uncertain = True
        elif claim.uncertain and result.existing is not None and self._is_own_claim(claim, result.existing):
            claim.record_version = result.existing.version  # an earlier try had won after all
        else:
            del self.claims[request_id]
            observed = self.view.open_requests.get(request_id)
            if (
                observed is not None
                and observed.version > claim.observed.version
                and self._is_orphan(observed)
            ):
                self._add_orphan(request_id, builder.now)  # seen while the claim was out

    def _is_own_claim(self, claim: Claim, found: Record) -> bool:
        return (
            found.writer == self.incarnation and decode_request_record(found.value).sequence == claim.sequence
        )

    def on_content_read(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """What the client had sent is there: from here on it is in hand, or at its end."""
        claim = self.claims.get(request_id)
        if claim is None:
            return
        if result.outcome is TransactionOutcome.UNKNOWN or not claim.record_version:
            claim.retry_at_ms = builder.now + self.settings.retry_delay_ms
            self.due_at_ms = min(self.due_at_ms, claim.retry_at_ms)
            return
        if result.existing is not None:
            claim.content_version = result.existing.version
            try:
                claim.content = decode_request_content(result.existing.value)
            except RecordError as error:
                builder.actions.append(
                    LogLine(f"takeover: record {result.existing.key!r} left alone: {error}")
                )
        if claim.target_state is not RequestState.OPEN:
            self._finish_claim(builder, request_id, claim)
        elif claim.content is None:
            builder.actions.append(
                LogLine(f"takeover: {request_id!r} can't be taken over: its content is not there")
            )
            self._change_target(builder, request_id, claim, RequestState.FAILED)
        else:
            class_index, _ = self.classes[claim.observed.record.class_name]
            content = claim.content
            builder.actions.append(
                AdoptRequest(
                    request_id,
                    class_index,
                    claim.deadline_ms,
                    content.method,
                    content.target,
                    content.headers,
                    content.body,
                )
            )

    def _change_target(
        self, builder: TransactionBuilder, request_id: str, claim: Claim, target_state: RequestState
    ) -> None:
        """What was claimed to be adopted ends instead; or it is free for others, as if never claimed."""
        observed = claim.observed
        record = changed(
            observed.record,
            owner_count=observed.record.owner_count - (target_state is RequestState.RELEASED),
            grants=claim.grants,
        )
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
        if claim.target_state is not RequestState.RELEASED:
            expires_at_ms = builder.now + self.settings.response_retention_ms
            self.response_cache.add(
                builder,
                CachedResponse(request_id, expires_at_ms, claim.record_version, 0, claim.content_version),
            )

    def on_adoption_result(
        self, builder: TransactionBuilder, request_id: str, has_slot: bool
    ) -> Claim | None:
        """The claim whose work has its slot now; without one it is free for the others."""
        claim = self.claims.get(request_id)
        if claim is None or has_slot:
            return self.claims.pop(request_id, None)
        self._change_target(builder, request_id, claim, RequestState.RELEASED)
        return None
