"""State of gossip: outcomes for the next digest, and the digests of other gateways."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from dataclasses import dataclass
from typing import NamedTuple

from meadowpulley.gossip.outcome_digest import (
    SERVER_MODULUS,
    TIMEOUT_CLASS,
    ClassCounts,
    Digest,
    FailedResponse,
)
from meadowpulley.state.failure_test import ALL_SERVERS, SequentialFailureTest, ServerOutcomes
from meadowpulley.state.servers import Server

MAX_UNPUBLISHED = 600  # maximum number of outcomes kept for the next digest; the oldest are dropped first


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """Counts of responses of one class from one server, or from the platform's statistics."""

    class_index: int
    build: int
    server: int
    failed: int
    succeeded: int


class ArmOutcomes(NamedTuple):
    """Counts of responses of the newest build and of its baseline."""

    succeeded: int
    failed: int
    baseline_succeeded: int
    baseline_failed: int

    @property
    def baseline_total(self) -> int:
        """The number of all responses of the baseline, successful and failed."""
        return self.baseline_succeeded + self.baseline_failed


class ArmTimeouts(NamedTuple):
    """Numbers of attempts that timed out at the newest build and at its baseline."""

    newest: int
    baseline: int


class PooledOutcomes:
    """Response counts of a build and of its baseline, added up over several gateways' digests."""

    def __init__(self, digests: list[Digest]) -> None:
        """Add up the response counts of `digests`, which must all be about the same build."""
        self._class_counts: list[ClassCounts] = []
        # Number of failed responses by class and by server number modulo SERVER_MODULUS, as in digests.
        self.failures_by_server: Counter[FailedResponse] = Counter()
        for digest in digests:
            self._class_counts += digest.classes
            self.failures_by_server.update(digest.failures)

    def of_class(self, class_index: int) -> ArmOutcomes:
        """Return the added-up response counts of one request class."""
        return _add_up([counts for counts in self._class_counts if counts.class_index == class_index])

    def add_to(
        self, test: SequentialFailureTest, class_index: int, servers: list[int], baseline_rate: float
    ) -> None:
        """Add a class's outcomes to a failure test, for all servers together and for each of `servers`."""
        outcomes = self.of_class(class_index)
        test.add(ServerOutcomes(class_index, ALL_SERVERS, outcomes.failed, outcomes.succeeded), baseline_rate)
        for server in servers:
            failed = self.failures_by_server[FailedResponse(server % SERVER_MODULUS, class_index)]
            # Digests count successes without naming servers, so successes are split evenly among servers.
            succeeded = outcomes.succeeded / len(servers)
            test.add(ServerOutcomes(class_index, server, failed, succeeded), baseline_rate, server_only=True)

    def timeouts(self) -> ArmTimeouts:
        """Return how many attempts timed out at warmed-up servers.

        Digests carry time-outs as successes of the separate class `TIMEOUT_CLASS`.
        """
        counts = self.of_class(TIMEOUT_CLASS)
        return ArmTimeouts(counts.succeeded, counts.baseline_succeeded)

    def responses(self) -> ArmOutcomes:
        """Return the response counts added up over all request classes, without time-outs."""
        return _add_up([counts for counts in self._class_counts if counts.class_index != TIMEOUT_CLASS])


class FailureReports(NamedTuple):
    """Counts of the failed responses that digests report; server numbers are modulo SERVER_MODULUS."""

    total: int
    failures: Counter[int]  # number of failed responses by server number
    senders: Counter[int]  # number of gateways that report failures, by server number


def _add_up(rows: list[ClassCounts]) -> ArmOutcomes:
    return ArmOutcomes(
        succeeded=sum([counts.succeeded for counts in rows]),
        failed=sum([counts.failed for counts in rows]),
        baseline_succeeded=sum([counts.baseline_succeeded for counts in rows]),
        baseline_failed=sum([counts.baseline_failed for counts in rows]),
    )


