"""Gateway process with generated customer settings: its invariants hold for arbitrary values."""

from __future__ import annotations

import queue
import signal
import socket
import threading
from collections import defaultdict
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from itertools import accumulate, product
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings as hypothesis_settings, strategies as st

from tests.net_program.conftest import StartGateway
from tests.standins import (
    SETTINGS,
    TIMEOUT_S,
    Client,
    FakeDiscovery,
    FakeInstance,
    GatewayProcess,
    endpoint,
    respond,
)

LONG_DEADLINE_MS = 20_000.0  # a deadline that is kept even on a busy test machine
CLIENT_TIMEOUT_MS = 300  # how long a client waits for a response that the instance sends too late
CLASS_NAMES = st.tuples(
    st.from_regex(r"[a-z][a-z0-9]{0,5}", fullmatch=True),
    st.lists(st.sampled_from(["2", "-b", "-9th", "x", "--", "_", ".", "-"]), max_size=4),
).map(lambda drawn: list(accumulate([drawn[0], *drawn[1]])))  # each name is a prefix of the next one
METHODS = {"pure": "GET", "token": "POST", "side_effect": "POST"}
ALLOWED_METHODS = {"pure": "GET", "token": "POST, PUT", "side_effect": "POST"}


@st.composite
def request_classes(draw: st.DrawFn) -> dict[str, Any]:
    limit = draw(st.sampled_from([30.0, 90.0, 400.0, 3_000.0, LONG_DEADLINE_MS, LONG_DEADLINE_MS]))
    return {
        "repeat": draw(st.sampled_from([*METHODS])),
        "group": draw(st.sampled_from(["all", "zone", "cell"])),
        "hard-limit-ms": limit,
        "target-ms": limit * draw(st.sampled_from([0.2, 0.6])),
        "dedup-window-ms": draw(st.sampled_from([0.0, 1.0, 20.0, 150.0])),
        "worth": draw(st.sampled_from([0.0, 0.01, 40.0])),
    }


CUSTOMERS = st.fixed_dictionaries(
    {
        "names": CLASS_NAMES,
        "classes": st.lists(request_classes(), min_size=5, max_size=5),
        "tenants": st.one_of(st.just([]), CLASS_NAMES),
        "share": st.sampled_from([0.001, 0.3, 1.0]),
        "bounds": st.fixed_dictionaries(
            {
                "most-tries": st.sampled_from([1, 2, 30]),
                "connect-timeout-ms": st.sampled_from([20.0, 5000.0]),
                "conn-idle-ms": st.sampled_from([0.0, 40.0, 600_000.0]),
                "max-open": st.sampled_from([1, 100_000]),
                "max-retry-after-ms": st.sampled_from([0.0, 60_000.0]),
                **{name: st.booleans() for name in ("cancelling", "probing", "may-duplicate", "retry-after")},
            }
        ),
        "grace": st.sampled_from([0.0, 2_000.0]),
        "discovery": st.sampled_from(["automatic", "subscribe"]),
        "sockets": st.sampled_from([128, 4096]),
    }
)

KEYED_CLASS = {
    "repeat": "token",
    "hard-limit-ms": LONG_DEADLINE_MS,
    "target-ms": LONG_DEADLINE_MS / 2,
    "dedup-window-ms": 150.0,
}
# The first class has the whole retry budget, and may be retried only in the cell of the first attempt.
ONE_CELL_CUSTOMER = {
    "names": ["pay", "pay-2", "pay-2-"],
    "classes": [KEYED_CLASS | {"group": group} for group in ("cell", "all")],
    "tenants": ["quay", "quay-2"],
    "share": 0.3,
    "grace": 0.0,
    "discovery": "subscribe",
    "sockets": 128,
    "bounds": {"most-tries": 30, "connect-timeout-ms": 5000.0, "conn-idle-ms": 40.0, "may-duplicate": True},
}


