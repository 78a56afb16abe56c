"""Every decision of meadowpulley; its settings, events and actions are in meadowpulley/interface.py."""

from __future__ import annotations

import math
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from functools import partial
from itertools import accumulate, islice, takewhile
from random import Random
from statistics import fmean, median
from typing import Any

from meadowpulley import interface as i
from meadowpulley.digests import SERVERS, Digest, decode, encode
from meadowpulley.records import Attempt, Ballot, Held, Peers, Rate, Seen, Server, Swing, Window, summed

# The design's own figures (starting values, by its page); ours from TICK_MS on.
COIN_SHARE = 0.8  # of the cap: leaves room for requests that must follow their key or find no other server
SUM_LENGTH = 20  # at most: later requests whose costs are added to each request's own
LEAST_ALPHA = 0.5  # a gateway that sees little holds hardly any request: its counts say nothing of latency
MARGIN = 0.25  # of the earlier build's mean latency
LEAST_SAMPLE = 20  # outcomes per build before the bounds may speak
FALLBACK_MS = 4000.0  # after the latest trial start
HOLD_MS = 3000.0  # the longest hold of one stage under a clock
TICK_MS = 50.0  # how often waiting requests are looked at; those that are out four times less often
JUDGE_MS = 400.0  # how often a build is judged
TELL_MS = 1000.0  # between two digests of what this gateway saw, and two looks at what others told
TELLERS = 40  # gateways that tell within it while nothing fails: each hears all: sums grow by the square
LATE_TURN_MS = 250.0  # a timer later than this: this gateway stood still, and what was out only looks slow
LEAST_SWING = 0.1  # odds of the trial build: with less it hardly slows all servers
SWING_SOAKS = 2.0  # soak times within which a slowdown that comes back with the traffic counts as the same
ALONE_SOAKS = 3.0  # soak times of slowness, without an earlier build to compare, that condemn a build
SERVER_SPREAD = 0.5  # how servers of one kind differ, of the mean latency: load multiplies their speeds
BLOCK_MS = 1000.0  # builds are compared within blocks of this length
BLOCK_TRIALS = 2.0  # or as long as it takes to send this many requests to the trial build
HISTORY = 600  # logged requests kept for judging
WARM = 0.8  # warmth from which a machine tells of its build: colder ones queue up more than they are slow
COLD_MARGIN = 0.6  # of the cold budget: capacity is only estimated and work is random
COLD_SLOTS = 4  # slots of a span, each with its own allowance: a burst cannot spend that of two spans
FAIL_FLOOR = 0.02  # failure share that any build may have
FAIL_MORE = 0.1  # more than the earlier build fails: the least that is looked for
FAIL_LOST = 0.5  # of its requests time out, of the earlier build's FAIL_MORE: paused and cold ones do less
FAIL_MORE_MANY = 0.04  # and the least in the outcomes of many gateways together
MACHINE = 0.4  # at most: failure share in a tally that one broken trial machine explains
PROOF = 4.0  # log odds, and more among many balancers: about three failures more than the earlier build's
OWN = 0.4  # of the proof, else tallies prove nothing: they count time-outs of cold or jammed machines
IN_DOUBT = 0.5  # of the proof: no vote to go on until it is settled
ONE_SERVER = 0.25  # of the proof, at most, from one of many servers: four must fail
RATE_MS = 4000.0  # memory of the request and work rates
FAIL_AFTER = 2.0  # usual latencies after it was sent a failure counts: quick ones overtake good answers
FAIL_STEP = 0.2  # weight of the newest outcome in a server's failure share
BROKEN = 0.3  # failure share that shows a trouble of machines: two of the last few
FAIL_OUT = 0.45  # failure share that takes a server out of the choice: three in a row, or half of many
REST_MS = (1000.0, 8000.0)  # first and longest rest of a server taken out; each failed try doubles it
RETRY_SHARE = 0.1  # further attempts for each request taken, so that retries cannot feed a jam
ROOM_STEPS = (0.1, 0.4)  # an answer in time widens the room in flight, a late one narrows it: 1 in 5 is late
FLOOR_EACH = 2.0  # requests in flight a server, from all gateways, that are never too many
FULL_MS = 200.0  # how long a server that turned a request away as full is left alone
SILENT_TIMES = 4.0  # the usual latency without a word, and a server counts as silent
SPARSE = 0.3  # own requests in flight a server, under which two servers are asked before one is chosen
NEAR = 8  # servers that a gateway goes to first, at least
NEAR_PART = 0.1  # of the time for which a connection may stand idle: as many as are asked in it are near
HOME = 0.5  # of those are in its own zone: more would crowd a zone that gets more than its part
TIE = 0.5  # requests: the mean of the chance that tells servers apart which hold as many
WAIT_SHARE = 0.25  # of the aim: how long a request may wait for a server it may go to
RETRY_LIST_MS = 1500.0  # between the second failed list call in a row and the next
LIST_EACH_MS = 100.0  # and for each other gateway: those that start, or fail, at once call one by one
KEYS = 8000  # notes of keys, beyond which they go once no server needs them: then older builds get no key
NEVER_RAN = (i.Result.FULL, i.Result.CONNECT_FAILED, i.Result.MOOT)
TRIAL, BACK = i.Phase.TRIAL, (i.Phase.GOING_BACK, i.Phase.WITHDRAWN)
NO_ANSWER = (*NEVER_RAN, i.Result.ERROR)
LOST = 255  # in place of a class in what gateways tell: time-outs at warm servers
ALL, TALLY = -2, -1  # in place of a server: all of them together, and the platform's count
TICK = 1  # the only timer's token


