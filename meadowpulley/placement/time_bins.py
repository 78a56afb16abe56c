"""Short time bins: each gateway records its own, and the bins of all gateways are added up.

The mixed Differences-in-Q estimate uses them. The paper's equation (12) adds to each request's cost the costs
of the next L requests, wherever they go. In a fleet those are requests of all gateways, and a policy may add
more to the cost of another gateway's requests than to its own, so no gateway can compute the sum alone. Each
records, by bins on the clock that gateways share, the arms and the costs of its requests and how many were
outstanding (the time integral, for Little's law). The bins of all incarnations are added up, and the estimate
multiplies the arms of a bin by all costs of that bin and the next `LOOKAHEAD_BINS`. The product also includes
the costs of requests that came earlier in the same bin; they add no bias, because an arm is drawn
independently of everything before it. A bin is a fifth of the carry time, so that clocks that differ by a few
milliseconds do no harm.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec
from msgspec import Struct

from meadowpulley.placement.metrics import metrics_of

# A request is assumed to add to the costs of its own bin and of this many bins after it; they last one carry
# time together.
LOOKAHEAD_BINS = 5
BINS_PER_SEGMENT = 16  # number of time bins in one ledger record
# Number of bins after which an incarnation records no more of them. Later requests count in all other
# results; the mixed Differences-in-Q estimate is based on the recorded bins only.
MAX_BINS = 4096


class TimeBin(Struct, array_like=True):
    """One incarnation's part of a time bin, or the sum over incarnations.

    `arm_counts` are the accepted requests by (group, arm); arm -1 is that of requests in no arm. `accepted`,
    `cost_ms`, `outstanding_ms` (requests times ms) and `outstanding_at_start` are indexed by metric: index 0
    is the sum over all classes, index n + 1 is the class of index n. `ended_arms` are the arms that got no
    more requests for at least a part of the bin; they are not compared in it.
    """

    number: int
    arm_counts: dict[tuple[int, int], int]
    accepted: list[int]
    cost_ms: list[float]
    outstanding_ms: list[float]
    outstanding_at_start: list[int]
    ended_arms: list[int]

    def copy(self) -> TimeBin:
        """Return a copy that shares no list or dict with this bin."""
        return TimeBin(
            number=self.number,
            arm_counts=dict(self.arm_counts),
            accepted=list(self.accepted),
            cost_ms=list(self.cost_ms),
            outstanding_ms=list(self.outstanding_ms),
            outstanding_at_start=list(self.outstanding_at_start),
            ended_arms=list(self.ended_arms),
        )

    def add(self, other: TimeBin) -> None:
        """Add another incarnation's part of the same bin."""
        self.ended_arms += [arm for arm in other.ended_arms if arm not in self.ended_arms]
        for key, count in other.arm_counts.items():
            self.arm_counts[key] = self.arm_counts.get(key, 0) + count
        for metric in range(len(other.cost_ms)):
            self.accepted[metric] += other.accepted[metric]
            self.cost_ms[metric] += other.cost_ms[metric]
            self.outstanding_ms[metric] += other.outstanding_ms[metric]
            self.outstanding_at_start[metric] += other.outstanding_at_start[metric]


class BinSegment(Struct, array_like=True, frozen=True):
    """Successive bins of one incarnation, as one record that is written once and never changed."""

    incarnation: str
    bins: list[TimeBin]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(BinSegment).decode


def encode_segment(segment: BinSegment) -> bytes:
    """Encode a segment as the value of its record."""
    return _encode(segment)


def decode_segment(value: bytes) -> BinSegment | None:
    """Decode a record's value; None if it is not a segment."""
    try:
        return _decode(value)
    except msgspec.MsgspecError:
        return None


