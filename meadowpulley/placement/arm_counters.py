"""Count one incarnation's requests by arm and class, each exactly once, for its record in the ledger."""

from __future__ import annotations

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

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of completion times: microseconds, three digits, up to ten minutes."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class ArmCounters:
    """What one incarnation counts while it runs."""

    def __init__(self, incarnation: str) -> None:
        self.record = CountersRecord(incarnation)
        self.cells: dict[tuple[int, int], OutcomeCounts] = {}  # by (arm, class), as the histograms
        self.histograms: dict[tuple[int, int], HdrHistogram] = {}
        self.moments: dict[tuple[int, int, int], CostMoments] = {}  # by (group, arm, class)
        self.blocks: dict[tuple[int, int], BlockCosts] = {}  # by (block, class)
        self.open_requests: dict[int, OpenRequest] = {}

    def note_number(self, number: int) -> None:
        """Note that a request of the experiment's classes was accepted, in an arm or not.

        Whoever adopts one that is neither open here nor above this number counts it as ended, or as never
        counted.
        """
        self.record.highest_number = max(self.record.highest_number, number)

    def record_accepted(self, request: OpenRequest) -> None:
        """Record a request that was accepted in an arm."""
        self.open_requests[request.number] = request
        self.note_number(request.number)

    def record_ended(self, number: int, ending: RequestEnding, cost_ms: float) -> None:
        """Record the end of a request that was accepted here."""
        request = self.open_requests.pop(number)
        count_outcome(self.cells, self.histograms, request.arm, request.class_index, ending, cost_ms)
        key = (request.group, request.arm, request.class_index)
        self.moments.setdefault(key, CostMoments(*key)).add_request(cost_ms)

    def record_in_block(self, block: int, arm: int, class_index: int, cost_ms: float) -> None:
        """Record the cost of a request that was accepted in a time block of a switchback."""
        costs = self.blocks.setdefault((block, class_index), BlockCosts(block, arm, class_index))
        costs.add(1, cost_ms)

    def snapshot(self) -> CountersRecord:
        """Return the record as of now; it goes on changing."""
        for key, histogram in self.histograms.items():
            self.cells[key].histogram = histogram.encode().decode()
        record = self.record
        record.open_requests = list(self.open_requests.values())
        record.cells = list(self.cells.values())
        record.moments = list(self.moments.values())
        record.blocks = list(self.blocks.values())
        return record

    def encode_next_revision(self) -> bytes:
        """Return the value of the record's next revision."""
        self.record.revision += 1
        return encode_counters(self.snapshot())


def count_outcome(
    cells: dict[tuple[int, int], OutcomeCounts],
    histograms: dict[tuple[int, int], HdrHistogram],
    arm: int,
    class_index: int,
    ending: RequestEnding,
    cost_ms: float,
) -> None:
    """Count one ended request in the outcomes and histograms by (arm, class)."""
    key = (arm, class_index)
    cells.setdefault(key, OutcomeCounts(arm, class_index)).add(ending)
    if ending is RequestEnding.SERVED:
        if key not in histograms:
            histograms[key] = new_histogram()
        histograms[key].record_value(min(max(int(cost_ms * 1000), 1), MAX_LATENCY_US))
