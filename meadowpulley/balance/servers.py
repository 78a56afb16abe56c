"""Servers as they stand: the list, their health, warmth and room, and which build is on trial."""

import math
from statistics import median

from meadowpulley.interface import EndpointUpdate, EndpointUpdateKind, Phase, Result, ServerState
from meadowpulley.records import Server, State

FAIL_STEP = 0.2  # weight of the newest outcome in a server's failure share
BROKEN = 0.3  # failure share that shows a trouble of machines: two of the last few
FAIL_OUT = 0.45  # failure share that takes a server out of the choice: three in a row, or half of many
REST_MS = (1000.0, 8000.0)  # first and longest rest of a server taken out; each failed try doubles it
FULL_MS = 200.0  # how long a server that turned a request away as full is left alone
HOME = 0.5  # of those are in its own zone: more would crowd a zone that gets more than its part
RETRY_LIST_MS = 1500.0  # between the second failed list call in a row and the next
SILENT_TIMES = 4.0  # the usual latency without a word, and a server counts as silent
KEYS = 8000  # notes of keys, beyond which they go once no server needs them: then older builds get no key
TRIAL, BACK = Phase.TRIAL, (Phase.ROLLING_BACK, Phase.ROLLED_BACK)


def warmth(b: State, server: Server, age_less: float = 0.0) -> float:  # the least part of its capacity
    age = max(b.now - server.started - age_less, 0.0)
    if not server.started or age >= b.rules.slow_start_ms:
        return 1.0
    return (
        b.rules.slow_start_initial_fraction
        + (1 - b.rules.slow_start_initial_fraction) * age / b.rules.slow_start_ms
    )


def able(b: State, s: Server) -> float:  # what it can do by its warmth and its kind's latency, of the best
    usual = b.kind_ms.get(s.kind, 0.0)
    return warmth(b, s) * (min(b.kind_ms.values()) / usual if usual else 1.0)


def on_trial(b: State, build: int) -> bool:
    t = b.told
    return t is None or build > t.build or (build == t.build and t.phase is not Phase.RELEASED)


def cap_and_stage(b: State, build: int) -> tuple[float, int]:
    t = b.told
    return (t.cap, t.stage) if t is not None and build == t.build else ((*b.roll.caps, 0.0)[0], 0)


def near_of(b: State, group: list[Server]) -> dict[int, float]:
    """Who is asked first, and how many times an average part of each is this gateway's: windows by number."""
    near: dict[int, float] = {}
    for home, part in ((True, HOME), (False, 1 - HOME)) if b.reach < len(group) else ():
        some = [s.id for s in group if (s.zone == b.s.zone) is home]
        at, count = b.s.gateway_index * len(some) // b.many, math.ceil(b.reach * part)
        near |= dict.fromkeys((some + some)[at : at + count], part * len(group) / min(count, len(some) or 1))
    return near


def rest(b: State, server: Server) -> None:  # for a while; afterwards one request at a time tries it
    if b.now >= server.rest_until:
        server.rest_ms = min(max(REST_MS[0], 2 * server.rest_ms), REST_MS[1])
        server.rest_until = b.now + server.rest_ms


def health(b: State, server: Server, result: Result) -> None:
    server.heard = b.now
    failed = result is not Result.OK
    if result is Result.REJECTED:
        server.rest_until = max(server.rest_until, b.now + FULL_MS)
    elif not failed or server.failed_at < b.now:  # one event that breaks several is one failure
        server.failed_at = b.now if failed else server.failed_at
        server.fail_share += FAIL_STEP * (failed - server.fail_share)
        if server.fail_share < FAIL_OUT and not failed:
            server.rest_ms = 0.0
        elif failed and (server.rest_ms or server.fail_share >= FAIL_OUT):
            usual = median(s.fail_share for s in b.servers.values()) if b.servers else 0.0
            if server.rest_ms or server.fail_share >= FAIL_OUT + usual:
                rest(b, server)  # but not where most fail: that would jam the others


def rest_silent(b: State) -> None:
    """A server silent on a request far longer than usual rests; no repeat: costly ones would feed a jam."""
    for a in list(b.attempts.values()):
        aim = a.held.cls.latency_objective_ms  # another class's may be a hundred times as long
        limit = min(max(SILENT_TIMES * b.usual_ms, aim / 2), aim)
        if max(a.server.heard, b.stood_still) < a.sent < b.now - limit:
            rest(b, a.server)


def take_list(b: State, event: EndpointUpdate) -> None:
    if event.kind in (
        EndpointUpdateKind.FAILED,
        EndpointUpdateKind.TIMED_OUT,
    ):  # whether the watch still stands is not said
        herd = (
            event.kind is EndpointUpdateKind.FAILED
        )  # silence is found after seconds, by each at its own time
        pause = RETRY_LIST_MS * min(b.list_fails, 3) * (0.5 + b.rng.random())
        spread = b.rng.random() * b.list_spread * (1 + min(b.list_fails, 1))
        b.ask_again_at = b.now + herd * max(pause, spread) if b.s.must_poll else math.inf
        b.list_fails += herd
        return
    if event.kind is not EndpointUpdateKind.CACHED:
        b.ask_again_at, b.list_fails = math.inf, 0
    named = {e.server: e for e in event.entries}
    if event.kind is not EndpointUpdateKind.INCREMENTAL:
        b.servers = {n: s for n, s in b.servers.items() if n in named}
    for n, entry in named.items():
        server = b.servers.get(n)
        if not server or (server.build, server.started) != (entry.build, entry.started_ms):
            server = b.servers[n] = Server(entry)
        server.state, server.cell, server.zone = entry.state, entry.cell, entry.zone
        if entry.state is ServerState.REMOVED:
            del b.servers[n]
    sort_arms(b)


def sort_arms(b: State) -> None:  # ready servers by arm, after news of servers or builds
    ready = [s for _, s in sorted(b.servers.items()) if s.state is ServerState.READY]
    b.trial = [s for s in ready if on_trial(b, s.build)]
    b.earlier = [s for s in ready if not on_trial(b, s.build)]
    if len(b.key_build) > KEYS and (low := min((s.build for s in ready), default=-1)) > b.floor:
        b.floor, b.key_build = low, {k: at for k, at in b.key_build.items() if at > low}
    b.odds_until, b.judge_at = -math.inf, min(b.judge_at, b.now)
    b.fleet = max(b.fleet, len(ready))
