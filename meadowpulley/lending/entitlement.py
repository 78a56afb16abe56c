"""Compute what one gateway is entitled to: the granted fractions of the demand in its report."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple

from meadowpulley.lending.records import DemandReport, GrantedRate


class GrantedFractions(NamedTuple):
    """Hold the fractions (0 to 1) of a tenant's demand, or of all shortfalls, that can be granted.

    `own` is the fraction granted within the tenants' own quotas, `borrowed` the one granted beyond them.
    """

    own: float
    borrowed: float


NOTHING_GRANTED = GrantedFractions(own=0.0, borrowed=0.0)


@dataclass(slots=True)
class Allocation:
    """Hold the granted fractions of each tenant's demand, by place in the plan, and the spare capacity."""

    granted_fractions: dict[int, GrantedFractions]
    spare_per_gateway: float  # undemanded units per second that each gateway gets


@dataclass(slots=True)
class Entitlement:
    """Hold what one gateway should get, and how much is reserved for it already (units per second)."""

    rates: list[GrantedRate]
    total_own: float
    total_borrowed: float
    own_beyond_floor: float
    covered: float  # part of the entitlement beyond the floor that is reserved already
    own_shortfall: float
    borrowed_shortfall: float

    @classmethod
    def for_report(cls, report: DemandReport, allocation: Allocation, reserved: float) -> Entitlement:
        """Compute the entitlement for a report; `reserved` units per second are set apart for it already."""
        rates = _entitled_rates(report, allocation)
        total_own = math.fsum(own for _, own, _ in rates)
        total_borrowed = math.fsum(borrowed for _, _, borrowed in rates)
        own_beyond_floor = max(total_own - report.floor_in_use, 0.0)
        entitled = max(total_own + total_borrowed + allocation.spare_per_gateway - report.floor_in_use, 0.0)
        return cls(
            rates=rates,
            total_own=total_own,
            total_borrowed=total_borrowed,
            own_beyond_floor=own_beyond_floor,
            covered=min(entitled, reserved),
            own_shortfall=max(own_beyond_floor - reserved, 0.0),
            borrowed_shortfall=max(entitled - max(reserved, own_beyond_floor), 0.0),
        )

    def granted_total(self, fractions: GrantedFractions) -> float:
        """Return the units per second to grant if these fractions of the shortfalls can be granted."""
        return (
            self.covered + fractions.own * self.own_shortfall + fractions.borrowed * self.borrowed_shortfall
        )

    def scaled_rates(self, total: float) -> tuple[GrantedRate, ...]:
        """Scale the rates down to a sum of `total` units per second, reducing borrowed rates first."""
        own_scale = 1.0
        if self.total_own > 0:
            own_scale = min(total / self.total_own, 1.0)
        borrowed_scale = 1.0
        if self.total_borrowed > 0:
            borrowed_scale = min(max(total - self.total_own, 0.0) / self.total_borrowed, 1.0)
        return tuple(
            (place, own * own_scale, borrowed * borrowed_scale)
            for place, own, borrowed in self.rates
            if own + borrowed > 0
        )


def _entitled_rates(report: DemandReport, allocation: Allocation) -> list[GrantedRate]:
    rates = []
    for place, demand in report.rates:
        own, borrowed = allocation.granted_fractions.get(place, NOTHING_GRANTED)
        rates.append((place, demand * own, demand * borrowed))
    return rates
