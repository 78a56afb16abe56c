"""The age of the process, from which the lease on the list of the configuration counts."""

from __future__ import annotations

import subprocess
import sys
import time

import pytest

from meadowpulley.net.process_start import process_age_ms

STARTUP_MS = 200.0


def test_age_includes_the_time_before_the_module_was_loaded() -> None:
    script = (
        f"import time; time.sleep({STARTUP_MS / 1000})\n"
        "from meadowpulley.net.process_start import process_age_ms; print(process_age_ms())"
    )
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert float(result.stdout) >= STARTUP_MS


def test_age_is_unknown_where_the_clock_does_not_count_from_the_systems_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert process_age_ms() > 0.0
    shifted = time.monotonic() + 100.0
    monkeypatch.setattr(time, "monotonic", lambda: shifted)
    assert process_age_ms() == 0.0
