"""A client's connection: its requests one after another, its time-outs and its end."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from meadowpulley.net.connection import Connection
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import (
    MAX_BUFFERED_BYTES,
    MAX_READ_BYTES,
    BadMessageError,
    Parser,
    response_bytes,
)
from meadowpulley.net.request_admission import RequestAdmission
from meadowpulley.net.request_table import NO_HANDLE, AcceptedRequest, RequestTable

FIRST_REQUEST_TIMEOUT_MS = 2_000.0  # from the connection until a client's first request is complete
PARTIAL_REQUEST_TIMEOUT_MS = 2_000.0  # a later request, from its first byte to its last
IDLE_TIMEOUT_MS = 2_100.0  # a client may be silent between requests, or leave a response unread
RECHECK_INTERVAL_MS = 20.0  # until a time-out or a lack of slots is looked at again
SLOW_READER_GRACE_MS = 500.0  # past its deadline for a response that its client is still reading
LINGER_TIMEOUT_MS = 1_000.0  # after the last response, so that it is read before the connection breaks
MAX_DISCARDED_BYTES = 256 * 1024  # of input behind the last request; the kernel holds up the rest
MAX_REQUESTS_PER_TURN = 4  # of one connection: usual clients send one, and would wait behind a flood


class ClientConnectionOwner(Protocol):
    """What a connection uses of the table that holds it."""

    gateway: GatewayContext
    admission: RequestAdmission
    requests: RequestTable
    draining: bool

    @property
    def half_full(self) -> bool:
        """Whether more than half of the slots for connections are used."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Handle that a connection was accepted."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Handle that a connection has ended."""


class ClientConnectionState(Enum):
    """What a connection is waiting for.

    | from | on | to |
    | --- | --- | --- |
    | WAITING | a complete request | PROCESSING |
    | WAITING | input that is no request | RESPONDING |
    | WAITING | idle too long, evicted or draining | LINGERING |
    | PROCESSING | the response | RESPONDING |
    | RESPONDING | the kernel has the whole response | WAITING, or LINGERING after the last one |

    The connection may break in any state.
    """

    WAITING = "waiting"  # for a request, or the rest of one
    PROCESSING = "processing"  # for the response to an accepted request
    RESPONDING = "responding"  # until the kernel has the whole response
    LINGERING = "lingering"  # for its end: the last response is written, further input is discarded


class ClientConnection(Connection):
    """A connection on which a client sends one request after another."""

    def __init__(self, owner: ClientConnectionOwner) -> None:
        super().__init__(owner.gateway.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.owner = owner
        self.parser = Parser(self.input_buffer, expect_requests=True)
        self.state = ClientConnectionState.WAITING
        self.handle = NO_HANDLE
        self.request: AcceptedRequest | None = None
        self.closing = False  # the next response is the last one
        self.unused = True  # nothing was received yet
        self._processing_input = False
        self._reading_paused = False
        self._continuation_scheduled = False
        self._deadline_extended = False
        self._partial_timeout_set = True  # until the first request is complete one time-out covers all of it
        self._discarded_bytes = 0

    def opened(self) -> None:
        """Report the connection and wait for its first request."""
        self.owner.connection_opened(self)
        self.timeout.set(FIRST_REQUEST_TIMEOUT_MS, self._idle_timed_out)

    def received(self) -> None:
        """Process requests, and discard input that nobody will answer."""
        self.unused = False
        if self.state is ClientConnectionState.WAITING:
            self._process_input()
        if self.is_open and self._is_input_nearly_full:
            # No client that waits for responses writes so far ahead. Reading continues, since nothing else
            # reports that a client is gone: the next response ends the connection, and further input is
            # discarded.
            self.closing = True
            if self.state is ClientConnectionState.WAITING:
                self._process_input(max_requests=1)
        if self.state is ClientConnectionState.LINGERING or self._is_input_nearly_full:
            self._discard_input()

    @property
    def _is_input_nearly_full(self) -> bool:
        """Whether the next read might not fit into the input buffer."""
        return self.input_buffer.free_bytes < MAX_READ_BYTES

    def _discard_input(self) -> None:
        self._discarded_bytes += len(self.input_buffer)
        self.input_buffer.clear()
        if self._discarded_bytes <= MAX_DISCARDED_BYTES:
            return
        if self.state is not ClientConnectionState.LINGERING:
            self.abort()
        elif not self._reading_paused:
            self._reading_paused = True
            self.transport.stopReading()

    def _continue_processing(self) -> None:
        self._continuation_scheduled = False
        if self.state is ClientConnectionState.WAITING:
            self._process_input()

    def _process_input(self, max_requests: int = MAX_REQUESTS_PER_TURN) -> None:
        """Admit the requests in the input buffer, until one has to wait for its response."""
        if self._processing_input:
            return
        self._processing_input = True
        try:
            self._admit_requests(max_requests)
        except BadMessageError as error:
            self.reject_input(error)
        except Exception:  # noqa: BLE001  # a fault costs one client its connection, and neither the others nor the process
            self._handle_admission_fault()
        finally:
            self._processing_input = False
        if self.is_open and self.state is ClientConnectionState.WAITING:
            self._await_remaining_request()

    def _admit_requests(self, max_requests: int) -> None:
        remaining = max_requests
        while self.is_open and self.state is ClientConnectionState.WAITING:
            if not remaining:
                if not self._continuation_scheduled:
                    self._continuation_scheduled = True
                    self.deadlines.after(0.0, self._continue_processing)
                break
            remaining -= 1
            message = self.parser.next_message()
            if message is None:
                break
            self._partial_timeout_set = False
            self._deadline_extended = False
            self.state = ClientConnectionState.PROCESSING
            self.timeout.clear()
            self.owner.admission.accept(self, message)

    def _handle_admission_fault(self) -> None:
        """Fail the request on which an exception was raised; the gateway continues."""
        self.owner.gateway.log_fault("admission")
        self.closing = True
        if self.request is not None:
            self.owner.requests.respond(self.request, 502, {}, b"")
        elif self.state in (ClientConnectionState.WAITING, ClientConnectionState.PROCESSING):
            self.respond(502, {}, b"")

    def _await_remaining_request(self) -> None:
        if self.parser.expects_continue:
            self.parser.expects_continue = False
            self.send(response_bytes(100, {}))
        if self.parser.has_partial_message and not self._partial_timeout_set:
            self._partial_timeout_set = True
            self.timeout.set(PARTIAL_REQUEST_TIMEOUT_MS, self._request_timed_out)

    def reject_input(self, error: BadMessageError) -> None:
        """Answer input that is not a valid request, and end the connection."""
        self.owner.gateway.counters.add(f"in.bad.{error.status}")
        self.closing = True
        self.respond(error.status, {}, f"{error}\n".encode())

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send the response to the current request."""
        request = self.request
        self.request = None
        self.state = ClientConnectionState.RESPONDING
        # Clients may open a limited number of connections: with half of the slots used a response ends its
        # connection, or clients that send one request and stay connected leave no slot for the next one.
        self.closing = self.closing or self.owner.draining or self.owner.half_full
        # A client that does not read its response is bounded too; one that reads slowly has its whole
        # deadline.
        remaining_ms = 0.0
        if request is not None:
            remaining_ms = request.deadline - self.deadlines.now() + SLOW_READER_GRACE_MS
        self.timeout.set(max(IDLE_TIMEOUT_MS, remaining_ms), self.abort)
        self.send(response_bytes(status, headers, body, self.closing))

    def flushed(self) -> None:
        """Continue with the next request after a response, or end the connection."""
        if self.state is not ClientConnectionState.RESPONDING or not self.is_open:
            return
        if self.closing:
            self.linger()
            return
        self.state = ClientConnectionState.WAITING
        self.timeout.set(IDLE_TIMEOUT_MS, self._idle_timed_out)
        self._process_input()
        if self.owner.draining:  # draining began between the first byte of the response and the last
            self.close_if_idle()

    def linger(self) -> None:
        """Close this side of the connection, and all of it once the client has closed its own."""
        self.state = ClientConnectionState.LINGERING
        self.input_buffer.clear()
        self.timeout.set(LINGER_TIMEOUT_MS, self.release_slot)
        self.transport.loseWriteConnection()

    def close_between_requests(self) -> None:
        """Close an idle connection. A client whose next request crosses this, unread, sends it elsewhere."""
        self.state = ClientConnectionState.LINGERING
        self.close()

    def release_slot(self) -> None:
        """Free the slot of a lingering connection; what the kernel has of its last response is still sent.

        The descriptor is closed in the next turn: in this one there may be an unhandled event for it.
        """
        if self.is_open:
            self.is_open = False
            self.transport.stopReading()
            self.owner.gateway.reactor.callLater(0, self.close)
            self.closed()

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for a request of which nothing was received."""
        return (
            self.is_open
            and self.state is ClientConnectionState.WAITING
            and not self.parser.has_partial_message
        )

    def close_if_idle(self) -> None:
        """Close the connection if it is idle and has no unread input."""
        if self.is_idle and not self.has_unread_input():
            self.close_between_requests()

    def _idle_timed_out(self) -> None:
        if self.parser.has_partial_message:
            self._request_timed_out()
            return
        if self.has_unread_input():  # this gateway is delayed, not the client
            self.timeout.set(RECHECK_INTERVAL_MS, self._idle_timed_out)
            return
        self.owner.gateway.counters.add("in.idle_timeouts")
        self.close_between_requests()

    def _request_timed_out(self) -> None:
        # This gateway may be delayed. Extend only once, since some clients trickle without an end.
        if self.has_unread_input() and not self._deadline_extended:
            self._deadline_extended = True
            self.timeout.set(RECHECK_INTERVAL_MS, self._request_timed_out)
            return
        self.reject_input(BadMessageError(408, "the request did not come whole"))

    def closed(self) -> None:
        """Report the end of the connection."""
        self.owner.connection_closed(self)

    def abort(self) -> None:
        """Reset the connection and report its end at once."""
        was_open = self.is_open
        super().abort()
        if was_open:
            self.closed()
