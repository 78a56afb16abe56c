"""What a fleet does in sum, by its size: list calls, connections, cold sends, datagrams, votes.

Real decisions in virtual time; each size has three quarters as many servers as gateways, the same load for
each gateway, one good release and a crash of one server in twenty. Nothing may grow faster than the fleet.

    .venv/bin/python benchmarks/fleet_sums.py [--seed N] [--sizes 40 100 200]
"""

from __future__ import annotations

import argparse
from collections import Counter, defaultdict
from typing import Any

from msgspec.structs import replace

from meadowpulley.balance import LIST_EACH_MS
from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import Build, Fault, Release, Scenario, World
from meadowpulley.fleet import Fleet
from meadowpulley.interface import SendGossip, Vote
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.rules import Listed, Record, Sent

PER_GATEWAY = 4.0  # requests a second
SECONDS = 30.0
RELEASE_MS, CRASH_MS, DOWN_MS = 4000.0, 22_000.0, 4000.0


def fleet_of(gateways: int) -> Fleet:
    """The demo's sites and classes, with so many gateways and servers that are half busy."""
    base = demo_fleet()
    sites = len(base.gateways)
    part = 0.75 * gateways / sum(s.count for s in base.servers)
    servers = tuple(replace(s, count=max(round(s.count * part), 1)) for s in base.servers)
    fronts = tuple(
        replace(g, count=gateways // sites + (n < gateways % sites)) for n, g in enumerate(base.gateways)
    )
    fleet = replace(base, servers=servers, gateways=fronts)
    fast = PER_GATEWAY * gateways / (0.5 * fleet.capacity() * 1000 / fleet.mean_work_ms())
    return replace(fleet, kinds=tuple(replace(k, speed=k.speed * fast) for k in fleet.kinds))


class Counted(World):
    """A run that counts what all gateways do together."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.known: dict[tuple[int, int], tuple[str, int]] = {}  # by gateway and server: state and build
        # By server, state and build: when each gateway first knew of the change.
        self.listed: dict[tuple[int, str, int], dict[int, float]] = defaultdict(dict)
        self.cold: Counter[tuple[int, int]] = Counter()  # sends by server and span
        self.cold_most = 0.0  # of what may be sent in a span
        load = synthesize(fleet, PROFILES["steady"], PER_GATEWAY * len(fleet.gateway_sites()), SECONDS, seed)
        scenario = Scenario(
            releases=(Release(RELEASE_MS, Build(number=2)),),
            faults=(Fault("crash", CRASH_MS, DOWN_MS, part=0.05),),
        )
        super().__init__(fleet, load, seed, scenario, trace=self._see)
        watch = self.discovery.watch

        def counted(gateway: int) -> None:
            self.count("list calls")
            watch(gateway)

        self.discovery.watch = counted  # type: ignore[method-assign]

    def count(self, what: str, times: int = 1) -> None:
        self.by_second[what][int(self.clock.now / 1000)] += times

    def _see(self, record: Record) -> None:
        if isinstance(record, Listed):
            now = (record.state, record.build)
            if self.known.get((record.gateway, record.server)) != now and record.at > 0.0:
                self.listed[record.server, *now].setdefault(record.gateway, record.at)
            self.known[record.gateway, record.server] = now
        elif isinstance(record, Sent):
            self._sent(record)

    def _sent(self, sent: Sent) -> None:
        host, rules = self.hosts.get(sent.server), self.fleet.rules
        if host is None or not host.entry.started_ms:
            return
        kind = self.fleet.kinds[host.entry.kind]
        age = self.clock.now - host.entry.started_ms
        if age >= kind.cold_ms:
            return
        span = int(age / rules.fall_ms)
        self.cold[sent.server, span] += 1
        # At the least that it can do in the middle of the span.
        grown = min((span + 0.5) * rules.fall_ms / kind.cold_ms, 1.0)
        able = (kind.cold_from + (1 - kind.cold_from) * grown) * kind.cores * kind.speed
        limit = rules.fall_multiple * able * rules.fall_ms / self.fleet.mean_work_ms()
        self.cold_most = max(self.cold_most, self.cold[sent.server, span] / limit)

    def travel(self, gateway: Any, attempt: Any, fresh: bool) -> None:
        if fresh:
            self.count("connections opened")
        super().travel(gateway, attempt, fresh)

    def datagram(self, gateway: Any, action: SendGossip) -> None:
        self.count("datagrams heard", len(self.gateways) - 1)
        super().datagram(gateway, action)

    def cast(self, gateway: Any, vote: Vote) -> None:
        self.count("votes")
        super().cast(gateway, vote)


def main() -> None:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=[40, 100, 200])
    wanted = parser.parse_args()
    kinds = ("list calls", "connections opened", "datagrams heard", "votes")
    print("| gateways, servers | requests", end="")
    for kind in kinds:
        print(f" | {kind}: all, most in a second", end="")
    print(" | most connections held | a change is known by all after, ms: median, most", end="")
    print(" | most sends on a cold server, of its limit | rules broken |")
    print("| --- " * (len(kinds) + 6) + "|")
    for size in wanted.sizes:
        world, held = Counted(fleet_of(size), wanted.seed), 0
        while not world.over:
            world.run_until(world.clock.now + 1000.0)
            held = max(held, sum(g.open for g in world.gateways))
        result = world.finish()
        # Changes after the first calls for the list, which are spread over time by the number of gateways.
        changes = [list(times.values()) for times in world.listed.values()]
        late = [t for t in changes if len(t) == size and min(t) > LIST_EACH_MS * size]
        known = sorted(max(times) - min(times) for times in late)
        sums = [world.by_second[k] for k in kinds]
        print(f"| {size}, {len(world.fleet.machines())} | {result.asks}", end="")
        for by in sums:
            print(f" | {by.total()}, {max(by.values(), default=0)}", end="")
        times = f"{known[len(known) // 2]:.0f}, {known[-1]:.0f}" if known else "-"
        print(f" | {held} | {times} | {world.cold_most:.2f} | {result.broken or 'none'} |")


if __name__ == "__main__":
    main()
