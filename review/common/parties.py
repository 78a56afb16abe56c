"""Instances, discovery, the platform and clients, written from the users' pages."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import time
from typing import Any

from common.http import BROKEN, Message, read_message, response
from common.record import Record

HOST = "127.0.0.1"
SECOND_COPY_LATE_S = (0.001, 0.009)


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Service:
    """A TCP server at an address of its own, with the socket options that a TCP server has by default.

    So Nagle's algorithm is on: a small write waits in the kernel while an earlier one is not acknowledged.
    """

    def __init__(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, 0))  # held from now on, so that nobody else gets the port
        self.address = f"{HOST}:{self.socket.getsockname()[1]}"
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._accepted, sock=self.socket, backlog=512)

    def refuse_new(self) -> None:
        """Refuse new connections; the open ones stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def stop(self) -> None:
        """Refuse new connections, and reset the open ones."""
        self.refuse_new()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset the open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (*BROKEN, asyncio.CancelledError):  # cancelled: the run is over
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


class Instance(Service):
    """An instance: it works on each request for a while, and turns requests away while it drains."""

    def __init__(self, record: Record, name: str, work_ms: tuple[float, float], rng: random.Random) -> None:
        super().__init__()
        self.record, self.name, self.work_ms, self.rng = record, name, work_ms, rng
        self.draining = False
        self.second_copies = 0.0  # share of the good answers that come twice

    def entry(self, build: int = 41, status: str = "in_service", since_ms: float = 0.0) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "a",
            "type": "m2",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
            "revision_no": build,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        next_byte = asyncio.create_task(reader.readexactly(1))
        try:
            while True:
                first = await next_byte
                began = self.record.now()
                message = await read_message(reader, first)
                next_byte = asyncio.create_task(reader.readexactly(1))
                answer = await self._answer(message, began)
                writer.write(answer)
                if self.second_copies and self.rng.random() < self.second_copies:
                    await self._answer_again(message, answer, next_byte, writer)
        finally:
            next_byte.cancel()

    async def _answer(self, message: Message, began: float) -> bytes:
        """Work on a request, whose first byte came at the time `began`, and return its answer."""
        _, path, _ = message.start.split(" ", 2)
        if path.startswith("/health"):
            return response(200, b"ok")
        txn = message.headers.get("x-txn", "")
        turned_away = self.draining
        self.record.add(
            "attempt",
            instance=self.name,
            txn=txn,
            path=path,
            first_byte=round(began, 4),
            remaining=message.headers.get("x-remaining", ""),
            turned_away=turned_away,
        )
        if turned_away:
            return response(503, b"", X_Turned_Away="1")
        await asyncio.sleep(self.rng.uniform(*self.work_ms) / 1000)
        self.record.add("ran", instance=self.name, txn=txn)
        return response(200, f"{self.name} {txn}".encode())

    async def _answer_again(
        self, message: Message, answer: bytes, next_byte: asyncio.Task[bytes], writer: asyncio.StreamWriter
    ) -> None:
        """Write a second copy some milliseconds later, if nothing else waits on the connection by then."""
        late_s = self.rng.uniform(*SECOND_COPY_LATE_S)
        await asyncio.wait({next_byte}, timeout=late_s)
        if not next_byte.done():
            writer.write(answer)
            txn = message.headers.get("x-txn", "")
            self.record.add("second_copy", instance=self.name, txn=txn, late_ms=round(1000 * late_s, 1))


class Discovery:
    """Discovery: the whole list, and watches of what changes; each gateway calls it at a door of its own.

    The doors only tell the record who calls.
    """

    def __init__(self, record: Record, name: str, entries: list[dict[str, Any]]) -> None:
        self.record, self.name = record, name
        self.index = 5
        self.entries = {entry["name"]: entry for entry in entries}
        self.changed_at_index = {entry["name"]: self.index for entry in entries}
        self.changes = asyncio.Condition()
        self.crowded_wait_s = 0.0  # how long a call waits in the queue before it ends in 503; 0: not crowded
        self.down = False  # each call ends in 503 at once

    def listing(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    async def change(self, *entries: dict[str, Any]) -> None:
        async with self.changes:
            self.index += 1
            for entry in entries:
                self.entries[entry["name"]] = entry
                self.changed_at_index[entry["name"]] = self.index
            states = {entry["name"]: entry["status"] for entry in entries}
            self.record.add("list_changed", discovery=self.name, index=self.index, states=states)
            self.changes.notify_all()

    async def changes_after(self, after: int, wait_s: float) -> dict[str, Any]:
        async with self.changes:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changes.wait_for(lambda: self.index > after), wait_s or 0.001)
            if not 0 < after <= self.index:
                return self.listing()
            changed = [self.entries[name] for name, index in self.changed_at_index.items() if index > after]
            return {"index": self.index, "snapshot": False, "endpoints": changed}


