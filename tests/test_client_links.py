"""Clients' connections on real sockets, the reactor's turns taken one at a time: what comes between two of
them comes there every time."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Iterator
from typing import Any

import pytest
from structlog.testing import CapturingLogger
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from meadowpulley.__main__ import MonotonicReactor
from meadowpulley.check.connection.scenes import INSTANCES
from meadowpulley.interface import ClientDisconnected, Outcome, Request, Result, Send
from meadowpulley.net.client_link import FIRST_MS, IDLE_MS, LATE_MS, LINGER_MS, TURN_REQUESTS, ClientLink
from meadowpulley.net.clients import MUTE_MS
from meadowpulley.net.config import Config
from meadowpulley.net.deadlines import now_ms
from meadowpulley.net.gateway import ACCEPT_ON_MS, Gateway
from meadowpulley.settings import read_settings
from tests.standins import SETTINGS, Client, free_port
from tests.test_net_hooks import Bench


class Decisions:
    """Notes what it is told, and leaves every request waiting for its first attempt."""

    def __init__(self) -> None:
        self.told: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.told.append(event)
        return []

    def count(self, kind: type) -> int:
        return sum(isinstance(event, kind) for event in self.told)


def has_come(client: Client) -> bool:
    """Whether anything has, or the end of its connection. Not by select(), which ends at descriptor 1,023."""
    poll = select.poll()
    poll.register(client.socket, select.POLLIN)
    return bool(poll.poll(0))


def leave(client: Client) -> None:
    client.file.close()
    client.socket.close()


class Turns:
    def __init__(self, sockets: int = 128, **more: Any) -> None:
        self.reactor: Any = MonotonicReactor()
        self.skew, self.port = 0.0, free_port()
        address = ("127.0.0.1", self.port)
        settings = read_settings({**SETTINGS, **more}, "test")
        config = Config("n0", address, address, None, 1, sockets, settings)
        self.decisions = Decisions()
        make, log = (lambda *_: self.decisions), CapturingLogger()
        self.gateway = Gateway(config, self.reactor, log, make, clock=lambda: now_ms() + self.skew)
        self.gateway.listen()

    def close(self) -> None:
        for selectable in self.reactor.removeAll():
            selectable.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
        self.reactor.waker.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
        self.reactor._poller.close()  # what a reactor holds until its process ends

    def turn(self, times: int = 1) -> None:
        for _ in range(times):
            self.reactor.iterate(0)

    def client(self) -> Client:
        client = Client(self.port)
        while not any(link.wire.getPeer().port == client.socket.getsockname()[1] for link in self.links):
            self.turn()
        return client

    def rest(self, client: Client) -> bytes:
        """All that still comes to a client, up to the end of its connection."""
        got = b""
        while True:
            self.until(client)
            if not (more := client.socket.recv(100_000)):
                return got
            got += more

    def later(self, ms: float) -> None:
        """What is due by then runs, as it does ahead of new input."""
        self.skew += ms
        self.gateway.deadlines.run_due()

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
            if has_come(client):
                return
            self.turn()
        raise AssertionError("nothing came")


@pytest.fixture
def turns() -> Iterator[Turns]:
    turns = Turns()
    yield turns
    turns.close()


def test_a_request_that_is_read_as_its_connection_falls_due_is_taken(turns: Turns) -> None:
    # What is due ran first, and found the connection silent: the kernel no longer held what was in hand.
    client = turns.client()
    assert turns.ask(client) == 200
    turns.skew += IDLE_MS + 1.0  # due, and the reactor's own call for it comes only later
    client.send("GET", "/look")
    turns.turn()
    assert turns.decisions.count(Request) == 1 and turns.links[0].taken is not None


def test_a_connection_that_is_closed_between_requests_is_closed_in_that_turn(turns: Turns) -> None:
    # It was closed by way of the next turn: a request that came in between was read, thrown away and lost.
    client = turns.client()
    assert turns.ask(client) == 200
    turns.gateway.drain()
    assert has_come(client) and client.answer()[0] == 0


def test_who_waits_to_be_accepted_as_listening_ends_is_answered(turns: Turns) -> None:
    # The kernel had completed their connections, their requests were there: closing the port reset them all.
    turns.gateway.drain()
    waiting = [Client(turns.port) for _ in range(60)]  # more than there are places
    for client in waiting:
        client.send("GET", "/health/live")
    turns.later(ACCEPT_ON_MS)
    for client in waiting:
        turns.until(client)
        assert client.answer()[0] == 200
        leave(client)
    with pytest.raises(ConnectionRefusedError):
        Client(turns.port)
    turns.turn(3)
    assert turns.gateway.stopping


def test_a_new_connection_brings_its_request_to_a_gateway_that_drains(turns: Turns) -> None:
    # It was closed with no answer, which is a request refused.
    client, mute = turns.client(), turns.client()
    turns.gateway.drain()
    assert turns.ask(client) == 200
    turns.later(ACCEPT_ON_MS)
    turns.later(MUTE_MS)
    assert mute.answer()[0] == 0


def test_a_turn_accepts_no_more_than_there_is_room_for(turns: Turns) -> None:
    # After a turn in which it took all that it might, the port took twenty more in the next: some were reset.
    half = [turns.client() for _ in range(28)] + [Client(turns.port) for _ in range(9)]
    turns.turn(2)
    waiting = [Client(turns.port) for _ in range(60)]
    for client in half:
        client.socket.sendall(b"GET /look HTTP/1.1\r\n")
    for client in waiting:
        client.send("GET", "/health/live")
    for client in waiting:
        turns.until(client)
        assert client.answer()[0] == 200
        leave(client)
    assert not turns.gateway.counters["in.turned_away"] and turns.gateway.counters["in.pauses"]


class Slow(Client):
    """Its kernel takes little ahead of what it reads."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        leave(self)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect(("127.0.0.1", port))
        self.file = self.socket.makefile("rb")


