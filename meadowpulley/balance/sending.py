"""Choosing a server for a request and sending it there; `_may_send` is the one check of every send."""

from itertools import islice
from statistics import fmean

from meadowpulley.balance.servers import BACK, able, cap_and_stage, near_of, on_trial, warmth
from meadowpulley.interface import (
    DeduplicationScope,
    Effect,
    Phase,
    Probe,
    ProbeResult,
    Result,
    Send,
    ServerState,
)
from meadowpulley.records import Attempt, Held, Server, State

COIN_SHARE = 0.8  # of the cap: leaves room for requests that must follow their key or find no other server
JUDGE_MS = 400.0  # how often a build is judged
COLD_MARGIN = 0.6  # of the cold budget: capacity is only estimated and work is random
COLD_SLOTS = 4  # slots of a span, each with its own allowance: a burst cannot spend that of two spans
SPARSE = 0.3  # own requests in flight a server, under which two servers are asked before one is chosen
TIE = 0.5  # requests: the mean of the chance that tells servers apart which hold as many


def _may_send(b: State, held: Held, server: Server) -> bool:  # the one check of every attempt: all rules
    cls, now = held.cls, b.now
    owed = held.r.request in b.held and not held.streaming and now < held.r.deadline_ms
    more = held.tries < b.s.limits.max_attempts and (b.s.limits.hedging or not held.out)
    ready = server.state is ServerState.READY and b.servers.get(server.id) is server
    if not (owed and more and ready):
        return False
    for earlier in held.maybe:
        there = earlier.server
        same = {
            DeduplicationScope.ZONE: there.zone == server.zone,
            DeduplicationScope.CELL: there.cell == server.cell,
        }
        in_window = (
            same.get(cls.deduplication_scope, True)
            and now - earlier.sent < cls.deduplication_window_ms - b.s.tick_ms
        )
        if cls.effect is Effect.NON_IDEMPOTENT or (
            cls.effect is Effect.IDEMPOTENT_WITH_KEY and not in_window
        ):
            return False
    return _within_exposure(b, held, server) and _within_cold_budget(b, server)


def _within_cold_budget(b: State, server: Server) -> bool:
    """This gateway's part of what a cold server may get, by the slot: by chance, as hundreds add up."""
    span = b.rules.overload_window_ms
    if warmth(b, server, span) >= 1.0:
        return True
    slot = int(b.now * COLD_SLOTS / span)
    if server.slot != slot:
        served = max(b.done.value(b.now), b.taken.value(b.now) / 2)  # answers stop in a jam
        budget = b.rules.overload_multiple * warmth(b, server, span / 2) * served / b.fleet
        near = near_of(b, b.trial if on_trial(b, server.build) else b.earlier)
        part = max(COLD_MARGIN * budget * span / COLD_SLOTS, 1 / b.many) * near.get(server.id, 1.0)
        server.slot, server.left = slot, int(part + b.rng.random())
    return server.left >= 1


def _within_exposure(b: State, held: Held, server: Server) -> bool:
    free = b.told.build if b.told is not None and b.told.phase in BACK else -1
    if held.r.key and b.key_build.get(held.r.key, b.floor) > max(server.build, free):
        return False
    if not on_trial(b, server.build):  # what is out at a later build may be answered there by now
        later = [a.held.r.key for a in b.attempts.values() if a.server.build > max(server.build, free)]
        return not (b.roll.monotonic_keys and held.r.key and held.r.key in later)
    cap, stage = cap_and_stage(b, server.build)
    if cap <= 0 or (stage < b.roll.guarded_stages and held.cls.effect is not Effect.IDEMPOTENT):
        return False
    taken = b.window_taken[held.counted].within(b.now, -b.s.tick_ms)
    sent = b.builds[server.build].sent[held.counted].within(b.now, b.s.tick_ms)
    return sent + 1 <= b.roll.exposure_allowance + cap * taken


