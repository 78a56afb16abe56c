"""Fakes of the services that a gateway talks to, and a gateway process started as the operators start it.

The fakes are written from the protocol. Everything here waits for events, with a time-out.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import queue
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 20.0
GATEWAY_PORTS = (10_000, 32_000)
CROWDED_WAIT_S = 0.3  # how long a crowded discovery keeps a call in its queue
RELEASED = {"release": 41, "tranche": 2, "mode": "stable", "exposure": 1.0, "old_ms": 60_000}
TRIAL = {"release": 42, "tranche": 0, "mode": "canary", "exposure": 0.3, "old_ms": 60_000}

SETTINGS: dict[str, Any] = {
    "me": 0,
    "balancers": 1,
    "az": 0,
    "zones": ["a"],
    "period-ms": 5.0,
    "discovery": "subscribe",
    "machine-types": ["m2"],
    "bounds": {
        "most-tries": 3,
        "cancelling": True,
        "retry-after": True,
        "max-retry-after-ms": 500.0,
        "connect-timeout-ms": 250.0,
        "conn-idle-ms": 30000.0,
        "may-tell": True,
    },
    "classes": [
        {"name": "look", "repeat": "pure", "target-ms": 1000.0, "hard-limit-ms": 5000.0},
        {"name": "pay", "repeat": "side_effect", "target-ms": 1000.0, "hard-limit-ms": 5000.0},
    ],
    "rules": {
        "answer-slack-ms": 20.0,
        "ask-within-ms": 10000.0,
        "stop-sending-within-ms": 2000.0,
        "cold-ms": 1000.0,
        "cold-from": 0.5,
        "fall-multiple": 2.0,
        "tip-after-ms": 1500.0,
    },
    "family-info": {
        "gate-mode": "any",
        "caps": [0.3, 1.0],
        "steps": [0.3, 1.0],
        "soak-ms": 1000.0,
        "on-votes": 1,
        "votes-to-revert": 1,
        "votes-per-s": 50.0,
        "ballot-ttl-ms": 6000.0,
        "api-timeout-ms": 1200.0,
        "exposure-window-ms": 6000.0,
        "free": 3.0,
        "per": "all",
    },
}


# They stop the fakes of the running test: left open, a run of all tests passed 1,024 descriptors.
_cleanups: list[Callable[[], None]] = []


def stop_all() -> None:
    """Stop all fakes in threads of their own: the next test need not wait for that."""
    while _cleanups:
        threading.Thread(target=_cleanups.pop(), daemon=True).start()


def free_port() -> int:
    """Return a free port below those that the kernel gives to outgoing connections."""
    while True:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", random.randrange(*GATEWAY_PORTS)))
            return int(probe.getsockname()[1])


def respond(handler: BaseHTTPRequestHandler, status: int, body: bytes, **headers: str) -> None:
    handler.send_response(status)
    for name, value in headers.items():
        handler.send_header(name.replace("_", "-"), value)
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


class FakeHttpServer:
    """An HTTP server that passes each request to `handle`."""

    def __init__(self, handle: Callable[[BaseHTTPRequestHandler, bytes], None]) -> None:
        self.connections = 0
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                outer.connections += 1
                super().setup()

            def do_GET(self) -> None:
                try:
                    handle(self, self.rfile.read(int(self.headers.get("Content-Length", 0))))
                except (BrokenPipeError, ConnectionResetError):
                    self.close_connection = True  # the gateway has given it up

            do_POST = do_GET  # noqa: N815

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.server.handle_error = lambda request, client: None  # type: ignore[method-assign,assignment]
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        _cleanups.append(self._stop)

    def _stop(self) -> None:
        self.server.shutdown()
        self.server.server_close()


class FakeInstance(FakeHttpServer):
    """An instance that echoes the body, or calls `handle`; `received` holds its requests."""

    def __init__(self, handle: Callable[[BaseHTTPRequestHandler, bytes], None] | None = None) -> None:
        self.received: queue.Queue[tuple[str, str, dict[str, str], bytes]] = queue.Queue()

        def record(handler: BaseHTTPRequestHandler, body: bytes) -> None:
            headers = {name.lower(): value for name, value in handler.headers.items()}
            self.received.put((handler.command, handler.path, headers, body))
            if handle is None:
                respond(handler, 200, b"served " + body)
            else:
                handle(handler, body)

        super().__init__(record)


def endpoint(name: str, address: str, build: int = 41, status: str = "in_service") -> dict[str, Any]:
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "m2",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
        "revision_no": build,
    }


class FakeDiscovery(FakeHttpServer):
    """Discovery, with long polls for changes of the endpoint list."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.changed = threading.Condition()
        self.index, self.entries = 5, entries
        self.malformed_response = b""  # sent in place of the next response
        self.crowded = False  # each call ends in 503 after it has waited for a while
        self.down = False  # each call ends in 503 at once
        self.watches = 0  # number of calls that waited for changes
        self.polled_versions: queue.Queue[int] = queue.Queue()  # the version that each poll gave
        super().__init__(self._handle)

    def update(self, entries: list[dict[str, Any]]) -> None:
        with self.changed:
            self.index, self.entries = self.index + 1, entries
            self.changed.notify_all()

    def crowd(self) -> None:
        """Answer the watches, and let each further call wait for a while and end in 503."""
        with self.changed:
            self.crowded = True
            self.changed.notify_all()

    def go_down(self) -> None:
        """End all watches and each further call in 503 at once."""
        with self.changed:
            self.down = True
            self.changed.notify_all()

    def _handle(self, handler: BaseHTTPRequestHandler, _: bytes) -> None:
        query = dict(part.split("=") for part in handler.path.partition("?")[2].split("&") if part)
        after, wait_s = int(query.get("after", -1)), float(query.get("wait_ms", 0)) / 1000
        self.polled_versions.put(after)
        with self.changed:
            if self.crowded:
                self.changed.wait_for(lambda: not self.crowded, CROWDED_WAIT_S)
                respond(handler, 503, b"")
                return
            self.watches += wait_s > 0
            if not self.down:
                self.changed.wait_for(lambda: self.index > after or self.crowded or self.down, wait_s)
            if self.down:
                respond(handler, 503, b"")
                return
            malformed, self.malformed_response = self.malformed_response, b""
            endpoints = self.entries if self.index > after else []
            body = {"index": self.index, "snapshot": bool(endpoints), "endpoints": endpoints}
        if malformed:
            handler.wfile.write(malformed)
        else:
            respond(handler, 200, json.dumps(body).encode())


