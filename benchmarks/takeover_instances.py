"""Instances, discovery and platform on loopback for the benchmark of takeover by processes."""

from __future__ import annotations

import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs, urlsplit

from meadowpulley.net import protocol
from tests.standins import RELEASED, SETTINGS, FakeDiscovery, FakeInstance, FakePlatform, endpoint

INSTANCE_COUNT = 32
CLASSES = {"look": "pure", "put": "token", "pay": "side_effect"}  # a third of the requests each
REQUEST_TIMEOUT_MS = 8000.0


def settings() -> dict[str, Any]:
    """Return the gateways' settings, with the classes of this benchmark."""
    more = {"target-ms": 4000.0, "hard-limit-ms": REQUEST_TIMEOUT_MS, "dedup-window-ms": 60_000.0}
    classes = [{"name": name, "repeat": repeat, **more} for name, repeat in CLASSES.items()]
    return {**SETTINGS, "classes": classes, "bounds": {**SETTINGS["bounds"], "may-tell": False}}


class InstancePool:
    """Instances that take as long as a request says, and count the executions by request id."""

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self._lock = threading.Lock()
        self.entries = [endpoint(f"i{n}", FakeInstance(self._respond).address) for n in range(INSTANCE_COUNT)]
        discovery, platform = FakeDiscovery(self.entries), FakePlatform(RELEASED)
        self.config = {
            "discovery": discovery.address,
            "platform": {"address": platform.address, "news": RELEASED},
            "known": {"index": 5, "snapshot": True, "endpoints": self.entries},
            "settings": settings(),
        }

    def _respond(self, handler: BaseHTTPRequestHandler, _: bytes) -> None:
        request_id = handler.headers[protocol.REQUEST_ID_HEADER]
        with self._lock:
            self.executions[request_id] += 1
            body = b"run %d of %b" % (self.executions[request_id], request_id.encode())
        time.sleep(float(parse_qs(urlsplit(handler.path).query)["w"][0]) / 1000)
        handler.wfile.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body))
