"""What the ledger costs and how soon a lost gateway is found: on a real disk, by processes that share it.

    .venv/bin/python benchmarks/ledger.py [--quick] [--seed N] [--folder FOLDER]

Exits with 1 when a rule breaks: a claim with two winners or none, a lost life not ended within its bound, a
disk that grows beyond what is allowed, or looks whose cost for a member grows with the fleet.
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
    Changed,
    Commit,
    Committed,
    Create,
    Keeper,
    Remove,
    Renew,
    Seal,
    Step,
    Terms,
    Watched,
)
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.ledger.failpoints import ENV as FAILPOINTS
from meadowpulley.net.deadlines import now_ms

GATEWAY = Path(__file__).with_name("ledger_gateway.py")
TERM_MS, POLL_MS = 1000.0, 25.0
ENVIRON = {"TERM_MS": "1000", "POLL_MS": "25", "WAIT_MS": "230"}
VALUE = bytes(300)
RATE = 600.0  # steps a second of each gateway: of about 200 requests
STEPS = (
    "begin.begun",
    "renew.renamed",
    "log.append",
    "log.appended",
    "log.read",
    "roll.written",
    "roll.linked",
)


class Process:
    def __init__(self, folder: Path, name: str, rate: float, fail: str = "", mb: float = 32.0) -> None:
        told = {f"MEADOWPULLEY_LEDGER_{key}": value for key, value in ENVIRON.items()}
        told |= {"MEADOWPULLEY_LEDGER": str(folder), FAILPOINTS: fail, "MEADOWPULLEY_LEDGER_MB": str(mb)}
        command = [sys.executable, str(GATEWAY), name, str(rate)]
        self.process = subprocess.Popen(
            command, env={**os.environ, **told}, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def until(self, key: str) -> dict[str, Any]:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            found: dict[str, Any] = json.loads(line)
            if key in found:
                return found
        raise RuntimeError(f"a gateway ended without '{key}'")

    def finish(self) -> dict[str, Any]:
        assert self.process.stdin is not None
        self.process.stdin.write("end\n")
        self.process.stdin.flush()
        return self.until("took")

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()


@contextmanager
def gateways(folder: Path, many: int, rate: float) -> Iterator[list[Process]]:
    made = [Process(folder, f"n{n}", rate) for n in range(many)]
    try:
        for process in made:
            process.until("began")
        yield made
    finally:
        for process in made:
            process.kill()


# What is measured


def commits(base: Path, part_s: float) -> dict[str, float]:
    """Steps a second of one process, by group size, and how long a group takes."""
    found = {}
    for sync in (False, True):
        for group in (1, 32):
            folder = base / f"commits-{sync}-{group}"
            folder.mkdir()
            store = DiskStore(str(folder), sync=sync)
            life, took, number, began = store.begin("a", 1000.0), list[float](), 0, time.monotonic()
            while time.monotonic() - began < part_s:
                at = time.monotonic()
                keys = [f"k{(number + n) % 2000}" for n in range(group)]
                made = store.commit(life, [Step((Create(key, VALUE),)) for key in keys])
                store.commit(life, [Step((Remove(k, d.version),)) for k, d in zip(keys, made, strict=True)])
                took.append((time.monotonic() - at) / 2 * 1000.0)
                number += group
            rate = 2 * number / (time.monotonic() - began)
            name = f"{'sync' if sync else 'plain'}, groups of {group}"
            found[name] = rate
            print(f"  {name}: {rate:.0f} steps/s, a group {quantiles(took)} ms")
    return found


def quantiles(values: Sequence[float]) -> str:
    parts = statistics.quantiles(values, n=1000)
    return f"p50 {parts[499]:.2f}, p99 {parts[989]:.2f}, most {max(values):.2f}"


def latency(folder: Path, part_s: float) -> tuple[float, float]:
    """Four gateways at 300 steps/s each: how long a step takes, and how late their reactors are."""
    folder.mkdir()
    with gateways(folder, 4, RATE) as made:
        time.sleep(part_s)
        ends = [process.finish() for process in made]
    took = [ms for end in ends for ms in end["took"]]
    lates = [ms for end in ends for ms in end["lates"]]
    group = sum(len(end["took"]) for end in ends) / sum(end["counts"]["ledger.groups"] for end in ends)
    print(f"  4 gateways, {RATE:.0f} steps/s each, {group:.1f} a group: a step takes {quantiles(took)} ms;")
    print(f"    their reactors are late by {quantiles(lates)} ms")
    return statistics.quantiles(took, n=100)[98], statistics.quantiles(lates, n=100)[98]


class Member:
    """A keeper on the disk in virtual time."""

    def __init__(self, folder: Path, name: str) -> None:
        self.store = DiskStore(str(folder))
        self.keeper = Keeper(self.store.begin(name, TERM_MS), Terms(term_ms=TERM_MS), self)
        self.version, self.due, self.renew_at = 0, 0.0, 0.0
        self.watched: tuple[str, ...] | None = ()
        self.looked = self.renewed = 0

    def handle(self, now: float, event: Any) -> list[Any]:
        return []

    def carry_out(self, now: float, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Watched):
                self.watched = action.names
            elif isinstance(action, SetTimer):
                self.renew_at = now + action.delay_ms
            elif isinstance(action, Commit):
                done = self.store.commit(self.keeper.me, action.steps)
                self.renewed += Step((Renew(),)) in action.steps
                self.carry_out(
                    now, self.keeper.handle(now, Committed(action.ticket, tuple(done), action.owner))
                )

    def turn(self, now: float) -> None:
        if now >= self.renew_at:
            self.carry_out(now, self.keeper.handle(now, Timer(5)))
        changes = self.store.changes(self.version, (), self.watched)
        self.version, self.looked = changes.version, self.looked + len(changes.members)
        self.carry_out(now, self.keeper.handle(now, Changed(changes, now)))


def growth(base: Path, seconds: int, chance: random.Random) -> dict[int, float]:
    """What membership alone costs, in a fleet at rest: for each member and second."""
    found = {}
    for many in (10, 50, 200):
        folder = base / f"growth-{many}"
        folder.mkdir()
        members = [Member(folder, f"n{n}") for n in range(many)]
        now = 0.0
        for member in members:
            member.carry_out(now, member.keeper.start(now))
        for _ in range(int(TERM_MS / POLL_MS)):
            now += POLL_MS
            for member in chance.sample(members, many):
                member.turn(now)
        size = sum(p.stat().st_size for p in folder.glob("log.*"))
        looked, renewed = sum(m.looked for m in members), sum(m.renewed for m in members)
        began = time.process_time()
        for _ in range(int(seconds * 1000.0 / POLL_MS)):
            now += POLL_MS
            for member in chance.sample(members, many):
                member.turn(now)
        cpu = time.process_time() - began
        grown = sum(p.stat().st_size for p in folder.glob("log.*")) - size
        each = many * seconds
        found[many] = (sum(m.looked for m in members) - looked) / each
        renewals = (sum(m.renewed for m in members) - renewed) / each
        print(
            f"  {many} members, each a second: {renewals:.1f} renewals, {found[many]:.0f} leases looked at,"
            f" {grown / each:.0f} bytes of log, {cpu / each * 1000.0:.1f} ms of CPU"
        )
        for member in members:
            member.store.close()
    return found


def recovery(base: Path, steps: Sequence[str]) -> tuple[list[float], list[float], float]:
    """From the moment that one of four gateways is gone until all the others know that it was ended. A killed
    one counts as gone once it is reaped: its locks are free before, by as long as its files take to close."""
    bound = 2.0 * TERM_MS * 1.02 + 0.3 * TERM_MS + 10 * POLL_MS
    times: dict[str, list[float]] = {"kill": [], "stop": []}
    for action in ("kill", "stop"):
        for step in steps:
            folder = base / f"{action}-{step}"
            folder.mkdir()
            with gateways(folder, 3, 50.0) as others:
                count = 1 if "begin" in step or "roll" in step else 5
                if "roll" in step:
                    fill(folder)
                victim = Process(folder, "victim", 50.0, f"{step}={action}@{count}", mb=1.0)
                try:
                    os.waitpid(victim.process.pid, os.WUNTRACED)
                    gone = now_ms()
                    told = [ended(process, "victim.1") for process in others]
                finally:
                    victim.kill()
                times[action].append(max(told) - gone)
    for action, found in times.items():
        each = ", ".join(f"{s} {t:.0f}" for s, t in zip(steps, found, strict=True))
        print(f"  after {action}: all others know after {each} ms (bound {bound:.0f})")
    return times["kill"], times["stop"], bound


def fill(folder: Path) -> None:
    """So that the next entry of whoever allows 1 MB ends the log."""
    store = DiskStore(str(folder))
    life = store.begin("filler", 1000.0)
    for n in range(40):
        store.commit(life, [Step((Create(f"f/{n}", bytes(27_000)),))])
    for record in store.scan("f/"):
        store.commit(life, [Step((Remove(record.key, record.version),))])
    store.close()


def ended(process: Process, life: str) -> float:
    while True:
        found = process.until("suspected")
        if [life, True] in found["suspected"]:
            return float(found["at"])


def compaction(folder: Path, many: int) -> tuple[float, float]:
    """Peak of all that lies in the folder while the log is begun anew again and again."""
    folder.mkdir()
    store, most, peak = DiskStore(str(folder), most_bytes=1 << 20), 1 << 20, 0
    life, reader = store.begin("a", 1000.0), DiskStore(str(folder))
    version, seen = 0, 0
    for n in range(many):
        (made,) = store.commit(life, [Step((Create(f"k{n}", VALUE),))])
        if n % 50 == 0:
            changes = reader.changes(version, ("k",))
            version, seen = changes.version, seen + len(changes.records)
            peak = max(peak, sum(p.stat().st_size for p in folder.glob("*.*")))
        store.commit(life, [Step((Remove(f"k{n}", made.version),))])
    generation = store._log.head.generation
    print(f"  {2 * many} steps, {generation} generations of 1 MB: peak {peak / (1 << 20):.2f} MB")
    return peak / most, float(generation)


def claims(folder: Path, many: int, chance: random.Random) -> bool:
    """Whether each of 1000 claims, asked for by several in any order, was won by exactly one."""
    folder.mkdir()
    stores = [DiskStore(str(folder), most_bytes=1 << 16) for _ in range(many)]
    lives = [store.begin(f"n{n}", 1000.0) for n, store in enumerate(stores)]
    won = [0] * 1000
    asks = [(n, claim) for n in range(many) for claim in range(1000)]
    chance.shuffle(asks)
    for n, claim in asks:
        done = stores[n].commit(lives[n], [Step((Create(f"c{claim}", b""),))])
        won[claim] += done[0].how.value == "won"
    sealed = sum(
        store.commit(life, [Step((Seal(lives[0], 0),))])[0].how.value == "won"
        for store, life in zip(stores, lives, strict=True)
    )
    return won == [1] * 1000 and sealed == 1


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="about a minute")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", type=Path, help="on the disk that is to be measured")
    given = parser.parse_args()
    chance, part = random.Random(given.seed), 1.0 if given.quick else 5.0
    with tempfile.TemporaryDirectory(dir=given.folder) as name:
        base = Path(name)
        print(f"seed {given.seed}")
        rates = commits(base, part)
        step_ms, late_ms = latency(base / "latency", 3 * part)
        looked = growth(base, 1 if given.quick else 5, chance)
        killed, stopped, bound = recovery(base, STEPS)
        peak, _ = compaction(base / "compaction", 20_000 if given.quick else 100_000)
        one_winner = claims(base / "claims", 4, chance)
    grows = looked[200] / looked[10]
    rules = {
        "a claim had no single winner": one_winner,
        "a member's looks grow with the fleet": grows < 1.1,
        "a lost life was ended too late": max(*killed, *stopped) <= bound,
        "the disk held more than two generations": peak < 2.2,
    }
    broken = "; ".join(rule for rule, kept in rules.items() if not kept)
    print(
        f"{f'BROKEN: {broken}' if broken else 'kept'}: {rates['plain, groups of 32']:.0f} steps/s in groups"
        f" of 32 ({rates['sync, groups of 32']:.0f} made lasting), a step p99 {step_ms:.1f} ms with reactors"
        f" p99 {late_ms:.1f} ms late, a killed gateway ended after {max(killed):.0f} ms and a stopped one"
        f" after {max(stopped):.0f} ms at a term of {TERM_MS:.0f}, looks for a member at 200 against 10"
        f" members {grows:.2f} times, disk {peak:.2f} times its bound, seed {given.seed}."
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
