"""The connections to all instances: where each one is, connections opened ahead, and room for more."""

from __future__ import annotations

from functools import partial

from twisted.python.failure import Failure

from meadowpulley.net.config import Address
from meadowpulley.net.connection import connect
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.instance_connection import ConnectionPool, InstanceConnection

PRECONNECT_PER_INSTANCE = 4  # connections opened to each instance at the start
PRECONNECT_FLEET_TOTAL = 12  # by all gateways together: an instance holds few, and each costs it work
PRECONNECT_TIMEOUT_MS = 1000.0  # for them to come up, where the settings name no time


class InstancePools:
    def __init__(self, gateway: GatewayContext, max_sockets: int) -> None:
        self.gateway, self.max_sockets = gateway, max_sockets
        self.limits = gateway.config.settings.limits
        self.idle_timeout_ms = self.limits.idle_timeout_ms
        self.open_sockets = 0  # open or opening
        self.pools: dict[int, ConnectionPool] = {}  # by the number of the server

    def register(self, server: int, address: Address, incarnation: tuple[int, float]) -> None:
        """Discovery has told where a server is, and which build it runs since when: an id and an address that
        come back with another one inherit no connection, since those may lead nowhere and never say so."""
        pool = self.pools.get(server)
        if pool is None or (pool.address, pool.incarnation) != (address, incarnation):
            self.remove(server)
            self.pools[server] = ConnectionPool(self, server, address, incarnation)

    def remove(self, server: int) -> None:
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.retired = True
            pool.close_idle()

    def close_idle(self, server: int) -> None:
        """It wants nothing new: what is idle closes now, what is in use with its answer, and a connection in
        the making carries nothing, however late it comes up. Should it be ready again, it starts anew."""
        pool = self.pools.get(server)
        if pool is not None:
            self.remove(server)
            self.pools[server] = ConnectionPool(self, server, pool.address, pool.incarnation)

    def connection_opened(self, connection: InstanceConnection) -> None:
        self.gateway.counters.add("up.connections")

    def connection_closed(self, connection: InstanceConnection) -> None:
        self.open_sockets -= 1
        self.gateway.stop_if_drained()

    def preconnect(self) -> None:
        """At the start a few connections to each instance are opened ahead: clients come all at once, and a
        first request that waits for its connection holds up those behind it. Not in a large fleet: 200
        gateways with few requests each opened as many connections ahead as they had requests in a day."""
        per_instance = PRECONNECT_FLEET_TOTAL // max(self.gateway.config.settings.gateway_count, 1)
        for pool in list(self.pools.values()):
            for _ in range(
                min(PRECONNECT_PER_INSTANCE, per_instance, self.max_sockets // (2 * len(self.pools)))
            ):
                self.open_sockets += 1
                connecting = connect(self.gateway.reactor, pool.address, partial(InstanceConnection, pool))
                timeout_ms = self.limits.connect_timeout_ms or PRECONNECT_TIMEOUT_MS
                timeout = self.gateway.deadlines.after(timeout_ms, connecting.cancel)
                connecting.addCallbacks(
                    self._preconnected,
                    self._preconnect_failed,
                    callbackArgs=(pool, timeout),
                    errbackArgs=(timeout,),
                )

    def _preconnected(self, connection: InstanceConnection, pool: ConnectionPool, timeout: Deadline) -> None:
        self.gateway.deadlines.cancel(timeout)
        if connection.is_open:
            pool.release(connection)

    def _preconnect_failed(self, _: Failure, timeout: Deadline) -> None:
        self.gateway.deadlines.cancel(timeout)
        self.open_sockets -= 1

    def evict_idle(self) -> bool:
        """Closes the connection that has stood idle longest when all sockets for instances are in use."""
        if self.open_sockets < self.max_sockets:
            return True
        oldest_idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not oldest_idle:
            return False
        min(oldest_idle, key=lambda link: link.timeout.at).abort()
        return True
