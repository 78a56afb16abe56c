"""Model of one server: cores shared evenly by running requests, a bounded queue, slow start and overload.

Running requests share the cores (egalitarian processor sharing, at most one core each), so all attain the
same service. A request ends when the service attained since it began equals its work (the virtual-time form
of processor sharing, Parekh and Gallager 1993). With as many slots as cores the model is a queue with
several servers. It is pure: the time is an argument.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from meadowpulley.fleet import KeyModel, MachineKind, RuleModel


class OfferResult(Enum):
    """Answer of a machine to an offered request."""

    ACCEPTED = "taken"
    REJECTED = "full"  # rejected, never executes
    DOWN = "down"  # the process is not running


@dataclass(slots=True, eq=False)
class Job:
    """A request at a server.

    `work_ms` is milliseconds of a standard core; after `deadline` its sender no longer waits.
    """

    number: int
    work_ms: float
    key: int = 0
    deadline: float = math.inf
    class_index: int = 0
    started_at: float = math.inf
    dropped: bool = False
    tag: Any = None  # opaque value of the sender
    finish_service: float = field(default=math.inf)  # attained service at which the job ends


@dataclass(frozen=True, slots=True)
class CompletedJob:
    """A job that left the machine. `executed` is False where its deadline passed before it could start."""

    job: Job
    at: float
    executed: bool  # False: the deadline passed before it could start


class Machine:
    """One start of one server at `started_at` (milliseconds); `speed` multiplies a standard core's.

    A machine with `warmed_up` started before the run and has its full capacity.
    """

    def __init__(
        self,
        kind: MachineKind,
        rules: RuleModel,
        keys: KeyModel,
        started_at: float,
        speed: float = 1.0,
        warmed_up: bool = False,
    ) -> None:
        self.kind = kind
        self.rules = rules
        self.keys = keys
        self.started_at = started_at
        self.speed = kind.speed * speed
        self.warmed_up = warmed_up
        self.slowness = 1.0  # factor of faults on the service time
        self.draining = self.down = self.overloaded = self.frozen = False
        self.lost_jobs: list[Job] = []  # jobs lost in an overload
        self.running: set[Job] = set()
        self.queued: deque[Job] = deque()
        self.connections = 0
        self.busy_core_ms = self.completed_work_ms = 0.0
        self.max_queued = 0
        self._now = started_at
        self._service_attained = 0.0  # standard-core milliseconds per running request since the start
        self._completions: list[tuple[float, int, Job]] = []
        self._completed: list[CompletedJob] = []
        # Time and work (ms) of requests offered within the overload window, during slow start.
        self._recent_work: deque[tuple[float, float]] = deque()
        self._recent_work_ms = 0.0
        # Remembered keys with the time of their latest request.
        self._remembered_keys: OrderedDict[int, float] = OrderedDict()

    @property
    def advanced_to(self) -> float:
        """Time up to which the work is accounted for."""
        return self._now

    # Slow start

    def slow_start_fraction(self, at: float) -> float:
        """Return the share of its full capacity that the machine has at a time."""
        if self.warmed_up or at >= self.started_at + self.kind.slow_start_ms:
            return 1.0
        age = max(at - self.started_at, 0.0)
        return self.kind.slow_start_from + (1 - self.kind.slow_start_from) * age / self.kind.slow_start_ms

    def _warm_equivalent_ms(self, start: float, end: float) -> float:
        """Integrate the slow-start fraction: linear during slow start, 1 afterwards."""
        warm_at = -math.inf if self.warmed_up else self.started_at + self.kind.slow_start_ms
        slow_start_end = min(max(warm_at, start), end)
        slow_start_ms = 0.0
        if slow_start_end > start:
            fractions = self.slow_start_fraction(start) + self.slow_start_fraction(slow_start_end)
            slow_start_ms = (slow_start_end - start) * fractions / 2
        return slow_start_ms + end - slow_start_end

    def _time_of_warm_equivalent(self, start: float, amount: float) -> float:
        """Return when the integral of the slow-start fraction from `start` reaches `amount`."""
        warm_at = -math.inf if self.warmed_up else self.started_at + self.kind.slow_start_ms
        if start >= warm_at:
            return start + amount
        slow_start_ms = self._warm_equivalent_ms(start, warm_at)
        if amount >= slow_start_ms:
            return warm_at + amount - slow_start_ms
        slope = (1 - self.kind.slow_start_from) / self.kind.slow_start_ms
        base = self.slow_start_fraction(start)
        if slope <= 0:
            return start + amount / base
        return start + (math.sqrt(base * base + 2 * slope * amount) - base) / slope

    # Work

    def _service_rate(self) -> float:
        """Return the standard-core milliseconds that each running request attains in a warm millisecond."""
        running = len(self.running)
        cores = self.kind.cores
        if not running or self.frozen:
            return 0.0
        crowding = max(running / cores - self.kind.thrash_at, 0.0)
        return self.speed / self.slowness * min(1.0, cores / running) / (1.0 + self.kind.thrash * crowding)

    def _serve_until(self, until: float) -> None:
        if until <= self._now:
            return
        rate = self._service_rate()
        running = len(self.running)
        if rate > 0:
            gained = rate * self._warm_equivalent_ms(self._now, until)
            self._service_attained += gained
            self.completed_work_ms += gained * running
            self.busy_core_ms += min(running, self.kind.cores) * (until - self._now)
        self._now = until

    def _next_completion(self) -> float:
        while self._completions and self._completions[0][2].dropped:
            heapq.heappop(self._completions)
        rate = self._service_rate()
        if not self._completions or rate <= 0:
            return math.inf
        remaining = max(self._completions[0][0] - self._service_attained, 0.0)
        return max(self._time_of_warm_equivalent(self._now, remaining / rate), self._now)

    def next_event_at(self) -> float:
        """Return when the next request ends if no other arrives; infinity where none runs."""
        return self._now if self._completed else self._next_completion()

    def advance(self, now: float) -> list[CompletedJob]:
        """Run the machine up to `now` and return the completed jobs in order."""
        while (end := self._next_completion()) <= now:
            self._serve_until(end)
            _, _, job = heapq.heappop(self._completions)
            self.running.discard(job)
            self._completed.append(CompletedJob(job, end, True))
            self._start_queued()
        self._serve_until(now)
        completed = self._completed
        self._completed = []
        return completed

    def _start_queued(self) -> None:
        while self.queued and len(self.running) < self.kind.slots:
            job = self.queued.popleft()
            if job.dropped:
                continue
            if self.kind.drops_expired and self._now > job.deadline:
                self._completed.append(CompletedJob(job, self._now, False))
                continue
            self._start(job)

    def _start(self, job: Job) -> None:
        work = job.work_ms
        if job.key and self.keys.memory_ms:
            last_seen = self._remembered_keys.get(job.key, -math.inf)
            if self._now - last_seen <= self.keys.memory_ms:
                work *= 1 - self.keys.work_saved
            self._remembered_keys[job.key] = self._now
            self._remembered_keys.move_to_end(job.key)
            if len(self._remembered_keys) > self.keys.max_remembered:
                self._remembered_keys.popitem(last=False)
        job.started_at = self._now
        job.finish_service = self._service_attained + work
        self.running.add(job)
        heapq.heappush(self._completions, (job.finish_service, job.number, job))

    def offer(self, now: float, job: Job) -> OfferResult:
        """Offer a request at `now`; call `advance(now)` first."""
        if self.down:
            return OfferResult.DOWN
        self._check_overload(now, job.work_ms)
        if self.down:
            return OfferResult.DOWN
        if self.draining or (len(self.running) >= self.kind.slots and len(self.queued) >= self.kind.queue):
            return OfferResult.REJECTED
        if len(self.running) < self.kind.slots and not self.queued:
            self._start(job)
        else:
            self.queued.append(job)
            self.max_queued = max(self.max_queued, len(self.queued))
        return OfferResult.ACCEPTED

    def cancel(self, now: float, job: Job) -> bool:
        """Cancel a job; return whether it is dropped. Call `advance(now)` first."""
        if job in self.running:
            if not self.kind.cancels_running:
                return False
            self.running.discard(job)
            job.dropped = True
            self._start_queued()
            return True
        if self.kind.cancels_waiting and job in self.queued:
            self.queued.remove(job)
            job.dropped = True
            return True
        return False

    def connect(self) -> bool:
        """Open one more connection; False where the machine has its maximum."""
        if self.down or self.connections >= self.kind.connections:
            return False
        self.connections += 1
        return True

    def set_slowness(self, slowness: float) -> None:
        """Make the machine so many times slower from now on; call `advance(now)` first."""
        self.slowness = slowness

    def stop(self) -> list[Job]:
        """Stop the process and return the jobs that are lost with it."""
        self.down = True
        lost = [job for job in [*self.running, *self.queued] if not job.dropped]
        for job in lost:
            job.dropped = True
        self.running.clear()
        self.queued.clear()
        self._completions.clear()
        return sorted(lost, key=lambda job: job.number)

    # Overload

    def _check_overload(self, now: float, work_ms: float) -> None:
        """Overload a machine in slow start that is sent more than a multiple of its capacity for a time."""
        window_ms = self.rules.overload_window_ms
        if self.warmed_up or now >= self.started_at + self.kind.slow_start_ms + window_ms:
            return
        self._recent_work.append((now, work_ms))
        self._recent_work_ms += work_ms
        while self._recent_work[0][0] < now - window_ms:
            self._recent_work_ms -= self._recent_work.popleft()[1]
        capacity_ms = self.kind.cores * self.speed * self._capacity_equivalent_ms(now - window_ms, now)
        if self._recent_work_ms > self.rules.overload_multiple * capacity_ms:
            self.overloaded = True
            self.lost_jobs = self.stop()

    def _capacity_equivalent_ms(self, start: float, end: float) -> float:
        """Integrate the capacity over a span; before its start a machine counts as at its start."""
        before_start = max(min(self.started_at, end) - start, 0.0) * self.kind.slow_start_from
        return before_start + self._warm_equivalent_ms(max(start, self.started_at), end)
