"""Track how much capacity each gateway may still use, from the records that the allocator observed.

For each gateway, its last grant counts. Until a report acknowledges that grant, the larger amount that the
gateway may have used before counts (`QuotaGrant.reserved`). A grant that is not renewed counts for one term,
plus a margin for clock drift, from when the allocator first observed it. That is later than the start of the
term on the gateway that holds the grant, so the holder stops first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from meadowpulley.lending.plan import QuotaPlan
from meadowpulley.lending.records import DemandReport, QuotaGrant


@dataclass(slots=True)
class ObservedGrant:
    """Hold the newest grant of a gateway that the allocator has observed."""

    grant: QuotaGrant
    version: int
    observed_at: float


@dataclass(slots=True)
class ObservedReport:
    """Hold the newest report of a gateway that the allocator has observed."""

    report: DemandReport
    version: int
    observed_at: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """Hold the capacity that is already reserved for one gateway, in units per second."""

    usable: float  # reserved for the incarnation that sent the latest report
    # Reserved for earlier incarnations of the gateway, whose processes may still be running.
    predecessors: float


NOTHING_RESERVED = Reservation(usable=0.0, predecessors=0.0)


class CapacityReservations:
    """Compute the capacity that observed reports and grants reserve, by gateway index.

    Rates are in units per second, times in milliseconds on the allocator's clock.
    """

    def __init__(self, plan: QuotaPlan) -> None:
        self.plan = plan
        self.reports: dict[int, ObservedReport] = {}
        self.grants: dict[int, ObservedGrant] = {}
        # By gateway: when the grants of its earlier incarnations have expired.
        self.predecessors_until: dict[int, float] = {}

    # Observed records

    def observe_report(self, now: float, gateway_index: int, report: DemandReport, version: int) -> bool:
        """Store a gateway's report if it is newer than the one known; return whether it is."""
        known = self.reports.get(gateway_index)
        if known is not None and known.version >= version:
            return False
        self.reports[gateway_index] = ObservedReport(report, version, now)
        observed = self.grants.get(gateway_index)
        if report.released and observed is not None and observed.grant.incarnation == report.incarnation:
            observed.grant = replace(observed.grant, total=0.0, reserved=0.0)
        return True

    def observe_grant(self, now: float, gateway_index: int, grant: QuotaGrant, version: int) -> None:
        """Store a gateway's grant, unless one at least as new is known."""
        known = self.grants.get(gateway_index)
        if known is not None and known.version >= version:
            return
        self.grants[gateway_index] = ObservedGrant(grant, version, now)
        if grant.predecessor_reserved > 0 and gateway_index not in self.predecessors_until:
            self.predecessors_until[gateway_index] = now + self.plan.observer_term_ms(grant.term_ms)

    def grant_version(self, gateway_index: int) -> int:
        """Return the version of a gateway's grant record; 0 if none is known."""
        observed = self.grants.get(gateway_index)
        return observed.version if observed is not None else 0

    # Grants

    def total_reserved(self) -> float:
        """Return the units per second that grants reserve for all gateways together."""
        return math.fsum(self.reserved(gateway_index) for gateway_index in self.grants)

    def reserved(self, gateway_index: int) -> float:
        """Return the units per second that grants reserve for all incarnations of a gateway."""
        return self.usable_grant(gateway_index) + self.predecessor_reserved(gateway_index)

    def usable_grant(self, gateway_index: int) -> float:
        """Return the units per second that the holder of a gateway's last grant may use."""
        observed_grant = self.grants.get(gateway_index)
        observed_report = self.reports.get(gateway_index)
        if observed_grant is None:
            return 0.0
        if observed_report is not None and _acknowledges(observed_report.report, observed_grant.grant):
            return 0.0 if observed_report.report.released else observed_grant.grant.total
        return observed_grant.grant.reserved

    def predecessor_reserved(self, gateway_index: int) -> float:
        """Return what earlier incarnations may still use; no report can release it before it expires."""
        observed = self.grants.get(gateway_index)
        return observed.grant.predecessor_reserved if observed is not None else 0.0

    def expires_at(self, observed: ObservedGrant) -> float:
        """Return when the holder must have stopped using a grant, for any clock rate within the drift."""
        return observed.observed_at + self.plan.observer_term_ms(observed.grant.term_ms)

    def split_by_incarnation(self, now: float, gateway_index: int) -> Reservation:
        """Split a gateway's reservation between the reporting incarnation and earlier ones.

        If the last grant went to a different incarnation than the one that reports now, that incarnation is
        an earlier one, and its grant counts until it expires.
        """
        observed = self.grants.get(gateway_index)
        if observed is None:
            return NOTHING_RESERVED
        usable = self.usable_grant(gateway_index)
        predecessors = self.predecessor_reserved(gateway_index)
        if self._predecessors_expired(now, gateway_index):
            predecessors = 0.0
        if observed.grant.incarnation == self.reports[gateway_index].report.incarnation:
            return Reservation(usable, predecessors)
        expires_at = self.expires_at(observed)
        if now >= expires_at:
            return Reservation(0.0, predecessors)
        known_until = self.predecessors_until.get(gateway_index, expires_at)
        self.predecessors_until[gateway_index] = max(known_until, expires_at)
        return Reservation(0.0, usable + predecessors)

    def reclaimed_grant(self, now: float, gateway_index: int) -> QuotaGrant | None:
        """Return the grant without its expired parts, to be written as reclaimed; None if none expired.

        The reclaimed grant is written once, in one transaction, before its capacity goes to other gateways.
        Otherwise a later allocator could count the same capacity as lent to two gateways.
        """
        observed = self.grants[gateway_index]
        grant = observed.grant
        expired = now >= self.expires_at(observed) and grant.reserved > 0
        predecessors_expired = (
            self._predecessors_expired(now, gateway_index) and grant.predecessor_reserved > 0
        )
        if not expired and not predecessors_expired:
            return None
        if expired:
            grant = replace(grant, total=0.0, reserved=0.0, rates=())
        if predecessors_expired:
            grant = replace(grant, predecessor_reserved=0.0)
        return grant

    def _predecessors_expired(self, now: float, gateway_index: int) -> bool:
        return now >= self.predecessors_until.get(gateway_index, -math.inf)

    # Floors

    def reserved_floor(self, now: float, gateway_index: int) -> float:
        """Return the floor that any incarnation of a gateway may use, even without the ledger."""
        observed_report = self.reports.get(gateway_index)
        observed_grant = self.grants.get(gateway_index)
        term_ms = self.plan.observer_term_ms(self.plan.floor_term_ms)
        floor = 0.0
        if observed_report is not None and now < observed_report.observed_at + term_ms:
            floor = observed_report.report.reserved_floor
        if observed_grant is None or now >= observed_grant.observed_at + term_ms:
            return floor
        if observed_report is not None and _acknowledges(observed_report.report, observed_grant.grant):
            return floor
        return max(floor, observed_grant.grant.floor)

    def reserved_floors(self, now: float) -> float:
        """Return the sum of the plan's floors, plus any excess still in use under an earlier plan."""
        beyond_plan = [
            max(self.reserved_floor(now, gateway_index) - self.plan.floor_per_s(gateway_index), 0.0)
            for gateway_index in self.reports.keys() | self.grants.keys()
        ]
        return self.plan.floor * self.plan.usable_per_s + math.fsum(beyond_plan)


def _acknowledges(report: DemandReport, grant: QuotaGrant) -> bool:
    return report.incarnation == grant.incarnation and report.acknowledged_round >= grant.round_number
