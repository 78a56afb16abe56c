"""The clients' connections: those that listen for them, their table, and the room in it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from meadowpulley.net.client_connection import (
    FIRST_REQUEST_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    RECHECK_INTERVAL_MS,
    ClientConnection,
    ClientConnectionState,
)
from meadowpulley.net.connection import CLOSED_CLEANLY, ConnectionFactory
from meadowpulley.net.gateway_context import GatewayContext
from meadowpulley.net.request_admission import RequestAdmission
from meadowpulley.net.request_table import RequestTable
from meadowpulley.net.slots import SlotTable

EVICTABLE_IDLE_MS = 1_000.0  # idle for so long, a connection may go when others wait to be accepted
EVICTABLE_UNUSED_MS = (
    20.0  # and one on which nothing ever came: a client that means it sends as soon as it may
)
LISTEN_BACKLOG = (
    256  # what waits here counts as taken: better a connection that never comes up than one unheard
)
ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the reactor
SPARE_SLOTS = 24  # slots beyond which room is made: a turn accepts half as many before that is seen


class ClientListener:
    def __init__(
        self, gateway: GatewayContext, admission: RequestAdmission, requests: RequestTable, size: int
    ) -> None:
        self.gateway, self.admission, self.requests = gateway, admission, requests
        self.connections: SlotTable[ClientConnection] = SlotTable(size)
        self.spare_slots = min(SPARE_SLOTS, size // 3)
        self.accepts_per_turn = min(ACCEPTS_PER_TURN, max(self.spare_slots // 2, 1))
        self.draining = self._accepting_paused = self._stopping = False
        self.port: Any = None
        self._accept_pending: Callable[[], Any] = lambda: None  # the port's own `doRead`

    def listen(self) -> None:
        host, port = self.gateway.config.listen
        self.port = self.gateway.reactor.listenTCP(
            port, ConnectionFactory(lambda: ClientConnection(self)), backlog=LISTEN_BACKLOG, interface=host
        )
        self._accept_pending, self.port.doRead = self.port.doRead, self._accept

    def _accept(self) -> None:
        """Accepts so many at most that the table has room for them: by itself the port takes twenty more in a
        turn after one in which it took all that it might."""
        self.port.numberAccepts = self.accepts_per_turn
        self._accept_pending()

    def connection_opened(self, connection: ClientConnection) -> None:
        self.gateway.counters.add("in.connections")
        if self.connections.full:
            self.gateway.counters.add("in.turned_away")
            connection.is_open = False
            connection.transport.abortConnection()
            return
        connection.handle = self.connections.put(connection)
        if not self._accepting_paused and self._nearly_full:
            self._evict_idle()
            if self._nearly_full:
                self._accepting_paused = True
                self.gateway.counters.add("in.pauses")
                self.gateway.log.warning("accepting paused", connections=len(self.connections))
                self.port.stopReading()
                self.gateway.deadlines.after(RECHECK_INTERVAL_MS, self._keep_evicting)

    @property
    def half_full(self) -> bool:
        return 2 * len(self.connections) > self.connections.size

    @property
    def _nearly_full(self) -> bool:
        return len(self.connections) > self.connections.size - self.spare_slots

    def _resume_accepting(self) -> None:
        if self._accepting_paused and not self._nearly_full and self.port is not None:
            self._accepting_paused = False
            if self._stopping:
                self.stop_listening()
            else:
                self.port.startReading()

    def connection_closed(self, connection: ClientConnection) -> None:
        if connection.handle >= 0:
            self.connections.free(connection.handle)
            connection.handle = -1
        self._resume_accepting()
        request, connection.request = connection.request, None
        if request is not None:
            self.requests.client_disconnected(request)
        self.gateway.stop_if_drained()

    def _evict_idle(self) -> None:
        """Room for those that wait to be accepted, who may have sent a request by now: first go connections
        on which the last word is said, then mute ones, then those that have long stood idle, the longest
        first. Ones used lately stay: a request may be on its way."""
        now = self.gateway.deadlines.now()
        lingering = [link for link in self.connections if link.state is ClientConnectionState.LINGERING]
        unused = [
            k
            for k in self.connections
            if k.unused and k.is_idle and k.timeout.at < now + FIRST_REQUEST_TIMEOUT_MS - EVICTABLE_UNUSED_MS
        ]
        idle = [
            k
            for k in self.connections
            if not k.unused and k.is_idle and k.timeout.at < now + IDLE_TIMEOUT_MS - EVICTABLE_IDLE_MS
        ]
        for group in (lingering, unused, idle):
            for link in sorted(group, key=lambda link: link.timeout.at)[: 2 * self.accepts_per_turn]:
                if len(self.connections) <= self.connections.size - self.spare_slots - self.accepts_per_turn:
                    return
                if link.state is ClientConnectionState.LINGERING or not link.has_unread_input():
                    self.gateway.counters.add("in.made_room")
                    link.release_slot()

    def _keep_evicting(self) -> None:
        if self._accepting_paused:
            self._evict_idle()
            self.gateway.deadlines.after(RECHECK_INTERVAL_MS, self._keep_evicting)

    def drain(self) -> None:
        """From now on every connection closes once nothing is owed on it. New ones bring what they came for:
        one closed with no answer is a request refused, one that has had an answer is not."""
        self.draining = True
        self._close_idle(include_unused=False)

    def _close_idle(self, include_unused: bool) -> None:
        for connection in self.connections:
            if include_unused or not connection.unused:
                connection.close_if_idle()

    def stop_listening(self) -> None:
        """Closes the listening socket, with nobody behind it: connections that the kernel has completed count
        as taken with what came on them, and are accepted first; if need be as soon as there is room."""
        self._stopping = True
        while self.port is not None and not self._accepting_paused:
            self._accept()
            if (
                self.port.numberAccepts <= self.accepts_per_turn
            ):  # else it took all that it might, and more may wait
                port, self.port = self.port, None
                port.connectionLost(CLOSED_CLEANLY)  # in this turn: by `stopListening` it is the next one
                self._close_idle(include_unused=False)
                self.gateway.deadlines.after(
                    EVICTABLE_UNUSED_MS, partial(self._close_idle, include_unused=True)
                )
