"""The gateway as a program: discovery, the platform, reloads, peers, figures it is given."""

from __future__ import annotations

import os
import signal
import socket
import threading
from http.server import BaseHTTPRequestHandler
from typing import Any

import pytest

from meadowpulley.digests import Digest, encode
from tests.net_program.conftest import Start
from tests.standins import (
    LIMIT_S,
    RELEASED,
    SETTINGS,
    TRIAL,
    Client,
    Discovery,
    Instance,
    Platform,
    answer,
    entry,
)


def ask_until_it_serves(client: Client, instance: Instance) -> None:
    for _ in range(2000):
        client.ask("GET", "/look")
        if instance.asked.qsize():
            break
    assert instance.asked.get(timeout=LIMIT_S)[1] == "/look"


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x00\x01\x02 not http\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{",  # only a part, and the connection stays open
        b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{'index': 9",
        b'HTTP/1.1 200 OK\r\nContent-Length: 43\r\n\r\n{"index":9,"snapshot":"no","endpoints":"z?"}',
    ],
)
def test_a_spoilt_list_changes_nothing_and_is_asked_for_again_on_a_new_connection(
    start: Start, spoilt: bytes
) -> None:
    # A part of a list held the watch up for its whole wait, and a failed one was asked again 1.5 s later.
    old, new = Instance(), Instance()
    discovery = Discovery([entry("s-1", old.address)])
    gateway = start([entry("s-1", old.address)], discovery=discovery.address)
    while discovery.asked.get(timeout=LIMIT_S) < 5:
        pass  # the watch has its first list
    discovery.garbage = spoilt
    before = discovery.connections
    discovery.change([entry("s-2", new.address)])
    gateway.wait_for("discovery call failed")
    assert discovery.asked.get(timeout=LIMIT_S) == 5  # what was spoilt is asked for again
    ask_until_it_serves(gateway.client(), new)
    assert discovery.connections == before + 1


@pytest.mark.parametrize(
    "spoilt",
    [
        b"{not json\n",
        b"[1]\n",
        b'{"method":"ROLLOUT","params":{"release":"x"}}\n',
        b'{"method":"\x7f?","params":{}}\n',
        b'{"method":"ROLLOUT","par',  # only a part, and the connection stays open
    ],
)
def test_after_an_unreadable_line_the_platform_is_followed_anew(start: Start, spoilt: bytes) -> None:
    # The connection was kept, though nothing more of use comes on it: no news until it was found silent.
    platform = Platform(TRIAL, spoilt, spoilt)
    entries = [entry("s-1", Instance().address), entry("s-2", Instance().address, build=42)]
    start(entries, discovery=Discovery(entries).address, platform=platform.address, news=TRIAL)
    followed = [platform.followed.get(timeout=LIMIT_S) for _ in range(3)]
    followed[0].settimeout(LIMIT_S)
    assert followed[0].recv(1) == b""
    while platform.votes.get(timeout=LIMIT_S) != {"release": 42, "tranche": 0, "ruling": "on"}:
        pass


def test_a_reload_moves_the_watch_and_the_followed_connection_and_nothing_else(start: Start) -> None:
    # Nothing handled SIGHUP, which ended the gateway with requests unanswered.
    kept, new = Instance(), Instance()
    entries = [entry("s-1", kept.address)]
    first, second, third = (Discovery(entries) for _ in range(3))
    platforms = [Platform(RELEASED) for _ in range(3)]
    gateway = start(entries, discovery=first.address, platform=platforms[0].address)
    client = gateway.client()
    assert client.ask("GET", "/look")[0] == 200
    for discovery, platform in ((second, platforms[1]), (third, platforms[2])):
        place = {"address": platform.address, "news": TRIAL}
        gateway.reload(discovery=discovery.address, platform=place, settings={"classes": []} | SETTINGS)
        gateway.wait_for("reloaded")
        assert discovery.asked.get(timeout=LIMIT_S) >= 4  # what it has stays: only changes are asked for
        platform.followed.get(timeout=LIMIT_S)
        assert client.ask("GET", "/look")[0] == 200  # on the connection that it had
    third.change([entry("s-1", kept.address), entry("s-2", new.address)])
    ask_until_it_serves(client, new)
    gateway.process.send_signal(signal.SIGTERM)
    assert client.answer()[0] == 0
    client.file.close()
    client.socket.close()
    counters = gateway.wait_for("counters")
    assert counters["reload.done"] == 2 and "reload.refused" not in counters
    assert gateway.process.wait(LIMIT_S) == 0


@pytest.mark.parametrize("raw", ["", "{no json", '{"listen": "127.0.0.1:1"}', '{"discovery": 5}'])
def test_a_bad_file_at_a_reload_is_one_line_and_the_old_one_stays(start: Start, raw: str) -> None:
    instance = Instance()
    discovery = Discovery([entry("s-1", instance.address)])
    gateway = start([entry("s-1", instance.address)], discovery=discovery.address)
    gateway.reload(raw or " ")
    assert gateway.wait_for("reload refused")["level"] == "error"
    assert gateway.client().ask("GET", "/look")[0] == 200
    os.kill(gateway.process.pid, signal.SIGUSR1)
    assert gateway.wait_for("counters")["reload.refused"] == 1


