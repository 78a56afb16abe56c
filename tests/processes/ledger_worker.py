"""A process that uses a ledger: it reads calls as lines of JSON lists, and answers each with a JSON line."""

from __future__ import annotations

import json
import os
import resource
import signal
import sys
from typing import Any

from meadowpulley.ledger import Create, Fence, Incarnation, LedgerError, RenewLease, Replace, Transaction
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.ledger.failpoints import FAILPOINTS_VARIABLE, parse_failpoints


class LedgerWorker:
    """An incarnation with the operations that a test can call."""

    def __init__(self, folder: str, name: str, max_log_bytes: int, sync: bool) -> None:
        failpoint = parse_failpoints(os.environ.get(FAILPOINTS_VARIABLE, ""))
        self.store = DiskStore(folder, sync=sync, max_log_bytes=max_log_bytes, failpoint=failpoint)
        self.incarnation = self.store.register(name, 1000.0)

    def claim(self, first: int, last: int, batch_size: int) -> list[int]:
        """Try to create a record for each number of a range; return the numbers whose record was created."""
        claimed = []
        for start in range(first, last, batch_size):
            claims = range(start, min(start + batch_size, last))
            results = self.store.commit(
                self.incarnation, [Transaction((Create(f"claim/{n}", b""),)) for n in claims]
            )
            claimed += [n for n, d in zip(claims, results, strict=True) if d.outcome.value == "won"]
        return claimed

    def count(self, times: int) -> list[str]:
        """Increment the shared counter and create an own record in one transaction, repeatedly.

        Each transaction conflicts if another process has changed the counter since it was read. Return the
        outcomes.
        """
        outcomes = []
        for _ in range(times):
            record = self.store.read("common")
            value = b"%d" % (int(record.value) + 1 if record else 1)
            common = Replace("common", value, record.version) if record else Create("common", value)
            own = Create(f"{self.incarnation}/{int(value)}", b"x" * 200)
            outcomes.append(
                self.store.commit(self.incarnation, [Transaction((common, own))])[0].outcome.value
            )
        return outcomes

    def renew(self) -> str:
        return self.store.commit(self.incarnation, [Transaction((RenewLease(),))])[0].outcome.value

    def fence(self, name: str, epoch: int, renewal: int) -> str:
        return self.store.commit(
            self.incarnation, [Transaction((Fence(Incarnation(name, epoch), renewal),))]
        )[0].outcome.value

    def limit_file_size(self, max_bytes: int) -> None:
        resource.setrlimit(resource.RLIMIT_FSIZE, (max_bytes, max_bytes))


def main() -> None:
    folder, name, max_log_bytes, sync = sys.argv[1:]
    signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    worker: Any = None
    for line in sys.stdin:
        call, *arguments = json.loads(line)
        try:
            if worker is None:
                worker = LedgerWorker(folder, name, int(max_log_bytes), sync == "sync")
            answer = getattr(worker, call)(*arguments) if call != "begin" else worker.incarnation.epoch
        except LedgerError as error:
            answer = {"error": str(error)}
        print(json.dumps(answer), flush=True)


if __name__ == "__main__":
    main()
