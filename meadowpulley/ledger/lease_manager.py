"""The lease manager: renews this gateway's lease, watches other leases, and fences expired members.

It is the outermost stage of a gateway and does no I/O. It handles leases and renewals itself, and reports the
consequences to the inner stages (`LeaseExpired`, `Fenced`). `member_table` holds the members as they were
last read, `renewal_watch` chooses which members' renewals are read, and `fencing_schedule` decides when this
incarnation tries to fence an expired member.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import TypeAlias

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger.fencing_schedule import FencingSchedule
from meadowpulley.ledger.lease_timings import LeaseTimings
from meadowpulley.ledger.member_table import MemberTable, ObservedMember
from meadowpulley.ledger.messages import (
    Commit,
    CommitCompleted,
    Fenced,
    LeaseExpired,
    LedgerChanged,
    LedgerRecovered,
    WatchRequest,
)
from meadowpulley.ledger.records import Incarnation
from meadowpulley.ledger.renewal_watch import RenewalWatch
from meadowpulley.ledger.stage import Stage, StageAction
from meadowpulley.ledger.transactions import (
    Fence,
    ReleaseLease,
    RenewLease,
    Transaction,
    TransactionOutcome,
)

__all__ = [
    "LEASE_OWNER",
    "LEASE_TIMER",
    "LeaseAction",
    "LeaseManager",
    "LeasePhase",
    "LeaseTimings",
    "Stage",
]

LEASE_TIMER = 5  # token of the renewal timer
LEASE_OWNER = "keeper"  # the `owner` field of commits by the lease manager
# The fraction of a term between two polls above which every member is given a new term.
MAX_POLL_GAP_FRACTION = 0.5

# `handle` receives the events of every request: one set lookup decides whether to pass an event straight on.
HANDLED_EVENTS = frozenset({Timer, CommitCompleted, LedgerChanged, LedgerRecovered})

LeaseAction: TypeAlias = Commit | SetTimer | WatchRequest


class LeasePhase(Enum):
    """The phase of this gateway's incarnation. It leaves ACTIVE once: when it is fenced, or on release."""

    ACTIVE = "active"  # registered, and neither fenced nor released
    FENCED = "fenced"  # ended by another incarnation
    RELEASED = "released"  # ended by a graceful shutdown of this gateway


