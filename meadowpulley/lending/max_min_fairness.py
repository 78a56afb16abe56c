"""Weighted max-min fair division of capacity: each tenant's own quota first, the rest by weight.

Pure arithmetic on rates. An allocation is max-min fair by weight if no tenant can get more without another
getting less that has as much or less already, relative to its weight; progressive ("water") filling finds
it. Sources: Bertsekas and Gallager, Data Networks, 2nd ed. (1992), section 6.5.2; weights as in Demers,
Keshav and Shenker, Analysis and Simulation of a Fair Queueing Algorithm (SIGCOMM 1989).
"""

from __future__ import annotations

from collections.abc import Sequence


def water_fill(capacity: float, demands: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Divide `capacity` max-min fairly by weight.

    Each tenant gets min(demand, weight x level), with one level for all and a sum of at most `capacity`.
    Tenants of weight 0 get what the others leave, evenly.
    """
    allocated = [0.0] * len(demands)
    for without_weight in (False, True):
        order = [
            index
            for index, demand in enumerate(demands)
            if demand > 0 and (weights[index] <= 0) == without_weight
        ]
        weight = {index: 1.0 if without_weight else weights[index] for index in order}
        order.sort(key=lambda index: demands[index] / weight[index])
        remaining_weight = sum(weight.values())
        for index in order:
            if capacity <= 0:
                break
            allocated[index] = min(demands[index], capacity * weight[index] / remaining_weight)
            capacity -= allocated[index]
            remaining_weight -= weight[index]
    return allocated


def divide_capacity(
    capacity: float, demands: Sequence[float], quotas: Sequence[float], weights: Sequence[float]
) -> tuple[list[float], list[float]]:
    """Return what each tenant gets of its own quota, and what it borrows, in the units of `capacity`.

    What owners do not demand of their quotas is lent. Quotas that add up to more than `capacity` (a part of
    the whole is reserved elsewhere) are scaled down by one factor.
    """
    capacity = max(capacity, 0.0)
    own = [min(demand, quota) for demand, quota in zip(demands, quotas, strict=True)]
    owned = sum(own)
    if owned > capacity:
        own = [amount * capacity / owned for amount in own]
    unmet_demands = [demand - amount for demand, amount in zip(demands, own, strict=True)]
    return own, water_fill(max(capacity - sum(own), 0.0), unmet_demands, weights)
