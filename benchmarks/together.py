"""Gateways that stand in for each other, at scale: takeover and lending on, on the emulated fleet.

    python benchmarks/together.py scale --gateways 40 200 1000
    python benchmarks/together.py soak --seeds 100

`scale`: the same requests a second at each gateway, one in ten of them killed at once: what a gateway asks of
the ledger, memory, and the time from the loss to the claims. `soak`: random faults (gateways killed, paused,
stopped and started, the ledger in every trouble, servers lost, a release) by seed. Exit 1 when a rule breaks.
"""

from __future__ import annotations

import argparse
import resource
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

import numpy as np

from meadowpulley.emulator import Build, Emulation, EmulationResult, Fault, Release, Scenario
from meadowpulley.emulator.failpoints import STEP_DESCRIPTIONS
from meadowpulley.emulator.gateway import SimulatedGateway
from meadowpulley.emulator.ledger import LedgerFault, LedgerModel
from meadowpulley.emulator.shared_state import SharedState
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.rules import (
    AdoptionStarted,
    AttemptEnded,
    AttemptSent,
    Record,
    RequestClaimed,
    RequestReceived,
)
from meadowpulley.takeover import TakeoverSettings
from meadowpulley.takeover.settings import JournalScope

LEASE_MS, CRASH_AT_MS, CRASHED_SHARE = 2000.0, 6000.0, 0.1
BOOKING = 1  # its place among the classes
TROUBLES: tuple[LedgerFault, ...] = ("full", "read-only", "gone", "slow", "cut", "unheard")
FLEET = """
version = 1
name = "together"
sites = [{ name = "hobart" }, { name = "kingston" }]
kinds = [{ name = "std", cores = 2, slots = 12, queue = 30, cold_from = 0.5, cold_ms = 3000 }]
servers = [{ site = "hobart", kind = "std", count = %(servers)d },
           { site = "kingston", kind = "std", count = %(servers)d }]
gateways = [{ site = "hobart", count = %(gateways)d }, { site = "kingston", count = %(gateways)d }]
keys = { count = 400, memory_ms = 4000, gain = 0.2 }
clients = { retries = 4 }
rollout = { boot_ms = [600, 1200], soak_ms = 1500, drain_ms = 2000 }

[[classes]]
name = "look-up"
share = 0.5
work_ms = 150
aim_ms = 3000
deadline_ms = 5000

[[classes]]
name = "booking"
share = 0.25
work_ms = 150
aim_ms = 3000
deadline_ms = 5000
worth = 3
effect = "unsafe"

[[classes]]
name = "transfer"
share = 0.25
work_ms = 150
aim_ms = 3000
deadline_ms = 5000
worth = 2
effect = "keyed"
window_ms = 6000
"""


