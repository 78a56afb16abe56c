"""Size, mean and standard deviation of a sample."""

from __future__ import annotations

import math
from statistics import fmean, pstdev
from typing import NamedTuple


class SampleSummary(NamedTuple):
    """Size, mean and population standard deviation of a sample; all three are 0 for an empty sample."""

    size: int
    mean: float
    deviation: float

    def lower_bound(self, confidence_z: float) -> float:
        """Return the mean minus `confidence_z` standard errors of the mean."""
        return self.mean - confidence_z * self.deviation * math.sqrt(self.size) / max(self.size - 1, 1)


def summarize(values: list[float]) -> SampleSummary:
    """Return the size, mean and population standard deviation of a list of values."""
    if not values:
        return SampleSummary(0, 0.0, 0.0)
    return SampleSummary(len(values), fmean(values), pstdev(values))
