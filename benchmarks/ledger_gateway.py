"""A gateway without clients, for `ledger.py`: a reactor, the ledger's client, and steps as requests ask for
them.

    python benchmarks/ledger_gateway.py NAME STEPS_A_SECOND

Says what happens as JSON lines, each with its time; a line on its input ends it.
"""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as found_reactor

from meadowpulley.interface import SetTimer, Timer
from meadowpulley.ledger import Commit, Committed, Create, Step, Suspected
from meadowpulley.ledger.client import start_ledger
from meadowpulley.net.counters import Counters
from meadowpulley.net.deadlines import Deadlines, now_ms

reactor: Any = found_reactor
VALUE = bytes(300)
KEYS = 500
LATE_MS = 10.0  # every so often it looks how late its reactor is


class Gateway:
    def __init__(self, name: str, rate: float) -> None:
        self.counters, self.log = Counters(), self
        self.deadlines = Deadlines(reactor, lambda where: self.say(fault=where, error=str(sys.exc_info()[1])))
        self.rate, self.number, self.asked = rate, 0, dict[int, float]()
        self.took, self.groups, self.lates = list[float](), list[int](), list[float]()
        self.functions: dict[type, Callable[[Any], None]] = {SetTimer: self._set_timer}
        client = start_ledger(self, name, os.environ, reactor)
        assert client is not None
        self.client = client
        self.keeper = client.wrap(self, tuple)
        self.say(began=str(client.life))

    def say(self, **what: Any) -> None:
        print(json.dumps({"at": now_ms(), **what}), flush=True)

    def info(self, event: str, **fields: Any) -> None:
        if event != "ledger":
            self.say(log=event, **fields)

    warning = error = info

    def run(self) -> None:
        self.client.start()
        self.due = now_ms()
        self._ask()
        self.late_from = now_ms()
        self._late()
        reactor.addReader(self)
        reactor.run(installSignalHandlers=False)

    def tell(self, event: Any) -> None:
        for action in self.keeper.handle(self.deadlines.now(), event):
            self.functions[type(action)](action)

    def carry_out(self, kind: type, function: Callable[[Any], None]) -> None:
        self.functions[kind] = function

    def _set_timer(self, action: SetTimer) -> None:
        self.deadlines.after(action.delay_ms, lambda: self.tell(Timer(action.token)))

    def handle(self, now: float, event: Any) -> list[Any]:
        if isinstance(event, Suspected):
            self.say(suspected=[[str(m.life), m.sealed] for m in event.members])
        elif isinstance(event, Committed):
            self.took.append(now - self.asked.pop(event.ticket))
        return []

    def _ask(self) -> None:
        """What came due since: a request's record, its right to go out and its end are about three steps."""
        while self.due <= now_ms():
            self.due += 1000.0 / self.rate
            self.number += 1
            self.asked[self.number] = now_ms()
            key = f"w/{self.client.life}/{self.number % KEYS}"
            self.client.commit(Commit(self.number, (Step((Create(key, VALUE),)),), "bench"))
        self.deadlines.at(self.due, self._ask)

    def _late(self) -> None:
        now = now_ms()
        self.lates.append(max(now - self.late_from, 0.0))
        self.late_from = now + LATE_MS
        self.deadlines.at(self.late_from, self._late)

    # As a reader of the reactor: its input ends it

    def fileno(self) -> int:
        return 0

    def logPrefix(self) -> str:  # noqa: N802 (Twisted's name)
        return "bench"

    def connectionLost(self, reason: Any) -> None:  # noqa: N802 (Twisted's name)
        pass

    def doRead(self) -> None:  # noqa: N802 (Twisted's name)
        os.read(0, 100)
        self.say(took=self.took, lates=self.lates, counts=self.counters.all())
        self.client.leave()
        reactor.callLater(0.0, reactor.stop)


if __name__ == "__main__":
    Gateway(sys.argv[1], float(sys.argv[2])).run()
