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
from meadowpulley.net import protocol
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.discovery_client import DiscoveryClient
from tests.driver import Driver, server_entry, settings

NOTIFIED_AFTER_WAIT_MS = (
    2_000.0  # by the platform's page: from then on what a silent watch missed counts as told
)
NOTIFIED_AFTER_SILENCE_MS = 6_000.0  # and at the soonest, for a call that does not wait
RESPONSE_MS = 100.0  # of a call that discovery hears


class FakeTransport(StringTransport):  # type: ignore[misc,unused-ignore]
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


class DiscoveryHarness:
    """The real discovery client and the real decisions, with a discovery of ours on a virtual clock."""

    def __init__(self, must_poll: bool) -> None:
        self.reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.driver = Driver(settings(must_ask=must_poll, gateway_count=200), released=False)
        self.answered_calls = 0
        self.calls_received = list[tuple[float, float]]()  # when, and for how long it may wait
        self.silent_from = float("inf")  # calls that come after so many answers are never answered
        self.down_until = 0.0  # each call ends in a reset, open ones too
        self.version, self.updates = 1, list[tuple[float, int]]()
        failures: list[str] = []
        self.gateway: Any = SimpleNamespace(
            reactor=self.reactor,
            counters=Counters(),
            stopping=False,
            log_fault=failures.append,
            deadlines=Deadlines(self.reactor, failures.append, lambda: self.now),
            log=SimpleNamespace(warning=lambda *_, **__: None),
            dispatch=self.dispatch,
            config=SimpleNamespace(
                settings=self.driver.policy.settings,
                discovery=("127.0.0.1", 8500),
                cached_endpoints=None,
                seed=3,
            ),
        )
        self.failures = failures
        registry: Any = SimpleNamespace(
            register=lambda *_: None, remove=lambda _: None, close_idle=lambda _: None
        )
        self.discovery = DiscoveryClient(self.gateway, registry, 0.0)

    @property
    def now(self) -> float:
        return float(self.reactor.seconds()) * 1000.0

    def dispatch(self, event: Event) -> None:
        if isinstance(event, EndpointUpdate):
            self.updates.append((self.now, event.version))
        self.driver.now = self.now
        for action in self.driver.handle(event):
            if isinstance(action, Watch):
                self.discovery.watch(action.enabled)
            elif isinstance(action, SetTimer):
                timer = Timer(action.token)
                self.gateway.deadlines.after(action.delay_ms, lambda timer=timer: self.dispatch(timer))

    def run(self, duration_ms: float) -> None:
        for _ in range(int(duration_ms / 10)):
            self.reactor.advance(0.01)
            while self.reactor.tcpClients:
                factory = self.reactor.tcpClients.pop(0)[2]
                connection: Any = factory.buildProtocol(None)
                transport: Any = FakeTransport()  # type: ignore[no-untyped-call]
                connection.makeConnection(transport)
                self._serve(connection, transport)

    def _serve(self, connection: Any, transport: Any) -> None:
        """Looks for calls on this connection every 10 ms and answers them."""
        if self.now < self.down_until:
            connection.connectionLost()
            return
        request = transport.value().decode()
        transport.clear()
        if request:
            query = parse_qs(request.split(" ")[1].partition("?")[2])
            wait_ms, after = float(query[protocol.WAIT_PARAMETER][0]), int(query[protocol.AFTER_PARAMETER][0])
            self.calls_received.append((self.now, wait_ms))
            if self.answered_calls < self.silent_from:
                self.answered_calls += 1
                self._answer(connection, after, self.now + RESPONSE_MS, self.now + wait_ms)
        if connection.is_open:
            self.reactor.callLater(0.01, self._serve, connection, transport)

    def _answer(self, connection: Any, after: int, respond_at: float, long_poll_until: float) -> None:
        if self.now < respond_at or (self.version <= after and self.now < long_poll_until):
            self.reactor.callLater(0.01, self._answer, connection, after, respond_at, long_poll_until)
            return
        entries = (
            []
            if after == self.version
            else [{protocol.ENDPOINT_NAME: "s1", protocol.ENDPOINT_ADDRESS: "127.0.0.1:9"}]
        )
        for raw_entry in entries:
            raw_entry |= {
                protocol.ENDPOINT_STATE: next(
                    n for n, s in protocol.ENDPOINT_STATES.items() if s is ServerState.READY
                )
            }
        body = json.dumps(
            {
                protocol.LIST_VERSION: self.version,
                protocol.LIST_IS_SNAPSHOT: False,
                protocol.LIST_ENDPOINTS: entries,
            }
        ).encode()
        if connection.is_open:
            connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)


