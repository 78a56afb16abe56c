"""One emulated run as a value: all that decides its result, to the last figure, and what is measured of
it."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import xxhash
from msgspec import Struct

from meadowpulley.balance import Balancer
from meadowpulley.emulator import Result, Scenario, World
from meadowpulley.fleet import Fleet
from meadowpulley.interface import Outcome
from meadowpulley.load import PROFILES, Arrival, costlier, cut, filled, read_load, scaled, synthesize
from meadowpulley.records import Held


class LoadSpec(Struct, frozen=True):
    """Which load: a file, or a profile at a mean rate (requests a second) for a time; `multiple` scales
    either.

    `digest` stands for a file's contents; of a file, `seconds` from `start_ms` on are played. `costly`: share
    of the arrivals in a span (milliseconds from the start) that have `cost` times the work.
    """

    file: str = ""
    digest: str = ""
    profile: str = "steady"
    per_s: float = 0.0
    seconds: float = 60.0
    multiple: float = 1.0
    start_ms: float = 0.0
    costly: float = 0.0
    cost: float = 1.0
    costly_from_ms: float = 0.0
    costly_for_ms: float = 0.0

    def arrivals(self, fleet: Fleet, seed: int) -> Iterator[Arrival]:
        """The same for the same fleet and seed."""
        found = self._plain(fleet, seed)
        if not self.costly:
            return found
        return costlier(found, self.costly, self.cost, self.costly_from_ms, self.costly_for_ms, seed)

    def _plain(self, fleet: Fleet, seed: int) -> Iterator[Arrival]:
        if not self.file:
            return synthesize(fleet, PROFILES[self.profile], self.per_s * self.multiple, self.seconds, seed)
        reader = read_load(Path(self.file), frozenset(c.name for c in fleet.classes))
        arrivals = filled(cut(reader, self.start_ms, self.seconds * 1000), fleet, seed)
        return arrivals if self.multiple == 1.0 else scaled(arrivals, self.multiple, seed)


class Cell(Struct, frozen=True):
    """A configuration's name and all that it stands for, with one seed. `refuses` False: a baseline whose
    gateways never refuse for want of room."""

    name: str
    fleet: Fleet
    load: LoadSpec
    seed: int
    scenario: Scenario = Scenario()
    refuses: bool = True
    from_ms: float = 0.0  # asks before that are not counted
    load_seed: int | None = None  # the same load under other seeds

    @property
    def key(self) -> str:
        """The same for the same run, whatever its name."""
        plain = msgspec.json.encode(msgspec.structs.replace(self, name=""), order="deterministic")
        return xxhash.xxh3_128_hexdigest(plain)


class Row(Struct, frozen=True):
    """What came of a cell."""

    key: str
    name: str
    seed: int
    figures: dict[str, float]
    broken: dict[str, int]
    seconds: tuple[tuple[float, ...], ...] = ()  # asked, in aim, late, refused, failed, worth share
    sent: tuple[tuple[int, ...], ...] = ()  # attempts by second and by the site of the server


class Unrefusing(Balancer):
    """The baseline without the limit of requests in flight: what refusals save is measured against it."""

    def _learn_room(self, held: Held, o: Outcome) -> None:
        return


def metrics(result: Result) -> dict[str, float]:
    """Figures of a run by name: shares from 0 to 1, latencies in milliseconds, rates a second."""
    lasted = max(len(result.seconds) - result.from_ms / 1000, 1.0)
    asks = max(result.asks, 1)
    refused = sum(c.refused for c in result.classes)
    found = {
        "asked": float(result.asks),
        "asked_per_s": result.asks / lasted,
        "worth": result.worth_share,
        "in_aim": sum(c.in_aim for c in result.classes) / asks,
        "served_per_s": sum(c.served for c in result.classes) / lasted,
        "refused": refused / asks,
        "failed": sum(c.failed for c in result.classes) / asks,
        "busy": result.busy,
        "gateway_busy": max((g.busy for g in result.gateways), default=0.0),
        "most_held": float(max((g.most_held for g in result.gateways), default=0)),
        "most_open": float(max((g.most_open for g in result.gateways), default=0)),
        "most_waiting": float(max((s.most_waiting for s in result.servers), default=0)),
    }
    for c in result.classes:
        found |= {
            f"{c.name}.worth": c.worth_share,
            f"{c.name}.in_aim": c.in_aim / c.asked if c.asked else 1.0,
            f"{c.name}.p50_ms": c.latency_ms(50),
            f"{c.name}.p99_ms": c.latency_ms(99),
        }
    found |= {
        f"busy.{name}": busy for what in ("site", "kind") for name, busy in result.busy_by(what).items()
    }
    return found


def run_cell(cell: Cell, timeline: bool = False) -> Row:
    """Plays one cell to its end."""
    make: Any = Balancer if cell.refuses else Unrefusing
    load = cell.load.arrivals(cell.fleet, cell.seed if cell.load_seed is None else cell.load_seed)
    world = World(cell.fleet, load, cell.seed, cell.scenario, make=make, from_ms=cell.from_ms)
    world.measure(cell.from_ms, max(cell.load.seconds * 1000, cell.from_ms))
    result = world.run()
    seconds = tuple(
        (
            float(s.asked),
            float(s.in_aim),
            float(s.late),
            float(s.refused),
            float(s.failed),
            s.worth_got / s.worth_asked if s.worth_asked else 1.0,
        )
        for s in result.seconds
    )
    row = Row(cell.key, cell.name, cell.seed, metrics(result), dict(result.broken))
    if not timeline:
        return row
    return msgspec.structs.replace(row, seconds=seconds, sent=tuple(tuple(s.sent) for s in result.seconds))
