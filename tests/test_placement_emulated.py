"""Tests of placement experiments on the emulated fleet, with real rollout policies.

They check the rules, crashes of gateways, the draw of builds, and the guard.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from scipy import stats

from meadowpulley.emulator import Build, Emulation, Fault, Release, Scenario
from meadowpulley.experiment import LoadSpec, paired_differences, write_tables
from meadowpulley.fleet import parse_fleet
from meadowpulley.ledger import Incarnation
from meadowpulley.placement import (
    POLICIES,
    Arm,
    Assignment,
    EndCondition,
    Experiment,
    PlacementStage,
    build_placements,
)
from meadowpulley.placement.emulated import run_experiment, table_rows
from meadowpulley.policy import RolloutPolicy
from meadowpulley.rules import AttemptSent, Record

FLEET_FILE = Path(__file__).parent.parent / "examples" / "placement-fleet.toml"
FLEET = parse_fleet(FLEET_FILE.read_bytes(), FLEET_FILE.name)
FAULTS = Scenario(
    releases=(Release(2000.0, Build(2, failure_share=0.6)),),
    faults=(Fault("gateway_crash", 9000.0, 3000.0, share=0.5), Fault("vanish", 6000.0, 4000.0, share=0.1)),
)


def experiment(policy: str, other: str = "own", **more: Any) -> Experiment:
    fields: dict[str, Any] = {"end": EndCondition(requests=10**9), "carry_ms": 1000.0} | more
    return Experiment(1, "try", (Arm("now", other, 0.5), Arm("new", policy, 0.5)), **fields)


@pytest.mark.parametrize("policy", sorted(POLICIES))
def test_rules_hold_under_every_policy_and_crashes_lose_only_unwritten_counts(policy: str) -> None:
    load = LoadSpec(per_s=100.0, seconds=20.0)
    found = run_experiment(FLEET, experiment(policy), load, 3, FAULTS)
    assert not found.rule_violations
    s = found.summary
    assert s.incarnations == 3
    assert s.withheld > 0  # requests during the rollback, and before the ledger was read
    request_count = sum(1 for _ in load.arrivals(FLEET, 3))
    lost = sum(a.lost for a in s.arms if not a.class_name)
    assert 0 < lost < 100
    assert not sum(a.still_open for a in s.arms)
    assert 0.85 * request_count < s.requests + s.withheld <= request_count
    assert min(a.served for a in s.arms if not a.class_name) > 600
    assert s.sample_ratio_p_value > 0.001
    if policy == "two":
        assert run_experiment(FLEET, experiment(policy), load, 3, FAULTS) == found


def test_the_drawn_build_is_independent_of_the_arm() -> None:
    e, counts = experiment("two"), Counter[tuple[int, int]]()
    assignment, counted = Assignment(e), set[int]()

    def build_stage(settings: Any, seed: int) -> PlacementStage:
        incarnation = Incarnation(f"gateway-{settings.gateway_index}", 1)
        stage = PlacementStage(
            RolloutPolicy(settings, seed, build_placements(e, seed)), e, settings, incarnation
        )
        stage.writer.on_ledger_read()  # the ledger counts as read, without ended arms
        stage.writer.on_ledger_unavailable()  # the stage commits nothing
        return stage

    def count_first_build(record: Record) -> None:
        if isinstance(record, AttemptSent) and record.request not in counted:
            counted.add(record.request)
            arm = assignment.arm(f"request gateway-{record.gateway}.1 {record.request}".encode())
            counts[arm, record.build] += 1

    scenario = Scenario(releases=(Release(2000.0, Build(2)),))
    Emulation(
        FLEET,
        LoadSpec(per_s=150.0, seconds=12.0).arrivals(FLEET, 5),
        5,
        scenario,
        build_policy=build_stage,
        on_record=count_first_build,
    ).run()
    table = [[counts[arm, build] for build in (1, 2)] for arm in (0, 1)]
    assert min(min(row) for row in table) > 20
    assert stats.chi2_contingency(table).pvalue > 0.01


def test_rows_are_written_as_tables_of_experiments(tmp_path: Path) -> None:
    load = LoadSpec(per_s=150.0, seconds=10.0)
    found = [row for seed in (1, 2) for row in table_rows(FLEET, experiment("round", "two"), load, seed)]
    names = list(dict.fromkeys(row.name for row in found))
    assert names == ["try-all-now", "try-all-new", "try"]
    change = next(d for d in paired_differences(found, *names[:2]) if d.metric == "mean_ms")
    assert change.first > 100
    assert change.change.count == 2
    assert "new.naive_ms" in found[2].figures
    write_tables(found, tmp_path, {"experiment": "try"})
    assert (tmp_path / "table.csv").read_text().startswith("configuration,seed,")


def test_the_guard_ends_a_harmful_arm_and_not_an_equal_one() -> None:
    load = LoadSpec(per_s=170.0, seconds=15.0)  # 0.85 of the fleet's capacity; requests have no keys
    harmed, equal = (run_experiment(FLEET, experiment(policy, "two"), load, 1) for policy in ("key", "two"))
    assert harmed.guard_times_ms
    assert harmed.summary.ended_arms[0][0] == "new"
    assert not harmed.rule_violations
    assert harmed.summary.requests < equal.summary.requests
    assert not equal.guard_times_ms
    assert not equal.summary.ended_arms
