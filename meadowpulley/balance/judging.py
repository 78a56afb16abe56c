"""Judging the newest build by its costs and failures, and the votes that follow."""

import math
from statistics import fmean

from meadowpulley.balance.evidence import LEAST_SAMPLE, mixed_q
from meadowpulley.balance.requests import FAIL_AFTER, TICK_MS, WARM
from meadowpulley.balance.sending import JUDGE_MS
from meadowpulley.balance.servers import BACK, BROKEN, SILENT_TIMES, TRIAL, sort_arms, warmth
from meadowpulley.interface import LogLine, Phase, Result, RolloutUpdate, StageGate, Verdict, Vote
from meadowpulley.records import RATE_MS, Attempt, State, summed

SUM_LENGTH = 20  # at most: later requests whose costs are added to each request's own
LEAST_ALPHA = 0.5  # a gateway that sees little holds hardly any request: its counts say nothing of latency
MARGIN = 0.25  # of the earlier build's mean latency
FALLBACK_MS = 4000.0  # after the latest trial start
HOLD_MS = 3000.0  # the longest hold of one stage under a clock
LEAST_SWING = 0.1  # odds of the trial build: with less it hardly slows all servers
SWING_SOAKS = 2.0  # soak times within which a slowdown that comes back with the traffic counts as the same
ALONE_SOAKS = 3.0  # soak times of slowness, without an earlier build to compare, that condemn a build
SERVER_SPREAD = 0.5  # how servers of one kind differ, of the mean latency: load multiplies their speeds
BLOCK_MS = 1000.0  # builds are compared within blocks of this length
BLOCK_TRIALS = 2.0  # or as long as it takes to send this many requests to the trial build
IN_DOUBT = 0.5  # of the proof: no vote to go on until it is settled


def _rank(n: RolloutUpdate) -> tuple[int, int, int]:  # late news of an earlier state undoes nothing
    return n.build, (TRIAL, Phase.RELEASED, *BACK).index(n.phase), n.stage


