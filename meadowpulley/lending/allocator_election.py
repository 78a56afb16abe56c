"""Elect the one gateway that allocates, through a lease record that every grant's transaction checks.

A gateway whose report stays unanswered for too long takes over the lease. It replaces the lease record, so
that transactions that its predecessor still has in flight fail, then reads all records again and allocates
from them. Taking over too early is safe and costs only extra work.
"""

from __future__ import annotations

import math
from enum import Enum
from random import Random

from meadowpulley.ledger.model import (
    CheckVersion,
    Commit,
    CommitCompleted,
    Incarnation,
    LeaseExpired,
    Record,
    Scan,
    ScanCompleted,
    Transaction,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.lending.allocator import Allocator, GrantWrite
from meadowpulley.lending.errors import RecordFormatError
from meadowpulley.lending.plan import QuotaPlan
from meadowpulley.lending.records import (
    ALLOCATOR_KEY,
    GRANT_PREFIX,
    KEY_PREFIX,
    OWNER,
    PLAN_KEY,
    REPORT_PREFIX,
    QuotaGrant,
    conditional_write,
    decode_grant,
    decode_incarnation,
    decode_report,
    encode_grant,
    encode_incarnation,
    gateway_index_of,
    record_key,
    write_if_unchanged,
)

# Rounds that a report stays unanswered before an election, plus up to one more round at random.
ELECTION_TIMEOUT_ROUNDS = 2.0
# Rounds to wait for the result of an own commit or scan before a leader or candidate steps down.
COMMIT_TIMEOUT_ROUNDS = 4.0
# Index of the plan's version check in a grant's transaction. A conflict there means that the plan has
# changed, not the leader.
PLAN_CHECK_INDEX = 1


class LeaderState(Enum):
    """List the election states; each leads to the next one, and every state can lead to FOLLOWER."""

    FOLLOWER = 0
    CANDIDATE = 1  # waiting for the commit that replaces the lease record
    LOADING = 2  # holding the lease and waiting for the scan of all records
    LEADER = 3


class AllocatorElection:
    """Take part in electing the allocator, and run the allocator's rounds while leading."""

    def __init__(self, incarnation: Incarnation, plan: QuotaPlan, rng: Random) -> None:
        self.incarnation = incarnation
        self.plan = plan
        self.rng = rng
        self.state = LeaderState.FOLLOWER
        self.lease_version = 0  # version of the lease record; 0: none observed
        self.leader: Incarnation | None = None
        self.plan_version = 0  # version of the plan record; 0: none observed
        self.allocator = Allocator(plan)
        self.ticket = 0  # ticket of the commit or scan in flight; 0: none
        self.pending_since = -math.inf
        self.pending_grants: list[tuple[int, QuotaGrant]] = []
        self.jitter = rng.random()  # rounds (0 to 1) added to the election timeout
        self.leader_changed_at = -math.inf
        # When to start an election because the leader's membership lease expired (infinity: it has not).
        self.early_election_at = math.inf

    @property
    def needs_all_records(self) -> bool:
        """Return whether this gateway must observe the reports and grants of all gateways."""
        return self.state in (LeaderState.LOADING, LeaderState.LEADER)

    def step_down(self, now: float) -> None:
        """Become a follower and discard the allocator's observations."""
        self.state = LeaderState.FOLLOWER
        self.ticket = 0
        self.pending_grants = []
        self.leader_changed_at = now
        self.jitter = self.rng.random()
        self.early_election_at = math.inf
        self.allocator = Allocator(self.plan)

    def update_plan(self, plan: QuotaPlan, version: int) -> None:
        """Use a new plan; `version` is the version of the plan record in the ledger."""
        self.plan = plan
        self.plan_version = version
        self.allocator.update_plan(plan)

    def on_lease_expired(self, now: float, event: LeaseExpired) -> None:
        """Start an election early if the leader's membership lease has expired."""
        if any(member.incarnation == self.leader for member in event.members):
            self.early_election_at = now + self.jitter * self.plan.round_ms

    # Records read from the ledger

    def observe(self, now: float, record: Record) -> None:
        """Process a changed record whose key starts with `KEY_PREFIX`."""
        if record.key == ALLOCATOR_KEY:
            self._observe_lease(now, record)
        elif self.needs_all_records:
            self._observe_for_allocator(now, record)

    def _observe_for_allocator(self, now: float, record: Record) -> None:
        reporting_gateway = gateway_index_of(REPORT_PREFIX, record.key)
        granted_gateway = gateway_index_of(GRANT_PREFIX, record.key)
        try:
            if reporting_gateway is not None:
                report = decode_report(record.value)
                self.allocator.observe_report(now, reporting_gateway, report, record.version)
            elif granted_gateway is not None:
                grant = decode_grant(record.value)
                self.allocator.observe_grant(now, granted_gateway, grant, record.version)
        except RecordFormatError:
            # Without this record the capacity in use is unknown, so this gateway must not allocate.
            self.step_down(now)

    def _observe_lease(self, now: float, record: Record) -> None:
        if record.version <= self.lease_version:
            return
        self.lease_version = record.version
        self.leader = decode_incarnation(record.value)
        if self.state is not LeaderState.CANDIDATE or self.leader != self.incarnation:
            self.step_down(now)

    def on_scanned(self, now: float, event: ScanCompleted) -> None:
        """Process the scan of all records that was read after taking the lease.

        The records are complete, because former leaders can no longer write.
        """
        if self.state is not LeaderState.LOADING or event.ticket != self.ticket:
            return
        self.ticket = 0
        if event.records is None:
            self.step_down(now)
            return
        for record in event.records:
            self.observe(now, record)
        if self.state is LeaderState.LOADING:
            self.state = LeaderState.LEADER

    # Periodic election checks and allocation rounds

    def on_tick(self, now: float, unanswered_since: float, ticket: int) -> list[Commit]:
        """Return the commits to send now; they use the number `ticket`.

        `unanswered_since` is when this gateway's oldest unanswered report was sent (infinity: there is none).
        """
        if self.ticket and now > self.pending_since + COMMIT_TIMEOUT_ROUNDS * self.plan.round_ms:
            self.step_down(now)
        if self.ticket:
            return []
        if self.state is LeaderState.FOLLOWER and self._election_due(now, unanswered_since):
            self.state = LeaderState.CANDIDATE
            self._wait_for(ticket, now)
            value = encode_incarnation(self.incarnation)
            return [conditional_write(ticket, ALLOCATOR_KEY, value, self.lease_version)]
        if self.state is LeaderState.LEADER:
            return self._run_round(now, ticket)
        return []

    def _wait_for(self, ticket: int, now: float) -> None:
        self.ticket = ticket
        self.pending_since = now

    def _election_due(self, now: float, unanswered_since: float) -> bool:
        """Return whether this follower should now try to take over the allocator's lease record.

        This is due once the oldest unanswered report and the last change of leader are both at least 2 to 3
        rounds old (the exact time is random), or 0 to 1 round after the leader's membership lease expired.
        While no lease record is known, any unanswered report is enough. While no plan record is known, no
        election starts.
        """
        if not self.plan_version:
            return False
        if not self.lease_version and unanswered_since < now:
            return True  # there has been no leader so far
        time_out_ms = (ELECTION_TIMEOUT_ROUNDS + self.jitter) * self.plan.round_ms
        election_due_at = max(unanswered_since, self.leader_changed_at) + time_out_ms
        return now >= min(election_due_at, self.early_election_at)

    def _run_round(self, now: float, ticket: int) -> list[Commit]:
        writes = self.allocator.run_round(now)
        if not writes:
            return []
        self._wait_for(ticket, now)
        self.pending_grants = [(write.gateway_index, write.grant) for write in writes]
        transactions = tuple(self._fenced_transaction(write) for write in writes)
        return [Commit(ticket, transactions, OWNER)]

    def _fenced_transaction(self, write: GrantWrite) -> Transaction:
        """Return a transaction that writes a grant if the lease, plan and grant records are unchanged."""
        key = record_key(GRANT_PREFIX, write.gateway_index)
        return Transaction(
            (
                CheckVersion(ALLOCATOR_KEY, self.lease_version),
                CheckVersion(PLAN_KEY, self.plan_version),
                write_if_unchanged(key, encode_grant(write.grant), write.replaced_version),
            )
        )

    # Results of this gateway's commits

    def on_committed(self, now: float, event: CommitCompleted) -> list[Scan]:
        """Process the result of this gateway's pending commit; ignore all other results."""
        if not self.ticket or event.ticket != self.ticket:
            return []
        self.ticket = 0
        if self.state is LeaderState.CANDIDATE:
            return self._on_election_result(now, event)
        if self.state is LeaderState.LEADER:
            self._on_grants_written(now, event)
        return []

    def _on_election_result(self, now: float, event: CommitCompleted) -> list[Scan]:
        result = event.results[0] if event.results else None
        if result is not None and result.outcome is TransactionOutcome.COMMITTED:
            self.lease_version = max(self.lease_version, result.version)
            self.leader = self.incarnation
            self.leader_changed_at = now
            self.state = LeaderState.LOADING
            self.allocator = Allocator(self.plan)
            self._wait_for(event.ticket, now)
            return [Scan(event.ticket, KEY_PREFIX, OWNER)]
        self.step_down(now)
        if result is not None and result.existing is not None:
            self.observe(now, result.existing)
        return []

    def _on_grants_written(self, now: float, event: CommitCompleted) -> None:
        pending = self.pending_grants
        self.pending_grants = []
        for (gateway_index, grant), result in zip(pending, event.results, strict=False):
            if result.outcome is TransactionOutcome.COMMITTED:
                self.allocator.observe_grant(now, gateway_index, grant, result.version)
            elif not _met_another_plan(result):
                # The grant may still be written later. The next leader rules that out when it replaces the
                # lease, and then reads which grants exist.
                self.step_down(now)
                return
        if len(event.results) != len(pending):
            self.step_down(now)


def _met_another_plan(result: TransactionResult) -> bool:
    return result.outcome is TransactionOutcome.CONFLICT and result.failed_write_index == PLAN_CHECK_INDEX
