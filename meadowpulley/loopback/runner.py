"""Runs the loopback test bed: starts all processes, waits for the load to end and collects the result."""

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

from meadowpulley.emulator import FleetSnapshot, RunSnapshot
from meadowpulley.fleet import gateway_settings_object
from meadowpulley.loopback.messages import (
    ClientsReport,
    ClientsSnapshot,
    LoopbackPlan,
    Ports,
    ProcessOrders,
    ServicesReport,
)
from meadowpulley.loopback.process_faults import (
    ProcessFaultInjector,
    judge_broken_requests,
)
from meadowpulley.loopback.rules_check import check_run

ROOT = Path(__file__).resolve().parent.parent.parent
START_DELAY_S = 2.5  # time from the orders to the first request, besides that of each gateway
READY_TIMEOUT_S = 30.0
UNSUPPORTED_FAULTS = (
    "site_cut",
    "vanish",
    "peers_lost",
    "gateway_crash",
)  # loopback has no partitions
GRACE_S = 20.0  # time after the load until the driver must have ended
MAX_CPU_SHARE = 0.75  # of a core: a process of the test bed that used more was itself the limit
PROGRESS_INTERVAL_MS = 250.0  # interval of progress reports
MAX_LATENESS_MS = 20.0  # limit of the 99th percentile of late callbacks in the test bed


ProgressCallback = Callable[[RunSnapshot], bool]


class LoopbackError(RuntimeError):
    """The test bed could not run; the text is one line with the reason."""


@dataclass(frozen=True, slots=True)
class LoopbackResult:
    """Result of a run. With `limiting_factors` the test bed was the limit, and no verdict holds."""

    figures: dict[str, float]
    seconds: list[list[float]]
    events: list[tuple[float, str]]
    stages: list[tuple[float, int, int, str]]
    gateway_cpu: list[float]  # share of a core during the load
    counters: list[dict[str, Any]]
    memory_mb: list[float]
    limiting_factors: list[str]
    overloaded: int
    wrong_responses: int
    violation_counts: dict[str, int]  # violations by rule
    violations: list[str]
    crossed_requests: int = 0  # closed unread, between requests: the client may send them again
    restart_ms: tuple[float, ...] = ()


_run_numbers = itertools.count()


def unique_address() -> str:
    """Return a loopback address that no other run uses."""
    return f"127.{64 + os.getpid() % 64}.{next(_run_numbers) % 250}.{1 + os.getpid() // 64 % 250}"


def instances_address(host: str) -> str:
    """Return the address for the servers of a run.

    It differs from the gateways' address, so that a port which the kernel gives a server is never one that
    a gateway has yet to bind.
    """
    _, second, suffix = host.split(".", 2)
    return f"127.{int(second) + 64}.{suffix}"


def free_ports(host: str, count: int) -> list[int]:
    """Return ports of an address that are free at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for probe in sockets:
            probe.bind((host, 0))
        return [int(s.getsockname()[1]) for s in sockets]
    finally:
        for probe in sockets:
            probe.close()


class _GatewayProcess:
    """One gateway process of a run."""

    def __init__(self, folder: Path, number: int, config: dict[str, Any]) -> None:
        path = folder / f"gateway-{number}.json"
        path.write_text(json.dumps(config))
        self.log = open(folder / f"gateway-{number}.log", "wb+")  # noqa: SIM115 (closed at the end of the run)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            stderr=self.log,
            stdout=subprocess.DEVNULL,
            env={**environ, "PROXY_CONFIG": str(path)},
        )

    def lines(self) -> list[dict[str, Any]]:
        """Return the log events so far."""
        self.log.seek(0)
        return [json.loads(line) for line in self.log.read().splitlines() if line.startswith(b"{")]

    def wait_ready(self, deadline: float) -> None:
        """Wait for the event `ready`. Raises `LoopbackError` on time-out or exit."""
        while not any(line["event"] == "ready" for line in self.lines()):
            if self.process.poll() is not None or time.monotonic() > deadline:
                self.log.seek(0)
                raise LoopbackError(
                    f"a gateway did not start: {self.log.read()[-300:].decode(errors='replace')!r}"
                )
            time.sleep(0.05)

    def cpu_s(self) -> float:
        """Return the CPU seconds used so far."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the peak memory in MB."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        peak = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM")]
        return int(peak[0]) / 1024 if peak else 0.0

    def counters(self) -> dict[str, Any]:
        """Return the latest counters that the gateway logged."""
        return next((line for line in reversed(self.lines()) if line["event"] == "counters"), {})


