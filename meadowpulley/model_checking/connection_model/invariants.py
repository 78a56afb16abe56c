"""What must hold in every state of the connection model."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import replace
from http import HTTPStatus

from meadowpulley.model_checking.connection_model.configurations import (
    DISCONNECT_GRACE_MS,
    INSTANCES,
    MOVED_DISCOVERY,
    RULES,
    TIMING_SLACK_MS,
)
from meadowpulley.model_checking.connection_model.enabled_steps import EnabledSteps
from meadowpulley.model_checking.connection_model.peers import Client, parse_messages
from meadowpulley.model_checking.scripted_reactor import ScriptedTransport
from meadowpulley.net import protocol
from meadowpulley.net.gateway import GatewayPhase
from meadowpulley.net.http1 import Message

EXCERPT_BYTES = 60  # of what a client got and can't be read
STATUS_COUNTER_PREFIX = "out."  # before the status of a response


def _final_responses(messages: Sequence[Message]) -> list[Message]:
    return [message for message in messages if message.status >= HTTPStatus.OK]


class InvariantChecks(EnabledSteps):
    """Checks after each step what clients received, what instances ran and what is left over."""

    def _check_invariants(self) -> None:
        for text in self.log.errors:
            self._report_violation("logged", text)
        self.log.errors = []
        counters = self.gateway.counters
        policy = self.gateway.pipeline
        for request, attempt in policy.duplicate_outcomes:
            self._report_violation("outcomes", f"attempt {attempt + 1} of request {request} ended twice")
        policy.duplicate_outcomes.clear()
        if counters["out.duplicate_responses"]:
            self._report_violation("answers", "a second final answer was tried")
        if counters["out.overdue"]:
            self._report_violation("answers", "a request had no answer by its deadline and slack")
        for client in self.clients:
            self._check_client(client)
        self._check_effects()
        self._check_forwarding()
        self._check_reload()
        for port in self.reactor.ports:
            for client in port.reset_clients:
                self._report_violation(
                    "answers", f"client {client.number} was reset with its request in the accept backlog"
                )
        if self.reactor.stopped or self.finished:
            self._check_owed_responses()
            self._check_final_state()

    def _check_client(self, client: Client) -> None:
        if client.transport is None:
            return
        received = client.transport.received_by_peer
        messages, well_formed = parse_messages(received, False)
        responses = _final_responses(messages)
        if not well_formed:
            excerpt = received[-EXCERPT_BYTES:]
            self._report_violation("connection", f"client {client.number} got what is no answer: {excerpt!r}")
        begun = client.written_bytes > 0 or client.request_index < len(client.request_texts)
        if len(responses) > client.request_index + int(begun):
            self._report_violation(
                "connection",
                f"client {client.number} got {len(responses)} answers to {client.request_index} requests",
            )
        self._check_bodies(client, responses)
        self._check_statuses(client, client.transport, responses)
        client.response_count = len(responses)

    def _check_bodies(self, client: Client, responses: Sequence[Message]) -> None:
        """Check that each good response is the one to the client's own request at its place."""
        for index, response in enumerate(responses):
            if response.status != HTTPStatus.OK:
                continue
            expected = client.request_ids[index] if index < len(client.request_ids) else "nothing"
            if expected == "nothing" or response.body.decode() != expected:
                text = f"client {client.number}: answer {index + 1} is {response.body!r}, not {expected}"
                self._report_violation("connection", text)

    def _check_statuses(
        self, client: Client, transport: ScriptedTransport, responses: Sequence[Message]
    ) -> None:
        """Check that no well-formed request is answered as the client's fault, unless it came too late."""
        for index in range(client.response_count, len(responses)):
            status = responses[index].status
            incomplete = client.request_index <= index or transport.was_write_blocked
            timed_out = status == HTTPStatus.REQUEST_TIMEOUT and incomplete
            well_formed = index < len(client.kinds) and client.kinds[index] != "garbage"
            is_client_error = HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
            if is_client_error and well_formed and not timed_out:
                self._report_violation(
                    "connection", f"client {client.number}: its sound request {index + 1} got {status}"
                )
            self.messages.append(("gateway", f"client {client.number}", f"answers {responses[index].status}"))

    def _check_effects(self) -> None:
        executions = self._executions()
        for request_id in sorted(self._rejected_requests() & set(executions)):
            self._report_violation(
                "effects", f"request {request_id} came whole to an instance and was refused"
            )
        for request_id, count in executions.items():
            if count > 1:
                self._report_violation(
                    "executed", f"request {request_id} came whole to instances {count} times"
                )

    def _executions(self) -> dict[str, int]:
        """Return how often each request with an effect came whole to an instance that did not reject it."""
        executions: dict[str, int] = {}
        for connection in self.instance_connections:
            requests, _ = parse_messages(connection.transport.received_by_peer, True)
            for index, request in enumerate(requests):
                if request.method == "POST" and index not in connection.rejected_requests:
                    request_id = request.headers.get(protocol.REQUEST_ID_HEADER, "")
                    executions[request_id] = executions.get(request_id, 0) + 1
        return executions

    def _rejected_requests(self) -> set[str]:
        """Return the ids of requests whose clients were told that they are rejected."""
        rejected: set[str] = set()
        for client in self.clients:
            if client.transport is None:
                continue
            messages, _ = parse_messages(client.transport.received_by_peer, False)
            rejected.update(
                request_id
                for request_id, response in zip(client.request_ids, _final_responses(messages), strict=False)
                if response.status == HTTPStatus.SERVICE_UNAVAILABLE
            )
        return rejected

    def _check_forwarding(self) -> None:
        """Check that requests completed at an instance by this step may be sent there, and at all."""
        for connection in self.instance_connections:
            requests, _ = parse_messages(connection.transport.received_by_peer, True)
            sent_at = connection.transport.last_sent_at
            for request in requests[connection.seen_requests :]:
                request_id = request.headers.get(protocol.REQUEST_ID_HEADER, "")
                self._check_client_present(request_id, sent_at)
                self._check_drain_grace(request_id, connection.transport.address, sent_at)
            connection.seen_requests = len(requests)

    def _check_client_present(self, request_id: str, sent_at: float) -> None:
        """Check that no request gets its first attempt long after its client has gone."""
        client = next((client for client in self.clients if request_id in client.request_ids), None)
        closed_at = client.closed_at if client is not None else math.inf
        if request_id in self.undispatched_requests and sent_at > closed_at + DISCONNECT_GRACE_MS:
            late_ms = sent_at - closed_at
            text = f"request {request_id} was sent on {late_ms:.0f} ms after its client had gone"
            self._report_violation("gone", text)

    def _check_drain_grace(self, request_id: str, address: tuple[str, int] | None, sent_at: float) -> None:
        """Check that an instance gets no request once it has been out of service for the grace."""
        notified_at = self.notified_at.get(address or ("", 0), math.inf)
        if sent_at > notified_at + RULES.drain_grace_ms + TIMING_SLACK_MS:
            text = f"request {request_id} went to instance {address}, "
            text += f"told not in service {sent_at - notified_at:.0f} ms before"
            self._report_violation("drains", text)

    def _check_reload(self) -> None:
        current = self.gateway.config
        initial = self.initial_config
        if replace(current, discovery=initial.discovery, platform=initial.platform) != initial:
            self._report_violation("reload", "more than addresses was taken over")
        if (
            self.gateway.phase in (GatewayPhase.READY, GatewayPhase.DRAINING)
            and (current.discovery == MOVED_DISCOVERY) != self.discovery_moved
        ):
            where = "the new address" if self.discovery_moved else "its old address"
            self._report_violation(
                "reload", f"discovery is followed at {current.discovery}, and is at {where}"
            )

    def _check_owed_responses(self) -> None:
        """The gateway has ended, or all is over: a client that wrote a complete request and
        stayed has its response, unless the one before it said that the connection closes, or the client does
        not read."""
        for client in self.clients:
            if client.transport is None or client.stopped_sending or client.transport.was_write_blocked:
                continue
            messages, _ = parse_messages(client.transport.received_by_peer, False)
            responses = _final_responses(messages)
            keep_alive = all(response.keep_alive for response in responses)
            if len(responses) < client.owed_responses and keep_alive:
                text = f"client {client.number} wrote {client.owed_responses} whole requests "
                text += f"and got {len(responses)} answers"
                self._report_violation("answers", text)

    def _check_final_state(self) -> None:
        self._check_counters()
        self._check_leftovers()
        stopped = self.gateway.phase is GatewayPhase.STOPPED and self.reactor.stopped
        must_stop = self.stop_requested or self.gateway.phase in (
            GatewayPhase.DRAINING,
            GatewayPhase.STOPPED,
        )
        if must_stop and not stopped:
            self._report_violation("ends", "told to end, all connections over, and it did not end")

    def _check_counters(self) -> None:
        """Check that each accepted request was answered, or left by its client."""
        counters = self.gateway.counters.snapshot()
        answered = sum(
            count
            for name, count in counters.items()
            if name.startswith(STATUS_COUNTER_PREFIX) and name.removeprefix(STATUS_COUNTER_PREFIX).isdigit()
        )
        accepted = counters.get("in.requests", 0)
        disconnected = counters.get("in.client_disconnected", 0)
        if answered + disconnected != accepted:
            self._report_violation(
                "answers",
                f"{accepted} requests taken, {answered} answered, {disconnected} left by their clients",
            )

    def _check_leftovers(self) -> None:
        """Check that no slot, id or connection is left over."""
        gateway = self.gateway
        slots = len(gateway.requests.slots)
        ids = len(gateway.requests.open_ids)
        if slots or ids:
            text = f"{slots} requests and {ids} ids are left over"
            self._report_violation("slots", text)
        client_transports = [transport for transport in self.reactor.transports if transport.address is None]
        client_slots = len(gateway.clients.connections)
        if client_slots or client_transports:
            text = f"{client_slots} slots and {len(client_transports)} connections of clients are left"
            self._report_violation("slots", text)
        open_connections = sum(transport.address in INSTANCES for transport in self.reactor.transports)
        open_connections += len(self._pending_instance_connections())
        if gateway.instances.open_sockets != open_connections:
            self._report_violation(
                "slots",
                f"{gateway.instances.open_sockets} sockets to instances counted, {open_connections} are open",
            )
