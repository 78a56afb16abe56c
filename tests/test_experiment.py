"""Experiments: runs that go on where they were cut off, tables, and paired comparison."""

from __future__ import annotations

import csv
import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from meadowpulley.cli import main
from meadowpulley.experiment import (
    Cell,
    LoadSpec,
    ResultStore,
    RunResult,
    confidence_interval,
    paired_differences,
    run_cells,
    wilson_interval,
)
from tests.test_capacity import SMALL_FLEET, make_fleet

PLAN = """
version = 1
name = "two"
fleet = "small.toml"
seconds = 5
seeds = [1, 2]
[[configurations]]
name = "low"
share = 0.2
[[configurations]]
name = "high"
share = 0.6
"""


def cells(seconds: float = 4.0) -> list[Cell]:
    return [Cell("c", make_fleet(), LoadSpec(per_s=20.0, seconds=seconds), seed) for seed in (1, 2, 3)]


def run(*args: object) -> Result:
    return CliRunner().invoke(main, [str(a) for a in args])


def test_a_run_that_was_cut_off_goes_on_where_it_was(tmp_path: Path) -> None:
    path = tmp_path / "runs.jsonl"
    whole = run_cells(cells(), ResultStore(path), workers=1)
    raw = path.read_bytes()
    for cut in (0, 1, len(raw) // 2, len(raw) - 1, len(raw)):
        path.write_bytes(raw[:cut])
        store = ResultStore(path)
        kept = len(store.rows)
        ran: list[int] = []
        again = run_cells(cells(), store, workers=1, progress=lambda done, of, ran=ran: ran.append(done))  # type: ignore[misc]
        assert again == whole and ran[0] == kept and kept == raw[:cut].count(b"\n")
        assert sorted(path.read_bytes().splitlines()) == sorted(raw.splitlines())


def test_processes_give_what_one_process_gives() -> None:
    assert run_cells(cells(2.0), workers=2) == run_cells(cells(2.0), workers=1)


def test_the_key_of_a_run_is_all_that_decides_it_and_not_its_name() -> None:
    one = Cell("a", make_fleet(), LoadSpec(per_s=20.0), 1)
    assert one.key == Cell("b", make_fleet(), LoadSpec(per_s=20.0), 1).key
    others = [
        Cell("a", make_fleet(), LoadSpec(per_s=21.0), 1),
        Cell("a", make_fleet(), LoadSpec(per_s=20.0), 2),
        Cell("a", make_fleet(name="other"), LoadSpec(per_s=20.0), 1),
        Cell("a", make_fleet(), LoadSpec(per_s=20.0), 1, limits_concurrency=False),
    ]
    assert len({one.key, *(o.key for o in others)}) == 5


def test_pairs_find_a_change_that_the_spread_between_seeds_hides() -> None:
    rows = [
        RunResult("", name, seed, {"x": 10.0 * seed + change, "y": 5.0}, {})
        for seed in range(1, 9)
        for name, change in (("a", 0.0), ("b", 0.5 + 0.01 * seed))
    ]
    x, y = paired_differences(rows, "a", "b")
    assert x.significant and x.change.low < 0.545 < x.change.high and x.change.half_width < 0.05
    assert not y.significant and y.change.mean == 0
    with pytest.raises(ValueError, match="share 0 seeds"):
        paired_differences(rows, "a", "c")


def test_intervals() -> None:
    over = confidence_interval([1.0, 2.0, 3.0, 4.0, 5.0])
    assert over.mean == 3.0 and over.low == pytest.approx(3 - 1.963, abs=1e-3)
    assert confidence_interval([1.0]).half_width == float("inf")
    none = wilson_interval(0, 100)
    assert none.low == pytest.approx(0.0, abs=1e-9) and none.high == pytest.approx(0.0370, abs=1e-4)


def test_the_commands_run_compare_and_report(tmp_path: Path) -> None:
    (tmp_path / "small.toml").write_bytes(SMALL_FLEET)
    plan = tmp_path / "two.toml"
    plan.write_text(PLAN)
    out = tmp_path / "out"
    done = run("experiment", "run", plan, "--out", out, "--workers", 1)
    assert done.exit_code == 0, done.output
    rows = list(csv.DictReader((out / "table.csv").open()))
    assert [(r["configuration"], r["seed"]) for r in rows] == [
        ("low", "1"),
        ("low", "2"),
        ("high", "1"),
        ("high", "2"),
    ]
    told = json.loads((out / "table.json").read_text())
    assert told["seeds"] == [1, 2] and "experiment run" in told["command"]
    compared = json.loads(run("experiment", "compare", out, "low", "high", "--json").stdout)
    change = next(d for d in compared if d["metric"] == "served_per_s")
    assert change["high"] > 0 and change["change"] == pytest.approx((change["low"] + change["high"]) / 2)
    assert run("experiment", "compare", out, "low", "none").exit_code == 2
    assert run("experiment", "report", out, "--out", tmp_path / "page.md").exit_code == 0
    assert "| low | 2 |" in (tmp_path / "page.md").read_text()


@pytest.mark.parametrize(
    ("old", "new", "told"),
    [
        ('name = "high"', 'name = "low"', "configurations[0].name: 'low' is there twice"),
        ("share = 0.2", "share = 0.2\nrate = 5", "exclude each other"),
        ("share = 0.2", 'profile = "wild"', "configurations[0].profile: 'wild' is none"),
        ("small.toml", "missing.toml", "missing.toml: No such file"),
        ("seeds = [1, 2]", "seeds = []", "seeds: "),
    ],
)
def test_a_bad_experiment_is_one_line(tmp_path: Path, old: str, new: str, told: str) -> None:
    (tmp_path / "small.toml").write_bytes(SMALL_FLEET)
    plan = tmp_path / "bad.toml"
    plan.write_text(PLAN.replace(old, new))
    done = run("experiment", "run", plan, "--out", tmp_path / "out")
    assert done.exit_code == 2 and told in done.stderr and done.stderr.count("\n") == 1
