"""Every decision of meadowpulley: routing, health, time-outs, refusals, list-keeping, judging and votes.

The types this module speaks, its settings, events and actions, are in meadowpulley/interface.py.
One `Balancer` serves one gateway: `handle(now, event)` returns the actions to carry out.
"""

from __future__ import annotations

import math
from collections import deque
from itertools import accumulate
from random import Random
from statistics import fmean, median, stdev

from meadowpulley import interface as i

# The design's own figures (its page marks them as starting values).
COIN_SHARE = 0.8  # of the cap: leaves room for requests that must follow their key or find no other server
SUM_LENGTH = 20  # at most: later requests whose costs are added to each request's own
LEAST_ALPHA = 0.5  # a gateway that sees little holds hardly any request: its counts say nothing of latency
MARGIN = 0.25  # of the earlier build's mean latency
LEAST_SAMPLE = 20  # outcomes per build before the bounds may speak
FALLBACK_MS = 4000.0  # after the latest trial start
HOLD_MS = 3000.0  # the longest hold of one stage under a clock
# Ours.
TICK_MS = 50.0  # how often waiting requests, health and votes are looked at
LEAST_SWING = 0.1  # odds of the trial build: with less it hardly slows all servers
ALONE_SOAKS = 3.0  # soak times of slowness, without an earlier build to compare, that condemn a build
SERVER_SPREAD = 0.15  # how servers of one kind differ in speed, as a share of the mean latency
BLOCK_MS = 1000.0  # builds are compared within blocks of this length
HISTORY = 600  # logged requests kept for judging
COLD_MARGIN = 0.6  # of the cold budget: capacity is only estimated and work is random
FAIL_FLOOR = 0.02  # failure share that any build may have
FAIL_MORE = 0.1  # more than the earlier build fails: the least that is looked for
PROOF = 5.0  # log odds: about three failures more than the earlier build's
IN_DOUBT = 0.5  # of the proof: no vote to go on until it is settled
ONE_SERVER = 0.25  # of the proof, at most, from one of many servers: four must fail
RATE_MS = 4000.0  # memory of the request and work rates
FAIL_STEP = 0.2  # weight of the newest outcome in a server's failure share
BROKEN = 0.3  # failure share that shows a trouble of machines: two of the last few
FAIL_OUT = 0.45  # failure share that takes a server out of the choice: three in a row, or half of many
REST_MS = (1000.0, 8000.0)  # first and longest rest of a server taken out; each failed try doubles it
RETRY_SHARE = 0.1  # further attempts for each request taken, so that retries cannot feed a jam
ROOM_STEP = 0.1  # how an answer in time widens the room for requests in flight
LATE_STEP = 0.4  # how a late one narrows it: it settles where one answer in five is late
FLOOR_EACH = 2.0  # requests in flight a server, from all gateways, that are never too many
FULL_MS = 200.0  # how long a server that turned a request away as full is left alone
SILENT_TIMES = 4.0  # the usual latency without a word, and a server counts as silent
AWAY = 0.5  # requests that a server in another zone counts as busier, since crossing has a price
WAIT_SHARE = 0.25  # of the aim: how long a request may wait for a server it may go to
RETRY_LIST_MS = 1500.0  # between a failed list call and the next
NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
ALL = -2  # in place of a server: all of them together
TICK = 1  # the token of the only timer


class Server:
    """One start of one server. A restart or another build under the same id is a new one."""

    def __init__(self, entry: i.ServerEntry) -> None:
        self.id, self.cell, self.zone, self.kind = entry.server, entry.cell, entry.zone, entry.kind
        self.build, self.started, self.state = entry.build, entry.started_ms, entry.state
        self.out: dict[tuple[int, int], float] = {}  # attempts out and when they were sent, oldest first
        self.sends: deque[float] = deque()  # when it got requests while cold
        self.fail_share = self.rest_until = 0.0
        self.rest_ms = 0.0  # 0 while trusted; else the rest it has had, and one request at a time goes there
        self.failed_at = self.heard = -math.inf  # last failure, last answer of any kind


class Sample:
    """The logged costs of one request's first attempt."""

    def __init__(self, server: Server, queue: float, sent: float, warmth: float, tossed: bool) -> None:
        self.build, self.kind, self.tossed = server.build, server.kind, tossed
        self.queue, self.sent, self.warmth = queue, sent, warmth
        self.latency: float | None = None


