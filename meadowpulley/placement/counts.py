"""What gateways count, and how it is put together: each request once, however they die.

Each life of a gateway writes one record of its own, with all that it counted since its start; a later one
replaces it. The records of all lives are merged by life: in any order, any number of times, with the same
result. A record names the requests that are still open, so that whoever adopts one may count its end: it
names the life that took it first and its number there, and the merge finds it in that life's record, as open
or as not yet written. What is open in the record of a life that has ended, and was adopted by nobody, is
lost.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Literal, TypeAlias

import msgspec
from hdrh.histogram import HdrHistogram
from msgspec import Struct

from meadowpulley.placement.contrast import Bin

FORM = 1
LONGEST_US = 600_000_000
How: TypeAlias = Literal["served", "refused", "failed", "gone"]  # gone: its client left, or had an error


def new_histogram() -> HdrHistogram:
    """Completion times in microseconds, three digits, up to ten minutes."""
    return HdrHistogram(1, LONGEST_US, 3)


class Cell(Struct):
    """Requests of one arm and class that are over. `histogram`: of those served, encoded."""

    arm: int
    cls: int
    served: int = 0
    refused: int = 0
    failed: int = 0
    gone: int = 0
    histogram: str = ""

    @property
    def ended(self) -> int:
        return self.served + self.refused + self.failed + self.gone


class Moment(Struct, array_like=True):
    """Cost of one group, arm and class: completion time, or the class's deadline if not served; in ms."""

    group: int
    arm: int
    cls: int
    n: int = 0
    total: float = 0.0
    squares: float = 0.0

    def add(self, n: int, total: float, squares: float) -> None:
        self.n, self.total, self.squares = self.n + n, self.total + total, self.squares + squares


class Block(Struct, array_like=True):
    """Cost of one class in one time block of a switchback, without its first part."""

    block: int
    arm: int
    cls: int
    n: int = 0
    total: float = 0.0


class Open(Struct, array_like=True, frozen=True):
    number: int
    arm: int
    cls: int
    group: int


class AdoptedEnd(Struct, array_like=True, frozen=True):
    """The end of a request that another life took first."""

    life: str
    number: int
    arm: int
    cls: int
    group: int
    how: How
    cost_ms: float


class Count(Struct):
    """All that one life counted. `highest`: number of the last request that it took as its own and that
    others may adopt, -1 if none; numbers rise. Those that nobody can adopt have numbers below 0.

    `write`: how many times it was written. `outside`: requests of its classes in no arm; `held`: in none as
    the experiment was held, or over.
    """

    life: str
    form: int = FORM
    write: int = 0
    highest: int = -1
    outside: int = 0
    held: int = 0
    open: list[Open] = []
    cells: list[Cell] = []
    moments: list[Moment] = []
    blocks: list[Block] = []
    adopted: list[AdoptedEnd] = []


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Count).decode


def read_count(value: bytes) -> Count | None:
    """A record from the ledger; None for what is damaged or of another form."""
    try:
        found = _decode(value)
    except msgspec.MsgspecError:
        return None
    return found if found.form == FORM else None


class Book:
    """What one life counts, while it goes on."""

    def __init__(self, life: str) -> None:
        self.count = Count(life)
        self.cells: dict[tuple[int, int], Cell] = {}
        self.histograms: dict[tuple[int, int], HdrHistogram] = {}
        self.moments: dict[tuple[int, int, int], Moment] = {}
        self.blocks: dict[tuple[int, int], Block] = {}
        self.open: dict[int, Open] = {}

    def saw(self, number: int) -> None:
        """A request of the experiment's classes was taken, in an arm or not: who adopts one that is neither
        open here nor later than this counts it as over, or as never counted."""
        self.count.highest = max(self.count.highest, number)

    def took(self, taken: Open) -> None:
        self.open[taken.number] = taken
        self.saw(taken.number)

    def ended(self, number: int, how: How, cost_ms: float) -> None:
        """An own request is over."""
        taken = self.open.pop(number)
        key = (taken.arm, taken.cls)
        _put(self.cells, self.histograms, key, how, cost_ms)
        moment = self.moments.setdefault((taken.group, *key), Moment(taken.group, *key))
        moment.add(1, cost_ms, cost_ms**2)

    def in_block(self, block: int, arm: int, cls: int, cost_ms: float) -> None:
        found = self.blocks.setdefault((block, cls), Block(block, arm, cls))
        found.n, found.total = found.n + 1, found.total + cost_ms

    def current(self) -> Count:
        """The record as it stands."""
        for key, histogram in self.histograms.items():
            self.cells[key].histogram = histogram.encode().decode()
        c = self.count
        c.open, c.cells = list(self.open.values()), list(self.cells.values())
        c.moments, c.blocks = list(self.moments.values()), list(self.blocks.values())
        return c

    def written(self) -> bytes:
        self.count.write += 1
        return _encode(self.current())


