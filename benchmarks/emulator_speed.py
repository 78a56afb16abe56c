"""Emulated requests per second of wall time, by the size of the fleet. Speeds are quoted as ratios to the
smallest.

    .venv/bin/python benchmarks/emulator_speed.py [--seed N]
"""

from __future__ import annotations

import argparse
import time

from msgspec.structs import replace

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import World
from meadowpulley.load import PROFILES, synthesize

SIZES = (10, 100, 1000)
REQUESTS = 6000.0
UTILISATION = 0.5


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    base = demo_fleet()
    first = 0.0
    print("| servers | gateways | requests | wall seconds | requests a second | ratio | events a request |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        part = size / 10
        servers = tuple(replace(s, count=max(round(s.count * part * 10 / 12), 1)) for s in base.servers)
        gateways = tuple(replace(g, count=max(round(part / 10), 1)) for g in base.gateways)
        fleet = replace(base, servers=servers, gateways=gateways)
        per_s = UTILISATION * fleet.capacity() * 1000 / fleet.mean_work_ms()
        load = synthesize(fleet, PROFILES["steady"], per_s, REQUESTS / per_s, seed)
        world = World(fleet, load, seed)
        began = time.perf_counter()
        result = world.run()
        took = time.perf_counter() - began
        speed = result.asks / took
        first = first or speed
        assert not result.broken
        print(
            f"| {len(fleet.machines())} | {len(world.gateways)} | {result.asks} | {took:.1f} | {speed:.0f} | "
            f"{speed / first:.2f} | {world.virtual.ran / result.asks:.1f} |"
        )


if __name__ == "__main__":
    main()
