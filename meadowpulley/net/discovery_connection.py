"""Connections to discovery, which carry one request at a time, and the store of an idle connection."""

from __future__ import annotations

import math

from twisted.internet.defer import Deferred

from meadowpulley.net import protocol
from meadowpulley.net.connection import Connection
from meadowpulley.net.deadlines import Deadlines
from meadowpulley.net.endpoint_list import DiscoveryError
from meadowpulley.net.http1 import BadMessageError, Message, Parser, request_bytes
from meadowpulley.net.memory_budget import BYTES_PER_MB

# How long the rest of a partly received response may take. Discovery writes each response in one piece.
PARTIAL_RESPONSE_TIMEOUT_MS = 500.0
MAX_LIST_BYTES = 8 * 1024 * 1024  # 8 MiB: enough for a list of thousands of instances
MAX_LIST_FRACTION = 1 / 16  # of the memory limit: a list takes several times its size while it is read
MAX_REQUEST_BYTES = 4096


class DiscoveryConnection(Connection):
    """Sends one request at a time, and fires its Deferred with the response or a DiscoveryError.

    A response may take a sixteenth of `memory_mb` (10^6 bytes), and at most `MAX_LIST_BYTES`.
    """

    is_control_plane = True

    def __init__(self, deadlines: Deadlines, memory_mb: float = math.inf) -> None:
        max_list_bytes = int(min(MAX_LIST_BYTES, memory_mb * BYTES_PER_MB * MAX_LIST_FRACTION))
        super().__init__(deadlines, max_list_bytes, MAX_REQUEST_BYTES)
        self.parser = Parser(self.input_buffer, expect_requests=False, max_body_bytes=max_list_bytes)
        self.response: Deferred[Message] | None = None
        self.response_begun = False  # whether a part of the response to the latest request has arrived

    @property
    def is_reusable(self) -> bool:
        """Whether the next request may use the connection: it is open and has no unrequested input."""
        return self.is_open and not self.parser.has_partial_message and not self.has_unread_input()

    def request(self, target: str) -> Deferred[Message]:
        """Send a GET request for a target (path and query)."""
        response: Deferred[Message] = Deferred()
        self.response = response
        self.response_begun = False
        self.send(request_bytes("GET", target, {"host": protocol.DISCOVERY_HOST}))
        return response

    def received(self) -> None:
        """Deliver a complete response, or start the time-out for the rest of a partial one."""
        self.response_begun = True
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
        """Deliver the response if the end of the connection completes it, otherwise fail the request."""
        message = self.parser.end_of_stream()
        if message is not None:
            self._deliver(message)
        else:
            self._fail("the connection broke before the response was complete")

    def overflowed(self) -> None:
        """Fail the request when its response exceeds the input buffer."""
        self._fail(f"the response is longer than {self.input_buffer.max_bytes} bytes: raise 'memory_mb'")
        self.abort()

    def _response_overdue(self) -> None:
        if self.has_unread_input():  # this gateway reads late; the response may be complete
            self.timeout.set(PARTIAL_RESPONSE_TIMEOUT_MS, self._response_overdue)
            return
        self._fail("only part of the response arrived in time")
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
    """Stores at most one idle connection, which the next request reuses."""

    def __init__(self) -> None:
        self._connection: DiscoveryConnection | None = None

    def take(self) -> DiscoveryConnection | None:
        """Remove the stored connection; return it if it is reusable, otherwise close it and return None."""
        connection = self._connection
        self._connection = None
        if connection is None or connection.is_reusable:
            return connection
        connection.abort()
        return None

    def put(self, connection: DiscoveryConnection) -> None:
        """Store an idle connection for the next request, and close the one that was stored before."""
        self.discard()
        self._connection = connection

    def discard(self) -> None:
        """Close the stored idle connection, if there is one, so that the next request opens a new one."""
        connection = self._connection
        self._connection = None
        if connection is not None:
            connection.abort()
