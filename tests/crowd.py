"""Crowds of bad clients, usual clients beside them, and a watcher of the gateway's memory.

A crowd runs in a process of its own: `python -m tests.crowd KIND PORT MEMBERS SECONDS`. Each member connects,
sends what its kind says, and connects again when its connection has ended.
"""

from __future__ import annotations

import contextlib
import json
import re
import selectors
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from tests.standins import ROOT, Client

LARGE_BODY = b"x" * 65_000
PARTIAL_BODY = LARGE_BODY[:60_000]
FIELDS_PER_HEAD = 4_070
RECONNECT_S = 0.5
READ_BYTES = 64 * 1024
OWED_S = 3.0  # a bad client is owed an error or a close within this time
SAMPLE_INTERVAL_S = 0.02
KIB = 1024


def _head(member: int, length: int, method: str = "POST", path: str = "/pay") -> bytes:
    lines = f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: crowd{member:x}-{time.monotonic_ns():x}\r\n"
    return f"{lines}X-Remaining: 4000m\r\nContent-Length: {length}\r\n\r\n".encode()


def _large(member: int) -> bytes:
    return _head(member, len(LARGE_BODY)) + LARGE_BODY


def _half(member: int) -> bytes:
    return _head(member, len(LARGE_BODY)) + PARTIAL_BODY


def _chunked(member: int) -> bytes:
    head = f"POST /pay HTTP/1.1\r\nHost: a\r\nX-Txn: chunked{member}\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head.encode() + b"".join(b"200\r\n" + b"y" * 512 + b"\r\n" for _ in range(110))


def _fields(_: int) -> bytes:
    return b"GET /look HTTP/1.1\r\n" + b"a:\r\n" * FIELDS_PER_HEAD


@dataclass(frozen=True)
class Behaviour:
    """What each member of a crowd sends, in steps of so many bytes, and whether it reads."""

    payload: Callable[[int], bytes]
    step_bytes: int = 1 << 30
    step_s: float = 0.0
    reads: bool = True


BEHAVIOURS = {
    "silent": Behaviour(lambda _: b""),
    "half": Behaviour(_half),
    "drip": Behaviour(_half, 700, 0.02),
    "chunked": Behaviour(_chunked),
    "fields": Behaviour(lambda member: _fields(member) + b"\r\n"),
    "fields-open": Behaviour(_fields),
    "pipelined": Behaviour(lambda member: _large(member) + _half(member)),
    "large": Behaviour(_large),
    "unread": Behaviour(_large, reads=False),
}
KINDS = (*BEHAVIOURS, "mixed")
FLOOD_PREFIX = "flood-"  # of a kind that names a flood: one member, on one connection at a time
FLOOD_BATCH = 8  # requests that a flood sends ahead of their answers


def _request(number: int, line: str, *headers: str, body: str = "") -> bytes:
    name = f"{number:x}-{time.monotonic_ns():x}"
    lines = [line.format(name=name), "Host: app.svc", f"X-Txn: {name}", f"X-Entity: key-{name}", *headers]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", body]).encode()


# Each sends names that never come again: ids, keys, paths, tenants, labels.
FLOODS: dict[str, tuple[Callable[[int], bytes], ...]] = {
    "served": (
        lambda n: _request(n, "GET /look/{name} HTTP/1.1", f"X-Org: tenant-{n}", f"X-Labels: l{n}={n}"),
    ),
    "refused": (
        lambda n: _request(n, "GET /{name} HTTP/1.1"),
        lambda n: _request(n, "PUT /look HTTP/1.1"),
        lambda n: _request(n, "POST /look HTTP/1.1", "X-Remaining: 0m"),
        lambda n: _request(n, "POST /pay HTTP/1.1", "X-Remaining: 0m", body="x"),
    ),
    "unsound": (
        lambda n: _request(n, "GET /look HTTP/1.1", "X-Txn: second"),
        lambda n: _request(n, "GET /look HTTP/1.1", "X-Remaining: never"),
        lambda n: _request(n, "nonsense {name}"),
        lambda n: b"POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
    ),
    "unread": (lambda n: _request(n, "GET /{name} HTTP/1.1"),),
}


