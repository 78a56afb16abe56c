"""A fleet's log lines added up, and the lines that a gateway writes for it."""

from __future__ import annotations

import json
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from meadowpulley.cli.main import main
from meadowpulley.interface import Outcome, Request, Result
from meadowpulley.net.counters import Counters
from meadowpulley.net.interval_metrics import BuildCounterStage, policy_metrics
from meadowpulley.report.fleet_metrics import aggregate_intervals
from tests.driver import SAFE, Driver, sends, server_entry

ROLLOUT = {"build": 42, "stage": 1, "phase": "trial", "cap": 0.5}


def stamped(event: str, gateway: str, timestamp_s: float, **fields: Any) -> str:
    """Return a line of a gateway's log as a collector keeps it."""
    timestamp = datetime.fromtimestamp(timestamp_s, UTC).isoformat()
    line = {"event": event, "gateway": gateway, "timestamp": timestamp, **fields}
    return f"{timestamp_s:.3f} {json.dumps(line)}"


def log_line(
    gateway: str, timestamp_s: float, list_calls: int, rollout: dict[str, Any] | None = ROLLOUT
) -> str:
    policy = {
        "servers": {"41.ready": 3},
        "outstanding_attempts": 2,
        "ejected_servers": 1,
        "rollout": rollout,
    }
    counters = {"discovery.watches": list_calls, "in.requests": 5}
    return stamped("interval_metrics", gateway, timestamp_s, counters=counters, policy=policy)


def earlier_log_line(
    gateway: str, timestamp_s: float, list_calls: int, news: tuple[Any, ...] | None = (42, 1, "trial", 0.5)
) -> str:
    """Return the line of a version before the fields were renamed."""
    policy = {"servers": {"41.ready": 3}, "out": 2, "resting": 1, "news": news}
    counts = {"discovery.watches": list_calls, "in.requests": 5}
    return stamped("second", gateway, timestamp_s, counts=counts, held=policy)


@pytest.mark.parametrize("line", [log_line, earlier_log_line], ids=["now", "earlier"])
def test_lines_of_all_gateways_are_summed_by_second(line: Callable[..., str]) -> None:
    other_event = json.dumps({"event": "ready", "gateway": "n0"})
    stamp = {"gateway": "n1", "level": "info", "timestamp": "1970-01-01T00:01:41Z"}
    rejected = {"event": "build_rejected", "build": 42, "reason": "latency", **stamp}
    earlier = {"event": "decision", "line": "back 42", **stamp}  # as versions before typed events wrote it
    no_fields = '{"event": "interval_metrics", "timestamp": "1970-01-01T00:00:07Z"}'
    broken = ["{", "no json", no_fields, '{"event": "second"}', "[1]"]
    lines = [
        line("n0", 100.2, 1),
        line("n1", 100.9, 2),
        line("n0", 101.2, 0, None),
        other_event,
        json.dumps(rejected),
        json.dumps(earlier),
        *broken,
    ]
    seconds, unreadable = aggregate_intervals(lines)
    assert list(seconds) == [100, 101]
    assert seconds[100].gateways == 2 and seconds[100].counters["discovery.watches"] == 3
    assert seconds[100].servers == {"41.ready": 6} and seconds[100].outstanding_requests == 4
    assert seconds[100].rollouts == {"42 stage 1 trial": 2} and seconds[101].rollouts == {"none": 1}
    assert seconds[101].decisions == [
        "1970-01-01T00:01:41Z n1: build_rejected build=42 reason=latency",
        "1970-01-01T00:01:41Z n1: back 42",
    ]
    assert unreadable == len(broken)


def test_command_prints_a_table_and_reports_missing_input(tmp_path: Path) -> None:
    logs = []
    for n in range(3):
        logs.append(tmp_path / f"n{n}.log")
        logs[-1].write_text("\n".join(log_line(f"n{n}", 50.0 + k, n) for k in range(2)))
    runner = CliRunner()
    result = runner.invoke(main, ["fleet-metrics", "--json", *map(str, logs)])
    rows = json.loads(result.output)["seconds"]
    assert result.exit_code == 0 and [r["list calls"] for r in rows] == [3, 3] and rows[1]["second"] == 1
    assert runner.invoke(main, ["fleet-metrics", *map(str, logs)]).exit_code == 0
    empty = tmp_path / "empty.log"
    empty.write_text("")
    for path in (empty, tmp_path / "none.log"):
        failed = runner.invoke(main, ["fleet-metrics", str(path)])
        assert failed.exit_code == 2 and len(failed.output.strip().splitlines()) == 1


def test_build_counter_counts_outcomes_and_changes_none() -> None:
    counters, driver_under_test, reference = Counters(), Driver(), Driver()
    stage = BuildCounterStage(driver_under_test.policy, counters)
    for driver in (driver_under_test, reference):
        driver.update_endpoints([server_entry(1), server_entry(2)])
    for n in range(1, 5):
        request = Request(n, SAFE, 0, 0, 3000.0)
        (sent,) = sends(stage.handle(0.0, request))
        assert sends(reference.policy.handle(0.0, request)) == [sent]
        outcome = Outcome(n, 0, sent.server, Result.OK, 50.0, True)
        assert stage.handle(0.0, outcome) == reference.policy.handle(0.0, outcome)
    assert counters["build.41.ok"] == counters["build.41.sent"] == 4
    metrics = policy_metrics(driver_under_test.policy, 0.0)
    assert metrics.servers == {"41.ready": 2}
    assert metrics.rollout is not None
    assert (metrics.rollout.build, metrics.rollout.stage) == (41, 2)