class Failures:
    """Whether a build fails more than the earlier one: log odds by class and server, never under 0."""

    def __init__(self, *more: float) -> None:
        self.more = more or (FAIL_MORE,)
        self.sums: dict[tuple[int, float], dict[int, float]] = defaultdict(lambda: defaultdict(float))

    def add(self, cls: int, server: int, failed: float, ok: float, usual: float, one: bool = False) -> None:
        of = (server,) if one or server < 0 else (server, ALL)
        low = min(max(usual, FAIL_FLOOR), 0.8)
        for more in self.more:
            high = low + max(more, low / 2) * (1 - low)
            gain = failed * math.log(high / low) + ok * math.log((1 - high) / (1 - low))
            for part in ((cls, more), (-1, more)):
                for k in of:
                    self.sums[part][k] = max(self.sums[part][k] + gain, 0.0)

    def proof(self, servers: int, broken: bool, needed: float = PROOF) -> float:  # 1: proven
        most = (1.0 if servers <= 1 else max(min(2 / servers, 0.7), ONE_SERVER)) * (0.5 if broken else 1.0)
        found = [0.0]
        for sums in self.sums.values():
            each = sum([min(s, most * needed) for k, s in sums.items() if k >= 0], 0.0)
            found += [min(each, sums.get(ALL, 0.0)), sums.get(TALLY, 0.0) if each > OWN * needed else 0.0]
        return max(found) / needed


def mixed_q(
    latency: list[float], queue: list[float], arm: list[int], block: list[tuple[float, int]],
    length: int, rate: float, least_alpha: float,
) -> tuple[float, float, int, int]:  # fmt: skip
    """The mixed Differences-in-Q estimate within blocks: difference, error, counts; `arm` -1: no build's."""
    n = len(latency) - length
    groups: dict[tuple[float, int], tuple[list[int], list[int]]] = {}
    for j in [j for j in range(n) if arm[j] >= 0]:
        groups.setdefault(block[j], ([], []))[arm[j]].append(j)
    both = [(old, new) for old, new in groups.values() if old and new]
    if not both or rate <= 0:
        return 0.0, math.inf, 0, 0
    sums_w, sums_q = [0.0, *accumulate(latency)], [0.0, *accumulate(queue)]
    qw = [sums_w[j + length + 1] - sums_w[j] for j in range(n)]
    qq = [(sums_q[j + length + 1] - sums_q[j]) / rate for j in range(n)]

    def centred(q: list[float]) -> list[float]:
        means = [(block, fmean([q[j] for j in block])) for block in (old + new for old, new in both)]
        return [q[j] - mean for block, mean in means for j in block]

    w, u = centred(qw), centred(qq)
    spread = sum([(a - b) ** 2 for a, b in zip(w, u, strict=True)], 0.0)
    best = sum([b * (b - a) for a, b in zip(w, u, strict=True)], 0.0) / spread if spread > 1e-9 else 1.0
    alpha = max(best, least_alpha)
    mixed = [alpha * a + (1 - alpha) * b for a, b in zip(qw, qq, strict=True)]
    weights = [1 / (1 / len(new) + 1 / len(old)) for old, new in both]
    diffs = [fmean([mixed[j] for j in new]) - fmean([mixed[j] for j in old]) for old, new in both]
    diff = sum([w * d for w, d in zip(weights, diffs, strict=True)], 0.0) / sum(weights, 0.0)
    trial, earlier = sum(len(new) for _, new in both), sum(len(old) for old, _ in both)
    error = math.sqrt(sum([m * m for m in centred(mixed)], 0.0) / (trial + earlier) / sum(weights, 0.0))
    return diff, error, trial, earlier


def _rank(n: i.BuildNews) -> tuple[int, int, int]:  # late news of an earlier state undoes nothing
    return n.build, (TRIAL, i.Phase.RELEASED, *BACK).index(n.phase), n.stage


