"""The program on the settings of customers that nobody has: the rules hold, whatever the figures are."""

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

from tests.net_program.conftest import Start
from tests.standins import LIMIT_S, SETTINGS, Client, Discovery, Gateway, Instance, answer, entry

LONG_MS = 20_000.0  # a deadline that no machine of ours is too busy for
SHORT_MS = 300  # what a client waits for an answer that comes too late
NAMES = st.tuples(
    st.from_regex(r"[a-z][a-z0-9]{0,5}", fullmatch=True),
    st.lists(st.sampled_from(["2", "-b", "-9th", "x", "--", "_", ".", "-"]), max_size=4),
).map(lambda drawn: list(accumulate([drawn[0], *drawn[1]])))  # each begins with the one before it
METHODS = {"pure": "GET", "token": "POST", "side_effect": "POST"}
ALLOWED = {"pure": "GET", "token": "POST, PUT", "side_effect": "POST"}


@st.composite
def a_class(draw: st.DrawFn) -> dict[str, Any]:
    limit = draw(st.sampled_from([30.0, 90.0, 400.0, 3_000.0, LONG_MS, LONG_MS]))
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
        "names": NAMES,
        "classes": st.lists(a_class(), min_size=5, max_size=5),
        "tenants": st.one_of(st.just([]), NAMES),
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

KEYED = {"repeat": "token", "hard-limit-ms": LONG_MS, "target-ms": LONG_MS / 2, "dedup-window-ms": 150.0}
ONE_CELL = {  # its first class has the whole budget of repeats, and may repeat in one cell alone
    "names": ["pay", "pay-2", "pay-2-"],
    "classes": [KEYED | {"group": group} for group in ("cell", "all")],
    "tenants": ["quay", "quay-2"],
    "share": 0.3,
    "grace": 0.0,
    "discovery": "subscribe",
    "sockets": 128,
    "bounds": {"most-tries": 30, "connect-timeout-ms": 5000.0, "conn-idle-ms": 40.0, "may-duplicate": True},
}


class Fleet:
    """Two instances in two cells, told by the path what to do with a request; they keep who came where."""

    def __init__(self, windows: dict[str, float]) -> None:
        self.came: dict[str, list[int]] = defaultdict(list)  # by the id: the cells in which it came
        self.windows, self.starts = windows, 0
        self.inside: queue.Queue[str] = queue.Queue()
        self.go = threading.Event()
        self.at = [Instance(self._acts(cell)) for cell in range(2)]
        self.discovery = Discovery(self._entries("in_service"))

    def _entries(self, second: str) -> list[dict[str, Any]]:
        self.starts += 1  # a fresh start each time: nothing that happened before speaks against them
        states = ("in_service", second)
        return [
            entry(f"s-{cell}", at.address, status=states[cell]) | {"group": cell, "since_ms": self.starts}
            for cell, at in enumerate(self.at)
        ]

    def start_anew(self, second: str = "in_service") -> None:
        """Returns once the gateway has read it: it asks for what comes after."""
        self.discovery.change(self._entries(second))
        while self.discovery.asked.get(timeout=LIMIT_S) < self.discovery.index:
            pass

    def _acts(self, cell: int) -> Callable[[BaseHTTPRequestHandler, bytes], None]:
        def act(handler: BaseHTTPRequestHandler, _: bytes) -> None:
            if handler.path == "/health/live":
                answer(handler, 200, b"ok\n")
                return
            cls, what = handler.path.split("/")[1:3]
            name = handler.headers["X-Txn"]
            self.came[name].append(cell)
            if what == "hold":
                self.inside.put(name)
                self.go.wait(LIMIT_S)
            elif what == "window":  # it was sent before it came, so that its window is over for sure
                threading.Event().wait(self.windows[cls] / 1000)
            if what in ("reset", "window"):
                handler.connection.shutdown(socket.SHUT_RDWR)
                handler.close_connection = True
            elif what == "error":
                answer(handler, 500, b"")
            elif what == "away":
                answer(handler, 503, b"", X_Turned_Away="1")
            else:
                answer(handler, 200, f"{name} {handler.path}".encode())

        return act


class Asked:
    """One request, from its sending to its one answer."""

    def __init__(self, client: Client, cls: dict[str, Any], what: str, tenant: str = "") -> None:
        self.client, self.cls, self.what, self.path = client, cls, what, f"/{cls['name']}/{what}/1?a=b"
        late = what == "hold" and cls["hard-limit-ms"] > SHORT_MS
        wait_ms = SHORT_MS if late else cls["hard-limit-ms"]
        more = {"X_Org": tenant} if tenant else {}
        body = b"" if cls["repeat"] == "pure" else b"x"
        client.send(METHODS[cls["repeat"]], self.path, body, X_Remaining=f"{wait_ms:.0f}m", **more)
        self.name = f"{client.count:016x}"

    def answered(self) -> Asked:
        self.status, _, self.body = self.client.answer()
        return self

    def check(self, came: list[int], most: int) -> None:
        """The rules on answers and repeats."""
        seen = (self.path, self.cls, self.status, self.body, came)
        repeat, group = self.cls["repeat"], self.cls["group"]
        assert self.status in (200, 502, 503, 504) and len(came) <= most, seen
        if self.status == 200:  # an answer that was made for this very request
            assert self.what in ("ok", "hold") and self.body == f"{self.name} {self.path}".encode(), seen
        if not came or self.what == "away":
            return  # it never ran: refused or repeated as one likes
        if repeat == "side_effect":
            assert len(came) == 1 and self.status != 503, seen
        if repeat == "token":
            assert len(came) == 1 or self.what != "window", seen
            assert len(set(came)) == 1 or group != "cell", seen
            assert self.status != 503 or group == "all", seen