def _put(
    cells: dict[tuple[int, int], Cell],
    histograms: dict[tuple[int, int], HdrHistogram],
    key: tuple[int, int],
    how: How,
    cost_ms: float,
) -> None:
    cell = cells.setdefault(key, Cell(*key))
    setattr(cell, how, getattr(cell, how) + 1)
    if how == "served":
        if key not in histograms:
            histograms[key] = new_histogram()
        histograms[key].record_value(min(max(int(cost_ms * 1000), 1), LONGEST_US))


@dataclass
class Merged:
    """The counts of all lives together, by (arm, class) unless said else."""

    lives: int = 0
    outside: int = 0
    held: int = 0
    adopted: int = 0
    cells: dict[tuple[int, int], Cell] = field(default_factory=dict)
    histograms: dict[tuple[int, int], HdrHistogram] = field(default_factory=dict)
    open: Counter[tuple[int, int]] = field(default_factory=Counter)
    lost: Counter[tuple[int, int]] = field(default_factory=Counter)
    moments: dict[tuple[int, int, int], Moment] = field(default_factory=dict)  # (group, arm, class)
    bins: list[Bin] = field(default_factory=list)
    blocks: dict[tuple[int, int], Block] = field(default_factory=dict)  # (block, class)

    @property
    def requests(self) -> int:
        """Taken in any arm, each once."""
        ended = sum(cell.ended for cell in self.cells.values())
        return ended + sum(self.open.values()) + sum(self.lost.values())


def latest(counts: Iterable[Count]) -> dict[str, Count]:
    """The last record of each life."""
    found: dict[str, Count] = {}
    for count in counts:
        if count.life not in found or found[count.life].write < count.write:
            found[count.life] = count
    return found


def merge(
    counts: Iterable[Count],
    over: Collection[str],
    deadlines_ms: dict[int, float],
    bins: Sequence[Bin] = (),
    quantiles: bool = True,
) -> Merged:
    """Adds the records of all lives up. `over`: lives that have ended; `deadlines_ms`: by class, the cost of
    what was lost; `bins`: of all lives together; `quantiles` False leaves the histograms of lives out."""
    found, merged = latest(counts), Merged(bins=list(bins))
    open_of = {life: {o.number: o for o in count.open} for life, count in found.items()}
    for _, count in sorted(found.items()):
        _add_life(merged, count, quantiles)
    ends: dict[tuple[str, int], AdoptedEnd] = {}
    for _, count in sorted(found.items()):
        for end in count.adopted:
            ends.setdefault((end.life, end.number), end)
    for (life, number), end in ends.items():
        first = found.get(life)
        if first is not None and number <= first.highest and number not in open_of[life]:
            continue  # that life saw its end itself, and counted it
        if first is not None:
            open_of[life].pop(number, None)
        merged.adopted += 1
        key = (end.arm, end.cls)
        _put(merged.cells, merged.histograms, key, end.how, end.cost_ms)
        _moment(merged, end.group, key).add(1, end.cost_ms, end.cost_ms**2)
    for life, still in open_of.items():
        for o in still.values():
            if life in over:
                cost = deadlines_ms[o.cls]
                merged.lost[o.arm, o.cls] += 1
                _moment(merged, o.group, (o.arm, o.cls)).add(1, cost, cost**2)
            else:
                merged.open[o.arm, o.cls] += 1
    return merged


def _moment(merged: Merged, group: int, key: tuple[int, int]) -> Moment:
    return merged.moments.setdefault((group, *key), Moment(group, *key))


def _add_life(merged: Merged, count: Count, quantiles: bool) -> None:
    merged.lives += 1
    merged.outside += count.outside
    merged.held += count.held
    for cell in count.cells:
        key = (cell.arm, cell.cls)
        total = merged.cells.setdefault(key, Cell(*key))
        for how in ("served", "refused", "failed", "gone"):
            setattr(total, how, getattr(total, how) + getattr(cell, how))
        if quantiles and cell.histogram:
            merged.histograms.setdefault(key, new_histogram()).decode_and_add(cell.histogram)
    for m in count.moments:
        _moment(merged, m.group, (m.arm, m.cls)).add(m.n, m.total, m.squares)
    for b in count.blocks:
        block = merged.blocks.setdefault((b.block, b.cls), Block(b.block, b.arm, b.cls))
        block.n, block.total = block.n + b.n, block.total + b.total
