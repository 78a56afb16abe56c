"""A sequential test of whether a build fails more often than its baseline.

The test is Page's CUSUM (E. S. Page, Continuous inspection schemes, Biometrika 41, 1954) over the log
likelihood ratios of Bernoulli trials. Callers pass all tuned values.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

ALL_SERVERS = -2  # used as a server number: all servers together
PLATFORM = -1  # used as a server number: the platform's statistics
ALL_CLASSES = -1  # used as a class index: all classes together


@dataclass(frozen=True, slots=True)
class FailureTestBounds:
    """The failure rates that the test tells apart, each from 0 to 1.

    `increases` lists by how much a bad build's failure rate exceeds the baseline's, at least; each is tested
    separately. `relative_increase` is such an increase as a fraction of the baseline's rate; the larger of
    the two is used. The test limits the baseline's rate to the range from `min_rate` to `max_rate`.
    """

    increases: tuple[float, ...]
    min_rate: float
    max_rate: float
    relative_increase: float


@dataclass(frozen=True, slots=True)
class ServerOutcomes:
    """Counts of responses of one class from one server, from `ALL_SERVERS` or from the `PLATFORM`."""

    class_index: int
    server: int
    failed: float
    succeeded: float


class SequentialFailureTest:
    """One CUSUM of log likelihood ratios per class, increase and server, which never falls below 0."""

    def __init__(self, bounds: FailureTestBounds) -> None:
        """Start without evidence."""
        self.bounds = bounds
        # Log likelihood ratios by class and increase, then by server.
        self.log_odds: dict[tuple[int, float], dict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, outcomes: ServerOutcomes, baseline_rate: float, server_only: bool = False) -> None:
        """Add outcomes of a server, and also to the sum over all servers unless `server_only` is set."""
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
        """Return the outcomes' log likelihood at the increased failure rate minus that at `expected`."""
        increased = expected + max(increase, expected * self.bounds.relative_increase) * (1 - expected)
        failure_ratio = math.log(increased / expected)
        success_ratio = math.log((1 - increased) / (1 - expected))
        return outcomes.failed * failure_ratio + outcomes.succeeded * success_ratio

    def strongest(self, server_limit: float, min_own: float) -> float:
        """Return the highest log likelihood ratio over all classes and increases.

        Each server contributes at most `server_limit`. The platform's statistics count only where the sum of
        the servers' contributions exceeds `min_own`.
        """
        strongest = 0.0
        for sums in self.log_odds.values():
            own = sum([min(total, server_limit) for server, total in sums.items() if server >= 0], 0.0)
            platform = sums.get(PLATFORM, 0.0) if own > min_own else 0.0
            strongest = max(strongest, min(own, sums.get(ALL_SERVERS, 0.0)), platform)
        return strongest
