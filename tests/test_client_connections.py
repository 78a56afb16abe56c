"""Client connections on real sockets, with a reactor run turn by turn so that races are reproducible."""

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
    """A policy that records its events and returns no actions."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        return []

    def count(self, kind: type) -> int:
        return sum(isinstance(event, kind) for event in self.events)


def has_input(client: Client) -> bool:
    """Return whether input or end of file is pending; select() can't handle descriptors above 1,023."""
    poll = select.poll()
    poll.register(client.socket, select.POLLIN)
    return bool(poll.poll(0))


def disconnect(client: Client) -> None:
    client.reader.close()
    client.socket.close()


class ReactorHarness:
    """A gateway on real sockets, whose reactor is run one turn at a time by the test."""

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
        self.reactor._poller.close()  # otherwise it stays open until the process ends

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
        """Return everything that a client receives until its connection ends."""
        received = b""
        while True:
            self.run_until_input(client)
            if not (data := client.socket.recv(100_000)):
                return received
            received += data

    def advance(self, ms: float) -> None:
        """Advance the clock and run due deadlines, which the gateway also does before new input."""
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
        """Run reactor turns until a client has input or its connection has ended."""
        for _ in range(100_000):
            if has_input(client):
                return
            self.run_turns()
        raise AssertionError("the client received nothing in 100,000 reactor turns")


@pytest.fixture
def harness() -> Iterator[ReactorHarness]:
    harness = ReactorHarness()
    yield harness
    harness.close()


def test_request_read_at_the_idle_timeout_is_accepted(harness: ReactorHarness) -> None:
    # Due deadlines run before input that was just read. The idle timeout closed the connection, because the
    # kernel had no unread input: the request had already been read from it.
    client = harness.client()
    assert harness.request(client) == 200
    harness.clock_offset_ms += IDLE_TIMEOUT_MS + 1.0  # the timeout is due, but the reactor has not run it yet
    client.send("GET", "/look")
    harness.run_turns()
    assert harness.policy.count(Request) == 1
    assert harness.connections[0].request is not None


def test_idle_connection_closes_in_the_same_turn(harness: ReactorHarness) -> None:
    # The connection was closed in the next reactor turn. A request that arrived before was read and lost.
    client = harness.client()
    assert harness.request(client) == 200
    harness.gateway.drain()
    assert has_input(client)
    assert client.read_response()[0] == 0


def test_backlog_is_answered_when_listening_stops(harness: ReactorHarness) -> None:
    # Closing the listening socket reset all connections in the backlog: the kernel had established them and
    # received their requests, but the gateway had not accepted them yet.
    harness.gateway.drain()
    waiting = [Client(harness.port) for _ in range(60)]  # more than the table has slots
    for client in waiting:
        client.send("GET", "/health/live")
    harness.advance(DRAIN_ACCEPT_MS)
    for client in waiting:
        harness.run_until_input(client)
        assert client.read_response()[0] == 200
        disconnect(client)
    with pytest.raises(ConnectionRefusedError):
        Client(harness.port)
    harness.run_turns(3)
    assert harness.gateway.stopping


def test_draining_gateway_answers_new_connections(harness: ReactorHarness) -> None:
    # A connection accepted while draining was closed without a response, which clients count as a refusal.
    client, unused = harness.client(), harness.client()
    harness.gateway.drain()
    assert harness.request(client) == 200
    harness.advance(DRAIN_ACCEPT_MS)
    harness.advance(EVICTABLE_UNUSED_MS)
    assert unused.read_response()[0] == 0


def test_turn_accepts_no_more_connections_than_free_slots(harness: ReactorHarness) -> None:
    # Twisted's port raises its limit by 20 connections after a turn that reached the limit. The table did not
    # have enough slots for them, and some connections were reset.
    partial = [harness.client() for _ in range(28)] + [Client(harness.port) for _ in range(9)]
    harness.run_turns(2)
    waiting = [Client(harness.port) for _ in range(60)]
    for client in partial:
        client.socket.sendall(b"GET /look HTTP/1.1\r\n")
    for client in waiting:
        client.send("GET", "/health/live")
    for client in waiting:
        harness.run_until_input(client)
        assert client.read_response()[0] == 200
        disconnect(client)
    assert not harness.gateway.counters["in.rejected_connections"]
    assert harness.gateway.counters["in.pauses"]


