"""What one gateway may admit now: token buckets whose rates and bursts are what its floor and grant allow.

One bucket bounds the gateway: over any time it admits at most what its rates gave it in that time and the
burst it may have saved (`Holder.burst`). Within it each tenant has a bucket of its own share and one of what
it borrows. What owners leave unused here fills the gateway's bucket, and any tenant may take from its top; a
part below is kept for tenants that were granted something, and most of it for owners, whose arrivals are
uneven (trunk reservation).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from enum import Enum

from meadowpulley.lending.model import Grant, Plan

FOR_GRANTED, FOR_OWN = 0.85, 0.65  # of the gateway's bucket: kept for granted tenants; for owners
SAVED_BURSTS = 3.0  # how much a tenant may save up of its rate, in bursts: in its lulls others had it
SAVED = 0.4  # of the gateway's bucket: above it worth does not decide
LEAST_SAVED = 6.0  # costliest requests that fit into a tenant's bucket, however low its rate
LEAST_BURST = 2.0  # of the costliest request: less and a bucket could not hold one above its reserve


class Admission(Enum):
    OWN = "own"
    BORROWED = "borrowed"
    REFUSED = "refused"


class Account:
    """One tenant at one gateway."""

    __slots__ = (
        "at",
        "credit",
        "lent",
        "lent_most",
        "lent_rate",
        "own",
        "own_most",
        "own_rate",
        "passes",
        "slot",
    )

    def __init__(self, now: float) -> None:
        self.at, self.slot = now, now
        self.own = self.own_rate = self.own_most = 0.0
        self.lent = self.lent_rate = self.lent_most = 0.0
        self.passes: dict[int, float] = {}  # part of a class that is let in, while not all can be
        self.credit: dict[int, float] = {}

    def go_by(self, own_rate: float, lent_rate: float, burst_ms: float, one: float) -> None:
        self.own_rate, self.lent_rate = own_rate, lent_rate
        self.own_most = (
            max(own_rate * SAVED_BURSTS * burst_ms / 1000, LEAST_SAVED * one) if own_rate > 0 else 0.0
        )
        self.lent_most = (
            max(lent_rate * SAVED_BURSTS * burst_ms / 1000, LEAST_SAVED * one) if lent_rate > 0 else 0.0
        )

    def refill(self, now: float) -> None:
        seconds, self.at = max(now - self.at, 0.0) / 1000, max(now, self.at)
        self.own = min(self.own + self.own_rate * seconds, self.own_most)
        self.lent = min(self.lent + self.lent_rate * seconds, self.lent_most)

    def lets(self, cls: int, saved: bool) -> bool:
        """Whether a class's turn has come; what is saved up goes to any class, else it would be lost."""
        part = self.passes.get(cls, 1.0)
        if part >= 1 or saved:
            return True
        self.credit[cls] = self.credit.get(cls, 0.0) + part
        if self.credit[cls] < 1:
            return False
        self.credit[cls] -= 1
        return True


