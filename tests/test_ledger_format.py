"""Tests of the stored format of the ledger: old logs can be read, and the same bytes are still written."""

from __future__ import annotations

import uuid
from pathlib import Path

import pytest

from meadowpulley.ledger import (
    CheckVersion,
    Create,
    Fence,
    Incarnation,
    Member,
    Record,
    ReleaseLease,
    Remove,
    RenewLease,
    Replace,
    Store,
    Transaction,
)
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.ledger.framing import decode_frame, encode_frame
from meadowpulley.ledger.log_entries import (
    CommitEntry,
    EndEntry,
    GenerationHeader,
    LogEntry,
    RegisterEntry,
    decode,
    encode,
)

# A frame of every kind of entry except the state, as an earlier version wrote it (commit a9dc96e).
OLD_FRAMES: dict[str, tuple[LogEntry, bytes]] = {
    "header": (
        GenerationHeader("inst", 3, True, "boot-1"),
        b"\n000000296c2ffa289b6a9286\x97\xa4head\xb3meadowpulley-ledger\x01\xa4inst\x03\xc3\xa6boot-1\n",
    ),
    "registration": (
        RegisterEntry(Incarnation("g2", 1), "p.2", 1500.0),
        b"\n000000189133509866d179ea\x95\xa5begin\xa2g2\x01\xa3p.2\xcb@\x97p\x00\x00\x00\x00\x00\n",
    ),
    "commit": (
        CommitEntry(
            Incarnation("g1", 2),
            "p.1",
            (
                Transaction(
                    (
                        Create("a", b"1\n\x1b"),
                        Replace("b", b"2", 7),
                        Remove("c", 8),
                        CheckVersion("d", 0),
                    )
                ),
                Transaction((Fence(Incarnation("g2", 1), 4),)),
                Transaction((ReleaseLease(),)),
            ),
        ),
        b"\n0000003ff8b01627b9fc19b7\x95\xa5steps\xa2g1\x02\xa3p.1\x93\x94\x93\xa1c\xa1a\xc4\x031\x1b\x02\x1b\x01"
        b"\x94\xa1r\xa1b\xc4\x012\x07\x93\xa1d\xa1c\x08\x93\xa1u\xa1d\x00\x91\x94\xa1s\xa2g2\x01\x04"
        b"\x91\x91\xa1l\n",
    ),
    "end": (EndEntry(), b"\n000000058a27a5f5a8c90ef7\x91\xa3end\n"),
}

# The complete files `log.00000001` and `log.00000002`. The second was written with a size limit that makes
# the log start a new generation after every few entries.
OLD_FIRST_GENERATION = (
    b"\n000000298e73d2309e3d8597\x97\xa4head\xb3meadowpulley-ledger\x01\xa4inst\x01\xc2\xa6boot-1\n"
    b"\n0000000cefa35030289d358b\x96\xa5state\x00\x90\x90\x80\x00\n"
    b"\n00000022ba659870384161ff\x95\xa5begin\xa1a\x01\xae000000000000.1\xcb@\x8f@\x00\x00\x00\x00\x00\n"
    b"\n00000022c4db524552758074\x95\xa5begin\xa1b\x01\xae000000000000.2\xcb@\x9f@\x00\x00\x00\x00\x00\n"
    b"\n0000004202e4d342770a4fb1\x95\xa5steps\xa1a\x01\xae000000000000.3\x93\x92\x93\xa1c\xa1k\xc4\x031\x1b\x02"
    b"\x1b\x01\x93\xa1c\xa1l\xc4\x012\x91\x93\xa1u\xa1m\x00\x91\x93\xa1c\xa1k\xc4\x04lost\n"
    b"\n000000245571ffd49e498cab\x95\xa5steps\xa1a\x01\xae000000000000.4\x91\x91\x94\xa1r\xa1k\xc4\x013\x03\n"
    b"\n00000029648525dbebb58f63\x95\xa5steps\xa1a\x01\xae000000000000.5\x92\x91\x93\xa1d\xa1l\x04\x91\x94\xa1s"
    b"\xa1b\x01\x00\n"
    b"\n00000028afb6c77c6b764a88\x95\xa5steps\xa1a\x01\xae000000000000.6\x91\x92\x93\xa1c\xa4last\xc4\x00\x91"
    b"\xa1l\n"
)
OLD_SECOND_GENERATION = (
    b"\n00000029b7feeef5f8f971f0\x97\xa4head\xb3meadowpulley-ledger\x01\xa4inst\x02\xc2\xa6boot-1\n"
    b"\n0000003b7d01d2349e078fdb\x96\xa5state\x07\x91\x95\xa1k\xc4\x013\x05\xa1a\x01\x92\x97\xa1a\x01\x00\xc2\xcb@"
    b"\x8f@\x00\x00\x00\x00\x00\x01\x01\x97\xa1b\x01\x00\xc3\xcb@\x9f@\x00\x00\x00\x00\x00\x07\x07\x81\xa1l\x06\x00\n"
    b"\n00000028afb6c77c6b764a88\x95\xa5steps\xa1a\x01\xae000000000000.6\x91\x92\x93\xa1c\xa4last\xc4\x00\x91"
    b"\xa1l\n"
)
GENERATIONS = {
    "log.00000001": (1 << 25, OLD_FIRST_GENERATION),
    "log.00000002": (1, OLD_SECOND_GENERATION),
}
OLD_LEASE_FILES = {"lives/a.1/1", "lives/b.1/0.sealed"}