def _stop(process: subprocess.Popen[bytes], number: int = signal.SIGTERM) -> None:
    if process.poll() is None:
        process.send_signal(number)
        try:
            process.wait(10)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def _gateway_config(
    plan: LoopbackPlan, ports: Ports, index: int, cached_endpoints: Any, initial_rollout: Any
) -> dict[str, Any]:
    sockets = plan.fleet.gateway_groups()[index].descriptors
    settings = gateway_settings_object(plan.fleet, index)
    if plan.declared_gateways:
        settings["balancers"] = plan.declared_gateways
    return {
        "name": f"g{index}",
        "listen": f"{ports.host}:{ports.clients[index]}",
        "discovery": f"{ports.host}:{ports.discovery[index]}",
        "seed": f"{(plan.seed * 1000003 + index) & 0xFFFFFFFFFFFFFFFF:016x}",
        "limits": {"cores": 1.0, "memory_mb": plan.memory_mb, "sockets": sockets},
        "peer_listen": f"{ports.host}:{ports.peers[index]}",
        "peers": [f"{ports.host}:{port}" for port in ports.peers],
        "platform": {"address": f"{ports.host}:{ports.platform[index]}", "news": initial_rollout},
        "known": cached_endpoints,
        "settings": settings,
    }


def _read_line(process: subprocess.Popen[bytes], log: Path) -> dict[str, Any]:
    assert process.stdout is not None
    with selectors.DefaultSelector() as selector:  # select() is limited to descriptor 1,023
        selector.register(process.stdout, selectors.EVENT_READ)
        ready = selector.select(READY_TIMEOUT_S)
    line = process.stdout.readline() if ready else b""
    try:
        message: dict[str, Any] = json.loads(line)
    except ValueError:
        log_tail = log.read_bytes()[-300:].decode(errors="replace")
        raise LoopbackError(f"a process of the test bed did not start: {log_tail!r}") from None
    return message


class _ProgressReader:
    """Reads the latest complete progress line of each process."""

    def __init__(self, folder: Path, title: str, callback: ProgressCallback) -> None:
        self.folder = folder
        self.title = title
        self.callback = callback

    def _last_line(self, process_name: str) -> bytes:
        try:
            lines = (self.folder / f"{process_name}.out.live").read_bytes().split(b"\n")
        except OSError:
            return b""
        return lines[-2] if len(lines) > 1 else b""

    def report(self) -> bool:
        """Report progress; False where the caller requests the end of the run."""
        servers = self._last_line("services")
        clients = self._last_line("driver")
        if not servers or not clients:
            return True
        snapshot = msgspec.json.decode(servers, type=FleetSnapshot)
        classes = msgspec.json.decode(clients, type=ClientsSnapshot).classes
        return self.callback(RunSnapshot(self.title, snapshot, classes))


def _wait_for_driver(
    driver: subprocess.Popen[bytes], limit_s: float, progress: _ProgressReader | None
) -> None:
    deadline = time.monotonic() + limit_s
    while True:
        try:
            driver.wait(limit_s if progress is None else PROGRESS_INTERVAL_MS / 1000)
            return
        except subprocess.TimeoutExpired:
            if time.monotonic() >= deadline:
                raise LoopbackError("the driver did not end in time") from None
            if progress is not None and not progress.report():
                raise LoopbackError("it was ended before its end; there are no results") from None


