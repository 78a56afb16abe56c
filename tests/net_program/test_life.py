"""The gateway as a program: its start, its drain, what it refuses to start with."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
from http.server import BaseHTTPRequestHandler

import pytest

from tests.net_program.conftest import Start
from tests.standins import (
    LIMIT_S,
    Client,
    Instance,
    answer,
    entry,
)

ORDER = """
import os, socket
import meadowpulley.__main__ as program
from meadowpulley.net.clients import Clients

listen, collect, poll = Clients.listen, program.gc.collect, program.MonotonicReactor.doPoll

def taken():
    address = program.read_config().listen
    with socket.socket() as client:  # whoever comes is refused, not left waiting
        print("refused" if client.connect_ex(address) else "let in", flush=True)
    with socket.socket() as other:  # binds as the kernel does for a connection outwards
        try:
            other.bind(address)
            print("free", flush=True)
        except OSError:
            print("held", flush=True)

def said(name, then):
    def call(*args):
        print(name, flush=True)
        if name == "listen":
            os._exit(0)
        if name == "collect":
            taken()
        return then(*args)
    return call

Clients.listen, program.gc.collect = said("listen", listen), said("collect", collect)
program.MonotonicReactor.doIteration = said("turn", poll)
program.run()
"""

BARRED = """
import sys
for part in ("joint", "ledger", "takeover", "lending", "placement"):
    sys.modules["meadowpulley." + part] = None  # as in the layout that `run` starts
import meadowpulley.__main__ as program
sys.exit(program.run())
"""


def test_it_listens_once_its_start_is_over_and_the_reactor_has_turned(start: Start) -> None:
    # 133 gateways came back at once: what came while they still started was read 0.3 to 0.4 s later, its
    # deadline counted from then: one whose instance was silent was answered too late.
    gateway = start([])
    env = {**os.environ, "PROXY_CONFIG": str(gateway.path)}
    gateway.stop()
    shown = subprocess.run(
        [sys.executable, "-c", ORDER], env=env, capture_output=True, text=True, timeout=LIMIT_S, check=True
    )
    # Nor may a connection outwards get the port meanwhile, its own among them.
    assert shown.stdout.split()[:4] == ["collect", "refused", "held", "turn"]
    assert shown.stdout.split()[-1] == "listen"


def test_an_address_in_use_is_one_plain_line_and_no_success(start: Start) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        gateway = start([], wait=False, listen=f"127.0.0.1:{other.getsockname()[1]}")
        assert "listen" in gateway.wait_for("plain")["line"]
        assert gateway.process.wait(LIMIT_S) == 2


def test_drain_answers_all_that_was_taken_and_exits_well(start: Start) -> None:
    go = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        go.wait(LIMIT_S)
        answer(handler, 200, body)

    instance = Instance(hold)
    gateway = start([entry("s-1", instance.address)])
    idle, busy = gateway.client(), gateway.client()
    assert idle.ask("GET", "/health/live")[0] == 200
    busy.send("POST", "/pay", b"kept")
    instance.asked.get(timeout=LIMIT_S)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.wait_for("draining")
    assert idle.answer()[0] == 0  # closed between requests
    late = Client(gateway.port)  # still accepted, for as long as connections may come
    assert late.ask("GET", "/health/ready")[0] == 503
    go.set()
    status, headers, body = busy.answer()
    assert (status, body, headers["connection"]) == (200, b"kept", "close")
    for client in (idle, busy, late):
        client.file.close()
        client.socket.close()
    counters = gateway.wait_for("counters")
    assert counters["in.requests"] == 1 and counters["out.200"] == 1 and counters["phase"] == "stopped"
    assert gateway.process.wait(LIMIT_S) == 0


def test_a_bad_config_is_one_plain_line_and_no_success(start: Start) -> None:
    gateway = start([], wait=False, settings={"classes": 3})
    line = gateway.wait_for("plain")["line"]
    assert "'classes' has the wrong type" in line
    assert gateway.process.wait(LIMIT_S) == 2
    assert gateway.lines.get(timeout=LIMIT_S)["event"] == "closed"


@pytest.mark.parametrize(
    ("name", "ledger", "said"),
    [
        ("MEADOWPULLEY_TAKEOVER", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_TAKEOVER_LIVES", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_LENDING_CAPACITY", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_PLACEMENT", "", "set MEADOWPULLEY_LEDGER too"),
        ("MEADOWPULLEY_LEDGER", "/nowhere", "compile.py --joint"),
    ],
)
def test_a_part_that_cannot_be_on_is_one_line_and_not_silently_off(
    start: Start, monkeypatch: pytest.MonkeyPatch, name: str, ledger: str, said: str
) -> None:
    gateway = start([], wait=False)
    gateway.stop()
    environ = {**os.environ, "PROXY_CONFIG": str(gateway.path), "MEADOWPULLEY_LEDGER": ledger}
    shown = subprocess.run(
        [sys.executable, "-c", BARRED],
        env={**environ, name: ledger or "1"},
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
    )
    [line] = shown.stderr.splitlines()
    assert line.startswith(f"meadowpulley: {name}: ") and said in line
    assert shown.returncode == 2
    monkeypatch.setenv(name, "")  # set and empty is off
    start([])
