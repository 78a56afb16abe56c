"""Connections to instances, with input that arrives between a check and the resulting action.

The gateway's production objects run on the model checker's reactor, whose clock the tests advance.
"""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from meadowpulley.interface import Effect, Outcome, Probe, ProbeResult, RequestClass, Result
from meadowpulley.model_checking.connection_model.configurations import CLASSES
from meadowpulley.net import protocol
from meadowpulley.net.endpoint_list import ServerIncarnation
from meadowpulley.net.http1 import response_bytes
from meadowpulley.net.instance_connection import PARTIAL_RESPONSE_TIMEOUT_MS, REUSE_DELAY_MS
from meadowpulley.policy.endpoint_lease import STALL_ALLOWANCE_MS
from tests.test_net_extension import GatewayBench

FIRST_RESPONSE = response_bytes(200, {}, b"r1")
REQUEST_LINES = {b"": "GET /look", b"order": "POST /order"}  # by body; other bodies are sent to /pay


def request_bytes(request_id: str, body: bytes = b"") -> bytes:
    """Return a request whose client waits 0.9 s for the response."""
    headers = (
        f"host: app.svc\r\n{protocol.REQUEST_ID_HEADER}: {request_id}\r\n"
        f"{protocol.REMAINING_TIME_HEADER}: 900m\r\n"
    )
    content_length = f"content-length: {len(body)}\r\n" if body else ""
    request_line = REQUEST_LINES.get(body, "POST /pay")
    return f"{request_line} HTTP/1.1\r\n{headers}{content_length}\r\n".encode() + body


def send_request(bench: GatewayBench, request_id: str, body: bytes = b"") -> Any:
    wire = bench.reactor.attach(bench.reactor.ports[0].factory.buildProtocol(None), None)
    wire.receive(request_bytes(request_id, body))
    return wire


ORDER_CLASS = RequestClass("order", 700.0, 700.0, Effect.IDEMPOTENT_WITH_KEY, deduplication_window_ms=500.0)


def connect_pending(bench: GatewayBench) -> Any:
    """Establish and return the only pending connection."""
    (opening,) = bench.world._pending_instance_connections()
    return opening.accept()


def connect_if_pending(bench: GatewayBench) -> Any:
    """Establish and return the pending connection, or return None if there is none."""
    return connect_pending(bench) if bench.world._pending_instance_connections() else None


def skip_time(bench: GatewayBench, delay_ms: float) -> None:
    """Simulate a stalled gateway: advance the clock without running due deadlines."""
    bench.reactor.now += delay_ms


# Input that was already read from the kernel while earlier deadlines run


def test_connection_with_unsolicited_input_is_not_reused() -> None:
    """A due deadline may reuse a connection whose input was read but not processed yet."""
    bench = GatewayBench(None)
    send_request(bench, "r1")
    bench.respond(b"r1")
    clients = []
    bench.gateway.deadlines.after(100.0, lambda: clients.append(send_request(bench, "r2")))
    skip_time(bench, 101.0)
    bench.instance.receive(FIRST_RESPONSE)  # first runs the due deadline, which sends the next request
    assert bench.gateway.counters["up.found_closed"] == 1
    assert b"r2" not in bench.instance.received_by_peer
    assert not clients[0].received_by_peer


def test_response_remainder_being_read_is_in_time() -> None:
    bench = GatewayBench(None)
    client = send_request(bench, "r1")
    bench.instance.receive(FIRST_RESPONSE[:-1])
    skip_time(bench, 550.0)
    bench.instance.receive(FIRST_RESPONSE[-1:])
    assert client.received_by_peer.endswith(b"r1")
    assert b" 200 " in client.received_by_peer


def test_request_being_read_keeps_its_connection() -> None:
    bench = GatewayBench(None)
    client = send_request(bench, "r1")
    bench.respond(b"r1")
    skip_time(bench, 2101.0)
    client.receive(request_bytes("r2"))
    bench.respond(b"r2")
    assert client.received_by_peer.count(b" 200 ") == 2
    assert client.received_by_peer.endswith(b"r2")


def test_reset_found_by_a_peek_does_not_end_a_response() -> None:
    bench = GatewayBench(None)
    client = send_request(bench, "r1")
    bench.instance.receive(b"HTTP/1.1 200 OK\r\n\r\npart")

    class Reset:
        """A socket that reports a reset once, as the kernel does, and then an orderly end of input."""

        def recv(self, size: int, flags: int) -> bytes:
            bench.instance.end_of_input = True
            raise ConnectionResetError

    bench.instance.getHandle = Reset
    skip_time(bench, 550.0)
    bench.reactor.run_due()  # the partial response's timeout sees the reset before the reactor does
    bench.instance.deliver()
    assert not bench.instance.connected
    assert b" 200 " not in client.received_by_peer


