"""Starts the rig's processes, gateways by `run` of the deploy file, and gathers what came of them."""

from __future__ import annotations

import itertools
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from meadowpulley.emulator import ServersNow, Snapshot
from meadowpulley.fleet import settings_object
from meadowpulley.rig.told import ClientsNow, ClientsTold, Job, Ports, RigPlan, ServersTold
from meadowpulley.rig.trace import check

ROOT = Path(__file__).resolve().parent.parent.parent
LEAD_S = (2.5, 0.4)  # from the orders to the first request, and more for each gateway that starts
READY_S = 30.0
NOT_PLAYED = ("site_cut", "vanish", "peers_lost", "gateway_crash")  # loopback has no distances, nor silence
GRACE_S = 20.0  # beyond the load's end, until the driver is ended
FULL = 0.75  # of a core: a process of the rig that used more was itself a limit
LIVE_MS = 250.0  # how often a run that is watched tells of itself
LATE_MS = 20.0  # the 99th percentile of how late the rig's own calls may come


Watch = Callable[[Snapshot], bool]


class RigError(RuntimeError):
    """The rig could not be set up; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Measured:
    """What a run on loopback gave. `limits`: why the rig itself was a limit, if it was; then no verdict
    holds."""

    figures: dict[str, float]
    seconds: list[list[float]]
    events: list[tuple[float, str]]
    stages: list[tuple[float, int, int, str]]
    gateway_cpu: list[float]  # share of a core while the load ran
    counters: list[dict[str, Any]]
    memory_mb: list[float]
    limits: list[str]
    fell: int
    wrong: int
    broken: dict[str, int]  # rules, by how often
    breaches: list[str]


_rigs = itertools.count()


def own_host() -> str:
    """An address of loopback for one rig: those that run side by side never take each other's ports."""
    return f"127.{64 + os.getpid() % 64}.{next(_rigs) % 250}.{1 + os.getpid() // 64 % 250}"


def instances_host(host: str) -> str:
    """The address beside a rig's own on which its instances are: whatever port the kernel gives one of them,
    a gateway that has not bound its own port yet still finds it free."""
    _, second, rest = host.split(".", 2)
    return f"127.{int(second) + 64}.{rest}"


def free_ports(host: str, count: int) -> list[int]:
    """Ports of an address that nobody holds at the moment."""
    held = [socket.socket() for _ in range(count)]
    try:
        for s in held:
            s.bind((host, 0))
        return [int(s.getsockname()[1]) for s in held]
    finally:
        for s in held:
            s.close()


class _Gateway:
    def __init__(self, folder: Path, number: int, config: dict[str, Any]) -> None:
        path = folder / f"gateway-{number}.json"
        path.write_text(json.dumps(config))
        self.log = open(folder / f"gateway-{number}.log", "wb+")  # noqa: SIM115 (closed with the rig)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            stderr=self.log,
            stdout=subprocess.DEVNULL,
            env={**environ, "PROXY_CONFIG": str(path)},
        )

    def lines(self) -> list[dict[str, Any]]:
        self.log.seek(0)
        return [json.loads(line) for line in self.log.read().splitlines() if line.startswith(b"{")]

    def wait_ready(self, until: float) -> None:
        while not any(line["event"] == "ready" for line in self.lines()):
            if self.process.poll() is not None or time.monotonic() > until:
                self.log.seek(0)
                raise RigError(
                    f"a gateway did not start: {self.log.read()[-300:].decode(errors='replace')!r}"
                )
            time.sleep(0.05)

    def cpu_s(self) -> float:
        """CPU seconds it has used so far."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")]
        return int(found[0]) / 1024 if found else 0.0

    def counters(self) -> dict[str, Any]:
        return next((line for line in reversed(self.lines()) if line["event"] == "counters"), {})


def _stop(process: subprocess.Popen[bytes], number: int = signal.SIGTERM) -> None:
    if process.poll() is None:
        process.send_signal(number)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _config(plan: RigPlan, ports: Ports, number: int, known: Any, news: Any) -> dict[str, Any]:
    sockets = plan.fleet.gateway_figures()[number].descriptors
    return {
        "name": f"g{number}",
        "listen": f"{ports.host}:{ports.clients[number]}",
        "discovery": f"{ports.host}:{ports.discovery[number]}",
        "seed": f"{(plan.seed * 1000003 + number) & 0xFFFFFFFFFFFFFFFF:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "peer_listen": f"{ports.host}:{ports.peers[number]}",
        "peers": [f"{ports.host}:{port}" for port in ports.peers],
        "platform": {"address": f"{ports.host}:{ports.platform[number]}", "news": news},
        "known": known,
        "settings": settings_object(plan.fleet, number),
    }


def _told(process: subprocess.Popen[bytes], log: Path) -> dict[str, Any]:
    assert process.stdout is not None
    with selectors.DefaultSelector() as waits:  # select() itself ends at descriptor 1,023
        waits.register(process.stdout, selectors.EVENT_READ)
        ready = waits.select(READY_S)
    line = process.stdout.readline() if ready else b""
    try:
        found: dict[str, Any] = json.loads(line)
    except ValueError:
        why = log.read_bytes()[-300:].decode(errors="replace")
        raise RigError(f"a process of the rig did not start: {why!r}") from None
    return found


class _Live:
    """Reads what the rig's processes tell while they run: the last whole line of each."""

    def __init__(self, folder: Path, title: str, watch: Watch) -> None:
        self.folder, self.title, self.watch = folder, title, watch

    def _last(self, what: str) -> bytes:
        try:
            lines = (self.folder / f"{what}.out.live").read_bytes().split(b"\n")
        except OSError:
            return b""
        return lines[-2] if len(lines) > 1 else b""

    def show(self) -> bool:
        """False once whoever watches wants it ended."""
        servers, clients = self._last("standins"), self._last("driver")
        if not servers or not clients:
            return True
        now = msgspec.json.decode(servers, type=ServersNow)
        classes = msgspec.json.decode(clients, type=ClientsNow).classes
        return self.watch(Snapshot(self.title, now, classes))


