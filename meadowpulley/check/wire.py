"""A reactor, ports and transports without sockets or time: what the gateway's classes stand on when
checked."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

READ_MAX = 64 * 1024  # what the reactor hands over in one piece


class Later:
    """A call that the reactor owes, as `callLater` gives it back."""

    def __init__(self, reactor: Reactor, at: float, call: Callable[[], None]) -> None:
        self.reactor, self.at, self.call = reactor, at, call
        self.over = False

    def reset(self, seconds: float) -> None:
        self.at = self.reactor.now + seconds * 1000.0


class Connector:
    """A connection in the making."""

    def __init__(self, reactor: Reactor, address: tuple[str, int], factory: Any) -> None:
        self.reactor, self.address, self.factory = reactor, address, factory
        self.over = False

    def disconnect(self) -> None:
        self.refuse()

    def refuse(self) -> None:
        if not self.over:
            self.over = True
            self.reactor.openings.remove(self)
            self.factory.clientConnectionFailed(self, Failure(ConnectionRefusedError()))  # type: ignore[no-untyped-call]

    def accept(self) -> Wire:
        self.over = True
        self.reactor.openings.remove(self)
        link = self.factory.buildProtocol(None)
        return self.reactor.join(link, self.address)


class Port:
    """A listening port; who connects is up to the world."""

    def __init__(self, factory: Any) -> None:
        self.factory = factory
        self.numberAccepts = 1
        self.reading = self.open = True

    def stopReading(self) -> None:  # noqa: N802
        self.reading = False

    def startReading(self) -> None:  # noqa: N802
        self.reading = True

    def doRead(self) -> None:  # noqa: N802
        pass  # nobody waits: the world accepts at once

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.open = False


class _Handle:
    """In place of the socket: whether the kernel holds something that was not read."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire

    def recv(self, size: int, flags: int) -> bytes:
        if self.wire.ended:
            return b""
        if self.wire.pending:
            return self.wire.pending[:size]
        raise BlockingIOError


class Wire:
    """The transport of one link, and the other end's view: `sent` is what came there."""

    def __init__(self, reactor: Reactor, link: Any, address: tuple[str, int] | None) -> None:
        self.reactor, self.link, self.address = reactor, link, address
        self.sent = b""
        self.sent_at = 0.0  # when its last bytes went
        self.pending = b""  # in the kernel, not read yet
        self.ended = False  # the other end has closed, or ended its sending, which was not read yet
        self.gone = False  # it has closed: what is written there is answered by a reset
        self.up = True
        self.reading = True
        self.jammed = self.was_jammed = False  # the kernel takes nothing until it flows again
        self.producer: Any = None
        self.closing = False  # this end has said that it will write no more
        self.held = b""

    # What a protocol calls

    def setTcpNoDelay(self, on: bool) -> None:  # noqa: N802
        pass

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        if not self.up or self.closing or self.jammed:
            return 0
        self._take(data)
        return len(data)

    def write(self, data: bytes) -> None:
        if self.up and not self.closing:
            if self.jammed:
                self.held += data
            else:
                self._take(data)

    def _take(self, data: bytes) -> None:
        self.sent, self.sent_at = self.sent + data, self.reactor.now
        if self.gone:
            self.reactor.callLater(0, self.lose)

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        self.producer = producer
        if not self.jammed:
            self.feed()

    def unregisterProducer(self) -> None:  # noqa: N802
        self.producer = None

    def feed(self) -> None:
        while self.producer is not None and not self.jammed and self.up:
            self.producer.resumeProducing()

    def flow(self) -> None:
        """The kernel takes bytes again."""
        self.jammed = False
        held, self.held = self.held, b""
        self._take(held)
        self.feed()
        if self.closing and self.up and not self.ended and self.full_close:
            self.lose()

    full_close = False

    def loseConnection(self) -> None:  # noqa: N802
        self.closing = self.full_close = True
        if not self.jammed:
            self.reactor.callLater(0, self.lose)

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.closing = True

    def abortConnection(self) -> None:  # noqa: N802
        self.lose()

    def stopReading(self) -> None:  # noqa: N802
        self.reading = False

    def startReading(self) -> None:  # noqa: N802
        self.reading = True
        if self.pending or self.ended:
            self.reactor.callLater(0, self.read)

    def getHandle(self) -> _Handle:  # noqa: N802
        return _Handle(self)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        self.closing = True
        self.lose()

    # What the other end and the kernel do

    def lose(self) -> None:
        """The connection is over, at both ends."""
        if self.up:
            self.up = False
            self.reactor.wires.remove(self)
            self.link.connectionLost(Failure(ConnectionDone()))  # type: ignore[no-untyped-call]

    def arrive(self, data: bytes) -> None:
        """Bytes come and are read at once, unless nobody reads."""
        if not self.up:
            return
        self.pending += data
        self.read()

    def read(self) -> None:
        while self.up and self.reading and self.pending:
            data, self.pending = self.pending[:READ_MAX], self.pending[READ_MAX:]
            self.link.dataReceived(data)
        if self.up and self.reading and self.ended:
            half: Any = IHalfCloseableProtocol(self.link, None)
            if half is None:
                self.lose()
            else:  # as Twisted has it: nothing more is read, and the rest is up to the protocol
                self.reading = False
                half.readConnectionLost()


class Reactor:
    """Time in milliseconds that moves only when told to."""

    def __init__(self, port: Callable[[Any], Port] = Port) -> None:
        self.now = 1_000_000.0
        self.make_port = port
        self.calls: list[Later] = []
        self.openings: list[Connector] = []
        self.wires: list[Wire] = []
        self.ports: list[Any] = []
        self.stopped = False

    def callLater(self, seconds: float, call: Callable[..., None], *args: Any) -> Later:  # noqa: N802
        later = Later(self, self.now + seconds * 1000.0, (lambda: call(*args)) if args else call)
        self.calls.append(later)
        return later

    def callFromThread(self, call: Callable[..., None], *args: Any) -> None:  # noqa: N802
        self.callLater(0, call, *args)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: Any = None) -> Connector:  # noqa: N802
        connector = Connector(self, (host, port), factory)
        self.openings.append(connector)
        return connector

    def listenTCP(self, port: int, factory: Any, backlog: int = 0, interface: str = "") -> Port:  # noqa: N802
        made = self.make_port(factory)
        self.ports.append(made)
        return made

    def stop(self) -> None:
        self.stopped = True

    def join(self, link: Any, address: tuple[str, int] | None) -> Wire:
        wire = Wire(self, link, address)
        self.wires.append(wire)
        link.makeConnection(wire)
        return wire

    def next_at(self) -> float | None:
        return min((c.at for c in self.calls if not c.over), default=None)

    def run_due(self) -> None:
        """Runs what is due now, and what that sets for now."""
        for _ in range(10_000):
            due = [(c.at, n, c) for n, c in enumerate(self.calls) if not c.over and c.at <= self.now]
            if not due:
                self.calls = [c for c in self.calls if not c.over]
                return
            heapq.heapify(due)
            later = heapq.heappop(due)[2]
            later.over = True
            later.call()
        raise AssertionError("calls are set again and again for the same moment")

    def advance(self, to: float) -> None:
        while not self.stopped and (at := self.next_at()) is not None and at <= to:
            self.now = max(at, self.now)
            self.run_due()
        self.now = to
