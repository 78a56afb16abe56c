"""A connection to an instance, and the pool of those to one address."""

from __future__ import annotations

import math
from enum import Enum
from typing import Protocol

from meadowpulley.net.config import Address
from meadowpulley.net.connection import Connection
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    MAX_HEAD_BYTES,
    BadMessageError,
    Message,
    Parser,
)

PARTIAL_RESPONSE_TIMEOUT_MS = 500.0  # for the rest of an answer that has begun: answers are written whole
# A second answer may come some milliseconds late (the standing test's page), and nothing in an answer says
# whose it is: for so long a connection that has answered carries nothing. Under ten by the word, and as much
# again, since the two need not take the same time through the network.
REUSE_DELAY_MS = 20.0
IDLE_TIMEOUT_FRACTION = 0.75  # of the time after which an instance may close a connection: ours goes before


class Exchange(Protocol):
    """What travels on a connection: it hears once what became of it."""

    connection: InstanceConnection | None
    written: bool  # the kernel has the request's last byte

    def response_received(self, response: Message) -> None: ...

    def connection_lost(self) -> None: ...

    def malformed_response(self) -> None: ...


class PoolOwner(Protocol):
    """What a pool and its connections ask of whoever keeps the pools."""

    gateway: GatewayContext
    idle_timeout_ms: float

    def connection_opened(self, connection: InstanceConnection) -> None: ...

    def connection_closed(self, connection: InstanceConnection) -> None: ...


class InstanceConnectionState(Enum):
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


class InstanceConnection(Connection):
    """One connection to an instance; at most one request travels on it at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        super().__init__(
            pool.owner.gateway.deadlines, MAX_BUFFERED_BYTES, MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_HEAD_BYTES
        )
        self.pool = pool
        self.parser = Parser(self.input_buffer, expect_requests=False)
        self.state = InstanceConnectionState.IDLE
        self.exchange: Exchange | None = None
        self.handle = -1
        self.reusable_at = -math.inf  # from then on it may carry a request

    def opened(self) -> None:
        self.pool.owner.connection_opened(self)
        if self.pool.retired:  # another build may run there by now, for which its request was not meant
            self.abort()

    def send_request(self, exchange: Exchange, data: bytes) -> None:
        self.timeout.clear()
        self.state, self.exchange, exchange.connection = InstanceConnectionState.BUSY, exchange, self
        self.send(data)

    def flushed(self) -> None:
        if self.exchange is not None:
            self.exchange.written = True

    def received(self) -> None:
        exchange = self.exchange
        if exchange is None:  # nothing was asked for: this connection is not to be trusted
            self.pool.owner.gateway.counters.add("up.unasked")
            self.abort()
            return
        try:
            response = self.parser.next_message()
            while response is not None and response.status < 200:
                response = self.parser.next_message()
        except BadMessageError:
            exchange.malformed_response()
            return
        if response is not None:
            self._response_received(exchange, response)
        elif not self.parser.has_partial_message:
            self.timeout.clear()  # what had begun was a 1xx: the answer itself may take its time
        elif self.timeout.at == math.inf:
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_incomplete)

    def _response_incomplete(self) -> None:
        """An answer began and did not end: what its head says of its length was wrong."""
        if self.has_unread_input():  # this gateway is late, not the rest of the answer
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_incomplete)
        elif self.exchange is not None:
            self.exchange.malformed_response()

    def _response_received(self, exchange: Exchange, response: Message) -> None:
        reusable = response.keep_alive and exchange.written and not self.parser.has_partial_message
        self.exchange = None
        self.timeout.clear()
        if reusable and self.is_open:
            self.state = InstanceConnectionState.IDLE
            self.reusable_at = self.deadlines.now() + REUSE_DELAY_MS
            self.pool.release(self)
        else:
            self.abort()
        exchange.response_received(response)

    def closed(self) -> None:
        if self.state is InstanceConnectionState.CLOSED:
            return
        self.state = InstanceConnectionState.CLOSED
        self.pool.connection_closed(self)
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        response = (
            None if self.was_reset else self.parser.end_of_stream()
        )  # a reset is no end of an answer, however framed
        if response is not None and exchange.written:
            exchange.response_received(response)
        else:
            exchange.connection_lost()

    def abort(self) -> None:
        was_open = self.is_open
        super().abort()
        if was_open:
            self.closed()

    def overflowed(self) -> None:
        if self.exchange is not None:
            self.exchange.malformed_response()
        else:
            self.abort()


class ConnectionPool:
    """The connections to one address."""

    def __init__(
        self, owner: PoolOwner, server: int, address: Address, incarnation: tuple[int, float] = (0, 0.0)
    ) -> None:
        self.owner, self.server, self.address, self.incarnation = owner, server, address, incarnation
        self.idle: list[InstanceConnection] = []  # oldest first
        self.retired = False  # the server has gone, or another build runs under its name

    def acquire(self) -> InstanceConnection | None:
        """The newest that may carry a request, or else the one that may soonest: it is kept for whoever takes
        it, who waits until then rather than open another, of which an instance holds few."""
        now = self.owner.gateway.deadlines.now()
        while self.idle:
            reusable = (n for n in range(len(self.idle) - 1, -1, -1) if self.idle[n].reusable_at <= now)
            connection = self.idle.pop(next(reusable, 0))
            if not connection.has_unread_input():
                return connection
            self.owner.gateway.counters.add("up.found_closed")
            connection.abort()
        return None

    def release(self, connection: InstanceConnection) -> None:
        if self.retired:  # nobody would take it again, nor close it
            connection.abort()
            return
        self.idle.append(connection)
        if self.owner.idle_timeout_ms > 0:
            connection.timeout.set(self.owner.idle_timeout_ms * IDLE_TIMEOUT_FRACTION, connection.abort)

    def connection_closed(self, connection: InstanceConnection) -> None:
        if connection in self.idle:
            self.idle.remove(connection)
        self.owner.connection_closed(connection)

    def close_idle(self) -> None:
        for connection in list(self.idle):
            connection.abort()
