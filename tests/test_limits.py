"""Limits on the source of the policy package: file sizes, imports and absence of I/O."""

import re
import tomllib
from graphlib import TopologicalSorter
from pathlib import Path

from tests.test_sizes import imports_of

ROOT = Path(__file__).parent.parent
POLICY_FILES = [
    ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
]
MAX_LINES_PER_FILE = 200
PACKAGE = ROOT / "meadowpulley" / "policy"


def test_deployed_policy_lists_all_files_of_the_package() -> None:
    assert sorted(POLICY_FILES) == sorted(PACKAGE.glob("*.py"))


def test_policy_files_stay_small() -> None:
    # The operators withdrew the limit on the lines of the whole package; each file has one task and stays
    # short.
    files = [file.read_text().splitlines() for file in POLICY_FILES]
    assert max(len(lines) for lines in files) <= MAX_LINES_PER_FILE
    assert max(len(line) for lines in files for line in lines) <= 110


def test_policy_package_names_its_interface_at_the_top() -> None:
    assert "meadowpulley/interface" in "\n".join(POLICY_FILES[0].read_text().splitlines()[:5])


def test_policy_files_do_not_import_each_other_in_circles() -> None:
    imports_by_file = {file.stem: imports_of(file, "meadowpulley.policy") for file in POLICY_FILES}
    # static_order raises CycleError if the imports are circular.
    assert list(TopologicalSorter(imports_by_file).static_order())[-1] == "__init__"


def test_policy_does_no_io_and_reads_no_clock() -> None:
    text = "".join(file.read_text() for file in POLICY_FILES)
    for word in ("import os", "import sys", "import time", "open(", "print(", "global "):
        assert word not in text


def test_adapter_interface_and_settings_import_only_what_is_allowed() -> None:
    for name in ("codec.py", "reply.py"):
        assert "meadowpulley.policy" not in (ROOT / "meadowpulley" / "simulator_adapter" / name).read_text()
    for file in (ROOT / "meadowpulley" / "interface").glob("*.py"):
        imported = set(re.findall(r"from (meadowpulley\.\w+)", file.read_text()))
        assert imported <= {"meadowpulley.interface", "meadowpulley.settings"}, file.name
    for file in (ROOT / "meadowpulley" / "settings").glob("*.py"):
        imported = set(re.findall(r"from (meadowpulley\.\w+)", file.read_text()))
        assert imported <= {"meadowpulley.settings", "meadowpulley.errors"}, file.name
    assert "from meadowpulley" not in (ROOT / "meadowpulley" / "errors.py").read_text()
