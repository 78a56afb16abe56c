"""Gateways on one ledger between stand-in instances and clients: what tests of several processes share."""

from __future__ import annotations

import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

from meadowpulley.ledger.disk import DiskStore
from meadowpulley.net import names
from meadowpulley.rig.joint import Fleet, Process, Reply, ask
from tests.standins import LIMIT_S, RELEASED, SETTINGS, Discovery, Instance, Platform, answer, entry

LEFT_MS = 15_000.0
INSTANCES = 8
CLASSES: list[dict[str, Any]] = [
    {"name": "look", "repeat": "pure"},
    {"name": "put", "repeat": "token", "dedup-window-ms": 60_000.0},
    {"name": "pay", "repeat": "side_effect"},
]
SETTINGS_HERE: dict[str, Any] = {
    **SETTINGS,
    "classes": [{**c, "target-ms": 10_000.0, "hard-limit-ms": LEFT_MS} for c in CLASSES],
    "tenants": [{"name": "a", "share": 0.5}, {"name": "b", "share": 0.3}],
    "bounds": {**SETTINGS["bounds"], "may-tell": False},
}
ENVIRON = {
    "MEADOWPULLEY_LEDGER_TERM_MS": "1700",
    "MEADOWPULLEY_LEDGER_POLL_MS": "20",
    "MEADOWPULLEY_TAKEOVER": "all",
}


def until(holds: Callable[[], Any], what: str = "") -> Any:
    """What it gives once that is true."""
    end = time.monotonic() + LIMIT_S
    while not (found := holds()):
        assert time.monotonic() < end, f"not so within {LIMIT_S:g} s: {what}"
        time.sleep(0.01)
    return found


class World:
    """Instances hold the first attempt of every request whose path ends in `hold` until `gate` is set."""

    def __init__(self, folder: Path, size: int, environ: dict[str, str] | None = None) -> None:
        self.gate, self._changed = threading.Event(), threading.Condition()
        self.sends: Counter[str] = Counter()  # that reached an instance, by id
        self.first = list[float]()  # when the first of each did
        instances = [Instance(self._act) for _ in range(INSTANCES)]
        entries = [entry(f"i{n}", each.address) for n, each in enumerate(instances)]
        discovery, platform = Discovery(entries), Platform(RELEASED)
        config = {
            "discovery": discovery.address,
            "platform": {"address": platform.address, "news": RELEASED},
            "known": {"index": 5, "snapshot": True, "endpoints": entries},
            "settings": SETTINGS_HERE,
        }
        self.fleet = Fleet(folder, size, config, {**ENVIRON, **(environ or {})})
        self._clients = ThreadPoolExecutor(32)

    def _act(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        name = handler.headers[names.ID]
        with self._changed:
            self.sends[name] += 1
            if first := self.sends[name] == 1:
                self.first.append(time.monotonic())
            self._changed.notify_all()
        if first and handler.path.endswith("hold"):
            self.gate.wait(2 * LIMIT_S)
        answer(handler, 200, b"served " + body)

    def wait_for_send(self, *wanted: str) -> None:
        with self._changed:
            there = self._changed.wait_for(lambda: all(self.sends[n] for n in wanted), LIMIT_S)
        assert there, f"never sent: {[n for n in wanted if not self.sends[n]]}"

    def ask(
        self, at: Process, name: str, path: str = "/pay/hold", again: bool = False
    ) -> Future[Reply | None]:
        """A client with that request under that id."""
        body, key = (b"", "") if path.startswith("/look") else (path.encode(), name.encode().hex()[-16:])
        return self._clients.submit(
            ask, at.address, name, path, body, key=key, again=again, left_ms=LEFT_MS - 1000
        )

    def records(self) -> list[str]:
        """Keys of all that takeover has in the ledger."""
        store = DiskStore(str(self.fleet.ledger))
        try:
            return [record.key for record in store.scan("takeover/")]
        finally:
            store.close()

    def sealed(self, names: set[str]) -> bool:
        """Whether the last lives of all these gateways were ended."""
        store = DiskStore(str(self.fleet.ledger))
        try:
            return names <= {member.life.name for member in store.members() if member.sealed}
        finally:
            store.close()

    def stop(self) -> None:
        self.gate.set()
        self.fleet.stop()
        self._clients.shutdown(cancel_futures=True)


def status(asked: Future[Reply | None]) -> int:
    """Of its one answer; 0 where there was none."""
    reply = asked.result(2 * LIMIT_S)
    assert reply is None or not reply.more, f"answered twice: {reply}"
    return reply.status if reply is not None else 0
