"""A gateway process that stands still while its clients send requests, wait and leave."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

import pytest

from tests.net_program.conftest import StartGateway
from tests.standins import (
    TIMEOUT_S,
    Client,
    FakeDiscovery,
    FakeInstance,
    GatewayProcess,
    endpoint,
    respond,
)

STATED_MS = 4_000.0
CLIENTS = 5
SLACK_MS = 150.0  # by which the time told to an instance may exceed what is left to the client


class CountingDiscovery(FakeDiscovery):
    """Discovery that delivers its responses at once, and counts them."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.lists_written = 0
        super().__init__(entries)

    def _handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        handler.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super()._handle(handler, body)
        self.lists_written += 1


@contextmanager
def stalled(gateway: GatewayProcess) -> Iterator[None]:
    """Stop the process for the time of the context."""
    os.kill(gateway.process.pid, signal.SIGSTOP)
    stat = Path(f"/proc/{gateway.process.pid}/stat")
    deadline = time.monotonic() + TIMEOUT_S
    while stat.read_text().rpartition(")")[2].split()[0] != "T":
        assert time.monotonic() < deadline, "the gateway did not stop"
    try:
        yield
    finally:
        os.kill(gateway.process.pid, signal.SIGCONT)


def leave(client: Client) -> None:
    client.reader.close()
    client.socket.close()


def received_bodies(instance: FakeInstance) -> list[bytes]:
    return [instance.received.get_nowait()[3] for _ in range(instance.received.qsize())]


@pytest.mark.parametrize("path", ["/look", "/pay"])
def test_no_attempt_begins_for_a_client_that_left_during_a_stall(start: StartGateway, path: str) -> None:
    # A gateway that woke up sent such requests, unsafe ones among them, up to a second after the close, since
    # it read the end of the connection only after the request.
    instance = FakeInstance()
    gateway = start([endpoint("s-1", instance.address)])
    leaving, staying = gateway.client(), gateway.client()
    assert leaving.request("POST", "/pay", b"before")[0] == 200  # its connection to the instance is reused
    received_bodies(instance)
    with stalled(gateway):
        leaving.send("GET" if path == "/look" else "POST", path, b"" if path == "/look" else b"left")
        leave(leaving)
    assert staying.request("POST", "/pay", b"after")[0] == 200
    assert received_bodies(instance) == [b"after"]


def test_request_of_a_client_that_waits_through_a_stall_is_served(start: StartGateway) -> None:
    instance = FakeInstance()
    gateway = start([endpoint("s-1", instance.address)])
    client = gateway.client()
    assert client.request("POST", "/pay", b"before")[0] == 200
    with stalled(gateway):
        client.send("POST", "/pay", b"waits")
    assert client.read_response()[::2] == (200, b"served waits")


def test_no_retry_begins_for_a_client_that_left_during_a_stall(start: StartGateway) -> None:
    # The end of the first attempt is read before the end of the client's connection: the retry began first.
    may_reject, has_rejected = threading.Event(), threading.Event()

    def serve(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        if handler.path != "/look":
            respond(handler, 200, body)
            return
        may_reject.wait(TIMEOUT_S)
        respond(handler, 503, b"", X_Turned_Away="1")
        has_rejected.set()

    instances = [FakeInstance(serve), FakeInstance(serve)]
    gateway = start([endpoint(f"s-{number}", each.address) for number, each in enumerate(instances)])
    client, other = gateway.client(), gateway.client()
    for _ in range(20):  # until there is a connection to each instance
        assert other.request("POST", "/pay", b"x")[0] == 200
    assert all(instance.connections for instance in instances)
    client.send("GET", "/look")
    while not looks_received(instances):
        pass
    with stalled(gateway):
        may_reject.set()
        assert has_rejected.wait(TIMEOUT_S)
        leave(client)
    assert other.request("POST", "/pay", b"after")[0] == 200
    assert looks_received(instances) == 1


def test_no_request_of_a_client_that_wrote_ahead_and_left_during_a_stall_is_sent(start: StartGateway) -> None:
    # The kernel knows of no end behind input that its full receive buffer has no room for.
    instance = FakeInstance()
    gateway = start([endpoint("s-1", instance.address)])
    leaving, staying = gateway.client(), gateway.client()
    assert staying.request("POST", "/pay", b"before")[0] == 200
    with stalled(gateway):
        leaving.socket.setblocking(False)
        request_count = 0
        with contextlib.suppress(BlockingIOError):
            while True:
                leaving.send("GET", "/look")
                request_count += 1
        leave(leaving)
    assert request_count
    assert staying.request("POST", "/pay", b"after")[0] == 200
    assert looks_received([instance]) == 0


def test_time_told_to_an_instance_leaves_out_a_stall(start: StartGateway) -> None:
    # The deadline counted from the end of the stall, and instances were told the full time once more.
    instance = FakeInstance()
    gateway = start([endpoint("s-1", instance.address)])
    client = gateway.client()
    assert client.request("POST", "/pay", b"before", X_Remaining=f"{STATED_MS:.0f}m")[0] == 200
    told_before_ms = told_ms(instance)
    with stalled(gateway):
        client.send("POST", "/pay", b"x", X_Remaining=f"{STATED_MS:.0f}m")
        sent_at = time.monotonic()
        threading.Event().wait(0.5)
        waited_ms = 1000 * (time.monotonic() - sent_at)
    assert client.read_response()[0] == 200
    assert told_before_ms <= STATED_MS
    assert 0.0 < told_ms(instance) <= STATED_MS - waited_ms + SLACK_MS


def looks_received(instances: list[FakeInstance]) -> int:
    return sum(path == "/look" for each in instances for _, path, _, _ in list(each.received.queue))


def told_ms(instance: FakeInstance) -> float:
    """Return the remaining time that the next received request states."""
    headers = instance.received.get(timeout=TIMEOUT_S)[2]
    return float(headers["x-remaining"].removesuffix("u")) / 1000


@pytest.mark.parametrize("status", ["terminating", "terminated"])
def test_a_list_written_during_a_stall_is_read_before_the_requests(start: StartGateway, status: str) -> None:
    # A gateway that woke up read the requests that had come before the list, and sent them to the draining
    # server up to 1.0 s after the list was written (review/8).
    instance, kept = FakeInstance(), FakeInstance()
    entries = [endpoint("s-1", instance.address), endpoint("s-2", kept.address, status="terminating")]
    discovery = CountingDiscovery(entries)
    gateway = start(entries, discovery=discovery.address)
    clients = [gateway.client() for _ in range(CLIENTS)]
    assert clients[0].request("POST", "/pay", b"before")[0] == 200
    while not discovery.watches:
        assert clients[0].request("POST", "/pay", b"before")[0] == 200
    received_bodies(instance)
    lists_before = discovery.lists_written
    with stalled(gateway):
        for client in clients:
            client.send("POST", "/pay", b"late")
        discovery.update([endpoint("s-1", instance.address, status=status), endpoint("s-2", kept.address)])
        while discovery.lists_written == lists_before:
            time.sleep(0.001)
    assert {client.read_response()[0] for client in clients} == {200}
    assert received_bodies(instance) == []
    assert received_bodies(kept) == [b"late"] * CLIENTS
