"""Gateway processes on one ledger, between fake instances and clients, for tests of several processes."""

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
from meadowpulley.loopback.gateway_fleet import GatewayFleet, GatewayProcess, HttpResponse, send_request
from meadowpulley.net import protocol
from tests.standins import (
    RELEASED,
    SETTINGS,
    TIMEOUT_S,
    FakeDiscovery,
    FakeInstance,
    FakePlatform,
    endpoint,
    respond,
)

REQUEST_BUDGET_MS = 15_000.0
INSTANCE_COUNT = 8
TRAFFIC_CLASSES: list[dict[str, Any]] = [
    {"name": "look", "repeat": "pure"},
    {"name": "put", "repeat": "token", "dedup-window-ms": 60_000.0},
    {"name": "pay", "repeat": "side_effect"},
]
GATEWAY_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "classes": [{**c, "target-ms": 10_000.0, "hard-limit-ms": REQUEST_BUDGET_MS} for c in TRAFFIC_CLASSES],
    "tenants": [{"name": "a", "share": 0.5}, {"name": "b", "share": 0.3}],
    "bounds": {**SETTINGS["bounds"], "may-tell": False},
}
GATEWAY_ENVIRON = {
    "MEADOWPULLEY_LEDGER_TERM_MS": "1700",
    "MEADOWPULLEY_LEDGER_POLL_MS": "20",
    "MEADOWPULLEY_TAKEOVER": "all",
}


def wait_until(condition: Callable[[], Any], description: str = "") -> Any:
    """Return what `condition` returns once that is true; fail after the time-out."""
    deadline = time.monotonic() + TIMEOUT_S
    while not (result := condition()):
        assert time.monotonic() < deadline, f"not so within {TIMEOUT_S:g} s: {description}"
        time.sleep(0.01)
    return result


class GatewayCluster:
    """Gateways whose instances hold back some responses.

    An instance holds the first attempt of each request whose path ends in `hold` until `release_held` is set.
    """

    def __init__(self, folder: Path, gateway_count: int, environ: dict[str, str] | None = None) -> None:
        self.release_held, self._send_recorded = threading.Event(), threading.Condition()
        self.send_counts: Counter[str] = Counter()  # attempts that reached an instance, by request id
        self.first_sent_at = list[float]()  # when the first attempt of each request arrived
        instances = [FakeInstance(self._handle_attempt) for _ in range(INSTANCE_COUNT)]
        entries = [endpoint(f"i{n}", each.address) for n, each in enumerate(instances)]
        discovery, platform = FakeDiscovery(entries), FakePlatform(RELEASED)
        config = {
            "discovery": discovery.address,
            "platform": {"address": platform.address, "news": RELEASED},
            "known": {"index": 5, "snapshot": True, "endpoints": entries},
            "settings": GATEWAY_SETTINGS,
        }
        self.fleet = GatewayFleet(folder, gateway_count, config, {**GATEWAY_ENVIRON, **(environ or {})})
        self._clients = ThreadPoolExecutor(32)

    def _handle_attempt(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        request_id = handler.headers[protocol.REQUEST_ID_HEADER]
        with self._send_recorded:
            self.send_counts[request_id] += 1
            if is_first := self.send_counts[request_id] == 1:
                self.first_sent_at.append(time.monotonic())
            self._send_recorded.notify_all()
        if is_first and handler.path.endswith("hold"):
            self.release_held.wait(2 * TIMEOUT_S)
        respond(handler, 200, b"served " + body)

    def wait_for_send(self, *request_ids: str) -> None:
        with self._send_recorded:
            all_sent = self._send_recorded.wait_for(
                lambda: all(self.send_counts[n] for n in request_ids), TIMEOUT_S
            )
        assert all_sent, f"never sent: {[n for n in request_ids if not self.send_counts[n]]}"

    def send_request(
        self, gateway: GatewayProcess, request_id: str, path: str = "/pay/hold", is_retry: bool = False
    ) -> Future[HttpResponse | None]:
        """Send a request from a client of its own."""
        body, key = (
            (b"", "") if path.startswith("/look") else (path.encode(), request_id.encode().hex()[-16:])
        )
        return self._clients.submit(
            send_request,
            gateway.address,
            request_id,
            path,
            body,
            key=key,
            client_retry=is_retry,
            remaining_ms=REQUEST_BUDGET_MS - 1000,
        )

    def takeover_keys(self) -> list[str]:
        """Return the keys of all records of takeover in the ledger."""
        store = DiskStore(str(self.fleet.ledger))
        try:
            return [record.key for record in store.scan("takeover/")]
        finally:
            store.close()

    def all_fenced(self, names: set[str]) -> bool:
        """Return whether the last incarnations of all these gateways are fenced."""
        store = DiskStore(str(self.fleet.ledger))
        try:
            return names <= {member.incarnation.name for member in store.members() if member.fenced}
        finally:
            store.close()

    def stop(self) -> None:
        self.release_held.set()
        self.fleet.stop()
        self._clients.shutdown(cancel_futures=True)


def response_status(response: Future[HttpResponse | None]) -> int:
    """Return the status of the one response; 0 if there was none."""
    reply = response.result(2 * TIMEOUT_S)
    assert reply is None or not reply.trailing, f"more than one response: {reply}"
    return reply.status if reply is not None else 0
