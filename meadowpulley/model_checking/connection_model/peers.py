"""Clients, instances and discovery of the connection model: what they write, and where it is cut."""

from __future__ import annotations

import math
from typing import Any

from twisted.python.failure import Failure

from meadowpulley.model_checking.errors import ModelCheckingError, UnknownNameError
from meadowpulley.model_checking.scripted_reactor import ScriptedPort, ScriptedTransport
from meadowpulley.net import protocol
from meadowpulley.net.http1 import BadMessageError, Message, Parser
from meadowpulley.net.ring import RingBuffer

BULK_BODY_BYTES = 60_000
REQUEST_KINDS = ("get", "post", "bulk", "chunked", "expect", "garbage")
HEAD_END = b"\r\n\r\n"
LAST_CHUNK_CUTS = (7, 6, 1)  # bytes before the end of a message, around the end of its last chunk
ACCEPTS_PER_TURN = 20  # by how much Twisted's port raises the number of accepts after a full turn
BUILD = 41


def request_bytes_of(kind: str, request_id: str) -> bytes:
    """Return a request of the kind that a script names."""
    head = f"host: app.svc\r\n{protocol.REQUEST_ID_HEADER}: {request_id}\r\n"
    head += f"{protocol.REMAINING_TIME_HEADER}: 400m\r\n"
    if kind == "get":
        return f"GET /look HTTP/1.1\r\n{head}\r\n".encode()
    if kind == "post":
        return f"POST /pay HTTP/1.1\r\n{head}content-length: 5\r\n\r\nhello".encode()
    if kind == "bulk":  # two of them behind another fill what is read ahead
        return (
            f"POST /pay HTTP/1.1\r\n{head}content-length: {BULK_BODY_BYTES}\r\n\r\n".encode()
            + b"b" * BULK_BODY_BYTES
        )
    if kind == "chunked":
        body = "5\r\nhello\r\n0\r\n\r\n"
        return f"POST /pay HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n{body}".encode()
    if kind == "expect":
        extra_headers = "content-length: 5\r\nexpect: 100-continue\r\n"
        return f"POST /pay HTTP/1.1\r\n{head}{extra_headers}\r\nhello".encode()
    if kind == "garbage":
        return b"\x16\x03\x01 no HTTP at all\r\n\r\n"
    raise UnknownNameError("request", kind, REQUEST_KINDS)