class Held:
    """A request that is owed its final answer."""

    def __init__(self, r: i.Request, cls: i.RequestClass, now: float, per_class: bool) -> None:
        self.r, self.cls, self.arrived = r, cls, now
        self.tries = self.out = 0
        self.counted = r.cls if per_class else -1  # with which requests its exposure is counted
        self.tried: list[int] = []
        self.maybe: list[Attempt] = []  # attempts that ran, may have run, or are still out
        self.streaming = False

    def bound(self, key_build: dict[int, int]) -> int:
        return key_build.get(self.r.key, -1) if self.r.key else -1

    def may_refuse(self) -> bool:
        everywhere = self.cls.effect is i.Effect.KEYED and self.cls.group is i.Group.ALL
        return self.cls.effect is i.Effect.SAFE or not self.maybe or everywhere


class Attempt:
    def __init__(self, held: Held, server: Server, sent: float, sample: Sample) -> None:
        self.held, self.n, self.server, self.sent, self.sample = held, held.tries, server, sent, sample


class Rate:  # a count that fades, as an amount per millisecond

    def __init__(self) -> None:
        self.sum, self.at = 0.0, 0.0

    def add(self, now: float, amount: float) -> None:
        self.sum, self.at = self.sum * math.exp((self.at - now) / RATE_MS) + amount, now

    def value(self, now: float) -> float:
        return self.sum * math.exp((self.at - now) / RATE_MS) / RATE_MS


def _since(times: deque[float], start: float) -> int:
    while times and times[0] < start:
        times.popleft()
    return len(times)


class Failures:
    """Whether one build fails more than the earlier one: log odds, summed by class, for each server and ALL.
    Sums never fall under 0, so that a build that turns bad late is seen as soon. Where there are other trial
    servers, or earlier ones are broken too, none counts for all of the proof: a broken machine is not a bad
    build. Covers every way of failing; could harm where a trouble strikes just the only trial server.
    """

    def __init__(self) -> None:
        self.sums: dict[int, dict[int, float]] = {}

    def add(self, cls: int, server: int, failed: float, ok: float, usual: float) -> None:
        low = min(max(usual, FAIL_FLOOR), 0.8)
        high = low + FAIL_MORE
        gain = failed * math.log(high / low) + ok * math.log((1 - high) / (1 - low))
        for part in (cls, -1):
            sums = self.sums.setdefault(part, {})
            for one in (server, ALL):
                sums[one] = max(sums.get(one, 0.0) + gain, 0.0)

    def proof(self, servers: int, broken: bool) -> float:  # 1: proven; broken: earlier servers fail too
        most = (1.0 if servers <= 1 else max(min(2 / servers, 0.7), ONE_SERVER)) * (0.5 if broken else 1.0)
        each = [sum(min(s, most * PROOF) for k, s in x.items() if k >= 0) for x in self.sums.values()]
        whole = [x[ALL] for x in self.sums.values()]
        return max((min(both) for both in zip(each, whole, strict=True)), default=0.0) / PROOF


