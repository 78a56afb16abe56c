"""The command line: exit codes, one-line errors, results for programs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner, Result

from meadowpulley.cli import main

FLEET = str(Path(__file__).parent.parent / "examples" / "three-sites.toml")


def run(*args: object, env: dict[str, str] | None = None) -> Result:
    return CliRunner(env=env).invoke(main, [str(a) for a in args], auto_envvar_prefix="MEADOWPULLEY")


def test_an_emulation_prints_its_result_as_json_and_writes_trace_and_report(tmp_path: Path) -> None:
    trace, report = tmp_path / "t.jsonl", tmp_path / "r.md"
    done = run(
        "emulate",
        "--fleet",
        FLEET,
        "--rate",
        40,
        "--seconds",
        5,
        "--json",
        "--trace",
        trace,
        "--report",
        report,
    )
    assert done.exit_code == 0, done.output
    result = json.loads(done.stdout)
    assert result["rules_broken"] == {} and result["worth_share"] > 0.9
    assert len(trace.read_bytes().splitlines()) > 3 * sum(c["asked"] for c in result["classes"])
    assert "## Answers" in report.read_text() and list(tmp_path.glob("r-*.png"))


def test_a_load_that_was_written_is_told_as_json(tmp_path: Path) -> None:
    one, two = tmp_path / "one.jsonl", tmp_path / "two.jsonl"
    done = run("load", "synth", "--fleet", FLEET, "--rate", 20, "--seconds", 3, "--out", one, "--json")
    told = json.loads(done.stdout)
    assert told["file"] == str(one) and told["arrivals"] == len(one.read_bytes().splitlines()) - 1 > 20
    again = json.loads(run("load", "edit", one, one, "--out", two, "--json").stdout)
    assert again["arrivals"] == 2 * told["arrivals"]


def test_options_are_variables_too() -> None:
    told = {
        "MEADOWPULLEY_EMULATE_FLEET": FLEET,
        "MEADOWPULLEY_EMULATE_SECONDS": "3",
        "MEADOWPULLEY_EMULATE_RATE": "20",
    }
    done = run("emulate", "--json", env=told)
    assert done.exit_code == 0 and 30 < sum(c["asked"] for c in json.loads(done.stdout)["classes"]) < 100


@pytest.mark.parametrize(
    ("args", "told"),
    [
        (("emulate", "--fleet", "/nowhere/f.toml"), "/nowhere/f.toml: No such file or directory"),
        (("emulate", "--fleet", FLEET, "--load", "/nowhere/l.jsonl"), "/nowhere/l.jsonl: No such file"),
        (("emulate", "--fleet", FLEET, "--report", "r.pdf"), "r.pdf: reports end in .html or .md"),
        (("emulate", "--fleet", FLEET, "--trace", "/nowhere/t"), "/nowhere/t: no folder that can be written"),
        (("load", "describe", "/nowhere/l.jsonl"), "/nowhere/l.jsonl: No such file"),
    ],
)
def test_bad_input_is_one_line_and_exit_code_2(args: tuple[str, ...], told: str) -> None:
    done = run(*args)
    assert done.exit_code == 2 and told in done.stderr and done.stderr.count("\n") == 1


def test_a_load_is_made_described_and_edited(tmp_path: Path) -> None:
    one, two = tmp_path / "one.jsonl.gz", tmp_path / "two.jsonl"
    made = run(
        "load",
        "synth",
        "--fleet",
        FLEET,
        "--profile",
        "friday-dinner",
        "--rate",
        50,
        "--seconds",
        20,
        "--out",
        one,
    )
    assert made.exit_code == 0, made.output
    assert run("load", "edit", one, one, "--scale", 2, "--out", two).exit_code == 0
    first, second = (json.loads(run("load", "describe", p, "--json").stdout) for p in (one, two))
    assert second["count"] == pytest.approx(4 * first["count"], rel=0.02)
    assert run("load", "edit", one, "--out", one).exit_code == 2
    played = run("emulate", "--fleet", FLEET, "--load", one, "--json")
    assert (
        played.exit_code == 0
        and sum(c["asked"] for c in json.loads(played.stdout)["classes"]) == first["count"]
    )


def test_the_demo_shows_a_good_build_released_and_a_bad_one_sent_back(tmp_path: Path) -> None:
    report = tmp_path / "demo.html"
    done = run("demo", "--report", report)
    assert done.exit_code == 0, done.output
    assert "good build 2: released" in done.stdout and "bad build 3: sent back" in done.stdout
    assert report.read_text().count("data:image/png") == 3


@pytest.mark.parametrize(
    ("old_name", "new_name"), [("fleet-log", "fleet-metrics"), ("story", "trace-requests")]
)
def test_a_deprecated_command_name_works_with_one_line_of_notice(old_name: str, new_name: str) -> None:
    old, new = run(old_name, "/nowhere/n0.log"), run(new_name, "/nowhere/n0.log")
    notice, error = old.stderr.splitlines()
    assert notice == f"meadowpulley: '{old_name}' is deprecated: use '{new_name}'"
    assert (old.exit_code, error) == (new.exit_code, new.stderr.strip()) and new.exit_code == 2
    listed = run("--help").stdout
    assert f"  {new_name} " in listed and f"  {old_name} " not in listed


def test_the_deprecated_variable_of_an_id_still_selects_requests(tmp_path: Path) -> None:
    log = tmp_path / "n0.log"
    log.write_text("{}\n")
    for name, variable in [
        ("story", "MEADOWPULLEY_STORY_WANTED"),
        ("trace-requests", "MEADOWPULLEY_STORY_WANTED"),
    ]:
        assert "no 'request_trace' event of a-7" in run(name, log, env={variable: "a-7"}).stderr
