"""One simulated server: its endpoint entry, its machine and the faults on it."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.machine import Machine
from meadowpulley.emulator.results import ServerResult
from meadowpulley.fleet import Fleet
from meadowpulley.interface import ServerEntry, ServerState


@dataclass(slots=True, eq=False)
class SimulatedServer:
    """A server: its true endpoint entry, its machine and the faults on it."""

    entry: ServerEntry
    build: Build
    machine: Machine
    started_at: float
    position: int  # index in the described fleet
    up: bool = True
    unreachable: bool = False  # vanished: packets get no answer at all
    absent: bool = False  # crashed or vanished, and may be restarted
    error_rate: float = 0.0
    response_loss_rate: float = 0.0
    slowdowns: dict[str, float] = field(default_factory=dict)
    wakeup_at: float = float("inf")
    served: int = 0
    rejected: int = 0

    @property
    def is_serving(self) -> bool:
        """Whether it runs and accepts requests."""
        return self.up and self.entry.state is ServerState.READY

    @property
    def combined_slowdown(self) -> float:
        """Product of the slowdowns of all reasons."""
        return math.prod(self.slowdowns.values())

    def running_until(self, now: float) -> float:
        """Return the time up to which its figures count."""
        return now if self.up else self.machine.advanced_to

    def result(self, fleet: Fleet, now: float) -> ServerResult:
        """Return its figures at a time."""
        kind = fleet.kinds[self.entry.kind]
        elapsed_ms = max(self.running_until(now) - self.started_at, 0.0)
        utilisation = self.machine.busy_core_ms / (kind.cores * elapsed_ms) if elapsed_ms else 0.0
        return ServerResult(
            server=self.entry.server,
            site=fleet.sites[self.entry.zone].name,
            kind=kind.name,
            build=self.entry.build,
            up_ms=round(elapsed_ms, 3),
            utilisation=round(utilisation, 6),
            served=self.served,
            rejected=self.rejected,
            max_queued=self.machine.max_queued,
            overloaded=self.machine.overloaded,
        )
