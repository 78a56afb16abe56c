"""Twenty runs of half a minute, between them with every kind of fault, release and shared state."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

from msgspec.structs import replace

from meadowpulley.emulator import Build, Emulation, Fault, Release, Scenario
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.load.arrivals import Arrival
from meadowpulley.policy import RolloutPolicy
from meadowpulley.rules import Record
from tests.decisions.fleets import FLEETS, SHARED_STATES, policy_with_placements

SECONDS = 26.0  # of arrivals
END_MS = 32_000.0
CROWD_FROM_MS, CROWD_SECONDS = 14_000.0, 5.0

GOOD, FAST = Build(2, speed=1.08), Build(2, speed=1.2)
FAILING = Build(2, failure_share=0.4)
FAILING_CLASS = Build(2, failure_share=0.7, failing_class="place-order")
SLOW = Build(2, work_factor=2.6)
SLOWING_ALL = Build(2, shared_slowdown=2.0)
LATE = Build(2, work_factor=3.0, failure_share=0.3, fault_delay_ms=6000.0)
NEXT = Build(3, speed=1.05)


@dataclass(frozen=True, slots=True)
class Day:
    """One run: a fleet, its load, a build on trial, faults, and what the gateways share."""

    seed: int
    fleet: str
    per_s: float
    build: Build
    faults: tuple[Fault, ...] = ()
    shared: str | None = None
    crowd_per_s: float = 0.0  # more requests, for a few seconds
    restarts: bool = False  # gateways are paused, shut down, killed and started again

    @property
    def name(self) -> str:
        """The day in one word, for reports and as the key of its hash."""
        return f"{self.seed:02}-{self.fleet}" + (f"-{self.shared}" if self.shared else "")


DAYS = (
    Day(1, "zones", 80.0, GOOD),
    Day(2, "zones", 80.0, FAILING, (Fault("discovery_down", 9000.0, 9000.0),)),
    Day(3, "zones", 90.0, SLOW, (Fault("gateway_crash", 8000.0, 3000.0, share=0.5),), crowd_per_s=70.0),
    Day(4, "zones", 70.0, SLOWING_ALL, (Fault("vanish", 7000.0, 6000.0, share=0.2),)),
    Day(5, "zones", 80.0, LATE, (Fault("discovery_stale", 6000.0, 9000.0, 5000.0),), restarts=True),
    Day(6, "zones", 80.0, GOOD, (Fault("silent_watches", 8000.0, 9000.0, share=0.6),), "takeover"),
    Day(
        7, "zones", 70.0, FAILING, (Fault("gateway_crash", 9000.0, 2000.0, share=0.6),), "all", restarts=True
    ),
    Day(8, "orders", 90.0, GOOD, (Fault("fast_errors", 6000.0, 9000.0, 0.8, 0.2),)),
    Day(9, "orders", 90.0, FAILING_CLASS, (Fault("platform_down", 7000.0, 6000.0),)),
    Day(10, "orders", 90.0, SLOW, (Fault("platform_late", 5000.0, 12_000.0, 4000.0),), crowd_per_s=90.0),
    Day(11, "orders", 80.0, LATE, (Fault("crash", 8000.0, 4000.0, share=0.3),), restarts=True),
    Day(12, "orders", 80.0, FAILING, (Fault("lost_answers", 6000.0, 8000.0, 0.4, 0.3),), "takeover"),
    Day(13, "orders", 80.0, GOOD, (Fault("discovery_down", 12_000.0, 9000.0),), "placement"),
    Day(14, "orders", 80.0, GOOD, (Fault("site_cut", 9000.0, 5000.0, site="mowbray"),), "lending"),
    Day(15, "pushed", 110.0, GOOD, (Fault("neighbour", 6000.0, 9000.0, 2.5, 0.4),)),
    Day(16, "pushed", 110.0, SLOW, (Fault("silence", 8000.0, 5000.0, 1.0, 0.2),)),
    Day(17, "pushed", 110.0, SLOWING_ALL, (Fault("dependency", 6000.0, 5000.0, 2.0),), crowd_per_s=120.0),
    Day(18, "pushed", 100.0, FAILING, (Fault("gateway_crash", 9000.0, 3000.0, share=0.4),), restarts=True),
    Day(19, "pushed", 100.0, FAST, (Fault("slowness", 7000.0, 9000.0, 3.0, 0.3),), "takeover"),
    Day(20, "pushed", 100.0, LATE, (Fault("peers_lost", 4000.0, 9000.0, 1.0),), "all", restarts=True),
)


def arrivals(day: Day) -> Iterator[Arrival]:
    """Return the load of a day, in order of time."""
    fleet, steady = FLEETS[day.fleet], PROFILES["steady"]
    usual = synthesize(fleet, steady, day.per_s, SECONDS, day.seed)
    crowd = synthesize(fleet, steady, day.crowd_per_s, CROWD_SECONDS, day.seed + 100)
    later = (replace(arrival, at_ms=arrival.at_ms + CROWD_FROM_MS) for arrival in crowd)
    return heapq.merge(usual, later, key=lambda arrival: arrival.at_ms)


def schedule_restarts(emulation: Emulation) -> None:
    """Pause one gateway for a while, shut another down and kill a third; start the last two again."""
    first, second, third = emulation.gateways[:3]
    call_at = emulation.clock.call_at
    call_at(5000.0, first.pause)
    call_at(6800.0, first.resume)
    call_at(9500.0, partial(second.stop, 2500.0))
    call_at(14_500.0, partial(_start_if_down, second))
    call_at(16_000.0, third.kill)
    call_at(17_500.0, partial(_start_if_down, third))


def _start_if_down(gateway: Any) -> None:
    if not gateway.alive:
        gateway.start()


def build_emulation(
    day: Day,
    build_policy: Callable[..., Any] | None = None,
    on_record: Callable[[Record], None] | None = None,
) -> Emulation:
    """Return the emulation of a day, ready to run."""
    shared_state = SHARED_STATES[day.shared] if day.shared is not None else None
    places = day.shared in ("placement", "all")
    scenario = Scenario(releases=(Release(3500.0, day.build), Release(17_000.0, NEXT)), faults=day.faults)
    emulation = Emulation(
        FLEETS[day.fleet],
        arrivals(day),
        day.seed,
        scenario,
        build_policy or (policy_with_placements if places else RolloutPolicy),
        on_record,
        shared_state=shared_state,
    )
    if day.restarts:
        schedule_restarts(emulation)
    return emulation
