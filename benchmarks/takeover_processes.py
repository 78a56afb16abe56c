"""Work in hand at four real gateways, of which one is killed every 5 s, and what a request costs with it.

    .venv/bin/python benchmarks/takeover_processes.py [--quick] [--seed N] [--rate N]

Gateways by `run` on the joint layout with a ledger on disk; instances and clients in this process, all on
loopback. A client whose gateway goes asks again, under the same id, at another. What should become of work
that was lost follows from its record: an unsafe request whose right to go out was won fails, whatever else
is served. Then the cost: CPU time of a gateway for a request, parts off and on in turns. Exit 1 when a rule
breaks or an aim is missed.
"""

from __future__ import annotations

import argparse
import http.client
import statistics
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # for the tests' stand-ins

from meadowpulley.ledger.disk import DiskStore
from meadowpulley.net import names
from meadowpulley.rig.joint import Fleet, Process, Reply, ask, lay_out
from meadowpulley.takeover.model import WORK, decode_work
from tests.standins import RELEASED, SETTINGS, Discovery, Instance, Platform, entry

GATEWAYS, INSTANCES = 4, 32
CLASSES = {"look": "pure", "put": "token", "pay": "side_effect"}  # a third of the requests each
LEFT_MS = 8000.0  # every request's time
TERM_MS = 2000.0  # of a lease
KILL_S, DOWN_S = 5.0, 2.0
AGAIN_S = 0.05  # until a client whose gateway is gone asks another
AIM, COST_AIM = 0.95, 1.3
PACE, CLIENTS = 100.0, 5  # requests a second and connections while costs are measured
WRITTEN = ("off", "unrepeatable", "all")


def settings() -> dict[str, Any]:
    more = {"target-ms": 4000.0, "hard-limit-ms": LEFT_MS, "dedup-window-ms": 60_000.0}
    classes = [{"name": name, "repeat": repeat, **more} for name, repeat in CLASSES.items()]
    return {**SETTINGS, "classes": classes, "bounds": {**SETTINGS["bounds"], "may-tell": False}}


class Park:
    """Instances that take as long as they are told, and count what they run by the requests' ids."""

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self._lock = threading.Lock()
        self.entries = [entry(f"i{n}", Instance(self._act).address) for n in range(INSTANCES)]
        discovery, platform = Discovery(self.entries), Platform(RELEASED)
        self.config = {
            "discovery": discovery.address,
            "platform": {"address": platform.address, "news": RELEASED},
            "known": {"index": 5, "snapshot": True, "endpoints": self.entries},
            "settings": settings(),
        }

    def _act(self, handler: BaseHTTPRequestHandler, _: bytes) -> None:
        name = handler.headers[names.ID]
        with self._lock:
            self.runs[name] += 1
            body = b"run %d of %b" % (self.runs[name], name.encode())
        time.sleep(float(parse_qs(urlsplit(handler.path).query)["w"][0]) / 1000)
        handler.wfile.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))


@dataclass
class Work:
    name: str
    cls: str
    due: float
    takes_ms: float
    replies: list[Reply] = field(default_factory=list)
    lost_at: float = 0.0  # when its client first lost a gateway that had it; 0: never
    answered_at: float = 0.0
    again: Reply | None = None  # at the end, at another gateway
    rights: bool | None = None  # whether a lost record had any; None: none was ever claimed
    claimed_at: float = 0.0

    @property
    def status(self) -> int:
        return self.replies[-1].status if self.replies else 0

    @property
    def ended_well(self) -> bool:
        """As its record proves: failed if it is unsafe and may have run, else served; and in time."""
        failed = self.cls == "pay" and self.rights
        return self.status == (502 if failed else 200) and self.answered_at <= self.due


class Watcher:
    """Sees each claim as it appears in the ledger."""

    def __init__(self, folder: Path) -> None:
        self._folder, self.on = str(folder), True
        self.claims: dict[str, tuple[float, bool]] = {}  # first: when, and whether it had rights before
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        store, version = DiskStore(self._folder), 0
        while self.on:
            changes = store.changes(version, (WORK,), ())
            version, now = changes.version, time.monotonic()
            for record in changes.records:
                work = decode_work(record.value)
                before = any(right.won and right.won < record.version for right in work.rights)
                if work.lives > 1:
                    self.claims.setdefault(record.key[len(WORK) :], (now, before))
            time.sleep(0.01)
        store.close()


