"""How capacity is divided: each tenant its own share first, the rest max-min by weight.

Pure arithmetic on rates. An allocation is max-min fair by weight if no tenant can get more without one that
has as much or less, by its weight, getting less; progressive ("water") filling finds it. Sources: Bertsekas
and Gallager, Data Networks, 2nd ed. (1992), section 6.5.2; weights as in Demers, Keshav and Shenker, Analysis
and Simulation of a Fair Queueing Algorithm (SIGCOMM 1989).
"""

from __future__ import annotations

from collections.abc import Sequence


def water_fill(capacity: float, asks: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Divides `capacity` max-min by weight: min(ask, weight x level), one level for all, their sum at most
    `capacity`. A tenant of weight 0 gets what the others leave, evenly."""
    given = [0.0] * len(asks)
    for zero in (False, True):
        order = [n for n, ask in enumerate(asks) if ask > 0 and (weights[n] <= 0) == zero]
        weight = {n: 1.0 if zero else weights[n] for n in order}
        order.sort(key=lambda n: asks[n] / weight[n])
        left_weight = sum(weight.values())
        for n in order:
            if capacity <= 0:
                break
            given[n] = min(asks[n], capacity * weight[n] / left_weight)
            capacity -= given[n]
            left_weight -= weight[n]
    return given


def split(
    capacity: float, asks: Sequence[float], shares: Sequence[float], weights: Sequence[float]
) -> tuple[list[float], list[float]]:
    """What each tenant gets of its own share, and what it borrows, in the units of `capacity`.

    What owners do not ask for of their shares is lent. Shares that add up to more than there is (a part of
    the capacity is bound elsewhere) are cut alike.
    """
    capacity = max(capacity, 0.0)
    own = [min(ask, share) for ask, share in zip(asks, shares, strict=True)]
    wanted = sum(own)
    if wanted > capacity:
        own = [mine * capacity / wanted for mine in own]
    unmet = [ask - mine for ask, mine in zip(asks, own, strict=True)]
    return own, water_fill(max(capacity - sum(own), 0.0), unmet, weights)