A, B = Incarnation("a", 1), Incarnation("b", 1)
RECORDS = [Record("k", b"3", 5, A), Record("last", b"", 8, A)]
MEMBERS = [Member(A, 0, True, 1000.0, 9), Member(B, 0, True, 2000.0, 7)]


def version_of(store: Store, key: str) -> int:
    record = store.read(key)
    assert record is not None
    return record.version


def write_ledger(store: Store) -> None:
    """Make the calls that wrote the files above."""
    assert (store.register("a", 1000.0), store.register("b", 2000.0)) == (A, B)
    store.commit(
        A,
        [
            Transaction((Create("k", b"1\n\x1b"), Create("l", b"2"))),
            Transaction((CheckVersion("m", 0),)),
            Transaction((Create("k", b"lost"),)),
        ],
    )
    store.commit(
        A, [Transaction((Replace("k", b"3", version_of(store, "k")),)), Transaction((RenewLease(),))]
    )
    store.commit(A, [Transaction((Remove("l", version_of(store, "l")),)), Transaction((Fence(B, 0),))])
    store.commit(A, [Transaction((Create("last", b""), ReleaseLease()))])


@pytest.mark.parametrize("name", OLD_FRAMES)
def test_an_old_entry_is_read_and_written_again_unchanged(name: str) -> None:
    entry, frame = OLD_FRAMES[name]
    payload = decode_frame(frame[1:-1])
    assert isinstance(payload, bytes)
    assert decode(payload) == entry
    assert encode_frame(encode(entry)) == frame


@pytest.mark.parametrize("name", GENERATIONS)
def test_an_old_log_is_read(tmp_path: Path, name: str) -> None:
    (tmp_path / name).write_bytes(GENERATIONS[name][1])
    store = DiskStore(str(tmp_path), "inst", machine_boot_id="boot-1")
    assert store.scan("") == RECORDS
    assert store.members() == MEMBERS
    changes = store.changes(1)
    assert changes.removed_keys == ("l",)
    assert changes.version == 9
    assert store.register("a", 1000.0) == Incarnation("a", 2)
    store.close()


@pytest.mark.parametrize("name", GENERATIONS)
def test_a_log_is_written_as_before(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    monkeypatch.setattr(uuid, "uuid4", lambda: uuid.UUID(int=7))
    max_log_bytes, content = GENERATIONS[name]
    store = DiskStore(str(tmp_path), "inst", False, max_log_bytes, machine_boot_id="boot-1")
    write_ledger(store)
    assert (tmp_path / name).read_bytes() == content
    files = {str(path.relative_to(tmp_path)) for path in tmp_path.rglob("*") if path.is_file()}
    assert files == {name, *OLD_LEASE_FILES}
    store.close()
