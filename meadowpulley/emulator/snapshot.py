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
    """One server. `slot_use` and `slow_start_fraction` are from 0 to 1; `state` is `down` once it no longer
    runs.
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
    now, rollout = fleet.clock.now, fleet.platform.state
    servers = tuple(
        ServerSnapshot(
            number=h.entry.server,
            site=fleet.fleet.sites[h.entry.zone].name,
            kind=h.machine.kind.name,
            build=h.entry.build,
            state=STATE_NAMES[h.entry.state] if h.up else "down",
            slot_use=len(h.machine.running) / h.machine.kind.slots,
            queued=len(h.machine.queued),
            slow_start_fraction=h.machine.slow_start_fraction(now),
            served=h.served,
        )
        for h in fleet.servers.values()
    )
    phase = PHASE_NAMES[rollout.phase].replace("_", " ")
    events = tuple((at, text) for at, text in fleet.result.events if "votes none" not in text)
    return FleetSnapshot(now, rollout.build, rollout.stage, phase, rollout.cap, servers, events)


def class_snapshots(result: EmulationResult) -> tuple[ClassSnapshot, ...]:
    """Return the figures of each class so far."""
    return tuple(
        ClassSnapshot(
            c.name,
            c.served_weight_share,
            c.calls,
            c.within_objective,
            c.late,
            c.rejected,
            c.failed,
            c.latency_ms(99) if c.served else 0.0,
        )
        for c in result.classes
    )


def stage_text(snapshot: FleetSnapshot) -> str:
    """Describe the state of the rollout in a few words."""
    return f"build {snapshot.build} {snapshot.phase}, stage {snapshot.stage + 1}, cap {snapshot.cap:.0%}"


def new_events(events: Sequence[tuple[float, str]], shown: int) -> list[str]:
    """Return the events after the first `shown`, as lines."""
    return [f"{at / 1000:6.1f} s  {text}" for at, text in events[shown:]]
