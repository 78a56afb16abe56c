"""KNOWN-RED.txt: what it lists runs and is printed, and it can hide nothing else."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest

def test_well(): pass
def test_red(): assert False
@pytest.fixture
def broken(): raise RuntimeError
def test_setup(broken): pass
"""
RED, SETUP = "tests/test_it.py::test_red | its cause | 32", "tests/test_it.py::test_setup | a cause | 32"
WELL = "tests/test_it.py::test_well | a cause | 32"


def run_pytest(folder: Path, known_red_lines: list[str] | None, *arguments: str) -> tuple[int, str]:
    tests = folder / "tests"
    tests.mkdir()
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\naddopts = -p no:cacheprovider\n")
    for name in ("conftest.py", "known_red.py", "standins.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "__init__.py").write_text("")
    (tests / "test_it.py").write_text(TESTS)
    if known_red_lines is not None:
        (folder / "KNOWN-RED.txt").write_text("".join(f"{line}\n" for line in known_red_lines))
    environment = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST")}
    command = [sys.executable, "-m", "pytest", "-q", *arguments]
    result = subprocess.run(command, cwd=folder, env=environment, capture_output=True, text=True, check=False)
    return result.returncode, result.stdout + result.stderr


@pytest.mark.parametrize(
    ("listed", "status", "message"),
    [
        ([RED, SETUP], 0, "known red: tests/test_it.py::test_red: its cause (32)"),
        (None, 1, "1 failed, 1 passed, 1 error"),
        ([RED], 1, "1 passed, 1 xfailed, 1 error"),
        ([RED, SETUP, WELL], 1, "[XPASS(strict)] a cause (32)"),
        ([RED, SETUP, "tests/test_it.py::test_gone | a cause | 32"], 4, "test_gone: there is no such test"),
        ([RED, SETUP, "tests/test_it.py::test_a | c | 32", "x | c | 32"], 4, "line 4: 3 at most"),
        ([RED, "tests/test_it.py::test_setup | a cause"], 4, "line 2: not 'test | cause | issue'"),
        ([RED, "tests/test_it.py::test_setup |  | 32"], 4, "line 2: not 'test | cause | issue'"),
        ([RED, ""], 4, "line 2: not 'test | cause | issue'"),
        ([RED, RED], 4, "line 2: tests/test_it.py::test_red is listed twice"),
    ],
)
def test_known_red_entries_decide_the_result_of_a_run(
    tmp_path: Path, listed: list[str] | None, status: int, message: str
) -> None:
    exit_code, output = run_pytest(tmp_path, listed)
    assert (exit_code, message in output) == (status, True), output


def test_a_partial_run_does_not_require_the_other_listed_tests(tmp_path: Path) -> None:
    exit_code, output = run_pytest(tmp_path, [RED, SETUP], "tests/test_it.py::test_well")
    assert (exit_code, "1 passed" in output) == (0, True), output
