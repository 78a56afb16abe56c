"""Client connections: processing of consecutive requests, timeouts, and closing."""

from __future__ import annotations

import math
from typing import Protocol

from meadowpulley.net.client_connection_state import ClientConnectionState
from meadowpulley.net.connection import Connection
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
    response_bytes,
)
from meadowpulley.net.memory_budget import MemoryUse
from meadowpulley.net.request_admission import RequestAdmission
from meadowpulley.net.request_table import NO_HANDLE, AcceptedRequest, RequestTable

# Maximum time from accepting a connection until the first request on the connection is complete.
FIRST_REQUEST_TIMEOUT_MS = 2_000.0
# Time in which the second and each further request on a connection must arrive completely, counted from the
# first byte of the request, or from the end of the previous response if that is later.
PARTIAL_REQUEST_TIMEOUT_MS = 2_000.0
# Maximum time for which a connection may be idle between two requests, and minimum time that a client has to
# read a response.
IDLE_TIMEOUT_MS = 2_100.0
RECHECK_INTERVAL_MS = 20.0  # delay before a postponed timeout or a shortage of slots is checked again
SLOW_READER_GRACE_MS = 500.0  # a slow client may read a response until this long after the request's deadline
# Time that a client has to read the last response and close the connection. Without this time, the connection
# could break before the client has read the response.
LINGER_TIMEOUT_MS = 1_000.0
# Maximum number of bytes of input that the gateway discards on one connection without a response. When a
# lingering connection exceeds this limit, the gateway stops reading, so that the kernel blocks the client's
# sending. When a connection in another state exceeds the limit, the gateway resets that connection.
MAX_DISCARDED_BYTES = 256 * 1024
MIN_INPUT_AGE_MS = 20  # a lower age of input may be the length of the kernel's clock tick, and is taken as 0
# Maximum number of requests of one connection that a reactor turn processes. Without this limit, clients that
# send one request at a time would have to wait while a flood of requests on another connection is processed.
MAX_REQUESTS_PER_TURN = 4
MAX_OUTPUT_BYTES = 2 * MAX_BODY_BYTES + MAX_HEAD_BYTES
_NO_MEMORY = "no memory for the request now"


