"""Measures the ledger on a real disk: its cost, and how soon a lost gateway is fenced.

    .venv/bin/python benchmarks/ledger.py [--quick] [--seed N] [--folder FOLDER]

Exits with 1 when a rule breaks: a claim with two winners or none, a lost gateway that is not fenced within
its bound, a log that grows beyond its limit, or reads of a member that grow with the fleet.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    Create,
    Fence,
    LeaseManager,
    LeaseTimings,
    LedgerChanged,
    Remove,
    RenewLease,
    Transaction,
    WatchRequest,
)
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.ledger.failpoints import FAILPOINTS_VARIABLE as FAILPOINTS
from meadowpulley.net.deadlines import now_ms

GATEWAY_SCRIPT = Path(__file__).with_name("ledger_gateway.py")
TERM_MS, POLL_MS = 1000.0, 25.0
ENVIRON = {"TERM_MS": "1000", "POLL_MS": "25", "WAIT_MS": "230"}
RECORD_VALUE = bytes(300)
TRANSACTIONS_PER_SECOND = 600.0  # of each gateway: those of about 200 requests
CRASH_FAILPOINTS = (
    "begin.begun",
    "renew.renamed",
    "log.append",
    "log.appended",
    "log.read",
    "roll.written",
    "roll.linked",
)


class GatewayProcess:
    """A process of `ledger_gateway.py`, and the JSON lines that it prints."""

    def __init__(
        self, folder: Path, name: str, rate: float, failpoints: str = "", log_mb: float = 32.0
    ) -> None:
        environ = {f"MEADOWPULLEY_LEDGER_{key}": value for key, value in ENVIRON.items()}
        environ |= {
            "MEADOWPULLEY_LEDGER": str(folder),
            FAILPOINTS: failpoints,
            "MEADOWPULLEY_LEDGER_MB": str(log_mb),
        }
        command = [sys.executable, str(GATEWAY_SCRIPT), name, str(rate)]
        self.process = subprocess.Popen(
            command, env={**os.environ, **environ}, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def read_event(self, key: str) -> dict[str, Any]:
        """Return the next line that has this key. Raises RuntimeError if the process ends before."""
        assert self.process.stdout is not None
        for line in self.process.stdout:
            event: dict[str, Any] = json.loads(line)
            if key in event:
                return event
        raise RuntimeError(f"a gateway ended without '{key}'")

    def finish(self) -> dict[str, Any]:
        """Let the gateway shut down; return its summary."""
        assert self.process.stdin is not None
        self.process.stdin.write("end\n")
        self.process.stdin.flush()
        return self.read_event("took")

    def kill(self) -> None:
        """Kill the process, and wait for its end."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


@contextmanager
def gateways(folder: Path, count: int, rate: float) -> Iterator[list[GatewayProcess]]:
    """Run gateways on one ledger, each with that many transactions a second."""
    processes = [GatewayProcess(folder, f"n{n}", rate) for n in range(count)]
    try:
        for process in processes:
            process.read_event("began")
        yield processes
    finally:
        for process in processes:
            process.kill()


# Measurements


def measure_commits(base: Path, duration_s: float) -> dict[str, float]:
    """Return the transactions a second of one process, by batch size; print how long a batch takes."""
    rates = {}
    for sync in (False, True):
        for batch_size in (1, 32):
            folder = base / f"commits-{sync}-{batch_size}"
            folder.mkdir()
            store = DiskStore(str(folder), sync=sync)
            incarnation, batch_ms, number, began = (
                store.register("a", 1000.0),
                list[float](),
                0,
                time.monotonic(),
            )
            while time.monotonic() - began < duration_s:
                batch_started = time.monotonic()
                keys = [f"k{(number + n) % 2000}" for n in range(batch_size)]
                results = store.commit(
                    incarnation, [Transaction((Create(key, RECORD_VALUE),)) for key in keys]
                )
                store.commit(
                    incarnation,
                    [Transaction((Remove(k, d.version),)) for k, d in zip(keys, results, strict=True)],
                )
                batch_ms.append((time.monotonic() - batch_started) / 2 * 1000.0)
                number += batch_size
            rate = 2 * number / (time.monotonic() - began)
            name = f"{'sync' if sync else 'plain'}, groups of {batch_size}"
            rates[name] = rate
            print(f"  {name}: {rate:.0f} steps/s, a group {format_quantiles(batch_ms)} ms")
    return rates


def format_quantiles(values: Sequence[float]) -> str:
    """Return the median, the 99th percentile and the maximum as text."""
    parts = statistics.quantiles(values, n=1000)
    return f"p50 {parts[499]:.2f}, p99 {parts[989]:.2f}, most {max(values):.2f}"


