"""Connections to instances, at moments that cut a turn of the gateway in two: bytes that come between a look
and what follows it. The gateway's own objects, on the checker's reactor, whose time moves when told to."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from meadowpulley.check.connection.scenes import CLASSES
from meadowpulley.interface import Effect, Outcome, Probe, ProbeResult, RequestClass, Result
from meadowpulley.net import names
from meadowpulley.net.http1 import answer_bytes
from meadowpulley.net.instance_link import PART_MS, REST_MS
from tests.test_net_hooks import Bench

FIRST = answer_bytes(200, {}, b"r1")


def request(name: str, body: bytes = b"") -> bytes:
    """One that its client waits 0.9 s for."""
    head = f"host: app.svc\r\n{names.ID}: {name}\r\n{names.REMAINING}: 900m\r\n"
    size = f"content-length: {len(body)}\r\n" if body else ""
    start = "POST /order" if body == b"order" else "POST /pay" if body else "GET /look"
    return f"{start} HTTP/1.1\r\n{head}{size}\r\n".encode() + body


def ask(bench: Bench, name: str, body: bytes = b"") -> Any:
    wire = bench.reactor.join(bench.reactor.ports[0].factory.buildProtocol(None), None)
    wire.arrive(request(name, body))
    return wire


ORDER = RequestClass("order", 200.0, 400.0, Effect.IDEMPOTENT_WITH_KEY, deduplication_window_ms=100.0)


def up(bench: Bench) -> Any:
    """The connection in the making comes up."""
    (opening,) = bench.world._openings()
    return opening.accept()


def late(bench: Bench, ms: float) -> None:
    """The gateway stands still: time goes on, and nothing that is due runs before the next input."""
    bench.reactor.now += ms


# Input that is out of the kernel while what was due before it runs


def test_a_connection_whose_second_answer_is_just_being_read_is_not_taken() -> None:
    bench = Bench(None)
    ask(bench, "r1")
    bench.answer(b"r1")
    clients = []
    bench.gateway.deadlines.after(100.0, lambda: clients.append(ask(bench, "r2")))
    late(bench, 101.0)
    bench.instance.arrive(FIRST)  # run before it: the deadline, and with it the next request
    assert bench.gateway.counters["up.found_closed"] == 1 and b"r2" not in bench.instance.sent
    assert not clients[0].sent


def test_the_rest_of_an_answer_that_is_just_being_read_is_in_time() -> None:
    bench = Bench(None)
    client = ask(bench, "r1")
    bench.instance.arrive(FIRST[:-1])
    late(bench, 550.0)
    bench.instance.arrive(FIRST[-1:])
    assert client.sent.endswith(b"r1") and b" 200 " in client.sent


def test_a_request_that_is_just_being_read_keeps_its_connection() -> None:
    bench = Bench(None)
    client = ask(bench, "r1")
    bench.answer(b"r1")
    late(bench, 2101.0)
    client.arrive(request("r2"))
    bench.answer(b"r2")
    assert client.sent.count(b" 200 ") == 2 and client.sent.endswith(b"r2")


def test_a_reset_that_a_look_has_found_is_no_end_of_an_answer() -> None:
    bench = Bench(None)
    client = ask(bench, "r1")
    bench.instance.arrive(b"HTTP/1.1 200 OK\r\n\r\npart")

    class Reset:
        """A socket whose error is told once, as the kernel does; after that it only reads as ended."""

        def recv(self, size: int, flags: int) -> bytes:
            bench.instance.ended = True
            raise ConnectionResetError

    bench.instance.getHandle = Reset
    late(bench, 550.0)
    bench.reactor.run_due()  # the limit of an answer's rest finds the reset before the reactor does
    bench.instance.read()
    assert not bench.instance.up and b" 200 " not in client.sent


def test_a_1xx_in_two_pieces_sets_no_limit_to_the_answer_behind_it() -> None:
    bench = Bench(None)
    client = ask(bench, "r1")
    for piece in (b"HTTP/1.1 103 Early", b" Hints\r\n\r\n"):
        bench.instance.arrive(piece)
    bench.wait(PART_MS + 1.0)
    bench.answer(b"r1")
    assert client.sent.endswith(b"r1") and b" 200 " in client.sent


def test_an_answer_in_drops_is_cut_short_once_its_time_is_over() -> None:
    bench = Bench(None)
    client = ask(bench, "r1", b"money")
    for n in range(3):  # each drop well within the time
        bench.instance.arrive(FIRST[n : n + 1])
        bench.wait(0.8 * PART_MS)
    assert not bench.instance.up and b" 502 " in client.sent


# Answers to a request that the kernel has not taken whole


@pytest.mark.parametrize("raw", [answer_bytes(200, {}, b"r0"), answer_bytes(500, {}), b"\x00noise\r\n\r\n"])
def test_what_comes_before_a_request_is_written_is_not_its_answer(raw: bytes) -> None:
    bench = Bench(None)
    bench.instance.jammed = True
    client = ask(bench, "r1", b"money")
    bench.instance.arrive(raw)  # a second answer to the request before, say
    assert not client.sent and not bench.instance.up and not bench.instance.sent
    again = up(bench)  # it never ran, so that it may go once more
    assert again.sent.endswith(b"money")
    again.arrive(FIRST)
    assert b" 200 " in client.sent and client.sent.endswith(b"r1")


# A server that comes back with another build, at the same address, or that drains


def replaced(bench: Bench) -> None:
    ((server, pool),) = bench.gateway.instances.pools.items()
    bench.gateway.instances.place(server, pool.address, (42, 5.0))


def drains(bench: Bench) -> None:
    bench.gateway.instances.close_idle(next(iter(bench.gateway.instances.pools)))


@pytest.mark.parametrize("told", [replaced, drains])
def test_a_connection_that_comes_up_after_its_server_went_carries_nothing(told: Any) -> None:
    bench = Bench(None)
    ask(bench, "r1")
    client = ask(bench, "r2")  # the one connection is in use: its own is opened
    told(bench)
    late_one = up(bench)
    assert not late_one.up and not late_one.sent and not client.sent
    again = up(bench)  # that attempt never ran: the decisions choose anew
    assert b"r2" in again.sent


@pytest.mark.parametrize("told", [replaced, drains])
def test_a_connection_whose_server_goes_under_its_request_is_closed_with_the_answer(told: Any) -> None:
    bench = Bench(None)
    client = ask(bench, "r1")
    told(bench)
    bench.answer(b"r1")
    assert b" 200 " in client.sent and not bench.instance.up and bench.gateway.instances.sockets == 0


# Connections that fail before whoever asked for them has heard of them


@pytest.mark.parametrize("how", ["told", "raised"])
def test_a_connection_that_fails_as_it_is_asked_for_ends_its_attempt_at_once(how: str) -> None:
    bench = Bench(None)
    (server,) = bench.gateway.instances.pools
    bench.gateway.instances.close_idle(server)

    def connect(host: str, port: int, factory: Any, timeout: Any = None) -> None:
        if how == "raised":
            raise OSError("out of ports")
        factory.clientConnectionFailed(None, Failure(ConnectError()))  # type: ignore[no-untyped-call]

    bench.reactor.connectTCP = connect
    assert b" 503 " in ask(bench, "r1", b"money").sent
    bench.gateway.attempts.probe(Probe(server))
    ends = [e for e in bench.told.events if isinstance(e, Outcome | ProbeResult)]
    assert len(ends) > 1 and isinstance(ends[-1], ProbeResult)
    assert {e.result for e in ends} == {Result.CONNECT_FAILED}
    assert bench.gateway.instances.sockets == 0 and not len(bench.gateway.requests.table)
    faults = [e.partition(":")[0] for e in bench.world.log.errors]
    assert faults == (["send"] * (len(ends) - 1) + ["probe"] if how == "raised" else [])


# A second answer that comes late, on a connection that has answered


@pytest.mark.parametrize("then", ["nothing", "again", "noise", "end", "replaced", "gone", "gone, again"])
def test_a_connection_rests_after_its_answer_and_carries_nothing_if_anything_comes(then: str) -> None:
    bench = Bench(None)
    ask(bench, "r1")
    bench.answer(b"r1")
    client = ask(bench, "r2")
    assert b"r2" not in bench.instance.sent and bench.gateway.instances.sockets == 1  # it waits for this one
    bench.wait(REST_MS - 1.0)
    if then.startswith("gone"):
        client.lose()
    if then == "replaced":
        replaced(bench)
    if then == "end":
        bench.instance.lose()
    bench.instance.arrive(FIRST if "again" in then else b"\x00" if then == "noise" else b"")
    bench.wait(2.0)
    kept = then in ("nothing", "gone")
    assert bench.instance.up is kept and (b"r2" in bench.instance.sent) is (then == "nothing")
    if then.startswith("gone"):
        assert bench.gateway.instances.sockets == kept and not len(bench.gateway.requests.table)
        return
    (bench.instance if kept else up(bench)).arrive(answer_bytes(200, {}, b"r2"))
    assert client.sent.count(b" 200 ") == 1 and client.sent.endswith(b"r2")


def test_what_has_rested_is_taken_first_and_the_newest_of_it() -> None:
    bench = Bench(None)
    clients = [ask(bench, "r1"), ask(bench, "r2")]
    wires = [bench.instance, up(bench)]
    wires[1].arrive(answer_bytes(200, {}, b"r2"))
    bench.wait(REST_MS)
    bench.answer(b"r1")  # the newest, and it rests
    ask(bench, "r3")
    assert [b"r3" in w.sent for w in wires] == [False, True] and all(b" 200 " in c.sent for c in clients)


# Further attempts of a keyed request against the window in which what it repeats is known


@pytest.mark.parametrize("how", ["in time", "up late", "up late, and nobody looked", "written late"])
def test_a_further_attempt_that_is_not_written_within_the_window_never_is(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("meadowpulley.check.connection.state.CLASSES", (*CLASSES, ORDER))
    bench = Bench(None)
    ask(bench, "r1")
    ask(bench, "r2")
    spare, tick = up(bench), bench.gateway.config.settings.tick_ms
    spare.arrive(answer_bytes(200, {}, b"r2"))
    bench.answer(b"r1")
    bench.wait(REST_MS)
    if how != "written late":
        spare.lose()
    spare.jammed = True
    client = ask(bench, "r3", b"order")
    assert bench.instance.sent.endswith(b"order")
    bench.wait(60.0)
    bench.instance.lose()  # it may have run, and is sent again: 40 ms of the window are left
    if how == "up late, and nobody looked":
        late(bench, 41.0 - tick)
    else:
        bench.wait(39.0 - tick if how == "in time" else 41.0 - tick)
    if how == "written late":
        spare.flow()
    openings = bench.world._openings()
    second = spare if how == "written late" else up(bench) if openings else None
    assert (second is not None and second.sent.endswith(b"order")) is (how == "in time")
    assert bool(client.sent) is (how != "in time")  # and not left waiting