class ClientConnectionOwner(Protocol):
    """The part of `ClientListener` that a client connection uses."""

    gateway: GatewayContext
    admission: RequestAdmission
    requests: RequestTable
    draining: bool

    @property
    def half_full(self) -> bool:
        """Whether more than half of the connection slots are in use."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Store an accepted connection."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""


class ClientConnection(Connection):
    """A connection on which a client sends one request after another."""

    read_bytes = MAX_READ_BYTES

    def __init__(self, owner: ClientConnectionOwner) -> None:
        memory = owner.gateway.memory_budget.open_account(MemoryUse.CLIENT)
        super().__init__(owner.gateway.deadlines, MAX_BUFFERED_BYTES, MAX_OUTPUT_BYTES, memory)
        self.owner = owner
        self.parser = Parser(self.input_buffer, expect_requests=True)
        self.state = ClientConnectionState.WAITING
        self.handle = NO_HANDLE
        self.request: AcceptedRequest | None = None
        self.closing = False  # whether the connection ends after the next response
        self.unused = True  # whether the connection has received no input yet
        self._processing_input = False
        self._reading_paused = False
        self._continuation_scheduled = False
        self._deadline_extended = False
        self._partial_timeout_set = True  # the timeout set in `opened` covers the first request
        self._discarded_bytes = 0
        self.responding_since = math.inf  # when the current response was begun
        self.partial_since = math.inf  # when the first part of the partial request was processed

    def opened(self) -> None:
        """Register the connection and start the timeout for its first request."""
        self.owner.connection_opened(self)
        self.timeout.set(FIRST_REQUEST_TIMEOUT_MS, self._idle_timed_out)

    def received(self) -> None:
        """Process requests, and discard input that will get no response."""
        self.unused = False
        if self.state is ClientConnectionState.WAITING:
            self._process_input()
        if self.is_open and self._is_input_nearly_full:
            # A client that waits for each response before its next request never nearly fills the buffer. End
            # the connection of any other client after the next response and discard further input. Keep
            # reading, since only a read detects that the client has disconnected.
            self.closing = True
            if self.state is ClientConnectionState.WAITING:
                self._process_input(max_requests=1)
        is_answering = self.state is not ClientConnectionState.WAITING
        if self.state is ClientConnectionState.LINGERING or (is_answering and self._is_input_nearly_full):
            self._discard_input()

    def overflowed(self) -> None:
        """Discard input behind the first request, which waits until all input was read."""
        self.closing = True
        self._count_discarded(self.last_read_bytes)
        if self.is_open and self.state is ClientConnectionState.WAITING:
            self._process_input(max_requests=1)

    @property
    def _is_more_to_read(self) -> bool:
        """Whether a client that writes ahead has more unread input, behind which its end may follow.

        The kernel may not know of the end of the connection yet, while its receive buffer is full. A client
        that sends one request at a time has no input behind that request.
        """
        wrote_ahead = self.last_read_bytes >= self.read_bytes or self._is_input_nearly_full
        return wrote_ahead and self.has_unread_input()

    @property
    def _is_input_nearly_full(self) -> bool:
        """Whether the next read might not fit into the input buffer."""
        return self.input_buffer.free_bytes < MAX_READ_BYTES

    def held_bytes(self) -> int:
        """Return the memory in bytes that the connection holds, without that of an accepted request."""
        return super().held_bytes() + self.parser.held_bytes

    @property
    def has_partial_request(self) -> bool:
        """Whether the connection waits for the rest of a request."""
        return (
            self.is_open and self.state is ClientConnectionState.WAITING and self.parser.has_partial_message
        )

    @property
    def has_input_ahead(self) -> bool:
        """Whether the client has sent more behind a request that has no response yet."""
        is_answering = self.state in (ClientConnectionState.PROCESSING, ClientConnectionState.RESPONDING)
        return self.is_open and is_answering and len(self.input_buffer) > 0

    def drop_input_ahead(self) -> None:
        """Discard the input behind an open request, and end the connection after its response."""
        self.closing = True
        self._discard_input()
        self.charge_memory()

    def refuse_partial_request(self) -> None:
        """Refuse a request that is not complete, so that its memory or slot can be used by others."""
        self._refuse_for_memory()
        self.input_buffer.clear()
        self.charge_memory()

    def _discard_input(self) -> None:
        discarded_bytes = len(self.input_buffer)
        self.input_buffer.clear()
        self._count_discarded(discarded_bytes)

    def _count_discarded(self, size: int) -> None:
        self._discarded_bytes += size
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
        """Admit up to `max_requests` buffered requests; stop at a request that waits for its response."""
        if self._processing_input or self._is_more_to_read:
            return
        self._processing_input = True
        try:
            self._admit_requests(max_requests)
        except BadMessageError as error:
            self.reject_input(error)
        except Exception:  # noqa: BLE001  # an exception ends only this connection
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
            self.partial_since = math.inf
            self._partial_timeout_set = False
            self._deadline_extended = False
            self.state = ClientConnectionState.PROCESSING
            self.timeout.clear()
            if self._has_memory_for(message):
                self.owner.admission.accept(self, message)
            else:
                self._refuse_for_memory()

    def _has_memory_for(self, message: Message) -> bool:
        size = message.memory_bytes
        return size <= SMALL_MESSAGE_BYTES or self._make_room_for(size)

    def _make_room_for(self, size: int) -> bool:
        self.charge_memory()  # the parser may have taken a message from the input buffer
        return self.owner.gateway.memory_budget.make_room_for(size)

    def _refuse_for_memory(self) -> None:
        self.owner.gateway.counters.add("memory.refused")
        self.parser.discard_partial_message()
        self.closing = True
        self.respond(503, {}, f"{_NO_MEMORY}\n".encode())

    def _handle_admission_fault(self) -> None:
        """Respond with 502 to the request that raised an exception, and end the connection."""
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
        if not self.parser.has_partial_message:
            return
        self.partial_since = min(self.partial_since, self.deadlines.now())
        missing_bytes = self.parser.missing_body_bytes
        has_memory = missing_bytes <= SMALL_MESSAGE_BYTES or self._make_room_for(missing_bytes)
        if not self.has_partial_request:  # making room has refused this very request
            return
        if not has_memory:
            self._refuse_for_memory()
        elif not self._partial_timeout_set:
            self._partial_timeout_set = True
            self.timeout.set(PARTIAL_REQUEST_TIMEOUT_MS, self._request_timed_out)

    def reject_input(self, error: BadMessageError) -> None:
        """Respond with an error to input that is not a valid request, and end the connection."""
        self.owner.gateway.counters.add(f"in.bad.{error.status}")
        self.closing = True
        self.respond(error.status, {}, f"{error}\n".encode())

    def input_arrived_at(self) -> float | None:
        """Return when the latest input arrived, in milliseconds on the gateway's clock.

        The result is None if the client has disconnected since. The deadline of a request counts from its
        arrival, also if this process was held up before it read the request.
        """
        info = self.tcp_info()
        if info.peer_has_closed:
            return None
        latest_at = self.deadlines.arrival_time()
        if info.input_age_ms < MIN_INPUT_AGE_MS:
            return latest_at
        return min(latest_at, self.deadlines.now() - info.input_age_ms)

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send the response to the current request."""
        request = self.request
        self.request = None
        self.state = ClientConnectionState.RESPONDING
        self.responding_since = self.deadlines.now()
        # The number of client connections is limited. While more than half of the slots are in use, close the
        # connection after the response: clients that send one request and stay connected would otherwise
        # occupy all slots.
        self.closing = self.closing or self.owner.draining or self.owner.half_full
        # Limit the time that a client has to read its response: the client has at least the idle timeout, and
        # at least until the request's deadline plus the grace time.
        remaining_ms = 0.0
        if request is not None:
            remaining_ms = request.deadline - self.deadlines.now() + SLOW_READER_GRACE_MS
        self.timeout.set(max(IDLE_TIMEOUT_MS, remaining_ms), self.abort)
        self.send(response_bytes(status, headers, body, self.closing))

    def flushed(self) -> None:
        """After a response is written, continue with the next request or end the connection."""
        if self.state is not ClientConnectionState.RESPONDING or not self.is_open:
            return
        if self.closing:
            self.linger()
            return
        self.state = ClientConnectionState.WAITING
        self.timeout.set(IDLE_TIMEOUT_MS, self._idle_timed_out)
        self._process_input()
        if self.owner.draining:  # the gateway began to drain while it wrote the response
            self.close_if_idle()

    def linger(self) -> None:
        """Shut down sending, and wait a limited time for the client to close the connection."""
        self.state = ClientConnectionState.LINGERING
        self.input_buffer.clear()
        self.parser.discard_partial_message()
        self.timeout.set(LINGER_TIMEOUT_MS, self.release_slot)
        self.transport.loseWriteConnection()

    def close_between_requests(self) -> None:
        """Close an idle connection.

        A request that arrives at the same time is not read; the client sends that request again on another
        connection.
        """
        self.state = ClientConnectionState.LINGERING
        self.close()

    def release_slot(self) -> None:
        """Free the slot of the connection. The kernel still sends the rest of the last response.

        The descriptor is closed in the next reactor turn, since the reactor may still have an event for the
        descriptor in this turn.
        """
        if self.is_open:
            self.is_open = False
            self.transport.stopReading()
            self.owner.gateway.reactor.callLater(0, self.close)
            self.closed()

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for a request and has received no part of that request."""
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
        # Unread input, or an unread end of the connection, shows that the gateway is delayed and not the
        # client.
        if self.has_unread_input():
            self.timeout.set(RECHECK_INTERVAL_MS, self._idle_timed_out)
            return
        self.owner.gateway.counters.add("in.idle_timeouts")
        self.close_between_requests()

    def _request_timed_out(self) -> None:
        # Unread input means that the gateway may be delayed. Extend the timeout only once, since some clients
        # send single bytes without end.
        if self.has_unread_input() and not self._deadline_extended:
            self._deadline_extended = True
            self.timeout.set(RECHECK_INTERVAL_MS, self._request_timed_out)
            return
        self.reject_input(BadMessageError(408, "the request did not come whole"))

    def closed(self) -> None:
        """Report the end of the connection to the owner."""
        self.owner.connection_closed(self)

    def abort(self) -> None:
        """Reset the connection and report its end immediately."""
        was_open = self.is_open
        super().abort()
        if was_open:
            self.closed()
            self.input_buffer.clear()
            self.output_buffer.clear()
            self.release_memory()
