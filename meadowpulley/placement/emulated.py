"""Experiments on the emulated fleet, with real balancers: their stages on a ledger in memory, and the truth.

`rows` has them as rows of an experiment's table (`meadowpulley experiment compare` reads it): all traffic one
way, all the other way, and the experiment between them, with the same load and seed.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from msgspec.structs import replace

from meadowpulley.balance import Balancer
from meadowpulley.emulator import Scenario, World
from meadowpulley.experiment import LoadSpec, Row
from meadowpulley.fleet import Fleet, settings_of
from meadowpulley.interface import Settings, Timer
from meadowpulley.ledger import Changed, Commit, Committed, Life, MemoryStore
from meadowpulley.placement.definition import Arm, Experiment, placements
from meadowpulley.placement.stage import TOKEN, PlacementStage
from meadowpulley.placement.summary import Summary, read_summary

ALMOST_ALL = 1 - 1e-9


class Hosted:
    """One life of a gateway: the stage around a balancer, its commits carried out at once. It hears of the
    ledger's changes when its own timer comes."""

    def __init__(self, store: MemoryStore, life: Life, stage: PlacementStage) -> None:
        self.store, self.life, self.stage = store, life, stage
        self.seen = -1

    def handle(self, now: float, event: Any) -> list[Any]:
        found: list[Any] = []
        if self.seen < 0 or (isinstance(event, Timer) and event.token == TOKEN):
            changes = self.store.changes(max(self.seen, 0), ("placement/",))
            self.seen = changes.version
            found += self._carried_out(now, self.stage.handle(now, Changed(changes)))
        return found + self._carried_out(now, self.stage.handle(now, event))

    def _carried_out(self, now: float, actions: list[Any]) -> list[Any]:
        found: list[Any] = []
        for action in actions:
            if isinstance(action, Commit):
                done = tuple(self.store.commit(self.life, action.steps))
                told = self.stage.handle(now, Committed(action.ticket, done, action.owner))
                found += self._carried_out(now, told)
            else:
                found.append(action)
        return found


@dataclass(frozen=True, slots=True)
class Played:
    summary: Summary
    broken: dict[str, int]  # rules, by how often
    guarded: tuple[float, ...]  # when the guard ended an arm, in ms


def play(
    fleet: Fleet, experiment: Experiment, load: LoadSpec, seed: int, scenario: Scenario | None = None
) -> Played:
    """One run of an experiment. The same arguments give the same result, to the last figure."""
    store = MemoryStore()
    lives: dict[int, Life] = {}

    def make(settings: Settings, drawn: int) -> Hosted:
        if settings.gateway_index in lives:
            store.dead.add(lives[settings.gateway_index])
        life = lives[settings.gateway_index] = store.begin(f"gateway-{settings.gateway_index}", 1000.0)
        balancer = Balancer(settings, drawn, placements(experiment, drawn))
        return Hosted(store, life, PlacementStage(balancer, experiment, settings, life))

    world = World(fleet, load.arrivals(fleet, seed), seed, scenario, make=make)
    result = world.run()
    for gateway in world.gateways:  # what was counted since the last write
        if gateway.alive:
            gateway.balancer.handle(result.lasted_ms, Timer(TOKEN))
    living = [m for m in store.members() if m.life == lives[int(m.life.name.rpartition("-")[2])]]
    members = [m for m in living if m.life not in store.dead]
    classes = settings_of(fleet, 0).classes
    summary = read_summary(experiment, classes, store.scan("placement/"), members)
    guarded = tuple(at for at, what in result.events if "is worse" in what)
    return Played(summary, dict(result.broken), guarded)


def alone(experiment: Experiment, arm: int) -> Experiment:
    """The same with all traffic under one arm."""
    chosen = experiment.arms[arm]
    arms = (Arm(chosen.name, chosen.policy, ALMOST_ALL), Arm("nobody", chosen.policy, 1 - ALMOST_ALL))
    return replace(experiment, name=f"{experiment.name}-all-{chosen.name}", arms=arms)


def rows(fleet: Fleet, experiment: Experiment, load: LoadSpec, seed: int) -> list[Row]:
    """The truth and the experiment of one seed, as rows of a table."""
    found = []
    for of in (alone(experiment, 0), alone(experiment, 1), experiment):
        played = play(fleet, of, load, seed)
        figures = played.summary.figures()
        if of is not experiment:
            prefix = of.arms[0].name + "."
            figures = {k.removeprefix(prefix): v for k, v in figures.items() if not k.startswith("nobody")}
        found.append(Row(of.digest, of.name, seed, figures, played.broken))
    return found