def test_split_interim_response_starts_no_timeout() -> None:
    bench = GatewayBench(None)
    client = send_request(bench, "r1")
    for piece in (b"HTTP/1.1 103 Early", b" Hints\r\n\r\n"):
        bench.instance.receive(piece)
    bench.wait(PARTIAL_RESPONSE_TIMEOUT_MS + 1.0)
    bench.respond(b"r1")
    assert client.received_by_peer.endswith(b"r1")
    assert b" 200 " in client.received_by_peer


def test_trickled_response_times_out() -> None:
    bench = GatewayBench(None)
    client = send_request(bench, "r1", b"money")
    for n in range(3):  # each byte arrives within the timeout
        bench.instance.receive(FIRST_RESPONSE[n : n + 1])
        bench.wait(0.8 * PARTIAL_RESPONSE_TIMEOUT_MS)
    assert not bench.instance.connected
    assert b" 502 " in client.received_by_peer


# Responses that arrive before the request is completely written


@pytest.mark.parametrize(
    "raw",
    [response_bytes(200, {}, b"r0"), response_bytes(500, {}), b"\x00noise\r\n\r\n"],
    ids=["response", "error", "noise"],
)
def test_input_before_the_request_is_written_is_not_its_response(raw: bytes) -> None:
    bench = GatewayBench(None)
    bench.instance.write_blocked = True
    client = send_request(bench, "r1", b"money")
    bench.instance.receive(raw)  # for example a duplicate response to the previous request
    assert not client.received_by_peer
    assert not bench.instance.connected
    assert not bench.instance.received_by_peer
    retry = connect_pending(bench)  # the attempt was not executed, so a retry is allowed
    assert retry.received_by_peer.endswith(b"money")
    retry.receive(FIRST_RESPONSE)
    assert b" 200 " in client.received_by_peer
    assert client.received_by_peer.endswith(b"r1")


# Servers that drain, or restart at the same address with another build


def replace_server(bench: GatewayBench) -> None:
    ((server, pool),) = bench.gateway.instances.pools.items()
    bench.gateway.instances.register(server, pool.address, ServerIncarnation(42, 5.0))


def drain_server(bench: GatewayBench) -> None:
    bench.gateway.instances.close_idle(next(iter(bench.gateway.instances.pools)))


@pytest.mark.parametrize("change_server", [replace_server, drain_server])
def test_connection_opened_after_its_server_left_carries_nothing(change_server: Any) -> None:
    """A connection may be established only after its server has drained or runs another build."""
    bench = GatewayBench(None)
    send_request(bench, "r1")
    client = send_request(bench, "r2")  # the only connection is in use, so another one is opened
    change_server(bench)
    late_connection = connect_pending(bench)
    assert not late_connection.connected
    assert not late_connection.received_by_peer
    assert not client.received_by_peer
    retry = connect_pending(bench)  # the attempt was not executed, so the policy retries it
    assert b"r2" in retry.received_by_peer


@pytest.mark.parametrize("change_server", [replace_server, drain_server])
def test_connection_of_a_removed_server_closes_after_its_response(change_server: Any) -> None:
    bench = GatewayBench(None)
    client = send_request(bench, "r1")
    change_server(bench)
    bench.respond(b"r1")
    assert b" 200 " in client.received_by_peer
    assert not bench.instance.connected
    assert bench.gateway.instances.open_sockets == 0


# Connections that fail while they are being opened


@pytest.mark.parametrize("failure", ["reported", "raised"])
def test_immediate_connect_failure_ends_its_attempt(failure: str) -> None:
    bench = GatewayBench(None)
    (server,) = bench.gateway.instances.pools
    bench.gateway.instances.close_idle(server)

    def connect(host: str, port: int, factory: Any, timeout: Any = None) -> None:
        if failure == "raised":
            raise OSError("out of ports")
        factory.clientConnectionFailed(None, Failure(ConnectError()))  # type: ignore[no-untyped-call]

    bench.reactor.connectTCP = connect
    assert b" 503 " in send_request(bench, "r1", b"money").received_by_peer
    bench.gateway.attempts.probe(Probe(server))
    outcomes = [e for e in bench.recorder.events if isinstance(e, Outcome | ProbeResult)]
    assert len(outcomes) > 1
    assert isinstance(outcomes[-1], ProbeResult)
    assert {e.result for e in outcomes} == {Result.CONNECT_FAILED}
    assert bench.gateway.instances.open_sockets == 0
    assert not len(bench.gateway.requests.slots)
    faults = [e.partition(":")[0] for e in bench.world.log.errors]
    assert faults == (["send"] * (len(outcomes) - 1) + ["probe"] if failure == "raised" else [])


