"""The clients' connections: those that listen for them, their table, and the room in it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from meadowpulley.net.client_link import FIRST_MS, IDLE_MS, ROOM_AGAIN_MS, ClientLink, State
from meadowpulley.net.host import Host
from meadowpulley.net.intake import Intake
from meadowpulley.net.link import DONE, LinkFactory
from meadowpulley.net.requests import Requests
from meadowpulley.net.slots import Slots

LONG_IDLE_MS = 1_000.0  # idle for so long, a connection may go when others wait to be accepted
MUTE_MS = 20.0  # and one on which nothing ever came: a client that means it sends as soon as it may
BACKLOG = 256  # what waits here counts as taken: better a connection that never comes up than one unheard
ACCEPTS = 16  # connections accepted in one turn of the reactor
SPARE = 24  # slots beyond which room is made: a turn accepts half as many before that is seen


class Clients:
    def __init__(self, gateway: Host, intake: Intake, requests: Requests, size: int) -> None:
        self.gateway, self.intake, self.requests = gateway, intake, requests
        self.links: Slots[ClientLink] = Slots(size)
        self.spare = min(SPARE, size // 3)
        self.accepts = min(ACCEPTS, max(self.spare // 2, 1))
        self.closing = self._paused = self._stopping = False
        self.port: Any = None
        self._take_waiting: Callable[[], Any] = lambda: None  # the port's own `doRead`

    def listen(self) -> None:
        host, port = self.gateway.config.listen
        self.port = self.gateway.reactor.listenTCP(
            port, LinkFactory(lambda: ClientLink(self)), backlog=BACKLOG, interface=host
        )
        self._take_waiting, self.port.doRead = self.port.doRead, self._accept

    def _accept(self) -> None:
        """Accepts so many at most that the table has room for them: by itself the port takes twenty more in a
        turn after one in which it took all that it might."""
        self.port.numberAccepts = self.accepts
        self._take_waiting()

    def joined(self, link: ClientLink) -> None:
        self.gateway.counters.add("in.connections")
        if self.links.full:
            self.gateway.counters.add("in.turned_away")
            link.up = False
            link.wire.abortConnection()
            return
        link.handle = self.links.put(link)
        if not self._paused and self._crowded:
            self._clear_room()
            if self._crowded:
                self._paused = True
                self.gateway.counters.add("in.pauses")
                self.gateway.log.warning("accepting paused", connections=len(self.links))
                self.port.stopReading()
                self.gateway.deadlines.after(ROOM_AGAIN_MS, self._make_room)

    @property
    def half_full(self) -> bool:
        return 2 * len(self.links) > self.links.size

    @property
    def _crowded(self) -> bool:
        return len(self.links) > self.links.size - self.spare

    def _resume(self) -> None:
        if self._paused and not self._crowded and self.port is not None:
            self._paused = False
            if self._stopping:
                self.stop_listening()
            else:
                self.port.startReading()

    def left(self, link: ClientLink) -> None:
        if link.handle >= 0:
            self.links.free(link.handle)
            link.handle = -1
        self._resume()
        taken, link.taken = link.taken, None
        if taken is not None:
            self.requests.left(taken)
        self.gateway.settled()

    def _clear_room(self) -> None:
        """Room for those that wait to be accepted, who may have sent a request by now: first go connections
        on which the last word is said, then mute ones, then those that have long stood idle, the longest
        first. Ones used lately stay: a request may be on its way."""
        now = self.gateway.deadlines.now()
        over = [link for link in self.links if link.state is State.LINGERING]
        mute = [k for k in self.links if k.mute and k.idle and k.limit.at < now + FIRST_MS - MUTE_MS]
        idle = [k for k in self.links if not k.mute and k.idle and k.limit.at < now + IDLE_MS - LONG_IDLE_MS]
        for group in (over, mute, idle):
            for link in sorted(group, key=lambda link: link.limit.at)[: 2 * self.accepts]:
                if len(self.links) <= self.links.size - self.spare - self.accepts:
                    return
                if link.state is State.LINGERING or not link.unread():
                    self.gateway.counters.add("in.made_room")
                    link.finish()

    def _make_room(self) -> None:
        if self._paused:
            self._clear_room()
            self.gateway.deadlines.after(ROOM_AGAIN_MS, self._make_room)

    def drain(self) -> None:
        """From now on every connection closes once nothing is owed on it. New ones bring what they came for:
        one closed with no answer is a request refused, one that has had an answer is not."""
        self.closing = True
        self._part(mute=False)

    def _part(self, mute: bool) -> None:
        for link in self.links:
            if mute or not link.mute:
                link.part_if_idle()

    def stop_listening(self) -> None:
        """Closes the listening socket, with nobody behind it: connections that the kernel has completed count
        as taken with what came on them, and are accepted first; if need be as soon as there is room."""
        self._stopping = True
        while self.port is not None and not self._paused:
            self._accept()
            if self.port.numberAccepts <= self.accepts:  # else it took all that it might, and more may wait
                port, self.port = self.port, None
                port.connectionLost(DONE)  # in this turn: by `stopListening` it is the next one
                self._part(mute=False)
                self.gateway.deadlines.after(MUTE_MS, partial(self._part, mute=True))