def mixed_q(
    latency: list[float], queue: list[float], arm: list[int], block: list[tuple[float, int]],
    length: int, rate: float, least_alpha: float,
) -> tuple[float, float, int, int]:  # fmt: skip
    """The mixed Differences-in-Q estimate: difference, error, and how many Q there are of each build.

    `arm`: 1 for the trial build, 0 for the earlier one, -1 for neither (such a request only adds to sums).
    Builds are compared within a block (a time and a kind of machine), blocks weighed by the error formula.
    With one block this is the design's estimate. What slows both stays out.
    """
    n = len(latency) - length
    if n <= 1 or rate <= 0:
        return 0.0, math.inf, 0, 0
    sums_w, sums_q = [0.0, *accumulate(latency)], [0.0, *accumulate(queue)]
    groups: dict[tuple[float, int], tuple[list[int], list[int]]] = {}
    for j in range(n):
        if arm[j] >= 0:
            groups.setdefault(block[j], ([], []))[arm[j]].append(j)
    both = [(old, new) for old, new in groups.values() if old and new]
    if not both:
        return 0.0, math.inf, 0, 0
    qw = [sums_w[j + length + 1] - sums_w[j] for j in range(n)]
    qq = [sums_q[j + length + 1] - sums_q[j] for j in range(n)]

    def cross(xs: list[float], ys: list[float]) -> float:
        total = 0.0
        for members in [old + new for old, new in both]:
            mx, my = fmean([xs[j] for j in members]), fmean([ys[j] for j in members])
            total += sum((xs[j] - mx) * (ys[j] - my) for j in members)
        return total

    vw, vq, cwq = cross(qw, qw), cross(qq, qq), cross(qw, qq)
    spread = rate * rate * vw + vq - 2 * rate * cwq
    alpha = max((vq - rate * cwq) / spread, least_alpha) if spread > 1e-12 else 1.0
    mixed = [alpha * w + (1 - alpha) * q / rate for w, q in zip(qw, qq, strict=True)]
    weights = [1 / (1 / len(new) + 1 / len(old)) for old, new in both]
    diffs = [fmean([mixed[j] for j in new]) - fmean([mixed[j] for j in old]) for old, new in both]
    diff = sum(w * d for w, d in zip(weights, diffs, strict=True)) / sum(weights)
    trial, earlier = sum(len(new) for _, new in both), sum(len(old) for old, _ in both)
    return diff, math.sqrt(cross(mixed, mixed) / (trial + earlier) / sum(weights)), trial, earlier


def _rank(n: i.BuildNews) -> tuple[int, int, int]:  # late news of an earlier state undoes nothing
    order = (i.Phase.TRIAL, i.Phase.RELEASED, i.Phase.GOING_BACK, i.Phase.WITHDRAWN)
    return n.build, order.index(n.phase), n.stage


