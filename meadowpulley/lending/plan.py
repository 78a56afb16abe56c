"""The quota plan: the installation's capacity, each tenant's quota, and how long grants and floors last.

The plan is one record of the ledger, in JSON, so that people can read it too. Its version only rises. Rates
are units (requests, or milliseconds of work) per second; times are milliseconds.
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
ROUNDS_PER_TERM = 8  # demand reports of a gateway in one term of a grant
MAX_TENANTS = 1000  # that a plan may name; one more place is for all tenants that it does not name
MAX_CLOCK_DRIFT = 0.2
DEFAULT_WEIGHT = 1.0  # of a tenant, when it borrows
FRACTION_TOLERANCE = 1e-6  # by which the quotas' sum may exceed 1: fractions are rounded


class StoredQuota(TypedDict, total=False):
    """A quota as the ledger's record has it."""

    name: str
    part: float  # the quota's fraction
    weight: float


@dataclass(frozen=True, slots=True)
class Quota:
    """A tenant's guaranteed fraction of the capacity (0 to 1), and its weight when it borrows."""

    name: str
    fraction: float
    weight: float = DEFAULT_WEIGHT


@dataclass(frozen=True, slots=True)
class QuotaPlan:
    """How capacity is divided between tenants; the ledger's record makes it the same at every gateway."""

    version: int
    capacity_per_s: float  # of all gateways together
    gateways: int  # how many; their indices start at 0, and each has a floor
    tenants: tuple[Quota, ...]
    by_work: bool = False  # units are milliseconds of work, not requests
    floor: float = 0.05  # fraction of the capacity that is divided evenly among gateways and never granted
    term_ms: float = 5000.0  # of a grant
    floor_term_ms: float = 3_600_000.0  # for how long a gateway that is cut off may go on using its floor
    drift: float = 0.001  # bound on the relative error of any gateway's clock rate
    burst_ms: float = 500.0  # of its rate, how much a gateway may save up
    work_ms: float = 100.0  # assumed for a request that comes without a work estimate

    @property
    def round_ms(self) -> float:
        """Interval between two demand reports.

        Much shorter than a term: a report is answered, and a failed allocator replaced, well before a grant
        ends.
        """
        return self.term_ms / ROUNDS_PER_TERM

    @property
    def usable_per_s(self) -> float:
        """Capacity in units per second as measured by clocks that may run fast."""
        return self.capacity_per_s / (1 + self.drift)

    def fraction(self, place: int) -> float:
        """Return the quota of the tenant at a place as a fraction of the capacity; 0 if it is not named."""
        return self.tenants[place].fraction if place < len(self.tenants) else 0.0

    def quota_per_s(self, place: int) -> float:
        """Return the guaranteed units per second of the tenant at a place; 0 if it is not named."""
        return self.fraction(place) * self.usable_per_s

    def weight(self, place: int) -> float:
        """Return the weight with which the tenant at a place borrows; 0 if it is not named."""
        return self.tenants[place].weight if place < len(self.tenants) else 0.0

    def places_in(self, other: QuotaPlan) -> dict[int, int]:
        """Return the places in another plan of this plan's tenants, by their places here."""
        other_places = other.place_by_name()
        return {
            place: other_places[quota.name]
            for place, quota in enumerate(self.tenants)
            if quota.name in other_places
        }

    def place_by_name(self) -> dict[str, int]:
        """Return the places of the tenants by their names."""
        return {quota.name: place for place, quota in enumerate(self.tenants)}

    def floor_per_s(self, gateway_index: int) -> float:
        """Return the units per second that a gateway may admit even while the ledger is unreachable."""
        if gateway_index >= self.gateways:
            return 0.0
        return self.floor * self.usable_per_s / self.gateways

    def holder_term_ms(self, term_ms: float) -> float:
        """Return for how long, on its own clock, a lease holder may rely on a term."""
        return term_ms * (1 - self.drift)

    def observer_term_ms(self, term_ms: float) -> float:
        """Return after how long, on their own clocks, all others may consider a term over."""
        return term_ms * (1 + self.drift)


def encode_plan(plan: QuotaPlan) -> bytes:
    """Encode a plan as the ledger's record: JSON with sorted keys; a quota's fraction is its `part`."""
    fields = asdict(plan)
    fields["tenants"] = [
        {"name": quota.name, "part": quota.fraction, "weight": quota.weight} for quota in plan.tenants
    ]
    return json.dumps(fields, sort_keys=True).encode()


def decode_plan(value: bytes) -> QuotaPlan:
    """Decode and validate the ledger's record. Raises `QuotaPlanError`."""
    try:
        fields = json.loads(value)
        tenants = tuple(_decode_quota(quota) for quota in fields.pop("tenants"))
        plan = QuotaPlan(tenants=tenants, **fields)
        validate_plan(plan)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise QuotaPlanError(f"lending: lending/plan: {error}") from None
    return plan


def _decode_quota(encoded: StoredQuota) -> Quota:
    unknown = sorted(encoded.keys() - StoredQuota.__annotations__.keys())
    if unknown:
        raise QuotaPlanError(f"a tenant has the unknown field '{unknown[0]}': remove it")
    return Quota(encoded["name"], encoded["part"], encoded.get("weight", DEFAULT_WEIGHT))


def validate_plan(plan: QuotaPlan) -> QuotaPlan:
    """Return the plan unchanged; raises `QuotaPlanError` with the first problem found."""
    for problem in _problems(plan):
        raise QuotaPlanError(f"lending: {problem}")
    return plan


def _problems(plan: QuotaPlan) -> Iterator[str]:
    yield from _tenant_list_problems(plan)
    yield from _number_problems(plan)
    total_fraction = math.fsum(quota.fraction for quota in plan.tenants)
    if total_fraction > 1 + FRACTION_TOLERANCE:
        yield f"shares add up to {total_fraction:g}, not 1 or less: lower some"
    for quota in plan.tenants:
        if not (0 <= quota.fraction <= 1 and 0 <= quota.weight < math.inf):
            numbers = f"share {quota.fraction:g} or weight {quota.weight:g}"
            remedy = "use a share within 0 and 1, and a weight of 0 or more"
            yield f"tenant '{quota.name}': {numbers} is out of range: {remedy}"


def _tenant_list_problems(plan: QuotaPlan) -> Iterator[str]:
    names = [quota.name for quota in plan.tenants]
    if not names:
        yield "no tenants: capacity can only be lent between tenants"
    if len(names) > MAX_TENANTS:
        yield f"{len(names)} tenants: at most {MAX_TENANTS} can be named"
    duplicate = next((name for name, times in Counter(names).items() if times > 1), None)
    if duplicate is not None:
        yield f"tenant '{duplicate}' is listed twice: name each once"


def _number_problems(plan: QuotaPlan) -> Iterator[str]:
    positive = (plan.capacity_per_s, plan.term_ms, plan.floor_term_ms, plan.burst_ms, plan.work_ms)
    if not all(0 < number < math.inf for number in positive):
        yield "capacity, terms, burst and work must be above 0"
    if plan.gateways < 1 or plan.version < 1:
        yield "gateways and version must be 1 or more"
    if not 0 <= plan.floor < 1:
        yield f"floor {plan.floor:g} is not within 0 and 1"
    if not 0 <= plan.drift < MAX_CLOCK_DRIFT:
        yield f"drift {plan.drift:g} is not within 0 and {MAX_CLOCK_DRIFT:g}"
    if plan.floor_term_ms < plan.term_ms:
        yield "the floor's term is shorter than a grant's"
