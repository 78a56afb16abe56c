"""A fast model in which the true difference is known: the supermarket model with several gateways.

The paper's section 3 (after Mitzenmacher 2001): servers with FIFO queues and exponential service of mean 1,
Poisson arrivals; extended by gateways that see only their own requests in flight, and by zones. Times are
in mean service times. All runs of a setting step together, as arrays; the chain is uniformized, so that
each step is an arrival or a possible departure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
import numpy.typing as npt

Floats = npt.NDArray[np.float64]
Ints = npt.NDArray[np.integer[Any]]
MAX_QUEUE_LENGTH = 512  # requests at one server
TIE_BREAK = 0.5  # random numbers below that are added to whole counts, to choose among equals


@dataclass(frozen=True, slots=True)
class PlacementRule:
    """How an arm places: at the server with the fewest own requests in flight among some at random.

    `choices` is how many are sampled (1 to 3, 0: all of them); with `own_zone_only` among the servers of the
    gateway's zone.
    """

    name: str
    choices: int
    own_zone_only: bool = False


RANDOM = PlacementRule("random", 1)
TWO_CHOICES = PlacementRule("two", 2)
THREE_CHOICES = PlacementRule("three", 3)
LEAST_OUTSTANDING = PlacementRule("least", 0)
OWN_ZONE = PlacementRule("zone", 2, own_zone_only=True)


@dataclass(frozen=True, slots=True)
class ModelSetting:
    """A fleet and its load.

    `load` is in arrivals per server and service time. `zone_skew` is the fraction of the arrivals that zone 0
    of two gets; the gateways' zones alternate. `cross_zone_delay` is added to requests that leave their zone.
    """

    servers: int
    gateways: int
    load: float
    zone_skew: float = 0.5
    cross_zone_delay: float = 0.0


@dataclass(slots=True)
class SimulatedRuns:
    """What came of a setting: arrays by run and arrival; `sojourn_time` is infinite for what did not end."""

    arrival_time: Floats
    arm: Ints
    gateway: Ints
    sojourn_time: Floats


def simulate(
    setting: ModelSetting,
    rules: tuple[PlacementRule, PlacementRule],
    second_fraction: float,
    runs: int,
    arrivals: int,
    seed: int,
    swapped: bool = False,
) -> SimulatedRuns:
    """Simulate runs in which `second_fraction` of the requests are placed by the second rule.

    With 0 or 1 the result is the truth about one rule. The arrivals, arms and possible departures are the
    same for a seed whatever the rules are; with `swapped` each request is in the other arm, so that, at
    halves, the mean of both runs tells a bias apart from chance. Raises `ValueError` for a load that can't
    be carried.
    """
    simulation = _Simulation(setting, rules, second_fraction, runs, arrivals, seed, swapped)
    while simulation.accepted.min() < arrivals:
        simulation.step()
    return simulation.result


class _Simulation:
    """The state of all runs: queues as ring buffers of arrival numbers."""

    def __init__(
        self,
        setting: ModelSetting,
        rules: tuple[PlacementRule, PlacementRule],
        second_fraction: float,
        runs: int,
        arrivals: int,
        seed: int,
        swapped: bool,
    ) -> None:
        self.setting, self.rules = setting, rules
        self.second_fraction, self.swapped = second_fraction, swapped
        self.runs, self.arrivals = runs, arrivals
        self.rng = np.random.default_rng(seed)
        self.placement_rng = np.random.default_rng(seed + 1)  # of the rules alone
        servers, gateways = setting.servers, setting.gateways
        self.outstanding = np.zeros((runs, gateways, servers), dtype=np.int32)
        self.queue = np.zeros((runs, servers, MAX_QUEUE_LENGTH), dtype=np.int32)
        self.head = np.zeros((runs, servers), dtype=np.int32)
        self.size = np.zeros((runs, servers), dtype=np.int32)
        self.accepted = np.zeros(runs, dtype=np.int64)
        self.now = np.zeros(runs)
        self.all_runs = np.arange(runs)
        shape = (runs, arrivals)
        never = np.full(shape, np.inf)
        self.result = SimulatedRuns(never, np.zeros(shape, np.int8), np.zeros(shape, np.int16), never.copy())
        self.gateway_bounds = _gateway_bounds(setting)
        self.event_rate = servers * (setting.load + 1)
        self.arrival_probability = setting.load / (setting.load + 1)

    def step(self) -> None:
        """Advance every run by an arrival or a possible departure."""
        self.now += self.rng.exponential(1 / self.event_rate, self.runs)
        kind, draws = self.rng.random(self.runs), self.rng.random((3, self.runs))
        is_arrival = kind < self.arrival_probability
        self._arrive(np.flatnonzero(is_arrival & (self.accepted < self.arrivals)), draws)
        self._depart(is_arrival, draws[2])

    def _arrive(self, runs: Ints, draws: Floats) -> None:
        last_gateway = self.setting.gateways - 1
        gateway = np.minimum(np.searchsorted(self.gateway_bounds, draws[0, runs]), last_gateway)
        arm = ((draws[1, runs] < self.second_fraction) != self.swapped).astype(np.int8)
        outstanding = self.outstanding[runs, gateway]
        server = _choose_servers(self.setting, self.rules, arm, gateway, outstanding, self.placement_rng)
        if (self.size[runs, server] >= MAX_QUEUE_LENGTH).any():
            raise ValueError(f"a queue of {MAX_QUEUE_LENGTH}: such a load can't be carried; make it smaller")
        number = self.accepted[runs]
        tail = (self.head[runs, server] + self.size[runs, server]) % MAX_QUEUE_LENGTH
        self.queue[runs, server, tail] = number
        self.size[runs, server] += 1
        self.outstanding[runs, gateway, server] += 1
        self.result.arrival_time[runs, number] = self.now[runs]
        self.result.arm[runs, number] = arm
        self.result.gateway[runs, number] = gateway
        self.accepted[runs] += 1

    def _depart(self, is_arrival: npt.NDArray[np.bool_], draws: Floats) -> None:
        drawn_server = (draws * self.setting.servers).astype(np.int64)
        is_busy = self.size[self.all_runs, drawn_server] > 0
        runs = np.flatnonzero(~is_arrival & is_busy)
        server = drawn_server[runs]
        number = self.queue[runs, server, self.head[runs, server]]
        self.head[runs, server] = (self.head[runs, server] + 1) % MAX_QUEUE_LENGTH
        self.size[runs, server] -= 1
        gateway = self.result.gateway[runs, number]
        self.outstanding[runs, gateway, server] -= 1
        crosses_zones = (server % 2) != (gateway % 2)
        waited = self.now[runs] - self.result.arrival_time[runs, number]
        self.result.sojourn_time[runs, number] = waited + self.setting.cross_zone_delay * crosses_zones


def _gateway_bounds(setting: ModelSetting) -> Floats:
    """Return the cumulative probabilities of the gateways, by their zones' parts of the arrivals."""
    in_first_zone = np.arange(setting.gateways) % 2 == 0
    first = setting.zone_skew / max(in_first_zone.sum(), 1)
    second = (1 - setting.zone_skew) / max((~in_first_zone).sum(), 1)
    probabilities = np.where(in_first_zone, first, second)
    return np.asarray(np.cumsum(probabilities / probabilities.sum()))


