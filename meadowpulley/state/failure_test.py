"""A sequential test of whether a build fails more often than its baseline.

The test is Page's CUSUM (E. S. Page, Continuous inspection schemes, Biometrika 41, 1954) over the log
likelihood ratios of Bernoulli trials. Callers pass all tuned values.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

ALL_SERVERS = -2  # server number that stands for all servers together
PLATFORM = -1  # server number that stands for the platform's statistics
ALL_CLASSES = -1  # class index that stands for all request classes together


@dataclass(frozen=True, slots=True)
class FailureTestBounds:
    """The failure rates that the sequential test distinguishes, each from 0 to 1.

    Each entry of `increases` is the minimum share of the baseline's successful requests that would fail with
    a bad build; the test is done separately for each share. A share smaller than `relative_increase` times
    the baseline's failure rate is raised to that product. The baseline's rate is limited to the range
    from `min_rate` to `max_rate`.
    """

    increases: tuple[float, ...]
    min_rate: float
    max_rate: float
    relative_increase: float


@dataclass(frozen=True, slots=True)
class ServerOutcomes:
    """Counts of responses of one class from one server, `ALL_SERVERS` or the `PLATFORM` statistics."""

    class_index: int
    server: int
    failed: float
    succeeded: float


class SequentialFailureTest:
    """Keeps a CUSUM of log likelihood ratios, at least 0, by class, failure rate increase and server."""

    def __init__(self, bounds: FailureTestBounds) -> None:
        """Start without any outcomes."""
        self.bounds = bounds
        # CUSUM of log likelihood ratios by request class and failure rate increase, then by server number.
        self.log_odds: dict[tuple[int, float], dict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, outcomes: ServerOutcomes, baseline_rate: float, server_only: bool = False) -> None:
        """Add outcomes to the sums of their server and, unless `server_only`, to the sums of all servers."""
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
        """Return the outcomes' log likelihood at an increased failure rate minus that at rate `expected`."""
        increased = expected + max(increase, expected * self.bounds.relative_increase) * (1 - expected)
        failure_ratio = math.log(increased / expected)
        success_ratio = math.log((1 - increased) / (1 - expected))
        return outcomes.failed * failure_ratio + outcomes.succeeded * success_ratio

    def strongest(self, server_limit: float, min_own: float) -> float:
        """Return the strongest evidence that the build fails too often, as a log likelihood ratio.

        The maximum is taken over all request classes and all tested increases of the failure rate. Each
        server contributes at most `server_limit`, and the sum of these contributions counts up to the ratio
        of all servers together. The platform's statistics count only if the contributions add up to more
        than `min_own`.
        """
        strongest = 0.0
        for sums in self.log_odds.values():
            own = sum([min(total, server_limit) for server, total in sums.items() if server >= 0], 0.0)
            platform = sums.get(PLATFORM, 0.0) if own > min_own else 0.0
            strongest = max(strongest, min(own, sums.get(ALL_SERVERS, 0.0)), platform)
        return strongest
