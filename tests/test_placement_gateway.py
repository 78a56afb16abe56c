"""An experiment at real gateways: one is killed, and each request counts once."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections import Counter, defaultdict
from collections.abc import Iterator
from concurrent.futures import Future
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

import pytest

from meadowpulley.ledger import LedgerUnusableError
from meadowpulley.ledger.disk import DiskStore
from meadowpulley.loopback.gateway_fleet import GatewayProcess, HttpResponse, build_layouts, send_request
from meadowpulley.net import protocol
from meadowpulley.net.log import UNEXPECTED_EXCEPTION_EVENT
from meadowpulley.placement import (
    Assignment,
    Experiment,
    Summary,
    decode_counters,
    parse_experiment,
    read_summary,
)
from meadowpulley.placement.gateway import requested_experiment
from meadowpulley.settings import read_settings
from tests.driver import settings
from tests.processes.gateway_cluster import (
    GATEWAY_SETTINGS,
    REQUEST_BUDGET_MS,
    GatewayCluster,
    response_status,
    wait_until,
)
from tests.standins import ROOT

FILE = """
version = 1
name = "try"
unit = "key"
carry_ms = 500.0
[[arms]]
name = "now"
policy = "own"
part = 0.5
[[arms]]
name = "by-key"
policy = "key"
part = 0.5
[end]
requests = 100000
"""
KEYS, EACH, OPEN = 16, 4, 20
REQUEST_COUNT = 3 * KEYS * EACH + OPEN


class ExperimentFleet(GatewayCluster):
    """Records which server each request was sent to first."""

    def __init__(self, folder: Path, size: int, environ: dict[str, str]) -> None:
        self.server: dict[str, Any] = {}
        super().__init__(folder, size, environ)

    def _handle_attempt(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        self.server.setdefault(handler.headers[protocol.REQUEST_ID_HEADER], handler.server.server_address)
        super()._handle_attempt(handler, body)

    def send(self, at: GatewayProcess, name: str, key: int) -> Future[HttpResponse | None]:
        return self._clients.submit(
            send_request, at.address, name, "/look", key=f"{key:016x}", remaining_ms=REQUEST_BUDGET_MS - 1000
        )

    def summary(self, e: Experiment) -> Summary:
        classes = read_settings(GATEWAY_SETTINGS, "test").classes
        store = DiskStore(str(self.fleet.ledger))
        try:
            return read_summary(e, classes, store.scan("placement/"), store.members())
        finally:
            store.close()

    def gateways(self) -> set[str]:
        store = DiskStore(str(self.fleet.ledger))
        try:
            return {member.incarnation.name for member in store.members()}
        finally:
            store.close()

    def counts(self, e: Experiment) -> dict[str, Any]:
        """Return the counters record of each incarnation."""
        store = DiskStore(str(self.fleet.ledger))
        try:
            found = [decode_counters(record.value) for record in store.scan(e.record_key("count/"))]
        finally:
            store.close()
        return {count.incarnation: count for count in found if count is not None}


@pytest.fixture
def experiment(tmp_path: Path) -> Iterator[tuple[ExperimentFleet, Experiment]]:
    build_layouts()
    file = tmp_path / "placement.toml"
    file.write_text(FILE)
    world = ExperimentFleet(tmp_path, 4, {"MEADOWPULLEY_PLACEMENT": str(file)})
    yield world, parse_experiment(FILE.encode(), "file")
    world.stop()


def test_each_request_counts_once_when_a_gateway_is_killed(
    experiment: tuple[ExperimentFleet, Experiment], tmp_path: Path
) -> None:
    world, e = experiment
    gateways = [world.fleet.launch(n) for n in range(3)]
    for gateway in gateways:
        gateway.wait_for("ready")
    wait_until(lambda: len(world.counts(e)) == 3, "all of them count")

    asked = {
        (n, key, k): world.send(gateways[n], f"{n:04x}{key:08x}{k:04x}", key)
        for k in range(EACH)
        for n in range(3)
        for key in range(1, KEYS + 1)
    }
    assert Counter(response_status(answer) for answer in asked.values()) == {200: 3 * KEYS * EACH}
    servers: dict[tuple[int, int], Counter[Any]] = defaultdict(Counter)
    for n, key, k in asked:
        servers[n, key][world.server[f"{n:04x}{key:08x}{k:04x}"]] += 1
    arm = {key: Assignment(e).arm(b"key %d" % key) for key in range(1, KEYS + 1)}
    assert all(len(found) == 1 for (_, key), found in servers.items() if arm[key] == 1)
    assert any(len(found) > 1 for (_, key), found in servers.items() if arm[key] == 0)

    held = [f"{0xFF:04x}{n:012x}" for n in range(OPEN)]
    first = [world.send_request(gateways[0], name, "/look/hold") for name in held]
    world.wait_for_send(*held)
    wait_until(lambda: len(world.counts(e)["g0.1"].open_requests) == OPEN, "its record names them as open")
    gateways[0].kill()
    assert [response_status(answer) for answer in first] == [0] * OPEN
    again = [
        world.send_request(gateways[1 + n % 2], name, "/look/hold", is_retry=True)
        for n, name in enumerate(held)
    ]
    assert [response_status(answer) for answer in again] == [200] * OPEN
    wait_until(lambda: world.summary(e).adopted == OPEN, "their ends are written")

    found = world.summary(e)
    assert (found.requests, found.withheld, found.unassigned, found.incarnations) == (REQUEST_COUNT, 0, 0, 3)
    whole = [a for a in found.arms if not a.class_name]
    assert sum(a.served for a in whole) == REQUEST_COUNT
    assert all(a.requests > OPEN for a in whole)
    assert sum(a.still_open + a.lost + a.disconnected + a.failed + a.rejected for a in whole) == 0
    assert not [line for gateway in gateways for line in gateway.events(UNEXPECTED_EXCEPTION_EVENT)]

    more = [world.send(gateways[2], f"{0xEE:04x}{n:012x}", n + 1) for n in range(KEYS)]
    assert [response_status(answer) for answer in more] == [200] * KEYS
    gateways[2].signal(signal.SIGTERM)
    assert gateways[2].wait_for_exit() == 0
    assert world.summary(e).requests == REQUEST_COUNT + KEYS  # a graceful shutdown loses none

    world.fleet.launch(0).wait_for("ready")  # the killed gateway restarts with the same file
    other = tmp_path / "other.toml"
    other.write_text(FILE.replace("500.0", "700.0"))
    late = world.fleet.launch(3, {"MEADOWPULLEY_PLACEMENT": str(other)})
    assert late.wait_for_exit() == 2
    (line,) = [line["line"] for line in late.events("plain")]
    assert f"{other}: name: 'try' runs as version {e.digest[:8]}, this file is" in line
    assert "g3" not in world.gateways()  # and it registered no incarnation


BAD = [
    ("", "name a file that can be read"),
    (FILE.replace('"own"', '"best"'), "'best' is none; known are own"),
    (FILE.replace("part = 0.5", "part = 0.6"), "parts add up to 1.2, over 1; make them smaller"),
]


@pytest.mark.parametrize(("text", "found"), BAD)
def test_an_invalid_file_is_refused_in_one_line(tmp_path: Path, text: str, found: str) -> None:
    file = tmp_path / "placement.toml"
    if text:
        file.write_text(text)
    with pytest.raises(LedgerUnusableError, match=found) as bad:
        requested_experiment(
            settings(), {"MEADOWPULLEY_PLACEMENT": str(file), "MEADOWPULLEY_LEDGER": str(tmp_path)}
        )
    assert "\n" not in str(bad.value)
    assert str(file) in str(bad.value)


def test_missing_libraries_are_reported_in_one_line() -> None:
    code = (
        "import sys; from types import SimpleNamespace as N; from meadowpulley import stage_pipeline\n"
        "sys.modules['scipy'] = None\n"
        "stage_pipeline.start_pipeline(N(config=N(settings=None)), {'MEADOWPULLEY_PLACEMENT': 'file'},"
        " 0, None)"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False)
    line = done.stderr.strip().splitlines()[-1]
    assert "LedgerUnusableError: MEADOWPULLEY_PLACEMENT: " in line
    assert "requirements-placement.txt" in line
