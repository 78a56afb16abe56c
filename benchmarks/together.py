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

from meadowpulley.emulator import Build, Fault, Release, Result, Scenario, World
from meadowpulley.emulator.failpoints import STEPS
from meadowpulley.emulator.gateway import Gateway
from meadowpulley.emulator.ledger import LedgerFigures, Trouble
from meadowpulley.emulator.together import Together
from meadowpulley.fleet import Fleet, parse_fleet
from meadowpulley.lending import Plan, Share
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.rules import Adopted, Claimed, Outcome, Record, Sent, Taken
from meadowpulley.takeover import Terms
from meadowpulley.takeover.model import Written

TERM_MS, KILLED_AT, PART = 2000.0, 6000.0, 0.1
BOOKING = 1  # its place among the classes
TROUBLES: tuple[Trouble, ...] = ("full", "read-only", "gone", "slow", "cut", "unheard")
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


def parts(gateways: int, capacity: float, poll_ms: float, again_ms: float = 0.0) -> Together:
    shares = (Share("shop", 0.5), Share("bank", 0.5))
    plan = Plan(1, capacity, gateways, shares, term_ms=TERM_MS)
    ledger = LedgerFigures(term_ms=TERM_MS, poll_ms=poll_ms, one_machine=False)
    terms = Terms(written=Written.ALL)
    return Together(ledger, terms, plan, tenants=("shop", "bank"), again_ms=again_ms)


def scale(counts: Iterable[int], seed: int, seconds: float, rate: float) -> int:
    print("gateways  asks/s of each  read/s of each  records  claimed  first s  p50 s  last s  served  MB  s")
    broken = 0
    for gateways in counts:
        began, per_s = time.monotonic(), rate * gateways
        fleet = fleet_of(gateways, max(round(per_s / 4), 4))
        claims: list[float] = []

        def see(record: Record, claims: list[float] = claims) -> None:
            if isinstance(record, Claimed):
                claims.append((record.at - KILLED_AT) / 1000.0)

        load = synthesize(fleet, PROFILES["steady"], per_s, seconds, seed)
        together = parts(gateways, 1.5 * per_s, 100.0)
        world = World(fleet, load, seed, Scenario(), trace=see, together=together)
        lost = world.gateways[:: round(1 / PART)]
        for gateway in lost:
            world.clock.at(KILLED_AT, gateway.kill)
        result = world.run()
        broken += sum(result.broken.values())
        assert world.ledger is not None
        done, each = world.ledger.operations, gateways * result.lasted_ms / 1000.0
        asks = (done["groups"] + done["polls"] + done["scans"]) / each
        times = [min(claims, default=0), float(np.median(claims)) if claims else 0, max(claims, default=0)]
        memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        print(
            f"{gateways:8d}  {asks:14.1f}  {done['read'] / each:14.1f}  {len(world.ledger.store.records):7d}"
            f"  {len(claims):7d}  {times[0]:7.2f}  {times[1]:5.2f}  {times[2]:6.2f}"
            f"  {served(result):6.1%}  {memory:.0f}  {time.monotonic() - began:.0f}",
            flush=True,
        )
        report(result)
    print(f"rules broken {broken}, seed {seed}")
    return 1 if broken else 0


def served(result: Result) -> float:
    return sum(c.served for c in result.classes) / max(result.asks, 1)


def report(result: Result) -> None:
    for line in result.breaches[:3]:
        print(f"  {line}")


def soak(seeds: Iterable[int], seconds: float) -> int:
    broken: Counter[str] = Counter()
    runs, asked, twice, got = 0, 0, 0, 0.0
    for seed in seeds:
        bookings = Bookings()
        result = soaked(seed, seconds, bookings.see)
        twice += bookings.twice
        runs, asked, got = runs + 1, asked + result.asks, got + served(result)
        broken.update(result.broken)
        if result.broken:
            print(f"seed {seed}: {dict(result.broken)}", flush=True)
            report(result)
    print(
        f"rules broken {sum(broken.values())} {dict(broken)} in {runs} runs of {seconds:g} s with random "
        f"faults, {asked} requests, {twice} bookings that were not written ran on two asks, "
        f"{got / max(runs, 1):.1%} served in the mean run"
    )
    return 1 if broken else 0


