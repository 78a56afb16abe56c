"""Sum the fleet's bins for the mixed Differences-in-Q estimate (the paper's (12) to (21), C.3).

Q of a bin is the sum of the costs of that bin and the next `LOOKAHEAD_BINS`, its reach. An arm's mean Q is
compared with the baseline's by weighting with the known probabilities of assignment (Horvitz and Thompson
1952), after subtracting an expectation of Q: a plane in the requests outstanding at the bin's start and the
requests that arrive in its reach, fitted to earlier bins only. Neither depends on arms drawn in the bin or
later, so that the comparison is unbiased whatever the plane is. Using the arms' fractions in short blocks
instead of the probabilities would be wrong: within a block, the requests near one of an arm are slightly less
often of that arm, and the costs that they add hide a good part of the effect (docs/design/placement.md).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from meadowpulley.placement.metrics import BASELINE_ARM
from meadowpulley.placement.time_bins import LOOKAHEAD_BINS, TimeBin

WARMUP_BINS = 20  # the expectation of Q (a plane) is fitted only to more than this many bins
# Ridge penalty, added to the diagonal of the normalized moments so that the least-squares fit of the
# expectation of Q (a plane) always has a solution.
RIDGE = 1e-6
MIN_SCALE = 1e-9  # added to a regressor's scale, to avoid a division by 0
# The expectation of Q has three coefficients: a constant, and those of the requests outstanding at the bin's
# start and of the arrivals in the bin and the next `LOOKAHEAD_BINS`.
PLANE_COEFFICIENTS = 3
ARRIVALS = 2  # index of the regressors' column with the arrivals in a bin and the next `LOOKAHEAD_BINS`

Floats = npt.NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class GroupSums:
    """Sums over one group's requests of Q less its expectation, divided by the arm's probability.

    The baseline's terms are negative. Q is measured by completion times (`cost`) and by outstanding
    requests (`outstanding`); squares and products are of the same terms; the counts are the arm's and the
    baseline's requests.
    """

    cost: float
    outstanding: float
    cost_squares: float
    outstanding_squares: float
    products: float
    arm_requests: int
    baseline_requests: int


@dataclass(frozen=True, slots=True)
class QResiduals:
    """Q less its expectation, by bin; nan in the first and last bins, where one of the two is unknown."""

    by_cost: Floats
    by_outstanding: Floats


def fill_gaps(bins: Sequence[TimeBin]) -> list[TimeBin | None]:
    """Return the bins from the first number to the last, with None for each that is missing."""
    if not bins:
        return []
    by_number = {time_bin.number: time_bin for time_bin in bins}
    return [by_number.get(number) for number in range(bins[0].number, bins[-1].number + 1)]


def _sum_ahead(values: Floats) -> Floats:
    """Return the sum over each bin and the next `LOOKAHEAD_BINS`; nan where some of these are missing."""
    total = np.concatenate(([0.0], np.cumsum(values)))
    sums = np.full(len(values), np.nan)
    complete = len(values) - LOOKAHEAD_BINS
    if complete > 0:
        sums[:complete] = total[LOOKAHEAD_BINS + 1 :] - total[:complete]
    return sums


def q_residuals(
    accepted: Floats, cost_ms: Floats, outstanding_ms: Floats, outstanding_at_start: Floats
) -> QResiduals:
    """Return each bin's Q less its expectation, from the fleet's sums by bin; nan if unknown."""
    q_values = np.stack((_sum_ahead(cost_ms), _sum_ahead(outstanding_ms)), axis=1)
    regressors = np.stack((np.ones(len(accepted)), outstanding_at_start, _sum_ahead(accepted)), axis=1)
    residuals = np.full_like(q_values, np.nan)
    first = WARMUP_BINS + LOOKAHEAD_BINS + 1
    if len(regressors) > first + LOOKAHEAD_BINS:
        planes = _planes_from_past(regressors, q_values, first)
        residuals[first:] = q_values[first:] - np.einsum("bi,bik->bk", regressors[first:], planes)
    return QResiduals(by_cost=residuals[:, 0], by_outstanding=residuals[:, 1])


def _planes_from_past(regressors: Floats, q_values: Floats, first: int) -> Floats:
    """Return a plane for each bin from `first` on, fitted to bins whose reach ended before it."""
    known = ~np.isnan(regressors[:, ARRIVALS])
    known_regressors = np.where(known[:, None], regressors, 0.0)
    known_q = np.where(known[:, None], q_values, 0.0)
    moments = np.cumsum(known_regressors[:, :, None] * known_regressors[:, None, :], axis=0)
    products = np.cumsum(known_regressors[:, :, None] * known_q[:, None, :], axis=0)
    past = slice(first - LOOKAHEAD_BINS - 1, len(regressors) - LOOKAHEAD_BINS - 1)
    return _fit_planes(moments[past], products[past])


def _fit_planes(moments: Floats, products: Floats) -> Floats:
    """Return the coefficients of a least-squares plane for each bin, with a slight ridge penalty."""
    scale = np.sqrt(np.einsum("bii->bi", moments)) + MIN_SCALE
    penalty = RIDGE * np.eye(PLANE_COEFFICIENTS)
    normalized = moments / (scale[:, :, None] * scale[:, None, :]) + penalty
    coefficients = np.linalg.solve(normalized, products / scale[:, :, None]) / scale[:, :, None]
    return np.asarray(coefficients)


def group_sums(
    residuals: QResiduals, arm_counts: Floats, baseline_counts: Floats, arm_probability: float
) -> GroupSums:
    """Return one group's weighted sums of Q less its expectation, for an arm and the baseline.

    `arm_counts` and `baseline_counts` are the numbers of the group's requests of both arms in each bin.
    `arm_probability` is the probability of the arm for a request that is in it or the baseline.
    """
    known = ~np.isnan(residuals.by_cost)
    in_arm = arm_counts[known]
    in_baseline = baseline_counts[known]
    by_cost = residuals.by_cost[known]
    by_outstanding = residuals.by_outstanding[known]
    signed = in_arm / arm_probability - in_baseline / (1 - arm_probability)
    squared = in_arm / arm_probability**2 + in_baseline / (1 - arm_probability) ** 2
    return GroupSums(
        cost=float(signed @ by_cost),
        outstanding=float(signed @ by_outstanding),
        cost_squares=float(squared @ (by_cost * by_cost)),
        outstanding_squares=float(squared @ (by_outstanding * by_outstanding)),
        products=float(squared @ (by_cost * by_outstanding)),
        arm_requests=int(in_arm.sum()),
        baseline_requests=int(in_baseline.sum()),
    )


def sums_by_group(
    bins: Sequence[TimeBin], metric: int, arm: int, arm_probability: float
) -> dict[int, GroupSums]:
    """Return the sums of an arm against the baseline, by group of units."""
    time_bins = fill_gaps(bins)
    residuals = q_residuals(
        _column(time_bins, lambda time_bin: time_bin.accepted[metric]),
        _column(time_bins, lambda time_bin: time_bin.cost_ms[metric]),
        _column(time_bins, lambda time_bin: time_bin.outstanding_ms[metric]),
        _column(time_bins, lambda time_bin: time_bin.outstanding_at_start[metric]),
    )
    sums = {}
    for group in _groups_of(bins, arm):
        arm_counts = _compared_counts(time_bins, group, arm, arm)
        baseline_counts = _compared_counts(time_bins, group, BASELINE_ARM, arm)
        sums[group] = group_sums(residuals, arm_counts, baseline_counts, arm_probability)
    return sums


def _groups_of(bins: Sequence[TimeBin], arm: int) -> list[int]:
    """Return the groups that have requests of an arm or of the baseline."""
    groups: set[int] = set()
    for time_bin in bins:
        groups.update(group for group, of_arm in time_bin.arm_counts if of_arm in (BASELINE_ARM, arm))
    return sorted(groups)


def _column(time_bins: Sequence[TimeBin | None], read: Callable[[TimeBin], float]) -> Floats:
    return np.array([0.0 if time_bin is None else float(read(time_bin)) for time_bin in time_bins])


def _compared_counts(
    time_bins: Sequence[TimeBin | None], group: int, counted_arm: int, compared_arm: int
) -> Floats:
    """Return the number of an arm's requests by bin; 0 in bins in which the compared arm has ended."""

    def count(time_bin: TimeBin) -> int:
        """Return the arm's requests in a bin; 0 once the compared arm has ended."""
        if compared_arm in time_bin.ended_arms:
            return 0
        return time_bin.arm_counts.get((group, counted_arm), 0)

    return _column(time_bins, count)
