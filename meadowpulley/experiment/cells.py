"""One emulated run as a value that determines its result, and the figures of the result."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import xxhash
from msgspec import Struct, field

from meadowpulley.emulator import Emulation, EmulationResult, Scenario
from meadowpulley.fleet import Fleet
from meadowpulley.interface import Outcome
from meadowpulley.load import PROFILES, Arrival, costlier, cut, filled_in, read_load, scaled, synthesize
from meadowpulley.policy import RolloutPolicy
from meadowpulley.state import InFlightRequest


class LoadSpec(Struct, frozen=True):
    """A load: a file, or a profile at a mean rate (requests per second); `multiple` scales either.

    `digest` stands for the contents of a file, of which `seconds` from `start_ms` on are played.
    `costly_share` of the arrivals in a span have `cost_factor` times the work.
    """

    file: str = ""
    digest: str = ""
    profile: str = "steady"
    per_s: float = 0.0
    seconds: float = 60.0
    multiple: float = 1.0
    start_ms: float = 0.0
    costly_share: float = field(default=0.0, name="costly")
    cost_factor: float = field(default=1.0, name="cost")
    costly_from_ms: float = 0.0
    costly_duration_ms: float = field(default=0.0, name="costly_for_ms")

    def arrivals(self, fleet: Fleet, seed: int) -> Iterator[Arrival]:
        """Return the arrivals; the same for the same fleet and seed."""
        found = self._base_arrivals(fleet, seed)
        if not self.costly_share:
            return found
        return costlier(
            found, self.costly_share, self.cost_factor, self.costly_from_ms, self.costly_duration_ms, seed
        )

    def _base_arrivals(self, fleet: Fleet, seed: int) -> Iterator[Arrival]:
        if not self.file:
            return synthesize(fleet, PROFILES[self.profile], self.per_s * self.multiple, self.seconds, seed)
        reader = read_load(Path(self.file), frozenset(c.name for c in fleet.classes))
        arrivals = filled_in(cut(reader, self.start_ms, self.seconds * 1000), fleet, seed)
        return arrivals if self.multiple == 1.0 else scaled(arrivals, self.multiple, seed)


class Cell(Struct, frozen=True):
    """A named configuration with one seed. Without `limits_concurrency` gateways never reject for lack of
    capacity.
    """

    name: str
    fleet: Fleet
    load: LoadSpec
    seed: int
    scenario: Scenario = Scenario()
    limits_concurrency: bool = field(default=True, name="refuses")
    from_ms: float = 0.0  # calls before this time are not counted
    load_seed: int | None = None  # seed of the load where it differs

    @property
    def key(self) -> str:
        """Digest of everything that determines the result; the name is not part of it."""
        plain = msgspec.json.encode(msgspec.structs.replace(self, name=""), order="deterministic")
        return xxhash.xxh3_128_hexdigest(plain)


class RunResult(Struct, frozen=True):
    """Result of a cell, as stored."""

    key: str
    name: str
    seed: int
    figures: dict[str, float]
    violation_counts: dict[str, int] = field(name="broken")
    seconds: tuple[
        tuple[float, ...], ...
    ] = ()  # calls, within objective, late, rejected, failed, served weight share
    attempts_by_site: tuple[tuple[int, ...], ...] = field(
        default=(), name="sent"
    )  # attempts by second and by site of the server


class WithoutConcurrencyLimit(RolloutPolicy):
    """The baseline without the limit of requests in flight: what refusals save is measured against it."""

    def _update_concurrency_limit(self, request: InFlightRequest, outcome: Outcome) -> None:
        return


def metrics(result: EmulationResult) -> dict[str, float]:
    """Return the figures of a run: shares from 0 to 1, latencies in milliseconds, rates per second."""
    elapsed_s = max(len(result.seconds) - result.from_ms / 1000, 1.0)
    calls = max(result.calls, 1)
    rejected = sum(c.rejected for c in result.classes)
    figures = {
        "asked": float(result.calls),
        "asked_per_s": result.calls / elapsed_s,
        "worth": result.served_weight_share,
        "in_aim": sum(c.within_objective for c in result.classes) / calls,
        "served_per_s": sum(c.served for c in result.classes) / elapsed_s,
        "refused": rejected / calls,
        "failed": sum(c.failed for c in result.classes) / calls,
        "busy": result.utilisation,
        "gateway_busy": max((g.utilisation for g in result.gateways), default=0.0),
        "most_held": float(max((g.max_in_flight for g in result.gateways), default=0)),
        "most_open": float(max((g.max_open_connections for g in result.gateways), default=0)),
        "most_waiting": float(max((s.max_queued for s in result.servers), default=0)),
    }
    for class_result in result.classes:
        figures |= {
            f"{class_result.name}.worth": class_result.served_weight_share,
            f"{class_result.name}.in_aim": class_result.within_objective / class_result.calls
            if class_result.calls
            else 1.0,
            f"{class_result.name}.p50_ms": class_result.latency_ms(50),
            f"{class_result.name}.p99_ms": class_result.latency_ms(99),
        }
    figures |= {
        f"busy.{name}": busy
        for what in ("site", "kind")
        for name, busy in result.utilisation_by(what).items()
    }
    return figures


def run_cell(cell: Cell, timeline: bool = False) -> RunResult:
    """Run one cell to its end."""
    build_policy: Any = RolloutPolicy if cell.limits_concurrency else WithoutConcurrencyLimit
    load = cell.load.arrivals(cell.fleet, cell.seed if cell.load_seed is None else cell.load_seed)
    emulation = Emulation(
        cell.fleet, load, cell.seed, cell.scenario, build_policy=build_policy, from_ms=cell.from_ms
    )
    emulation.measure(cell.from_ms, max(cell.load.seconds * 1000, cell.from_ms))
    result = emulation.run()
    seconds = tuple(
        (
            float(s.calls),
            float(s.within_objective),
            float(s.late),
            float(s.rejected),
            float(s.failed),
            s.weight_served / s.weight_offered if s.weight_offered else 1.0,
        )
        for s in result.seconds
    )
    row = RunResult(cell.key, cell.name, cell.seed, metrics(result), dict(result.violation_counts))
    if not timeline:
        return row
    return msgspec.structs.replace(
        row, seconds=seconds, attempts_by_site=tuple(tuple(s.attempts_by_site) for s in result.seconds)
    )
