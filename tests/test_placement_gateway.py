"""Tests of an experiment at gateways on sockets: each request counts once although one is killed."""

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

EXPERIMENT_FILE = """
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
KEY_COUNT, REQUESTS_PER_KEY, HELD_COUNT = 16, 4, 20
REQUEST_COUNT = 3 * KEY_COUNT * REQUESTS_PER_KEY + HELD_COUNT


class ExperimentFleet(GatewayCluster):
    """A cluster of gateways that records the server to which each request was sent first."""

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
    file.write_text(EXPERIMENT_FILE)
    cluster = ExperimentFleet(tmp_path, 4, {"MEADOWPULLEY_PLACEMENT": str(file)})
    yield cluster, parse_experiment(EXPERIMENT_FILE.encode(), "file")
    cluster.stop()


def test_each_request_counts_once_when_a_gateway_is_killed(
    experiment: tuple[ExperimentFleet, Experiment], tmp_path: Path
) -> None:
    cluster, e = experiment
    gateways = [cluster.fleet.launch(n) for n in range(3)]
    for gateway in gateways:
        gateway.wait_for("ready")
    wait_until(lambda: len(cluster.counts(e)) == 3, "each gateway has written a counters record")

    responses = {
        (n, key, k): cluster.send(gateways[n], f"{n:04x}{key:08x}{k:04x}", key)
        for k in range(REQUESTS_PER_KEY)
        for n in range(3)
        for key in range(1, KEY_COUNT + 1)
    }
    assert Counter(response_status(answer) for answer in responses.values()) == {
        200: 3 * KEY_COUNT * REQUESTS_PER_KEY
    }
    servers_by_key: dict[tuple[int, int], Counter[Any]] = defaultdict(Counter)
    for n, key, k in responses:
        servers_by_key[n, key][cluster.server[f"{n:04x}{key:08x}{k:04x}"]] += 1
    arm = {key: Assignment(e).arm(b"key %d" % key) for key in range(1, KEY_COUNT + 1)}
    assert all(len(found) == 1 for (_, key), found in servers_by_key.items() if arm[key] == 1)
    assert any(len(found) > 1 for (_, key), found in servers_by_key.items() if arm[key] == 0)

    held = [f"{0xFF:04x}{n:012x}" for n in range(HELD_COUNT)]
    first = [cluster.send_request(gateways[0], name, "/look/hold") for name in held]
    cluster.wait_for_send(*held)
    wait_until(
        lambda: len(cluster.counts(e)["g0.1"].open_requests) == HELD_COUNT,
        "the record of g0.1 lists the held requests",
    )
    gateways[0].kill()
    assert [response_status(answer) for answer in first] == [0] * HELD_COUNT
    retries = [
        cluster.send_request(gateways[1 + n % 2], name, "/look/hold", is_retry=True)
        for n, name in enumerate(held)
    ]
    assert [response_status(answer) for answer in retries] == [200] * HELD_COUNT
    wait_until(
        lambda: cluster.summary(e).adopted == HELD_COUNT, "the ends of the adopted requests are in the ledger"
    )

    found = cluster.summary(e)
    assert (found.requests, found.withheld, found.unassigned, found.incarnations) == (REQUEST_COUNT, 0, 0, 3)
    arm_results = [a for a in found.arms if not a.class_name]
    assert sum(a.served for a in arm_results) == REQUEST_COUNT
    assert all(a.requests > HELD_COUNT for a in arm_results)
    assert sum(a.still_open + a.lost + a.disconnected + a.failed + a.rejected for a in arm_results) == 0
    assert not [line for gateway in gateways for line in gateway.events(UNEXPECTED_EXCEPTION_EVENT)]

    more = [cluster.send(gateways[2], f"{0xEE:04x}{n:012x}", n + 1) for n in range(KEY_COUNT)]
    assert [response_status(answer) for answer in more] == [200] * KEY_COUNT
    gateways[2].signal(signal.SIGTERM)
    assert gateways[2].wait_for_exit() == 0
    assert cluster.summary(e).requests == REQUEST_COUNT + KEY_COUNT  # a graceful shutdown loses no counts

    cluster.fleet.launch(0).wait_for("ready")  # the killed gateway restarts with the same file
    other = tmp_path / "other.toml"
    other.write_text(EXPERIMENT_FILE.replace("500.0", "700.0"))
    late = cluster.fleet.launch(3, {"MEADOWPULLEY_PLACEMENT": str(other)})
    assert late.wait_for_exit() == 2
    (line,) = [line["line"] for line in late.events("plain")]
    assert f"{other}: name: 'try' runs as version {e.digest[:8]}, this file is" in line
    assert "g3" not in cluster.gateways()  # it was refused before it registered an incarnation


INVALID_FILES = [
    ("", "name a file that can be read"),
    (EXPERIMENT_FILE.replace('"own"', '"best"'), "'best' is not a policy; known are own"),
    (EXPERIMENT_FILE.replace("part = 0.5", "part = 0.6"), "parts add up to 1.2, over 1; make them smaller"),
]


@pytest.mark.parametrize(("text", "found"), INVALID_FILES)
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