@pytest.mark.parametrize("must_poll", [True, False])
@pytest.mark.parametrize("answers", [0, 1, 2])
def test_a_silent_watch_is_reopened_before_the_updates_it_misses_count_as_notified(
    must_poll: bool, answers: int
) -> None:
    # A watch of 10 s that fell silent was given up 4 s after its wait and asked anew up to 5 s later still,
    # with the spread that calls need which fail at all gateways at once: for seconds a gateway of the full
    # fleet sent to servers of which it counted as told, 2 s after the wait, that they drained.
    harness = DiscoveryHarness(must_poll)
    harness.silent_from = answers
    if must_poll:
        harness.dispatch(EndpointUpdate(EndpointUpdateKind.CACHED, 0, (server_entry(1),)))
    else:
        harness.discovery.start()
    for _ in range(500):  # till the call that falls silent
        if len(harness.calls_received) <= answers:
            harness.run(50.0)
    since, wait_ms = harness.calls_received[answers]
    harness.silent_from = float("inf")
    harness.version += 1  # a change that this call will never tell
    harness.run(wait_ms + 8_000.0)
    notified_by = max(since + NOTIFIED_AFTER_SILENCE_MS, since + wait_ms + NOTIFIED_AFTER_WAIT_MS)
    update_times = [at for at, version in harness.updates if at > since and version == harness.version]
    assert update_times and update_times[0] <= notified_by, (since, wait_ms, update_times)
    assert not harness.failures


@pytest.mark.parametrize("must_poll", [True, False])
@pytest.mark.parametrize("step", ["moved", "outage"])
def test_the_first_watch_after_sighup_or_an_outage_may_fall_silent(must_poll: bool, step: str) -> None:
    harness = DiscoveryHarness(must_poll)
    harness.dispatch(EndpointUpdate(EndpointUpdateKind.CACHED, 0, (server_entry(1),)))
    if not must_poll:
        harness.discovery.start()
    while len(harness.calls_received) < 2:  # the list has come, and the watch is open
        harness.run(50.0)
    harness.silent_from = 1
    if step == "moved":
        harness.discovery.address_changed()
    else:
        harness.down_until = harness.now + 5_000.0
    while len(harness.calls_received) < 3:
        harness.run(10.0)
    since, wait_ms = harness.calls_received[2]
    harness.silent_from = float("inf")
    harness.version += 1
    harness.run(wait_ms + 8_000.0)
    update_times = [at for at, version in harness.updates if at > since and version == harness.version]
    assert update_times and update_times[0] <= since + NOTIFIED_AFTER_SILENCE_MS and not harness.failures


def test_retries_after_a_failure_common_to_all_gateways_are_jittered() -> None:
    # The other half: only silence, which each finds at its own time, is answered at once.
    def backoff_ms(kind: EndpointUpdateKind, seed: int) -> float:
        driver = Driver(settings(must_ask=True, gateway_count=200), seed=seed)
        driver.update_endpoints([server_entry(1)])
        driver.update_endpoints([], kind)
        return driver.policy.resubscribe_at - driver.now

    assert {backoff_ms(EndpointUpdateKind.TIMED_OUT, seed) for seed in range(5)} == {0.0}
    assert max(backoff_ms(EndpointUpdateKind.FAILED, seed) for seed in range(20)) > 1_000.0