class GossipState:
    """The outcomes and digests that the gateways of a fleet exchange.

    `incarnation` is a random number drawn when this gateway starts. In a large fleet, a gateway does not send
    a digest every second, so the digests received in one second may report outcomes of several seconds.
    `clock_skew_s` is the approximate number of these seconds.
    """

    def __init__(self, incarnation: int, clock_skew_s: int) -> None:
        """Start without any digest sent or received."""
        self.incarnation = incarnation
        self.sequence = 0  # sequence number of the last digest that this gateway sent
        self.unpublished: deque[OutcomeCounts] = deque(maxlen=MAX_UNPUBLISHED)
        # Sequence number of the newest digest received, by gateway index and incarnation of the sender.
        self.last_digest_by_sender: dict[tuple[int, int], int] = {}
        self.rejected_digests = 0
        self.received: list[tuple[int, Digest]] = []  # (sender, digest) pairs of the current second
        # The baseline's failure rates in recent seconds, by request class. Up to `clock_skew_s` rates are
        # kept, one for each second, since the digests received in one second may report outcomes of about
        # `clock_skew_s` seconds. A build is compared with the highest rate kept.
        self.baseline_failure_rates: dict[int, deque[float]] = defaultdict(lambda: deque(maxlen=clock_skew_s))
        self.last_baseline_fault_at = -math.inf  # when digests last showed that the baseline was faulty

    def next_digest(self, build: int, baseline_build: int, under_evaluation: bool) -> Digest | None:
        """Return a digest of the outcomes since the last digest, or None if there is nothing to report.

        A digest holds the failed responses of all builds. If `under_evaluation` is set, the digest also
        holds all outcomes of the build and of its baseline.
        """
        counts_by_class: dict[int, ClassCounts] = {}
        failures: list[FailedResponse] = []
        for outcome in self.unpublished:
            if under_evaluation and outcome.build in (build, baseline_build):
                counts = counts_by_class.get(outcome.class_index)
                counts_by_class[outcome.class_index] = _add_outcome(counts, outcome, outcome.build == build)
            failure = FailedResponse(outcome.server % SERVER_MODULUS, outcome.class_index)
            failures += [failure] * outcome.failed
        self.unpublished.clear()
        if not (counts_by_class or failures):
            return None
        self.sequence += 1
        classes = tuple([counts for _, counts in sorted(counts_by_class.items())])
        return Digest(self.incarnation, self.sequence, build, classes, tuple(failures))

    def has_failures(self) -> bool:
        """Tell whether the next digest will report a failed response."""
        return any(outcome.failed for outcome in self.unpublished)

    def record_timeout(self, server: Server) -> None:
        """Record a time-out at a warmed-up server for the next digest.

        Digests carry time-outs as successes of the separate class `TIMEOUT_CLASS`.
        """
        self.unpublished.append(OutcomeCounts(TIMEOUT_CLASS, server.build, server.id, 0, 1))

    def accept(self, sender: int, digest: Digest, max_incarnations: int) -> bool:
        """Return whether a digest is newer than its sender's last one; if so, record its sequence number.

        Sequence numbers are kept for at most `max_incarnations` incarnations of senders.
        """
        source = (sender, digest.incarnation)
        if self.last_digest_by_sender.get(source, -1) >= digest.sequence:
            return False
        self.last_digest_by_sender.pop(source, None)
        self.last_digest_by_sender[source] = digest.sequence
        if len(self.last_digest_by_sender) > max_incarnations:  # first entry: least recently updated
            del self.last_digest_by_sender[next(iter(self.last_digest_by_sender))]
        return True

    def failure_reports(self) -> FailureReports:
        """Count the failed responses in the current second's digests, by server."""
        total = 0
        failures: Counter[int] = Counter()
        senders: Counter[int] = Counter()
        reported: set[tuple[int, int]] = set()
        for sender, digest in self.received:
            for failure in digest.failures:
                total += 1
                failures[failure.server] += 1
                reported.add((failure.server, sender))
        for server, _ in reported:
            senders[server] += 1
        return FailureReports(total, failures, senders)

    def take_pooled(self, build: int) -> PooledOutcomes:
        """Return the added-up counts of the received digests on a build, and clear all received digests."""
        digests = [digest for _, digest in self.received if digest.build == build]
        self.received = []
        return PooledOutcomes(digests)


def _add_outcome(counts: ClassCounts | None, outcome: OutcomeCounts, of_newest: bool) -> ClassCounts:
    """Return a class's counts with an outcome added for the newest build (`of_newest`) or its baseline."""
    if counts is None:
        counts = ClassCounts(outcome.class_index, 0, 0, 0, 0)
    if of_newest:
        return counts._replace(
            succeeded=counts.succeeded + outcome.succeeded, failed=counts.failed + outcome.failed
        )
    return counts._replace(
        baseline_succeeded=counts.baseline_succeeded + outcome.succeeded,
        baseline_failed=counts.baseline_failed + outcome.failed,
    )
