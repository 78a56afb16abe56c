"""Model of the systems around a gateway in virtual time; one seed makes a run repeatable.

Reading order: `clock` (virtual time and named random streams), `machine` (cores, slots, queue, slow start
and overload of one server), `job_execution` (jobs of all servers), `server_fleet` (their starts and ends),
`builds` (the effect of a build on the machines that run it), `scenario` (the file that describes a run),
`faults` (fault injection), `network`, `discovery`, `platform`, `clients` (the parties around a gateway),
`process` (crash, pause and resume), `failpoints` (named steps at which a fault can be set), `requests` and
`connection_pool` (state of a gateway), `gateway` (runs one real policy), `emulation` (all parts together),
`results` and `snapshot`.

Shared state of several gateways: `ledger` (one store, its faults and a port to it), `shared_state` (stages
around a policy), `takeover_gateway` and `ledger_observer` (trace records read from ledger transactions). No
module does I/O or reads a clock.
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