class Holder:
    def __init__(self, plan: Plan) -> None:
        self.plan, self.one = plan, 1.0  # and the costliest request so far
        self.floor, self.floor_until = 0.0, -math.inf
        self.grant: Grant | None = None
        self.until = -math.inf  # end of the grant on this gateway's own clock
        self.tokens, self.at = 0.0, -math.inf
        self.accounts: dict[int, Account] = {}

    @property
    def rate(self) -> float:
        """Units a second it may admit in the long run."""
        return self.floor + (self.grant.total if self.grant else 0.0)

    @property
    def burst(self) -> float:
        """Units it may have saved up, at most."""
        return max(self.rate * self.plan.burst_ms / 1000, LEAST_BURST * self.one) if self.rate > 0 else 0.0

    def look(self, now: float) -> None:
        """Brings everything up to now; what ended in between counts to its end and no further."""
        for end in sorted((self.until, self.floor_until)):
            if self.at < end <= now:
                self._fill(end)
            if end <= now:
                self._drop(end)
        self._fill(now)

    def _drop(self, now: float) -> None:
        if self.until <= now and self.grant is not None:
            self._set(now, None, self.floor)
        if self.floor_until <= now and self.floor > 0:
            self._set(now, self.grant, 0.0)

    def _fill(self, now: float) -> None:
        if self.at > -math.inf:
            self.tokens += self.rate * max(now - self.at, 0.0) / 1000
        self.tokens, self.at = min(self.tokens, self.burst), max(now, self.at)

    def _set(self, now: float, grant: Grant | None, floor: float) -> None:
        for account in self.accounts.values():
            account.refill(now)
        self.grant, self.floor = grant, floor
        rates = {place: (own, lent) for place, own, lent in grant.rates} if grant else {}
        for place, account in self.accounts.items():
            self._rates(account, place, rates)
        self.tokens = min(self.tokens, self.burst)

    def _rates(self, account: Account, place: int, rates: Mapping[int, tuple[float, float]]) -> None:
        own, lent = rates.get(place, (0.0, 0.0))
        part = self.plan.tenants[place].part if place < len(self.plan.tenants) else 0.0
        account.go_by(max(self.floor * part, own), lent, self.plan.burst_ms, self.one)

    def take(self, now: float, grant: Grant, until: float) -> None:
        """Goes by a newer grant, until that moment, in place of the one before."""
        self.look(now)
        if until > now:
            self.until = until
            self._set(now, grant, self.floor)

    def keep_floor(self, now: float, rate: float, until: float) -> None:
        self.look(now)
        self.floor_until = until
        if rate != self.floor:
            self._set(now, self.grant, rate)

    def drop(self, now: float, floor: bool) -> None:
        """Goes by no grant any more, and by its floor neither if `floor`."""
        self.look(now)
        self.until = -math.inf
        if floor:
            self.floor_until = -math.inf
        self._set(now, None, 0.0 if floor else self.floor)

    def replan(self, now: float, plan: Plan) -> None:
        """Goes by other shares at once; what was granted goes on, by the tenants' names."""
        self.look(now)
        new = {t.name: place for place, t in enumerate(plan.tenants)}
        moved = {old: new[t.name] for old, t in enumerate(self.plan.tenants) if t.name in new}
        moved[len(self.plan.tenants)] = len(plan.tenants)
        grant = self.grant
        if grant is not None:
            rates = tuple((moved[p], own, lent) for p, own, lent in grant.rates if p in moved)
            grant = replace(grant, rates=rates)
        self.accounts = {moved[p]: account for p, account in self.accounts.items() if p in moved}
        self.plan = plan
        self._set(now, grant, self.floor)

    def account(self, now: float, place: int) -> Account:
        found = self.accounts.get(place)
        if found is None:
            found = self.accounts[place] = Account(now)
            rates = self.grant.rates if self.grant else ()
            self._rates(found, place, {p: (own, lent) for p, own, lent in rates if p == place})
            found.own = found.own_most
        else:
            found.refill(now)
        return found

    def admit(self, now: float, place: int, cls: int, cost: float) -> Admission:
        """Decides on one request of that cost (units), and takes what it admits."""
        self.one = max(self.one, cost)
        self.look(now)
        account = self.account(now, place)
        left = self.tokens - cost
        if left < 0:
            return Admission.REFUSED
        saved = left >= SAVED * self.burst
        if account.own >= cost and account.lets(cls, saved):
            account.own -= cost
            how = Admission.OWN
        elif account.lent >= cost and left >= FOR_OWN * self.burst and account.lets(cls, saved):
            account.lent -= cost
            how = Admission.BORROWED
        elif left >= FOR_GRANTED * self.burst:
            how = Admission.BORROWED
        else:
            return Admission.REFUSED
        self.tokens = left
        return how

    def back_in(self, now: float, place: int, cost: float) -> float:
        """Milliseconds after which a refused request may come again. Those refused one after another get
        one moment after another, as fast as the tenant's rate here allows: they don't come back at once."""
        account = self.account(now, place)
        rate = account.own_rate + account.lent_rate or self.rate / max(len(self.accounts), 1)
        if rate <= 0:
            return self.plan.term_ms
        account.slot = min(max(account.slot, now) + 1000 * cost / rate, now + 2 * self.plan.term_ms)
        return account.slot - now

    def weigh(self, now: float, rates: Mapping[int, Mapping[int, float]], worth: Mapping[int, float]) -> None:
        """Where a tenant asks for more than its part, its classes of the greatest worth come first; what is
        left goes to the next one in part. `rates` are units a second by place and class."""
        self.look(now)
        for place, account in self.accounts.items():
            asked = rates.get(place, {})
            left, account.passes = account.own_rate + account.lent_rate, {}
            if len(asked) < 2 or sum(asked.values()) <= left:
                continue
            for cls in sorted(asked, key=lambda c: (-worth.get(c, 1.0), c)):
                account.passes[cls] = min(left / asked[cls], 1.0) if asked[cls] > 0 else 1.0
                left = max(left - asked[cls], 0.0)
