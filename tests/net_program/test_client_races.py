"""Gateway process with clients that disconnect, reuse request ids or send expired requests."""

from __future__ import annotations

import os
import signal
import threading
from http.server import BaseHTTPRequestHandler
from typing import Any

import pytest

from tests.net_program.conftest import StartGateway
from tests.standins import SETTINGS, TIMEOUT_S, FakeInstance, GatewayProcess, endpoint, respond


@pytest.mark.parametrize("cancellation_allowed", [True, False])
def test_duplicate_id_is_not_forwarded_while_an_attempt_is_outstanding(
    start: StartGateway, cancellation_allowed: bool
) -> None:
    # The request id of a disconnected client was freed immediately. When a request with the same id followed,
    # it was sent while the attempt of the first request was still outstanding.
    may_respond = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        may_respond.wait(TIMEOUT_S)
        respond(handler, 200, body)

    instance = FakeInstance(hold)
    settings = {**SETTINGS, "bounds": {**SETTINGS["bounds"], "cancelling": cancellation_allowed}}
    gateway = start([endpoint("s-1", instance.address)], settings=settings)
    first, second = gateway.client(), gateway.client()
    first.send("POST", "/pay", b"first", X_Txn="7f3a")
    instance.received.get(timeout=TIMEOUT_S)
    first.reader.close()
    first.socket.close()
    while not _counters(gateway).get("in.client_disconnected"):
        pass
    second.send("POST", "/pay", b"second", X_Txn="7f3a")
    assert second.read_response()[0] == 409
    may_respond.set()
    while not _counters(gateway).get("up.cancelled" if cancellation_allowed else "up.ok"):
        pass
    # Nor when the attempt has ended: the instance may have executed it.
    assert gateway.client().request("POST", "/pay", b"third", X_Txn="7f3a")[0] == 409
    assert instance.received.empty()


def _counters(gateway: GatewayProcess) -> dict[str, Any]:
    os.kill(gateway.process.pid, signal.SIGUSR1)
    return gateway.wait_for("counters")


@pytest.mark.parametrize("remaining", ["0m", "0u", "0.4u"])
def test_expired_request_is_answered_at_once_and_not_forwarded(start: StartGateway, remaining: str) -> None:
    instance = FakeInstance()
    client = start([endpoint("s-1", instance.address)]).client()
    assert client.request("POST", "/pay", b"x", X_Remaining=remaining)[0] in (502, 503, 504)
    assert client.request("POST", "/pay", b"y")[0] == 200
    assert instance.received.get(timeout=TIMEOUT_S)[3] == b"y"


@pytest.mark.parametrize("ending", ["left", "failed", "served"])
def test_an_id_whose_request_may_have_run_is_not_run_again(start: StartGateway, ending: str) -> None:
    may_respond = threading.Event()

    def handle(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        if ending == "left":
            may_respond.wait(TIMEOUT_S)
        respond(handler, 500 if ending == "failed" else 200, body)

    instance = FakeInstance(handle)
    gateway = start([endpoint("s-1", instance.address)])
    first = gateway.client()
    first.send("POST", "/pay", b"first", X_Txn="7f3a")
    instance.received.get(timeout=TIMEOUT_S)
    if ending == "left":
        first.reader.close()
        first.socket.close()
        while not _counters(gateway).get("up.cancelled"):
            pass
    else:
        assert first.read_response()[0] == (502 if ending == "failed" else 200)
    assert gateway.client().request("POST", "/pay", b"second", X_Txn="7f3a")[0] == 409
    assert instance.received.empty()
    may_respond.set()
