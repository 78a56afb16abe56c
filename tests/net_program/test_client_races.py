"""Clients that come, go and come again at the wrong moment; the gateway as a program."""

from __future__ import annotations

import os
import signal
import threading
from http.server import BaseHTTPRequestHandler
from typing import Any

import pytest

from tests.net_program.conftest import Start
from tests.standins import LIMIT_S, SETTINGS, Gateway, Instance, answer, entry


@pytest.mark.parametrize("cancels", [True, False])
def test_an_id_is_not_sent_on_again_while_an_attempt_of_it_is_out(start: Start, cancels: bool) -> None:
    # Its client had gone, which freed the id at once: a second copy was sent beside the first.
    go = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        go.wait(LIMIT_S)
        answer(handler, 200, body)

    instance = Instance(hold)
    settings = {**SETTINGS, "bounds": {**SETTINGS["bounds"], "cancelling": cancels}}
    gateway = start([entry("s-1", instance.address)], settings=settings)
    first, second = gateway.client(), gateway.client()
    first.send("POST", "/pay", b"first", X_Txn="7f3a")
    instance.asked.get(timeout=LIMIT_S)
    first.file.close()
    first.socket.close()
    while not _counters(gateway).get("in.gone"):
        pass
    second.send("POST", "/pay", b"second", X_Txn="7f3a")
    if cancels:  # the connection of the first attempt is closed: it is out no longer
        assert instance.asked.get(timeout=LIMIT_S)[3] == b"second"
        go.set()
        assert second.answer()[::2] == (200, b"second")
    else:
        assert second.answer()[0] == 409 and instance.asked.empty()
        go.set()
        while not _counters(gateway).get("up.ok"):
            pass
        assert gateway.client().ask("POST", "/pay", b"third", X_Txn="7f3a")[0] == 200  # free again, after all


def _counters(gateway: Gateway) -> dict[str, Any]:
    os.kill(gateway.process.pid, signal.SIGUSR1)
    return gateway.wait_for("counters")


@pytest.mark.parametrize("remaining", ["0m", "0u", "0.4u"])
def test_a_request_without_time_is_answered_at_once_and_not_sent_on(start: Start, remaining: str) -> None:
    instance = Instance()
    client = start([entry("s-1", instance.address)]).client()
    assert client.ask("POST", "/pay", b"x", X_Remaining=remaining)[0] in (502, 503, 504)
    assert client.ask("POST", "/pay", b"y")[0] == 200 and instance.asked.get(timeout=LIMIT_S)[3] == b"y"
