"""The balancer: each event goes to whoever decides by it, and there is one timer."""

import math
from collections import defaultdict
from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Any

from meadowpulley.balance.evidence import PROOF, TALLY, TELLERS, count, exchange, hear_peer, new_seen
from meadowpulley.balance.judging import judge, news
from meadowpulley.balance.requests import TICK_MS, WAIT_SHARE, gone, outcome, request, route_or_wait, started
from meadowpulley.balance.sending import probed
from meadowpulley.balance.servers import RETRY_LIST_MS, rest_silent, take_list
from meadowpulley.interface import (
    Action,
    BuildStatistics,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    GossipReceived,
    Outcome,
    Placement,
    ProbeResult,
    Request,
    ResponseStarted,
    RolloutUpdate,
    SetTimer,
    Settings,
    Timer,
    Watch,
)
from meadowpulley.records import Peers, State

LATE_TURN_MS = 250.0  # a timer later than this: this gateway stood still, and what was out only looks slow
NEAR = 8  # servers that a gateway goes to first, at least
LIST_EACH_MS = 100.0  # and for each other gateway: those that start, or fail, at once call one by one
TICK = 1  # the only timer's token


def tick(b: State, _: Timer) -> None:
    b.timer_at = math.inf if b.now >= b.timer_at else b.timer_at
    if b.now >= b.ask_again_at:
        b.acts.append(Watch())  # an answer that never comes is asked for again
        b.ask_again_at = b.now + max(b.rules.max_poll_interval_ms, RETRY_LIST_MS)
    rest_silent(b)
    waiting, b.waiting = b.waiting, []
    for held in [h for h in waiting if h.r.request in b.held]:
        route_or_wait(b, held)
    if b.now >= b.tell_at and b.best is not None:
        exchange(b, b.best.build)
    if b.now >= b.judge_at:
        judge(b)


HANDLERS: dict[type, Callable[[State, Any], None]] = {
    Request: request,
    Outcome: outcome,
    Timer: tick,
    EndpointUpdate: take_list,
    RolloutUpdate: news,
    ClientDisconnected: gone,
    ResponseStarted: started,
    ProbeResult: probed,
    GossipReceived: hear_peer,
    BuildStatistics: lambda b, t: count(b, t.cls, t.build, TALLY, t.failed, t.attempts - t.failed),
}


class Balancer(State):
    def __init__(self, settings: Settings, seed: int, placements: Sequence[Placement] = ()) -> None:
        super().__init__(settings, seed)
        self.look_ms = min(TICK_MS, self.least_aim_ms * WAIT_SHARE) or TICK_MS  # no class has to wait longer
        self.placements = dict(enumerate(placements[1:], 1))
        self.z = 2 + 0.5 * math.log(self.many)
        self.needed = PROOF + math.log(max(self.many / max(self.roll.rollback_votes, 1), 1.0))
        self.reach = float(NEAR) if settings.limits.idle_timeout_ms else math.inf
        self.builds = defaultdict(partial(new_seen, self.roll.exposure_window_ms))
        self.list_spread = min(
            LIST_EACH_MS * (self.many - 1), (self.rules.max_poll_interval_ms or math.inf) / 2
        )
        self.peers = Peers(Random(seed + 1).getrandbits(32), math.ceil(1 + self.many / TELLERS))

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now, self.acts = now, []
        if self.ask_again_at == -math.inf and self.servers:  # discovery takes a fleet's calls in turn
            self.ask_again_at = now + self.rng.random() * self.list_spread
        if now > self.timer_at + LATE_TURN_MS:
            self.stood_still = now
        while self.due and self.due[0][0] <= now:
            count(self, *self.due.popleft()[1:])
        if handler := HANDLERS.get(type(event)):
            handler(self, event)
        # One timer, only when there is something to wait for: an idle balancer costs nothing.
        look = self.look_ms if self.waiting else 4 * TICK_MS if self.attempts else math.inf
        tell = self.tell_at if self.peers.pooled else math.inf  # if idle too: what is old says nothing
        at = max(min(self.judge_at, self.ask_again_at, tell, now + look), now)
        if at < self.timer_at:
            self.timer_at = at
            self.acts.append(SetTimer(at - now, TICK))
        return self.acts
