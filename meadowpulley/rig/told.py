"""What each process of the rig is told, and what it tells back: plain values, as JSON files in one folder."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from meadowpulley.emulator import ClassNow, Scenario
from meadowpulley.experiment.cells import LoadSpec
from meadowpulley.fleet import Fleet


class RigPlan(Struct, frozen=True):
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


class Job(Struct, frozen=True):
    """A process's file: the plan, the ports, the origin (seconds of the monotonic clock), where to write."""

    plan: RigPlan
    ports: Ports
    origin: float
    out: str
    live_ms: float = 0.0  # how often it tells what there is so far, a line each in `out`.live; 0: never


class ServersTold(Struct):
    """From the stand-ins, at their end."""

    busy: float
    served: int
    turned_away: int
    events: list[tuple[float, str]]
    stages: list[tuple[float, int, int, str]]  # when (ms), build, stage, phase
    fell: int
    late_ms: float
    cpu_s: float
    errors: list[str]


class ClientsNow(Struct):
    """From the driver, while it runs."""

    classes: tuple[ClassNow, ...]


class ClientsTold(Struct):
    """From the driver, at its end."""

    figures: dict[str, float]
    seconds: list[list[float]]
    wrong: int  # answers with another request's body
    late_ms: float
    cpu_s: float
    errors: list[str]


def tell_live(job: Job, clock: Any, now: Callable[[], Struct]) -> None:
    """Writes what `now` says as a line every `live_ms`, if the job asks for it."""
    if job.live_ms <= 0:
        return
    path = Path(job.out + ".live")

    def tell() -> None:
        with path.open("ab") as file:
            file.write(msgspec.json.encode(now()) + b"\n")
        clock.after(job.live_ms, tell)

    clock.at(0.0, tell)


def number_of(name: str) -> int:
    """The server's number in its name."""
    return int(name.rpartition("-")[2])


def take_orders() -> Job:
    """Says that all is loaded, and waits on standard input for the path of the job's file."""
    print("{}", flush=True)
    return msgspec.json.decode(Path(sys.stdin.readline().strip()).read_bytes(), type=Job)


def id_of(request: int, seed: int) -> str:
    """The id that a client gives a request, never twice in a run."""
    return f"{seed & 0xFFFF:04x}{request:012x}"


def request_of(name: str) -> int:
    """The request of an id; -1 where no client of the rig made it."""
    try:
        return int(name[4:], 16) if len(name) == 16 else -1
    except ValueError:
        return -1


def name_of(number: int) -> str:
    return f"s-{number}"


def entry_object(entry: Any, address: str, zone: str, kind: str, origin_s: float) -> dict[str, Any]:
    """A server in discovery's words; `origin_s`: Unix time at the start of the run's clock."""
    from meadowpulley.net import names

    states = {state: word for word, state in names.STATES.items()}
    return {
        names.NAME: name_of(entry.server),
        names.ADDRESS: address,
        names.ZONE: zone,
        names.KIND: kind,
        names.CELL: entry.cell,
        names.STATE: states[entry.state],
        names.WEIGHT: entry.weight,
        names.STARTED: round(origin_s * 1000 + entry.started_ms) if entry.started_ms else 0,
        names.BUILD: entry.build,
    }


def news_object(news: Any) -> dict[str, Any]:
    """News of a build in the platform's words."""
    from meadowpulley.net import names

    phases = {phase: word for word, phase in names.PHASES.items()}
    return {
        names.NEWS_BUILD: news.build,
        names.NEWS_STAGE: news.stage,
        names.NEWS_PHASE: phases[news.phase],
        names.NEWS_CAP: news.cap,
        names.NEWS_AGE: round(max(news.age_ms, 0.0)),
    }
