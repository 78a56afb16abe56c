"""CPU time of a gateway for a request, with takeover off and on."""

from __future__ import annotations

import http.client
import statistics
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.takeover_instances import CLASSES, REQUEST_TIMEOUT_MS, InstancePool
from meadowpulley.loopback.gateway_fleet import GatewayFleet, GatewayProcess
from meadowpulley.net import protocol

MAX_COST_RATIO = 1.3
COST_RATE_PER_S, COST_CLIENTS = 100.0, 5  # requests a second and connections while costs are measured
SCOPES = ("off", "unrepeatable", "all")


class CostMeasurement:
    """One gateway each with takeover off, on for all but idempotent requests, and on for all."""

    def __init__(self, folder: Path) -> None:
        self.instances = InstancePool()
        self.fleet = GatewayFleet(folder, len(SCOPES), self.instances.config, {})
        self.block_number = 0

    def _client(
        self, gateway: GatewayProcess, class_name: str, first: int, count: int, began_s: float
    ) -> list[float]:
        connection = http.client.HTTPConnection(gateway.address)
        latencies_ms = []
        for index in range(first, first + count * COST_CLIENTS, COST_CLIENTS):
            time.sleep(max(began_s + index / COST_RATE_PER_S - time.monotonic(), 0.0))
            request_id = f"c{self.block_number}-{index}"
            body = None if class_name == "look" else request_id.encode()
            headers = {
                protocol.REQUEST_ID_HEADER: request_id,
                protocol.ENTITY_KEY_HEADER: f"{index + 1:x}",
                protocol.REMAINING_TIME_HEADER: f"{REQUEST_TIMEOUT_MS:g}m",
            }
            sent_at_s = time.monotonic()
            connection.request("GET" if body is None else "POST", f"/{class_name}/x?w=0", body, headers)
            reply = connection.getresponse()
            reply.read()
            latencies_ms.append(1000 * (time.monotonic() - sent_at_s))
            if reply.status != 200:
                raise RuntimeError(f"{class_name} was answered {reply.status} while nothing failed")
        connection.close()
        return latencies_ms

    def _measure_block(self, gateway: GatewayProcess, class_name: str, count: int) -> tuple[float, float]:
        """Return the CPU time of a request and the median latency, both in ms."""
        self.block_number += 1
        began_s, cpu_before_ms = time.monotonic(), gateway.cpu_ms()
        with ThreadPoolExecutor(COST_CLIENTS) as pool:
            futures = [
                pool.submit(self._client, gateway, class_name, n, count // COST_CLIENTS, began_s)
                for n in range(COST_CLIENTS)
            ]
        latencies_ms = [t for one in futures for t in one.result()]
        return (gateway.cpu_ms() - cpu_before_ms) / len(latencies_ms), statistics.median(latencies_ms)

    def measure(self, rounds: int, requests_per_block: int) -> list[tuple[str, bool]]:
        environ = {
            "off": {"MEADOWPULLEY_LEDGER": ""},
            **{written: {"MEADOWPULLEY_TAKEOVER": written} for written in SCOPES[1:]},
        }
        gateways = {w: self.fleet.launch(n, environ[w]) for n, w in enumerate(SCOPES)}
        for gateway in gateways.values():
            gateway.wait_for("ready")
        idle_cpu_ms_per_s = {}
        for scope, gateway in gateways.items():
            began_s, cpu_before_ms = time.monotonic(), gateway.cpu_ms()
            time.sleep(1.0)
            idle_cpu_ms_per_s[scope] = (gateway.cpu_ms() - cpu_before_ms) / (time.monotonic() - began_s)
        blocks_by_case: dict[tuple[str, str], list[tuple[float, float]]] = {}
        for _ in range(rounds):
            for class_name in CLASSES:
                for scope, gateway in gateways.items():
                    blocks_by_case.setdefault((scope, class_name), []).append(
                        self._measure_block(gateway, class_name, requests_per_block)
                    )
        cpu_ms = {key: statistics.median(c for c, _ in blocks) for key, blocks in blocks_by_case.items()}
        latency_ms = {key: statistics.median(t for _, t in blocks) for key, blocks in blocks_by_case.items()}
        print(
            "  CPU of a gateway at rest, ms a second:"
            f" {', '.join(f'{w} {v:.1f}' for w, v in idle_cpu_ms_per_s.items())}"
        )
        for scope in SCOPES:
            idle_cost_ms = idle_cpu_ms_per_s[scope] / COST_RATE_PER_S
            per_class = ", ".join(
                f"{cls} {cpu_ms[scope, cls]:.2f} ms ({cpu_ms[scope, cls] / cpu_ms['off', cls]:.2f} times,"
                f" without rest {(cpu_ms[scope, cls] - idle_cost_ms) / cpu_ms['off', cls]:.2f}),"
                f" took {latency_ms[scope, cls]:.1f} ms"
                for cls in CLASSES
            )
            print(f"  journaled {scope}: CPU of a request, {COST_RATE_PER_S:g} a second: {per_class}")
        cost_ratios = {
            w: sum(cpu_ms[w, cls] for cls in CLASSES) / sum(cpu_ms["off", cls] for cls in CLASSES)
            for w in SCOPES
        }
        ratio = cost_ratios["unrepeatable"]
        text = f"a request costs {ratio:.2f} times with the ledger, a third of each class"
        return [(f"{text} (all journaled {cost_ratios['all']:.2f})", ratio <= MAX_COST_RATIO)]
