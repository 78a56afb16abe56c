"""Connections to instances, and the connection pool of one instance address."""

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
    MAX_READ_BYTES,
    SMALL_MESSAGE_BYTES,
    BadMessageError,
    Message,
    Parser,
)
from meadowpulley.net.memory_budget import MemoryUse

# Maximum time from the first bytes of a response to its end. This time is short, since an instance writes a
# whole response at once.
PARTIAL_RESPONSE_TIMEOUT_MS = 500.0
# Delay before a connection that has carried a response is reused. An instance may send a duplicate response
# some milliseconds later, and nothing in a response identifies its request. The duplicate is specified to
# follow in under 10 ms; another 10 ms allow for different network delays of the two responses.
REUSE_DELAY_MS = 20.0
FIRST_FINAL_STATUS = 200  # responses with a lower status are interim (RFC 9110, 15.2)
# An instance may close an idle connection after `idle_timeout_ms`. The gateway closes the connection
# earlier, after this fraction of `idle_timeout_ms`.
IDLE_TIMEOUT_FRACTION = 0.75


class Exchange(Protocol):
    """A request sent on an instance connection; one of the callbacks reports the result of the request."""

    connection: InstanceConnection | None
    written: bool  # whether the kernel has accepted the last byte of the request

    def response_received(self, response: Message) -> None:
        """Handle a complete response."""

    def connection_lost(self) -> None:
        """Handle the end of the connection before a complete response."""

    def malformed_response(self) -> None:
        """Handle input that is not a valid response."""


class PoolOwner(Protocol):
    """The part of `InstancePools` that a pool and its connections use."""

    gateway: GatewayContext
    idle_timeout_ms: float

    def connection_opened(self) -> None:
        """Count an established connection."""

    def connection_closed(self) -> None:
        """Stop counting the socket of a connection that has ended."""


class InstanceConnectionState(Enum):
    """State of an instance connection; BUSY means that it carries a request."""

    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


class InstanceConnection(Connection):
    """A connection to an instance, which carries one request at a time."""

    read_bytes = MAX_READ_BYTES

    def __init__(self, pool: ConnectionPool) -> None:
        max_output_bytes = MAX_HEAD_BYTES + MAX_BODY_BYTES + MAX_HEAD_BYTES
        memory = pool.owner.gateway.memory_budget.open_account(MemoryUse.INSTANCE)
        super().__init__(pool.owner.gateway.deadlines, MAX_BUFFERED_BYTES, max_output_bytes, memory)
        self.pool = pool
        self.parser = Parser(self.input_buffer, expect_requests=False)
        self.state = InstanceConnectionState.IDLE
        self.exchange: Exchange | None = None
        self.handle = -1
        self.reusable_at = -math.inf  # earliest time at which another request may be sent
        self.aborted = False  # whether this gateway ended the connection

    def opened(self) -> None:
        """Count the established connection, and reset the connection if its pool is already retired."""
        self.pool.owner.connection_opened()
        # A pool is retired when its instance is removed, replaced or draining. An instance of another build
        # may then run at the same address, and requests for the old instance must not reach that build.
        if self.pool.retired:
            self.abort()

    def send_request(self, exchange: Exchange, data: bytes) -> None:
        """Write a request. The result of the request is reported to `exchange`."""
        self.timeout.clear()
        self.state = InstanceConnectionState.BUSY
        self.exchange = exchange
        exchange.connection = self
        self.send(data)

    def flushed(self) -> None:
        """Mark the request as written."""
        if self.exchange is not None:
            self.exchange.written = True

    def received(self) -> None:
        """Parse the response, skipping interim responses."""
        exchange = self.exchange
        if exchange is None:  # unsolicited input makes the connection unusable
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
            self.timeout.clear()  # an interim response arrived; the final response may take longer
        elif self.timeout.at == math.inf:
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_incomplete)

    def _response_incomplete(self) -> None:
        """Handle a response that was not completed in time, for example because of a wrong length."""
        # Unread input, or an unread end of the connection, shows that the gateway is delayed and not the
        # instance.
        if self.has_unread_input():
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_incomplete)
        elif self.exchange is not None:
            self.exchange.malformed_response()

    def _response_received(self, exchange: Exchange, response: Message) -> None:
        reusable = response.keep_alive and exchange.written and not self.parser.has_partial_message
        self.exchange = None
        self.timeout.clear()
        if reusable and self.is_open:
            self.acknowledge_input()
            self.state = InstanceConnectionState.IDLE
            self.reusable_at = self.deadlines.now() + REUSE_DELAY_MS
            self.pool.release(self)
        else:
            self.abort()
        exchange.response_received(response)

    def closed(self) -> None:
        """Report the end of the connection, which may complete a response without a declared length."""
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
        # A response is completed by an orderly end of the connection, but not by a reset.
        response = None if self.was_reset else self.parser.end_of_stream()
        if response is not None and exchange.written:
            exchange.response_received(response)
        else:
            exchange.connection_lost()

    def abort(self) -> None:
        """Reset the connection and report its end immediately."""
        was_open = self.is_open
        self.aborted = True
        super().abort()
        if was_open:
            self.closed()

    def held_bytes(self) -> int:
        """Return the memory in bytes that the connection holds for its instance."""
        return super().held_bytes() + self.parser.held_bytes

    def budget_exceeded(self) -> None:
        """Give up a large response, since no client can be made to give way any more."""
        if self.exchange is not None and self.held_bytes() > SMALL_MESSAGE_BYTES:
            self.pool.owner.gateway.counters.add("memory.shed.responses")
            self.exchange.malformed_response()

    def overflowed(self) -> None:
        """Handle a response that exceeds the input buffer."""
        if self.exchange is not None:
            self.exchange.malformed_response()
        else:
            self.abort()


class ConnectionPool:
    """Connection pool for one incarnation of a server at one address."""

    def __init__(
        self, owner: PoolOwner, server: int, address: Address, incarnation: ServerIncarnation
    ) -> None:
        self.owner = owner
        self.server = server
        self.address = address
        self.incarnation = incarnation
        self.idle: list[InstanceConnection] = []  # idle connections, the oldest first
        self.retired = False  # whether the server was removed, is draining, or was replaced

    def acquire(self) -> InstanceConnection | None:
        """Remove an idle connection from the pool and return it, or None if there is no usable one.

        The newest connection that may be reused now is preferred. If there is none, the connection that may
        be reused first is returned, and the caller waits until its `reusable_at`. The caller doesn't open
        another connection, since an instance accepts only a few connections.
        """
        now = self.owner.gateway.deadlines.now()
        while self.idle:
            connection = self.idle.pop(self._preferred_index(now))
            # The gateway is delayed if the idle timeout has passed but has not closed the connection yet. The
            # instance may close that connection at any time.
            if connection.timeout.at <= now:
                connection.abort()
                continue
            if not connection.has_unread_input():
                return connection
            self.owner.gateway.counters.add("up.found_closed")
            connection.abort()
            self.ended_by_server()
        return None

    def _preferred_index(self, now: float) -> int:
        """Return the index of the newest idle connection that may be reused now, or 0 if there is none."""
        for index in range(len(self.idle) - 1, -1, -1):
            if self.idle[index].reusable_at <= now:
                return index
        return 0

    def release(self, connection: InstanceConnection) -> None:
        """Return a connection to the pool and start its idle timeout."""
        if self.retired:  # a retired pool would never reuse or close the connection
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
        """Count an idle connection that the server has closed."""
        self.owner.gateway.counters.add("up.idle_lost")

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            connection.abort()
