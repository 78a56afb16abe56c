"""A sequential test whether a build fails more than its baseline; every tuned value comes in."""

from __future__ import annotations

import math
from collections import defaultdict
from itertools import product

ALL_SERVERS, PLATFORM = -2, -1  # in place of a server: all of them together, the platform's statistics
ALL_CLASSES = -1  # in place of a class


class SequentialFailureTest:
    """CUSUMs of log likelihood ratios, which never fall below 0: one for each class, increase and server.

    `increases`: by how much a bad build's failure rate is above the baseline's, at least; `relative_increase`
    is the same as a part of the baseline's rate, and counts where it is more. `min_rate` and `max_rate` bound
    the baseline's rate as the test assumes it.
    """

    def __init__(
        self, increases: tuple[float, ...], min_rate: float, max_rate: float, relative_increase: float
    ) -> None:
        self.increases, self.relative_increase = increases, relative_increase
        self.min_rate, self.max_rate = min_rate, max_rate
        self.log_odds: dict[tuple[int, float], dict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(
        self,
        class_index: int,
        server: int,
        failed: float,
        succeeded: float,
        baseline_rate: float,
        server_only: bool = False,
    ) -> None:
        """Add outcomes of a server; they count for all servers together too, unless `server_only`."""
        scopes = (server,) if server_only or server < 0 else (server, ALL_SERVERS)
        expected = min(max(baseline_rate, self.min_rate), self.max_rate)
        for increase in self.increases:
            worse = expected + max(increase, expected * self.relative_increase) * (1 - expected)
            failure_ratio = math.log(worse / expected)
            success_ratio = math.log((1 - worse) / (1 - expected))
            log_ratio = failed * failure_ratio + succeeded * success_ratio
            for test, scope in product(((class_index, increase), (ALL_CLASSES, increase)), scopes):
                self.log_odds[test][scope] = max(self.log_odds[test][scope] + log_ratio, 0.0)

    def strongest(self, server_limit: float, min_own: float) -> float:
        """Return the greatest log likelihood ratio: no server adds more than the limit, and the platform's
        statistics count only where the servers' own outcomes exceed `min_own`."""
        strongest = 0.0
        for sums in self.log_odds.values():
            own = sum([min(total, server_limit) for server, total in sums.items() if server >= 0], 0.0)
            platform = sums.get(PLATFORM, 0.0) if own > min_own else 0.0
            strongest = max(strongest, min(own, sums.get(ALL_SERVERS, 0.0)), platform)
        return strongest