def run_loopback(plan: LoopbackPlan, progress_callback: ProgressCallback | None = None) -> LoopbackResult:
    """Run a plan on loopback; `progress_callback` may end it by returning False. Raises `LoopbackError`."""
    for fault in plan.scenario.faults:
        if fault.kind in UNSUPPORTED_FAULTS:
            raise LoopbackError(f"fault '{fault.kind}' can't be played on loopback; emulate it")
    count = len(plan.fleet.gateway_sites())
    host = unique_address()
    numbers = free_ports(host, 4 * count)
    port_groups = (tuple(numbers[k * count : (k + 1) * count]) for k in range(4))
    ports = Ports(host, instances_address(host), *port_groups)
    processes: list[subprocess.Popen[bytes]] = []
    with tempfile.TemporaryDirectory(prefix="meadowpulley-rig-") as name:
        folder = Path(name)

        def start(process_name: str) -> subprocess.Popen[bytes]:
            """Start a process of the test bed."""
            with open(folder / f"{process_name}.log", "wb") as log:
                process = subprocess.Popen(
                    [sys.executable, "-m", f"meadowpulley.loopback.{process_name}"],
                    cwd=ROOT,
                    stdin=subprocess.PIPE,
                    stdout=subprocess.PIPE,
                    stderr=log,
                )
            processes.append(process)
            return process

        def send_orders(process: subprocess.Popen[bytes], process_name: str, origin: float) -> None:
            """Write a process's orders and send it their path."""
            interval_ms = PROGRESS_INTERVAL_MS if progress_callback is not None else 0.0
            orders = ProcessOrders(plan, ports, origin, str(folder / f"{process_name}.out"), interval_ms)
            path = folder / f"{process_name}.json"
            path.write_bytes(msgspec.json.encode(orders))
            assert process.stdin is not None
            process.stdin.write(f"{path}\n".encode())
            process.stdin.flush()

        gateways: list[_GatewayProcess] = []
        try:
            # Both processes load their libraries before they get their orders.
            services = start("services")
            driver = start("driver")
            for process, process_name in ((services, "services"), (driver, "driver")):
                _read_line(process, folder / f"{process_name}.log")
            origin = time.monotonic() + START_DELAY_S + plan.start_delay_s * count
            send_orders(services, "services", origin)
            initial_state = _read_line(services, folder / "services.log")

            def start_gateway(index: int) -> _GatewayProcess:
                """Start a gateway with the list and the rollout of the run's start."""
                initial = initial_state["known"], initial_state["news"]
                return _GatewayProcess(folder, index, _gateway_config(plan, ports, index, *initial))

            gateways += [start_gateway(index) for index in range(count)]
            deadline = time.monotonic() + READY_TIMEOUT_S
            for gateway in gateways:
                gateway.wait_ready(deadline)
            if time.monotonic() > origin - 0.5:
                raise LoopbackError("the gateways took too long to start: the machine is too busy")
            send_orders(driver, "driver", origin)
            time.sleep(max(origin - time.monotonic(), 0.0))
            cpu_at_start = [g.cpu_s() for g in gateways]
            title = f"{plan.fleet.name} on loopback, seed {plan.seed}"
            progress = (
                _ProgressReader(folder, title, progress_callback) if progress_callback is not None else None
            )
            deadline_ms = max(c.deadline_ms for c in plan.fleet.classes)
            addresses = [(ports.host, port) for port in ports.clients]
            injector = ProcessFaultInjector(
                gateways, start_gateway, origin, deadline_ms, READY_TIMEOUT_S, addresses
            )
            injector.start(plan.process_faults)
            _wait_for_driver(driver, plan.load.seconds + GRACE_S, progress)
            injector.join()
            injector.note_ended()
            elapsed_s = time.monotonic() - origin
            cpu = [(g.cpu_s() - b) / elapsed_s for g, b in zip(gateways, cpu_at_start, strict=True)]
            memory = [g.memory_mb() for g in gateways]
            for gateway in gateways:
                _stop(gateway.process)
            counters = [g.counters() for g in gateways]
            _stop(services)
            return _collect_result(plan, folder, cpu, memory, counters, elapsed_s, injector)
        finally:
            for gateway in gateways:
                _stop(gateway.process, signal.SIGKILL)
                gateway.log.close()
            for process in processes:
                _stop(process, signal.SIGKILL)


def _collect_result(
    plan: LoopbackPlan,
    folder: Path,
    cpu: list[float],
    memory: list[float],
    counters: list[dict[str, Any]],
    elapsed_s: float,
    injector: ProcessFaultInjector[_GatewayProcess],
) -> LoopbackResult:
    try:
        servers = msgspec.json.decode((folder / "services.out").read_bytes(), type=ServicesReport)
        clients = msgspec.json.decode((folder / "driver.out").read_bytes(), type=ClientsReport)
    except (OSError, msgspec.MsgspecError):
        logs = b"".join((folder / f"{n}.log").read_bytes()[-300:] for n in ("services", "driver"))
        raise LoopbackError(f"a process of the test bed died: {logs.decode(errors='replace')!r}") from None
    limiting_factors = [f"{text}" for text in (*servers.errors, *clients.errors)]
    for process_name, report in (("the services", servers), ("the driver", clients)):
        if report.cpu_s / elapsed_s > MAX_CPU_SHARE:
            limiting_factors.append(f"{process_name} used {report.cpu_s / elapsed_s:.0%} of a core")
        if report.lateness_ms > MAX_LATENESS_MS:
            limiting_factors.append(f"{process_name} ran {report.lateness_ms:.0f} ms late")
    limiting_factors += [
        f"gateway {n} used {share:.0%} of a core" for n, share in enumerate(cpu) if share > MAX_CPU_SHARE
    ]
    judged = judge_broken_requests(clients.broken, injector)
    violation_counts, violations = check_run(
        plan, folder, servers, clients.broken, judged, injector, elapsed_s * 1000
    )
    limiting_factors += injector.errors
    figures = {**clients.figures, "busy": servers.utilisation, "gateway_busy": max(cpu)}
    return LoopbackResult(
        figures,
        clients.seconds,
        servers.events,
        servers.stages,
        cpu,
        counters,
        memory,
        limiting_factors,
        servers.overloaded,
        clients.wrong_responses,
        violation_counts,
        [str(b) for b in violations[:50]],
        len(judged.crossed),
        tuple(injector.restart_ms),
    )
