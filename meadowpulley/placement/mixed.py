"""The mixed Differences-in-Q estimate (the paper's (12) to (21), C.3) from bins of the whole fleet. Pure.

An arm's mean Q is compared with the baseline's by the probabilities of the assignment, which are known
(Horvitz and Thompson 1952), about an expectation: a plane in the requests open at the bin's start and the
requests that come in its reach, fitted to earlier bins only. Neither depends on arms drawn in the bin or
later, so the comparison stays unbiased whatever the plane is. Means of short blocks in place of the
probabilities would be wrong: requests near one of an arm are then a little less often of that arm, and their
burdens take away a good part of the effect that is looked for (docs/design/placement.md).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from meadowpulley.placement.contrast import AHEAD, Bin

LEARN = 20  # bins, before which nothing is expected of Q

Floats = npt.NDArray[np.float64]


@dataclass(frozen=True, slots=True)
class Sums:
    """Of one group of units: sums of Q less what was expected, by completion times (`w`) and by requests held
    open (`q`), each over the probability of its arm, the baseline's with a minus; squares and products of the
    same; requests of both arms."""

    w: float
    q: float
    ww: float
    qq: float
    wq: float
    new: int
    old: int


@dataclass(frozen=True, slots=True)
class Reach:
    """By bin: Q by completion times and by requests held, less what was expected. Not known at both ends."""

    w: Floats
    q: Floats


def dense(bins: Sequence[Bin]) -> list[Bin | None]:
    """A place for each number from the first to the last."""
    by = {b.number: b for b in bins}
    return [by.get(n) for n in range(bins[0].number, bins[-1].number + 1)] if bins else []


def reach(taken: Floats, cost: Floats, held: Floats, still: Floats) -> Reach:
    """Q of each bin from the fleet's sums by bin (`still`: open at its start); nan where it is not known."""

    def ahead(x: Floats) -> Floats:
        total = np.concatenate(([0.0], np.cumsum(x)))
        found = np.full(len(x), np.nan)
        if len(x) > AHEAD:
            found[: len(x) - AHEAD] = total[AHEAD + 1 :] - total[: len(x) - AHEAD]
        return found

    q = np.stack((ahead(cost), ahead(held)), axis=1)
    x = np.stack((np.ones(len(taken)), still, ahead(taken)), axis=1)
    known = ~np.isnan(x[:, 2])
    mine, target = np.where(known[:, None], x, 0.0), np.where(known[:, None], q, 0.0)
    moments = np.cumsum(mine[:, :, None] * mine[:, None, :], axis=0)
    sums = np.cumsum(mine[:, :, None] * target[:, None, :], axis=0)
    found = np.full_like(q, np.nan)
    first = LEARN + AHEAD + 1
    if len(x) > first + AHEAD:
        # What was known before bin b: of bins whose reach ended before it began.
        past = slice(first - AHEAD - 1, len(x) - AHEAD - 1)
        scale = np.sqrt(np.einsum("bii->bi", moments[past])) + 1e-9
        ridge = moments[past] / (scale[:, :, None] * scale[:, None, :]) + 1e-6 * np.eye(3)
        plane = np.linalg.solve(ridge, sums[past] / scale[:, :, None]) / scale[:, :, None]
        found[first:] = q[first:] - np.einsum("bi,bik->bk", x[first:], plane)
    return Reach(found[:, 0], found[:, 1])


def sums_of(r: Reach, new: Floats, old: Floats, odds: float) -> Sums:
    """`new`, `old`: requests of both arms by bin; `odds`: probability of the arm among both."""
    some = ~np.isnan(r.w)
    n, m, w, q = new[some], old[some], r.w[some], r.q[some]
    signed = n / odds - m / (1 - odds)
    squared = n / odds**2 + m / (1 - odds) ** 2
    found = (signed @ w, signed @ q, squared @ (w * w), squared @ (q * q), squared @ (w * q))
    w1, q1, ww, qq, wq = (float(x) for x in found)
    return Sums(w1, q1, ww, qq, wq, int(n.sum()), int(m.sum()))


def groups_of(bins: Sequence[Bin], metric: int, arm: int, odds: float) -> dict[int, Sums]:
    """The sums of an arm against the baseline, by group of units."""
    places = dense(bins)

    def column(name: str) -> Floats:
        return np.array([0.0 if b is None else float(getattr(b, name)[metric]) for b in places])

    r = reach(column("taken"), column("cost"), column("held"), column("open"))
    groups = sorted({g for b in bins for g, a in b.arms if a in (0, arm)})

    def of(group: int, a: int) -> Floats:
        return np.array(
            [float(b.arms.get((group, a), 0)) if b and arm not in b.ended else 0.0 for b in places]
        )

    return {g: sums_of(r, of(g, arm), of(g, 0), odds) for g in groups}
