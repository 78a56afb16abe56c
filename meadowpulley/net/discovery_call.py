"""A single call to discovery: opens a connection if needed, sends a request, decodes the response.

One time-out covers all three steps.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.interface import EndpointUpdateKind
from meadowpulley.net.connection import connect
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.discovery_connection import (
    PARTIAL_RESPONSE_TIMEOUT_MS,
    DiscoveryConnection,
    IdleConnectionSlot,
)
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.http1 import Message


@dataclass(frozen=True, slots=True)
class CallRequest:
    """The parameters of a call. Durations are milliseconds."""

    target: str  # path and query of the HTTP request
    wait_ms: float  # maximum time that discovery waits for changes before it answers
    timeout_ms: float  # time until the call is abandoned, from its start


@dataclass(frozen=True, slots=True)
class CallReport:
    """Facts about a call that has ended. Times are milliseconds."""

    request: CallRequest
    started_at: float  # time on the gateway's clock
    elapsed_ms: float
    was_sent: bool  # whether the request was passed to an established connection
    lists_applied_at_send: int  # number of lists that had been applied when the request was sent


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Why a call returned no usable list."""

    reason: str
    kind: EndpointUpdateKind  # TIMED_OUT; BROKEN if a list may have been lost; otherwise FAILED
    report: CallReport


class DiscoveryCallOwner(Protocol):
    """The part of the discovery client that a call uses."""

    @property
    def gateway(self) -> GatewayContext:
        """The gateway that the client is part of."""

    @property
    def idle_connection(self) -> IdleConnectionSlot:
        """The store of an idle connection, which the next call reuses if there is one."""

    @property
    def lists_applied(self) -> int:
        """The number of lists applied so far."""


class CallReceiver(Protocol):
    """Receives the progress and the result of a call."""

    def call_sent(self, request: CallRequest) -> None:
        """Handle that the request was passed to a connection."""

    def call_succeeded(self, raw: object, report: CallReport) -> None:
        """Handle the decoded JSON of the response."""

    def call_failed(self, failure: CallFailure) -> None:
        """Handle a call that failed, or whose response is not valid JSON."""


class DiscoveryCall:
    """Calls discovery once, and reports success or failure exactly once unless it is cancelled."""

    def __init__(self, owner: DiscoveryCallOwner, request: CallRequest, receiver: CallReceiver) -> None:
        self._owner = owner
        self._gateway = owner.gateway
        self._request = request
        self._receiver = receiver
        self._completed = False
        self._started_at = self._gateway.deadlines.now()
        self._lists_applied_at_send = 0
        self._was_sent = False
        self._connection: DiscoveryConnection | None = None
        self._connecting: Deferred[DiscoveryConnection] | None = None
        self._timeout: Deadline = self._gateway.deadlines.after(request.timeout_ms, self._timed_out)

    def start(self) -> None:
        """Send the request, on a new connection if there is no idle one.

        Store the call before calling this method, since the call may fail before the method returns.
        """
        idle_connection = self._owner.idle_connection.take()
        if idle_connection is not None:
            self._send_request(idle_connection)
            return
        config = self._gateway.config
        connecting = connect(
            self._gateway.reactor,
            config.discovery,
            lambda: DiscoveryConnection(self._gateway.deadlines, config.memory_mb),
        )
        self._connecting = connecting
        connecting.addCallbacks(self._send_request, self._connection_failed).addErrback(self._log_fault)

    @property
    def response_arrived(self) -> bool:
        """Whether a part of the response, or the end of the connection, has arrived and was not handled."""
        connection = self._connection
        return connection is not None and (connection.response_begun or connection.has_unread_input())

    def cancel(self) -> None:
        """End the call without notifying the receiver."""
        self._complete()
        connecting = self._connecting
        connection = self._connection
        self._connecting = None
        self._connection = None
        if connecting is not None:
            connecting.cancel()
        if connection is not None:
            connection.abort()

    def _send_request(self, connection: DiscoveryConnection) -> None:
        self._connecting = None
        if self._completed:
            connection.abort()
            return
        self._connection = connection
        self._lists_applied_at_send = self._owner.lists_applied
        self._was_sent = True
        response = connection.request(self._request.target)
        response.addCallbacks(self._handle_response, self._connection_failed).addErrback(self._log_fault)
        if not self._completed:
            self._receiver.call_sent(self._request)

    def _handle_response(self, message: Message) -> None:
        if self._completed:
            return
        connection = self._connection
        self._connection = None
        if message.status != HTTPStatus.OK:
            self._fail(f"status {message.status}", connection)
            return
        try:
            raw = json.loads(message.body)
        except (ValueError, RecursionError):
            self._fail("the response is not valid JSON", connection, EndpointUpdateKind.BROKEN)
            return
        self._complete()
        if connection is not None and connection.is_open:
            self._owner.idle_connection.put(connection)
        self._receiver.call_succeeded(raw, self._report())

    def _connection_failed(self, failure: Failure) -> None:
        self._connecting = None
        if not self._completed:
            kind = EndpointUpdateKind.BROKEN if self._is_response_lost else EndpointUpdateKind.FAILED
            self._fail(failure.getErrorMessage(), None, kind)

    @property
    def _is_response_lost(self) -> bool:
        """Whether discovery may have answered the call on the connection that broke.

        Discovery that goes down ends pushed lists' watches in a reset. TCP delivers what was written before
        it, so that an answer has been lost only if a part of it arrived. A list that is polled counts as
        notified once it is written, wherever it was lost.
        """
        if not self._was_sent:
            return False
        has_begun = self._connection is not None and self._connection.response_begun
        return has_begun or self._gateway.config.settings.must_poll

    def _timed_out(self) -> None:
        connection = self._connection
        # If there is unread input, this gateway is late in reading it: the response may have arrived in time.
        if connection is not None and connection.has_unread_input():
            self._timeout = self._gateway.deadlines.after(PARTIAL_RESPONSE_TIMEOUT_MS, self._timed_out)
            return
        self._fail("no response within the time-out", connection, EndpointUpdateKind.TIMED_OUT)

    def _report(self) -> CallReport:
        elapsed_ms = self._gateway.deadlines.now() - self._started_at
        return CallReport(
            self._request, self._started_at, elapsed_ms, self._was_sent, self._lists_applied_at_send
        )

    def _complete(self) -> None:
        self._completed = True
        self._gateway.deadlines.cancel(self._timeout)

    def _fail(
        self,
        reason: str,
        connection: DiscoveryConnection | None,
        kind: EndpointUpdateKind = EndpointUpdateKind.FAILED,
    ) -> None:
        self.cancel()
        if connection is not None:
            connection.abort()
        self._receiver.call_failed(CallFailure(reason, kind, self._report()))

    def _log_fault(self, _: Failure) -> None:
        self._gateway.log_fault("discovery")