def test_a_reload_while_it_drains_loses_nothing(start: Start) -> None:
    go = threading.Event()

    def hold(handler: BaseHTTPRequestHandler, body: bytes) -> None:
        go.wait(LIMIT_S)
        answer(handler, 200, body)

    instance = Instance(hold)
    entries = [entry("s-1", instance.address)]
    gateway = start(entries, discovery=Discovery(entries).address)
    client = gateway.client()
    client.send("POST", "/pay", b"kept")
    instance.asked.get(timeout=LIMIT_S)
    gateway.process.send_signal(signal.SIGTERM)
    gateway.wait_for("draining")
    gateway.reload(discovery=Discovery(entries).address)
    gateway.wait_for("reloaded")
    go.set()
    assert client.answer()[::2] == (200, b"kept")
    client.file.close()
    client.socket.close()
    gateway.wait_for("stopped")
    assert gateway.process.wait(LIMIT_S) == 0


def test_a_vote_under_way_at_a_reload_is_answered_where_it_was_cast(start: Start) -> None:
    old, new = Platform(TRIAL), Platform(TRIAL)
    entries = [entry("s-1", Instance().address), entry("s-2", Instance().address, build=42)]
    old.may_answer.clear()
    gateway = start(entries, discovery=Discovery(entries).address, platform=old.address, news=TRIAL)
    assert old.votes.get(timeout=LIMIT_S)["ruling"] == "on"
    gateway.reload(platform={"address": new.address, "news": TRIAL})
    connection = new.followed.get(timeout=LIMIT_S)
    old.may_answer.set()  # in time: it counts, and nothing is left to send
    assert connection is not None and old.closed.wait(LIMIT_S) and new.votes.empty()
    os.kill(gateway.process.pid, signal.SIGUSR1)
    counters = gateway.wait_for("counters")
    assert counters["platform.vote_ok"] == 1 and "platform.vote_timeout" not in counters


def test_stray_datagrams_are_dropped_and_counted(start: Start) -> None:
    gateway = start([])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(b"x" * 300, ("127.0.0.1", gateway.peer_port))
        gateway.client().ask("GET", "/health/ready")
        os.kill(gateway.process.pid, signal.SIGUSR1)
        assert gateway.wait_for("counters")["peers.stray"] == 1


ODD: list[tuple[dict[str, Any], dict[str, Any], str]] = [  # settings, limits allow telling, what is said
    ({"me": 250, "balancers": 200}, {}, "'me' is 250 with 200 gateways: taken as 50"),
    ({"me": -1, "balancers": 200}, {}, "'me' is -1 with 200 gateways: taken as 199"),
    ({"me": 3, "balancers": 0}, {}, "'balancers' is 0: taken as 1"),
    ({"balancers": 200}, {"peers": []}, "without peers, peers_all"),
    ({"balancers": 200}, {"peer_listen": None}, "without peer_listen, peers_all"),
    ({"balancers": 200}, {"peers_all": "127.0.0.1:9"}, "'peers' are 1 of 200 gateways"),
]


@pytest.mark.parametrize(("wrong", "more", "said"), ODD)
def test_figures_that_can_t_be_are_one_line_and_the_gateway_serves(
    start: Start, wrong: dict[str, Any], more: dict[str, Any], said: str
) -> None:
    instance = Instance()
    bounds = {**SETTINGS["bounds"], "may-tell": True}
    known = [entry(f"s-{n}", instance.address) for n in range(3)]
    gateway = start(known, wait=False, settings={**SETTINGS, "bounds": bounds, **wrong}, **more)
    assert said in gateway.wait_for("configuration doubtful")["what"]
    gateway.wait_for("ready")
    assert gateway.client().ask("GET", "/look")[0] == 200


def test_fewer_sockets_than_instances_serve_by_closing_idle_connections(start: Start) -> None:
    instance = Instance()
    known = [entry(f"s-{n}", instance.address) for n in range(150)]
    gateway = start(known, wait=False, limits={"sockets": 128})
    assert "128 'sockets' for 150 instances" in gateway.wait_for("configuration doubtful")["what"]
    gateway.wait_for("ready")
    client = gateway.client()
    assert [client.ask("GET", "/look")[0] for _ in range(200)] == [200] * 200


@pytest.mark.parametrize("stage", ["MEADOWPULLEY_SECONDS", "MEADOWPULLEY_STORY"])
def test_counters_are_told_with_stages_before_the_decisions(
    start: Start, monkeypatch: pytest.MonkeyPatch, stage: str
) -> None:
    # The count of unusable datagrams was looked for at the stage, and the gateway ended with a traceback.
    monkeypatch.setenv(stage, "1")
    gateway = start([])
    gateway.process.send_signal(signal.SIGTERM)
    assert gateway.wait_for("counters")["phase"] == "stopped"
    assert gateway.process.wait(LIMIT_S) == 0


def test_what_peers_send_that_can_t_be_used_is_counted(start: Start) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.bind(("127.0.0.1", 0))
        peers = [f"127.0.0.1:{port}" for port in (9, peer.getsockname()[1])]
        bounds = {**SETTINGS["bounds"], "may-tell": True}
        gateway = start([], peers=peers, settings={**SETTINGS, "balancers": 2, "bounds": bounds})
        good = encode(Digest(7, 3, 42))
        for told in (good, good, good[:-1], b"\xa2" + good[1:], encode(Digest(7, 2, 42)), b"x" * 300):
            peer.sendto(told, ("127.0.0.1", gateway.peer_port))
        gateway.client().ask("GET", "/health/ready")
        os.kill(gateway.process.pid, signal.SIGUSR1)
        counters = gateway.wait_for("counters")
    # Again, cut, of another version, older; and one too long to be a digest at all.
    assert (counters["peers.dropped"], counters["peers.stray"]) == (4, 1)
