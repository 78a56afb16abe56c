"""What every backend of the ledger owes, one table for all of them."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from meadowpulley.ledger import (
    Create,
    Done,
    How,
    Leave,
    Life,
    MemoryStore,
    RefusedError,
    Remove,
    Renew,
    Replace,
    Seal,
    Step,
    Store,
    Unchanged,
    Write,
)
from meadowpulley.ledger.disk import DiskStore

WON, LOST, SEALED = How.WON, How.LOST, How.SEALED


def in_memory(_: Path) -> Store:
    return MemoryStore()


def on_disk(folder: Path) -> Store:
    return DiskStore(str(folder))


def rolling(folder: Path) -> Store:
    """With a log that ends after every few entries."""
    return DiskStore(str(folder), sync=True, most_bytes=1)


BACKENDS: dict[str, Callable[[Path], Store]] = {"memory": in_memory, "disk": on_disk, "rolling": rolling}


@pytest.fixture(params=sorted(BACKENDS))
def store(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Store]:
    made = BACKENDS[request.param](tmp_path)
    assert isinstance(made, Store)
    yield made
    made.close()


def one(store: Store, by: Life, *writes: Write) -> Done:
    (done,) = store.commit(by, [Step(writes)])
    return done


# Steps before, the step that is judged, how it ends and at which write; `v` stands for the version of "k".
Case = tuple[list[Write], Callable[[int], tuple[Write, ...]], How, int]
CASES: dict[str, Case] = {
    "create an absent one": ([], lambda v: (Create("k", b"1"),), WON, -1),
    "create one that is there": ([Create("k", b"0")], lambda v: (Create("k", b"1"),), LOST, 0),
    "replace it unchanged": ([Create("k", b"0")], lambda v: (Replace("k", b"1", v),), WON, -1),
    "replace it changed": ([Create("k", b"0")], lambda v: (Replace("k", b"1", v - 1),), LOST, 0),
    "replace an absent one": ([], lambda v: (Replace("k", b"1", 0),), LOST, 0),
    "remove it unchanged": ([Create("k", b"0")], lambda v: (Remove("k", v),), WON, -1),
    "remove it changed": ([Create("k", b"0")], lambda v: (Remove("k", v + 1),), LOST, 0),
    "remove an absent one": ([], lambda v: (Remove("k", 0),), LOST, 0),
    "unchanged and there": ([Create("k", b"0")], lambda v: (Unchanged("k", v),), WON, -1),
    "unchanged and absent": ([], lambda v: (Unchanged("k", 0),), WON, -1),
    "unchanged but changed": ([Create("k", b"0")], lambda v: (Unchanged("k", 0),), LOST, 0),
    "all together": ([Create("k", b"0")], lambda v: (Replace("k", b"1", v), Create("l", b"2")), WON, -1),
    "or none": ([Create("k", b"0")], lambda v: (Create("l", b"2"), Create("k", b"1")), LOST, 1),
    "twice in one step": ([], lambda v: (Create("l", b"1"), Create("l", b"2")), LOST, 1),
    "removed and made anew": ([Create("k", b"0")], lambda v: (Remove("k", v), Create("k", b"1")), WON, -1),
    "seal another": ([], lambda v: (Seal(Life("b", 1), 0), Create("l", b"1")), WON, -1),
    "seal one that renewed": ([], lambda v: (Create("l", b"1"), Seal(Life("b", 1), 1)), LOST, 1),
    "seal an unknown life": ([], lambda v: (Seal(Life("b", 2), 0),), LOST, 0),
    "seal itself": ([], lambda v: (Seal(Life("a", 1), 0),), LOST, 0),
    "seal twice in one step": ([], lambda v: (Seal(Life("b", 1), 0), Seal(Life("b", 1), 0)), LOST, 1),
    "renew": ([], lambda v: (Renew(),), WON, -1),
    "leave after its last word": ([], lambda v: (Create("l", b"1"), Leave()), WON, -1),
    "leave but lose": ([Create("k", b"0")], lambda v: (Create("k", b"1"), Leave()), LOST, 0),
}


@pytest.mark.parametrize("name", CASES)
def test_step(store: Store, name: str) -> None:
    before, step, how, at = CASES[name]
    a, b = store.begin("a", 1000.0), store.begin("b", 1000.0)
    for write in before:
        assert one(store, a, write).how is WON
    was, members = {r.key: r for r in store.scan("")}, store.members()
    version = was["k"].version if "k" in was else 0
    since = store.changes(0).version
    done = one(store, a, *step(version))
    assert (done.how, done.at) == (how, at)
    writes = step(version)
    if how is not WON:
        key = getattr(writes[at], "key", None)
        seen = next((w.value for w in writes[:at] if isinstance(w, Create) and w.key == key), None)
        assert (done.found.value if done.found else None) == (
            seen or (was[key].value if key in was else None)
        )
        assert {r.key: r for r in store.scan("")} == was and store.members() == members
        return
    now = {r.key: r for r in store.scan("")}
    for write in writes:
        if isinstance(write, Create | Replace):
            found = store.read(write.key)
            assert (
                found is not None and (found.value, found.by) == (write.value, a) and found == now[write.key]
            )
            assert found.version > since and done.version >= found.version
    lost = [w.key for w in writes if isinstance(w, Remove) and w.key not in now]
    changes = store.changes(since)
    assert set(changes.removed) == set(lost) and not changes.whole
    assert {r.key for r in changes.records} == {k for k, r in now.items() if r.version > since}
    by_life = {m.life: m for m in store.members()}
    assert by_life[a].renewal == any(isinstance(w, Renew) for w in writes)
    assert by_life[a].sealed == any(isinstance(w, Leave) for w in writes)
    assert by_life[b].sealed == any(isinstance(w, Seal) for w in writes)


def test_a_sealed_life_commits_nothing(store: Store) -> None:
    a, b = store.begin("a", 1000.0), store.begin("b", 1000.0)
    steps = [Step((Create("first", b""),)), Step((Seal(b, 0),)), Step((Create("last", b""),))]
    assert [d.how for d in store.commit(a, steps)] == [WON, WON, WON]
    for write in (Create("k", b""), Unchanged("first", 0), Renew(), Seal(a, 0), Leave()):
        assert one(store, b, write).how is SEALED
    assert one(store, a, Seal(b, 0)).how is LOST  # exactly once
    assert one(store, Life("c", 1), Create("k", b"")).how is SEALED  # a life that never began
    assert [r.key for r in store.scan("")] == ["first", "last"]
    assert one(store, a, Leave()).how is WON and one(store, a, Renew()).how is SEALED


def test_epochs_rise_and_a_living_name_is_refused(store: Store) -> None:
    a, b = store.begin("a", 1000.0), store.begin("b", 1000.0)
    with pytest.raises(RefusedError, match="'b'"):
        store.begin("b", 1000.0)
    one(store, a, Seal(b, 0))
    again = store.begin("b", 500.0)
    assert again == Life("b", 2) and one(store, b, Renew()).how is SEALED
    assert one(store, again, Leave()).how is WON and store.begin("b", 500.0) == Life("b", 3)
    assert [(m.life.epoch, m.sealed, m.term_ms) for m in store.members()] == [
        (1, False, 1000.0),
        (3, False, 500.0),
    ]


def test_changes_by_prefix_and_by_name(store: Store) -> None:
    lives = [store.begin(n, 1000.0) for n in "abcd"]
    at = store.changes(0).version
    for n, life in enumerate(lives):
        assert one(store, life, Create(f"x/{n}", b""), Create(f"y/{n}", b"")).how is WON
        assert one(store, life, Renew()).how is WON
    one(store, lives[0], Seal(lives[3], 1))
    found = store.changes(at, ("x/", "z"), ("b",))
    assert [r.key for r in found.records] == [f"x/{n}" for n in range(4)] and not found.whole
    assert [(m.life.name, m.renewal, m.sealed) for m in found.members] == [("b", 1, False), ("d", 1, True)]
    assert [m.life.name for m in store.changes(at).members] == list("abcd")
    quiet = store.changes(found.version, ("x/",), ("b",))
    assert (quiet.version, quiet.records, quiet.removed) == (found.version, (), ())
    assert [m.life.name for m in quiet.members] == ["b"]  # as they stand, every time
    whole = store.changes(0, ("y/",), ())
    assert whole.whole and len(whole.records) == 4 and len(whole.members) == 4


def test_removed_keys_are_remembered_for_so_long(store: Store) -> None:
    a = store.begin("a", 1000.0)
    kept = one(store, a, Create("kept", b"")).version
    many = 5_000
    store.commit(a, [Step((Create(f"k{n}", b""),)) for n in range(many)])
    records = {r.key: r.version for r in store.scan("k")}
    late = store.changes(kept).version
    del records["kept"]
    store.commit(a, [Step((Remove(key, version),)) for key, version in records.items()])
    found = store.changes(late)
    assert found.whole and [r.key for r in found.records] == ["kept"]
    assert len(store.changes(found.version - 10).removed) == 10
