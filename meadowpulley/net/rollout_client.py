"""The platform: news of builds on one followed connection, and votes written one behind another on it."""

from __future__ import annotations

import json
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.interface import BuildStatistics, IncorrectResponse, Phase, Result, RolloutUpdate, Vote
from meadowpulley.net import protocol
from meadowpulley.net.connection import Connection, connect
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.gateway_context import GatewayContext

MAX_LINE_BYTES = 8 * 1024
MAX_BUFFERED_BYTES = MAX_LINE_BYTES + 64 * 1024
CONNECT_TIMEOUT_MS = 2_000.0
HEARTBEAT_TIMEOUT_MS = (
    3_500.0  # a sign of life comes every second: after three that failed to, the line is dead
)
PARTIAL_LINE_TIMEOUT_MS = 500.0  # for the rest of a line that has begun: lines are written whole
STABLE_CONNECTION_MS = 1_000.0  # a connection that lasted so long is followed by the next at once
RECONNECT_BACKOFF_MS = (100.0, 2_000.0)  # first and longest pause before the next connection, after others
DEFAULT_VOTE_TIMEOUT_MS = 5_000.0  # for a vote's answer, where the settings name no time


class MalformedMessageError(ValueError):
    """A line, or what it says of a build, that can't be read."""


def parse_rollout_update(raw: Any, answers_vote: bool = False) -> RolloutUpdate:
    try:
        cap, age_ms = float(raw[protocol.ROLLOUT_CAP]), float(raw[protocol.MESSAGE_AGE])
        build, stage = int(raw[protocol.MESSAGE_BUILD]), int(raw[protocol.ROLLOUT_STAGE])
        if not (0.0 <= cap <= 1.0 and math.isfinite(age_ms) and stage >= 0):
            raise ValueError("a figure is out of its range")
        phase = protocol.ROLLOUT_PHASES[raw[protocol.ROLLOUT_PHASE]]
        return RolloutUpdate(build, stage, phase, cap, max(age_ms, 0.0), Result.OK, answers_vote)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise MalformedMessageError(f"news of a build: {type(error).__name__}: {error}") from None


class PendingCall:
    """A line that awaits its answer; votes carry what was voted."""

    def __init__(self, number: int, vote: Vote | None) -> None:
        self.number, self.vote = number, vote
        self.written = self.completed = False
        self.timeout: Deadline | None = None


