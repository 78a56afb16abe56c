"""What a part beside the intake sees and may do, on the checker's scripted connections."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

import pytest

from meadowpulley.check.worlds import Setting, make_world
from meadowpulley.interface import ClientDisconnected, Outcome, PriorAttempt, Request
from meadowpulley.net import names
from meadowpulley.net.hook import Answer, Asked, Release
from meadowpulley.net.http1 import Message, answer_bytes


class Fake:
    """Notes what it is shown; `passes`, `keeps` and `holds` are its answers to the three questions."""

    def __init__(
        self, passes: Callable[[Asked], bool] = lambda _: True, keeps: bool = False, holds: bool = False
    ) -> None:
        self.passes, self.keeps, self.holds = passes, keeps, holds
        self.asks: list[Asked] = []
        self.shown: list[Answer] = []
        self.held: list[Callable[[], None]] = []
        self.gone: list[int] = []
        self.at_draining: Callable[[], None] = lambda: None

    def asked(self, asked: Asked) -> bool:
        self.asks.append(asked)
        return self.passes(asked)

    def answering(self, request: int, answer: Answer, release: Release) -> None:
        self.shown.append(answer)
        if self.holds:
            self.held.append(partial(release, answer))
        else:
            release(answer)

    def left(self, request: int) -> bool:
        self.gone.append(request)
        return self.keeps

    def draining(self) -> None:
        self.at_draining()


class Told:
    """A stage before the decisions: notes the events, and knows one type of its own."""

    def __init__(self, inner: Any) -> None:
        self.inner, self.events, self.marks = inner, list[object](), 1

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        return [event] * self.marks if isinstance(event, Mark) else list(self.inner.handle(now, event))


@dataclass(frozen=True, slots=True)
class Mark:
    text: str


def new_world(**more: Any) -> Any:
    return make_world(Setting(world="connection", **more))


class Bench:
    """One gateway with one instance, whose connection is up."""

    def __init__(self, hook: Any) -> None:
        self.world = new_world(scene="drain", servers=1, troubles=9)
        self.gateway, self.reactor = self.world.gateway, self.world.reactor
        self.gateway.hook = hook
        self.told = self.gateway.balancer = Told(self.gateway.balancer)
        self.instance = self.world.served[0].wire

    def ask(self, name: str = "r1", target: str = "/look?n=1", body: bytes = b"") -> Any:
        """A client's connection on which a request has come whole."""
        wire = self.reactor.join(self.reactor.ports[0].factory.buildProtocol(None), None)
        head = f"host: app.svc\r\n{names.ID}: {name}\r\n{names.TENANT}: t\r\n{names.REMAINING}: 400m\r\n"
        size = f"content-length: {len(body)}\r\n" if body else ""
        wire.arrive(f"{'POST' if body else 'GET'} {target} HTTP/1.1\r\n{head}{size}\r\n".encode() + body)
        return wire

    def put_in(self, name: str, done: Callable[[Answer], None], **more: Any) -> int:
        message = Message("GET", "/look", headers={names.ID: name})
        return int(self.gateway.intake.put_in(message, self.reactor.now + 2000.0, done, **more))

    def answer(self, body: bytes = b"r1") -> None:
        self.instance.arrive(answer_bytes(200, {"content-type": "text/plain"}, body))

    def wait(self, ms: float) -> None:
        self.reactor.advance(self.reactor.now + ms)

    @property
    def phase(self) -> str:
        return str(self.gateway.phase.value)

    def kinds(self) -> list[str]:
        return [type(e).__name__ for e in self.told.events if isinstance(e, Request | ClientDisconnected)]


def test_a_request_is_shown_whole_before_the_decisions_hear_of_it() -> None:
    bench = Bench(hook := Fake(lambda _: not bench.kinds()))
    client = bench.ask("r1", "/pay?n=1", b"hello")
    (asked,) = hook.asks
    told = (asked.name, asked.message.method, asked.message.target, asked.message.body, asked.open)
    assert told == ("r1", "POST", "/pay?n=1", b"hello", False)
    assert asked.message.headers[names.TENANT] == "t" and asked.event.class_index == 1 and asked.event.write
    assert asked.event.deadline_ms == asked.arrived_ms + 400.0 and bench.told.events[-1] is asked.event
    bench.answer()
    assert b" 200 " in client.sent and hook.shown[0].body == b"r1"


def test_what_the_hook_answers_is_never_started() -> None:
    known = Answer(200, {"content-type": "text/x"}, b"as before")

    def settle(asked: Asked) -> bool:
        return not bench.gateway.requests.settle(asked.event.request, known)

    bench = Bench(hook := Fake(settle))
    client = bench.ask()
    assert b"content-type: text/x" in client.sent and client.sent.endswith(b"as before")
    assert not bench.instance.sent and not hook.shown and "Request" not in bench.kinds()
    assert settle(hook.asks[0])  # it is over


@pytest.mark.parametrize("released", [True, False])
def test_an_answer_is_held_until_it_is_released_and_never_past_its_time(released: bool) -> None:
    bench = Bench(hook := Fake(holds=True))
    client = bench.ask()
    bench.answer()
    assert not client.sent and hook.shown == [Answer(200, {"content-type": "text/plain"}, b"r1")]
    if released:
        hook.held[0]()
    else:
        bench.wait(421.0)
    hook.held[0]()
    assert client.sent.count(b" 200 ") == 1 and client.sent.endswith(b"r1")
    assert bench.gateway.counters["out.held_late"] == (not released)


