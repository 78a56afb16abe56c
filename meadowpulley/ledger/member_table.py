"""The members of the ledger as one incarnation last read them: their leases and their ring order."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from meadowpulley.ledger.lease_timings import LeaseTimings
from meadowpulley.ledger.records import Incarnation, Member
from meadowpulley.ledger.rendezvous import ring_position


@dataclass(slots=True)
class ObservedMember:
    """A member as it was last read, with the time from which its lease is counted."""

    member: Member
    ring_position: int
    observed_at: float  # when its last renewal was first seen, or when it was last given a new term (ms)
    expired: bool = False

    def has_state_of(self, member: Member) -> bool:
        """Return whether `member` is the same incarnation with the same `fenced` flag."""
        return self.member.incarnation == member.incarnation and self.member.fenced == member.fenced


@dataclass(slots=True)
class MembershipUpdate:
    """The changes of members that a poll found."""

    # Members that this poll found to be fenced and earlier polls did not.
    fenced: list[Member] = field(default_factory=list)
    membership_changed: bool = False  # whether any member was registered or fenced
    # Names of members that renewed, were registered or were fenced; their scheduled fences are dropped.
    settled_names: list[str] = field(default_factory=list)


class MemberTable:
    """The last incarnation of every name, as the incarnation `own` last read it."""

    def __init__(self, own: Incarnation, timings: LeaseTimings) -> None:
        self.observed: dict[str, ObservedMember] = {}
        self.ring_names: list[str] = []  # names of members that are not fenced, in ring order
        self._own = own
        self._timings = timings

    def live_incarnations(self) -> list[Incarnation]:
        """Return all incarnations that are neither fenced nor expired, in the order of the ring."""
        observed_members = [self.observed[name] for name in self.ring_names]
        return [observed.member.incarnation for observed in observed_members if not observed.expired]

    def own_has_ended(self) -> bool:
        """Return whether this table's own incarnation was fenced, or its name was registered again."""
        own = self.observed.get(self._own.name)
        return own is not None and (own.member.incarnation != self._own or own.member.fenced)

    def predecessors(self, count: int) -> tuple[str, ...]:
        """Return the names of the `count` members before `own` on the ring; of all if `own` is not on it."""
        names = tuple(self.ring_names)
        if self._own.name not in names:
            return names
        index = names.index(self._own.name)
        others = names[index + 1 :] + names[:index]
        return others[-count:]

    def restart_leases(self, now: float) -> None:
        """Count the leases of all members from `now` on, as if each had just been renewed."""
        for observed in self.observed.values():
            observed.observed_at = now

    def update(self, now: float, members: Iterable[Member]) -> MembershipUpdate:
        """Record members as they were read, and return what changed."""
        update = MembershipUpdate()
        for member in members:
            observed = self.observed.get(member.incarnation.name)
            if observed is not None and observed.has_state_of(member):
                self._observe_renewal(now, observed, member, update)
            else:
                self._replace_member(now, observed, member, update)
        if update.membership_changed:
            self._update_ring()
        return update

    @staticmethod
    def _observe_renewal(
        now: float, observed: ObservedMember, member: Member, update: MembershipUpdate
    ) -> None:
        if observed.member.renewal != member.renewal:
            observed.observed_at = now
            observed.expired = False
            update.settled_names.append(member.incarnation.name)
        observed.member = member

    def _replace_member(
        self, now: float, observed: ObservedMember | None, member: Member, update: MembershipUpdate
    ) -> None:
        """Record a member that was registered or fenced."""
        name = member.incarnation.name
        self.observed[name] = ObservedMember(member, ring_position(member.incarnation), now)
        update.membership_changed = True
        update.settled_names.append(name)
        previous = observed.member if observed is not None else None
        if previous is not None and not previous.fenced and previous.incarnation != member.incarnation:
            # The name was registered again, so its previous incarnation has ended.
            update.fenced.append(
                Member(previous.incarnation, previous.renewal, True, previous.term_ms, member.version)
            )
        if member.fenced and member.incarnation != self._own:
            update.fenced.append(member)

    def _update_ring(self) -> None:
        live = [name for name, observed in self.observed.items() if not observed.member.fenced]
        self.ring_names = sorted(live, key=lambda name: self.observed[name].ring_position)

    def find_expired(
        self,
        poll_started: float,
        watched_names: Collection[str],
        dead_incarnations: Collection[Incarnation],
    ) -> list[Member]:
        """Return the members whose lease has newly expired, or whose process has ended.

        A lease has expired if no renewal was seen by a poll that started late enough to have seen one: at
        least one term, plus a margin for clock drift, after the last renewal was observed. This is checked
        only for the watched members, since only their renewals are read at every poll.
        """
        expired = list[Member]()
        dead_names = {incarnation.name for incarnation in dead_incarnations}
        for name in {*watched_names, *dead_names}:
            observed = self.observed.get(name)
            if observed is None or observed.expired or observed.member.fenced:
                continue
            if name == self._own.name:
                continue
            is_dead = observed.member.incarnation in dead_incarnations
            if is_dead or (name in watched_names and self._has_expired(observed, poll_started)):
                observed.expired = True
                expired.append(observed.member)
        return expired

    def _has_expired(self, observed: ObservedMember, poll_started: float) -> bool:
        return poll_started >= observed.observed_at + self._timings.expiry_of(observed.member.term_ms)
