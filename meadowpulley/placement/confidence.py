"""Estimates with a confidence interval for one analysis, and one valid at any number of analyses.

Sources. Confidence sequences: the asymptotic ones of Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas,
"Time-uniform central limit theory and asymptotic confidence sequences" (Annals of Statistics 2024), Theorem
2.2: Robbins' normal mixture with the variance estimated; they cover at all sample sizes at once with a
probability that tends to the stated one as the first analysis is later. Units that share an arm over several
requests: delete-a-group jackknife over random groups (Wolter, Introduction to Variance Estimation, 2007,
chapter 4).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

NARROWEST_AT_REQUESTS = 20_000.0  # sample size at which the confidence sequence is narrowest


@dataclass(frozen=True, slots=True)
class Estimate:
    """A difference with its standard error.

    `sample_size` is the number of requests or time blocks that it is based on. `low` and `high` are the
    interval for one analysis planned beforehand, `sequence_low` and `sequence_high` the one that holds at
    every analysis.
    """

    value: float
    standard_error: float
    sample_size: int
    low: float
    high: float
    sequence_low: float
    sequence_high: float


NO_ESTIMATE = Estimate(math.nan, math.inf, 0, -math.inf, math.inf, -math.inf, math.inf)


@dataclass(frozen=True, slots=True)
class PointEstimate:
    """A difference without intervals; `degrees_of_freedom` of its standard error, infinite if many."""

    value: float
    standard_error: float
    sample_size: int
    degrees_of_freedom: float = math.inf

    def with_intervals(self, alpha: float, narrowest_at: float = NARROWEST_AT_REQUESTS) -> Estimate:
        """Return the estimate with intervals of level 1 - alpha.

        `narrowest_at` is the sample size for which the confidence sequence is tuned.
        """
        if not (math.isfinite(self.value) and math.isfinite(self.standard_error)):
            return NO_ESTIMATE
        normal_quantile = float(stats.norm.ppf(1 - alpha / 2))
        quantile = normal_quantile
        if math.isfinite(self.degrees_of_freedom):
            quantile = float(stats.t.ppf(1 - alpha / 2, self.degrees_of_freedom))
        widening = (
            quantile / normal_quantile
        )  # few degrees of freedom widen the confidence sequence as much as the interval
        sequence = widening * sequence_half_width(self.standard_error, self.sample_size, alpha, narrowest_at)
        half_width = quantile * self.standard_error
        return Estimate(
            value=self.value,
            standard_error=self.standard_error,
            sample_size=self.sample_size,
            low=self.value - half_width,
            high=self.value + half_width,
            sequence_low=self.value - sequence,
            sequence_high=self.value + sequence,
        )


def sequence_half_width(
    standard_error: float, sample_size: float, alpha: float, narrowest_at: float
) -> float:
    """Return half the width of a two-sided confidence sequence of level 1 - alpha.

    It is tuned to be narrowest at the sample size `narrowest_at` (Theorem 2.2, with rho as in its (12)).
    """
    rho_squared = (-2 * math.log(alpha) + math.log(-2 * math.log(alpha) + 1)) / narrowest_at
    scaled = sample_size * rho_squared + 1
    return standard_error * math.sqrt(
        2 * scaled / (sample_size * rho_squared) * math.log(math.sqrt(scaled) / alpha)
    )


def jackknife_error(value_without: Callable[[int | None], float], groups: Sequence[int]) -> float:
    """Return the delete-a-group jackknife error; `value_without(k)` is the estimate without group k."""
    without = np.array([value_without(group) for group in groups])
    return float(np.sqrt((len(groups) - 1) / len(groups) * np.sum((without - without.mean()) ** 2)))
