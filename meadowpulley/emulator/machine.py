"""One server: cores shared evenly by the requests that run, a bounded queue, warm-up, and falling over.

Requests that run share the cores (egalitarian processor sharing, at most a core each), so all attain the same
service; a request ends when the service attained since it began equals its work (the virtual-time form of
processor sharing, Parekh and Gallager 1993). With as many slots as cores it is a plain queue with several
servers. Pure: told the time, it never reads one.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from meadowpulley.fleet import Keys, Kind, RuleFigures


class Offer(Enum):
    TAKEN = "taken"
    FULL = "full"  # turned away: it never runs
    DOWN = "down"  # nobody is there


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server. `work_ms` is standard-core milliseconds, `until` when its sender gives it up."""

    number: int
    work_ms: float
    key: int = 0
    until: float = math.inf
    cls: int = 0
    begun: float = math.inf
    dropped: bool = False
    tag: Any = None  # the sender's own
    due: float = field(default=math.inf)  # attained service at which it ends


@dataclass(frozen=True, slots=True)
class Ended:
    job: Job
    at: float
    ran: bool  # False: its time had passed before it could begin


class Machine:
    """The life of one start of one server, from `started` (milliseconds) on; `speed` is times a standard
    core.

    `long_ago`: it started before the run and is warm.
    """

    def __init__(
        self,
        kind: Kind,
        rules: RuleFigures,
        keys: Keys,
        started: float,
        speed: float = 1.0,
        long_ago: bool = False,
    ) -> None:
        self.kind, self.rules, self.keys = kind, rules, keys
        self.started, self.speed, self.long_ago = started, kind.speed * speed, long_ago
        self.slowness = 1.0  # times slower than it should be, by faults
        self.draining = self.down = self.fell = self.frozen = False
        self.lost: list[Job] = []  # what it held when it fell over
        self.running: set[Job] = set()
        self.waiting: deque[Job] = deque()
        self.connections = 0
        self.busy_core_ms = self.done_work_ms = 0.0
        self.most_waiting = 0
        self._now = started
        self._attained = 0.0  # standard-core milliseconds that each running request got since the start
        self._ends: list[tuple[float, int, Job]] = []
        self._ended: list[Ended] = []
        self._sent: deque[tuple[float, float]] = deque()  # work offered lately, while cold
        self._sent_work = 0.0
        self._known: OrderedDict[int, float] = OrderedDict()  # keys, and when they were last met

    @property
    def seen(self) -> float:
        """The moment up to which its work is known."""
        return self._now

    # Warm-up

    def warmth(self, at: float) -> float:
        """The part of its capacity that it has by then."""
        if self.long_ago or at >= self.started + self.kind.cold_ms:
            return 1.0
        age = max(at - self.started, 0.0)
        return self.kind.cold_from + (1 - self.kind.cold_from) * age / self.kind.cold_ms

    def _warm_ms(self, start: float, end: float) -> float:
        """The integral of its warmth: linear until it is warm, one from then on."""
        warm_at = -math.inf if self.long_ago else self.started + self.kind.cold_ms
        cold_end = min(max(warm_at, start), end)
        cold = (
            (cold_end - start) * (self.warmth(start) + self.warmth(cold_end)) / 2 if cold_end > start else 0.0
        )
        return cold + end - cold_end

    def _when_warm_ms(self, start: float, amount: float) -> float:
        """When the integral of its warmth from `start` on reaches `amount`: the inverse of `_warm_ms`."""
        warm_at = -math.inf if self.long_ago else self.started + self.kind.cold_ms
        if start >= warm_at:
            return start + amount
        cold = self._warm_ms(start, warm_at)
        if amount >= cold:
            return warm_at + amount - cold
        slope, base = (1 - self.kind.cold_from) / self.kind.cold_ms, self.warmth(start)
        if slope <= 0:
            return start + amount / base
        return start + (math.sqrt(base * base + 2 * slope * amount) - base) / slope

    # Work

    def _rate(self) -> float:
        """Standard-core milliseconds that each running request attains in a warm millisecond."""
        n, cores = len(self.running), self.kind.cores
        if not n or self.frozen:
            return 0.0
        crowd = max(n / cores - self.kind.thrash_at, 0.0)
        return self.speed / self.slowness * min(1.0, cores / n) / (1.0 + self.kind.thrash * crowd)

    def _pass(self, until: float) -> None:
        if until <= self._now:
            return
        rate, n = self._rate(), len(self.running)
        if rate > 0:
            gained = rate * self._warm_ms(self._now, until)
            self._attained += gained
            self.done_work_ms += gained * n
            self.busy_core_ms += min(n, self.kind.cores) * (until - self._now)
        self._now = until

    def _next_end(self) -> float:
        while self._ends and self._ends[0][2].dropped:
            heapq.heappop(self._ends)
        rate = self._rate()
        if not self._ends or rate <= 0:
            return math.inf
        left = max(self._ends[0][0] - self._attained, 0.0)
        return max(self._when_warm_ms(self._now, left / rate), self._now)

    def next_at(self) -> float:
        """When the next request ends if nothing else comes; infinity when none runs."""
        return self._now if self._ended else self._next_end()

    def advance(self, now: float) -> list[Ended]:
        """What ended up to `now`, in order."""
        while (end := self._next_end()) <= now:
            self._pass(end)
            _, _, job = heapq.heappop(self._ends)
            self.running.discard(job)
            self._ended.append(Ended(job, end, True))
            self._fill()
        self._pass(now)
        ended, self._ended = self._ended, []
        return ended

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.kind.slots:
            job = self.waiting.popleft()
            if job.dropped:
                continue
            if self.kind.drops_expired and self._now > job.until:
                self._ended.append(Ended(job, self._now, False))
                continue
            self._begin(job)

    def _begin(self, job: Job) -> None:
        work = job.work_ms
        if job.key and self.keys.memory_ms:
            met = self._known.get(job.key, -math.inf)
            if self._now - met <= self.keys.memory_ms:
                work *= 1 - self.keys.gain
            self._known[job.key] = self._now
            self._known.move_to_end(job.key)
            if len(self._known) > self.keys.most:
                self._known.popitem(last=False)
        job.begun, job.due = self._now, self._attained + work
        self.running.add(job)
        heapq.heappush(self._ends, (job.due, job.number, job))

    def offer(self, now: float, job: Job) -> Offer:
        """A request comes; call `advance(now)` first."""
        if self.down:
            return Offer.DOWN
        self._watch_cold(now, job.work_ms)
        if self.down:
            return Offer.DOWN
        if self.draining or (len(self.running) >= self.kind.slots and len(self.waiting) >= self.kind.queue):
            return Offer.FULL
        if len(self.running) < self.kind.slots and not self.waiting:
            self._begin(job)
        else:
            self.waiting.append(job)
            self.most_waiting = max(self.most_waiting, len(self.waiting))
        return Offer.TAKEN

    def cancel(self, now: float, job: Job) -> bool:
        """Its sender no longer wants it; whether it is dropped. Call `advance(now)` first."""
        if job in self.running:
            if not self.kind.cancels_running:
                return False
            self.running.discard(job)
            job.dropped = True
            self._fill()
            return True
        if self.kind.cancels_waiting and job in self.waiting:
            self.waiting.remove(job)
            job.dropped = True
            return True
        return False

    def connect(self) -> bool:
        """One connection more; False when it holds as many as it can."""
        if self.down or self.connections >= self.kind.connections:
            return False
        self.connections += 1
        return True

    def set_slowness(self, slowness: float) -> None:
        """From now on so many times slower; call `advance(now)` first."""
        self.slowness = slowness

    def stop(self) -> list[Job]:
        """It dies: what it held is lost with it."""
        self.down = True
        held = [j for j in [*self.running, *self.waiting] if not j.dropped]
        for job in held:
            job.dropped = True
        self.running.clear()
        self.waiting.clear()
        self._ends.clear()
        return sorted(held, key=lambda j: j.number)

    # Falling over

    def _watch_cold(self, now: float, work_ms: float) -> None:
        """Cold, and sent more than a multiple of what it can do at that moment for a time: it falls over."""
        span = self.rules.fall_ms
        if self.long_ago or now >= self.started + self.kind.cold_ms + span:
            return
        self._sent.append((now, work_ms))
        self._sent_work += work_ms
        while self._sent[0][0] < now - span:
            self._sent_work -= self._sent.popleft()[1]
        able = self.kind.cores * self.speed * self._able_ms(now - span, now)
        if self._sent_work > self.rules.fall_multiple * able:
            self.fell = True
            self.lost = self.stop()

    def _able_ms(self, start: float, end: float) -> float:
        """Warm milliseconds between the two; before its start it counts as it was at its start."""
        before = max(min(self.started, end) - start, 0.0) * self.kind.cold_from
        return before + self._warm_ms(max(start, self.started), end)
