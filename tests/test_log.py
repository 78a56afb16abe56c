"""The gateway's log on a pipe that nobody reads."""

from __future__ import annotations

import json
import os
import subprocess
import sys

from tests.standins import ROOT, TIMEOUT_S

LINES = 2_000
WRITER = f"""
import sys
from meadowpulley.net.log import open_log
log = open_log()
for number in range({LINES}):
    log.error(f"event-{{number}}", text="x" * (5_000 if number % 7 == 0 else 50))
print("written", flush=True)
sys.stdin.readline()
log.error("read-again")
"""


def test_an_unread_log_does_not_stop_its_process_and_says_what_was_dropped() -> None:
    command = [sys.executable, "-c", WRITER]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, cwd=ROOT, stdin=pipe, stdout=pipe, stderr=pipe, text=True) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        assert process.stderr is not None
        try:
            assert process.stdout.readline() == "written\n"
            unread = os.read(process.stderr.fileno(), 1 << 20).decode()
            output, last = process.communicate("go on\n", TIMEOUT_S)
        finally:
            process.kill()
    assert output == ""
    events = [json.loads(line) for line in (unread + last).splitlines() if line.endswith("}")]
    written = sum(event["event"].startswith("event-") for event in events)
    dropped = sum(event["lines"] for event in events if event["event"] == "log_lines_dropped")
    assert dropped > 0
    assert written + dropped == LINES
    assert events[-1]["event"] == "read-again"
