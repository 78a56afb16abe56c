"""One connection to the platform: lines of JSON-RPC in and out, heartbeats and partial lines watched."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol

from meadowpulley.interface import Vote
from meadowpulley.net.connection import Connection
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.json_fields import JsonObject
from meadowpulley.net.platform_messages import encode_call

MAX_LINE_BYTES = 8 * 1024
MAX_BUFFERED_BYTES = MAX_LINE_BYTES + 64 * 1024
# A heartbeat comes every second: the connection is dead after three are missed.
HEARTBEAT_TIMEOUT_MS = 3_500.0
# For the rest of a line that has begun: the platform writes lines in one piece.
PARTIAL_LINE_TIMEOUT_MS = 500.0


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call that awaits its response; `vote` is None for the call that subscribes to notifications."""

    number: int
    vote: Vote | None
    written: bool = False  # the kernel has all of it
    completed: bool = False  # its result has been dispatched
    timeout: Deadline | None = None


class PlatformConnectionOwner(Protocol):
    """What a connection to the platform needs of the client that owns it."""

    @property
    def gateway(self) -> GatewayContext:
        """The gateway that the client is part of."""

    def handle_line(self, connection: PlatformConnection, line: bytes) -> None:
        """Handle one line, without its end."""

    def protocol_error(self, connection: PlatformConnection, reason: str) -> None:
        """Handle input that cannot be read: the connection is of no further use."""

    def connection_lost(self, connection: PlatformConnection) -> None:
        """Handle the end of the connection, whoever ended it."""


class PlatformConnection(Connection):
    """Sends calls one behind another and hands over the lines that come back."""

    def __init__(self, owner: PlatformConnectionOwner) -> None:
        super().__init__(owner.gateway.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.owner = owner
        self.pending_calls: deque[PendingCall] = deque()  # responses come in the order of the calls
        self.retired = False  # the platform has moved: calls sent here are still answered here
        self._scanned_bytes = 0  # of the input buffer, known to hold no line end
        self._line_started = False

    def opened(self) -> None:
        """Start to watch for heartbeats."""
        self._restart_heartbeat_timeout()

    def retire(self) -> None:
        """Keep the connection only for the votes that await their responses on it."""
        self.retired = True
        if not any(call.vote is not None and not call.completed for call in self.pending_calls):
            self.abort()

    def send_call(self, call: PendingCall, method: str, params: JsonObject | None) -> None:
        """Send a call; its response is expected after those of the calls before it."""
        self.pending_calls.append(call)
        self.send(encode_call(call.number, method, params))

    def flushed(self) -> None:
        """Note that the kernel has taken all calls: from now on they may have been carried out."""
        for call in self.pending_calls:
            call.written = True

    def received(self) -> None:
        """Hand over every complete line, and time the rest of an incomplete one."""
        while self.is_open:
            end = self.input_buffer.find(b"\n", self._scanned_bytes)
            if end < 0 and len(self.input_buffer) < MAX_LINE_BYTES:
                self._await_line_end()
                return
            if end < 0 or end >= MAX_LINE_BYTES:
                self.owner.protocol_error(self, "line too long")
                return
            self._scanned_bytes = 0
            self._line_started = False
            line = self.input_buffer.take(end + 1).strip()
            self._restart_heartbeat_timeout()
            if line:
                self.owner.handle_line(self, line)

    def closed(self) -> None:
        """Notify the owner, once."""
        self.owner.connection_lost(self)

    def abort(self) -> None:
        """Close the connection at once; the owner is notified as of any other end."""
        was_open = self.is_open
        super().abort()
        if was_open:
            self.closed()

    def _await_line_end(self) -> None:
        self._scanned_bytes = len(self.input_buffer)
        if self._scanned_bytes and not self._line_started:
            self._line_started = True
            self.timeout.set(PARTIAL_LINE_TIMEOUT_MS, self._line_overdue)

    def _line_overdue(self) -> None:
        if self.has_unread_input():  # this gateway is late, not the rest of the line
            self.timeout.set(PARTIAL_LINE_TIMEOUT_MS, self._line_overdue)
        else:
            self.owner.protocol_error(self, "only part of a line")

    def _restart_heartbeat_timeout(self) -> None:
        self.timeout.set(HEARTBEAT_TIMEOUT_MS, self._heartbeat_overdue)

    def _heartbeat_overdue(self) -> None:
        if self.has_unread_input():  # this gateway is late, not the platform
            self._restart_heartbeat_timeout()
            return
        self.owner.gateway.counters.add("platform.heartbeat_timeouts")
        self.abort()
