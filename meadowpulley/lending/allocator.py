"""Who may admit what: the one gateway that holds the office answers every asking with a grant.

The promise: at every moment the floors and all grants that any gateway may still go by add up to the
capacity at most. For each gateway that counts which was granted last and, until its next asking says that it
goes by that grant, whatever it may have gone by before (`Grant.held`). What is not renewed counts for a term
(and the clocks' drift) from the moment the allocator first saw it, which is after its holder began it.
So a grant rises only by what is free; what is lowered is free once its gateway said so; what ended is free
once a record says that it was returned. Whoever allocates next finds the same sum in the records.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from meadowpulley.lending.model import Ask, Grant, Plan
from meadowpulley.lending.split import split

ROUNDING = 1e-9  # units a second, in comparisons of sums
SPARE = 0.5  # of what nobody asks for lies ready at all gateways; the rest answers those who ask next


@dataclass(slots=True)
class Granted:
    """The record of a gateway's grant, as the allocator last saw it."""

    grant: Grant
    version: int
    seen_at: float


@dataclass(slots=True)
class Asked:
    ask: Ask
    version: int
    seen_at: float


@dataclass(slots=True)
class Divided:
    """For each place, the parts of what is asked that are given: of its own share, and borrowed."""

    parts: dict[int, tuple[float, float]]
    spare: float  # for each gateway beside


@dataclass(slots=True)
class Need:
    """What one gateway should have, and how much of it it has."""

    rates: list[tuple[int, float, float]]  # place, own, borrowed
    all_own: float
    all_lent: float
    own: float  # of the owners' shares, beyond the floor
    has: float  # of all beyond the floor, by what is counted for it already
    lacks_own: float
    lacks_more: float

    @classmethod
    def of(cls, ask: Ask, divided: Divided, counted: float) -> Need:
        parts, none = divided.parts, (0.0, 0.0)
        rates = [(p, rate * parts.get(p, none)[0], rate * parts.get(p, none)[1]) for p, rate in ask.rates]
        all_own, all_lent = math.fsum(r[1] for r in rates), math.fsum(r[2] for r in rates)
        own = max(all_own - ask.uses, 0.0)
        wanted = max(all_own + all_lent + divided.spare - ask.uses, 0.0)
        lacks_own, lacks_more = max(own - counted, 0.0), max(wanted - max(counted, own), 0.0)
        return cls(rates, all_own, all_lent, own, min(wanted, counted), lacks_own, lacks_more)


