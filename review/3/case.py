"""A gateway comes back with its last list while discovery is down, and sends to a host that drains.

One of three gateways is killed and started again 4 s later, with nothing but its last list of hosts. While it
was away a host began to drain, and then discovery went down for 8 s. Where lists are pushed, what the agent
has counts as told from the first moment of the new process.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.case import Case, run_case
from common.parties import Discovery, Door, Instance, Platform
from common.sites import RELEASED, burnie

KILLED_S = 3.0
DRAINED_S = 4.0  # while the gateway is away
DOWN_S = 5.0
BACK_S = 7.0  # the page: gateways come back after 2.5 to 7.9 s
UP_S = DOWN_S + 8.0  # the page: discovery is down for 8 s
END_S = 16.0
RATE = 50.0  # requests a second at each gateway
GRACE_S = 0.5 + 0.05  # of the site, with the 50 ms of slack
CLASSES = [
    ("GET", "menu-fetch", 0.44, 2000.0),
    ("GET", "cart-save", 0.33, 2000.0),
    ("POST", "order-place", 0.23, 2500.0),
]


async def play(case: Case) -> None:
    record = case.record
    rng = random.Random(case.seed)
    hosts = [Instance(record, f"s-{n}", (70.0, 120.0), rng) for n in range(4)]
    drained = hosts[0]
    discovery = Discovery(record, "discovery", [host.entry() for host in hosts])
    doors = [Door(discovery, f"n{n}") for n in range(3)]
    platform = Platform(RELEASED)
    await case.start(*hosts, *doors, platform)
    last_list = discovery.listing()
    gateways = await case.start_gateways(burnie(), platform, doors, last_list)
    clients = case.clients()
    began = record.now()

    async def until(moment_s: float) -> None:
        await asyncio.sleep(max(began + moment_s - record.now(), 0.0))

    running = [asyncio.create_task(each.run(RATE, began + END_S, CLASSES)) for each in clients]
    await until(KILLED_S)
    if case.trouble:
        gateways[0].signal(signal.SIGKILL)
    await until(DRAINED_S)
    drained.draining = True
    await discovery.change(drained.entry(status="terminating"))
    await until(DOWN_S)
    if case.trouble:
        record.add("discovery_down")
        discovery.down = True
        for door in doors:
            door.reset_connections()  # watches end when discovery goes down
    await until(BACK_S)
    if case.trouble:
        await gateways[0].start(doors[0].address, last_list, case.seed + 100)
    await until(UP_S)
    if case.trouble:
        record.add("discovery_up")
        discovery.down = False
    await asyncio.gather(*running)
    await asyncio.gather(*[each.finish() for each in clients])


def judge(case: Case) -> list[str]:
    """The rule: nothing new to a host later than 500 ms after the gateway was told that it drains.

    Told is here: when discovery wrote the list to the gateway, or the first moment of a process
    that began after the change.
    """
    case.require_traffic()
    record = case.record
    changed_at = record.of("list_changed")[0]["at"]
    told_at: dict[str, float] = {}
    for event in record.events:
        written = event["what"] == "list_written" and "terminating" in event["states"].values()
        began_later = event["what"] == "gateway_started" and event["at"] > changed_at
        if written or began_later:
            told_at[event["gateway"]] = min(event["at"], told_at.get(event["gateway"], event["at"]))
    case.require(len(told_at) == len(case.gateways), "a gateway was never told of the drain")
    findings = []
    for attempt in case.attempts():
        late_s = attempt["first_byte"] - told_at[attempt["gateway"]]
        if attempt["instance"] == "s-0" and late_s > GRACE_S:
            findings.append(
                f"{attempt['gateway']} sent {attempt['path']} {attempt['txn']} to s-0 {late_s:.3f} s after it"
                " was told that s-0 drains"
            )
    return findings


if __name__ == "__main__":
    sys.exit(run_case(play, judge, Path(__file__).parent / "record.txt"))
