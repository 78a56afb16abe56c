"""Several real gateways on one ledger: the `run` of the deploy file on the layout that has the parts for it.

Whoever uses it brings instances, discovery and platform; here are the processes, what they log, and clients
that ask at one gateway and again, under the same id, at another.
"""

from __future__ import annotations

import contextlib
import json
import os
import socket
import subprocess
import sys
import threading
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from meadowpulley.net import names
from meadowpulley.rig.processes import ROOT, RigError, free_ports, own_host

READY_S = 30.0
LAYOUT = ".venv/gateway"
OURS = ("PROXY_", "MEADOWPULLEY_")  # variables of a gateway: none is taken over from the rig's own


def lay_out() -> None:
    """Both layouts, made anew where a source has changed."""
    for more in ((), ("--joint",)):
        subprocess.run([sys.executable, str(ROOT / "deploy" / "compile.py"), *more], check=True)


class Process:
    """One gateway, and the lines that it logs; those that are no JSON are kept as `plain`."""

    def __init__(
        self, path: Path, config: Mapping[str, Any], environ: Mapping[str, str], joint: bool
    ) -> None:
        self.name, self.address = config["name"], config["listen"]
        path.write_text(json.dumps(config))
        run: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        if joint:
            run = run.replace(f"PYTHONPATH={LAYOUT} ", f"PYTHONPATH={LAYOUT}-joint ")
        kept = {k: v for k, v in os.environ.items() if not k.startswith(OURS)}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            text=True,
            env={**kept, names.ENV_CONFIG: str(path), **environ},
        )
        self.lines: list[dict[str, Any]] = []
        self._more = threading.Condition()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self.process.stderr is not None
        for text in self.process.stderr:
            line = json.loads(text) if text.startswith("{") else {"event": "plain", "line": text.rstrip()}
            with self._more:
                self.lines.append(line)
                self._more.notify_all()
        with self._more:
            self.lines.append({"event": "closed"})
            self._more.notify_all()

    def wait_for(self, event: str, limit_s: float = READY_S) -> dict[str, Any]:
        """The first line of that event. Raises RigError where the process ends, or time runs out, before."""
        with self._more:
            self._more.wait_for(lambda: self.told(event) or self.told("closed"), limit_s)
            for line in self.lines:
                if line["event"] == event:
                    return line
        raise RigError(f"{self.name}: no '{event}': {self.lines[-3:]}")

    def told(self, event: str) -> list[dict[str, Any]]:
        return [line for line in self.lines if line["event"] == event]

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def wait_until_stopped(self) -> None:
        """Until it stands still or has ended."""
        _, status = os.waitpid(self.process.pid, os.WUNTRACED)
        if not os.WIFSTOPPED(status):
            self.process.returncode = os.waitstatus_to_exitcode(status)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def ended(self, limit_s: float = READY_S) -> int:
        """Its exit status, once all it logged is read."""
        status = self.process.wait(limit_s)
        self.wait_for("closed")
        return status

    def cpu_ms(self) -> float:
        """CPU time that all its threads have used so far, to the microsecond."""
        tasks = Path(f"/proc/{self.process.pid}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir()) / 1e6


class Fleet:
    """`config`: what all gateways are told alike; `environ`: their variables, the ledger's folder apart."""

    def __init__(
        self, folder: Path, size: int, config: Mapping[str, Any], environ: Mapping[str, str]
    ) -> None:
        self.folder, self.size, self.ledger = folder, size, folder / "ledger"
        self.ledger.mkdir()
        self._config, self._environ = config, environ
        host = own_host()
        self.addresses = [f"{host}:{port}" for port in free_ports(host, size)]
        self.processes: list[Process] = []

    def config(self, number: int) -> dict[str, Any]:
        settings = {**self._config["settings"], "me": number, "balancers": self.size}
        return {
            "name": f"g{number}",
            "listen": self.addresses[number],
            "seed": f"{number + 1:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            **self._config,
            "settings": settings,
        }

    def launch(
        self, number: int, environ: Mapping[str, str] | None = None, joint: bool = True, **changed: Any
    ) -> Process:
        """Starts that gateway; None for a variable's value leaves it out."""
        told = {"MEADOWPULLEY_LEDGER": str(self.ledger), **self._environ, **(environ or {})}
        path = self.folder / f"config-{len(self.processes)}.json"
        given = {k: v for k, v in told.items() if v}
        self.processes.append(Process(path, {**self.config(number), **changed}, given, joint))
        return self.processes[-1]

    def start(self) -> list[Process]:
        """All of them, ready."""
        found = [self.launch(n) for n in range(self.size)]
        for process in found:
            process.wait_for("ready")
        return found

    def stop(self) -> None:
        for process in self.processes:
            process.kill()


@dataclass(frozen=True, slots=True)
class Reply:
    status: int  # 0: the connection ended without a whole answer
    body: bytes = b""
    more: bytes = b""  # what came after the answer: there should be nothing


def ask(
    address: str,
    name: str,
    target: str,
    body: bytes = b"",
    *,
    key: str = "",
    tenant: str = "",
    again: bool = False,
    left_ms: float = 8000.0,
) -> Reply | None:
    """One request on a connection of its own, a POST where it has a body. None where nobody was there."""
    host, _, port = address.rpartition(":")
    head = {"host": names.SERVICE, names.ID: name, names.REMAINING: f"{left_ms:.3f}m", "connection": "close"}
    head |= {names.KEY: key} if key else {}
    head |= {names.TENANT: tenant} if tenant else {}
    head |= {names.REPEAT: "1"} if again else {}
    head |= {"content-length": str(len(body))} if body else {}
    lines = "".join(f"{k}: {v}\r\n" for k, v in head.items())
    start = f"{'POST' if body else 'GET'} {target} HTTP/1.1\r\n{lines}\r\n".encode()
    data = b""
    try:
        link = socket.create_connection((host, int(port)), timeout=left_ms / 1000 + 2)
    except OSError:
        return None
    with link, contextlib.suppress(OSError):
        link.sendall(start + body)
        while part := link.recv(65536):
            data += part
    told, end, rest = data.partition(b"\r\n\r\n")
    length = next((int(h[15:]) for h in told.lower().split(b"\r\n") if h.startswith(b"content-length:")), 0)
    if not end or len(rest) < length:
        return Reply(0)
    return Reply(int(told.split()[1]), rest[:length], rest[length:])
