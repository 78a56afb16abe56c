"""A quick model where the truth is known: the supermarket model with several gateways, many runs at once.

The paper's section 3 (after Mitzenmacher 2001): servers with FIFO queues and exponential service of mean 1,
Poisson arrivals; extended by gateways that see their own requests in flight only, and by zones. Time is in
mean service times. All runs of a setting step together, as arrays; the chain is uniformized, so that each
step is an arrival or a chance of a departure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
import numpy.typing as npt

Floats = npt.NDArray[np.float64]
Ints = npt.NDArray[np.integer[Any]]
LONGEST = 512  # requests at one server


@dataclass(frozen=True, slots=True)
class Way:
    """How an arm places: the emptiest, by own requests in flight, of `choices` (1 to 3) at random, or of
    all (0); `home`: among the servers of the gateway's zone."""

    name: str
    choices: int
    home: bool = False


RANDOM, TWO, THREE, LEAST = Way("random", 1), Way("two", 2), Way("three", 3), Way("least", 0)
HOME = Way("zone", 2, home=True)


@dataclass(frozen=True, slots=True)
class Setting:
    """`load`: arrivals a server and service time. `skew`: part of the arrivals that zone 0 of two has; the
    gateways' zones alternate. `far`: added to the time of a request that leaves its zone."""

    servers: int
    gateways: int
    load: float
    skew: float = 0.5
    far: float = 0.0


@dataclass(slots=True)
class Runs:
    """What came of a setting: arrays by run and arrival. `took` is endless for what was not over."""

    at: Floats
    arm: Ints
    gateway: Ints
    took: Floats


def simulate(
    setting: Setting,
    ways: tuple[Way, Way],
    part: float,
    runs: int,
    arrivals: int,
    seed: int,
    swapped: bool = False,
) -> Runs:
    """`part` of the requests go the second way; 0 or 1 is the truth of one of them. The arrivals, arms and
    chances of departure are the same for a seed whatever the ways are; `swapped`: each in the other arm, with
    halves, so that the mean of both runs tells a bias apart from chance."""
    rng = np.random.default_rng(seed)
    draws = np.random.default_rng(seed + 1)  # of the ways alone
    n, g = setting.servers, setting.gateways
    row = np.arange(runs)
    out = np.zeros((runs, g, n), dtype=np.int32)
    line = np.zeros((runs, n, LONGEST), dtype=np.int32)  # who waits at each server, as a ring
    head, size = np.zeros((runs, n), dtype=np.int32), np.zeros((runs, n), dtype=np.int32)
    count, now = np.zeros(runs, dtype=np.int64), np.zeros(runs)
    shape = (runs, arrivals)
    never = np.full(shape, np.inf)
    found = Runs(never, np.zeros(shape, np.int8), np.zeros(shape, np.int16), never.copy())
    first = np.arange(g) % 2 == 0
    chance = np.where(first, setting.skew / max(first.sum(), 1), (1 - setting.skew) / max((~first).sum(), 1))
    bounds = np.cumsum(chance / chance.sum())
    rate = n * (setting.load + 1)
    while count.min() < arrivals:
        now += rng.exponential(1 / rate, runs)
        kind, which = rng.random(runs), rng.random((3, runs))
        comes = kind < setting.load / (setting.load + 1)
        a = np.flatnonzero(comes & (count < arrivals))
        gateway = np.minimum(np.searchsorted(bounds, which[0, a]), g - 1)
        arm = ((which[1, a] < part) != swapped).astype(np.int8)
        server = _place(setting, ways, arm, gateway, out[a, gateway], draws)
        k, tail = count[a], (head[a, server] + size[a, server]) % LONGEST
        if (size[a, server] >= LONGEST).any():
            raise ValueError(f"a queue of {LONGEST}: such a load can't be carried; make it smaller")
        line[a, server, tail] = k
        size[a, server] += 1
        out[a, gateway, server] += 1
        found.at[a, k], found.arm[a, k], found.gateway[a, k] = now[a], arm, gateway
        count[a] += 1
        served = (which[2] * n).astype(np.int64)
        d = np.flatnonzero(~comes & (size[row, served] > 0))
        s = served[d]
        k = line[d, s, head[d, s]]
        head[d, s] = (head[d, s] + 1) % LONGEST
        size[d, s] -= 1
        whose = found.gateway[d, k]
        out[d, whose, s] -= 1
        away = (s % 2) != (whose % 2)
        found.took[d, k] = now[d] - found.at[d, k] + setting.far * away
    return found


def _place(
    setting: Setting, ways: tuple[Way, Way], arm: Ints, gateway: Ints, out: Ints, draws: np.random.Generator
) -> Ints:
    """The server of each request; `out` is what its gateway has in flight at each."""
    chosen = np.zeros(len(arm), dtype=np.int64)
    for number, way in enumerate(ways):
        mine = np.flatnonzero(arm == number)
        if way.choices:
            some = _some(setting.servers, way, gateway[mine], draws)
            held = np.take_along_axis(out[mine], some, axis=1)
            best = np.argmin(held + 0.5 * draws.random(held.shape), axis=1)
            chosen[mine] = some[np.arange(len(mine)), best]
        else:
            chosen[mine] = np.argmin(out[mine] + 0.5 * draws.random(out[mine].shape), axis=1)
    return chosen


def _some(servers: int, way: Way, gateway: Ints, draws: np.random.Generator) -> Ints:
    """Different servers for each request to choose among: a random one, and some at random steps after."""
    step = 2 if way.home else 1  # the servers of a zone are every other one
    of, shape = servers // step, (len(gateway), 1)
    steps = np.zeros(shape, dtype=np.int64)
    if way.choices > 1:
        steps = np.hstack((steps, draws.integers(1, of, size=shape)))
    if way.choices > 2:
        more = draws.integers(1, of - 1, size=shape)
        steps = np.hstack((steps, more + (more >= steps[:, 1:2])))
    places = (draws.integers(of, size=shape) + steps) % of
    return places * step + (gateway % 2)[:, None] if way.home else places
