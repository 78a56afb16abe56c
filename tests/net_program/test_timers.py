"""Timers of the gateway as it is laid out, with its compiled modules.

Once a timer raised after the deadlines of its moment had run. No deadline was late, so no other test saw it;
Twisted wrote a traceback in plain text for each, and each request paid for that.
"""

from __future__ import annotations

import signal
from pathlib import Path

from tests.standins import TIMEOUT_S, FakeInstance, GatewayProcess, endpoint


def test_no_timer_raises_while_requests_come(tmp_path: Path) -> None:
    gateway = GatewayProcess(tmp_path, [endpoint("s-1", FakeInstance().address)])
    try:
        gateway.wait_for("ready")
        client = gateway.client()
        statuses = [client.request("GET", "/look")[0] for _ in range(20)]
        gateway.process.send_signal(signal.SIGUSR1)
        events: list[str] = []
        while events[-1:] != ["counters"]:
            events.append(gateway.lines.get(timeout=TIMEOUT_S)["event"])
    finally:
        gateway.stop()
    assert statuses == [200] * 20
    assert "plain" not in events
