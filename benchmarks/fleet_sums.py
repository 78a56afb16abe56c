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

from meadowpulley.cli.demo import demo_fleet
from meadowpulley.emulator import Build, Emulation, Fault, Release, Scenario
from meadowpulley.fleet import Fleet
from meadowpulley.interface import SendGossip, Vote
from meadowpulley.load import PROFILES, synthesize
from meadowpulley.policy import LIST_CALL_SPACING_MS
from meadowpulley.rules import AttemptSent, EndpointListed, Record

PER_GATEWAY = 4.0  # requests a second
SECONDS = 30.0
RELEASE_MS, CRASH_MS, OUTAGE_MS = 4000.0, 22_000.0, 4000.0


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


class CountingEmulation(Emulation):
    """A run that counts what all gateways do together."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.counts_by_second: dict[str, Counter[int]] = defaultdict(Counter)
        self.entries_known: dict[
            tuple[int, int], tuple[str, int]
        ] = {}  # by gateway and server: state and build
        # By server, state and build: when each gateway first knew of the change.
        self.entries_listed: dict[tuple[int, str, int], dict[int, float]] = defaultdict(dict)
        self.cold_servers: Counter[tuple[int, int]] = Counter()  # sends by server and span
        self.max_cold_servers = 0.0  # of what may be sent in a span
        load = synthesize(fleet, PROFILES["steady"], PER_GATEWAY * len(fleet.gateway_sites()), SECONDS, seed)
        scenario = Scenario(
            releases=(Release(RELEASE_MS, Build(number=2)),),
            faults=(Fault("crash", CRASH_MS, OUTAGE_MS, share=0.05),),
        )
        super().__init__(fleet, load, seed, scenario, on_record=self._observe)
        watch_enabled = self.discovery.subscribe

        def count_update(gateway: int) -> None:
            self.count("list calls")
            watch_enabled(gateway)

        self.discovery.subscribe = count_update  # type: ignore[method-assign]

    def count(self, what: str, times: int = 1) -> None:
        self.counts_by_second[what][int(self.clock.now / 1000)] += times

    def _observe(self, record: Record) -> None:
        if isinstance(record, EndpointListed):
            now = (record.state, record.build)
            if self.entries_known.get((record.gateway, record.server)) != now and record.at > 0.0:
                self.entries_listed[record.server, *now].setdefault(record.gateway, record.at)
            self.entries_known[record.gateway, record.server] = now
        elif isinstance(record, AttemptSent):
            self._attempt_sent(record)

    def _attempt_sent(self, sent: AttemptSent) -> None:
        server, rules = self.servers.get(sent.server), self.fleet.rules
        if server is None or not server.entry.started_ms:
            return
        kind = self.fleet.kinds[server.entry.kind]
        age_ms = self.clock.now - server.entry.started_ms
        if age_ms >= kind.slow_start_ms:
            return
        window_ms = int(age_ms / rules.overload_window_ms)
        self.cold_servers[sent.server, window_ms] += 1
        # At the least that it can do in the middle of the span.
        grown = min((window_ms + 0.5) * rules.overload_window_ms / kind.slow_start_ms, 1.0)
        capacity = (kind.slow_start_from + (1 - kind.slow_start_from) * grown) * kind.cores * kind.speed
        limit = rules.overload_multiple * capacity * rules.overload_window_ms / self.fleet.mean_work_ms()
        self.max_cold_servers = max(self.max_cold_servers, self.cold_servers[sent.server, window_ms] / limit)

    def transmit(self, gateway: Any, attempt: Any, new_connection: bool) -> None:
        if new_connection:
            self.count("connections opened")
        super().transmit(gateway, attempt, new_connection)

    def send_gossip(self, gateway: Any, action: SendGossip) -> None:
        self.count("datagrams heard", len(self.gateways) - 1)
        super().send_gossip(gateway, action)

    def send_vote(self, gateway: Any, vote: Vote) -> None:
        self.count("votes")
        super().send_vote(gateway, vote)


def main() -> None:
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="+", default=[40, 100, 200])
    chosen = parser.parse_args()
    kinds = ("list calls", "connections opened", "datagrams heard", "votes")
    print("| gateways, servers | requests", end="")
    for kind in kinds:
        print(f" | {kind}: all, most in a second", end="")
    print(" | most connections held | a change is known by all after, ms: median, most", end="")
    print(" | most sends on a cold server, of its limit | rules broken |")
    print("| --- " * (len(kinds) + 6) + "|")
    for size in chosen.sizes:
        emulation, in_flight = CountingEmulation(fleet_of(size), chosen.seed), 0
        while not emulation.over:
            emulation.run_until(emulation.clock.now + 1000.0)
            in_flight = max(in_flight, sum(g.open for g in emulation.gateways))
        result = emulation.finish()
        # Changes after the first calls for the list, which are spread over time by the number of gateways.
        changes = [list(times.values()) for times in emulation.entries_listed.values()]
        late_ms = [t for t in changes if len(t) == size and min(t) > LIST_CALL_SPACING_MS * size]
        known = sorted(max(times) - min(times) for times in late_ms)
        sums = [emulation.counts_by_second[k] for k in kinds]
        print(f"| {size}, {len(emulation.fleet.machines())} | {result.calls}", end="")
        for per_second in sums:
            print(f" | {per_second.total()}, {max(per_second.values(), default=0)}", end="")
        times = f"{known[len(known) // 2]:.0f}, {known[-1]:.0f}" if known else "-"
        print(
            f" | {in_flight} | {times} | {emulation.max_cold_servers:.2f} | "
            f"{result.violation_counts or 'none'} |"
        )


if __name__ == "__main__":
    main()
