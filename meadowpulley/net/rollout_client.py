"""The platform client: receives the rollout state and casts votes over one connection.

`platform_connector` opens the connection, `platform_connection` splits the input into lines, and
`platform_messages` parses them. This module matches responses to votes, and dispatches the platform's
notifications and responses to the policy.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from meadowpulley.interface import Phase, Result, RolloutUpdate, Vote
from meadowpulley.net import protocol
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.json_fields import JsonObject
from meadowpulley.net.platform_connection import PARTIAL_LINE_TIMEOUT_MS, PendingCall, PlatformConnection
from meadowpulley.net.platform_connector import PlatformConnector
from meadowpulley.net.platform_messages import (
    MalformedMessageError,
    NotificationParser,
    check_follow_response,
    decode_line,
    parse_rollout_update,
    parse_vote_response,
    vote_params,
)

DEFAULT_VOTE_TIMEOUT_MS = 5_000.0  # time-out of a vote if the settings set none
VOTE_RESULT_COUNTERS = {result: f"platform.vote_{result.name.lower()}" for result in Result} | {
    Result.NOT_SENT: "platform.vote_moot",  # the platform's error "moot": the vote no longer counts
}


@dataclass(frozen=True, slots=True)
class _ReceivedUpdate:
    """A rollout update and the time of its receipt, in milliseconds on the gateway's clock."""

    received_at: float
    update: RolloutUpdate