class SlowReader(Client):
    """A client with a small receive buffer, so that it accepts little of a response that it doesn't read."""

    def __init__(self, port: int) -> None:
        super().__init__(port)
        disconnect(self)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.connect(("127.0.0.1", port))
        self.reader = self.socket.makefile("rb")


def respond_slowly(harness: ReactorHarness) -> None:
    """Respond to the only request; the kernel accepts only a part of the response."""
    while not harness.policy.count(Request):
        harness.run_turns()
    (connection,) = harness.connections
    connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    assert connection.request is not None
    harness.gateway.requests.respond(connection.request, 200, {}, bytes(150_000))
    assert len(connection.output_buffer)


@pytest.mark.parametrize("out_of_slots", [False, True])
def test_slow_client_receives_its_last_response_completely(
    harness: ReactorHarness, out_of_slots: bool
) -> None:
    # A lingering connection was reset after 1 s, or immediately if slots were needed. The part of its last
    # response that the kernel had not sent yet was lost.
    client = SlowReader(harness.port)
    client.send("GET", "/look", Connection="close")
    while not harness.policy.count(Request):
        harness.run_turns()
    request = next(link.request for link in harness.connections if link.request)
    harness.gateway.requests.respond(request, 200, {}, bytes(60_000))
    if out_of_slots:
        harness.gateway.clients.spare_slots = harness.gateway.clients.connections.size
        harness.gateway.clients._evict_idle()
    else:
        harness.advance(LINGER_TIMEOUT_MS)
    harness.run_turns(2)
    assert not harness.connections
    assert client.read_response()[::2] == (200, bytes(60_000))


PIPELINED_REQUEST = b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: 2\r\n\r\n"


@pytest.mark.parametrize(
    "pipelined", [b"", PIPELINED_REQUEST, PIPELINED_REQUEST * 5000], ids=["none", "one request", "200 kB"]
)
@pytest.mark.parametrize("shutdown_mode", [socket.SHUT_RDWR, socket.SHUT_WR], ids=["closed", "half-closed"])
def test_client_disconnect_is_noticed_despite_pipelined_input(
    harness: ReactorHarness, pipelined: bytes, shutdown_mode: int
) -> None:
    # The gateway stopped reading from a client that had pipelined requests, so it did not notice that the
    # client had disconnected. All of its requests were still sent to instances.
    client = harness.client()
    client.send("GET", "/look")
    client.socket.sendall(pipelined)
    while not harness.policy.count(Request):
        harness.run_turns()
    client.socket.shutdown(shutdown_mode)
    harness.run_turns(20)
    assert not harness.connections
    assert harness.policy.count(Request) == harness.policy.count(ClientDisconnected) == 1


