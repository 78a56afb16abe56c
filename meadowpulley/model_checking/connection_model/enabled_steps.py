"""What may happen next in the connection model."""

from __future__ import annotations

import math
from collections.abc import Iterator
from urllib.parse import parse_qs, urlsplit

from meadowpulley.model_checking.connection_model.configurations import (
    DISCONNECT_GRACE_MS,
    LATE_RESPONSE_MS,
    RULES,
    TIMING_SLACK_MS,
)
from meadowpulley.model_checking.connection_model.peers import (
    Client,
    InstanceConnection,
    cut_points,
    parse_messages,
)
from meadowpulley.model_checking.connection_model.state import State
from meadowpulley.model_checking.model import Step
from meadowpulley.net import protocol
from meadowpulley.net.gateway import DRAIN_ACCEPT_MS
from meadowpulley.net.http1 import Message, response_bytes


class EnabledSteps(State):
    """The steps that are possible in a state."""

    def enabled_steps(self) -> list[Step]:
        """Return the steps that may happen next, in a fixed order."""
        return [] if self.finished else list(self._all_steps())

    def _fault_allowed(self, fault: str) -> bool:
        return self.faults > 0 and fault in self.configuration.faults

    def _all_steps(self) -> Iterator[Step]:
        if not self.reactor.ports and self.configuration.starts_unready:
            yield Step("listen")
        if not self.reactor.stopped:
            yield from self._running_steps()
        if self.time_advances > 0:
            yield from (Step("wait", (place,)) for place in self._time_places())

    def _running_steps(self) -> Iterator[Step]:
        for client in self.clients:
            yield from self._client_steps(client)
        for index, connection in enumerate(self.instance_connections):
            if connection.transport.connected:
                yield from self._instance_steps(index, connection)
            if (
                self._fault_allowed("again")
                and connection.last_response
                and not connection.unsent_response
                and self.now - connection.last_response_at <= LATE_RESPONSE_MS
            ):
                yield Step("again", (index,))
        for index, _ in enumerate(self._pending_instance_connections()):
            yield Step("up", (index,))
            if self._fault_allowed("refused"):
                yield Step("refused", (index,))
        if self._accept_pending() or any(
            c.transport is not None
            and c.transport.connected
            and c.transport.unread
            and c.transport.is_reading
            for c in self.clients
        ):
            yield Step("turn")
        if self.configuration.serves_lists:
            yield from self._discovery_steps()
        if self._fault_allowed("sigterm"):
            yield Step("sigterm")
        if self._fault_allowed("sighup"):
            yield from (Step("sighup", (how,)) for how in ("moved", "bad"))

    def _time_places(self) -> Iterator[str]:
        edges = self.configuration.edges if not self.reactor.stopped else frozenset({"end"})
        if "deadline" in edges and self.reactor.next_call_at() is not None:
            yield from ("before", "at", "after")
        yield from (
            n for n in ("drain", "gone", "stop", "end") if n in edges and self._edge_time(n) > self.now
        )

    def _accept_pending(self) -> bool:
        return any(port.is_open and port.is_reading and port.waiting for port in self.reactor.ports)

    def _edge_time(self, edge: str) -> float:
        """Just past the next moment of that kind (just before the one at which it stops listening), 0 for
        none."""
        if edge == "end":
            return math.inf
        if edge == "stop":
            return self.stop_requested_at + DRAIN_ACCEPT_MS - 1.0 if self.stop_requested else 0.0
        if edge == "gone":
            edge_times = [c.closed_at + DISCONNECT_GRACE_MS for c in self.clients if c.closed_at <= self.now]
        else:
            edge_times = [at + RULES.drain_grace_ms + TIMING_SLACK_MS for at in self.notified_at.values()]
        return min((at + 1.0 for at in edge_times if at + 1.0 > self.now), default=0.0)

    def _discovery_steps(self) -> Iterator[Step]:
        if not self.list_fetched:
            yield Step("fetch")
        for index, connection in enumerate(self.discovery_connections):
            if not connection.transport.connected or (pending_call := connection.pending_call()) is None:
                continue
            if connection.prepared_response is not None:
                yield Step("deliver", (index,))
                continue
            query = parse_qs(urlsplit(pending_call.target).query)
            known_version = int(query.get(protocol.AFTER_PARAMETER, ["0"])[0])
            if self.registry.version > known_version or query.get(protocol.WAIT_PARAMETER) == ["0"]:
                yield Step("make", (index,))
            if self._fault_allowed("list_failed"):
                yield Step("list_failed", (index,))
        if self._fault_allowed("change"):
            for index, (state, _) in enumerate(self.registry.states):
                other_states = ("terminating", "terminated") if state == "in_service" else ("in_service",)
                yield from (Step("change", (index, other)) for other in other_states)

    def _client_steps(self, client: Client) -> Iterator[Step]:
        transport = client.transport
        if transport is None:
            listening_ports = self.reactor.ports[:1]
            client_known = any(port.knows(client) for port in listening_ports)
            if (
                not client.stopped_sending
                and not client_known
                and listening_ports
                and listening_ports[0].is_open
                and listening_ports[0].is_reading
            ):
                yield Step("connect", (client.number,))
                if self._fault_allowed("queue"):
                    yield Step("queue", (client.number,))
            return
        if not transport.connected:
            return
        if client.request_index < len(client.request_texts) and not transport.end_of_input:
            cuts = (
                cut_points(client.request_texts[client.request_index])
                if self.configuration.split_messages
                else (len(client.request_texts[client.request_index]),)
            )
            yield from (Step("write", (client.number, cut)) for cut in cuts if cut > client.written_bytes)
            if self._fault_allowed("unread") and not client.written_bytes:
                yield Step("unread", (client.number,))
        if self._fault_allowed("shut") and not transport.end_of_input:
            yield Step("shut", (client.number,))
        if self._fault_allowed("leave") and not transport.peer_closed:
            yield Step("leave", (client.number,))
        if self._fault_allowed("jam") and not transport.write_blocked:
            yield Step("jam", ("client", client.number))
        if transport.write_blocked:
            yield Step("flow", ("client", client.number))

    def _instance_steps(self, index: int, connection: InstanceConnection) -> Iterator[Step]:
        requests, _ = parse_messages(connection.transport.received_by_peer, True)
        if connection.unsent_response:
            yield Step("rest", (index,))
        elif len(requests) > connection.response_count:
            yield Step("answer", (index, "ok"))
            for kind in ("error", "full", "noise", "twice", "close"):
                if self._fault_allowed(kind):
                    yield Step("answer", (index, kind))
            if self.configuration.split_messages:
                response = self._response_bytes(requests[connection.response_count], "ok")
                yield from (Step("part", (index, cut)) for cut in cut_points(response)[:-1])
        elif self._fault_allowed("early") and connection.transport.write_blocked:
            yield Step("answer", (index, "early"))
        if self._fault_allowed("drop"):
            yield Step("drop", (index,))
        if self._fault_allowed("fin") and not connection.transport.end_of_input:
            yield Step("fin", (index,))
        if connection.transport.end_of_input:
            yield Step("read", (index,))
        if self._fault_allowed("jam") and not connection.transport.write_blocked:
            yield Step("jam", ("instance", index))
        if connection.transport.write_blocked:
            yield Step("flow", ("instance", index))

    @staticmethod
    def _response_bytes(request: Message | None, kind: str) -> bytes:
        request_id = request.headers.get(protocol.REQUEST_ID_HEADER, "") if request is not None else "?"
        if kind == "error":
            return response_bytes(500, {})
        if kind == "full":
            return response_bytes(503, {protocol.REJECTED_HEADER: "1"})
        if kind == "noise":
            return b"\x00\x01 this is no answer\r\n\r\n"
        response = response_bytes(
            200, {"content-type": "text/plain"}, request_id.encode(), close=kind == "close"
        )
        return response * 2 if kind == "twice" else response
