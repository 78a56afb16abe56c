"""Signals at each step of a gateway process, which a driver script makes the process send to itself."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys

import pytest

from tests.net_program.conftest import StartGateway
from tests.standins import ROOT, TIMEOUT_S, FakeDiscovery

TERM, HUP, USR1 = signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1
# Sends the signals when the named step first ends, and SIGTERM once the gateway listens.
DRIVER_SCRIPT = """
import gc, os, runpy, signal, sys
step, numbers, fresh = sys.argv[1], [int(n) for n in sys.argv[2].split(",")], sys.argv[3]

def send(*_):
    if numbers and fresh:
        os.replace(fresh, os.environ["PROXY_CONFIG"])
    while numbers:
        os.kill(os.getpid(), numbers.pop(0))

def after(owner, name, call):
    original = getattr(owner, name)
    def wrapper(*args):
        result = original(*args)
        call(*args)
        return result
    setattr(owner, name, wrapper)

from functools import partial
from operator import call
from meadowpulley.net import client_listener, config, deadlines, gateway

class SignalOnImport:
    def find_spec(name, *_):
        name == "twisted.internet.epollreactor" and send()

class SignalAtExit:  # destroyed after the interpreter has stopped running signal handlers
    def __del__(self, kill=os.kill, process=os.getpid(), numbers=numbers):
        kill(process, *numbers)

class Poller:
    def __init__(self, reactor):
        self.reactor, self.real = reactor, reactor._poller
    def __getattr__(self, name):
        return getattr(self.real, name)
    def poll(self, *args):  # runs no bytecode between kill and poll, so no signal check
        os.replace(fresh, os.environ["PROXY_CONFIG"])
        kill_then_poll = partial(os.kill, os.getpid(), numbers.pop()), partial(self.real.poll, *args)
        _, events = map(call, kill_then_poll)
        self.reactor._poller = self.real
        print('{"event": "%s"}' % ("woken" if events else "slept on"), file=sys.stderr, flush=True)
        return events

after(client_listener.ClientListener, "listen", lambda *_: os.kill(os.getpid(), signal.SIGTERM))
if step == "imports":
    sys.meta_path.insert(0, SignalOnImport)
elif step == "ended":
    sys.last = SignalAtExit()
elif step == "about to wait":
    after(gateway.Gateway, "prepare", lambda self: setattr(self.reactor, "_poller", Poller(self.reactor)))
else:
    owner, name = {
        "read": (config, "read_config"), "made": (gateway.Gateway, "__init__"),
        "prepared": (gateway.Gateway, "prepare"), "collected": (gc, "collect"),
        "first turn": (deadlines.Deadlines, "record_poll"), "listening": (gateway.Gateway, "listen"),
        "stopped": (gateway.Gateway, "log_counters"),
    }[step]
    after(owner, name, send)
runpy.run_module("meadowpulley", run_name="__main__", alter_sys=True)
"""
FULL_RUN_EVENTS = ["ready", "draining", "stopped", "counters"]
SIGNAL_CASES: list[tuple[str, list[signal.Signals], list[str], int]] = [
    ("imports", [HUP], FULL_RUN_EVENTS, 0),  # no reload needed: the configuration is read afterwards
    ("read", [HUP], ["reloaded", *FULL_RUN_EVENTS], 0),
    ("made", [HUP], ["reloaded", *FULL_RUN_EVENTS], 0),
    ("prepared", [HUP], ["reloaded", *FULL_RUN_EVENTS], 0),
    ("first turn", [HUP, HUP], ["reloaded", "reloaded", *FULL_RUN_EVENTS], 0),
    ("read", [TERM], [], -TERM),  # nothing was started yet: SIGTERM has its default effect
    ("made", [TERM], [], -TERM),
    ("prepared", [TERM], ["stopped", "counters"], 0),
    ("collected", [TERM, TERM], ["stopped", "counters"], 0),
    ("first turn", [TERM], ["stopped", "counters"], 0),
    ("prepared", [HUP, TERM], ["reloaded", "stopped", "counters"], 0),
    ("prepared", [TERM, HUP], ["stopped", "counters"], 0),
    ("listening", [TERM, TERM], FULL_RUN_EVENTS, 0),
    ("listening", [HUP], ["ready", "draining", "reloaded", "stopped", "counters"], 0),
    ("stopped", [HUP, TERM, USR1], FULL_RUN_EVENTS, 0),
    ("ended", [HUP], FULL_RUN_EVENTS, 0),
    ("ended", [TERM], FULL_RUN_EVENTS, 0),
    ("about to wait", [HUP], ["woken", "reloaded", *FULL_RUN_EVENTS], 0),
]


@pytest.mark.parametrize(("step", "signals", "events", "status"), SIGNAL_CASES)
def test_signals_take_effect_at_every_step(
    start: StartGateway, step: str, signals: list[signal.Signals], events: list[str], status: int
) -> None:
    # A SIGTERM before the gateway was ready was lost: the gateway then listened and served until it was
    # killed. A SIGHUP was ignored although it arrived after the configuration had been read.
    gateway, moved = start([], wait=False), FakeDiscovery([])
    gateway.stop()
    new_config = gateway.config_path.with_name("moved.json")
    new_config.write_text(json.dumps({**gateway.config, "discovery": moved.address}))
    completed = subprocess.run(
        [sys.executable, "-c", DRIVER_SCRIPT, step, ",".join(str(int(n)) for n in signals), str(new_config)],
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(gateway.config_path)},
        stderr=subprocess.PIPE,
        text=True,
        timeout=TIMEOUT_S,
    )
    lines = [json.loads(line) for line in completed.stderr.splitlines()]
    assert completed.returncode == status
    relevant_events = {"reloaded", "woken", "slept on", *FULL_RUN_EVENTS}
    assert [line["event"] for line in lines if line["event"] in relevant_events] == events
    if "reloaded" in events[:-2] and TERM not in signals:
        assert moved.polled_versions.get(timeout=TIMEOUT_S) >= 4