class Balancer:
    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.rules, self.roll = settings, settings.rules, settings.rollout
        self.rng = Random(seed)
        self.z = 2 + 0.5 * math.log(max(settings.balancers, 1))
        self.now, self.ticking = 0.0, False
        self.acts: list[i.Action] = []
        self.servers: dict[int, Server] = {}
        self.held: dict[int, Held] = {}
        self.waiting: list[Held] = []
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.taken, self.done = Rate(), Rate()  # requests, without clients' repeats, and answers
        self.retries_left = 1.0
        self.odds = self.followed = 0.0  # of the trial build; share of requests whose key binds them to it
        self.room = math.inf  # requests in flight, above which new ones are refused
        self.usual_ms = 0.0  # usual latency of answers that came
        self.window_taken: dict[int, deque[float]] = {}  # exposure: taken, and sent to each build on trial
        self.window_sent: dict[tuple[int, int], deque[float]] = {}
        self.key_build: dict[int, int] = {}  # one-way keys: the build that has answered each
        self.ask_again_at = -math.inf if settings.must_ask else math.inf  # when to ask for the list
        self.told: i.BuildNews | None = None  # the last news to the letter, for the rules
        self.best: i.BuildNews | None = None  # the furthest known, for judging and votes
        self.stage_began = self.before_ms = self.before_rate = 0.0  # cost and rate before the newest build
        self.slow_since, self.swung_at = math.inf, -math.inf
        self.swing, self.swings = "", 0  # "off" or "on" while a slowdown of both is in doubt; how often
        self.samples: deque[Sample] = deque(maxlen=HISTORY)
        self.failures: dict[int, Failures] = {}
        self.fail_usual: dict[tuple[int, bool], float] = {}  # the earlier build's, by class and if tallied
        self.back_for = -1  # the build this balancer wants taken off
        self.hold_began: dict[tuple[int, int], float] = {}
        self.vote: tuple[int, int, i.Verdict] | None = None  # the vote last sent
        self.vote_sent, self.vote_stands_until, self.vote_answered = -math.inf, -math.inf, True

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.now, self.acts = now, []
        if not self.ticking:
            self.ticking = True
            self.acts.append(i.SetTimer(TICK_MS, TICK))
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
            case i.Tally():
                self._count(event.cls, event.build, -1, event.failed, event.attempts - event.failed)
            case i.RequestGone(request) if request in self.held:
                self._call_off(self.held.pop(request))
            case i.AnswerStarted(request) if request in self.held:
                self.held[request].streaming = True
        return self.acts

    def _tick(self) -> None:
        self.acts.append(i.SetTimer(TICK_MS, TICK))
        if self.now >= self.ask_again_at:
            self.acts.append(i.Watch())  # an answer that never comes is asked for again
            self.ask_again_at = self.now + max(self.rules.ask_within_ms, RETRY_LIST_MS)
        self._look_for_silence()
        waiting, self.waiting = self.waiting, []
        for held in [h for h in waiting if h.r.request in self.held]:
            self._route_or_wait(held)
        self._judge()


    def _list(self, event: i.ServerList) -> None:
        if event.kind is i.ListKind.FAILED:
            # The notice does not say whether the watch still stands, so it is always asked for again.
            again = self.now + RETRY_LIST_MS * (1 + self.rng.random())
            self.ask_again_at = again if self.s.must_ask else math.inf
            return
        if event.kind is not i.ListKind.CACHED:
            self.ask_again_at = math.inf
        named = {e.server: e for e in event.entries}
        if event.kind is not i.ListKind.CHANGES:
            for gone in [s for s in self.servers if s not in named]:
                del self.servers[gone]
        for entry in named.values():
            known = self.servers.get(entry.server)
            if entry.state is i.ServerState.GONE:
                self.servers.pop(entry.server, None)
            elif known and (known.build, known.started) == (entry.build, entry.started_ms):
                known.state, known.cell, known.zone = entry.state, entry.cell, entry.zone
            else:
                self.servers[entry.server] = Server(entry)


    def _request(self, r: i.Request) -> None:
        cls = self.s.classes[r.cls]
        held = self.held[r.request] = Held(r, cls, self.now, self.roll.exposure_per_class)
        self.taken.add(self.now, 0.0 if r.repeat else 1.0)
        self.retries_left = min(self.retries_left + RETRY_SHARE, 10.0)
        self.window_taken.setdefault(held.counted, deque()).append(self.now)
        if len(self.attempts) > self.room:
            self._give_up(held)  # at once: it would come too late
        else:
            self._route_or_wait(held)

    def _route_or_wait(self, held: Held) -> None:
        # Given up before the deadline by more than a tick: the answer must be in time.
        until = min(held.arrived + held.cls.aim_ms * WAIT_SHARE, held.r.deadline_ms - 2 * TICK_MS)
        if not self._route(held) and self.now < until:
            self.waiting.append(held)
        elif not held.tries:
            self._give_up(held)

    def _learn_room(self, held: Held, o: i.Outcome) -> None:
        """Answers within the aim widen the room for requests in flight while it is in use, late ones narrow
        it. Covers overload, bursts, all that slows the whole fleet. In a jam no answer comes in time: a few
        requests a server then find the way out."""
        out = len(self.attempts) + 1
        if o.result is i.Result.OK and o.elapsed_ms <= held.cls.aim_ms:
            self.room += ROOM_STEP if 2 * out > self.room else 0.0
        elif o.result in (i.Result.OK, i.Result.TIMEOUT):
            self.room = min(self.room, 2.0 * out + 1) - LATE_STEP
        self.room = max(self.room, FLOOR_EACH * len(self.servers) / max(self.s.balancers, 1))

    def _give_up(self, held: Held) -> None:
        rid = held.r.request
        self.held.pop(rid, None)
        advice = self.s.limits.retry_after * self.s.limits.max_retry_after_ms
        self.acts.append(i.Refuse(rid, advice) if held.may_refuse() else i.Fail(rid))
        self._call_off(held)

    def _call_off(self, held: Held) -> None:
        """Takes back attempts whose request is over, so that they burden no server that can drop them."""
        rid, able = held.r.request, self.s.limits.cancel and not held.streaming
        self.acts += [i.Cancel(rid, a.n) for a in held.maybe if able and (rid, a.n) in self.attempts]

    def _outcome(self, o: i.Outcome) -> None:
        attempt = self.attempts.pop((o.request, o.attempt), None)
        if attempt is None:
            return
        held, server = attempt.held, attempt.server
        del server.out[o.request, o.attempt]
        held.out -= 1
        if o.result in NEVER_RAN:
            held.maybe.remove(attempt)
        if o.result not in (i.Result.CANCELLED, i.Result.MOOT):
            self._health(server, o.result)
        if o.result is i.Result.OK:
            self.done.add(self.now, 1.0)
            self.usual_ms += 0.05 * (o.elapsed_ms - self.usual_ms) if self.usual_ms else o.elapsed_ms
            if held.r.key and self.roll.one_way and (self.told is None or server.build >= self.told.build):
                self.key_build[held.r.key] = max(server.build, self.key_build.get(held.r.key, 0))
        if o.result in (i.Result.OK, i.Result.ERROR):  # a broken connection is the network's or the machine's
            failed = o.result is not i.Result.OK
            self._count(held.r.cls, server.build, server.id, int(failed), int(not failed))
        self._learn_room(held, o)
        attempt.sample.latency = o.elapsed_ms if o.result is i.Result.OK else held.cls.deadline_ms
        if o.over:
            self.held.pop(o.request, None)
            self._call_off(held)
        elif self.held.get(o.request) is held and held.out == 0:
            if self.retries_left < 1 or not self._route(held):
                self._give_up(held)
            else:
                self.retries_left -= 1


    def _health(self, server: Server, result: i.Result) -> None:
        server.heard = self.now
        if result is i.Result.FULL:
            server.rest_until = max(server.rest_until, self.now + FULL_MS)
            return
        failed = result is not i.Result.OK
        if failed and server.failed_at == self.now:
            return  # one event that breaks several attempts at once is one failure
        server.failed_at = self.now if failed else server.failed_at
        server.fail_share += FAIL_STEP * (failed - server.fail_share)
        usual = median(s.fail_share for s in self.servers.values()) if self.servers else 0.0
        if failed and (server.fail_share >= FAIL_OUT + usual or server.rest_ms):
            self._rest(server)  # but not where most fail: that would jam the others
        elif server.fail_share < FAIL_OUT:
            server.rest_ms = 0.0

    def _rest(self, server: Server) -> None:
        """Takes a server out of the choice for a while; afterwards one request at a time tries it."""
        if self.now >= server.rest_until:
            server.rest_ms = min(max(REST_MS[0], 2 * server.rest_ms), REST_MS[1])
            server.rest_until = self.now + server.rest_ms

    def _look_for_silence(self) -> None:
        """A server that holds requests far longer than usual without a word is silent or cut off. It rests,
        and what may run again goes elsewhere. Could harm where a request is merely costly: it repeats."""
        least = min((c.aim_ms for c in self.s.classes), default=0.0)
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

    def _warmth(self, server: Server, age_less: float = 0.0) -> float:
        """The least part of its capacity that a server has by now."""
        age = max(self.now - server.started - age_less, 0.0)
        part = age / self.rules.cold_ms if server.started and age < self.rules.cold_ms else 1.0
        return self.rules.cold_from + (1 - self.rules.cold_from) * part


    def _on_trial(self, build: int) -> bool:
        if self.told is None or build > self.told.build:
            return True
        return build == self.told.build and self.told.phase is not i.Phase.RELEASED

    def _cap_and_stage(self, build: int) -> tuple[float, int]:
        told = self.told is not None and build == self.told.build
        return (self.told.cap, self.told.stage) if self.told and told else ((*self.roll.caps, 0.0)[0], 0)

    def _may_send(self, held: Held, server: Server) -> bool:
        """The one check that every attempt passes: all five rules."""
        cls, now = held.cls, self.now
        owed = held.r.request in self.held and not held.streaming and now < held.r.deadline_ms
        more = held.tries < self.s.limits.max_attempts and (self.s.limits.second_copies or not held.out)
        ready = server.state is i.ServerState.READY and self.servers.get(server.id) is server
        if not (owed and more and ready):
            return False
        for earlier in held.maybe:
            there = earlier.server
            same = {i.Group.ZONE: there.zone == server.zone, i.Group.CELL: there.cell == server.cell}
            in_window = same.get(cls.group, True) and now - earlier.sent < cls.window_ms - self.s.tick_ms
            if cls.effect is i.Effect.UNSAFE or (cls.effect is i.Effect.KEYED and not in_window):
                return False
        return self._within_cold_budget(server) and self._within_exposure(held, server)

    def _within_cold_budget(self, server: Server) -> bool:
        """This gateway's part of what a cold server may get within one span: the work that an average server
        is seen to do for this gateway, times multiple and warmth. The parts of all gateways add up."""
        span = self.rules.fall_ms
        if self._warmth(server, span) >= 1.0:
            return True
        each = self.done.value(self.now) / max(len(self.servers), 1)
        budget = self.rules.fall_multiple * self._warmth(server, span / 2) * each * span * COLD_MARGIN
        return _since(server.sends, self.now - span) + 1 <= max(budget, 1.0)

    def _within_exposure(self, held: Held, server: Server) -> bool:
        back = self.told is not None and self.told.phase in (i.Phase.GOING_BACK, i.Phase.WITHDRAWN)
        key_build, told = held.bound(self.key_build), self.told.build if self.told is not None else -1
        if key_build > server.build and (key_build > told or (key_build == told and not back)):
            return False
        if not self._on_trial(server.build):
            return True
        cap, stage = self._cap_and_stage(server.build)
        if cap <= 0 or (stage < self.roll.guarded_stages and held.cls.effect is not i.Effect.SAFE):
            return False
        counted, window, tick = held.counted, self.roll.exposure_window_ms, self.s.tick_ms
        taken = _since(self.window_taken.setdefault(counted, deque()), self.now - window + tick)
        sent = _since(self.window_sent.setdefault((server.build, counted), deque()), self.now - window - tick)
        return sent + 1 <= self.roll.exposure_free + cap * taken

    def _coin(self, trial: list[Server], earlier: list[Server]) -> float:
        """The odds of the trial build: 0.8 of the cap, but no more than its warm machines are of the fleet
        that will serve once it is released. Else the first machines of a stage get the load of all, and their
        crowding is blamed on the build. Keys that must follow the trial build count against the odds."""
        cap, _ = self._cap_and_stage(trial[0].build)
        if self.best is not None and self.best.phase is i.Phase.GOING_BACK:
            room = sum(self._warmth(s) for s in earlier) / (0.75 * (len(earlier) + len(trial)))
            return min(max(1 - room, 0.0), cap)  # only what the earlier build has no room for
        places = len(earlier) + len(trial) if self.roll.in_place else max(len(earlier), len(trial))
        odds = min(COIN_SHARE * cap, sum(self._warmth(s) for s in trial) / places)
        self.odds = odds
        odds = 0.0 if self.swing == "off" and len(earlier) >= (1 - MARGIN) * places else odds
        return max(odds - self.followed, 0.0) / max(1 - self.followed, 0.01)

    def _route(self, held: Held) -> bool:
        allowed = [s for s in self.servers.values() if self._may_send(held, s)]
        usable = [s for s in allowed if self.now >= s.rest_until and not (s.rest_ms and s.out)]
        pool = [s for s in usable if s.id not in held.tried] or usable
        if not pool:
            return False
        trial = [s for s in pool if self._on_trial(s.build)]
        earlier = [s for s in pool if not self._on_trial(s.build)]
        tossed = bool(trial and earlier)
        followed = bool(trial) and held.bound(self.key_build) >= trial[0].build
        self.followed += 0.02 * (followed - self.followed)
        if tossed:
            pool = trial if self.rng.random() < self._coin(trial, earlier) else earlier
        two = self.rng.sample(pool, min(2, len(pool)))
        away = [AWAY if s.zone != self.s.zone else 0.0 for s in two]
        crowding = [(len(s.out) + 1) / self._warmth(s) + a for s, a in zip(two, away, strict=True)]
        server = two[crowding.index(min(crowding))]
        self._send(held, server, fmean([len(s.out) for s in two]), tossed)
        return True

    def _send(self, held: Held, server: Server, queue: float, tossed: bool) -> None:
        sample = Sample(server, queue, self.now, self._warmth(server), tossed)
        attempt = Attempt(held, server, self.now, sample)
        if held.tries == 0:
            self.samples.append(sample)
        self.attempts[held.r.request, attempt.n] = attempt
        server.out[held.r.request, attempt.n] = self.now
        held.tries += 1
        held.out += 1
        held.tried.append(server.id)
        held.maybe.append(attempt)
        if self._warmth(server, self.rules.fall_ms) < 1.0:
            server.sends.append(self.now)
        if self._on_trial(server.build):
            self.window_sent.setdefault((server.build, held.counted), deque()).append(self.now)
        # No early time-out: work given up runs on at many sites, and repeats feed a jam.
        self.acts.append(i.Send(held.r.request, server.id))


    def _news(self, n: i.BuildNews) -> None:
        self.vote_answered |= n.answers_vote
        if n.answers_vote and n.result is i.Result.OK:
            self.vote_stands_until = self.now + self.roll.vote_life_ms
        if n.result is not i.Result.OK:
            return
        self.told = n
        if self.best is None or n.build > self.best.build:
            self.odds, self.swing, self.slow_since, self.before_rate = 0.0, "", math.inf, 0.0
            self.before_ms = fmean([self._cost(s) for s in self.samples] or [0.0])
        if self.best is None or _rank(n) > _rank(self.best):
            self.stage_began = self.now - n.age_ms
            self.best = n

    def _count(self, cls: int, build: int, server: int, failed: int, ok: int) -> None:
        """Own outcomes by server, and the platform's tallies (server -1), with a usual share of their own."""
        usual = self.fail_usual.get((cls, server < 0), 0.0)
        if self.best is None or build < self.best.build:
            weight = min(0.02 * (failed + ok), 0.5)
            self.fail_usual[cls, server < 0] = usual + weight * (failed / max(failed + ok, 1) - usual)
        else:
            self.failures.setdefault(build, Failures()).add(cls, server, failed, ok, usual)

    def _cost(self, s: Sample) -> float:  # a cold server is slow whatever it runs: counted as if warm
        return s.warmth * (s.latency if s.latency is not None else self.now - s.sent)

    def estimate(self, build: int) -> tuple[float, float, float, int]:
        """Bounds of the estimate of trial against earlier build, the margin, and the lesser count."""
        samples = list(self.samples)
        latency, queue = [self._cost(s) for s in samples], [s.warmth * s.queue for s in samples]
        arm = [-1 if not s.tossed or s.build > build else int(s.build == build) for s in samples]
        rate = self.taken.value(self.now) / max(len(self.servers), 1)
        length = min(math.ceil(rate * self.usual_ms), SUM_LENGTH)
        blocks = [(s.sent // BLOCK_MS, s.kind) for s in samples]
        diff, error, new, old = mixed_q(latency, queue, arm, blocks, length, rate, LEAST_ALPHA)
        mean = fmean([w for w, a in zip(latency, arm, strict=True) if a == 0] or [0.0])
        # One slow machine is not a slow build: few trial servers prove less. Nor is a crowded one: the margin
        # grows with what a trial server gets for each request of an earlier one.
        count = max(sum(1 for s in self.servers.values() if s.build == build), 1)
        error = math.hypot(error, SERVER_SPREAD * mean / math.sqrt(count))
        crowd = max(new * max(len(self.servers) - count, 1) / max(old * count, 1), 1.0)
        return diff - self.z * error, diff + self.z * error, MARGIN * mean * crowd, min(new, old)

    def _slow(self, seen: list[Sample]) -> bool:
        """Whether these requests took clearly longer than those before the newest build."""
        recent = [self._cost(s) for s in seen[-8 * LEAST_SAMPLE :]]
        if len(recent) < LEAST_SAMPLE:
            return False
        least = fmean(recent) - self.z * stdev(recent) / math.sqrt(len(recent))
        return least > (1 + MARGIN) * self.before_ms > 0

    def _doubt(self, build: int, released: bool) -> bool:
        """Whether both builds may be slow through the trial build: the earlier one takes clearly longer. Then
        the odds swing: off until it recovers, then on. Slow a second time, the trial build is to blame. No
        dependency or jam follows the odds; one that chances to would mislead. All slow: no vote to go on."""
        alone = released or not any(s.build < build for s in self.servers.values())
        until = self.now - 2 * self.before_ms  # whoever is still out by then counts as slow
        old = [s for s in self.samples if s.sent < until]
        seen = [s for s in old if s.sent > self.swung_at and (alone or s.build < build)]
        known, slow, was = len(seen) >= LEAST_SAMPLE, self._slow(seen), self.swing
        if alone:  # slow for longer than troubles last, without more new requests
            more = self.taken.value(self.now) > (1 + 2 * MARGIN) * self.before_rate
            self.slow_since = min(self.slow_since, self.now) if slow and not more else math.inf
            if self.now > self.slow_since + ALONE_SOAKS * self.roll.soak_ms:
                self._back(build, f"slow since the earlier build has gone, usually {self.before_ms:.0f} ms")
            return slow
        if self.odds < LEAST_SWING / 2 and known and not slow:  # too little to slow the earlier build
            self.before_ms = fmean([self._cost(s) for s in seen])
        elif not was and slow and self.odds >= LEAST_SWING:
            self.swing, self.swings = "off", 1
        elif was == "off" and known and not slow and self.now > self.swung_at + 2 * BLOCK_MS:
            self.swing = "on"
        elif was == "on" and slow:
            self.swing, self.swings = "off", self.swings + 1
            if self.swings > 2:
                self._back(build, f"both builds slow with its traffic, usually {self.before_ms:.0f} ms")
        elif was == "on" and self.now > self.swung_at + self.roll.soak_ms:
            self.swing = ""
        self.swung_at = self.now if self.swing != was else self.swung_at
        return bool(self.swing) or slow or self._slow(old) or (not known and self.swung_at > self.stage_began)

    def _back(self, build: int, why: str) -> None:
        self.back_for, self.swing = build, ""
        self.acts.append(i.LogLine(f"back {build}: {why}"))

    def _verdict(self, n: i.BuildNews) -> i.Verdict:
        if self.back_for == n.build:
            return i.Verdict.BACK
        low, high, margin, least = self.estimate(n.build)
        sure = least >= LEAST_SAMPLE
        starts = [s.started for s in self.servers.values() if s.build == n.build]
        broken = any(s.fail_share >= BROKEN for s in self.servers.values() if s.build < n.build)
        failing = self.failures.setdefault(n.build, Failures()).proof(len(starts), broken)
        if failing >= 1:
            self._back(n.build, f"fails more than the earlier build, proof {failing:.1f}")
        elif sure and low > margin and n.phase is i.Phase.TRIAL:
            self._back(n.build, f"slower by {low:.0f} to {high:.0f} ms, margin {margin:.0f}")
        doubt = self._doubt(n.build, n.phase is i.Phase.RELEASED)
        if self.back_for == n.build:
            return i.Verdict.BACK
        if self.roll.gate is i.Gate.TIMER and sure and low > margin / 2:
            began = self.hold_began.setdefault((n.build, n.stage), self.now)
            return i.Verdict.HOLD if self.now < began + HOLD_MS else i.Verdict.NONE
        if self.roll.gate is i.Gate.TIMER or n.phase is not i.Phase.TRIAL:
            return i.Verdict.NONE
        ripe = self.now >= max(*starts, self.stage_began) + FALLBACK_MS if starts else False
        on = (ripe or (sure and high < margin)) and failing < IN_DOUBT and not doubt
        return i.Verdict.ON if on else i.Verdict.NONE

    def _judge(self) -> None:
        n = self.best
        if n is None or n.phase in (i.Phase.GOING_BACK, i.Phase.WITHDRAWN):
            return
        if n.stage == 0:  # the rate of a balancer's first seconds reads low
            self.before_rate = max(self.before_rate, self.taken.value(self.now))
        verdict = self._verdict(n)
        wanted = (n.build, n.stage if verdict in (i.Verdict.ON, i.Verdict.HOLD) else 0, verdict)
        voted = self.vote is not None and self.vote[0] == n.build
        if verdict is i.Verdict.NONE and (not voted or self.vote == wanted):
            return
        # Votes and their answers get lost: unanswered ones are sent again, standing ones renewed in time.
        waiting = not self.vote_answered and self.now < self.vote_sent + self.roll.call_timeout_ms
        standing = self.vote_stands_until - self.now > self.roll.vote_life_ms / 2
        soon = self.now < self.vote_sent + 4 * TICK_MS
        if soon or (self.vote == wanted and (waiting or standing)):
            return
        self.vote, self.vote_sent = wanted, self.now
        self.vote_answered, self.vote_stands_until = False, -math.inf
        self.acts.append(i.Vote(*wanted))
