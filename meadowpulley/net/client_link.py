"""A client's connection: its requests one behind another, its silence and its end."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from meadowpulley.net.host import Host
from meadowpulley.net.http1 import READ_MAX, RING_BOUND, BadMessageError, Parser, answer_bytes
from meadowpulley.net.intake import Intake
from meadowpulley.net.link import Link
from meadowpulley.net.requests import Requests, Taken

FIRST_MS = 2_000.0  # from its connecting until a client's first request is there, whole
HALF_MS = 2_000.0  # a later request, from its first byte to its last
IDLE_MS = 2_100.0  # a client may stay silent between requests, or leave an answer unread
ROOM_AGAIN_MS = 20.0
LATE_MS = 500.0  # past its deadline an answer that a client is still reading is not lost yet
LINGER_MS = 1_000.0  # after a bad request, so that its answer is read before the connection breaks
LINGER_BYTES = 256 * 1024  # of what it still sends are thrown away, the rest is left to the kernel to hold up
TURN_REQUESTS = 4  # of one connection in a turn: usual clients send one, and wait while a flood is worked on


class Table(Protocol):
    """What a connection asks of the table of connections that it stands in."""

    gateway: Host
    intake: Intake
    requests: Requests
    closing: bool

    @property
    def half_full(self) -> bool: ...

    def joined(self, link: ClientLink) -> None: ...

    def left(self, link: ClientLink) -> None: ...


class State(Enum):
    WAITING = "waiting"  # for a request, or the rest of one
    HOLDING = "holding"  # a request that was taken
    ANSWERING = "answering"  # until the kernel has the whole answer
    LINGERING = "lingering"  # the last answer is out: what still comes is thrown away


class ClientLink(Link):
    def __init__(self, clients: Table) -> None:
        super().__init__(clients.gateway.deadlines, RING_BOUND, RING_BOUND)
        self.clients = clients
        self.parser = Parser(self.inward, requests=True)
        self.state = State.WAITING
        self.handle = -1
        self.taken: Taken | None = None
        self.closing = self._working = self._paused = self._more = self._late = False
        self._half = self.mute = True  # until the first request is there one limit is over all of it
        self._thrown = 0

    def opened(self) -> None:
        self.clients.joined(self)
        self.limit.set(FIRST_MS, self._silent)

    def received(self) -> None:
        self.mute = False
        if self.state is State.WAITING:
            self._work()
        if self.up and self.inward.room < READ_MAX:
            # Nobody who waits for answers writes so far ahead. Reading goes on, since nothing else tells that
            # a client has gone: the next answer ends the connection, and what comes behind its request goes
            # nowhere.
            self.closing = True
            if self.state is State.WAITING:
                self._work(most=1)
        if self.state is State.LINGERING or self.inward.room < READ_MAX:
            self._throw_away()

    def _throw_away(self) -> None:
        self._thrown += len(self.inward)
        self.inward.clear()
        if self._thrown <= LINGER_BYTES:
            return
        if self.state is not State.LINGERING:
            self.drop()
        elif not self._paused:
            self._paused = True
            self.wire.stopReading()

    def _go_on(self) -> None:
        self._more = False
        if self.state is State.WAITING:
            self._work()

    def _work(self, most: int = TURN_REQUESTS) -> None:
        if self._working:
            return
        self._working = True
        try:
            while self.up and self.state is State.WAITING:
                if not most:
                    if not self._more:
                        self._more = True
                        self.deadlines.after(0.0, self._go_on)
                    break
                most -= 1
                message = self.parser.next()
                if message is None:
                    break
                self._half = self._late = False
                self.state = State.HOLDING
                self.limit.lift()
                self.clients.intake.take(self, message)
        except BadMessageError as error:
            self.refuse_input(error)
        except Exception:  # a fault of ours: the request fails, the gateway goes on
            self.clients.gateway.failed("intake")
            self.closing = True
            if self.taken is not None:
                self.clients.requests.answer(self.taken, 502, {}, b"")
            elif self.state in (State.WAITING, State.HOLDING):
                self.answer(502, {}, b"")
        finally:
            self._working = False
        if self.up and self.state is State.WAITING:
            if self.parser.expects:
                self.parser.expects = False
                self.send(answer_bytes(100, {}))
            if self.parser.begun and not self._half:
                self._half = True
                self.limit.set(HALF_MS, self._half_sent)

    def refuse_input(self, error: BadMessageError) -> None:
        self.clients.gateway.counters.add(f"in.bad.{error.status}")
        self.closing = True
        self.answer(error.status, {}, f"{error}\n".encode())

    def answer(self, status: int, headers: dict[str, str], body: bytes) -> None:
        taken, self.state, self.taken = self.taken, State.ANSWERING, None
        # Clients may open only so many: with half of the table in use an answer ends its connection, or those
        # that asked once and stay leave none for the next request.
        self.closing = self.closing or self.clients.closing or self.clients.half_full
        # A client that does not read its answer is bounded too, one that reads it slowly has its whole time.
        left = taken.deadline - self.deadlines.now() + LATE_MS if taken is not None else 0.0
        self.limit.set(max(IDLE_MS, left), self.drop)
        self.send(answer_bytes(status, headers, body, self.closing))

    def flushed(self) -> None:
        if self.state is not State.ANSWERING or not self.up:
            return
        if self.closing:
            self.leave()
            return
        self.state = State.WAITING
        self.limit.set(IDLE_MS, self._silent)
        self._work()
        if self.clients.closing:  # which came between the writing of the answer and its last byte
            self.part_if_idle()

    def leave(self) -> None:
        """Ends this side of the connection, and the whole of it once the client has ended its own."""
        self.state = State.LINGERING
        self.inward.clear()
        self.limit.set(LINGER_MS, self.finish)
        self.wire.loseWriteConnection()

    def part(self) -> None:
        """Closes between requests: a client whose next one crosses this, unread, sends it again elsewhere."""
        self.state = State.LINGERING
        self.close()

    def finish(self) -> None:
        """Frees the place of a connection on which nothing more is said: what the kernel has of its last
        answer goes out, which a reset would throw away. The descriptor is free in the next turn: in this one
        there may be an event for it that is not handled yet."""
        if self.up:
            self.up = False
            self.wire.stopReading()
            self.clients.gateway.reactor.callLater(0, self.close)
            self.closed()

    @property
    def idle(self) -> bool:
        return self.up and self.state is State.WAITING and not self.parser.begun

    def part_if_idle(self) -> None:
        if self.idle and not self.unread():
            self.part()

    def _silent(self) -> None:
        if self.parser.begun:
            self._half_sent()
            return
        if self.unread():  # this gateway is late, not the client
            self.limit.set(ROOM_AGAIN_MS, self._silent)
            return
        self.clients.gateway.counters.add("in.silent")
        self.part()

    def _half_sent(self) -> None:
        if self.unread() and not self._late:  # this gateway may be late; once, since some drip without an end
            self._late = True
            self.limit.set(ROOM_AGAIN_MS, self._half_sent)
            return
        self.refuse_input(BadMessageError(408, "the request did not come whole"))

    def closed(self) -> None:
        self.clients.left(self)

    def drop(self) -> None:
        was_up = self.up
        super().drop()
        if was_up:
            self.closed()
