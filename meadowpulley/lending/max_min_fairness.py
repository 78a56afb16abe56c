"""Divide capacity by weighted max-min fairness: each tenant's own quota first, the rest by weight.

This module is pure arithmetic on rates. An allocation is max-min fair by weight if no tenant can get more
without taking from a tenant that has as much or less already, relative to its weight. Progressive filling
("water filling") finds this allocation. Sources: Bertsekas and Gallager, Data Networks, 2nd ed. (1992),
section 6.5.2; weights as in Demers, Keshav and Shenker, Analysis and Simulation of a Fair Queueing Algorithm
(SIGCOMM 1989).
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple


class Division(NamedTuple):
    """Hold what each tenant gets from its own quota and what it borrows, in the units of the capacity."""

    own: list[float]
    borrowed: list[float]


def water_fill(capacity: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Divide `capacity` max-min fairly by weight.

    Each tenant gets min(demand, weight x level). The level is the same for all tenants, and the sum is at
    most `capacity`. Tenants of weight 0 divide evenly what the others leave.
    """
    allocated = [0.0] * len(demands)
    demanding = [index for index, demand in enumerate(demands) if demand > 0]
    weighted = {index: weights[index] for index in demanding if weights[index] > 0}
    unweighted = {index: 1.0 for index in demanding if weights[index] <= 0}
    remaining = _fill(capacity, demands, weighted, allocated)
    _fill(remaining, demands, unweighted, allocated)
    return allocated


def _fill(
    capacity: float, demands: Sequence[float], weights: Mapping[int, float], allocated: list[float]
) -> float:
    """Write into `allocated` what the tenants with these weights get; return what is left of `capacity`.

    Tenants are served in the order of their demand relative to weight, lowest first: what one leaves unused
    is divided among the rest.
    """
    remaining = capacity
    remaining_weight = sum(weights.values())
    for index in sorted(weights, key=lambda index: demands[index] / weights[index]):
        if remaining <= 0:
            break
        allocated[index] = min(demands[index], remaining * weights[index] / remaining_weight)
        remaining -= allocated[index]
        remaining_weight -= weights[index]
    return remaining


def divide_capacity(
    capacity: float, demands: Sequence[float], quotas: Sequence[float], weights: Sequence[float]
) -> Division:
    """Return what each tenant gets from its own quota and what it borrows, in the units of `capacity`.

    The parts of quotas that their owners do not demand are lent. If the demand within quotas exceeds
    `capacity` (because a part of the total is reserved elsewhere), it is scaled down by one common factor.
    """
    capacity = max(capacity, 0.0)
    own = [min(demand, quota) for demand, quota in zip(demands, quotas, strict=True)]
    owned = sum(own)
    if owned > capacity:
        own = [amount * capacity / owned for amount in own]
    unmet_demands = [demand - amount for demand, amount in zip(demands, own, strict=True)]
    lendable = max(capacity - sum(own), 0.0)
    return Division(own, water_fill(lendable, unmet_demands, weights))
