"""Merge the counters of all incarnations so that each request counts once, however gateways crash.

The result does not depend on the order of the records, or on repeated ones. An adopted request's end counts
if the record of the incarnation that accepted it first has the request as open, or was last written before
it. Requests that are open in the record of an incarnation that has ended, and that no other has completed,
count as lost.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from meadowpulley.placement.arm_counters import ArmAndClass, count_outcome, new_histogram
from meadowpulley.placement.counter_records import (
    AdoptedCompletion,
    BlockCosts,
    CostMoments,
    CountersRecord,
    OpenRequest,
    OutcomeCounts,
    RequestEnding,
)
from meadowpulley.placement.time_bins import TimeBin


@dataclass
class MergedCounters:
    """The sums of all incarnations' counters, by arm and class unless stated otherwise."""

    incarnations: int = 0
    unassigned: int = 0
    withheld: int = 0
    adopted: int = 0
    cells: dict[ArmAndClass, OutcomeCounts] = field(default_factory=dict)
    histograms: dict[ArmAndClass, HdrHistogram] = field(default_factory=dict)
    open_requests: Counter[ArmAndClass] = field(default_factory=Counter)
    lost: Counter[ArmAndClass] = field(default_factory=Counter)
    moments: dict[tuple[int, int, int], CostMoments] = field(default_factory=dict)  # by (group, arm, class)
    bins: list[TimeBin] = field(default_factory=list)
    blocks: dict[tuple[int, int], BlockCosts] = field(default_factory=dict)  # by (block, class)

    @property
    def requests(self) -> int:
        """The number of requests accepted in any arm, each counted once."""
        ended = sum(cell.ended for cell in self.cells.values())
        return ended + sum(self.open_requests.values()) + sum(self.lost.values())

    def moments_of(self, group: int, arm: int, class_index: int) -> CostMoments:
        """Return the moments of a group, arm and class, which are created empty if missing."""
        key = (group, arm, class_index)
        return self.moments.setdefault(key, CostMoments(*key))


def latest_by_incarnation(records: Iterable[CountersRecord]) -> dict[str, CountersRecord]:
    """Return the highest revision of each incarnation's record."""
    latest: dict[str, CountersRecord] = {}
    for record in records:
        known = latest.get(record.incarnation)
        if known is None or known.revision < record.revision:
            latest[record.incarnation] = record
    return latest


def merge_counters(
    records: Iterable[CountersRecord],
    ended: Collection[str],
    deadlines_ms: Mapping[int, float],
    bins: Sequence[TimeBin] = (),
    quantiles: bool = True,
) -> MergedCounters:
    """Add up the records of all incarnations.

    `ended` are incarnations that no longer run; `deadlines_ms`, by class, are the costs of lost requests;
    `bins` are the sums over all incarnations. If `quantiles` is False, the records' histograms are not
    merged.
    """
    latest = latest_by_incarnation(records)
    merged = MergedCounters(bins=list(bins))
    open_by_incarnation = {incarnation: _open_requests(record) for incarnation, record in latest.items()}
    for _, record in sorted(latest.items()):
        _add_record(merged, record, quantiles)
    for completion in _first_completions(latest):
        _add_adopted(merged, completion, latest.get(completion.incarnation), open_by_incarnation)
    for incarnation, open_requests in open_by_incarnation.items():
        _add_open(merged, open_requests.values(), deadlines_ms if incarnation in ended else None)
    return merged


def _open_requests(record: CountersRecord) -> dict[int, OpenRequest]:
    return {request.number: request for request in record.open_requests}


def _add_record(merged: MergedCounters, record: CountersRecord, quantiles: bool) -> None:
    merged.incarnations += 1
    merged.unassigned += record.unassigned
    merged.withheld += record.withheld
    for cell in record.cells:
        key = (cell.arm, cell.class_index)
        total = merged.cells.setdefault(key, OutcomeCounts(*key))
        for ending in RequestEnding:
            total.add(ending, cell.count_of(ending))
        if quantiles and cell.histogram:
            merged.histograms.setdefault(key, new_histogram()).decode_and_add(cell.histogram)
    for moments in record.moments:
        total_moments = merged.moments_of(moments.group, moments.arm, moments.class_index)
        total_moments.add(moments.count, moments.total_ms, moments.sum_of_squares)
    for block in record.blocks:
        block_key = (block.block, block.class_index)
        empty = BlockCosts(block.block, block.arm, block.class_index)
        merged.blocks.setdefault(block_key, empty).add(block.count, block.total_ms)


def _first_completions(latest: Mapping[str, CountersRecord]) -> Collection[AdoptedCompletion]:
    """Return one completion of each adopted request: the one of the first adopter by name."""
    completions: dict[tuple[str, int], AdoptedCompletion] = {}
    for _, record in sorted(latest.items()):
        for completion in record.adopted_completions:
            completions.setdefault((completion.incarnation, completion.number), completion)
    return completions.values()


def _add_adopted(
    merged: MergedCounters,
    completion: AdoptedCompletion,
    origin: CountersRecord | None,
    open_by_incarnation: dict[str, dict[int, OpenRequest]],
) -> None:
    """Count an adopted request's end; `origin` is the record of its first incarnation, if known."""
    if origin is not None:
        open_requests = open_by_incarnation[origin.incarnation]
        if completion.number <= origin.highest_number and completion.number not in open_requests:
            return  # it ended at that incarnation, which counted it, or was in no arm
        open_requests.pop(completion.number, None)
    merged.adopted += 1
    arm_and_class = (completion.arm, completion.class_index)
    count_outcome(merged.cells, merged.histograms, arm_and_class, completion.ending, completion.cost_ms)
    merged.moments_of(completion.group, *arm_and_class).add_request(completion.cost_ms)


def _add_open(
    merged: MergedCounters, open_requests: Iterable[OpenRequest], deadlines_ms: Mapping[int, float] | None
) -> None:
    """Count requests as open or, if `deadlines_ms` is given, as lost at the cost of their deadlines."""
    for request in open_requests:
        arm_and_class = (request.arm, request.class_index)
        if deadlines_ms is None:
            merged.open_requests[arm_and_class] += 1
        else:
            merged.lost[arm_and_class] += 1
            moments = merged.moments_of(request.group, *arm_and_class)
            moments.add_request(deadlines_ms[request.class_index])
