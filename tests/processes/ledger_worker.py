"""One process on a ledger, told what to do by lines: a JSON list of a call, answered by a JSON line each."""

from __future__ import annotations

import json
import os
import resource
import signal
import sys
from typing import Any

from meadowpulley.ledger import Create, LedgerError, Life, Renew, Replace, Seal, Step
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.ledger.failpoints import ENV, failpoints


class Worker:
    def __init__(self, folder: str, name: str, most_bytes: int, sync: bool) -> None:
        fail = failpoints(os.environ.get(ENV, ""))
        self.store = DiskStore(folder, sync=sync, most_bytes=most_bytes, fail=fail)
        self.life = self.store.begin(name, 1000.0)

    def claim(self, first: int, last: int, group: int) -> list[int]:
        """Which of the claims it won."""
        won = []
        for at in range(first, last, group):
            part = range(at, min(at + group, last))
            done = self.store.commit(self.life, [Step((Create(f"claim/{n}", b""),)) for n in part])
            won += [n for n, d in zip(part, done, strict=True) if d.how.value == "won"]
        return won

    def count(self, times: int) -> list[str]:
        """Adds to its own counter and a common one, of whose value it must know."""
        found = []
        for _ in range(times):
            there = self.store.read("common")
            value = b"%d" % (int(there.value) + 1 if there else 1)
            common = Replace("common", value, there.version) if there else Create("common", value)
            mine = Create(f"{self.life}/{int(value)}", b"x" * 200)
            found.append(self.store.commit(self.life, [Step((common, mine))])[0].how.value)
        return found

    def renew(self) -> str:
        return self.store.commit(self.life, [Step((Renew(),))])[0].how.value

    def seal(self, name: str, epoch: int, renewal: int) -> str:
        return self.store.commit(self.life, [Step((Seal(Life(name, epoch), renewal),))])[0].how.value

    def most(self, size: int) -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (size, size))


def main() -> None:
    folder, name, most_bytes, sync = sys.argv[1:]
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    worker: Any = None
    for line in sys.stdin:
        call, *given = json.loads(line)
        try:
            if worker is None:
                worker = Worker(folder, name, int(most_bytes), sync == "sync")
            answer = getattr(worker, call)(*given) if call != "begin" else worker.life.epoch
        except LedgerError as bad:
            answer = {"error": str(bad)}
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    main()
