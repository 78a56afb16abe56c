"""The orphans of lost gateways: which requests they are, and which of them this gateway claims when.

Once a lost incarnation is fenced nothing it writes is committed any more; then its open requests are
claimed, each by compare-and-set. `OrphanRanking` says when this gateway may claim each, `adoption` whether it
may be adopted, and `PendingClaims` carries the claims out.
"""

from __future__ import annotations

import math
from collections.abc import Container

from meadowpulley.ledger import Incarnation, Member, TransactionResult
from meadowpulley.takeover import adoption
from meadowpulley.takeover.adoption import AdoptionBudget, AdoptionCandidate
from meadowpulley.takeover.claim import Claim
from meadowpulley.takeover.context import StageContext
from meadowpulley.takeover.latency_estimates import LatencyEstimates
from meadowpulley.takeover.ledger_view import LedgerView, ObservedRequest
from meadowpulley.takeover.orphan_ranking import OrphanRanking
from meadowpulley.takeover.pending_claims import PendingClaims
from meadowpulley.takeover.records import RequestState
from meadowpulley.takeover.response_cache import ResponseCache
from meadowpulley.takeover.transaction_builder import TransactionBuilder

MAX_FINISHED_PER_TURN = 64  # orphans that are finished while one event is handled
FULL_RECHECK_MS = 20.0  # between two checks while `max_adopted` requests are adopted
MIN_RECHECK_MS = 1.0


