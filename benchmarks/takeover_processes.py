"""Takeover at four real gateways, of which one is killed every 5 s, and what a request costs with it.

    .venv/bin/python benchmarks/takeover_processes.py [--quick] [--seed N] [--rate N]

Gateways by `run` on the joint layout with a ledger on disk; instances and clients in this process, all on
loopback. A client whose gateway is lost repeats its request, under the same id, at another. How a lost
request should end follows from its record: one that is not idempotent fails if an attempt was granted, all
others are served. Then the cost: CPU time of a gateway for a request, takeover off and on in turns. Exit 1
when a rule is broken or an objective is missed.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # for the package of benchmarks

from benchmarks.takeover_cost import CostMeasurement
from benchmarks.takeover_instances import CLASSES, REQUEST_TIMEOUT_MS, InstancePool
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.loopback.gateway_fleet import (
    GatewayFleet,
    GatewayProcess,
    HttpResponse,
    build_layouts,
    send_request,
)
from meadowpulley.takeover.records import RECORD_PREFIX, decode_request_record

GATEWAY_COUNT = 4
LEASE_TERM_MS = 2000.0  # of a lease
KILL_INTERVAL_S, DOWN_S = 5.0, 2.0
CLIENT_RETRY_S = 0.05  # until a client whose gateway is gone asks another
MIN_CORRECT_SHARE = 0.95


@dataclass
class RequestOutcome:
    request_id: str
    class_name: str
    deadline_s: float
    execution_ms: float
    replies: list[HttpResponse] = field(default_factory=list)
    lost_at_s: float = 0.0  # when its client first lost a gateway that had it; 0: never
    answered_at_s: float = 0.0
    repeated: HttpResponse | None = None  # at the end, at another gateway
    had_grants: bool | None = None  # whether a lost record had any; None: none was ever claimed
    claimed_at_s: float = 0.0

    @property
    def status(self) -> int:
        return self.replies[-1].status if self.replies else 0

    @property
    def is_correct(self) -> bool:
        """As its record proves: failed if it is unsafe and may have run, else served; and in time."""
        failed = self.class_name == "pay" and self.had_grants
        return self.status == (502 if failed else 200) and self.answered_at_s <= self.deadline_s


class ClaimWatcher:
    """Sees each claim as it appears in the ledger."""

    def __init__(self, folder: Path) -> None:
        self._folder, self.running = str(folder), True
        self.claims: dict[str, tuple[float, bool]] = {}  # first: when, and whether it had rights before
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        store, version = DiskStore(self._folder), 0
        while self.running:
            changes = store.changes(version, (RECORD_PREFIX,), ())
            version, now_s = changes.version, time.monotonic()
            for record in changes.records:
                request_record = decode_request_record(record.value)
                had_grants = any(
                    right.granted_version and right.granted_version < record.version
                    for right in request_record.grants
                )
                if request_record.owner_count > 1:
                    self.claims.setdefault(record.key[len(RECORD_PREFIX) :], (now_s, had_grants))
            time.sleep(0.01)
        store.close()


class CrashDay:
    def __init__(self, folder: Path, seed: int, rate: float) -> None:
        self.rng, self.rate = Random(seed), rate
        self.instances = InstancePool()
        environ = {"MEADOWPULLEY_TAKEOVER": "all", "MEADOWPULLEY_LEDGER_TERM_MS": f"{LEASE_TERM_MS:g}"}
        self.fleet = GatewayFleet(folder, GATEWAY_COUNT, self.instances.config, environ)
        self.requests: list[RequestOutcome] = []
        self.killed_at_s: list[float] = []
        self.processes: list[GatewayProcess] = []

    def _client(self, request: RequestOutcome, addresses: list[str]) -> None:
        body = b"" if request.class_name == "look" else request.request_id.encode()
        target, key = (
            f"/{request.class_name}/x?w={request.execution_ms:.3f}",
            f"{int(request.request_id[1:]):x}",
        )
        while (remaining_ms := (request.deadline_s - time.monotonic()) * 1000) > 0:
            address = addresses.pop(0)
            addresses.append(address)
            reply = send_request(
                address,
                request.request_id,
                target,
                body,
                key=key,
                client_retry=bool(request.replies),
                remaining_ms=remaining_ms,
            )
            if reply is not None:
                request.replies.append(reply)
                if reply.status:
                    request.answered_at_s = time.monotonic()
                    return
                request.lost_at_s = request.lost_at_s or time.monotonic()
            time.sleep(CLIENT_RETRY_S)

    def _arrive(self, pool: ThreadPoolExecutor) -> None:
        is_long = self.rng.random() < 0.2
        execution_ms = self.rng.uniform(500.0, 2500.0) if is_long else self.rng.expovariate(1 / 60.0)
        addresses = self.rng.sample(self.fleet.addresses, GATEWAY_COUNT)
        class_name = self.rng.choice([*CLASSES])
        request = RequestOutcome(
            f"r{len(self.requests)}", class_name, time.monotonic() + REQUEST_TIMEOUT_MS / 1000, execution_ms
        )
        self.requests.append(request)
        pool.submit(self._client, request, addresses)

    def simulate(self, duration_s: float) -> None:
        self.processes = self.fleet.start()
        watcher = ClaimWatcher(self.fleet.ledger)
        began_s = time.monotonic()
        arrival, kill = 0.0, KILL_INTERVAL_S
        restarts: list[tuple[float, int]] = []
        with ThreadPoolExecutor(300) as pool:
            while (now := time.monotonic() - began_s) < duration_s:
                if arrival <= now:
                    self._arrive(pool)
                    arrival += self.rng.expovariate(self.rate)
                elif kill <= now and kill < duration_s - KILL_INTERVAL_S:
                    victim = self.rng.randrange(GATEWAY_COUNT)
                    self.processes[victim].kill()
                    self.killed_at_s.append(time.monotonic())
                    restarts.append((now + DOWN_S, victim))
                    kill += KILL_INTERVAL_S
                elif restarts and restarts[0][0] <= now:
                    number = restarts.pop(0)[1]
                    self.processes[number] = self.fleet.launch(number)
                else:
                    time.sleep(0.002)
        watcher.running = False
        watcher.thread.join()
        for request in self.requests:
            if request.request_id in watcher.claims:
                request.claimed_at_s, request.had_grants = watcher.claims[request.request_id]
            if request.lost_at_s:  # once more, of what every gateway must have the same answer
                addresses = self.rng.sample([g.address for g in self.processes], GATEWAY_COUNT)
                repeated = RequestOutcome(
                    request.request_id,
                    request.class_name,
                    time.monotonic() + 5.0,
                    request.execution_ms,
                    [HttpResponse(0)],
                )
                self._client(repeated, addresses)
                request.repeated = repeated.replies[-1]

    def _since_crash_ms(self, times_s: Iterable[float]) -> list[float]:
        return [1000 * (t - max(k for k in self.killed_at_s if k <= t)) for t in times_s]

    def evaluate(self) -> list[tuple[str, bool]]:
        lost = [w for w in self.requests if w.lost_at_s or w.had_grants is not None]
        recoverable = [
            w for w in lost if w.deadline_s - (w.lost_at_s or w.claimed_at_s) > 2 * LEASE_TERM_MS / 1000
        ]
        correct = [w for w in recoverable if w.is_correct]
        executions = self.instances.executions
        executed_twice = sum(executions[w.request_id] > 1 for w in self.requests if w.class_name == "pay")
        inconsistent = [
            w
            for w in lost
            if w.repeated is not None and w.status in (200, 502) and w.repeated != w.replies[-1]
        ]
        duplicate_responses = sum(bool(reply.trailing) for w in self.requests for reply in w.replies)
        others = Counter(w.status for w in self.requests if w not in lost)
        print(
            f"  {len(self.requests)} requests, {len(self.killed_at_s)} kills, {len(lost)} in hand at one,"
            " the other"
            f" requests' answers: {dict(others)}"
        )
        for class_name in CLASSES:
            in_class = [w for w in recoverable if w.class_name == class_name]
            statuses = dict(Counter(w.status for w in in_class))
            print(
                f"  {class_name}: {sum(w in correct for w in in_class)} of {len(in_class)} as it should,"
                f" answers {statuses}"
            )
        for request in [w for w in recoverable if w not in correct][:5]:
            print(
                f"    not so: {request.class_name} {request.request_id}: answered {request.status},"
                f" rights {request.had_grants}, ran {executions[request.request_id]}"
            )
        print(
            percentiles(
                "  loss to claim", self._since_crash_ms(w.claimed_at_s for w in lost if w.claimed_at_s)
            )
        )
        print(
            percentiles(
                "  loss to answer", self._since_crash_ms(w.answered_at_s for w in lost if w.answered_at_s)
            )
        )
        correct_share = len(correct) / max(len(recoverable), 1)
        return [
            (
                f"{len(correct)} of {len(recoverable)} lost ended as they should",
                bool(recoverable) and correct_share >= MIN_CORRECT_SHARE,
            ),
            (f"unsafe effects twice {executed_twice}", executed_twice == 0),
            (
                f"answered twice or otherwise {duplicate_responses + len(inconsistent)}",
                duplicate_responses + len(inconsistent) == 0,
            ),
            (f"unanswered {sum(not w.status for w in self.requests)}", all(w.status for w in self.requests)),
        ]


def percentiles(label: str, durations_ms: list[float]) -> str:
    if not durations_ms:
        return f"{label}: none"
    durations_ms = sorted(durations_ms)
    percentile_99 = durations_ms[min(int(0.99 * len(durations_ms)), len(durations_ms) - 1)]
    median, largest = statistics.median(durations_ms), durations_ms[-1]
    return f"{label}: median {median:.0f} ms, 99% {percentile_99:.0f} ms, most {largest:.0f} ms"


def main() -> int:
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--quick", action="store_true", help="one minute instead of four")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=100.0, help="requests a second, over all gateways")
    arguments = parser.parse_args()
    build_layouts()
    checks: list[tuple[str, bool]] = []
    with tempfile.TemporaryDirectory(prefix="meadowpulley-") as folder:
        for part in ("day", "cost"):
            (Path(folder) / part).mkdir()
        day = CrashDay(Path(folder) / "day", arguments.seed, arguments.rate)
        print(
            f"seed {arguments.seed}, one of {GATEWAY_COUNT} killed every {KILL_INTERVAL_S:g} s,"
            f" {arguments.rate:g} a second:"
        )
        try:
            day.simulate(35.0 if arguments.quick else 180.0)
            checks += day.evaluate()
        finally:
            day.fleet.stop()
        cost = CostMeasurement(Path(folder) / "cost")
        try:
            checks += cost.measure(*((2, 80) if arguments.quick else (5, 200)))
        finally:
            cost.fleet.stop()
    failed = [text for text, met in checks if not met]
    print(f"takeover by processes: {'; '.join(t for t, _ in checks)}: {'MISSED' if failed else 'met'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
