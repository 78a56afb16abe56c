"""Listening socket and connection table for clients, with eviction of idle connections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from meadowpulley.net.client_connection import (
    FIRST_REQUEST_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    RECHECK_INTERVAL_MS,
    ClientConnection,
)
from meadowpulley.net.client_connection_state import ClientConnectionState
from meadowpulley.net.connection import CLOSED_CLEANLY, ConnectionFactory
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.load_shedding import LoadShedder
from meadowpulley.net.reactor_interface import ListeningPort
from meadowpulley.net.request_admission import RequestAdmission
from meadowpulley.net.request_table import NO_HANDLE, RequestTable
from meadowpulley.net.slots import SlotTable

# A connection that has been idle for this time may be evicted while other connections wait to be accepted.
EVICTABLE_IDLE_MS = 1_000.0
# Idle time after which a connection that has never received input may be evicted. It is shorter than
# EVICTABLE_IDLE_MS, since clients send their first request as soon as they are connected.
EVICTABLE_UNUSED_MS = 20.0
# Maximum length of the kernel's queue of connections that wait to be accepted. Clients count a failed connect
# as a failure, but see a connection in this queue as established.
LISTEN_BACKLOG = 256
# Time from the first part of a request after which its connection may be evicted, with a refusal. Clients
# send a small request at once.
EVICTABLE_PARTIAL_MS = 100.0
MIN_EVICTION_INTERVAL_MS = 5.0  # time between two looks for connections to evict, each of which sorts them
PAUSE_LOG_INTERVAL_MS = 1_000.0
ACCEPTS_PER_TURN = 16  # maximum number of connections accepted in one reactor turn
# Number of slots that eviction keeps free. One reactor turn may accept connections into up to half of these
# slots before accepting can be paused.
SPARE_SLOTS = 24
SPARE_SLOTS_DIVISOR = 3  # a small table keeps at most 1/3 of its slots free


class ClientListener:
    """Accepts client connections into a table of `size` slots.

    While fewer than `spare_slots` slots are free, the listener evicts idle connections and pauses accepting.
    """

    def __init__(
        self, gateway: GatewayContext, admission: RequestAdmission, requests: RequestTable, size: int
    ) -> None:
        self.gateway = gateway
        self.admission = admission
        self.requests = requests
        self.connections: SlotTable[ClientConnection] = SlotTable(size)
        self.spare_slots = min(SPARE_SLOTS, size // SPARE_SLOTS_DIVISOR)
        self.accepts_per_turn = min(ACCEPTS_PER_TURN, max(self.spare_slots // 2, 1))
        self.draining = False
        self.port: ListeningPort | None = None
        self._accepting_paused = False
        self._stopping = False
        self._next_eviction_at = 0.0
        self._next_pause_log_at = 0.0
        self._pauses_since_log = 0
        self.load_shedder = LoadShedder(gateway, self.connections)
        self._accept_pending: Callable[[], None] = lambda: None  # the original `doRead` of the port

    def listen(self) -> None:
        """Open the listening socket."""
        host, port = self.gateway.config.listen
        factory = ConnectionFactory(lambda: ClientConnection(self))
        listening_port = self.gateway.reactor.listenTCP(port, factory, backlog=LISTEN_BACKLOG, interface=host)
        self.port = listening_port
        self._accept_pending = listening_port.doRead
        accept = partial(self._accept, listening_port)
        listening_port.doRead = accept  # type: ignore[method-assign]  # Twisted has no hook for accepting

    def _accept(self, port: ListeningPort) -> None:
        """Accept a limited number of connections, so that the table has slots for them.

        Twisted raises `numberAccepts` by 20 after each turn that reaches this limit, so this method resets
        `numberAccepts`.
        """
        port.numberAccepts = self.accepts_per_turn
        self._accept_pending()

    def connection_opened(self, connection: ClientConnection) -> None:
        """Store an accepted connection. If few slots are free, evict idle connections or pause accepting."""
        self.gateway.counters.add("in.connections")
        if self.connections.full:
            self.gateway.counters.add("in.rejected_connections")
            connection.is_open = False
            connection.transport.abortConnection()
            return
        connection.handle = self.connections.put(connection)
        if not self._accepting_paused and self._nearly_full:
            self._evict_idle()
            if self._nearly_full:
                self._pause_accepting()

    @property
    def half_full(self) -> bool:
        """Whether more than half of the slots are in use."""
        return 2 * len(self.connections) > self.connections.size

    @property
    def _nearly_full(self) -> bool:
        return len(self.connections) > self.connections.size - self.spare_slots

    def _pause_accepting(self) -> None:
        self._accepting_paused = True
        self.gateway.counters.add("in.pauses")
        self._log_pause()
        if self.port is not None:
            self.port.stopReading()
        self.gateway.deadlines.after(RECHECK_INTERVAL_MS, self._keep_evicting)

    def _log_pause(self) -> None:
        """Log what holds the slots, at most once per interval."""
        self._pauses_since_log += 1
        now = self.gateway.deadlines.now()
        if now < self._next_pause_log_at:
            return
        self._next_pause_log_at = now + PAUSE_LOG_INTERVAL_MS
        states = Counter(connection.state.value for connection in self.connections)
        self.gateway.log.warning(
            "accepting_paused",
            connections=len(self.connections),
            pauses=self._pauses_since_log,
            partial_requests=sum(connection.has_partial_request for connection in self.connections),
            **states,
        )
        self._pauses_since_log = 0

    def _resume_accepting(self) -> None:
        if self._accepting_paused and not self._nearly_full and self.port is not None:
            self._accepting_paused = False
            if self._stopping:
                self.stop_listening()
            else:
                self.port.startReading()

    def connection_closed(self, connection: ClientConnection) -> None:
        """Free the slot of a closed connection, and report that the client of an open request has gone."""
        if connection.handle != NO_HANDLE:
            self.connections.free(connection.handle)
            connection.handle = NO_HANDLE
        self._resume_accepting()
        request = connection.request
        connection.request = None
        if request is not None:
            self.requests.client_disconnected(request)
        self.gateway.stop_if_drained()

    def _evict_idle(self) -> None:
        """Free slots, since connections that wait to be accepted may already carry a request."""
        now = self.gateway.deadlines.now()
        if now < self._next_eviction_at:
            return
        self._next_eviction_at = now + MIN_EVICTION_INTERVAL_MS
        max_used_slots = self.connections.size - self.spare_slots - self.accepts_per_turn
        for connection in self._eviction_candidates():
            if len(self.connections) <= max_used_slots:
                return
            lingering = connection.state is ClientConnectionState.LINGERING
            if lingering or not connection.has_unread_input():
                self.gateway.counters.add("in.evicted")
                if connection.has_partial_request:
                    self.gateway.counters.add("in.evicted.partial")
                    connection.refuse_partial_request()
                connection.release_slot()

    def _eviction_candidates(self) -> Iterator[ClientConnection]:
        """Yield the connections that may be evicted, in order of eviction.

        Lingering connections come first, then unused connections, then connections that have been idle for a
        long time, then connections with a partial request; within each group the longest waiting ones come
        first. Recently used connections are excluded, since their next request may be in flight.
        """
        now = self.gateway.deadlines.now()
        idle = [connection for connection in self.connections if connection.is_idle]
        unused_before = now + FIRST_REQUEST_TIMEOUT_MS - EVICTABLE_UNUSED_MS
        idle_before = now + IDLE_TIMEOUT_MS - EVICTABLE_IDLE_MS
        lingering = [
            connection
            for connection in self.connections
            if connection.state is ClientConnectionState.LINGERING
        ]
        unused = [c for c in idle if c.unused and c.timeout.at < unused_before]
        long_idle = [c for c in idle if not c.unused and c.timeout.at < idle_before]
        yield from self._longest_waiting(lingering)
        yield from self._longest_waiting(unused)
        yield from self._longest_waiting(long_idle)
        partial_before = now - EVICTABLE_PARTIAL_MS
        partial = [c for c in self.connections if c.has_partial_request and c.partial_since < partial_before]
        partial.sort(key=lambda connection: connection.partial_since)
        yield from partial[: 2 * self.accepts_per_turn]

    def _longest_waiting(self, connections: Iterable[ClientConnection]) -> list[ClientConnection]:
        """Return the connections with the earliest timeouts, at most `2 * accepts_per_turn` of them."""
        by_timeout = sorted(connections, key=lambda connection: connection.timeout.at)
        return by_timeout[: 2 * self.accepts_per_turn]

    def _keep_evicting(self) -> None:
        if self._accepting_paused:
            self._evict_idle()
            self.gateway.deadlines.after(RECHECK_INTERVAL_MS, self._keep_evicting)

    def drain(self) -> None:
        """Close idle connections now, and busy connections after their current response.

        Unused connections stay open: to a client, a connection that is closed without any response is a
        refused request. A connection that has had a response may be closed; its client does not count that
        as a refused request.
        """
        self.draining = True
        self._close_idle(include_unused=False)

    def _close_idle(self, include_unused: bool) -> None:
        for connection in self.connections:
            if include_unused or not connection.unused:
                connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept the whole backlog, as slots become free, and then close the listening socket.

        Clients see connections in the backlog as established and may have sent requests on them.
        Closing the socket would reset these connections.
        """
        self._stopping = True
        while self.port is not None and not self._accepting_paused:
            self._accept(self.port)
            # Twisted raises `numberAccepts` when it has accepted that many connections in one call. The
            # backlog may then hold more connections, and the loop continues.
            if self.port.numberAccepts <= self.accepts_per_turn:
                self._close_port(self.port)

    def _close_port(self, port: ListeningPort) -> None:
        """Close the listening socket in this reactor turn, not in the next one as `stopListening` does."""
        self.port = None
        port.connectionLost(CLOSED_CLEANLY)
        self._close_idle(include_unused=False)
        self.gateway.deadlines.after(EVICTABLE_UNUSED_MS, partial(self._close_idle, include_unused=True))
