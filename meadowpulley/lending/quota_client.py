"""Report one gateway's demand in rounds, and apply the grants that answer the reports.

The term of a grant starts when this gateway began the round that the grant answers, on its own clock. The
allocator counts the term from when it observed the grant. That is always later, however long a process was
slow or paused in between, so the gateway stops using the grant first.
"""

from __future__ import annotations

import math

from meadowpulley.ledger.model import (
    Commit,
    CommitCompleted,
    Incarnation,
    Record,
    TransactionOutcome,
    TransactionResult,
)
from meadowpulley.lending.errors import RecordFormatError
from meadowpulley.lending.quota_enforcer import QuotaEnforcer
from meadowpulley.lending.records import (
    GRANT_PREFIX,
    REPORT_PREFIX,
    DemandReport,
    QuotaGrant,
    conditional_write,
    decode_grant,
    decode_report,
    encode_report,
    record_key,
)

# Shortest interval between two reports, as a fraction of a round, if one can't wait for the next round.
EARLY_REPORT_FRACTION = 0.25
# A grant that lowers the rate below this fraction of the previous rate is acknowledged at once.
LOWERED_RATE_FRACTION = 0.99
# Rounds whose start time is kept. A grant that answers an older round has expired.
MAX_REMEMBERED_ROUNDS = 32
# Rounds to wait for the result of a report's commit before sending another report.
REPORT_TIMEOUT_ROUNDS = 4
UNKNOWN_RESULT = TransactionResult(TransactionOutcome.UNKNOWN)