def measure_latency(folder: Path, duration_s: float) -> tuple[float, float]:
    """Run four gateways; return the 99th percentiles of commit latency and reactor delay, in milliseconds."""
    folder.mkdir()
    with gateways(folder, 4, TRANSACTIONS_PER_SECOND) as processes:
        time.sleep(duration_s)
        summaries = [process.finish() for process in processes]
    transaction_ms = [ms for end in summaries for ms in end["took"]]
    reactor_delays_ms = [ms for end in summaries for ms in end["lates"]]
    transactions_per_batch = sum(len(end["took"]) for end in summaries) / sum(
        end["counts"]["ledger.groups"] for end in summaries
    )
    print(
        f"  4 gateways, {TRANSACTIONS_PER_SECOND:.0f} steps/s each, {transactions_per_batch:.1f} a group:"
        f" a step takes {format_quantiles(transaction_ms)} ms;"
    )
    print(f"    their reactors are late by {format_quantiles(reactor_delays_ms)} ms")
    return statistics.quantiles(transaction_ms, n=100)[98], statistics.quantiles(reactor_delays_ms, n=100)[98]


class VirtualMember:
    """A lease manager on the disk, in virtual time."""

    def __init__(self, folder: Path, name: str) -> None:
        self.store = DiskStore(str(folder))
        self.lease_manager = LeaseManager(
            self.store.register(name, TERM_MS), LeaseTimings(term_ms=TERM_MS), self
        )
        self.version, self.next_due, self.renew_at = 0, 0.0, 0.0
        self.watched_names: tuple[str, ...] | None = ()
        self.members_read = self.renewal_count = 0

    def handle(self, now: float, event: Any) -> list[Any]:
        return []

    def carry_out(self, now: float, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, WatchRequest):
                self.watched_names = action.names
            elif isinstance(action, SetTimer):
                self.renew_at = now + action.delay_ms
            elif isinstance(action, Commit):
                results = self.store.commit(self.lease_manager.incarnation, action.transactions)
                self.renewal_count += Transaction((RenewLease(),)) in action.transactions
                self.carry_out(
                    now,
                    self.lease_manager.handle(
                        now, CommitCompleted(action.ticket, tuple(results), action.owner)
                    ),
                )

    def tick(self, now: float) -> None:
        if now >= self.renew_at:
            self.carry_out(now, self.lease_manager.handle(now, Timer(5)))
        changes = self.store.changes(self.version, (), self.watched_names)
        self.version, self.members_read = changes.version, self.members_read + len(changes.members)
        self.carry_out(now, self.lease_manager.handle(now, LedgerChanged(changes, now)))


def measure_membership_cost(base: Path, seconds: int, generator: random.Random) -> dict[int, float]:
    """Return the leases read for each member and second, by fleet size, in a fleet without requests."""
    reads_per_second = {}
    for member_count in (10, 50, 200):
        folder = base / f"growth-{member_count}"
        folder.mkdir()
        members = [VirtualMember(folder, f"n{n}") for n in range(member_count)]
        now = 0.0
        for member in members:
            member.carry_out(now, member.lease_manager.start(now))
        for _ in range(int(TERM_MS / POLL_MS)):
            now += POLL_MS
            for member in generator.sample(members, member_count):
                member.tick(now)
        log_size = sum(p.stat().st_size for p in folder.glob("log.*"))
        reads_before, renewals_before = (
            sum(m.members_read for m in members),
            sum(m.renewal_count for m in members),
        )
        began = time.process_time()
        for _ in range(int(seconds * 1000.0 / POLL_MS)):
            now += POLL_MS
            for member in generator.sample(members, member_count):
                member.tick(now)
        cpu_s = time.process_time() - began
        log_growth = sum(p.stat().st_size for p in folder.glob("log.*")) - log_size
        member_seconds = member_count * seconds
        reads_per_second[member_count] = (
            sum(m.members_read for m in members) - reads_before
        ) / member_seconds
        renewals = (sum(m.renewal_count for m in members) - renewals_before) / member_seconds
        print(
            f"  {member_count} members, each a second: {renewals:.1f} renewals,"
            f" {reads_per_second[member_count]:.0f} leases looked at,"
            f" {log_growth / member_seconds:.0f} bytes of log,"
            f" {cpu_s / member_seconds * 1000.0:.1f} ms of CPU"
        )
        for member in members:
            member.store.close()
    return reads_per_second


def measure_fencing_delay(base: Path, failpoints: Sequence[str]) -> tuple[list[float], list[float], float]:
    """Return the times from the loss of one of four gateways until all others know that it was fenced.

    Returned are those of killed gateways, those of stopped ones, and their bound, in milliseconds. A killed
    gateway counts as lost once it is reaped: its locks are free a little earlier.
    """
    bound_ms = 2.0 * TERM_MS * 1.02 + 0.3 * TERM_MS + 10 * POLL_MS
    times: dict[str, list[float]] = {"kill": [], "stop": []}
    for action in ("kill", "stop"):
        for failpoint in failpoints:
            folder = base / f"{action}-{failpoint}"
            folder.mkdir()
            with gateways(folder, 3, 50.0) as others:
                count = 1 if "begin" in failpoint or "roll" in failpoint else 5
                if "roll" in failpoint:
                    fill_log(folder)
                victim = GatewayProcess(folder, "victim", 50.0, f"{failpoint}={action}@{count}", log_mb=1.0)
                try:
                    os.waitpid(victim.process.pid, os.WUNTRACED)
                    lost_at = now_ms()
                    notified_at = [wait_for_fencing(process, "victim.1") for process in others]
                finally:
                    victim.kill()
                times[action].append(max(notified_at) - lost_at)
    for action, delays in times.items():
        each = ", ".join(f"{s} {t:.0f}" for s, t in zip(failpoints, delays, strict=True))
        print(f"  after {action}: all others know after {each} ms (bound {bound_ms:.0f})")
    return times["kill"], times["stop"], bound_ms


