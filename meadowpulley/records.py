"""What a balancer keeps of servers, requests and attempts. Plain records: nothing here decides."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from statistics import fmean, pstdev
from typing import Any

from meadowpulley import interface as i
from meadowpulley.digests import Digest


class Server:
    """One start of one server. A restart or another build under the same id is a new one."""

    def __init__(self, entry: i.ServerEntry) -> None:
        self.id, self.cell, self.zone, self.kind = entry.server, entry.cell, entry.zone, entry.kind
        self.build, self.started, self.state = entry.build, entry.started_ms, entry.state
        self.out = 0  # this balancer's attempts that are out
        self.slot = self.left = -1  # cold: the slot of the span, and what may still be sent in it
        self.fail_share = self.rest_until = 0.0
        self.rest_ms = 0.0  # 0 while trusted; else the rest it has had, and one request at a time goes there
        self.failed_at = self.heard = -math.inf  # last failure, last answer of any kind


class Held:
    """A request that is owed its final answer."""

    def __init__(self, r: i.Request, cls: i.RequestClass, now: float, per_class: bool) -> None:
        self.r, self.cls, self.arrived = r, cls, now
        self.tries = self.out = 0
        self.counted = r.cls if per_class else -1  # with which requests its exposure is counted
        self.tried: list[int] = []
        self.maybe: list[Attempt] = []  # attempts that ran, may have run, or are still out
        self.streaming = self.tossed = False  # tossed: the coin chose between both builds
        self.asked: list[int] = []  # servers that were probed for it

    def sent(self, attempt: Attempt) -> None:
        self.tries, self.out = self.tries + 1, self.out + 1
        self.tried.append(attempt.server.id)
        self.maybe.append(attempt)


class Attempt:
    """One attempt; the first of each request is logged as a sample of its build's costs."""

    def __init__(self, held: Held, server: Server, queue: float, sent: float, warmth: float) -> None:
        self.held, self.n, self.server, self.queue = held, held.tries, server, queue
        self.sent, self.warmth = sent, warmth
        self.tossed = False  # the coin chose between both builds
        self.latency: float | None = None
        self.lost = False  # no answer, or none whose time is known: that is not the build's doing


class Rate:
    """A count that fades with the given memory, as an amount per millisecond."""

    def __init__(self, memory_ms: float) -> None:
        self.memory_ms, self.sum, self.at = memory_ms, 0.0, 0.0

    def value(self, now: float, added: float = 0.0) -> float:
        self.sum, self.at = self.sum * math.exp((self.at - now) / self.memory_ms) + added, now
        return self.sum / self.memory_ms


FRINGE_MS = 1000.0  # a window keeps so much more than its length, for who counts generously


class Window:
    """When something happened, for as long as that may be asked for."""

    def __init__(self, memory_ms: float) -> None:
        self.memory_ms = memory_ms
        self.times: deque[float] = deque()

    def add(self, now: float) -> None:
        self.times.append(now)
        self.within(now, FRINGE_MS)

    def within(self, now: float, more_ms: float = 0.0) -> int:
        """How often lately; what was longer ago is forgotten."""
        while self.times and self.times[0] < now - self.memory_ms - more_ms:
            self.times.popleft()
        return len(self.times)


class Seen:
    """What is known of one build, kept while it is the newest or the one before."""

    def __init__(self, failures: Any, pooled: Any, sent: defaultdict[int, Window]) -> None:
        self.failures, self.pooled = failures, pooled  # by own outcomes, and by those of all gateways
        self.lost = 0.0  # log odds that its requests time out, by all gateways
        self.fail_usual: dict[tuple[int, bool], float] = {}  # by class, and whether by a tally
        self.hold_began: dict[int, float] = {}  # by stage
        self.sent = sent  # attempts, by what is counted


def summed(sample: list[float]) -> tuple[int, float, float]:
    """Count, mean and deviation (of the whole, not of a sample); none of nothing."""
    return (len(sample), fmean(sample), pstdev(sample)) if sample else (0, 0.0, 0.0)


class Ballot:
    """The vote last sent, and what became of it."""

    def __init__(self) -> None:
        self.vote = (-1, 0, i.Verdict.NONE)
        self.sent = self.stands_until = self.after = -math.inf  # after: none before, as too many came
        self.answered = True


class Swing:
    """Times without traffic to the trial build, while all is slow."""

    def __init__(self) -> None:
        self.off, self.count, self.at = False, 0, -math.inf  # at: when it last began or ended
        self.since = math.inf  # slow since then, with no earlier build to compare


class Peers:
    """What gateways tell each other. `life` is drawn at the start; `blur`: how many seconds the digests of
    one second may be about."""

    def __init__(self, life: int, history: int, blur: int) -> None:
        self.life, self.tellings = life, 0  # what the others are told of this one, and how often it told
        self.untold: deque[tuple[int, int, int, int, int]] = deque(maxlen=history)
        self.told_by: dict[tuple[int, int], int] = {}  # the last that each told, by sender and life
        self.strays = 0  # what came from others and could not be used
        self.pooled: list[tuple[int, Digest]] = []  # of this second, by all
        self.shares: dict[int, deque[float]] = defaultdict(lambda: deque(maxlen=blur))  # the earlier build's
        self.troubled = -math.inf  # when the earlier build last failed somewhere, by all
