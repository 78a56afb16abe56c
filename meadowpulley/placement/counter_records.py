"""The stored counters of one incarnation: the structures of its record, encoded as MessagePack.

The encoded names, their order, and the values of `RequestEnding` are a stored format, which stays even where
the Python names differ. A record lists the requests that are still open, so that an incarnation that adopts
one of them can count its end. It does so in an `AdoptedCompletion`, with the incarnation that accepted the
request first and the request's number there.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import Struct, field

RECORD_FORMAT = 1


class RequestEnding(StrEnum):
    """How a request ended; the values are stored."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "gone"  # its client left, or had an error


class OutcomeCounts(Struct):
    """Ended requests of one arm and class; `histogram` is an HdrHistogram (us) of the served ones."""

    arm: int
    class_index: int = field(name="cls")
    served: int = 0
    rejected: int = field(name="refused", default=0)
    failed: int = 0
    disconnected: int = field(name="gone", default=0)
    histogram: str = ""

    @property
    def ended(self) -> int:
        """The number of ended requests, however they ended."""
        return self.served + self.rejected + self.failed + self.disconnected

    def add(self, ending: RequestEnding, count: int = 1) -> None:
        """Count requests that ended in this way."""
        match ending:
            case RequestEnding.SERVED:
                self.served += count
            case RequestEnding.REJECTED:
                self.rejected += count
            case RequestEnding.FAILED:
                self.failed += count
            case RequestEnding.DISCONNECTED:
                self.disconnected += count

    def count_of(self, ending: RequestEnding) -> int:
        """Return how many requests ended in this way."""
        match ending:
            case RequestEnding.SERVED:
                return self.served
            case RequestEnding.REJECTED:
                return self.rejected
            case RequestEnding.FAILED:
                return self.failed
            case RequestEnding.DISCONNECTED:
                return self.disconnected


class CostMoments(Struct, array_like=True):
    """Sum and sum of squares of the costs in one group, arm and class, in ms and ms squared.

    A request costs its completion time, or its class's deadline if it was not served.
    """

    group: int
    arm: int
    class_index: int
    count: int = 0
    total_ms: float = 0.0
    sum_of_squares: float = 0.0

    def add(self, count: int, total_ms: float, sum_of_squares: float) -> None:
        """Add the count, sum and sum of squares of more requests."""
        self.count += count
        self.total_ms += total_ms
        self.sum_of_squares += sum_of_squares

    def add_request(self, cost_ms: float) -> None:
        """Add one request."""
        self.add(1, cost_ms, cost_ms**2)


class BlockCosts(Struct, array_like=True):
    """Costs (ms) of one class in a switchback time block, without requests of its settling time."""

    block: int
    arm: int
    class_index: int
    count: int = 0
    total_ms: float = 0.0

    def add(self, count: int, total_ms: float) -> None:
        """Add the count and the total cost (ms) of more requests."""
        self.count += count
        self.total_ms += total_ms


class OpenRequest(Struct, array_like=True, frozen=True):
    """An accepted request that has not ended; `number` is its number at this incarnation."""

    number: int
    arm: int
    class_index: int
    group: int


class AdoptedCompletion(Struct, array_like=True, frozen=True):
    """The end of a request that another incarnation accepted first."""

    incarnation: str
    number: int
    arm: int
    class_index: int
    group: int
    ending: RequestEnding
    cost_ms: float


class CountersRecord(Struct):
    """All that one incarnation counted since its start; each revision replaces the one before.

    `highest_number` is the number of the last request that it accepted first and that others may adopt, -1 if
    there is none; numbers rise. Requests that nobody can adopt have numbers below 0. `unassigned` counts
    requests of the experiment's classes whose unit is in no arm or in one that has ended, and `withheld`
    those that were in no arm because assignment was paused or the experiment was over.
    """

    incarnation: str = field(name="life")
    record_format: int = field(name="form", default=RECORD_FORMAT)
    revision: int = field(name="write", default=0)
    highest_number: int = field(name="highest", default=-1)
    unassigned: int = field(name="outside", default=0)
    withheld: int = field(name="held", default=0)
    open_requests: list[OpenRequest] = field(name="open", default_factory=list)
    cells: list[OutcomeCounts] = []
    moments: list[CostMoments] = []
    blocks: list[BlockCosts] = []
    adopted_completions: list[AdoptedCompletion] = field(name="adopted", default_factory=list)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(CountersRecord).decode


def encode_counters(record: CountersRecord) -> bytes:
    """Encode a record as its value in the ledger."""
    return _encode(record)


def decode_counters(value: bytes) -> CountersRecord | None:
    """Decode a record's value; None if it is damaged or of another format."""
    try:
        record = _decode(value)
    except msgspec.MsgspecError:
        return None
    return record if record.record_format == RECORD_FORMAT else None
