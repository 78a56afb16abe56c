"""Divide the capacity between gateways, by answering every demand report with a grant.

The gateway that is elected as the allocator runs this code. Invariant: at every moment, the floors and all
grants that any gateway may still use (`reservations`) add up to at most the capacity. A grant is therefore
raised only by capacity that is free. When a grant is lowered, the difference is free once its gateway has
acknowledged the lower grant. An expired grant is free once a record states that it was reclaimed. A newly
elected allocator computes the same sum from the records.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from meadowpulley.lending.entitlement import Allocation, Entitlement, GrantedFractions
from meadowpulley.lending.max_min_fairness import Division, divide_capacity
from meadowpulley.lending.plan import QuotaPlan
from meadowpulley.lending.records import DemandReport, QuotaGrant
from meadowpulley.lending.reservations import CapacityReservations, ObservedReport, Reservation

RATE_TOLERANCE = 1e-9  # units per second; absorbs rounding errors when sums are compared
# Fraction of the undemanded capacity that is granted to all gateways in equal parts. The rest stays free for
# the next reports.
SPARE_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class GrantWrite:
    """Hold a grant to write over version `replaced_version` of its record (0: no record yet)."""

    gateway_index: int
    grant: QuotaGrant
    replaced_version: int


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold what a gateway that waits for an answer should get, and what is reserved for it already."""

    gateway_index: int
    reservation: Reservation
    entitlement: Entitlement


