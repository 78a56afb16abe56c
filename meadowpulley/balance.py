"""Every decision of meadowpulley: routing, health, time-outs, refusals, list-keeping, judging and votes.

The types this module speaks, its settings, events and actions, are in meadowpulley/interface.py.
One `Balancer` serves one gateway: `handle(now, event)` returns the actions to carry out.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from itertools import accumulate
from random import Random
from statistics import fmean

from meadowpulley import interface as i

# The design's own figures (its page marks them as starting values).
COIN_SHARE = 0.8  # of the cap: leaves room for requests that must follow their key or find no other server
SUM_LENGTH = 20  # at most: later requests whose costs are added to each request's own
MARGIN = 0.25  # of the earlier build's mean latency
LEAST_SAMPLE = 20  # outcomes per build before the bounds may speak
FALLBACK_MS = 4000.0  # after the latest trial start
HOLD_MS = 3000.0  # the longest hold of one stage under a clock
# Ours.
TICK_MS = 50.0  # how often waiting requests, health and votes are looked at
BLOCK_MS = 1000.0  # builds are compared within blocks of this length
HISTORY = 600  # logged requests kept for judging
COLD_MARGIN = 0.6  # of the cold budget: capacity is only estimated and work is random
FAIL_FLOOR = 0.02  # failure share that any build may have
FAIL_MORE = 0.1  # more than the earlier build fails: the least that is looked for
PROOF = 5.0  # log odds: about three failures more than the earlier build's
IN_DOUBT = 0.5  # of the proof: no vote to go on until it is settled
ONE_SERVER = 0.7  # of the proof, at most, from one of several servers
RATE_MS = 4000.0  # memory of the request and work rates
FAIL_STEP = 0.2  # weight of the newest outcome in a server's failure share
FAIL_OUT = 0.45  # failure share that takes a server out of the choice: three in a row, or half of many
REST_MS = 1000.0  # first rest of a server taken out; doubles with each failed trial request
REST_MAX_MS = 8000.0
RETRY_SHARE = 0.1  # further attempts for each request taken, so that retries cannot feed a jam
LATE_SHARE = 0.5  # of the aim: a request whose mean expected answer is later is refused at once
FULL_MS = 200.0  # how long a server that turned a request away as full is left alone
SILENT_TIMES = 4.0  # the usual latency without a word, and a server counts as silent
WAIT_SHARE = 0.25  # of the aim: how long a request may wait for a server it may go to
LOST_MS = 10_000.0  # a watch that has not answered for this long is asked for again
RETRY_LIST_MS = 1500.0  # between a failed list call and the next
NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
TICK = 1  # the token of the only timer


class Server:
    """One start of one server. A restart or another build under the same id is a new one."""

    def __init__(self, entry: i.ServerEntry) -> None:
        self.id, self.cell, self.zone = entry.server, entry.cell, entry.zone
        self.build, self.started, self.state = entry.build, entry.started_ms, entry.state
        self.out: dict[tuple[int, int], float] = {}  # attempts out and when they were sent, oldest first
        self.sends: deque[tuple[float, float]] = deque()  # time and work of what it got while cold
        self.fail_share = 0.0
        self.rest_ms = 0.0  # 0 while trusted; else the rest it has had, and one request at a time goes there
        self.rest_until = 0.0
        self.heard = -math.inf  # last answer of any kind

    def same_start(self, entry: i.ServerEntry) -> bool:
        return self.build == entry.build and self.started == entry.started_ms


class Sample:
    """The logged costs of one request's first attempt."""

    __slots__ = ("build", "latency", "queue", "sent", "tossed", "warmth")

    def __init__(self, build: int, queue: float, sent: float, warmth: float, tossed: bool) -> None:
        self.build, self.queue, self.sent, self.warmth, self.tossed = build, queue, sent, warmth, tossed
        self.latency: float | None = None


class Held:
    """A request that is owed its final answer."""

    def __init__(self, r: i.Request, cls: i.RequestClass, now: float) -> None:
        self.r, self.cls, self.arrived = r, cls, now
        self.work = r.work_hint_ms if r.work_hint_ms and r.work_hint_ms > 0 else None
        self.tries = 0
        self.out = 0
        self.tried: list[int] = []
        self.maybe: list[Attempt] = []  # attempts that ran, may have run, or are still out
        self.streaming = False

    def may_refuse(self) -> bool:
        if self.cls.effect is i.Effect.SAFE or not self.maybe:
            return True
        return self.cls.effect is i.Effect.KEYED and self.cls.group is i.Group.ALL