class Balancer:
    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.s, self.rules, self.roll = settings, settings.rules, settings.rollout
        self.rng, self.many = Random(seed), max(settings.balancers, 1)
        self.z = 2 + 0.5 * math.log(self.many)
        self.needed = PROOF + math.log(max(self.many / max(self.roll.back_votes, 1), 1.0))
        self.now, self.timer_at, self.judge_at, self.stood_still = 0.0, math.inf, math.inf, -math.inf
        self.acts: list[i.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            i.Request: self._request, i.Outcome: self._outcome, i.Timer: self._tick, i.ServerList: self._list,
            i.BuildNews: self._news, i.RequestGone: self._gone, i.AnswerStarted: self._started,
            i.ProbeResult: self._probed, i.PeerMessage: self._peer,
            i.Tally: lambda t: self._count(t.cls, t.build, TALLY, t.failed, t.attempts - t.failed),
        }  # fmt: skip
        self.servers: dict[int, Server] = {}
        self.trial: list[Server] = []  # ready ones, so that no request looks at the whole fleet
        self.earlier: list[Server] = []
        self.held: dict[int, Held] = {}
        self.waiting: list[Held] = []
        self.attempts: dict[tuple[int, int], Attempt] = {}  # oldest first
        self.taken, self.done = Rate(RATE_MS), Rate(RATE_MS)  # requests, without repeats, and answers
        self.retries_left, self.room, self.fleet = 1.0, math.inf, 1  # room in flight; most servers ready
        self.reach = float(NEAR) if settings.limits.idle_ms else math.inf  # how many servers are near
        self.odds = self.followed = 0.0  # of the trial build; share of requests whose key binds them to it
        self.odds_until, self.usual_ms = -math.inf, 0.0  # odds are worked out by then; usual latency
        self.kind_ms: dict[int, float] = {}  # the same by kind of machine, as if warm
        window = partial(Window, self.roll.exposure_window_ms)
        self.window_taken: dict[int, Window] = defaultdict(window)  # exposure: when requests were taken
        self.builds: dict[int, Seen] = defaultdict(
            lambda: Seen(Failures(), Failures(FAIL_MORE, FAIL_MORE_MANY), defaultdict(window))
        )
        self.key_build: dict[int, int] = {}  # one-way keys: the build that may have answered each
        self.floor, self.list_fails = -1, 0  # floor: no key goes under that build, what it had is forgotten
        self.ask_again_at = -math.inf if settings.must_ask else math.inf  # when to ask for the list
        self.list_spread = min(LIST_EACH_MS * (self.many - 1), (self.rules.ask_within_ms or math.inf) / 2)
        self.told: i.BuildNews | None = None  # the last news to the letter, for the rules
        self.best: i.BuildNews | None = None  # the furthest known, for judging and votes
        self.before = self.back_for = -1  # the build that the newest is compared with; that should go back
        self.trial_began = self.stage_began = self.before_ms = self.before_rate = 0.0  # before: the newest
        self.swing = Swing()  # of the traffic to the trial build, while all is slow
        self.samples: deque[Attempt] = deque(maxlen=HISTORY)
        self.due: deque[tuple[float, int, int, int, int, int]] = deque()  # outcomes to count, and when
        self.tell_at = -math.inf if settings.limits.peers and self.many > 1 else math.inf
        self.peers = Peers(Random(seed + 1).getrandbits(32), HISTORY, math.ceil(1 + self.many / TELLERS))
        self.ballot = Ballot()

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.now, self.acts = now, []
        if self.ask_again_at == -math.inf and self.servers:  # discovery takes a fleet's calls in turn
            self.ask_again_at = now + self.rng.random() * self.list_spread
        if now > self.timer_at + LATE_TURN_MS:
            self.stood_still = now
        while self.due and self.due[0][0] <= now:
            self._count(*self.due.popleft()[1:])
        if handler := self.handlers.get(type(event)):
            handler(event)
        # One timer, only when there is something to wait for: an idle balancer costs nothing.
        look = TICK_MS if self.waiting else 4 * TICK_MS if self.attempts else math.inf
        tell = self.tell_at if self.peers.pooled else math.inf  # if idle too: what is old says nothing
        at = max(min(self.judge_at, self.ask_again_at, tell, now + look), now)
        if at < self.timer_at:
            self.timer_at = at
            self.acts.append(i.SetTimer(at - now, TICK))
        return self.acts

    def _gone(self, event: i.RequestGone) -> None:
        if event.request in self.held:
            self._call_off(self.held.pop(event.request))

    def _started(self, event: i.AnswerStarted) -> None:
        if event.request in self.held:
            self.held[event.request].streaming = True

    def _tick(self, _: i.Timer) -> None:
        self.timer_at = math.inf if self.now >= self.timer_at else self.timer_at
        if self.now >= self.ask_again_at:
            self.acts.append(i.Watch())  # an answer that never comes is asked for again
            self.ask_again_at = self.now + max(self.rules.ask_within_ms, RETRY_LIST_MS)
        # A server silent on a request far longer than usual rests; no repeat: costly ones would feed a jam.
        least = min((c.aim_ms for c in self.s.classes), default=0.0)
        limit = min(max(SILENT_TIMES * self.usual_ms, least / 2), least)
        for a in takewhile(lambda a: a.sent < self.now - limit, list(self.attempts.values())):
            if max(a.server.heard, self.stood_still) < a.sent:
                self._rest(a.server)
        waiting, self.waiting = self.waiting, []
        for held in [h for h in waiting if h.r.request in self.held]:
            self._route_or_wait(held)
        if self.now >= self.tell_at and self.best is not None:
            self.tell_at = self.now + TELL_MS
            if self.rng.random() * self.many < TELLERS or any(told[3] for told in self.peers.untold):
                self._tell(self.best.build)
            self._accuse()
            self._pool(self.best.build)
        if self.now >= self.judge_at:
            self._judge()

    def _list(self, event: i.ServerList) -> None:
        if event.kind in (i.ListKind.FAILED, i.ListKind.SILENT):  # whether the watch still stands is not said
            herd = event.kind is i.ListKind.FAILED  # silence is found after seconds, by each at its own time
            pause = RETRY_LIST_MS * min(self.list_fails, 3) * (0.5 + self.rng.random())
            spread = self.rng.random() * self.list_spread * (1 + min(self.list_fails, 1))
            self.ask_again_at = self.now + herd * max(pause, spread) if self.s.must_ask else math.inf
            self.list_fails += herd
            return
        if event.kind is not i.ListKind.CACHED:
            self.ask_again_at, self.list_fails = math.inf, 0
        named = {e.server: e for e in event.entries}
        if event.kind is not i.ListKind.CHANGES:
            self.servers = {n: s for n, s in self.servers.items() if n in named}
        for n, entry in named.items():
            server = self.servers.get(n)
            if not server or (server.build, server.started) != (entry.build, entry.started_ms):
                server = self.servers[n] = Server(entry)
            server.state, server.cell, server.zone = entry.state, entry.cell, entry.zone
            if entry.state is i.ServerState.GONE:
                del self.servers[n]
        self._sort()

    def _sort(self) -> None:  # ready servers by arm, after news of servers or builds
        ready = [s for _, s in sorted(self.servers.items()) if s.state is i.ServerState.READY]
        self.trial = [s for s in ready if self._on_trial(s.build)]
        self.earlier = [s for s in ready if not self._on_trial(s.build)]
        if len(self.key_build) > KEYS and (low := min((s.build for s in ready), default=-1)) > self.floor:
            self.floor, self.key_build = low, {k: b for k, b in self.key_build.items() if b > low}
        self.odds_until, self.judge_at = -math.inf, min(self.judge_at, self.now)
        self.fleet = max(self.fleet, len(ready))

    def _request(self, r: i.Request) -> None:
        held = self.held[r.request] = Held(r, self.s.classes[r.cls], self.now, self.roll.exposure_per_class)
        rate = self.taken.value(self.now, 0.0 if r.repeat else 1.0)
        self.reach = max(self.reach, NEAR_PART * self.s.limits.idle_ms * rate)
        self.retries_left = min(self.retries_left + RETRY_SHARE, 10.0)
        self.window_taken[held.counted].add(self.now)
        if len(self.attempts) + self.rng.random() > self.room:  # by chance: many have room for less than one
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
        """Answers in time widen the room in flight, late ones narrow it to what ends a jam."""
        out, late = len(self.attempts) + 1, 2 * self.usual_ms > held.cls.aim_ms
        if o.result is i.Result.OK and o.elapsed_ms <= held.cls.aim_ms:
            self.room += ROOM_STEPS[0] if 2 * out > self.room else 0.0
        elif o.result is i.Result.OK or (o.result is i.Result.TIMEOUT and late):
            usual = max(out, self.done.value(self.now) * self.usual_ms)  # few in flight vary by chance
            self.room = min(self.room, usual + max(usual, 3 * math.sqrt(usual)) + 1) - ROOM_STEPS[1]
        self.room = max(self.room, FLOOR_EACH * len(self.servers) / self.many)

    def _give_up(self, held: Held) -> None:
        rid = held.r.request
        self.held.pop(rid, None)
        advice = self.s.limits.retry_after * self.s.limits.max_retry_after_ms
        everywhere = held.cls.effect is i.Effect.KEYED and held.cls.group is i.Group.ALL
        harmless = held.cls.effect is i.Effect.SAFE or not held.maybe or everywhere
        self.acts.append(i.Refuse(rid, advice) if harmless else i.Fail(rid))
        self._call_off(held)

    def _call_off(self, held: Held) -> None:  # what is over should burden no server that can drop it
        rid, able = held.r.request, self.s.limits.cancel and not held.streaming
        self.acts += [i.Cancel(rid, a.n) for a in held.maybe if able and (rid, a.n) in self.attempts]

    def _outcome(self, o: i.Outcome) -> None:
        attempt = self.attempts.pop((o.request, o.attempt), None)
        if attempt is None:
            return
        held, server, ok = attempt.held, attempt.server, o.result is i.Result.OK
        server.out, held.out = server.out - 1, held.out - 1
        if o.result in NEVER_RAN:
            held.maybe.remove(attempt)
        known = attempt.sent >= self.stood_still  # else it took nobody knows how long: nothing is learnt
        if known and o.result not in (i.Result.CANCELLED, i.Result.MOOT):
            self._health(server, o.result)
        self.done.value(self.now, float(ok))
        if o.result not in NO_ANSWER and held.r.key and server.build > self.floor and self.roll.one_way:
            self.key_build[held.r.key] = max(server.build, self.key_build.get(held.r.key, 0))
        if ok or o.result is i.Result.ERROR:  # a broken connection is the network's or the machine's
            due = -math.inf if ok else attempt.sent + FAIL_AFTER * self.usual_ms
            self.due.append((due, held.r.cls, server.build, server.id, int(not ok), int(ok)))
        if o.result is i.Result.TIMEOUT and attempt.warmth >= WARM and known:
            self.peers.untold.append((LOST, server.build, server.id, 0, 1))  # in place of good ones
        if known:
            self._learn_room(held, o)
        attempt.lost = not (known and (ok or (o.result is i.Result.ERROR and server.fail_share < BROKEN)))
        attempt.latency = self.usual_ms if attempt.lost else o.elapsed_ms if ok else held.cls.deadline_ms
        if ok and known:
            self.usual_ms += 0.05 * (o.elapsed_ms - self.usual_ms) if self.usual_ms else o.elapsed_ms
            warm = o.elapsed_ms * attempt.warmth
            self.kind_ms[server.kind] = self.kind_ms.get(server.kind, warm) * 0.95 + 0.05 * warm
        if o.over:
            self.held.pop(o.request, None)
            self._call_off(held)
        elif self.held.get(o.request) is held and held.out == 0:
            if self.retries_left >= 1 and self._route(held):
                self.retries_left -= 1
            else:
                self._give_up(held)

    def _health(self, server: Server, result: i.Result) -> None:
        server.heard = self.now
        failed = result is not i.Result.OK
        if result is i.Result.FULL:
            server.rest_until = max(server.rest_until, self.now + FULL_MS)
        elif not failed or server.failed_at < self.now:  # one event that breaks several is one failure
            server.failed_at = self.now if failed else server.failed_at
            server.fail_share += FAIL_STEP * (failed - server.fail_share)
            if server.fail_share < FAIL_OUT and not failed:
                server.rest_ms = 0.0
            elif failed and (server.rest_ms or server.fail_share >= FAIL_OUT):
                usual = median(s.fail_share for s in self.servers.values()) if self.servers else 0.0
                if server.rest_ms or server.fail_share >= FAIL_OUT + usual:
                    self._rest(server)  # but not where most fail: that would jam the others

    def _rest(self, server: Server) -> None:  # for a while; afterwards one request at a time tries it
        if self.now >= server.rest_until:
            server.rest_ms = min(max(REST_MS[0], 2 * server.rest_ms), REST_MS[1])
            server.rest_until = self.now + server.rest_ms

    def _warmth(self, server: Server, age_less: float = 0.0) -> float:  # the least part of its capacity
        age = self.now - server.started - age_less
        if not server.started or age >= self.rules.cold_ms:
            return 1.0
        return self.rules.cold_from + (1 - self.rules.cold_from) * max(age, 0.0) / self.rules.cold_ms

    def _on_trial(self, build: int) -> bool:
        t = self.told
        return t is None or build > t.build or (build == t.build and t.phase is not i.Phase.RELEASED)

    def _cap_and_stage(self, build: int) -> tuple[float, int]:
        t = self.told
        return (t.cap, t.stage) if t is not None and build == t.build else ((*self.roll.caps, 0.0)[0], 0)

    def _may_send(self, held: Held, server: Server) -> bool:  # the one check of every attempt: all rules
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
        return self._within_exposure(held, server) and self._within_cold_budget(server)

    def _within_cold_budget(self, server: Server) -> bool:
        """This gateway's part of what a cold server may get, by the slot: by chance, as hundreds add up."""
        span = self.rules.fall_ms
        if self._warmth(server, span) >= 1.0:
            return True
        slot = int(self.now * COLD_SLOTS / span)
        if server.slot != slot:
            served = max(self.done.value(self.now), self.taken.value(self.now) / 2)  # answers stop in a jam
            budget = self.rules.fall_multiple * self._warmth(server, span / 2) * served / self.fleet
            near = self._near(self.trial if self._on_trial(server.build) else self.earlier)
            part = max(COLD_MARGIN * budget * span / COLD_SLOTS, 1 / self.many) * near.get(server.id, 1.0)
            server.slot, server.left = slot, int(part + self.rng.random())
        return server.left >= 1

    def _within_exposure(self, held: Held, server: Server) -> bool:
        free = self.told.build if self.told is not None and self.told.phase in BACK else -1
        if held.r.key and self.key_build.get(held.r.key, self.floor) > max(server.build, free):
            return False
        if not self._on_trial(server.build):  # what is out at a later build may be answered there by now
            later = [a.held.r.key for a in self.attempts.values() if a.server.build > max(server.build, free)]
            return not (self.roll.one_way and held.r.key and held.r.key in later)
        cap, stage = self._cap_and_stage(server.build)
        if cap <= 0 or (stage < self.roll.guarded_stages and held.cls.effect is not i.Effect.SAFE):
            return False
        taken = self.window_taken[held.counted].within(self.now, -self.s.tick_ms)
        sent = self.builds[server.build].sent[held.counted].within(self.now, self.s.tick_ms)
        return sent + 1 <= self.roll.exposure_free + cap * taken

    def _coin(self) -> float:
        """0.8 of the cap, but no more than trial machines can do; keys bound to the trial build count."""
        trial, earlier = self.trial, self.earlier
        cap, _ = self._cap_and_stage(trial[0].build)
        if self.now >= self.odds_until:  # warmth changes slowly: worked out a few times a second
            self.odds_until = self.now + JUDGE_MS
            # A cold machine is slow at whatever share, so it gets less than it could do: warmth counts twice.
            new, old = [sum([self._able(s) * self._warmth(s) for s in g], 0.0) for g in (trial, earlier)]
            if self.best is not None and self.best.phase is i.Phase.GOING_BACK:
                self.odds = min(max(1 - old / (0.75 * (new + old)), 0.0), cap)  # what has no room
            else:
                self.odds = min(COIN_SHARE * cap, new / (new + old))
        odds = 0.0 if self.swing.off and len(trial) < len(earlier) else self.odds
        return max(odds - self.followed, 0.0) / max(1 - self.followed, 0.01)

    def _near(self, group: list[Server]) -> dict[int, float]:
        """Who is asked first, and how many times an average part of them is this gateway's: a window by its
        number, half of its zone, so that few connections serve and a zone that is cut off costs little."""
        near: dict[int, float] = {}
        for home, part in ((True, HOME), (False, 1 - HOME)) if self.reach < len(group) else ():
            some = [s.id for s in group if (s.zone == self.s.zone) is home]
            at, count = self.s.me * len(some) // self.many, math.ceil(self.reach * part)
            near |= dict.fromkeys(
                (some + some)[at : at + count], part * len(group) / min(count, len(some) or 1)
            )
        return near

    def _two(self, held: Held, group: list[Server], drawn: int) -> list[Server]:
        near, some = self._near(group), self.rng.sample(group, min(drawn, len(group)))
        order = sorted(some, key=lambda s: (s.id in held.tried, s.id not in near))
        fit = filter(lambda s: self.now >= s.rest_until and not (s.rest_ms and s.out), order)
        two = list(islice(filter(lambda s: self._may_send(held, s), fit), 2))
        return [s for s in two if s.id not in held.tried] or two  # chance does not choose a tried one again

    def _able(self, s: Server) -> float:  # what it can do by its warmth and its kind's latency, of the best
        usual = self.kind_ms.get(s.kind, 0.0)
        return self._warmth(s) * (min(self.kind_ms.values()) / usual if usual else 1.0)

    def _route(self, held: Held) -> bool:
        trial, earlier = self.trial, self.earlier
        followed = bool(trial) and self.key_build.get(held.r.key, -1) >= trial[0].build
        self.followed += 0.02 * (followed - self.followed)
        tossed = bool(trial and earlier) and not followed
        first = trial if trial and (not earlier or self.rng.random() < self._coin()) else earlier
        # What a cold trial machine may not have goes to the earlier build, where parts are whole requests.
        drawn = 2 if tossed and first is trial and 2 * self.many < self.fleet else len(first)
        two = self._two(held, first, drawn)
        if not two and trial and earlier:
            tossed, two = False, self._two(held, earlier if first is trial else trial, len(self.servers))
        dense = min(len(self.attempts) / max(len(self.servers), 1), 1.0)
        if len(two) > 1 and self.s.limits.probes and dense < SPARSE and not held.tries and not held.asked:
            held.asked, held.tossed = [s.id for s in two], tossed  # own counts say nothing: the servers tell
            self.acts += [i.Probe(s) for s in held.asked]
            return False
        # Who holds nothing is chosen by chance, in proportion to what each can do.
        crowding = [(s.out + TIE * self.rng.expovariate(1.0)) / self._able(s) ** (2 - dense) for s in two]
        if two:
            self._send(held, two[crowding.index(min(crowding))], fmean([s.out for s in two]), tossed)
        return bool(two)

    def _probed(self, p: i.ProbeResult) -> None:  # the first of the two that answers has the shorter queue
        server = self.servers.get(p.server)
        for held in [h for h in self.waiting if p.server in h.asked and p.result is i.Result.OK]:
            if server and self._may_send(held, server):
                self.waiting.remove(held)
                self._send(held, server, server.out, held.tossed)

    def _send(self, held: Held, server: Server, queue: float, tossed: bool) -> None:
        attempt = Attempt(held, server, queue, self.now, self._warmth(server))
        if held.tries == 0:
            attempt.tossed = tossed
            self.samples.append(attempt)
        self.attempts[held.r.request, attempt.n] = attempt
        server.out, server.left = server.out + 1, server.left - 1
        held.sent(attempt)
        if self._on_trial(server.build):
            self.builds[server.build].sent[held.counted].add(self.now)
        # No early time-out: work given up runs on at many sites, and repeats feed a jam.
        self.acts.append(i.Send(held.r.request, server.id))

    def _news(self, n: i.BuildNews) -> None:
        self.ballot.answered |= n.answers_vote
        if n.answers_vote and n.result is i.Result.OK:
            self.ballot.stands_until = self.now + self.roll.vote_life_ms
        elif n.answers_vote and n.result is i.Result.FULL:  # all called at once: not all again at once
            self.ballot.after = self.now + self.rng.random() * 1000 * self.many / self.roll.votes_per_s
        if n.result is not i.Result.OK:
            return
        self.told = n
        if self.best is None or n.build > self.best.build:
            self.odds, self.swing.off, self.swing.since, self.before_rate = 0.0, False, math.inf, 0.0
            self.trial_began = self.now
            self.peers.untold.clear()
            self.before_ms = fmean([self._cost(s) for s in self.samples] or [0.0])
            if self.best is not None and self.best.phase is i.Phase.RELEASED:
                self.before = self.best.build
            self.floor = min(self.floor, self.before)  # the keys of builds that were taken off are free
            self.key_build = {k: b for k, b in self.key_build.items() if b <= self.before or b >= n.build}
            for build in [b for b in self.builds if b < n.build and b != self.before]:
                del self.builds[build]
        if self.best is None or _rank(n) > _rank(self.best):
            self.stage_began = self.now - n.age_ms
            self.best = n
        self._sort()

    def _count(self, cls: int, build: int, server: int, failed: int, ok: int) -> None:
        """Own outcomes and tallies, against the build before, at its worst by all: errors come in bursts."""
        if server != TALLY and self.tell_at < math.inf:
            self.peers.untold.append((cls, build, server, failed, ok))
        seen, of, share = self.builds[build], (cls, server == TALLY), failed / max(failed + ok, 1)
        usual = seen.fail_usual.setdefault(of, share)
        seen.fail_usual[of] += min(0.05 * (failed + ok), 0.6) * (share - usual)
        usual = self.builds[self.before].fail_usual.get(of, -1.0)
        if self.best is not None and build == self.best.build and usual >= 0:
            machine = min(1 / max(len(self.trial), 1), MACHINE) if server == TALLY else 0.0
            seen.failures.add(cls, server, failed, ok, max(usual, *self.peers.shares[cls], 0.0) + machine)

    def _tell(self, build: int) -> None:
        """One gateway sees too little of a trial to judge it in time: what each saw since goes to all."""
        rows: dict[int, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        broken: list[tuple[int, int]] = []
        for cls, of, server, failed, ok in self.peers.untold:
            if self.judge_at < math.inf and of in (build, self.before):
                at = 0 if of == build else 2
                rows[cls][at], rows[cls][at + 1] = rows[cls][at] + ok, rows[cls][at + 1] + failed
            broken += [(server % SERVERS, cls)] * failed
        self.peers.untold.clear()
        if rows or broken:
            self.peers.tellings += 1
            classes = tuple((c, r[0], r[1], r[2], r[3]) for c, r in sorted(rows.items()))
            told = Digest(self.peers.life, self.peers.tellings, build, classes, tuple(broken))
            self.peers.pooled.append((self.s.me, told))
            self.acts.append(i.TellPeer(None, encode(told)))

    def _peer(self, m: i.PeerMessage) -> None:
        """Evidence from another gateway, each digest once; caps, lists and the vote stay this one's own."""
        d = decode(m.data)
        if d is None or m.sender == self.s.me or self.peers.told_by.get((m.sender, d.life), -1) >= d.number:
            self.peers.strays += 1
            return
        self.peers.told_by.pop((m.sender, d.life), None)
        self.peers.told_by[m.sender, d.life] = d.number
        if len(self.peers.told_by) > 4 * self.many:  # lives long over
            del self.peers.told_by[next(iter(self.peers.told_by))]
        if self.best is not None and len(self.peers.pooled) < 4 * self.many:
            self.peers.pooled.append((m.sender, d))

    def _accuse(self) -> None:
        """Who fails a good part of all requests, and more than most do, as several say, rests here too."""
        said = [(n, by) for by, d in self.peers.pooled for n, _ in d.failed]
        many, by_server = Counter(n for n, _ in said), Counter(n for n, _ in set(said))
        all_taken = self.taken.value(self.now) * self.many * TELL_MS
        least = max(max(BROKEN * all_taken, 2 * len(said)) / max(len(self.servers), 1), 2)
        for s in self.servers.values():
            if by_server[s.id % SERVERS] > 1 and many[s.id % SERVERS] >= least:
                self._rest(s)

    def _pool(self, build: int) -> None:
        """What all saw of both builds in one second: what begins everywhere at once is no build's."""
        pooled, self.peers.pooled = [d for _, d in self.peers.pooled if d.build == build], []
        servers = [s.id for s in self.servers.values() if s.build == build]
        blamed = Counter((server, cls) for d in pooled for server, cls in d.failed)
        beside, seen = any(s.build < build for s in self.earlier), self.builds[build]
        answered = [sum(r[n] for d in pooled for r in d.classes if r[0] != LOST) for n in (1, 3)]
        lost = [sum(r[n] for d in pooled for r in d.classes if r[0] == LOST) for n in (1, 3)]
        if beside and lost[1] <= FAIL_MORE * answered[1] and answered[1] >= LEAST_SAMPLE:
            gains = math.log(FAIL_LOST / FAIL_MORE), math.log((1 - FAIL_LOST) / (1 - FAIL_MORE))
            seen.lost = max(seen.lost + lost[0] * gains[0] + answered[0] * gains[1], 0.0)
        for cls in range(len(self.s.classes)):
            rows = [r[1:] for d in pooled for r in d.classes if r[0] == cls]
            ok, failed, old_ok, old_failed = [sum(column) for column in zip(*rows, strict=True)] or [0] * 4
            share, failures = old_failed / max(old_ok + old_failed, 1), seen.pooled
            self.peers.troubled = self.now if share >= FAIL_FLOOR else self.peers.troubled
            if old_ok + old_failed < LEAST_SAMPLE or not beside:
                continue
            self.peers.shares[cls].append(min(share, FAIL_MORE))
            # Where much fails anyhow, good answers of crowded or cold machines come late and errors do not.
            if share > FAIL_MORE:
                continue
            share = max(self.peers.shares[cls])  # the worst of the seconds that these digests may be about
            failures.add(cls, ALL, failed, ok, share)
            for n in servers:  # who gave the good answers is not told: as many by each
                failures.add(cls, n, blamed[n % SERVERS, cls], ok / len(servers), share, one=True)

    def _cost(self, s: Attempt) -> float:  # a cold server is slow whatever it runs: counted as if warm
        return s.warmth * (s.latency if s.latency is not None else self.now - s.sent)

    def estimate(self, build: int) -> tuple[float, float, float, int]:  # bounds, margin, the lesser count
        until, most = self.now - FAIL_AFTER * self.usual_ms, SILENT_TIMES * self.usual_ms  # more is silence
        samples = [s for s in self.samples if self.trial_began <= s.sent <= until]
        out = [s.lost or not s.tossed or s.server.build > build or s.warmth < WARM for s in samples]
        arm = [-1 if o else int(s.server.build == build) for s, o in zip(samples, out, strict=True)]
        if 1 not in arm:
            return -math.inf, math.inf, 0.0, 0
        latency, queue = [min(self._cost(s), most) for s in samples], [s.warmth * s.queue for s in samples]
        taken = self.taken.value(self.now)
        rate = taken / max(len(self.servers), 1)
        length = min(math.ceil(rate * self.usual_ms), SUM_LENGTH)
        block = max(BLOCK_MS, BLOCK_TRIALS / max(taken * self.odds, 1e-6))
        blocks = [(s.sent // block, s.server.kind) for s in samples]
        least = 1 - (1 - LEAST_ALPHA) * min(rate * self.usual_ms, 1.0)
        diff, error, new, old = mixed_q(latency, queue, arm, blocks, length, rate, least)
        mean = fmean([w for w, a in zip(latency, arm, strict=True) if a == 0] or [0.0])
        # A slow machine or two are no slow build; nor is a crowded one: the margin grows with what it gets.
        builds = [s.build for s in self.servers.values() if self._warmth(s, self.roll.soak_ms) >= WARM]
        count = max(builds.count(build), 1)
        error *= 1 + self.z / math.sqrt(4 * max(min(new, old), 1))  # few outcomes tell little of it
        error = math.hypot(error, SERVER_SPREAD * mean / math.sqrt(count))
        crowd = max(new * max(len(self.servers) - count, 1) / max(old * count, 1), 1.0)
        return diff - self.z * error, diff + self.z * error, MARGIN * mean * crowd, min(new, old)

    def _slow(self, seen: list[Attempt]) -> bool:  # clearly slower than before the newest build
        n, mean, deviation = summed([self._cost(s) for s in seen[-8 * LEAST_SAMPLE :]])
        error = self.z * deviation * math.sqrt(n) / max(n - 1, 1)
        return n >= LEAST_SAMPLE and mean - error > (1 + MARGIN) * self.before_ms > 0

    def _doubt(self, build: int, released: bool) -> bool:
        """Whether the trial build may slow both: it gets nothing till that ends; at the third, it goes."""
        alone = released or not any(s.build < build for s in self.servers.values())
        memory = 2 * RATE_MS if alone else math.inf  # a jam long over is no slowness
        old = [s for s in self.samples if 2 * self.before_ms < self.now - s.sent < memory]  # late if out
        seen = [s for s in old if s.sent > self.swing.at and (alone or s.server.build < build)]
        known, slow, since = len(seen) >= LEAST_SAMPLE, self._slow(seen), self.now - self.swing.at
        if alone:  # slow for longer than troubles last, without more new requests, nor a jam, which hides all
            more = self.taken.value(self.now) > (1 + 2 * MARGIN) * self.before_rate
            jam = sum(s.lost for s in seen[-2 * LEAST_SAMPLE :]) > LEAST_SAMPLE / 2
            self.swing.since = min(self.swing.since, self.now) if slow and not more and not jam else math.inf
            if self.now > self.swing.since + ALONE_SOAKS * self.roll.soak_ms:
                self._back(build, f"slow since the earlier build has gone, usually {self.before_ms:.0f} ms")
            return slow
        if self.odds < LEAST_SWING / 2 and known and not slow:  # too little to slow the earlier build
            self.before_ms = fmean([self._cost(s) for s in seen])
        elif not self.swing.off and slow and self.odds >= LEAST_SWING:
            self.swing.off, self.swing.at = True, self.now
            self.swing.count = self.swing.count + 1 if since < SWING_SOAKS * self.roll.soak_ms else 1
            if self.swing.count > 2:
                self._back(build, f"both builds slow with its traffic, usually {self.before_ms:.0f} ms")
        elif self.swing.off and known and not slow and since > 2 * BLOCK_MS:
            self.swing.off, self.swing.at = False, self.now
        return self.swing.off or slow or self._slow(old) or (not known and self.swing.at > self.stage_began)

    def _back(self, build: int, why: str) -> None:
        self.back_for, self.swing.off = build, False
        self.acts.append(i.LogLine(f"back {build}: {why}"))

    def _ripe(self, n: i.BuildNews) -> bool:  # old enough for a vote without enough outcomes
        starts = [s.started for s in self.servers.values() if s.build == n.build]
        spread = 1000 * max(self.many / max(self.roll.votes_per_s, 1.0) - 2, 0.0)  # two seconds' at once
        early = min(spread * (1 - self.s.me / self.many), FALLBACK_MS / 2)
        return bool(starts) and self.now >= max(*starts, self.stage_began) + FALLBACK_MS - early

    def _verdict(self, n: i.BuildNews) -> i.Verdict:
        low, high, margin, least = self.estimate(n.build)
        sure = least >= LEAST_SAMPLE
        shares = [s.fail_share for s in self.servers.values() if s.build < n.build]
        # Machines are broken by what this gateway has met, or by what all have.
        broken = max(shares, default=0.0) >= BROKEN or self.now < self.peers.troubled + RATE_MS
        new, seen = len(self.servers) - len(shares), self.builds[n.build]
        own, all_saw = [f.proof(new, broken, self.needed) for f in (seen.failures, seen.pooled)]
        failing = max(own, all_saw, seen.lost / self.needed)
        if self.back_for == n.build:
            return i.Verdict.BACK
        if failing >= 1:
            self._back(n.build, f"fails more than the earlier build, proof {failing:.1f}")
        elif sure and low > margin and n.phase is TRIAL:
            self._back(n.build, f"slower by {low:.0f} to {high:.0f} ms, margin {margin:.0f}")
        doubt = self._doubt(n.build, n.phase is i.Phase.RELEASED)
        if self.back_for == n.build:
            return i.Verdict.BACK
        if self.roll.gate is i.Gate.TIMER and sure and low > margin / 2:
            began = self.builds[n.build].hold_began.setdefault(n.stage, self.now)
            return i.Verdict.HOLD if self.now < began + HOLD_MS else i.Verdict.NONE
        may = self.roll.gate is not i.Gate.TIMER and n.phase is TRIAL
        on = may and ((sure and high < margin) or self._ripe(n)) and failing < IN_DOUBT and not doubt
        return i.Verdict.ON if on else i.Verdict.NONE

    def _judge(self) -> None:
        n, self.judge_at = self.best, math.inf
        if n is None or n.phase in BACK:
            return
        if n.build in {s.build for s in self.servers.values() if self.before >= 0 or n.phase is TRIAL}:
            self.judge_at = self.now + JUDGE_MS
        self.before_rate = max(self.before_rate, self.taken.value(self.now) if n.stage == 0 else 0.0)
        verdict = self._verdict(n)
        wanted = (n.build, n.stage if verdict in (i.Verdict.ON, i.Verdict.HOLD) else 0, verdict)
        if verdict is i.Verdict.NONE and (self.ballot.vote == wanted or self.ballot.vote[0] != n.build):
            return
        # Votes and their answers get lost: unanswered ones are sent again, standing ones renewed in time.
        waiting = not self.ballot.answered and self.now < self.ballot.sent + self.roll.call_timeout_ms
        standing = self.ballot.stands_until - self.now > self.roll.vote_life_ms / 2
        soon = self.now < max(self.ballot.sent + 4 * TICK_MS, self.ballot.after)
        if soon or (self.ballot.vote == wanted and (waiting or standing)):
            return
        self.ballot.vote, self.ballot.sent = wanted, self.now
        self.ballot.answered, self.ballot.stands_until = False, -math.inf
        self.acts.append(i.Vote(*wanted))