class Member:
    """One client of a crowd."""

    def __init__(self, number: int, behaviour: Behaviour, port: int) -> None:
        self.number, self.behaviour, self.port = number, behaviour, port
        self.socket: socket.socket | None = None
        self.pending = b""
        self.next_step_at = 0.0
        self.connected_at = 0.0
        self.answered = False

    def connect(self, now: float) -> socket.socket:
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", self.port))
        self.pending = self.behaviour.payload(self.number)
        self.connected_at, self.next_step_at, self.answered = now, now, False
        return self.socket

    def write(self, now: float) -> None:
        """Send the next step. Raises OSError if the connection has ended."""
        if not self.pending or now < self.next_step_at or self.socket is None:
            return
        with contextlib.suppress(BlockingIOError):
            sent = self.socket.send(self.pending[: self.behaviour.step_bytes])
            self.pending = self.pending[sent:]
            self.next_step_at = now + self.behaviour.step_s


@dataclass
class CrowdReport:
    """How many connections a crowd made, and how many of those got an answer or an end in time or late."""

    connections: int = 0
    in_time: int = 0
    late: int = 0


def run_crowd(kind: str, port: int, members: int, seconds: float) -> CrowdReport:
    behaviours = list(BEHAVIOURS.values()) if kind == "mixed" else [BEHAVIOURS[kind]]
    crowd = [Member(number, behaviours[number % len(behaviours)], port) for number in range(members)]
    reconnect_at = {member: 0.0 for member in crowd}
    report, selector, began = CrowdReport(), selectors.DefaultSelector(), time.monotonic()

    def settle(member: Member, now: float) -> None:
        if not member.answered:
            member.answered = True
            report.in_time += now - member.connected_at <= OWED_S
            report.late += now - member.connected_at > OWED_S

    while (now := time.monotonic()) < began + seconds:
        for member in [m for m, at in reconnect_at.items() if at <= now]:
            del reconnect_at[member]
            wanted = selectors.EVENT_WRITE | (selectors.EVENT_READ if member.behaviour.reads else 0)
            selector.register(member.connect(now), wanted, member)
            report.connections += 1
        for key, events in selector.select(0.02):
            member = key.data
            try:
                if events & selectors.EVENT_READ:
                    if not key.fileobj.recv(READ_BYTES):  # type: ignore[union-attr]
                        raise ConnectionResetError
                    settle(member, now)
                member.write(now)
            except OSError:
                settle(member, now)
                selector.unregister(key.fileobj)
                key.fileobj.close()  # type: ignore[union-attr]
                reconnect_at[member] = now + RECONNECT_S
                continue
            done = not member.pending and not events & selectors.EVENT_READ
            if done and member.behaviour.reads:
                selector.modify(key.fileobj, selectors.EVENT_READ, member)
        if all(m.behaviour.step_s for m in crowd):
            time.sleep(0.005)
    late_now = time.monotonic()
    for member in crowd:
        overdue = late_now - member.connected_at > OWED_S and member.behaviour.reads
        if member not in reconnect_at and not member.answered and overdue:
            report.late += 1
    return report


def run_flood(kind: str, port: int, seconds: float) -> CrowdReport:
    """Send on one connection at full speed, a few requests ahead, and read each answer but for `unread`."""
    report, number, until = CrowdReport(), 0, time.monotonic() + seconds
    while time.monotonic() < until:
        report.connections += 1
        with (
            contextlib.suppress(OSError),
            socket.create_connection(("127.0.0.1", port), OWED_S) as connection,
        ):
            while time.monotonic() < until:
                makers = FLOODS[kind]
                batch = [makers[(number + k) % len(makers)](number + k) for k in range(FLOOD_BATCH)]
                number += FLOOD_BATCH
                connection.sendall(b"".join(batch))
                missing = 0 if kind == "unread" else FLOOD_BATCH
                while missing > 0:
                    data = connection.recv(READ_BYTES)
                    if not data:
                        raise ConnectionResetError
                    missing -= data.count(b"HTTP/1.1 ")
                    report.in_time += data.count(b"HTTP/1.1 ")
    return report


