"""Soak: random, overlapping faults over real gateway processes on loopback, judged by the rules checker.

    benchmarks/fault_soak.py --seeds 1-10 --gateways 24 --seconds 25

A row for each seed: requests, share served, crossed and restarted, violations by rule. Ends with 1 where a
rule was broken, with 2 where a run did not come about. A run whose test bed was too slow is marked; a broken
rule counts all the same.
"""

from __future__ import annotations

import argparse
import sys

from meadowpulley.loopback import LoopbackError, run_loopback
from meadowpulley.loopback.soak import soak_plan

MAX_GATEWAYS = 60
BROKEN, NOT_RUN = 1, 2


def parse_seeds(text: str) -> list[int]:
    """Parse seeds: '7', '1-10', or several with commas. Raises ValueError."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def run_seed(seed: int, gateways: int, seconds: float) -> int:
    """Run one seed, print its row, and return the exit code."""
    plan = soak_plan(seed, gateways, seconds)
    kinds: list[str] = [*sorted({f.kind for f in plan.process_faults})]
    kinds += sorted({f.kind for f in plan.discovery_faults})
    kinds += sorted({f.kind for f in plan.scenario.faults})
    try:
        result = run_loopback(plan)
    except LoopbackError as error:
        print(f"seed {seed}: not run: {error}", flush=True)
        return NOT_RUN
    faults = sum(
        n for c in result.counters for name, n in c.items() if name.startswith(("fault.", "violation."))
    )
    print(
        f"seed {seed}: asked {result.figures['asked']:.0f}, served {result.figures['worth']:.3f}, "
        f"crossed {result.crossed_requests}, restarts {len(result.restart_ms)} "
        f"(longest {max(result.restart_ms, default=0.0):.0f} ms), gateway faults {faults}, "
        f"memory {max(result.memory_mb):.1f} of {plan.memory_mb:.0f} MB, "
        f"broken {result.violation_counts or 'none'}; {', '.join(kinds)}"
        + (f"; test bed: {'; '.join(result.limiting_factors[:3])}" if result.limiting_factors else ""),
        flush=True,
    )
    for violation in result.violations[:5]:
        print(f"    {violation}", flush=True)
    is_over_memory = max(result.memory_mb) > plan.memory_mb
    return BROKEN if result.violation_counts or faults or is_over_memory else 0


def main() -> int:
    """Run the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-5")
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--seconds", type=float, default=25.0)
    arguments = parser.parse_args()
    try:
        seeds = parse_seeds(arguments.seeds)
    except ValueError:
        parser.error(f"--seeds: '{arguments.seeds}' names no seeds; write 7, 1-10 or 1,5,9")
    if not 2 <= arguments.gateways <= MAX_GATEWAYS:
        parser.error(f"--gateways: {arguments.gateways} is not from 2 to {MAX_GATEWAYS}")
    return max(run_seed(seed, arguments.gateways, arguments.seconds) for seed in seeds)


if __name__ == "__main__":
    sys.exit(main())
