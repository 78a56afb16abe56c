"""A connection to an instance, and the pool of the connections to one address."""

from __future__ import annotations

import math
from enum import Enum
from typing import Protocol

from meadowpulley.net.config import Address
from meadowpulley.net.connection import Connection
from meadowpulley.net.endpoint_list import ServerIncarnation
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import (
    MAX_BODY_BYTES,
    MAX_BUFFERED_BYTES,
    MAX_HEAD_BYTES,
    BadMessageError,
    Message,
    Parser,
)

PARTIAL_RESPONSE_TIMEOUT_MS = 500.0  # for the rest of a response that has begun: instances write it at once
# A duplicate response may follow some milliseconds later, and nothing in a response names its request. A
# connection that has carried a response is therefore not reused for so long. The delay is stated as under 10
# ms; the same again allows for the two taking different times through the network.
REUSE_DELAY_MS = 20.0
FIRST_FINAL_STATUS = 200  # a response with a lower one is interim (RFC 9110, 15.2)
# Of the time after which an instance may close an idle connection: this gateway closes it before.
IDLE_TIMEOUT_FRACTION = 0.75


class Exchange(Protocol):
    """A request on an instance connection; one of the callbacks reports its result."""

    connection: InstanceConnection | None
    written: bool  # the kernel has the last byte of the request

    def response_received(self, response: Message) -> None:
        """Handle a complete response."""

    def connection_lost(self) -> None:
        """Handle that the connection ended without a response."""

    def malformed_response(self) -> None:
        """Handle input that is not a valid response."""


class PoolOwner(Protocol):
    """What a pool and its connections use of the object that holds the pools."""

    gateway: GatewayContext
    idle_timeout_ms: float

    def connection_opened(self) -> None:
        """Handle that a connection was established."""

    def connection_closed(self) -> None:
        """Handle that a connection has ended."""


class InstanceConnectionState(Enum):
    """Whether a connection carries a request."""

    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


class InstanceConnection(Connection):
    """One connection to an instance; it carries one request at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        max_output_bytes = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_HEAD_BYTES
        super().__init__(pool.owner.gateway.deadlines, MAX_BUFFERED_BYTES, max_output_bytes)
        self.pool = pool
        self.parser = Parser(self.input_buffer, expect_requests=False)
        self.state = InstanceConnectionState.IDLE
        self.exchange: Exchange | None = None
        self.handle = -1
        self.reusable_at = -math.inf  # from when on it may carry a request
        self.aborted = False  # this gateway ended it

    def opened(self) -> None:
        """Report the connection; close it if its pool was retired meanwhile."""
        self.pool.owner.connection_opened()
        if self.pool.retired:  # another build may run there by now, for which the request was not meant
            self.abort()

    def send_request(self, exchange: Exchange, data: bytes) -> None:
        """Write a request whose result goes to `exchange`."""
        self.timeout.clear()
        self.state = InstanceConnectionState.BUSY
        self.exchange = exchange
        exchange.connection = self
        self.send(data)

    def flushed(self) -> None:
        """Note that the request is written."""
        if self.exchange is not None:
            self.exchange.written = True

    def received(self) -> None:
        """Parse the response, skipping interim ones."""
        exchange = self.exchange
        if exchange is None:  # unsolicited input: the connection can't be trusted
            self.pool.owner.gateway.counters.add("up.unsolicited")
            self.abort()
            return
        try:
            response = self.parser.next_message()
            while response is not None and response.status < FIRST_FINAL_STATUS:
                response = self.parser.next_message()
        except BadMessageError:
            exchange.malformed_response()
            return
        if response is not None:
            self._response_received(exchange, response)
        elif not self.parser.has_partial_message:
            self.timeout.clear()  # an interim response had begun: the final one may take its time
        elif self.timeout.at == math.inf:
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_incomplete)

    def _response_incomplete(self) -> None:
        """Handle a response that began and did not end: the length in its head was wrong."""
        if self.has_unread_input():  # this gateway is delayed, not the rest of the response
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
        """Report the end of the connection, which may complete a response."""
        if self.state is InstanceConnectionState.CLOSED:
            return
        self.state = InstanceConnectionState.CLOSED
        self.pool.connection_closed(self)
        exchange = self.exchange
        self.exchange = None
        if exchange is None:
            if not self.aborted:
                self.pool.ended_by_server()
            return
        response = None if self.was_reset else self.parser.end_of_stream()  # a reset completes no response
        if response is not None and exchange.written:
            exchange.response_received(response)
        else:
            exchange.connection_lost()

    def abort(self) -> None:
        """Reset the connection and report its end at once."""
        was_open = self.is_open
        self.aborted = True
        super().abort()
        if was_open:
            self.closed()

    def overflowed(self) -> None:
        """Handle a response that exceeds the input buffer."""
        if self.exchange is not None:
            self.exchange.malformed_response()
        else:
            self.abort()


class ConnectionPool:
    """The connections to one address of one incarnation of a server."""

    def __init__(
        self, owner: PoolOwner, server: int, address: Address, incarnation: ServerIncarnation
    ) -> None:
        self.owner = owner
        self.server = server
        self.address = address
        self.incarnation = incarnation
        self.idle: list[InstanceConnection] = []  # oldest first
        self.retired = False  # the server was removed, or restarted with another build

    def acquire(self) -> InstanceConnection | None:
        """Remove an idle connection from the pool and return it; None if there is none.

        The newest that may carry a request is preferred, else the one that may soonest: its `reusable_at` is
        to be awaited, rather than another connection opened, of which an instance accepts few.
        """
        now = self.owner.gateway.deadlines.now()
        while self.idle:
            connection = self.idle.pop(self._preferred_index(now))
            if connection.timeout.at <= now:  # this gateway stalled: the instance may close it any moment
                connection.abort()
                continue
            if not connection.has_unread_input():
                return connection
            self.owner.gateway.counters.add("up.found_closed")
            connection.abort()
            self.ended_by_server()
        return None

    def _preferred_index(self, now: float) -> int:
        """Return which idle connection to use: the newest that may carry a request now, else the oldest."""
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].reusable_at <= now:
                return index
        return 0

    def release(self, connection: InstanceConnection) -> None:
        """Return a connection to the pool."""
        if self.retired:  # nobody would acquire or close it again
            connection.abort()
            return
        self.idle.append(connection)
        if self.owner.idle_timeout_ms > 0:
            connection.timeout.set(self.owner.idle_timeout_ms * IDLE_TIMEOUT_FRACTION, connection.abort)

    def connection_closed(self, connection: InstanceConnection) -> None:
        """Remove a connection that has ended."""
        if connection in self.idle:
            self.idle.remove(connection)
        self.owner.connection_closed()

    def ended_by_server(self) -> None:
        """Count a connection on which nothing was outstanding and which the server has ended."""
        self.owner.gateway.counters.add("up.idle_lost")

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.abort()
