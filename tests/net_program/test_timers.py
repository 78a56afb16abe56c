"""Timers of the gateway process as deployed, with its compiled modules.

A timer call used to raise an exception after running the deadlines that were due. No deadline was late, so no
other test detected it, but Twisted wrote a plain-text traceback for each call, which slowed every request.
"""

from __future__ import annotations

import signal
from pathlib import Path

from tests.standins import TIMEOUT_S, FakeInstance, GatewayProcess, endpoint


def test_no_timer_raises_while_requests_arrive(tmp_path: Path) -> None:
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
