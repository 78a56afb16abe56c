"""Run experiments on the emulated fleet, with real rollout policies and a ledger in memory.

`table_rows` returns three runs with the same load and seed as rows of a table, which `meadowpulley experiment
compare` reads: all traffic under the first arm, all under the second, and the experiment between the two.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from meadowpulley.emulator import Emulation, Scenario
from meadowpulley.experiment import LoadSpec, RunResult
from meadowpulley.fleet import Fleet, gateway_settings
from meadowpulley.interface import Action, Settings, Timer
from meadowpulley.ledger import Commit, CommitCompleted, Incarnation, LedgerChanged, Member, MemoryStore
from meadowpulley.placement.definition import Arm, Experiment, build_placements
from meadowpulley.placement.stage import TIMER_TOKEN, PlacementStage, StageAction, StageEvent
from meadowpulley.placement.summary import Summary, read_summary
from meadowpulley.policy import RolloutPolicy

# Fraction of the traffic for the arm that runs alone. It is below 1 because a definition needs two arms, each
# with a part above 0.
ALMOST_ALL_TRAFFIC = 1 - 1e-9
NO_TRAFFIC_ARM = "nobody"
LEASE_TERM_MS = 1000.0


class StageHost:
    """One incarnation of an emulated gateway: a stage whose commits the store executes immediately.

    The stage is told of the ledger's changes at the first event and whenever its own timer fires.
    """

    def __init__(self, store: MemoryStore, incarnation: Incarnation, stage: PlacementStage) -> None:
        self.store = store
        self.incarnation = incarnation
        self.stage = stage
        self.seen_version = -1

    def handle(self, now: float, event: StageEvent) -> list[Action]:
        """Pass an event to the stage; execute its commits and return its other actions."""
        actions: list[Action] = []
        is_own_timer = isinstance(event, Timer) and event.token == TIMER_TOKEN
        if self.seen_version < 0 or is_own_timer:
            changes = self.store.changes(max(self.seen_version, 0), ("placement/",))
            self.seen_version = changes.version
            actions += self._carry_out(now, self.stage.handle(now, LedgerChanged(changes)))
        return actions + self._carry_out(now, self.stage.handle(now, event))

    def _carry_out(self, now: float, actions: list[StageAction]) -> list[Action]:
        others: list[Action] = []
        for action in actions:
            if isinstance(action, Commit):
                results = tuple(self.store.commit(self.incarnation, action.transactions))
                completed = CommitCompleted(action.ticket, results, action.owner)
                others += self._carry_out(now, self.stage.handle(now, completed))
            else:
                others.append(action)
        return others


@dataclass(frozen=True, slots=True)
class EmulatedRun:
    """The results of one run."""

    summary: Summary
    rule_violations: dict[str, int]  # number of violations, by rule
    guard_times_ms: tuple[float, ...]  # times at which the guard reported a harmful arm


class _EmulatedGateways:
    """Builds the gateways of one run, and keeps the latest incarnation of each."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        self.store = MemoryStore()
        self.incarnations: dict[int, Incarnation] = {}  # latest incarnation by gateway index

    def build(self, settings: Settings, seed: int) -> StageHost:
        """Return a new incarnation of a gateway, and mark its previous incarnation as dead."""
        index = settings.gateway_index
        if index in self.incarnations:
            self.store.dead_incarnations.add(self.incarnations[index])
        incarnation = self.store.register(f"gateway-{index}", LEASE_TERM_MS)
        self.incarnations[index] = incarnation
        policy = RolloutPolicy(settings, seed, build_placements(self.experiment, seed))
        stage = PlacementStage(policy, self.experiment, settings, incarnation)
        return StageHost(self.store, incarnation, stage)

    def live_members(self) -> list[Member]:
        """Return the members whose incarnation is the gateway's latest and is not marked as dead."""
        latest = set(self.incarnations.values())
        return [
            member
            for member in self.store.members()
            if member.incarnation in latest and member.incarnation not in self.store.dead_incarnations
        ]


def run_experiment(
    fleet: Fleet, experiment: Experiment, load: LoadSpec, seed: int, scenario: Scenario | None = None
) -> EmulatedRun:
    """Run an experiment once. The same arguments give exactly the same result."""
    gateways = _EmulatedGateways(experiment)
    emulation = Emulation(fleet, load.arrivals(fleet, seed), seed, scenario, build_policy=gateways.build)
    result = emulation.run()
    # The timer makes each live gateway write the counts that it has not yet written to the ledger.
    for gateway in emulation.gateways:
        if gateway.alive:
            gateway.pipeline.handle(result.elapsed_ms, Timer(TIMER_TOKEN))
    classes = gateway_settings(fleet, 0).classes
    records = gateways.store.scan("placement/")
    summary = read_summary(experiment, classes, records, gateways.live_members())
    guard_times_ms = tuple(at_ms for at_ms, text in result.events if "is worse" in text)
    return EmulatedRun(summary, dict(result.violation_counts), guard_times_ms)


def single_arm(experiment: Experiment, arm: int) -> Experiment:
    """Return the experiment with almost all traffic (1 - 1e-9) in one arm."""
    chosen = experiment.arms[arm]
    arms = (
        Arm(chosen.name, chosen.policy, ALMOST_ALL_TRAFFIC),
        Arm(NO_TRAFFIC_ARM, chosen.policy, 1 - ALMOST_ALL_TRAFFIC),
    )
    return replace(experiment, name=f"{experiment.name}-all-{chosen.name}", arms=arms)


def table_rows(fleet: Fleet, experiment: Experiment, load: LoadSpec, seed: int) -> list[RunResult]:
    """Run each arm alone, then the experiment, with one seed; return the results as table rows."""
    rows = []
    for variant in (single_arm(experiment, 0), single_arm(experiment, 1), experiment):
        run = run_experiment(fleet, variant, load, seed)
        figures = run.summary.figures()
        if variant is not experiment:
            figures = _single_arm_figures(figures, variant.arms[0].name)
        rows.append(RunResult(variant.digest, variant.name, seed, figures, run.rule_violations))
    return rows


def _single_arm_figures(figures: dict[str, float], arm: str) -> dict[str, float]:
    """Remove the prefix `{arm}.` from the figures' names, and drop figures of the arm without traffic."""
    return {
        name.removeprefix(f"{arm}."): value
        for name, value in figures.items()
        if not name.startswith(NO_TRAFFIC_ARM)
    }
