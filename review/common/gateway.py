"""A gateway, started by `run` of the deploy file, as a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import tomllib
from pathlib import Path
from typing import Any

from common.parties import HOST, free_port
from common.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
READY_WITHIN_S = 30.0


class CannotRunError(Exception):
    """The case could not run; nothing is known of the rule."""


class Gateway:
    """One gateway, which keeps its address over restarts."""

    def __init__(
        self, record: Record, folder: Path, number: int, settings: dict[str, Any], platform: dict[str, Any]
    ) -> None:
        self.record, self.name = record, f"n{number}"
        self.folder = folder / self.name
        self.folder.mkdir()
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": self.name,
            "listen": f"{HOST}:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"{HOST}:{free_port()}",
            "peers": [],
            "platform": platform,
            "settings": {**settings, "me": number},
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def write_config(self, discovery: str, known: dict[str, Any], seed: int) -> Path:
        self.config |= {"discovery": discovery, "known": known, "seed": f"{seed:016x}"}
        fresh, path = self.folder / "fresh.json", self.folder / "config.json"
        fresh.write_text(json.dumps(self.config))
        fresh.replace(path)
        return path

    async def start(self, discovery: str, known: dict[str, Any], seed: int) -> None:
        path = self.write_config(discovery, known, seed)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.starts += 1
        log_path = self.folder / f"gateway-{self.starts}.log"
        environment = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": f"{HOST}:{self.port}",
            "PROXY_DISCOVERY": discovery,
            "PROXY_CONFIG": str(path),
            "TMPDIR": str(self.folder),
        }
        with log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, stderr=log, stdout=log, env=environment
            )
        self.record.add("gateway_started", gateway=self.name)
        await self._wait_until_ready()
        self.record.add("gateway_ready", gateway=self.name)

    async def _wait_until_ready(self) -> None:
        until = self.record.now() + READY_WITHIN_S
        while self.record.now() < until:
            if self.process is None or self.process.poll() is not None:
                break
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                status = await reader.readline()
                writer.close()
                if b" 200 " in status:
                    return
            await asyncio.sleep(0.02)
        raise CannotRunError("the gateway did not get ready; was the build of the deploy file run?")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.record.add("signal", gateway=self.name, name=signal.Signals(number).name)
            self.process.send_signal(number)

    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def stop(self) -> None:
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait(10)
