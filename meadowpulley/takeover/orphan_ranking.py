"""The orphans that no gateway has claimed yet, and the times at which this gateway may claim them.

For every orphan, rendezvous hashing ranks the surviving gateways. Each gateway waits `claim_stagger_ms`
longer than the one ranked before it. If a gateway is busy or crashes, the next one claims the orphan after
that delay.
"""

from __future__ import annotations

import math

from meadowpulley.ledger import Incarnation, rendezvous_order
from meadowpulley.takeover.ledger_view import LedgerView, ObservedRequest
from meadowpulley.takeover.records import RequestState

MAX_RANKED_PER_TURN = 64  # maximum number of orphans ranked per event


class OrphanRanking:
    """Computes when this gateway may claim each unclaimed orphan.

    `claimable_at_ms` maps request ids to times in ms on this gateway's clock. Ranking an orphan again can
    make its time earlier, never later.
    """

    def __init__(self, incarnation: Incarnation, claim_stagger_ms: float, view: LedgerView) -> None:
        """Rank orphans for `incarnation` among the live incarnations in `view`."""
        self.incarnation = incarnation
        self.claim_stagger_ms = claim_stagger_ms
        self.view = view
        self.unranked: dict[str, None] = {}  # request ids, in the order in which they will be ranked
        self.claimable_at_ms: dict[str, float] = {}

    def add(self, request_id: str) -> None:
        """Queue an orphan for ranking, even if it was ranked before."""
        self.unranked[request_id] = None

    def add_again(self) -> None:
        """Queue all orphans for ranking again, so that none waits for a lost gateway that is ranked first."""
        for request_id in self.claimable_at_ms:
            self.unranked[request_id] = None

    def discard(self, request_id: str) -> None:
        """Forget an orphan; do nothing if it is not known."""
        self.unranked.pop(request_id, None)
        self.claimable_at_ms.pop(request_id, None)

    def clear(self) -> None:
        """Forget all orphans."""
        self.unranked.clear()
        self.claimable_at_ms.clear()

    def claimable(self, now: float) -> list[str]:
        """Return the orphans that this gateway may claim now."""
        return [request_id for request_id, at_ms in self.claimable_at_ms.items() if at_ms <= now]

    def rank_new(self, now: float) -> None:
        """Rank queued orphans, at most `MAX_RANKED_PER_TURN` per event."""
        for request_id in list(self.unranked)[:MAX_RANKED_PER_TURN]:
            del self.unranked[request_id]
            observed = self.view.open_requests.get(request_id)
            if observed is not None:
                at_ms = now + self._rank(observed) * self.claim_stagger_ms
                known_at_ms = self.claimable_at_ms.get(request_id, math.inf)
                self.claimable_at_ms[request_id] = min(at_ms, known_at_ms)

    def _rank(self, observed: ObservedRequest) -> int:
        """Return how many gateways may claim the orphan before this one.

        Gateways that started after the record was written do not know its age, and come last.
        """
        is_own = observed.owner == self.incarnation
        if is_own and observed.record.state is not RequestState.RELEASED:
            return 0
        survivors = {*self.view.live_incarnations(excluded=observed.owner), self.incarnation}
        ranking = rendezvous_order(observed.request_id, list(survivors))
        if is_own:
            return len(ranking)
        ranking.sort(key=lambda incarnation: not self._knows_age(incarnation, observed))
        return ranking.index(self.incarnation)

    def _knows_age(self, incarnation: Incarnation, observed: ObservedRequest) -> bool:
        if incarnation == self.incarnation:
            return observed.not_before_ms > -math.inf
        return self.view.existed_before(incarnation, observed.version)