class LeaseManager:
    """The outermost stage: call `start` first, then `handle` with every event.

    Events that it does not handle are passed to the inner stage.
    """

    def __init__(self, incarnation: Incarnation, timings: LeaseTimings, inner: Stage) -> None:
        self.incarnation = incarnation
        self.timings = timings
        self.inner = inner
        self.phase = LeasePhase.ACTIVE
        self._lease_held_until = -math.inf
        self._last_ticket = 0
        self._renewals_in_flight: dict[int, float] = {}  # start time of the renewal (ms), by ticket
        self._last_poll_started = -math.inf
        self._members = MemberTable(incarnation, timings)
        self._watch = RenewalWatch(self._members, timings)
        self._fencing = FencingSchedule(incarnation, self._members, timings)

    @property
    def fenced(self) -> bool:
        """Whether another incarnation has ended this one."""
        return self.phase is LeasePhase.FENCED

    @property
    def observed_members(self) -> dict[str, ObservedMember]:
        """The members as they were last read, by name."""
        return self._members.observed

    def start(self, now: float) -> list[LeaseAction]:
        """Return the initial actions: renew the lease, since a new incarnation does not hold it yet."""
        return [*self._renew(now), WatchRequest(())]

    def release_lease(self) -> list[LeaseAction]:
        """Return the action that releases the lease, the last one of a graceful shutdown.

        The stages must have made their last commits before.
        """
        if self.phase is LeasePhase.ACTIVE:
            self.phase = LeasePhase.RELEASED
        return [self._commit(Transaction((ReleaseLease(),)))]

    def holds_lease(self, now: float) -> bool:
        """Return whether this incarnation may act on its lease now.

        If the process was suspended for longer than its lease, return False until a renewal that was started
        after the suspension is committed.
        """
        return self.phase is not LeasePhase.FENCED and now < self._lease_held_until

    def live_incarnations(self) -> list[Incarnation]:
        """Return all incarnations that are neither fenced nor expired, in the order of the ring."""
        return self._members.live_incarnations()

    def handle(self, now: float, event: object) -> list[StageAction]:
        """Return the actions in response to an event; `now` is in milliseconds."""
        if type(event) not in HANDLED_EVENTS:
            return self.inner.handle(now, event)
        match event:
            case Timer(token=token) if token == LEASE_TIMER:
                return [*self._renew(now), *self._fence_due_members(now)]
            case CommitCompleted():
                return self._handle_commit_completed(now, event)
            case LedgerChanged():
                return self._handle_changes(now, event)
            case LedgerRecovered():
                return self._handle_ledger_recovered(now, event)
            case _:
                return self.inner.handle(now, event)

    # Renewing this gateway's lease

    def _commit(self, *transactions: Transaction) -> Commit:
        self._last_ticket += 1
        return Commit(self._last_ticket, transactions, LEASE_OWNER)

    def _renew(self, now: float) -> list[LeaseAction]:
        if self.phase is not LeasePhase.ACTIVE:
            return []
        interval_ms = self.timings.term_ms * self.timings.renewal_fraction
        actions: list[LeaseAction] = [SetTimer(interval_ms, LEASE_TIMER)]
        # One renewal at a time is enough: every commit is answered, if only as UNKNOWN.
        if not self._renewals_in_flight:
            renewal = self._commit(Transaction((RenewLease(),)))
            self._renewals_in_flight[renewal.ticket] = now
            actions.append(renewal)
        return actions

    def _handle_commit_completed(self, now: float, event: CommitCompleted) -> list[StageAction]:
        is_own = event.owner == LEASE_OWNER
        actions = [] if is_own else self.inner.handle(now, event)
        if any(result.outcome is TransactionOutcome.FENCED for result in event.results):
            return [*actions, *self._handle_fenced(now)]
        renewal_started = self._renewals_in_flight.pop(event.ticket, None) if is_own else None
        if renewal_started is not None and event.results[0].outcome is TransactionOutcome.COMMITTED:
            self._extend_lease(renewal_started)
        return actions

    def _extend_lease(self, renewed_at: float) -> None:
        """Hold the lease for the hold time, which is counted from the start of the renewal (`renewed_at`)."""
        valid_until = renewed_at + self.timings.term_ms * self.timings.hold_fraction
        self._lease_held_until = max(self._lease_held_until, valid_until)

    def _handle_fenced(self, now: float) -> list[StageAction]:
        if self.phase is not LeasePhase.ACTIVE:
            return []
        self.phase = LeasePhase.FENCED
        return self.inner.handle(now, Fenced())

    def _handle_ledger_recovered(self, now: float, event: LedgerRecovered) -> list[StageAction]:
        """Give all members a new term at the next poll, since none could renew its lease meanwhile."""
        self._last_poll_started = -math.inf
        return self.inner.handle(now, event)

    # Watching and fencing other members

    def _handle_changes(self, now: float, event: LedgerChanged) -> list[StageAction]:
        actions = self.inner.handle(now, event)
        if self.fenced:
            return actions
        poll_started = now if event.poll_started_ms is None else event.poll_started_ms
        self._restart_leases_after_a_pause(now, poll_started)
        update = self._members.update(now, event.changes.members)
        self._fencing.cancel(update.settled_names)
        if self._members.own_has_ended():
            return [*actions, *self._handle_fenced(now)]
        expired = self._members.find_expired(poll_started, self._watch.names, event.changes.dead_incarnations)
        if expired:
            self._fencing.add(now, expired)
            self._watch.watch_all_for_a_while(now)
        if update.fenced or expired:
            actions += self.inner.handle(now, LeaseExpired((*update.fenced, *expired)))
        if self._watch.update(now, update.membership_changed or bool(expired)):
            actions.append(WatchRequest(self._watch.names))
        return [*actions, *self._fence_due_members(now)]

    def _restart_leases_after_a_pause(self, now: float, poll_started: float) -> None:
        """Give all members a new term if this gateway has not polled for a long time.

        A gateway that was stopped, or could not reach the ledger, does not know which renewals it missed.
        When a whole machine resumes from sleep, for example, no gateway may treat all others as expired.
        """
        max_gap_ms = self.timings.term_ms * MAX_POLL_GAP_FRACTION
        if poll_started - self._last_poll_started > max_gap_ms:
            self._members.restart_leases(now)
        self._last_poll_started = poll_started

    def _fence_due_members(self, now: float) -> list[LeaseAction]:
        if self.phase is not LeasePhase.ACTIVE:
            return []
        due = self._fencing.take_due(now)
        if not due:
            return []
        fences = [Transaction((Fence(member.incarnation, member.renewal),)) for member in due]
        return [self._commit(*fences)]
