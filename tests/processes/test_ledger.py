"""Tests of processes that share a ledger and are stopped or killed at every failpoint.

No other process may have to wait, and nothing may be corrupted.
"""

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

from meadowpulley.ledger import Create, Fence, LedgerUnusableError, Transaction, TransactionOutcome
from meadowpulley.ledger.disk import DEFAULT_MAX_LOG_BYTES, DiskStore
from meadowpulley.ledger.failpoints import FAILPOINT_NAMES, FAILPOINTS_VARIABLE
from meadowpulley.ledger.log_entries import encode

SMALL_LOG_BYTES = 6_000  # size of the log above which a new generation starts


class WorkerProcess:
    def __init__(self, folder: Path, name: str, max_log_bytes: int, sync: bool, failpoints: str) -> None:
        command = [
            sys.executable,
            "-m",
            "tests.processes.ledger_worker",
            str(folder),
            name,
            str(max_log_bytes),
        ]
        self.process = subprocess.Popen(
            [*command, "sync" if sync else ""],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, FAILPOINTS_VARIABLE: failpoints},
            text=True,
        )

    def send(self, *call: Any) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(call) + "\n")
        self.process.stdin.flush()

    def receive(self) -> Any:
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def call(self, *call: Any) -> Any:
        self.send(*call)
        return self.receive()

    def wait_for(self, action: str) -> None:
        """Wait until the process is stopped (`action` "stop") or killed."""
        _, status = os.waitpid(self.process.pid, os.WUNTRACED)
        assert os.WIFSTOPPED(status) if action == "stop" else os.WIFSIGNALED(status)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


Start = Callable[..., WorkerProcess]


@pytest.fixture
def start(tmp_path: Path) -> Iterator[Start]:
    processes = list[WorkerProcess]()

    def start(
        name: str, max_log_bytes: int = DEFAULT_MAX_LOG_BYTES, sync: bool = False, failpoints: str = ""
    ) -> WorkerProcess:
        processes.append(WorkerProcess(tmp_path, name, max_log_bytes, sync, failpoints))
        return processes[-1]

    yield start
    for process in processes:
        process.kill()


@pytest.mark.parametrize(
    ("max_log_bytes", "sync"),
    [(DEFAULT_MAX_LOG_BYTES, False), (SMALL_LOG_BYTES, False), (SMALL_LOG_BYTES, True)],
    ids=["one generation", "many generations", "many generations with sync"],
)
def test_each_claim_has_one_winner(tmp_path: Path, start: Start, max_log_bytes: int, sync: bool) -> None:
    """Eight processes claim the same thousand numbers at once. Exactly one process must get each number."""
    workers = [start(f"n{n}", max_log_bytes, sync) for n in range(8)]
    assert [worker.call("begin") for worker in workers] == [1] * 8
    for n, worker in enumerate(workers):
        worker.send("claim", 0, 1000, 1 + 3 * n)
    winners = Counter(n for worker in workers for n in worker.receive())
    assert winners == Counter(range(1000))
    store = DiskStore(str(tmp_path), sync=sync)
    assert len(store.scan("claim/")) == 1000
    generations = [p.name for p in tmp_path.iterdir() if p.name != "lives"]
    assert (generations == ["log.00000001"]) == (max_log_bytes == DEFAULT_MAX_LOG_BYTES)
    assert len(generations) == 1


# The call that leads a process to its failpoint. All other failpoints are reached by `count`, which goes on
# through several generations of the log.
COMMANDS_BY_FAILPOINT = {"renew.renamed": ("renew",), "seal.renamed": ("fence", "prey", 1, 0)}


