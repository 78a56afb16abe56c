"""Snapshot of a run as plain values, the same from an emulation and from the loopback test bed."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from msgspec import Struct

from meadowpulley.rules import PHASE_NAMES, STATE_NAMES

if TYPE_CHECKING:
    from meadowpulley.emulator.results import EmulationResult
    from meadowpulley.emulator.server_fleet import ServerFleet


class ServerSnapshot(Struct, frozen=True):
    """One server.

    `slot_use` and `slow_start_fraction` are from 0 to 1; `state` is `down` once it no longer runs.
    """

    number: int
    site: str
    kind: str
    build: int
    state: str
    slot_use: float
    queued: int
    slow_start_fraction: float
    served: int


class ClassSnapshot(Struct, frozen=True):
    """One class since the start of the run."""

    name: str
    served_weight_share: float
    calls: int
    within_objective: int
    late: int
    rejected: int
    failed: int
    p99_ms: float


class FleetSnapshot(Struct, frozen=True):
    """The servers and the rollout. `events` are pairs of time (ms) and text since the start."""

    at_ms: float
    build: int
    stage: int
    phase: str
    cap: float
    servers: tuple[ServerSnapshot, ...]
    events: tuple[tuple[float, str], ...]


class RunSnapshot(Struct, frozen=True):
    """Servers and clients. `violation_counts` is None where violations are known only at the end."""

    title: str
    servers: FleetSnapshot
    classes: tuple[ClassSnapshot, ...]
    violation_counts: dict[str, int] | None = None


def fleet_snapshot(fleet: ServerFleet) -> FleetSnapshot:
    """Return the current state of the servers and the rollout."""
    now = fleet.clock.now
    rollout = fleet.platform.state
    servers = tuple(
        ServerSnapshot(
            number=server.entry.server,
            site=fleet.fleet.sites[server.entry.zone].name,
            kind=server.machine.kind.name,
            build=server.entry.build,
            state=STATE_NAMES[server.entry.state] if server.up else "down",
            slot_use=len(server.machine.running) / server.machine.kind.slots,
            queued=len(server.machine.queued),
            slow_start_fraction=server.machine.slow_start_fraction(now),
            served=server.served,
        )
        for server in fleet.servers.values()
    )
    phase = PHASE_NAMES[rollout.phase].replace("_", " ")
    events = tuple((at, text) for at, text in fleet.result.events if "votes none" not in text)
    return FleetSnapshot(now, rollout.build, rollout.stage, phase, rollout.cap, servers, events)


def class_snapshots(result: EmulationResult) -> tuple[ClassSnapshot, ...]:
    """Return the figures of each class so far."""
    return tuple(
        ClassSnapshot(
            figures.name,
            figures.served_weight_share,
            figures.calls,
            figures.within_objective,
            figures.late,
            figures.rejected,
            figures.failed,
            figures.latency_ms(99) if figures.served else 0.0,
        )
        for figures in result.classes
    )


def stage_text(snapshot: FleetSnapshot) -> str:
    """Describe the state of the rollout in a few words."""
    return f"build {snapshot.build} {snapshot.phase}, stage {snapshot.stage + 1}, cap {snapshot.cap:.0%}"


def new_events(events: Sequence[tuple[float, str]], shown: int) -> list[str]:
    """Return the events after the first `shown`, as lines."""
    return [f"{at / 1000:6.1f} s  {text}" for at, text in events[shown:]]
