"""What a run looks like at one moment, as plain values: the same from an emulation and from loopback."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from msgspec import Struct

if TYPE_CHECKING:
    from meadowpulley.emulator.park import Park
    from meadowpulley.emulator.results import Result


class ServerNow(Struct, frozen=True):
    """One server. `slots` and `warm` are shares from 0 to 1; `state` is `down` once it no longer runs."""

    number: int
    site: str
    kind: str
    build: int
    state: str
    slots: float
    waiting: int
    warm: float
    served: int


class ClassNow(Struct, frozen=True):
    """One class since the start; `worth` is the share kept, from 0 to 1."""

    name: str
    worth: float
    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int
    p99_ms: float


class ServersNow(Struct, frozen=True):
    """The servers' side, and where the newest build stands. `events`: when (ms) and what, since the start."""

    at_ms: float
    build: int
    stage: int
    phase: str
    cap: float
    servers: tuple[ServerNow, ...]
    events: tuple[tuple[float, str], ...]


class Snapshot(Struct, frozen=True):
    """Both sides. `broken`: rules broken so far, by how often; None where only the end can tell."""

    title: str
    servers: ServersNow
    classes: tuple[ClassNow, ...]
    broken: dict[str, int] | None = None


def servers_now(park: Park) -> ServersNow:
    """The park's servers as they are."""
    now, stand = park.clock.now, park.platform.stand
    servers = tuple(
        ServerNow(
            number=h.entry.server,
            site=park.fleet.sites[h.entry.zone].name,
            kind=h.machine.kind.name,
            build=h.entry.build,
            state=h.entry.state.name.lower() if h.up else "down",
            slots=len(h.machine.running) / h.machine.kind.slots,
            waiting=len(h.machine.waiting),
            warm=h.machine.warmth(now),
            served=h.served,
        )
        for h in park.hosts.values()
    )
    phase = stand.phase.name.lower().replace("_", " ")
    events = tuple((at, what) for at, what in park.result.events if "votes none" not in what)
    return ServersNow(now, stand.build, stand.stage, phase, stand.cap, servers, events)


def classes_now(result: Result) -> tuple[ClassNow, ...]:
    """What clients had so far, by class."""
    return tuple(
        ClassNow(
            c.name,
            c.worth_share,
            c.asked,
            c.in_aim,
            c.late,
            c.refused,
            c.failed,
            c.latency_ms(99) if c.served else 0.0,
        )
        for c in result.classes
    )


def stage_text(now: ServersNow) -> str:
    """Where the newest build stands, in a few words."""
    return f"build {now.build} {now.phase}, stage {now.stage + 1}, cap {now.cap:.0%}"


def new_events(events: Sequence[tuple[float, str]], shown: int) -> list[str]:
    """Those after the first `shown`, as lines."""
    return [f"{at / 1000:6.1f} s  {what}" for at, what in events[shown:]]
