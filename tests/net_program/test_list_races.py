"""Races between the gateway process and discovery, forced by signals and by the time of responses."""

from __future__ import annotations

import os
import signal
import threading

from tests.net_program.conftest import StartGateway
from tests.net_program.test_control_plane import request_until_served
from tests.standins import SETTINGS, TIMEOUT_S, FakeDiscovery, FakeInstance, endpoint, free_port

LONG_POLL_MS, POLL_TIMEOUT_MS = 300.0, 1_800.0  # wait of a watch call, and its time-out
THIRD_ATTEMPT_MS = 1_100.0  # time by which the third attempt of a watch was made


def test_delayed_gateway_reads_response_that_arrived_in_time(start: StartGateway) -> None:
    """A call timed out while the kernel held its unread response, as if discovery had not answered."""
    old, new = FakeInstance(), FakeInstance()
    discovery = FakeDiscovery([endpoint("s-1", old.address)])
    rules = SETTINGS["rules"] | {"ask-within-ms": LONG_POLL_MS}
    gateway = start([], discovery=discovery.address, settings=SETTINGS | {"rules": rules})
    while discovery.polled_versions.get(timeout=TIMEOUT_S) < 5:
        pass  # wait until the watch has its first list
    gateway.process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, gateway.process.pid, os.WSTOPPED | os.WNOWAIT)
    discovery.update([endpoint("s-2", new.address)])
    # The monotonic clock advances while the process is stopped.
    threading.Event().wait((POLL_TIMEOUT_MS + 200.0) / 1000.0)
    gateway.process.send_signal(signal.SIGCONT)
    request_until_served(gateway.client(), new)
    os.kill(gateway.process.pid, signal.SIGUSR1)
    assert "discovery.failed_calls" not in gateway.wait_for("counters")
    assert discovery.connections == 1


def test_watch_opened_by_reload_survives_pending_retry_of_old_address(start: StartGateway) -> None:
    """The pending retry of the old address cancelled the watch that the reload had opened."""
    old, new = FakeInstance(), FakeInstance()
    unused_address, settings = f"127.0.0.1:{free_port()}", SETTINGS | {"discovery": "automatic"}
    gateway = start([endpoint("s-1", old.address)], discovery=unused_address, settings=settings)
    for _ in range(2):  # the first retry is immediate, the next at least 0.5 s later
        gateway.wait_for("discovery_call_failed")
    discovery = FakeDiscovery([endpoint("s-1", old.address)])
    gateway.reload(discovery=discovery.address)
    while discovery.polled_versions.get(timeout=TIMEOUT_S) < 5:
        pass  # wait until the watch has its first list
    assert gateway.wait_for("reloaded")
    assert "discovery_call_failed" not in gateway.pending_events()  # the next retry is pending
    threading.Event().wait(THIRD_ATTEMPT_MS / 1000.0)
    discovery.update([endpoint("s-2", new.address)])
    request_until_served(gateway.client(), new)
    assert discovery.connections == 1
