"""What the mixed Differences-in-Q estimate rests on: short time bins, counted by each gateway, added by all.

The paper (12) adds to each request's cost the costs of the next L requests, wherever they go. In a fleet
those are requests of all gateways, and a policy may burden another gateway's requests more than its own. So
no gateway can sum alone: each counts, by bins on the clock that gateways share, which arms its requests had,
what they cost, and how many it held open (the time integral, for Little's law). The bins of all lives are
added, and the estimate multiplies the arms of a bin with all costs of that bin and the `AHEAD` next. Costs of
requests that came before one in its own bin are in the product too, and mean nothing: an arm is drawn
independently of all that was before. A bin is a fifth of a carry time, so that clocks a few milliseconds
apart do no harm.
"""

from __future__ import annotations

from collections.abc import Collection

import msgspec
from msgspec import Struct

AHEAD = 5  # bins that a request is held to burden after its own: one carry time
SEGMENT = 16  # bins of one record
MOST_BINS = 4096  # of one life; the estimate rests on these, all else goes on


class Bin(Struct, array_like=True):
    """One life's part of one bin. `arms`: requests taken, by (group, arm), -1 for none; by metric (all
    classes, then each): `taken`, their `cost` in ms, `held` in requests times ms, and `open` at its start.
    `ended`: arms that got none any more, for a part of it at least: it compares nothing of theirs."""

    number: int
    arms: dict[tuple[int, int], int]
    taken: list[int]
    cost: list[float]
    held: list[float]
    open: list[int]
    ended: list[int]


class Segment(Struct, array_like=True, frozen=True):
    """Some successive bins of one life, written once and never changed."""

    life: str
    bins: list[Bin]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Segment).decode


def read_segment(value: bytes) -> Segment | None:
    """A record from the ledger; None for what is no such thing."""
    try:
        return _decode(value)
    except msgspec.MsgspecError:
        return None


class Bins:
    """Counts one life's bins; times are on the shared clock, in ms. `metrics`: 1 + classes."""

    def __init__(self, life: str, metrics: int, carry_ms: float) -> None:
        self.life, self.metrics, self.width = life, metrics, carry_ms / AHEAD
        self.open = [0] * metrics
        self.at = 0.0  # up to where it is counted
        self.bins: list[Bin] = []  # the last is going on
        self.pending: dict[int, int] = {}  # requests that are not over, by the bin they were taken in
        self.ended: list[int] = []
        self.dropped = 0  # bins that are in a segment already

    def _begin(self, number: int) -> None:
        zeros = [0.0] * self.metrics
        still, ended = list(self.open), list(self.ended)
        self.bins.append(Bin(number, {}, [0] * self.metrics, zeros, list(zeros), still, ended))

    def advance(self, now: float) -> None:
        """Time goes on. A clock that is set back stands still here until it comes to where it was."""
        if not self.bins:
            self.at = now
            self._begin(int(now // self.width))
        while self.at < now:
            last = self.bins[-1]
            until = min((last.number + 1) * self.width, now)
            for n, count in enumerate(self.open):
                last.held[n] += count * (until - self.at)
            self.at = until
            if until == (last.number + 1) * self.width:
                self._begin(last.number + 1)

    def arm_ended(self, arm: int) -> None:
        self.ended.append(arm)
        if self.bins:
            self.bins[-1].ended.append(arm)

    @property
    def full(self) -> bool:
        return self.dropped + len(self.bins) > MOST_BINS

    def take(self, now: float, arm: int, cls: int, group: int) -> int:
        """A request is taken; returns its bin. One of `arm` -1 is in no arm, but pays for what others do."""
        self.advance(now)
        last = self.bins[-1]
        last.arms[group, arm] = last.arms.get((group, arm), 0) + 1
        self.pending[last.number] = self.pending.get(last.number, 0) + 1
        for metric in (0, cls + 1):
            self.open[metric] += 1
            last.taken[metric] += 1
        return last.number

    def end(self, now: float, number: int, cls: int, cost_ms: float) -> None:
        """A request of that bin is over, and cost so much (its deadline if it was not served)."""
        self.advance(now)
        self.pending[number] -= 1
        found = self.bins[number - self.bins[0].number]
        for metric in (0, cls + 1):
            self.open[metric] -= 1
            found.cost[metric] += cost_ms

    def segment(self) -> Segment | None:
        """The next bins, once all of their requests are over."""
        some = self.bins[:SEGMENT]
        if len(self.bins) <= SEGMENT or any(self.pending.get(b.number) for b in some):
            return None
        return Segment(self.life, some)

    def drop(self) -> None:
        """The segment stands in the ledger."""
        for b in self.bins[:SEGMENT]:
            self.pending.pop(b.number, None)
        self.dropped += SEGMENT
        del self.bins[:SEGMENT]


def written(segment: Segment) -> bytes:
    return _encode(segment)


class Total:
    """The bins of all lives added up, each life's once, in whatever order and however often they come."""

    def __init__(self) -> None:
        self.bins: dict[int, Bin] = {}
        self.last: dict[str, int] = {}  # bin that each life told last
        self._seen: set[tuple[str, int]] = set()

    def add(self, segment: Segment) -> None:
        key = (segment.life, segment.bins[0].number if segment.bins else -1)
        if key in self._seen or not segment.bins:
            return
        self._seen.add(key)
        self.last[segment.life] = max(self.last.get(segment.life, -1), segment.bins[-1].number)
        for b in segment.bins:
            total = self.bins.get(b.number)
            if total is None:
                lists = b.taken[:], b.cost[:], b.held[:], b.open[:], b.ended[:]
                self.bins[b.number] = Bin(b.number, dict(b.arms), *lists)
                continue
            total.ended += [arm for arm in b.ended if arm not in total.ended]
            for arm, n in b.arms.items():
                total.arms[arm] = total.arms.get(arm, 0) + n
            for metric in range(len(b.cost)):
                total.taken[metric] += b.taken[metric]
                total.cost[metric] += b.cost[metric]
                total.held[metric] += b.held[metric]
                total.open[metric] += b.open[metric]

    def known(self, over: Collection[str]) -> list[Bin]:
        """In order, up to where the slowest life that is not `over` has told."""
        living = [n for life, n in self.last.items() if life not in over]
        until = min(living, default=max(self.last.values(), default=-1))
        return [self.bins[n] for n in sorted(self.bins) if n <= until]
