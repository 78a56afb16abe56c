"""Takeover while one of four gateways is killed every 5 s: how requests end, compared with an oracle.

    .venv/bin/python benchmarks/takeover.py [--quick] [--seed N] [--rate N] [--one-machine]

In memory, in virtual time: the real stages, lease managers and ledger; instances and clients are drawn by the
seed. The oracle knows of each loss at once and repeats whatever may be repeated. Exit 1 when an objective is
missed.
"""

from __future__ import annotations

import argparse
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))  # for the tests' tiny fleet

from meadowpulley.interface import Outcome, Result
from meadowpulley.ledger import Replace, Transaction
from meadowpulley.takeover import JournalScope, ResponseReady
from meadowpulley.takeover.records import RECORD_PREFIX, RequestState, decode_request_record
from tests.takeover_fleet import CLASSES, LEASE_TERM_MS, ORDER, PAY, READ, Fleet, Gateway

REQUEST_TIMEOUT_MS = 8000.0  # every request's time
KILL_INTERVAL_MS = 5000.0
DOWN_MS = 2000.0
CLIENT_RETRY_MS = 50.0  # until a client whose gateway is gone asks another
MIN_OPTIMAL_SHARE = 0.95


@dataclass
class RequestOutcome:
    request_id: str
    class_index: int
    deadline_ms: float
    execution_ms: float
    lost_at_ms: float = 0.0  # the first time; 0: never
    may_have_executed: bool = False  # as the ledger had it then
    claimed_at_ms: float = 0.0
    finished_at_ms: float = 0.0
    state: RequestState = RequestState.OPEN
    responses: list[str] = field(default_factory=list)

    def oracle_state(self) -> RequestState | None:
        """How the oracle ends it, if it can in time."""
        if self.class_index == PAY and self.may_have_executed:
            return RequestState.FAILED
        return RequestState.SERVED if self.lost_at_ms + self.execution_ms <= self.deadline_ms else None


class CrashDay(Fleet):
    def __init__(self, seed: int, rate: float, one_machine: bool, names: str = "abcd") -> None:
        self.rng, self.rate, self.one_machine = Random(seed), rate, one_machine
        self.requests: dict[str, RequestOutcome] = {}
        self.gateway_by_id: dict[str, Gateway] = {}
        self.peak_adopted = 0
        super().__init__(names, journal_scope=JournalScope.ALL)
        self.on_commit = self._on_commit

    def execute(
        self, gateway: Gateway, request: int, attempt: int, request_id: str, class_index: int
    ) -> None:
        self.executions[request_id] += 1
        body = f"run {self.executions[request_id]}".encode()

        def finish() -> None:
            gateway.dispatch(ResponseReady(request, 200, (), body))
            gateway.dispatch(
                Outcome(
                    request,
                    attempt,
                    1,
                    Result.OK,
                    self.requests[request_id].execution_ms,
                    request_complete=True,
                )
            )

        gateway.call_later(self.requests[request_id].execution_ms, finish)

    def arrive(self) -> None:
        is_long = self.rng.random() < 0.2
        execution_ms = self.rng.uniform(500.0, 2500.0) if is_long else self.rng.expovariate(1 / 60.0)
        request_id, class_index = f"r{len(self.requests)}", self.rng.choice([READ, ORDER, PAY])
        self.requests[request_id] = RequestOutcome(
            request_id, class_index, self.now + REQUEST_TIMEOUT_MS, execution_ms
        )
        self.submit_to_random_gateway(request_id)
        self.call_at(self.now + self.rng.expovariate(self.rate / 1000.0), self.arrive)

    def submit_to_random_gateway(self, request_id: str) -> None:
        request = self.requests[request_id]
        if self.now < request.deadline_ms:
            gateway = self.rng.choice([g for g in self.gateways.values() if g.running])
            self.gateway_by_id[request_id] = gateway
            gateway.submit(request_id, request.class_index, remaining_ms=request.deadline_ms - self.now)

    def crash_one(self) -> None:
        self.crash(self.rng.choice([g for g in self.gateways.values() if g.running]))
        self.call_at(self.now + self.rng.uniform(0.9, 1.1) * KILL_INTERVAL_MS, self.crash_one)

    def crash_seven(self) -> None:
        for gateway in list(self.gateways.values())[:7]:
            self.crash(gateway)

    def crash(self, gateway: Gateway) -> None:
        self.kill(gateway.name)
        for record in self.store.scan(RECORD_PREFIX):
            request_record = decode_request_record(record.value)
            if record.writer == gateway.incarnation and not request_record.is_final:
                request = self.requests[record.key[len(RECORD_PREFIX) :]]
                request.lost_at_ms = request.lost_at_ms or self.now
                request.may_have_executed = request.may_have_executed or bool(request_record.grants)
        for request_id, target in list(self.gateway_by_id.items()):
            if target is gateway and request_id not in gateway.responses:
                self.call_at(self.now + CLIENT_RETRY_MS, partial(self.submit_to_random_gateway, request_id))
        if self.one_machine:
            self.store.dead_incarnations.add(gateway.incarnation)
        self.call_at(self.now + DOWN_MS, partial(self.restart, gateway))

    def restart(self, crashed: Gateway) -> None:
        self.store.dead_incarnations.add(crashed.incarnation)
        self.stopped_gateways.append(crashed)
        self.gateways[crashed.name] = Gateway(self, crashed.name)

    def _on_commit(self, gateway: Gateway, step: Transaction) -> None:
        write = step.writes[0]
        if not isinstance(write, Replace) or not write.key.startswith(RECORD_PREFIX):
            return
        request, request_record = (
            self.requests[write.key[len(RECORD_PREFIX) :]],
            decode_request_record(write.value),
        )
        if request.lost_at_ms and not request.claimed_at_ms and request_record.owner_count > 1:
            request.claimed_at_ms = self.now
        if request_record.is_final:
            request.finished_at_ms, request.state = self.now, request_record.state
        adopted_count = sum(h.request.adopted for h in gateway.stage.journal.by_id.values())
        self.peak_adopted = max(self.peak_adopted, adopted_count)

    def simulate(self, duration_ms: float, crash: Callable[[], None]) -> None:
        self.stopped_gateways: list[Gateway] = []
        self.arrive()
        self.call_at(self.now + KILL_INTERVAL_MS, crash)
        self.advance(duration_ms)
        self.rate = 1e-9
        self.advance(REQUEST_TIMEOUT_MS + 3 * LEASE_TERM_MS)
        for gateway in [*self.stopped_gateways, *self.gateways.values()]:
            for request_id, responses in gateway.responses.items():
                self.requests[request_id].responses += responses

    def evaluate(self, min_optimal_share: float) -> list[tuple[str, bool]]:
        lost = [w for w in self.requests.values() if w.lost_at_ms]
        recoverable = [
            w
            for w in lost
            if w.deadline_ms - w.lost_at_ms > 2 * LEASE_TERM_MS and w.oracle_state() is not None
        ]
        optimal = [
            w for w in recoverable if w.state is w.oracle_state() and w.finished_at_ms <= w.deadline_ms
        ]
        executed_twice = sum(
            self.executions[w.request_id] > 1 for w in self.requests.values() if w.class_index == PAY
        )
        inconsistent = sum(len(set(w.responses)) > 1 for w in self.requests.values())
        unanswered = sum(not w.responses for w in self.requests.values())
        print(
            f"  {len(self.requests)} requests, {len(lost)} lost with their gateway, term {LEASE_TERM_MS:g} ms"
        )
        print(
            percentiles("  loss to claim", [w.claimed_at_ms - w.lost_at_ms for w in lost if w.claimed_at_ms])
        )
        print(
            percentiles("  loss to end", [w.finished_at_ms - w.lost_at_ms for w in lost if w.finished_at_ms])
        )
        for class_index in (READ, ORDER, PAY):
            in_class = [w for w in recoverable if w.class_index == class_index]
            print(
                f"  {CLASSES[class_index].name}: {sum(w in optimal for w in in_class)} of {len(in_class)}"
                " as the oracle's"
            )
        return [
            (
                f"ended as the oracle's {len(optimal)} of {len(recoverable)}",
                len(optimal) >= min_optimal_share * len(recoverable),
            ),
            (f"unsafe effects twice {executed_twice}", executed_twice == 0),
            (f"requests answered in two ways {inconsistent}", inconsistent == 0),
            (f"unanswered {unanswered}", unanswered == 0),
            (
                f"most adopted at once {self.peak_adopted} of {self.settings.max_adopted}",
                self.peak_adopted <= self.settings.max_adopted,
            ),
        ]