class PlatformConnection(Connection):
    def __init__(self, client: RolloutClient) -> None:
        super().__init__(client.gateway.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.client = client
        self.pending_calls: deque[PendingCall] = (
            deque()
        )  # in the order they were written, which that of answers is too
        self.retired = False  # the platform has moved: what was asked here is still answered here
        self._scanned_bytes = 0
        self._line_started = False

    def opened(self) -> None:
        self._restart_heartbeat_timeout()

    def retire(self) -> None:
        self.retired = True
        if not any(call.vote is not None and not call.completed for call in self.pending_calls):
            self.abort()

    def _restart_heartbeat_timeout(self) -> None:
        self.timeout.set(HEARTBEAT_TIMEOUT_MS, self._heartbeat_overdue)

    def _heartbeat_overdue(self) -> None:
        if self.has_unread_input():  # this gateway is late, not the platform
            self._restart_heartbeat_timeout()
            return
        self.client.gateway.counters.add("platform.silent")
        self.abort()

    def send_call(self, call: PendingCall, method: str, params: dict[str, Any] | None) -> None:
        message: dict[str, Any] = {"jsonrpc": "2.0", "id": call.number, "method": method}
        if params is not None:
            message["params"] = params
        self.pending_calls.append(call)
        self.send(json.dumps(message, separators=(",", ":")).encode() + b"\n")

    def flushed(self) -> None:
        for call in self.pending_calls:
            call.written = True

    def received(self) -> None:
        while self.is_open:
            end = self.input_buffer.find(b"\n", self._scanned_bytes)
            if end < 0 and len(self.input_buffer) < MAX_LINE_BYTES:
                self._scanned_bytes = len(self.input_buffer)
                if self._scanned_bytes and not self._line_started:
                    self._line_started = True
                    self.timeout.set(PARTIAL_LINE_TIMEOUT_MS, self._line_overdue)
                return
            if end < 0 or end >= MAX_LINE_BYTES:
                self.client.protocol_error(self, "line too long")
                return
            self._scanned_bytes, self._line_started = 0, False
            line = self.input_buffer.take(end + 1).strip()
            self._restart_heartbeat_timeout()
            if line:
                self.client.handle_line(self, line)

    def _line_overdue(self) -> None:
        if self.has_unread_input():  # this gateway is late, not the rest of the line
            self.timeout.set(PARTIAL_LINE_TIMEOUT_MS, self._line_overdue)
        else:
            self.client.protocol_error(self, "only a part of a line")

    def closed(self) -> None:
        self.client.connection_lost(self)

    def abort(self) -> None:
        was_up = self.is_open
        super().abort()
        if was_up:
            self.closed()


class RolloutClient:
    def __init__(self, gateway: GatewayContext, server_id_of: Callable[[str], int | None]) -> None:
        self.gateway, self._server_id_of = gateway, server_id_of
        self.connection: PlatformConnection | None = None
        self.connecting: Deferred[Any] | None = None
        self._retired_connections: list[PlatformConnection] = []
        self._connect_timeout: Deadline | None = None
        self._reconnect: Deadline | None = None
        self._last_update: tuple[float, RolloutUpdate] | None = None  # since the last move: when, and what
        self._connect_started_at = -math.inf
        self._consecutive_failures = self._last_call_number = 0
        self._random = random.Random(gateway.config.seed + 1)
        self._class_ids = {c.name: n for n, c in enumerate(gateway.config.settings.classes)}

    def start(self) -> None:
        initial_rollout = self.gateway.config.initial_rollout
        if initial_rollout is not None:
            try:
                self.gateway.dispatch(parse_rollout_update(initial_rollout))
            except MalformedMessageError as error:
                self.report_malformed(str(error))
        self._connect()

    def stop(self) -> None:
        self.gateway.deadlines.cancel(self._reconnect)
        if self.connecting is not None:
            self.connecting.cancel()
        for connection in (self.connection, *self._retired_connections):
            if connection is not None:
                connection.abort()

    def address_changed(self) -> None:
        """The platform is elsewhere now. Its news is followed there at once; votes under way are neither
        dropped nor sent twice: they are answered where they were cast, for as long as that lasts."""
        if self.connecting is not None:
            self.connecting.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            self._retired_connections.append(connection)
            connection.retire()
        self._last_update = None
        self.gateway.deadlines.cancel(self._reconnect)
        self._consecutive_failures = 0
        self._connect()

    # The connection

    def _connect(self) -> None:
        address = self.gateway.config.platform
        if address is None or self.gateway.stopping:
            return
        self.gateway.counters.add("platform.connects")
        self._connect_started_at = self.gateway.deadlines.now()
        self._connect_timeout = self.gateway.deadlines.after(CONNECT_TIMEOUT_MS, self._connect_timed_out)
        self.connecting = connecting = connect(
            self.gateway.reactor, address, lambda: PlatformConnection(self)
        )
        connecting.addCallbacks(self._connected, self._connect_failed)
        connecting.addErrback(lambda _: self.gateway.log_fault("platform"))

    def _connected(self, connection: PlatformConnection) -> None:
        self.connecting = None
        self.gateway.deadlines.cancel(self._connect_timeout)
        if not connection.is_open or self.gateway.stopping:
            connection.abort()
            self._schedule_reconnect()
            return
        self.connection = connection
        connection.send_call(self._new_call(None), protocol.FOLLOW_METHOD, None)

    def _connect_timed_out(self) -> None:
        if self.connecting is not None:
            self.connecting.cancel()

    def _connect_failed(self, _: Failure) -> None:
        self.connecting = None
        self.gateway.deadlines.cancel(self._connect_timeout)
        self._schedule_reconnect()

    def connection_lost(self, connection: PlatformConnection) -> None:
        followed = self.connection is connection
        if followed:
            self.connection = None
            self.gateway.log.warning("platform connection lost", calls=len(connection.pending_calls))
        elif connection in self._retired_connections:
            self._retired_connections.remove(connection)
        calls, connection.pending_calls = connection.pending_calls, deque()
        for call in calls:
            # A line that was never written whole was not carried out; of any other nobody knows.
            self._complete(call, Result.TIMEOUT if call.written else Result.CONNECT_FAILED)
        if followed:
            self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self.gateway.stopping:
            return
        now = self.gateway.deadlines.now()
        self._consecutive_failures = (
            0 if now - self._connect_started_at >= STABLE_CONNECTION_MS else self._consecutive_failures + 1
        )
        backoff_ms = (
            min(RECONNECT_BACKOFF_MS[0] * 2 ** min(self._consecutive_failures, 10), RECONNECT_BACKOFF_MS[1])
            if self._consecutive_failures
            else 0.0
        )
        self._reconnect = self.gateway.deadlines.after(
            backoff_ms * self._random.uniform(0.5, 1.5), self._connect
        )

    # Calls

    def _new_call(self, vote: Vote | None) -> PendingCall:
        self._last_call_number += 1
        return PendingCall(self._last_call_number, vote)

    def cast_vote(self, vote: Vote) -> None:
        self.gateway.counters.add("platform.votes")
        call = self._new_call(vote)
        if self.connection is None:
            self._complete(call, Result.CONNECT_FAILED)
            return
        timeout_ms = self.gateway.config.settings.rollout.call_timeout_ms or DEFAULT_VOTE_TIMEOUT_MS
        call.timeout = self.gateway.deadlines.after(
            timeout_ms, partial(self._vote_timed_out, call, self.connection)
        )
        params = {
            protocol.MESSAGE_BUILD: vote.build,
            protocol.ROLLOUT_STAGE: vote.stage,
            protocol.VOTE_VERDICT: protocol.VOTE_VERDICTS[vote.verdict],
        }
        self.connection.send_call(call, protocol.VOTE_METHOD, params)

    def _vote_timed_out(self, call: PendingCall, connection: PlatformConnection) -> None:
        if connection.is_open and connection.has_unread_input():  # this gateway is late, not the platform
            call.timeout = self.gateway.deadlines.after(
                PARTIAL_LINE_TIMEOUT_MS, partial(self._vote_timed_out, call, connection)
            )
        else:
            self._complete(call, Result.TIMEOUT)

    def _complete(self, call: PendingCall, result: Result, update: RolloutUpdate | None = None) -> None:
        """The one reply to a vote; news that comes with a late one is still news."""
        self.gateway.deadlines.cancel(call.timeout)
        if call.vote is None or call.completed:
            if update is not None:
                self.gateway.dispatch(
                    RolloutUpdate(update.build, update.stage, update.phase, update.cap, update.age_ms)
                )
            return
        call.completed = True
        self.gateway.counters.add(f"platform.vote_{result.name.lower()}")
        if update is None:
            update = RolloutUpdate(
                call.vote.build, call.vote.stage, Phase.TRIAL, 0.0, 0.0, result, is_vote_reply=True
            )
        self.gateway.dispatch(update)

    # Lines

    def report_malformed(self, reason: str) -> None:
        self.gateway.counters.add("platform.garbage")
        self.gateway.log.warning("platform wrote what can't be read", why=reason)

    def protocol_error(self, connection: PlatformConnection, reason: str) -> None:
        """After a line that can't be read nothing more of use comes on its connection: whatever waits there
        has no answer, and the next connection is made."""
        self.report_malformed(reason)
        connection.abort()

    def handle_line(self, connection: PlatformConnection, line: bytes) -> None:
        try:
            raw = json.loads(line)
            if not isinstance(raw, dict):
                raise MalformedMessageError("a line is no object")
        except (ValueError, RecursionError):
            self.protocol_error(connection, "a line is no JSON object")
            return
        try:
            if "method" not in raw:
                self._handle_response(connection, raw)
            elif not connection.retired:  # the new connection tells it too, and later
                self._handle_notification(raw)
        except MalformedMessageError as error:
            self.protocol_error(connection, str(error))
            return
        if connection.retired and not connection.pending_calls:
            connection.abort()

    def _handle_response(self, connection: PlatformConnection, raw: dict[str, Any]) -> None:
        number = raw.get("id")
        if number not in [call.number for call in connection.pending_calls]:
            raise MalformedMessageError("an answer to no call")
        while connection.pending_calls[0].number != number:
            self._complete(connection.pending_calls.popleft(), Result.TIMEOUT)  # its answer was passed over
        call, error, update = connection.pending_calls[0], raw.get("error"), None
        if (
            call.vote is not None
            and isinstance(error, dict)
            and str(error.get("message")) in protocol.VOTE_ERRORS
        ):
            result = protocol.VOTE_ERRORS[str(error["message"])]
        elif call.vote is not None:
            result, update = Result.OK, parse_rollout_update(raw.get("result"), answers_vote=True)
        elif raw.get("result") is not True:
            raise MalformedMessageError("no answer to the call that follows news")
        else:
            result = Result.OK
        connection.pending_calls.popleft()
        if connection.retired and update is not None and self._last_update is not None:
            # The platform is followed elsewhere and has told all this there, or will: what it wrote here may
            # be from before that, and a build's earlier state told last would raise its cap again.
            received_at, last_update = self._last_update
            age_ms = last_update.age_ms + self.gateway.deadlines.now() - received_at
            update = replace(last_update, age_ms=age_ms, is_vote_reply=True) if not call.completed else None
        elif update is not None and not connection.retired:
            self._last_update = self.gateway.deadlines.now(), update
        self._complete(call, result, update)

    def _handle_notification(self, raw: dict[str, Any]) -> None:
        method, params = raw.get("method"), raw.get("params")
        if method == protocol.ROLLOUT_NOTIFICATION:
            self.gateway.counters.add("platform.news")
            update = parse_rollout_update(params)
            self._last_update = self.gateway.deadlines.now(), update
            self.gateway.dispatch(update)
        elif method == protocol.STATISTICS_NOTIFICATION:
            self.gateway.dispatch(self._parse_statistics(params))
        elif method == protocol.INCORRECT_RESPONSE_NOTIFICATION:
            incorrect_response = self._parse_incorrect_response(params)
            if incorrect_response is not None:
                self.gateway.dispatch(incorrect_response)
        elif method != protocol.HEARTBEAT_NOTIFICATION:
            raise MalformedMessageError(f"unknown notification {str(method)[:40]!r}")

    def _parse_class(self, raw: Any) -> int:
        if isinstance(raw, str) and raw in self._class_ids:
            return self._class_ids[raw]
        if isinstance(raw, int) and 0 <= raw < len(self._class_ids):
            return raw
        raise MalformedMessageError(f"unknown class {str(raw)[:40]!r}")

    def _parse_statistics(self, raw: Any) -> BuildStatistics:
        try:
            attempts, failed = int(raw[protocol.STATISTICS_ATTEMPTS]), int(raw[protocol.STATISTICS_FAILURES])
            mean_ms, age_ms = float(raw[protocol.STATISTICS_MEAN_MS]), float(raw[protocol.MESSAGE_AGE])
            if not (0 <= failed <= attempts and math.isfinite(mean_ms) and math.isfinite(age_ms)):
                raise ValueError("a figure is out of its range")
            return BuildStatistics(
                int(raw[protocol.MESSAGE_BUILD]),
                self._parse_class(raw[protocol.REQUEST_CLASS]),
                attempts,
                failed,
                mean_ms,
                age_ms,
            )
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise MalformedMessageError(f"tally: {type(error).__name__}: {error}") from None

    def _parse_incorrect_response(self, raw: Any) -> IncorrectResponse | None:
        """None for an instance that this gateway does not know."""
        try:
            server = self._server_id_of(str(raw[protocol.INCORRECT_RESPONSE_SERVER]))
            class_id, age_ms = (
                self._parse_class(raw[protocol.REQUEST_CLASS]),
                float(raw[protocol.MESSAGE_AGE]),
            )
        except (KeyError, TypeError, ValueError, OverflowError) as error:
            raise MalformedMessageError(f"wrong answer: {type(error).__name__}: {error}") from None
        return None if server is None else IncorrectResponse(server, class_id, age_ms)
