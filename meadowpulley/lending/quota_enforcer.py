"""What one gateway may admit now: token buckets whose rates and bursts follow from its floor and its grant.

One bucket bounds the gateway: over any time it admits at most what its rates gave it in that time and the
burst it may have saved (`QuotaEnforcer.burst`). Within it each tenant has a bucket for its own quota and one
for what it borrows. What owners leave unused here fills the gateway's bucket, and any tenant may take from
its top; a part below is kept for tenants that were granted something, and most of that for owners, whose
arrivals are uneven (trunk reservation; Ross, Multiservice Loss Models, 1995).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from enum import Enum

from meadowpulley.lending.plan import QuotaPlan
from meadowpulley.lending.records import QuotaGrant

# Fractions of the gateway's bucket:
RESERVED_FOR_GRANTED = 0.85  # kept for tenants that were granted something
RESERVED_FOR_OWNERS = 0.65  # kept for tenants within their own quotas
PRIORITY_FREE_FRACTION = 0.4  # above it every class is admitted, whatever its priority
TENANT_BURSTS = 3.0  # how much a tenant may save up of its rate, in bursts: while it paused, others used it
MIN_TENANT_BURST_REQUESTS = 6.0  # of the greatest cost fit into a tenant's bucket, however low its rate
MIN_BURST_REQUESTS = 2.0  # of the greatest cost: with less no request would fit above the reserves
MAX_RETRY_AFTER_TERMS = 2  # beyond now, up to which retries of a tenant are queued


class Admission(Enum):
    """How a request was admitted: within the tenant's own quota, with borrowed capacity, or not at all."""

    OWN = "own"
    BORROWED = "borrowed"
    REJECTED = "refused"


class TenantBuckets:
    """One tenant's token buckets at one gateway: for its own quota, and for what it borrows."""

    __slots__ = (
        "borrowed_burst",
        "borrowed_rate",
        "borrowed_tokens",
        "class_credit",
        "class_fractions",
        "own_burst",
        "own_rate",
        "own_tokens",
        "refilled_at",
        "retry_slot_at",
    )

    def __init__(self, now: float) -> None:
        self.refilled_at, self.retry_slot_at = now, now
        self.own_tokens = self.own_rate = self.own_burst = 0.0
        self.borrowed_tokens = self.borrowed_rate = self.borrowed_burst = 0.0
        self.class_fractions: dict[int, float] = {}  # of each class that is admitted, while not all can be
        self.class_credit: dict[int, float] = {}

    def set_rates(
        self, own_rate: float, borrowed_rate: float, burst_ms: float, max_request_cost: float
    ) -> None:
        """Refill at these rates (units per second) from now on."""
        self.own_rate, self.borrowed_rate = own_rate, borrowed_rate
        self.own_burst = _tenant_burst(own_rate, burst_ms, max_request_cost)
        self.borrowed_burst = _tenant_burst(borrowed_rate, burst_ms, max_request_cost)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        seconds, self.refilled_at = max(now - self.refilled_at, 0.0) / 1000, max(now, self.refilled_at)
        self.own_tokens = min(self.own_tokens + self.own_rate * seconds, self.own_burst)
        self.borrowed_tokens = min(self.borrowed_tokens + self.borrowed_rate * seconds, self.borrowed_burst)

    def admits_class(self, class_index: int, bucket_is_full: bool) -> bool:
        """Whether a request of a class may take tokens.

        A class of which only a fraction is admitted collects credit with each request. A full bucket admits
        any class: its tokens would be lost otherwise.
        """
        fraction = self.class_fractions.get(class_index, 1.0)
        if fraction >= 1 or bucket_is_full:
            return True
        self.class_credit[class_index] = self.class_credit.get(class_index, 0.0) + fraction
        if self.class_credit[class_index] < 1:
            return False
        self.class_credit[class_index] -= 1
        return True


def _tenant_burst(rate: float, burst_ms: float, max_request_cost: float) -> float:
    if rate <= 0:
        return 0.0
    return max(rate * TENANT_BURSTS * burst_ms / 1000, MIN_TENANT_BURST_REQUESTS * max_request_cost)


