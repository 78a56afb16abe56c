"""Applying a step of the connection model."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import ClassVar

from meadowpulley.model_checking.connection_model.configurations import MOVED_DISCOVERY
from meadowpulley.model_checking.connection_model.invariants import InvariantChecks
from meadowpulley.model_checking.connection_model.peers import Client, parse_messages
from meadowpulley.model_checking.errors import StepNotEnabledError
from meadowpulley.model_checking.model import Step
from meadowpulley.model_checking.scripted_reactor import ScriptedTransport
from meadowpulley.net import protocol
from meadowpulley.net.http1 import response_bytes

DRAIN_OUT_MS = 70_000.0  # by when everything that has a limit has met it
PLACE_OFFSETS_MS = {"before": -1.0, "after": 1.0}  # from the deadline that a step of time stops at
UNREAD_TOLERANCE_MS = 1.0  # what has come within this time may be read after what is due


class ConnectionModel(InvariantChecks):
    """The complete model: `HANDLERS` has the method of each step."""

    def apply(self, step: Step) -> tuple[Sequence[int], Sequence[int]]:
        """Make a step happen and check all properties; nothing is drawn in this model."""
        self.messages = []
        try:
            self.HANDLERS[step.action](self, *step.arguments)
            self.reactor.run_due()
            self._accept_discovery_connections()
        except Exception as error:  # the reactor would log it, and end the connection: a find, whatever it is
            self._report_violation("logged", f"{type(error).__name__}: {error}")
        self._check_invariants()
        return (), ()

    def _connect_client(self, client_index: int) -> None:
        client = self.clients[client_index]
        client.transport = self.reactor.attach(self.reactor.ports[0].factory.buildProtocol(None), None)

    def _queue_in_accept_backlog(self, client_index: int) -> None:
        """The kernel has completed its connection and holds its request; it is not accepted yet."""
        self.faults -= 1
        client = self.clients[client_index]
        client.request_index = client.owed_responses = 1
        port = self.reactor.ports[0]
        port.reactor = self.reactor
        port.waiting.append((client, client.request_texts[0]))

    def _write_request(self, client_index: int, cut: int) -> None:
        client = self.clients[client_index]
        transport = client.connected_transport()
        transport.receive(self._next_request_bytes(client, cut))

    def _next_request_bytes(self, client: Client, cut: int) -> bytes:
        """The next bytes that a client writes; a request that is complete now is owed a response."""
        transport = client.connected_transport()
        data = client.request_texts[client.request_index][client.written_bytes : cut]
        complete = cut == len(client.request_texts[client.request_index])
        client.written_bytes = 0 if complete else cut
        if complete:
            client.request_index += 1
        if complete and not transport.closing:
            client.owed_responses = client.request_index
        summary = f"{len(data)} bytes" + (", the last" if complete else "")
        self.messages.append((f"client {client.number}", "gateway", summary))
        return data

    def _write_unread_request(self, client_index: int) -> None:
        """A complete request is in the kernel, and the reactor's turn has not come to it."""
        self.faults -= 1
        client = self.clients[client_index]
        request_size = len(client.request_texts[client.request_index])
        client.connected_transport().unread += self._next_request_bytes(client, request_size)

    def _run_reactor_turn(self) -> None:
        for transport in list(self.reactor.transports):
            transport.deliver()
        if self._accept_pending():
            self.reactor.ports[0].doRead()

    def _start_listening(self) -> None:
        if not self.reactor.stopped:  # else its reactor never comes to it
            self.gateway.listen()

    def _disconnect_client(self, client_index: int) -> None:
        client = self.clients[client_index]
        client.closed_at = self.now
        client.connected_transport().peer_closed = True
        dispatched_requests: set[str] = set()
        for connection in self.instance_connections:
            requests, _ = parse_messages(connection.transport.received_by_peer, True)
            dispatched_requests.update(
                request.headers.get(protocol.REQUEST_ID_HEADER, "") for request in requests
            )
        self.undispatched_requests = frozenset(client.request_ids) - dispatched_requests
        self._half_close_client(client_index)

    def _half_close_client(self, client_index: int) -> None:
        self.faults -= 1
        client = self.clients[client_index]
        transport = client.connected_transport()
        client.stopped_sending = True
        transport.end_of_input = True
        transport.deliver()

    def _transport(self, side: str, index: int) -> ScriptedTransport:
        if side == "client":
            return self.clients[index].connected_transport()
        return self.instance_connections[index].transport

    def _block_writes(self, side: str, index: int) -> None:
        self.faults -= 1
        transport = self._transport(side, index)
        transport.write_blocked = True
        transport.was_write_blocked = True

    def _unblock_writes(self, side: str, index: int) -> None:
        self._transport(side, index).unblock_writes()

    def _establish_instance_connection(self, index: int) -> None:
        self._accept_instance_connection(self._pending_instance_connections()[index])

    def _refuse_instance_connection(self, index: int) -> None:
        self.faults -= 1
        self._pending_instance_connections()[index].refuse()

    def _send_from_instance(self, index: int, data: bytes, summary: str) -> None:
        self.messages.append((f"instance connection {index}", "gateway", summary))
        self.instance_connections[index].transport.receive(data)

    def _send_response(self, index: int, kind: str) -> None:
        connection = self.instance_connections[index]
        if kind != "ok":
            self.faults -= 1
        requests, _ = parse_messages(connection.transport.received_by_peer, True)
        request = requests[connection.response_count] if len(requests) > connection.response_count else None
        connection.response_count += 1
        if kind == "full" and request is not None:
            connection.rejected_requests.append(connection.response_count - 1)
        response = self._response_bytes(request, "ok" if kind == "early" else kind)
        if kind == "ok":
            connection.last_response = response
            connection.last_response_at = self.now
        self._send_from_instance(index, response, f"answers, {kind}")
        if kind == "close":
            connection.transport.end_of_input = True
            connection.transport.deliver()

    def _repeat_last_response(self, index: int) -> None:
        self.faults -= 1
        connection = self.instance_connections[index]
        response = connection.last_response
        connection.last_response = b""
        self._send_from_instance(index, response, "its last answer once more")

    def _send_partial_response(self, index: int, cut: int) -> None:
        connection = self.instance_connections[index]
        requests, _ = parse_messages(connection.transport.received_by_peer, True)
        response = self._response_bytes(requests[connection.response_count], "ok")
        connection.response_count += 1
        connection.unsent_response = response[cut:]
        self._send_from_instance(index, response[:cut], f"the first {cut} bytes of an answer")

    def _send_remaining_response(self, index: int) -> None:
        connection = self.instance_connections[index]
        data = connection.unsent_response
        connection.unsent_response = b""
        self._send_from_instance(index, data, "the rest of the answer")

    def _close_instance_connection(self, index: int) -> None:
        self.faults -= 1
        transport = self.instance_connections[index].transport
        transport.end_of_input = True
        transport.deliver()

    def _close_instance_connection_unnoticed(self, index: int) -> None:
        """The instance has closed the connection, and the gateway's reactor has not noticed yet."""
        self.faults -= 1
        self.instance_connections[index].transport.end_of_input = True

    def _notice_instance_close(self, index: int) -> None:
        self.instance_connections[index].transport.deliver()

    def _send_sigterm(self) -> None:
        self.faults -= 1
        if not self.stop_requested:
            self.stop_requested = True
            self.stop_requested_at = self.now
        self.gateway.on_signal(signal.SIGTERM, None)

    def _send_sighup(self, kind: str) -> None:
        self.faults -= 1
        self.reload_file = None
        if kind == "moved":
            self.discovery_moved = True
            self.reload_file = replace(
                self.initial_config,
                name="other",
                discovery=MOVED_DISCOVERY,
                seed=8,
                max_sockets=999,
                cached_endpoints=None,
                initial_rollout=None,
                listen=("127.0.0.1", 9009),
                settings=replace(self.initial_config.settings, gateway_index=1),
            )
        self.gateway.on_signal(signal.SIGHUP, None)

    def _change_instance_state(self, index: int, state: str) -> None:
        self.faults -= 1
        self.registry.set_state(index, state)

    def _fetch_endpoint_list(self) -> None:
        self.list_fetched = True
        self.gateway.discovery.fetch()

    def _compose_list_response(self, index: int) -> None:
        self._prepare_list_response(index)

    def _receive_list_response(self, index: int) -> None:
        self.messages.append(
            (
                "discovery",
                "gateway",
                f"the list of version {self.discovery_connections[index].prepared_response}",
            )
        )
        self._deliver_list_response(index)

    def _fail_list_call(self, index: int) -> None:
        self.faults -= 1
        self.discovery_connections[index].response_count += 1
        self.discovery_connections[index].transport.receive(response_bytes(503, {}))

    def _advance_time(self, place: str) -> None:
        self.time_advances -= 1
        if place == "end":
            if not self.reactor.ports:
                self._start_listening()
            self._run_reactor_turn()
            self._run_reactor_turn()  # whom it accepted is read in the next
            self.reactor.advance(self.reactor.now + DRAIN_OUT_MS)
            self.finished = True
            return
        due_at = self._edge_time(place) if place in self.configuration.edges else self.reactor.next_call_at()
        if due_at is None:
            raise StepNotEnabledError(Step("wait", (place,)), "nothing is due")
        until = max(due_at + PLACE_OFFSETS_MS.get(place, 0.0), self.reactor.now)
        if until > self.reactor.now + UNREAD_TOLERANCE_MS:
            self._run_reactor_turn()
            self._run_reactor_turn()
        self.reactor.advance(until)
        self._run_reactor_turn()

    # From the encoded step name, which stored counterexamples keep, to the method that carries it out.
    HANDLERS: ClassVar[Mapping[str, Callable[..., None]]] = {
        "connect": _connect_client,
        "queue": _queue_in_accept_backlog,
        "write": _write_request,
        "unread": _write_unread_request,
        "turn": _run_reactor_turn,
        "listen": _start_listening,
        "leave": _disconnect_client,
        "shut": _half_close_client,
        "jam": _block_writes,
        "flow": _unblock_writes,
        "up": _establish_instance_connection,
        "refused": _refuse_instance_connection,
        "answer": _send_response,
        "again": _repeat_last_response,
        "part": _send_partial_response,
        "rest": _send_remaining_response,
        "drop": _close_instance_connection,
        "fin": _close_instance_connection_unnoticed,
        "read": _notice_instance_close,
        "sigterm": _send_sigterm,
        "sighup": _send_sighup,
        "change": _change_instance_state,
        "fetch": _fetch_endpoint_list,
        "make": _compose_list_response,
        "deliver": _receive_list_response,
        "list_failed": _fail_list_call,
        "wait": _advance_time,
    }

    # For people

    def describe(self, step: Step) -> str:
        """Return a step in words, before it is applied."""
        arguments = list(step.arguments)
        descriptions = {
            "connect": "client {0} connects",
            "write": "client {0} writes its request up to byte {1}",
            "leave": "client {0} closes its connection",
            "jam": "the kernel takes nothing more on the connection of {0} {1}",
            "flow": "the kernel takes bytes again on the connection of {0} {1}",
            "up": "a connection to an instance comes up ({0})",
            "refused": "a connection to an instance is refused ({0})",
            "answer": "the instance on connection {0} answers: {1}",
            "part": "the instance on connection {0} sends the first {1} bytes of its answer",
            "rest": "the instance on connection {0} sends the rest",
            "drop": "the instance closes connection {0}",
            "fin": "the instance closes connection {0}; nobody has looked yet",
            "read": "the gateway's reactor finds connection {0} closed",
            "unread": "client {0} writes a request that the gateway's reactor has not read yet",
            "queue": "client {0} connects and writes a request; it waits to be accepted",
            "turn": "the gateway's reactor reads what has come",
            "listen": "the gateway is READY and listens",
            "shut": "client {0} ends its sending and waits",
            "again": "the instance on connection {0} writes its last answer once more",
            "change": "discovery hears that instance {0} is {1}",
            "fetch": "the decisions ask for the list",
            "make": "discovery answers the call on connection {0}; the answer is on its way",
            "deliver": "discovery's answer on connection {0} arrives",
            "list_failed": "discovery answers the call on connection {0} with 503",
            "sigterm": "SIGTERM",
            "sighup": "SIGHUP, with a file that is {0}",
            "wait": "time goes on: {0} the next deadline",
        }
        if arguments == ["stop"]:
            return "time goes on until just before the gateway stops listening"
        if arguments in (["gone"], ["drain"]):
            return f"time goes on until just past the limit of what is {arguments[0]}"
        if arguments == ["end"]:
            return "time goes on until all is over"
        return descriptions[step.action].format(*arguments)
