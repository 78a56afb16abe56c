"""Requests from their intake to the one answer: waiting, room in flight, outcomes, giving up."""

import math

from meadowpulley.balance.sending import route
from meadowpulley.balance.servers import BROKEN, health
from meadowpulley.digests import LOST
from meadowpulley.interface import (
    Cancel,
    ClientDisconnected,
    DeduplicationScope,
    Effect,
    Fail,
    Outcome,
    Reject,
    Request,
    ResponseStarted,
    Result,
)
from meadowpulley.records import Held, State

TICK_MS = 50.0  # how often waiting requests are looked at; those that are out four times less often
WARM = 0.8  # warmth from which a machine tells of its build: colder ones queue up more than they are slow
FAIL_AFTER = 2.0  # usual latencies after it was sent a failure counts: quick ones overtake good answers
RETRY_SHARE = 0.1  # further attempts for each request taken, so that retries cannot feed a jam
ROOM_STEPS = (0.1, 0.4)  # an answer in time widens the room in flight, a late one narrows it: 1 in 5 is late
FLOOR_EACH = 2.0  # requests in flight a server, from all gateways, that are never too many
NEAR_PART = 0.1  # of the time for which a connection may stand idle: as many as are asked in it are near
WAIT_SHARE = 0.25  # of the aim: how long a request may wait for a server it may go to
NEVER_RAN = (Result.REJECTED, Result.CONNECT_FAILED, Result.NOT_SENT)
NO_ANSWER = (*NEVER_RAN, Result.ERROR)


def request(b: State, r: Request) -> None:
    held = b.held[r.request] = Held(r, b.s.classes[r.class_index], b.now, b.roll.exposure_per_class)
    rate = b.taken.value(b.now, 0.0 if r.client_retry or r.adopted else 1.0)
    b.reach = max(b.reach, NEAR_PART * b.s.limits.idle_timeout_ms * rate)
    if not r.adopted:  # it was counted where it was taken
        b.retries_left = min(b.retries_left + RETRY_SHARE, 10.0)
        b.window_taken[held.counted].add(b.now)
    for earlier in held.maybe:
        _bind(b, held, earlier.server.build)
    if len(b.attempts) + b.rng.random() > b.room:  # by chance: many have room for less than one
        _give_up(b, held)  # at once: it would come too late
    else:
        route_or_wait(b, held)


def route_or_wait(b: State, held: Held) -> None:
    # Given up before the deadline by more than a tick: the answer must be in time.
    until = min(held.arrived + held.cls.latency_objective_ms * WAIT_SHARE, held.r.deadline_ms - 2 * b.look_ms)
    hopeless = held.tries >= b.s.limits.max_attempts or (
        held.maybe and held.cls.effect is Effect.NON_IDEMPOTENT
    )
    if not route(b, held) and b.now < until and not hopeless:
        b.waiting.append(held)
    elif not held.out:
        _give_up(b, held)


def _learn_room(b: State, held: Held, o: Outcome) -> None:
    """Answers in time widen the room in flight, late ones narrow it to what ends a jam."""
    out, late = len(b.attempts) + 1, 2 * b.usual_ms > held.cls.latency_objective_ms
    if o.result is Result.OK and o.elapsed_ms <= held.cls.latency_objective_ms:
        b.room += ROOM_STEPS[0] if 2 * out > b.room else 0.0
    elif o.result is Result.OK or (o.result is Result.TIMEOUT and late):
        usual = max(out, b.done.value(b.now) * b.usual_ms)  # few in flight vary by chance
        b.room = min(b.room, usual + max(usual, 3 * math.sqrt(usual)) + 1) - ROOM_STEPS[1]
    b.room = max(b.room, FLOOR_EACH * len(b.servers) / b.many)


def _give_up(b: State, held: Held) -> None:
    rid = held.r.request
    b.held.pop(rid, None)
    everywhere = (
        held.cls.effect is Effect.IDEMPOTENT_WITH_KEY
        and held.cls.deduplication_scope is DeduplicationScope.ALL
        and not held.r.prior_attempts
    )
    harmless = held.cls.effect is Effect.IDEMPOTENT or not held.maybe or everywhere
    b.acts.append(Reject(rid, b.advice_ms) if harmless else Fail(rid))
    _call_off(b, held)


def _call_off(b: State, held: Held) -> None:  # what is over should burden no server that can drop it
    rid, able = held.r.request, b.s.limits.cancellation and not held.streaming
    b.acts += [Cancel(rid, a.n) for a in held.maybe if able and (rid, a.n) in b.attempts]


def _bind(b: State, held: Held, build: int) -> None:  # one way: a key goes to no build before this one
    if held.r.key and build > b.floor and b.roll.monotonic_keys:
        b.key_build[held.r.key] = max(build, b.key_build.get(held.r.key, 0))


def outcome(b: State, o: Outcome) -> None:
    attempt = b.attempts.pop((o.request, o.attempt), None)
    if attempt is None:
        return
    held, server, ok = attempt.held, attempt.server, o.result is Result.OK
    server.out, held.out = server.out - 1, held.out - 1
    if o.result in NEVER_RAN:
        held.maybe.remove(attempt)
    known = attempt.sent >= b.stood_still  # else it took nobody knows how long: nothing is learnt
    if known and o.result not in (Result.CANCELLED, Result.NOT_SENT):
        health(b, server, o.result)
    b.done.value(b.now, float(ok))
    if o.result not in NO_ANSWER:
        _bind(b, held, server.build)
    if ok or o.result is Result.ERROR:  # a broken connection is the network's or the machine's
        due = -math.inf if ok else attempt.sent + FAIL_AFTER * b.usual_ms
        b.due.append((due, held.r.class_index, server.build, server.id, int(not ok), int(ok)))
    if o.result is Result.TIMEOUT and attempt.warmth >= WARM and known:
        b.peers.untold.append((LOST, server.build, server.id, 0, 1))  # in place of good ones
    if known:
        _learn_room(b, held, o)
    attempt.lost = not (known and (ok or (o.result is Result.ERROR and server.fail_share < BROKEN)))
    attempt.latency = b.usual_ms if attempt.lost else o.elapsed_ms if ok else held.cls.deadline_ms
    if ok and known:
        b.usual_ms += 0.05 * (o.elapsed_ms - b.usual_ms) if b.usual_ms else o.elapsed_ms
        warm = o.elapsed_ms * attempt.warmth
        b.kind_ms[server.kind] = b.kind_ms.get(server.kind, warm) * 0.95 + 0.05 * warm
    if o.request_complete:
        b.held.pop(o.request, None)
        _call_off(b, held)
    elif b.held.get(o.request) is held and held.out == 0:
        if b.retries_left >= 1 and route(b, held):
            b.retries_left -= 1
        else:
            _give_up(b, held)


def gone(b: State, event: ClientDisconnected) -> None:
    if event.request in b.held:
        _call_off(b, b.held.pop(event.request))


def started(b: State, event: ResponseStarted) -> None:
    if event.request in b.held:
        b.held[event.request].streaming = True
