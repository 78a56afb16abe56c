"""A crowd of bad clients at one gateway: each stops in the middle of a large request and stays."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time

MEMBERS = 300
BODY_BYTES = 60_000
DECLARED_BYTES = 65_000
RECONNECT_S = 0.5
POLL_S = 0.02
READ_BYTES = 64 * 1024
READ_AND_WRITE = selectors.EVENT_READ | selectors.EVENT_WRITE


def _half_request(member: int) -> bytes:
    head = f"POST /look HTTP/1.1\r\nHost: a\r\nX-Txn: crowd-{member}-{time.monotonic_ns()}\r\n"
    return f"{head}Content-Length: {DECLARED_BYTES}\r\n\r\n".encode() + b"x" * BODY_BYTES


class _Member:
    """One client of a crowd; it connects again some time after its connection has ended."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.connect_at = 0.0
        self.unsent = b""
        self.socket: socket.socket | None = None

    def connect(self, address: tuple[str, int]) -> socket.socket:
        """Begin a new connection."""
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(address)
        self.unsent = _half_request(self.number)
        return self.socket

    def write(self) -> None:
        """Send what the kernel takes. Raises OSError if the connection has ended."""
        if self.unsent and self.socket is not None:
            with contextlib.suppress(BlockingIOError):
                self.unsent = self.unsent[self.socket.send(self.unsent) :]


def play_crowd(address: tuple[str, int], duration_s: float, members: int = MEMBERS) -> int:
    """Keep a crowd at an address for some seconds. Return how many connections it made."""
    until = time.monotonic() + duration_s
    waiting = [_Member(number) for number in range(members)]
    connections = 0
    with selectors.DefaultSelector() as selector:
        while (now := time.monotonic()) < until:
            for member in [m for m in waiting if m.connect_at <= now]:
                waiting.remove(member)
                selector.register(member.connect(address), READ_AND_WRITE, member)
                connections += 1
            for key, events in selector.select(POLL_S):
                if _has_ended(selector, key, events):
                    key.data.connect_at = now + RECONNECT_S
                    waiting.append(key.data)
        for key in list(selector.get_map().values()):
            key.data.socket.close()
    return connections


def _has_ended(selector: selectors.BaseSelector, key: selectors.SelectorKey, events: int) -> bool:
    """Read and write on a member's connection; close it and return True if it has ended."""
    member: _Member = key.data
    assert member.socket is not None
    try:
        if events & selectors.EVENT_READ and not member.socket.recv(READ_BYTES):
            raise ConnectionResetError
        member.write()
    except OSError:
        selector.unregister(member.socket)
        member.socket.close()
        return True
    if not member.unsent and key.events & selectors.EVENT_WRITE:
        selector.modify(member.socket, selectors.EVENT_READ, member)
    return False
