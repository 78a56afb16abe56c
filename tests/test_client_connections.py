"""Client connections on real sockets, with single reactor turns, so that races are reproducible."""

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

from meadowpulley.interface import ClientDisconnected, Outcome, Request, Result, Send
from meadowpulley.model_checking.connection_model.configurations import INSTANCES
from meadowpulley.net.client_connection import (
    FIRST_REQUEST_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    LINGER_TIMEOUT_MS,
    MAX_REQUESTS_PER_TURN,
    SLOW_READER_GRACE_MS,
    ClientConnection,
)
from meadowpulley.net.client_listener import EVICTABLE_UNUSED_MS
from meadowpulley.net.config import Config
from meadowpulley.net.deadlines import now_ms
from meadowpulley.net.gateway import DRAIN_ACCEPT_MS, Gateway
from meadowpulley.net.reactor import MonotonicReactor
from meadowpulley.settings import read_settings
from tests.standins import SETTINGS, Client, free_port
from tests.test_net_extension import GatewayBench


class RecordingPolicy:
    """A policy that records its events and sends no attempt."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        return []

    def count(self, kind: type) -> int:
        return sum(isinstance(event, kind) for event in self.events)


def has_input(client: Client) -> bool:
    """Whether input has arrived, or the end. Uses poll(): select() ends at descriptor 1,023."""
    poll = select.poll()
    poll.register(client.socket, select.POLLIN)
    return bool(poll.poll(0))


def disconnect(client: Client) -> None:
    client.reader.close()
    client.socket.close()


class ReactorHarness:
    """A gateway on real sockets whose reactor runs one turn at a time."""

    def __init__(self, sockets: int = 128, **overrides: Any) -> None:
        self.reactor: Any = MonotonicReactor()
        self.clock_offset_ms, self.port = 0.0, free_port()
        address = ("127.0.0.1", self.port)
        settings = read_settings({**SETTINGS, **overrides}, "test")
        config = Config("n0", address, address, None, 1, sockets, settings)
        self.policy = RecordingPolicy()
        log = CapturingLogger()

        def create_policy(*_: object) -> Any:
            return self.policy

        self.gateway = Gateway(
            config, self.reactor, log, create_policy, clock=lambda: now_ms() + self.clock_offset_ms
        )
        self.gateway.listen()

    def close(self) -> None:
        for selectable in self.reactor.removeAll():
            selectable.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
        self.reactor.waker.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]
        self.reactor._poller.close()  # what a reactor holds until its process ends

    def run_turns(self, times: int = 1) -> None:
        for _ in range(times):
            self.reactor.iterate(0)

    def client(self) -> Client:
        client = Client(self.port)
        while not any(
            link.transport.getPeer().port == client.socket.getsockname()[1] for link in self.connections
        ):
            self.run_turns()
        return client

    def read_to_end(self, client: Client) -> bytes:
        """All that still comes to a client, up to the end of its connection."""
        received = b""
        while True:
            self.run_until_input(client)
            if not (data := client.socket.recv(100_000)):
                return received
            received += data

    def advance(self, ms: float) -> None:
        """What is due by then runs, as it does ahead of new input."""
        self.clock_offset_ms += ms
        self.gateway.deadlines.run_due()

    @property
    def connections(self) -> list[ClientConnection]:
        return list(self.gateway.clients.connections)

    def request(self, client: Client, path: str = "/health/live") -> int:
        client.send("GET", path)
        self.run_until_input(client)
        return client.read_response()[0]

    def run_until_input(self, client: Client) -> None:
        """Turns until something has come to a client, or its connection has ended."""
        for _ in range(100_000):
            if has_input(client):
                return
            self.run_turns()
        raise AssertionError("nothing came")


@pytest.fixture
def turns() -> Iterator[ReactorHarness]:
    turns = ReactorHarness()
    yield turns
    turns.close()


def test_request_read_at_the_idle_timeout_is_accepted(turns: ReactorHarness) -> None:
    # Due deadlines run before input that was just read. The idle time-out found nothing unread in the kernel,
    # since the request had been taken from it, and closed the connection.
    client = turns.client()
    assert turns.request(client) == 200
    turns.clock_offset_ms += IDLE_TIMEOUT_MS + 1.0  # due, and the reactor's own call for it comes only later
    client.send("GET", "/look")
    turns.run_turns()
    assert turns.policy.count(Request) == 1
    assert turns.connections[0].request is not None


def test_idle_connection_closes_in_the_same_turn(turns: ReactorHarness) -> None:
    # The connection was closed in the reactor's next turn. A request that came in between was read and lost.
    client = turns.client()
    assert turns.request(client) == 200
    turns.gateway.drain()
    assert has_input(client)
    assert client.read_response()[0] == 0


def test_backlog_is_answered_when_listening_stops(turns: ReactorHarness) -> None:
    # The kernel had completed connections that the gateway had not accepted yet, and their requests had come.
    # Closing the listening socket reset them all.
    turns.gateway.drain()
    waiting = [Client(turns.port) for _ in range(60)]  # more than there are places
    for client in waiting:
        client.send("GET", "/health/live")
    turns.advance(DRAIN_ACCEPT_MS)
    for client in waiting:
        turns.run_until_input(client)
        assert client.read_response()[0] == 200
        disconnect(client)
    with pytest.raises(ConnectionRefusedError):
        Client(turns.port)
    turns.run_turns(3)
    assert turns.gateway.stopping


def test_draining_gateway_answers_new_connections(turns: ReactorHarness) -> None:
    # A connection accepted while draining was closed without a response, which the client counts as refused.
    client, unused = turns.client(), turns.client()
    turns.gateway.drain()
    assert turns.request(client) == 200
    turns.advance(DRAIN_ACCEPT_MS)
    turns.advance(EVICTABLE_UNUSED_MS)
    assert unused.read_response()[0] == 0


def test_turn_accepts_no_more_connections_than_free_slots(turns: ReactorHarness) -> None:
    # After a turn that accepted as many connections as it was allowed, Twisted's port accepts twenty more in
    # the next. There were not enough slots, and some connections were reset.
    half = [turns.client() for _ in range(28)] + [Client(turns.port) for _ in range(9)]
    turns.run_turns(2)
    waiting = [Client(turns.port) for _ in range(60)]
    for client in half:
        client.socket.sendall(b"GET /look HTTP/1.1\r\n")
    for client in waiting:
        client.send("GET", "/health/live")
    for client in waiting:
        turns.run_until_input(client)
        assert client.read_response()[0] == 200
        disconnect(client)
    assert not turns.gateway.counters["in.rejected_connections"]
    assert turns.gateway.counters["in.pauses"]


class SlowReader(Client):
    """Its kernel takes little ahead of what it reads."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        disconnect(self)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect(("127.0.0.1", port))
        self.reader = self.socket.makefile("rb")