class Day:
    def __init__(self, folder: Path, seed: int, rate: float) -> None:
        self.rng, self.rate = Random(seed), rate
        self.park = Park()
        environ = {"MEADOWPULLEY_TAKEOVER": "all", "MEADOWPULLEY_LEDGER_TERM_MS": f"{TERM_MS:g}"}
        self.fleet = Fleet(folder, GATEWAYS, self.park.config, environ)
        self.work: list[Work] = []
        self.killed: list[float] = []
        self.up: list[Process] = []

    def _client(self, work: Work, order: list[str]) -> None:
        body = b"" if work.cls == "look" else work.name.encode()
        target, key = f"/{work.cls}/x?w={work.takes_ms:.3f}", f"{int(work.name[1:]):x}"
        while (left := (work.due - time.monotonic()) * 1000) > 0:
            address = order.pop(0)
            order.append(address)
            reply = ask(address, work.name, target, body, key=key, again=bool(work.replies), left_ms=left)
            if reply is not None:
                work.replies.append(reply)
                if reply.status:
                    work.answered_at = time.monotonic()
                    return
                work.lost_at = work.lost_at or time.monotonic()
            time.sleep(AGAIN_S)

    def _arrive(self, pool: ThreadPoolExecutor) -> None:
        long = self.rng.random() < 0.2
        takes = self.rng.uniform(500.0, 2500.0) if long else self.rng.expovariate(1 / 60.0)
        order = self.rng.sample(self.fleet.addresses, GATEWAYS)
        cls = self.rng.choice([*CLASSES])
        work = Work(f"r{len(self.work)}", cls, time.monotonic() + LEFT_MS / 1000, takes)
        self.work.append(work)
        pool.submit(self._client, work, order)

    def play(self, seconds: float) -> None:
        self.up = self.fleet.start()
        watcher = Watcher(self.fleet.ledger)
        begin = time.monotonic()
        arrival, kill = 0.0, KILL_S
        back: list[tuple[float, int]] = []
        with ThreadPoolExecutor(300) as pool:
            while (now := time.monotonic() - begin) < seconds:
                if arrival <= now:
                    self._arrive(pool)
                    arrival += self.rng.expovariate(self.rate)
                elif kill <= now and kill < seconds - KILL_S:
                    victim = self.rng.randrange(GATEWAYS)
                    self.up[victim].kill()
                    self.killed.append(time.monotonic())
                    back.append((now + DOWN_S, victim))
                    kill += KILL_S
                elif back and back[0][0] <= now:
                    number = back.pop(0)[1]
                    self.up[number] = self.fleet.launch(number)
                else:
                    time.sleep(0.002)
        watcher.on = False
        watcher.thread.join()
        for work in self.work:
            if work.name in watcher.claims:
                work.claimed_at, work.rights = watcher.claims[work.name]
            if work.lost_at:  # once more, of what every gateway must have the same answer
                order = self.rng.sample([g.address for g in self.up], GATEWAYS)
                again = Work(work.name, work.cls, time.monotonic() + 5.0, work.takes_ms, [Reply(0)])
                self._client(again, order)
                work.again = again.replies[-1]

    def _since_loss(self, at: Iterable[float]) -> list[float]:
        return [1000 * (t - max(k for k in self.killed if k <= t)) for t in at]

    def judge(self) -> list[tuple[str, bool]]:
        lost = [w for w in self.work if w.lost_at or w.rights is not None]
        long = [w for w in lost if w.due - (w.lost_at or w.claimed_at) > 2 * TERM_MS / 1000]
        well = [w for w in long if w.ended_well]
        runs = self.park.runs
        twice = sum(runs[w.name] > 1 for w in self.work if w.cls == "pay")
        differ = [
            w for w in lost if w.again is not None and w.status in (200, 502) and w.again != w.replies[-1]
        ]
        more = sum(bool(reply.more) for w in self.work for reply in w.replies)
        others = Counter(w.status for w in self.work if w not in lost)
        print(
            f"  {len(self.work)} requests, {len(self.killed)} kills, {len(lost)} in hand at one, the other"
            f" requests' answers: {dict(others)}"
        )
        for cls in CLASSES:
            of = [w for w in long if w.cls == cls]
            how = dict(Counter(w.status for w in of))
            print(f"  {cls}: {sum(w in well for w in of)} of {len(of)} as it should, answers {how}")
        for w in [w for w in long if w not in well][:5]:
            print(f"    not so: {w.cls} {w.name}: answered {w.status}, rights {w.rights}, ran {runs[w.name]}")
        print(spread("  loss to claim", self._since_loss(w.claimed_at for w in lost if w.claimed_at)))
        print(spread("  loss to answer", self._since_loss(w.answered_at for w in lost if w.answered_at)))
        share = len(well) / max(len(long), 1)
        return [
            (f"{len(well)} of {len(long)} lost ended as they should", bool(long) and share >= AIM),
            (f"unsafe effects twice {twice}", twice == 0),
            (f"answered twice or otherwise {more + len(differ)}", more + len(differ) == 0),
            (f"unanswered {sum(not w.status for w in self.work)}", all(w.status for w in self.work)),
        ]


def spread(what: str, times: list[float]) -> str:
    if not times:
        return f"{what}: none"
    times = sorted(times)
    most = times[min(int(0.99 * len(times)), len(times) - 1)]
    return f"{what}: median {statistics.median(times):.0f} ms, 99% {most:.0f} ms, most {times[-1]:.0f} ms"


