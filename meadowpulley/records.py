"""What a balancer keeps of servers, requests and attempts. Plain records: nothing here decides."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from functools import partial
from random import Random
from statistics import fmean, pstdev
from typing import Any

from meadowpulley.digests import SERVERS, Digest
from meadowpulley.interface import (
    Action,
    Candidate,
    Placement,
    PriorAttempt,
    Request,
    RequestClass,
    RolloutUpdate,
    ServerEntry,
    ServerState,
    Settings,
    Verdict,
)

HISTORY = 600  # logged requests kept for judging, and outcomes untold
RATE_MS = 4000.0  # memory of the request and work rates


class Server:
    """One start of one server. A restart or another build under the same id is a new one."""

    def __init__(self, entry: ServerEntry) -> None:
        self.id, self.cell, self.zone, self.kind = entry.server, entry.cell, entry.zone, entry.kind
        self.build, self.started, self.state = entry.build, entry.started_ms, entry.state
        self.out = 0  # this balancer's attempts that are out
        self.slot = self.left = -1  # cold: the slot of the span, and what may still be sent in it
        self.fail_share = self.rest_until = 0.0
        self.rest_ms = 0.0  # 0 while trusted; else the rest it has had, and one request at a time goes there
        self.failed_at = self.heard = -math.inf  # last failure, last answer of any kind

    def candidate(self, warmth: float, usual_ms: float, home: int) -> Candidate:
        place = (self.id, self.zone, self.cell, self.kind, self.build)
        return Candidate(*place, self.out, warmth, usual_ms, self.zone == home)


class Held:
    """A request that is owed its final answer."""

    def __init__(self, r: Request, cls: RequestClass, now: float, per_class: bool) -> None:
        self.r, self.cls, self.arrived = r, cls, now
        self.tries, self.out = r.prior_attempt_count, 0
        self.counted = r.class_index if per_class else -1  # with which requests its exposure is counted
        self.tried = [t.server for t in r.prior_attempts]
        self.maybe = [
            _earlier(self, t) for t in r.prior_attempts
        ]  # attempts that ran, may have, or are still out
        self.streaming = self.tossed = False  # tossed: the coin chose between both builds
        self.asked: list[int] = []  # servers that were probed for it

    def sent(self, attempt: Attempt) -> None:
        self.tries, self.out = self.tries + 1, self.out + 1
        self.tried.append(attempt.server.id)
        self.maybe.append(attempt)


class Attempt:
    """One attempt; the first of each request is logged as a sample of its build's costs."""

    def __init__(
        self, held: Held, server: Server, queue: float, sent: float, warmth: float, tossed: bool
    ) -> None:
        self.held, self.n, self.server, self.queue = (
            held,
            held.tries - held.r.prior_attempt_count,
            server,
            queue,
        )
        self.sent, self.warmth = sent, warmth
        self.tossed = tossed and not held.tries  # the coin chose between both builds; of first ones
        self.latency: float | None = None
        self.lost = False  # no answer, or none whose time is known: that is not the build's doing

    def cost(self, now: float) -> float:
        """Its latency, or its age while out; a cold server is slow whatever it runs: counted as if warm."""
        return self.warmth * (self.latency if self.latency is not None else now - self.sent)


def _earlier(held: Held, t: PriorAttempt) -> Attempt:
    """An attempt of an earlier life, kept like one that is out; nobody here knows it by a number."""
    there = Server(ServerEntry(t.server, t.cell, t.zone, ServerState.REMOVED, t.build, 0.0, 0, 0.0))
    attempt = Attempt(held, there, 0.0, t.sent_ms, 0.0, False)
    attempt.n = -1
    return attempt


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


def windows(memory_ms: float) -> defaultdict[int, Window]:
    return defaultdict(partial(Window, memory_ms))


class Seen:
    """What is known of one build, kept while it is the newest or the one before."""

    def __init__(self, failures: Any, pooled: Any, memory_ms: float) -> None:
        self.failures, self.pooled = failures, pooled  # by own outcomes, and by those of all gateways
        self.lost = 0.0  # log odds that its requests time out, by all gateways
        self.fail_usual: dict[tuple[int, bool], float] = {}  # by class, and whether by a tally
        self.hold_began: dict[int, float] = {}  # by stage
        self.sent = windows(memory_ms)  # attempts, by what is counted


def summed(sample: list[float]) -> tuple[int, float, float]:
    """Count, mean and deviation (of the whole, not of a sample); none of nothing."""
    return (len(sample), fmean(sample), pstdev(sample)) if sample else (0, 0.0, 0.0)


class Ballot:
    """The vote last sent, and what became of it."""

    def __init__(self) -> None:
        self.vote = (-1, 0, Verdict.NONE)
        self.sent = self.stands_until = self.after = -math.inf  # after: none before, as too many came
        self.answered = True

    def cast(self, vote: tuple[int, int, Verdict], now: float) -> None:
        self.vote, self.sent = vote, now
        self.answered, self.stands_until = False, -math.inf


