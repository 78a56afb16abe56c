"""Capacity lent between tenants, measured: real stages over a ledger in memory, in virtual time.

    .venv/bin/python benchmarks/lending.py [--quick] [--seed N]

Tables: the return of an owner by size of the fleet, beside no lending, first come, first served, and an
oracle that divides each second's arrivals max-min; fairness among borrowers and an owner that comes and goes;
what is rejected below the capacity; operations of the ledger by gateways and tenants; the sum of what is
admitted under random faults. Exits with 1 when the sum is ever above the capacity, or an owner does not get
99% of its entitlement one term after its return.
"""

from __future__ import annotations

import argparse
import math
import sys
from collections import Counter
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))  # as a script, its own folder stands there


from benchmarks.lending_faults import random_faults
from benchmarks.lending_fleet import Rates, SimulatedFleet
from meadowpulley.lending import Quota, QuotaPlan
from meadowpulley.lending.max_min_fairness import divide_capacity

SIZES = {3: 300.0, 40: 2000.0, 200: 4000.0}  # gateways, and requests a second of all together
AWAY, BACK, END = 4.0, 12.0, 24.0  # seconds: the owner goes, returns, and the run ends
MIN_RETURN_FRACTION = 0.99  # of the owner's due, from one term after its return
SHARES = (Quota("owner", 0.5), Quota("b", 0.3, 3.0), Quota("c", 0.2, 2.0), Quota("d", 0.0, 1.0))
MAX_OPERATIONS_GROWTH = 1.6  # operations of each gateway at 200, by those at 40, at most


def returning(gateways: int, capacity: float, demand: float) -> Rates:
    """Rates of an owner that pauses and returns at a quarter of the gateways; others demand all."""
    at = set(range(0, gateways, 4))

    def rates(second: float, gateway: int) -> dict[int, float]:
        found = {tenant: capacity * 0.6 / gateways for tenant in (1, 2, 3)}
        if gateway in at and not AWAY <= second < BACK:
            found[0] = demand * 0.5 * capacity / len(at)
        return found

    return rates


def reference_policies(plan: QuotaPlan, arrived: Counter[int]) -> tuple[float, float, float]:
    """Fractions of the capacity that an oracle, no lending, and first come, first served would admit."""
    capacity, demands = plan.capacity_per_s, [float(arrived[n]) for n in range(len(plan.tenants))]
    shares, weights = [t.fraction * capacity for t in plan.tenants], [t.weight for t in plan.tenants]
    own, borrowed = divide_capacity(capacity, demands, shares, weights)
    quotas = sum(min(ask, share) for ask, share in zip(demands, shares, strict=True))
    return (sum(own) + sum(borrowed)) / capacity, quotas / capacity, min(sum(demands) / capacity, 1.0)


class BenchmarkVerdict:
    def __init__(self) -> None:
        self.failed: list[str] = []
        self.max_rate_fraction, self.max_excess = 0.0, 0.0

    def check_sum(self, fleet: SimulatedFleet, where: str) -> None:
        """Check the sum: of the rates at every check, and of the admissions over every window."""
        self.max_rate_fraction = max(self.max_rate_fraction, fleet.max_rate_fraction)
        excess = fleet.max_excess / fleet.stated_burst
        self.max_excess = max(self.max_excess, excess)
        if fleet.max_rate_fraction > 1 + 1e-9 or excess > 1:
            self.failed.append(
                f"{where}: rates up to {fleet.max_rate_fraction:.4f}, windows to {excess:.2f} of the burst"
            )


def owner_returns(verdict: BenchmarkVerdict, seed: int) -> dict[int, float]:
    print("\nAn owner returns (second 0): fraction of its entitlement admitted, by second; capacity used")
    backs: dict[int, float] = {}
    for gateways, capacity in SIZES.items():
        for demand in (0.9, 1.2):
            plan = QuotaPlan(1, capacity, gateways, SHARES)
            fleet = SimulatedFleet(plan, gateways, seed, returning(gateways, capacity, demand))
            fleet.run(END * 1000)
            verdict.check_sum(fleet, f"owner returns, {gateways} gateways")
            due = {s: min(fleet.arrived[s][0], 0.5 * capacity) for s in range(int(BACK), int(END))}
            part = {s: fleet.admitted[s][0] / max(due[s], 1) for s in due}
            late = [s for s in due if s >= BACK + plan.term_ms / 1000]
            back = sum(fleet.admitted[s][0] for s in late) / sum(due[s] for s in late)
            backs[gateways] = min(backs.get(gateways, 1.0), back)
            if back < MIN_RETURN_FRACTION:
                verdict.failed.append(
                    f"owner at {back:.4f} of its entitlement, {gateways} gateways, demanding {demand:g}"
                )
            used = [sum(fleet.admitted[s].values()) / capacity for s in range(6, int(END))]
            ideals = [reference_policies(plan, fleet.arrived[s]) for s in range(6, int(END))]
            means = [sum(column) / len(used) for column in zip(*ideals, strict=True)]
            shown = " ".join(f"{part[s]:.2f}" for s in list(due)[:8])
            print(
                f"{gateways:4d} gateways, demands {demand:g} of its quota: "
                f"{shown}; after one term {back:.4f};\n"
                f"     used {sum(used) / len(used):.3f}, oracle {means[0]:.3f}, no lending {means[1]:.3f}, "
                f"first come, first served {means[2]:.3f}"
            )
    return backs


