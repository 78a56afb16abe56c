"""What the kernel tells of a connection before the gateway has read it."""

from __future__ import annotations

import socket
import threading
from collections.abc import Iterator
from typing import Any

import pytest

from meadowpulley.net import connection as connection_module
from meadowpulley.net.tcp_info import read_tcp_info
from tests.test_client_connections import ReactorHarness, disconnect

WAIT_S = 0.1


@pytest.fixture
def pair() -> Iterator[tuple[socket.socket, socket.socket]]:
    """Two ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        accepted, _ = server.accept()
    yield client, accepted
    client.close()
    accepted.close()


def test_end_is_found_behind_unread_input(pair: tuple[socket.socket, socket.socket]) -> None:
    client, accepted = pair
    client.sendall(b"unread")
    info = read_tcp_info(accepted)
    assert info is not None and not info.peer_has_closed
    client.close()
    info = read_tcp_info(accepted)
    assert info is not None and info.peer_has_closed
    assert accepted.recv(100) == b"unread"


def test_age_of_input_counts_from_its_arrival(pair: tuple[socket.socket, socket.socket]) -> None:
    client, accepted = pair
    client.sendall(b"x")
    threading.Event().wait(WAIT_S)
    info = read_tcp_info(accepted)
    assert info is not None and info.input_age_ms >= 1000 * WAIT_S / 2


def test_sockets_without_the_option_are_unknown() -> None:
    first, second = socket.socketpair()
    with first, second:
        assert read_tcp_info(first) is None


@pytest.fixture(params=[True, False], ids=["tcp_info", "peek"])
def harness(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> Iterator[Any]:
    """A gateway on a system that knows TCP_INFO, and on one that doesn't."""
    if not request.param:
        monkeypatch.setattr(connection_module, "read_tcp_info", lambda handle: None)
    harness = ReactorHarness()
    yield harness
    harness.close()


def test_request_of_a_client_that_has_left_is_not_admitted(harness: Any) -> None:
    # The policy got the request first and the disconnection in a later turn: an attempt had begun meanwhile.
    client = harness.client()
    client.send("GET", "/look")
    disconnect(client)
    while harness.connections:
        harness.run_turns()
    assert not harness.policy.events
    assert harness.gateway.counters["in.unread_disconnects"] == 1


def test_request_of_a_client_that_waits_is_admitted(harness: Any) -> None:
    client = harness.client()
    client.send("GET", "/look")
    while not harness.policy.events:
        harness.run_turns()
    assert harness.gateway.counters["in.requests"] == 1
