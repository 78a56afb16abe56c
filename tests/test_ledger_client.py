"""The ledger at a gateway: groups by turn, waits that end, faults told once, and settings that can't be."""

from __future__ import annotations

import heapq
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger import (
    Changed,
    Commit,
    Committed,
    Create,
    Ended,
    How,
    LedgerBack,
    LedgerError,
    LedgerLost,
    MemoryStore,
    RefusedError,
    Renew,
    Scan,
    Scanned,
    Seal,
    Step,
)
from meadowpulley.ledger.client import LedgerClient, Result, Worker, start_ledger
from meadowpulley.ledger.config import LedgerSettings, read_settings
from meadowpulley.ledger.entries import Steps, encode
from meadowpulley.ledger.groups import MOST_STEPS
from meadowpulley.net.counters import Counters


class Host:
    """A gateway's clock, log and counters, and what it was told."""

    def __init__(self) -> None:
        self.deadlines, self.log, self.counters = self, self, Counters()
        self.time, self.calls, self.lines = 0.0, list[tuple[float, int, Callable[[], None]]](), list[str]()
        self.told, self.passed_on = list[Any](), list[Any]()
        self.client: LedgerClient | None = None
        self.numbers = 0
        self.watches: tuple[str, ...] = ("x/",)
        self.functions: dict[type, Callable[[Any], None]] = {
            SetTimer: lambda a: self.after(a.delay_ms, lambda: self.tell(Timer(a.token)))
        }

    def now(self) -> float:
        return self.time

    def after(self, delay: float, call: Callable[[], None]) -> None:
        self.numbers += 1
        heapq.heappush(self.calls, (self.time + delay, self.numbers, call))

    def info(self, event: str, line: str = "", **fields: Any) -> None:
        self.lines.append(line or event)

    warning = error = info

    def tell(self, event: Any) -> None:
        self.told.append(event)
        if self.client is not None and self.client.keeper is not None:
            for action in self.client.keeper.handle(self.time, event):
                self.functions[type(action)](action)

    def carry_out(self, kind: type, function: Callable[[Any], None]) -> None:
        self.functions[kind] = function

    def handle(self, now: float, event: Any) -> list[Any]:
        """As the stages inside."""
        self.passed_on.append(event)
        return []

    def run(self, for_ms: float) -> None:
        end = self.time + for_ms
        while self.calls and self.calls[0][0] <= end:
            self.time, _, call = heapq.heappop(self.calls)
            call()
        self.time = end

    def of(self, kind: type, owner: str = "t") -> list[Any]:
        return [e for e in self.told if isinstance(e, kind) and getattr(e, "owner", owner) == owner]


class Later:
    """A thread that works when the test wants."""

    def __init__(self) -> None:
        self.jobs: list[tuple[Callable[[], Result], Callable[[Result], None]]] = []
        self.stuck = False

    def __call__(self, work: Callable[[], Result], done: Callable[[Result], None]) -> None:
        self.jobs.append((work, done))
        if not self.stuck:
            self.work()

    def work(self) -> None:
        while self.jobs:
            work, done = self.jobs.pop(0)
            done(work())

    def close(self, wait_ms: float) -> bool:
        """The reactor has stopped: nobody is told what became of the jobs."""
        for work, _ in self.jobs:
            work()
        return True


def settings(**environ: str) -> LedgerSettings:
    found = read_settings({"MEADOWPULLEY_LEDGER": "/l", **environ})
    assert found is not None
    return found


class At:
    def __init__(self) -> None:
        self.host, self.store, self.aside = Host(), MemoryStore(), Later()
        self.other = self.store.begin("other", 2000.0)
        life = self.store.begin("n", 2000.0)
        self.client = LedgerClient(self.host, self.store, life, settings(), self.aside)
        self.host.client = self.client
        self.client.wrap(self.host, lambda: self.host.watches)
        self.client.start()
        self.host.run(500.0)

    def ask(self, ticket: int, *keys: str) -> None:
        self.client.commit(Commit(ticket, tuple(Step((Create(k, b""),)) for k in keys), "t"))