class QuotaEnforcer:
    """Admit or reject requests within this gateway's floor and grant.

    Gateways without a grant have their floor only, and nothing until they are given one.
    """

    def __init__(self, plan: QuotaPlan) -> None:
        self.plan = plan
        self.max_request_cost = 1.0  # so far
        self.floor, self.floor_until = 0.0, -math.inf
        self.grant: QuotaGrant | None = None
        self.grant_until = -math.inf  # on this gateway's own clock
        self.tokens, self.refilled_at = 0.0, -math.inf
        self.tenant_buckets: dict[int, TenantBuckets] = {}

    @property
    def rate(self) -> float:
        """Units per second that may be admitted in the long run."""
        return self.floor + (self.grant.total if self.grant else 0.0)

    @property
    def burst(self) -> float:
        """Units that may be saved up, at most."""
        if self.rate <= 0:
            return 0.0
        return max(self.rate * self.plan.burst_ms / 1000, MIN_BURST_REQUESTS * self.max_request_cost)

    # Time

    def advance(self, now: float) -> None:
        """Refill up to now; a grant or floor that ended in between counts up to its end."""
        for end in sorted((self.grant_until, self.floor_until)):
            if self.refilled_at < end <= now:
                self._refill(end)
            if end <= now:
                self._expire(end)
        self._refill(now)

    def _expire(self, now: float) -> None:
        if self.grant_until <= now and self.grant is not None:
            self._apply(now, None, self.floor)
        if self.floor_until <= now and self.floor > 0:
            self._apply(now, self.grant, 0.0)

    def _refill(self, now: float) -> None:
        if self.refilled_at > -math.inf:
            self.tokens += self.rate * max(now - self.refilled_at, 0.0) / 1000
        self.tokens, self.refilled_at = min(self.tokens, self.burst), max(now, self.refilled_at)

    # Grants and floors

    def _apply(self, now: float, grant: QuotaGrant | None, floor: float) -> None:
        for buckets in self.tenant_buckets.values():
            buckets.refill(now)
        self.grant, self.floor = grant, floor
        rates = {place: (own, borrowed) for place, own, borrowed in grant.rates} if grant else {}
        for place, buckets in self.tenant_buckets.items():
            self._set_tenant_rates(buckets, place, rates)
        self.tokens = min(self.tokens, self.burst)

    def _set_tenant_rates(
        self, buckets: TenantBuckets, place: int, rates: Mapping[int, tuple[float, float]]
    ) -> None:
        own, borrowed = rates.get(place, (0.0, 0.0))
        fraction = self.plan.tenants[place].fraction if place < len(self.plan.tenants) else 0.0
        own_rate = max(self.floor * fraction, own)
        buckets.set_rates(own_rate, borrowed, self.plan.burst_ms, self.max_request_cost)

    def apply_grant(self, now: float, grant: QuotaGrant, until: float) -> None:
        """Use a newer grant in place of the previous one, until that moment."""
        self.advance(now)
        if until > now:
            self.grant_until = until
            self._apply(now, grant, self.floor)

    def set_floor(self, now: float, rate: float, until: float) -> None:
        """Use a floor of `rate` units per second until that moment."""
        self.advance(now)
        self.floor_until = until
        if rate != self.floor:
            self._apply(now, self.grant, rate)

    def revoke(self, now: float, floor: bool) -> None:
        """Use no grant any more, nor the floor if `floor`."""
        self.advance(now)
        self.grant_until = -math.inf
        if floor:
            self.floor_until = -math.inf
        self._apply(now, None, 0.0 if floor else self.floor)

    def update_plan(self, now: float, plan: QuotaPlan) -> None:
        """Use other quotas at once; what is granted goes on under the tenants' names."""
        self.advance(now)
        new_places = {quota.name: place for place, quota in enumerate(plan.tenants)}
        new_place_of = {
            place: new_places[quota.name]
            for place, quota in enumerate(self.plan.tenants)
            if quota.name in new_places
        }
        new_place_of[len(self.plan.tenants)] = len(plan.tenants)
        grant = self.grant
        if grant is not None:
            rates = tuple(
                (new_place_of[place], own, borrowed)
                for place, own, borrowed in grant.rates
                if place in new_place_of
            )
            grant = replace(grant, rates=rates)
        self.tenant_buckets = {
            new_place_of[place]: buckets
            for place, buckets in self.tenant_buckets.items()
            if place in new_place_of
        }
        self.plan = plan
        self._apply(now, grant, self.floor)

    # Requests

    def buckets_of(self, now: float, place: int) -> TenantBuckets:
        """Return a tenant's buckets, refilled up to now."""
        buckets = self.tenant_buckets.get(place)
        if buckets is None:
            buckets = self.tenant_buckets[place] = TenantBuckets(now)
            rates = self.grant.rates if self.grant else ()
            own_rates = {other: (own, borrowed) for other, own, borrowed in rates if other == place}
            self._set_tenant_rates(buckets, place, own_rates)
            buckets.own_tokens = buckets.own_burst
        else:
            buckets.refill(now)
        return buckets

    def admit(self, now: float, place: int, class_index: int, cost: float) -> Admission:
        """Decide on one request of that cost (units), and take its tokens if it is admitted."""
        self.max_request_cost = max(self.max_request_cost, cost)
        self.advance(now)
        buckets = self.buckets_of(now, place)
        remaining = self.tokens - cost
        if remaining < 0:
            return Admission.REJECTED
        admission = self._choose_bucket(buckets, class_index, cost, remaining)
        if admission is not Admission.REJECTED:
            self.tokens = remaining
        return admission

    def _choose_bucket(
        self, buckets: TenantBuckets, class_index: int, cost: float, remaining: float
    ) -> Admission:
        """Take the cost from one of a tenant's buckets, or from the top of the gateway's."""
        burst = self.burst
        is_full = remaining >= PRIORITY_FREE_FRACTION * burst
        if buckets.own_tokens >= cost and buckets.admits_class(class_index, is_full):
            buckets.own_tokens -= cost
            return Admission.OWN
        may_borrow = buckets.borrowed_tokens >= cost and remaining >= RESERVED_FOR_OWNERS * burst
        if may_borrow and buckets.admits_class(class_index, is_full):
            buckets.borrowed_tokens -= cost
            return Admission.BORROWED
        if remaining >= RESERVED_FOR_GRANTED * burst:
            return Admission.BORROWED
        return Admission.REJECTED

    def retry_after_ms(self, now: float, place: int, cost: float) -> float:
        """Return after how many milliseconds a rejected request may be retried.

        Retries of one tenant are spaced as its rate here allows, so that they do not come back all at once.
        """
        buckets = self.buckets_of(now, place)
        rate = buckets.own_rate + buckets.borrowed_rate or self.rate / max(len(self.tenant_buckets), 1)
        if rate <= 0:
            return self.plan.term_ms
        slot_at = max(buckets.retry_slot_at, now) + 1000 * cost / rate
        buckets.retry_slot_at = min(slot_at, now + MAX_RETRY_AFTER_TERMS * self.plan.term_ms)
        return buckets.retry_slot_at - now

    def prioritize_classes(
        self,
        now: float,
        rates: Mapping[int, Mapping[int, float]],
        priority_weights: Mapping[int, float],
    ) -> None:
        """Decide which fraction of each class of a tenant is admitted while its rates exceed its grant.

        Classes of the greatest weight come first; the first one that does not fit is admitted in part.
        `rates` are units per second by place and class.
        """
        self.advance(now)
        for place, buckets in self.tenant_buckets.items():
            class_rates = rates.get(place, {})
            remaining, buckets.class_fractions = buckets.own_rate + buckets.borrowed_rate, {}
            if len(class_rates) < 2 or sum(class_rates.values()) <= remaining:
                continue
            for class_index in sorted(
                class_rates, key=lambda index: (-priority_weights.get(index, 1.0), index)
            ):
                demand = class_rates[class_index]
                buckets.class_fractions[class_index] = min(remaining / demand, 1.0) if demand > 0 else 1.0
                remaining = max(remaining - demand, 0.0)
