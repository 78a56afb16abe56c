"""Simulate the supermarket model with several gateways, where the true difference can be measured.

The model is that of the paper's section 3 (after Mitzenmacher 2001), with FIFO queues, exponential service
times of mean 1 and Poisson arrivals. It is extended by gateways that see only their own requests in flight,
and by zones. Times are in mean service times. All runs of a setting advance together, as arrays; the Markov
chain is uniformized, so that each step is an arrival or a possible departure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
import numpy.typing as npt

from meadowpulley.placement.errors import ModelOverloadError

Floats = npt.NDArray[np.float64]
Ints = npt.NDArray[np.integer[Any]]
MAX_QUEUE_LENGTH = 512  # requests at one server; a longer queue raises `ModelOverloadError`
ZONES = 2  # the server or gateway of number n is in zone n % 2
EVEN_SKEW = 0.5  # `zone_skew` at which both zones get as many arrivals
DRAWS_PER_STEP = 3  # random numbers for the gateway, the arm, and the server of a possible departure
THIRD_CHOICE = 3  # a rule with this many choices samples a third server
TIE_BREAK = 0.5  # random numbers below this are added to integer counts, to choose among equal ones


@dataclass(frozen=True, slots=True)
class PlacementRule:
    """A rule that picks the server with the fewest requests in flight from the gateway, among a sample.

    `choices` is the number of servers sampled at random (1 to 3; 0 means all); with `own_zone_only` they are
    sampled from the gateway's zone.
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

    `load` is in arrivals per server and mean service time. `zone_skew` is the fraction of the arrivals that
    the gateways of zone 0 get; the gateways' zones alternate. `cross_zone_delay`, in mean service times, is
    added to the sojourn time of requests that are served in another zone than their gateway's.
    """

    servers: int
    gateways: int
    load: float
    zone_skew: float = EVEN_SKEW
    cross_zone_delay: float = 0.0


@dataclass(slots=True)
class SimulatedRuns:
    """The simulated requests, as arrays by run and arrival; unended ones have infinite `sojourn_time`."""

    arrival_time: Floats
    arm: Ints
    gateway: Ints
    sojourn_time: Floats


@dataclass(frozen=True, slots=True)
class SimulationPlan:
    """Runs of a fleet in which a fraction `second_fraction` of the requests is placed by the second rule.

    With 0 or 1 all traffic is under one rule, which gives that rule's true mean. The arrivals, arms and
    possible departures depend on the seed alone, not on the rules. With `swapped` each request is in the
    other arm, so that, at a fraction of a half, the mean of both runs distinguishes a bias from chance.
    `arrivals` is the number of requests of one run.
    """

    setting: ModelSetting
    rules: tuple[PlacementRule, PlacementRule]
    second_fraction: float
    runs: int
    arrivals: int
    seed: int
    swapped: bool = False


def simulate(plan: SimulationPlan) -> SimulatedRuns:
    """Simulate until each run has had its number of arrivals.

    Raises `ModelOverloadError` if a queue would exceed `MAX_QUEUE_LENGTH`: the load is too high.
    """
    simulation = _Simulation(plan)
    while simulation.accepted.min() < plan.arrivals:
        simulation.step()
    return simulation.result


class _Simulation:
    """The state of all runs: queues as ring buffers of arrival numbers."""

    def __init__(self, plan: SimulationPlan) -> None:
        self.plan = plan
        self.setting = plan.setting
        self.rng = np.random.default_rng(plan.seed)
        self.placement_rng = np.random.default_rng(
            plan.seed + 1
        )  # used by the rules only, so that they do not change other draws
        runs = plan.runs
        servers = plan.setting.servers
        self.outstanding = np.zeros((runs, plan.setting.gateways, servers), dtype=np.int32)
        self.queue = np.zeros((runs, servers, MAX_QUEUE_LENGTH), dtype=np.int32)
        self.head = np.zeros((runs, servers), dtype=np.int32)
        self.size = np.zeros((runs, servers), dtype=np.int32)
        self.accepted = np.zeros(runs, dtype=np.int64)
        self.now = np.zeros(runs)
        self.all_runs = np.arange(runs)
        shape = (runs, plan.arrivals)
        self.result = SimulatedRuns(
            arrival_time=np.full(shape, np.inf),
            arm=np.zeros(shape, np.int8),
            gateway=np.zeros(shape, np.int16),
            sojourn_time=np.full(shape, np.inf),
        )
        self.gateway_bounds = _gateway_bounds(plan.setting)
        self.event_rate = servers * (plan.setting.load + 1)
        self.arrival_probability = plan.setting.load / (plan.setting.load + 1)

    def step(self) -> None:
        """Advance every run by an arrival or a possible departure."""
        self.now += self.rng.exponential(1 / self.event_rate, self.plan.runs)
        is_arrival = self.rng.random(self.plan.runs) < self.arrival_probability
        gateway_draws, arm_draws, departure_draws = self.rng.random((DRAWS_PER_STEP, self.plan.runs))
        runs = np.flatnonzero(is_arrival & (self.accepted < self.plan.arrivals))
        self._arrive(runs, gateway_draws[runs], arm_draws[runs])
        self._depart(is_arrival, departure_draws)

    def _arrive(self, runs: Ints, gateway_draws: Floats, arm_draws: Floats) -> None:
        last_gateway = self.setting.gateways - 1
        gateway = np.minimum(np.searchsorted(self.gateway_bounds, gateway_draws), last_gateway)
        arm = ((arm_draws < self.plan.second_fraction) != self.plan.swapped).astype(np.int8)
        server = self._choose_servers(arm, gateway, self.outstanding[runs, gateway])
        if (self.size[runs, server] >= MAX_QUEUE_LENGTH).any():
            raise ModelOverloadError(
                f"a queue has {MAX_QUEUE_LENGTH} requests: the load is too high; make it smaller"
            )
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
        crosses_zones = (server % ZONES) != (gateway % ZONES)
        waited = self.now[runs] - self.result.arrival_time[runs, number]
        self.result.sojourn_time[runs, number] = waited + self.setting.cross_zone_delay * crosses_zones

    def _choose_servers(self, arm: Ints, gateway: Ints, outstanding: Ints) -> Ints:
        """Return the server of each request.

        `outstanding` is the number of requests that its gateway has in flight, by server.
        """
        rng = self.placement_rng
        chosen = np.zeros(len(arm), dtype=np.int64)
        for number, rule in enumerate(self.plan.rules):
            in_arm = np.flatnonzero(arm == number)
            if rule.choices:
                sample = _sample_servers(self.setting.servers, rule, gateway[in_arm], rng)
                counts = np.take_along_axis(outstanding[in_arm], sample, axis=1)
                best = _least_index(counts, rng)
                chosen[in_arm] = sample[np.arange(len(in_arm)), best]
            else:
                chosen[in_arm] = _least_index(outstanding[in_arm], rng)
        return chosen


def _least_index(counts: Ints, rng: np.random.Generator) -> Ints:
    """Return the index of the least count in each row, chosen at random among equal ones."""
    return np.asarray(np.argmin(counts + TIE_BREAK * rng.random(counts.shape), axis=1))


def _gateway_bounds(setting: ModelSetting) -> Floats:
    """Return cumulative probabilities of the gateways, from their zones' fractions of arrivals."""
    in_first_zone = np.arange(setting.gateways) % ZONES == 0
    first = setting.zone_skew / max(in_first_zone.sum(), 1)
    second = (1 - setting.zone_skew) / max((~in_first_zone).sum(), 1)
    probabilities = np.where(in_first_zone, first, second)
    return np.asarray(np.cumsum(probabilities / probabilities.sum()))


def _sample_servers(servers: int, rule: PlacementRule, gateway: Ints, rng: np.random.Generator) -> Ints:
    """Return distinct servers for each request: a random one, and others at random offsets from it."""
    step = ZONES if rule.own_zone_only else 1  # every other server is in the same zone
    candidates = servers // step
    shape = (len(gateway), 1)
    distances = np.zeros(shape, dtype=np.int64)
    if rule.choices > 1:
        distances = np.hstack((distances, rng.integers(1, candidates, size=shape)))
    if rule.choices >= THIRD_CHOICE:
        third = rng.integers(1, candidates - 1, size=shape)
        distances = np.hstack((distances, third + (third >= distances[:, 1:2])))
    places = (rng.integers(candidates, size=shape) + distances) % candidates
    if not rule.own_zone_only:
        return places
    return places * step + (gateway % ZONES)[:, None]
