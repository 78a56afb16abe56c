"""Tests of the ledger settings, and of a gateway without a ledger."""

from __future__ import annotations

import subprocess
import sys

import pytest

from meadowpulley.ledger import LedgerUnusableError
from meadowpulley.ledger.config import read_settings


@pytest.mark.parametrize(
    ("name", "value", "message"),
    [
        ("LEDGER_TERM_MS", "soon", "TERM_MS: 'soon' is no number from 1"),
        ("LEDGER_TERM_MS", "1000", "TERM_MS: 1000 is too short for renewals that may take 850"),
        ("LEDGER_POLL_MS", "0", "POLL_MS: '0' is no number from 5"),
        ("LEDGER_WAIT_MS", "nan", "WAIT_MS: 'nan'"),
        ("LEDGER_MB", "inf", "MB: 'inf'"),
        ("LEDGER_SYNC", "yes", "SYNC: 'yes' is neither 0 nor 1"),
        ("FAILPOINTS", "log.apended=kill", "FAILPOINTS: 'log.apended=kill'"),
    ],
    ids=["no number", "short term", "poll of 0 ms", "timeout", "size", "sync", "failpoint"],
)
def test_invalid_settings_are_rejected(name: str, value: str, message: str) -> None:
    """A setting is invalid. It must be reported in one line, so that the gateway does not start with it."""
    setting = {f"MEADOWPULLEY_{name}": value}
    assert read_settings(setting) is None, "settings are read only if a ledger is configured"
    with pytest.raises(LedgerUnusableError, match=message) as raised:
        read_settings({"MEADOWPULLEY_LEDGER": "/l", **setting})
    assert "\n" not in str(raised.value)


def test_run_does_not_import_the_ledger() -> None:
    check = "import sys, meadowpulley.__main__; print([m for m in sys.modules if 'ledger' in m])"
    assert subprocess.run([sys.executable, "-c", check], capture_output=True, text=True).stdout == "[]\n"
