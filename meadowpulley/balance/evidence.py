"""What outcomes prove of a build, own ones and those that other gateways tell of."""

import math
from collections import Counter, defaultdict
from itertools import accumulate, product
from statistics import fmean

from meadowpulley.balance.servers import BROKEN, rest
from meadowpulley.digests import LOST, SERVERS, decode, encode
from meadowpulley.interface import GossipReceived, SendGossip
from meadowpulley.records import Seen, State

LEAST_SAMPLE = 20  # outcomes per build before the bounds may speak
TELLERS = 40  # gateways that tell within TELL_MS while nothing fails: each hears all, sums grow by the square
TELL_MS = 1000.0  # between two digests of what this gateway saw, and two looks at what others told
FAIL_FLOOR = 0.02  # failure share that any build may have
FAIL_MORE = 0.1  # more than the earlier build fails: the least that is looked for
FAIL_LOST = 0.5  # of its requests time out, of the earlier build's FAIL_MORE: paused and cold ones do less
FAIL_MORE_MANY = 0.04  # and the least in the outcomes of many gateways together
MACHINE = 0.4  # at most: failure share in a tally that one broken trial machine explains
PROOF = 4.0  # log odds, and more among many balancers: about three failures more than the earlier build's
OWN = 0.4  # of the proof, else tallies prove nothing: they count time-outs of cold or jammed machines
ONE_SERVER = 0.25  # of the proof, at most, from one of many servers: four must fail
ALL, TALLY = -2, -1  # in place of a server: all of them together, and the platform's count


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
            for part, k in product(((cls, more), (-1, more)), of):
                self.sums[part][k] = max(self.sums[part][k] + gain, 0.0)

    def proof(self, servers: int, broken: bool, needed: float = PROOF) -> float:  # 1: proven
        most = (1.0 if servers <= 1 else max(min(2 / servers, 0.7), ONE_SERVER)) * (0.5 if broken else 1.0)
        found = [0.0]
        for sums in self.sums.values():
            each = sum([min(s, most * needed) for k, s in sums.items() if k >= 0], 0.0)
            found += [min(each, sums.get(ALL, 0.0)), sums.get(TALLY, 0.0) if each > OWN * needed else 0.0]
        return max(found) / needed


def new_seen(memory_ms: float) -> Seen:
    return Seen(Failures(), Failures(FAIL_MORE, FAIL_MORE_MANY), memory_ms)


def mixed_q(
    latency: list[float],
    queue: list[float],
    arm: list[int],
    block: list[tuple[float, int]],
    length: int,
    rate: float,
    least_alpha: float,
) -> tuple[float, float, int, int]:
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


def count(b: State, cls: int, build: int, server: int, failed: int, ok: int) -> None:
    """Own outcomes and tallies, against the build before, at its worst by all: errors come in bursts."""
    if server != TALLY and b.tell_at < math.inf:
        b.peers.untold.append((cls, build, server, failed, ok))
    seen, of, share = b.builds[build], (cls, server == TALLY), failed / max(failed + ok, 1)
    usual = seen.fail_usual.setdefault(of, share)
    seen.fail_usual[of] += min(0.05 * (failed + ok), 0.6) * (share - usual)
    usual = b.builds[b.before].fail_usual.get(of, -1.0)
    if b.best is not None and build == b.best.build and usual >= 0:
        machine = min(1 / max(len(b.trial), 1), MACHINE) if server == TALLY else 0.0
        seen.failures.add(cls, server, failed, ok, max(usual, *b.peers.shares[cls], 0.0) + machine)


def hear_peer(b: State, m: GossipReceived) -> None:
    """Evidence from another gateway, each digest once; caps, lists and the vote stay this one's own."""
    d, most = decode(m.data), 4 * b.many
    if d is None or m.sender == b.s.gateway_index or not b.peers.first(m.sender, d, most):
        b.peers.strays += 1
    elif b.best is not None and len(b.peers.pooled) < most:
        b.peers.pooled.append((m.sender, d))


def _accuse(b: State) -> None:
    """Who fails a good part of all requests, and more than most do, as several say, rests here too."""
    said = [(n, by) for by, d in b.peers.pooled for n, _ in d.failed]
    many, by_server = Counter(n for n, _ in said), Counter(n for n, _ in set(said))
    all_taken = b.taken.value(b.now) * b.many * TELL_MS
    least = max(max(BROKEN * all_taken, 2 * len(said)) / max(len(b.servers), 1), 2)
    for s in b.servers.values():
        if by_server[s.id % SERVERS] > 1 and many[s.id % SERVERS] >= least:
            rest(b, s)


def _pool(b: State, build: int) -> None:
    """What all saw of both builds in one second: what begins everywhere at once is no build's."""
    pooled, b.peers.pooled = [d for _, d in b.peers.pooled if d.build == build], []
    servers = [s.id for s in b.servers.values() if s.build == build]
    blamed = Counter((server, cls) for d in pooled for server, cls in d.failed)
    beside, seen = any(s.build < build for s in b.earlier), b.builds[build]
    answered = [sum(r[n] for d in pooled for r in d.classes if r[0] != LOST) for n in (1, 3)]
    lost = [sum(r[n] for d in pooled for r in d.classes if r[0] == LOST) for n in (1, 3)]
    if beside and lost[1] <= FAIL_MORE * answered[1] and answered[1] >= LEAST_SAMPLE:
        gains = math.log(FAIL_LOST / FAIL_MORE), math.log((1 - FAIL_LOST) / (1 - FAIL_MORE))
        seen.lost = max(seen.lost + lost[0] * gains[0] + answered[0] * gains[1], 0.0)
    for cls in range(len(b.s.classes)):
        rows = [r[1:] for d in pooled for r in d.classes if r[0] == cls]
        ok, failed, old_ok, old_failed = [sum(column) for column in zip(*rows, strict=True)] or [0] * 4
        share, failures = old_failed / max(old_ok + old_failed, 1), seen.pooled
        b.peers.troubled = b.now if share >= FAIL_FLOOR else b.peers.troubled
        if old_ok + old_failed < LEAST_SAMPLE or not beside:
            continue
        b.peers.shares[cls].append(min(share, FAIL_MORE))
        # Where much fails anyhow, good answers of crowded or cold machines come late and errors do not.
        if share > FAIL_MORE:
            continue
        share = max(b.peers.shares[cls])  # the worst of the seconds that these digests may be about
        failures.add(cls, ALL, failed, ok, share)
        for n in servers:  # who gave the good answers is not told: as many by each
            failures.add(cls, n, blamed[n % SERVERS, cls], ok / len(servers), share, one=True)


def exchange(b: State, build: int) -> None:
    """Once a second what each saw goes to all: one sees too little of a trial to judge it in time."""
    b.tell_at = b.now + TELL_MS
    due = b.rng.random() * b.many < TELLERS or any(told[3] for told in b.peers.untold)
    if due and (told := b.peers.digest(build, b.before, b.judge_at < math.inf)):
        b.peers.pooled.append((b.s.gateway_index, told))
        b.acts.append(SendGossip(None, encode(told)))
    _accuse(b)
    _pool(b, build)
