"""Connections of the simulated services: servers, discovery and platform, each in the platform's protocol."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from meadowpulley.emulator.clock import uniform
from meadowpulley.emulator.simulated_server import SimulatedServer
from meadowpulley.interface import Result as AttemptResult, RolloutUpdate, ServerState, Vote
from meadowpulley.loopback.discovery_faults import QUEUE_MS
from meadowpulley.loopback.messages import request_number, rollout_object
from meadowpulley.loopback.notifications import ListWritten
from meadowpulley.loopback.trace import UNKNOWN
from meadowpulley.net import protocol
from meadowpulley.net.connection import Connection
from meadowpulley.net.http1 import MAX_BUFFERED_BYTES, BadMessageError, Message, Parser, response_bytes
from meadowpulley.rules import AttemptEnded, AttemptSent

if TYPE_CHECKING:
    from meadowpulley.loopback.services import SimulatedServices


class InstanceConnection(Connection):
    """A gateway's connection to one server, with one request at a time."""

    def __init__(self, services: SimulatedServices, server: SimulatedServer, started_at: float) -> None:
        super().__init__(services.real_clock.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.services = services
        self.server = server
        self.started_at = started_at
        self.parser = Parser(self.input_buffer, expect_requests=True)
        self.unused = True
        self.refused = False
        self.job: Any = None
        self.request_id = ""  # id of the current request
        self.request_number = UNKNOWN
        self.handle = -1

    @property
    def reachable(self) -> bool:
        """Whether the server still runs the process that accepted this connection."""
        return self.server.up and self.server.started_at == self.started_at

    def opened(self) -> None:
        """Register the connection."""
        self.handle = self.services.connections.put(self)

    def received(self) -> None:
        """Parse received bytes; nobody answers where the server vanished."""
        if not self.reachable:
            return  # the server vanished or was restarted: nothing is read or answered
        try:
            message = self.parser.next_message()
        except BadMessageError as error:
            self.services.record_error(f"instance {self.server.entry.server}: {error}")
            self.abort()
            return
        if message is not None:
            self._request_received(message)

    def _request_received(self, message: Message) -> None:
        parts = urlsplit(message.target)
        class_index = self.services.class_indexes.get(parts.path.split("/")[1])
        request_id = message.headers.get(protocol.REQUEST_ID_HEADER)
        if class_index is None or request_id is None or self.request_id:
            self.services.record_error(
                f"instance {self.server.entry.server}: a request that can't be: {message.target}"
            )
            self.send(response_bytes(404, {}))
            return
        work_ms = float(parse_qs(parts.query).get("w", ["0"])[0])
        key = int(message.headers.get(protocol.ENTITY_KEY_HEADER, "0"), 16)
        remaining = message.headers.get(protocol.REMAINING_TIME_HEADER, "0u")
        deadline = self.services.clock.now + float(remaining[:-1]) * (
            1.0 if remaining.endswith("m") else 0.001
        )
        self.request_id = request_id
        self.request_number = request_number(request_id)
        entry = self.server.entry
        self.services.record(
            AttemptSent(self.services.clock.now, UNKNOWN, self.request_number, 0, entry.server, entry.build)
        )
        if self.services.orders.plan.drained_servers_reject and entry.state is not ServerState.READY:
            self.respond(AttemptResult.REJECTED)
            return
        new_connection = self.unused
        self.unused = False
        self.job = self.services.offer(self, self.server, class_index, key, work_ms, deadline, new_connection)

    def respond(self, result: AttemptResult) -> None:
        """Send the result of the current request."""
        request_id = self.request_id
        self.request_id = ""
        self.job = None
        if result is AttemptResult.REJECTED:
            self.services.record(
                AttemptEnded(
                    self.services.clock.now, UNKNOWN, self.request_number, self.server.entry.server, False
                )
            )
        if not self.is_open:
            return
        if result is AttemptResult.OK:
            self.send(response_bytes(200, {"content-type": "text/plain"}, request_id.encode()))
        elif result is AttemptResult.REJECTED:
            self.send(response_bytes(503, {protocol.REJECTED_HEADER: "1"}))
        elif result is AttemptResult.ERROR:
            self.send(response_bytes(500, {}))
        else:
            self.abort()

    def closed(self) -> None:
        """Free the connection's slot and cancel its job."""
        if self.handle >= 0:
            self.services.connections.free(self.handle)
            self.handle = -1
            if not self.unused:
                self.server.machine.connections = max(self.server.machine.connections - 1, 0)
        job = self.job
        self.job = None
        if job is not None and self.reachable:
            self.services.cancel(self.server, job)

    def abort(self) -> None:
        """Close the connection at once and report it as closed."""
        was_up = self.is_open
        super().abort()
        if was_up:
            self.closed()


class DiscoveryConnection(Connection):
    """A gateway's connection to discovery: the full list, or a long poll for changes."""

    def __init__(self, services: SimulatedServices, gateway: int) -> None:
        super().__init__(services.real_clock.deadlines, MAX_BUFFERED_BYTES, 4 * 1024 * 1024)
        self.services = services
        self.gateway = gateway
        self.parser = Parser(self.input_buffer, expect_requests=True)
        self.known_version = -1  # version of the waiting poll; -1: none came yet, -2: no poll waits
        self.update_pending = False

    def opened(self) -> None:
        """Register the connection."""
        self.services.discovery_connections.add(self)

    def closed(self) -> None:
        """Remove the connection."""
        self.services.discovery_connections.discard(self)

    def received(self) -> None:
        """Parse a call and answer it at once or once something changes."""
        try:
            message = self.parser.next_message()
        except BadMessageError as error:
            self.services.record_error(f"discovery: {error}")
            self.abort()
            return
        if message is None:
            return
        parts = urlsplit(message.target)
        query = parse_qs(parts.query)
        if parts.path != protocol.ENDPOINTS_PATH or self.services.discovery.unavailable:
            self.send(response_bytes(503 if self.services.discovery.unavailable else 404, {}))
            return
        faults = self.services.discovery_faults
        rng = self.services.rng
        self.known_version = -2  # unless this call waits: no change answers it
        if faults.rejects(rng):
            self.services.clock.call_later(QUEUE_MS, lambda: self.send(response_bytes(503, {})))
            return
        if faults.silences(rng):
            return
        self.known_version = int(query.get(protocol.AFTER_PARAMETER, ["-1"])[0])
        wait_ms = min(float(query.get(protocol.WAIT_PARAMETER, ["0"])[0]), 60_000.0)
        if self.known_version < 0 or self.services.discovery.version > self.known_version:
            self.schedule_update()
        else:
            self.timeout.set(wait_ms, self._send_update)

    def reject_waiting_call(self) -> None:
        """End a call that waits for changes: discovery goes down."""
        if self.known_version != -2 and self.known_version != -1:
            self.known_version = -2
            self.timeout.clear()
            self.send(response_bytes(503, {}))

    def schedule_update(self) -> None:
        """Answer the waiting call after the service's delay."""
        if self.known_version != -2 and not self.update_pending:
            self.update_pending = True
            self.services.clock.call_later(
                uniform(self.services.rng, self.services.fleet.discovery.update_interval_ms),
                self._send_update,
            )

    def _send_update(self) -> None:
        self.update_pending = False
        if self.known_version == -2 or not self.is_open:
            return
        # no poll waits
        known_version = self.known_version
        self.known_version = -2
        self.timeout.clear()
        full = known_version <= 0
        entries = (
            self.services.discovery.current_entries()
            if full
            else self.services.discovery.changes_since(known_version)
        )
        services = self.services
        services.record_endpoints(self.gateway, entries, full)
        services.lists_written.append(
            ListWritten(services.clock.now, self.gateway, services.discovery.version)
        )
        response = response_bytes(200, {}, json.dumps(services.endpoint_list(entries, full)).encode())
        if services.discovery_faults.cuts(services.rng):
            self.send(response[: len(response) // 2])
            self.close()
        else:
            self.send(response)


class PlatformConnection(Connection):
    """A gateway's connection to the platform: JSON-RPC, one object a line."""

    def __init__(self, services: SimulatedServices, gateway: int) -> None:
        super().__init__(services.real_clock.deadlines, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES)
        self.services = services
        self.gateway = gateway
        self.pending_votes: deque[int] = deque()  # call ids of votes without a reply

    def write(self, **fields: Any) -> None:
        """Send one JSON-RPC object."""
        self.send(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    def received(self) -> None:
        """Handle each complete line."""
        while self.is_open and (end := self.input_buffer.find(b"\n")) >= 0:
            self._handle_call(json.loads(self.input_buffer.take(end + 1)))

    def _handle_call(self, call: dict[str, Any]) -> None:
        if call["method"] == protocol.FOLLOW_METHOD:
            self.services.platform_connections[self.gateway] = self
            self.services.platform.subscribe(self.gateway)
            self.write(id=call["id"], result=True)
            self.services.record_rollout(self.gateway, self.services.platform.current_update())
            self.write(
                method=protocol.ROLLOUT_NOTIFICATION,
                params=rollout_object(self.services.platform.current_update()),
            )
            return
        verdicts = {word: verdict for verdict, word in protocol.VOTE_VERDICTS.items()}
        params = call["params"]
        vote = Vote(
            params[protocol.MESSAGE_BUILD],
            params[protocol.ROLLOUT_STAGE],
            verdicts[params[protocol.VOTE_VERDICT]],
        )
        self.services.log_event(
            f"gateway {self.gateway} votes {vote.verdict.name.lower()} on build {vote.build} "
            f"stage {vote.stage}"
        )
        if not self.services.platform.unavailable:
            self.pending_votes.append(call["id"])
        self.services.platform.vote(self.gateway, vote)

    def send_rollout_update(self, update: RolloutUpdate) -> None:
        """Send an update, as the reply to a vote or as a notification."""
        if update.result is AttemptResult.OK:
            self.services.record_rollout(self.gateway, update)
        if not update.is_vote_reply:
            self.write(method=protocol.ROLLOUT_NOTIFICATION, params=rollout_object(update))
        elif self.pending_votes:
            call_id = self.pending_votes.popleft()
            error_names = {result: word for word, result in protocol.VOTE_ERRORS.items()}
            if update.result is AttemptResult.OK:
                self.write(id=call_id, result=rollout_object(update))
            else:
                self.write(id=call_id, error={"code": -32000, "message": error_names[update.result]})

    def closed(self) -> None:
        """End the gateway's subscription."""
        if self.services.platform_connections.get(self.gateway) is self:
            del self.services.platform_connections[self.gateway]
            self.services.platform.unsubscribe(self.gateway)
