"""Placement policies, which order a request's servers by preference. None of them sends anything.

A policy is given the time, the request and the servers to choose among, and returns their indices in order of
preference; the rollout policy sends to the first of them that its own check allows. A placement therefore
can't cause a forbidden attempt, whatever it returns. The result of each depends only on its arguments and its
seed, except that round robin remembers its position.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

import xxhash

from meadowpulley.interface import Candidate, Placement, Request

DEFAULT_POLICY = "own"  # the rollout policy itself chooses the server, without a placement
MAX_UINT64 = 2**64 - 1
# Lowest slow-start fraction used in a server's weight, so that a server that has just started may be chosen.
MIN_SLOW_START_FRACTION = 1e-3
# Round robin starts after a random server number of this many bits, from 0 to 2**31 - 1.
SERVER_NUMBER_BITS = 31


def choice_rng(seed: int, now: float, request: Request) -> Random:
    """Return the random generator of one choice; a later attempt of the request gets another one."""
    return Random(xxhash.xxh3_64_intdigest(b"%d %r" % (request.request, now), seed & MAX_UINT64))


def _shuffled(seed: int, now: float, request: Request, servers: Sequence[Candidate]) -> list[int]:
    return choice_rng(seed, now, request).sample(range(len(servers)), len(servers))


class PowerOfTwoChoices:
    """Draws two servers at random and prefers the one with fewer of this gateway's requests in flight.

    The other servers follow in random order (Mitzenmacher 2001).
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
    """Prefers servers with the fewest of this gateway's requests in flight; ties in random order."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""
        order = _shuffled(self.seed, now, request, servers)
        return sorted(order, key=lambda index: servers[index].outstanding)


class RoundRobin:
    """Prefers servers in the order of their numbers, starting after the one preferred last."""

    def __init__(self, seed: int) -> None:
        # The random start makes gateways begin at different servers.
        self.last_server = Random(seed).getrandbits(SERVER_NUMBER_BITS)

    def __call__(self, now: float, request: Request, servers: Sequence[Candidate]) -> Sequence[int]:
        """Return the servers' indices in order of preference."""

        def rotation_key(index: int) -> tuple[bool, int]:
            """Return a sort key by which the servers after the last preferred one come first."""
            server = servers[index].server
            return server <= self.last_server, server

        order = sorted(range(len(servers)), key=rotation_key)
        if order:
            self.last_server = servers[order[0]].server
        return order


class SpeedWeighted:
    """Draws servers at random in proportion to their speed.

    The speed is the slow-start fraction over the typical latency of the server's machine kind. The draws are
    weighted and without replacement, by exponential clocks (Efraimidis and Spirakis 2006). A server whose
    kind was never measured gets the mean latency of the others.
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
    """Prefers servers of the gateway's own zone to all others, by two random choices in each part."""

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
    """Orders servers by a hash of the request's key and the server (Thaler and Ravishankar 1998).

    The order is the same at all gateways, whatever their seed, and removing a server moves only the keys that
    it had. For requests without a key the order is random.
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
