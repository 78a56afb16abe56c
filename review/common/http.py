"""The little of HTTP/1.1 that the stand-ins need."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

BROKEN = (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError)


@dataclass
class Message:
    """A request or a response, with header names in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader, first: bytes = b"") -> Message:
    """Read a message; `first` holds those of its bytes that were read already."""
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    message = Message(head[0])
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            message.headers[name.strip().lower()] = value.strip()
    length = int(message.headers.get("content-length", "0"))
    message.body = await reader.readexactly(length) if length else b""
    return message


def response(status: int, body: bytes, **headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body