class Attempt:
    def __init__(self, held: Held, n: int, server: Server, sent: float, sample: Sample | None) -> None:
        self.held, self.n, self.server, self.sent, self.sample = held, n, server, sent, sample


class Rate:
    """A count that fades, as an amount per millisecond."""

    def __init__(self) -> None:
        self.sum, self.at = 0.0, 0.0

    def add(self, now: float, amount: float) -> None:
        self.sum, self.at = self.sum * math.exp((self.at - now) / RATE_MS) + amount, now

    def value(self, now: float) -> float:
        return self.sum * math.exp((self.at - now) / RATE_MS) / RATE_MS


class Failures:
    """Whether one build fails more than the earlier one: the log of the odds, summed by class and server.

    Sums never fall under 0, so that a build that turns bad late is seen as soon as one that starts bad. One
    server counts for no more than ONE_SERVER of the proof where there are others: a broken machine is not a
    bad build. It covers every way of failing, for one class or all; it could harm where a trouble of machines
    strikes just the only trial server.
    """

    def __init__(self) -> None:
        self.sums: dict[int, dict[int, float]] = {}

    def add(self, cls: int, server: int, failed: float, ok: float, usual: float) -> None:
        low = min(max(usual, FAIL_FLOOR), 0.8)
        high = low + FAIL_MORE
        gain = failed * math.log(high / low) + ok * math.log((1 - high) / (1 - low))
        for part in (cls, -1):
            sums = self.sums.setdefault(part, {})
            sums[server] = max(sums.get(server, 0.0) + gain, 0.0)

    def proof(self, servers: int) -> float:
        """1 or more: proven. `servers` is how many run the build."""
        most = ONE_SERVER if servers > 1 else 1.0
        parts = [sum(min(s / PROOF, most) for s in sums.values()) for sums in self.sums.values()]
        return max(parts, default=0.0)


class Estimate:
    """Trial minus earlier mean mixed Q, its error, and the margin it is held against."""

    def __init__(self, diff: float, error: float, margin: float, trial: int, earlier: int) -> None:
        self.diff, self.error, self.margin, self.trial, self.earlier = diff, error, margin, trial, earlier


def mixed_q(
    latency: Sequence[float], queue: Sequence[float], arm: Sequence[int], block: Sequence[int],
    length: int, rate: float,
) -> tuple[float, float, int, int] | None:  # fmt: skip
    """The mixed Differences-in-Q estimate: difference, error, and how many Q there are of each build.

    `arm` is 1 for the trial build, 0 for the earlier one, -1 for neither (such a request only adds to sums).
    Builds are compared within a block of time, and blocks weighed as the error formula weighs its counts.
    With one block this is the design's estimate. What slows both builds alike stays out of the contrast.
    """
    n = len(latency) - length
    if n <= 1 or rate <= 0:
        return None
    sums_w, sums_q = [0.0, *accumulate(latency)], [0.0, *accumulate(queue)]
    groups: dict[int, tuple[list[int], list[int]]] = {}
    for j in range(n):
        if arm[j] >= 0:
            groups.setdefault(block[j], ([], []))[arm[j]].append(j)
    both = [(old, new) for old, new in groups.values() if old and new]
    if not both:
        return None
    qw = [sums_w[j + length + 1] - sums_w[j] for j in range(n)]
    qq = [sums_q[j + length + 1] - sums_q[j] for j in range(n)]
    vw = vq = cwq = 0.0
    for old, new in both:
        members = old + new
        mw, mq = fmean([qw[j] for j in members]), fmean([qq[j] for j in members])
        vw += sum((qw[j] - mw) ** 2 for j in members)
        vq += sum((qq[j] - mq) ** 2 for j in members)
        cwq += sum((qw[j] - mw) * (qq[j] - mq) for j in members)
    spread = rate * rate * vw + vq - 2 * rate * cwq
    alpha = (vq - rate * cwq) / spread if spread > 1e-12 else 1.0
    mixed = [alpha * w + (1 - alpha) * q / rate for w, q in zip(qw, qq, strict=True)]
    weights = total = squares = 0.0
    for old, new in both:
        weight = 1 / (1 / len(new) + 1 / len(old))
        weights += weight
        total += weight * (fmean([mixed[j] for j in new]) - fmean([mixed[j] for j in old]))
        mean = fmean([mixed[j] for j in old + new])
        squares += sum((mixed[j] - mean) ** 2 for j in old + new)
    trial, earlier = sum(len(new) for _, new in both), sum(len(old) for old, _ in both)
    return total / weights, math.sqrt(squares / (trial + earlier) / weights), trial, earlier


