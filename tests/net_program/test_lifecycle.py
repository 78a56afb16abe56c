"""The gateway process: its startup, its drain, and errors that prevent a start."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler

import pytest

from tests.net_program.conftest import StartGateway
from tests.standins import (
    TIMEOUT_S,
    Client,
    FakeInstance,
    endpoint,
    respond,
)

START_ORDER_SCRIPT = """
import os, socket
import meadowpulley.__main__ as program
from meadowpulley.net.client_listener import ClientListener

listen, collect, poll = ClientListener.listen, program.gc.collect, program.MonotonicReactor.doPoll

def check_reserved():
    address = program.read_config().listen
    with socket.socket() as client:  # a connection must be refused, not left waiting
        print("refused" if client.connect_ex(address) else "accepted", flush=True)
    with socket.socket() as other:  # binds as the kernel does for an outgoing connection
        try:
            other.bind(address)
            print("free", flush=True)
        except OSError:
            print("held", flush=True)

def print_before(name, original):
    def call(*args):
        print(name, flush=True)
        if name == "listen":
            os._exit(0)
        if name == "collect":
            check_reserved()
        return original(*args)
    return call

ClientListener.listen, program.gc.collect = print_before("listen", listen), print_before("collect", collect)
program.MonotonicReactor.doIteration = print_before("turn", poll)
program.run()
"""

MISSING_PACKAGES_SCRIPT = """
import sys
for package in ("stage_pipeline", "ledger", "takeover", "lending", "placement"):
    sys.modules["meadowpulley." + package] = None  # not importable, as in the layout that `run` starts
import meadowpulley.__main__ as program
sys.exit(program.run())
"""


def test_listens_after_startup_and_one_reactor_turn(start: StartGateway) -> None:
    # When 133 gateways restarted at once, requests that arrived during the startup were read 0.3 to 0.4 s
    # later, and their deadlines counted from then. If an instance did not respond, the 504 was sent too late.
    gateway = start([])
    environ = {**os.environ, "PROXY_CONFIG": str(gateway.config_path)}
    gateway.stop()
    completed = subprocess.run(
        [sys.executable, "-c", START_ORDER_SCRIPT],
        env=environ,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=True,
    )
    # Until then, the port must not be assigned to any outgoing connection, not even to one of the gateway.
    assert completed.stdout.split()[:4] == ["collect", "refused", "held", "turn"]
    assert completed.stdout.split()[-1] == "listen"


def test_address_in_use_exits_with_one_line(start: StartGateway) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        gateway = start([], wait=False, listen=f"127.0.0.1:{other.getsockname()[1]}")
        assert "listen" in gateway.wait_for("plain")["line"]
        assert gateway.process.wait(TIMEOUT_S) == 2


def test_drain_answers_all_accepted_requests_and_exits_cleanly(start: StartGateway) -> None:
    may_respond = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        may_respond.wait(TIMEOUT_S)
        respond(handler, 200, body)

    instance = FakeInstance(hold)
    gateway = start([endpoint("s-1", instance.address)])
    idle, busy = gateway.client(), gateway.client()
    assert idle.request("GET", "/health/live")[0] == 200
    busy.send("POST", "/pay", b"kept")
    instance.received.get(timeout=TIMEOUT_S)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.wait_for("draining")
    assert idle.read_response()[0] == 0  # the idle connection is closed between requests
    late = Client(gateway.port)  # a draining gateway still accepts connections for a while
    assert late.request("GET", "/health/ready")[0] == 503
    may_respond.set()
    status, headers, body = busy.read_response()
    assert (status, body, headers["connection"]) == (200, b"kept", "close")
    for client in (idle, busy, late):
        client.reader.close()
        client.socket.close()
    counters = gateway.wait_for("counters")
    assert counters["in.requests"] == 1
    assert counters["out.200"] == 1
    assert counters["phase"] == "stopped"
    assert gateway.process.wait(TIMEOUT_S) == 0


def test_invalid_configuration_exits_with_one_line(start: StartGateway) -> None:
    gateway = start([], wait=False, settings={"classes": 3})
    line = gateway.wait_for("plain")["line"]
    assert "'classes' has the wrong type" in line
    assert gateway.process.wait(TIMEOUT_S) == 2
    assert gateway.lines.get(timeout=TIMEOUT_S)["event"] == "closed"


@pytest.mark.parametrize(
    ("name", "ledger", "message"),
    [
        ("MEADOWPULLEY_TAKEOVER", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_TAKEOVER_LIVES", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_LENDING_CAPACITY", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_PLACEMENT", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_LEDGER", "/nowhere", "compile.py --joint"),
    ],
)
def test_unavailable_package_exits_with_one_line(
    start: StartGateway, monkeypatch: pytest.MonkeyPatch, name: str, ledger: str, message: str
) -> None:
    gateway = start([], wait=False)
    gateway.stop()
    environ = {**os.environ, "PROXY_CONFIG": str(gateway.config_path), "MEADOWPULLEY_LEDGER": ledger}
    completed = subprocess.run(
        [sys.executable, "-c", MISSING_PACKAGES_SCRIPT],
        env={**environ, name: ledger or "1"},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    [line] = completed.stderr.splitlines()
    assert line.startswith(f"meadowpulley: {name}: ")
    assert message in line
    assert completed.returncode == 2
    monkeypatch.setenv(name, "")  # a variable set to an empty string turns the feature off
    start([])