def fill_log(folder: Path) -> None:
    """Fill the log so that the next entry of a process with a limit of 1 MB ends the generation."""
    store = DiskStore(str(folder))
    incarnation = store.register("filler", 1000.0)
    for n in range(40):
        store.commit(incarnation, [Transaction((Create(f"f/{n}", bytes(27_000)),))])
    for record in store.scan("f/"):
        store.commit(incarnation, [Transaction((Remove(record.key, record.version),))])
    store.close()


def wait_for_fencing(process: GatewayProcess, incarnation: str) -> float:
    """Return when a gateway was notified that an incarnation was fenced."""
    while True:
        event = process.read_event("suspected")
        if [incarnation, True] in event["suspected"]:
            return float(event["at"])


def measure_compaction(folder: Path, record_count: int) -> tuple[float, float]:
    """Return the peak size of the folder, as a multiple of the limit, and the number of generations."""
    folder.mkdir()
    store, max_bytes, peak = DiskStore(str(folder), max_log_bytes=1 << 20), 1 << 20, 0
    incarnation, reader = store.register("a", 1000.0), DiskStore(str(folder))
    version, records_read = 0, 0
    for n in range(record_count):
        (result,) = store.commit(incarnation, [Transaction((Create(f"k{n}", RECORD_VALUE),))])
        if n % 50 == 0:
            changes = reader.changes(version, ("k",))
            version, records_read = changes.version, records_read + len(changes.records)
            peak = max(peak, sum(p.stat().st_size for p in folder.glob("*.*")))
        store.commit(incarnation, [Transaction((Remove(f"k{n}", result.version),))])
    generation = store._log.header.generation
    print(f"  {2 * record_count} steps, {generation} generations of 1 MB: peak {peak / (1 << 20):.2f} MB")
    return peak / max_bytes, float(generation)


def claims_have_one_winner(folder: Path, store_count: int, generator: random.Random) -> bool:
    """Return whether each of 1000 claims, made by several stores in random order, has exactly one winner."""
    folder.mkdir()
    stores = [DiskStore(str(folder), max_log_bytes=1 << 16) for _ in range(store_count)]
    incarnations = [store.register(f"n{n}", 1000.0) for n, store in enumerate(stores)]
    winner_counts = [0] * 1000
    attempts = [(n, claim) for n in range(store_count) for claim in range(1000)]
    generator.shuffle(attempts)
    for n, claim in attempts:
        results = stores[n].commit(incarnations[n], [Transaction((Create(f"c{claim}", b""),))])
        winner_counts[claim] += results[0].outcome.value == "won"
    fence_count = sum(
        store.commit(life, [Transaction((Fence(incarnations[0], 0),))])[0].outcome.value == "won"
        for store, life in zip(stores, incarnations, strict=True)
    )
    return winner_counts == [1] * 1000 and fence_count == 1


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="about a minute")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", type=Path, help="on the disk that is to be measured")
    arguments = parser.parse_args()
    generator, duration_s = random.Random(arguments.seed), 1.0 if arguments.quick else 5.0
    with tempfile.TemporaryDirectory(dir=arguments.folder) as name:
        base = Path(name)
        print(f"seed {arguments.seed}")
        rates = measure_commits(base, duration_s)
        step_ms, late_ms = measure_latency(base / "latency", 3 * duration_s)
        reads_per_second = measure_membership_cost(base, 1 if arguments.quick else 5, generator)
        killed, stopped, bound = measure_fencing_delay(base, CRASH_FAILPOINTS)
        peak, _ = measure_compaction(base / "compaction", 20_000 if arguments.quick else 100_000)
        one_winner = claims_have_one_winner(base / "claims", 4, generator)
    read_growth = reads_per_second[200] / reads_per_second[10]
    rules = {
        "a claim had no single winner": one_winner,
        "a member's looks grow with the fleet": read_growth < 1.1,
        "a lost life was ended too late": max(*killed, *stopped) <= bound,
        "the disk held more than two generations": peak < 2.2,
    }
    broken = "; ".join(rule for rule, holds in rules.items() if not holds)
    print(
        f"{f'BROKEN: {broken}' if broken else 'kept'}: {rates['plain, groups of 32']:.0f} steps/s in groups"
        f" of 32 ({rates['sync, groups of 32']:.0f} made lasting), a step p99 {step_ms:.1f} ms with reactors"
        f" p99 {late_ms:.1f} ms late, a killed gateway ended after {max(killed):.0f} ms and a stopped one"
        f" after {max(stopped):.0f} ms at a term of {TERM_MS:.0f}, looks for a member at 200 against 10"
        f" members {read_growth:.2f} times, disk {peak:.2f} times its bound, seed {arguments.seed}."
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