def percentiles(label: str, durations_ms: list[float]) -> str:
    cuts = statistics.quantiles(durations_ms, n=100) if len(durations_ms) > 1 else [0.0] * 99
    largest = max(durations_ms, default=0)
    return f"{label} {cuts[49]:.0f} ms (90%: {cuts[89]:.0f}, most {largest:.0f}, n {len(durations_ms)})"


def cpu_cost_us(scope: JournalScope, class_index: int, count: int = 3000) -> float:
    """Microseconds of CPU a request, in the stages of one gateway and its ledger in memory."""
    fleet = Fleet("a", journal_scope=scope)
    fleet.execution_ms = 5.0
    began_s = time.process_time()
    for n in range(count):
        fleet["a"].submit(f"n{n}", class_index)
        fleet.advance(10.0)
    return (time.process_time() - began_s) / count * 1e6


def main() -> int:
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--quick", action="store_true", help="one minute of virtual time instead of ten")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=60.0, help="requests a second, over all gateways")
    parser.add_argument("--one-machine", action="store_true", help="the ledger knows which processes ended")
    arguments = parser.parse_args()
    day = CrashDay(arguments.seed, arguments.rate, arguments.one_machine)
    day.simulate(60_000.0 if arguments.quick else 600_000.0, day.crash_one)
    print(f"seed {arguments.seed}, one of four killed every {KILL_INTERVAL_MS / 1000:g} s:")
    checks = day.evaluate(MIN_OPTIMAL_SHARE)
    mass_crash = CrashDay(arguments.seed, 5 * arguments.rate, arguments.one_machine, "abcdefghij")
    mass_crash.simulate(3 * KILL_INTERVAL_MS, mass_crash.crash_seven)
    print(f"seven of ten killed at once, {5 * arguments.rate:g} requests a second:")
    checks += [(f"of seven in ten: {text}", well) for text, well in mass_crash.evaluate(0.0)]
    cost_cases: list[tuple[str, Callable[[], float]]] = [
        ("none", lambda: cpu_cost_us(JournalScope.NONE, PAY)),
        ("those not simply repeated, a safe one", lambda: cpu_cost_us(JournalScope.UNREPEATABLE, READ)),
        ("those not simply repeated, an unsafe one", lambda: cpu_cost_us(JournalScope.UNREPEATABLE, PAY)),
    ]
    baseline_us = 0.0
    for label, measure in cost_cases:
        cost_us = min(measure() for _ in range(3))
        baseline_us = baseline_us or cost_us
        print(
            f"  stages and ledger in memory, written {label}: {cost_us:.0f} us a request,"
            f" {cost_us / baseline_us:.2f} times"
        )
    failed = [text for text, well_done in checks if not well_done]
    print(f"takeover: {'; '.join(text for text, _ in checks)}: {'MISSED' if failed else 'met'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
