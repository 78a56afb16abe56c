"""Test that real gateway processes together admit no more than the capacity while some fail."""

from __future__ import annotations

import itertools
import signal
import threading
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import pytest

from meadowpulley.loopback.gateway_fleet import GatewayProcess, build_layouts, send_request
from meadowpulley.net.log import UNEXPECTED_EXCEPTION_EVENT
from tests.processes.gateway_cluster import GatewayCluster, wait_until

CAPACITY = 60.0  # requests per second, of all gateways together
# Seconds of the capacity that gateways may have saved up; each may save up at least 2 requests.
BURST_S = 0.5
# The delay from admission to the measurement of a request may vary by this many seconds.
MEASUREMENT_SKEW_S = 0.1
ENVIRONMENT = {
    "MEADOWPULLEY_LENDING_CAPACITY": f"{CAPACITY:g}",
    "MEADOWPULLEY_LENDING_SHARES": "a=0.5,b=0.5",
    "MEADOWPULLEY_LENDING_TERM_MS": "1000",
    "MEADOWPULLEY_TAKEOVER": "unrepeatable",
}
REQUEST_INTERVAL_S = 0.02  # seconds between two requests of a client


class ClientLoad:
    """Run one client of a tenant at each gateway; together they send more than twice the capacity."""

    def __init__(self, gateways: list[GatewayProcess], tenant: str) -> None:
        self._ended, self.status_counts = threading.Event(), Counter[int]()
        self._threads = [threading.Thread(target=self._run, args=(g, tenant)) for g in gateways]
        for thread in self._threads:
            thread.start()

    def _run(self, gateway: GatewayProcess, tenant: str) -> None:
        for n in itertools.count():
            if self._ended.wait(REQUEST_INTERVAL_S):
                return
            reply = send_request(
                gateway.address, f"{gateway.name}-{tenant}{n}", "/look/x", tenant=tenant, remaining_ms=500.0
            )
            self.status_counts[reply.status if reply is not None else 0] += 1

    def end(self) -> None:
        self._ended.set()
        for thread in self._threads:
            thread.join()


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[GatewayCluster]:
    build_layouts()
    started_cluster = GatewayCluster(tmp_path, 3, ENVIRONMENT)
    yield started_cluster
    started_cluster.stop()
    assert not [
        line for p in started_cluster.fleet.processes for line in p.events(UNEXPECTED_EXCEPTION_EVENT)
    ]


def max_excess(times: list[float]) -> float:
    """Return the largest number of requests admitted above the capacity, over windows of any length."""
    times = sorted(times)
    least, worst = float("inf"), 0.0
    for n, at in enumerate(times):
        least = min(least, n - CAPACITY * (at - times[0]))
        worst = max(worst, n + 1 - CAPACITY * (at - times[0]) - least)
    return worst


def test_all_together_admit_no_more_than_the_capacity(cluster: GatewayCluster) -> None:
    gateways = cluster.fleet.start()
    load = ClientLoad(gateways, "a")  # tenant "b" is idle, so its half can be borrowed
    try:

        def wait_for_admissions(count: int) -> None:
            target = len(cluster.first_sent_at) + count
            wait_until(
                lambda: len(cluster.first_sent_at) >= target,
                f"{count} more admitted requests; responses by status: {load.status_counts}",
            )

        wait_for_admissions(150)
        duration_s = cluster.first_sent_at[-1] - cluster.first_sent_at[50]
        used = (len(cluster.first_sent_at) - 50) / duration_s / CAPACITY
        assert used > 0.6, f"only {used:.2f} of the capacity was used; the tenant's own half is 0.50"
        gateways[0].kill()
        wait_for_admissions(80)
        gateways[1].signal(signal.SIGSTOP)
        gateways[1].wait_until_stopped()
        wait_for_admissions(80)
        wait_until(lambda: cluster.all_fenced({"g0", "g1"}))
        gateways[1].signal(signal.SIGCONT)
        gateways[1].wait_for("ledger_fenced")
        cluster.fleet.launch(0).wait_for("ready")
        wait_for_admissions(200)  # long enough to detect a resumed gateway that uses its old grant
        gateways[2].signal(signal.SIGTERM)
        assert gateways[2].wait_for_exit() == 0
        wait_for_admissions(20)
    finally:
        load.end()
    assert load.status_counts[503] > len(cluster.first_sent_at) / 2, "the load did not exceed the capacity"
    excess = max_excess(cluster.first_sent_at)
    assert excess <= CAPACITY * (BURST_S + MEASUREMENT_SKEW_S) + 2 * 3, (
        f"admissions exceeded the capacity by {excess:.1f} requests"
    )
