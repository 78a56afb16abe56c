"""Plans for soak runs: random, overlapping faults over a few dozen real gateway processes.

One seed fixes the plan, not the run: the timing of processes differs from one play to the next.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from meadowpulley.emulator import Build, Fault, Release, Scenario
from meadowpulley.emulator.scenario import FaultKind
from meadowpulley.experiment.cells import LoadSpec
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.loopback.messages import DiscoveryFault, LoopbackPlan
from meadowpulley.loopback.process_faults import MAX_STALL_MS, ProcessFault
from meadowpulley.net.config import DEFAULT_MEMORY_MB

FLEET_TOML = """
version = 1
name = "soak"
sites = [{{ name = "east" }}, {{ name = "west" }}]
kinds = [{{ name = "m", cores = 2, slots = 16, queue = 40, cold_from = 0.5, cold_ms = 1500 }}]
servers = [
    {{ site = "east", kind = "m", count = {servers} }},
    {{ site = "west", kind = "m", count = {servers} }},
]
gateways = [
    {{ site = "east", count = {gateways}, request_ms = 0.5 }},
    {{ site = "west", count = {gateways}, request_ms = 0.5 }},
]
clients = {{ retries = 1 }}
keys = {{ count = 500 }}
network = {{ same_site_ms = 0.05, cross_site_ms = 0.05, client_ms = 0.0 }}
discovery = {{ add_ms = [300, 800], notice_ms = [500, 1500], period_ms = [20, 200] }}
rules = {{ drain_grace_ms = 1000 }}
rollout = {{ stages = [0.3, 1.0], caps = [0.4, 1.0], boot_ms = [500, 1200], soak_ms = 800, drain_ms = 1500 }}

[[classes]]
name = "look"
share = 2
work_ms = 20
aim_ms = 600
deadline_ms = 1500

[[classes]]
name = "pay"
share = 1
work_ms = 20
aim_ms = 600
deadline_ms = 1500
effect = "unsafe"

