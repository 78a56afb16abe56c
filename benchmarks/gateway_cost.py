"""CPU of one request in the gateway that `run` starts, of several checkouts in turn: a ratio in one run.

    .venv/bin/python benchmarks/gateway_cost.py FOLDER [FOLDER ...] [--requests N] [--rounds N]

Each folder is a checkout in which `build` of its deploy file has run. Its own stand-in server answers.
"""

from __future__ import annotations

import argparse
import statistics
import subprocess
import sys
from pathlib import Path

MEASUREMENT = """
import os, sys, tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tests import standins
many = int(sys.argv[1])
# Checkouts before the renaming have the first names.
def pick(old, new):
    return getattr(standins, new, None) or getattr(standins, old)
renamed = hasattr(standins, "GatewayProcess")
send, counter = ("request", "request_count") if renamed else ("ask", "count")
instance = pick("Instance", "FakeInstance")()
gateway = pick("Gateway", "GatewayProcess")(
    Path(tempfile.mkdtemp()), [pick("entry", "endpoint")("s-1", instance.address)]
)
try:
    gateway.wait_for("ready")
    clients = [gateway.client() for _ in range(16)]
    def ask(many):
        def one(client):
            for n in range(many // len(clients)):
                setattr(client, counter, getattr(client, counter) + len(clients) * many)
                assert getattr(client, send)("GET", "/look")[0] == 200
        with ThreadPoolExecutor(len(clients)) as pool:
            list(pool.map(one, clients))
    for n, client in enumerate(clients):
        setattr(client, counter, n * 10**9)
    def cpu():
        fields = Path(f"/proc/{gateway.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    ask(320)
    began = cpu()
    ask(many)
    print((cpu() - began) / many * 1e6)
finally:
    gateway.stop()
"""


def main() -> None:
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("folders", type=Path, nargs="+")
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=3)
    chosen = parser.parse_args()
    costs_by_folder: dict[Path, list[float]] = {folder: [] for folder in chosen.folders}
    for _ in range(chosen.rounds):
        for folder in chosen.folders:
            process = subprocess.run(
                [sys.executable, "-c", MEASUREMENT, str(chosen.requests)],
                cwd=folder,
                capture_output=True,
                text=True,
                check=True,
            )
            costs_by_folder[folder].append(float(process.stdout))
    baseline = statistics.median(costs_by_folder[chosen.folders[0]])
    for folder, costs in costs_by_folder.items():
        median = statistics.median(costs)
        each = ", ".join(f"{c:.0f}" for c in costs)
        print(f"{folder.name}: {median:.0f} us of CPU a request ({each}), ratio {median / baseline:.2f}")


if __name__ == "__main__":
    main()
