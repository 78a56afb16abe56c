"""A watch that falls silent: the gateway must find it, and ask anew, before what it misses counts as told."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qs

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from meadowpulley.interface import (
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    ServerState,
    SetTimer,
    Timer,
    Watch,
)
from meadowpulley.net import names
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.discovery import Discovery
from tests.driver import Driver, entry, settings

TOLD_AFTER_WAIT_MS = 2_000.0  # by the platform's page: from then on what a silent watch missed counts as told
TOLD_AFTER_SILENCE_MS = 6_000.0  # and at the soonest, for a call that does not wait
ANSWER_MS = 100.0  # of a call that discovery hears


class Wire(StringTransport):  # type: ignore[misc,unused-ignore]
    """A connection with nothing unread behind what was handed over."""

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802 (Twisted's name)
        pass

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802 (Twisted's name)
        self.write(data)  # type: ignore[no-untyped-call]
        return len(data)

    def getHandle(self) -> Any:  # noqa: N802 (Twisted's name)
        def recv(*_: Any) -> bytes:
            raise BlockingIOError

        return SimpleNamespace(recv=recv)

    def abortConnection(self) -> None:  # noqa: N802 (Twisted's name)
        pass


class Rig:
    """The real discovery client and the real decisions, with a discovery of ours on a virtual clock."""

    def __init__(self, must_ask: bool) -> None:
        self.reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.driver = Driver(settings(must_ask=must_ask, balancers=200), told=False)
        self.answered, self.asked = 0, list[tuple[float, float]]()  # when, and for how long it may wait
        self.silent_from = float("inf")  # calls that come after so many answers are never answered
        self.down_until = 0.0  # each call ends in a reset, open ones too
        self.version, self.told = 1, list[tuple[float, int]]()
        failures: list[str] = []
        self.gateway: Any = SimpleNamespace(
            reactor=self.reactor,
            counters=Counters(),
            stopping=False,
            failed=failures.append,
            deadlines=Deadlines(self.reactor, failures.append, lambda: self.now),
            log=SimpleNamespace(warning=lambda *_, **__: None),
            tell=self.tell,
            config=SimpleNamespace(
                settings=self.driver.b.s, discovery=("127.0.0.1", 8500), known=None, seed=3
            ),
        )
        self.failures = failures
        places: Any = SimpleNamespace(place=lambda *_: None, forget=lambda _: None, close_idle=lambda _: None)
        self.discovery = Discovery(self.gateway, places, 0.0)

    @property
    def now(self) -> float:
        return float(self.reactor.seconds()) * 1000.0

    def tell(self, event: Event) -> None:
        if isinstance(event, EndpointUpdate):
            self.told.append((self.now, event.version))
        self.driver.now = self.now
        for action in self.driver.give(event):
            if isinstance(action, Watch):
                self.discovery.watch(action.enabled)
            elif isinstance(action, SetTimer):
                timer = Timer(action.token)
                self.gateway.deadlines.after(action.delay_ms, lambda timer=timer: self.tell(timer))

    def run(self, ms: float) -> None:
        for _ in range(int(ms / 10)):
            self.reactor.advance(0.01)
            while self.reactor.tcpClients:
                factory = self.reactor.tcpClients.pop(0)[2]
                protocol: Any = factory.buildProtocol(None)
                wire: Any = Wire()  # type: ignore[no-untyped-call]
                protocol.makeConnection(wire)
                self._serve(protocol, wire)

    def _serve(self, protocol: Any, wire: Any) -> None:
        """Looks for calls on this connection every 10 ms and answers them."""
        if self.now < self.down_until:
            protocol.connectionLost()
            return
        raw = wire.value().decode()
        wire.clear()
        if raw:
            query = parse_qs(raw.split(" ")[1].partition("?")[2])
            wait, after = float(query[names.WAIT][0]), int(query[names.AFTER][0])
            self.asked.append((self.now, wait))
            if self.answered < self.silent_from:
                self.answered += 1
                self._answer(protocol, after, self.now + ANSWER_MS, self.now + wait)
        if protocol.up:
            self.reactor.callLater(0.01, self._serve, protocol, wire)

    def _answer(self, protocol: Any, after: int, at: float, until: float) -> None:
        if self.now < at or (self.version <= after and self.now < until):
            self.reactor.callLater(0.01, self._answer, protocol, after, at, until)
            return
        news = [] if after == self.version else [{names.NAME: "s1", names.ADDRESS: "127.0.0.1:9"}]
        for raw in news:
            raw |= {names.STATE: next(n for n, s in names.STATES.items() if s is ServerState.READY)}
        body = json.dumps({names.VERSION: self.version, names.WHOLE: False, names.ENTRIES: news}).encode()
        if protocol.up:
            protocol.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)


@pytest.mark.parametrize("must_ask", [True, False])
@pytest.mark.parametrize("answers", [0, 1, 2])
def test_a_silent_watch_is_opened_anew_before_what_it_misses_counts_as_told(
    must_ask: bool, answers: int
) -> None:
    # A watch of 10 s that fell silent was given up 4 s after its wait and asked anew up to 5 s later still,
    # with the spread that calls need which fail at all gateways at once: for seconds a gateway of the full
    # fleet sent to servers of which it counted as told, 2 s after the wait, that they drained.
    rig = Rig(must_ask)
    rig.silent_from = answers
    if must_ask:
        rig.tell(EndpointUpdate(EndpointUpdateKind.CACHED, 0, (entry(1),)))
    else:
        rig.discovery.start()
    for _ in range(500):  # till the call that falls silent
        if len(rig.asked) <= answers:
            rig.run(50.0)
    since, wait = rig.asked[answers]
    rig.silent_from = float("inf")
    rig.version += 1  # a change that this call will never tell
    rig.run(wait + 8_000.0)
    counts_from = max(since + TOLD_AFTER_SILENCE_MS, since + wait + TOLD_AFTER_WAIT_MS)
    heard = [at for at, version in rig.told if at > since and version == rig.version]
    assert heard and heard[0] <= counts_from, (since, wait, heard)
    assert not rig.failures


@pytest.mark.parametrize("must_ask", [True, False])
@pytest.mark.parametrize("step", ["moved", "outage"])
def test_the_first_watch_after_sighup_or_an_outage_may_fall_silent(must_ask: bool, step: str) -> None:
    rig = Rig(must_ask)
    rig.tell(EndpointUpdate(EndpointUpdateKind.CACHED, 0, (entry(1),)))
    if not must_ask:
        rig.discovery.start()
    while len(rig.asked) < 2:  # the list has come, and the watch is open
        rig.run(50.0)
    rig.silent_from = 1
    if step == "moved":
        rig.discovery.moved()
    else:
        rig.down_until = rig.now + 5_000.0
    while len(rig.asked) < 3:
        rig.run(10.0)
    since, wait = rig.asked[2]
    rig.silent_from = float("inf")
    rig.version += 1
    rig.run(wait + 8_000.0)
    heard = [at for at, version in rig.told if at > since and version == rig.version]
    assert heard and heard[0] <= since + TOLD_AFTER_SILENCE_MS and not rig.failures


def test_calls_that_fail_at_all_gateways_are_still_spread() -> None:
    # The other half: only silence, which each finds at its own time, is answered at once.
    def pause(kind: EndpointUpdateKind, seed: int) -> float:
        d = Driver(settings(must_ask=True, balancers=200), seed=seed)
        d.listed([entry(1)])
        d.listed([], kind)
        return d.b.ask_again_at - d.now

    assert {pause(EndpointUpdateKind.TIMED_OUT, seed) for seed in range(5)} == {0.0}
    assert max(pause(EndpointUpdateKind.FAILED, seed) for seed in range(20)) > 1_000.0