class Door(Service):
    """The address at which one gateway calls discovery."""

    def __init__(self, discovery: Discovery, gateway: str) -> None:
        super().__init__()
        self.discovery, self.gateway = discovery, gateway

    def _add(self, what: str, **fields: Any) -> None:
        self.discovery.record.add(what, discovery=self.discovery.name, gateway=self.gateway, **fields)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            message = await read_message(reader)
            path = message.start.split(" ", 2)[1]
            self._add("list_call", path=path)
            if self.discovery.down or self.discovery.crowded_wait_s:
                await asyncio.sleep(0.0 if self.discovery.down else self.discovery.crowded_wait_s)
                self._add("list_refused", status=503)
                writer.write(response(503, b""))
                continue
            query = dict(part.split("=") for part in path.partition("?")[2].split("&") if part)
            if "after" in query:
                wait_s = float(query["wait_ms"]) / 1000
                answer = await self.discovery.changes_after(int(query["after"]), wait_s)
            else:
                answer = self.discovery.listing()
            if reader.at_eof() or writer.transport.is_closing():
                return  # the caller has given the call up: nothing can be written to it
            writer.write(response(200, json.dumps(answer).encode()))
            states = {entry["name"]: entry["status"] for entry in answer["endpoints"]}
            self._add("list_written", index=answer["index"], states=states)


class Platform(Service):
    """The platform: it tells the state of the newest build, and answers each vote with it."""

    def __init__(self, rollout: dict[str, Any]) -> None:
        super().__init__()
        self.rollout, self.began = rollout, time.monotonic()

    def news(self) -> dict[str, Any]:
        """The state of the newest build, as it stands now."""
        older_ms = round(1000 * (time.monotonic() - self.began))
        return self.rollout | {"old_ms": self.rollout["old_ms"] + older_ms}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        alive = None
        try:
            while line := await reader.readline():
                call = json.loads(line)
                if call["method"] == "follow":
                    self._write(writer, id=call["id"], result=True)
                    self._write(writer, method="ROLLOUT", params=self.news())
                    alive = asyncio.create_task(self._tell_alive(writer))
                else:
                    self._write(writer, id=call["id"], result=self.news())
        finally:
            if alive is not None:
                alive.cancel()

    def _write(self, writer: asyncio.StreamWriter, **fields: Any) -> None:
        writer.write(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

    async def _tell_alive(self, writer: asyncio.StreamWriter) -> None:
        while True:
            await asyncio.sleep(1.0)
            self._write(writer, method="ping")


class Clients:
    """Clients: one request at a time on a connection, which they keep; they leave when their time is up."""

    def __init__(self, record: Record, gateway: str, port: int, rng: random.Random) -> None:
        self.record, self.gateway, self.port, self.rng = record, gateway, port, rng
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.count = 0

    async def run(self, rate: float, until: float, classes: list[tuple[str, str, float, float]]) -> None:
        """Send requests at random times; a class is its method, its name, its share and the time it is given.

        The time is in milliseconds.
        """
        shares = [share for _, _, share, _ in classes]
        while self.record.now() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            method, name, _, wait_ms = self.rng.choices(classes, shares)[0]
            task = asyncio.create_task(self.request(method, name, wait_ms))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def finish(self) -> None:
        await asyncio.gather(*list(self.tasks))
        for _, writer in self.idle:
            writer.close()

    async def request(self, method: str, class_name: str, wait_ms: float) -> None:
        self.count += 1
        txn = f"{self.rng.getrandbits(32):08x}{self.count:08x}"
        body = b"" if method == "GET" else b"x" * 200
        head = (
            f"{method} /{class_name} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\n"
            f"X-Entity: {self.rng.randrange(1, 900):016x}\r\nX-Remaining: {wait_ms:.0f}m\r\n"
        )
        head += f"Content-Length: {len(body)}\r\n\r\n" if body else "\r\n"
        try:
            reader, writer = await self._connection()
        except BROKEN:
            self.record.add("unreachable", gateway=self.gateway, txn=txn, path=class_name)
            return
        writer.write(head.encode() + body)
        self.record.add("sent", gateway=self.gateway, txn=txn, path=class_name, remaining_ms=wait_ms)
        try:
            answer = await asyncio.wait_for(read_message(reader), wait_ms / 1000)
        except TimeoutError:
            writer.close()
            self.record.add("left", txn=txn)
            return
        except BROKEN as error:
            self.record.add("broken", txn=txn, why=type(error).__name__)
            writer.close()
            return
        status = int(answer.start.split(" ")[1])
        self.record.add("answered", txn=txn, status=status, body=answer.body.decode("latin-1")[:60])
        if answer.headers.get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(HOST, self.port)
