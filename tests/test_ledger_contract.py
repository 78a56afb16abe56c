"""Tests of the contract that every ledger backend fulfils; most of them are one table of cases."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from meadowpulley.ledger import (
    CheckVersion,
    Create,
    Fence,
    Incarnation,
    LedgerUnusableError,
    MemoryStore,
    ReleaseLease,
    Remove,
    RenewLease,
    Replace,
    Store,
    Transaction,
    TransactionOutcome,
    TransactionResult,
    Write,
)
from meadowpulley.ledger.disk import DiskStore

COMMITTED, CONFLICT, FENCED = (
    TransactionOutcome.COMMITTED,
    TransactionOutcome.CONFLICT,
    TransactionOutcome.FENCED,
)


def in_memory(_: Path) -> Store:
    return MemoryStore()


def on_disk(folder: Path) -> Store:
    return DiskStore(str(folder))


def on_disk_with_small_generations(folder: Path) -> Store:
    """Return a store whose log starts a new generation after every few entries."""
    return DiskStore(str(folder), sync=True, max_log_bytes=1)


BACKENDS: dict[str, Callable[[Path], Store]] = {
    "memory": in_memory,
    "disk": on_disk,
    "small generations": on_disk_with_small_generations,
}


@pytest.fixture(params=sorted(BACKENDS))
def store(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Store]:
    made = BACKENDS[request.param](tmp_path)
    assert isinstance(made, Store)
    yield made
    made.close()


def commit_one(store: Store, incarnation: Incarnation, *writes: Write) -> TransactionResult:
    (result,) = store.commit(incarnation, [Transaction(writes)])
    return result


# Each case has the writes that are committed first, the writes of the transaction under test, its outcome,
# and the index of the write that fails (-1: none). `v` is the version of the record "k", 0 if there is none.
Case = tuple[list[Write], Callable[[int], tuple[Write, ...]], TransactionOutcome, int]
CASES: dict[str, Case] = {
    "create an absent record": ([], lambda v: (Create("k", b"1"),), COMMITTED, -1),
    "create an existing record": ([Create("k", b"0")], lambda v: (Create("k", b"1"),), CONFLICT, 0),
    "replace with the current version": (
        [Create("k", b"0")],
        lambda v: (Replace("k", b"1", v),),
        COMMITTED,
        -1,
    ),
    "replace with an old version": ([Create("k", b"0")], lambda v: (Replace("k", b"1", v - 1),), CONFLICT, 0),
    "replace an absent record": ([], lambda v: (Replace("k", b"1", 0),), CONFLICT, 0),
    "remove with the current version": ([Create("k", b"0")], lambda v: (Remove("k", v),), COMMITTED, -1),
    "remove with another version": ([Create("k", b"0")], lambda v: (Remove("k", v + 1),), CONFLICT, 0),
    "remove an absent record": ([], lambda v: (Remove("k", 0),), CONFLICT, 0),
    "check the current version": ([Create("k", b"0")], lambda v: (CheckVersion("k", v),), COMMITTED, -1),
    "check that a record is absent": ([], lambda v: (CheckVersion("k", 0),), COMMITTED, -1),
    "check that an existing record is absent": (
        [Create("k", b"0")],
        lambda v: (CheckVersion("k", 0),),
        CONFLICT,
        0,
    ),
    "two writes that succeed": (
        [Create("k", b"0")],
        lambda v: (Replace("k", b"1", v), Create("l", b"2")),
        COMMITTED,
        -1,
    ),
    "two writes of which one conflicts": (
        [Create("k", b"0")],
        lambda v: (Create("l", b"2"), Create("k", b"1")),
        CONFLICT,
        1,
    ),
    "create twice in one transaction": ([], lambda v: (Create("l", b"1"), Create("l", b"2")), CONFLICT, 1),
    "remove and create again": (
        [Create("k", b"0")],
        lambda v: (Remove("k", v), Create("k", b"1")),
        COMMITTED,
        -1,
    ),
    "fence another incarnation": (
        [],
        lambda v: (Fence(Incarnation("b", 1), 0), Create("l", b"1")),
        COMMITTED,
        -1,
    ),
    "fence an incarnation that has renewed": (
        [],
        lambda v: (Create("l", b"1"), Fence(Incarnation("b", 1), 1)),
        CONFLICT,
        1,
    ),
    "fence an unknown incarnation": ([], lambda v: (Fence(Incarnation("b", 2), 0),), CONFLICT, 0),
    "fence itself": ([], lambda v: (Fence(Incarnation("a", 1), 0),), CONFLICT, 0),
    "fence twice in one transaction": (
        [],
        lambda v: (Fence(Incarnation("b", 1), 0), Fence(Incarnation("b", 1), 0)),
        CONFLICT,
        1,
    ),
    "renew": ([], lambda v: (RenewLease(),), COMMITTED, -1),
    "release the lease after a last write": (
        [],
        lambda v: (Create("l", b"1"), ReleaseLease()),
        COMMITTED,
        -1,
    ),
    "release the lease after a conflict": (
        [Create("k", b"0")],
        lambda v: (Create("k", b"1"), ReleaseLease()),
        CONFLICT,
        0,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_transaction(store: Store, name: str) -> None:
    before, make_writes, outcome, failed_write_index = CASES[name]
    a, b = store.register("a", 1000.0), store.register("b", 1000.0)
    for write in before:
        assert commit_one(store, a, write).outcome is COMMITTED
    records_before, members_before = {r.key: r for r in store.scan("")}, store.members()
    version = records_before["k"].version if "k" in records_before else 0
    version_before = store.changes(0).version
    result = commit_one(store, a, *make_writes(version))
    assert (result.outcome, result.failed_write_index) == (outcome, failed_write_index)
    writes = make_writes(version)
    if outcome is not COMMITTED:
        key = getattr(writes[failed_write_index], "key", None)
        pending_value = next(
            (w.value for w in writes[:failed_write_index] if isinstance(w, Create) and w.key == key), None
        )
        assert (result.existing.value if result.existing else None) == (
            pending_value or (records_before[key].value if key in records_before else None)
        )
        assert {r.key: r for r in store.scan("")} == records_before
        assert store.members() == members_before
        return
    now = {r.key: r for r in store.scan("")}
    for write in writes:
        if isinstance(write, Create | Replace):
            record = store.read(write.key)
            assert record is not None
            assert (record.value, record.writer) == (write.value, a)
            assert record == now[write.key]
            assert record.version > version_before
            assert result.version >= record.version
    removed_keys = [w.key for w in writes if isinstance(w, Remove) and w.key not in now]
    changes = store.changes(version_before)
    assert set(changes.removed_keys) == set(removed_keys)
    assert not changes.is_snapshot
    assert {r.key for r in changes.records} == {k for k, r in now.items() if r.version > version_before}
    by_incarnation = {m.incarnation: m for m in store.members()}
    assert by_incarnation[a].renewal == any(isinstance(w, RenewLease) for w in writes)
    assert by_incarnation[a].fenced == any(isinstance(w, ReleaseLease) for w in writes)
    assert by_incarnation[b].fenced == any(isinstance(w, Fence) for w in writes)


def test_a_fenced_incarnation_commits_nothing(store: Store) -> None:
    """A gateway is fenced while it is suspended. After it resumes, none of its commits may have an effect."""
    a, b = store.register("a", 1000.0), store.register("b", 1000.0)
    transactions = [
        Transaction((Create("first", b""),)),
        Transaction((Fence(b, 0),)),
        Transaction((Create("last", b""),)),
    ]
    assert [d.outcome for d in store.commit(a, transactions)] == [COMMITTED, COMMITTED, COMMITTED]
    for write in (Create("k", b""), CheckVersion("first", 0), RenewLease(), Fence(a, 0), ReleaseLease()):
        assert commit_one(store, b, write).outcome is FENCED
    assert commit_one(store, a, Fence(b, 0)).outcome is CONFLICT  # an incarnation is fenced only once
    # An incarnation that was never registered is treated as fenced.
    assert commit_one(store, Incarnation("c", 1), Create("k", b"")).outcome is FENCED
    assert [r.key for r in store.scan("")] == ["first", "last"]
    assert commit_one(store, a, ReleaseLease()).outcome is COMMITTED
    assert commit_one(store, a, RenewLease()).outcome is FENCED


def test_epochs_rise_and_a_live_name_is_rejected(store: Store) -> None:
    """A name is registered repeatedly. A live incarnation must keep its name, and no epoch may be reused."""
    a, b = store.register("a", 1000.0), store.register("b", 1000.0)
    with pytest.raises(LedgerUnusableError, match="'b'"):
        store.register("b", 1000.0)
    commit_one(store, a, Fence(b, 0))
    restarted = store.register("b", 500.0)
    assert restarted == Incarnation("b", 2)
    assert commit_one(store, b, RenewLease()).outcome is FENCED
    assert commit_one(store, restarted, ReleaseLease()).outcome is COMMITTED
    assert store.register("b", 500.0) == Incarnation("b", 3)
    assert [(m.incarnation.epoch, m.fenced, m.term_ms) for m in store.members()] == [
        (1, False, 1000.0),
        (3, False, 500.0),
    ]


def test_changes_by_prefix_and_by_name(store: Store) -> None:
    incarnations = [store.register(n, 1000.0) for n in "abcd"]
    version = store.changes(0).version
    for n, incarnation in enumerate(incarnations):
        assert (
            commit_one(store, incarnation, Create(f"x/{n}", b""), Create(f"y/{n}", b"")).outcome is COMMITTED
        )
        assert commit_one(store, incarnation, RenewLease()).outcome is COMMITTED
    commit_one(store, incarnations[0], Fence(incarnations[3], 1))
    changes = store.changes(version, ("x/", "z"), ("b",))
    assert [r.key for r in changes.records] == [f"x/{n}" for n in range(4)]
    assert not changes.is_snapshot
    assert [(m.incarnation.name, m.renewal, m.fenced) for m in changes.members] == [
        ("b", 1, False),
        ("d", 1, True),
    ]
    assert [m.incarnation.name for m in store.changes(version).members] == list("abcd")
    unchanged = store.changes(changes.version, ("x/",), ("b",))
    assert (unchanged.version, unchanged.records, unchanged.removed_keys) == (changes.version, (), ())
    # The state of a watched member is returned by every call, even without a change.
    assert [m.incarnation.name for m in unchanged.members] == ["b"]
    snapshot = store.changes(0, ("y/",), ())
    assert snapshot.is_snapshot
    assert len(snapshot.records) == 4
    assert len(snapshot.members) == 4


def test_tombstones_are_kept_up_to_a_limit(store: Store) -> None:
    """More keys are removed than tombstones are kept. A reader of an older version must get a snapshot."""
    a = store.register("a", 1000.0)
    first_version = commit_one(store, a, Create("kept", b"")).version
    key_count = 5_000
    store.commit(a, [Transaction((Create(f"k{n}", b""),)) for n in range(key_count)])
    records = {r.key: r.version for r in store.scan("k")}
    created_version = store.changes(first_version).version
    del records["kept"]
    store.commit(a, [Transaction((Remove(key, version),)) for key, version in records.items()])
    changes = store.changes(created_version)
    assert changes.is_snapshot
    assert [r.key for r in changes.records] == ["kept"]
    assert len(store.changes(changes.version - 10).removed_keys) == 10
