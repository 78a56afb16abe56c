"""Decide what one gateway may admit now, by token buckets filled at the rates of its floor and grant.

One bucket limits the whole gateway: in any period, it admits at most the tokens added in that period plus the
burst that it may have saved up (`QuotaEnforcer.burst`). In addition, each tenant has one bucket for its own
quota and one for what it borrows. Tokens that owners leave unused at this gateway fill the gateway's bucket,
and any tenant may take from the top part of it. The part below is reserved for tenants that were granted
capacity, and most of that for owners, because their arrivals are uneven (trunk reservation; Ross,
Multiservice Loss Models, 1995).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from enum import Enum

from meadowpulley.lending.plan import MS_PER_SECOND, QuotaPlan
from meadowpulley.lending.records import QuotaGrant
from meadowpulley.lending.tenant_buckets import TenantBuckets

# Fractions of the gateway's bucket that must remain after a request is admitted. At or above the first, any
# tenant is admitted; at or above the second, tenants with borrowed tokens; below the second, only tenants
# within their own quotas.
RESERVED_FOR_GRANTED = 0.85
RESERVED_FOR_OWNERS = 0.65
# While at least this fraction of the gateway's bucket remains, every class is admitted whatever its priority.
PRIORITY_FREE_FRACTION = 0.4
# The gateway's burst holds at least this many requests of the greatest cost seen. With a smaller burst, no
# request would fit above the reserved fractions.
MIN_BURST_REQUESTS = 2.0
# Retries of a tenant's rejected requests are spaced out over at most this many grant terms from now.
MAX_RETRY_AFTER_TERMS = 2


class Admission(Enum):
    """State how a request was admitted: within the tenant's own quota, with borrowed capacity, or not."""

    OWN = "own"
    BORROWED = "borrowed"
    REJECTED = "refused"


