"""A gateway without clients, for `ledger.py`: a reactor, the ledger's client, and transactions at a rate.

    python benchmarks/ledger_gateway.py NAME STEPS_A_SECOND

Prints its events as JSON lines, each with its time; a line on its input ends it.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as found_reactor

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger import Commit, CommitCompleted, Create, LeaseExpired, Transaction
from meadowpulley.ledger.client import start_ledger
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines, now_ms

reactor: Any = found_reactor
RECORD_VALUE = bytes(300)
KEY_COUNT = 500
DELAY_SAMPLE_MS = 10.0  # between two samples of how late the reactor is


class Gateway:
    """The gateway, its log, and its innermost stage."""

    def __init__(self, name: str, transactions_per_second: float) -> None:
        self.counters, self.log = Counters(), self
        self.deadlines = Deadlines(
            reactor, lambda where: self.report(fault=where, error=str(sys.exc_info()[1]))
        )
        self.transactions_per_second, self.last_ticket, self.commit_started = (
            transactions_per_second,
            0,
            dict[int, float](),
        )
        self.commit_ms, self.groups, self.reactor_delays_ms = list[float](), list[int](), list[float]()
        self.handlers: dict[type, Callable[[Any], None]] = {SetTimer: self._set_timer}
        client = start_ledger(self, name, os.environ, reactor)
        assert client is not None
        self.client = client
        self.lease_manager = client.wrap(self, tuple)
        self.report(began=str(client.incarnation))

    def report(self, **fields: Any) -> None:
        """Print one JSON line."""
        print(json.dumps({"at": now_ms(), **fields}), flush=True)

    def info(self, event: str, **fields: Any) -> None:
        if event != "ledger_opened":
            self.report(log=event, **fields)

    warning = error = info

    def run(self) -> None:
        self.client.start()
        self.next_commit_at = now_ms()
        self._commit_due()
        self.next_sample_at = now_ms()
        self._sample_delay()
        reactor.addReader(self)
        reactor.run(installSignalHandlers=False)

    def dispatch(self, event: Any) -> None:
        for action in self.lease_manager.handle(self.deadlines.now(), event):
            self.handlers[type(action)](action)

    def register_action(self, kind: type, handler: Callable[[Any], None]) -> None:
        self.handlers[kind] = handler

    def _set_timer(self, action: SetTimer) -> None:
        self.deadlines.after(action.delay_ms, lambda: self.dispatch(Timer(action.token)))

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, LeaseExpired):
            self.report(suspected=[[str(m.incarnation), m.fenced] for m in event.members])
        elif isinstance(event, CommitCompleted):
            self.commit_ms.append(now - self.commit_started.pop(event.ticket))
        return []

    def _commit_due(self) -> None:
        """Commit the transactions that have come due."""
        while self.next_commit_at <= now_ms():
            self.next_commit_at += 1000.0 / self.transactions_per_second
            self.last_ticket += 1
            self.commit_started[self.last_ticket] = now_ms()
            key = f"w/{self.client.incarnation}/{self.last_ticket % KEY_COUNT}"
            self.client.commit(
                Commit(self.last_ticket, (Transaction((Create(key, RECORD_VALUE),)),), "bench")
            )
        self.deadlines.at(self.next_commit_at, self._commit_due)

    def _sample_delay(self) -> None:
        now = now_ms()
        self.reactor_delays_ms.append(max(now - self.next_sample_at, 0.0))
        self.next_sample_at = now + DELAY_SAMPLE_MS
        self.deadlines.at(self.next_sample_at, self._sample_delay)

    # The reactor's reader of the standard input

    def fileno(self) -> int:
        return 0

    def logPrefix(self) -> str:  # noqa: N802 (Twisted's name)
        return "bench"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        pass

    def doRead(self) -> None:  # noqa: N802 (Twisted's name)
        os.read(0, 100)
        self.report(took=self.commit_ms, lates=self.reactor_delays_ms, counts=self.counters.snapshot())
        self.client.release_lease()
        reactor.callLater(0.0, reactor.stop)


if __name__ == "__main__":
    Gateway(sys.argv[1], float(sys.argv[2])).run()