def _wait(driver: subprocess.Popen[bytes], limit_s: float, live: _Live | None) -> None:
    until = time.monotonic() + limit_s
    while True:
        try:
            driver.wait(limit_s if live is None else LIVE_MS / 1000)
            return
        except subprocess.TimeoutExpired:
            if time.monotonic() >= until:
                raise RigError("the driver did not end in time") from None
            if live is not None and not live.show():
                raise RigError("it was ended before its end; there are no results") from None


def run_rig(plan: RigPlan, watch: Watch | None = None) -> Measured:
    """Plays a plan on loopback, from nothing to nothing. `watch` is shown the run four times a second, and
    ends it by returning False. Raises RigError where it could not be set up, or was ended."""
    for fault in plan.scenario.faults:
        if fault.kind in NOT_PLAYED:
            raise RigError(f"fault '{fault.kind}' can't be played on loopback; emulate it")
    count = len(plan.fleet.gateway_sites())
    host = own_host()
    numbers = free_ports(host, 4 * count)
    each = (tuple(numbers[k * count : (k + 1) * count]) for k in range(4))
    ports = Ports(host, instances_host(host), *each)
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory(prefix="meadowpulley-rig-") as name:
        folder = Path(name)

        def start(what: str) -> subprocess.Popen[bytes]:
            with open(folder / f"{what}.log", "wb") as log:
                process = subprocess.Popen(
                    [sys.executable, "-m", f"meadowpulley.rig.{what}"],
                    cwd=ROOT,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=log,
                )
            processes.append(process)
            return process

        def order(process: subprocess.Popen[bytes], what: str, origin: float) -> None:
            every = LIVE_MS if watch is not None else 0.0
            job = Job(plan, ports, origin, str(folder / f"{what}.out"), every)
            path = folder / f"{what}.json"
            path.write_bytes(msgspec.json.encode(job))
            assert process.stdin is not None
            process.stdin.write(f"{path}\n".encode())
            process.stdin.flush()

        gateways: list[_Gateway] = []
        try:
            # Both load their libraries, which takes what it takes; then they get their orders.
            standins, driver = start("standins"), start("driver")
            for process, what in ((standins, "standins"), (driver, "driver")):
                _told(process, folder / f"{what}.log")
            origin = time.monotonic() + LEAD_S[0] + LEAD_S[1] * count
            order(standins, "standins", origin)
            told = _told(standins, folder / "standins.log")
            for n in range(count):
                gateways.append(_Gateway(folder, n, _config(plan, ports, n, told["known"], told["news"])))
            until = time.monotonic() + READY_S
            for gateway in gateways:
                gateway.wait_ready(until)
            if time.monotonic() > origin - 0.5:
                raise RigError("the gateways took too long to start: the machine is too busy")
            order(driver, "driver", origin)
            time.sleep(max(origin - time.monotonic(), 0.0))
            began = [g.cpu_s() for g in gateways]
            title = f"{plan.fleet.name} on loopback, seed {plan.seed}"
            live = _Live(folder, title, watch) if watch is not None else None
            _wait(driver, plan.load.seconds + GRACE_S, live)
            lasted = time.monotonic() - origin
            cpu = [(g.cpu_s() - b) / lasted for g, b in zip(gateways, began, strict=True)]
            memory = [g.memory_mb() for g in gateways]
            for gateway in gateways:
                _stop(gateway.process)
            counters = [g.counters() for g in gateways]
            _stop(standins)
            return _gather(plan, folder, cpu, memory, counters, lasted)
        finally:
            for gateway in gateways:
                _stop(gateway.process, signal.SIGKILL)
                gateway.log.close()
            for process in processes:
                _stop(process, signal.SIGKILL)


def _gather(
    plan: RigPlan,
    folder: Path,
    cpu: list[float],
    memory: list[float],
    counters: list[dict[str, Any]],
    lasted: float,
) -> Measured:
    try:
        servers = msgspec.json.decode((folder / "standins.out").read_bytes(), type=ServersTold)
        clients = msgspec.json.decode((folder / "driver.out").read_bytes(), type=ClientsTold)
    except (OSError, msgspec.MsgspecError):
        logs = b"".join((folder / f"{n}.log").read_bytes()[-300:] for n in ("standins", "driver"))
        raise RigError(f"a process of the rig died: {logs.decode(errors='replace')!r}") from None
    limits = [f"{text}" for text in (*servers.errors, *clients.errors)]
    for what, told in (("the stand-ins", servers), ("the driver", clients)):
        if told.cpu_s / lasted > FULL:
            limits.append(f"{what} used {told.cpu_s / lasted:.0%} of a core")
        if told.late_ms > LATE_MS:
            limits.append(f"{what} ran {told.late_ms:.0f} ms late")
    limits += [f"gateway {n} used {share:.0%} of a core" for n, share in enumerate(cpu) if share > FULL]
    tapes = folder / "standins.out.trace", folder / "driver.out.trace"
    broken, breaches = check(plan.fleet, *tapes, lasted * 1000)
    figures = {**clients.figures, "busy": servers.busy, "gateway_busy": max(cpu)}
    return Measured(
        figures,
        clients.seconds,
        servers.events,
        servers.stages,
        cpu,
        counters,
        memory,
        limits,
        servers.fell,
        clients.wrong,
        broken,
        [str(b) for b in breaches[:50]],
    )