class Balancer:
    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.rules, self.roll = settings, settings.rules, settings.rollout
        self.rng = Random(seed)
        self.now = 0.0
        self.acts: list[i.Action] = []
        self.ticking = False
        self.servers: dict[int, Server] = {}
        self.held: dict[int, Held] = {}
        self.waiting: list[Held] = []
        self.attempts: dict[tuple[int, int], Attempt] = {}
        # Rates of what this gateway takes and of the work that comes back done.
        self.taken, self.done = Rate(), Rate()
        self.retries_left = 1.0
        self.followed = 0.0  # share of requests whose key binds them to the trial build
        self.usual_ms = 0.0  # usual latency of answers that came
        # Exposure: what was taken and what went to each build on trial in the window.
        self.window_taken: dict[int, deque[float]] = {}
        self.window_sent: dict[tuple[int, int], deque[float]] = {}
        self.key_build: dict[int, int] = {}  # one-way keys: the build that has answered each
        # The list.
        self.asked_at: float | None = None
        self.ask_again_at: float | None = None
        # Judging and votes. `told` is the last news to the letter, for the rules; `best` the furthest known.
        self.told: i.BuildNews | None = None
        self.best: i.BuildNews | None = None
        self.stage_began = 0.0
        self.samples: deque[Sample] = deque(maxlen=HISTORY)
        self.failures: dict[int, Failures] = {}
        self.fail_usual: dict[int, float] = {}  # by class: the earlier build's failure share
        self.back_for = -1  # the build this balancer wants taken off
        self.hold_began: dict[tuple[int, int], float] = {}
        self.vote: tuple[int, int, i.Verdict] | None = None  # the vote last sent
        self.vote_sent, self.vote_stands_until, self.vote_answered = -math.inf, -math.inf, True

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.now, self.acts = now, []
        if not self.ticking:
            self.ticking = True
            self.acts.append(i.SetTimer(TICK_MS, TICK))
            if self.s.must_ask:
                self._watch()
        match event:
            case i.Request():
                self._request(event)
            case i.Outcome():
                self._outcome(event)
            case i.Timer(token) if token == TICK:
                self._tick()
            case i.ServerList():
                self._list(event)
            case i.BuildNews():
                self._news(event)
            case i.RequestGone(request):
                if (held := self.held.pop(request, None)) is not None:
                    self._call_off(held)
            case i.AnswerStarted(request):
                if (held := self.held.get(request)) is not None:
                    held.streaming = True
            case i.ProbeResult() | i.Tally() | i.WrongAnswer() | i.PeerMessage() | i.Timer():
                pass
        return self.acts

    def _tick(self) -> None:
        self.acts.append(i.SetTimer(TICK_MS, TICK))
        if self.ask_again_at is not None and self.now >= self.ask_again_at:
            self._watch()
        self._look_for_silence()
        for held in [h for h in self.waiting if h.r.request in self.held]:
            until = min(held.arrived + held.cls.aim_ms * WAIT_SHARE, held.r.deadline_ms - 2 * TICK_MS)
            if self._route(held):
                self.waiting.remove(held)
            elif self.now >= until:  # before the deadline by more than a tick: the answer must be in time
                self._give_up(held)
        self.waiting = [h for h in self.waiting if h.r.request in self.held]
        self._judge()

    # The list of servers

    def _watch(self) -> None:
        self.acts.append(i.Watch())
        self.asked_at, self.ask_again_at = self.now, self.now + LOST_MS

    def _list(self, event: i.ServerList) -> None:
        if event.kind is i.ListKind.FAILED:
            # The notice does not say whether the watch still stands, so it is always asked for again.
            if self.s.must_ask:
                self.ask_again_at = self.now + RETRY_LIST_MS * (1 + self.rng.random())
            return
        if event.kind is not i.ListKind.CACHED:
            self.ask_again_at = None
        named = {e.server: e for e in event.entries}
        if event.kind is not i.ListKind.CHANGES:
            for gone in [s for s in self.servers if s not in named]:
                del self.servers[gone]
        for entry in named.values():
            known = self.servers.get(entry.server)
            if entry.state is i.ServerState.GONE:
                self.servers.pop(entry.server, None)
            elif known is not None and known.same_start(entry):
                known.state, known.cell, known.zone = entry.state, entry.cell, entry.zone
            else:
                self.servers[entry.server] = Server(entry)

    # Requests

    def _request(self, r: i.Request) -> None:
        cls = self.s.classes[r.cls]
        held = self.held[r.request] = Held(r, cls, self.now)
        self.taken.add(self.now, 1.0)
        self.retries_left = min(self.retries_left + RETRY_SHARE, 10.0)
        self.window_taken.setdefault(self._counted(r.cls), deque()).append(self.now)
        if self._too_late(held):
            self._give_up(held)
        elif not self._route(held):
            if r.deadline_ms - self.now > 2 * TICK_MS:
                self.waiting.append(held)
            else:
                self._give_up(held)

    def _too_late(self, held: Held) -> bool:
        """Refuse at once what would come too late: by Little's law a new request waits for what is in flight
        over the rate of answers. Covers overload, bursts and anything else that slows the whole fleet."""
        out, rate = len(self.attempts), self.done.value(self.now)
        return out > 2 * len(self.servers) and out > rate * held.cls.aim_ms * LATE_SHARE and held.may_refuse()

    def _give_up(self, held: Held) -> None:
        self.held.pop(held.r.request, None)
        if held.may_refuse():
            advice = self.s.limits.max_retry_after_ms if self.s.limits.retry_after else 0.0
            self.acts.append(i.Refuse(held.r.request, advice))
        else:
            self.acts.append(i.Fail(held.r.request))
        self._call_off(held)

    def _call_off(self, held: Held) -> None:
        """Takes back attempts whose request is over, so that they burden no server that can drop them."""
        if self.s.limits.cancel and not held.streaming:
            for attempt in held.maybe:
                if (held.r.request, attempt.n) in self.attempts:
                    self.acts.append(i.Cancel(held.r.request, attempt.n))

    def _outcome(self, o: i.Outcome) -> None:
        attempt = self.attempts.pop((o.request, o.attempt), None)
        if attempt is None:
            return
        held, server = attempt.held, attempt.server
        server.out.pop((o.request, o.attempt), None)
        held.out -= 1
        if o.result in NEVER_RAN:
            held.maybe.remove(attempt)
        if o.result is not i.Result.CANCELLED and o.result is not i.Result.MOOT:
            self._health(server, o.result)
        if o.result is i.Result.OK:
            self.done.add(self.now, 1.0)
            self.usual_ms += 0.05 * (o.elapsed_ms - self.usual_ms) if self.usual_ms else o.elapsed_ms
            if held.r.key and self.roll.one_way and (self.told is None or server.build >= self.told.build):
                self.key_build[held.r.key] = max(server.build, self.key_build.get(held.r.key, 0))
        if o.result in (i.Result.OK, i.Result.ERROR, i.Result.RESET):
            self._count(held.r.cls, server, o.result is not i.Result.OK)
        if attempt.sample is not None:
            attempt.sample.latency = o.elapsed_ms if o.result is i.Result.OK else held.cls.deadline_ms
        if o.over:
            self.held.pop(o.request, None)
            self._call_off(held)
        elif self.held.get(o.request) is held and held.out == 0:
            if self.retries_left < 1 or not self._route(held):
                self._give_up(held)
            else:
                self.retries_left -= 1

    # Health

    def _health(self, server: Server, result: i.Result) -> None:
        server.heard = self.now
        if result is i.Result.FULL:
            server.rest_until = max(server.rest_until, self.now + FULL_MS)
            return
        failed = result is not i.Result.OK
        server.fail_share += FAIL_STEP * (failed - server.fail_share)
        if not failed:
            if server.rest_ms and server.fail_share < FAIL_OUT:
                server.rest_ms = 0.0
        elif server.fail_share >= FAIL_OUT or server.rest_ms:
            self._rest(server)

    def _rest(self, server: Server) -> None:
        """Takes a server out of the choice for a while; afterwards one request at a time tries it."""
        if self.now >= server.rest_until:
            server.rest_ms = min(max(REST_MS, 2 * server.rest_ms), REST_MAX_MS)
            server.rest_until = self.now + server.rest_ms

    def _look_for_silence(self) -> None:
        """A server that holds requests far longer than usual without a word is silent, hung or cut off. It
        rests, and what it holds that may run again is called off and goes elsewhere. Could harm where one
        request of a quiet gateway is merely costly: that repeats its work, within the retry budget."""
        least = min(c.aim_ms for c in self.s.classes)
        limit = min(max(SILENT_TIMES * self.usual_ms, least / 2), least)
        for server in self.servers.values():
            oldest = next(iter(server.out.values()), self.now)
            if self.now - oldest <= limit or server.heard >= oldest:
                continue
            self._rest(server)
            for rid, n in list(server.out):
                held = self.attempts[rid, n].held
                again = held.cls.effect is not i.Effect.UNSAFE and held.tries < self.s.limits.max_attempts
                if again and rid in self.held and self.s.limits.cancel and self.retries_left >= 1:
                    self.acts.append(i.Cancel(rid, n))

    def _usable(self, server: Server) -> bool:
        return self.now >= server.rest_until and not (server.rest_ms and server.out)

    def _warmth(self, server: Server, age_less: float = 0.0) -> float:
        """The least part of its capacity that a server has by now."""
        age = max(self.now - server.started - age_less, 0.0)
        if not server.started or age >= self.rules.cold_ms:
            return 1.0
        return self.rules.cold_from + (1 - self.rules.cold_from) * age / self.rules.cold_ms

    # Routing

    def _on_trial(self, build: int) -> bool:
        if self.told is None or build > self.told.build:
            return True
        return build == self.told.build and self.told.phase is not i.Phase.RELEASED

    def _counted(self, cls: int) -> int:
        return cls if self.roll.exposure_per_class else -1

    def _cap_and_stage(self, build: int) -> tuple[float, int]:
        if self.told is not None and build == self.told.build:
            return self.told.cap, self.told.stage
        return (self.roll.caps[0] if self.roll.caps else 0.0), 0

    def _may_send(self, held: Held, server: Server) -> bool:
        """The one check that every attempt passes: all five rules."""
        cls, now = held.cls, self.now
        if held.r.request not in self.held or held.streaming or now >= held.r.deadline_ms:
            return False
        if held.tries >= self.s.limits.max_attempts or (held.out and not self.s.limits.second_copies):
            return False
        if server.state is not i.ServerState.READY or self.servers.get(server.id) is not server:
            return False
        for earlier in held.maybe:
            if cls.effect is i.Effect.UNSAFE:
                return False
            if cls.effect is i.Effect.KEYED:
                where = earlier.server
                same = (cls.group is i.Group.ALL or (cls.group is i.Group.ZONE and where.zone == server.zone)
                        or (cls.group is i.Group.CELL and where.cell == server.cell))  # fmt: skip
                if not same or now - earlier.sent >= cls.window_ms - self.s.tick_ms:
                    return False
        return self._within_cold_budget(server) and self._within_exposure(held, server)

    def _within_cold_budget(self, server: Server) -> bool:
        """This gateway's part of what a cold server may get within one span: the work that an average server
        is seen to do for this gateway, times multiple and warmth. The parts of all gateways add up."""
        span = self.rules.fall_ms
        if self._warmth(server, span) >= 1.0:
            return True
        while server.sends and server.sends[0][0] <= self.now - span:
            server.sends.popleft()
        each = self.done.value(self.now) / max(len(self.servers), 1)
        budget = self.rules.fall_multiple * self._warmth(server, span / 2) * each * span * COLD_MARGIN
        return not server.sends or sum(w for _, w in server.sends) + 1.0 <= budget

    def _within_exposure(self, held: Held, server: Server) -> bool:
        key_build = self.key_build.get(held.r.key, -1) if held.r.key else -1
        if key_build > server.build and self.told is not None and key_build >= self.told.build:
            back = self.told.phase in (i.Phase.GOING_BACK, i.Phase.WITHDRAWN)
            if key_build > self.told.build or not back:
                return False
        if not self._on_trial(server.build):
            return True
        cap, stage = self._cap_and_stage(server.build)
        if cap <= 0 or (stage < self.roll.guarded_stages and held.cls.effect is not i.Effect.SAFE):
            return False
        counted, window, tick = self._counted(held.r.cls), self.roll.exposure_window_ms, self.s.tick_ms
        taken = self.window_taken.setdefault(counted, deque())
        while taken and taken[0] <= self.now - window + tick:
            taken.popleft()
        sent = self.window_sent.setdefault((server.build, counted), deque())
        while sent and sent[0] < self.now - window - tick:
            sent.popleft()
        return len(sent) + 1 <= self.roll.exposure_free + cap * len(taken)

    def _coin(self, trial: list[Server], earlier: list[Server]) -> float:
        """The odds of the trial build: 0.8 of the cap, but no more than its warm machines are of the fleet
        that will serve once it is released. Else the first machines of a stage get the load of all, and their
        crowding is blamed on the build. Keys that must follow the trial build count against the odds."""
        cap, _ = self._cap_and_stage(trial[0].build)
        if self.best is not None and self.best.phase is i.Phase.GOING_BACK:
            # A condemned build gets only what the earlier one has no room for yet.
            room = sum(self._warmth(s) for s in earlier) / (0.75 * (len(earlier) + len(trial)))
            return min(max(1 - room, 0.0), cap)
        places = len(earlier) + len(trial) if self.roll.in_place else max(len(earlier), len(trial))
        odds = min(COIN_SHARE * cap, sum(self._warmth(s) for s in trial) / places)
        return max(odds - self.followed, 0.0) / max(1 - self.followed, 0.01)

    def _route(self, held: Held) -> bool:
        allowed = [s for s in self.servers.values() if self._may_send(held, s)]
        fresh = [s for s in allowed if self._usable(s) and s.id not in held.tried]
        pool = fresh or [s for s in allowed if self._usable(s)] or allowed
        if not pool:
            return False
        trial = [s for s in pool if self._on_trial(s.build)]
        earlier = [s for s in pool if not self._on_trial(s.build)]
        tossed = bool(trial and earlier)
        followed = bool(trial and held.r.key and held.r.key in self.key_build)
        self.followed += 0.02 * (followed - self.followed)
        if tossed:
            pool = trial if self.rng.random() < self._coin(trial, earlier) else earlier
        first, second = self.rng.choice(pool), self.rng.choice(pool)
        server = min((first, second), key=self._crowding)
        self._send(held, server, (len(first.out) + len(second.out)) / 2, tossed)
        return True

    def _crowding(self, server: Server) -> float:
        return (len(server.out) + 1) / self._warmth(server) + (0.5 if server.zone != self.s.zone else 0.0)

    def _send(self, held: Held, server: Server, queue: float, tossed: bool) -> None:
        sample = None
        if held.tries == 0:
            sample = Sample(server.build, queue, self.now, self._warmth(server), tossed)
            self.samples.append(sample)
        attempt = Attempt(held, held.tries, server, self.now, sample)
        key = (held.r.request, attempt.n)
        self.attempts[key] = attempt
        server.out[key] = self.now
        held.tries += 1
        held.out += 1
        held.tried.append(server.id)
        held.maybe.append(attempt)
        if self._warmth(server, self.rules.fall_ms) < 1.0:
            server.sends.append((self.now, 1.0))
        if self._on_trial(server.build):
            self.window_sent.setdefault((server.build, self._counted(held.r.cls)), deque()).append(self.now)
        # No time-out before the deadline: work given up runs on at many sites, and repeats feed a jam.
        # Servers that have gone silent are found by `_look_for_silence` instead.
        self.acts.append(i.Send(held.r.request, server.id))

    # Judging and votes

    def _news(self, n: i.BuildNews) -> None:
        if n.answers_vote:
            self.vote_answered = True
            if n.result is i.Result.OK:
                self.vote_stands_until = self.now + self.roll.vote_life_ms
        if n.result is not i.Result.OK:
            return
        self.told = n
        if self.best is None or self._rank(n) > self._rank(self.best):
            self.stage_began = self.now - n.age_ms
            self.best = n

    @staticmethod
    def _rank(n: i.BuildNews) -> tuple[int, int, int]:
        """How far a build has come; late news of an earlier state must not undo what is known."""
        order = {i.Phase.TRIAL: 0, i.Phase.RELEASED: 1, i.Phase.GOING_BACK: 2, i.Phase.WITHDRAWN: 3}
        return n.build, order[n.phase], n.stage

    def _count(self, cls: int, server: Server, failed: bool) -> None:
        if self.best is None or server.build < self.best.build:
            usual = self.fail_usual.get(cls, 0.0)
            self.fail_usual[cls] = usual + 0.02 * (failed - usual)
        else:
            build = self.failures.setdefault(server.build, Failures())
            build.add(cls, server.id, float(failed), float(not failed), self.fail_usual.get(cls, 0.0))

    def estimate(self, build: int) -> Estimate | None:
        samples = list(self.samples)
        # A cold server is slow whatever it runs: its costs count as if it were warm.
        latency = [s.warmth * (s.latency if s.latency is not None else self.now - s.sent) for s in samples]
        queue = [s.warmth * s.queue for s in samples]
        arm = [-1 if not s.tossed or s.build > build else int(s.build == build) for s in samples]
        rate = self.taken.value(self.now) / max(len(self.servers), 1)
        length = min(math.ceil(rate * self.usual_ms), SUM_LENGTH)
        found = mixed_q(latency, queue, arm, [int(s.sent // BLOCK_MS) for s in samples], length, rate)
        if found is None:
            return None
        diff, error, new, old = found
        earlier = [w for w, a in zip(latency, arm, strict=True) if a == 0]
        return Estimate(diff, error, MARGIN * fmean(earlier), new, old)

    def _verdict(self, n: i.BuildNews) -> i.Verdict:
        if self.back_for == n.build:
            return i.Verdict.BACK
        z = 2 + 0.5 * math.log(max(self.s.balancers, 1))
        e = self.estimate(n.build)
        decided = False
        starts = [s.started for s in self.servers.values() if s.build == n.build]
        failing = self.failures.setdefault(n.build, Failures()).proof(len(starts))
        if failing >= 1:
            self.back_for = n.build
            self._log(f"back {n.build}: it fails more than the earlier build, proof {failing:.1f}")
            return i.Verdict.BACK
        if e is not None and min(e.trial, e.earlier) >= LEAST_SAMPLE:
            if e.diff - z * e.error > e.margin:
                self.back_for = n.build
                self._log(f"back {n.build}: diff {e.diff:.0f} error {e.error:.0f} margin {e.margin:.0f} ms")
                return i.Verdict.BACK
            if self.roll.gate is i.Gate.TIMER and e.diff - z * e.error > e.margin / 2:
                began = self.hold_began.setdefault((n.build, n.stage), self.now)
                return i.Verdict.HOLD if self.now - began < HOLD_MS else i.Verdict.NONE
            decided = e.diff + z * e.error < e.margin
        if self.roll.gate is i.Gate.TIMER or n.phase is not i.Phase.TRIAL:
            return i.Verdict.NONE
        ripe = bool(starts) and self.now >= max(*starts, self.stage_began) + FALLBACK_MS
        return i.Verdict.ON if (decided or ripe) and failing < IN_DOUBT else i.Verdict.NONE

    def _judge(self) -> None:
        n = self.best
        if n is None or n.phase in (i.Phase.GOING_BACK, i.Phase.WITHDRAWN):
            return
        verdict = self._verdict(n)
        stage = n.stage if verdict in (i.Verdict.ON, i.Verdict.HOLD) else 0
        wanted = (n.build, stage, verdict)
        voted = self.vote is not None and self.vote[0] == n.build
        if verdict is i.Verdict.NONE and (not voted or self.vote == wanted):
            return
        # Votes and their answers get lost: an unanswered one is sent again, a standing one renewed in time.
        if self.now < self.vote_sent + TICK_MS * 4:
            return
        waiting = not self.vote_answered and self.now < self.vote_sent + self.roll.call_timeout_ms
        standing = self.vote_stands_until - self.now > self.roll.vote_life_ms / 2
        if self.vote == wanted and (waiting or standing):
            return
        if self.vote != wanted:
            self.vote_stands_until = -math.inf
        self.vote, self.vote_sent, self.vote_answered = wanted, self.now, False
        self.acts.append(i.Vote(*wanted))

    def _log(self, text: str) -> None:
        self.acts.append(i.LogLine(text))
