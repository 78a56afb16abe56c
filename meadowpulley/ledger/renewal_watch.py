"""The choice of the members whose renewals an incarnation reads at every poll.

Each incarnation watches a few predecessors on a ring, so the number of renewals that all gateways read grows
only linearly with the fleet. For some time after a lease expires, the incarnation watches all members. This
finds every loss: in any run of consecutive lost members on the ring, the last one directly precedes a live
member, which watches it and then finds the rest of the run within another term.
"""

from __future__ import annotations

import math

from meadowpulley.ledger.lease_timings import LeaseTimings
from meadowpulley.ledger.member_table import MemberTable

WATCH_ALL_EXPIRIES = 2.0  # how long all members are watched after a loss, as a multiple of the lease expiry


class RenewalWatch:
    """The names of the members whose renewals are read at every poll."""

    def __init__(self, members: MemberTable, timings: LeaseTimings) -> None:
        self.names: tuple[str, ...] = ()
        self._members = members
        self._timings = timings
        self._watches_all = False
        self._watch_all_until = -math.inf

    def watch_all_for_a_while(self, now: float) -> None:
        """Watch all members, since a lease has expired."""
        self._watch_all_until = now + WATCH_ALL_EXPIRIES * self._timings.expiry_ms

    def update(self, now: float, membership_changed: bool) -> bool:
        """Choose the members to watch again if necessary; return whether the choice changed."""
        watch_all = now < self._watch_all_until
        if not membership_changed and watch_all == self._watches_all:
            return False
        self._watches_all = watch_all
        names = self._choose_names(watch_all)
        if names == self.names:
            return False
        self.names = names
        return True

    def _choose_names(self, watch_all: bool) -> tuple[str, ...]:
        if watch_all:
            return tuple(self._members.ring_names)
        return self._members.predecessors(self._timings.watched_neighbours)