def test_what_one_turn_asks_goes_together_and_comes_back_apart() -> None:
    at, groups = At(), []
    real = at.store.commit
    at.store.commit = lambda by, steps: groups.append(len(steps)) or real(by, steps)  # type: ignore
    at.ask(1, "x/1", "x/2")
    at.ask(2, "x/1")
    at.client.scan(Scan(3, "x/", "t"))
    assert not at.host.of(Committed)
    at.host.run(0.0)
    assert groups == [3] and [(c.ticket, [d.how for d in c.done]) for c in at.host.of(Committed)] == [
        (1, [How.WON, How.WON]),
        (2, [How.LOST]),
    ]
    assert [r.key for r in at.host.of(Scanned)[0].records] == ["x/1", "x/2"]
    at.host.run(100.0)
    changes = [r.key for c in at.host.of(Changed) for r in c.changes.records]
    assert changes == ["x/1", "x/2"] and at.client.may_act(at.host.time)
    at.store.commit(at.other, [Step((Create("y/1", b""),))])
    at.host.watches = ("x/2", "y/")
    at.host.run(100.0)
    whole = [c.changes for c in at.host.of(Changed) if c.changes.whole]
    assert [r.key for r in whole[-1].records] == ["x/2", "y/1"] and len(
        whole
    ) == 2  # the first look, and this


def test_a_ledger_that_fails_is_told_once_and_served_without() -> None:
    at = At()
    at.store.fault = "ledger: /l: No space left on device: see to that disk"
    for ticket in range(50):
        at.ask(ticket, f"x/{ticket}")
        at.client.scan(Scan(ticket, "x/", "t"))
        at.host.run(100.0)
    assert {d.how for c in at.host.of(Committed) for d in c.done} == {How.UNKNOWN}
    assert len(at.host.of(Committed)) == len(at.host.of(Scanned)) == 50 and len(at.host.of(LedgerLost)) == 1
    assert [line for line in at.host.lines if "No space" in line] == [
        f"{at.store.fault}; serving on without it"
    ]
    assert not at.client.may_act(at.host.time)
    at.store.fault = ""
    at.host.run(1000.0)
    assert len(at.host.of(LedgerBack)) == 1 and at.client.may_act(at.host.time)
    at.ask(99, "x/99")
    at.host.run(0.0)
    assert at.host.of(Committed)[-1].done[0].how is How.WON


# What a disk without room refuses, while all looks succeed: every write, or those that need a new block of
# it; whether the ledger is lost by such a write, or by a slow look that comes back once the disk is full.
FULL = {"every write": (0, False), "long writes": (2_000, False), "after a slow look": (0, True)}


@pytest.mark.parametrize(("room", "slow_look"), FULL.values(), ids=FULL)
def test_a_ledger_that_can_be_read_and_not_written_stays_lost(
    monkeypatch: pytest.MonkeyPatch, room: int, slow_look: bool
) -> None:
    at, real = At(), MemoryStore.commit

    def full(by: Any, steps: Any) -> Any:
        lines = tuple(s for s in steps if Renew() not in s.writes)  # a renewal is a name, and no line
        if lines and len(encode(Steps(by, "", lines))) > room:
            raise LedgerError("ledger: /l: No space left on device: see to that disk")
        return real(at.store, by, steps)

    at.aside.stuck = slow_look
    at.host.run(1_000.0)
    with monkeypatch.context() as patch:
        patch.setattr(at.store, "commit", full)
        at.aside.stuck = False
        at.aside.work()
        if not slow_look:
            at.client.commit(Commit(1, (Step((Create("x/1", bytes(3_000)),)),), "t"))
        looks = len(at.host.of(Changed))
        at.host.run(5_000.0)
        assert len(at.host.of(LedgerLost)) == 1 and not at.host.of(LedgerBack)
        assert len(at.host.of(Changed)) == looks, "nothing rests on looks while it is lost"
    at.host.run(1_000.0)
    assert len(at.host.of(LedgerBack)) == 1 and not at.store.scan("probe")


def test_a_disk_that_hangs_leaves_nobody_waiting_and_its_late_answer_counts_for_nothing() -> None:
    at = At()
    at.aside.stuck = True
    at.ask(1, "x/1")
    at.host.run(1.0)
    at.ask(2, "x/2")
    asked = at.host.time
    while not at.host.of(Committed):
        at.host.run(1.0)
    assert at.host.time - asked <= settings().unknown_ms
    assert [(c.ticket, c.done[0].how) for c in at.host.of(Committed)] == [(1, How.UNKNOWN), (2, How.UNKNOWN)]
    at.host.run(5_000.0)
    assert len(at.host.of(LedgerLost)) == 1 and len(at.aside.jobs) == 1
    at.ask(3, "x/3")
    assert at.host.of(Committed)[-1].done[0].how is How.UNKNOWN
    at.aside.stuck = False
    at.aside.work()
    at.host.run(1_000.0)
    assert len(at.host.of(Committed)) == 3 and len(at.host.of(LedgerBack)) == 1
    assert [r.key for r in at.store.scan("x/")] == ["x/1"]


