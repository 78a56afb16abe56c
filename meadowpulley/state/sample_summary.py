"""Number, mean and spread of a sample."""

from __future__ import annotations

import math
from statistics import fmean, pstdev
from typing import NamedTuple


class SampleSummary(NamedTuple):
    """Number, mean and population standard deviation of some values; zeros where there are none."""

    size: int
    mean: float
    deviation: float

    def lower_bound(self, confidence_z: float) -> float:
        """Return the mean less so many of its standard errors."""
        return self.mean - confidence_z * self.deviation * math.sqrt(self.size) / max(self.size - 1, 1)


def summarize(values: list[float]) -> SampleSummary:
    """Return number, mean and population standard deviation of the values."""
    if not values:
        return SampleSummary(0, 0.0, 0.0)
    return SampleSummary(len(values), fmean(values), pstdev(values))
