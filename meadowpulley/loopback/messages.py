"""Messages between the processes of the test bed: plain values, as JSON files in one folder."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Struct

from meadowpulley.emulator import ClassSnapshot, Scenario
from meadowpulley.emulator.clock import Timeline
from meadowpulley.experiment.cells import LoadSpec
from meadowpulley.fleet import Fleet
from meadowpulley.interface import RolloutUpdate, ServerEntry
from meadowpulley.loopback.notifications import ListedChange, ListWritten
from meadowpulley.loopback.process_faults import ProcessFault


class DiscoveryFault(Struct, frozen=True):
    """A fault of discovery from `at_ms` on: what befalls the given share of the calls that come meanwhile.

    `down`: it ends open calls with 503, and others after waiting; `crowded`: the same for new calls only, and
    it counts as reachable; `silent`: a call is never answered; `cut`: an answer breaks off.
    """

    kind: Literal["down", "crowded", "silent", "cut"]
    at_ms: float
    duration_ms: float
    share: float = 1.0


class LoopbackPlan(Struct, frozen=True):
    """One run on loopback. Calls before `from_ms` are not counted.

    `load_seed` fixes the arrivals, `seed` the simulated services and the gateways.
    """

    fleet: Fleet
    load: LoadSpec
    seed: int = 1
    load_seed: int = 1
    scenario: Scenario = Scenario()
    from_ms: float = 0.0
    process_faults: tuple[ProcessFault, ...] = ()
    discovery_faults: tuple[DiscoveryFault, ...] = ()
    start_delay_s: float = 0.4  # for each gateway, until the first request
    declared_gateways: int = 0  # how many the settings tell of; 0: as many as run
    memory_mb: float = 192.0  # the limit that each gateway is told
    drained_servers_reject: bool = False  # as the platform's page says; else they serve until they end


class Ports(Struct, frozen=True):
    """Addresses and ports of the gateways and of the services that each uses, by gateway number."""

    host: str  # a loopback address that no other run uses
    instances: str  # another one for the servers, whose ports the kernel chooses
    clients: tuple[int, ...]
    discovery: tuple[int, ...]
    platform: tuple[int, ...]
    peers: tuple[int, ...]


class ProcessOrders(Struct, frozen=True):
    """A process's file: the plan, the ports, the origin (seconds of the monotonic clock), where to write."""

    plan: LoopbackPlan
    ports: Ports
    origin: float
    output_path: str
    progress_interval_ms: float = 0.0  # interval of progress lines in `<output_path>.live`; 0: none


class ServicesReport(Struct):
    """Report of the simulated services at their end."""

    utilisation: float
    served: int
    rejected: int
    events: list[tuple[float, str]]
    stages: list[tuple[float, int, int, str]]  # time (ms), build, stage, phase
    overloaded: int
    lateness_ms: float
    cpu_s: float
    errors: list[str]
    initial_list: list[ListedChange] = []
    list_changes: list[ListedChange] = []
    lists_written: list[ListWritten] = []


class ClientsSnapshot(Struct):
    """Progress of the load driver while it runs."""

    classes: tuple[ClassSnapshot, ...]


class BrokenRequest(Struct, frozen=True):
    """A request whose connection ended without a response; times are milliseconds on the run's clock."""

    at: float
    gateway: int
    request: int
    written_at: float
    reused: bool  # the connection had carried a response


class ClientsReport(Struct):
    """Report of the load driver at its end."""

    figures: dict[str, float]
    seconds: list[list[float]]
    wrong_responses: int  # responses with another request's body
    lateness_ms: float
    cpu_s: float
    errors: list[str]
    broken: list[BrokenRequest] = []


def report_progress(orders: ProcessOrders, clock: Timeline, snapshot: Callable[[], Struct]) -> None:
    """Write a snapshot as a JSON line every `progress_interval_ms`, where the orders request it."""
    if orders.progress_interval_ms <= 0:
        return
    path = Path(orders.output_path + ".live")

    def write() -> None:
        """Append one snapshot and schedule the next."""
        with path.open("ab") as file:
            file.write(msgspec.json.encode(snapshot()) + b"\n")
        clock.call_later(orders.progress_interval_ms, write)

    clock.call_at(0.0, write)


def server_number(name: str) -> int:
    """Return the number in a server's name."""
    return int(name.rpartition("-")[2])


def read_orders() -> ProcessOrders:
    """Signal readiness on standard output, then read the orders whose path comes on standard input."""
    print("{}", flush=True)
    return msgspec.json.decode(Path(sys.stdin.readline().strip()).read_bytes(), type=ProcessOrders)


def make_request_id(number: int, seed: int) -> str:
    """Return the id of a request, unique within a run."""
    return f"{seed & 0xFFFF:04x}{number:012x}"


def request_number(request_id: str) -> int:
    """Return the request number of an id; -1 where no client of the run made it."""
    try:
        return int(request_id[4:], 16) if len(request_id) == 16 else -1
    except ValueError:
        return -1


def server_name(number: int) -> str:
    """Return the name of a server."""
    return f"s-{number}"


def entry_object(
    entry: ServerEntry, address: str, zone: str, kind: str, origin_unix_s: float
) -> dict[str, Any]:
    """Return an endpoint entry in discovery's format; `origin_unix_s` is when the run's clock started."""
    from meadowpulley.net import protocol

    states = {state: word for word, state in protocol.ENDPOINT_STATES.items()}
    return {
        protocol.ENDPOINT_NAME: server_name(entry.server),
        protocol.ENDPOINT_ADDRESS: address,
        protocol.ENDPOINT_ZONE: zone,
        protocol.ENDPOINT_KIND: kind,
        protocol.ENDPOINT_CELL: entry.cell,
        protocol.ENDPOINT_STATE: states[entry.state],
        protocol.ENDPOINT_WEIGHT: entry.weight,
        protocol.ENDPOINT_STARTED: round(origin_unix_s * 1000 + entry.started_ms) if entry.started_ms else 0,
        protocol.ENDPOINT_BUILD: entry.build,
    }


def rollout_object(update: RolloutUpdate) -> dict[str, Any]:
    """Return a rollout update in the platform's format."""
    from meadowpulley.net import protocol

    phases = {phase: word for word, phase in protocol.ROLLOUT_PHASES.items()}
    return {
        protocol.MESSAGE_BUILD: update.build,
        protocol.ROLLOUT_STAGE: update.stage,
        protocol.ROLLOUT_PHASE: phases[update.phase],
        protocol.ROLLOUT_CAP: update.cap,
        protocol.MESSAGE_AGE: round(max(update.age_ms, 0.0)),
    }
