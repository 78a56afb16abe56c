"""The limits that the project sets its decision module."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
MODULE = ROOT / "meadowpulley" / "balance.py"


def test_module_stays_within_its_lines() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 660
    assert max(len(line) for line in lines) <= 110


def test_module_names_its_interface_at_the_top() -> None:
    assert "meadowpulley/interface.py" in "\n".join(MODULE.read_text().splitlines()[:5])


def test_module_does_no_io_and_reads_no_clock() -> None:
    text = MODULE.read_text()
    for word in ("import os", "import sys", "import time", "open(", "print(", "global "):
        assert word not in text


def test_adapter_and_interface_import_only_what_they_may() -> None:
    codec = (ROOT / "meadowpulley" / "drill" / "codec.py").read_text()
    assert "meadowpulley.balance" not in codec
    interface = (ROOT / "meadowpulley" / "interface.py").read_text()
    assert set(re.findall(r"from (meadowpulley\S*)", interface)) == {"meadowpulley.settings_types"}
    assert "from meadowpulley" not in (ROOT / "meadowpulley" / "settings_types.py").read_text()
