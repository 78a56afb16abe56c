"""A fleet's log lines added up, and the lines that a gateway writes for it."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from meadowpulley.cli.main import main
from meadowpulley.interface import Outcome, Request, Result
from meadowpulley.net.counters import Counters
from meadowpulley.net.seconds import Tap, held
from meadowpulley.report.seconds import add_up
from tests.driver import SAFE, Driver, entry, sends


def second(gateway: str, at: float, calls: int, **more: Any) -> str:
    news = [42, 1, "trial", 0.5]
    inside = {"servers": {"41.ready": 3}, "out": 2, "resting": 1, "news": news, **more}
    counts = {"list.watches": calls, "in.requests": 5}
    stamp = datetime.fromtimestamp(at, UTC).isoformat()
    event = {"event": "second", "gateway": gateway, "timestamp": stamp, "counts": counts, "held": inside}
    return f"{at:.3f} {json.dumps(event)}"


def test_lines_of_all_gateways_are_added_up_by_the_second() -> None:
    other = json.dumps({"event": "ready", "gateway": "n0"})
    said = {"event": "decision", "gateway": "n1", "line": "back 42", "timestamp": "1970-01-01T00:01:41Z"}
    stamped = '{"event": "second", "timestamp": "1970-01-01T00:00:07Z"}'
    broken = ["{", "no json", stamped, '{"event": "second"}', "[1]"]
    lines = [
        second("n0", 100.2, 1),
        second("n1", 100.9, 2),
        second("n0", 101.2, 0, news=None),
        other,
        json.dumps(said),
        *broken,
    ]
    found, unread = add_up(lines)
    assert list(found) == [100, 101]
    assert found[100].gateways == 2 and found[100].counts["list.watches"] == 3
    assert found[100].servers == {"41.ready": 6} and found[100].out == 4
    assert found[100].news == {"42 stage 1 trial": 2} and found[101].news == {"none": 1}
    assert found[101].lines == ["1970-01-01T00:01:41Z n1: back 42"]
    assert unread == len(broken)


def test_the_command_prints_a_table_and_says_what_is_missing(tmp_path: Path) -> None:
    logs = []
    for n in range(3):
        logs.append(tmp_path / f"n{n}.log")
        logs[-1].write_text("\n".join(second(f"n{n}", 50.0 + k, n) for k in range(2)))
    runner = CliRunner()
    shown = runner.invoke(main, ["fleet-log", "--json", *map(str, logs)])
    rows = json.loads(shown.output)["seconds"]
    assert shown.exit_code == 0 and [r["list calls"] for r in rows] == [3, 3] and rows[1]["second"] == 1
    assert runner.invoke(main, ["fleet-log", *map(str, logs)]).exit_code == 0
    empty = tmp_path / "empty.log"
    empty.write_text("")
    for path in (empty, tmp_path / "none.log"):
        refused = runner.invoke(main, ["fleet-log", str(path)])
        assert refused.exit_code == 2 and len(refused.output.strip().splitlines()) == 1


def test_the_tap_counts_outcomes_by_build_and_changes_none() -> None:
    counters, d, same = Counters(), Driver(), Driver()
    tap = Tap(d.b, counters)
    for driver in (d, same):
        driver.listed([entry(1), entry(2)])
    for n in range(1, 5):
        asked = Request(n, SAFE, 0, 0, 3000.0)
        (sent,) = sends(tap.handle(0.0, asked))
        assert sends(same.b.handle(0.0, asked)) == [sent]
        outcome = Outcome(n, 0, sent.server, Result.OK, 50.0, True)
        assert tap.handle(0.0, outcome) == same.b.handle(0.0, outcome)
    assert counters["build.41.ok"] == counters["build.41.sent"] == 4
    assert held(d.b, 0.0)["servers"] == {"41.ready": 2} and held(d.b, 0.0)["news"][:2] == [41, 2]
