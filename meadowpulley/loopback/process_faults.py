"""Faults of gateway processes on loopback: killed, shut down and restarted, held up, told to reload.

Each fault runs in a thread of its own, since it waits for the process; all have ended when `join` returns.
"""

from __future__ import annotations

import signal
import subprocess
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Generic, Literal, Protocol, TypeVar

from msgspec import Struct

from meadowpulley.loopback.crowd import play_crowd
from meadowpulley.rules import GatewayCrashed, GatewayStarted, Record

ProcessFaultKind = Literal["kill", "terminate", "stall", "reload", "crowd"]
SERIES_SPACING_S = 0.05  # time between the further signals of a series
MAX_STALL_MS = 150.0  # longer ones are no fault that a gateway has to withstand without a trace
SHUTDOWN_MARGIN_MS = 700.0  # from the longest deadline to SIGKILL, at the earliest
MIN_SHUTDOWN_MS = 3_000.0  # that deadline counts as this at least
KILL_SLACK_MS = 100.0  # how exactly the time of a kill is known
CROSSING_MS = 50.0  # a request that crossed the close of its connection is found to be so soon


class ProcessFault(Struct, frozen=True):
    """A fault of one gateway at `at_ms`.

    `duration_ms` is until its restart, how long it is held up, or how long a crowd of bad clients stays. In a
    series SIGTERM is followed by SIGHUP and SIGTERM again, while the gateway drains.
    """

    kind: ProcessFaultKind
    at_ms: float
    gateway: int
    duration_ms: float = 0.0
    in_series: bool = False


class BrokenConnection(Protocol):
    """A request whose connection ended without a response; times are milliseconds on the run's clock."""

    @property
    def at(self) -> float:
        """When the connection ended."""

    @property
    def gateway(self) -> int:
        """The gateway at its other end."""

    @property
    def request(self) -> int:
        """The request."""

    @property
    def written_at(self) -> float:
        """When the request was written."""

    @property
    def reused(self) -> bool:
        """Whether the connection had carried a response."""


@dataclass(frozen=True, slots=True)
class JudgedRequests:
    """Requests without a response that no rule was broken for. All others are lost."""

    killed: frozenset[int]  # their gateway was killed
    crossed: frozenset[int]  # written while a connection between requests was closed: nobody has read them


def judge_broken_requests(
    broken: Sequence[BrokenConnection], injector: ProcessFaultInjector[Any]
) -> JudgedRequests:
    """Tell for each request whose connection broke whether that was the gateway's right."""
    killed = set()
    crossed = set()
    for request in broken:
        absent = any(
            number == request.gateway
            and killed_at - KILL_SLACK_MS <= request.at
            and request.written_at <= killed_at + KILL_SLACK_MS
            for number, killed_at in injector.kills
        )
        if absent:
            killed.add(request.request)
        elif request.reused and request.at - request.written_at < CROSSING_MS:
            crossed.add(request.request)
    return JudgedRequests(frozenset(killed), frozenset(crossed))


class GatewayHandle(Protocol):
    """A running gateway process."""

    process: subprocess.Popen[bytes]

    def wait_ready(self, deadline: float) -> None:
        """Wait until the gateway is ready, at most until a time of the monotonic clock."""


Handle = TypeVar("Handle", bound=GatewayHandle)


class ProcessFaultInjector(Generic[Handle]):
    """Plays process faults; `records` holds what the rules checker has to know of them.

    `gateways` is changed in place: a restarted gateway takes the place of the one before it.
    """

    def __init__(
        self,
        gateways: list[Handle],
        restart: Callable[[int], Handle],
        origin: float,
        longest_deadline_ms: float,
        ready_timeout_s: float,
        addresses: Sequence[tuple[str, int]] = (),
    ) -> None:
        self._gateways = gateways
        self._restart = restart
        self._origin = origin
        self._shutdown_ms = max(longest_deadline_ms, MIN_SHUTDOWN_MS) + SHUTDOWN_MARGIN_MS
        self._ready_timeout_s = ready_timeout_s
        self._addresses = addresses  # where clients reach each gateway
        self._threads: list[threading.Thread] = []
        self._cancelled = threading.Event()
        self.records: list[Record] = []
        self.kills: list[tuple[int, float]] = []  # gateway, time
        self.restart_ms: list[float] = []  # from the start of a process until it was ready
        self.errors: list[str] = []

    def start(self, faults: tuple[ProcessFault, ...]) -> None:
        """Play faults at their times."""
        for fault in faults:
            thread = threading.Thread(target=self._play, args=(fault,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def note_ended(self) -> None:
        """Note as errors the gateways that have ended by themselves; call it after `join`."""
        for number, gateway in enumerate(self._gateways):
            if gateway.process.poll() is not None:
                self.errors.append(f"gateway {number}: ended by itself, status {gateway.process.returncode}")

    def join(self) -> None:
        """Leave out what was not begun, and wait until all else has ended."""
        self._cancelled.set()
        for thread in self._threads:
            thread.join()

    @property
    def starts(self) -> list[GatewayStarted]:
        """The starts of gateways that took the place of others."""
        return [record for record in self.records if isinstance(record, GatewayStarted)]

    @property
    def _now_ms(self) -> float:
        return (time.monotonic() - self._origin) * 1000.0

    def _play(self, fault: ProcessFault) -> None:
        if self._cancelled.wait(max(fault.at_ms - self._now_ms, 0.0) / 1000.0):
            return
        process = self._gateways[fault.gateway].process
        try:
            if fault.kind == "stall":
                process.send_signal(signal.SIGSTOP)
                time.sleep(min(fault.duration_ms, MAX_STALL_MS) / 1000.0)
                process.send_signal(signal.SIGCONT)
            elif fault.kind == "reload":
                process.send_signal(signal.SIGHUP)
            elif fault.kind == "crowd":
                play_crowd(self._addresses[fault.gateway], fault.duration_ms / 1000.0)
            else:
                self._end(fault, process)
                self._start_again(fault)
        except Exception as error:
            self.errors.append(f"gateway {fault.gateway}: {fault.kind}: {type(error).__name__}: {error}")

    def _end(self, fault: ProcessFault, process: subprocess.Popen[bytes]) -> None:
        killed_at = self._now_ms
        if fault.kind == "terminate":
            process.send_signal(signal.SIGTERM)
            if fault.in_series:
                self._send_series(process)
            try:
                kill_at = (killed_at + self._shutdown_ms - self._now_ms) / 1000.0
                process.wait(max(kill_at, 0.0))
            except subprocess.TimeoutExpired:
                self.errors.append(
                    f"gateway {fault.gateway}: still ran {self._shutdown_ms:.0f} ms after SIGTERM"
                )
                process.kill()
                process.wait()
        else:
            process.kill()
            process.wait()
            self.records.append(GatewayCrashed(killed_at, fault.gateway))
            self.kills.append((fault.gateway, killed_at))

    @staticmethod
    def _send_series(process: subprocess.Popen[bytes]) -> None:
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            time.sleep(SERIES_SPACING_S)
            if process.poll() is None:
                process.send_signal(number)

    def _start_again(self, fault: ProcessFault) -> None:
        time.sleep(fault.duration_ms / 1000.0)
        started_at = self._now_ms
        gateway = self._restart(fault.gateway)
        self._gateways[fault.gateway] = gateway
        gateway.wait_ready(time.monotonic() + self._ready_timeout_s)
        ready_at = self._now_ms
        self.restart_ms.append(ready_at - started_at)
        self.records.append(GatewayStarted(started_at, fault.gateway))
