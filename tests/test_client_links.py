"""Clients' connections on real sockets, the reactor's turns taken one at a time: what comes between two of
them comes there every time."""

from __future__ import annotations

import select
from collections.abc import Iterator
from typing import Any

import pytest
from structlog.testing import CapturingLogger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from meadowpulley import interface as i
from meadowpulley.__main__ import MonotonicReactor
from meadowpulley.net.client_link import IDLE_MS, ClientLink
from meadowpulley.net.config import Config
from meadowpulley.net.deadlines import now_ms
from meadowpulley.net.gateway import Gateway
from meadowpulley.settings import read_settings
from tests.standins import SETTINGS, Client, free_port


class Decisions:
    """Notes what it is told, and leaves every request waiting for its first attempt."""

    def __init__(self) -> None:
        self.told: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.told.append(event)
        return []

    def count(self, kind: type) -> int:
        return sum(isinstance(event, kind) for event in self.told)


class Turns:
    def __init__(self, sockets: int = 128) -> None:
        self.reactor: Any = MonotonicReactor()
        self.skew, self.port = 0.0, free_port()
        address = ("127.0.0.1", self.port)
        config = Config("n0", address, address, None, 1, sockets, read_settings(SETTINGS, "test"))
        self.decisions = Decisions()
        make, log = (lambda *_: self.decisions), CapturingLogger()
        self.gateway = Gateway(config, self.reactor, log, make, clock=lambda: now_ms() + self.skew)
        self.gateway.listen()

    def turn(self, times: int = 1) -> None:
        for _ in range(times):
            self.reactor.iterate(0)

    def client(self) -> Client:
        client = Client(self.port)
        while not any(link.wire.getPeer().port == client.socket.getsockname()[1] for link in self.links):
            self.turn()
        return client

    @property
    def links(self) -> list[ClientLink]:
        return list(self.gateway.clients.links)

    def ask(self, client: Client, path: str = "/health/live") -> int:
        client.send("GET", path)
        self.until(client)
        return client.answer()[0]

    def until(self, client: Client) -> None:
        """Turns until something has come to a client, or its connection has ended."""
        for _ in range(100_000):
            if select.select([client.socket], [], [], 0)[0]:
                return
            self.turn()
        raise AssertionError("nothing came")


@pytest.fixture
def turns() -> Iterator[Turns]:
    turns = Turns()
    yield turns
    for selectable in turns.reactor.removeAll():
        selectable.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]


def test_a_request_that_is_read_as_its_connection_falls_due_is_taken(turns: Turns) -> None:
    # What is due ran first, and found the connection silent: the kernel no longer held what was in hand.
    client = turns.client()
    assert turns.ask(client) == 200
    turns.skew += IDLE_MS + 1.0  # due, and the reactor's own call for it comes only later
    client.send("GET", "/look")
    turns.turn()
    assert turns.decisions.count(i.Request) == 1 and turns.links[0].taken is not None


def test_a_connection_that_is_closed_between_requests_is_closed_in_that_turn(turns: Turns) -> None:
    # It was closed by way of the next turn: a request that came in between was read, thrown away and lost.
    client = turns.client()
    assert turns.ask(client) == 200
    turns.gateway.drain()
    assert select.select([client.socket], [], [], 0)[0] and client.answer()[0] == 0
