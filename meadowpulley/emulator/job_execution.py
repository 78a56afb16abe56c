"""Jobs on the simulated servers: offered, executed, finished and reset, in virtual time."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from functools import partial
from typing import Any, Protocol

import numpy as np

from meadowpulley.emulator.clock import Timeline
from meadowpulley.emulator.machine import Job, Machine, OfferResult
from meadowpulley.emulator.simulated_server import SimulatedServer
from meadowpulley.fleet import Fleet
from meadowpulley.interface import Result as AttemptResult


class JobListener(Protocol):
    """Is told what becomes of the jobs."""

    def reply(self, tag: Any, server: SimulatedServer, result: AttemptResult) -> None:
        """Return an attempt's result to its sender, or that its connection broke."""

    def key_answered(self, tag: Any, server: SimulatedServer, key: int) -> None:
        """Note that a server answered a request with a key."""

    def server_overloaded(self, server: SimulatedServer) -> None:
        """Take down a server that a job overloaded."""


class JobExecution:
    """Runs the jobs of all servers; `rng` draws which of them fail by an injected fault."""

    def __init__(
        self, fleet: Fleet, clock: Timeline, rng: np.random.Generator, listener: JobListener
    ) -> None:
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._listener = listener
        self._last_job = 0
        self._attempts_by_build: Counter[int] = Counter()  # since the last `take_attempt_share`

    def take_attempt_share(self, build: int) -> float:
        """Return the share of the attempts since the last call that went to a build; 0 without any."""
        total = sum(self._attempts_by_build.values())
        share = self._attempts_by_build[build] / total if total else 0.0
        self._attempts_by_build.clear()
        return share

    def offer(
        self,
        tag: Any,
        server: SimulatedServer,
        class_index: int,
        key: int,
        work_ms: float,
        deadline: float,
        new_connection: bool,
    ) -> Job | None:
        """Offer a request to a server that is up; return its job, or None where none was started."""
        if new_connection and not server.machine.connect():
            server.rejected += 1
            self._listener.reply(tag, server, AttemptResult.REJECTED)
            return None
        self._attempts_by_build[server.entry.build] += 1
        if server.error_rate and self._rng.random() < server.error_rate:
            self._listener.reply(tag, server, AttemptResult.ERROR)
            return None
        self._last_job += 1
        job = Job(
            self._last_job,
            self._work_of(server, work_ms, new_connection),
            key,
            deadline,
            class_index,
            tag=tag,
        )
        self.finish(server)
        offer = server.machine.offer(self._clock.now, job)
        if offer is OfferResult.REJECTED:
            server.rejected += 1
            self._listener.reply(tag, server, AttemptResult.REJECTED)
        elif offer is OfferResult.DOWN:
            self._listener.server_overloaded(server)
            self._listener.reply(tag, server, AttemptResult.RESET)
        self.schedule_wakeup(server)
        return job

    def cancel(self, server: SimulatedServer, job: Job) -> None:
        """Cancel a job whose attempt was cancelled, where the kind of server notices."""
        if server.up and (server.machine.kind.cancels_running or server.machine.kind.cancels_waiting):
            self.finish(server)
            server.machine.cancel(self._clock.now, job)
            self.schedule_wakeup(server)

    def stop(self, server: SimulatedServer) -> None:
        """Stop a server's process; its jobs are lost."""
        self.reset(server, server.machine.stop())

    def reset(self, server: SimulatedServer, jobs: Iterable[Job]) -> None:
        """Report jobs whose connections broke."""
        for job in jobs:
            self._listener.reply(job.tag, server, AttemptResult.RESET)

    def schedule_wakeup(self, server: SimulatedServer) -> None:
        """Schedule the next completion of a server, unless an earlier wake-up is set."""
        when = server.machine.next_event_at()
        if when < server.wakeup_at:
            server.wakeup_at = when
            self._clock.call_at(when, partial(self._wake_up, server, server.machine, when))

    def _wake_up(self, server: SimulatedServer, machine: Machine, when: float) -> None:
        if server.machine is not machine or server.wakeup_at != when:
            return
        server.wakeup_at = math.inf
        self.finish(server)
        self.schedule_wakeup(server)

    def finish(self, server: SimulatedServer) -> None:
        """Run a server up to now and report the jobs that completed."""
        for completed in server.machine.advance(self._clock.now):
            tag = completed.job.tag
            if not completed.executed:
                self._listener.reply(tag, server, AttemptResult.REJECTED)
                continue
            class_name = self._fleet.classes[completed.job.class_index].name
            failure_share = server.build.failure_share_of(class_name)
            if failure_share and self._build_fault_active(server) and self._rng.random() < failure_share:
                self._listener.reply(tag, server, AttemptResult.ERROR)
                continue
            server.served += 1
            if completed.job.key:
                self._listener.key_answered(tag, server, completed.job.key)
            if not (server.response_loss_rate and self._rng.random() < server.response_loss_rate):
                self._listener.reply(tag, server, AttemptResult.OK)

    def _work_of(self, server: SimulatedServer, work_ms: float, new_connection: bool) -> float:
        build = server.build
        kind = self._fleet.kinds[server.entry.kind]
        if build.work_factor != 1.0 and self._build_fault_active(server):
            work_ms *= build.work_factor
        return work_ms + (kind.connect_work_ms if new_connection else 0.0)

    def _build_fault_active(self, server: SimulatedServer) -> bool:
        utilisation = len(server.machine.running) / server.machine.kind.slots
        return server.build.fault_active(self._clock.now - server.machine.started_at, utilisation)
