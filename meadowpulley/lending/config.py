"""Build the quota plan from environment variables and the tenants in the gateway's settings.

`read_plan` takes a mapping of variable names to text (an environment, or flags with the same names) and reads
nothing else. All names begin with `MEADOWPULLEY_LENDING_`; `deploy/lending.env` lists them.
"""

from __future__ import annotations

from collections.abc import Mapping

from meadowpulley.interface import Settings
from meadowpulley.lending.errors import QuotaPlanError
from meadowpulley.lending.plan import DEFAULT_WEIGHT, Quota, QuotaPlan, validate_plan

ENV_PREFIX = "MEADOWPULLEY_LENDING_"
# Maps each numeric variable (without the prefix) to the field of `QuotaPlan` that it sets.
NUMERIC_SETTINGS = {
    "FLOOR": "floor",
    "TERM_MS": "term_ms",
    "FLOOR_TERM_MS": "floor_term_ms",
    "DRIFT": "drift",
    "BURST_MS": "burst_ms",
    "WORK_MS": "work_ms",
}
OTHER_SETTINGS = ("CAPACITY", "VERSION", "UNIT", "SHARES", "WEIGHTS")
# Shortest term of a grant. A round is a fraction of the term: with a shorter term, gateways would report all
# the time.
MIN_TERM_MS = 400.0
MAX_NAMES_IN_ERROR = 5  # an error text lists at most this many known tenants


def read_plan(settings: Settings, values: Mapping[str, str]) -> QuotaPlan | None:
    """Return the quota plan from the settings, or None if no lending variable is set and lending is off.

    Raises `QuotaPlanError` with a one-line text if a setting is invalid.
    """
    given = {
        name.removeprefix(ENV_PREFIX): value
        for name, value in values.items()
        if name.startswith(ENV_PREFIX) and value != ""
    }
    if not given:
        return None
    if "CAPACITY" not in given:
        raise QuotaPlanError(
            f"{ENV_PREFIX}CAPACITY is missing: it is required when {ENV_PREFIX}{min(given)} is set"
        )
    _check_setting_names(given)
    capacity_per_s = _parse_number(given, "CAPACITY", 0.0)
    by_work = _counts_work(given)
    plan = QuotaPlan(
        version=int(_parse_number(given, "VERSION", 1.0)),
        capacity_per_s=capacity_per_s,
        gateways=settings.gateway_count,
        tenants=_tenant_quotas(settings, given, capacity_per_s),
        by_work=by_work,
        **_optional_numbers(given),
    )
    if plan.term_ms < MIN_TERM_MS:
        raise QuotaPlanError(f"{ENV_PREFIX}TERM_MS is {plan.term_ms:g}: it must be at least {MIN_TERM_MS:g}")
    return validate_plan(plan)


def _check_setting_names(given: Mapping[str, str]) -> None:
    unknown = sorted(given.keys() - NUMERIC_SETTINGS.keys() - set(OTHER_SETTINGS))
    if unknown:
        known = ", ".join((*OTHER_SETTINGS, *NUMERIC_SETTINGS))
        raise QuotaPlanError(f"{ENV_PREFIX}{unknown[0]} is not a known setting: use one of {known}")


def _optional_numbers(given: Mapping[str, str]) -> dict[str, float]:
    """Return the numeric settings that are set, by field of the plan; others keep the plan's defaults."""
    numbers = {}
    for key, field in NUMERIC_SETTINGS.items():
        if key in given:
            numbers[field] = _parse_number(given, key, 0.0)
    return numbers


def _counts_work(given: Mapping[str, str]) -> bool:
    unit = given.get("UNIT", "requests")
    if unit not in ("requests", "work"):
        raise QuotaPlanError(f"{ENV_PREFIX}UNIT is '{unit}': use requests or work")
    return unit == "work"


def _parse_number(given: Mapping[str, str], key: str, default: float) -> float:
    text = given.get(key)
    try:
        return default if text is None else float(text)
    except ValueError:
        raise QuotaPlanError(f"{ENV_PREFIX}{key}: expected a number, got '{text}'") from None


def _parse_tenant_numbers(given: Mapping[str, str], key: str, names: set[str]) -> dict[str, float]:
    """Parse a setting of the form `TENANT=NUMBER,...` into numbers by tenant name."""
    numbers: dict[str, float] = {}
    for part in given.get(key, "").split(","):
        entry = part.strip()
        if not entry:
            continue
        name, equals, text = entry.partition("=")
        if not equals or name in numbers:
            raise QuotaPlanError(
                f"{ENV_PREFIX}{key}: invalid entry '{entry}': use TENANT=NUMBER, with one entry per tenant"
            )
        if name not in names:
            raise QuotaPlanError(
                f"{ENV_PREFIX}{key}: unknown tenant '{name}': the known tenants are {_abbreviate(names)}"
            )
        numbers[name] = _parse_number({key: text}, key, 0.0)
        if numbers[name] < 0:
            raise QuotaPlanError(
                f"{ENV_PREFIX}{key}: tenant '{name}' has {text}, which is below 0: use 0 or more"
            )
    return numbers


def _abbreviate(names: set[str]) -> str:
    shown = sorted(names)[:MAX_NAMES_IN_ERROR]
    if len(names) > len(shown):
        shown.append("...")
    return ", ".join(shown)


def _tenant_quotas(settings: Settings, given: Mapping[str, str], capacity_per_s: float) -> tuple[Quota, ...]:
    """Return the tenants' quotas from the SHARES and WEIGHTS variables.

    Without SHARES, the quotas come from the gateway's settings: from the tenants' shares, or from their rates
    if no share is set. A tenant without an entry in WEIGHTS has its quota's fraction as its weight; a tenant
    without a quota gets the smallest nonzero fraction.
    """
    names = {tenant.name for tenant in settings.tenants}
    if not names:
        raise QuotaPlanError(
            f"{ENV_PREFIX}CAPACITY is set, but the settings define no tenants: define at least one"
        )
    fractions = _parse_tenant_numbers(given, "SHARES", names)
    weights = _parse_tenant_numbers(given, "WEIGHTS", names)
    if not fractions:
        fractions = _fractions_of_settings(settings, capacity_per_s)
    smallest = min((fraction for fraction in fractions.values() if fraction > 0), default=DEFAULT_WEIGHT)
    quotas = []
    for tenant in settings.tenants:
        fraction = fractions.get(tenant.name, 0.0)
        weight = weights.get(tenant.name, fraction or smallest)
        quotas.append(Quota(tenant.name, fraction, weight))
    return tuple(quotas)


def _fractions_of_settings(settings: Settings, capacity_per_s: float) -> dict[str, float]:
    """Return the tenants' shares, or their rates as fractions of the capacity if no tenant has a share."""
    has_shares = any(tenant.share for tenant in settings.tenants)
    if not has_shares and capacity_per_s > 0:
        return {tenant.name: tenant.quota_per_s / capacity_per_s for tenant in settings.tenants}
    return {tenant.name: tenant.share for tenant in settings.tenants}
