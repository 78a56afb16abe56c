"""Gateway process that serves clients from fake instances over loopback sockets."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path

import pytest

from meadowpulley.__main__ import GC_THRESHOLDS
from meadowpulley.net.instance_pools import PRECONNECT_PER_INSTANCE
from tests.net_program.conftest import StartGateway
from tests.standins import (
    SETTINGS,
    TIMEOUT_S,
    FakeInstance,
    endpoint,
    free_port,
    respond,
)


def close_connection(handler: BaseHTTPRequestHandler, _: bytes) -> None:
    handler.connection.shutdown(socket.SHUT_RDWR)
    handler.close_connection = True


def send_garbage(handler: BaseHTTPRequestHandler, _: bytes) -> None:
    handler.wfile.write(b"\x00\x01\x02 not http\r\n\r\n")


def test_serves_cached_endpoints_with_discovery_and_platform_down(start: StartGateway) -> None:
    instance = FakeInstance()
    closed_address = f"127.0.0.1:{free_port()}"
    client = start([endpoint("s-1", instance.address)], discovery=closed_address).client()
    assert client.request("GET", "/health/ready")[0] == 200
    status, _, body = client.request("POST", "/pay/now?x=1", b"money", X_Entity="7f3a9c21e0b4d655")
    assert (status, body) == (200, b"served money")
    method, path, headers, sent = instance.received.get(timeout=TIMEOUT_S)
    assert (method, path, sent) == ("POST", "/pay/now?x=1", b"money")
    assert headers["x-txn"] == client.request_id
    assert headers["x-entity"] == "7f3a9c21e0b4d655"
    assert 0 < int(headers["x-remaining"].removesuffix("u")) <= 4_000_000
    for _ in range(5):
        assert client.request("GET", "/look")[0] == 200
    assert (
        instance.connections <= PRECONNECT_PER_INSTANCE + 1
    )  # setting up a connection is expensive, so requests share them


def test_large_fleet_opens_no_connections_ahead(start: StartGateway) -> None:
    # 206 gateways opened 21,000 connections in the first second, as many as they had requests in total.
    instance = FakeInstance()
    client = start([endpoint("s-1", instance.address)], settings={**SETTINGS, "balancers": 200}).client()
    for _ in range(3):
        assert client.request("GET", "/look")[0] == 200
    assert instance.connections == 1


def test_unsafe_request_is_never_sent_twice(start: StartGateway) -> None:
    first, second = FakeInstance(close_connection), FakeInstance(close_connection)
    client = start([endpoint("s-1", first.address), endpoint("s-2", second.address)]).client()
    assert client.request("POST", "/pay", b"x")[0] == 502
    assert first.received.qsize() + second.received.qsize() == 1


def test_rejected_attempt_may_be_retried_and_rejection_carries_retry_after(start: StartGateway) -> None:
    full = FakeInstance(lambda handler, _: respond(handler, 503, b"", X_Turned_Away="1"))
    client = start([endpoint("s-1", full.address)]).client()
    status, headers, _ = client.request("POST", "/pay", b"x")
    assert status == 503
    assert float(headers["retry-after"]) == 0.5


def test_refused_connection_is_retried_on_another_server(start: StartGateway) -> None:
    healthy = FakeInstance()
    with socket.create_server(("127.0.0.1", 0)) as closed:
        closed_address = f"127.0.0.1:{closed.getsockname()[1]}"
    client = start([endpoint("s-1", closed_address), endpoint("s-2", healthy.address)]).client()
    statuses = [client.request("POST", "/pay", b"x")[0] for _ in range(4)]
    assert statuses[0] == 200
    assert set(statuses) <= {
        200,
        503,
    }  # retries are limited; a request that never executed gets 503


def test_garbage_from_an_instance_fails_only_that_attempt(start: StartGateway) -> None:
    gateway = start([endpoint("s-1", FakeInstance(send_garbage).address)])
    assert gateway.client().request("POST", "/pay", b"x")[0] == 502
    assert gateway.client().request("GET", "/health/ready")[0] == 200


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"\x16\x03\x01 hello", 400),
        (b"GET /look HTTP/1.1\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\n\r\n", 400),  # no request id
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Txn: 2\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nConnection: close, X-Txn\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining: nan\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining: infm\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining: -5m\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nX-Remaining: 999999999m\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nContent-Length: 1\r\n\r\nx", 400),
        (b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nContent-Length: -1\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n", 413),
        (b"GET /look HTTP/1.1\r\nHost: a\r\nX-A: " + b"a" * 20_000, 431),
    ],
)
def test_bad_requests_are_rejected_and_their_connection_closed(
    start: StartGateway, raw: bytes, status: int
) -> None:
    instance = FakeInstance()
    client = start([endpoint("s-1", instance.address)]).client()
    client.socket.sendall(raw)
    assert client.read_response()[0] == status
    assert client.read_response()[0] == 0
    assert instance.received.empty()  # the request was never forwarded


@pytest.mark.parametrize(
    "first_bytes",
    [b"", b"P", b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nContent-Length: 900\r\n\r\nhalf"],
)
@pytest.mark.parametrize("trickle", [b"", b"x"])
def test_silent_slow_and_partial_clients_time_out(
    start: StartGateway, first_bytes: bytes, trickle: bytes
) -> None:
    # Clients that sent nothing kept their connections for 60 s; clients that never completed a request kept
    # them for 10 s after the first byte.
    client = start([]).client()
    client.socket.settimeout(0.1)
    give_up_at, received = time.monotonic() + 3.0, b""
    client.socket.sendall(first_bytes)
    while time.monotonic() < give_up_at:
        with contextlib.suppress(TimeoutError):
            received += client.socket.recv(100)
            break
        client.socket.sendall(trickle)
    assert time.monotonic() < give_up_at
    assert received.startswith(b"HTTP/1.1 408" if first_bytes or trickle else b"")


def test_idle_client_connection_is_closed(start: StartGateway) -> None:
    # Some clients never close their idle connections, and only part of the descriptors is for clients.
    client = start([endpoint("s-1", FakeInstance().address)]).client()
    assert client.request("POST", "/pay", b"x")[0] == 200
    started_at = time.monotonic()
    assert client.read_response()[0] == 0
    assert 2.0 <= time.monotonic() - started_at < 3.0


def test_garbage_collector_thresholds_stay_low() -> None:
    # Finished requests and connections leave reference cycles. With high thresholds they were freed only
    # after millions of objects had been created, so memory use grew all day.
    young, middle, old = GC_THRESHOLDS
    assert young * middle * old <= 100_000


def test_responses_close_connections_while_half_the_slots_are_used(start: StartGateway) -> None:
    # Clients that sent one request and stayed connected occupied all slots, for 2 s each, on a recorded day.
    gateway = start([endpoint("s-1", FakeInstance().address)])
    status, headers, _ = gateway.client().request("POST", "/pay", b"x")
    assert status == 200
    assert "connection" not in headers
    idle_connections = [socket.create_connection(("127.0.0.1", gateway.port), TIMEOUT_S) for _ in range(75)]
    client = gateway.client()
    status, headers, _ = client.request("POST", "/pay", b"x")
    assert (status, headers["connection"], client.read_response()[0]) == (200, "close", 0)
    for connection in idle_connections:
        connection.close()


def test_body_of_60_mb_is_rejected_at_its_head_and_not_buffered(start: StartGateway) -> None:
    gateway = start([])
    client = gateway.client()
    client.socket.sendall(b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n")
    assert client.read_response()[0] == 413
    with pytest.raises(OSError, match=r"reset|Broken"):  # the gateway soon resets the connection
        for _ in range(60):
            client.socket.sendall(bytes(1_000_000))
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    assert int(status.partition("VmHWM:")[2].split()[0]) < 48 * 1024


def test_open_id_is_rejected_and_the_first_request_continues(start: StartGateway) -> None:
    may_respond = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        may_respond.wait(TIMEOUT_S)
        respond(handler, 200, body)

    instance = FakeInstance(hold)
    gateway = start([endpoint("s-1", instance.address)])
    first_client, second_client = gateway.client(), gateway.client()
    first_client.send("POST", "/pay", b"own", X_Txn="7f3a")
    instance.received.get(timeout=TIMEOUT_S)
    assert second_client.request("POST", "/pay", b"other", X_Txn="7f3a")[0] == 409
    may_respond.set()
    assert first_client.read_response()[::2] == (200, b"own")
    assert instance.received.empty()


def test_hundreds_of_unused_connections_delay_no_request(start: StartGateway) -> None:
    # Unused connections filled the table, and accepting paused until they had been idle for 1 s.
    gateway = start([endpoint("s-1", FakeInstance().address)])
    unused = [socket.create_connection(("127.0.0.1", gateway.port), TIMEOUT_S) for _ in range(400)]
    started_at = time.monotonic()
    assert gateway.client().request("POST", "/pay", b"x")[0] == 200
    assert time.monotonic() - started_at < 1.0
    for connection in unused:
        connection.close()


def test_unknown_paths_and_wrong_methods_keep_the_connection(start: StartGateway) -> None:
    client = start([]).client()
    assert client.request("GET", "/nothing/here")[0] == 404
    assert client.request("GET", "/pay")[0] == 405
    assert client.request("GET", "/look")[0] == 503  # no server is known, so the request is rejected


def test_client_disconnect_ends_its_attempt(start: StartGateway) -> None:
    disconnected = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, _: bytes) -> None:
        with contextlib.suppress(ConnectionResetError):
            assert handler.connection.recv(1) == b""
        disconnected.set()
        handler.close_connection = True

    instance = FakeInstance(hold)
    client = start([endpoint("s-1", instance.address)]).client()
    client.send("GET", "/look")
    instance.received.get(timeout=TIMEOUT_S)
    client.reader.close()
    client.socket.close()
    assert disconnected.wait(TIMEOUT_S)


def test_request_past_its_deadline_is_answered_at_once(start: StartGateway) -> None:
    may_respond = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        may_respond.wait(TIMEOUT_S)
        close_connection(handler, body)

    instance = FakeInstance(hold)
    client = start([endpoint("s-1", instance.address)]).client()
    status, _, _ = client.request("POST", "/pay", b"x", X_Remaining="200m")
    may_respond.set()
    assert status == 502
    assert instance.received.qsize() == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\x01 noise\r\n\r\n",
        b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 9000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhi",  # incomplete body
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi",
        b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n",  # incomplete head
        b"HTTP/1.1 2x0 OK\r\n",
        b"noise that could be a word",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 3000,
    ],
)
def test_malformed_response_fails_its_attempt_and_closes_the_connection(
    start: StartGateway, raw: bytes
) -> None:
    # A request was delayed until its deadline if the instance sent endless garbage instead of a response, or
    # a head or body without an end.
    disconnected = threading.Event()

    def respond_malformed(handler: BaseHTTPRequestHandler, _: bytes) -> None:
        with contextlib.suppress(OSError):
            handler.wfile.write(raw)
            handler.connection.settimeout(TIMEOUT_S)
            while handler.connection.recv(100):
                pass
        disconnected.set()

    gateway = start([endpoint("s-1", FakeInstance(respond_malformed).address)])
    assert gateway.client().request("POST", "/pay", b"x", X_Remaining="4900m")[0] == 502
    assert disconnected.wait(TIMEOUT_S)
    os.kill(gateway.process.pid, signal.SIGUSR1)
    counters = gateway.wait_for("counters")
    # A malformed response counts as a reset: the request may have executed, and the instance's build is not
    # known to be at fault.
    assert counters["up.malformed"] == counters["up.reset"] == 1
    assert "up.timeout" not in counters


@pytest.mark.parametrize(
    "trailing_bytes", [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"\x00noise\r\n\r\n"]
)
def test_valid_response_is_served_despite_surrounding_bytes(
    start: StartGateway, trailing_bytes: bytes
) -> None:
    def handle(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
        head = b"HTTP/1.1 200 OK\r\nX-Pressure: busy_reqs=~,?\r\nContent-Length: %d\r\n\r\n" % len(body)
        handler.wfile.write(interim + head + body + trailing_bytes)

    instance = FakeInstance(handle)
    client = start([endpoint("s-1", instance.address)]).client()
    for index in range(12):
        assert client.request("POST", "/pay", b"body %d" % index)[::2] == (200, b"body %d" % index)
    assert instance.connections >= 12  # no connection is reused after trailing bytes