def respond_slowly(turns: ReactorHarness) -> None:
    """The one request is answered, and the kernel takes only a part of it."""
    while not turns.policy.count(Request):
        turns.run_turns()
    (connection,) = turns.connections
    connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    assert connection.request is not None
    turns.gateway.requests.respond(connection.request, 200, {}, bytes(150_000))
    assert len(connection.output_buffer)


@pytest.mark.parametrize("out_of_slots", [False, True])
def test_slow_client_receives_its_last_response_completely(turns: ReactorHarness, out_of_slots: bool) -> None:
    # A lingering connection was reset after a second, or at once to make room. What the kernel still held of
    # its last response was lost.
    client = SlowReader(turns.port)
    client.send("GET", "/look", Connection="close")
    while not turns.policy.count(Request):
        turns.run_turns()
    request = next(link.request for link in turns.connections if link.request)
    turns.gateway.requests.respond(request, 200, {}, bytes(60_000))
    if out_of_slots:
        turns.gateway.clients.spare_slots = turns.gateway.clients.connections.size
        turns.gateway.clients._evict_idle()
    else:
        turns.advance(LINGER_TIMEOUT_MS)
    turns.run_turns(2)
    assert not turns.connections
    assert client.read_response()[::2] == (200, bytes(60_000))


PIPELINED_REQUEST = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 2\r\n\r\n"


@pytest.mark.parametrize(
    "pipelined", [b"", PIPELINED_REQUEST, PIPELINED_REQUEST * 5000], ids=["alone", "one", "200 kB"]
)
@pytest.mark.parametrize("shutdown_mode", [socket.SHUT_RDWR, socket.SHUT_WR], ids=["closed", "half-closed"])
def test_client_disconnect_is_noticed_despite_pipelined_input(
    turns: ReactorHarness, pipelined: bytes, shutdown_mode: int
) -> None:
    # The gateway stopped reading from a client that had sent requests ahead, and so never learned that the
    # client had left. All of its requests were still sent to instances.
    client = turns.client()
    client.send("GET", "/look")
    client.socket.sendall(pipelined)
    while not turns.policy.count(Request):
        turns.run_turns()
    client.socket.shutdown(shutdown_mode)
    turns.run_turns(20)
    assert not turns.connections
    assert turns.policy.count(Request) == turns.policy.count(ClientDisconnected) == 1


