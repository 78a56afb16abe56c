"""Placement experiments on the emulated fleet with real balancers: rules, deaths, the coin between builds."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from scipy import stats

from meadowpulley.balance import Balancer
from meadowpulley.emulator import Build, Fault, Release, Scenario, World
from meadowpulley.experiment import LoadSpec, paired, write_tables
from meadowpulley.fleet import parse_fleet
from meadowpulley.ledger import Life
from meadowpulley.placement import POLICIES, Arm, Assignment, End, Experiment, PlacementStage, placements
from meadowpulley.placement.emulated import play, rows
from meadowpulley.rules import Record, Sent

PATH = Path(__file__).parent.parent / "examples" / "placement-fleet.toml"
FLEET = parse_fleet(PATH.read_bytes(), PATH.name)
TROUBLE = Scenario(
    releases=(Release(2000.0, Build(2, fails=0.6)),),
    faults=(Fault("gateway_crash", 9000.0, 3000.0, part=0.5), Fault("vanish", 6000.0, 4000.0, part=0.1)),
)


def experiment(policy: str, other: str = "own", **more: Any) -> Experiment:
    fields: dict[str, Any] = {"end": End(requests=10**9), "carry_ms": 1000.0} | more
    return Experiment(1, "try", (Arm("now", other, 0.5), Arm("new", policy, 0.5)), **fields)


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_rules_hold_under_every_policy_and_deaths_lose_only_what_nobody_wrote(policy: str) -> None:
    load = LoadSpec(per_s=100.0, seconds=20.0)
    found = play(FLEET, experiment(policy), load, 3, TROUBLE)
    assert not found.broken
    s = found.summary
    assert s.lives == 3 and s.held > 0  # the build that went back; before the ledger was known
    asked = sum(1 for _ in load.arrivals(FLEET, 3))
    lost = sum(a.lost for a in s.arms if not a.cls)
    assert 0 < lost < 100 and not sum(a.open for a in s.arms)
    assert 0.85 * asked < s.requests + s.held <= asked
    assert min(a.served for a in s.arms if not a.cls) > 600 and s.split_p > 0.001
    if policy == "two":
        assert play(FLEET, experiment(policy), load, 3, TROUBLE) == found


def test_the_coin_between_builds_knows_nothing_of_arms() -> None:
    e, seen = experiment("two"), Counter[tuple[int, int]]()
    assignment, done = Assignment(e), set[int]()

    def make(settings: Any, seed: int) -> PlacementStage:
        life = Life(f"gateway-{settings.me}", 1)
        stage = PlacementStage(Balancer(settings, seed, placements(e, seed)), e, settings, life)
        stage.known = stage.cut_off = True  # it knows of no arm that ended, and asks nothing of a ledger
        return stage

    def see(record: Record) -> None:
        if isinstance(record, Sent) and record.request not in done:
            done.add(record.request)
            arm = assignment.arm(f"request gateway-{record.gateway}.1 {record.request}".encode())
            seen[arm, record.build] += 1

    scenario = Scenario(releases=(Release(2000.0, Build(2)),))
    World(
        FLEET, LoadSpec(per_s=150.0, seconds=12.0).arrivals(FLEET, 5), 5, scenario, make=make, trace=see
    ).run()
    table = [[seen[arm, build] for build in (1, 2)] for arm in (0, 1)]
    assert min(min(row) for row in table) > 20
    assert stats.chi2_contingency(table).pvalue > 0.01


def test_rows_are_read_as_tables_of_experiments(tmp_path: Path) -> None:
    load = LoadSpec(per_s=150.0, seconds=10.0)
    found = [row for seed in (1, 2) for row in rows(FLEET, experiment("round", "two"), load, seed)]
    names = list(dict.fromkeys(row.name for row in found))
    assert names == ["try-all-now", "try-all-new", "try"]
    change = next(d for d in paired(found, *names[:2]) if d.metric == "mean_ms")
    assert change.first > 100 and change.change.n == 2
    assert "new.naive_ms" in found[2].figures
    write_tables(found, tmp_path, {"experiment": "try"})
    assert (tmp_path / "table.csv").read_text().startswith("configuration,seed,")


def test_the_guard_ends_a_harmful_arm_on_real_balancers_and_leaves_equal_ones_alone() -> None:
    load = LoadSpec(per_s=170.0, seconds=15.0)  # 0.85 of what the fleet can do; requests have no keys
    harmed, equal = (play(FLEET, experiment(policy, "two"), load, 1) for policy in ("key", "two"))
    assert harmed.guarded and harmed.summary.ended[0][0] == "new" and not harmed.broken
    assert harmed.summary.requests < equal.summary.requests
    assert not equal.guarded and not equal.summary.ended