def hold_up(turns: Turns) -> None:
    """The one request is answered, and the kernel takes only a part of it."""
    while not turns.decisions.count(Request):
        turns.turn()
    (link,) = turns.links
    link.wire.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    assert link.taken is not None
    turns.gateway.requests.answer(link.taken, 200, {}, bytes(150_000))
    assert len(link.outward)


@pytest.mark.parametrize("crowded", [False, True])
def test_a_slow_client_gets_the_whole_of_its_last_answer(turns: Turns, crowded: bool) -> None:
    # A second after the last byte was the kernel's, or at once to make room, it was thrown away with a reset.
    client = Slow(turns.port)
    client.send("GET", "/look", Connection="close")
    while not turns.decisions.count(Request):
        turns.turn()
    taken = next(link.taken for link in turns.links if link.taken)
    turns.gateway.requests.answer(taken, 200, {}, bytes(60_000))
    if crowded:
        turns.gateway.clients.spare = turns.gateway.clients.links.size
        turns.gateway.clients._clear_room()
    else:
        turns.later(LINGER_MS)
    turns.turn(2)
    assert not turns.links and client.answer()[::2] == (200, bytes(60_000))


AHEAD = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 2\r\n\r\n"


@pytest.mark.parametrize("ahead", [b"", AHEAD, AHEAD * 5000], ids=["alone", "one", "200 kB"])
@pytest.mark.parametrize("how", [socket.SHUT_RDWR, socket.SHUT_WR], ids=["closed", "half-closed"])
def test_a_client_that_goes_is_noticed_however_far_ahead_it_wrote(
    turns: Turns, ahead: bytes, how: int
) -> None:
    # Reading paused while it had written ahead: its request, and then those behind it, went on for nobody.
    client = turns.client()
    client.send("GET", "/look")
    client.socket.sendall(ahead)
    while not turns.decisions.count(Request):
        turns.turn()
    client.socket.shutdown(how)
    turns.turn(20)
    assert (
        not turns.links and turns.decisions.count(Request) == turns.decisions.count(ClientDisconnected) == 1
    )


