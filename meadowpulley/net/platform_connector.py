"""Opens the connection to the platform, and reopens it after a backoff if it fails or is lost."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from meadowpulley.net.backoff import Backoff
from meadowpulley.net.connection import connect
from meadowpulley.net.deadlines import Deadline
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.platform_connection import PlatformConnection

CONNECT_TIMEOUT_MS = 2_000.0
STABLE_CONNECTION_MS = 1_000.0  # a connection that lasted this long is replaced without backoff
RECONNECT_BACKOFF = Backoff(first_ms=100.0, longest_ms=2_000.0)
RECONNECT_JITTER = (0.5, 1.5)  # the backoff is multiplied by a factor drawn uniformly from this range


class PlatformConnector:
    """Opens one connection at a time with `create`, and passes it to `on_connected` once it is open."""

    def __init__(
        self,
        gateway: GatewayContext,
        create: Callable[[], PlatformConnection],
        on_connected: Callable[[PlatformConnection], None],
    ) -> None:
        self._gateway = gateway
        self._create = create
        self._on_connected = on_connected
        self._connecting: Deferred[PlatformConnection] | None = None
        self._connect_timeout: Deadline | None = None
        self._reconnect: Deadline | None = None
        self._connect_started_at = -math.inf  # time on the gateway's clock in milliseconds
        self._consecutive_failures = 0
        self._random = random.Random(gateway.config.seed + 1)

    def connect(self) -> None:
        """Open a connection to the platform's address in the current configuration, if there is one."""
        address = self._gateway.config.platform
        if address is None or self._gateway.stopping:
            return
        self._gateway.counters.add("platform.connects")
        self._connect_started_at = self._gateway.deadlines.now()
        self._connect_timeout = self._gateway.deadlines.after(CONNECT_TIMEOUT_MS, self._connect_timed_out)
        connecting = connect(self._gateway.reactor, address, self._create)
        self._connecting = connecting
        connecting.addCallbacks(self._connected, self._connect_failed)
        connecting.addErrback(lambda _: self._gateway.log_fault("platform"))

    def connect_later(self) -> None:
        """Schedule a new connection after the backoff, or immediately if the last one was stable."""
        if self._gateway.stopping:
            return
        lasted_ms = self._gateway.deadlines.now() - self._connect_started_at
        if lasted_ms >= STABLE_CONNECTION_MS:
            self._consecutive_failures = 0
        else:
            self._consecutive_failures += 1
        delay_ms = RECONNECT_BACKOFF.delay_ms(self._consecutive_failures)
        delay_ms *= self._random.uniform(*RECONNECT_JITTER)
        self._reconnect = self._gateway.deadlines.after(delay_ms, self.connect)

    def restart(self) -> None:
        """Cancel a pending connection attempt or retry, reset the backoff, and connect at once."""
        if self._connecting is not None:
            self._connecting.cancel()  # its failure schedules a reconnect, which the next line cancels
        self._gateway.deadlines.cancel(self._reconnect)
        self._consecutive_failures = 0
        self.connect()

    def stop(self) -> None:
        """Cancel a pending connection attempt or retry."""
        self._gateway.deadlines.cancel(self._reconnect)
        if self._connecting is not None:
            self._connecting.cancel()

    def _connected(self, connection: PlatformConnection) -> None:
        self._connecting = None
        self._gateway.deadlines.cancel(self._connect_timeout)
        if not connection.is_open or self._gateway.stopping:
            connection.abort()
            self.connect_later()
            return
        self._on_connected(connection)

    def _connect_timed_out(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()

    def _connect_failed(self, _: Failure) -> None:
        self._connecting = None
        self._gateway.deadlines.cancel(self._connect_timeout)
        self.connect_later()