class Swing:
    """Times without traffic to the trial build, while all is slow."""

    def __init__(self) -> None:
        self.off, self.count, self.at = False, 0, -math.inf  # at: when it last began or ended
        self.since = math.inf  # slow since then, with no earlier build to compare


class Peers:
    """What gateways tell each other. `life` is drawn at the start; `blur`: how many seconds the digests of
    one second may be about."""

    def __init__(self, life: int, blur: int) -> None:
        self.life, self.tellings = life, 0  # what the others are told of this one, and how often it told
        self.untold: deque[tuple[int, int, int, int, int]] = deque(maxlen=HISTORY)
        self.told_by: dict[tuple[int, int], int] = {}  # the last that each told, by sender and life
        self.strays = 0  # what came from others and could not be used
        self.pooled: list[tuple[int, Digest]] = []  # of this second, by all
        self.shares: dict[int, deque[float]] = defaultdict(lambda: deque(maxlen=blur))  # the earlier build's
        self.troubled = -math.inf  # when the earlier build last failed somewhere, by all

    def digest(self, build: int, before: int, judged: bool) -> Digest | None:
        """What was seen since the last one, if anything: failures of all builds, answers of those judged."""
        rows: dict[int, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        broken: list[tuple[int, int]] = []
        for cls, of, server, failed, ok in self.untold:
            if judged and of in (build, before):
                at = 0 if of == build else 2
                rows[cls][at], rows[cls][at + 1] = rows[cls][at] + ok, rows[cls][at + 1] + failed
            broken += [(server % SERVERS, cls)] * failed
        self.untold.clear()
        if not (rows or broken):
            return None
        self.tellings += 1
        classes = tuple((c, r[0], r[1], r[2], r[3]) for c, r in sorted(rows.items()))
        return Digest(self.life, self.tellings, build, classes, tuple(broken))

    def first(self, sender: int, d: Digest, most: int) -> bool:
        """Whether a digest is new; the last of `most` lives are remembered."""
        if self.told_by.get((sender, d.life), -1) >= d.number:
            return False
        self.told_by.pop((sender, d.life), None)
        self.told_by[sender, d.life] = d.number
        if len(self.told_by) > most:  # lives long over
            del self.told_by[next(iter(self.told_by))]
        return True


class State:
    """All that one balancer knows; what `meadowpulley/balance/` makes of its settings is set there."""

    z: float  # errors that a bound is off its estimate
    needed: float  # log odds of failing that prove a build bad
    reach: float  # how many servers are near
    list_spread: float  # of list calls, in ms, as discovery takes a fleet's in turn
    look_ms: float  # how often waiting requests are looked at
    builds: defaultdict[int, Seen]
    peers: Peers
    placements: dict[int, Placement]  # by arm; arm 0 is the module's own choice

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rules, self.roll = settings, settings.rules, settings.rollout
        self.rng, self.many = Random(seed), max(settings.gateway_count, 1)
        self.least_aim_ms = min((c.latency_objective_ms for c in settings.classes), default=0.0)
        self.advice_ms = settings.limits.retry_after * settings.limits.max_retry_after_ms  # to who is refused
        self.now, self.timer_at, self.judge_at, self.stood_still = 0.0, math.inf, math.inf, -math.inf
        self.acts: list[Action] = []
        self.servers: dict[int, Server] = {}
        self.trial: list[Server] = []  # ready ones, so that no request looks at the whole fleet
        self.earlier: list[Server] = []
        self.held: dict[int, Held] = {}
        self.waiting: list[Held] = []
        self.attempts: dict[tuple[int, int], Attempt] = {}  # oldest first
        self.taken, self.done = Rate(RATE_MS), Rate(RATE_MS)  # requests, without repeats, and answers
        self.retries_left, self.room, self.fleet = 1.0, math.inf, 1  # room in flight; most servers ready
        self.odds = self.followed = 0.0  # of the trial build; share of requests whose key binds them to it
        self.odds_until, self.usual_ms = -math.inf, 0.0  # odds are worked out by then; usual latency
        self.kind_ms: dict[int, float] = {}  # the same by kind of machine, as if warm
        self.window_taken = windows(self.roll.exposure_window_ms)  # exposure: when requests were taken
        self.key_build: dict[int, int] = {}  # one-way keys: the build that may have answered each
        self.floor = -1  # the build under which no key goes: what these had answered is forgotten
        self.ask_again_at = -math.inf if settings.must_poll else math.inf  # when to ask for the list
        self.list_fails = 0
        self.told: RolloutUpdate | None = None  # the last news to the letter, for the rules
        self.best: RolloutUpdate | None = None  # the furthest known, for judging and votes
        self.before = self.back_for = -1  # the build that the newest is compared with; that should go back
        self.trial_began = self.stage_began = self.before_ms = self.before_rate = 0.0  # before: the newest
        self.swing = Swing()  # of the traffic to the trial build, while all is slow
        self.samples: deque[Attempt] = deque(maxlen=HISTORY)
        self.due: deque[tuple[float, int, int, int, int, int]] = deque()  # outcomes to count, and when
        self.tell_at = -math.inf if settings.limits.gossip and self.many > 1 else math.inf
        self.ballot = Ballot()