def test_a_flood_on_one_connection_leaves_each_turn_to_the_others(turns: Turns) -> None:
    # All that was read was worked on in one turn, 1,700 requests of 64 kB, and every other client waited.
    client, many = turns.client(), 1000
    client.socket.sendall(b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n" * many)
    counters = turns.gateway.counters
    while not counters["in.unknown_path"]:
        turns.turn()
    assert counters["in.unknown_path"] == TURN_REQUESTS
    while counters["in.unknown_path"] < many:
        turns.turn()
    assert turns.ask(turns.client()) == 200


@pytest.mark.parametrize("request_", [b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", AHEAD])
def test_a_flood_without_an_end_gets_an_end(turns: Turns, request_: bytes) -> None:
    client = turns.client()
    client.socket.setblocking(False)
    with pytest.raises(OSError, match=r"reset|Broken"):
        for _ in range(10_000):
            with contextlib.suppress(BlockingIOError):
                client.socket.send(request_ * 1000)
            turns.later(1.0)
            turns.turn()
    assert turns.decisions.count(Request) <= 2 * TURN_REQUESTS and turns.ask(turns.client()) == 200


def test_a_request_whose_rest_lies_there_unread_has_come_in_time(turns: Turns) -> None:
    # A gateway that was held up answered 408 to what had been there for long.
    client = turns.client()
    client.socket.sendall(b"GET /health/live HTTP/1.1\r\n")
    turns.turn()
    client.socket.sendall(b"Host: a\r\n\r\n")
    turns.later(FIRST_MS)
    turns.until(client)
    assert client.answer()[0] == 200


def test_a_drain_that_comes_while_an_answer_is_written_ends_its_connection(turns: Turns) -> None:
    # It stayed open for 2 s more, and so did the gateway.
    client = Slow(turns.port)
    client.send("GET", "/look")
    hold_up(turns)
    turns.gateway.drain()
    assert turns.rest(client).endswith(bytes(150_000)) and not turns.links


@pytest.mark.parametrize("path", ["/health/live", "/nothing", "/pay", "/look"])
def test_whoever_asks_for_a_close_gets_it_with_whatever_answer(turns: Turns, path: str) -> None:
    # A health check that waited for the end of the connection waited until it had stood idle for long.
    client = turns.client()
    client.send("GET", path, Connection="close", X_Remaining="0m")
    assert b"connection: close" in turns.rest(client)


def test_a_body_behind_the_answer_to_head_is_no_part_of_the_next_answer(turns: Turns) -> None:
    client = turns.client()
    client.send("HEAD", "/health/live")
    assert b"connection: close" in turns.rest(client)


def test_a_client_that_reads_slowly_has_its_whole_time_for_the_answer(turns: Turns) -> None:
    # Bytes of it that the kernel had not taken within 2.1 s were thrown away, and the connection reset.
    client = Slow(turns.port)
    client.send("GET", "/look", Connection="close", X_Remaining="4000m")
    hold_up(turns)
    turns.later(3900.0)
    assert turns.rest(client).endswith(bytes(150_000))


@pytest.mark.parametrize("past_ms", [IDLE_MS, 4000.0 + LATE_MS])
def test_a_client_that_reads_nothing_is_done_with(turns: Turns, past_ms: float) -> None:
    client = Slow(turns.port)
    client.send("GET", "/look", X_Remaining="4000m" if past_ms > IDLE_MS else "10m")
    hold_up(turns)
    turns.later(past_ms)
    assert not turns.links


def test_nobody_is_charged_for_a_stranger() -> None:
    # Who named no tenant, or one that the settings don't name, was taken for the first of them.
    turns = Turns(tenants=[{"name": name, "share": 0.5, "quota-rps": 9.0} for name in ("a", "a-1")])
    for n, line in enumerate([b"X-Org: a", b"X-Org: a-1", b"X-Org: a-", b"X-Org: ", b"X-Other: a"]):
        client = turns.client()
        client.socket.sendall(b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\n%b\r\n\r\n" % (n, line))
        while turns.decisions.count(Request) == n:
            turns.turn()
    turns.close()
    assert [e.tenant for e in turns.decisions.told if isinstance(e, Request)] == [0, 1, 2, 2, 2]


class Sends(Decisions):
    """Sends every request to one instance and calls nothing off, as where no settings allow it."""

    def __init__(self, server: int) -> None:
        super().__init__()
        self.server = server

    def handle(self, now: float, event: Any) -> list[Any]:
        super().handle(now, event)
        return [Send(event.request, self.server)] if isinstance(event, Request) else []


def test_a_connection_that_comes_up_once_the_client_has_gone_carries_nothing() -> None:
    bench = Bench(None)
    bench.gateway.balancer = decisions = Sends(next(iter(bench.gateway.instances.pools)))
    bench.ask("r1")
    bench.ask("r2").lose()
    (opening,) = [o for o in bench.reactor.openings if o.address in INSTANCES]
    up = opening.accept()
    assert not up.sent and not up.up
    (outcome,) = [e for e in decisions.told if isinstance(e, Outcome)]
    assert outcome.result is Result.NOT_SENT and not bench.gateway.requests.still_out
