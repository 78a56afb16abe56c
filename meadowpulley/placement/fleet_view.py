"""What one gateway knows of the others in an experiment: which are alive, and their counters."""

from __future__ import annotations

from collections.abc import Iterable

from meadowpulley.ledger.model import Incarnation, Member
from meadowpulley.placement.assignment import Assignment
from meadowpulley.placement.counter_records import CountersRecord
from meadowpulley.placement.merged_counters import MergedCounters, merge_counters
from meadowpulley.placement.request_tracker import RequestTracker
from meadowpulley.placement.time_bins import BinTotals


class FleetView:
    """The members of the fleet and their records, as far as one gateway has observed them."""

    def __init__(self, incarnation: Incarnation, assignment: Assignment) -> None:
        self.incarnation = incarnation
        self.assignment = assignment
        self.live_gateways: set[str] = set()  # by name
        self.fenced_incarnations: set[str] = set()
        self.other_records: dict[str, CountersRecord] = {}  # of other incarnations
        self.bin_totals = BinTotals()  # of all incarnations

    def observe_members(self, members: Iterable[Member]) -> None:
        """Record which gateways have a live incarnation, and which incarnations are fenced."""
        for member in members:
            if member.fenced:
                self.fenced_incarnations.add(str(member.incarnation))
                self.live_gateways.discard(member.incarnation.name)
            else:
                self.live_gateways.add(member.incarnation.name)

    @property
    def is_evaluator(self) -> bool:
        """Whether this gateway is the one that evaluates the counters of all gateways.

        The evaluator is the live gateway of the lowest rank, so that all agree without asking each other.
        """
        own_name = self.incarnation.name
        rank = self.assignment.evaluator_rank
        return own_name == min(self.live_gateways | {own_name}, key=lambda name: (rank(name), name))

    def merge(self, tracker: RequestTracker) -> MergedCounters:
        """Merge the stored counters of other incarnations with the tracker's current ones, no quantiles."""
        records = [*self.other_records.values(), tracker.counters.snapshot()]
        ended = self.fenced_incarnations
        bins = self.bin_totals.complete_bins(ended)
        return merge_counters(records, ended, tracker.deadlines_ms, bins, quantiles=False)
