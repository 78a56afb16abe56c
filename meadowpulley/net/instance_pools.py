"""Connection pools of all instances, with preconnection at start and a limit on open sockets."""

from __future__ import annotations

from functools import partial

from twisted.python.failure import Failure

from meadowpulley.net.config import Address
from meadowpulley.net.connection import connect
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.endpoint_list import ServerIncarnation
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.instance_connection import ConnectionPool, InstanceConnection

PRECONNECT_PER_INSTANCE = 4  # maximum number of connections opened to each instance at start
# Maximum number of connections that all gateways of the fleet together open to each instance at start. An
# instance accepts only a few connections, and each accepted connection costs the instance work.
PRECONNECT_FLEET_TOTAL = 12
PRECONNECT_TIMEOUT_MS = 1000.0  # timeout of preconnecting if the settings have no connect timeout
# Fraction of the sockets to instances that preconnecting may use. The other half stays free for requests.
PRECONNECT_SOCKET_FRACTION = 0.5


class InstancePools:
    """One connection pool per server, with a limit on the total number of sockets."""

    def __init__(self, gateway: GatewayContext, max_sockets: int) -> None:
        self.gateway = gateway
        self.max_sockets = max_sockets
        self.limits = gateway.config.settings.limits
        self.idle_timeout_ms = self.limits.idle_timeout_ms
        self.open_sockets = 0  # sockets that are connected or being connected
        self.pools: dict[int, ConnectionPool] = {}  # pools by server number

    def register(self, server: int, address: Address, incarnation: ServerIncarnation) -> None:
        """Set the address and incarnation of a server.

        If either one has changed, the server gets a new pool without the old connections, since old
        connections may be dead without ever reporting an error.
        """
        pool = self.pools.get(server)
        if pool is None or (pool.address, pool.incarnation) != (address, incarnation):
            self.remove(server)
            self.pools[server] = ConnectionPool(self, server, address, incarnation)

    def remove(self, server: int) -> None:
        """Retire the pool of a server. Idle connections close now, busy ones after their response."""
        pool = self.pools.pop(server, None)
        if pool is not None:
            pool.retired = True
            pool.close_idle()

    def close_idle(self, server: int) -> None:
        """Replace the pool of a draining server by an empty pool.

        Idle connections close now, busy connections after their response, and connections that are being
        established will carry no request. If the server becomes ready again, it uses the new pool.
        """
        pool = self.pools.get(server)
        if pool is not None:
            self.remove(server)
            self.pools[server] = ConnectionPool(self, server, pool.address, pool.incarnation)

    def connection_opened(self) -> None:
        """Count an established connection."""
        self.gateway.counters.add("up.connections")

    def connection_closed(self) -> None:
        """Stop counting the socket of a connection that has ended."""
        self.open_sockets -= 1
        self.gateway.stop_if_drained()

    def preconnect(self) -> None:
        """Open a few connections to each instance at start.

        All clients connect at the same time, and a first request that waits for its connection delays the
        requests queued behind it. The gateways of a large fleet open no connections in advance: 200 gateways
        with few requests each opened as many connections in advance as these gateways had requests in a day.
        """
        fleet_share = PRECONNECT_FLEET_TOTAL // max(self.gateway.config.settings.gateway_count, 1)
        max_preconnected = int(self.max_sockets * PRECONNECT_SOCKET_FRACTION)
        for pool in list(self.pools.values()):
            socket_share = max_preconnected // len(self.pools)
            for _ in range(min(PRECONNECT_PER_INSTANCE, fleet_share, socket_share)):
                self._open_ahead(pool)

    def _open_ahead(self, pool: ConnectionPool) -> None:
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
        """If all sockets are in use, close the connection that has been idle for the longest time.

        Returns whether another connection may be opened.
        """
        if self.open_sockets < self.max_sockets:
            return True
        longest_idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not longest_idle:
            return False
        min(longest_idle, key=lambda connection: connection.timeout.at).abort()
        return True
