"""The gateway as a program: requests of clients and answers of instances, over loopback sockets."""

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
from meadowpulley.net.instances import WARM
from tests.net_program.conftest import Start
from tests.standins import (
    LIMIT_S,
    SETTINGS,
    Instance,
    answer,
    entry,
)


def cut(handler: BaseHTTPRequestHandler, _: bytes) -> None:
    handler.connection.shutdown(socket.SHUT_RDWR)
    handler.close_connection = True


def garbage(handler: BaseHTTPRequestHandler, _: bytes) -> None:
    handler.wfile.write(b"\x00\x01\x02 not http\r\n\r\n")


def test_serves_from_what_it_knows_with_discovery_and_platform_down(start: Start) -> None:
    instance = Instance()
    client = start([entry("s-1", instance.address)]).client()
    assert client.ask("GET", "/health/ready")[0] == 200
    status, _, body = client.ask("POST", "/pay/now?x=1", b"money", X_Entity="7f3a9c21e0b4d655")
    assert (status, body) == (200, b"served money")
    method, path, headers, sent = instance.asked.get(timeout=LIMIT_S)
    assert (method, path, sent) == ("POST", "/pay/now?x=1", b"money")
    assert headers["x-txn"] == f"{2:016x}" and headers["x-entity"] == "7f3a9c21e0b4d655"
    assert 0 < int(headers["x-remaining"].removesuffix("u")) <= 4_000_000
    for _ in range(5):
        assert client.ask("GET", "/look")[0] == 200
    assert instance.connections <= WARM + 1  # set-up is dear: no request opens one of its own


def test_a_gateway_of_hundreds_opens_no_connection_ahead(start: Start) -> None:
    # 206 gateways opened 21,000 connections in their first second, as many as they had requests in all.
    instance = Instance()
    client = start([entry("s-1", instance.address)], settings={**SETTINGS, "balancers": 200}).client()
    for _ in range(3):
        assert client.ask("GET", "/look")[0] == 200
    assert instance.connections == 1


def test_an_unsafe_request_is_never_sent_twice(start: Start) -> None:
    first, second = Instance(cut), Instance(cut)
    client = start([entry("s-1", first.address), entry("s-2", second.address)]).client()
    assert client.ask("POST", "/pay", b"x")[0] == 502
    assert first.asked.qsize() + second.asked.qsize() == 1


def test_what_was_turned_away_may_go_elsewhere_and_a_refusal_says_when_to_come_back(start: Start) -> None:
    full = Instance(lambda h, _: answer(h, 503, b"", X_Turned_Away="1"))
    client = start([entry("s-1", full.address)]).client()
    status, headers, _ = client.ask("POST", "/pay", b"x")
    assert status == 503 and float(headers["retry-after"]) == 0.5


def test_a_refused_connection_never_ran_and_the_next_server_is_tried(start: Start) -> None:
    well = Instance()
    with socket.create_server(("127.0.0.1", 0)) as closed:
        dead = f"127.0.0.1:{closed.getsockname()[1]}"
    client = start([entry("s-1", dead), entry("s-2", well.address)]).client()
    found = [client.ask("POST", "/pay", b"x")[0] for _ in range(4)]
    assert found[0] == 200 and set(found) <= {200, 503}  # repeats are few, and what never ran is refused


def test_garbage_from_an_instance_fails_that_attempt_alone(start: Start) -> None:
    gateway = start([entry("s-1", Instance(garbage).address)])
    assert gateway.client().ask("POST", "/pay", b"x")[0] == 502
    assert gateway.client().ask("GET", "/health/ready")[0] == 200


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"\x16\x03\x01 hello", 400),
        (b"GET /look HTTP/1.1\r\n\r\n", 400),
        (b"GET /look HTTP/1.1\r\nHost: a\r\n\r\n", 400),  # no id
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
def test_bad_requests_get_their_answer_and_a_close(start: Start, raw: bytes, status: int) -> None:
    instance = Instance()
    client = start([entry("s-1", instance.address)]).client()
    client.socket.sendall(raw)
    assert client.answer()[0] == status
    assert client.answer()[0] == 0
    assert instance.asked.empty()  # never sent on


@pytest.mark.parametrize(
    "first", [b"", b"P", b"POST /pay HTTP/1.1\r\nHost: a\r\nX-Txn: 1\r\nContent-Length: 900\r\n\r\nhalf"]
)
@pytest.mark.parametrize("drip", [b"", b"x"])
def test_silent_dripping_and_half_sent_clients_are_done_with_in_time(
    start: Start, first: bytes, drip: bytes
) -> None:
    # They held their connections for 60 s, and 10 s once a byte had come.
    client = start([]).client()
    client.socket.settimeout(0.1)
    end, got = time.monotonic() + 3.0, b""
    client.socket.sendall(first)
    while time.monotonic() < end:
        with contextlib.suppress(TimeoutError):
            got += client.socket.recv(100)
            break
        client.socket.sendall(drip)
    assert time.monotonic() < end and got.startswith(b"HTTP/1.1 408" if first or drip else b"")


def test_a_connection_that_asked_once_and_stays_is_closed_soon(start: Start) -> None:
    # Such connections stay for good, and only a part of the descriptors is there for clients.
    client = start([entry("s-1", Instance().address)]).client()
    assert client.ask("POST", "/pay", b"x")[0] == 200
    began = time.monotonic()
    assert client.answer()[0] == 0 and 2.0 <= time.monotonic() - began < 3.0


def test_what_ends_in_a_cycle_is_collected_soon() -> None:
    # Ended requests and connections stayed until millions of objects had come: memory grew all day long.
    young, middle, old = GC_THRESHOLDS
    assert young * middle * old <= 100_000


