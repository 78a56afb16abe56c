"""One connection to discovery: a request at a time, and the idle connection kept for the next request."""

from __future__ import annotations

import math

from twisted.internet.defer import Deferred

from meadowpulley.net import protocol
from meadowpulley.net.connection import Connection
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.endpoint_list import DiscoveryError
from meadowpulley.net.http1 import BadMessageError, Message, Parser, request_bytes

# For the rest of a response that has begun: discovery writes it in one piece.
PARTIAL_RESPONSE_TIMEOUT_MS = 500.0
MAX_LIST_BYTES = 8 * 1024 * 1024  # a list of thousands of instances
MAX_REQUEST_BYTES = 4096


class DiscoveryConnection(Connection):
    """Sends one request at a time; the Deferred of each fires with its response or a DiscoveryError."""

    def __init__(self, deadlines: Deadlines) -> None:
        super().__init__(deadlines, MAX_LIST_BYTES, MAX_REQUEST_BYTES)
        self.parser = Parser(self.input_buffer, expect_requests=False, max_body_bytes=MAX_LIST_BYTES)
        self.response: Deferred[Message] | None = None

    @property
    def is_reusable(self) -> bool:
        """Whether the next request may use it: it is open, and nothing has come that was not asked for."""
        return self.is_open and not self.parser.has_partial_message and not self.has_unread_input()

    def request(self, target: str) -> Deferred[Message]:
        """Send a GET request for a target."""
        response: Deferred[Message] = Deferred()
        self.response = response
        self.send(request_bytes("GET", target, {"host": protocol.DISCOVERY_HOST}))
        return response

    def received(self) -> None:
        """Deliver a complete response, and time the rest of an incomplete one."""
        try:
            message = self.parser.next_message()
        except BadMessageError as error:
            self._fail(str(error))
            self.abort()
            return
        if message is not None:
            self._deliver(message)
        elif self.parser.has_partial_message and self.timeout.at == math.inf:
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_overdue)

    def closed(self) -> None:
        """Deliver a response that the end of the connection completes; fail any other."""
        message = self.parser.end_of_stream()
        if message is not None:
            self._deliver(message)
        else:
            self._fail("the connection broke")

    def overflowed(self) -> None:
        """Fail a response that is larger than any list."""
        self._fail("the list is too long")
        self.abort()

    def _response_overdue(self) -> None:
        if self.has_unread_input():  # this gateway is late, not the rest of the response
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_overdue)
            return
        self._fail("only part of a response")
        self.abort()

    def _deliver(self, message: Message) -> None:
        response = self._take_pending_response()
        self.timeout.clear()
        if not message.keep_alive or response is None or self.parser.has_partial_message:
            self.abort()
        if response is not None:
            response.callback(message)

    def _fail(self, reason: str) -> None:
        response = self._take_pending_response()
        if response is not None:
            response.errback(DiscoveryError(reason))

    def _take_pending_response(self) -> Deferred[Message] | None:
        response = self.response
        self.response = None
        return response


class IdleConnectionSlot:
    """Holds at most one idle connection, for the next request."""

    def __init__(self) -> None:
        self._connection: DiscoveryConnection | None = None

    def take(self) -> DiscoveryConnection | None:
        """Return the connection if it can be reused, and hold none from then on."""
        connection = self._connection
        self._connection = None
        if connection is None or connection.is_reusable:
            return connection
        connection.abort()
        return None

    def put(self, connection: DiscoveryConnection) -> None:
        """Hold a connection in place of the one held before, which is closed."""
        self.discard()
        self._connection = connection

    def discard(self) -> None:
        """Close the connection that is held."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.abort()
