"""What each process of the rig is told, and what it tells back: plain values, as JSON files in one folder."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from meadowpulley.emulator import ClassSnapshot, Scenario
from meadowpulley.experiment.cells import LoadSpec
from meadowpulley.fleet import Fleet


class LoopbackPlan(Struct, frozen=True):
    """One run on loopback. Asks before `from_ms` are not counted; `load_seed` fixes the arrivals, `seed` the
    stand-ins and gateways."""

    fleet: Fleet
    load: LoadSpec
    seed: int = 1
    load_seed: int = 1
    scenario: Scenario = Scenario()
    from_ms: float = 0.0


class Ports(Struct, frozen=True):
    """Where each gateway listens, and where it finds discovery, the platform and its peers; by its number."""

    host: str  # an address of loopback that no other rig uses
    instances: str  # another, for the instances: the kernel chooses their ports among those not yet bound
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
    progress_interval_ms: float = (
        0.0  # how often it tells what there is so far, a line each in `out`.live; 0: never
    )


class ServicesReport(Struct):
    """From the stand-ins, at their end."""

    utilisation: float
    served: int
    rejected: int
    events: list[tuple[float, str]]
    stages: list[tuple[float, int, int, str]]  # when (ms), build, stage, phase
    overloaded: int
    lateness_ms: float
    cpu_s: float
    errors: list[str]


class ClientsSnapshot(Struct):
    """From the driver, while it runs."""

    classes: tuple[ClassSnapshot, ...]


class ClientsReport(Struct):
    """From the driver, at its end."""

    figures: dict[str, float]
    seconds: list[list[float]]
    wrong_responses: int  # answers with another request's body
    lateness_ms: float
    cpu_s: float
    errors: list[str]


def report_progress(orders: ProcessOrders, clock: Any, snapshot: Callable[[], Struct]) -> None:
    """Writes what `now` says as a line every `live_ms`, if the job asks for it."""
    if orders.progress_interval_ms <= 0:
        return
    path = Path(orders.output_path + ".live")

    def write() -> None:
        with path.open("ab") as file:
            file.write(msgspec.json.encode(snapshot()) + b"\n")
        clock.after(orders.progress_interval_ms, write)

    clock.at(0.0, write)


def server_number(name: str) -> int:
    """The server's number in its name."""
    return int(name.rpartition("-")[2])


def read_orders() -> ProcessOrders:
    """Says that all is loaded, and waits on standard input for the path of the job's file."""
    print("{}", flush=True)
    return msgspec.json.decode(Path(sys.stdin.readline().strip()).read_bytes(), type=ProcessOrders)


def make_request_id(number: int, seed: int) -> str:
    """The id that a client gives a request, never twice in a run."""
    return f"{seed & 0xFFFF:04x}{number:012x}"


def request_number(request_id: str) -> int:
    """The request of an id; -1 where no client of the rig made it."""
    try:
        return int(request_id[4:], 16) if len(request_id) == 16 else -1
    except ValueError:
        return -1


def server_name(number: int) -> str:
    return f"s-{number}"


def entry_object(entry: Any, address: str, zone: str, kind: str, origin_unix_s: float) -> dict[str, Any]:
    """A server in discovery's words; `origin_s`: Unix time at the start of the run's clock."""
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


def rollout_object(update: Any) -> dict[str, Any]:
    """News of a build in the platform's words."""
    from meadowpulley.net import protocol

    phases = {phase: word for word, phase in protocol.ROLLOUT_PHASES.items()}
    return {
        protocol.MESSAGE_BUILD: update.build,
        protocol.ROLLOUT_STAGE: update.stage,
        protocol.ROLLOUT_PHASE: phases[update.phase],
        protocol.ROLLOUT_CAP: update.cap,
        protocol.MESSAGE_AGE: round(max(update.age_ms, 0.0)),
    }
