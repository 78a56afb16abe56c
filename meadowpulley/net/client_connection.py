"""A client's connection: its requests one behind another, its silence and its end."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from meadowpulley.net.connection import Connection
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import MAX_BUFFERED_BYTES, MAX_READ_BYTES, BadMessageError, Parser, response_bytes
from meadowpulley.net.request_admission import RequestAdmission
from meadowpulley.net.request_table import AcceptedRequest, RequestTable

FIRST_REQUEST_TIMEOUT_MS = 2_000.0  # from its connecting until a client's first request is there, whole
PARTIAL_REQUEST_TIMEOUT_MS = 2_000.0  # a later request, from its first byte to its last
IDLE_TIMEOUT_MS = 2_100.0  # a client may stay silent between requests, or leave an answer unread
RECHECK_INTERVAL_MS = 20.0
SLOW_READER_GRACE_MS = 500.0  # past its deadline an answer that a client is still reading is not lost yet
LINGER_TIMEOUT_MS = 1_000.0  # after a bad request, so that its answer is read before the connection breaks
MAX_DISCARDED_BYTES = (
    256 * 1024
)  # of what it still sends are thrown away, the rest is left to the kernel to hold up
MAX_REQUESTS_PER_TURN = (
    4  # of one connection in a turn: usual clients send one, and wait while a flood is worked on
)


class ClientConnectionOwner(Protocol):
    """What a connection asks of the table of connections that it stands in."""

    gateway: GatewayContext
    admission: RequestAdmission
    requests: RequestTable
    draining: bool

    @property
    def half_full(self) -> bool: ...

    def connection_opened(self, connection: ClientConnection) -> None: ...

    def connection_closed(self, connection: ClientConnection) -> None: ...


class ClientConnectionState(Enum):
    WAITING = "waiting"  # for a request, or the rest of one
    PROCESSING = "holding"  # a request that was taken
    RESPONDING = "answering"  # until the kernel has the whole answer
    LINGERING = "lingering"  # the last answer is out: what still comes is thrown away


class ClientConnection(Connection):
    def __init__(self, owner: ClientConnectionOwner) -> None:
        super().__init__(owner.gateway.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.owner = owner
        self.parser = Parser(self.input_buffer, expect_requests=True)
        self.state = ClientConnectionState.WAITING
        self.handle = -1
        self.request: AcceptedRequest | None = None
        self.closing = self._processing_input = self._reading_paused = self._continuation_scheduled = (
            self._deadline_extended
        ) = False
        self._partial_timeout_set = self.unused = (
            True  # until the first request is there one limit is over all of it
        )
        self._discarded_bytes = 0

    def opened(self) -> None:
        self.owner.connection_opened(self)
        self.timeout.set(FIRST_REQUEST_TIMEOUT_MS, self._idle_timed_out)

    def received(self) -> None:
        self.unused = False
        if self.state is ClientConnectionState.WAITING:
            self._process_input()
        if self.is_open and self.input_buffer.free_bytes < MAX_READ_BYTES:
            # Nobody who waits for answers writes so far ahead. Reading goes on, since nothing else tells that
            # a client has gone: the next answer ends the connection, and what comes behind its request goes
            # nowhere.
            self.closing = True
            if self.state is ClientConnectionState.WAITING:
                self._process_input(max_requests=1)
        if self.state is ClientConnectionState.LINGERING or self.input_buffer.free_bytes < MAX_READ_BYTES:
            self._discard_input()

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
        if self._processing_input:
            return
        self._processing_input = True
        try:
            while self.is_open and self.state is ClientConnectionState.WAITING:
                if not max_requests:
                    if not self._continuation_scheduled:
                        self._continuation_scheduled = True
                        self.deadlines.after(0.0, self._continue_processing)
                    break
                max_requests -= 1
                message = self.parser.next_message()
                if message is None:
                    break
                self._partial_timeout_set = self._deadline_extended = False
                self.state = ClientConnectionState.PROCESSING
                self.timeout.clear()
                self.owner.admission.accept(self, message)
        except BadMessageError as error:
            self.reject_input(error)
        except Exception:  # a fault of ours: the request fails, the gateway goes on
            self.owner.gateway.log_fault("intake")
            self.closing = True
            if self.request is not None:
                self.owner.requests.respond(self.request, 502, {}, b"")
            elif self.state in (ClientConnectionState.WAITING, ClientConnectionState.PROCESSING):
                self.respond(502, {}, b"")
        finally:
            self._processing_input = False
        if self.is_open and self.state is ClientConnectionState.WAITING:
            if self.parser.expects_continue:
                self.parser.expects_continue = False
                self.send(response_bytes(100, {}))
            if self.parser.has_partial_message and not self._partial_timeout_set:
                self._partial_timeout_set = True
                self.timeout.set(PARTIAL_REQUEST_TIMEOUT_MS, self._request_timed_out)

    def reject_input(self, error: BadMessageError) -> None:
        self.owner.gateway.counters.add(f"in.bad.{error.status}")
        self.closing = True
        self.respond(error.status, {}, f"{error}\n".encode())

    def respond(self, status: int, headers: dict[str, str], body: bytes) -> None:
        request, self.state, self.request = self.request, ClientConnectionState.RESPONDING, None
        # Clients may open only so many: with half of the table in use an answer ends its connection, or those
        # that asked once and stay leave none for the next request.
        self.closing = self.closing or self.owner.draining or self.owner.half_full
        # A client that does not read its answer is bounded too, one that reads it slowly has its whole time.
        remaining_ms = (
            request.deadline - self.deadlines.now() + SLOW_READER_GRACE_MS if request is not None else 0.0
        )
        self.timeout.set(max(IDLE_TIMEOUT_MS, remaining_ms), self.abort)
        self.send(response_bytes(status, headers, body, self.closing))

    def flushed(self) -> None:
        if self.state is not ClientConnectionState.RESPONDING or not self.is_open:
            return
        if self.closing:
            self.linger()
            return
        self.state = ClientConnectionState.WAITING
        self.timeout.set(IDLE_TIMEOUT_MS, self._idle_timed_out)
        self._process_input()
        if self.owner.draining:  # which came between the writing of the answer and its last byte
            self.close_if_idle()

    def linger(self) -> None:
        """Ends this side of the connection, and the whole of it once the client has ended its own."""
        self.state = ClientConnectionState.LINGERING
        self.input_buffer.clear()
        self.timeout.set(LINGER_TIMEOUT_MS, self.release_slot)
        self.transport.loseWriteConnection()

    def close_between_requests(self) -> None:
        """Closes between requests: a client whose next one crosses this, unread, sends it again elsewhere."""
        self.state = ClientConnectionState.LINGERING
        self.close()

    def release_slot(self) -> None:
        """Frees the place of a connection on which nothing more is said: what the kernel has of its last
        answer goes out, which a reset would throw away. The descriptor is free in the next turn: in this one
        there may be an event for it that is not handled yet."""
        if self.is_open:
            self.is_open = False
            self.transport.stopReading()
            self.owner.gateway.reactor.callLater(0, self.close)
            self.closed()

    @property
    def is_idle(self) -> bool:
        return (
            self.is_open
            and self.state is ClientConnectionState.WAITING
            and not self.parser.has_partial_message
        )

    def close_if_idle(self) -> None:
        if self.is_idle and not self.has_unread_input():
            self.close_between_requests()

    def _idle_timed_out(self) -> None:
        if self.parser.has_partial_message:
            self._request_timed_out()
            return
        if self.has_unread_input():  # this gateway is late, not the client
            self.timeout.set(RECHECK_INTERVAL_MS, self._idle_timed_out)
            return
        self.owner.gateway.counters.add("in.silent")
        self.close_between_requests()

    def _request_timed_out(self) -> None:
        if (
            self.has_unread_input() and not self._deadline_extended
        ):  # this gateway may be late; once, since some drip without an end
            self._deadline_extended = True
            self.timeout.set(RECHECK_INTERVAL_MS, self._request_timed_out)
            return
        self.reject_input(BadMessageError(408, "the request did not come whole"))

    def closed(self) -> None:
        self.owner.connection_closed(self)

    def abort(self) -> None:
        was_open = self.is_open
        super().abort()
        if was_open:
            self.closed()