def test_with_half_the_table_in_use_an_answer_ends_its_connection(start: Start) -> None:
    # Found on a recorded day: clients that ask once and stay held all that clients may open, for 2 s each.
    gateway = start([entry("s-1", Instance().address)])
    status, headers, _ = gateway.client().ask("POST", "/pay", b"x")
    assert status == 200 and "connection" not in headers
    held = [socket.create_connection(("127.0.0.1", gateway.port), LIMIT_S) for _ in range(75)]
    client = gateway.client()
    status, headers, _ = client.ask("POST", "/pay", b"x")
    assert (status, headers["connection"], client.answer()[0]) == (200, "close", 0)
    for one in held:
        one.close()


def test_a_body_of_60_mb_is_refused_at_its_head_and_not_kept(start: Start) -> None:
    gateway = start([])
    client = gateway.client()
    client.socket.sendall(b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n")
    assert client.answer()[0] == 413
    with pytest.raises(OSError, match=r"reset|Broken"):  # it does not take part for long either
        for _ in range(60):
            client.socket.sendall(bytes(1_000_000))
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    assert int(status.partition("VmHWM:")[2].split()[0]) < 48 * 1024


def test_an_id_that_is_open_is_not_sent_again_and_its_own_request_goes_on(start: Start) -> None:
    go = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        go.wait(LIMIT_S)
        answer(handler, 200, body)

    instance = Instance(hold)
    gateway = start([entry("s-1", instance.address)])
    own, other = gateway.client(), gateway.client()
    own.send("POST", "/pay", b"own", X_Txn="7f3a")
    instance.asked.get(timeout=LIMIT_S)
    assert other.ask("POST", "/pay", b"other", X_Txn="7f3a")[0] == 409
    go.set()
    assert own.answer()[::2] == (200, b"own") and instance.asked.empty()


def test_hundreds_that_connect_and_say_nothing_keep_nobody_waiting(start: Start) -> None:
    # Accepting paused with the table full of them, until they had stood idle for a second.
    gateway = start([entry("s-1", Instance().address)])
    mute = [socket.create_connection(("127.0.0.1", gateway.port), LIMIT_S) for _ in range(400)]
    began = time.monotonic()
    assert gateway.client().ask("POST", "/pay", b"x")[0] == 200
    assert time.monotonic() - began < 1.0
    for one in mute:
        one.close()


def test_unknown_paths_and_wrong_methods_keep_the_connection(start: Start) -> None:
    client = start([]).client()
    assert client.ask("GET", "/nothing/here")[0] == 404
    assert client.ask("GET", "/pay")[0] == 405
    assert client.ask("GET", "/look")[0] == 503  # no server is known: refused, not lost


def test_a_client_that_goes_away_ends_its_attempt(start: Start) -> None:
    gone = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, _: bytes) -> None:
        with contextlib.suppress(ConnectionResetError):
            assert handler.connection.recv(1) == b""
        gone.set()
        handler.close_connection = True

    instance = Instance(hold)
    client = start([entry("s-1", instance.address)]).client()
    client.send("GET", "/look")
    instance.asked.get(timeout=LIMIT_S)
    client.file.close()
    client.socket.close()
    assert gone.wait(LIMIT_S)


def test_a_request_past_its_time_is_answered_at_once(start: Start) -> None:
    held = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        held.wait(LIMIT_S)
        cut(handler, body)

    instance = Instance(hold)
    client = start([entry("s-1", instance.address)]).client()
    status, _, _ = client.ask("POST", "/pay", b"x", X_Remaining="200m")
    held.set()
    assert status == 502 and instance.asked.qsize() == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"\x00\x01 noise\r\n\r\n",
        b"ICY 200 OK\r\nContent-Length: 2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 9000,
        b"HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\nhi",  # the rest never comes
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi",
        b"HTTP/1.1 200 OK\r\nX-Pad: p\r\n",  # nor does the end of the head
        b"HTTP/1.1 2x0 OK\r\n",
        b"noise that could be a word",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: pppppppp\r\n" * 3000,
    ],
)
def test_a_spoilt_answer_fails_its_attempt_at_once_and_its_connection_goes(start: Start, raw: bytes) -> None:
    # Noise without an end, and heads and bodies that never end, held a request up until its deadline.
    gone = threading.Event()

    def spoil(handler: BaseHTTPRequestHandler, _: bytes) -> None:
        with contextlib.suppress(OSError):
            handler.wfile.write(raw)
            handler.connection.settimeout(LIMIT_S)
            while handler.connection.recv(100):
                pass
        gone.set()

    gateway = start([entry("s-1", Instance(spoil).address)])
    assert gateway.client().ask("POST", "/pay", b"x", X_Remaining="4900m")[0] == 502
    assert gone.wait(LIMIT_S)
    os.kill(gateway.process.pid, signal.SIGUSR1)
    counters = gateway.wait_for("counters")
    # As one that may have run, which is no error of that instance's build: any instance sends these.
    assert counters["up.garbage"] == counters["up.reset"] == 1 and "up.timeout" not in counters


@pytest.mark.parametrize("more", [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"\x00noise\r\n\r\n"])
def test_a_good_answer_serves_whatever_comes_around_it(start: Start, more: bytes) -> None:
    def act(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        ahead = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
        head = b"HTTP/1.1 200 OK\r\nX-Pressure: busy_reqs=~,?\r\nContent-Length: %d\r\n\r\n" % len(body)
        handler.wfile.write(ahead + head + body + more)

    instance = Instance(act)
    client = start([entry("s-1", instance.address)]).client()
    for n in range(12):
        assert client.ask("POST", "/pay", b"body %d" % n)[::2] == (200, b"body %d" % n)
    assert instance.connections >= 12  # none is used again after what came behind
