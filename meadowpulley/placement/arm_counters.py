"""Count one incarnation's requests by arm and class, each exactly once, for its record in the ledger."""

from __future__ import annotations

from typing import TypeAlias

from hdrh.histogram import HdrHistogram

from meadowpulley.placement.counter_records import (
    BlockCosts,
    CostMoments,
    CountersRecord,
    OpenRequest,
    OutcomeCounts,
    RequestEnding,
    encode_counters,
)

MAX_LATENCY_US = 600_000_000  # ten minutes; longer times are recorded as this
SIGNIFICANT_DIGITS = 3  # decimal digits that the histograms keep of a completion time
US_PER_MS = 1000

ArmAndClass: TypeAlias = tuple[int, int]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of completion times in us, to three digits and up to ten minutes."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class ArmCounters:
    """The request counters of one running incarnation, by arm and class."""

    def __init__(self, incarnation: str) -> None:
        self.record = CountersRecord(incarnation)
        self.cells: dict[ArmAndClass, OutcomeCounts] = {}
        self.histograms: dict[ArmAndClass, HdrHistogram] = {}
        self.moments: dict[tuple[int, int, int], CostMoments] = {}  # by (group, arm, class)
        self.blocks: dict[tuple[int, int], BlockCosts] = {}  # by (block, class)
        self.open_requests: dict[int, OpenRequest] = {}

    def note_number(self, number: int) -> None:
        """Record the number of an accepted request of the experiment's classes, in an arm or not.

        `merge_counters` ignores the adopted end of a request that is not open here and whose number is not
        above the highest recorded one: it ended here, or it was in no arm.
        """
        self.record.highest_number = max(self.record.highest_number, number)

    def record_accepted(self, request: OpenRequest) -> None:
        """Record as open a request that was accepted in an arm."""
        self.open_requests[request.number] = request
        self.note_number(request.number)

    def record_ended(self, number: int, ending: RequestEnding, cost_ms: float) -> None:
        """Record the end and the cost (ms) of a request that this incarnation accepted in an arm."""
        request = self.open_requests.pop(number)
        arm_and_class = (request.arm, request.class_index)
        count_outcome(self.cells, self.histograms, arm_and_class, ending, cost_ms)
        key = (request.group, request.arm, request.class_index)
        self.moments.setdefault(key, CostMoments(*key)).add_request(cost_ms)

    def record_in_block(self, block: int, arm: int, class_index: int, cost_ms: float) -> None:
        """Add a request's cost (ms) to the switchback time block in which it was accepted."""
        costs = self.blocks.setdefault((block, class_index), BlockCosts(block, arm, class_index))
        costs.add(1, cost_ms)

    def snapshot(self) -> CountersRecord:
        """Return the record with the current counts; it is the live object, and later calls change it."""
        for key, histogram in self.histograms.items():
            self.cells[key].histogram = histogram.encode().decode()
        record = self.record
        record.open_requests = list(self.open_requests.values())
        record.cells = list(self.cells.values())
        record.moments = list(self.moments.values())
        record.blocks = list(self.blocks.values())
        return record

    def encode_next_revision(self) -> bytes:
        """Increment the record's revision and return the encoded record, to be written to the ledger."""
        self.record.revision += 1
        return encode_counters(self.snapshot())


def count_outcome(
    cells: dict[ArmAndClass, OutcomeCounts],
    histograms: dict[ArmAndClass, HdrHistogram],
    arm_and_class: ArmAndClass,
    ending: RequestEnding,
    cost_ms: float,
) -> None:
    """Count one ended request: its outcome, and its completion time if it was served."""
    cells.setdefault(arm_and_class, OutcomeCounts(*arm_and_class)).add(ending)
    if ending is not RequestEnding.SERVED:
        return
    if arm_and_class not in histograms:
        histograms[arm_and_class] = new_histogram()
    latency_us = int(cost_ms * US_PER_MS)
    histograms[arm_and_class].record_value(min(max(latency_us, 1), MAX_LATENCY_US))