@contextlib.contextmanager
def crowd(kind: str, port: int, members: int, seconds: float) -> Iterator[Callable[[], CrowdReport]]:
    """Run a crowd meanwhile; what is yielded waits for its end and returns its report."""
    arguments = [sys.executable, "-m", "tests.crowd", kind, str(port), str(members), str(seconds)]
    process = subprocess.Popen(arguments, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        yield lambda: CrowdReport(**json.loads(process.communicate()[0]))
    finally:
        process.kill()
        process.wait()


@dataclass
class UsualClients:
    """Clients that send a small request at once, every other one on a new connection."""

    port: int
    per_second: float = 20.0
    patience_s: float = 2.0
    latencies_ms: list[float] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)
    _threads: list[threading.Thread] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        """Send for some seconds, and wait for all answers."""
        count = int(seconds * self.per_second)
        began = time.monotonic()
        for number in range(count):
            time.sleep(max(began + number / self.per_second - time.monotonic(), 0.0))
            thread = threading.Thread(target=self._request, args=(number,))
            thread.start()
            self._threads.append(thread)
        for thread in self._threads:
            thread.join()

    def _request(self, number: int) -> None:
        began = time.monotonic()
        method, path, body = ("GET", "/look", b"") if number % 2 else ("POST", "/pay", b"y" * 200)
        try:
            client = Client(self.port, self.patience_s)
            status = client.request(method, path, body, X_Txn=f"usual{number}-{time.monotonic_ns():x}")[0]
            client.socket.close()
        except OSError as error:
            status, reason = 0, type(error).__name__
        else:
            reason = str(status)
        if status == 200:
            self.latencies_ms.append((time.monotonic() - began) * 1000)
        else:
            self.unserved.append(reason)

    @property
    def served_share(self) -> float:
        return len(self.latencies_ms) / max(len(self.latencies_ms) + len(self.unserved), 1)

    @property
    def p99_ms(self) -> float:
        ordered = sorted(self.latencies_ms)
        return ordered[int(len(ordered) * 0.99)] if ordered else float("inf")


class MemoryWatch:
    """Samples a process's memory until it is closed; sizes are bytes."""

    def __init__(self, process_id: int) -> None:
        self._path = Path(f"/proc/{process_id}/smaps_rollup")
        self.peak_anonymous = self.peak_resident = self.anonymous = self.resident = 0
        self._ended = threading.Event()
        self.sample()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while not self._ended.wait(SAMPLE_INTERVAL_S):
            try:
                self.sample()
            except OSError:
                return  # the process has ended

    def sample(self) -> None:
        text = self._path.read_text()
        self.resident, self.anonymous = (
            int(re.search(rf"^{name}:\s+(\d+)", text, re.MULTILINE)[1]) * KIB  # type: ignore[index]
            for name in ("Rss", "Anonymous")
        )
        self.peak_resident = max(self.peak_resident, self.resident)
        self.peak_anonymous = max(self.peak_anonymous, self.anonymous)

    def close(self) -> None:
        self._ended.set()


if __name__ == "__main__":
    chosen_kind, chosen_port, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[4])
    if chosen_kind.startswith(FLOOD_PREFIX):
        result = run_flood(chosen_kind.removeprefix(FLOOD_PREFIX), chosen_port, seconds)
    else:
        result = run_crowd(chosen_kind, chosen_port, int(sys.argv[3]), seconds)
    print(json.dumps(result.__dict__))