@pytest.mark.parametrize("action", ["kill", "stop"])
@pytest.mark.parametrize("failpoint", FAILPOINT_NAMES)
def test_a_process_lost_at_any_failpoint_blocks_nobody(
    tmp_path: Path, start: Start, failpoint: str, action: str
) -> None:
    """A process is killed or stopped in the middle of an operation. Other processes must be able to
    continue and to fence it, and nothing that it does after it resumes may have an effect.
    """
    store = DiskStore(str(tmp_path), sync=True, max_log_bytes=SMALL_LOG_BYTES)
    survivor, target = store.register("me", 1000.0), store.register("prey", 1000.0)
    victim = start(
        "victim",
        SMALL_LOG_BYTES,
        True,
        f"{failpoint}={action}@{1 if failpoint in COMMANDS_BY_FAILPOINT or 'begin' in failpoint else 2}",
    )
    if not failpoint.startswith("begin"):
        assert victim.call("begin") == 1
    victim.send(*COMMANDS_BY_FAILPOINT.get(failpoint, ("count", 200)))
    victim.wait_for(action)
    # Other processes continue through new generations while the victim is lost.
    for n in range(40):
        (result,) = store.commit(survivor, [Transaction((Create(f"k{n}", b"x" * 200),))])
        assert result.outcome is TransactionOutcome.COMMITTED
    # They fence the incarnation that the victim was about to fence, and the victim itself.
    assert (
        store.commit(survivor, [Transaction((Fence(target, 0),))])[0].outcome is TransactionOutcome.COMMITTED
    )
    members = {m.incarnation.name: m for m in store.members()}
    if "victim" in members:
        result = store.commit(
            survivor, [Transaction((Fence(members["victim"].incarnation, members["victim"].renewal),))]
        )[0]
        assert result.outcome is TransactionOutcome.COMMITTED
        assert (members["victim"].incarnation in store.changes(1).dead_incarnations) is False
    before = {r.key: r for r in store.scan("")}
    if action == "stop":
        victim.process.send_signal(signal.SIGCONT)
        answer = victim.receive()
        if failpoint == "seal.renamed":
            assert answer == "sealed"  # the survivor has fenced the target and the victim meanwhile
        elif failpoint == "begin.locked":
            assert "won" in answer  # it registers only after it resumes, so it was not fenced
            return
        elif isinstance(answer, list):
            # Its transactions after the resumption changed nothing; those reported as committed are present.
            assert answer[-1] == "sealed"
            assert answer.count("won") == len(store.scan("victim.1/"))
        assert victim.call("count", 1) == ["sealed"]
        assert victim.call("renew") == "sealed"
    assert {r.key: r for r in store.scan("")} == before
    # A process that opens the ledger now reads the same state.
    reopened = DiskStore(str(tmp_path), sync=True)
    assert reopened.members() == store.members()
    assert encode(reopened._log.state) == encode(store._log.state)
    common = store.read("common")
    assert (int(common.value) if common else 0) == len(store.scan("victim.1/"))


def test_a_name_belongs_to_one_live_process(tmp_path: Path, start: Start) -> None:
    """A second process registers the name of a process that runs or is stopped. It may get the name only
    after the first process has ended.
    """
    first, second = start("n"), start("n")
    assert first.call("begin") == 1
    assert "'n' is taken by a living gateway" in second.call("begin")["error"]
    first.process.send_signal(signal.SIGSTOP)
    first.wait_for("stop")
    assert "'n' is taken" in second.call("begin")["error"]
    store = DiskStore(str(tmp_path))
    assert not store.changes(0).dead_incarnations
    first.kill()
    assert [str(incarnation) for incarnation in store.changes(0).dead_incarnations] == ["n.1"]
    assert second.call("begin") == 2
    assert second.call("renew") == "won"
    assert not store.changes(0).dead_incarnations


def test_a_full_disk_stops_only_the_process_it_affects(tmp_path: Path, start: Start) -> None:
    """One process reaches its file size limit and leaves a torn frame. Other processes must skip that
    frame and continue to commit.
    """
    full, other = start("full"), start("other")
    assert [full.call("begin"), other.call("begin")] == [1, 1]
    full.call("limit_file_size", (tmp_path / "log.00000001").stat().st_size + 700)
    full.send("count", 10)
    assert "check that disk" in full.receive()["error"]
    assert other.call("count", 5) == ["won"] * 5
    store = DiskStore(str(tmp_path))
    assert store.take_skipped_frames()
    record = store.read("common")
    assert record is not None
    assert int(record.value) == len(store.scan("full.1/")) + 5
    with pytest.raises(LedgerUnusableError):
        DiskStore(str(tmp_path / "nowhere"))