def test_what_is_asked_at_the_end_goes_behind_a_look_under_way() -> None:
    at = At()
    at.aside.stuck = True
    at.host.run(100.0)
    assert at.aside.jobs
    for ticket in range(MOST_STEPS + 2):  # more than go into one group
        at.ask(ticket, f"x/{ticket}")
    at.client.leave()
    at.client.close()
    assert len(at.store.scan("x/")) == MOST_STEPS + 2 and at.store.lives["n"].sealed


def test_a_sealed_gateway_is_told_once_and_asks_no_more() -> None:
    at = At()
    renewal = at.store.lives["n"].renewal
    at.store.commit(at.other, [Step((Seal(at.client.life, renewal),))])
    at.ask(1, "x/1")
    at.host.run(1_000.0)
    at.ask(2, "x/2")
    assert [c.done[0].how for c in at.host.of(Committed)] == [How.SEALED] * 2
    assert sum("was ended by another" in line for line in at.host.lines) == 1 and not at.aside.jobs
    assert at.host.passed_on.count(Ended()) == 1


def test_a_planned_stop_ends_the_life_without_a_word() -> None:
    at = At()
    at.ask(1, "x/last")
    at.client.leave()
    at.client.close()
    assert at.store.lives["n"].sealed and at.store.read("x/last") is not None
    assert not any("ended" in line for line in at.host.lines)


class Reactor:
    def __init__(self) -> None:
        self.calls: Any = __import__("queue").Queue()

    def callFromThread(self, *call: Any) -> None:  # noqa: N802 (Twisted's name)
        self.calls.put(call)


def test_a_gateway_starts_on_a_folder_and_refuses_another_of_its_name(tmp_path: Path) -> None:
    host, reactor = Host(), Reactor()
    environ = {"MEADOWPULLEY_LEDGER": str(tmp_path)}
    assert start_ledger(host, "n", {}, reactor) is None
    client = start_ledger(host, "n", environ, reactor)
    assert client is not None and isinstance(client._aside, Worker)
    with pytest.raises(RefusedError, match="'n' is taken by a living gateway"):
        start_ledger(host, "n", environ, reactor)
    client.wrap(host, tuple)
    client.start()
    call, *given = reactor.calls.get(timeout=30)  # out of the thread, in the reactor's turn
    call(*given)
    assert host.of(Changed) and host.of(Committed, "keeper")[0].done[0].how is How.WON
    client.leave()
    client.close()
    again = start_ledger(host, "n", environ, reactor)
    assert again is not None and again.life.epoch == 2
    again.close()


@pytest.mark.parametrize(
    ("name", "value", "why"),
    [
        ("LEDGER_TERM_MS", "soon", "TERM_MS: 'soon' is no number from 1"),
        ("LEDGER_TERM_MS", "1000", "TERM_MS: 1000 is too short for renewals that may take 850"),
        ("LEDGER_POLL_MS", "0", "POLL_MS: '0' is no number from 5"),
        ("LEDGER_WAIT_MS", "nan", "WAIT_MS: 'nan'"),
        ("LEDGER_MB", "inf", "MB: 'inf'"),
        ("LEDGER_SYNC", "yes", "SYNC: 'yes' is neither 0 nor 1"),
        ("FAILPOINTS", "log.apended=kill", "FAILPOINTS: 'log.apended=kill'"),
    ],
)
def test_settings_that_cannot_be_are_refused(name: str, value: str, why: str) -> None:
    assert read_settings({f"MEADOWPULLEY_{name}": value}) is None  # and read only where there is a ledger
    with pytest.raises(RefusedError, match=why) as found:
        settings(**{f"MEADOWPULLEY_{name}": value})
    assert "\n" not in str(found.value)


def test_the_gateway_that_run_starts_imports_nothing_of_it() -> None:
    check = "import sys, meadowpulley.__main__; print([m for m in sys.modules if 'ledger' in m])"
    assert subprocess.run([sys.executable, "-c", check], capture_output=True, text=True).stdout == "[]\n"


def test_timers_of_the_keeper_come_by_the_gateway() -> None:
    at = At()
    assert Timer(5) in at.host.told