class FakePlatform:
    """Speaks the line protocol; each of `spoilt` takes the place of the news on one connection, in turn."""

    def __init__(self, rollout: dict[str, Any], *malformed_lines: bytes) -> None:
        self.rollout, self.malformed_lines = rollout, list(malformed_lines)
        self.followers: queue.Queue[socket.socket] = queue.Queue()
        self.may_respond = threading.Event()
        self.may_respond.set()
        self.closed = threading.Event()
        self.votes: queue.Queue[dict[str, Any]] = queue.Queue()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        _cleanups.append(self._stop)

    def _stop(self) -> None:
        self.server.shutdown(socket.SHUT_RDWR)  # wakes who accepts
        self.server.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return  # the test is over
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        def write(**fields: Any) -> None:
            connection.sendall(json.dumps({"jsonrpc": "2.0", **fields}).encode() + b"\n")

        try:
            for line in connection.makefile("rb"):
                call = json.loads(line)
                if call["method"] == "follow":
                    write(id=call["id"], result=True)
                    if self.malformed_lines:
                        connection.sendall(self.malformed_lines.pop(0))
                    else:
                        write(method="ROLLOUT", params=self.rollout)
                    self.followers.put(connection)
                else:
                    self.votes.put(call["params"])
                    self.may_respond.wait(TIMEOUT_S)
                    write(id=call["id"], result=self.rollout)
        except OSError:
            pass
        self.closed.set()


