"""Define the quota plan: total capacity, each tenant's quota, and how long grants and floors last.

The plan is one ledger record in JSON, so that operators can read it. Its version number only rises. Rates are
in units (requests, or milliseconds of work) per second; times are in milliseconds. A tenant's place is its
index in the plan's list of tenants.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import TypedDict

from meadowpulley.lending.errors import QuotaPlanError

MS_PER_SECOND = 1000
ROUNDS_PER_TERM = 8  # regular demand reports that a gateway sends in one term of a grant
# Tenants that a plan may name. One more place is used for all tenants that the plan does not name.
MAX_TENANTS = 1000
MAX_CLOCK_DRIFT = 0.2
DEFAULT_WEIGHT = 1.0  # a tenant's weight when it borrows, if none is set
FRACTION_TOLERANCE = 1e-6  # the sum of quotas may exceed 1 by this much, because fractions are rounded


class StoredQuota(TypedDict, total=False):
    """Define the fields of a quota in the ledger record."""

    name: str
    part: float  # the quota as a fraction of the capacity
    weight: float


@dataclass(frozen=True, slots=True)
class Quota:
    """Hold a tenant's guaranteed fraction of the capacity (0 to 1), and its weight when it borrows."""

    name: str
    fraction: float
    weight: float = DEFAULT_WEIGHT


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """Define how capacity is divided between tenants; all gateways share it through the ledger."""

    version: int
    capacity_per_s: float  # units per second of all gateways together
    gateways: int  # number of gateways; their indices start at 0, and each has a floor
    tenants: tuple[Quota, ...]
    by_work: bool = False  # units are milliseconds of work, not requests
    # Fraction of the capacity that is divided evenly among gateways as their floors and never granted.
    floor: float = 0.05
    term_ms: float = 5000.0  # how long a grant is valid
    # How long a gateway may go on using its floor after it has lost the connection to the ledger.
    floor_term_ms: float = 3_600_000.0
    drift: float = 0.001  # upper bound on the relative error of any gateway's clock rate
    burst_ms: float = 500.0  # a gateway may save up tokens for this many milliseconds of its rate
    work_ms: float = 100.0  # work assumed for a request without a work estimate

    @property
    def round_ms(self) -> float:
        """Return the interval between two demand reports, in milliseconds.

        It is much shorter than a term, so that a report is answered, and a failed allocator replaced, well
        before a grant expires.
        """
        return self.term_ms / ROUNDS_PER_TERM

    @property
    def usable_per_s(self) -> float:
        """Return the capacity in units per second, reduced to allow for clocks that run fast."""
        return self.capacity_per_s / (1 + self.drift)

    def fraction(self, place: int) -> float:
        """Return a tenant's quota as a fraction of the capacity; 0 for tenants the plan does not list."""
        return self.tenants[place].fraction if place < len(self.tenants) else 0.0

    def quota_per_s(self, place: int) -> float:
        """Return a tenant's quota in units per second; 0 for tenants that the plan does not list."""
        return self.fraction(place) * self.usable_per_s

    def weight(self, place: int) -> float:
        """Return a tenant's weight for borrowing capacity; 0 for tenants that the plan does not list."""
        return self.tenants[place].weight if place < len(self.tenants) else 0.0

    def places_in(self, other: QuotaPlan) -> dict[int, int]:
        """Map the places of this plan's tenants to their places in another plan."""
        other_places = other.place_by_name()
        return {
            place: other_places[quota.name]
            for place, quota in enumerate(self.tenants)
            if quota.name in other_places
        }

    def place_by_name(self) -> dict[str, int]:
        """Map the tenants' names to their places."""
        return {quota.name: place for place, quota in enumerate(self.tenants)}

    def floor_per_s(self, gateway_index: int) -> float:
        """Return the floor: units per second a gateway may admit even while the ledger is unreachable."""
        if gateway_index >= self.gateways:
            return 0.0
        return self.floor * self.usable_per_s / self.gateways

    def holder_term_ms(self, term_ms: float) -> float:
        """Return how long a holder may use a grant or floor of this term, in ms on its own clock."""
        return term_ms * (1 - self.drift)

    def observer_term_ms(self, term_ms: float) -> float:
        """Return how long others must wait until this term is over, in ms on their own clocks."""
        return term_ms * (1 + self.drift)


