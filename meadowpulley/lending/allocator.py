"""Decide who may admit what: the elected allocator answers every demand report with a grant.

The invariant: at every moment the floors and all grants that any gateway may still use add up to the
capacity at most. For each gateway that counts the last grant and, until a report acknowledges it, whatever
the gateway may have used before (`QuotaGrant.reserved`). A grant that is not renewed counts for a term (and
the clocks' drift) from the moment the allocator first observed it, which is after its holder's term began.
So a grant rises only by what is free; what is lowered is free once its gateway acknowledged that; what
expired is free once a record says that it was reclaimed. The next allocator finds the same sum in the
records.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from meadowpulley.lending.max_min_fairness import divide_capacity
from meadowpulley.lending.plan import QuotaPlan
from meadowpulley.lending.records import DemandReport, GrantedRate, QuotaGrant

RATE_TOLERANCE = 1e-9  # units per second, when sums are compared
SPARE_FRACTION = 0.5  # of what nobody demands is granted to all alike; the rest is for the next reports


@dataclass(slots=True)
class ObservedGrant:
    """A gateway's grant as the allocator observed it last."""

    grant: QuotaGrant
    version: int
    observed_at: float


@dataclass(slots=True)
class ObservedReport:
    """A gateway's report as the allocator observed it last."""

    report: DemandReport
    version: int
    observed_at: float


@dataclass(frozen=True, slots=True)
class GrantWrite:
    """A grant to write in place of the record's version `replaced_version` (0: there is none yet)."""

    gateway_index: int
    grant: QuotaGrant
    replaced_version: int


@dataclass(frozen=True, slots=True)
class Reservation:
    """Units per second that are set apart for one gateway already."""

    usable: float  # by the incarnation that reports now
    predecessors: float  # by earlier incarnations, which may still run


@dataclass(slots=True)
class Allocation:
    """For each place, the fractions of its demand that are granted: of its own quota, and borrowed."""

    granted_fractions: dict[int, tuple[float, float]]
    spare_per_gateway: float


@dataclass(slots=True)
class Entitlement:
    """What one gateway should get, and how much of that is reserved for it already; units per second."""

    rates: list[GrantedRate]
    total_own: float
    total_borrowed: float
    own_beyond_floor: float
    covered: float  # of all beyond the floor, by what is reserved already
    own_shortfall: float
    borrowed_shortfall: float

    @classmethod
    def for_report(cls, report: DemandReport, allocation: Allocation, reserved: float) -> Entitlement:
        """Compute the entitlement behind one report, of which `reserved` is covered already."""
        rates = []
        for place, demand in report.rates:
            own_fraction, borrowed_fraction = allocation.granted_fractions.get(place, (0.0, 0.0))
            rates.append((place, demand * own_fraction, demand * borrowed_fraction))
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