class GatewayProcess:
    """The program, started by the deploy file's `run`.

    Where a test names no discovery there is one that confirms `known`: else the list would expire meanwhile.
    """

    def __init__(
        self,
        directory: Path,
        known: list[dict[str, Any]],
        discovery: str | None = None,
        platform: str = "",
        rollout: dict[str, Any] = RELEASED,
        **overrides: Any,
    ) -> None:
        subprocess.run([sys.executable, str(ROOT / "deploy" / "compile.py")], check=True)
        self.port = free_port()
        self.peer_port = free_port()
        config = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "discovery": FakeDiscovery(known).address if discovery is None else discovery,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            "peer_listen": f"127.0.0.1:{self.peer_port}",
            "peers": [f"127.0.0.1:{self.peer_port}"],
            "platform": {"address": platform or f"127.0.0.1:{free_port()}", "news": rollout},
            "known": {"index": 4, "snapshot": True, "endpoints": known},
            "settings": SETTINGS,
            **overrides,
        }
        self.config_path, self.config = directory / "config.json", config
        self.config_path.write_text(json.dumps(config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PROXY_CONFIG": str(self.config_path), "PROXY_DISCOVERY": config["discovery"]},
        )
        self.lines: queue.Queue[dict[str, Any]] = queue.Queue()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.put(json.loads(line) if line.startswith("{") else {"event": "plain", "line": line})
        self.lines.put({"event": "closed"})

    def wait_for(self, event: str) -> dict[str, Any]:
        deadline = time.monotonic() + TIMEOUT_S  # in all: other lines may come without end
        while True:
            line = self.lines.get(timeout=max(deadline - time.monotonic(), 0.0))
            if line["event"] == event:
                return line
            assert line["event"] != "closed", f"the gateway ended before '{event}'"

    def pending_events(self) -> list[str]:
        """The names of the events that were logged and not waited for; they are taken."""
        return [self.lines.get_nowait()["event"] for _ in range(self.lines.qsize())]

    def client(self) -> Client:
        return Client(self.port)

    def reload(self, raw_text: str = "", **changed: Any) -> None:
        """The operators' way: a new file in the place of the old one, then SIGHUP."""
        new_file = self.config_path.with_name("fresh.json")
        new_file.write_text(raw_text or json.dumps({**self.config, **changed}))
        new_file.replace(self.config_path)
        self.process.send_signal(signal.SIGHUP)

    def stop(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(TIMEOUT_S)


class Client:
    """A client's connection; its requests carry its own and a running number as their id."""

    _numbers = itertools.count(1)

    def __init__(self, port: int, timeout_s: float = TIMEOUT_S) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=timeout_s)
        self.reader = self.socket.makefile("rb")
        self.number = next(self._numbers)
        self.request_count = 0

    @property
    def request_id(self) -> str:
        return f"{self.number:08x}{self.request_count:08x}"

    def send(self, method: str, path: str, body: bytes = b"", **headers: str) -> None:
        self.request_count += 1
        request_headers = {
            "Host": "app.svc",
            "X-Txn": self.request_id,
            "X-Remaining": "4000m",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if body:
            request_headers["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in request_headers.items())
        self.socket.sendall(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)

    def read_response(self) -> tuple[int, dict[str, str], bytes]:
        """Status, headers and body; status 0 when the connection ended instead."""
        start = self.reader.readline()
        if not start:
            return 0, {}, b""
        headers = {}
        while (line := self.reader.readline().strip()) != b"":
            name, _, value = line.decode().partition(":")
            headers[name.lower()] = value.strip()
        return int(start.split()[1]), headers, self.reader.read(int(headers.get("content-length", 0)))

    def request(
        self, method: str, path: str, body: bytes = b"", **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        self.send(method, path, body, **headers)
        return self.read_response()
