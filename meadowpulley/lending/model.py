"""What the gateways share about lending: the plan, what each gateway asks for, what each was granted.

Three kinds of records, and one more that says who allocates. Each has one writer at a time, so that hardly
a step loses: a gateway writes what it asks for, the allocator writes what it grants, each by its number.

- `lending/plan`: capacity, shares and terms, with a version that only rises (JSON, read by people too).
- `lending/allocator`: the life that allocates. Every grant is written on the condition that this record is
  as it was when that life took the office: one that was stopped and wakes writes nothing any more.
- `lending/ask/N`: what gateway N asks for, in its turn, and which grant it goes by.
- `lending/grant/N`: what gateway N may admit, as an answer to one turn of its asking.

Rates are units (requests, or milliseconds of work) a second, times are milliseconds.
"""

from __future__ import annotations

import json
import math
import struct
from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from meadowpulley.ledger.model import Commit, Create, Life, Replace, Step

OWNER = "lending"
ROOT = "lending/"
PLAN, ALLOCATOR = ROOT + "plan", ROOT + "allocator"
ASK, GRANT = ROOT + "ask/", ROOT + "grant/"
MOST_TENANTS = 1000  # a plan may name; one more place is for those that it doesn't name
FORMAT = 1  # of asks and grants: others are refused whole
_ASK, _GRANT = struct.Struct("<BHIIIIIdd?"), struct.Struct("<BHIIIIddddd")
_ASKED, _GRANTED = struct.Struct("<Hf"), struct.Struct("<Hff")


class PlanError(ValueError):
    """A plan that can't be: one line that says what, where and what to do."""


@dataclass(frozen=True, slots=True)
class Share:
    """A tenant's part of the capacity (0 to 1) and its weight when it borrows."""

    name: str
    part: float
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Plan:
    """What is divided between whom; the same at every gateway, as the ledger has it."""

    version: int
    capacity_per_s: float  # for all gateways together
    gateways: int  # numbers 0 and up, each with a floor
    tenants: tuple[Share, ...]
    by_work: bool = False  # units are milliseconds of work, not requests
    floor: float = 0.05  # of the capacity: divided evenly for good, so that no gateway is left with nothing
    term_ms: float = 5000.0  # of a grant
    floor_term_ms: float = 3_600_000.0  # of a floor: how long one that is cut off may go on with it
    drift: float = 0.001  # clocks gain or lose less than this part
    burst_ms: float = 500.0  # of its rate a gateway may save up
    work_ms: float = 100.0  # of a request that tells nothing of its work

    @property
    def turn_ms(self) -> float:
        """Between two askings: a grant is answered, and an allocator replaced, well within a term."""
        return self.term_ms / 8

    @property
    def usable(self) -> float:
        """Of the capacity, in units a second of clocks that may run fast."""
        return self.capacity_per_s / (1 + self.drift)

    def floor_of(self, number: int) -> float:
        """Units a second that gateway may admit whatever the ledger does."""
        return self.floor * self.usable / self.gateways if number < self.gateways else 0.0

    def own(self, term_ms: float) -> float:
        """How long its holder goes by what lasts a term, on its own clock."""
        return term_ms * (1 - self.drift)

    def others(self, term_ms: float) -> float:
        """After how long, on their own clocks, others count it free."""
        return term_ms * (1 + self.drift)


@dataclass(frozen=True, slots=True)
class Ask:
    """What a gateway asks for in all, by the tenant's place in the plan."""

    life: Life
    turn: int  # rises by one with each asking of that life
    seen: int  # the turn whose grant it goes by; it uses no earlier one any more
    plan: int  # version that the places of the tenants belong to
    floor: float  # at most what this gateway, or an earlier life of it, admits beyond grants
    uses: float  # of that this life itself: it needs so much less
    left: bool = False  # it admits nothing any more: planned stop
    rates: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Grant:
    """What a gateway may admit from the moment it began the asking of that turn, for a term."""

    life: Life
    turn: int
    plan: int
    total: float  # beyond the floor, of all tenants, with what is not bound to any
    held: float  # as much is to be counted until this grant is seen or has ended: earlier ones may be in use
    owed: float  # beside that, what earlier lives may still go by, whatever this one has seen
    floor: float  # what it may admit in any case, for the floor's term: no more than the plan's
    term_ms: float
    rates: tuple[tuple[int, float, float], ...] = ()  # place, of its own share, borrowed; floor and all


def pack_life(life: Life) -> bytes:
    return f"{life.epoch} {life.name}".encode()


def unpack_life(value: bytes) -> Life:
    epoch, _, name = value.decode().partition(" ")
    return Life(name, int(epoch))


