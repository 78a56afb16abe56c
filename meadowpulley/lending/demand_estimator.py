"""Estimate tenants' demand at one gateway, following clear changes quickly and smoothing noise."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TypeVar

from meadowpulley.lending.plan import MAX_TENANTS, MS_PER_SECOND, QuotaPlan

# A change is clear if it exceeds this many standard deviations of Poisson arrivals.
CLEAR_CHANGE_DEVIATIONS = 2.0
MIN_TIME_CONSTANT = 0.2  # smoothing time constant right after a clear rise, in multiples of `decay_ms`
MAX_TIME_CONSTANT = 5.0  # smoothing time constant long after a clear rise, in multiples of `decay_ms`
# The reported demand is the estimated rate times the first factor, plus the square root of (rate x mean cost)
# times the second. Arrivals are uneven, and relatively more uneven the fewer they are.
HEADROOM_FACTOR = 1.15
HEADROOM_ROOT_FACTOR = 0.5
MIN_RATE_PER_S = 0.02  # units per second; lower rates count as 0
# A new demand between these two multiples of the last reported demand repeats the reported one for a while.
HYSTERESIS_LOW = 0.85
HYSTERESIS_HIGH = 1.06
HYSTERESIS_DECAYS = 4  # a reported demand may be repeated for this many times `decay_ms`
COST_SMOOTHING = 0.01  # weight of the newest request in the moving average of the cost

Value = TypeVar("Value")


@dataclass(slots=True)
class RateEstimate:
    """Hold an estimated rate, whose smoothing gets slower with the time since its last clear rise."""

    per_s: float
    last_rise_at: float


@dataclass(frozen=True, slots=True)
class ReportedDemand:
    """Hold a reported demand in units per second, and when it was first reported."""

    per_s: float
    since: float


class DemandEstimator:
    """Estimate demand in units per second, by tenant and class.

    `decay_ms` is the time constant with which the estimate decays when requests stop. A tenant with
    intermittent traffic keeps its part of the capacity during pauses shorter than that.
    """

    def __init__(self, decay_ms: float) -> None:
        self.decay_ms = decay_ms
        self.rates: dict[int, dict[int, RateEstimate]] = {}
        self.round_units: dict[int, dict[int, float]] = {}
        self.reported: dict[int, ReportedDemand] = {}
        self.mean_cost = 1.0
        self.round_started_at = -math.inf

    def record_request(self, tenant: int, class_index: int, cost: float) -> None:
        """Count a request, admitted or not; callers leave out client retries, which add no demand."""
        if tenant not in self.round_units:
            if len(self.round_units) > MAX_TENANTS:
                return
            self.round_units[tenant] = defaultdict(float)
        self.round_units[tenant][class_index] += cost
        self.mean_cost += COST_SMOOTHING * (cost - self.mean_cost)

    def units_this_round(self, tenant: int) -> float:
        """Return the units that a tenant has demanded in this round so far."""
        return sum(self.round_units.get(tenant, {}).values())

    def end_round(self, now: float) -> None:
        """Update the rates with the requests counted in this round, and start the next round."""
        elapsed_ms = min(now - self.round_started_at, self.decay_ms)
        if elapsed_ms <= 0:
            return
        for tenant in [*self.rates, *(self.round_units.keys() - self.rates.keys())]:
            self._update_tenant(tenant, now, elapsed_ms)
        self.round_units = {}
        self.round_started_at = now

    def _update_tenant(self, tenant: int, now: float, elapsed_ms: float) -> None:
        units = self.round_units.get(tenant, {})
        rates = self.rates.setdefault(tenant, {})
        for class_index in rates.keys() | units.keys():
            estimate = rates.setdefault(class_index, RateEstimate(0.0, now))
            observed_per_s = units.get(class_index, 0.0) * MS_PER_SECOND / elapsed_ms
            self._update_estimate(estimate, observed_per_s, now, elapsed_ms)
            if estimate.per_s < MIN_RATE_PER_S:
                del rates[class_index]
        if not rates:
            del self.rates[tenant]

    def _update_estimate(
        self, estimate: RateEstimate, observed_per_s: float, now: float, elapsed_ms: float
    ) -> None:
        """Move an estimate towards the rate observed in the last round, by exponential smoothing."""
        noise_per_s = self._noise_bound(estimate.per_s, elapsed_ms)
        if observed_per_s > estimate.per_s + noise_per_s:
            estimate.last_rise_at = now
        time_constant_ms = max(now - estimate.last_rise_at, MIN_TIME_CONSTANT * self.decay_ms)
        time_constant_ms = min(time_constant_ms, MAX_TIME_CONSTANT * self.decay_ms)
        if observed_per_s < estimate.per_s - noise_per_s or observed_per_s == 0:
            time_constant_ms = min(time_constant_ms, self.decay_ms)
        weight = 1 - math.exp(-elapsed_ms / time_constant_ms)
        estimate.per_s += (observed_per_s - estimate.per_s) * weight

    def _noise_bound(self, rate_per_s: float, elapsed_ms: float) -> float:
        """Return by how many units per second the rate of Poisson arrivals may deviate by chance."""
        deviation = math.sqrt(rate_per_s * self.mean_cost * elapsed_ms / MS_PER_SECOND)
        return (CLEAR_CHANGE_DEVIATIONS * deviation + self.mean_cost) * MS_PER_SECOND / elapsed_ms

    def rates_by_class(self) -> dict[int, dict[int, float]]:
        """Return the estimated units per second, by tenant and class."""
        by_tenant = {}
        for tenant, rates in self.rates.items():
            by_tenant[tenant] = {class_index: estimate.per_s for class_index, estimate in rates.items()}
        return by_tenant

    def demands(self) -> dict[int, float]:
        """Return the demand to report in units per second, by tenant.

        A demand close to the last reported one repeats that value for a while. Otherwise, random variation
        would keep moving grants between gateways.
        """
        previous = self.reported
        self.reported = {}
        for tenant, rates in self.rates.items():
            rate = sum(estimate.per_s for estimate in rates.values())
            demand = HEADROOM_FACTOR * rate + HEADROOM_ROOT_FACTOR * math.sqrt(rate * self.mean_cost)
            last = previous.get(tenant)
            if last is not None and self._repeats(last, demand):
                self.reported[tenant] = last
            else:
                self.reported[tenant] = ReportedDemand(demand, self.round_started_at)
        return {tenant: reported.per_s for tenant, reported in self.reported.items()}

    def _repeats(self, last: ReportedDemand, demand: float) -> bool:
        """Return whether to report the last demand again: it is recent and close to the new one."""
        is_recent = self.round_started_at < last.since + HYSTERESIS_DECAYS * self.decay_ms
        is_close = HYSTERESIS_LOW * last.per_s < demand < HYSTERESIS_HIGH * last.per_s
        return is_close and is_recent

    def remap_tenants(self, old_plan: QuotaPlan, new_plan: QuotaPlan) -> None:
        """Move the rates to the tenants' places in the new plan; drop tenants that it does not name."""
        new_places = old_plan.places_in(new_plan)
        self.rates = _remapped(self.rates, new_places)
        self.round_units = _remapped(self.round_units, new_places)
        self.reported = _remapped(self.reported, new_places)


def _remapped(by_place: dict[int, Value], new_places: dict[int, int]) -> dict[int, Value]:
    return {new_places[place]: value for place, value in by_place.items() if place in new_places}
