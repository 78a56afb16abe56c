"""One story while it is told: what is given is gathered, and the fleet is built once it is asked about."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from msgspec.structs import replace

from meadowpulley.balance import Balancer
from meadowpulley.emulator import Build, Fault, Release, Result, Scenario, World
from meadowpulley.emulator.gateway import Gateway
from meadowpulley.emulator.together import Together
from meadowpulley.fleet import Fleet
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.load.arrivals import Arrival
from meadowpulley.rules import Record
from tests.stories.fleets import small_fleet


@dataclass
class Tale:
    """Times are seconds, as in the stories."""

    seed: int = 1
    fleet: Fleet = field(default_factory=lambda: small_fleet(2))
    per_s: float = 40.0
    lasts: float = 12.0
    only: str = ""  # one class
    make: Callable[..., Any] = Balancer
    together: Together | None = None
    releases: list[Release] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    plans: list[Callable[[World], None]] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    demands: list[tuple[int, float, float, float]] = field(default_factory=list)  # tenant, per s, from, to
    experiment: Any = None
    labelled: list[tuple[int, int]] = field(default_factory=list)  # keys and arms of an experiment
    notebooks: list[Any] = field(default_factory=list)  # of the stages that a story set up
    _world: World | None = None
    _result: Result | None = None

    @property
    def world(self) -> World:
        if self._world is None:
            scenario = Scenario(releases=tuple(self.releases), faults=tuple(self.faults))
            self._world = World(
                self.fleet,
                self._load(),
                self.seed,
                scenario,
                self.make,
                self.records.append,
                together=self.together,
            )
            for plan in self.plans:
                plan(self._world)
        return self._world

    def _load(self) -> list[Arrival]:
        if self.demands:
            return self._by_tenant()
        load = list(synthesize(self.fleet, PROFILES["steady"], self.per_s, self.lasts, self.seed))
        return [replace(a, cls=self.only) for a in load] if self.only else load

    def _by_tenant(self) -> list[Arrival]:
        """Look-ups at chance moments; their keys tell the tenants, which take turns by them."""
        rng, found = Random(self.seed), list[Arrival]()
        assert self.together is not None
        sites = [site.name for site in self.fleet.sites]
        for tenant, per_s, begin, end in self.demands:
            at = begin
            while (at := at + rng.expovariate(per_s)) < end:
                key = len(self.together.tenants) * rng.randrange(1, 100_000) + tenant
                found.append(Arrival(at * 1000.0, "look-up", rng.choice(sites), key, 60.0))
        return sorted(found, key=lambda a: a.at_ms)

    @property
    def result(self) -> Result:
        """The day played to its end."""
        if self._result is None:
            self.world.run_until(math.ceil(self.world.clock.now / 1000.0) * 1000.0)  # a day ends so
            self._result = self.world.run()
        return self._result

    def gateway(self, number: int) -> Gateway:
        return self.world.gateways[number - 1]  # operators count from one

    def at(self, seconds: float, call: Callable[[World], None]) -> None:
        """Something is to happen at its time."""
        self.plans.append(lambda world: world.clock.at(seconds * 1000.0, lambda: call(world)))

    def fault(self, kind: Any, begin: float, end: float, **more: Any) -> None:
        self.faults.append(Fault(kind, begin * 1000.0, (end - begin) * 1000.0, **more))

    def offer(self, build: Build, at: float) -> None:
        self.releases.append(Release(at * 1000.0, build))

    def seen(self, kind: type) -> list[Any]:
        _ = self.result
        return [r for r in self.records if type(r) is kind]

    def ends(self) -> Counter[str]:
        """How asks ended, over all classes."""
        total: Counter[str] = Counter()
        for c in self.result.classes:
            total.update({"served": c.served, "refused": c.refused, "failed": c.failed, "asked": c.asked})
        return total
