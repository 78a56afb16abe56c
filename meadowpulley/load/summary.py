"""Figures of a load: rates, classes, sites, keys and work, in bounded memory."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from meadowpulley.load.arrivals import Arrival

MAX_KEYS = 200_000  # distinct keys counted exactly; more are only noted


@dataclass(frozen=True, slots=True)
class ClassSummary:
    """Figures of one class of a load."""

    name: str
    count: int
    share: float
    work_ms: float
    spread: float  # coefficient of variation of the work


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Figures of a load. Rates are per second; `peak_per_s` is the busiest whole second."""

    count: int
    seconds: float
    per_s: float
    peak_per_s: float
    work_per_s: float  # standard-core milliseconds per second
    classes: tuple[ClassSummary, ...]
    sites: dict[str, float]
    keys: int
    more_keys: bool
    bytes: int

    def table(self) -> dict[str, Any]:
        """Return the figures as plain values."""
        return asdict(self)


def summarize(arrivals: Iterable[Arrival]) -> LoadSummary:
    """Summarize a load in one pass, in order of time."""
    counts: Counter[str] = Counter()
    sums: dict[str, tuple[float, float]] = {}
    sites: Counter[str] = Counter()
    keys: set[int] = set()
    more_keys = False
    count = size = in_second = peak = 0
    second = -1
    last = 0.0
    for arrival in arrivals:
        count += 1
        last = arrival.at_ms
        counts[arrival.class_name] += 1
        sites[arrival.site] += 1
        total, squares = sums.get(arrival.class_name, (0.0, 0.0))
        sums[arrival.class_name] = total + arrival.work_ms, squares + arrival.work_ms**2
        size += arrival.bytes
        if arrival.key and len(keys) < MAX_KEYS:
            keys.add(arrival.key)
        elif arrival.key and arrival.key not in keys:
            more_keys = True
        if int(arrival.at_ms // 1000) != second:
            second = int(arrival.at_ms // 1000)
            in_second = 0
        in_second += 1
        peak = max(peak, in_second)
    seconds = max(math.ceil(last / 1000), 1)
    classes = tuple(_class_summary(name, counts[name], count, *sums[name]) for name in sorted(counts))
    work = sum(total for total, _ in sums.values())
    return LoadSummary(
        count,
        float(seconds),
        count / seconds,
        float(peak),
        work / seconds,
        classes,
        {name: n / count for name, n in sorted(sites.items())},
        len(keys),
        more_keys,
        size,
    )


def _class_summary(name: str, count: int, total: int, work: float, work_squared: float) -> ClassSummary:
    """Summarize a class from its count, the load's count, and the sums of its work and of the squares."""
    mean = work / count
    variance = max(work_squared / count - mean * mean, 0.0)
    spread = math.sqrt(variance) / mean if mean else 0.0
    return ClassSummary(name, count, count / total, mean, spread)
