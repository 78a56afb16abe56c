"""A sequential test whether a build fails more than its baseline; every tuned value comes in.

The test is Page's CUSUM (E. S. Page, Continuous inspection schemes, Biometrika 41, 1954) of Bernoulli log
likelihood ratios.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

ALL_SERVERS = -2  # in place of a server: all of them together
PLATFORM = -1  # in place of a server: the platform's statistics
ALL_CLASSES = -1  # in place of a class


@dataclass(frozen=True, slots=True)
class FailureTestBounds:
    """The alternatives of the test, as failure rates from 0 to 1.

    `increases`: by how much a bad build's rate is above the baseline's, at least. `relative_increase` is the
    same as a part of the baseline's rate, and counts where it is more. `min_rate` and `max_rate` bound the
    baseline's rate as the test assumes it.
    """

    increases: tuple[float, ...]
    min_rate: float
    max_rate: float
    relative_increase: float


@dataclass(frozen=True, slots=True)
class ServerOutcomes:
    """Counts of responses of one class from one server, `ALL_SERVERS` or the `PLATFORM`."""

    class_index: int
    server: int
    failed: float
    succeeded: float


class SequentialFailureTest:
    """CUSUMs of log likelihood ratios, which never fall below 0: one for each class, increase and server."""

    def __init__(self, bounds: FailureTestBounds) -> None:
        """Begin without evidence."""
        self.bounds = bounds
        # By class and increase, then by server.
        self.log_odds: dict[tuple[int, float], dict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, outcomes: ServerOutcomes, baseline_rate: float, server_only: bool = False) -> None:
        """Add outcomes of a server; they count for all servers together too, unless `server_only`."""
        counts_alone = server_only or outcomes.server < 0
        scopes = (outcomes.server,) if counts_alone else (outcomes.server, ALL_SERVERS)
        expected = min(max(baseline_rate, self.bounds.min_rate), self.bounds.max_rate)
        for increase in self.bounds.increases:
            log_ratio = self._log_likelihood_ratio(outcomes, expected, increase)
            for class_index in (outcomes.class_index, ALL_CLASSES):
                sums = self.log_odds[class_index, increase]
                for scope in scopes:
                    sums[scope] = max(sums[scope] + log_ratio, 0.0)

    def _log_likelihood_ratio(self, outcomes: ServerOutcomes, expected: float, increase: float) -> float:
        """Return the log likelihood of the outcomes at the increased rate less that at the expected one."""
        worse = expected + max(increase, expected * self.bounds.relative_increase) * (1 - expected)
        failure_ratio = math.log(worse / expected)
        success_ratio = math.log((1 - worse) / (1 - expected))
        return outcomes.failed * failure_ratio + outcomes.succeeded * success_ratio

    def strongest(self, server_limit: float, min_own: float) -> float:
        """Return the greatest log likelihood ratio of all classes and increases.

        No server adds more than `server_limit`, and the platform's statistics count only where the servers'
        own outcomes exceed `min_own`.
        """
        strongest = 0.0
        for sums in self.log_odds.values():
            own = sum([min(total, server_limit) for server, total in sums.items() if server >= 0], 0.0)
            platform = sums.get(PLATFORM, 0.0) if own > min_own else 0.0
            strongest = max(strongest, min(own, sums.get(ALL_SERVERS, 0.0)), platform)
        return strongest