class Cost:
    """One gateway each with the parts off, on for what may not simply be repeated, on for all."""

    def __init__(self, folder: Path) -> None:
        self.park = Park()
        self.fleet = Fleet(folder, len(WRITTEN), self.park.config, {})
        self.number = 0

    def _client(self, gateway: Process, cls: str, first: int, many: int, begin: float) -> list[float]:
        link = http.client.HTTPConnection(gateway.address)
        took = []
        for n in range(first, first + many * CLIENTS, CLIENTS):
            time.sleep(max(begin + n / PACE - time.monotonic(), 0.0))
            name = f"c{self.number}-{n}"
            body = None if cls == "look" else name.encode()
            head = {names.ID: name, names.KEY: f"{n + 1:x}", names.REMAINING: f"{LEFT_MS:g}m"}
            at = time.monotonic()
            link.request("GET" if body is None else "POST", f"/{cls}/x?w=0", body, head)
            reply = link.getresponse()
            reply.read()
            took.append(1000 * (time.monotonic() - at))
            if reply.status != 200:
                raise RuntimeError(f"{cls} was answered {reply.status} while nothing failed")
        link.close()
        return took

    def _block(self, gateway: Process, cls: str, many: int) -> tuple[float, float]:
        """CPU ms of a request, and the median of what one took."""
        self.number += 1
        begin, before = time.monotonic(), gateway.cpu_ms()
        with ThreadPoolExecutor(CLIENTS) as pool:
            each = [
                pool.submit(self._client, gateway, cls, n, many // CLIENTS, begin) for n in range(CLIENTS)
            ]
        took = [t for one in each for t in one.result()]
        return (gateway.cpu_ms() - before) / len(took), statistics.median(took)

    def measure(self, rounds: int, many: int) -> list[tuple[str, bool]]:
        environ = {
            "off": {"MEADOWPULLEY_LEDGER": ""},
            **{written: {"MEADOWPULLEY_TAKEOVER": written} for written in WRITTEN[1:]},
        }
        gateways = {w: self.fleet.launch(n, environ[w]) for n, w in enumerate(WRITTEN)}
        for gateway in gateways.values():
            gateway.wait_for("ready")
        idle = {}
        for written, gateway in gateways.items():
            begin, before = time.monotonic(), gateway.cpu_ms()
            time.sleep(1.0)
            idle[written] = (gateway.cpu_ms() - before) / (time.monotonic() - begin)
        found: dict[tuple[str, str], list[tuple[float, float]]] = {}
        for _ in range(rounds):
            for cls in CLASSES:
                for written, gateway in gateways.items():
                    found.setdefault((written, cls), []).append(self._block(gateway, cls, many))
        cpu = {key: statistics.median(c for c, _ in blocks) for key, blocks in found.items()}
        took = {key: statistics.median(t for _, t in blocks) for key, blocks in found.items()}
        print(
            f"  CPU of a gateway at rest, ms a second: {', '.join(f'{w} {v:.1f}' for w, v in idle.items())}"
        )
        for written in WRITTEN:
            of = ", ".join(
                f"{cls} {cpu[written, cls]:.2f} ms ({cpu[written, cls] / cpu['off', cls]:.2f} times, without"
                f" rest {(cpu[written, cls] - idle[written] / PACE) / cpu['off', cls]:.2f}),"
                f" took {took[written, cls]:.1f} ms"
                for cls in CLASSES
            )
            print(f"  written {written}: CPU of a request, {PACE:g} a second: {of}")
        mix = {
            w: sum(cpu[w, cls] for cls in CLASSES) / sum(cpu["off", cls] for cls in CLASSES) for w in WRITTEN
        }
        return [
            (
                f"a request costs {mix['unrepeatable']:.2f} times with the ledger, a third of each class"
                f" (all written {mix['all']:.2f})",
                mix["unrepeatable"] <= COST_AIM,
            ),
        ]


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--quick", action="store_true", help="one minute instead of four")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=100.0, help="requests a second, over all gateways")
    given = parser.parse_args()
    lay_out()
    checks: list[tuple[str, bool]] = []
    with tempfile.TemporaryDirectory(prefix="meadowpulley-") as folder:
        for part in ("day", "cost"):
            (Path(folder) / part).mkdir()
        day = Day(Path(folder) / "day", given.seed, given.rate)
        print(f"seed {given.seed}, one of {GATEWAYS} killed every {KILL_S:g} s, {given.rate:g} a second:")
        try:
            day.play(35.0 if given.quick else 180.0)
            checks += day.judge()
        finally:
            day.fleet.stop()
        cost = Cost(Path(folder) / "cost")
        try:
            checks += cost.measure(*((2, 80) if given.quick else (5, 200)))
        finally:
            cost.fleet.stop()
    missed = [text for text, well in checks if not well]
    print(f"takeover by processes: {'; '.join(t for t, _ in checks)}: {'MISSED' if missed else 'met'}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
