"""Limit one tenant at one gateway by two token buckets: for its own quota, and for what it borrows."""

from __future__ import annotations

from collections.abc import Mapping

from meadowpulley.lending.plan import MS_PER_SECOND

# A tenant's bucket holds this many times the plan's `burst_ms` of its rate, so that a tenant can make up for
# a pause in which others used its capacity.
TENANT_BURSTS = 3.0
# A tenant's bucket holds at least this many requests of the greatest cost seen, however low the rate is.
MIN_TENANT_BURST_REQUESTS = 6.0
MIN_CLASSES_TO_PRIORITIZE = 2


class TenantBuckets:
    """Hold a tenant's two buckets, with tokens in the plan's units and rates in units per second."""

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
        self.refilled_at = now
        self.retry_slot_at = now  # retry time given to the last rejected request
        self.own_tokens = self.own_rate = self.own_burst = 0.0
        self.borrowed_tokens = self.borrowed_rate = self.borrowed_burst = 0.0
        # Fraction (0 to 1) of each class to admit; empty while all classes fit into the rate.
        self.class_fractions: dict[int, float] = {}
        self.class_credit: dict[int, float] = {}

    @property
    def rate(self) -> float:
        """Return the sum of the own and the borrowed rate, in units per second."""
        return self.own_rate + self.borrowed_rate

    def set_rates(
        self, own_rate: float, borrowed_rate: float, burst_ms: float, max_request_cost: float
    ) -> None:
        """Refill the buckets at these rates (units per second) from now on."""
        self.own_rate = own_rate
        self.borrowed_rate = borrowed_rate
        self.own_burst = _tenant_burst(own_rate, burst_ms, max_request_cost)
        self.borrowed_burst = _tenant_burst(borrowed_rate, burst_ms, max_request_cost)

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        seconds = max(now - self.refilled_at, 0.0) / MS_PER_SECOND
        self.refilled_at = max(now, self.refilled_at)
        self.own_tokens = min(self.own_tokens + self.own_rate * seconds, self.own_burst)
        self.borrowed_tokens = min(self.borrowed_tokens + self.borrowed_rate * seconds, self.borrowed_burst)

    def admits_class(self, class_index: int, bucket_is_plentiful: bool) -> bool:
        """Return whether a request of a class may take tokens.

        A class that is admitted only in part gains its fraction as credit with each request, and spends 1
        credit for each request admitted. While the gateway's bucket is plentiful, every class is admitted,
        because a full bucket would lose tokens.
        """
        fraction = self.class_fractions.get(class_index, 1.0)
        if fraction >= 1 or bucket_is_plentiful:
            return True
        credit = self.class_credit.get(class_index, 0.0) + fraction
        admits = credit >= 1
        self.class_credit[class_index] = credit - 1 if admits else credit
        return admits

    def prioritize_classes(
        self, class_rates: Mapping[int, float], priority_weights: Mapping[int, float]
    ) -> None:
        """Set the fraction of each class to admit if the classes together exceed the tenant's rate.

        Classes are served by priority weight, highest first. The first class that does not fit completely is
        admitted in part. `class_rates` are in units per second by class.
        """
        self.class_fractions = {}
        remaining = self.rate
        if len(class_rates) < MIN_CLASSES_TO_PRIORITIZE or sum(class_rates.values()) <= remaining:
            return
        by_priority = sorted(class_rates, key=lambda index: (-priority_weights.get(index, 1.0), index))
        for class_index in by_priority:
            demand = class_rates[class_index]
            self.class_fractions[class_index] = min(remaining / demand, 1.0) if demand > 0 else 1.0
            remaining = max(remaining - demand, 0.0)


def _tenant_burst(rate: float, burst_ms: float, max_request_cost: float) -> float:
    if rate <= 0:
        return 0.0
    return max(rate * TENANT_BURSTS * burst_ms / MS_PER_SECOND, MIN_TENANT_BURST_REQUESTS * max_request_cost)
