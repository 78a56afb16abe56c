"""Emulated requests per second of wall time, by the size of the fleet. Speeds are quoted as ratios to the
smallest.

    .venv/bin/python benchmarks/emulator_speed.py [--seed N]
"""

from __future__ import annotations

import argparse
import time

from msgspec.structs import replace

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import Emulation
from meadowpulley.load import PROFILES, synthesize

SIZES = (10, 100, 1000)
REQUESTS = 6000.0
UTILISATION = 0.5


def main() -> None:
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    base = demo_fleet()
    first_speed = 0.0
    print("| servers | gateways | requests | wall seconds | requests a second | ratio | events a request |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for size in SIZES:
        part = size / 10
        servers = tuple(replace(s, count=max(round(s.count * part * 10 / 12), 1)) for s in base.servers)
        gateways = tuple(replace(g, count=max(round(part / 10), 1)) for g in base.gateways)
        fleet = replace(base, servers=servers, gateways=gateways)
        per_s = UTILISATION * fleet.capacity() * 1000 / fleet.mean_work_ms()
        load = synthesize(fleet, PROFILES["steady"], per_s, REQUESTS / per_s, seed)
        emulation = Emulation(fleet, load, seed)
        started_at = time.perf_counter()
        result = emulation.run()
        elapsed_s = time.perf_counter() - started_at
        speed = result.calls / elapsed_s
        first_speed = first_speed or speed
        assert not result.violation_counts
        print(
            f"| {len(fleet.machines())} | {len(emulation.gateways)} | {result.calls} | {elapsed_s:.1f} | "
            f"{speed:.0f} | "
            f"{speed / first_speed:.2f} | {emulation.virtual_clock.calls_run / result.calls:.1f} |"
        )


if __name__ == "__main__":
    main()
