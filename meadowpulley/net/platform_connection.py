"""A connection to the platform: JSON-RPC lines, with time-outs for heartbeats and partial lines."""

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
# The platform sends a heartbeat every second: the connection counts as dead after three missed ones.
HEARTBEAT_TIMEOUT_MS = 3_500.0
# How long the rest of a partly received line may take. The platform writes each line in one piece.
PARTIAL_LINE_TIMEOUT_MS = 500.0


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call awaiting its response; `vote` is None for the call that subscribes to notifications."""

    number: int
    vote: Vote | None
    written: bool = False  # whether the kernel has accepted the whole call
    completed: bool = False  # whether its result has been dispatched
    timeout: Deadline | None = None


class PlatformConnectionOwner(Protocol):
    """The part of the owning client that a connection to the platform uses."""

    @property
    def gateway(self) -> GatewayContext:
        """The gateway that the client is part of."""

    def handle_line(self, connection: PlatformConnection, line: bytes) -> None:
        """Handle one received line, without its line end."""

    def protocol_error(self, connection: PlatformConnection, reason: str) -> None:
        """Handle malformed input, after which the connection cannot be used."""

    def connection_lost(self, connection: PlatformConnection) -> None:
        """Handle the end of the connection, whichever side closed it.

        This is called a second time for a connection that was aborted.
        """


class PlatformConnection(Connection):
    """Sends calls without waiting for earlier responses, and passes received lines to its owner."""

    is_control_plane = True

    def __init__(self, owner: PlatformConnectionOwner) -> None:
        super().__init__(owner.gateway.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.owner = owner
        self.pending_calls: deque[PendingCall] = deque()  # in the order of sending and of the responses
        # Whether a connection to a later address of the platform has received a state of the rollout.
        self.superseded = False
        self._scanned_bytes = 0  # leading bytes of the input buffer without a line end
        self._line_started = False

    def opened(self) -> None:
        """Start the heartbeat time-out."""
        self._restart_heartbeat_timeout()

    def close_if_unused(self) -> None:
        """Close the connection if it is superseded and no vote sent on it awaits its response."""
        awaits_response = any(call.vote is not None and not call.completed for call in self.pending_calls)
        if self.superseded and not awaits_response:
            self.abort()

    def send_call(self, call: PendingCall, method: str, params: JsonObject | None) -> None:
        """Send a call; its response is expected after those of all earlier calls."""
        self.pending_calls.append(call)
        self.send(encode_call(call.number, method, params))

    def flushed(self) -> None:
        """Record that the kernel has accepted all calls: from now on the platform may execute them."""
        for call in self.pending_calls:
            call.written = True

    def received(self) -> None:
        """Pass every complete line to the owner, and start the time-out for the rest of a partial line."""
        while self.is_open:
            end = self.input_buffer.find(b"\n", self._scanned_bytes)
            if end < 0 and len(self.input_buffer) < MAX_LINE_BYTES:
                self._await_line_end()
                return
            if end < 0 or end >= MAX_LINE_BYTES:
                self.owner.protocol_error(self, "the line is too long")
                return
            self._scanned_bytes = 0
            self._line_started = False
            line = self.input_buffer.take(end + 1).strip()
            self._restart_heartbeat_timeout()
            if line:
                self.owner.handle_line(self, line)

    def closed(self) -> None:
        """Notify the owner that the connection has ended.

        `abort` notifies the owner immediately and only once. Twisted then reports the end as well, so the
        owner may be notified a second time.
        """
        self.owner.connection_lost(self)

    def abort(self) -> None:
        """Close the connection and notify the owner immediately; do nothing if it has ended already."""
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
        if self.has_unread_input():  # this gateway reads late; the line may be complete
            self.timeout.set(PARTIAL_LINE_TIMEOUT_MS, self._line_overdue)
        else:
            self.owner.protocol_error(self, "only part of a line arrived in time")

    def _restart_heartbeat_timeout(self) -> None:
        self.timeout.set(HEARTBEAT_TIMEOUT_MS, self._heartbeat_overdue)

    def _heartbeat_overdue(self) -> None:
        if self.has_unread_input():  # this gateway reads late; the platform may be alive
            self._restart_heartbeat_timeout()
            return
        self.owner.gateway.counters.add("platform.heartbeat_timeouts")
        self.abort()