class BinRecorder:
    """Records one incarnation's time bins. Times are in ms on the clock that gateways share.

    Lists are indexed by metric: index 0 is the sum over all classes, index n + 1 is the class of index n.
    """

    def __init__(self, incarnation: str, metric_count: int, carry_ms: float) -> None:
        self.incarnation = incarnation
        self.metric_count = metric_count
        self.bin_width_ms = carry_ms / LOOKAHEAD_BINS
        self.outstanding = [0] * metric_count
        self.advanced_to = 0.0
        self.bins: list[TimeBin] = []  # bins that are not yet in a segment; the last one is the current bin
        self.pending: dict[int, int] = {}  # number of outstanding requests, by the bin of their acceptance
        self.ended_arms: list[int] = []
        self.discarded_bins = 0  # number of bins that are in a segment already

    def _start_bin(self, number: int) -> None:
        self.bins.append(
            TimeBin(
                number=number,
                arm_counts={},
                accepted=[0] * self.metric_count,
                cost_ms=[0.0] * self.metric_count,
                outstanding_ms=[0.0] * self.metric_count,
                outstanding_at_start=list(self.outstanding),
                ended_arms=list(self.ended_arms),
            )
        )

    def advance(self, now: float) -> None:
        """Integrate the outstanding requests up to `now`, and start the bins that begin by then.

        A clock that is set back has no effect until it has caught up.
        """
        if not self.bins:
            self.advanced_to = now
            self._start_bin(int(now // self.bin_width_ms))
        while self.advanced_to < now:
            last = self.bins[-1]
            bin_end = (last.number + 1) * self.bin_width_ms
            until = min(bin_end, now)
            for metric, count in enumerate(self.outstanding):
                last.outstanding_ms[metric] += count * (until - self.advanced_to)
            self.advanced_to = until
            if until == bin_end:
                self._start_bin(last.number + 1)

    def end_arm(self, arm: int) -> None:
        """Mark an arm as ended, from the current bin on."""
        self.ended_arms.append(arm)
        if self.bins:
            self.bins[-1].ended_arms.append(arm)

    @property
    def is_full(self) -> bool:
        """Whether no more bins may be recorded."""
        return self.discarded_bins + len(self.bins) > MAX_BINS

    def record_accepted(self, now: float, arm: int, class_index: int, group: int) -> int:
        """Record an accepted request and return its bin's number.

        A request of arm -1 is in no arm, but its cost counts, because requests of the arms may add to it.
        """
        self.advance(now)
        last = self.bins[-1]
        last.arm_counts[group, arm] = last.arm_counts.get((group, arm), 0) + 1
        self.pending[last.number] = self.pending.get(last.number, 0) + 1
        for metric in metrics_of(class_index):
            self.outstanding[metric] += 1
            last.accepted[metric] += 1
        return last.number

    def record_ended(self, now: float, number: int, class_index: int, cost_ms: float) -> None:
        """Record the end and the cost of a request that was accepted in the bin `number`.

        The cost is the request's deadline if it was not served.
        """
        self.advance(now)
        self.pending[number] -= 1
        time_bin = self.bins[number - self.bins[0].number]
        for metric in metrics_of(class_index):
            self.outstanding[metric] -= 1
            time_bin.cost_ms[metric] += cost_ms

    def next_segment(self) -> BinSegment | None:
        """Return the next segment once its bins are over and all of their requests ended, else None."""
        first_bins = self.bins[:BINS_PER_SEGMENT]
        has_pending = any(self.pending.get(time_bin.number) for time_bin in first_bins)
        if len(self.bins) <= BINS_PER_SEGMENT or has_pending:
            return None
        return BinSegment(self.incarnation, first_bins)

    def discard_segment(self) -> None:
        """Drop the bins of the segment that `next_segment` returned, once the record writer has it."""
        for time_bin in self.bins[:BINS_PER_SEGMENT]:
            self.pending.pop(time_bin.number, None)
        self.discarded_bins += BINS_PER_SEGMENT
        del self.bins[:BINS_PER_SEGMENT]


class BinTotals:
    """Sums of all incarnations' bins; segments may be added in any order, and more than once."""

    def __init__(self) -> None:
        self.bins: dict[int, TimeBin] = {}
        self.last_bin_by_incarnation: dict[str, int] = {}
        self._added_segments: set[tuple[str, int]] = set()

    def add(self, segment: BinSegment) -> None:
        """Add a segment, unless it was added before."""
        if not segment.bins:
            return
        incarnation = segment.incarnation
        key = (incarnation, segment.bins[0].number)
        if key in self._added_segments:
            return
        self._added_segments.add(key)
        last = self.last_bin_by_incarnation.get(incarnation, -1)
        self.last_bin_by_incarnation[incarnation] = max(last, segment.bins[-1].number)
        for time_bin in segment.bins:
            total = self.bins.get(time_bin.number)
            if total is None:
                self.bins[time_bin.number] = time_bin.copy()
            else:
                total.add(time_bin)

    def complete_bins(self, ended: Collection[str]) -> list[TimeBin]:
        """Return the bins up to the last that every incarnation not in `ended` has written, in order."""
        last_bins = self.last_bin_by_incarnation
        last_of_live = [number for incarnation, number in last_bins.items() if incarnation not in ended]
        last_of_any = max(last_bins.values(), default=-1)
        complete_until = min(last_of_live, default=last_of_any)
        return [self.bins[number] for number in sorted(self.bins) if number <= complete_until]