class Allocator:
    """Turn observed reports and grants into new grants; does no I/O. Gateways are known by their indices."""

    def __init__(self, plan: QuotaPlan) -> None:
        self.plan = plan
        self.reports: dict[int, ObservedReport] = {}
        self.grants: dict[int, ObservedGrant] = {}
        self.demand_by_place: dict[int, float] = {}  # of all gateways together
        self.predecessors_until: dict[int, float] = {}  # when grants of earlier incarnations end
        self.own_shortfalls: dict[int, float] = {}  # of owners at each gateway, at its last answer

    # What is observed

    def observe_report(self, now: float, gateway_index: int, report: DemandReport, version: int) -> None:
        """Take up a gateway's report, unless one at least as new is known."""
        old = self.reports.get(gateway_index)
        if old is not None and old.version >= version:
            return
        self._add_demand(old, -1)
        self.reports[gateway_index] = ObservedReport(report, version, now)
        observed = self.grants.get(gateway_index)
        if report.released and observed is not None and observed.grant.incarnation == report.incarnation:
            observed.grant = replace(observed.grant, total=0.0, reserved=0.0)
        self._add_demand(self.reports[gateway_index], 1)

    def _add_demand(self, observed: ObservedReport | None, sign: int) -> None:
        if observed is None or observed.report.plan_version != self.plan.version:
            return
        for place, rate in observed.report.rates:
            self.demand_by_place[place] = self.demand_by_place.get(place, 0.0) + sign * rate

    def observe_grant(self, now: float, gateway_index: int, grant: QuotaGrant, version: int) -> None:
        """Take up a gateway's grant, unless one at least as new is known."""
        old = self.grants.get(gateway_index)
        if old is not None and old.version >= version:
            return
        self.grants[gateway_index] = ObservedGrant(grant, version, now)
        if grant.predecessor_reserved > 0 and gateway_index not in self.predecessors_until:
            self.predecessors_until[gateway_index] = now + self.plan.observer_term_ms(grant.term_ms)

    def update_plan(self, plan: QuotaPlan) -> None:
        """Allocate by another plan from now on; demand by another plan's places no longer counts."""
        self.plan, self.demand_by_place = plan, {}
        for observed in self.reports.values():
            self._add_demand(observed, 1)

    # What is reserved

    def reserved(self, gateway_index: int) -> float:
        """Return the units per second set apart for all incarnations of a gateway by the records."""
        return self.usable_grant(gateway_index) + self.predecessor_reserved(gateway_index)

    def usable_grant(self, gateway_index: int) -> float:
        """Return what the incarnation that was answered last may use."""
        observed_grant, observed_report = self.grants.get(gateway_index), self.reports.get(gateway_index)
        if observed_grant is None:
            return 0.0
        if observed_report is not None and _acknowledges(observed_report.report, observed_grant.grant):
            return 0.0 if observed_report.report.released else observed_grant.grant.total
        return observed_grant.grant.reserved

    def predecessor_reserved(self, gateway_index: int) -> float:
        """Return what earlier incarnations may use: no report can release it for them."""
        observed = self.grants.get(gateway_index)
        return observed.grant.predecessor_reserved if observed is not None else 0.0

    def _expires_at(self, observed: ObservedGrant) -> float:
        """Return when the holder of a grant has stopped using it, whatever its clock does."""
        return observed.observed_at + self.plan.observer_term_ms(observed.grant.term_ms)

    def _split_reservation(self, now: float, gateway_index: int) -> Reservation:
        """Split what is reserved between the reporting incarnation and earlier ones.

        An incarnation that was answered last and is not the one that reports is an earlier one: what it was
        granted counts until it expires.
        """
        observed = self.grants.get(gateway_index)
        if observed is None:
            return Reservation(0.0, 0.0)
        usable, predecessors = self.usable_grant(gateway_index), self.predecessor_reserved(gateway_index)
        if now >= self.predecessors_until.get(gateway_index, -math.inf):
            predecessors = 0.0
        if observed.grant.incarnation == self.reports[gateway_index].report.incarnation:
            return Reservation(usable, predecessors)
        expires_at = self._expires_at(observed)
        if now >= expires_at:
            return Reservation(0.0, predecessors)
        until = self.predecessors_until.get(gateway_index, expires_at)
        self.predecessors_until[gateway_index] = max(until, expires_at)
        return Reservation(0.0, usable + predecessors)

    def reserved_floor(self, now: float, gateway_index: int) -> float:
        """Return the units per second a gateway may use beside grants, in any incarnation, even cut off."""
        observed_report, observed_grant = self.reports.get(gateway_index), self.grants.get(gateway_index)
        floor = 0.0
        term = self.plan.observer_term_ms(self.plan.floor_term_ms)
        if observed_report is not None and now < observed_report.observed_at + term:
            floor = observed_report.report.reserved_floor
        if observed_grant is None or now >= observed_grant.observed_at + term:
            return floor
        if observed_report is not None and _acknowledges(observed_report.report, observed_grant.grant):
            return floor
        return max(floor, observed_grant.grant.floor)

    def reserved_floors(self, now: float) -> float:
        """Return what all floors take: the plan's, and what gateways still use by an earlier plan."""
        beyond_plan = [
            max(self.reserved_floor(now, gateway_index) - self.plan.floor_per_s(gateway_index), 0.0)
            for gateway_index in self.reports.keys() | self.grants.keys()
        ]
        return self.plan.floor * self.plan.usable_per_s + math.fsum(beyond_plan)

    # What is granted

    def run_round(self, now: float) -> list[GrantWrite]:
        """Answer all reports since the last round, and reclaim what expired.

        The caller must have these written, or give up its lease, before it calls again.
        """
        waiting = [
            gateway_index
            for gateway_index, observed in sorted(self.reports.items())
            if self._awaits_grant(now, gateway_index, observed)
        ]
        writes = self._reclaim_expired(now, self.grants.keys() - set(waiting))
        return writes + self._answer(now, waiting) if waiting else writes

    def _reclaim_expired(self, now: float, gateways: Iterable[int]) -> list[GrantWrite]:
        writes = []
        for gateway_index in sorted(gateways):
            grant = self._reclaimed_grant(now, gateway_index)
            if grant is not None:
                writes.append(GrantWrite(gateway_index, grant, self._grant_version(gateway_index)))
        return writes

    def _reclaimed_grant(self, now: float, gateway_index: int) -> QuotaGrant | None:
        """Return an expired grant marked as reclaimed; None if there is nothing to reclaim.

        That is written before anyone else gets it, once and in one transaction, so that no later allocator
        can count it as lent to two gateways.
        """
        observed = self.grants[gateway_index]
        grant = observed.grant
        expired = now >= self._expires_at(observed) and grant.reserved > 0
        predecessors_expired = (
            now >= self.predecessors_until.get(gateway_index, -math.inf) and grant.predecessor_reserved > 0
        )
        if not expired and not predecessors_expired:
            return None
        if expired:
            grant = replace(grant, total=0.0, reserved=0.0, rates=())
        return replace(grant, predecessor_reserved=0.0) if predecessors_expired else grant

    def _answer(self, now: float, waiting: list[int]) -> list[GrantWrite]:
        pool = self.plan.usable_per_s - self.reserved_floors(now)
        free = pool - math.fsum(self.reserved(gateway_index) for gateway_index in self.grants)
        allocation = self._allocate(now, max(pool, 0.0))
        reservations = {index: self._split_reservation(now, index) for index in waiting}
        entitlements = {
            index: Entitlement.for_report(self.reports[index].report, allocation, reservations[index].usable)
            for index in waiting
        }
        own_fraction, borrowed_fraction = self._granted_shortfalls(now, free, entitlements)
        writes = []
        for index, entitlement in entitlements.items():
            total = (
                entitlement.covered
                + own_fraction * entitlement.own_shortfall
                + borrowed_fraction * entitlement.borrowed_shortfall
            )
            self.own_shortfalls[index] = max(entitlement.own_beyond_floor - total, 0.0)
            has_capacity = free >= -RATE_TOLERANCE
            grant = self._build_grant(now, index, entitlement, total, reservations[index], has_capacity)
            writes.append(GrantWrite(index, grant, self._grant_version(index)))
        return writes

    def _granted_shortfalls(
        self, now: float, free: float, entitlements: dict[int, Entitlement]
    ) -> tuple[float, float]:
        """Return which fractions of all shortfalls can be granted: of owners' quotas, and of the rest."""
        own_shortfall = math.fsum(entitlement.own_shortfall for entitlement in entitlements.values())
        borrowed_shortfall = math.fsum(
            entitlement.borrowed_shortfall for entitlement in entitlements.values()
        )
        # Owners at other gateways that fell short at their last answer come before anyone borrows.
        other_shortfalls = [
            shortfall
            for index, shortfall in self.own_shortfalls.items()
            if index not in entitlements and self._is_fresh(now, self.reports[index])
        ]
        remaining = max(free - own_shortfall - math.fsum(other_shortfalls), 0.0)
        own_fraction = min(max(free, 0.0) / own_shortfall, 1.0) if own_shortfall > 0 else 1.0
        borrowed_fraction = min(remaining / borrowed_shortfall, 1.0) if borrowed_shortfall > 0 else 1.0
        return own_fraction, borrowed_fraction

    def _grant_version(self, gateway_index: int) -> int:
        return self.grants[gateway_index].version if gateway_index in self.grants else 0

    def _awaits_grant(self, now: float, gateway_index: int, observed: ObservedReport) -> bool:
        report, observed_grant = observed.report, self.grants.get(gateway_index)
        if report.released or report.plan_version != self.plan.version or not self._is_fresh(now, observed):
            return False
        if observed_grant is None or observed_grant.grant.incarnation != report.incarnation:
            return True
        return report.round_number > observed_grant.grant.round_number

    def _is_fresh(self, now: float, observed: ObservedReport) -> bool:
        return not observed.report.released and now < observed.observed_at + self.plan.term_ms

    def _forget_stale_demand(self, now: float) -> None:
        for observed in self.reports.values():
            if observed.report.rates and not self._is_fresh(now, observed):
                self._add_demand(observed, -1)
                observed.report = replace(observed.report, rates=())

    def _allocate(self, now: float, pool: float) -> Allocation:
        """Divide the pool, and the floors of the gateways that report, max-min over all demand."""
        self._forget_stale_demand(now)
        fresh = [observed.report for observed in self.reports.values() if self._is_fresh(now, observed)]
        pool += math.fsum(report.floor_in_use for report in fresh if report.rates)
        places = sorted(place for place, rate in self.demand_by_place.items() if rate > RATE_TOLERANCE)
        tenants, demands = self.plan.tenants, [self.demand_by_place[place] for place in places]
        quotas = [
            tenants[place].fraction * self.plan.usable_per_s if place < len(tenants) else 0.0
            for place in places
        ]
        weights = [tenants[place].weight if place < len(tenants) else 0.0 for place in places]
        own_rates, borrowed_rates = divide_capacity(pool, demands, quotas, weights)
        remaining = max(pool - math.fsum(own_rates) - math.fsum(borrowed_rates), 0.0)
        granted_fractions = {
            place: (own / demand, borrowed / demand)
            for place, own, borrowed, demand in zip(places, own_rates, borrowed_rates, demands, strict=True)
        }
        return Allocation(granted_fractions, SPARE_FRACTION * remaining / max(len(fresh), 1))

    def _build_grant(
        self,
        now: float,
        gateway_index: int,
        entitlement: Entitlement,
        total: float,
        reservation: Reservation,
        has_capacity: bool,
    ) -> QuotaGrant:
        report, floor = self.reports[gateway_index].report, self.reserved_floor(now, gateway_index)
        return QuotaGrant(
            incarnation=report.incarnation,
            round_number=report.round_number,
            plan_version=report.plan_version,
            total=total,
            reserved=max(total, reservation.usable),
            predecessor_reserved=reservation.predecessors,
            floor=max(floor, self.plan.floor_per_s(gateway_index)) if has_capacity else floor,
            term_ms=self.plan.term_ms,
            rates=_scaled_rates(entitlement, total + report.floor_in_use),
        )


def _scaled_rates(entitlement: Entitlement, total: float) -> tuple[GrantedRate, ...]:
    """Scale an entitlement's rates down to a total, the borrowed ones first."""
    own_scale = min(total / entitlement.total_own, 1.0) if entitlement.total_own > 0 else 1.0
    borrowed_scale = 1.0
    if entitlement.total_borrowed > 0:
        borrowed_scale = min(max(total - entitlement.total_own, 0.0) / entitlement.total_borrowed, 1.0)
    return tuple(
        (place, own * own_scale, borrowed * borrowed_scale)
        for place, own, borrowed in entitlement.rates
        if own + borrowed > 0
    )


def _acknowledges(report: DemandReport, grant: QuotaGrant) -> bool:
    return report.incarnation == grant.incarnation and report.acknowledged_round >= grant.round_number