# Duplicate responses that arrive late, after the connection has carried a response

LATE_INPUT = {"again": FIRST_RESPONSE, "gone, again": FIRST_RESPONSE, "noise": b"\x00"}


@pytest.mark.parametrize("happening", ["nothing", "again", "noise", "end", "replaced", "gone", "gone, again"])
def test_connection_is_reused_after_a_delay_unless_input_arrives(happening: str) -> None:
    """A duplicate response may follow, and nothing in it identifies its request.

    On a connection that was reused immediately, it was taken for the response to the next request.
    """
    bench = GatewayBench(None)
    send_request(bench, "r1")
    bench.respond(b"r1")
    client = send_request(bench, "r2")  # waits until the same connection may be reused
    assert b"r2" not in bench.instance.received_by_peer
    assert bench.gateway.instances.open_sockets == 1
    bench.wait(REUSE_DELAY_MS - 1.0)
    if happening.startswith("gone"):
        client.disconnect()
    if happening == "replaced":
        replace_server(bench)
    if happening == "end":
        bench.instance.disconnect()
    bench.instance.receive(LATE_INPUT.get(happening, b""))
    bench.wait(2.0)
    reused = happening in ("nothing", "gone")
    assert bench.instance.connected is reused
    assert (b"r2" in bench.instance.received_by_peer) is (happening == "nothing")
    if happening.startswith("gone"):
        assert bench.gateway.instances.open_sockets == reused
        assert not len(bench.gateway.requests.slots)
        return
    (bench.instance if reused else connect_pending(bench)).receive(response_bytes(200, {}, b"r2"))
    assert client.received_by_peer.count(b" 200 ") == 1
    assert client.received_by_peer.endswith(b"r2")


def test_newest_reusable_connection_is_preferred() -> None:
    bench = GatewayBench(None)
    clients = [send_request(bench, "r1"), send_request(bench, "r2")]
    wires = [bench.instance, connect_pending(bench)]
    wires[1].receive(response_bytes(200, {}, b"r2"))
    bench.wait(REUSE_DELAY_MS)
    bench.respond(b"r1")  # this connection becomes the newest, but may not be reused yet
    send_request(bench, "r3")
    assert [b"r3" in wire.received_by_peer for wire in wires] == [False, True]
    assert all(b" 200 " in client.received_by_peer for client in clients)


# Retries of a request with an idempotency key, and its deduplication window


@pytest.mark.parametrize("timing", ["in time", "connected late", "late after a stall", "written late"])
def test_retry_not_written_within_the_window_is_never_written(
    timing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A retry written after the deduplication window may execute the request a second time."""
    monkeypatch.setattr("meadowpulley.model_checking.connection_model.state.CLASSES", (*CLASSES, ORDER_CLASS))
    bench = GatewayBench(None)
    send_request(bench, "r1")
    send_request(bench, "r2")
    spare = connect_pending(bench)
    tick = bench.gateway.config.settings.tick_ms
    spare.receive(response_bytes(200, {}, b"r2"))
    bench.respond(b"r1")
    bench.wait(REUSE_DELAY_MS)
    if timing != "written late":
        spare.disconnect()
    spare.write_blocked = True
    client = send_request(bench, "r3", b"order")
    assert bench.instance.received_by_peer.endswith(b"order")
    bench.wait(ORDER_CLASS.deduplication_window_ms - STALL_ALLOWANCE_MS - 40.0)
    bench.instance.disconnect()  # it may have executed; a retry is allowed for another 40 ms
    if timing == "late after a stall":
        skip_time(bench, 41.0 - tick)
    else:
        bench.wait(39.0 - tick if timing == "in time" else 41.0 - tick)
    if timing == "written late":
        spare.unblock_writes()
    second = spare if timing == "written late" else connect_if_pending(bench)
    assert (second is not None and second.received_by_peer.endswith(b"order")) is (timing == "in time")
    assert bool(client.received_by_peer) is (timing != "in time")  # too late: the client gets an error
