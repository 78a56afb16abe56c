"""Placement policies: in which order a request's servers are preferred. None of them sends anything.

A policy is given the time, the request and the servers to choose among, and returns their indices in order of
preference; the rollout policy sends to the first of them that its own check allows. So no placement can send
what a rule forbids, whatever it returns. All are functions of their arguments and their seed, except round
robin, which remembers its position.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import xxhash

from meadowpulley.interface import Candidate, Placement, Request

DEFAULT_POLICY = "own"  # the rollout policy's own choice, which is the baseline
MAX_UINT64 = 2**64 - 1
MIN_SLOW_START_FRACTION = 1e-3  # in weights: a server that only begins is not left out
SERVER_NUMBER_BITS = 31


def choice_rng(seed: int, now: float, request: Request) -> Random:
    """Return the random numbers of one choice: others for a later attempt of the same request."""
    return Random(xxhash.xxh3_64_intdigest(b"%d %r" % (request.request, now), seed & MAX_UINT64))


def _shuffled(seed: int, now: float, request: Request, servers: Sequence[Candidate]) -> list[int]:
    return choice_rng(seed, now, request).sample(range(len(servers)), len(servers))


class PowerOfTwoChoices:
    """Two servers at random, the one with fewer own requests in flight first; then the others at random.

    Mitzenmacher 2001.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""
        order = _shuffled(self.seed, now, request, servers)
        if len(order) > 1 and servers[order[1]].outstanding < servers[order[0]].outstanding:
            order[0], order[1] = order[1], order[0]
        return order


class LeastOutstanding:
    """By own requests in flight, fewest first; servers with equally many in random order."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""
        order = _shuffled(self.seed, now, request, servers)
        return sorted(order, key=lambda index: servers[index].outstanding)


class RoundRobin:
    """In turn by the servers' numbers, beginning after the server that was preferred last."""

    def __init__(self, seed: int) -> None:
        # Gateways begin at different servers.
        self.last_server = Random(seed).getrandbits(SERVER_NUMBER_BITS)

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""

        def turn(index: int) -> tuple[bool, int]:
            """Return the sort key that puts the servers after the last one used first."""
            server = servers[index].server
            return server <= self.last_server, server

        order = sorted(range(len(servers)), key=turn)
        if order:
            self.last_server = servers[order[0]].server
        return order


class SpeedWeighted:
    """At random, in proportion to speed: slow-start fraction over the typical latency of the server's kind.

    Weighted draws without replacement, by exponential clocks (Efraimidis and Spirakis 2006). A kind that was
    never measured counts as the mean of the others.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""
        known = [server.typical_latency_ms for server in servers if server.typical_latency_ms > 0]
        mean_ms = sum(known) / len(known) if known else 1.0
        rng = choice_rng(self.seed, now, request)
        clocks = []
        for server in servers:
            latency_ms = server.typical_latency_ms or mean_ms
            fraction = max(server.slow_start_fraction, MIN_SLOW_START_FRACTION)
            clocks.append(rng.expovariate(1.0) * latency_ms / fraction)
        return sorted(range(len(servers)), key=clocks.__getitem__)


class ZoneAware:
    """Servers of the gateway's own zone before all others, by two random choices within each part."""

    def __init__(self, seed: int) -> None:
        self.two_choices = PowerOfTwoChoices(seed)

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""
        order: list[int] = []
        for own_zone in (True, False):
            part = [index for index, server in enumerate(servers) if server.same_zone is own_zone]
            chosen = self.two_choices(now, request, [servers[index] for index in part])
            order += [part[index] for index in chosen]
        return order


class RendezvousHashing:
    """By a hash of key and server (Thaler and Ravishankar 1998); requests without a key go at random.

    The order is equal at all gateways, whatever their seed; a server that is removed moves only its own keys.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""
        if not request.key:
            return _shuffled(self.seed, now, request, servers)
        key = request.key & MAX_UINT64
        scores = [xxhash.xxh3_64_intdigest(b"%d" % server.server, key) for server in servers]
        return sorted(range(len(servers)), key=scores.__getitem__, reverse=True)


POLICIES: dict[str, Callable[[int], Placement]] = {  # by their names in the definition's file
    "two": PowerOfTwoChoices,
    "least": LeastOutstanding,
    "round": RoundRobin,
    "speed": SpeedWeighted,
    "zone": ZoneAware,
    "key": RendezvousHashing,
}
