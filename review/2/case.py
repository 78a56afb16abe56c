"""Clients leave while their gateway stands still; it wakes and begins attempts for them.

One of three gateways stands still for 2,000 ms of every 3,500 ms, six times, by SIGSTOP and SIGCONT. Clients
wait for 40% of the time of their class, and close their connections when that is up. A build is on trial at
one of ten servers.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common.case import Case, run_case
from common.parties import Discovery, Door, Instance, Platform
from common.sites import ON_TRIAL, launceston

STALL_S = 2.0  # the page: 1,400 to 2,000 ms
STALL_EVERY_S = 3.5  # the page: every 2.3 to 3.9 s
STALLS = 6  # 19.5 s; the page: for 16 to 36 s
FIRST_STALL_S = 4.0
END_S = FIRST_STALL_S + STALLS * STALL_EVERY_S + 2.0
RATE = 37.0  # requests a second at each gateway: a third of the deployment's 110
GONE_S = 0.1 + 0.05  # from the client's close until an attempt may no longer begin, with 50 ms of slack
# Method, class, its share, and 40% of its time in ms: the least that a client waits.
CLASSES = [
    ("GET", "menu-price", 0.37, 2000.0),
    ("POST", "place-order", 0.36, 1000.0),
    ("POST", "send-kitchen", 0.27, 1000.0),
]


async def play(case: Case) -> None:
    record = case.record
    rng = random.Random(case.seed)
    servers = [Instance(record, f"s-{n}", (110.0, 190.0), rng) for n in range(10)]
    entries = [server.entry() for server in servers]
    entries[0] = servers[0].entry(build=42, since_ms=1000 * time.time() - 10_000)
    discovery = Discovery(record, "discovery", entries)
    doors = [Door(discovery, f"n{n}") for n in range(3)]
    platform = Platform(ON_TRIAL)
    await case.start(*servers, *doors, platform)
    gateways = await case.start_gateways(launceston(), platform, doors, discovery.listing())
    clients = case.clients()
    began = record.now()
    running = [asyncio.create_task(each.run(RATE, began + END_S, CLASSES)) for each in clients]
    for stall in range(STALLS):
        await asyncio.sleep(max(began + FIRST_STALL_S + stall * STALL_EVERY_S - record.now(), 0.0))
        if case.trouble:
            gateways[0].signal(signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            gateways[0].signal(signal.SIGCONT)
    await asyncio.gather(*running)
    await asyncio.gather(*[each.finish() for each in clients])
    await asyncio.sleep(0.5)


def judge(case: Case) -> list[str]:
    """The rule: no attempt begins more than 0.1 s after its client has closed its connection."""
    case.require_traffic()
    left_at = {event["txn"]: event["at"] for event in case.record.of("left")}
    findings = []
    for attempt in case.attempts():
        gone_s = attempt["first_byte"] - left_at.get(attempt["txn"], attempt["first_byte"])
        if gone_s > GONE_S:
            findings.append(
                f"{attempt['gateway']} began an attempt of {attempt['path']} {attempt['txn']} {gone_s:.3f} s"
                " after its client had gone"
            )
    return findings


if __name__ == "__main__":
    sys.exit(run_case(play, judge, Path(__file__).parent / "record.txt"))
