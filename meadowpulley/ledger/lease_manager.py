"""Who lives: the own lease kept, the others' watched, and the lives of the lost ended by one of them.

A stage without I/O, the outermost: it keeps what is the ledger's own from the stages inside and tells them
what follows from it (`Suspected`, `Ended`). Each life watches over the few before it on a ring, so that what
is read of renewals grows with the fleet. Where one of them is suspect it watches all for a while: of any run
of lost lives the last one stands right before a living one, so that nobody is lost unseen, and the rest of
the run is found within another term.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

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

LEASE_TIMER = 5
LEASE_OWNER = "keeper"


class Stage(Protocol):
    def handle(self, now: float, event: Any) -> list[Any]: ...


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """How long what holds. `drift` bounds how far two clocks' seconds differ in length, as a part."""

    term_ms: float = 2000.0
    renewal_fraction: float = 0.2  # of the term, between two renewals
    hold_fraction: float = 0.7  # of the term, for which a life may act on a renewal from when it began it
    max_clock_drift: float = 0.02
    watched_neighbours: int = 3  # whom a life watches
    fencing_backoff_fraction: float = (
        0.1  # of the term, by which the next one waits before it seals a suspect
    )

    @property
    def expiry_ms(self) -> float:
        """From seeing a renewal to suspecting the life, where that life has the same term."""
        return self.term_ms * (1.0 + self.max_clock_drift)


@dataclass(slots=True)
class _ObservedMember:
    member: Member
    ring_position: int  # on the ring
    observed_at: float  # when its last renewal was first seen, or all were counted anew
    expired: bool = False


