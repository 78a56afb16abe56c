"""Tests that fail for a real fault which could not be mended yet, as KNOWN-RED.txt at the root lists them:
one line each, its test, the cause and the issue, between bars. They run and are printed. A listed test that
passes, one that is nowhere, a line too many or one that lacks a part fails the run."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3


@dataclass(frozen=True, slots=True)
class KnownRed:
    test: str  # its node id, as pytest prints it
    cause: str
    issue: str


def read(path: Path) -> list[KnownRed]:
    """The listed tests; none where there is no file. Raises pytest.UsageError, one line."""
    lines = path.read_text().splitlines() if path.exists() else []
    if len(lines) > MAX_ENTRIES:
        raise pytest.UsageError(
            f"{FILE_NAME}: line {MAX_ENTRIES + 1}: {MAX_ENTRIES} at most: mend one before another lands"
        )
    entries: list[KnownRed] = []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise pytest.UsageError(f"{FILE_NAME}: line {number}: not 'test | cause | issue'")
        if parts[0] in (known.test for known in entries):
            raise pytest.UsageError(f"{FILE_NAME}: line {number}: {parts[0]} is listed twice")
        entries.append(KnownRed(*parts))
    return entries


def apply_marks(listed: Iterable[KnownRed], items: Iterable[pytest.Item], all_collected: bool) -> None:
    """Listed tests have to fail. Raises pytest.UsageError where all were collected and one is not there."""
    by_id = {item.nodeid: item for item in items}
    for known in listed:
        if known.test in by_id:
            reason = f"{known.cause} ({known.issue})"
            by_id[known.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif all_collected:
            raise pytest.UsageError(f"{FILE_NAME}: {known.test}: there is no such test: take its line out")
