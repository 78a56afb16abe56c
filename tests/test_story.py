"""A request's course through a fleet: the lines that a gateway writes, and the reader that merges them."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from meadowpulley.cli.main import main
from meadowpulley.report.story import read_steps, unended
from tests.standins import Gateway, Instance, entry


def test_every_step_of_a_request_is_told_and_merged_by_time(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("MEADOWPULLEY_STORY", "1")
    gateway = Gateway(tmp_path, [entry("s-1", Instance().address)])
    try:
        gateway.wait_for("ready")
        client = gateway.client()
        for _ in range(30):  # more than the log takes of other events in a second
            assert client.ask("GET", "/look")[0] == 200
        told = [json.dumps(gateway.wait_for("story")) for _ in range(90)]
    finally:
        gateway.stop()
    steps, unread = read_steps([*reversed(told), '{"story"', "no json"])
    assert unread == 2 and not unended(steps)
    first = [s for s in steps if s.request == steps[0].request]
    assert [s.step for s in first] == ["taken", "sent", "answered"] and "build=" in first[1].more
    log = tmp_path / "n0.log"
    log.write_text("\n".join(told[:-1]))  # the last answer is missing
    shown = CliRunner().invoke(main, ["story", "--json", str(log)])
    assert [s["step"] for s in json.loads(shown.output)["steps"]] == ["taken", "sent"]
    assert CliRunner().invoke(main, ["story", "--id", "none", str(log)]).exit_code == 2