def pack_ask(ask: Ask) -> bytes:
    name = ask.life.name.encode()
    head = _ASK.pack(
        FORMAT,
        len(name),
        ask.life.epoch,
        ask.turn,
        ask.seen,
        ask.plan,
        len(ask.rates),
        ask.floor,
        ask.uses,
        ask.left,
    )
    return head + name + b"".join([_ASKED.pack(*rate) for rate in ask.rates])


def unpack_ask(value: bytes) -> Ask:
    """Raises `ValueError` for what is no asking of this format."""
    try:
        form, size, epoch, turn, seen, plan, count, floor, uses, left = _ASK.unpack_from(value)
        rates = _rest(value, _ASK.size + size, _ASKED, count, form)
    except struct.error as error:
        raise ValueError(f"no asking: {error}") from None
    name = value[_ASK.size : _ASK.size + size].decode()
    return Ask(Life(name, epoch), turn, seen, plan, floor, uses, left, rates)


def pack_grant(grant: Grant) -> bytes:
    name, rates = grant.life.name.encode(), grant.rates
    numbers = (len(name), grant.life.epoch, grant.turn, grant.plan, len(rates))
    head = _GRANT.pack(FORMAT, *numbers, grant.total, grant.held, grant.owed, grant.floor, grant.term_ms)
    return head + name + b"".join([_GRANTED.pack(*rate) for rate in rates])


def unpack_grant(value: bytes) -> Grant:
    """Raises `ValueError` for what is no grant of this format."""
    try:
        form, size, epoch, turn, plan, count, total, held, owed, floor, term = _GRANT.unpack_from(value)
        rates = _rest(value, _GRANT.size + size, _GRANTED, count, form)
    except struct.error as error:
        raise ValueError(f"no grant: {error}") from None
    name = value[_GRANT.size : _GRANT.size + size].decode()
    return Grant(Life(name, epoch), turn, plan, total, held, owed, floor, term, rates)


def _rest(value: bytes, at: int, one: struct.Struct, count: int, form: int) -> tuple[Any, ...]:
    if form != FORMAT or len(value) != at + one.size * count:
        raise ValueError(f"format {form}, {len(value)} bytes")
    return tuple(one.iter_unpack(value[at:]))


def pack_plan(plan: Plan) -> bytes:
    return json.dumps(asdict(plan), sort_keys=True).encode()


def unpack_plan(value: bytes) -> Plan:
    """Raises `PlanError` for what is no plan, or one that can't be."""
    try:
        raw = json.loads(value)
        tenants = tuple(Share(**t) for t in raw.pop("tenants"))
        plan = Plan(tenants=tenants, **raw)
        checked(plan)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise PlanError(f"lending: {PLAN}: {error}") from None
    return plan


def checked(plan: Plan) -> Plan:
    """The plan itself; raises `PlanError` where it can't be."""
    parts = math.fsum(t.part for t in plan.tenants)
    names = [t.name for t in plan.tenants]
    twice = next((name for name, times in Counter(names).items() if times > 1), None)
    positive = (plan.capacity_per_s, plan.term_ms, plan.floor_term_ms, plan.burst_ms, plan.work_ms)
    whats = (
        (not names, "no tenants: capacity can only be lent between tenants"),
        (len(names) > MOST_TENANTS, f"{len(names)} tenants: at most {MOST_TENANTS} can be named"),
        (twice is not None, f"tenant '{twice}' stands there twice: name each once"),
        (not all(0 < x < math.inf for x in positive), "capacity, terms, burst and work must be above 0"),
        (plan.gateways < 1 or plan.version < 1, "gateways and version must be 1 or more"),
        (not 0 <= plan.floor < 1, f"floor {plan.floor:g} is not within 0 and 1"),
        (not 0 <= plan.drift < 0.2, f"drift {plan.drift:g} is not within 0 and 0.2"),
        (plan.floor_term_ms < plan.term_ms, "the floor's term is shorter than a grant's"),
        (parts > 1 + 1e-6, f"shares add up to {parts:g}, not 1 or less: lower some"),
    )
    for wrong, what in whats:
        if wrong:
            raise PlanError(f"lending: {what}")
    for t in plan.tenants:
        if not (0 <= t.part <= 1 and 0 <= t.weight < math.inf):
            raise PlanError(f"lending: tenant '{t.name}': share {t.part:g} or weight {t.weight:g} can't be")
    return plan


def write(ticket: int, key: str, value: bytes, version: int) -> Commit:
    """One write of one record, if it is still as this gateway saw it (0: not there yet)."""
    one = Replace(key, value, version) if version else Create(key, value)
    return Commit(ticket, (Step((one,)),), OWNER)


def key(kind: str, number: int) -> str:
    """Of a gateway's asking or grant; no key is the beginning of another."""
    return f"{kind}{number:05d}"
