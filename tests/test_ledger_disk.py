"""The ledger on a disk: what it reads after harm, and what outlives a process and what the machine."""

from __future__ import annotations

import os
import random
import shutil
from pathlib import Path

import pytest

from meadowpulley.ledger import Create, How, LedgerError, Life, RefusedError, Replace, Step
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.ledger.entries import encode
from meadowpulley.ledger.failpoints import failpoints

LOG = "log.00000001"


def filled(folder: Path, many: int = 5, sync: bool = False) -> tuple[DiskStore, Life]:
    folder.mkdir(exist_ok=True)
    store = DiskStore(str(folder), sync=sync)
    life = store.begin("a", 1000.0)
    for n in range(many):
        assert store.commit(life, [Step((Create(f"k{n}", bytes([n, 10, 27, 1, 2])),))])[0].how is How.WON
    return store, life


def test_a_torn_tail_is_passed_over_wherever_it_was_cut(tmp_path: Path) -> None:
    store, life = filled(tmp_path / "whole")
    before, data = encode(store._log.state), (tmp_path / "whole" / LOG).read_bytes()
    store.commit(life, [Step((Create("last", b"\n\x1b" * 20),))])
    after, line = encode(store._log.state), (tmp_path / "whole" / LOG).read_bytes()[len(data) :]
    for cut in range(len(line) + 1):
        folder = tmp_path / f"cut{cut}"
        folder.mkdir()
        (folder / LOG).write_bytes(data + line[:cut])
        found = DiskStore(str(folder))
        assert encode(found._log.state) == (after if cut == len(line) else before)
        assert found.begin("b", 1.0) == Life("b", 1)  # what is appended next ends it
        whole = cut >= len(line) - 1  # only its last byte was missing
        assert (found.read("last") is not None) == whole
        assert bool(found.notes()) == (cut > 1 and not whole)
        found.close()


def test_damage_before_the_end_is_refused_whole(tmp_path: Path) -> None:
    filled(tmp_path / "whole")
    data, chance = (tmp_path / "whole" / LOG).read_bytes(), random.Random(1)
    end = data[:-1].rindex(b"\n")  # where the last line begins
    for n in range(300):
        at, bit = chance.randrange(1, end - 1), 1 << chance.randrange(8)
        if data[at - 1 : at + 1] == b"\n\n" or data[at : at + 2] == b"\n\n":
            continue  # between two lines one line end is enough
        harmed = data[:at] + bytes([data[at] ^ bit]) + data[at + 1 :]
        folder = tmp_path / str(n)
        folder.mkdir()
        (folder / LOG).write_bytes(harmed)
        with pytest.raises(RefusedError, match=r"log\.00000001"):
            DiskStore(str(folder))
        assert (folder / LOG).read_bytes() == harmed


@pytest.mark.parametrize(
    ("name", "content", "why"),
    [
        ("notes.txt", b"mine", "holds 'notes.txt'"),
        (LOG, b"", "holds no ledger"),
        (LOG, b"\nsomething else\n", "damaged"),
        (LOG, bytes(100), "holds no ledger"),
    ],
)
def test_what_is_no_ledger_is_refused(tmp_path: Path, name: str, content: bytes, why: str) -> None:
    (tmp_path / name).write_bytes(content)
    with pytest.raises(RefusedError, match=why):
        DiskStore(str(tmp_path))
    assert [p.name for p in tmp_path.iterdir()] == [name] and (tmp_path / name).read_bytes() == content


def test_another_installation_version_or_promise_is_refused(tmp_path: Path) -> None:
    store, _ = filled(tmp_path)
    DiskStore(str(tmp_path), installation=store.installation).close()
    with pytest.raises(RefusedError, match="is of installation"):
        DiskStore(str(tmp_path), installation="another")
    with pytest.raises(RefusedError, match="without SYNC"):
        DiskStore(str(tmp_path), sync=True)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("meadowpulley.ledger.entries.VERSION", 2)
        with pytest.raises(RefusedError, match="of format meadowpulley-ledger 1, not"):
            DiskStore(str(tmp_path))


