"""What an extension receives and may do, tested on the model checker's simulated connections."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import pytest

from meadowpulley.interface import ClientDisconnected, Outcome, PriorAttempt, Request
from meadowpulley.model_checking.model import ModelSettings, make_model
from meadowpulley.net import protocol
from meadowpulley.net.extension import IncomingRequest, ReleaseResponse, Response
from meadowpulley.net.gateway import ActionHandlerExistsError
from meadowpulley.net.http1 import Message, response_bytes
from meadowpulley.net.request_admission import AdoptedRequest, AdoptionError


class RecordingExtension:
    """An extension that records its calls; `admits`, `continues` and `holds_responses` set its results."""

    def __init__(
        self,
        admits: Callable[[IncomingRequest], bool] = lambda _: True,
        continues: bool = False,
        holds_responses: bool = False,
    ) -> None:
        self.admits, self.continues, self.holds_responses = admits, continues, holds_responses
        self.incoming: list[IncomingRequest] = []
        self.responses: list[Response] = []
        self.releases: list[Callable[[], None]] = []
        self.disconnected: list[int] = []
        self.at_draining: Callable[[], None] = lambda: None

    def on_request(self, incoming: IncomingRequest) -> bool:
        self.incoming.append(incoming)
        return self.admits(incoming)

    def on_response(self, handle: int, response: Response, release: ReleaseResponse) -> None:
        self.responses.append(response)
        if self.holds_responses:
            self.releases.append(partial(release, response))
        else:
            release(response)

    def on_client_disconnected(self, handle: int) -> bool:
        self.disconnected.append(handle)
        return self.continues

    def on_draining(self) -> None:
        self.at_draining()


class RecordingStage:
    """A pipeline stage that records all events and returns a `CustomEvent` as an action."""

    def __init__(self, inner: Any) -> None:
        self.inner, self.events, self.repetitions = inner, list[object](), 1

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        return (
            [event] * self.repetitions
            if isinstance(event, CustomEvent)
            else list(self.inner.handle(now, event))
        )


@dataclass(frozen=True, slots=True)
class CustomEvent:
    text: str


def new_world(**more: Any) -> Any:
    return make_model(ModelSettings(model="connection", **more))


class GatewayBench:
    """A gateway with one instance and an established connection to it."""

    def __init__(self, extension: Any) -> None:
        self.world = new_world(configuration="drain", servers=1, faults=9)
        self.gateway, self.reactor = self.world.gateway, self.world.reactor
        self.gateway.extension = extension
        self.recorder = self.gateway.pipeline = RecordingStage(self.gateway.pipeline)
        self.instance = self.world.instance_connections[0].transport

    def request(self, request_id: str = "r1", target: str = "/look?n=1", body: bytes = b"") -> Any:
        """Send a complete request on a new client connection and return the connection."""
        wire = self.reactor.attach(self.reactor.ports[0].factory.buildProtocol(None), None)
        headers = (
            f"host: app.svc\r\n{protocol.REQUEST_ID_HEADER}: {request_id}\r\n"
            f"{protocol.TENANT_HEADER}: t\r\n{protocol.REMAINING_TIME_HEADER}: 400m\r\n"
        )
        content_length = f"content-length: {len(body)}\r\n" if body else ""
        wire.receive(
            f"{'POST' if body else 'GET'} {target} HTTP/1.1\r\n{headers}{content_length}\r\n".encode() + body
        )
        return wire

    def adopt(self, request_id: str, on_response: Callable[[Response], None], **options: Any) -> int:
        message = Message("GET", "/look", headers={protocol.REQUEST_ID_HEADER: request_id})
        adopted = AdoptedRequest(message, self.reactor.now + 2000.0, **options)
        return int(self.gateway.admission.adopt(adopted, on_response))

    def respond(self, body: bytes = b"r1") -> None:
        self.instance.receive(response_bytes(200, {"content-type": "text/plain"}, body))

    def wait(self, ms: float) -> None:
        self.reactor.advance(self.reactor.now + ms)

    @property
    def phase(self) -> str:
        return str(self.gateway.phase.value)

    def request_events(self) -> list[str]:
        return [type(e).__name__ for e in self.recorder.events if isinstance(e, Request | ClientDisconnected)]


def test_extension_sees_a_request_before_the_policy() -> None:
    bench = GatewayBench(extension := RecordingExtension(lambda _: not bench.request_events()))
    client = bench.request("r1", "/pay?n=1", b"hello")
    (incoming,) = extension.incoming
    seen = (
        incoming.request_id,
        incoming.message.method,
        incoming.message.target,
        incoming.message.body,
        incoming.is_duplicate,
    )
    assert seen == ("r1", "POST", "/pay?n=1", b"hello", False)
    assert incoming.message.headers[protocol.TENANT_HEADER] == "t"
    assert incoming.event.class_index == 1
    assert incoming.event.write
    assert incoming.event.deadline_ms == incoming.arrived_ms + 400.0
    assert bench.recorder.events[-1] is incoming.event
    bench.respond()
    assert b" 200 " in client.received_by_peer
    assert extension.responses[0].body == b"r1"


def test_request_completed_by_the_extension_is_never_started() -> None:
    known_response = Response(200, {"content-type": "text/x"}, b"as before")

    def complete(incoming: IncomingRequest) -> bool:
        return not bench.gateway.requests.complete(incoming.event.request, known_response)

    bench = GatewayBench(extension := RecordingExtension(complete))
    client = bench.request()
    assert b"content-type: text/x" in client.received_by_peer
    assert client.received_by_peer.endswith(b"as before")
    assert not bench.instance.received_by_peer
    assert not extension.responses
    assert "Request" not in bench.request_events()
    assert complete(extension.incoming[0])  # the request is already finished


@pytest.mark.parametrize("released", [True, False])
def test_response_is_held_until_released_or_its_deadline(released: bool) -> None:
    bench = GatewayBench(extension := RecordingExtension(holds_responses=True))
    client = bench.request()
    bench.respond()
    assert not client.received_by_peer
    assert extension.responses == [Response(200, {"content-type": "text/plain"}, b"r1")]
    if released:
        extension.releases[0]()
    else:
        bench.wait(421.0)
    extension.releases[0]()
    assert client.received_by_peer.count(b" 200 ") == 1
    assert client.received_by_peer.endswith(b"r1")
    assert bench.gateway.counters["out.release_overdue"] == (not released)


@pytest.mark.parametrize("mode", ["no extension", "allowed", "answered by the extension"])
def test_duplicate_id_is_decided_by_the_extension_and_never_started_twice(mode: str) -> None:
    extension = RecordingExtension()
    bench = GatewayBench(None if mode == "no extension" else extension)
    first = bench.request()
    extension.admits = lambda _: mode != "answered by the extension"
    second = bench.request()
    assert bench.instance.received_by_peer.count(b"GET ") == 1
    assert bench.request_events().count("Request") == 1
    assert (b" 409 " in second.received_by_peer and b"connection: close" in second.received_by_peer) == (
        mode != "answered by the extension"
    )
    bench.respond()
    assert first.received_by_peer.endswith(b"r1")
    assert not bench.gateway.counters["out.duplicate_responses"]
    if mode == "answered by the extension":
        assert [a.is_duplicate for a in extension.incoming] == [False, True]
        assert not second.received_by_peer
        assert bench.gateway.requests.complete(extension.incoming[1].event.request, extension.responses[0])
        assert second.received_by_peer == first.received_by_peer
    assert not bench.gateway.requests.open_ids


def test_adopted_request_is_served_before_a_draining_gateway_stops() -> None:
    bench, responses = GatewayBench(RecordingExtension()), list[Response]()
    prior_attempts = (PriorAttempt(5, 41, 0, 0, 0.0),)
    bench.adopt("lost", responses.append, attempt_count=1, prior_attempts=prior_attempts, arm=2)
    event = next(e for e in bench.recorder.events if isinstance(e, Request))
    assert event.adopted
    assert (event.prior_attempt_count, event.prior_attempts, event.arm) == (
        1,
        prior_attempts,
        2,
    )
    bench.gateway.drain()
    bench.wait(1000.0)
    assert bench.phase == "draining"
    assert b"lost" in bench.instance.received_by_peer
    bench.respond(b"lost")
    assert responses == [Response(200, {"content-type": "text/plain"}, b"lost")]
    assert bench.phase == "stopped"
    assert [e.attempt for e in bench.recorder.events if isinstance(e, Outcome)] == [1]


@pytest.mark.parametrize(
    ("headers", "target"),
    [
        ({}, "/look"),
        ({protocol.REQUEST_ID_HEADER: "x"}, "/none"),
        ({protocol.REQUEST_ID_HEADER: "x"}, ""),
    ],
    ids=["no id", "unknown path", "no path"],
)
def test_message_without_id_or_known_path_is_not_adopted(headers: dict[str, str], target: str) -> None:
    bench, responses = GatewayBench(RecordingExtension()), list[Response]()
    adopted = AdoptedRequest(Message("GET", target, headers=headers), deadline_ms=0.0)
    with pytest.raises(AdoptionError, match="message has no request id or known path: "):
        bench.gateway.admission.adopt(adopted, responses.append)
    assert not responses
    assert not bench.gateway.requests.open_ids


@pytest.mark.parametrize("continues", [True, False])
def test_extension_decides_whether_work_continues_without_its_client(continues: bool) -> None:
    bench = GatewayBench(extension := RecordingExtension(continues=continues))
    bench.gateway.drain()
    bench.wait(600.0)  # the gateway still accepts connections
    bench.request().disconnect()
    assert len(extension.disconnected) == 1
    assert bench.request_events() == ["Request"] + ["ClientDisconnected"] * (not continues)
    bench.wait(200.0)
    assert bench.phase == ("draining" if continues else "stopped")
    if continues:
        bench.respond()
        assert [a.body for a in extension.responses] == [b"r1"]
        assert bench.phase == "stopped"


def test_extension_is_notified_of_draining_before_connections_close() -> None:
    bench, open_at_draining = GatewayBench(extension := RecordingExtension()), list[bool]()
    client = bench.request()
    bench.respond()
    extension.at_draining = lambda: open_at_draining.append(client.connected and not client.closing)
    bench.gateway.drain()
    assert open_at_draining == [True]
    assert client.closing


class RaisingExtension:
    def on_request(self, incoming: IncomingRequest) -> bool:
        return incoming.request_id == "r1" or bool(1 / 0)

    def __getattr__(self, name: str) -> Any:
        return lambda *_: 1 / 0


def test_raising_extension_costs_no_response() -> None:
    bench = GatewayBench(RaisingExtension())
    first, second, third = bench.request("r1"), bench.request("r2"), bench.request("r1")
    bench.respond()
    assert b" 200 " in first.received_by_peer
    assert b" 502 " in second.received_by_peer
    assert b" 409 " in third.received_by_peer
    bench.request("r1").disconnect()
    bench.gateway.drain()
    bench.wait(3000.0)
    assert bench.phase == "stopped"
    assert not bench.gateway.requests.open_ids


def test_stages_may_add_events_and_actions() -> None:
    bench, carried_out = GatewayBench(None), list[CustomEvent]()
    bench.gateway.register_action(CustomEvent, carried_out.append)
    bench.gateway.dispatch(CustomEvent("a"))
    assert carried_out == [CustomEvent("a")]
    with pytest.raises(ActionHandlerExistsError, match="CustomEvent is carried out already"):
        bench.gateway.register_action(CustomEvent, carried_out.append)


def test_request_is_completed_once_before_its_attempts_end() -> None:
    bench, completed = GatewayBench(RecordingExtension()), list[bool]()
    client = bench.request()
    request = next(e for e in bench.recorder.events if isinstance(e, Request)).request
    response = Response(502, {}, b"")
    bench.gateway.register_action(
        CustomEvent, lambda _: completed.append(bench.gateway.requests.complete(request, response))
    )
    bench.recorder.repetitions = 2
    bench.gateway.dispatch(CustomEvent("returned twice by one call"))
    assert completed == [True, False]
    assert client.received_by_peer.count(b" 502 ") == 1
    assert not bench.instance.connected


def random_walk(extension: RecordingExtension | None, scene: str, seed: int) -> tuple[Any, ...]:
    rng, history = random.Random(seed), list[Any]()
    world = new_world(configuration=scene, requests=3, faults=4, time_advances=6)
    world.gateway.extension = extension
    while (steps := world.enabled_steps()) and len(history) < 40:
        world.apply(rng.choice(steps))
        history.append(
            [c.transport.received_by_peer for c in world.clients if c.transport]
            + [s.transport.received_by_peer for s in world.instance_connections]
        )
    return history, world.gateway.counters.snapshot()


@pytest.mark.parametrize("scene", ["split", "unsafe", "pipelined", "full", "drain", "reuse"])
def test_pass_through_extension_changes_no_byte_and_no_counter(scene: str) -> None:
    for seed in range(20):
        assert random_walk(RecordingExtension(), scene, seed) == random_walk(None, scene, seed), (
            f"seed {seed}"
        )
