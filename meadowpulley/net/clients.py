"""The clients' connections: those that listen for them, their table, and the room in it."""

from __future__ import annotations

from typing import Any

from meadowpulley.net.client_link import FIRST_MS, IDLE_MS, ROOM_AGAIN_MS, ClientLink, State
from meadowpulley.net.host import Host
from meadowpulley.net.intake import Intake
from meadowpulley.net.link import LinkFactory
from meadowpulley.net.requests import Requests
from meadowpulley.net.slots import Slots

LONG_IDLE_MS = 1_000.0  # idle for so long, a connection may go when others wait to be accepted
MUTE_MS = 20.0  # and one on which nothing ever came: a client that means it sends as soon as it may
BACKLOG = 256  # what waits here counts as taken: better a connection that never comes up than one unheard
ACCEPTS = 16  # connections accepted in one turn of the reactor
SPARE = 24  # slots beyond which room is made: the reactor accepts a few more before it hears of it


class Clients:
    def __init__(self, gateway: Host, intake: Intake, requests: Requests, size: int) -> None:
        self.gateway, self.intake, self.requests = gateway, intake, requests
        self.links: Slots[ClientLink] = Slots(size)
        self.spare = min(SPARE, size // 3)
        self.accepts = min(ACCEPTS, max(self.spare // 2, 1))
        self.closing = self._paused = False
        self.port: Any = None

    def listen(self) -> None:
        host, port = self.gateway.config.listen
        self.port = self.gateway.reactor.listenTCP(
            port, LinkFactory(lambda: ClientLink(self)), backlog=BACKLOG, interface=host
        )
        self.port.numberAccepts = self.accepts

    def joined(self, link: ClientLink) -> None:
        self.gateway.counters.add("in.connections")
        if self.links.full:
            self.gateway.counters.add("in.turned_away")
            link.up = False
            link.wire.abortConnection()
            return
        link.handle = self.links.put(link)
        self.port.numberAccepts = min(self.port.numberAccepts, self.accepts)
        if not self._paused and self._crowded and not self.closing:
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
        if self._paused and not self.closing:
            self._clear_room()
            self.gateway.deadlines.after(ROOM_AGAIN_MS, self._make_room)

    def drain(self) -> None:
        """From now on every connection closes once nothing is owed on it."""
        self.closing = True
        for link in self.links:
            link.part_if_idle()

    def stop_listening(self) -> Any:
        port, self.port = self.port, None
        for link in self.links:
            link.part_if_idle()
        return port.stopListening() if port is not None else None
