"""The program and its list in bad orders, by signals and by peers that answer when the test says so."""

from __future__ import annotations

import os
import signal
import threading

from tests.net_program.conftest import Start
from tests.net_program.test_around import ask_until_it_serves
from tests.standins import LIMIT_S, SETTINGS, Discovery, Instance, entry

WAIT_MS, LIMIT_MS = 300.0, 1_800.0  # of a watch by these settings, and until it counts as silent
AGAIN_MS = 1_100.0  # until the third try of a watch has been made


def test_an_answer_that_came_in_time_is_read_by_a_gateway_that_is_late(start: Start) -> None:
    # The call was given up with its answer unread in the kernel, as if discovery had fallen silent.
    old, new = Instance(), Instance()
    discovery = Discovery([entry("s-1", old.address)])
    rules = SETTINGS["rules"] | {"ask-within-ms": WAIT_MS}
    gateway = start([], discovery=discovery.address, settings=SETTINGS | {"rules": rules})
    while discovery.asked.get(timeout=LIMIT_S) < 5:
        pass  # the watch has its first list
    gateway.process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, gateway.process.pid, os.WSTOPPED | os.WNOWAIT)
    discovery.change([entry("s-2", new.address)])
    threading.Event().wait((LIMIT_MS + 200.0) / 1000.0)  # the clock runs on
    gateway.process.send_signal(signal.SIGCONT)
    ask_until_it_serves(gateway.client(), new)
    os.kill(gateway.process.pid, signal.SIGUSR1)
    assert "list.failed" not in gateway.wait_for("counters")
    assert discovery.connections == 1


def test_a_watch_that_sighup_opened_outlives_the_next_try_at_the_old_address(start: Start) -> None:
    # The try that was pending abandoned it.
    old, new = Instance(), Instance()
    gateway = start([entry("s-1", old.address)], settings=SETTINGS | {"discovery": "automatic"})
    for _ in range(2):  # nobody listens: tried again at once, and then after 0.5 s at the soonest
        gateway.wait_for("discovery call failed")
    discovery = Discovery([entry("s-1", old.address)])
    gateway.reload(discovery=discovery.address)
    while discovery.asked.get(timeout=LIMIT_S) < 5:
        pass  # the watch has its first list
    assert gateway.wait_for("reloaded") and gateway.lines.empty()  # no third failure: the try is pending
    threading.Event().wait(AGAIN_MS / 1000.0)
    discovery.change([entry("s-2", new.address)])
    ask_until_it_serves(gateway.client(), new)
    assert discovery.connections == 1