class Allocator:
    """Pure: records and answers in, grants out. Numbers are those of the gateways."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.asks: dict[int, Asked] = {}
        self.grants: dict[int, Granted] = {}
        self.sums: dict[int, float] = {}  # asked for by all gateways, by place
        self.owed_until: dict[int, float] = {}  # ends of what earlier lives were granted
        self.short: dict[int, float] = {}  # what gateways lacked of owners' shares at their last answers

    def saw_ask(self, now: float, number: int, ask: Ask, version: int) -> None:
        old = self.asks.get(number)
        if old is not None and old.version >= version:
            return
        self._sum(old, -1)
        self.asks[number] = Asked(ask, version, now)
        granted = self.grants.get(number)
        if ask.left and granted is not None and granted.grant.life == ask.life:
            granted.grant = replace(granted.grant, total=0.0, held=0.0)
        self._sum(self.asks[number], 1)

    def _sum(self, asked: Asked | None, sign: int) -> None:
        if asked is not None and asked.ask.plan == self.plan.version:
            for place, rate in asked.ask.rates:
                self.sums[place] = self.sums.get(place, 0.0) + sign * rate

    def saw_grant(self, now: float, number: int, grant: Grant, version: int) -> None:
        old = self.grants.get(number)
        if old is not None and old.version >= version:
            return
        self.grants[number] = Granted(grant, version, now)
        if grant.owed > 0 and number not in self.owed_until:
            self.owed_until[number] = now + self.plan.others(grant.term_ms)

    def replan(self, plan: Plan) -> None:
        self.plan, self.sums = plan, {}
        for asked in self.asks.values():
            self._sum(asked, 1)

    def counted(self, number: int) -> float:
        """Units a second set apart for this gateway, in whichever of its lives, until a record says less."""
        return self.in_use(number) + self.owed(number)

    def in_use(self, number: int) -> float:
        """What the life that was answered last may go by."""
        granted, asked = self.grants.get(number), self.asks.get(number)
        if granted is None:
            return 0.0
        if asked is not None and _goes_by(asked.ask, granted.grant):
            return 0.0 if asked.ask.left else granted.grant.total
        return granted.grant.held

    def owed(self, number: int) -> float:
        """What earlier lives may go by: nobody can say for them that they don't."""
        granted = self.grants.get(number)
        return granted.grant.owed if granted is not None else 0.0

    def _end(self, granted: Granted) -> float:
        """When whoever held that grant has stopped going by it, whatever its clock does."""
        return granted.seen_at + self.plan.others(granted.grant.term_ms)

    def _bury(self, now: float, number: int) -> tuple[float, float]:
        """What the asking life may go by already, and what earlier lives may still.

        A life that was answered last and asks no more is an earlier one: what it had counts to its end.
        """
        granted, life = self.grants.get(number), self.asks[number].ask.life
        if granted is None:
            return 0.0, 0.0
        used, owed = self.in_use(number), self.owed(number)
        if now >= self.owed_until.get(number, -math.inf):
            owed = 0.0
        if granted.grant.life == life:
            return used, owed
        end = self._end(granted)
        if now >= end:
            return 0.0, owed
        self.owed_until[number] = max(self.owed_until.get(number, end), end)
        return 0.0, used + owed

    def _returns(self, now: float, number: int) -> Grant | None:
        """A grant that ended unrenewed is written as returned before anyone else gets it: once, by one step,
        so that no later allocator can take it for lent to two."""
        granted = self.grants[number]
        grant = granted.grant
        ended = now >= self._end(granted) and grant.held > 0
        paid = now >= self.owed_until.get(number, -math.inf) and grant.owed > 0
        if not ended and not paid:
            return None
        if ended:
            grant = replace(grant, total=0.0, held=0.0, rates=())
        return replace(grant, owed=0.0) if paid else grant

    def floor_counted(self, now: float, number: int) -> float:
        """Units a second it may go on with beside, even cut off, in whichever of its lives."""
        asked, granted, found = self.asks.get(number), self.grants.get(number), 0.0
        term = self.plan.others(self.plan.floor_term_ms)
        if asked is not None and now < asked.seen_at + term:
            found = asked.ask.floor
        if granted is None or now >= granted.seen_at + term:
            return found
        if asked is not None and _goes_by(asked.ask, granted.grant):
            return found
        return max(found, granted.grant.floor)

    def floors(self, now: float) -> float:
        """What is set apart for floors: the plan's, and what any gateway still goes by of an earlier plan."""
        more = [
            max(self.floor_counted(now, n) - self.plan.floor_of(n), 0.0)
            for n in self.asks.keys() | self.grants.keys()
        ]
        return self.plan.floor * self.plan.usable + math.fsum(more)

    def turn(self, now: float) -> list[tuple[int, Grant, int]]:
        """Answers to all askings since the last turn, and grants returned: number, grant, version of the
        record it replaces (0: none yet). The caller carries them out before it calls again."""
        waiting = [n for n, a in sorted(self.asks.items()) if self._waits(now, n, a)]
        back = [(n, self._returns(now, n)) for n in sorted(self.grants.keys() - set(waiting))]
        answers = [(n, grant, self._version(n)) for n, grant in back if grant is not None]
        if not waiting:
            return answers
        pool = self.plan.usable - self.floors(now)
        free = pool - math.fsum(self.counted(n) for n in self.grants)
        divided = self._divide(now, max(pool, 0.0))
        had = {n: self._bury(now, n) for n in waiting}
        needs = {n: Need.of(self.asks[n].ask, divided, had[n][0]) for n in waiting}
        first = math.fsum(need.lacks_own for need in needs.values())
        second = math.fsum(need.lacks_more for need in needs.values())
        # Owners elsewhere that lacked something at their last answer come before anyone borrows.
        elsewhere = [s for n, s in self.short.items() if n not in needs and self._fresh(now, self.asks[n])]
        left = max(free - first - math.fsum(elsewhere), 0.0)
        part_own = min(max(free, 0.0) / first, 1.0) if first > 0 else 1.0
        part_more = min(left / second, 1.0) if second > 0 else 1.0
        for n, need in needs.items():
            total = need.has + part_own * need.lacks_own + part_more * need.lacks_more
            self.short[n] = max(need.own - total, 0.0)
            answers.append(
                (n, self._grant(now, n, need, (total, *had[n]), free >= -ROUNDING), self._version(n))
            )
        return answers

    def _version(self, number: int) -> int:
        return self.grants[number].version if number in self.grants else 0

    def _waits(self, now: float, number: int, asked: Asked) -> bool:
        ask, granted = asked.ask, self.grants.get(number)
        if ask.left or ask.plan != self.plan.version or not self._fresh(now, asked):
            return False
        return granted is None or granted.grant.life != ask.life or ask.turn > granted.grant.turn

    def _fresh(self, now: float, asked: Asked) -> bool:
        return not asked.ask.left and now < asked.seen_at + self.plan.term_ms

    def _divide(self, now: float, pool: float) -> Divided:
        """Max-min over all that is asked for, of the pool and the floors of those that ask."""
        for n in [n for n, a in self.asks.items() if not self._fresh(now, a) and a.ask.rates]:
            self._sum(self.asks[n], -1)
            self.asks[n].ask = replace(self.asks[n].ask, rates=())
        fresh = [a.ask for a in self.asks.values() if self._fresh(now, a)]
        pool += math.fsum(ask.uses for ask in fresh if ask.rates)
        places = sorted(p for p, rate in self.sums.items() if rate > ROUNDING)
        tenants, asks = self.plan.tenants, [self.sums[p] for p in places]
        shares = [tenants[p].part * self.plan.usable if p < len(tenants) else 0.0 for p in places]
        weights = [tenants[p].weight if p < len(tenants) else 0.0 for p in places]
        own, lent = split(pool, asks, shares, weights)
        left = max(pool - math.fsum(own) - math.fsum(lent), 0.0)
        return Divided(
            {p: (mine / ask, more / ask) for p, mine, more, ask in zip(places, own, lent, asks, strict=True)},
            SPARE * left / max(len(fresh), 1),
        )

    def _grant(
        self, now: float, number: int, need: Need, rates: tuple[float, float, float], room: bool
    ) -> Grant:
        total, used, owed = rates
        ask, floor = self.asks[number].ask, self.floor_counted(now, number)
        all_in = total + ask.uses
        scale_own = min(all_in / need.all_own, 1.0) if need.all_own > 0 else 1.0
        scale_lent = min(max(all_in - need.all_own, 0.0) / need.all_lent, 1.0) if need.all_lent > 0 else 1.0
        return Grant(
            ask.life,
            ask.turn,
            ask.plan,
            total,
            max(total, used),
            owed,
            max(floor, self.plan.floor_of(number)) if room else floor,
            self.plan.term_ms,
            tuple((p, own * scale_own, lent * scale_lent) for p, own, lent in need.rates if own + lent > 0),
        )


def _goes_by(ask: Ask, grant: Grant) -> bool:
    return ask.life == grant.life and ask.seen >= grant.turn
