"""Request tracing: the log lines that a gateway writes, and the command that merges them."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from meadowpulley.cli.main import main
from meadowpulley.report.request_trace import read_steps, unfinished_requests
from tests.standins import FakeInstance, GatewayProcess, endpoint


def test_request_steps_are_logged_and_merged_by_time(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("MEADOWPULLEY_STORY", "1")
    gateway = GatewayProcess(tmp_path, [endpoint("s-1", FakeInstance().address)])
    try:
        gateway.wait_for("ready")
        client = gateway.client()
        for _ in range(30):  # more lines than the rate limit for other log events allows
            assert client.request("GET", "/look")[0] == 200
        lines = [json.dumps(gateway.wait_for("request_trace")) for _ in range(90)]
    finally:
        gateway.stop()
    steps, unreadable = read_steps([*reversed(lines), '{"request_trace"', "no json"])
    assert unreadable == 2 and not unfinished_requests(steps)
    first = [s for s in steps if s.request == steps[0].request]
    assert [s.step for s in first] == ["received", "sent", "responded"] and "build=" in first[1].fields
    log = tmp_path / "n0.log"
    log.write_text("\n".join(lines[:-1]))  # without the event of the last response
    result = CliRunner().invoke(main, ["trace-requests", "--json", str(log)])
    assert [s["step"] for s in json.loads(result.output)["steps"]] == ["received", "sent"]
    assert CliRunner().invoke(main, ["trace-requests", "--id", "none", str(log)]).exit_code == 2


def test_steps_that_earlier_versions_wrote_are_read() -> None:
    stamp = {"event": "story", "gateway": "n1", "id": "a-7", "timestamp": "2026-11-28T09:00:00Z"}
    lines = [json.dumps({**stamp, "step": step}) for step in ("taken", "sent", "answered")]
    steps, unreadable = read_steps(lines, "a-")
    assert unreadable == 0
    assert [step.step for step in steps] == ["received", "sent", "responded"]