def play(gateway: Gateway, fleet: Fleet, told: dict[str, Any]) -> None:
    classes, most = told["classes"], told["bounds"]["most-tries"]
    tenants = ["", *(t["name"] for t in told["tenants"]), "nobody"]
    names = {cls["name"] for cls in classes}
    client = gateway.client()
    for cls in classes:
        status, headers, _ = client.ask("DELETE", f"/{cls['name']}/ok")
        assert status == 405 and headers["allow"] == ALLOWED[cls["repeat"]]  # known by its whole name
    for stranger in {f"{name}!" for name in names} | {name[:-1] for name in names} - names:
        assert client.ask("GET", f"/{stranger}/ok")[0] == 404

    done = [Asked(client, cls, "ok", tenant).answered() for cls in classes for tenant in tenants]
    patient = [asked.status for asked in done if asked.cls["hard-limit-ms"] == LONG_MS]
    assert set(patient) == {200}, [(a.path, a.status, fleet.came[a.name]) for a in done]  # all is well yet
    for cls, what in product(classes, ("reset", "window", "error", "away", "hold")):
        fleet.start_anew()
        done.append(Asked(client, cls, what).answered())
        if what == "hold":  # the answer that comes too late is no answer to the next
            fleet.go.set()
            done.append(Asked(client, cls, "ok").answered())
            fleet.go.clear()

    fleet.start_anew("terminating")
    drained = [Asked(client, cls, "ok").answered() for cls in classes * 3]
    fleet.start_anew("terminating")
    holder, first = gateway.client(), classes[0]  # which has all the time
    holder.count = client.count
    holder.send(METHODS[first["repeat"]], f"/{first['name']}/hold/2", X_Remaining=f"{LONG_MS:.0f}m")
    while fleet.inside.get(timeout=LIMIT_S) != f"{holder.count:016x}":
        pass
    gateway.process.send_signal(signal.SIGTERM)
    gateway.wait_for("draining")
    fleet.go.set()
    assert holder.answer()[0] == 200
    for one in (client, holder):
        one.file.close()
        one.socket.close()
    counters = gateway.wait_for("counters")
    assert not [name for name in counters if name.startswith("fault.") or name == "out.second_answers"]
    assert gateway.process.wait(LIMIT_S) == 0
    for asked in done + drained:
        asked.check(fleet.came[asked.name], most)
    assert not any(1 in fleet.came[asked.name] for asked in drained)


@given(drawn=CUSTOMERS)
@example(drawn=ONE_CELL)
@hypothesis_settings(
    derandomize=True,
    max_examples=7,
    deadline=None,
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=[HealthCheck.too_slow],
)
def test_the_rules_hold_on_the_settings_of_any_customer(
    tmp_path_factory: pytest.TempPathFactory, drawn: dict[str, Any]
) -> None:
    named = zip(drawn["names"], drawn["classes"], strict=False)
    classes = [cls | {"name": name} for name, cls in named]
    classes[0] |= {"hard-limit-ms": LONG_MS, "target-ms": LONG_MS / 2}
    told = SETTINGS | {
        "classes": classes,
        "bounds": drawn["bounds"],
        "discovery": drawn["discovery"],
        "tenants": [{"name": t, "share": drawn["share"], "quota-rps": 0.5} for t in drawn["tenants"]],
        "rules": SETTINGS["rules"] | {"stop-sending-within-ms": drawn["grace"]},
    }
    fleet = Fleet({cls["name"]: cls["dedup-window-ms"] for cls in classes})
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": drawn["sockets"]}
    folder = tmp_path_factory.mktemp("customer")
    known, discovery = fleet.discovery.entries, fleet.discovery.address
    gateway = Gateway(folder, known, discovery=discovery, settings=told, limits=limits)
    try:
        gateway.wait_for("ready")
        play(gateway, fleet, told)
    finally:
        gateway.stop()


def test_a_figure_that_is_none_is_a_line_with_its_place_at_a_start_and_at_a_reload(start: Start) -> None:
    # JSON's reader takes Infinity: the start ended in a traceback, and the reload in a fault.
    wrong = SETTINGS | {"rules": {**SETTINGS["rules"], "cold-ms": float("inf")}, "balancers": float("inf")}
    place = "config.json: config: settings: 'balancers' is inf"
    refused = start([], wait=False, settings=wrong)
    assert place in refused.wait_for("plain")["line"]
    assert refused.process.wait(LIMIT_S) == 2
    assert refused.lines.get(timeout=LIMIT_S)["event"] == "closed"
    gateway = start([])
    gateway.reload(settings=wrong)
    assert place in gateway.wait_for("reload refused")["why"]