class QuotaEnforcer:
    """Admit or reject requests within this gateway's floor and grant.

    A gateway without a grant may use only its floor, and admits nothing until it has been granted a floor.
    """

    def __init__(self, plan: QuotaPlan) -> None:
        self.plan = plan
        self.max_request_cost = 1.0  # greatest cost of a request so far, in units
        self.floor = 0.0
        self.floor_until = -math.inf  # in ms on this gateway's own clock, like `grant_until`
        self.grant: QuotaGrant | None = None
        self.grant_until = -math.inf
        self.tokens = 0.0
        self.refilled_at = -math.inf
        self.tenant_buckets: dict[int, TenantBuckets] = {}

    @property
    def rate(self) -> float:
        """Return the units per second that may be admitted on average."""
        return self.floor + (self.grant.total if self.grant else 0.0)

    @property
    def burst(self) -> float:
        """Return the greatest number of units that the gateway's bucket may hold."""
        rate = self.rate
        if rate <= 0:
            return 0.0
        return max(rate * self.plan.burst_ms / MS_PER_SECOND, MIN_BURST_REQUESTS * self.max_request_cost)

    # Time

    def advance(self, now: float) -> None:
        """Refill the bucket up to `now`; a grant or floor that expired meanwhile counts until it expired."""
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
            self.tokens += self.rate * max(now - self.refilled_at, 0.0) / MS_PER_SECOND
        self.tokens = min(self.tokens, self.burst)
        self.refilled_at = max(now, self.refilled_at)

    # Grants and floors

    def _apply(self, now: float, grant: QuotaGrant | None, floor: float) -> None:
        for buckets in self.tenant_buckets.values():
            buckets.refill(now)
        self.grant = grant
        self.floor = floor
        rates: dict[int, tuple[float, float]] = {}
        if grant is not None:
            rates = {place: (own, borrowed) for place, own, borrowed in grant.rates}
        for place, buckets in self.tenant_buckets.items():
            own_rate, borrowed_rate = rates.get(place, (0.0, 0.0))
            self._set_tenant_rates(buckets, place, own_rate, borrowed_rate)
        self.tokens = min(self.tokens, self.burst)

    def _set_tenant_rates(
        self, buckets: TenantBuckets, place: int, granted_own_rate: float, borrowed_rate: float
    ) -> None:
        """Set a tenant's granted rates; its own rate is at least its quota's fraction of the floor."""
        own_rate = max(self.floor * self.plan.fraction(place), granted_own_rate)
        buckets.set_rates(own_rate, borrowed_rate, self.plan.burst_ms, self.max_request_cost)

    def apply_grant(self, now: float, grant: QuotaGrant, until: float) -> None:
        """Replace the current grant by a newer one that is valid until the time `until`."""
        self.advance(now)
        if until > now:
            self.grant_until = until
            self._apply(now, grant, self.floor)

    def set_floor(self, now: float, rate: float, until: float) -> None:
        """Use a floor of `rate` units per second until the time `until`."""
        self.advance(now)
        self.floor_until = until
        if rate != self.floor:
            self._apply(now, self.grant, rate)

    def revoke_grant(self, now: float) -> None:
        """Stop using the grant, and keep the floor."""
        self.advance(now)
        self.grant_until = -math.inf
        self._apply(now, None, self.floor)

    def revoke_all(self, now: float) -> None:
        """Stop using both the grant and the floor."""
        self.advance(now)
        self.grant_until = -math.inf
        self.floor_until = -math.inf
        self._apply(now, None, 0.0)

    def update_plan(self, now: float, plan: QuotaPlan) -> None:
        """Use the quotas of a new plan at once; keep the grant, with rates matched by tenant name."""
        self.advance(now)
        new_places = self.plan.places_in(plan)
        new_places[len(self.plan.tenants)] = len(plan.tenants)
        grant = self.grant
        if grant is not None:
            grant = _move_rates(grant, new_places)
        self.tenant_buckets = {
            new_places[place]: buckets
            for place, buckets in self.tenant_buckets.items()
            if place in new_places
        }
        self.plan = plan
        self._apply(now, grant, self.floor)

    # Requests

    def buckets_of(self, now: float, place: int) -> TenantBuckets:
        """Return a tenant's buckets, refilled up to `now`."""
        buckets = self.tenant_buckets.get(place)
        if buckets is None:
            return self._add_buckets(now, place)
        buckets.refill(now)
        return buckets

    def _add_buckets(self, now: float, place: int) -> TenantBuckets:
        """Create buckets for a tenant's first request here; the bucket of its own quota starts full."""
        buckets = self.tenant_buckets[place] = TenantBuckets(now)
        own_rate, borrowed_rate = self._granted_rates(place)
        self._set_tenant_rates(buckets, place, own_rate, borrowed_rate)
        buckets.own_tokens = buckets.own_burst
        return buckets

    def _granted_rates(self, place: int) -> tuple[float, float]:
        """Return a tenant's granted rates in units per second: from its own quota, and borrowed."""
        granted = (0.0, 0.0)
        if self.grant is not None:
            for granted_place, own, borrowed in self.grant.rates:
                if granted_place == place:
                    granted = (own, borrowed)
        return granted

    def admit(self, now: float, place: int, class_index: int, cost: float) -> Admission:
        """Decide whether to admit a request that costs `cost` units, and take its tokens if so."""
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
        """Take the cost from one of a tenant's buckets, or from the top part of the gateway's bucket."""
        burst = self.burst
        is_plentiful = remaining >= PRIORITY_FREE_FRACTION * burst
        if buckets.own_tokens >= cost and buckets.admits_class(class_index, is_plentiful):
            buckets.own_tokens -= cost
            return Admission.OWN
        may_borrow = buckets.borrowed_tokens >= cost and remaining >= RESERVED_FOR_OWNERS * burst
        if may_borrow and buckets.admits_class(class_index, is_plentiful):
            buckets.borrowed_tokens -= cost
            return Admission.BORROWED
        if remaining >= RESERVED_FOR_GRANTED * burst:
            return Admission.BORROWED
        return Admission.REJECTED

    def retry_after_ms(self, now: float, place: int, cost: float) -> float:
        """Return after how many milliseconds a rejected request may be retried.

        Retries of one tenant are spaced at its rate at this gateway, so that they do not arrive all at once.
        """
        buckets = self.buckets_of(now, place)
        rate = buckets.rate
        if rate == 0:
            rate = self.rate / max(len(self.tenant_buckets), 1)
        if rate <= 0:
            return self.plan.term_ms
        slot_at = max(buckets.retry_slot_at, now) + MS_PER_SECOND * cost / rate
        buckets.retry_slot_at = min(slot_at, now + MAX_RETRY_AFTER_TERMS * self.plan.term_ms)
        return buckets.retry_slot_at - now

    def prioritize_classes(
        self,
        now: float,
        rates: Mapping[int, Mapping[int, float]],
        priority_weights: Mapping[int, float],
    ) -> None:
        """Set the fraction of each class to admit for tenants whose rates exceed their grants.

        `rates` are units per second by place and class; see `TenantBuckets.prioritize_classes`.
        """
        self.advance(now)
        for place, buckets in self.tenant_buckets.items():
            buckets.prioritize_classes(rates.get(place, {}), priority_weights)


def _move_rates(grant: QuotaGrant, new_places: Mapping[int, int]) -> QuotaGrant:
    """Return a grant with its rates moved to new places; drop rates of tenants without a new place."""
    rates = []
    for place, own, borrowed in grant.rates:
        if place in new_places:
            rates.append((new_places[place], own, borrowed))
    return replace(grant, rates=tuple(rates))
