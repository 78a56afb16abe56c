"""Several processes on one ledger, stopped or killed at every named step: no other waits, nothing breaks."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from meadowpulley.ledger import Create, How, RefusedError, Seal, Step
from meadowpulley.ledger.disk import MOST_BYTES, DiskStore
from meadowpulley.ledger.entries import encode
from meadowpulley.ledger.failpoints import ENV, NAMES

SMALL = 6_000  # bytes after which a log ends


class Process:
    def __init__(self, folder: Path, name: str, most_bytes: int, sync: bool, fail: str) -> None:
        command = [sys.executable, "-m", "tests.processes.ledger_worker", str(folder), name, str(most_bytes)]
        self.process = subprocess.Popen(
            [*command, "sync" if sync else ""],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, ENV: fail},
            text=True,
        )

    def ask(self, *call: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(call) + "\n")
        self.process.stdin.flush()

    def answer(self) -> Any:
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def call(self, *call: Any) -> Any:
        self.ask(*call)
        return self.answer()

    def wait_for(self, action: str) -> None:
        """Until it has killed or stopped itself."""
        _, status = os.waitpid(self.process.pid, os.WUNTRACED)
        assert os.WIFSTOPPED(status) if action == "stop" else os.WIFSIGNALED(status)

    def end(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


Start = Callable[..., Process]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    made = list[Process]()

    def start(name: str, most_bytes: int = MOST_BYTES, sync: bool = False, fail: str = "") -> Process:
        made.append(Process(tmp_path, name, most_bytes, sync, fail))
        return made[-1]

    yield start
    for process in made:
        process.end()


@pytest.mark.parametrize(("most_bytes", "sync"), [(MOST_BYTES, False), (SMALL, False), (SMALL, True)])
def test_each_claim_has_one_winner(tmp_path: Path, start: Start, most_bytes: int, sync: bool) -> None:
    racers = [start(f"n{n}", most_bytes, sync) for n in range(8)]
    assert [racer.call("begin") for racer in racers] == [1] * 8
    for n, racer in enumerate(racers):
        racer.ask("claim", 0, 1000, 1 + 3 * n)
    won = Counter(n for racer in racers for n in racer.answer())
    assert won == Counter(range(1000))
    store = DiskStore(str(tmp_path), sync=sync)
    assert len(store.scan("claim/")) == 1000
    generations = [p.name for p in tmp_path.iterdir() if p.name != "lives"]
    assert (generations == ["log.00000001"]) == (most_bytes == MOST_BYTES) and len(generations) == 1


# What a process does until its failpoint takes it: `count` goes on through several generations of the log.
BY_STEP = {"renew.renamed": ("renew",), "seal.renamed": ("seal", "prey", 1, 0)}


@pytest.mark.parametrize("action", ["kill", "stop"])
@pytest.mark.parametrize("step", NAMES)
def test_a_process_gone_at_any_step_holds_nothing(
    tmp_path: Path, start: Start, step: str, action: str
) -> None:
    store = DiskStore(str(tmp_path), sync=True, most_bytes=SMALL)
    me, prey = store.begin("me", 1000.0), store.begin("prey", 1000.0)
    victim = start("victim", SMALL, True, f"{step}={action}@{1 if step in BY_STEP or 'begin' in step else 2}")
    if not step.startswith("begin"):
        assert victim.call("begin") == 1
    victim.ask(*BY_STEP.get(step, ("count", 200)))
    victim.wait_for(action)
    # The others go on, through new generations, while it is gone, ...
    for n in range(40):
        (done,) = store.commit(me, [Step((Create(f"k{n}", b"x" * 200),))])
        assert done.how is How.WON
    # ... end the lives that it was about to end, and its own, ...
    assert store.commit(me, [Step((Seal(prey, 0),))])[0].how is How.WON
    lives = {m.life.name: m for m in store.members()}
    if "victim" in lives:
        done = store.commit(me, [Step((Seal(lives["victim"].life, lives["victim"].renewal),))])[0]
        assert done.how is How.WON
        assert (lives["victim"].life in store.changes(1).over) is False
    before = {r.key: r for r in store.scan("")}
    if action == "stop":
        victim.process.send_signal(signal.SIGCONT)
        found = victim.answer()
        if step == "seal.renamed":
            assert found == "sealed"  # the other's move made it; this one came too late
        elif step == "begin.locked":
            assert "won" in found  # it begins only now, and sealed it was not
            return
        elif isinstance(found, list):
            # What it asked for after it woke changed nothing; what it had been told as won is there.
            assert found[-1] == "sealed" and found.count("won") == len(store.scan("victim.1/"))
        assert victim.call("count", 1) == ["sealed"] and victim.call("renew") == "sealed"
    assert {r.key: r for r in store.scan("")} == before
    # ... and who opens it anew has the same.
    fresh = DiskStore(str(tmp_path), sync=True)
    assert fresh.members() == store.members() and encode(fresh._log.state) == encode(store._log.state)
    common = store.read("common")
    assert (int(common.value) if common else 0) == len(store.scan("victim.1/"))


def test_one_name_is_one_living_process(tmp_path: Path, start: Start) -> None:
    first, second = start("n"), start("n")
    assert first.call("begin") == 1
    assert "'n' is taken by a living gateway" in second.call("begin")["error"]
    first.process.send_signal(signal.SIGSTOP)
    first.wait_for("stop")
    assert "'n' is taken" in second.call("begin")["error"]
    store = DiskStore(str(tmp_path))
    assert not store.changes(0).over
    first.end()
    assert [str(life) for life in store.changes(0).over] == ["n.1"]
    assert second.call("begin") == 2 and second.call("renew") == "won" and not store.changes(0).over


def test_a_full_disk_stops_one_that_has_no_room_alone(tmp_path: Path, start: Start) -> None:
    full, other = start("full"), start("other")
    assert [full.call("begin"), other.call("begin")] == [1, 1]
    full.call("most", (tmp_path / "log.00000001").stat().st_size + 700)
    full.ask("count", 10)
    assert "see to that disk" in full.answer()["error"]
    assert other.call("count", 5) == ["won"] * 5
    store = DiskStore(str(tmp_path))
    assert "cut short" in "".join(store.notes())
    kept = store.read("common")
    assert kept is not None and int(kept.value) == len(store.scan("full.1/")) + 5
    with pytest.raises(RefusedError):
        DiskStore(str(tmp_path / "nowhere"))
