"""Finds the orphaned requests of lost gateways, and decides which this gateway claims and when.

After a lost incarnation is fenced, the ledger accepts no more writes from it, so the survivors claim its open
requests, each by compare-and-set. `OrphanRanking` decides when this gateway may claim an orphan, `adoption`
whether the orphan may be adopted, and `PendingClaims` writes the claims.
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

MAX_FINISHED_PER_TURN = 64  # maximum number of orphans that each claim step finishes per event
FULL_RECHECK_MS = 20.0  # ms between checks while the limit `max_adopted` is reached
# Minimum delay in ms until the next check of orphans that may be claimed but wait for a slot or the budget.
MIN_RECHECK_MS = 1.0


class OrphanClaims:
    """Finds orphans, and chooses which of them to claim.

    `due_at_ms` is the time, in ms on this gateway's clock, at which `claim_due` has to be called next.
    """

    def __init__(self, context: StageContext, view: LedgerView, response_cache: ResponseCache) -> None:
        """Claim orphans that `view` contains, on behalf of the incarnation in `context`."""
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

    # Finding orphans

    def on_lease_expired(self, now: float, members: tuple[Member, ...]) -> None:
        """Handle members whose leases have expired according to this gateway's clock."""
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
        """Update the orphans after a poll; `own_ids` are the ids of the requests that this gateway owns."""
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
        """Forget all unclaimed orphans, so that other gateways claim them."""
        self.ranking.clear()

    # Choosing the orphans to claim

    def claim_due(self, builder: TransactionBuilder, adopted_count: int, latencies: LatencyEstimates) -> None:
        """Claim the orphans that this gateway may claim now, and retry unfinished claims.

        Args:
            builder: collects the transactions; its `now` is the current time.
            adopted_count: number of adopted requests in flight.
            latencies: the typical duration of an attempt of each class.
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
        """Return the time at which to check the orphans again.

        An orphan that this gateway may already claim is waiting for a free slot or for the adoption budget.
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
        """Claim the orphans that are to be finished without adoption; return those that may be adopted."""
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
        """Return the time to the deadline minus the typical duration of an attempt of the class."""
        remaining_ms = adoption.remaining_ms(observed, now, self.settings)
        return remaining_ms - latencies.typical_ms(observed.record.class_name)

    def _adopt_or_miss(
        self, builder: TransactionBuilder, candidates: list[AdoptionCandidate], free_slots: int
    ) -> None:
        """Claim candidates as slots and budget allow; finish those whose adoption can't begin in time."""
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

    # Results of claims

    def on_claim_result(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """Handle the result of a claim; drop the claim if another gateway changed the record first."""
        lost_claim = self.pending_claims.on_claim_result(request_id, result)
        if lost_claim is None:
            return
        observed = self.view.open_requests.get(request_id)
        if observed is None or observed.version <= lost_claim.observed.version:
            return
        if self._is_orphan(observed):
            self._add_orphan(request_id, builder.now)  # its record was observed while the claim was pending

    def on_content_read(
        self, builder: TransactionBuilder, request_id: str, result: TransactionResult
    ) -> None:
        """Continue a committed claim with the request content: finish the request, or ask for a slot."""
        retry_at_ms = self.pending_claims.on_content_read(builder, request_id, result)
        self.due_at_ms = min(self.due_at_ms, retry_at_ms)

    def on_adoption_result(
        self, builder: TransactionBuilder, request_id: str, *, has_slot: bool
    ) -> Claim | None:
        """Return the claim if its request got a slot; otherwise release the request and return None."""
        return self.pending_claims.on_adoption_result(builder, request_id, has_slot=has_slot)