[[classes]]
name = "order"
share = 1
work_ms = 20
aim_ms = 600
deadline_ms = 1500
effect = "keyed"
window_ms = 2000
"""
REQUESTS_PER_GATEWAY_S = 5.0
START_DELAY_S = 0.15  # for each gateway; they start side by side
DECLARED_GATEWAYS = 200  # as one of a large fleet a gateway spreads its list calls
FIRST_FAULT_MS = 1_500.0
CROWD_SEEDS = 3  # each third seed has crowds of bad clients
CROWD_MEMORY_MB = 64.0
SERVER_FAULTS: tuple[tuple[FaultKind, float, float], ...] = (  # kind, smallest and greatest amount
    ("crash", 1.0, 1.0),
    ("silence", 1.0, 1.0),
    ("slowness", 1.5, 4.0),
    ("lost_answers", 0.1, 0.6),
    ("fast_errors", 0.2, 0.8),
)


def soak_fleet(gateways: int) -> Fleet:
    """Return the fleet of a soak run, with as many servers as gateways, half of them at each of two sites."""
    half = max(gateways // 2, 1)
    return parse_fleet(FLEET_TOML.format(gateways=half, servers=half).encode(), "soak fleet")


def _process_faults(
    rng: Random, gateways: int, duration_ms: float, ended: tuple[ProcessFault, ...]
) -> tuple[ProcessFault, ...]:
    """Draw restarts, one after another, of gateways that no other fault ends, and stalls and reloads."""
    faults = list(ended)
    already_ended = {fault.gateway for fault in ended}
    numbers = [n for n in rng.sample(range(gateways), gateways) if n not in already_ended]
    restarted = numbers[: round(len(numbers) * rng.uniform(0.0, 0.7))]
    begin = rng.uniform(FIRST_FAULT_MS, duration_ms * 0.6)
    spacing_ms = (duration_ms * 0.8 - begin) / max(len(restarted), 1)
    faults += [
        ProcessFault("terminate", begin + k * spacing_ms, n, in_series=k % 2 == 1)
        for k, n in enumerate(restarted)
    ]
    for _ in range(gateways):
        at = rng.uniform(FIRST_FAULT_MS, duration_ms)
        number = rng.randrange(gateways)
        faults.append(ProcessFault("stall", at, number, rng.uniform(20.0, MAX_STALL_MS)))
    for at in [rng.uniform(FIRST_FAULT_MS, duration_ms) for _ in range(rng.randrange(3))]:
        faults += [ProcessFault("reload", at, n) for n in numbers[::2]]
    return tuple(sorted(faults, key=lambda fault: fault.at_ms))


def _crowds_and_series(rng: Random, gateways: int, duration_ms: float) -> tuple[ProcessFault, ...]:
    """Draw crowds at some gateways, with SIGHUP inside and a kill soon after, and series of SIGHUP."""
    faults: list[ProcessFault] = []
    for number in rng.sample(range(gateways), max(gateways // 3, 1)):
        at = rng.uniform(FIRST_FAULT_MS, duration_ms * 0.6)
        length_ms = rng.uniform(2_000.0, 4_000.0)
        faults.append(ProcessFault("crowd", at, number, length_ms))
        reload_at = at + rng.uniform(0.0, length_ms)
        faults += [ProcessFault("reload", reload_at + k * rng.uniform(0.0, 200.0), number) for k in range(3)]
        if rng.random() < 0.3:
            faults.append(ProcessFault("kill", at + rng.uniform(500.0, length_ms), number, 1_000.0))
    return tuple(faults)


def _discovery_faults(rng: Random, duration_ms: float) -> tuple[DiscoveryFault, ...]:
    """Draw spells of crowded, silent and cut calls."""
    faults: list[DiscoveryFault] = []
    for kind in ("crowded", "silent", "cut"):
        if rng.random() < 0.5:
            at = rng.uniform(0.0, duration_ms * 0.8)
            length_ms = rng.uniform(1_000.0, 6_000.0)
            faults.append(DiscoveryFault(kind, at, length_ms, rng.uniform(0.1, 0.6)))
    return tuple(faults)


@dataclass(frozen=True, slots=True)
class _Outage:
    """An outage of discovery, with what makes it dangerous; all of it empty in some plans."""

    discovery: tuple[DiscoveryFault, ...] = ()
    servers: tuple[Fault, ...] = ()
    gateways: tuple[ProcessFault, ...] = ()


def _outage(rng: Random, gateways: int, duration_ms: float) -> _Outage:
    """Draw an outage, servers that end meanwhile and come back at their addresses, and gateways killed after.

    What changed meanwhile counts as notified some seconds after the outage: it ends well before the run does.
    """
    if rng.random() < 0.2:
        return _Outage()
    at = rng.uniform(FIRST_FAULT_MS, duration_ms * 0.2)
    length_ms = rng.uniform(2_500.0, duration_ms * 0.3)
    down = DiscoveryFault("down", at, length_ms)
    crashes: list[Fault] = []
    for _ in range(2):  # back some seconds after discovery: until that is known the servers count as gone
        crash_at = at + length_ms * rng.uniform(0.1, 0.6)
        absence_ms = at + length_ms - crash_at + rng.uniform(500.0, 5_000.0)
        crashes.append(Fault("crash", crash_at, absence_ms, 1.0, rng.uniform(0.1, 0.3)))
    if rng.random() < 0.4:
        return _Outage((down,), tuple(crashes))
    killed = rng.sample(range(gateways), round(gateways * rng.uniform(0.3, 0.7)))
    killed_at = at + length_ms + rng.uniform(-500.0, 2_000.0)
    down_ms = rng.uniform(200.0, 3_000.0)
    kills = [ProcessFault("kill", killed_at + rng.uniform(0.0, 50.0), n, down_ms) for n in killed]
    return _Outage((down,), tuple(crashes), tuple(kills))


def _scenario(rng: Random, duration_ms: float, crashes: tuple[Fault, ...]) -> Scenario:
    """Draw a release, good or bad, and faults of the servers.

    One release: what binds keys to a build that a newer one supersedes while it is on trial is not settled.
    """
    build = Build(number=2, failure_share=rng.choice((0.0, 0.0, 0.5)))
    releases = (Release(rng.uniform(500.0, duration_ms * 0.3), build),)
    faults = list(crashes)
    for kind, smallest, greatest in SERVER_FAULTS:
        if rng.random() < 0.4:
            at = rng.uniform(FIRST_FAULT_MS, duration_ms * 0.8)
            length_ms = rng.uniform(1_000.0, 5_000.0)
            amount = rng.uniform(smallest, greatest)
            share = rng.uniform(0.05, 0.25)
            faults.append(Fault(kind, at, length_ms, amount, share))
    return Scenario(releases=releases, faults=tuple(sorted(faults, key=lambda fault: fault.at_ms)))


def soak_plan(seed: int, gateways: int, seconds: float) -> LoopbackPlan:
    """Return the plan of a soak run: the same for the same arguments."""
    rng = Random(seed)
    duration_ms = seconds * 1000.0
    outage = _outage(rng, gateways, duration_ms)
    process_faults = _process_faults(rng, gateways, duration_ms, outage.gateways)
    has_crowd = seed % CROWD_SEEDS == 0
    if has_crowd:
        ended = {fault.gateway for fault in process_faults if fault.kind in ("kill", "terminate")}
        drawn = _crowds_and_series(rng, gateways, duration_ms)
        process_faults += tuple(f for f in drawn if f.kind != "kill" or f.gateway not in ended)
    load = LoadSpec(per_s=REQUESTS_PER_GATEWAY_S * gateways, seconds=seconds)
    return LoopbackPlan(
        soak_fleet(gateways),
        load,
        seed,
        seed + 1,
        _scenario(rng, duration_ms, outage.servers),
        process_faults=tuple(sorted(process_faults, key=lambda fault: fault.at_ms)),
        discovery_faults=(*outage.discovery, *_discovery_faults(rng, duration_ms)),
        start_delay_s=START_DELAY_S,
        declared_gateways=DECLARED_GATEWAYS,
        memory_mb=CROWD_MEMORY_MB if has_crowd else DEFAULT_MEMORY_MB,
        drained_servers_reject=True,
    )
