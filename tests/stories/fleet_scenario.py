"""A story's scenario: steps collect its parts, and the fleet is emulated once a step asks for it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from msgspec.structs import replace

from meadowpulley.emulator import Build, Emulation, EmulationResult, Fault, Release, Scenario
from meadowpulley.emulator.gateway import SimulatedGateway
from meadowpulley.emulator.shared_state import SharedState
from meadowpulley.fleet import Fleet
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.load.arrivals import Arrival
from meadowpulley.policy import RolloutPolicy
from meadowpulley.rules import Record
from tests.stories.fleets import small_fleet


@dataclass
class FleetScenario:
    """Parts of one story. Times are seconds, as in the stories."""

    seed: int = 1
    fleet: Fleet = field(default_factory=lambda: small_fleet(2))
    per_s: float = 40.0
    duration_s: float = 12.0
    only_class: str = ""  # one class
    build_policy: Callable[..., Any] = RolloutPolicy
    shared_state: SharedState | None = None
    releases: list[Release] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    plans: list[Callable[[Emulation], None]] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    demands: list[tuple[int, float, float, float]] = field(default_factory=list)  # tenant, per s, from, to
    experiment: Any = None
    labelled_keys: list[tuple[int, int]] = field(default_factory=list)  # keys and arms of an experiment
    notebooks: list[Any] = field(default_factory=list)  # of the stages that a story set up
    _emulation: Emulation | None = None
    _result: EmulationResult | None = None

    @property
    def emulation(self) -> Emulation:
        """The emulated fleet, built on first use."""
        if self._emulation is None:
            scenario = Scenario(releases=tuple(self.releases), faults=tuple(self.faults))
            self._emulation = Emulation(
                self.fleet,
                self._load(),
                self.seed,
                scenario,
                self.build_policy,
                self.records.append,
                shared_state=self.shared_state,
            )
            for plan in self.plans:
                plan(self._emulation)
        return self._emulation

    def _load(self) -> list[Arrival]:
        if self.demands:
            return self._by_tenant()
        load = list(synthesize(self.fleet, PROFILES["steady"], self.per_s, self.duration_s, self.seed))
        return [replace(a, class_name=self.only_class) for a in load] if self.only_class else load

    def _by_tenant(self) -> list[Arrival]:
        """Return look-ups at random times; their keys determine the tenants."""
        rng, found = Random(self.seed), list[Arrival]()
        assert self.shared_state is not None
        sites = [site.name for site in self.fleet.sites]
        for tenant, per_s, begin, end in self.demands:
            at = begin
            while (at := at + rng.expovariate(per_s)) < end:
                key = len(self.shared_state.tenants) * rng.randrange(1, 100_000) + tenant
                found.append(Arrival(at * 1000.0, "look-up", rng.choice(sites), key, 60.0))
        return sorted(found, key=lambda a: a.at_ms)

    @property
    def result(self) -> EmulationResult:
        """The result of the story, played to its end."""
        if self._result is None:
            self.emulation.run_until(math.ceil(self.emulation.clock.now / 1000.0) * 1000.0)  # a day ends so
            self._result = self.emulation.run()
        return self._result

    def gateway(self, number: int) -> SimulatedGateway:
        return self.emulation.gateways[number - 1]  # operators count from one

    def call_at(self, seconds: float, call: Callable[[Emulation], None]) -> None:
        """Run a callback on the emulation at a time."""
        self.plans.append(lambda world: world.clock.call_at(seconds * 1000.0, lambda: call(world)))

    def add_fault(self, kind: Any, begin: float, end: float, **more: Any) -> None:
        self.faults.append(Fault(kind, begin * 1000.0, (end - begin) * 1000.0, **more))

    def offer_build(self, build: Build, at: float) -> None:
        self.releases.append(Release(at * 1000.0, build))

    def records_of(self, kind: type) -> list[Any]:
        _ = self.result
        return [r for r in self.records if type(r) is kind]

    def outcome_counts(self) -> Counter[str]:
        """Return how calls ended, over all classes."""
        total: Counter[str] = Counter()
        for c in self.result.classes:
            total.update({"served": c.served, "refused": c.rejected, "failed": c.failed, "asked": c.calls})
        return total