def borrowers(verdict: BenchmarkVerdict, seed: int) -> float:
    """Measure fairness by weight among borrowers, how much rates move, and an owner that comes and goes."""
    gateways, capacity = 40, 2000.0
    steady = SimulatedFleet(
        QuotaPlan(1, capacity, gateways, SHARES), gateways, seed, lambda s, g: hungry(capacity / gateways)
    )
    steady.run(16_000)
    verdict.check_sum(steady, "borrowers")
    seconds = range(6, 16)
    # What each has beyond its own quota, by its weight: equal where the division is max-min by weight.
    lent = [
        (sum(steady.admitted[s][n] for s in seconds) / len(seconds) - SHARES[n].fraction * capacity)
        / SHARES[n].weight
        for n in (1, 2, 3)
    ]
    jain = sum(lent) ** 2 / (len(lent) * sum(x * x for x in lent))
    moves = [deviation([steady.admitted[s][n] for s in seconds]) for n in (1, 2, 3)]

    def flaps(second: float, gateway: int) -> dict[int, float]:
        away = int(second) % 4 >= 2
        return hungry(capacity / gateways) | ({} if away else {0: 0.45 * capacity / gateways})

    flapping = SimulatedFleet(QuotaPlan(1, capacity, gateways, SHARES), gateways, seed, flaps)
    flapping.run(20_000)
    verdict.check_sum(flapping, "flapping owner")
    on = [s for s in range(8, 20) if s % 4 < 2]
    due = sum(min(flapping.arrived[s][0], 0.5 * capacity) for s in on)
    got = sum(flapping.admitted[s][0] for s in on) / due
    used = sum(sum(flapping.admitted[s].values()) for s in range(8, 20)) / 12 / capacity
    print(
        f"\nBorrowers at {gateways} gateways: Jain {jain:.4f} by weight; from second to second each moves by"
    )
    print(
        f"{', '.join(f'{m:.3f}' for m in moves)} of its mean; an owner that comes and goes every 2 s is given"
    )
    print(f"{got:.3f} of its due, and {used:.3f} of the capacity is used")
    return jain


def hungry(each: float) -> dict[int, float]:
    return {1: each * 0.9, 2: each * 0.9, 3: each * 0.9}


def deviation(values: list[int]) -> float:
    mean = sum(values) / len(values)
    return math.sqrt(sum((v - mean) ** 2 for v in values) / len(values)) / max(mean, 1.0)


def below_capacity(verdict: BenchmarkVerdict, seed: int) -> None:
    """Measure what is rejected below the capacity: many small tenants with uneven arrivals."""
    gateways, tenants, capacity = 40, 100, 800.0
    rng, plan = Random(seed), QuotaPlan(1, 800.0, 40, tuple(Quota(f"t{n}", 0.01) for n in range(tenants)))
    active = {g: rng.sample(range(tenants), 20) for g in range(gateways)}
    found = []
    for load in (0.5, 0.7, 0.9):
        each = load * capacity / gateways / 20
        fleet = SimulatedFleet(plan, gateways, seed, lambda s, g, e=each: dict.fromkeys(active[g], e))  # type: ignore[misc]
        fleet.run(14_000)
        verdict.check_sum(fleet, f"load {load:g}")
        counts = [sum(sum(c[s].values()) for s in range(4, 14)) for c in (fleet.arrived, fleet.admitted)]
        found.append(f"{1 - counts[1] / counts[0]:.3f} at {load:g}")
    print(f"\nRejected below the capacity ({gateways} gateways, 20 tenants each, 20 requests a second each):")
    print(f"{', '.join(found)} of it")