def encode_plan(plan: QuotaPlan) -> bytes:
    """Encode a plan as JSON with sorted keys; a quota's fraction is stored in the field `part`."""
    fields = asdict(plan)
    fields["tenants"] = [
        {"name": quota.name, "part": quota.fraction, "weight": quota.weight} for quota in plan.tenants
    ]
    return json.dumps(fields, sort_keys=True).encode()


def decode_plan(value: bytes) -> QuotaPlan:
    """Decode and validate a plan record; raise `QuotaPlanError` if it is invalid."""
    try:
        fields = json.loads(value)
        tenants = tuple(_decode_quota(quota) for quota in fields.pop("tenants"))
        plan = QuotaPlan(tenants=tenants, **fields)
        validate_plan(plan)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise QuotaPlanError(f"lending: invalid record lending/plan: {error}") from None
    return plan


def _decode_quota(encoded: StoredQuota) -> Quota:
    unknown = sorted(encoded.keys() - StoredQuota.__annotations__.keys())
    if unknown:
        raise QuotaPlanError(f"a tenant has the unknown field '{unknown[0]}': remove it")
    return Quota(encoded["name"], encoded["part"], encoded.get("weight", DEFAULT_WEIGHT))


def validate_plan(plan: QuotaPlan) -> QuotaPlan:
    """Return the plan unchanged, or raise `QuotaPlanError` with the first problem found."""
    for problem in _problems(plan):
        raise QuotaPlanError(f"lending: {problem}")
    return plan


def _problems(plan: QuotaPlan) -> Iterator[str]:
    yield from _tenant_list_problems(plan)
    yield from _number_problems(plan)
    total_fraction = math.fsum(quota.fraction for quota in plan.tenants)
    if total_fraction > 1 + FRACTION_TOLERANCE:
        yield f"shares add up to {total_fraction:g}, but at most 1 is allowed: lower some of them"
    for quota in plan.tenants:
        if not (0 <= quota.fraction <= 1 and 0 <= quota.weight < math.inf):
            numbers = f"share {quota.fraction:g} or weight {quota.weight:g}"
            remedy = "use a share between 0 and 1, and a finite weight of 0 or more"
            yield f"tenant '{quota.name}': {numbers} is out of range: {remedy}"


def _tenant_list_problems(plan: QuotaPlan) -> Iterator[str]:
    names = [quota.name for quota in plan.tenants]
    if not names:
        yield "the plan has no tenants: define at least one, because capacity is lent between tenants"
    if len(names) > MAX_TENANTS:
        yield f"the plan has {len(names)} tenants, but at most {MAX_TENANTS} are allowed"
    duplicate = next((name for name, times in Counter(names).items() if times > 1), None)
    if duplicate is not None:
        yield f"tenant '{duplicate}' is listed more than once: list each tenant once"


def _number_problems(plan: QuotaPlan) -> Iterator[str]:
    positive = (plan.capacity_per_s, plan.term_ms, plan.floor_term_ms, plan.burst_ms, plan.work_ms)
    if not all(0 < number < math.inf for number in positive):
        yield "capacity, terms, burst and work must be finite and above 0"
    if plan.gateways < 1 or plan.version < 1:
        yield "gateways and version must be 1 or more"
    if not 0 <= plan.floor < 1:
        yield f"floor {plan.floor:g} is out of range: use at least 0 and less than 1"
    if not 0 <= plan.drift < MAX_CLOCK_DRIFT:
        yield f"drift {plan.drift:g} is out of range: use at least 0 and less than {MAX_CLOCK_DRIFT:g}"
    if plan.floor_term_ms < plan.term_ms:
        yield "the floor's term is shorter than the term of a grant: raise the floor's term"
