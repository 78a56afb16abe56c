"""What tenants ask of one gateway: rates that follow a clear change soon and chance hardly at all."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from meadowpulley.lending.model import MOST_TENANTS, Plan

CLEAR = 2.0  # standard deviations (of Poisson arrivals) that make a change clear
SHORT, LONG = 0.2, 5.0  # mean lives of a rate after a clear rise and long after it, of `fall_ms`
MORE = 1.15  # asked for, of what is seen: arrivals are uneven
SPREAD = 0.5  # and as much of the root of what is seen: the fewer they are, the more uneven
LEAST = 0.02  # units a second: less is nothing
STEADY = (0.85, 1.06)  # of what was told: within it nothing new is told for a while: chance moves no grants


@dataclass(slots=True)
class Rate:
    """Units a second; its mean life grows with the time since the last clear rise, as in a running mean."""

    value: float
    since: float


class Demand:
    """Units a second by tenant and class. `fall_ms` is the mean life of a rate that is seen no more: an owner
    that comes and goes keeps its part over pauses shorter than that."""

    def __init__(self, fall_ms: float) -> None:
        self.fall_ms = fall_ms
        self.rates: dict[int, dict[int, Rate]] = {}
        self.counts: dict[int, dict[int, float]] = {}
        self.told: dict[int, tuple[float, float]] = {}  # what, and when first
        self.mean_cost = 1.0
        self.since = -math.inf

    def add(self, tenant: int, cls: int, cost: float) -> None:
        """Notes a request, admitted or not; a client's repeat of it is not told here."""
        if tenant not in self.counts:
            if len(self.counts) > MOST_TENANTS:
                return
            self.counts[tenant] = defaultdict(float)
        self.counts[tenant][cls] += cost
        self.mean_cost += 0.01 * (cost - self.mean_cost)

    def noted(self, tenant: int) -> float:
        """Units asked for in this turn so far."""
        return sum(self.counts.get(tenant, {}).values())

    def turn(self, now: float) -> None:
        """Ends a turn: what was noted in it goes into the rates."""
        passed = min(now - self.since, self.fall_ms)
        if passed <= 0:
            return
        for tenant in [*self.rates, *(self.counts.keys() - self.rates.keys())]:
            counts, rates = self.counts.get(tenant, {}), self.rates.setdefault(tenant, {})
            for cls in rates.keys() | counts.keys():
                rate = rates.setdefault(cls, Rate(0.0, now))
                self._follow(rate, counts.get(cls, 0.0) * 1000 / passed, now, passed)
                if rate.value < LEAST:
                    del rates[cls]
            if not rates:
                del self.rates[tenant]
        self.counts, self.since = {}, now

    def _follow(self, rate: Rate, seen: float, now: float, passed: float) -> None:
        chance = (
            (CLEAR * math.sqrt(rate.value * self.mean_cost * passed / 1000) + self.mean_cost) * 1000 / passed
        )
        if seen > rate.value + chance:
            rate.since = now
        short, long = SHORT * self.fall_ms, LONG * self.fall_ms
        life = min(max(now - rate.since, short), long)
        if seen < rate.value - chance or seen == 0:
            life = min(life, self.fall_ms)
        rate.value += (seen - rate.value) * (1 - math.exp(-passed / life))

    def by_class(self) -> dict[int, dict[int, float]]:
        """Units a second that are seen, by tenant and class."""
        return {t: {cls: rate.value for cls, rate in rates.items()} for t, rates in self.rates.items()}

    def asks(self) -> dict[int, float]:
        """What to ask for, by tenant."""
        told, self.told = self.told, {}
        low, high = STEADY
        for tenant, rates in self.rates.items():
            rate = sum(r.value for r in rates.values())
            ask = MORE * rate + SPREAD * math.sqrt(rate * self.mean_cost)
            last, at = told.get(tenant, (0.0, -math.inf))
            keep = low * last < ask < high * last and self.since < at + 4 * self.fall_ms
            self.told[tenant] = (last, at) if keep else (ask, self.since)
        return {tenant: ask for tenant, (ask, _) in self.told.items()}

    def move(self, old: Plan, new: Plan) -> None:
        """Goes on with the rates under the tenants' places in another plan."""
        places = {t.name: place for place, t in enumerate(new.tenants)}
        moved = {place: places[t.name] for place, t in enumerate(old.tenants) if t.name in places}
        self.rates = {moved[p]: rates for p, rates in self.rates.items() if p in moved}
        self.counts = {moved[p]: counts for p, counts in self.counts.items() if p in moved}
        self.told = {moved[p]: last for p, last in self.told.items() if p in moved}