class ScriptedInstances:
    """Two instances in two cells. The request path selects their behaviour; they record all requests."""

    def __init__(self, windows: dict[str, float]) -> None:
        self.arrivals: dict[str, list[int]] = defaultdict(list)  # by request id: the cells that received it
        self.windows, self.incarnation = windows, 0
        self.held_requests: queue.Queue[str] = queue.Queue()
        self.release_held = threading.Event()
        self.instances = [FakeInstance(self._handler(cell)) for cell in range(2)]
        self.discovery = FakeDiscovery(self._entries("in_service"))

    def _entries(self, second_state: str) -> list[dict[str, Any]]:
        self.incarnation += 1  # a new incarnation has no recorded failures
        states = ("in_service", second_state)
        return [
            endpoint(f"s-{cell}", instance.address, status=states[cell])
            | {"group": cell, "since_ms": self.incarnation}
            for cell, instance in enumerate(self.instances)
        ]

    def restart_instances(self, second_state: str = "in_service") -> None:
        """Publish new incarnations, and return once the gateway polls for the version after them."""
        self.discovery.update(self._entries(second_state))
        while self.discovery.polled_versions.get(timeout=TIMEOUT_S) < self.discovery.index:
            pass

    def _handler(self, cell: int) -> Callable[[BaseHTTPRequestHandler, bytes], None]:
        def handle(handler: BaseHTTPRequestHandler, _: bytes) -> None:
            if handler.path == "/health/live":
                respond(handler, 200, b"ok\n")
                return
            cls, behaviour = handler.path.split("/")[1:3]
            request_id = handler.headers["X-Txn"]
            self.arrivals[request_id].append(cell)
            if behaviour == "hold":
                self.held_requests.put(request_id)
                self.release_held.wait(TIMEOUT_S)
            elif behaviour == "window":  # it began at sending, so this wait outlasts it
                threading.Event().wait(self.windows[cls] / 1000)
            if behaviour in ("reset", "window"):
                handler.connection.shutdown(socket.SHUT_RDWR)
                handler.close_connection = True
            elif behaviour == "error":
                respond(handler, 500, b"")
            elif behaviour == "away":
                respond(handler, 503, b"", X_Turned_Away="1")
            else:
                respond(handler, 200, f"{request_id} {handler.path}".encode())

        return handle


class ClientRequest:
    """A request that was sent, and its response."""

    def __init__(
        self, client: Client, request_class: dict[str, Any], behaviour: str, tenant: str = ""
    ) -> None:
        self.client, self.request_class, self.behaviour, self.path = (
            client,
            request_class,
            behaviour,
            f"/{request_class['name']}/{behaviour}/1?a=b",
        )
        times_out = behaviour == "hold" and request_class["hard-limit-ms"] > CLIENT_TIMEOUT_MS
        wait_ms = CLIENT_TIMEOUT_MS if times_out else request_class["hard-limit-ms"]
        headers = {"X_Org": tenant} if tenant else {}
        body = b"" if request_class["repeat"] == "pure" else b"x"
        client.send(
            METHODS[request_class["repeat"]], self.path, body, X_Remaining=f"{wait_ms:.0f}m", **headers
        )
        self.request_id = client.request_id

    def read_response(self) -> ClientRequest:
        self.status, _, self.body = self.client.read_response()
        return self

    def check(self, arrivals: list[int], max_attempts: int) -> None:
        """Check the invariants for responses and retries."""
        context = (self.path, self.request_class, self.status, self.body, arrivals)
        repeat, group = self.request_class["repeat"], self.request_class["group"]
        assert self.status in (200, 502, 503, 504), context
        assert len(arrivals) <= max_attempts, context
        if self.status == 200:  # the response must belong to this request
            assert self.behaviour in ("ok", "hold"), context
            assert self.body == f"{self.request_id} {self.path}".encode(), context
        if not arrivals or self.behaviour == "away":
            return  # never executed: rejections and retries are both allowed
        if repeat == "side_effect":
            assert len(arrivals) == 1, context
            assert self.status != 503, context
        if repeat == "token":
            assert len(arrivals) == 1 or self.behaviour != "window", context
            assert len(set(arrivals)) == 1 or group != "cell", context
            assert self.status != 503 or group == "all", context