def test_a_folder_gone_or_exchanged_fails_until_it_is_back(tmp_path: Path) -> None:
    store, life = filled(tmp_path / "here")
    (tmp_path / "here").rename(tmp_path / "there")
    with pytest.raises(LedgerError, match="No such file"):
        store.changes(0)
    filled(tmp_path / "here")
    with pytest.raises(LedgerError, match="another folder now"):
        store.commit(life, [Step((Create("late", b""),))])
    shutil.rmtree(tmp_path / "here")
    (tmp_path / "there").rename(tmp_path / "here")
    assert store.commit(life, [Step((Create("late", b""),))])[0].how is How.WON
    (tmp_path / "here" / LOG).unlink()
    with pytest.raises(LedgerError, match="was removed"):
        store.changes(0)


def test_a_generation_put_back_late_is_not_gone_on_with(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Whoever opens a generation just as it is ended, removed, and linked once more by one who had slept."""
    other = DiskStore(str(tmp_path), most_bytes=1)
    life = other.begin("a", 1000.0)
    real, late = os.open, list[str]()

    def open_late(name: str, *given: int, **where: int) -> int:
        if name.startswith("log.") and not late:
            late.append(name)
            monkeypatch.setattr(os, "open", real)
            old = (tmp_path / name).read_bytes()
            for n in range(20):
                other.commit(life, [Step((Create(f"k{n}", bytes(100)),))])
            assert not (tmp_path / name).exists()
            (tmp_path / name).write_bytes(old)
        return real(name, *given, **where)

    monkeypatch.setattr(os, "open", open_late)
    found = DiskStore(str(tmp_path), most_bytes=1)
    assert late and len(found.scan("k")) == 20 and found._log.name == other._log.name


@pytest.mark.parametrize("action", ["full", "error"])
def test_a_step_that_failed_on_the_disk_may_be_carried_out_yet_but_once(tmp_path: Path, action: str) -> None:
    store = DiskStore(str(tmp_path), sync=True, fail=failpoints(f"log.appended={action}@3+"))
    life = store.begin("a", 1000.0)
    assert store.commit(life, [Step((Create("k", b"1"),))])[0].how is How.WON
    for _ in range(2):
        with pytest.raises(LedgerError, match="see to that disk"):
            store.commit(life, [Step((Create("l", b""),))])
    store = DiskStore(str(tmp_path), sync=True)
    found = store.read("l")
    assert found is not None and store.commit(life, [Step((Create("l", b""),))])[0].found == found


def test_damage_met_while_running_stays(tmp_path: Path) -> None:
    store, life = filled(tmp_path)
    with open(tmp_path / LOG, "ab") as log:
        log.write(b"somebody else\n")
    for _ in range(2):
        with pytest.raises(LedgerError, match="damaged"):
            store.commit(life, [Step((Create("late", b""),))])


@pytest.mark.parametrize(("sync", "more"), [(False, False), (False, True), (True, False)])
def test_what_outlives_the_machine(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sync: bool, more: bool
) -> None:
    """The machine dies: there is left what was made lasting, and by chance more, half of it bad."""
    lasting: dict[int, int] = {}
    real = os.fdatasync

    def fdatasync(file: int) -> None:
        real(file)
        lasting[os.fstat(file).st_ino] = os.fstat(file).st_size

    monkeypatch.setattr(os, "fdatasync", fdatasync)
    store, life = filled(tmp_path / "a", sync=sync)
    record = store.read("k1")
    assert record is not None
    store.commit(life, [Step((Replace("k1", b"new", record.version),))])
    log = tmp_path / "a" / LOG
    if more:
        log.write_bytes(log.read_bytes() + b"\nnever written\n")
    else:
        os.truncate(log, lasting[log.stat().st_ino])
    left = tmp_path / "left"
    left.mkdir()
    shutil.copy(log, left / LOG)  # without the leases, which are not made lasting
    again = DiskStore(str(left), sync=sync, boot="another run of the machine")
    kept = {r.key: r.value for r in again.scan("")}
    assert (len(kept), kept.get("k1")) == ((5, b"new") if sync else (0, None))
    assert again.begin("a", 1000.0) == Life("a", 2)  # the name's epoch rises all the same
    assert again.commit(life, [Step((Create("late", b""),))])[0].how is How.SEALED
