"""What must hold in every state of the connection model."""

from __future__ import annotations

import math
from dataclasses import replace

from meadowpulley.model_checking.connection_model.configurations import (
    DISCONNECT_GRACE_MS,
    INSTANCES,
    MOVED_DISCOVERY,
    RULES,
    TIMING_SLACK_MS,
)
from meadowpulley.model_checking.connection_model.enabled_steps import EnabledSteps
from meadowpulley.model_checking.connection_model.peers import Client, parse_messages
from meadowpulley.net import protocol
from meadowpulley.net.gateway import GatewayPhase


class InvariantChecks(EnabledSteps):
    """Checks after each step what clients received, what instances ran and what is left over."""

    def _check_invariants(self) -> None:
        for text in self.log.errors:
            self._report_violation("logged", text)
        self.log.errors = []
        counters, policy = self.gateway.counters, self.gateway.pipeline
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
        messages, well_formed = parse_messages(client.transport.received_by_peer, False)
        responses = [m for m in messages if m.status >= 200]
        if not well_formed:
            self._report_violation(
                "connection",
                f"client {client.number} got what is no answer: {client.transport.received_by_peer[-60:]!r}",
            )
        if len(responses) > client.request_index + (
            1 if client.written_bytes or client.request_index < len(client.request_texts) else 0
        ):
            self._report_violation(
                "connection",
                f"client {client.number} got {len(responses)} answers to {client.request_index} requests",
            )
        for index, response in enumerate(responses):
            if response.status == 200 and (
                index >= len(client.request_ids) or response.body.decode() != client.request_ids[index]
            ):
                expected = client.request_ids[index] if index < len(client.request_ids) else "nothing"
                text = f"client {client.number}: answer {index + 1} is {response.body!r}, not {expected}"
                self._report_violation("connection", text)
        for index in range(client.response_count, len(responses)):
            status = responses[index].status
            timed_out = status == 408 and (
                client.request_index <= index or client.transport.was_write_blocked
            )  # it really had not arrived in full
            well_formed = index < len(client.kinds) and client.kinds[index] != "garbage"
            if 400 <= status < 500 and well_formed and not timed_out:
                self._report_violation(
                    "connection", f"client {client.number}: its sound request {index + 1} got {status}"
                )
            self.messages.append(("gateway", f"client {client.number}", f"answers {responses[index].status}"))
        client.response_count = len(responses)

    def _check_effects(self) -> None:
        executions: dict[str, int] = {}
        for connection in self.instance_connections:
            for index, request in enumerate(parse_messages(connection.transport.received_by_peer, True)[0]):
                if request.method == "POST" and index not in connection.rejected_requests:
                    request_id = request.headers.get(protocol.REQUEST_ID_HEADER, "")
                    executions[request_id] = executions.get(request_id, 0) + 1
        rejected = {
            c.request_ids[n]
            for c in self.clients
            if c.transport is not None
            for n, m in enumerate(
                [m for m in parse_messages(c.transport.received_by_peer, False)[0] if m.status >= 200]
            )
            if m.status == 503 and n < len(c.request_ids)
        }
        for request_id in sorted(rejected & set(executions)):
            self._report_violation(
                "effects", f"request {request_id} came whole to an instance and was refused"
            )
        for request_id, count in executions.items():
            if count > 1:
                self._report_violation(
                    "executed", f"request {request_id} came whole to instances {count} times"
                )

    def _check_forwarding(self) -> None:
        """Check that requests completed at an instance by this step may be sent there, and at all."""
        clients_by_request = {request_id: c for c in self.clients for request_id in c.request_ids}
        for connection in self.instance_connections:
            requests, sent_at = (
                parse_messages(connection.transport.received_by_peer, True)[0],
                connection.transport.last_sent_at,
            )
            for request in requests[connection.seen_requests :]:
                request_id = request.headers.get(protocol.REQUEST_ID_HEADER, "")
                closed_at = (
                    clients_by_request[request_id].closed_at if request_id in clients_by_request else math.inf
                )
                if request_id in self.undispatched_requests and sent_at > closed_at + DISCONNECT_GRACE_MS:
                    late_ms = sent_at - closed_at
                    text = f"request {request_id} was sent on {late_ms:.0f} ms after its client had gone"
                    self._report_violation("gone", text)
                notified_at = self.notified_at.get(connection.transport.address or ("", 0), math.inf)
                if sent_at > notified_at + RULES.drain_grace_ms + TIMING_SLACK_MS:
                    text = f"request {request_id} went to instance {connection.transport.address}, "
                    self._report_violation(
                        "drains", text + f"told not in service {sent_at - notified_at:.0f} ms before"
                    )
            connection.seen_requests = len(requests)

    def _check_reload(self) -> None:
        current, initial = self.gateway.config, self.initial_config
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
            responses = [
                m for m in parse_messages(client.transport.received_by_peer, False)[0] if m.status >= 200
            ]
            if len(responses) < client.owed_responses and all(m.keep_alive for m in responses):
                text = f"client {client.number} wrote {client.owed_responses} whole requests "
                text += f"and got {len(responses)} answers"
                self._report_violation("answers", text)

    def _check_final_state(self) -> None:
        gateway = self.gateway
        counters = gateway.counters.snapshot()
        answered = sum(n for name, n in counters.items() if name[4:].isdigit() and name.startswith("out."))
        accepted, disconnected = counters.get("in.requests", 0), counters.get("in.client_disconnected", 0)
        if answered + disconnected != accepted:
            self._report_violation(
                "answers",
                f"{accepted} requests taken, {answered} answered, {disconnected} left by their clients",
            )
        if len(gateway.requests.slots) or gateway.requests.open_ids:
            slots, ids = len(gateway.requests.slots), len(gateway.requests.open_ids)
            text = f"{slots} requests and {ids} ids are left over"
            self._report_violation("slots", text)
        client_transports = [w for w in self.reactor.transports if w.address is None]
        if len(gateway.clients.connections) or client_transports:
            slots = len(gateway.clients.connections)
            text = f"{slots} slots and {len(client_transports)} connections of clients are left"
            self._report_violation("slots", text)
        open_connections = sum(w.address in INSTANCES for w in self.reactor.transports) + len(
            self._pending_instance_connections()
        )
        if gateway.instances.open_sockets != open_connections:
            self._report_violation(
                "slots",
                f"{gateway.instances.open_sockets} sockets to instances counted, {open_connections} are open",
            )
        stopped = gateway.phase is GatewayPhase.STOPPED and self.reactor.stopped
        if (
            self.stop_requested or gateway.phase in (GatewayPhase.DRAINING, GatewayPhase.STOPPED)
        ) and not stopped:
            self._report_violation("ends", "told to end, all connections over, and it did not end")
