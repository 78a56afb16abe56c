"""The keeper: leases, suspicion and who ends a lost life, on clocks of their own in virtual time."""

from __future__ import annotations

import heapq
import random
from typing import Any

import pytest

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger import (
    Changed,
    Commit,
    Committed,
    Create,
    Done,
    Ended,
    Groups,
    How,
    Keeper,
    LedgerBack,
    Life,
    MemoryStore,
    Seal,
    Step,
    Suspected,
    Terms,
    Watched,
    choose,
)

TERMS = Terms(term_ms=1000.0)
POLL, ANSWER = 50.0, 10.0


class Noted:
    """The stage inside: it notes what it is told."""

    def __init__(self) -> None:
        self.told: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.told.append(event)
        return []


class Gateway:
    """A keeper on a clock that starts anywhere and runs up to 1% off, polling a store in memory."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.inner = fleet, Noted()
        self.rate, self.offset = 1.0 + fleet.random.uniform(-0.01, 0.01), fleet.random.uniform(0.0, 1e6)
        self.stopped = self.killed = False
        self.missed: list[Any] = []
        self.sealed: list[Life] = []
        self.reads = self.version = 0
        self.names: tuple[str, ...] | None = ()
        self.keeper = Keeper(fleet.store.begin(name, TERMS.term_ms), TERMS, self.inner)
        self.carry_out(self.keeper.start(self.now()))
        fleet.at(fleet.random.uniform(0.0, POLL), self.poll)

    def now(self) -> float:
        return self.offset + self.fleet.time * self.rate

    def tell(self, event: Any) -> None:
        self.carry_out(self.keeper.handle(self.now(), event))

    def awake(self, again: Any) -> bool:
        if self.stopped:
            self.missed.append(again)
        return not self.stopped and not self.killed

    def wake(self) -> None:
        self.stopped, missed, self.missed = False, self.missed, []
        for call in missed:
            call()

    def poll(self) -> None:
        if not self.awake(self.poll):
            return
        changes = self.fleet.store.changes(self.version, (), self.names)
        self.version, self.reads, began = changes.version, self.reads + len(changes.members), self.now()
        self.fleet.at(ANSWER, lambda: self.looked(Changed(changes, began)))

    def looked(self, event: Changed) -> None:
        """What it asks to watch meanwhile, this look did not have yet."""
        if self.awake(lambda: self.looked(event)):
            self.tell(event)
            self.fleet.at(POLL - ANSWER, self.poll)

    def carry_out(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Watched):
                self.names = action.names
            elif isinstance(action, SetTimer):
                self.fleet.at(action.delay_ms / self.rate, self.timer)
            elif isinstance(action, Commit):
                done = self.fleet.store.commit(self.keeper.me, action.steps)
                for step, answer in zip(action.steps, done, strict=True):
                    if isinstance(write := step.writes[0], Seal) and answer.how is How.WON:
                        self.sealed.append(write.life)
                self.fleet.seals += sum(isinstance(s.writes[0], Seal) for s in action.steps)
                self.fleet.at(1.0, lambda a=action, d=done: self.told(a, tuple(d)))

    def told(self, action: Commit, done: tuple[Done, ...]) -> None:
        if self.awake(lambda: self.told(action, done)):
            self.tell(Committed(action.ticket, done, action.owner))

    def timer(self) -> None:
        if self.awake(self.timer):
            self.tell(Timer(5))


class Fleet:
    def __init__(self, many: int, seed: int) -> None:
        self.random, self.store, self.time = random.Random(seed), MemoryStore(), 0.0
        self.calls: list[tuple[float, int, Any]] = []
        self.seals = self.numbers = 0
        self.gateways = [Gateway(self, f"n{n}") for n in range(many)]

    def at(self, delay: float, call: Any) -> None:
        self.numbers += 1
        heapq.heappush(self.calls, (self.time + delay, self.numbers, call))

    def run(self, for_ms: float) -> None:
        end = self.time + for_ms
        while self.calls and self.calls[0][0] <= end:
            self.time, _, call = heapq.heappop(self.calls)
            call()
        self.time = end

    def told(self, kind: type) -> list[Any]:
        return [e for g in self.gateways for e in g.inner.told if isinstance(e, kind)]


@pytest.mark.parametrize("seed", range(5))
def test_nobody_is_suspected_while_all_live(seed: int) -> None:
    fleet = Fleet(12, seed)
    fleet.run(20_000.0)
    assert all(g.keeper.may_act(g.now()) for g in fleet.gateways)
    assert not fleet.told(Suspected) and not fleet.seals


@pytest.mark.parametrize(("many", "killed"), [(3, 1), (10, 7), (60, 42), (200, 140)])
def test_each_lost_life_is_ended_once_and_all_are_told(many: int, killed: int) -> None:
    fleet = Fleet(many, many)
    fleet.run(3_000.0)
    lost = fleet.random.sample(fleet.gateways, killed)
    left = [g for g in fleet.gateways if g not in lost]
    for gateway in lost:
        gateway.killed = True
    for _ in range(40):
        fleet.run(100.0)
        # Nobody is counted out before it has stopped acting by its own clock, nor is anybody else.
        for g in left:
            assert g.keeper.may_act(g.now())
    # Found within two terms and what the others wait for each other.
    assert sorted(s for g in left for s in g.sealed) == sorted(g.keeper.me for g in lost)
    for gateway in left:
        ended = {
            m.life for e in gateway.inner.told if isinstance(e, Suspected) for m in e.members if m.sealed
        }
        assert ended == {g.keeper.me for g in lost}
    assert fleet.seals == killed  # and as each waits for those before it, nobody tries in vain


def test_what_is_read_grows_with_the_fleet() -> None:
    reads = []
    for many in (10, 50, 200):
        fleet = Fleet(many, 1)
        fleet.run(2_000.0)
        before = sum(g.reads for g in fleet.gateways)
        fleet.run(5_000.0)
        reads.append((sum(g.reads for g in fleet.gateways) - before) / many)
    assert max(reads) < 1.1 * min(reads)


def test_a_stopped_gateway_finds_out_before_it_may_act() -> None:
    fleet = Fleet(4, 3)
    fleet.run(2_000.0)
    slept = fleet.gateways[0]
    slept.stopped = True
    fleet.run(5_000.0)
    assert not slept.keeper.may_act(slept.now())
    slept.wake()
    fleet.run(POLL)
    assert [e for e in slept.inner.told if isinstance(e, Ended)] == [Ended()]
    assert not slept.keeper.may_act(slept.now()) and not slept.sealed
    fleet.run(3_000.0)
    assert sum(len(g.sealed) for g in fleet.gateways) == 1


def test_a_machine_that_slept_finds_nobody_lost() -> None:
    fleet = Fleet(6, 4)
    fleet.run(2_000.0)
    for gateway in fleet.gateways:
        gateway.stopped = True
    fleet.run(60_000.0)
    assert not any(g.keeper.may_act(g.now()) for g in fleet.gateways)
    for gateway in fleet.gateways:
        gateway.wake()
    fleet.run(4_000.0)
    assert all(g.keeper.may_act(g.now()) for g in fleet.gateways) and not fleet.seals


def test_a_ledger_that_comes_back_ends_nobody() -> None:
    fleet = Fleet(5, 5)
    fleet.run(2_000.0)
    for gateway in fleet.gateways:
        gateway.stopped = True
    fleet.run(400.0)  # short enough that nobody counts anew for that alone
    for gateway in fleet.gateways:
        gateway.stopped, gateway.missed = False, []
        before = {n: s.since for n, s in gateway.keeper.seen.items()}
        gateway.tell(LedgerBack())
        gateway.looked(Changed(fleet.store.changes(0, (), ()), gateway.now()))
        assert all(s.since > before[n] for n, s in gateway.keeper.seen.items())


def test_no_life_may_act_once_another_counts_its_lease_as_run_out() -> None:
    for seed in range(40):
        fleet = Fleet(5, seed)
        fleet.run(2_000.0)
        cut = fleet.gateways[0]
        cut.awake = lambda again: False  # type: ignore[method-assign]
        while not fleet.told(Suspected):
            acting = cut.keeper.may_act(cut.now())
            fleet.run(1.0)
        assert not acting


def test_a_process_known_to_have_ended_is_not_waited_for() -> None:
    fleet = Fleet(5, 6)
    fleet.run(2_000.0)
    fleet.gateways[2].killed = True
    fleet.store.dead.add(fleet.gateways[2].keeper.me)
    fleet.run(300.0)
    assert fleet.store.lives["n2"].sealed


def test_a_planned_stop_leaves_at_once() -> None:
    fleet = Fleet(4, 7)
    fleet.run(2_000.0)
    leaver = fleet.gateways[1]
    leaver.carry_out(leaver.keeper.leave())
    fleet.run(2 * POLL)
    assert fleet.store.lives["n1"].sealed and not [e for e in leaver.inner.told if isinstance(e, Ended)]
    assert all(any(isinstance(e, Suspected) for e in g.inner.told) for g in fleet.gateways if g is not leaver)


def test_a_key_moves_only_if_its_life_is_lost() -> None:
    lives = [Life(f"n{n}", 1) for n in range(20)]
    parts = {life: 0 for life in lives}
    for n in range(2_000):
        order = choose(f"k{n}", lives)
        parts[order[0]] += 1
        assert choose(f"k{n}", [x for x in lives if x != order[0]]) == order[1:]
    assert min(parts.values()) > 50 and max(parts.values()) < 150


def test_groups_hold_to_their_bounds_and_answer_each_its_own() -> None:
    groups = Groups(most_steps=3, most_bytes=2_000)
    step, big = Step((Create("k", b"v"),)), Step((Create("k", bytes(1_500)),))
    asked = [
        Commit(1, (step, step), "a"),
        Commit(2, (step, step), "b"),
        Commit(3, (big,) * 2),
        Commit(4, (big,)),
    ]
    for commit in asked:
        groups.add(commit)
    taken = []
    while group := groups.take():
        taken.append([c.ticket for c in group.commits])
        done = [Done(How.WON, version=n) for n in range(len(group.steps))]
        answers = group.answers(done)
        assert [(a.owner, len(a.done)) for a in answers] == [(c.owner, len(c.steps)) for c in group.commits]
        assert [d for a in answers for d in a.done] == done
    assert taken == [[1], [2], [3], [4]] and not groups.bytes