class QuotaClient:
    """Write one gateway's demand reports, and pass its grants to the enforcer."""

    def __init__(self, gateway_index: int, incarnation: Incarnation, enforcer: QuotaEnforcer) -> None:
        self.gateway_index = gateway_index
        self.incarnation = incarnation
        self.enforcer = enforcer
        self.report_key = record_key(REPORT_PREFIX, gateway_index)
        self.grant_key = record_key(GRANT_PREFIX, gateway_index)
        self.round_number = 0
        self.acknowledged_round = 0
        self.round_started_at: dict[int, float] = {}
        self.report_version = 0  # version of this gateway's report record; 0: none known
        self.ticket = 0  # ticket of the report in flight; 0: none
        self.reported_at = -math.inf
        # A lower grant was applied; its capacity is free for others only once a report acknowledges that.
        self.must_acknowledge = False
        self.unanswered_since = math.inf
        self.predecessor_floor = 0.0  # units per second that an earlier incarnation may still use
        self.predecessor_floor_until = -math.inf
        # Incarnation of a gateway with a different name that uses the same index.
        self.conflicting_incarnation: Incarnation | None = None
        self.conflict_until = -math.inf
        self.reported_rates: dict[int, float] = {}

    @property
    def keys(self) -> tuple[str, str]:
        """Return the keys of this gateway's report and grant."""
        return self.report_key, self.grant_key

    def report_due(self, now: float, early: bool) -> bool:
        """Return whether to report now; `early` means that the report can't wait for the next round."""
        round_ms = self.enforcer.plan.round_ms
        if self.ticket:
            if now < self.reported_at + REPORT_TIMEOUT_ROUNDS * round_ms:
                return False
            self.ticket = 0  # without a result, the report may or may not have been committed
        interval_ms = round_ms * (EARLY_REPORT_FRACTION if early else 1.0)
        return now >= max(self.reported_at + interval_ms, self.conflict_until)

    def report(
        self, now: float, rates: dict[int, float], ticket: int, released: bool = False
    ) -> list[Commit]:
        """Begin a round by reporting demand (units per second by place) and the last applied grant."""
        self.round_number += 1
        self.reported_rates = rates
        self.ticket = ticket
        self.reported_at = now
        self.must_acknowledge = False
        self.round_started_at[self.round_number] = now
        self.round_started_at.pop(self.round_number - MAX_REMEMBERED_ROUNDS, None)
        self.unanswered_since = min(self.unanswered_since, now)
        if now >= self.predecessor_floor_until:
            self.predecessor_floor = 0.0
        demand_report = DemandReport(
            incarnation=self.incarnation,
            round_number=self.round_number,
            acknowledged_round=self.acknowledged_round,
            plan_version=self.enforcer.plan.version,
            reserved_floor=max(self.predecessor_floor, self.enforcer.floor),
            floor_in_use=self.enforcer.floor,
            released=released,
            rates=tuple(sorted(rates.items())),
        )
        value = encode_report(demand_report)
        return [conditional_write(ticket, self.report_key, value, self.report_version)]

    def release(self, now: float, ticket: int) -> list[Commit]:
        """Return the grant to the allocator in a graceful shutdown."""
        if not self.report_version:
            return []
        return self.report(now, {}, ticket, released=True)

    def on_ledger_lost(self) -> None:
        """Stop waiting for the report in flight, which may or may not have been committed."""
        self.ticket = 0
        self.unanswered_since = math.inf

    def on_committed(self, now: float, event: CommitCompleted) -> bool:
        """Process the result of the report in flight; return whether the event belongs to it."""
        if event.ticket != self.ticket or not self.ticket:
            return False
        self.ticket = 0
        result = event.results[0] if event.results else UNKNOWN_RESULT
        if result.outcome is TransactionOutcome.COMMITTED:
            self.report_version = max(self.report_version, result.version)
            self._renew_floor(now)
        elif result.outcome is TransactionOutcome.CONFLICT and result.existing is not None:
            self.observe(now, result.existing)
        elif result.outcome is TransactionOutcome.CONFLICT:
            self.report_version = 0
        return True

    def _renew_floor(self, now: float) -> None:
        if self.enforcer.floor > 0:
            plan = self.enforcer.plan
            until = self.reported_at + plan.holder_term_ms(plan.floor_term_ms)
            self.enforcer.set_floor(now, self.enforcer.floor, until)

    # Records

    def observe(self, now: float, record: Record) -> None:
        """Process a change of this gateway's report or grant record."""
        try:
            if record.key == self.report_key:
                self._observe_report(now, record)
            else:
                self._observe_grant(now, decode_grant(record.value))
        except RecordFormatError:  # ignore a record in a later format until it is overwritten
            return

    def _observe_report(self, now: float, record: Record) -> None:
        self.report_version = max(self.report_version, record.version)
        report = decode_report(record.value)
        if report.incarnation == self.incarnation or report.released:
            return
        self._defer_floor(now, report.reserved_floor)
        if report.incarnation.name != self.incarnation.name:
            plan = self.enforcer.plan
            self.conflicting_incarnation = report.incarnation
            self.conflict_until = now + plan.observer_term_ms(plan.term_ms)

    def _defer_floor(self, now: float, floor: float) -> None:
        """Use no floor for one floor term, because an earlier incarnation may still use its own."""
        if floor > 0:
            plan = self.enforcer.plan
            self.predecessor_floor = max(self.predecessor_floor, floor)
            self.predecessor_floor_until = now + plan.observer_term_ms(plan.floor_term_ms)

    def _observe_grant(self, now: float, grant: QuotaGrant) -> None:
        if grant.incarnation != self.incarnation:
            if self.round_number == 0 and self.report_version:
                self._defer_floor(now, grant.floor)
        elif self._is_usable(grant):
            self._apply_grant(now, grant)

    def _is_usable(self, grant: QuotaGrant) -> bool:
        """Return whether a grant is newer than the applied one and was made under the plan in force."""
        return (
            grant.round_number > self.acknowledged_round
            and grant.round_number in self.round_started_at
            and grant.plan_version == self.enforcer.plan.version
        )

    def _apply_grant(self, now: float, grant: QuotaGrant) -> None:
        plan = self.enforcer.plan
        started_at = self.round_started_at[grant.round_number]
        previous_rate = self.enforcer.rate
        self.acknowledged_round = grant.round_number
        self.unanswered_since = self.round_started_at.get(grant.round_number + 1, math.inf)
        self.enforcer.apply_grant(now, grant, started_at + plan.holder_term_ms(grant.term_ms))
        floor = min(grant.floor, plan.floor_per_s(self.gateway_index))
        floor_until = started_at + plan.holder_term_ms(plan.floor_term_ms)
        if now >= self.predecessor_floor_until and floor_until > now:
            self.enforcer.set_floor(now, floor, floor_until)
        if self.enforcer.rate < LOWERED_RATE_FRACTION * previous_rate:
            self.must_acknowledge = True
