"""Clients and instances of world B: what they write, and where it is cut."""

from __future__ import annotations

import math
from typing import Any

from meadowpulley.check.wire import Port, Wire
from meadowpulley.net import names
from meadowpulley.net.http1 import BadMessageError, Message, Parser
from meadowpulley.net.ring import Ring

BULK = 60_000


def request_text(kind: str, name: str) -> bytes:
    """A request of a script's word."""
    head = f"host: app.svc\r\n{names.ID}: {name}\r\n{names.REMAINING}: 400m\r\n"
    if kind == "get":
        return f"GET /look HTTP/1.1\r\n{head}\r\n".encode()
    if kind == "post":
        return f"POST /pay HTTP/1.1\r\n{head}content-length: 5\r\n\r\nhello".encode()
    if kind == "bulk":  # two of them behind another fill what is read ahead
        return f"POST /pay HTTP/1.1\r\n{head}content-length: {BULK}\r\n\r\n".encode() + b"b" * BULK
    if kind == "chunked":
        body = "5\r\nhello\r\n0\r\n\r\n"
        return f"POST /pay HTTP/1.1\r\n{head}transfer-encoding: chunked\r\n\r\n{body}".encode()
    if kind == "expect":
        more = "content-length: 5\r\nexpect: 100-continue\r\n"
        return f"POST /pay HTTP/1.1\r\n{head}{more}\r\nhello".encode()
    if kind == "garbage":
        return b"\x16\x03\x01 no HTTP at all\r\n\r\n"
    raise ValueError(f"no request is called '{kind}'")


def cuts_of(data: bytes) -> tuple[int, ...]:
    """Where a message is cut: after its first byte, around each end of its start line and head, in its
    body."""
    line, head = data.find(b"\r\n"), data.find(b"\r\n\r\n")
    tail = {len(data) - k for k in (7, 6, 1) if len(data) - k > head + 4}  # around a chunk's end
    middle = (head + 4 + len(data)) // 2
    places = tail | {1, line + 1, line + 2, head + 2, head + 3, head + 4, middle, len(data)}
    return tuple(sorted(p for p in places if 0 < p <= len(data)))


class Client:
    """One client, and what it wrote so far."""

    def __init__(self, number: int, script: tuple[str, ...]) -> None:
        self.number = number
        self.names = tuple(f"c{number}r{n}" for n in range(len(script)))
        self.kinds = script
        self.texts = tuple(request_text(k, name) for k, name in zip(script, self.names, strict=True))
        self.at = 0  # which request it writes
        self.written = 0  # bytes of it
        self.wire: Wire | None = None
        self.left = False
        self.gone_at = math.inf  # when it closed its connection
        self.owed = 0  # requests that were whole before the gateway said that it closes
        self.answers = 0


class Backlog(Port):
    """A listening port, and those whose connection the kernel has completed and nobody has accepted."""

    def __init__(self, factory: Any) -> None:
        super().__init__(factory)
        self.waiting: list[tuple[Client, bytes]] = []
        self.lost: list[Client] = []
        self.reactor: Any = None

    def doRead(self) -> None:  # noqa: N802
        """As Twisted's port does, with the number that it may accept in the next turn."""
        for n in range(self.numberAccepts):
            if not self.waiting:
                self.numberAccepts = n
                return
            client, data = self.waiting.pop(0)
            client.wire = self.reactor.join(self.factory.buildProtocol(None), None)
            client.wire.pending = data  # read in the next turn
        self.numberAccepts += 20

    def stopListening(self) -> None:  # noqa: N802
        self.connectionLost(None)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        self.open = False
        self.lost += [client for client, _ in self.waiting]
        self.waiting = []


class Served:
    """One connection at an instance: what came, and what was said."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.answered = 0  # requests
        self.turned_away: list[int] = []  # which of them were told not to have run
        self.rest = b""  # of an answer that has begun
        self.last, self.last_at = b"", -math.inf  # its last good answer, which may come once more
        self.seen = 0  # requests that were whole there when the last step was over


class Registry:
    """Discovery: the state of each instance, and the version that brought it."""

    def __init__(self, addresses: tuple[tuple[str, int], ...]) -> None:
        self.version = 1
        self.addresses = addresses
        self.states = [("in_service", 1)] * len(addresses)

    def change(self, n: int, state: str) -> None:
        self.version += 1
        self.states[n] = state, self.version

    def answer(self, after: int | None) -> dict[str, Any]:
        """The whole list, or what changed after a version."""
        found = [
            {
                names.NAME: f"s{n}",
                names.ADDRESS: f"{host}:{port}",
                names.ZONE: "a",
                names.STATE: state,
                names.BUILD: 41,
            }
            for n, ((host, port), (state, since)) in enumerate(zip(self.addresses, self.states, strict=True))
            if (state != "terminated" if after is None else since > after)
        ]
        return {names.VERSION: self.version, names.WHOLE: after is None, names.ENTRIES: found}


class Called:
    """One connection at discovery: how many calls were answered, and the answer that is on its way."""

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.answered = 0
        self.made: dict[str, Any] | None = None

    def call(self) -> Message | None:
        calls, _ = parse(self.wire.sent, True)
        return calls[self.answered] if len(calls) > self.answered else None


def parse(data: bytes, requests: bool) -> tuple[list[Message], bool]:
    """The whole messages in what was sent, and whether the rest is a part of one, or nothing."""
    ring = Ring(max(len(data), 1))
    ring.write(data)
    parser = Parser(ring, requests)
    found: list[Message] = []
    try:
        while (message := parser.next()) is not None:
            found.append(message)
    except BadMessageError:
        return found, False
    return found, True
