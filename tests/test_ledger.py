"""Tests of the lease manager in virtual time, where each gateway has its own clock."""

from __future__ import annotations

import heapq
import random
from typing import Any

import pytest

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger import (
    Commit,
    CommitCompleted,
    CommitQueue,
    Create,
    Fence,
    Fenced,
    Incarnation,
    LeaseExpired,
    LeaseManager,
    LeaseTimings,
    LedgerChanged,
    LedgerRecovered,
    MemoryStore,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    WatchRequest,
    rendezvous_order,
)
from meadowpulley.ledger.lease_manager import LEASE_TIMER

TIMINGS = LeaseTimings(term_ms=1000.0)
POLL_MS, ANSWER_MS = 50.0, 10.0


class EventRecorder:
    """The inner stage, which records the events that it receives."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.events.append(event)
        return []


class Gateway:
    """A lease manager that polls an in-memory store; its clock has a random offset and up to 1% drift."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.inner = fleet, EventRecorder()
        self.rate, self.offset = 1.0 + fleet.random.uniform(-0.01, 0.01), fleet.random.uniform(0.0, 1e6)
        self.stopped = self.killed = False
        self.missed_calls: list[Any] = []
        self.fenced_incarnations: list[Incarnation] = []
        self.members_read = self.version = 0
        self.watched_names: tuple[str, ...] | None = ()
        self.lease_manager = LeaseManager(fleet.store.register(name, TIMINGS.term_ms), TIMINGS, self.inner)
        self.run_actions(self.lease_manager.start(self.now()))
        fleet.call_later(fleet.random.uniform(0.0, POLL_MS), self.poll)

    def now(self) -> float:
        return self.offset + self.fleet.time * self.rate

    def dispatch(self, event: Any) -> None:
        self.run_actions(self.lease_manager.handle(self.now(), event))

    def is_awake(self, retry: Any) -> bool:
        if self.stopped:
            self.missed_calls.append(retry)
        return not self.stopped and not self.killed

    def wake(self) -> None:
        self.stopped = False
        missed_calls = self.missed_calls
        self.missed_calls = []
        for call in missed_calls:
            call()

    def poll(self) -> None:
        if not self.is_awake(self.poll):
            return
        changes = self.fleet.store.changes(self.version, (), self.watched_names)
        self.version = changes.version
        self.members_read += len(changes.members)
        poll_started = self.now()
        self.fleet.call_later(ANSWER_MS, lambda: self.finish_poll(LedgerChanged(changes, poll_started)))

    def finish_poll(self, event: LedgerChanged) -> None:
        """Dispatch the result of a poll. Watch requests made since it started apply from the next poll on."""
        if self.is_awake(lambda: self.finish_poll(event)):
            self.dispatch(event)
            self.fleet.call_later(POLL_MS - ANSWER_MS, self.poll)

    def run_actions(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, WatchRequest):
                self.watched_names = action.names
            elif isinstance(action, SetTimer):
                self.fleet.call_later(action.delay_ms / self.rate, self.fire_timer)
            elif isinstance(action, Commit):
                results = self.fleet.store.commit(self.lease_manager.incarnation, action.transactions)
                for transaction, result in zip(action.transactions, results, strict=True):
                    if (
                        isinstance(write := transaction.writes[0], Fence)
                        and result.outcome is TransactionOutcome.COMMITTED
                    ):
                        self.fenced_incarnations.append(write.incarnation)
                self.fleet.fences += sum(isinstance(s.writes[0], Fence) for s in action.transactions)
                self.fleet.call_later(1.0, lambda a=action, d=results: self.complete_commit(a, tuple(d)))

    def complete_commit(self, commit: Commit, results: tuple[TransactionResult, ...]) -> None:
        if self.is_awake(lambda: self.complete_commit(commit, results)):
            self.dispatch(CommitCompleted(commit.ticket, results, commit.owner))

    def fire_timer(self) -> None:
        if self.is_awake(self.fire_timer):
            self.dispatch(Timer(LEASE_TIMER))