def _choose_servers(
    setting: ModelSetting,
    rules: tuple[PlacementRule, PlacementRule],
    arm: Ints,
    gateway: Ints,
    outstanding: Ints,
    rng: np.random.Generator,
) -> Ints:
    """Return the server of each request; `outstanding` is what its gateway has in flight at each server."""
    chosen = np.zeros(len(arm), dtype=np.int64)
    for number, rule in enumerate(rules):
        in_arm = np.flatnonzero(arm == number)
        if rule.choices:
            sample = _sample_servers(setting.servers, rule, gateway[in_arm], rng)
            counts = np.take_along_axis(outstanding[in_arm], sample, axis=1)
            best = np.argmin(counts + TIE_BREAK * rng.random(counts.shape), axis=1)
            chosen[in_arm] = sample[np.arange(len(in_arm)), best]
        else:
            counts = outstanding[in_arm]
            chosen[in_arm] = np.argmin(counts + TIE_BREAK * rng.random(counts.shape), axis=1)
    return chosen


def _sample_servers(servers: int, rule: PlacementRule, gateway: Ints, rng: np.random.Generator) -> Ints:
    """Return different servers for each request: a random one, and others at random distances from it."""
    step = 2 if rule.own_zone_only else 1  # the servers of a zone are every other one
    candidates, shape = servers // step, (len(gateway), 1)
    distances = np.zeros(shape, dtype=np.int64)
    if rule.choices > 1:
        distances = np.hstack((distances, rng.integers(1, candidates, size=shape)))
    if rule.choices > 2:
        third = rng.integers(1, candidates - 1, size=shape)
        distances = np.hstack((distances, third + (third >= distances[:, 1:2])))
    places = (rng.integers(candidates, size=shape) + distances) % candidates
    return places * step + (gateway % 2)[:, None] if rule.own_zone_only else places