def estimate(b: State, build: int) -> tuple[float, float, float, int]:  # bounds, margin, the lesser count
    until, most = b.now - FAIL_AFTER * b.usual_ms, SILENT_TIMES * b.usual_ms  # more is silence
    samples = [s for s in b.samples if b.trial_began <= s.sent <= until]
    out = [s.lost or not s.tossed or s.server.build > build or s.warmth < WARM for s in samples]
    arm = [-1 if o else int(s.server.build == build) for s, o in zip(samples, out, strict=True)]
    if 1 not in arm:
        return -math.inf, math.inf, 0.0, 0
    latency, queue = [min(s.cost(b.now), most) for s in samples], [s.warmth * s.queue for s in samples]
    taken = b.taken.value(b.now)
    rate = taken / max(len(b.servers), 1)
    length = min(math.ceil(rate * b.usual_ms), SUM_LENGTH)
    block = max(BLOCK_MS, BLOCK_TRIALS / max(taken * b.odds, 1e-6))
    blocks = [(s.sent // block, s.server.kind) for s in samples]
    least = 1 - (1 - LEAST_ALPHA) * min(rate * b.usual_ms, 1.0)
    diff, error, new, old = mixed_q(latency, queue, arm, blocks, length, rate, least)
    mean = fmean([w for w, a in zip(latency, arm, strict=True) if a == 0] or [0.0])
    # A slow machine or two are no slow build; nor is a crowded one: the margin grows with what it gets.
    warm = [s for s in b.servers.values() if warmth(b, s, b.roll.soak_ms) >= WARM and s.build == build]
    count = max(len(warm), 1)
    error *= 1 + b.z / math.sqrt(4 * max(min(new, old), 1))  # few outcomes tell little of it
    error = math.hypot(error, SERVER_SPREAD * mean / math.sqrt(count))
    crowd = max(new * max(len(b.servers) - count, 1) / max(old * count, 1), 1.0)
    return diff - b.z * error, diff + b.z * error, MARGIN * mean * crowd, min(new, old)


def _slow(b: State, seen: list[Attempt]) -> bool:  # clearly slower than before the newest build
    n, mean, deviation = summed([s.cost(b.now) for s in seen[-8 * LEAST_SAMPLE :]])
    error = b.z * deviation * math.sqrt(n) / max(n - 1, 1)
    return n >= LEAST_SAMPLE and mean - error > (1 + MARGIN) * b.before_ms > 0


def _doubt(b: State, build: int, released: bool) -> bool:
    """Whether the trial build may slow both: it gets nothing till that ends; at the third, it goes."""
    alone = released or not any(s.build < build for s in b.servers.values())
    memory = 2 * RATE_MS if alone else math.inf  # a jam long over is no slowness
    old = [s for s in b.samples if 2 * b.before_ms < b.now - s.sent < memory]  # late if out
    seen = [s for s in old if s.sent > b.swing.at and (alone or s.server.build < build)]
    known, slow, since = len(seen) >= LEAST_SAMPLE, _slow(b, seen), b.now - b.swing.at
    if alone:  # slow for longer than troubles last, without more new requests, nor a jam, which hides all
        more = b.taken.value(b.now) > (1 + 2 * MARGIN) * b.before_rate
        jam = sum(s.lost for s in seen[-2 * LEAST_SAMPLE :]) > LEAST_SAMPLE / 2
        b.swing.since = min(b.swing.since, b.now) if slow and not more and not jam else math.inf
        if b.now > b.swing.since + ALONE_SOAKS * b.roll.soak_ms:
            _back(b, build, f"slow since the earlier build has gone, usually {b.before_ms:.0f} ms")
        return slow
    if b.odds < LEAST_SWING / 2 and known and not slow:  # too little to slow the earlier build
        b.before_ms = fmean([s.cost(b.now) for s in seen])
    elif not b.swing.off and slow and b.odds >= LEAST_SWING:
        b.swing.off, b.swing.at = True, b.now
        b.swing.count = b.swing.count + 1 if since < SWING_SOAKS * b.roll.soak_ms else 1
        if b.swing.count > 2:
            _back(b, build, f"both builds slow with its traffic, usually {b.before_ms:.0f} ms")
    elif b.swing.off and known and not slow and since > 2 * BLOCK_MS:
        b.swing.off, b.swing.at = False, b.now
    return b.swing.off or slow or _slow(b, old) or (not known and b.swing.at > b.stage_began)


def _back(b: State, build: int, why: str) -> None:
    b.back_for, b.swing.off = build, False
    b.acts.append(LogLine(f"back {build}: {why}"))


def _ripe(b: State, n: RolloutUpdate) -> bool:  # old enough for a vote without enough outcomes
    starts = [s.started for s in b.servers.values() if s.build == n.build]
    spread = 1000 * max(b.many / max(b.roll.votes_per_s, 1.0) - 2, 0.0)  # two seconds' at once
    early = min(spread * (1 - b.s.gateway_index / b.many), FALLBACK_MS / 2)
    return bool(starts) and b.now >= max(*starts, b.stage_began) + FALLBACK_MS - early


def _verdict(b: State, n: RolloutUpdate) -> Verdict:
    low, high, margin, least = estimate(b, n.build)
    sure = least >= LEAST_SAMPLE
    shares = [s.fail_share for s in b.servers.values() if s.build < n.build]
    # Machines are broken by what this gateway has met, or by what all have.
    broken = max(shares, default=0.0) >= BROKEN or b.now < b.peers.troubled + RATE_MS
    new, seen = len(b.servers) - len(shares), b.builds[n.build]
    proofs = [f.proof(new, broken, b.needed) for f in (seen.failures, seen.pooled)]
    failing = max(*proofs, seen.lost / b.needed)
    if b.back_for == n.build:
        return Verdict.ROLL_BACK
    if failing >= 1:
        _back(b, n.build, f"fails more than the earlier build, proof {failing:.1f}")
    elif sure and low > margin and n.phase is TRIAL:
        _back(b, n.build, f"slower by {low:.0f} to {high:.0f} ms, margin {margin:.0f}")
    doubt = _doubt(b, n.build, n.phase is Phase.RELEASED)
    if b.back_for == n.build:
        return Verdict.ROLL_BACK
    if b.roll.gate is StageGate.TIMER and sure and low > margin / 2:
        began = b.builds[n.build].hold_began.setdefault(n.stage, b.now)
        return Verdict.HOLD if b.now < began + HOLD_MS else Verdict.NONE
    may = b.roll.gate is not StageGate.TIMER and n.phase is TRIAL
    on = may and ((sure and high < margin) or _ripe(b, n)) and failing < IN_DOUBT and not doubt
    return Verdict.ADVANCE if on else Verdict.NONE


def judge(b: State) -> None:
    n, b.judge_at = b.best, math.inf
    if n is None or n.phase in BACK:
        return
    if n.build in {s.build for s in b.servers.values() if b.before >= 0 or n.phase is TRIAL}:
        b.judge_at = b.now + JUDGE_MS
    b.before_rate = max(b.before_rate, b.taken.value(b.now) if n.stage == 0 else 0.0)
    verdict = _verdict(b, n)
    wanted = (n.build, n.stage if verdict in (Verdict.ADVANCE, Verdict.HOLD) else 0, verdict)
    if verdict is Verdict.NONE and (b.ballot.vote == wanted or b.ballot.vote[0] != n.build):
        return
    # Votes and their answers get lost: unanswered ones are sent again, standing ones renewed in time.
    waiting = not b.ballot.answered and b.now < b.ballot.sent + b.roll.call_timeout_ms
    standing = b.ballot.stands_until - b.now > b.roll.vote_ttl_ms / 2
    soon = b.now < max(b.ballot.sent + 4 * TICK_MS, b.ballot.after)
    if soon or (b.ballot.vote == wanted and (waiting or standing)):
        return
    b.ballot.cast(wanted, b.now)
    b.acts.append(Vote(*wanted))


def news(b: State, n: RolloutUpdate) -> None:
    b.ballot.answered |= n.is_vote_reply
    if n.is_vote_reply and n.result is Result.OK:
        b.ballot.stands_until = b.now + b.roll.vote_ttl_ms
    elif n.is_vote_reply and n.result is Result.REJECTED:  # all called at once: not all again at once
        b.ballot.after = b.now + b.rng.random() * 1000 * b.many / b.roll.votes_per_s
    if n.result is not Result.OK:
        return
    b.told = n
    if b.best is None or n.build > b.best.build:
        b.odds, b.swing.off, b.swing.since, b.before_rate = 0.0, False, math.inf, 0.0
        b.trial_began = b.now
        b.peers.untold.clear()
        b.before_ms = fmean([s.cost(b.now) for s in b.samples] or [0.0])
        if b.best is not None and b.best.phase is Phase.RELEASED:
            b.before = b.best.build
        b.floor = min(b.floor, b.before)  # the keys of builds that were taken off are free
        b.key_build = {k: at for k, at in b.key_build.items() if at <= b.before or at >= n.build}
        for build in [at for at in b.builds if at < n.build and at != b.before]:
            del b.builds[build]
    if b.best is None or _rank(n) > _rank(b.best):
        b.stage_began = b.now - n.age_ms
        b.best = n
    sort_arms(b)