def run_customer(gateway: GatewayProcess, fleet: ScriptedInstances, settings: dict[str, Any]) -> None:
    classes, max_attempts = settings["classes"], settings["bounds"]["most-tries"]
    tenants = ["", *(t["name"] for t in settings["tenants"]), "nobody"]
    names = {cls["name"] for cls in classes}
    client = gateway.client()
    for cls in classes:
        status, headers, _ = client.request("DELETE", f"/{cls['name']}/ok")
        assert status == 405
        assert headers["allow"] == ALLOWED_METHODS[cls["repeat"]]  # the class is found by its full name
    for unknown_name in {f"{name}!" for name in names} | {name[:-1] for name in names} - names:
        assert client.request("GET", f"/{unknown_name}/ok")[0] == 404

    done = [ClientRequest(client, cls, "ok", tenant).read_response() for cls in classes for tenant in tenants]
    long_deadline_statuses = [
        request.status for request in done if request.request_class["hard-limit-ms"] == LONG_DEADLINE_MS
    ]
    assert set(long_deadline_statuses) == {200}, [
        (a.path, a.status, fleet.arrivals[a.request_id]) for a in done
    ]  # no instance has failed yet
    for cls, behaviour in product(classes, ("reset", "window", "error", "away", "hold")):
        fleet.restart_instances()
        done.append(ClientRequest(client, cls, behaviour).read_response())
        if behaviour == "hold":  # the late response must not be taken for the next request's
            fleet.release_held.set()
            done.append(ClientRequest(client, cls, "ok").read_response())
            fleet.release_held.clear()

    fleet.restart_instances("terminating")
    drained = [ClientRequest(client, cls, "ok").read_response() for cls in classes * 3]
    fleet.restart_instances("terminating")
    holder, first = gateway.client(), classes[0]  # the first class has the long deadline
    holder.send(METHODS[first["repeat"]], f"/{first['name']}/hold/2", X_Remaining=f"{LONG_DEADLINE_MS:.0f}m")
    while fleet.held_requests.get(timeout=TIMEOUT_S) != holder.request_id:
        pass
    gateway.process.send_signal(signal.SIGTERM)
    gateway.wait_for("draining")
    fleet.release_held.set()
    assert holder.read_response()[0] == 200
    for client_connection in (client, holder):
        client_connection.reader.close()
        client_connection.socket.close()
    counters = gateway.wait_for("counters")
    assert not [name for name in counters if name.startswith("fault.") or name == "out.duplicate_responses"]
    assert gateway.process.wait(TIMEOUT_S) == 0
    for request in done + drained:
        request.check(fleet.arrivals[request.request_id], max_attempts)
    assert not any(1 in fleet.arrivals[request.request_id] for request in drained)


@given(drawn=CUSTOMERS)
@example(drawn=ONE_CELL_CUSTOMER)
@hypothesis_settings(
    derandomize=True,
    max_examples=7,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)
def test_invariants_hold_for_arbitrary_customer_settings(
    tmp_path_factory: pytest.TempPathFactory, drawn: dict[str, Any]
) -> None:
    named = zip(drawn["names"], drawn["classes"], strict=False)
    classes = [cls | {"name": name} for name, cls in named]
    classes[0] |= {"hard-limit-ms": LONG_DEADLINE_MS, "target-ms": LONG_DEADLINE_MS / 2}
    settings = SETTINGS | {
        "classes": classes,
        "bounds": drawn["bounds"],
        "discovery": drawn["discovery"],
        "tenants": [{"name": t, "share": drawn["share"], "quota-rps": 0.5} for t in drawn["tenants"]],
        "rules": SETTINGS["rules"] | {"stop-sending-within-ms": drawn["grace"]},
    }
    fleet = ScriptedInstances({cls["name"]: cls["dedup-window-ms"] for cls in classes})
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": drawn["sockets"]}
    folder = tmp_path_factory.mktemp("customer")
    known, discovery = fleet.discovery.entries, fleet.discovery.address
    gateway = GatewayProcess(folder, known, discovery=discovery, settings=settings, limits=limits)
    try:
        gateway.wait_for("ready")
        run_customer(gateway, fleet, settings)
    finally:
        gateway.stop()


def test_infinite_number_is_rejected_with_its_path_at_start_and_reload(start: StartGateway) -> None:
    # Python's JSON parser accepts Infinity. Such settings ended the start with a traceback, and a reload with
    # an exception.
    invalid_settings = SETTINGS | {
        "rules": {**SETTINGS["rules"], "cold-ms": float("inf")},
        "balancers": float("inf"),
    }
    path_in_file = "config.json: config: settings: 'balancers' is inf"
    rejected = start([], wait=False, settings=invalid_settings)
    assert path_in_file in rejected.wait_for("plain")["line"]
    assert rejected.process.wait(TIMEOUT_S) == 2
    assert rejected.lines.get(timeout=TIMEOUT_S)["event"] == "closed"
    gateway = start([])
    gateway.reload(settings=invalid_settings)
    assert path_in_file in gateway.wait_for("reload_rejected")["why"]
