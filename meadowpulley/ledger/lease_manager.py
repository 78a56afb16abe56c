"""The lease manager: keeps the own lease, watches the leases of the others, and fences those that expired.

It is the outermost stage of a gateway and does no I/O. It keeps what is the ledger's own from the stages
inside, and tells them what follows from it (`LeaseExpired`, `Fenced`). Each incarnation watches its few
predecessors on a ring, so that the renewals which are read grow linearly with the fleet. While one of them
is expired it watches all members: of any run of lost members on the ring the last one stands right before a
live one, so that no loss is missed, and the rest of the run is found within another term.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol, TypeAlias

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger.model import (
    Commit,
    CommitCompleted,
    Fence,
    Fenced,
    Incarnation,
    LeaseExpired,
    LedgerChanged,
    LedgerRecovered,
    Member,
    ReleaseLease,
    RenewLease,
    Transaction,
    TransactionOutcome,
    WatchRequest,
)
from meadowpulley.ledger.rendezvous import ring_position

LEASE_TIMER = 5  # token of the timer of renewals
LEASE_OWNER = "keeper"  # owner of the lease manager's own commits

LeaseAction: TypeAlias = Commit | SetTimer | WatchRequest


class Stage(Protocol):
    """A part of the chain between a gateway's sockets and its policy.

    Each stage has events and actions of its own, so their types are open.
    """

    def handle(self, now: float, event: Any) -> list[Any]:
        """Return the actions that follow from an event; `now` is in milliseconds."""


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """The term of a lease, and what follows from it; fractions are of the term."""

    term_ms: float = 2000.0
    renewal_fraction: float = 0.2  # between two renewals
    hold_fraction: float = 0.7  # for which the holder acts on a renewal, from when it started that renewal
    max_clock_drift: float = 0.02  # by which the lengths of two clocks' seconds differ at most
    watched_neighbours: int = 3  # how many predecessors on the ring each member watches
    fencing_backoff_fraction: float = 0.1  # by which each next member waits longer before it fences another

    @property
    def expiry_ms(self) -> float:
        """How long after a renewal was seen a lease with this term is expired."""
        return self.expiry_of(self.term_ms)

    def expiry_of(self, term_ms: float) -> float:
        """Return how long after a renewal was seen a lease with that term is expired."""
        return term_ms * (1.0 + self.max_clock_drift)


@dataclass(slots=True)
class _ObservedMember:
    """A member as this incarnation has last read it."""

    member: Member
    ring_position: int
    observed_at: float  # when its last renewal was first seen, or when all were counted anew
    expired: bool = False

    def has_state_of(self, member: Member) -> bool:
        """Return whether `member` is the same incarnation, and fenced or not alike."""
        return self.member.incarnation == member.incarnation and self.member.fenced == member.fenced


class LeaseManager:
    """The stage round all others: call `start` first, then `handle` with every event.

    Events that it does not know go to the stage inside.
    """

    def __init__(self, incarnation: Incarnation, timings: LeaseTimings, inner: Stage) -> None:
        self.incarnation, self.timings, self.inner = incarnation, timings, inner
        self.fenced = self.released = False
        self.observed_members: dict[str, _ObservedMember] = {}
        self._lease_held_until = -math.inf
        self._last_ticket = 0
        self._renewals_in_flight: dict[int, float] = {}  # by ticket: when the renewal was started
        self._fence_at: dict[str, float] = {}  # by name: when this incarnation fences an expired member
        self._watched_names: tuple[str, ...] = ()
        self._ring_names: list[str] = []  # names of members that are not fenced, by their position
        self._watching_all, self._watch_all_until = False, -math.inf
        self._last_poll_started = -math.inf
        self._handlers: dict[type, Callable[[float, Any], list[Any]]] = {
            Timer: self._handle_timer,
            CommitCompleted: self._handle_commit_completed,
            LedgerChanged: self._handle_changes,
            LedgerRecovered: self._handle_ledger_recovered,
        }

    def start(self, now: float) -> list[LeaseAction]:
        """Return the first actions: renew the lease, since a new incarnation does not hold it yet."""
        return [*self._renew(now), WatchRequest(())]

    def release_lease(self) -> list[LeaseAction]:
        """Return the last action of a graceful shutdown, after the stages' own last commits."""
        self.released = True
        return [self._commit(Transaction((ReleaseLease(),)))]

    def holds_lease(self, now: float) -> bool:
        """Return whether this incarnation may act on its lease now.

        False after a process slept through its lease, until a renewal that it started since was committed.
        """
        return not self.fenced and now < self._lease_held_until

    def live_incarnations(self) -> list[Incarnation]:
        """Return all incarnations that are neither fenced nor expired, in the order of the ring."""
        observed_members = [self.observed_members[name] for name in self._ring_names]
        return [observed.member.incarnation for observed in observed_members if not observed.expired]

    def handle(self, now: float, event: Any) -> list[Any]:
        """Return the actions that follow from an event."""
        handler = self._handlers.get(type(event))
        return handler(now, event) if handler is not None else self.inner.handle(now, event)

    # The own lease

    def _commit(self, *transactions: Transaction) -> Commit:
        self._last_ticket += 1
        return Commit(self._last_ticket, transactions, LEASE_OWNER)

    def _renew(self, now: float) -> list[LeaseAction]:
        if self.fenced or self.released:
            return []
        interval_ms = self.timings.term_ms * self.timings.renewal_fraction
        actions: list[LeaseAction] = [SetTimer(interval_ms, LEASE_TIMER)]
        if not self._renewals_in_flight:  # one at a time: each is answered, UNKNOWN at worst
            renewal = self._commit(Transaction((RenewLease(),)))
            self._renewals_in_flight[renewal.ticket] = now
            actions.append(renewal)
        return actions

    def _handle_timer(self, now: float, event: Timer) -> list[Any]:
        if event.token != LEASE_TIMER:
            return self.inner.handle(now, event)
        return [*self._renew(now), *self._fence_due_members(now)]

    def _handle_commit_completed(self, now: float, event: CommitCompleted) -> list[Any]:
        is_own = event.owner == LEASE_OWNER
        actions = [] if is_own else self.inner.handle(now, event)
        if any(result.outcome is TransactionOutcome.FENCED for result in event.results):
            return [*actions, *self._mark_fenced(now)]
        renewal_started = self._renewals_in_flight.pop(event.ticket, None) if is_own else None
        if renewal_started is not None and event.results[0].outcome is TransactionOutcome.COMMITTED:
            held_until = renewal_started + self.timings.term_ms * self.timings.hold_fraction
            self._lease_held_until = max(self._lease_held_until, held_until)
        return actions

    def _mark_fenced(self, now: float) -> list[Any]:
        if self.fenced or self.released:
            return []
        self.fenced = True
        return self.inner.handle(now, Fenced())

    def _handle_ledger_recovered(self, now: float, event: LedgerRecovered) -> list[Any]:
        """Count all leases anew, since no member could renew its lease."""
        self._last_poll_started = -math.inf
        return self.inner.handle(now, event)

    # The leases of the others

    def _handle_changes(self, now: float, event: LedgerChanged) -> list[Any]:
        actions = self.inner.handle(now, event)
        if self.fenced:
            return actions
        poll_started = now if event.poll_started_ms is None else event.poll_started_ms
        self._count_anew_after_a_pause(now, poll_started)
        fenced, membership_changed = self._update_members(now, event)
        if membership_changed:
            self._update_ring()
        own = self.observed_members.get(self.incarnation.name)
        if own is not None and (own.member.incarnation != self.incarnation or own.member.fenced):
            return [*actions, *self._mark_fenced(now)]
        expired = self._find_expired(now, poll_started, event.changes.dead_incarnations)
        if fenced or expired:
            actions += self.inner.handle(now, LeaseExpired((*fenced, *expired)))
        return [
            *actions,
            *self._update_watched_names(now, membership_changed or bool(expired)),
            *self._fence_due_members(now),
        ]

    def _count_anew_after_a_pause(self, now: float, poll_started: float) -> None:
        """Give all members a new term if this gateway has not polled for long.

        A gateway that was stopped, or cut off from the ledger, does not know which renewals it missed: when
        a whole machine wakes from sleep, it must not find all others expired.
        """
        if poll_started - self._last_poll_started > self.timings.term_ms / 2:
            for observed in self.observed_members.values():
                observed.observed_at = now
        self._last_poll_started = poll_started

    def _update_members(self, now: float, event: LedgerChanged) -> tuple[list[Member], bool]:
        """Record the members as they were read.

        Returns those found fenced, and whether any member was registered or fenced.
        """
        fenced, membership_changed = list[Member](), False
        for member in event.changes.members:
            observed = self.observed_members.get(member.incarnation.name)
            if observed is not None and observed.has_state_of(member):
                self._observe_renewal(now, observed, member)
            else:
                membership_changed = True
                fenced += self._replace_member(now, observed, member)
        return fenced, membership_changed

    def _observe_renewal(self, now: float, observed: _ObservedMember, member: Member) -> None:
        if observed.member.renewal != member.renewal:
            observed.observed_at, observed.expired = now, False
            self._fence_at.pop(member.incarnation.name, None)
        observed.member = member

    def _replace_member(self, now: float, observed: _ObservedMember | None, member: Member) -> list[Member]:
        """Record a member that was registered or fenced; return the members that this shows as fenced."""
        name, fenced = member.incarnation.name, list[Member]()
        self._fence_at.pop(name, None)
        self.observed_members[name] = _ObservedMember(member, ring_position(member.incarnation), now)
        previous = observed.member if observed is not None else None
        if previous is not None and not previous.fenced and previous.incarnation != member.incarnation:
            # Its name was registered again, so the previous incarnation has ended.
            fenced.append(
                Member(previous.incarnation, previous.renewal, True, previous.term_ms, member.version)
            )
        if member.fenced and member.incarnation != self.incarnation:
            fenced.append(member)
        return fenced

    def _update_ring(self) -> None:
        live = [name for name, observed in self.observed_members.items() if not observed.member.fenced]
        self._ring_names = sorted(live, key=lambda name: self.observed_members[name].ring_position)

    def _find_expired(
        self, now: float, poll_started: float, dead_incarnations: tuple[Incarnation, ...]
    ) -> list[Member]:
        """Return the members whose lease has newly expired, or whose process has ended."""
        expired = []
        dead_names = {incarnation.name for incarnation in dead_incarnations}
        for name in {*self._watched_names, *dead_names}:
            observed = self.observed_members.get(name)
            if observed is None or observed.expired or observed.member.fenced:
                continue
            if name == self.incarnation.name:
                continue
            is_dead = observed.member.incarnation in dead_incarnations
            if is_dead or (name in self._watched_names and self._has_expired(observed, poll_started)):
                observed.expired = True
                expired.append(observed.member)
        if expired:
            self._schedule_fencing(now, expired)
        return expired

    def _has_expired(self, observed: _ObservedMember, poll_started: float) -> bool:
        """Return whether a lease has expired by a poll that started late enough to have seen a renewal."""
        return poll_started >= observed.observed_at + self.timings.expiry_of(observed.member.term_ms)

    def _schedule_fencing(self, now: float, expired: list[Member]) -> None:
        live = self.live_incarnations()
        backoff_ms = self.timings.term_ms * self.timings.fencing_backoff_fraction
        for member in expired:
            rank = self._fencing_rank(member.incarnation, live)
            self._fence_at[member.incarnation.name] = now + rank * backoff_ms
        self._watch_all_until = now + 2.0 * self.timings.expiry_ms

    def _fencing_rank(self, expired: Incarnation, live: list[Incarnation]) -> int:
        """Return how many live incarnations try to fence that one before this one does.

        The order is that of the ring, from the position of the expired one on.
        """
        position = self.observed_members[expired.name].ring_position
        predecessors = sum(
            self.observed_members[incarnation.name].ring_position < position for incarnation in live
        )
        order = live[predecessors:] + live[:predecessors]
        return order.index(self.incarnation) if self.incarnation in order else len(order)

    def _update_watched_names(self, now: float, membership_changed: bool) -> list[LeaseAction]:
        watch_all = now < self._watch_all_until
        if not membership_changed and watch_all == self._watching_all:
            return []
        self._watching_all = watch_all
        names = tuple(self._ring_names)
        if not watch_all and self.incarnation.name in names:
            index = names.index(self.incarnation.name)
            predecessors = names[index + 1 :] + names[:index]
            names = predecessors[-self.timings.watched_neighbours :]
        if names == self._watched_names:
            return []
        self._watched_names = names
        return [WatchRequest(names)]

    def _fence_due_members(self, now: float) -> list[LeaseAction]:
        if self.fenced or self.released:
            return []
        due_names = [name for name, fence_at in self._fence_at.items() if fence_at <= now]
        if not due_names:
            return []
        for name in due_names:
            self._fence_at[name] = now + self.timings.term_ms  # tried again if the outcome is UNKNOWN
        due = [self.observed_members[name].member for name in due_names]
        return [self._commit(*(Transaction((Fence(m.incarnation, m.renewal),)) for m in due))]