def cut_points(data: bytes) -> tuple[int, ...]:
    """Where a message is cut: after its first byte, around each end of its start line and head, in its
    body."""
    line_end = data.find(b"\r\n")
    head_end = data.find(HEAD_END)
    body_start = head_end + len(HEAD_END)
    last_cuts = {len(data) - count for count in LAST_CHUNK_CUTS}
    cuts = {cut for cut in last_cuts if cut > body_start}
    cuts |= {1, line_end + 1, line_end + 2}
    cuts |= {head_end + 2, head_end + 3, body_start}
    cuts |= {(body_start + len(data)) // 2, len(data)}
    return tuple(sorted(cut for cut in cuts if 0 < cut <= len(data)))


class Client:
    """One client, and what it wrote so far."""

    def __init__(self, number: int, script: tuple[str, ...]) -> None:
        self.number = number
        self.request_ids = tuple(f"c{number}r{n}" for n in range(len(script)))
        self.kinds = script
        self.request_texts = tuple(
            request_bytes_of(k, name) for k, name in zip(script, self.request_ids, strict=True)
        )
        self.request_index = 0  # which request it writes
        self.written_bytes = 0  # bytes of it
        self.transport: ScriptedTransport | None = None
        self.stopped_sending = False
        self.closed_at = math.inf  # when it closed its connection
        self.owed_responses = 0  # requests that were complete before the gateway said that it closes
        self.response_count = 0

    def connected_transport(self) -> ScriptedTransport:
        """Return the transport.

        Raises:
            ModelCheckingError: The client has not connected, so that the step at hand is not enabled.
        """
        if self.transport is None:
            raise ModelCheckingError(
                f"client {self.number} has no connection; apply its step 'connect' first"
            )
        return self.transport


class AcceptBacklog(ScriptedPort):
    """A listening port, and those whose connection the kernel has completed and nobody has accepted."""

    def __init__(self, factory: Any) -> None:
        super().__init__(factory)
        self.waiting: list[tuple[Client, bytes]] = []
        self.reset_clients: list[Client] = []
        self.reactor: Any = None

    def doRead(self) -> None:  # noqa: N802 (Twisted's name)
        """As Twisted's port does, with the number that it may accept in the next turn."""
        for index in range(self.numberAccepts):
            if not self.waiting:
                self.numberAccepts = index
                return
            client, data = self.waiting.pop(0)
            client.transport = self.reactor.attach(self.factory.buildProtocol(None), None)
            client.transport.unread = data  # read in the next turn
        self.numberAccepts += ACCEPTS_PER_TURN

    def knows(self, client: Client) -> bool:
        """Tell whether a client waits to be accepted, or was reset while it waited."""
        waiting_clients = [waiting for waiting, _ in self.waiting]
        return any(client is other for other in (*self.reset_clients, *waiting_clients))

    def stopListening(self) -> None:  # noqa: N802 (Twisted's name)
        """Close the port."""
        self._close()

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802 (Twisted's name)
        """Close the port; clients that wait to be accepted are reset."""
        self._close()

    def _close(self) -> None:
        self.is_open = False
        self.reset_clients += [client for client, _ in self.waiting]
        self.waiting = []


class InstanceConnection:
    """One connection at an instance: what came, and what was said."""

    def __init__(self, transport: ScriptedTransport) -> None:
        self.transport = transport
        self.response_count = 0  # requests
        self.rejected_requests: list[int] = []  # indices of those answered as not executed
        self.unsent_response = b""  # of an answer that has begun
        self.last_response = b""  # its last good answer, which may come once more
        self.last_response_at = -math.inf
        self.seen_requests = 0  # requests that were complete there when the last step was over


class DiscoveryRegistry:
    """Discovery: the state of each instance, and the version that brought it."""

    def __init__(self, addresses: tuple[tuple[str, int], ...]) -> None:
        self.version = 1
        self.addresses = addresses
        self.states = [("in_service", 1)] * len(addresses)

    def set_state(self, index: int, state: str) -> None:
        """Set the state of an instance, in a new version of the list."""
        self.version += 1
        self.states[index] = state, self.version

    def endpoint_list(self, after_version: int | None) -> dict[str, Any]:
        """Return the complete list, or what changed after a version."""
        entries = [
            {
                protocol.ENDPOINT_NAME: f"s{n}",
                protocol.ENDPOINT_ADDRESS: f"{host}:{port}",
                protocol.ENDPOINT_ZONE: "a",
                protocol.ENDPOINT_STATE: state,
                protocol.ENDPOINT_BUILD: BUILD,
            }
            for n, ((host, port), (state, since)) in enumerate(zip(self.addresses, self.states, strict=True))
            if (state != "terminated" if after_version is None else since > after_version)
        ]
        return {
            protocol.LIST_VERSION: self.version,
            protocol.LIST_IS_SNAPSHOT: after_version is None,
            protocol.LIST_ENDPOINTS: entries,
        }


class DiscoveryConnection:
    """One connection at discovery: how many calls were answered, and the answer that is on its way."""

    def __init__(self, transport: ScriptedTransport) -> None:
        self.transport = transport
        self.response_count = 0
        self.prepared_response: dict[str, Any] | None = None

    def pending_call(self) -> Message | None:
        """Return the oldest call that has no response, or None."""
        requests, _ = parse_messages(self.transport.received_by_peer, True)
        return requests[self.response_count] if len(requests) > self.response_count else None


def parse_messages(data: bytes, requests: bool) -> tuple[list[Message], bool]:
    """Return the complete messages in `data`, and whether what follows them is part of one or empty."""
    ring = RingBuffer(max(len(data), 1))
    ring.write(data)
    parser = Parser(ring, requests)
    messages: list[Message] = []
    try:
        while (message := parser.next_message()) is not None:
            messages.append(message)
    except BadMessageError:
        return messages, False
    return messages, True