class Fleet:
    def __init__(self, gateway_count: int, seed: int) -> None:
        self.random, self.store, self.time = random.Random(seed), MemoryStore(), 0.0
        self.calls: list[tuple[float, int, Any]] = []
        self.fences = self.call_count = 0
        self.gateways = [Gateway(self, f"n{n}") for n in range(gateway_count)]

    def call_later(self, delay_ms: float, call: Any) -> None:
        self.call_count += 1
        heapq.heappush(self.calls, (self.time + delay_ms, self.call_count, call))

    def run(self, duration_ms: float) -> None:
        end = self.time + duration_ms
        while self.calls and self.calls[0][0] <= end:
            self.time, _, call = heapq.heappop(self.calls)
            call()
        self.time = end

    def events(self, kind: type) -> list[Any]:
        return [e for g in self.gateways for e in g.inner.events if isinstance(e, kind)]


@pytest.mark.parametrize("seed", range(5))
def test_no_lease_expires_while_all_gateways_live(seed: int) -> None:
    """Although clocks drift by up to 1% and polls take time, no gateway may
    see a lease expire while all gateways run.
    """
    fleet = Fleet(12, seed)
    fleet.run(20_000.0)
    assert all(g.lease_manager.holds_lease(g.now()) for g in fleet.gateways)
    assert not fleet.events(LeaseExpired)
    assert not fleet.fences


@pytest.mark.parametrize(
    ("gateway_count", "killed_count"),
    [(3, 1), (10, 7), (60, 42), (200, 140)],
    ids=["1 of 3", "7 of 10", "42 of 60", "140 of 200"],
)
def test_each_lost_incarnation_is_fenced_once_and_all_are_notified(
    gateway_count: int, killed_count: int
) -> None:
    """Up to seven of ten gateways are killed at once, so that whole runs of neighbours on the ring are
    lost. The survivors must fence each lost gateway exactly once, and must not lose their own leases.
    """
    fleet = Fleet(gateway_count, gateway_count)
    fleet.run(3_000.0)
    lost = fleet.random.sample(fleet.gateways, killed_count)
    survivors = [g for g in fleet.gateways if g not in lost]
    for gateway in lost:
        gateway.killed = True
    for _ in range(40):
        fleet.run(100.0)
        # No survivor loses its lease while the lost ones are fenced.
        for g in survivors:
            assert g.lease_manager.holds_lease(g.now())
    # All losses are found within two terms and the backoff between the survivors.
    assert sorted(s for g in survivors for s in g.fenced_incarnations) == sorted(
        g.lease_manager.incarnation for g in lost
    )
    for gateway in survivors:
        fenced = set[Incarnation]()
        for event in gateway.inner.events:
            if isinstance(event, LeaseExpired):
                fenced.update(member.incarnation for member in event.members if member.fenced)
        assert fenced == {g.lease_manager.incarnation for g in lost}
    # The survivors try to fence one after the other, so no fence is attempted twice.
    assert fleet.fences == killed_count


def test_membership_reads_grow_linearly_with_the_fleet() -> None:
    reads = []
    for gateway_count in (10, 50, 200):
        fleet = Fleet(gateway_count, 1)
        fleet.run(2_000.0)
        before = sum(g.members_read for g in fleet.gateways)
        fleet.run(5_000.0)
        reads.append((sum(g.members_read for g in fleet.gateways) - before) / gateway_count)
    assert max(reads) < 1.1 * min(reads)


def test_a_stopped_gateway_is_fenced_before_it_holds_its_lease_again() -> None:
    """A gateway is suspended for five terms and resumes. It must learn that it was fenced before it acts
    on its old lease.
    """
    fleet = Fleet(4, 3)
    fleet.run(2_000.0)
    stopped = fleet.gateways[0]
    stopped.stopped = True
    fleet.run(5_000.0)
    assert not stopped.lease_manager.holds_lease(stopped.now())
    stopped.wake()
    fleet.run(POLL_MS)
    assert [e for e in stopped.inner.events if isinstance(e, Fenced)] == [Fenced()]
    assert not stopped.lease_manager.holds_lease(stopped.now())
    assert not stopped.fenced_incarnations
    fleet.run(3_000.0)
    assert sum(len(g.fenced_incarnations) for g in fleet.gateways) == 1


def test_a_suspended_machine_expires_no_lease_on_resume() -> None:
    """The whole machine sleeps for a minute. After it resumes, no gateway may treat another as expired."""
    fleet = Fleet(6, 4)
    fleet.run(2_000.0)
    for gateway in fleet.gateways:
        gateway.stopped = True
    fleet.run(60_000.0)
    assert not any(g.lease_manager.holds_lease(g.now()) for g in fleet.gateways)
    for gateway in fleet.gateways:
        gateway.wake()
    fleet.run(4_000.0)
    assert all(g.lease_manager.holds_lease(g.now()) for g in fleet.gateways)
    assert not fleet.fences