def test_flood_on_one_connection_does_not_starve_others(harness: ReactorHarness) -> None:
    # One turn processed all requests of a read, up to 1,700 in 64 kB, while all other clients waited.
    client, request_count = harness.client(), 1000
    client.socket.sendall(b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n" * request_count)
    counters = harness.gateway.counters
    while not counters["in.unknown_path"]:
        harness.run_turns()
    assert counters["in.unknown_path"] == MAX_REQUESTS_PER_TURN
    while counters["in.unknown_path"] < request_count:
        harness.run_turns()
    assert harness.request(harness.client()) == 200


@pytest.mark.parametrize(
    "request_",
    [b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", PIPELINED_REQUEST],
    ids=["immediate response", "waiting for an instance"],
)
def test_endless_flood_is_disconnected(harness: ReactorHarness, request_: bytes) -> None:
    client = harness.client()
    client.socket.setblocking(False)
    with pytest.raises(OSError, match=r"reset|Broken"):
        for _ in range(10_000):
            with contextlib.suppress(BlockingIOError):
                client.socket.send(request_ * 1000)
            harness.advance(1.0)
            harness.run_turns()
    assert harness.policy.count(Request) <= 2 * MAX_REQUESTS_PER_TURN
    assert harness.request(harness.client()) == 200


def test_request_with_unread_remainder_is_in_time(harness: ReactorHarness) -> None:
    # A delayed gateway responded with 408 to a request whose last bytes were still unread in the kernel.
    client = harness.client()
    client.socket.sendall(b"GET /health/live HTTP/1.1\r\n")
    harness.run_turns()
    client.socket.sendall(b"Host: a\r\n\r\n")
    harness.advance(FIRST_REQUEST_TIMEOUT_MS)
    harness.run_until_input(client)
    assert client.read_response()[0] == 200


def test_drain_during_a_response_closes_its_connection(harness: ReactorHarness) -> None:
    # A connection whose response was being written when draining started stayed open for another 2 s, which
    # delayed the end of the gateway.
    client = SlowReader(harness.port)
    client.send("GET", "/look")
    respond_slowly(harness)
    harness.gateway.drain()
    assert harness.read_to_end(client).endswith(bytes(150_000))
    assert not harness.connections


@pytest.mark.parametrize("path", ["/health/live", "/nothing", "/pay", "/look"])
def test_requested_close_follows_every_response(harness: ReactorHarness, path: str) -> None:
    # Some responses ignored the client's `connection: close`. A health check that waits for the end of the
    # connection was delayed until the idle timeout.
    client = harness.client()
    client.send("GET", path, Connection="close", X_Remaining="0m")
    assert b"connection: close" in harness.read_to_end(client)


def test_response_to_head_closes_the_connection(harness: ReactorHarness) -> None:
    client = harness.client()
    client.send("HEAD", "/health/live")
    assert b"connection: close" in harness.read_to_end(client)


def test_slow_reader_may_use_its_whole_deadline(harness: ReactorHarness) -> None:
    # If the kernel had not accepted the whole response within 2.1 s, the rest was dropped by a reset.
    client = SlowReader(harness.port)
    client.send("GET", "/look", Connection="close", X_Remaining="4000m")
    respond_slowly(harness)
    harness.advance(3900.0)
    assert harness.read_to_end(client).endswith(bytes(150_000))


@pytest.mark.parametrize(
    "past_ms", [IDLE_TIMEOUT_MS, 4000.0 + SLOW_READER_GRACE_MS], ids=["short deadline", "long deadline"]
)
def test_client_that_reads_nothing_times_out(harness: ReactorHarness, past_ms: float) -> None:
    client = SlowReader(harness.port)
    client.send("GET", "/look", X_Remaining="4000m" if past_ms > IDLE_TIMEOUT_MS else "10m")
    respond_slowly(harness)
    harness.advance(past_ms)
    assert not harness.connections


def test_unknown_tenants_are_charged_to_no_tenant() -> None:
    # A request without a tenant, or with a tenant not in the settings, was charged to the first tenant.
    harness = ReactorHarness(
        tenants=[{"name": name, "share": 0.5, "quota-rps": 9.0} for name in ("a", "a-1")]
    )
    for n, line in enumerate([b"X-Org: a", b"X-Org: a-1", b"X-Org: a-", b"X-Org: ", b"X-Other: a"]):
        client = harness.client()
        client.socket.sendall(b"GET /look HTTP/1.1\r\nHost: a\r\nX-Txn: %d\r\n%b\r\n\r\n" % (n, line))
        while harness.policy.count(Request) == n:
            harness.run_turns()
    harness.close()
    assert [e.tenant for e in harness.policy.events if isinstance(e, Request)] == [0, 1, 2, 2, 2]


class SendingPolicy(RecordingPolicy):
    """A policy that sends every request to one instance and never cancels an attempt."""

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
