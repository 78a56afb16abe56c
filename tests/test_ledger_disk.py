"""Tests of the on-disk ledger: damaged logs, and which data survives a crash of a process or the machine."""

from __future__ import annotations

import os
import random
import shutil
from pathlib import Path

import pytest

from meadowpulley.ledger import (
    Create,
    Incarnation,
    LedgerError,
    LedgerUnusableError,
    Replace,
    Transaction,
    TransactionOutcome,
)
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.ledger.failpoints import parse_failpoints
from meadowpulley.ledger.log_entries import encode
from meadowpulley.ledger.store import SkippedFrame

LOG = "log.00000001"


def create_filled_store(
    folder: Path, record_count: int = 5, sync: bool = False
) -> tuple[DiskStore, Incarnation]:
    folder.mkdir(exist_ok=True)
    store = DiskStore(str(folder), sync=sync)
    incarnation = store.register("a", 1000.0)
    for n in range(record_count):
        assert (
            store.commit(incarnation, [Transaction((Create(f"k{n}", bytes([n, 10, 27, 1, 2])),))])[0].outcome
            is TransactionOutcome.COMMITTED
        )
    return store, incarnation


def test_a_torn_frame_at_the_end_is_skipped_wherever_it_was_truncated(tmp_path: Path) -> None:
    """A process dies during an append. Wherever its frame was truncated, readers must skip it and apply later
    frames.
    """
    store, incarnation = create_filled_store(tmp_path / "whole")
    before, data = encode(store._log.state), (tmp_path / "whole" / LOG).read_bytes()
    store.commit(incarnation, [Transaction((Create("last", b"\n\x1b" * 20),))])
    after, frame = encode(store._log.state), (tmp_path / "whole" / LOG).read_bytes()[len(data) :]
    for cut in range(len(frame) + 1):
        folder = tmp_path / f"cut{cut}"
        folder.mkdir()
        (folder / LOG).write_bytes(data + frame[:cut])
        reopened = DiskStore(str(folder))
        assert encode(reopened._log.state) == (after if cut == len(frame) else before)
        # The line end of the next frame terminates the torn one.
        assert reopened.register("b", 1.0) == Incarnation("b", 1)
        # The frame is complete even without its last byte, a line end, since the next frame starts with one.
        frame_complete = cut >= len(frame) - 1
        assert (reopened.read("last") is not None) == frame_complete
        is_torn = cut > 1 and not frame_complete
        torn_frame = SkippedFrame(LOG, offset=len(data) + 1)  # after the line end that starts the frame
        assert reopened.take_skipped_frames() == ([torn_frame] if is_torn else [])
        assert reopened.take_skipped_frames() == [], "a skipped frame is reported only once"
        reopened.close()


def test_damage_before_the_end_is_rejected(tmp_path: Path) -> None:
    """A bit of the log flips. Such a log must be rejected as a whole, and the file must not be changed."""
    create_filled_store(tmp_path / "whole")
    data, generator = (tmp_path / "whole" / LOG).read_bytes(), random.Random(1)
    end = data[:-1].rindex(b"\n")  # the offset at which the last frame starts
    for n in range(300):
        offset, bit = generator.randrange(1, end - 1), 1 << generator.randrange(8)
        if data[offset - 1 : offset + 1] == b"\n\n" or data[offset : offset + 2] == b"\n\n":
            continue  # damage to one of the two line ends between frames loses nothing
        damaged = data[:offset] + bytes([data[offset] ^ bit]) + data[offset + 1 :]
        folder = tmp_path / str(n)
        folder.mkdir()
        (folder / LOG).write_bytes(damaged)
        with pytest.raises(LedgerUnusableError, match=r"log\.00000001"):
            DiskStore(str(folder))
        assert (folder / LOG).read_bytes() == damaged


@pytest.mark.parametrize(
    ("name", "content", "message"),
    [
        ("notes.txt", b"mine", "holds 'notes.txt'"),
        (LOG, b"", "holds no ledger"),
        (LOG, b"\nsomething else\n", "damaged"),
        (LOG, bytes(100), "holds no ledger"),
    ],
    ids=["another file", "empty log", "foreign log", "log of zeros"],
)
def test_a_folder_without_a_ledger_is_rejected(
    tmp_path: Path, name: str, content: bytes, message: str
) -> None:
    """The configured folder holds something else. It must be rejected and not be changed."""
    (tmp_path / name).write_bytes(content)
    with pytest.raises(LedgerUnusableError, match=message):
        DiskStore(str(tmp_path))
    assert [p.name for p in tmp_path.iterdir()] == [name]
    assert (tmp_path / name).read_bytes() == content


def test_another_installation_format_or_durability_is_rejected(tmp_path: Path) -> None:
    """The folder holds a ledger of another installation, format or `sync` setting. It must be rejected."""
    store, _ = create_filled_store(tmp_path)
    DiskStore(str(tmp_path), installation=store.installation).close()
    with pytest.raises(LedgerUnusableError, match="is of installation"):
        DiskStore(str(tmp_path), installation="another")
    with pytest.raises(LedgerUnusableError, match="without SYNC"):
        DiskStore(str(tmp_path), sync=True)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("meadowpulley.ledger.log_entries.FORMAT_VERSION", 2)
        with pytest.raises(LedgerUnusableError, match="of format meadowpulley-ledger 1, not"):
            DiskStore(str(tmp_path))


