"""Test harnesses that run the real discovery client on a virtual clock against a simulated discovery."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qs

from twisted.internet.testing import MemoryReactorClock, StringTransport

from meadowpulley.interface import EndpointUpdate, Event, ServerState, SetTimer, Timer, Watch
from meadowpulley.net import protocol
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.discovery_client import DiscoveryClient
from tests.driver import Driver, settings
from tests.standins import endpoint

# Times in ms after which, by the platform's specification, changes count as notified even if a call was never
# answered: after the end of its wait for a call with a wait, and after its start for a call without a wait.
NOTIFIED_AFTER_WAIT_MS = 2_000.0
NOTIFIED_AFTER_SILENCE_MS = 6_000.0
RESPONSE_MS = 100.0  # time from a call's arrival at discovery to its response
HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s"


def list_body(version: int, *entries: dict[str, Any], is_snapshot: bool = False) -> bytes:
    return json.dumps({"index": version, "snapshot": is_snapshot, "endpoints": entries}, indent=2).encode()


READY_ENTRY, DRAINING_ENTRY = (
    endpoint("s-1", "127.0.0.1:9"),
    endpoint("s-1", "127.0.0.1:9", status="terminating"),
)


class FakeTransport(StringTransport):  # type: ignore[misc,unused-ignore]
    """A transport whose socket holds no unread bytes, unless a test sets `unread`."""

    unread = b""

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802 (Twisted's name)
        pass

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802 (Twisted's name)
        self.write(data)  # type: ignore[no-untyped-call]
        return len(data)

    def getHandle(self) -> Any:  # noqa: N802 (Twisted's name)
        def recv(*_: Any) -> bytes:
            if not self.unread:
                raise BlockingIOError
            return self.unread[:1]

        return SimpleNamespace(recv=recv)

    def abortConnection(self) -> None:  # noqa: N802 (Twisted's name)
        pass


class DiscoveryHarness:
    """The real discovery client and policy, with a simulated discovery that answers calls automatically."""

    def __init__(self, must_poll: bool, seed: int = 7) -> None:
        self.reactor = MemoryReactorClock()  # type: ignore[no-untyped-call]
        self.driver = Driver(settings(must_poll=must_poll, gateway_count=200), seed, released=False)
        self.answered_calls = 0
        self.calls_received = list[tuple[float, float]]()  # (time of the call in ms, its maximum wait in ms)
        self.silent_from = float("inf")  # number of answered calls after which further calls get no answer
        self.down_until = 0.0  # until this time in ms, every connection breaks
        self.queue_ms = 0.0  # delay in ms until a connection breaks
        self.version = 1
        self.updates = list[tuple[float, int]]()  # (time in ms, version) of each update
        failures: list[str] = []
        self.gateway: Any = SimpleNamespace(
            reactor=self.reactor,
            counters=Counters(),
            stopping=False,
            log_fault=failures.append,
            deadlines=Deadlines(self.reactor, failures.append, lambda: self.now),
            log=SimpleNamespace(info=lambda *_, **__: None, warning=lambda *_, **__: None),
            dispatch=self.dispatch,
            config=SimpleNamespace(
                settings=self.driver.policy.settings,
                discovery=("127.0.0.1", 8500),
                cached_endpoints=None,
                memory_mb=32.0,
                seed=3,
            ),
        )
        self.failures = failures
        self.registry: Any = SimpleNamespace(
            register=lambda *_: None, remove=lambda _: None, close_idle=lambda _: None
        )
        self.discovery = DiscoveryClient(self.gateway, self.registry, 0.0)

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
        """Check a connection for calls every 10 ms, and answer them."""
        if self.now < self.down_until:
            self.reactor.callLater(self.queue_ms / 1000.0, connection.connectionLost)
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
        ready = next(name for name, state in protocol.ENDPOINT_STATES.items() if state is ServerState.READY)
        entry = {
            protocol.ENDPOINT_NAME: "s1",
            protocol.ENDPOINT_ADDRESS: "127.0.0.1:9",
            protocol.ENDPOINT_STATE: ready,
        }
        entries = [] if after == self.version else [entry]
        body = json.dumps(
            {
                protocol.LIST_VERSION: self.version,
                protocol.LIST_IS_SNAPSHOT: False,
                protocol.LIST_ENDPOINTS: entries,
            }
        ).encode()
        if connection.is_open:
            connection.dataReceived(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)


class ReceivedCall:
    """A call that discovery received; the test answers it, breaks its connection or leaves it open."""

    def __init__(self, connection: Any, target: str) -> None:
        self.connection = connection
        self.target = target

    def respond(self, body: bytes) -> None:
        self.connection.dataReceived(HEAD % (len(body), body))

    def break_connection(self) -> None:
        self.connection.connectionLost()


class ManualDiscoveryHarness(DiscoveryHarness):
    """The real discovery client without a policy: records dispatched events. Lists are pushed by default."""

    def __init__(self, must_poll: bool = False, grace_ms: float = 0.0) -> None:
        self.calls: list[ReceivedCall] = []
        self.addresses: dict[int, Any] = {}  # addresses of the instances, by instance number
        self.events: list[Any] = []
        self.on_event: Callable[[Any], None] = lambda event: None
        super().__init__(must_poll)
        driver_settings = self.driver.policy.settings
        self.gateway.config.settings = replace(
            driver_settings, rules=replace(driver_settings.rules, drain_grace_ms=grace_ms)
        )
        self.registry = SimpleNamespace(
            register=lambda server, address, _: self.addresses.update({server: address}),
            remove=lambda server: self.addresses.pop(server, None),
            close_idle=lambda _: None,
        )
        self.discovery = DiscoveryClient(self.gateway, self.registry, 0.0)

    def dispatch(self, event: Event) -> None:
        self.events.append(event)
        self.on_event(event)

    def _serve(self, connection: Any, transport: Any) -> None:
        if request := transport.value().decode():
            transport.clear()
            self.calls.append(ReceivedCall(connection, request.split(" ")[1].partition("?")[2]))
        if connection.is_open:
            self.reactor.callLater(0.01, self._serve, connection, transport)

    def next_call(self) -> ReceivedCall:
        """Run for 20 ms and return the call received, of which there must be exactly one."""
        known_count = len(self.calls)
        self.run(20.0)
        assert len(self.calls) == known_count + 1
        return self.calls[-1]

    def take_updates(self) -> list[tuple[int, list[ServerState]]]:
        """Return the version and server states of each update since the last call of this method."""
        events = self.events
        self.events = []
        updates = [event for event in events if isinstance(event, EndpointUpdate)]
        return [(update.version, [e.state for e in update.entries]) for update in updates]