def test_flood_on_one_connection_does_not_starve_others(turns: ReactorHarness) -> None:
    # All requests in a read were handled in one turn, up to 1,700 in 64 kB, while every other client waited.
    client, request_count = turns.client(), 1000
    client.socket.sendall(b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n" * request_count)
    counters = turns.gateway.counters
    while not counters["in.unknown_path"]:
        turns.run_turns()
    assert counters["in.unknown_path"] == MAX_REQUESTS_PER_TURN
    while counters["in.unknown_path"] < request_count:
        turns.run_turns()
    assert turns.request(turns.client()) == 200


@pytest.mark.parametrize(
    "request_",
    [b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", PIPELINED_REQUEST],
    ids=["answered at once", "waiting for an instance"],
)
def test_endless_flood_is_disconnected(turns: ReactorHarness, request_: bytes) -> None:
    client = turns.client()
    client.socket.setblocking(False)
    with pytest.raises(OSError, match=r"reset|Broken"):
        for _ in range(10_000):
            with contextlib.suppress(BlockingIOError):
                client.socket.send(request_ * 1000)
            turns.advance(1.0)
            turns.run_turns()
    assert turns.policy.count(Request) <= 2 * MAX_REQUESTS_PER_TURN
    assert turns.request(turns.client()) == 200


def test_request_with_unread_remainder_is_in_time(turns: ReactorHarness) -> None:
    # A gateway that was itself delayed answered 408 to a request whose last bytes were waiting in the kernel.
    client = turns.client()
    client.socket.sendall(b"GET /health/live HTTP/1.1\r\n")
    turns.run_turns()
    client.socket.sendall(b"Host: a\r\n\r\n")
    turns.advance(FIRST_REQUEST_TIMEOUT_MS)
    turns.run_until_input(client)
    assert client.read_response()[0] == 200


def test_drain_during_a_response_closes_its_connection(turns: ReactorHarness) -> None:
    # A connection whose response was being written when draining began stayed open for 2 s more, and the
    # gateway with it.
    client = SlowReader(turns.port)
    client.send("GET", "/look")
    respond_slowly(turns)
    turns.gateway.drain()
    assert turns.read_to_end(client).endswith(bytes(150_000))
    assert not turns.connections


@pytest.mark.parametrize("path", ["/health/live", "/nothing", "/pay", "/look"])
def test_requested_close_follows_every_response(turns: ReactorHarness, path: str) -> None:
    # Some responses ignored the client's `connection: close`. A health check that waits for the end of the
    # connection waited for the idle time-out.
    client = turns.client()
    client.send("GET", path, Connection="close", X_Remaining="0m")
    assert b"connection: close" in turns.read_to_end(client)


def test_response_to_head_closes_the_connection(turns: ReactorHarness) -> None:
    client = turns.client()
    client.send("HEAD", "/health/live")
    assert b"connection: close" in turns.read_to_end(client)


def test_slow_reader_may_use_its_whole_deadline(turns: ReactorHarness) -> None:
    # The rest of a response that the kernel had not taken within 2.1 s was dropped and the connection reset.
    client = SlowReader(turns.port)
    client.send("GET", "/look", Connection="close", X_Remaining="4000m")
    respond_slowly(turns)
    turns.advance(3900.0)
    assert turns.read_to_end(client).endswith(bytes(150_000))


@pytest.mark.parametrize(
    "past_ms", [IDLE_TIMEOUT_MS, 4000.0 + SLOW_READER_GRACE_MS], ids=["short deadline", "long deadline"]
)
def test_client_that_reads_nothing_times_out(turns: ReactorHarness, past_ms: float) -> None:
    client = SlowReader(turns.port)
    client.send("GET", "/look", X_Remaining="4000m" if past_ms > IDLE_TIMEOUT_MS else "10m")
    respond_slowly(turns)
    turns.advance(past_ms)
    assert not turns.connections


def test_unknown_tenants_are_charged_to_no_tenant() -> None:
    # A request without a tenant, or with one that the settings don't name, was charged to the first tenant.
    turns = ReactorHarness(tenants=[{"name": name, "share": 0.5, "quota-rps": 9.0} for name in ("a", "a-1")])
    for n, line in enumerate([b"X-Org: a", b"X-Org: a-1", b"X-Org: a-", b"X-Org: ", b"X-Other: a"]):
        client = turns.client()
        client.socket.sendall(b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\n%b\r\n\r\n" % (n, line))
        while turns.policy.count(Request) == n:
            turns.run_turns()
    turns.close()
    assert [e.tenant for e in turns.policy.events if isinstance(e, Request)] == [0, 1, 2, 2, 2]


class SendingPolicy(RecordingPolicy):
    """A policy that sends every request to one instance and cancels nothing."""

    def __init__(self, server: int) -> None:
        super().__init__()
        self.server = server

    def handle(self, now: float, event: Any) -> list[Any]:
        super().handle(now, event)
        return [Send(event.request, self.server)] if isinstance(event, Request) else []


def test_instance_connection_opened_after_client_disconnect_carries_nothing() -> None:
    bench = GatewayBench(None)
    bench.gateway.pipeline = policy = SendingPolicy(next(iter(bench.gateway.instances.pools)))
    bench.request("r1")
    bench.request("r2").disconnect()
    (opening,) = [o for o in bench.reactor.pending_connections if o.address in INSTANCES]
    connection = opening.accept()
    assert not connection.received_by_peer
    assert not connection.connected
    (outcome,) = [e for e in policy.events if isinstance(e, Outcome)]
    assert outcome.result is Result.NOT_SENT
    assert not bench.gateway.requests.outstanding_ids