class Allocator:
    """Compute new grants from observed reports and grants, by gateway index, without I/O."""

    def __init__(self, plan: QuotaPlan) -> None:
        self.reservations = CapacityReservations(plan)
        self.demand_by_place: dict[int, float] = {}  # units per second at all gateways together
        # By gateway: units per second within quotas that its last grant could not cover.
        self.own_shortfalls: dict[int, float] = {}

    @property
    def plan(self) -> QuotaPlan:
        """Return the plan by which capacity is divided."""
        return self.reservations.plan

    # Observed records

    def observe_report(self, now: float, gateway_index: int, report: DemandReport, version: int) -> None:
        """Store a gateway's report, unless one at least as new is known."""
        replaced = self.reservations.reports.get(gateway_index)
        if not self.reservations.observe_report(now, gateway_index, report, version):
            return
        if replaced is not None:
            self._subtract_demand(replaced.report)
        self._add_demand(report)

    def observe_grant(self, now: float, gateway_index: int, grant: QuotaGrant, version: int) -> None:
        """Store a gateway's grant, unless one at least as new is known."""
        self.reservations.observe_grant(now, gateway_index, grant, version)

    def update_plan(self, plan: QuotaPlan) -> None:
        """Allocate by a new plan; demand reported under another plan's version no longer counts."""
        self.reservations.plan = plan
        self.demand_by_place = {}
        for observed in self.reservations.reports.values():
            self._add_demand(observed.report)

    def _add_demand(self, report: DemandReport) -> None:
        if report.plan_version != self.plan.version:
            return
        for place, rate in report.rates:
            self.demand_by_place[place] = self.demand_by_place.get(place, 0.0) + rate

    def _subtract_demand(self, report: DemandReport) -> None:
        if report.plan_version != self.plan.version:
            return
        for place, rate in report.rates:
            self.demand_by_place[place] = self.demand_by_place.get(place, 0.0) - rate

    # Grants

    def run_round(self, now: float) -> list[GrantWrite]:
        """Return grants that answer all reports since the last round and reclaim expired grants.

        Before the next call, the caller must have written these grants or given up its lease.
        """
        waiting = [
            gateway_index
            for gateway_index, observed in sorted(self.reservations.reports.items())
            if self._awaits_grant(now, gateway_index, observed)
        ]
        writes = self._reclaim_expired(now, self.reservations.grants.keys() - set(waiting))
        if waiting:
            writes += self._answer(now, waiting)
        return writes

    def _awaits_grant(self, now: float, gateway_index: int, observed: ObservedReport) -> bool:
        report = observed.report
        if report.plan_version != self.plan.version or not self._is_fresh(now, observed):
            return False
        observed_grant = self.reservations.grants.get(gateway_index)
        if observed_grant is None or observed_grant.grant.incarnation != report.incarnation:
            return True
        return report.round_number > observed_grant.grant.round_number

    def _is_fresh(self, now: float, observed: ObservedReport) -> bool:
        """Return whether the demand counts: the report is recent and its gateway has not shut down."""
        return not observed.report.released and now < observed.observed_at + self.plan.term_ms

    def _reclaim_expired(self, now: float, gateway_indices: Iterable[int]) -> list[GrantWrite]:
        writes = []
        for gateway_index in sorted(gateway_indices):
            grant = self.reservations.reclaimed_grant(now, gateway_index)
            if grant is not None:
                version = self.reservations.grant_version(gateway_index)
                writes.append(GrantWrite(gateway_index, grant, version))
        return writes

    def _answer(self, now: float, waiting: list[int]) -> list[GrantWrite]:
        pool = self.plan.usable_per_s - self.reservations.reserved_floors(now)
        free = pool - self.reservations.total_reserved()
        allocation = self._allocate(now, max(pool, 0.0))
        claims = [self._claim(now, gateway_index, allocation) for gateway_index in waiting]
        fractions = self._granted_shortfalls(now, free, claims)
        return [self._grant_claim(now, claim, fractions, free) for claim in claims]

    def _claim(self, now: float, gateway_index: int, allocation: Allocation) -> Claim:
        reservation = self.reservations.split_by_incarnation(now, gateway_index)
        report = self.reservations.reports[gateway_index].report
        entitlement = Entitlement.for_report(report, allocation, reservation.usable)
        return Claim(gateway_index, reservation, entitlement)

    def _grant_claim(self, now: float, claim: Claim, fractions: GrantedFractions, free: float) -> GrantWrite:
        """Grant what is reserved already plus these fractions of the shortfalls; store the remainder."""
        total = claim.entitlement.granted_total(fractions)
        self.own_shortfalls[claim.gateway_index] = max(claim.entitlement.own_beyond_floor - total, 0.0)
        floor = self._granted_floor(now, claim.gateway_index, free)
        grant = self._build_grant(claim, total, floor)
        return GrantWrite(claim.gateway_index, grant, self.reservations.grant_version(claim.gateway_index))

    def _granted_shortfalls(self, now: float, free: float, claims: list[Claim]) -> GrantedFractions:
        """Return the fractions of all shortfalls that can be granted: within quotas, and borrowed.

        Shortfalls within quotas at other gateways, as of their last grants, take precedence over borrowing.
        """
        own_shortfall = math.fsum(claim.entitlement.own_shortfall for claim in claims)
        borrowed_shortfall = math.fsum(claim.entitlement.borrowed_shortfall for claim in claims)
        other_shortfall = self._shortfall_of_others(now, {claim.gateway_index for claim in claims})
        lendable = max(free - own_shortfall - other_shortfall, 0.0)
        return GrantedFractions(
            own=_fraction_of(max(free, 0.0), own_shortfall),
            borrowed=_fraction_of(lendable, borrowed_shortfall),
        )

    def _shortfall_of_others(self, now: float, answered: set[int]) -> float:
        """Return the shortfall within quotas at gateways that get no grant in this round."""
        return math.fsum(
            shortfall
            for gateway_index, shortfall in self.own_shortfalls.items()
            if gateway_index not in answered and self._is_fresh(now, self.reservations.reports[gateway_index])
        )

    def _granted_floor(self, now: float, gateway_index: int, free: float) -> float:
        """Return the floor to grant: the larger of the reserved floor and the plan's floor.

        While more than the capacity is reserved, the reserved floor is granted unchanged.
        """
        floor = self.reservations.reserved_floor(now, gateway_index)
        if free < -RATE_TOLERANCE:
            return floor
        return max(floor, self.plan.floor_per_s(gateway_index))

    def _build_grant(self, claim: Claim, total: float, floor: float) -> QuotaGrant:
        report = self.reservations.reports[claim.gateway_index].report
        reservation = claim.reservation
        return QuotaGrant(
            incarnation=report.incarnation,
            round_number=report.round_number,
            plan_version=report.plan_version,
            total=total,
            reserved=max(total, reservation.usable),
            predecessor_reserved=reservation.predecessors,
            floor=floor,
            term_ms=self.plan.term_ms,
            rates=claim.entitlement.scaled_rates(total + report.floor_in_use),
        )

    # Division of the capacity

    def _allocate(self, now: float, pool: float) -> Allocation:
        """Divide the pool plus the reporting gateways' floors max-min fairly between all demands."""
        self._forget_stale_demand(now)
        fresh = self._fresh_reports(now)
        capacity = pool + math.fsum(report.floor_in_use for report in fresh if report.rates)
        places = self._demanding_places()
        demands = [self.demand_by_place[place] for place in places]
        quotas = [self.plan.quota_per_s(place) for place in places]
        weights = [self.plan.weight(place) for place in places]
        division = divide_capacity(capacity, demands, quotas, weights)
        spare = max(capacity - math.fsum(division.own) - math.fsum(division.borrowed), 0.0)
        return Allocation(
            granted_fractions=_granted_fractions(places, demands, division),
            spare_per_gateway=SPARE_FRACTION * spare / max(len(fresh), 1),
        )

    def _fresh_reports(self, now: float) -> list[DemandReport]:
        return [
            observed.report
            for observed in self.reservations.reports.values()
            if self._is_fresh(now, observed)
        ]

    def _demanding_places(self) -> list[int]:
        """Return the places of all tenants with demand, in the order of the plan."""
        return sorted(place for place, rate in self.demand_by_place.items() if rate > RATE_TOLERANCE)

    def _forget_stale_demand(self, now: float) -> None:
        for observed in self.reservations.reports.values():
            if observed.report.rates and not self._is_fresh(now, observed):
                self._subtract_demand(observed.report)
                observed.report = replace(observed.report, rates=())


def _granted_fractions(
    places: Sequence[int], demands: Sequence[float], division: Division
) -> dict[int, GrantedFractions]:
    granted = {}
    for place, demand, own, borrowed in zip(places, demands, division.own, division.borrowed, strict=True):
        granted[place] = GrantedFractions(own / demand, borrowed / demand)
    return granted


def _fraction_of(available: float, needed: float) -> float:
    """Return the available fraction (0 to 1) of what is needed; 1 if nothing is needed."""
    return min(available / needed, 1.0) if needed > 0 else 1.0
