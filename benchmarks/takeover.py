"""Work in hand while one of four gateways is killed every 5 s: what becomes of it, against an oracle.

    .venv/bin/python benchmarks/takeover.py [--quick] [--seed N] [--rate N] [--one-machine]

In memory, in virtual time: the stages, keepers and a ledger as they are, instances and clients drawn by the
seed. The oracle knows of each loss at once and begins anew whatever may be. Exit 1 when an aim is missed.
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
from meadowpulley.ledger import Replace, Step
from meadowpulley.takeover import AnswerReady, Written
from meadowpulley.takeover.model import WORK, State, decode_work
from tests.takeover_fleet import CLASSES, ORDER, PAY, READ, TERM, Fleet, Gateway

LEFT_MS = 8000.0  # every request's time
KILL_MS = 5000.0
DOWN_MS = 2000.0
AGAIN_MS = 50.0  # until a client whose gateway is gone asks another
AIM = 0.95


@dataclass
class Work:
    name: str
    cls: int
    deadline: float
    takes_ms: float
    lost_at: float = 0.0  # the first time; 0: never
    may_have_run: bool = False  # as the ledger had it then
    claimed_at: float = 0.0
    ended_at: float = 0.0
    state: State = State.OPEN
    answers: list[str] = field(default_factory=list)

    def due(self) -> State | None:
        """How the oracle ends it, if it can in time."""
        if self.cls == PAY and self.may_have_run:
            return State.FAILED
        return State.SERVED if self.lost_at + self.takes_ms <= self.deadline else None


class Day(Fleet):
    def __init__(self, seed: int, rate: float, one_machine: bool, names: str = "abcd") -> None:
        self.rng, self.rate, self.one_machine = Random(seed), rate, one_machine
        self.work: dict[str, Work] = {}
        self.asking: dict[str, Gateway] = {}
        self.peak = 0
        super().__init__(names, written=Written.ALL)
        self.won = self._won

    def run(self, gateway: Gateway, request: int, n: int, name: str, cls: int) -> None:
        self.ran[name] += 1
        body = f"run {self.ran[name]}".encode()

        def end() -> None:
            gateway.tell(AnswerReady(request, 200, (), body))
            gateway.tell(Outcome(request, n, 1, Result.OK, self.work[name].takes_ms, request_complete=True))

        gateway.later(self.work[name].takes_ms, end)

    def arrive(self) -> None:
        long = self.rng.random() < 0.2
        takes = self.rng.uniform(500.0, 2500.0) if long else self.rng.expovariate(1 / 60.0)
        name, cls = f"r{len(self.work)}", self.rng.choice([READ, ORDER, PAY])
        self.work[name] = Work(name, cls, self.now + LEFT_MS, takes)
        self.ask_at_one(name)
        self.at(self.now + self.rng.expovariate(self.rate / 1000.0), self.arrive)

    def ask_at_one(self, name: str) -> None:
        work = self.work[name]
        if self.now < work.deadline:
            gateway = self.rng.choice([g for g in self.gateways.values() if g.up])
            self.asking[name] = gateway
            gateway.ask(name, work.cls, left=work.deadline - self.now)

    def lose_one(self) -> None:
        self.lose(self.rng.choice([g for g in self.gateways.values() if g.up]))
        self.at(self.now + self.rng.uniform(0.9, 1.1) * KILL_MS, self.lose_one)

    def lose_seven(self) -> None:
        for gateway in list(self.gateways.values())[:7]:
            self.lose(gateway)

    def lose(self, gateway: Gateway) -> None:
        self.kill(gateway.name)
        for record in self.store.scan(WORK):
            found = decode_work(record.value)
            if record.by == gateway.life and not found.ended:
                work = self.work[record.key[len(WORK) :]]
                work.lost_at = work.lost_at or self.now
                work.may_have_run = work.may_have_run or bool(found.rights)
        for name, at in list(self.asking.items()):
            if at is gateway and name not in gateway.said:
                self.at(self.now + AGAIN_MS, partial(self.ask_at_one, name))
        if self.one_machine:
            self.store.dead.add(gateway.life)
        self.at(self.now + DOWN_MS, partial(self.start, gateway))

    def start(self, gone: Gateway) -> None:
        self.store.dead.add(gone.life)
        self.past.append(gone)
        self.gateways[gone.name] = Gateway(self, gone.name)

    def _won(self, gateway: Gateway, step: Step) -> None:
        write = step.writes[0]
        if not isinstance(write, Replace) or not write.key.startswith(WORK):
            return
        work, found = self.work[write.key[len(WORK) :]], decode_work(write.value)
        if work.lost_at and not work.claimed_at and found.lives > 1:
            work.claimed_at = self.now
        if found.ended:
            work.ended_at, work.state = self.now, found.state
        adopted = sum(h.request.adopted for h in gateway.stage.hands.by_name.values())
        self.peak = max(self.peak, adopted)

    def play(self, ms: float, lose: Callable[[], None]) -> None:
        self.past: list[Gateway] = []
        self.arrive()
        self.at(self.now + KILL_MS, lose)
        self.go(ms)
        self.rate = 1e-9
        self.go(LEFT_MS + 3 * TERM)
        for gateway in [*self.past, *self.gateways.values()]:
            for name, words in gateway.said.items():
                self.work[name].answers += words

    def judge(self, aim: float) -> list[tuple[str, bool]]:
        lost = [w for w in self.work.values() if w.lost_at]
        long = [w for w in lost if w.deadline - w.lost_at > 2 * TERM and w.due() is not None]
        well = [w for w in long if w.state is w.due() and w.ended_at <= w.deadline]
        twice = sum(self.ran[w.name] > 1 for w in self.work.values() if w.cls == PAY)
        differ = sum(len(set(w.answers)) > 1 for w in self.work.values())
        unanswered = sum(not w.answers for w in self.work.values())
        print(f"  {len(self.work)} requests, {len(lost)} lost with their gateway, term {TERM:g} ms")
        print(spread("  loss to claim", [w.claimed_at - w.lost_at for w in lost if w.claimed_at]))
        print(spread("  loss to end", [w.ended_at - w.lost_at for w in lost if w.ended_at]))
        for cls in (READ, ORDER, PAY):
            of = [w for w in long if w.cls == cls]
            print(f"  {CLASSES[cls].name}: {sum(w in well for w in of)} of {len(of)} as the oracle's")
        return [
            (f"ended as the oracle's {len(well)} of {len(long)}", len(well) >= aim * len(long)),
            (f"unsafe effects twice {twice}", twice == 0),
            (f"requests answered in two ways {differ}", differ == 0),
            (f"unanswered {unanswered}", unanswered == 0),
            (
                f"most adopted at once {self.peak} of {self.terms.most_open}",
                self.peak <= self.terms.most_open,
            ),
        ]


def spread(what: str, times: list[float]) -> str:
    cuts = statistics.quantiles(times, n=100) if len(times) > 1 else [0.0] * 99
    return f"{what} {cuts[49]:.0f} ms (90%: {cuts[89]:.0f}, most {max(times, default=0):.0f}, n {len(times)})"


def cost(written: Written, cls: int, many: int = 3000) -> float:
    """Microseconds of CPU a request, in the stages of one gateway and its ledger in memory."""
    fleet = Fleet("a", written=written)
    fleet.takes_ms = 5.0
    began = time.process_time()
    for n in range(many):
        fleet["a"].ask(f"n{n}", cls)
        fleet.go(10.0)
    return (time.process_time() - began) / many * 1e6


def main() -> int:
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    parser.add_argument("--quick", action="store_true", help="one minute of virtual time instead of ten")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=60.0, help="requests a second, over all gateways")
    parser.add_argument("--one-machine", action="store_true", help="the ledger knows which processes ended")
    given = parser.parse_args()
    day = Day(given.seed, given.rate, given.one_machine)
    day.play(60_000.0 if given.quick else 600_000.0, day.lose_one)
    print(f"seed {given.seed}, one of four killed every {KILL_MS / 1000:g} s:")
    checks = day.judge(AIM)
    mass = Day(given.seed, 5 * given.rate, given.one_machine, "abcdefghij")
    mass.play(3 * KILL_MS, mass.lose_seven)
    print(f"seven of ten killed at once, {5 * given.rate:g} requests a second:")
    checks += [(f"of seven in ten: {text}", well) for text, well in mass.judge(0.0)]
    figures: list[tuple[str, Callable[[], float]]] = [
        ("none", lambda: cost(Written.NONE, PAY)),
        ("those not simply repeated, a safe one", lambda: cost(Written.UNREPEATABLE, READ)),
        ("those not simply repeated, an unsafe one", lambda: cost(Written.UNREPEATABLE, PAY)),
    ]
    base = 0.0
    for what, measure in figures:
        took = min(measure() for _ in range(3))
        base = base or took
        print(
            f"  stages and ledger in memory, written {what}: {took:.0f} us a request, {took / base:.2f} times"
        )
    failed = [text for text, well_done in checks if not well_done]
    print(f"takeover: {'; '.join(text for text, _ in checks)}: {'MISSED' if failed else 'met'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