class OrphanClaims:
    """Finds orphans, and chooses which of them to claim.

    `due_at_ms`: when `claim_due` has something to do, in ms on this gateway's clock.
    """

    def __init__(self, context: StageContext, view: LedgerView, response_cache: ResponseCache) -> None:
        """Claim for the incarnation of `context` what `view` shows of lost gateways."""
        self.incarnation = context.incarnation
        self.settings = context.settings
        self.classes = {
            request_class.name: request_class for request_class in context.gateway_settings.classes
        }
        self.view = view
        self.ranking = OrphanRanking(context.incarnation, context.settings.claim_stagger_ms, view)
        self.pending_claims = PendingClaims(context, response_cache)
        self.budget = AdoptionBudget(context.settings)
        self.due_at_ms = math.inf

    # What is an orphan

    def on_lease_expired(self, now: float, members: tuple[Member, ...]) -> None:
        """Note that the leases of these members expired by this gateway's clock."""
        for member in members:
            for incarnation in self.view.record_lease_expiry(member):
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
            self.ranking.discard(request_id)
            if observed is None or request_id in own_ids or request_id in self.pending_claims.by_id:
                continue
            if self._is_orphan(observed):
                self._add_orphan(request_id, now)

    def _is_orphan(self, observed: ObservedRequest) -> bool:
        if observed.owner == self.incarnation or observed.record.state is RequestState.RELEASED:
            return True
        return self.view.has_ended(observed.owner)

    def _add_orphans_of(self, incarnation: Incarnation, now: float) -> None:
        for request_id in self.view.open_ids_of(incarnation):
            is_known = request_id in self.ranking.claimable_at_ms or request_id in self.pending_claims.by_id
            if not is_known:
                self._add_orphan(request_id, now)

    def _add_orphan(self, request_id: str, now: float) -> None:
        self.ranking.add(request_id)
        self.due_at_ms = now

    def _rank_again(self, now: float) -> None:
        if self.ranking.claimable_at_ms:
            self.ranking.add_again()
            self.due_at_ms = now

    def drop_unclaimed(self) -> None:
        """Leave all orphans that are not claimed yet to the other gateways."""
        self.ranking.clear()

    # Which orphans to claim

    def claim_due(self, builder: TransactionBuilder, adopted_count: int, latencies: LatencyEstimates) -> None:
        """Claim the orphans that are due.

        Args:
            builder: takes the transactions; its `now` is the time.
            adopted_count: adopted requests in flight.
            latencies: how long an attempt of each class usually takes.
        """
        now = builder.now
        self.ranking.rank_new(now)
        self.pending_claims.retry_due(builder)
        adopting_count = self.pending_claims.adopting_count()
        free_slots = self.settings.max_adopted - adopted_count - adopting_count
        candidates = self._finish_or_collect(builder, latencies)
        self._adopt_or_miss(builder, candidates, free_slots)
        self.due_at_ms = self._next_due_at_ms(now, free_slots)

    def _next_due_at_ms(self, now: float, free_slots: int) -> float:
        """Return when there is something to claim again.

        An orphan that may be claimed already waits for a slot or for the budget.
        """
        if self.ranking.unranked:
            return now
        next_claimable_at_ms = min(self.ranking.claimable_at_ms.values(), default=math.inf)
        due_at_ms = min(next_claimable_at_ms, self.pending_claims.next_retry_at_ms())
        if due_at_ms > now:
            return due_at_ms
        slot_wait_ms = FULL_RECHECK_MS if free_slots <= 0 else 0.0
        return now + max(slot_wait_ms, self.budget.wait_ms(now), MIN_RECHECK_MS)

    def _finish_or_collect(
        self, builder: TransactionBuilder, latencies: LatencyEstimates
    ) -> list[AdoptionCandidate]:
        """Claim those orphans that end at once; return the ones that may be adopted."""
        now = builder.now
        candidates: list[AdoptionCandidate] = []
        finished_count = 0
        for request_id in self.ranking.claimable(now):
            observed = self.view.open_requests.get(request_id)
            if observed is None:
                del self.ranking.claimable_at_ms[request_id]
                continue
            request_class = self.classes.get(observed.record.class_name)
            slack_ms = self._slack_ms(observed, now, latencies)
            state = adoption.adoption_decision(observed.record, request_class, slack_ms, self.settings)
            if state is RequestState.OPEN and request_class is not None:
                candidates.append(AdoptionCandidate(request_id, slack_ms, request_class.priority_weight))
            elif finished_count < MAX_FINISHED_PER_TURN:
                finished_count += 1
                self._claim(builder, observed, state, now)
        return candidates

    def _slack_ms(self, observed: ObservedRequest, now: float, latencies: LatencyEstimates) -> float:
        """Return the remaining time beyond what an attempt of the class usually takes."""
        remaining_ms = adoption.remaining_ms(observed, now, self.settings)
        return remaining_ms - latencies.typical_ms(observed.record.class_name)

    def _adopt_or_miss(
        self, builder: TransactionBuilder, candidates: list[AdoptionCandidate], free_slots: int
    ) -> None:
        """Claim candidates for adoption within slots and budget; finish those that can't begin in time."""
        now = builder.now
        available = self.budget.available(now)
        adoptable, missed = adoption.schedule_adoptions(candidates, available, self.settings.adoptions_per_s)
        for candidate in missed[:MAX_FINISHED_PER_TURN]:
            observed = self.view.open_requests[candidate.request_id]
            self._claim(builder, observed, adoption.state_of_unadopted(observed.record), now)
        for candidate in adoptable[: max(free_slots, 0)]:
            if self.budget.available(now) < 1:
                break
            self.budget.consume(now)
            observed = self.view.open_requests[candidate.request_id]
            deadline_ms = now + adoption.remaining_ms(observed, now, self.settings)
            self._claim(builder, observed, RequestState.OPEN, deadline_ms)

    def _claim(
        self,
        builder: TransactionBuilder,
        observed: ObservedRequest,
        target_state: RequestState,
        deadline_ms: float,
    ) -> None:
        self.ranking.discard(observed.request_id)
        self.pending_claims.begin(builder, observed, target_state, deadline_ms)

    # Results

    def on_claim_result(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """Note whether a claim was committed, or drop one that another gateway has won."""
        lost_claim = self.pending_claims.on_claim_result(request_id, result)
        if lost_claim is None:
            return
        observed = self.view.open_requests.get(request_id)
        if observed is None or observed.version <= lost_claim.observed.version:
            return
        if self._is_orphan(observed):
            self._add_orphan(request_id, builder.now)  # it was observed while the claim was under way

    def on_content_read(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """Continue a committed claim with what the client sent: finish it, or ask for a slot."""
        retry_at_ms = self.pending_claims.on_content_read(builder, request_id, result)
        self.due_at_ms = min(self.due_at_ms, retry_at_ms)

    def on_adoption_result(
        self, builder: TransactionBuilder, request_id: str, *, has_slot: bool
    ) -> Claim | None:
        """Return the claim whose request has a slot now; without one the request is released."""
        return self.pending_claims.on_adoption_result(builder, request_id, has_slot=has_slot)