def _coin(b: State) -> float:
    """0.8 of the cap, but no more than trial machines can do; keys bound to the trial build count."""
    trial, earlier = b.trial, b.earlier
    cap, _ = cap_and_stage(b, trial[0].build)
    if b.now >= b.odds_until:  # warmth changes slowly: worked out a few times a second
        b.odds_until = b.now + JUDGE_MS
        # A cold machine is slow at whatever share, so it gets less than it could do: warmth counts twice.
        new, old = [sum([able(b, s) * warmth(b, s) for s in g], 0.0) for g in (trial, earlier)]
        if b.best is not None and b.best.phase is Phase.ROLLING_BACK:
            b.odds = min(max(1 - old / (0.75 * (new + old)), 0.0), cap)  # what has no room
        else:
            b.odds = min(COIN_SHARE * cap, new / (new + old))
    odds = 0.0 if b.swing.off and len(trial) < len(earlier) else b.odds
    return max(odds - b.followed, 0.0) / max(1 - b.followed, 0.01)


def _two(b: State, held: Held, group: list[Server], drawn: int) -> list[Server]:
    if place := b.placements.get(held.r.arm):
        seen = [s.candidate(warmth(b, s), b.kind_ms.get(s.kind, 0.0), b.s.zone) for s in group]
        near, some, most = dict[int, float](), [group[n] for n in place(b.now, held.r, seen)][:drawn], 1
    else:
        near, some, most = near_of(b, group), b.rng.sample(group, min(drawn, len(group))), 2
    order = sorted(some, key=lambda s: (s.id in held.tried, s.id not in near))
    fit = filter(lambda s: b.now >= s.rest_until and not (s.rest_ms and s.out), order)
    two = list(islice(filter(lambda s: _may_send(b, held, s), fit), most))
    return [s for s in two if s.id not in held.tried] or two  # chance does not choose a tried one again


def route(b: State, held: Held) -> bool:
    trial, earlier = b.trial, b.earlier
    followed = bool(trial) and b.key_build.get(held.r.key, -1) >= trial[0].build
    b.followed += 0.02 * (followed - b.followed)
    tossed = bool(trial and earlier) and not followed
    first = trial if trial and (not earlier or b.rng.random() < _coin(b)) else earlier
    # What a cold trial machine may not have goes to the earlier build, where parts are whole requests.
    drawn = 2 if tossed and first is trial and 2 * b.many < b.fleet else len(first)
    two = _two(b, held, first, drawn)
    if not two and trial and earlier:
        tossed, two = False, _two(b, held, earlier if first is trial else trial, len(b.servers))
    dense = min(len(b.attempts) / max(len(b.servers), 1), 1.0)
    if len(two) > 1 and b.s.limits.probes and dense < SPARSE and not held.tries and not held.asked:
        held.asked, held.tossed = [s.id for s in two], tossed  # own counts say nothing: the servers tell
        b.acts += [Probe(s) for s in held.asked]
        return False
    # Who holds nothing is chosen by chance, in proportion to what each can do.
    crowding = [(s.out + TIE * b.rng.expovariate(1.0)) / able(b, s) ** (2 - dense) for s in two]
    if two:
        _send(b, held, two[crowding.index(min(crowding))], fmean([s.out for s in two]), tossed)
    return bool(two)


def probed(b: State, p: ProbeResult) -> None:  # the first of the two that answers has the shorter queue
    server = b.servers.get(p.server)
    for held in [h for h in b.waiting if p.server in h.asked and p.result is Result.OK]:
        if server and _may_send(b, held, server):
            b.waiting.remove(held)
            _send(b, held, server, server.out, held.tossed)


def _send(b: State, held: Held, server: Server, queue: float, tossed: bool) -> None:
    attempt = Attempt(held, server, queue, b.now, warmth(b, server), tossed)
    if held.tries == 0:
        b.samples.append(attempt)
    b.attempts[held.r.request, attempt.n] = attempt
    server.out, server.left = server.out + 1, server.left - 1
    held.sent(attempt)
    if on_trial(b, server.build):
        b.builds[server.build].sent[held.counted].add(b.now)
    # No early time-out: work given up runs on at many sites, and repeats feed a jam.
    b.acts.append(Send(held.r.request, server.id))