def operations(verdict: BenchmarkVerdict, seed: int) -> dict[tuple[int, int], float]:
    """Return the transactions per second of each gateway, by gateways and tenants."""
    print("\nLedger per second (transactions, commits, records read; kB written), 20 tenants at each gateway")
    found: dict[tuple[int, int], float] = {}
    for gateways, tenants in ((3, 20), (40, 20), (40, 1000), (200, 20), (200, 1000)):
        rng, capacity = Random(seed), 10.0 * gateways
        active = {g: rng.sample(range(tenants), 20) for g in range(gateways)}
        plan = QuotaPlan(1, capacity, gateways, tuple(Quota(f"t{n}", 1 / tenants) for n in range(tenants)))
        fleet = SimulatedFleet(plan, gateways, seed, lambda s, g, a=active: dict.fromkeys(a[g], 0.4))  # type: ignore[misc]
        fleet.run(4000)
        before, written = Counter(fleet.ledger_operations), fleet.bytes_written
        fleet.run(9000)
        verdict.check_sum(fleet, f"{gateways} gateways, {tenants} tenants")
        each = {kind: (fleet.ledger_operations[kind] - before[kind]) / 5 for kind in fleet.ledger_operations}
        found[gateways, tenants] = each["transactions"] / gateways
        print(
            f"{gateways:4d} gateways, {tenants:4d} tenants: {each['transactions']:.0f}, "
            f"{each['commits']:.0f}, "
            f"{each['read records']:.0f}; {(fleet.bytes_written - written) / 5000:.0f}; "
            f"conflicts {each.get('conflicts', 0):.1f}; {each['transactions'] / gateways:.2f} each"
        )
    growth = max(found[200, t] / found[40, t] for t in (20, 1000))
    if growth > MAX_OPERATIONS_GROWTH:
        verdict.failed.append(f"transactions of each gateway grow {growth:.2f} times from 40 to 200")
    return found


def faults(verdict: BenchmarkVerdict, seed: int, quick: bool) -> int:
    print("\nRandom faults (gateways killed, paused, replaced while paused, disconnected, results lost)")
    total = 0
    runs = [(6, 300.0, 2000.0, n) for n in range(6 if quick else 30)]
    runs += [(40, 800.0, 1500.0, n) for n in range(1 if quick else 6)]
    runs += [] if quick else [(200, 1000.0, 400.0, 0)]
    for gateways, capacity, each_ms, n in runs:
        # Short floors, so that lives of one name meet; clocks as wrong as the plan allows.
        plan = QuotaPlan(1, capacity, gateways, SHARES, floor_term_ms=20_000.0, drift=0.01)
        fleet = SimulatedFleet(plan, gateways, seed * 1000 + n, returning(gateways, capacity, 1.2))
        counts = random_faults(fleet, seed * 1000 + n, 50_000, each_ms)
        fleet.run(60_000)
        verdict.check_sum(fleet, f"faults, {gateways} gateways, seed {seed * 1000 + n}")
        total += sum(counts.values())
        used = sum(sum(fleet.admitted[s].values()) for s in range(60)) / 60 / capacity
        print(
            f"{gateways:4d} gateways: {sum(counts.values())} faults; "
            f"rates up to {fleet.max_rate_fraction:.4f} of all, "
            f"windows {fleet.max_excess:.0f} of {fleet.stated_burst:.0f} stated; used {used:.3f}"
        )
    return total


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="fewer runs with faults: about a minute")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    verdict = BenchmarkVerdict()
    backs = owner_returns(verdict, options.seed)
    jain = borrowers(verdict, options.seed)
    below_capacity(verdict, options.seed)
    transactions = operations(verdict, options.seed)
    count = faults(verdict, options.seed, options.quick)
    for failure in verdict.failed:
        print(f"FAILED {failure}")
    passed, over = "failed" if verdict.failed else "passed", max(verdict.max_rate_fraction - 1, 0)
    owners = ", ".join(f"{back:.3f} ({n} gateways)" for n, back in backs.items())
    print(
        f"\nLending, seed {options.seed}: {passed}: owner one term after its "
        f"return at {owners} of its due; overshoot {over:.4f} under {count} faults, "
        f"worst window {verdict.max_excess:.2f} of its stated burst; Jain {jain:.3f}; "
        f"{transactions[40, 1000]:.1f} and {transactions[200, 1000]:.1f} ledger transactions per second "
        f"for each of 40 and 200 "
        f"gateways with 1,000 tenants."
    )
    return 1 if verdict.failed else 0


if __name__ == "__main__":
    sys.exit(main())
