"""The schedule by which an incarnation fences members whose lease has expired.

All live members may see the same lease expire. They try to fence that member one after the other, in ring
order, starting from the position of the expired member, so that usually only the first one writes to the
ledger.
"""

from __future__ import annotations

from collections.abc import Iterable

from meadowpulley.ledger.lease_timings import LeaseTimings
from meadowpulley.ledger.member_table import MemberTable
from meadowpulley.ledger.records import Incarnation, Member


class FencingSchedule:
    """The times at which the incarnation `own` tries to fence expired members."""

    def __init__(self, own: Incarnation, members: MemberTable, timings: LeaseTimings) -> None:
        self._own = own
        self._members = members
        self._timings = timings
        self._fence_at: dict[str, float] = {}  # time of the next attempt (ms), by member name

    def add(self, now: float, expired: Iterable[Member]) -> None:
        """Schedule the fencing of members whose lease was just found expired."""
        live = self._members.live_incarnations()
        backoff_ms = self._timings.term_ms * self._timings.fencing_backoff_fraction
        for member in expired:
            rank = self._rank(member.incarnation, live)
            self._fence_at[member.incarnation.name] = now + rank * backoff_ms

    def _rank(self, expired: Incarnation, live: list[Incarnation]) -> int:
        """Return how many live incarnations try to fence `expired` before `own` does."""
        observed = self._members.observed
        position = observed[expired.name].ring_position
        earlier = [each for each in live if observed[each.name].ring_position < position]
        order = live[len(earlier) :] + live[: len(earlier)]
        return order.index(self._own) if self._own in order else len(order)

    def cancel(self, names: Iterable[str]) -> None:
        """Remove members from the schedule; they are added again if they expire again."""
        for name in names:
            self._fence_at.pop(name, None)

    def take_due(self, now: float) -> list[Member]:
        """Return the members to fence now.

        Each of them is due again one term later, in case the outcome of its fence is UNKNOWN.
        """
        due_names = [name for name, fence_at in self._fence_at.items() if fence_at <= now]
        for name in due_names:
            self._fence_at[name] = now + self._timings.term_ms
        return [self._members.observed[name].member for name in due_names]
