"""Placement policies: in which order a request's servers are preferred. None of them sends anything.

A policy is told the time, the request and the servers to choose among, and returns their places by falling
preference; the balancer sends to the first of them that its own check allows. So no policy can send what a
rule forbids, whatever it returns. All are functions of what they are told and of the seed they are made
with, but for the round, which remembers where it is.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import xxhash

from meadowpulley.interface import Candidate, Placement, Request

OWN = "own"  # the module's own choice: the default and the baseline, made by the balancer itself


def drawn(seed: int, now: float, request: Request) -> Random:
    """The chance of one choice: another for a later attempt of the same request."""
    return Random(xxhash.xxh3_64_intdigest(b"%d %r" % (request.request, now), seed & (2**64 - 1)))


class TwoChoices:
    """Two at random, the one with fewer own requests in flight first, then the others at random
    (Mitzenmacher 2001)."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        order = drawn(self.seed, now, request).sample(range(len(servers)), len(servers))
        if len(order) > 1 and servers[order[1]].outstanding < servers[order[0]].outstanding:
            order[0], order[1] = order[1], order[0]
        return order


class LeastOutstanding:
    """By own requests in flight, fewest first; those with as many in random order."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        order = drawn(self.seed, now, request).sample(range(len(servers)), len(servers))
        return sorted(order, key=lambda n: servers[n].outstanding)


class RoundRobin:
    """In turn by the servers' numbers, from one after the server that was preferred last."""

    def __init__(self, seed: int) -> None:
        self.last = Random(seed).getrandbits(31)  # gateways begin at different places

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        order = sorted(range(len(servers)), key=lambda n: (servers[n].server <= self.last, servers[n].server))
        if order:
            self.last = servers[order[0]].server
        return order


class BySpeed:
    """At random, in proportion to measured speed: warmth over the usual latency of the server's kind.

    Order of weighted draws without replacement by exponential clocks (Efraimidis and Spirakis 2006). A kind
    that was never measured counts as the mean of the others.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        known = [s.typical_latency_ms for s in servers if s.typical_latency_ms > 0]
        mean = sum(known) / len(known) if known else 1.0
        rng = drawn(self.seed, now, request)
        clocks = [
            rng.expovariate(1.0) * (s.typical_latency_ms or mean) / max(s.slow_start_fraction, 1e-3)
            for s in servers
        ]
        return sorted(range(len(servers)), key=clocks.__getitem__)


class ZoneFirst:
    """Servers of the gateway's own zone before all others, two random choices within each part."""

    def __init__(self, seed: int) -> None:
        self.two = TwoChoices(seed)

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        found: list[int] = []
        for home in (True, False):
            part = [n for n, s in enumerate(servers) if s.same_zone is home]
            found += [part[n] for n in self.two(now, request, [servers[n] for n in part])]
        return found


class ByKey:
    """Rendezvous hashing (Thaler and Ravishankar 1998): equal at all gateways, whatever their seed; a server
    that goes moves its own keys only. Requests without a key go at random."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        if not request.key:
            return drawn(self.seed, now, request).sample(range(len(servers)), len(servers))
        score = [xxhash.xxh3_64_intdigest(b"%d" % s.server, request.key & (2**64 - 1)) for s in servers]
        return sorted(range(len(servers)), key=score.__getitem__, reverse=True)


POLICIES: dict[str, Callable[[int], Placement]] = {
    "two": TwoChoices,
    "least": LeastOutstanding,
    "round": RoundRobin,
    "speed": BySpeed,
    "zone": ZoneFirst,
    "key": ByKey,
}
