"""Our own model of the systems that a gateway serves, in virtual time: one seed replays everything.

Reading order: `clock` (virtual time and named random streams), `machine` (a server's cores, slots, queue,
warm-up and falling over), `builds` (what a release does to the machines that run it), `scenario` (the file
that says what happens in a run), `faults` (troubles put on and taken off), `network`, `discovery`,
`platform`, `clients` (the parties around a gateway), `process` (killed, paused and woken), `failpoints`
(named steps at which that may happen), `held` and `connections` (what a gateway holds), `gateway` (hosts one
real `Balancer`), `world` (all of them together), `results` (what came of it) and `snapshot` (what a run looks
like at one moment). Where gateways stand in for each other: `ledger` (the one they share, its troubles, a
port to it), `together` (the stages round a balancer), `joined` (a gateway whose work is taken over),
`observed` (what the ledger's records say, for the rules). No part does I/O or reads a clock.
"""

from meadowpulley.emulator.builds import Build
from meadowpulley.emulator.clock import RandomStreams, VirtualClock
from meadowpulley.emulator.emulation import Emulation, emulate
from meadowpulley.emulator.machine import Job, Machine
from meadowpulley.emulator.results import ClassResult, EmulationResult, ServerResult
from meadowpulley.emulator.scenario import Fault, Release, Scenario, parse_scenario
from meadowpulley.emulator.snapshot import (
    ClassSnapshot,
    FleetSnapshot,
    RunSnapshot,
    ServerSnapshot,
    class_snapshots,
    fleet_snapshot,
    new_events,
    stage_text,
)

__all__ = [
    "Build",
    "ClassResult",
    "ClassSnapshot",
    "Emulation",
    "EmulationResult",
    "Fault",
    "FleetSnapshot",
    "Job",
    "Machine",
    "RandomStreams",
    "Release",
    "RunSnapshot",
    "Scenario",
    "ServerResult",
    "ServerSnapshot",
    "VirtualClock",
    "class_snapshots",
    "emulate",
    "fleet_snapshot",
    "new_events",
    "parse_scenario",
    "stage_text",
]