class RolloutClient:
    """Keeps one connection to the platform, which carries notifications and votes.

    After the platform's address has changed, the connection to the old address is retired: its votes are
    still answered, and its notifications are used until the new address sends a state of the rollout.
    `server_id_of` maps an instance's name to its number, or to None if the instance is unknown.
    """

    def __init__(self, gateway: GatewayContext, server_id_of: Callable[[str], int | None]) -> None:
        self.gateway = gateway
        self.connection: PlatformConnection | None = None
        self._connector = PlatformConnector(gateway, partial(PlatformConnection, self), self._follow)
        self._retired_connections: list[PlatformConnection] = []  # in the order of their addresses
        self._last_update: _ReceivedUpdate | None = None  # from a connection that was not superseded
        self._last_call_number = 0
        self._notifications = NotificationParser(gateway.config.settings.classes, server_id_of)

    def start(self) -> None:
        """Dispatch the rollout state from the configuration, and connect to the platform."""
        initial_rollout = self.gateway.config.initial_rollout
        if initial_rollout is not None:
            try:
                self.gateway.dispatch(parse_rollout_update(initial_rollout))
            except MalformedMessageError as error:
                self._report_malformed(str(error))
        self._connector.connect()

    def stop(self) -> None:
        """Close all connections, and report each pending vote to the policy as failed.

        The result of a vote is TIMEOUT if it was fully written to its connection, otherwise CONNECT_FAILED.
        """
        self._connector.stop()
        for connection in (self.connection, *self._retired_connections):
            if connection is not None:
                connection.abort()

    def address_changed(self) -> None:
        """Connect to the platform at its new address after a reload has changed it.

        Votes in flight are neither dropped nor sent twice: the old connection stays open until they are
        answered. It also stays open until the new address has sent a state: the platform regards this gateway
        as notified of what it writes to the old connection.
        """
        if self.connection is not None:
            self._retired_connections.append(self.connection)
            self.connection = None
        self._connector.restart()

    # Connection handling

    def _follow(self, connection: PlatformConnection) -> None:
        self.connection = connection
        connection.send_call(self._new_call(None), protocol.FOLLOW_METHOD, None)

    def connection_lost(self, connection: PlatformConnection) -> None:
        """Complete the calls of a connection that has ended, and reconnect if it was the current one."""
        was_followed = self.connection is connection
        if was_followed:
            self.connection = None
            self.gateway.log.warning("platform_connection_lost", pending_calls=len(connection.pending_calls))
        elif connection in self._retired_connections:
            self._retired_connections.remove(connection)
        pending_calls = connection.pending_calls
        connection.pending_calls = deque()
        for call in pending_calls:
            # The platform can't have executed a call that was not fully written. It may have executed any
            # other call.
            self._complete(call, Result.TIMEOUT if call.written else Result.CONNECT_FAILED)
        if was_followed:
            self._connector.connect_later()

    # Casting votes

    def cast_vote(self, vote: Vote) -> None:
        """Send a vote; exactly one `RolloutUpdate` is dispatched as the reply, even after a failure."""
        self.gateway.counters.add("platform.votes")
        call = self._new_call(vote)
        if self.connection is None:
            self._complete(call, Result.CONNECT_FAILED)
            return
        timeout_ms = self.gateway.config.settings.rollout.call_timeout_ms or DEFAULT_VOTE_TIMEOUT_MS
        timed_out = partial(self._vote_timed_out, call, self.connection)
        call.timeout = self.gateway.deadlines.after(timeout_ms, timed_out)
        self.connection.send_call(call, protocol.VOTE_METHOD, vote_params(vote))

    def _new_call(self, vote: Vote | None) -> PendingCall:
        self._last_call_number += 1
        return PendingCall(self._last_call_number, vote)

    def _vote_timed_out(self, call: PendingCall, connection: PlatformConnection) -> None:
        # If there is unread input, this gateway is late in reading it, and the platform may have answered in
        # time.
        if connection.is_open and connection.has_unread_input():
            timed_out = partial(self._vote_timed_out, call, connection)
            call.timeout = self.gateway.deadlines.after(PARTIAL_LINE_TIMEOUT_MS, timed_out)
        else:
            self._complete(call, Result.TIMEOUT)

    def _complete(self, call: PendingCall, result: Result, update: RolloutUpdate | None = None) -> None:
        """Dispatch the reply to a vote, unless its reply was dispatched before, such as when it timed out.

        If the platform's response to the vote arrives after that reply, the rollout state in the response is
        dispatched as a notification instead.
        """
        self.gateway.deadlines.cancel(call.timeout)
        if call.vote is None or call.completed:
            if update is not None:
                self.gateway.dispatch(replace(update, result=Result.OK, is_vote_reply=False))
            return
        call.completed = True
        self.gateway.counters.add(VOTE_RESULT_COUNTERS[result])
        self.gateway.dispatch(update if update is not None else _failed_vote_reply(call.vote, result))

    # Handling of received lines

    def _report_malformed(self, reason: str) -> None:
        self.gateway.counters.add("platform.malformed")
        self.gateway.log.warning("platform_message_malformed", reason=reason)

    def protocol_error(self, connection: PlatformConnection, reason: str) -> None:
        """Report malformed input and close its connection.

        The input after it cannot be used either: calls pending on the connection get no response, and the
        client reconnects.
        """
        self._report_malformed(reason)
        connection.abort()

    def handle_line(self, connection: PlatformConnection, line: bytes) -> None:
        """Handle a response or a notification."""
        try:
            message = decode_line(line)
            if "method" not in message:
                self._handle_response(connection, message)
            elif not connection.superseded:
                # The connection that superseded this one receives the same notifications, and later ones.
                self._handle_notification(connection, message)
        except MalformedMessageError as error:
            self.protocol_error(connection, str(error))
            return
        connection.close_if_unused()

    def _handle_notification(self, connection: PlatformConnection, message: JsonObject) -> None:
        if message["method"] == protocol.ROLLOUT_NOTIFICATION:
            self.gateway.counters.add("platform.rollout_updates")
        event = self._notifications.parse(message)
        if event is None:
            return
        if isinstance(event, RolloutUpdate):
            self._record_update(connection, event)
        self.gateway.dispatch(event)

    def _record_update(self, connection: PlatformConnection, update: RolloutUpdate) -> None:
        """Remember the latest update, and close connections to earlier addresses that are not needed."""
        self._last_update = _ReceivedUpdate(self.gateway.deadlines.now(), update)
        retired = self._retired_connections
        earlier = retired[: retired.index(connection)] if connection in retired else retired
        for earlier_connection in tuple(earlier):
            earlier_connection.superseded = True
            earlier_connection.close_if_unused()

    def _handle_response(self, connection: PlatformConnection, message: JsonObject) -> None:
        call = self._responded_call(connection, message.get("id"))
        if call.vote is None:
            check_follow_response(message)
            connection.pending_calls.popleft()
            return
        response = parse_vote_response(message)
        connection.pending_calls.popleft()
        update = response.update
        if update is not None:
            update = self._latest_update(connection, call, update)
        self._complete(call, response.result, update)

    def _responded_call(self, connection: PlatformConnection, number: object) -> PendingCall:
        """Return the call that a response answers; complete skipped earlier calls as timed out."""
        if number not in [call.number for call in connection.pending_calls]:
            raise MalformedMessageError("the id of a response matches no pending call")
        while connection.pending_calls[0].number != number:
            self._complete(connection.pending_calls.popleft(), Result.TIMEOUT)
        return connection.pending_calls[0]

    def _latest_update(
        self, connection: PlatformConnection, call: PendingCall, update: RolloutUpdate
    ) -> RolloutUpdate | None:
        """Return the update to dispatch for a vote's response; None if a newer one was dispatched.

        A response on a superseded connection may be older than an update from a later one. If it were
        dispatched last, the earlier state of a build would raise its cap again. The newer update is therefore
        dispatched as the reply to the vote, unless the vote was completed before.
        """
        last = self._last_update
        if last is None or not connection.superseded:
            self._record_update(connection, update)
            return update
        if call.completed:
            return None
        age_ms = last.update.age_ms + self.gateway.deadlines.now() - last.received_at
        return replace(last.update, age_ms=age_ms, is_vote_reply=True)


def _failed_vote_reply(vote: Vote, result: Result) -> RolloutUpdate:
    """Return the reply to a vote for which the platform sent no rollout state.

    The policy reads only the result of this reply.
    """
    return RolloutUpdate(
        build=vote.build,
        stage=vote.stage,
        phase=Phase.TRIAL,
        cap=0.0,
        age_ms=0.0,
        result=result,
        is_vote_reply=True,
    )