class Bookings:
    """How often each ran, by the client's id, written or not: what the rules promise is of written ones."""

    def __init__(self) -> None:
        self.ids: dict[tuple[int, int], str] = {}
        self.out: set[tuple[int, int, int]] = set()

    def see(self, r: Record) -> None:
        if isinstance(r, Taken | Adopted) and r.cls == BOOKING:
            self.ids[r.gateway, r.request] = r.id
        elif isinstance(r, Sent) and (r.gateway, r.request) in self.ids:
            self.out.add((r.gateway, r.request, r.attempt))
        elif isinstance(r, Outcome) and not r.ran:
            self.out.discard((r.gateway, r.request, r.attempt))

    @property
    def twice(self) -> int:
        runs = Counter(self.ids[gateway, request] for gateway, request, _ in self.out)
        return sum(n > 1 for n in runs.values())


def soaked(seed: int, seconds: float, trace: Callable[[Record], None]) -> Result:
    """One run: four to eight gateways, and a fault of gateways or of the ledger every second or so."""
    rng = Random(seed)
    gateways = rng.choice((4, 6, 8))
    fleet, per_s = fleet_of(gateways, 8), rng.uniform(20.0, 60.0)
    kinds: tuple[Any, ...] = ("crash", "vanish", "silence", "slowness", "discovery_stale", "peers_lost")
    at, kind = rng.uniform(3000.0, 9000.0), rng.choice(kinds)
    amount = {"slowness": 3.0, "discovery_stale": 3000.0}.get(kind, 1.0)
    fault = Fault(kind, at, rng.uniform(1000.0, 5000.0), amount, rng.uniform(0.1, 0.5))
    build = Build(2, fails=rng.choice((0.0, 0.0, 0.5)))
    scenario = Scenario(releases=(Release(rng.uniform(1000.0, 8000.0), build),), faults=(fault,))
    load = synthesize(fleet, PROFILES["steady"], per_s, seconds, seed)
    again = rng.choice((0.0, 700.0))
    together = parts(gateways, 1.3 * per_s, 50.0, again)
    world = World(fleet, load, seed, scenario, trace=trace, together=together)
    moment = 2000.0
    while moment < seconds * 1000.0 - 4000.0:
        world.clock.at(moment, lambda: strike(world, rng))
        moment += rng.expovariate(1 / 1200.0)
    world.run_until(seconds * 1000.0 + 30_000.0)  # whatever is open has its end by then
    return world.finish()


def strike(world: World, rng: Random) -> None:
    """One fault of a gateway or of its ledger; each passes by itself."""
    gateway = rng.choice(world.gateways)
    lasts, choice = rng.uniform(200.0, 5000.0), rng.random()
    assert world.ledger is not None
    ledger, clock = world.ledger, world.clock
    if choice < 0.2:
        kill(world, gateway, lasts)
    elif choice < 0.4:
        pause(world, gateway, lasts)
    elif choice < 0.5 and gateway.alive and not gateway.paused and not gateway.leaving:
        gateway.stop(rng.uniform(200.0, 2000.0))
        clock.after(2000.0 + lasts, lambda: start(gateway))
    elif choice < 0.75:
        step: Any = rng.choice(list(STEPS))
        act = rng.choice((kill, pause))
        world.failpoints.set(step, lambda g: act(world, g, lasts), gateway.number, rng.randrange(4))
    else:
        who = rng.choice((None, gateway.number, gateway.number))
        ledger.trouble(rng.choice(TROUBLES), who)
        clock.after(lasts, lambda: ledger.trouble(None, who))


def kill(world: World, gateway: Gateway, lasts: float) -> None:
    gateway.kill()
    world.clock.after(lasts, lambda: start(gateway))


def start(gateway: Gateway) -> None:
    if not gateway.alive:
        gateway.start()


def pause(world: World, gateway: Gateway, lasts: float) -> None:
    gateway.pause()
    world.clock.after(lasts, gateway.wake)


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
    a = parser.parse_args()
    if a.what == "scale":
        return scale(a.gateways, a.seed, a.seconds, a.rate)
    return soak(range(a.seed, a.seed + a.seeds), a.seconds)


if __name__ == "__main__":
    sys.exit(main())
