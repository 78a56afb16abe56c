"""The connections to all instances: where each one is, connections opened ahead, and room for more."""

from __future__ import annotations

from functools import partial

from twisted.python.failure import Failure

from meadowpulley.net.config import Address
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.host import Host
from meadowpulley.net.instance_link import InstanceLink, Pool
from meadowpulley.net.link import connect

WARM = 4  # connections opened to each instance at the start
WARM_ALL = 12  # by all gateways together: an instance holds few, and each costs it work
WARM_MS = 1000.0  # for them to come up, where the settings name no time


class Instances:
    def __init__(self, gateway: Host, size: int) -> None:
        self.gateway, self.size = gateway, size
        self.limits = gateway.config.settings.limits
        self.idle_ms = self.limits.idle_timeout_ms
        self.sockets = 0  # open or opening
        self.pools: dict[int, Pool] = {}  # by the number of the server

    def place(self, server: int, address: Address, start: tuple[int, float]) -> None:
        """Discovery has told where a server is, and which build it runs since when: an id and an address that
        come back with another one inherit no connection, since those may lead nowhere and never say so."""
        pool = self.pools.get(server)
        if pool is None or (pool.address, pool.start) != (address, start):
            self.forget(server)
            self.pools[server] = Pool(self, server, address, start)

    def forget(self, server: int) -> None:
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.over = True
            pool.close_idle()

    def close_idle(self, server: int) -> None:
        """It wants nothing new: what is idle closes now, what is in use with its answer, and a connection in
        the making carries nothing, however late it comes up. Should it be ready again, it starts anew."""
        pool = self.pools.get(server)
        if pool is not None:
            self.forget(server)
            self.pools[server] = Pool(self, server, pool.address, pool.start)

    def joined(self, link: InstanceLink) -> None:
        self.gateway.counters.add("up.connections")

    def left(self, link: InstanceLink) -> None:
        self.sockets -= 1
        self.gateway.settled()

    def warm(self) -> None:
        """At the start a few connections to each instance are opened ahead: clients come all at once, and a
        first request that waits for its connection holds up those behind it. Not in a large fleet: 200
        gateways with few requests each opened as many connections ahead as they had requests in a day."""
        part = WARM_ALL // max(self.gateway.config.settings.gateway_count, 1)
        for pool in list(self.pools.values()):
            for _ in range(min(WARM, part, self.size // (2 * len(self.pools)))):
                self.sockets += 1
                opening = connect(self.gateway.reactor, pool.address, partial(InstanceLink, pool))
                wait = self.limits.connect_timeout_ms or WARM_MS
                limit = self.gateway.deadlines.after(wait, opening.cancel)
                opening.addCallbacks(
                    self._warmed, self._not_warmed, callbackArgs=(pool, limit), errbackArgs=(limit,)
                )

    def _warmed(self, link: InstanceLink, pool: Pool, limit: Deadline) -> None:
        self.gateway.deadlines.call_off(limit)
        if link.up:
            pool.rest(link)

    def _not_warmed(self, _: Failure, limit: Deadline) -> None:
        self.gateway.deadlines.call_off(limit)
        self.sockets -= 1

    def make_room(self) -> bool:
        """Closes the connection that has stood idle longest when all sockets for instances are in use."""
        if self.sockets < self.size:
            return True
        resting = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not resting:
            return False
        min(resting, key=lambda link: link.limit.at).drop()
        return True