def test_a_recovered_ledger_fences_nobody() -> None:
    """The ledger fails for less than half a term. No gateway could renew, so each lease gets a new term."""
    fleet = Fleet(5, 5)
    fleet.run(2_000.0)
    for gateway in fleet.gateways:
        gateway.stopped = True
    fleet.run(400.0)  # shorter than the poll gap that would reset the leases by itself
    for gateway in fleet.gateways:
        gateway.stopped, gateway.missed_calls = False, []
        before = {n: s.observed_at for n, s in gateway.lease_manager.observed_members.items()}
        gateway.dispatch(LedgerRecovered())
        gateway.finish_poll(LedgerChanged(fleet.store.changes(0, (), ()), gateway.now()))
        assert all(s.observed_at > before[n] for n, s in gateway.lease_manager.observed_members.items())


def test_no_incarnation_holds_a_lease_that_another_counts_as_expired() -> None:
    """A gateway can't reach the ledger. Its own lease must end before any other gateway sees it expire."""
    for seed in range(40):
        fleet = Fleet(5, seed)
        fleet.run(2_000.0)
        partitioned = fleet.gateways[0]
        partitioned.is_awake = lambda retry: False  # type: ignore[method-assign]  # no more events arrive
        while not fleet.events(LeaseExpired):
            holds_lease = partitioned.lease_manager.holds_lease(partitioned.now())
            fleet.run(1.0)
        assert not holds_lease


def test_a_dead_process_is_fenced_without_waiting_for_its_lease() -> None:
    """A process is killed and the kernel releases its lock. Other gateways must fence its incarnation at
    once, long before the lease expires.
    """
    fleet = Fleet(5, 6)
    fleet.run(2_000.0)
    fleet.gateways[2].killed = True
    fleet.store.dead_incarnations.add(fleet.gateways[2].lease_manager.incarnation)
    fleet.run(300.0)
    assert fleet.store.members_by_name["n2"].fenced


def test_graceful_shutdown_releases_the_lease_at_once() -> None:
    fleet = Fleet(4, 7)
    fleet.run(2_000.0)
    leaving = fleet.gateways[1]
    leaving.run_actions(leaving.lease_manager.release_lease())
    fleet.run(2 * POLL_MS)
    assert fleet.store.members_by_name["n1"].fenced
    assert not [e for e in leaving.inner.events if isinstance(e, Fenced)]
    assert all(
        any(isinstance(e, LeaseExpired) for e in g.inner.events) for g in fleet.gateways if g is not leaving
    )


def test_a_key_moves_only_if_its_incarnation_is_lost() -> None:
    """One of twenty gateways is lost. Its keys must move to the next gateway, and no other key may move."""
    incarnations = [Incarnation(f"n{n}", 1) for n in range(20)]
    key_counts = {incarnation: 0 for incarnation in incarnations}
    for n in range(2_000):
        order = rendezvous_order(f"k{n}", incarnations)
        key_counts[order[0]] += 1
        assert rendezvous_order(f"k{n}", [x for x in incarnations if x != order[0]]) == order[1:]
    assert min(key_counts.values()) > 50
    assert max(key_counts.values()) < 150


def test_batches_stay_within_limits_and_complete_each_commit() -> None:
    queue = CommitQueue(max_transactions=3, max_bytes=2_000)
    small, big = Transaction((Create("k", b"v"),)), Transaction((Create("k", bytes(1_500)),))
    commits = [
        Commit(1, (small, small), "a"),
        Commit(2, (small, small), "b"),
        Commit(3, (big,) * 2),
        Commit(4, (big,)),
    ]
    for commit in commits:
        queue.add(commit)
    batches = []
    while batch := queue.next_batch():
        batches.append([c.ticket for c in batch.commits])
        results = [
            TransactionResult(TransactionOutcome.COMMITTED, version=n) for n in range(len(batch.transactions))
        ]
        completions = batch.completions(results)
        assert [(a.owner, len(a.results)) for a in completions] == [
            (c.owner, len(c.transactions)) for c in batch.commits
        ]
        assert [d for a in completions for d in a.results] == results
    assert batches == [[1], [2], [3], [4]]
    assert not queue.queued_bytes
