"""Settings of lending, checked: what stands in the environment beside the tenants of the gateway's settings.

`read_plan` takes a mapping of names to text (an environment, or flags by the same names) and touches nothing
else. All names begin with `MEADOWPULLEY_LENDING_`; `deploy/lending.env` lists them.
"""

from __future__ import annotations

from collections.abc import Mapping

from meadowpulley.interface import Settings
from meadowpulley.lending.model import Plan, PlanError, Share, checked

PREFIX = "MEADOWPULLEY_LENDING_"
NUMBERS = {
    "FLOOR": "floor",
    "TERM_MS": "term_ms",
    "FLOOR_TERM_MS": "floor_term_ms",
    "DRIFT": "drift",
    "BURST_MS": "burst_ms",
    "WORK_MS": "work_ms",
}
OTHERS = ("CAPACITY", "VERSION", "UNIT", "SHARES", "WEIGHTS")
LEAST_TERM_MS = 400.0  # a turn is an eighth of it: shorter ones would ask all the time


def read_plan(settings: Settings, values: Mapping[str, str]) -> Plan | None:
    """The plan of these settings; None where no capacity is named: lending is off.

    Raises `PlanError`, one line, for whatever can't be.
    """
    given = {k[len(PREFIX) :]: v for k, v in values.items() if k.startswith(PREFIX) and v != ""}
    if "CAPACITY" not in given:
        if given:
            raise PlanError(f"{PREFIX}CAPACITY is missing, though {PREFIX}{min(given)} is set: set it too")
        return None
    unknown = sorted(given.keys() - NUMBERS.keys() - set(OTHERS))
    if unknown:
        raise PlanError(f"{PREFIX}{unknown[0]}: no such setting: one of {', '.join((*OTHERS, *NUMBERS))}")
    capacity = _number(given, "CAPACITY", 0.0)
    unit = given.get("UNIT", "requests")
    if unit not in ("requests", "work"):
        raise PlanError(f"{PREFIX}UNIT is '{unit}': requests or work")
    plan = Plan(
        version=int(_number(given, "VERSION", 1.0)),
        capacity_per_s=capacity,
        gateways=settings.gateway_count,
        tenants=_tenants(settings, given, capacity),
        by_work=unit == "work",
        **{name: _number(given, key, 0.0) for key, name in NUMBERS.items() if key in given},
    )
    if plan.term_ms < LEAST_TERM_MS:
        raise PlanError(f"{PREFIX}TERM_MS is {plan.term_ms:g}: at least {LEAST_TERM_MS:g}")
    return checked(plan)


def _number(given: Mapping[str, str], key: str, default: float) -> float:
    text = given.get(key)
    try:
        return default if text is None else float(text)
    except ValueError:
        raise PlanError(f"{PREFIX}{key} is '{text}', no number") from None


def _pairs(given: Mapping[str, str], key: str, names: set[str]) -> dict[str, float]:
    found: dict[str, float] = {}
    for part in given.get(key, "").split(","):
        name, equals, text = part.strip().partition("=")
        if not part.strip():
            continue
        if not equals or name in found:
            raise PlanError(f"{PREFIX}{key}: '{part.strip()}' is not one TENANT=NUMBER for each tenant")
        if name not in names:
            raise PlanError(f"{PREFIX}{key}: unknown tenant '{name}': the settings name {_some(names)}")
        found[name] = _number({key: text}, key, 0.0)
        if found[name] < 0:
            raise PlanError(f"{PREFIX}{key}: tenant '{name}': {text} is below nothing: 0 or more")
    return found


def _some(names: set[str]) -> str:
    return ", ".join(sorted(names)[:5]) + (", ..." if len(names) > 5 else "")


def _tenants(settings: Settings, given: Mapping[str, str], capacity: float) -> tuple[Share, ...]:
    """Shares as set here, else as the settings have them, else their quotas as parts of the capacity. Weights
    as set here, else the shares; the least of them for a tenant without a share."""
    names = {t.name for t in settings.tenants}
    if not names:
        raise PlanError(f"{PREFIX}CAPACITY is set, but the settings name no tenants: lending needs some")
    shares, weights = _pairs(given, "SHARES", names), _pairs(given, "WEIGHTS", names)
    by_quota = not any(t.share for t in settings.tenants)
    if by_quota and not shares and capacity > 0:
        shares = {t.name: t.quota_per_s / capacity for t in settings.tenants}
    elif not shares:
        shares = {t.name: t.share for t in settings.tenants}
    least = min((share for share in shares.values() if share > 0), default=1.0)
    return tuple(
        Share(t.name, shares.get(t.name, 0.0), weights.get(t.name, shares.get(t.name, 0.0) or least))
        for t in settings.tenants
    )