def test_a_moved_or_replaced_folder_fails_until_restored(tmp_path: Path) -> None:
    """The folder is moved while the ledger is open, and another is put in its place. Calls must fail
    until the original folder is restored.
    """
    store, incarnation = create_filled_store(tmp_path / "here")
    (tmp_path / "here").rename(tmp_path / "there")
    with pytest.raises(LedgerError, match="No such file"):
        store.changes(0)
    create_filled_store(tmp_path / "here")
    with pytest.raises(LedgerError, match="another folder now"):
        store.commit(incarnation, [Transaction((Create("late", b""),))])
    shutil.rmtree(tmp_path / "here")
    (tmp_path / "there").rename(tmp_path / "here")
    assert (
        store.commit(incarnation, [Transaction((Create("late", b""),))])[0].outcome
        is TransactionOutcome.COMMITTED
    )
    (tmp_path / "here" / LOG).unlink()
    with pytest.raises(LedgerError, match="was removed"):
        store.changes(0)


def test_an_old_generation_linked_again_is_not_used(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """While one process opens a generation, others end and remove it, and a resumed process links it
    again. The first process must notice that and use the newest generation.
    """
    other = DiskStore(str(tmp_path), max_log_bytes=1)
    incarnation = other.register("a", 1000.0)
    real, reopened_files = os.open, list[str]()

    def open_late(name: str, *arguments: int, **options: int) -> int:
        if name.startswith("log.") and not reopened_files:
            reopened_files.append(name)
            monkeypatch.setattr(os, "open", real)
            content = (tmp_path / name).read_bytes()
            for n in range(20):
                other.commit(incarnation, [Transaction((Create(f"k{n}", bytes(100)),))])
            assert not (tmp_path / name).exists()
            (tmp_path / name).write_bytes(content)
        return real(name, *arguments, **options)

    monkeypatch.setattr(os, "open", open_late)
    reopened = DiskStore(str(tmp_path), max_log_bytes=1)
    assert reopened_files
    assert len(reopened.scan("k")) == 20
    assert reopened._log.file_name == other._log.file_name


@pytest.mark.parametrize("action", ["full", "error"])
def test_a_transaction_that_failed_on_disk_may_be_applied_later_but_once(tmp_path: Path, action: str) -> None:
    """The write succeeds and the sync fails, so the caller can't know the outcome. The transaction may be
    applied once or not at all, but never twice.
    """
    store = DiskStore(str(tmp_path), sync=True, failpoint=parse_failpoints(f"log.appended={action}@3+"))
    incarnation = store.register("a", 1000.0)
    assert (
        store.commit(incarnation, [Transaction((Create("k", b"1"),))])[0].outcome
        is TransactionOutcome.COMMITTED
    )
    for _ in range(2):
        with pytest.raises(LedgerError, match="check that disk"):
            store.commit(incarnation, [Transaction((Create("l", b""),))])
    store = DiskStore(str(tmp_path), sync=True)
    record = store.read("l")
    assert record is not None
    assert store.commit(incarnation, [Transaction((Create("l", b""),))])[0].existing == record


def test_damage_found_while_running_is_permanent(tmp_path: Path) -> None:
    """Another program writes to the log. Nothing after its bytes may be applied, neither by the first
    call that reads them nor by a later one.
    """
    store, incarnation = create_filled_store(tmp_path)
    with open(tmp_path / LOG, "ab") as log:
        log.write(b"somebody else\n")
    for _ in range(2):
        with pytest.raises(LedgerError, match="damaged"):
            store.commit(incarnation, [Transaction((Create("late", b""),))])


@pytest.mark.parametrize(
    ("sync", "damaged_tail"),
    [(False, False), (False, True), (True, False)],
    ids=["truncated", "damaged tail", "truncated with sync"],
)
def test_durability_after_a_machine_crash(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sync: bool, damaged_tail: bool
) -> None:
    """After a machine crash the file holds all synced data, and possibly more, which may be damaged. With
    `sync` all records must survive; without `sync` only the epochs must.
    """
    synced_sizes: dict[int, int] = {}
    real = os.fdatasync

    def fdatasync(fd: int) -> None:
        real(fd)
        synced_sizes[os.fstat(fd).st_ino] = os.fstat(fd).st_size

    monkeypatch.setattr(os, "fdatasync", fdatasync)
    store, incarnation = create_filled_store(tmp_path / "a", sync=sync)
    record = store.read("k1")
    assert record is not None
    store.commit(incarnation, [Transaction((Replace("k1", b"new", record.version),))])
    log = tmp_path / "a" / LOG
    if damaged_tail:
        log.write_bytes(log.read_bytes() + b"\nnever written\n")
    else:
        os.truncate(log, synced_sizes[log.stat().st_ino])
    surviving = tmp_path / "left"
    surviving.mkdir()
    shutil.copy(log, surviving / LOG)  # without the lease files, which are never synced
    reopened = DiskStore(str(surviving), sync=sync, machine_boot_id="another run of the machine")
    values = {r.key: r.value for r in reopened.scan("")}
    assert (len(values), values.get("k1")) == ((5, b"new") if sync else (0, None))
    # The epoch must increase even if the records are lost.
    assert reopened.register("a", 1000.0) == Incarnation("a", 2)
    assert (
        reopened.commit(incarnation, [Transaction((Create("late", b""),))])[0].outcome
        is TransactionOutcome.FENCED
    )
