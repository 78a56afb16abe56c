"""A connection to an instance, and the pool of those to one address."""

from __future__ import annotations

import math
from enum import Enum
from typing import Protocol

from meadowpulley.net.config import Address
from meadowpulley.net.host import Host
from meadowpulley.net.http1 import BODY_MAX, HEAD_MAX, RING_BOUND, BadMessageError, Message, Parser
from meadowpulley.net.link import Link

PART_MS = 500.0  # for the rest of an answer that has begun: answers are written whole
# A second answer may come some milliseconds late (the standing test's page), and nothing in an answer says
# whose it is: for so long a connection that has answered carries nothing. Under ten by the word, and as much
# again, since the two need not take the same time through the network.
REST_MS = 20.0
IDLE_PART = 0.75  # of the time after which an instance may close a connection: ours goes before


class Carried(Protocol):
    """What travels on a connection: it hears once what became of it."""

    link: InstanceLink | None
    written: bool  # the kernel has the request's last byte

    def answered(self, answer: Message) -> None: ...

    def broke(self) -> None: ...

    def garbage(self) -> None: ...


class Pools(Protocol):
    """What a pool and its connections ask of whoever keeps the pools."""

    gateway: Host
    idle_ms: float

    def joined(self, link: InstanceLink) -> None: ...

    def left(self, link: InstanceLink) -> None: ...


class State(Enum):
    IDLE = "idle"
    BUSY = "busy"
    CLOSED = "closed"


class InstanceLink(Link):
    """One connection to an instance; at most one request travels on it at a time."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool.instances.gateway.deadlines, RING_BOUND, HEAD_MAX + BODY_MAX + HEAD_MAX)
        self.pool = pool
        self.parser = Parser(self.inward, requests=False)
        self.state = State.IDLE
        self.attempt: Carried | None = None
        self.handle = -1
        self.ready_at = -math.inf  # from then on it may carry a request

    def opened(self) -> None:
        self.pool.instances.joined(self)
        if self.pool.over:  # another build may run there by now, for which its request was not meant
            self.drop()

    def carry(self, attempt: Carried, data: bytes) -> None:
        self.limit.lift()
        self.state, self.attempt, attempt.link = State.BUSY, attempt, self
        self.send(data)

    def flushed(self) -> None:
        if self.attempt is not None:
            self.attempt.written = True

    def received(self) -> None:
        attempt = self.attempt
        if attempt is None:  # nothing was asked for: this connection is not to be trusted
            self.pool.instances.gateway.counters.add("up.unasked")
            self.drop()
            return
        try:
            answer = self.parser.next()
            while answer is not None and answer.status < 200:
                answer = self.parser.next()
        except BadMessageError:
            attempt.garbage()
            return
        if answer is not None:
            self._answered(attempt, answer)
        elif not self.parser.begun:
            self.limit.lift()  # what had begun was a 1xx: the answer itself may take its time
        elif self.limit.at == math.inf:
            self.limit.set(PART_MS, self._cut_short)

    def _cut_short(self) -> None:
        """An answer began and did not end: what its head says of its length was wrong."""
        if self.unread():  # this gateway is late, not the rest of the answer
            self.limit.set(PART_MS, self._cut_short)
        elif self.attempt is not None:
            self.attempt.garbage()

    def _answered(self, attempt: Carried, answer: Message) -> None:
        again = answer.keep_alive and attempt.written and not self.parser.begun
        self.attempt = None
        self.limit.lift()
        if again and self.up:
            self.state = State.IDLE
            self.ready_at = self.deadlines.now() + REST_MS
            self.pool.rest(self)
        else:
            self.drop()
        attempt.answered(answer)

    def closed(self) -> None:
        if self.state is State.CLOSED:
            return
        self.state = State.CLOSED
        self.pool.left(self)
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        answer = None if self.broken else self.parser.end()  # a reset is no end of an answer, however framed
        if answer is not None and attempt.written:
            attempt.answered(answer)
        else:
            attempt.broke()

    def drop(self) -> None:
        was_up = self.up
        super().drop()
        if was_up:
            self.closed()

    def overflowed(self) -> None:
        if self.attempt is not None:
            self.attempt.garbage()
        else:
            self.drop()


class Pool:
    """The connections to one address."""

    def __init__(
        self, instances: Pools, server: int, address: Address, start: tuple[int, float] = (0, 0.0)
    ) -> None:
        self.instances, self.server, self.address, self.start = instances, server, address, start
        self.idle: list[InstanceLink] = []  # oldest first
        self.over = False  # the server has gone, or another build runs under its name

    def take(self) -> InstanceLink | None:
        """The newest that may carry a request, or else the one that may soonest: it is kept for whoever takes
        it, who waits until then rather than open another, of which an instance holds few."""
        now = self.instances.gateway.deadlines.now()
        while self.idle:
            ready = (n for n in range(len(self.idle) - 1, -1, -1) if self.idle[n].ready_at <= now)
            link = self.idle.pop(next(ready, 0))
            if not link.unread():
                return link
            self.instances.gateway.counters.add("up.found_closed")
            link.drop()
        return None

    def rest(self, link: InstanceLink) -> None:
        if self.over:  # nobody would take it again, nor close it
            link.drop()
            return
        self.idle.append(link)
        if self.instances.idle_ms > 0:
            link.limit.set(self.instances.idle_ms * IDLE_PART, link.drop)

    def left(self, link: InstanceLink) -> None:
        if link in self.idle:
            self.idle.remove(link)
        self.instances.left(link)

    def close_idle(self) -> None:
        for link in list(self.idle):
            link.drop()