class LeaseManager:
    """Stage round the others. `start` first; then every event. Whatever it does not know it passes on."""

    def __init__(self, incarnation: Incarnation, timings: LeaseTimings, inner: Stage) -> None:
        self.incarnation, self.timings, self.inner = incarnation, timings, inner
        self.fenced = self.released = False
        self.observed_members: dict[str, _ObservedMember] = {}
        self._lease_held_until = -math.inf
        self._last_ticket = 0
        self._renewals_in_flight: dict[int, float] = {}  # ticket: when it began
        self._fence_at: dict[str, float] = {}  # suspects, and when this life tries to end theirs
        self._watched_names: tuple[str, ...] = ()
        self._ring_names: list[str] = []  # names of lives that are not sealed, by their place
        self._watching_all, self._watch_all_until = False, -math.inf  # whether it watches all, and how long
        self._last_poll_started = -math.inf
        self._handlers: dict[type, Callable[[float, Any], list[Any]]] = {
            Timer: self._handle_timer,
            CommitCompleted: self._handle_commit_completed,
            LedgerChanged: self._handle_changes,
            LedgerRecovered: self._handle_ledger_recovered,
        }

    def start(self, now: float) -> list[Any]:
        """The first actions: the own lease renewed at once, as a life that has only begun may not act."""
        return [*self._renew(now), WatchRequest(())]

    def release_lease(self) -> list[Any]:
        """A planned stop, once whatever is to be handed over was asked for: the lease ends by itself."""
        self.released = True
        return [self._commit(Transaction((ReleaseLease(),)))]

    def holds_lease(self, now: float) -> bool:
        """Whether what rests on the own lease may be done now. False from the wake of a process that slept
        over it, until a renewal begun since then has won."""
        return not self.fenced and now < self._lease_held_until

    def live_incarnations(self) -> list[Incarnation]:
        """This life and all that are neither sealed nor suspect, in the ring's order."""
        return [
            self.observed_members[name].member.incarnation
            for name in self._ring_names
            if not self.observed_members[name].expired
        ]

    def handle(self, now: float, event: Any) -> list[Any]:
        handler = self._handlers.get(type(event))
        return handler(now, event) if handler is not None else self.inner.handle(now, event)

    # The own lease

    def _commit(self, *transactions: Transaction) -> Commit:
        self._last_ticket += 1
        return Commit(self._last_ticket, transactions, LEASE_OWNER)

    def _renew(self, now: float) -> list[Any]:
        if self.fenced or self.released:
            return []
        actions: list[Any] = [SetTimer(self.timings.term_ms * self.timings.renewal_fraction, LEASE_TIMER)]
        if not self._renewals_in_flight:  # one at a time: each is answered, UNKNOWN at worst
            renew = self._commit(Transaction((RenewLease(),)))
            self._renewals_in_flight[renew.ticket] = now
            actions.append(renew)
        return actions

    def _handle_timer(self, now: float, event: Timer) -> list[Any]:
        if event.token != LEASE_TIMER:
            return self.inner.handle(now, event)
        return [*self._renew(now), *self._fence_due_members(now)]

    def _handle_commit_completed(self, now: float, event: CommitCompleted) -> list[Any]:
        actions = self.inner.handle(now, event) if event.owner != LEASE_OWNER else []
        if any(done.outcome is TransactionOutcome.FENCED for done in event.results):
            return [*actions, *self._mark_fenced(now)]
        renewal_started = (
            self._renewals_in_flight.pop(event.ticket, None) if event.owner == LEASE_OWNER else None
        )
        if renewal_started is not None and event.results[0].outcome is TransactionOutcome.COMMITTED:
            self._lease_held_until = max(
                self._lease_held_until, renewal_started + self.timings.term_ms * self.timings.hold_fraction
            )
        return actions

    def _mark_fenced(self, now: float) -> list[Any]:
        if self.fenced or self.released:
            return []
        self.fenced = True
        return self.inner.handle(now, Fenced())

    def _handle_ledger_recovered(self, now: float, event: LedgerRecovered) -> list[Any]:
        """Nobody could renew: all are counted anew."""
        self._last_poll_started = -math.inf
        return self.inner.handle(now, event)

    # The others

    def _handle_changes(self, now: float, event: LedgerChanged) -> list[Any]:
        actions = self.inner.handle(now, event)
        if self.fenced:
            return actions
        poll_started = now if event.poll_started_ms is None else event.poll_started_ms
        if poll_started - self._last_poll_started > self.timings.term_ms / 2:
            # Who has not looked for long (stopped, or the ledger away) knows nothing of what was missed: a
            # whole machine that slept must not find all others lost as it wakes.
            for observed in self.observed_members.values():
                observed.observed_at = now
        self._last_poll_started = poll_started
        fenced, membership_changed = self._update_members(now, event)
        if membership_changed:
            self._ring_names = sorted(
                (n for n, s in self.observed_members.items() if not s.member.fenced),
                key=lambda n: self.observed_members[n].ring_position,
            )
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

    def _update_members(self, now: float, event: LedgerChanged) -> tuple[list[Member], bool]:
        """Lives found sealed, and whether any began or was sealed."""
        fenced, membership_changed = list[Member](), False
        for member in event.changes.members:
            name, observed = member.incarnation.name, self.observed_members.get(member.incarnation.name)
            if (
                observed is not None
                and observed.member.incarnation == member.incarnation
                and observed.member.fenced == member.fenced
            ):
                if observed.member.renewal != member.renewal:
                    observed.observed_at, observed.expired = now, False
                    self._fence_at.pop(name, None)
                observed.member = member
                continue
            membership_changed = True
            self._fence_at.pop(name, None)
            self.observed_members[name] = _ObservedMember(member, ring_position(member.incarnation), now)
            if (
                observed is not None
                and not observed.member.fenced
                and observed.member.incarnation != member.incarnation
            ):
                previous = observed.member  # its name was begun anew: that life is over
                fenced.append(
                    Member(previous.incarnation, previous.renewal, True, previous.term_ms, member.version)
                )
            if member.fenced and member.incarnation != self.incarnation:
                fenced.append(member)
        return fenced, membership_changed

    def _find_expired(
        self, now: float, poll_started: float, dead_incarnations: tuple[Incarnation, ...]
    ) -> list[Member]:
        """Lives whose lease has run out by a look that began late enough, or whose process has ended."""
        expired = []
        dead_names = {incarnation.name for incarnation in dead_incarnations}
        for name in {*self._watched_names, *dead_names}:
            observed = self.observed_members.get(name)
            if (
                observed is None
                or observed.expired
                or observed.member.fenced
                or name == self.incarnation.name
            ):
                continue
            ran_out = poll_started >= observed.observed_at + observed.member.term_ms * (
                1.0 + self.timings.max_clock_drift
            )
            if observed.member.incarnation in dead_incarnations or (ran_out and name in self._watched_names):
                observed.expired = True
                expired.append(observed.member)
        live = self.live_incarnations() if expired else []
        for member in expired:
            rank = self._fencing_rank(member.incarnation, live)
            backoff_ms = self.timings.term_ms * self.timings.fencing_backoff_fraction
            self._fence_at[member.incarnation.name] = now + rank * backoff_ms
        if expired:
            self._watch_all_until = now + 2.0 * self.timings.expiry_ms
        return expired

    def _fencing_rank(self, expired: Incarnation, live: list[Incarnation]) -> int:
        """How many living ones come before this one at ending that life: the next ones on the ring first."""
        position = self.observed_members[expired.name].ring_position
        predecessors = sum(
            self.observed_members[incarnation.name].ring_position < position for incarnation in live
        )
        order = live[predecessors:] + live[:predecessors]
        return order.index(self.incarnation) if self.incarnation in order else len(order)

    def _update_watched_names(self, now: float, membership_changed: bool) -> list[Any]:
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

    def _fence_due_members(self, now: float) -> list[Any]:
        if self.fenced or self.released:
            return []
        due = [
            self.observed_members[name].member for name, fence_at in self._fence_at.items() if fence_at <= now
        ]
        if not due:
            return []
        for member in due:
            self._fence_at[member.incarnation.name] = now + self.timings.term_ms  # once more if it is UNKNOWN
        return [self._commit(*(Transaction((Fence(m.incarnation, m.renewal),)) for m in due))]
