"""Demand of a load: rates, work, savings by remembered keys, and utilisation."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

import numpy as np
from msgspec import Struct, field

from meadowpulley.fleet import Fleet
from meadowpulley.load import Arrival

WINDOWS = 60  # number of windows by which busy times are found
MIN_WINDOW_MS = 1000.0
MAX_KEYS = 200_000


@dataclass(frozen=True, slots=True)
class ClassDemand:
    """Demand of one class. `core_share` is its share of all cores."""

    name: str
    per_s: float
    work_ms: float
    spread: float
    core_share: float


class Demand(Struct, frozen=True):
    """Demand of a load. `busy_per_s` is the rate that only the busiest windows exceed, by `percentile`.

    `work_saved_share` is the share of work that servers are expected to save by remembering keys.
    `utilisation` is of all cores at the mean rate, `busy_utilisation` at the busy rate.
    """

    count: int
    seconds: float
    per_s: float
    percentile: float
    busy_per_s: float
    busiest_ms: float  # start of the busiest window
    window_s: float
    classes: tuple[ClassDemand, ...]
    sites: dict[str, float]
    work_saved_share: float = field(name="saved")
    work_ms: float  # mean, after savings by keys
    utilisation: float
    busy_utilisation: float


def saved_by_keys(counts: Counter[int], keyed: int, total: int, seconds: float, fleet: Fleet) -> float:
    """Return the share of work that remembered keys save.

    One of n servers meets a key of rate r again within its memory m with probability 1 - exp(-r m / n),
    where arrivals are Poisson and spread evenly over the servers.
    """
    if not fleet.keys.memory_ms or not fleet.keys.work_saved or not keyed or not seconds:
        return 0.0
    memory = fleet.keys.memory_ms / 1000
    servers = len(fleet.machines())
    repeats = sum(n * -math.expm1(-n / seconds * memory / servers) for n in counts.values())
    return fleet.keys.work_saved * repeats / total


def measure_demand(fleet: Fleet, arrivals: Iterable[Arrival], percentile: float = 95.0) -> Demand:
    """Measure a load in one pass. Raises ValueError for a class that the fleet does not describe."""
    known = {c.name: c for c in fleet.classes}
    counts: Counter[str] = Counter()
    works: Counter[str] = Counter()
    squares: Counter[str] = Counter()
    sites: Counter[str] = Counter()
    keys: Counter[int] = Counter()
    seconds_of: Counter[int] = Counter()
    last = 0.0
    keyed = 0
    for arrival in arrivals:
        if arrival.class_name not in known:
            raise ValueError(
                f"class '{arrival.class_name}' of the load is not of fleet {fleet.name}; describe it there"
            )
        counts[arrival.class_name] += 1
        works[arrival.class_name] += arrival.work_ms  # type: ignore[assignment]
        squares[arrival.class_name] += arrival.work_ms**2  # type: ignore[assignment]
        sites[arrival.site or fleet.sites[0].name] += 1
        if arrival.key and (len(keys) < MAX_KEYS or arrival.key in keys):
            keys[arrival.key] += 1
            keyed += 1
        last = arrival.at_ms
        seconds_of[int(arrival.at_ms // MIN_WINDOW_MS)] += 1
    total = sum(counts.values())
    seconds = math.ceil(last / 1000) if counts else 0.0
    per_s = total / seconds if seconds else 0.0
    step = max(int(seconds // WINDOWS), 1)
    windows = [sum(seconds_of[n + k] for k in range(step)) / step for n in range(0, int(seconds), step)]
    busy = float(np.percentile(windows, percentile)) if windows else 0.0
    busiest_window = windows.index(max(windows)) if windows else 0
    work_saved_share = saved_by_keys(keys, keyed, total, float(seconds), fleet)
    capacity = fleet.capacity()
    classes = []
    for request_class in fleet.classes:
        count = counts[request_class.name]
        hinted = works[request_class.name] > 0
        mean = works[request_class.name] / count if count and hinted else request_class.work_ms
        variance = (
            squares[request_class.name] / count - mean**2
            if count and hinted
            else (request_class.spread * request_class.work_ms) ** 2
        )
        rate = count / seconds if seconds else 0.0
        share = rate / 1000 * mean * (1 - work_saved_share) / capacity
        classes.append(
            ClassDemand(request_class.name, rate, mean, math.sqrt(max(variance, 0.0)) / mean, share)
        )
    work = sum(c.per_s * c.work_ms for c in classes) / per_s * (1 - work_saved_share) if per_s else 0.0
    utilisation = sum(c.core_share for c in classes)
    return Demand(
        count=total,
        seconds=float(seconds),
        per_s=per_s,
        percentile=percentile,
        busy_per_s=max(busy, per_s),
        busiest_ms=1000.0 * busiest_window * step,
        window_s=float(step),
        classes=tuple(classes),
        sites={name: n / total for name, n in sorted(sites.items())} if total else {},
        work_saved_share=work_saved_share,
        work_ms=work,
        utilisation=utilisation,
        busy_utilisation=utilisation * max(busy, per_s) / per_s if per_s else 0.0,
    )
