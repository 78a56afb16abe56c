"""The discovery client in bad orders: each call is held, and answered when the test says so."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest

from meadowpulley import interface as i
from meadowpulley.net.discovery import Discovery
from tests.test_silent_watch import Rig

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"


def listed(index: int, *entries: dict[str, Any], whole: bool = False) -> bytes:
    return json.dumps({"index": index, "snapshot": whole, "endpoints": entries}, indent=2).encode()


class Call:
    """One that came: answered, broken or left alone by the test."""

    def __init__(self, protocol: Any, target: str) -> None:
        self.protocol, self.target = protocol, target

    def answer(self, body: bytes) -> None:
        self.protocol.dataReceived(HEAD % (len(body), body))

    def breaks(self) -> None:
        self.protocol.connectionLost()


class Held(Rig):
    """Pushed lists, and no decisions: what they would be told is kept."""

    def __init__(self, must_ask: bool = False) -> None:
        self.calls: list[Call] = []
        self.events: list[Any] = []
        self.react: Callable[[Any], None] = lambda event: None
        super().__init__(must_ask)

    def tell(self, event: i.Event) -> None:
        self.events.append(event)
        self.react(event)

    def _serve(self, protocol: Any, wire: Any) -> None:
        if raw := wire.value().decode():
            wire.clear()
            self.calls.append(Call(protocol, raw.split(" ")[1].partition("?")[2]))
        if protocol.up:
            self.reactor.callLater(0.01, self._serve, protocol, wire)

    def call(self) -> Call:
        """The newest, which has to have come since the last look."""
        known = len(self.calls)
        self.run(20.0)
        assert len(self.calls) == known + 1
        return self.calls[-1]


def after_failures(rig: Held, many: int) -> None:
    """A watch that failed so often, and whose next try is pending."""
    rig.discovery.start()
    for _ in range(many):
        rig.call().breaks()


@pytest.mark.parametrize(
    ("step", "open_calls"),
    [
        (Discovery.moved, 1),
        (lambda discovery: discovery.watch(True), 1),
        (lambda discovery: discovery.watch(False), 0),
        (Discovery.stop, 0),
    ],
    ids=["moved", "newer watch", "no watch", "stopped"],
)
def test_a_next_try_that_was_overtaken_neither_abandons_nor_opens_a_watch(
    step: Callable[[Discovery], None], open_calls: int
) -> None:
    # The pending try was never called off: it abandoned the newer watch, or opened one that nobody wanted.
    rig = Held()
    after_failures(rig, 2)
    step(rig.discovery)
    rig.run(3_000.0)
    assert len(rig.calls) == 2 + open_calls and all(call.protocol.up for call in rig.calls[2:])


def test_a_watch_opened_on_the_news_of_a_failure_is_the_only_one() -> None:
    rig = Held()
    rig.react = lambda event: rig.discovery.watch(True) if event.kind is i.ListKind.FAILED else None
    after_failures(rig, 2)
    rig.run(3_000.0)
    assert len(rig.calls) == 3 and rig.calls[2].protocol.up


def test_no_watch_is_kept_up_that_the_decisions_gave_up_on_its_news() -> None:
    rig = Held()
    rig.react = lambda event: rig.discovery.watch(False)
    rig.discovery.start()
    rig.call().answer(listed(1))
    rig.run(100.0)
    assert len(rig.calls) == 1