@pytest.mark.parametrize("how", ["no hook", "let pass", "joined"])
def test_an_id_that_is_open_already_is_up_to_the_hook_and_never_started_twice(how: str) -> None:
    hook = Fake()
    bench = Bench(None if how == "no hook" else hook)
    first = bench.ask()
    hook.passes = lambda _: how != "joined"
    second = bench.ask()
    assert bench.instance.sent.count(b"GET ") == 1 and bench.kinds().count("Request") == 1
    assert (b" 409 " in second.sent and b"connection: close" in second.sent) == (how != "joined")
    bench.answer()
    assert first.sent.endswith(b"r1") and not bench.gateway.counters["out.second_answers"]
    if how == "joined":
        assert [a.open for a in hook.asks] == [False, True] and not second.sent
        assert bench.gateway.requests.settle(hook.asks[1].event.request, hook.shown[0])
        assert second.sent == first.sent
    assert not bench.gateway.requests.ids


def test_a_request_put_in_runs_as_any_other_and_a_draining_gateway_ends_after_it() -> None:
    bench, done = Bench(Fake()), list[Answer]()
    tried = (PriorAttempt(5, 41, 0, 0, 0.0),)
    bench.put_in("lost", done.append, tries=1, tried=tried, arm=2)
    event = next(e for e in bench.told.events if isinstance(e, Request))
    assert event.adopted and (event.prior_attempt_count, event.prior_attempts, event.arm) == (1, tried, 2)
    bench.gateway.drain()
    bench.wait(1000.0)
    assert bench.phase == "draining" and b"lost" in bench.instance.sent
    bench.answer(b"lost")
    assert done == [Answer(200, {"content-type": "text/plain"}, b"lost")] and bench.phase == "stopped"
    assert [e.attempt for e in bench.told.events if isinstance(e, Outcome)] == [1]
    for headers, target in (({}, "/look"), ({names.ID: "x"}, "/none"), ({names.ID: "x"}, "")):
        with pytest.raises(ValueError, match="no request of ours"):
            bench.gateway.intake.put_in(Message("GET", target, headers=headers), 0.0, done.append)


@pytest.mark.parametrize("keeps", [True, False])
def test_work_goes_on_without_its_client_if_the_hook_wants_it(keeps: bool) -> None:
    bench = Bench(hook := Fake(keeps=keeps))
    bench.gateway.drain()
    bench.wait(600.0)  # connections still come
    bench.ask().lose()
    assert len(hook.gone) == 1 and bench.kinds() == ["Request"] + ["RequestGone"] * (not keeps)
    bench.wait(200.0)
    assert bench.phase == ("draining" if keeps else "stopped")
    if keeps:
        bench.answer()
        assert [a.body for a in hook.shown] == [b"r1"] and bench.phase == "stopped"


def test_the_end_is_told_before_any_connection_is_closed() -> None:
    bench, up = Bench(hook := Fake()), list[bool]()
    client = bench.ask()
    bench.answer()
    hook.at_draining = lambda: up.append(client.up and not client.closing)
    bench.gateway.drain()
    assert up == [True] and client.closing


class Broken:
    def asked(self, asked: Asked) -> bool:
        return asked.name == "r1" or bool(1 / 0)

    def __getattr__(self, name: str) -> Any:
        return lambda *_: 1 / 0


def test_a_hook_that_raises_costs_no_answer() -> None:
    bench = Bench(Broken())
    first, second, third = bench.ask("r1"), bench.ask("r2"), bench.ask("r1")
    bench.answer()
    assert b" 200 " in first.sent and b" 502 " in second.sent and b" 409 " in third.sent
    bench.ask("r1").lose()
    bench.gateway.drain()
    bench.wait(3000.0)
    assert bench.phase == "stopped" and not bench.gateway.requests.ids


def test_stages_bring_events_and_actions_of_their_own() -> None:
    bench, done = Bench(None), list[Mark]()
    bench.gateway.carry_out(Mark, done.append)
    bench.gateway.tell(Mark("a"))
    assert done == [Mark("a")]
    with pytest.raises(ValueError, match="Mark is carried out already"):
        bench.gateway.carry_out(Mark, done.append)


def test_a_request_is_settled_once_even_before_its_attempts_have_ended() -> None:
    bench, settled = Bench(Fake()), list[bool]()
    client = bench.ask()
    request = next(e for e in bench.told.events if isinstance(e, Request)).request
    answer = Answer(502, {}, b"")
    bench.gateway.carry_out(Mark, lambda _: settled.append(bench.gateway.requests.settle(request, answer)))
    bench.told.marks = 2
    bench.gateway.tell(Mark("both in one turn of the decisions"))
    assert settled == [True, False] and client.sent.count(b" 502 ") == 1 and not bench.instance.up


def walk(hook: Fake | None, scene: str, seed: int) -> tuple[Any, ...]:
    rng, seen = random.Random(seed), list[Any]()
    world = new_world(scene=scene, requests=3, troubles=4, waits=6)
    world.gateway.hook = hook
    while (steps := world.steps()) and len(seen) < 40:
        world.take(rng.choice(steps))
        seen.append([c.wire.sent for c in world.clients if c.wire] + [s.wire.sent for s in world.served])
    return seen, world.gateway.counters.all()


@pytest.mark.parametrize("scene", ["split", "unsafe", "pipelined", "full", "drain", "reuse"])
def test_a_hook_that_lets_all_pass_changes_no_byte_and_no_counter(scene: str) -> None:
    for seed in range(20):
        assert walk(Fake(), scene, seed) == walk(None, scene, seed), f"seed {seed}"
