"""A new configuration moves discovery, and the new address is crowded: how long is the old list used?"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins2"))

from case import TROUBLE, Record, load, run  # noqa: E402
from world import (  # noqa: E402
    HOST,
    Client,
    Discovery,
    Gateway,
    Instance,
    Platform,
    World,
    hobart_settings,
    now_ms,
)

GATEWAYS = 3
CLASSES = {"address-check": 3000.0, "zone-change": 2000.0}
GRACE_MS = 2000.0  # stop-sending-within-ms
SLACK_MS = 50.0  # every time limit is 50 ms longer on sockets
TOLD_AFTER_SIGHUP_MS = 4000.0
QUEUED_MS = 2000.0  # how long a call waits in the queue of a crowded discovery until it ends in 503
CROWDED_S = 8.0


async def play(world: World, record: Record) -> list[str]:
    discovery, platform = Discovery(world), Platform(world)
    news = await platform.listen()
    instances = [Instance(world, f"s-{number:08x}", 41, work_ms=40.0) for number in range(6)]
    for instance in instances:
        await instance.start()
    entries = [instance.entry() for instance in instances]
    await discovery.put(*entries)
    gateways = [Gateway(world, f"n{number}", number) for number in range(GATEWAYS)]
    peers = [f"{HOST}:{gateway.peer_port}" for gateway in gateways]
    old = [await discovery.listen() for _ in gateways]
    for gateway, port in zip(gateways, old, strict=True):
        await gateway.start(
            discovery=f"{HOST}:{port}",
            platform={"address": f"{HOST}:{news}", "news": platform.state()},
            peers=peers,
            peers_all=peers[0],
            known={"index": 41, "snapshot": True, "endpoints": entries},
            settings=hobart_settings(me=gateway.index, balancers=GATEWAYS),
        )
    for gateway in gateways:
        await gateway.ready()
    ended = False
    clients = [Client(world, gateway.port) for gateway in gateways]
    traffic = asyncio.ensure_future(load(clients, 120.0, lambda: ended, CLASSES))
    await asyncio.sleep(4.0)
    for instance in instances[1:4]:  # the list changes a few times, as during a release
        await discovery.put(instance.entry())
        await asyncio.sleep(0.15)

    new = [await discovery.listen() for _ in gateways]
    if TROUBLE:
        discovery.reject_after_ms = dict.fromkeys(new, QUEUED_MS)
    reloaded_at = now_ms()
    for gateway, port in zip(gateways, new, strict=True):
        gateway.reload(discovery=f"{HOST}:{port}")
    record.add(reloaded_at, "SIGHUP to each gateway: discovery has moved")
    for port in old:
        discovery.refuse(port)
    await asyncio.sleep(0.3)
    drained = instances[0]
    drained.draining = True
    version = await discovery.put(drained.entry("terminating"))
    drained_at = now_ms()
    record.add(drained_at, f"discovery has version {version}: {drained.name} is terminating")
    await asyncio.sleep(1.2)
    for port in old:
        discovery.close(port)
    await asyncio.sleep(CROWDED_S - 1.5)
    discovery.reject_after_ms = {}
    record.add(now_ms(), "discovery is no longer crowded")
    await asyncio.sleep(4.0)
    ended = True
    await traffic

    for when, port, target in discovery.calls:
        record.add(when, f"discovery at port {port} is asked {target}")
    for when, told, port in discovery.told:
        record.add(when, f"discovery at port {port} wrote version {told}")
    # The earliest of all: no gateway is held to a list that another one was told of sooner than this.
    told_at = reloaded_at + TOLD_AFTER_SIGHUP_MS
    record.add(told_at, f"4 s after SIGHUP: counts as told that {drained.name} is terminating")
    limit = told_at + GRACE_MS + SLACK_MS
    late = [a for a in world.attempts if a.name == drained.name and a.first_at > limit]
    if not any(a.name == drained.name and a.first_at < drained_at for a in world.attempts):
        raise OSError("the instance got no requests before it drained")
    return [
        f"{attempt.id} was sent to {drained.name} {attempt.first_at - told_at:.0f} ms after that was told"
        for attempt in late
    ]


run(FOLDER, play)
