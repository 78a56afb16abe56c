"""Crowds of bad clients against the gateway that `run` starts: its memory, and what usual clients get.

    .venv/bin/python -m benchmarks.crowds --kinds half,drip --memory-mb 32 --sockets 1024 --busy 3

A row for each kind. Memory is in MB (10^6 bytes): anonymous before, at most, and 2 s after the crowd. With
`--busy` so many processes that only count stand beside the gateway on one core.
`--reload` sends SIGHUP each second of the crowd, `--restart` kills the gateway half way through and starts it
again at its address.
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from tests import standins
from tests.crowd import KINDS, MemoryWatch, UsualClients, crowd

MB = 1e6
INSTANCES = 10
AFTER_S = 2.0
BUSY_LOOP = "while True: pass"


def play(kind: str, arguments: argparse.Namespace) -> str:
    """Play one crowd and return its row."""
    directory = Path(tempfile.mkdtemp())
    instances = [standins.FakeInstance() for _ in range(INSTANCES)]
    known = [standins.endpoint(f"s-{n}", instance.address) for n, instance in enumerate(instances)]
    limits = {"cores": 1.0, "memory_mb": arguments.memory_mb, "sockets": arguments.sockets}
    gateway = standins.GatewayProcess(directory, known, limits=limits)
    peaks: list[MemoryWatch] = []
    busy = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(arguments.busy)]
    try:
        if busy:
            core = {max(os.sched_getaffinity(0))}
            for process_id in (gateway.process.pid, *(process.pid for process in busy)):
                os.sched_setaffinity(process_id, core)
        gateway.wait_for("ready")
        watch = MemoryWatch(gateway.process.pid)
        before = watch.anonymous
        usual = UsualClients(gateway.port)
        if arguments.reload:
            for second in range(1, int(arguments.seconds)):
                threading.Timer(second, lambda: gateway.reload()).start()
        with crowd(kind, gateway.port, arguments.members, arguments.seconds) as report:
            usual.run(arguments.seconds / 2)
            if arguments.restart:
                peaks.append(watch)
                gateway.stop()
                listen = f"127.0.0.1:{gateway.port}"
                gateway = standins.GatewayProcess(directory, known, limits=limits, listen=listen)
                gateway.wait_for("ready")
                watch = MemoryWatch(gateway.process.pid)
            usual.run(arguments.seconds / 2)
            ended = report()
        time.sleep(AFTER_S)
        watch.sample()
        watch.close()
        gateway.process.send_signal(signal.SIGUSR1)
        counters = gateway.wait_for("counters")
    finally:
        for process in busy:
            process.kill()
        gateway.stop()
    served, of = len(usual.latencies_ms), len(usual.latencies_ms) + len(usual.unserved)
    reasons = {reason: usual.unserved.count(reason) for reason in sorted(set(usual.unserved))}
    notable = {
        n: c
        for n, c in counters.items()
        if n.startswith(("memory.", "fault.", "in.pauses", "in.evicted", "in.bad", "in.shed"))
    }
    peaks.append(watch)
    peak_anonymous = max(each.peak_anonymous for each in peaks)
    anonymous = f"{before / MB:.1f}, {peak_anonymous / MB:.1f}, {watch.anonymous / MB:.1f}"
    got = f"usual {served} of {of}, p99 {usual.p99_ms:.0f} ms {reasons or ''}"
    crowd_got = f"crowd {ended.connections} connections, {ended.in_time} in time, {ended.late} late"
    resident = f"resident at most {max(each.peak_resident for each in peaks) / MB:.1f}"
    return f"{kind:12} anonymous {anonymous}; {resident}; {got}; {crowd_got}; {notable}"


def main() -> None:
    """Play the crowds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--members", type=int, default=650)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--memory-mb", type=int, default=32)
    parser.add_argument("--sockets", type=int, default=1024)
    parser.add_argument("--busy", type=int, default=0)
    parser.add_argument("--reload", action="store_true")
    parser.add_argument("--restart", action="store_true")
    arguments = parser.parse_args()
    print(f"{vars(arguments)}", flush=True)
    for kind in arguments.kinds.split(","):
        print(play(kind, arguments), flush=True)


if __name__ == "__main__":
    main()