def fleet_of(gateways: int, servers: int) -> Fleet:
    figures = {"gateways": gateways // 2, "servers": max(servers // 2, 1)}
    return parse_fleet((FLEET % figures).encode(), "together.toml")


def parts(gateways: int, capacity: float, poll_ms: float, failover_ms: float = 0.0) -> SharedState:
    with_quotas = (Quota("shop", 0.5), Quota("bank", 0.5))
    plan = QuotaPlan(1, capacity, gateways, with_quotas, term_ms=LEASE_MS)
    ledger = LedgerModel(lease_ms=LEASE_MS, poll_ms=poll_ms, single_host=False)
    terms = TakeoverSettings(journal_scope=JournalScope.ALL)
    return SharedState(ledger, terms, plan, tenants=("shop", "bank"), client_failover_ms=failover_ms)


def measure_scale(counts: Iterable[int], seed: int, seconds: float, rate: float) -> int:
    print("gateways  asks/s of each  read/s of each  records  claimed  first s  p50 s  last s  served  MB  s")
    broken = 0
    for gateways in counts:
        started_at, per_s = time.monotonic(), rate * gateways
        fleet = fleet_of(gateways, max(round(per_s / 4), 4))
        claims: list[float] = []

        def observe(record: Record, claims: list[float] = claims) -> None:
            if isinstance(record, RequestClaimed):
                claims.append((record.at - CRASH_AT_MS) / 1000.0)

        load = synthesize(fleet, PROFILES["steady"], per_s, seconds, seed)
        shared_state = parts(gateways, 1.5 * per_s, 100.0)
        emulation = Emulation(fleet, load, seed, Scenario(), on_record=observe, shared_state=shared_state)
        crashed = emulation.gateways[:: round(1 / CRASHED_SHARE)]
        for gateway in crashed:
            emulation.clock.call_at(CRASH_AT_MS, gateway.kill)
        result = emulation.run()
        broken += sum(result.violation_counts.values())
        assert emulation.ledger is not None
        finished_at, each = emulation.ledger.operations, gateways * result.elapsed_ms / 1000.0
        asks = (finished_at["groups"] + finished_at["polls"] + finished_at["scans"]) / each
        times = [min(claims, default=0), float(np.median(claims)) if claims else 0, max(claims, default=0)]
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(
            f"{gateways:8d}  {asks:14.1f}  {finished_at['read'] / each:14.1f}  "
            f"{len(emulation.ledger.store.records):7d}"
            f"  {len(claims):7d}  {times[0]:7.2f}  {times[1]:5.2f}  {times[2]:6.2f}"
            f"  {served_count(result):6.1%}  {memory:.0f}  {time.monotonic() - started_at:.0f}",
            flush=True,
        )
        report(result)
    print(f"rules broken {broken}, seed {seed}")
    return 1 if broken else 0


def served_count(result: EmulationResult) -> float:
    return sum(c.served for c in result.classes) / max(result.calls, 1)


def report(result: EmulationResult) -> None:
    for line in result.violations[:3]:
        print(f"  {line}")


def soak(seeds: Iterable[int], seconds: float) -> int:
    broken: Counter[str] = Counter()
    runs, calls, executed_twice, found = 0, 0, 0, 0.0
    for seed in seeds:
        bookings = DuplicateBookings()
        result = soak_once(seed, seconds, bookings.observe)
        executed_twice += bookings.executed_twice
        runs, calls, found = runs + 1, calls + result.calls, found + served_count(result)
        broken.update(result.violation_counts)
        if result.violation_counts:
            print(f"seed {seed}: {dict(result.violation_counts)}", flush=True)
            report(result)
    print(
        f"rules broken {sum(broken.values())} {dict(broken)} in {runs} runs of {seconds:g} s with random "
        f"faults, {calls} requests, {executed_twice} bookings that were not written ran on two asks, "
        f"{found / max(runs, 1):.1%} served in the mean run"
    )
    return 1 if broken else 0


class DuplicateBookings:
    """How often each ran, by the client's id, written or not: what the rules promise is of written ones."""

    def __init__(self) -> None:
        self.ids: dict[tuple[int, int], str] = {}
        self.outstanding: set[tuple[int, int, int]] = set()

    def observe(self, record: Record) -> None:
        if isinstance(record, RequestReceived | AdoptionStarted) and record.class_index == BOOKING:
            self.ids[record.gateway, record.request] = record.request_id
        elif isinstance(record, AttemptSent) and (record.gateway, record.request) in self.ids:
            self.outstanding.add((record.gateway, record.request, record.attempt))
        elif isinstance(record, AttemptEnded) and not record.executed:
            self.outstanding.discard((record.gateway, record.request, record.attempt))

    @property
    def executed_twice(self) -> int:
        runs = Counter(self.ids[gateway, request] for gateway, request, _ in self.outstanding)
        return sum(n > 1 for n in runs.values())


def soak_once(seed: int, seconds: float, trace: Callable[[Record], None]) -> EmulationResult:
    """One run: four to eight gateways, and a fault of gateways or of the ledger every second or so."""
    rng = Random(seed)
    gateways = rng.choice((4, 6, 8))
    fleet, per_s = fleet_of(gateways, 8), rng.uniform(20.0, 60.0)
    kinds: tuple[Any, ...] = ("crash", "vanish", "silence", "slowness", "discovery_stale", "peers_lost")
    at, kind = rng.uniform(3000.0, 9000.0), rng.choice(kinds)
    amount = {"slowness": 3.0, "discovery_stale": 3000.0}.get(kind, 1.0)
    fault = Fault(kind, at, rng.uniform(1000.0, 5000.0), amount, rng.uniform(0.1, 0.5))
    build = Build(2, failure_share=rng.choice((0.0, 0.0, 0.5)))
    scenario = Scenario(releases=(Release(rng.uniform(1000.0, 8000.0), build),), faults=(fault,))
    load = synthesize(fleet, PROFILES["steady"], per_s, seconds, seed)
    failover_ms = rng.choice((0.0, 700.0))
    shared_state = parts(gateways, 1.3 * per_s, 50.0, failover_ms)
    emulation = Emulation(fleet, load, seed, scenario, on_record=trace, shared_state=shared_state)
    moment = 2000.0
    while moment < seconds * 1000.0 - 4000.0:
        emulation.clock.call_at(moment, lambda: inject_fault(emulation, rng))
        moment += rng.expovariate(1 / 1200.0)
    emulation.run_until(seconds * 1000.0 + 30_000.0)  # whatever is open has its end by then
    return emulation.finish()


def inject_fault(emulation: Emulation, rng: Random) -> None:
    """One fault of a gateway or of its ledger; each passes by itself."""
    gateway = rng.choice(emulation.gateways)
    duration_ms, choice = rng.uniform(200.0, 5000.0), rng.random()
    assert emulation.ledger is not None
    ledger, clock = emulation.ledger, emulation.clock
    if choice < 0.2:
        crash_gateway(emulation, gateway, duration_ms)
    elif choice < 0.4:
        pause_gateway(emulation, gateway, duration_ms)
    elif choice < 0.5 and gateway.alive and not gateway.paused and not gateway.draining:
        gateway.stop(rng.uniform(200.0, 2000.0))
        clock.call_later(2000.0 + duration_ms, lambda: restart_gateway(gateway))
    elif choice < 0.75:
        step: Any = rng.choice(list(STEP_DESCRIPTIONS))
        action = rng.choice((crash_gateway, pause_gateway))
        emulation.failpoints.add(
            step, lambda g: action(emulation, g, duration_ms), gateway.number, rng.randrange(4)
        )
    else:
        target = rng.choice((None, gateway.number, gateway.number))
        ledger.set_fault(rng.choice(TROUBLES), target)
        clock.call_later(duration_ms, lambda: ledger.set_fault(None, target))


def crash_gateway(emulation: Emulation, gateway: SimulatedGateway, duration_ms: float) -> None:
    gateway.kill()
    emulation.clock.call_later(duration_ms, lambda: restart_gateway(gateway))


def restart_gateway(gateway: SimulatedGateway) -> None:
    if not gateway.alive:
        gateway.start()


def pause_gateway(emulation: Emulation, gateway: SimulatedGateway, duration_ms: float) -> None:
    gateway.pause()
    emulation.clock.call_later(duration_ms, gateway.resume)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("scale", "soak"))
    parser.add_argument("--gateways", type=int, nargs="+", default=[40, 200, 1000])
    parser.add_argument("--rate", type=float, default=0.5, help="requests a second at each gateway")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=14.0)
    arguments = parser.parse_args()
    if arguments.what == "scale":
        return measure_scale(arguments.gateways, arguments.seed, arguments.seconds, arguments.rate)
    return soak(range(arguments.seed, arguments.seed + arguments.seeds), arguments.seconds)


if __name__ == "__main__":
    sys.exit(main())
